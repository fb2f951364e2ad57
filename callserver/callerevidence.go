package callserver

// This file judges whether a connection is from callers. Anyone may connect, and what ends an established call may be sent on any
// connection from callers, but on no other: an unknown client would not pass it on.

// callerEvidence is the best evidence that a connection is from callers.
type callerEvidence byte

const (
	noEvidence      callerEvidence = iota // nothing has come, or nothing that only callers send
	sentSetUp                             // a set-up that callers may send, or a claim to a call at a listed office
	sentUsableSetUp                       // an office had a reason of its own to refuse a set-up, so that it could use it
	carriedCall                           // a call on it was established, or one that an office has confirmed was named on it
)

// callerRank is the order of connections by what speaks for callers and against them.
type callerRank byte

const (
	notCallers     callerRank = iota // releases of calls are not sent on it
	perhapsCallers                   // set-ups came, but also something that callers never send
	likelyCallers                    // only what callers send
	moreLikelyCallers
	knownCallers
)

func (c *callerConn) rank() callerRank {
	switch {
	case c.evidence == carriedCall:
		return knownCallers
	case c.evidence == noEvidence:
		return notCallers
	case c.misbehaved:
		return perhapsCallers
	case c.evidence == sentUsableSetUp:
		return moreLikelyCallers
	}
	return likelyCallers
}

// recordClaim notes a claim to a call that is not known here, at a listed office. A class that does not exist is nothing that callers send.
func (s *Server) recordClaim(caller *callerConn, call *activeCall) {
	if _, exists := s.classIndex[call.className]; !exists && call.className != "" {
		caller.misbehaved = true
		return
	}
	call.evidence = max(call.evidence, sentSetUp)
	s.recordEvidence(caller, sentSetUp)
}

// recordNamedCall notes that a request within an established call, or one that is over, has come on a connection: only callers know the
// ID of a call that an office has confirmed. A claimed call that no office has spoken of shows no more than its claim did.
func (s *Server) recordNamedCall(caller *callerConn, callID string) {
	id, err := parseCallID(callID)
	if err != nil {
		return
	}
	_, evidence, _ := s.findReleased(id)
	if call := s.callsByWireID[id]; call != nil {
		evidence = call.evidence
	}
	if evidence > noEvidence {
		caller.lastUsed = s.now
		s.recordEvidence(caller, evidence)
	}
}

// findReleased returns the cause of an established call that is over, and the evidence that naming it is. It is known while its ID is kept,
// or its release waits.
func (s *Server) findReleased(wireID uint64) (cause byte, evidence callerEvidence, found bool) {
	if r := s.callerReleases.byWireID[wireID]; r != nil {
		return r.cause, r.call.evidence, true
	}
	if ended := s.endedCalls.find(wireID, s.now); ended != nil && ended.established {
		return ended.cause, ended.evidence, true
	}
	return 0, noEvidence, false
}

// recordEvidence notes evidence that a connection is from callers. Releases that wait for such a connection are sent.
func (s *Server) recordEvidence(caller *callerConn, evidence callerEvidence) {
	if evidence <= caller.evidence || s.callerConns[caller.id] != caller {
		return
	}
	caller.evidence = evidence
	s.sendWaitingCallerReleases(caller)
}
