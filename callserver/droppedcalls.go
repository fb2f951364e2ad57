package callserver

import (
	"slices"

	"finchlatch/liveness"
	"finchlatch/logic"
)

// setUpFailed handles the release of an outstanding attempt with the temporary-failure cause. Normally the set-up has failed,
// and the Controller may start another attempt. But the cause is also that of a dropped call: the office may have established
// the call and dropped it, and its answer may be lost. The release is taken for that if other calls were dropped within
// liveness.DropWindow. The caller is then answered at once; another attempt would establish the call a second time.
func (s *Server) setUpFailed(call *activeCall, conn *officeConn, outcome logic.Outcome) {
	if s.holds(call) && s.recentDrops.Near(s.now) {
		s.callEndedBeforeAnswer(call, conn, outcome.Load)
		return
	}
	s.attemptEnded(call, outcome)
	s.retireConn(conn)
	if s.holds(call) {
		call.setUpFailedAt = s.now
		s.failedSetUps = append(slices.DeleteFunc(s.failedSetUps, func(other *activeCall) bool {
			return s.now-other.setUpFailedAt > liveness.DropWindow
		}), call)
	}
}

// callDropped records that an established call was dropped. Calls whose attempt failed with the same cause shortly before, and
// that wait for another attempt, are taken to have been established and dropped with it (see setUpFailed).
func (s *Server) callDropped() {
	s.recentDrops.Record(s.now)
	candidates := s.failedSetUps
	s.failedSetUps = nil
	for _, call := range candidates {
		if s.recentDrops.Near(call.setUpFailedAt) && s.holds(call) && call.state == callSettingUp &&
			!call.awaitsOutcome {
			s.failEndedCall(call)
			s.endUnanswered(call)
		}
	}
}

// unclaimedReleases holds releases of unknown calls. After a restart of this process, an office may release a call before the
// call's caller claims it (see adoptCall).
type unclaimedReleases struct {
	causes map[uint64]byte // by wire ID
	order  []uint64        // wire IDs, oldest first; those that take removed from causes stay until they are the oldest
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
