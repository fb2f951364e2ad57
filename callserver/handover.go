package callserver

import (
	"log/slog"
	"time"

	"finchlatch/feed"
	"finchlatch/logic"
)

// Handover of calls to successors: a new office may own the address of one that is gone before service discovery reports
// either. Calls set up at the address since then are established at the new one.

// successorTimeout is how long service discovery may take to name the successor of an office that is gone.
const successorTimeout = 5 * time.Second

// latestProcessEnd returns the latest time at which the process of a gone office can have ended: now, or when its address was
// seen to belong to another one.
func (s *Server) latestProcessEnd(remote *remoteOffice) time.Duration {
	end := s.now
	if remote.processEndedAt > 0 {
		end = remote.processEndedAt
	}
	if announced := s.announcedStarts[remote.addr]; announced > remote.startedAt {
		end = min(end, announced)
	}
	for _, other := range s.offices {
		if other != remote && other.addr == remote.addr && other.state != logic.Gone && other.startedAt > 0 {
			end = min(end, other.startedAt)
		}
	}
	return end
}

// announcedStartTimes returns the latest start that the events name for each address: the event that ends an office may come
// before the one that names its successor.
func announcedStartTimes(events []feed.Event) map[string]time.Duration {
	starts := map[string]time.Duration{}
	for i := range events {
		for _, member := range events[i].Hosts.Members {
			if member.Phase == feed.Serving && member.UpSince > 0 {
				starts[member.Addr] = max(starts[member.Addr], time.Duration(member.UpSince)*time.Millisecond)
			}
		}
	}
	return starts
}

// handOverCalls moves the calls of an office that is gone to its successor, or waits for service discovery to name one.
func (s *Server) handOverCalls(remote *remoteOffice) {
	if remote.establishedCalls == 0 {
		return
	}
	for _, successor := range s.sortedOffices() {
		if successor != remote && successor.state != logic.Gone && successor.addr == remote.addr {
			s.moveCalls(remote, successor)
			return
		}
	}
	s.armTimer(successorTimeout, timer{kind: timerSuccessorTimeout, officeID: remote.id})
}

// takeOverCalls moves the calls of gone offices at the same address to a newly named office.
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
	if from.processEndedAt > to.startedAt { // the successor has been replaced since, too
		to.processEndedAt = max(to.processEndedAt, from.processEndedAt)
	}
	for _, call := range s.callsInOrder() {
		if call.state == callEstablished && call.remote == from {
			call.remote = to
			from.establishedCalls--
			s.addEstablished(to)
		}
	}
}

// successorTimedOut ends the calls of an office that is gone and has no successor.
func (s *Server) successorTimedOut(id string) {
	if remote := s.offices[id]; remote != nil && remote.state == logic.Gone {
		s.dropEstablishedCalls(remote, s.now, "service discovery reports its office as gone and names no successor")
		s.cleanUpGoneOffice(remote)
	}
}

// sharesAddress reports whether two offices are the same or have the same address, so that calls of one may be at the other.
func (r *remoteOffice) sharesAddress(other *remoteOffice) bool {
	return r == other || r.addr != "" && r.addr == other.addr
}
