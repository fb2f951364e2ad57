package callserver

import (
	"slices"
	"time"

	"finchlatch/liveness"
)

// This file remembers calls that are over. Clients choose the IDs of their calls, and one that uses an ID again can't be told from
// the first by an office: a message about the first call that is still under way would be taken for the second one's, and the office
// would be sent a second set-up with the ID while it may hold the first call (rules 2 and 5).

// endedCall is what is kept of a call that is over and that an office knows.
type endedCall struct {
	place[*endedCall]
	call         *activeCall // while its last attempt has not ended; nil: it has
	wireID       uint64
	established  bool           // it was established before it ended
	evidence     callerEvidence // see activeCall
	cause        byte           // given to its caller when it ended, if it was established
	mayComeAgain bool           // its caller may send its set-up once more: see activeCall.callerConnLost
	setUpConns   []ConnID       // connections on which set-ups with its ID were sent, unless it was established
	releasedAt   time.Duration  // see activeCall
	expiresAt    time.Duration
}

// Limits on the ended calls that are kept.
const (
	// endedCallRetention is longer than an office without activity may take to be declared failed: what it sends about a call after
	// a network partition comes within this time.
	endedCallRetention = liveness.FailAfter + 2*time.Second
	maxEndedCalls      = 8192
)

// endedCalls holds the calls that ended within endedCallRetention, at most maxEndedCalls.
type endedCalls struct {
	byWireID map[uint64]*endedCall
	order    fairOrder[*endedCall] // the one that ended first comes first
}

// add keeps a call that has just ended, in place of an earlier one with its ID.
func (e *endedCalls) add(call *activeCall, cause byte, now time.Duration) {
	if !call.knownToOffices() {
		return
	}
	if e.byWireID == nil {
		e.byWireID = map[uint64]*endedCall{}
	}
	if earlier := e.byWireID[call.wireID]; earlier != nil {
		e.order.remove(earlier)
	}
	ended := &endedCall{call: call, wireID: call.wireID, established: call.state == callEstablished, evidence: call.evidence, cause: cause,
		mayComeAgain: call.callerConnLost, expiresAt: now + endedCallRetention}
	e.byWireID[call.wireID] = ended
	e.order.add(ended, call.callerConn)
	e.evict(now)
}

// evict removes calls that are too old or too many. One with an outstanding attempt does not become too old.
func (e *endedCalls) evict(now time.Duration) {
	for oldest, ok := e.order.oldest(); ok && oldest.expiresAt <= now; oldest, ok = e.order.oldest() {
		owner := oldest.owner
		e.order.remove(oldest)
		if oldest.call == nil {
			delete(e.byWireID, oldest.wireID)
			continue
		}
		oldest.expiresAt = now + endedCallRetention
		e.order.add(oldest, owner)
	}
	for e.order.len() > maxEndedCalls {
		excess := e.order.excess()
		e.order.remove(excess)
		delete(e.byWireID, excess.wireID)
	}
}

// attemptsOver records that no attempt of an ended call is outstanding any more.
func (e *endedCalls) attemptsOver(call *activeCall) {
	if ended := e.byWireID[call.wireID]; ended != nil && ended.call == call {
		ended.call, ended.setUpConns, ended.releasedAt = nil, call.connsOfEarlierAttempts(), call.releasedAt
	}
}

// find returns the ended call that had an ID, or nil: none ended within endedCallRetention or has an outstanding attempt.
func (e *endedCalls) find(wireID uint64, now time.Duration) *endedCall {
	if ended := e.byWireID[wireID]; ended != nil && (ended.call != nil || now < ended.expiresAt) {
		return ended
	}
	return nil
}

// openConnsOf returns the open connections on which set-ups with the ID of an ended call were sent.
func (s *Server) openConnsOf(ended *endedCall) []ConnID {
	return slices.DeleteFunc(slices.Clone(ended.setUpConns), func(id ConnID) bool { return s.officeConns[id] == nil })
}

// belongsToEndedCall reports whether a message with the ID of a call is about an ended call that had the ID before: it comes on a
// connection of that one. An office sends what concerns an established call on another connection only if its own has ended.
func (s *Server) belongsToEndedCall(call *activeCall, conn *officeConn) bool {
	return slices.Contains(call.foreignConns, conn.id) &&
		(call.state == callSettingUp || call.conn != nil && s.officeConns[call.conn.id] == call.conn)
}
