package callserver

import (
	"log/slog"
	"time"

	"finchlatch/feed"
	"finchlatch/logic"
)

// Succession: a new office may have the address of one that has gone before the list says either. What was set up at the
// address since then stands at the new one.

// successorWithin is how long the list may take to name the office that has the address of one that is gone.
const successorTimeout = 5 * time.Second

// processEnd is when the process of an office that is gone had ended at the latest: now, or when its address was seen to belong
// to another one.
func (s *Server) latestProcessEnd(remote *remoteOffice) time.Duration {
	end := s.now
	if remote.replacedAt > 0 {
		end = remote.replacedAt
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

// comingStarts gives the start of the last office that events name at each address: an event that ends one office may come ahead
// of the one that names its successor.
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

// handOver moves the calls of an office that is gone to the office that has its address, or waits for the list to name that.
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

// succeed gives an office that has just been named the calls that were set up at its address.
func (s *Server) takeOverCalls(successor *remoteOffice) {
	for _, predecessor := range s.sortedOffices() {
		if predecessor != successor && predecessor.state == logic.Gone && predecessor.establishedCalls > 0 && predecessor.addr == successor.addr {
			s.moveCalls(predecessor, successor)
			s.cleanUpGoneOffice(predecessor)
		}
	}
}

func (s *Server) moveCalls(from, to *remoteOffice) {
	s.log(slog.LevelInfo, "calls stand at the office's successor", slog.String("office", from.id), slog.String("successor", to.id),
		slog.Int("calls", from.establishedCalls))
	if from.replacedAt > to.startedAt { // that, too, has been replaced since
		to.replacedAt = max(to.replacedAt, from.replacedAt)
	}
	for _, call := range s.callsInOrder() {
		if call.state == callEstablished && call.remote == from {
			call.remote = to
			from.establishedCalls--
			s.addEstablished(to)
		}
	}
}

// noSuccessor ends the calls of an office that is gone and whose address nobody has taken.
func (s *Server) successorTimedOut(id string) {
	if remote := s.offices[id]; remote != nil && remote.state == logic.Gone {
		s.dropEstablishedCalls(remote, s.now, "the list says that its office is gone, and names no other at its address")
		s.cleanUpGoneOffice(remote)
	}
}

// sharesAddress tells whether two offices are one, or have the same address: what stands at the one may be at the other.
func (r *remoteOffice) sharesAddress(other *remoteOffice) bool {
	return r == other || r.addr != "" && r.addr == other.addr
}
