package callserver

import (
	"slices"

	"finchlatch/liveness"
	"finchlatch/logic"
)

// broken takes the word of an office that a set-up has broken on its way, which may also be that a call was cut whose answer
// was lost: around other cuts it is taken for that. The danger is a second run of a call that has stood, whose caller is owed
// the word that it is over.
func (s *Server) setUpFailed(call *activeCall, conn *officeConn, outcome logic.Outcome) {
	if s.recentDrops.Near(s.now) {
		s.endedBeforeAnswer(call, conn, outcome.Load)
		return
	}
	s.attemptEnded(call, outcome)
	s.retireConn(conn)
	if s.callsByWireID[call.wireID] == call {
		call.setUpFailedAt = s.now
		s.failedSetUps = append(slices.DeleteFunc(s.failedSetUps, func(other *activeCall) bool { return s.now-other.setUpFailedAt > liveness.CutSpread }), call)
	}
}

// cut takes the news that a call that stood was cut: set-ups that broke shortly before, and wait for another attempt, were cut
// with it.
func (s *Server) callDropped() {
	s.recentDrops.Cut(s.now)
	candidates := s.failedSetUps
	s.failedSetUps = nil
	for _, call := range candidates {
		if s.recentDrops.Near(call.setUpFailedAt) && s.callsByWireID[call.wireID] == call && call.state == callSettingUp && !call.attemptActive {
			s.failLostAnswer(call)
			s.endUnanswered(call)
		}
	}
}

// strays are releases of calls that are not known here. After a restart an office may say that a call is over before its
// caller names it as one that stands.
type unclaimedReleases struct {
	causes map[uint64]byte // causes
	order  []uint64
}

// mostStrays bounds the releases that are kept.
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

// take gives the cause of a release that came for a call, and forgets it.
func (u *unclaimedReleases) take(wireID uint64) (byte, bool) {
	cause, ok := u.causes[wireID]
	delete(u.causes, wireID)
	return cause, ok
}
