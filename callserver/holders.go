package callserver

import (
	"log/slog"
	"time"

	"finchlatch/feed"
	"finchlatch/liveness"
	"finchlatch/logic"
	"finchlatch/office"
)

// This file follows which process holds an established call: the one behind the connection that carried its answer. Package liveness
// decides from the connections to an address whether that process goes on, has been replaced, or is in doubt. A call whose process
// stays in doubt is released on both sides.

// holdCall records that the process behind a connection holds a call.
func (c *activeCall) holdCall(connection *liveness.Connection) {
	c.holder = connection
	connection.HoldCall()
}

// watchHolders starts to watch the calls of an office if the process that holds some of them may have ended. Those from before a time
// are compared with the circuits that the office reports as in use.
func (s *Server) watchHolders(remote *remoteOffice, before time.Duration) {
	if remote.establishedCalls == 0 || !remote.address.AnyInDoubt() {
		return
	}
	s.markCallsUnverified(remote, before)
	if !remote.holdersWatched {
		s.log(slog.LevelInfo, "process that holds calls may have ended", slog.String("office", remote.id),
			slog.Int("standing", remote.establishedCalls), slog.Int("connections", len(remote.conns)))
		remote.holdersWatched = true
		s.armTimer(0, timer{kind: timerCheckHolders, officeID: remote.id})
	}
}

// checkHolders releases the calls of an office on both sides whose process has been in doubt for too long.
func (s *Server) checkHolders(id string) {
	remote := s.offices[id]
	if remote == nil {
		return
	}
	remote.holdersWatched = false
	var next time.Duration
	released := 0
	for _, call := range s.establishedAt(remote) {
		if call.holder == nil || !call.holder.InDoubt() {
			continue
		}
		givenUp, askAgainAt := call.holder.GivenUp(s.now)
		switch {
		case givenUp:
			released++
			s.giveUpCall(call, "its process was not heard again")
		case next == 0 || askAgainAt < next:
			next = askAgainAt
		}
	}
	if next > 0 && s.offices[id] == remote {
		remote.holdersWatched = true
		s.armTimer(next-s.now, timer{kind: timerCheckHolders, officeID: id})
	}
	s.logGivenUp(remote, released, "their process was not heard again")
	s.flushOfficeReleases(remote)
	s.cleanUpGoneOffice(remote)
}

// logGivenUp logs how many calls were released on both sides together.
func (s *Server) logGivenUp(remote *remoteOffice, calls int, why string) {
	if calls > 0 {
		s.log(slog.LevelInfo, "calls released on both sides", slog.String("office", remote.id), slog.Int("calls", calls), slog.String("why", why))
	}
}

// establishedAt returns the established calls of an office, in a fixed order.
func (s *Server) establishedAt(remote *remoteOffice) []*activeCall {
	if remote.establishedCalls == 0 {
		return nil
	}
	return s.callsInOrder(func(call *activeCall) bool { return call.state == callEstablished && call.remote == remote })
}

// giveUpCall ends an established call of which it is not known whether a process holds it: it is released on both sides.
func (s *Server) giveUpCall(call *activeCall, why string) {
	call.remote.counts.givenUp++
	s.releaseAtHolder(call, office.CauseTemporary)
	s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, why)
}

// releaseAtHolder releases a call at the process that may hold it: on the connection of its answer, on another one to that process, or
// on the next one to its address.
func (s *Server) releaseAtHolder(call *activeCall, cause byte) {
	remote, owed := call.remote, release{wireID: call.wireID, cause: cause}
	if conn := call.conn; conn != nil && s.officeConns[conn.id] == conn && !conn.writeBlocked && !conn.halfClosed {
		s.sendReleaseOn(conn, owed)
		return
	}
	for _, conn := range remote.conns {
		if conn.up && !conn.writeBlocked && !conn.halfClosed && call.holder != nil && liveness.SameProcess(conn.connection, call.holder) {
			s.sendReleaseOn(conn, owed)
			return
		}
	}
	s.queueRelease(s.presentOffice(remote), owed)
}

// presentOffice returns the successor of an office that is gone, if service discovery lists one, otherwise the office itself.
func (s *Server) presentOffice(remote *remoteOffice) *remoteOffice {
	if remote.state == logic.Gone {
		if successor := s.successorOf(remote); successor != nil {
			return successor
		}
	}
	return remote
}

// successorOf returns the office that service discovery lists at the address of another one that is gone, or nil.
func (s *Server) successorOf(remote *remoteOffice) *remoteOffice {
	for _, other := range s.sortedOffices() {
		if other != remote && other.state != logic.Gone && other.addr == remote.addr {
			return other
		}
	}
	return nil
}

// officeReplaced ends the calls of an office whose process has gone, except those that its successor holds.
func (s *Server) officeReplaced(remote *remoteOffice, goneSince, successorSince time.Duration, why string) {
	replacement := liveness.Replacement{GoneSince: goneSince, SuccessorSince: successorSince}
	calls := s.establishedAt(remote)
	handedOver := 0
	for _, call := range calls {
		if call.holder != nil && call.holder.HeldBySuccessor(replacement) {
			handedOver++
			continue
		}
		s.giveUpCall(call, why)
	}
	remote.counts.handedOver += uint64(handedOver)
	remote.address.Replaced(replacement)
	if len(calls) > 0 {
		s.log(slog.LevelInfo, "office replaced", slog.String("office", remote.id), slog.String("why", why), slog.Int("released", len(calls)-handedOver),
			slog.Int("held_by_successor", handedOver), slog.Duration("successor_since", successorSince))
	}
}

// successorStart returns when the latest office at the address of one that is gone started, as service discovery reports in the
// events that are being applied or has reported before; 0: it is not known.
func (s *Server) successorStart(remote *remoteOffice) time.Duration {
	var start time.Duration
	if announced := s.announcedStarts[remote.addr]; announced > remote.startedAt {
		start = announced
	}
	for _, other := range s.offices {
		if other != remote && other.addr == remote.addr && other.state != logic.Gone {
			start = max(start, other.startedAt)
		}
	}
	return start
}

// since returns when an office started or, if that was not reported, when it was first listed.
func (r *remoteOffice) since() time.Duration {
	if r.startedAt > 0 {
		return r.startedAt
	}
	return r.listedAt
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

// identify records that a message about a call has come on a connection, whose process therefore is the one that holds the call.
func (s *Server) identify(call *activeCall, conn *officeConn) {
	if call.holder != nil && conn.connection != nil && liveness.Identified(call.holder, conn.connection) {
		s.logSameProcess(conn, "a release of a call that it holds")
	}
}

// recordSign records that something has come on a connection to an office that is alive.
func (s *Server) recordSign(conn *officeConn) {
	if conn.connection != nil && conn.remote.detector.State() == liveness.Alive && conn.connection.Heard(s.now) {
		s.logSameProcess(conn, "an older connection is still answered")
	}
}

// recordConnectionEnd records that the other end has closed or reset a connection.
func (s *Server) recordConnectionEnd(conn *officeConn, reset bool) {
	if !reset && conn.remote.detector.State() == liveness.Alive && conn.connection.Answered(s.now) {
		s.logSameProcess(conn, "it has closed an older connection")
	}
	if !conn.halfClosed {
		conn.connection.Lost(s.now)
	}
}

func (s *Server) logSameProcess(conn *officeConn, why string) {
	s.log(slog.LevelInfo, "process that holds calls goes on", slog.String("office", conn.remote.id), slog.Uint64("conn", uint64(conn.id)),
		slog.String("why", why))
}
