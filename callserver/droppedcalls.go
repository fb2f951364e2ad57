package callserver

import (
	"slices"

	"finchlatch/liveness"
	"finchlatch/logic"
)

// setUpFailed handles the release of an outstanding attempt with the temporary-failure cause. The cause may also mean that
// the call was established and then dropped, with the answer lost. When other calls were dropped at about the same time it
// is taken for that: otherwise an established call would be set up a second time, and its caller would not learn that it is
// over.
func (s *Server) setUpFailed(call *activeCall, conn *officeConn, outcome logic.Outcome) {
	if s.recentDrops.Near(s.now) {
		s.callEndedBeforeAnswer(call, conn, outcome.Load)
		return
	}
	s.attemptEnded(call, outcome)
	s.retireConn(conn)
	if s.callsByWireID[call.wireID] == call {
		call.setUpFailedAt = s.now
		s.failedSetUps = append(slices.DeleteFunc(s.failedSetUps, func(other *activeCall) bool {
			return s.now-other.setUpFailedAt > liveness.DropWindow
		}), call)
	}
}

// callDropped records that an established call was dropped. Set-ups that failed shortly before and wait for another attempt
// were dropped with it.
func (s *Server) callDropped() {
	s.recentDrops.Record(s.now)
	candidates := s.failedSetUps
	s.failedSetUps = nil
	for _, call := range candidates {
		if s.recentDrops.Near(call.setUpFailedAt) && s.callsByWireID[call.wireID] == call && call.state == callSettingUp &&
			!call.awaitsOutcome {
			s.failEndedCall(call)
			s.endUnanswered(call)
		}
	}
}

// unclaimedReleases holds releases of unknown calls. After a restart an office may release a call before the call's caller
// names it as established.
type unclaimedReleases struct {
	causes map[uint64]byte // by wire ID
	order  []uint64        // wire IDs, oldest first
}

// maxUnclaimedReleases limits the releases that are kept.
const maxUnclaimedReleases = 4096

func (u *unclaimedReleases) add(wireID uint64, cause byte) {
	if u.causes == nil {
		u.causes = map[uint64]byte{}
	}
	if _, known := u.causes[wireID]; !known {
		u.order = append(u.order, wireID)
	}
	u.causes[wireID] = cause
	if len(u.order) > maxUnclaimedReleases {
		delete(u.causes, u.order[0])
		u.order = u.order[1:]
	}
}

// take removes the release of a call and returns its cause.
func (u *unclaimedReleases) take(wireID uint64) (byte, bool) {
	cause, ok := u.causes[wireID]
	delete(u.causes, wireID)
	return cause, ok
}
