package callserver

// This file judges whether a connection is from callers. Anyone may connect, and what ends an established call may be sent on any
// connection from callers, but on no other: an unknown client would not pass it on.

// callerEvidence is the best evidence that a connection is from callers.
type callerEvidence byte

const (
	noEvidence      callerEvidence = iota // nothing has come, or nothing that only callers send
	sentSetUp                             // a set-up that callers may send, or a claim to a call at a listed office
	sentUsableSetUp                       // an office had a reason of its own to refuse a set-up, so that it could use it
	carriedCall                           // a call on it was established, or one that is established here was named on it
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
func (s *Server) recordClaim(caller *callerConn, className string) {
	if _, exists := s.classIndex[className]; !exists && className != "" {
		caller.misbehaved = true
		return
	}
	s.recordEvidence(caller, sentSetUp)
}

// recordEvidence notes evidence that a connection is from callers. Releases that wait for such a connection are sent.
func (s *Server) recordEvidence(caller *callerConn, evidence callerEvidence) {
	if evidence <= caller.evidence || s.callerConns[caller.id] != caller {
		return
	}
	caller.evidence = evidence
	s.sendWaitingCallerReleases(caller)
}
