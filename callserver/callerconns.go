package callserver

import (
	"cmp"
	"log/slog"
	"time"

	"finchlatch/sip"
)

// callerConn is one connection from callers. Unknown clients may open one, too: evidence tells them apart.
type callerConn struct {
	id              ConnID
	remoteAddr      string
	framer          sip.Framer
	openCalls       int // without a final answer
	openBytes       int // that these take
	adoptedCalls    int // established calls that were first claimed on it
	acceptedAt      time.Duration
	receivedMessage bool          // a complete message has come
	lastUsed        time.Duration // last set-up or claim that a caller may send, or end of an open call; 0: none yet
	lastActivity    time.Duration // when bytes were last received
	unfinishedSince time.Duration // since when the last message received is incomplete; 0: it is complete
	evidence        callerEvidence
	left            bool // its client has closed it, though not all is read
	checkArmed      bool // timerCheckCallerConn is armed
	misbehaved      bool // something came that callers never send
	claimedCalls    bool // established calls were claimed on it
}

// Limits on connections from callers and on the syntax of their messages. None of them limits the number of calls.
const (
	callerMessageTimeout = 2 * time.Second // for the first complete message, and for the rest of one that has begun
	// callerRecheckDelay is the time between checks of a connection whose message is overdue while it carries open calls.
	callerRecheckDelay = 50 * time.Millisecond
	// firstMessageGrace is how long a new connection may stay without a message before it is among the first to be evicted.
	// Until then it ranks above connections that have carried messages but nothing of callers.
	firstMessageGrace = 100 * time.Millisecond
	legValueLimit     = 1 << 16 // exchange numbers and widths are less than this
)

// CarriesCalls reports whether something that only callers send has come on a connection, or a call on it is open.
func (s *Server) CarriesCalls(id ConnID) bool {
	caller := s.callerConns[id]
	return caller != nil && (caller.rank() > notCallers || caller.openCalls > 0)
}

// callerAccepted registers a new connection. Above the limit, the one that ranks lowest is closed, or the new one itself if
// all others carry open calls.
func (s *Server) callerAccepted(id ConnID, remoteAddr string) {
	caller := &callerConn{id: id, remoteAddr: remoteAddr, acceptedAt: s.now}
	s.callerConns[id] = caller
	s.armCallerCheck(caller, s.now+callerMessageTimeout)
	if len(s.callerConns) > s.cfg.MaxCallerConns {
		evicted := s.evictionCandidate(caller)
		if evicted == nil {
			evicted = caller
		}
		s.closeCallerConn(evicted, "too many connections")
	}
}

// evictionCandidate returns the connection to close in favour of a new one: the lowest rank, then the longest time without a
// call. Connections with open calls and the new one, which has had no time to send anything, are not considered.
func (s *Server) evictionCandidate(newest *callerConn) *callerConn {
	var candidate *callerConn
	for _, caller := range s.callerConns {
		if caller.openCalls > 0 || caller == newest {
			continue
		}
		if candidate == nil || cmp.Or(cmp.Compare(s.evictionRank(caller), s.evictionRank(candidate)),
			cmp.Compare(max(caller.lastUsed, caller.acceptedAt), max(candidate.lastUsed, candidate.acceptedAt)),
			cmp.Compare(caller.id, candidate.id)) < 0 {
			candidate = caller
		}
	}
	return candidate
}

// evictionRank ranks connections without open calls; the lowest is closed first. Those of unknown clients come before those of
// callers: otherwise ever new ones would push out connections that carried calls, and a release would find no caller connection to
// be sent on.
func (s *Server) evictionRank(caller *callerConn) int {
	const newRank, lowestCallerRank = 2, 3
	switch {
	case caller.rank() > notCallers:
		return lowestCallerRank + int(caller.rank())
	case !caller.receivedMessage && s.now-caller.acceptedAt < firstMessageGrace:
		return newRank
	case caller.receivedMessage:
		return 1
	}
	return 0
}

// armCallerCheck schedules the next call of checkCallerConn, unless one is scheduled.
func (s *Server) armCallerCheck(caller *callerConn, at time.Duration) {
	if !caller.checkArmed {
		caller.checkArmed = true
		s.armTimerAt(at, timer{kind: timerCheckCallerConn, targetID: uint64(caller.id)})
	}
}

// checkCallerConn closes a connection that has sent nothing or has not completed a message in time.
func (s *Server) checkCallerConn(id ConnID) {
	caller := s.callerConns[id]
	if caller == nil {
		return
	}
	caller.checkArmed = false
	switch {
	case !caller.receivedMessage && caller.unfinishedSince == 0:
		s.closeCallerConn(caller, "no message received")
	// The connection is not closed before its open calls are answered: other callers may have sent them on it than the one whose
	// message is incomplete.
	case caller.unfinishedSince > 0 && s.now-caller.unfinishedSince >= callerMessageTimeout && caller.openCalls > 0:
		s.armCallerCheck(caller, s.now+callerRecheckDelay)
	case caller.unfinishedSince > 0 && s.now-caller.unfinishedSince >= callerMessageTimeout:
		s.closeCallerConn(caller, "message not completed")
	case caller.unfinishedSince > 0:
		s.armCallerCheck(caller, caller.unfinishedSince+callerMessageTimeout)
	}
}

// closeCallerConn closes a connection and ends the open calls on it.
func (s *Server) closeCallerConn(caller *callerConn, why string) {
	s.log(slog.LevelDebug, "caller's connection closed", slog.String("from", caller.remoteAddr), slog.String("why", why))
	s.emit(Close{Conn: caller.id})
	s.callerConnEnded(caller)
}

// callerConnEnded ends the open calls of a connection. Established calls belong to no connection. Releases that may be lost
// with it are sent again on another one.
func (s *Server) callerConnEnded(caller *callerConn) {
	delete(s.callerConns, caller.id)
	caller.framer = sip.Framer{}
	s.resendLostCallerReleases(caller)
	if caller.openCalls == 0 {
		return
	}
	for _, call := range s.callsInOrder(func(call *activeCall) bool { return call.callerConn == caller && call.state == callSettingUp }) {
		call.callerConnLost = true
		s.callerHungUp(call)
	}
}
