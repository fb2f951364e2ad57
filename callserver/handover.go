package callserver

import (
	"log/slog"
	"time"

	"finchlatch/logic"
)

// This file hands calls over from an office that is gone to its successor, the office that serves at the same address now. A
// successor may serve before service discovery reports the end of the old office or lists the new one. Calls that were set up at
// the address in between are recorded under the old office and held by the successor's process (see holders.go).

// successorTimeout is how long service discovery may take to list the successor of an office that is gone.
const successorTimeout = 5 * time.Second

// handOverCalls moves the calls of an office that is gone to its successor, or waits for service discovery to list one.
func (s *Server) handOverCalls(remote *remoteOffice) {
	if remote.establishedCalls == 0 {
		return
	}
	if successor := s.successorOf(remote); successor != nil {
		s.moveCalls(remote, successor)
		return
	}
	s.armTimer(successorTimeout, timer{kind: timerSuccessorTimeout, officeID: remote.id})
}

// takeOverCalls moves the calls of gone offices at the same address to an office that service discovery has just listed.
func (s *Server) takeOverCalls(successor *remoteOffice) {
	for _, predecessor := range s.sortedOffices() {
		if predecessor != successor && predecessor.state == logic.Gone && predecessor.establishedCalls > 0 &&
			predecessor.addr == successor.addr {
			s.moveCalls(predecessor, successor)
			s.cleanUpGoneOffice(predecessor)
		}
	}
}

func (s *Server) moveCalls(from, to *remoteOffice) {
	s.log(slog.LevelInfo, "calls handed over to the office's successor", slog.String("office", from.id), slog.String("successor", to.id),
		slog.Int("calls", from.establishedCalls))
	for _, call := range s.establishedAt(from) {
		call.remote = to
		from.establishedCalls--
		s.addEstablished(to)
	}
	s.watchHolders(to, s.now)
}

// successorTimedOut ends the calls of an office that is gone and has no successor.
func (s *Server) successorTimedOut(id string) {
	if remote := s.offices[id]; remote != nil && remote.state == logic.Gone {
		for _, call := range s.establishedAt(remote) {
			s.giveUpCall(call, "service discovery reports its office as gone and lists no successor")
		}
		s.cleanUpGoneOffice(remote)
	}
}

// sharesAddress reports whether two offices are the same or have the same address, so that calls of one may be at the other.
func (r *remoteOffice) sharesAddress(other *remoteOffice) bool {
	return r == other || r.addr != "" && r.addr == other.addr
}
