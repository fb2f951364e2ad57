package callserver

import (
	"log/slog"
	"time"

	"finchlatch/feed"
	"finchlatch/logic"
)

// This file hands calls over from an office that is gone to its successor, the office that serves at the same address now. A
// successor may have started before service discovery reports the end of the old office or lists the new one. Calls that were
// set up at the address in between are recorded under the old office and established at the successor.

// successorTimeout is how long service discovery may take to list the successor of an office that is gone.
const successorTimeout = 5 * time.Second

// latestProcessEnd returns the latest time at which the process of a gone office can have ended: when it was taken to have
// ended, or now, but not after the start of another office at its address. Calls answered later are its successor's.
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

// announcedStartTimes returns the latest start of an office that the events report for each address. All events of an input are
// read for it first, since the event that reports an office as gone may come before the one that lists its successor.
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

// handOverCalls moves the calls of an office that is gone to its successor, or waits for service discovery to list one.
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
	if from.processEndedAt > to.startedAt { // by then the successor served at the address, so its process has ended, too
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
		s.dropEstablishedCalls(remote, s.now, "service discovery reports its office as gone and lists no successor")
		s.cleanUpGoneOffice(remote)
	}
}

// sharesAddress reports whether two offices are the same or have the same address, so that calls of one may be at the other.
func (r *remoteOffice) sharesAddress(other *remoteOffice) bool {
	return r == other || r.addr != "" && r.addr == other.addr
}
