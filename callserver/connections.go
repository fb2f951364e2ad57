package callserver

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
	"finchlatch/office"
)

// officeConn is one connection to an office.
type officeConn struct {
	id            ConnID
	remote        *remoteOffice
	framer        office.Framer
	up            bool
	writeBlocked  bool // bytes wait that TCP does not take
	halfClosed    bool // from our side: only what was on its way still comes
	halfClosedAt  time.Duration
	lingering     bool // shut, and read on for as long as its office is out of reach
	suspect       bool // an answer is missing on it: it gets nothing new, and is closed when nothing is open on it
	outstanding   []*activeCall
	openedAt      time.Duration
	lastActivity  time.Duration // when the last bytes came
	messageCount  int
	stateReported bool // its office has told the state of its group on it,
	circuitsInUse int  // first with so many circuits in use
	unconfirmed   unconfirmedReleases
}

// best is the connection for something new: the one with the least open on it.
func (r *remoteOffice) leastLoadedConn(excluded ...ConnID) *officeConn {
	var best *officeConn
	for _, conn := range r.conns {
		if conn.up && !conn.writeBlocked && !conn.suspect && !conn.halfClosed && !slices.Contains(excluded, conn.id) && (best == nil || len(conn.outstanding) < len(best.outstanding)) {
			best = conn
		}
	}
	return best
}

// connections counts those to an office that can still carry something new.
type connCounts struct {
	usable, dialling, idle int
	oldestIdle             *officeConn // idle one
}

func (r *remoteOffice) countConns() (counts connCounts) {
	for _, conn := range r.conns {
		if conn.halfClosed {
			continue
		}
		counts.usable++
		switch {
		case !conn.up:
			counts.dialling++
		case len(conn.outstanding) == 0 && !conn.suspect && !conn.writeBlocked:
			if counts.idle++; counts.oldestIdle == nil {
				counts.oldestIdle = conn
			}
		}
	}
	return counts
}

// ensureIdle sees to it that an office has a connection for the next attempt.
func (s *Server) ensureIdleConn(remote *remoteOffice) {
	if remote.state == logic.Gone || remote.exchange == s.cfg.Settings.Home && !s.cfg.Settings.Pools {
		return
	}
	counts := remote.countConns()
	if counts.dialling > 0 || counts.idle > 0 && len(remote.waitingCalls) == 0 || counts.usable >= s.maxConnsToOffice()+len(remote.waitingCalls) || s.now < remote.redialAt {
		return
	}
	s.dialOffice(remote)
}

func (s *Server) dialOffice(remote *remoteOffice) {
	s.evictLingeringConn()
	s.lastConnID++
	conn := &officeConn{id: s.lastConnID, remote: remote, openedAt: s.now}
	remote.conns, s.officeConns[conn.id] = append(remote.conns, conn), conn
	remote.detector.Dialled(s.now)
	s.trace("dial", "", remote.id, conn.id, "", 0)
	s.emit(Dial{Conn: conn.id, Addr: remote.addr, Within: s.cfg.ConnectTimeout})
}

// armCheck looks at an office's connections from now on while there is something to see.
func (s *Server) armConnCheck(remote *remoteOffice) {
	if !remote.connCheckArmed {
		remote.connCheckArmed = true
		s.armTimer(connCheckInterval, timer{kind: timerCheckConns, officeID: remote.id})
	}
}

// ended takes the news that a connection is no more, or in doubt. What its office wrote on it last may be lost.
func (s *Server) connLost(remote *remoteOffice) {
	remote.connLostAt = s.now
	s.openAdditionalConn(remote, false)
	s.armConnCheck(remote)
}

// checkConns opens a fresh connection where a release may have been lost since the last look, or may be lost now.
func (s *Server) checkConns(id string) {
	remote := s.offices[id]
	if remote == nil {
		return
	}
	remote.connCheckArmed = false
	outstanding, slow := false, false
	for _, conn := range remote.conns {
		for _, call := range conn.outstanding {
			outstanding, slow = true, slow || s.now-call.sentAt >= slowAnswerThreshold
		}
	}
	recentLoss := remote.connLostAt > 0 && s.now-remote.connLostAt <= 2*connCheckInterval
	if recentLoss || slow {
		s.openAdditionalConn(remote, false)
	}
	if recentLoss || outstanding {
		s.armConnCheck(remote)
	}
}

// openFresh opens a connection beside those that are up. An office writes a release on the connection of its set-up or on
// any that is open, and again on the next one that is opened: the danger is that the first is dead, and no other is
// opened while idle ones are at hand, so that the caller of a call that is over is not told in time.
//
// With must one is opened in any case, since nothing was heard from the office: an idle one makes room.
func (s *Server) openAdditionalConn(remote *remoteOffice, force bool) {
	if remote.establishedCalls == 0 || remote.state == logic.Gone || s.now < remote.redialAt {
		return
	}
	counts := remote.countConns()
	if counts.dialling > 0 && !force || counts.dialling >= maxDialling {
		return
	}
	if counts.usable >= s.maxConnsToOffice() && counts.idle < maxIdleConns && !force {
		return
	}
	s.dialAdditional(remote)
}

// dialBeside opens a connection to an office beside those that it has. Its oldest idle one makes room where it has as many as it
// may, or enough; where many offices are out of reach at once the descriptors set the bound.
func (s *Server) dialAdditional(remote *remoteOffice) {
	counts := remote.countConns()
	full := len(s.officeConns) >= s.cfg.Offices+s.cfg.Offices/halfClosedDivisor
	switch {
	case full && counts.idle == 0:
		return
	case full:
		s.closeConn(counts.oldestIdle, "makes room for a fresh one, and no descriptor is left to read it on")
	case counts.idle >= maxIdleConns || counts.idle > 0 && counts.usable >= s.maxConnsToOffice():
		s.halfClose(counts.oldestIdle, "makes room for a fresh one")
	}
	s.dialOffice(remote)
}

// logConn tells what becomes of a connection to an office, and why.
func (s *Server) logConn(text string, conn *officeConn, why string) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		s.log(slog.LevelDebug, text, slog.String("office", conn.remote.id), slog.Uint64("conn", uint64(conn.id)), slog.String("why", why),
			slog.Int("open", len(conn.outstanding)), slog.Duration("silent", s.now-max(conn.lastActivity, conn.openedAt)))
	}
}

// end closes a connection.
func (s *Server) closeConn(conn *officeConn, why string) {
	s.logConn("office's connection closed", conn, why)
	s.emit(Close{Conn: conn.id})
	s.removeConn(conn)
}

// redial tries again to reach an office.
func (s *Server) redial(id string) {
	if remote := s.offices[id]; remote != nil && s.now >= remote.redialAt {
		s.ensureIdleConn(remote)
	}
}

// connected takes the news that a connection to an office is up: what waits goes out on it.
func (s *Server) officeConnected(id ConnID) {
	conn := s.officeConns[id]
	if conn == nil {
		s.emit(Close{Conn: id})
		return
	}
	conn.up, conn.openedAt = true, s.now
	s.trace("connected", "", conn.remote.id, id, "", 0)
	remote := conn.remote
	remote.dialFailures = 0
	s.noteConnected(remote, conn)
	if remote.unverifiedBefore > 0 {
		s.armTimer(liveness.AskStateWithin, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
	s.flushOfficeReleases(remote)
	waiting := remote.waitingCalls
	remote.waitingCalls = nil
	for _, call := range waiting {
		s.assignConn(call)
	}
	s.ensureIdleConn(remote)
}

// failed takes the news that a connection did not come up: nothing that waited for it ran.
func (s *Server) dialFailed(id ConnID, refused bool) {
	conn := s.officeConns[id]
	if conn == nil {
		return
	}
	remote := conn.remote
	s.log(slog.LevelInfo, "office not reached", slog.String("office", remote.id), slog.Bool("refused", refused))
	s.removeConn(conn)
	if !refused {
		remote.detector.Missed()
	}
	maxDelay := maxRedialDelay
	if remote.supervised && remote.detector.State() == liveness.Suspected {
		maxDelay = maxSuspectRedialDelay
	}
	s.scheduleRedial(remote, remote.dialFailures, maxDelay)
	remote.dialFailures++
	waiting := remote.waitingCalls
	remote.waitingCalls = nil
	for _, call := range waiting {
		if alternative := remote.leastLoadedConn(call.previousConns...); alternative != nil {
			s.sendSetUp(alternative, call)
			continue
		}
		s.attemptEnded(call, logic.Outcome{Status: logic.NoConnect})
	}
	if refused && !remote.anyConnUp() { // the process has ended, and with it what stood there
		remote.replacedAt = s.now
		s.dropEstablishedCalls(remote, s.now, "its office refuses connections")
	}
	s.cleanUpGoneOffice(remote)
}

// remove forgets a connection, and its office if that is gone.
func (s *Server) removeConn(conn *officeConn) {
	s.deleteConn(conn)
	s.cleanUpGoneOffice(conn.remote)
}

func (s *Server) deleteConn(conn *officeConn) {
	delete(s.officeConns, conn.id)
	if conn.halfClosed && !conn.lingering {
		s.halfClosedConns--
	}
	conn.remote.conns = slices.DeleteFunc(conn.remote.conns, func(other *officeConn) bool { return other == conn })
}

// officeConnEnded ends what was open on a connection that has ended. Calls that stand belong to no connection. One that was
// shut and ends whole was read by its office to its end; where it is reset, what was written on it may be lost.
func (s *Server) officeConnEnded(conn *officeConn, reset bool, why string) {
	remote := conn.remote
	s.logConn("office's connection ended", conn, why)
	s.removeConn(conn)
	if conn.halfClosed {
		if reset {
			s.resendLostReleases(conn)
		}
		return
	}
	s.backOffAfterEarlyClose(conn)
	s.resendLostReleases(conn)
	s.noteConnLoss(remote)
	outstanding := conn.outstanding
	conn.outstanding = nil
	for _, call := range outstanding {
		s.attemptEnded(call, logic.Outcome{Status: logic.Reset})
	}
	s.connLost(remote)
	s.ensureIdleConn(remote)
}

// pauseAfterEarlyEnd has an office that takes connections and ends them before it says anything be called again only after a pause:
// nothing would bound how often. An attempt is not held up by it.
func (s *Server) backOffAfterEarlyClose(conn *officeConn) {
	remote := conn.remote
	if conn.lastActivity > 0 {
		return
	}
	s.scheduleRedial(remote, remote.earlyCloses, maxSuspectRedialDelay)
	remote.earlyCloses++
}

// pauseRedial has an office be called again after a pause that doubles with each vain call before this one.
func (s *Server) scheduleRedial(remote *remoteOffice, failures int, maxDelay time.Duration) {
	delay := min(initialRedialDelay<<min(failures, 8), maxDelay)
	remote.redialAt = s.now + delay
	s.armTimer(delay, timer{kind: timerRedial, officeID: remote.id})
}

// spoilt closes a connection that cannot be followed any further.
func (s *Server) abortConn(conn *officeConn, why string) {
	s.log(slog.LevelInfo, "office's connection closed", slog.String("office", conn.remote.id), slog.String("why", why),
		slog.Int("open", len(conn.outstanding)))
	s.emit(Close{Conn: conn.id, Now: true})
	s.officeConnEnded(conn, true, why)
}

// suspectSince takes a connection out of use on which an attempt sent at a time got no answer, and with it all others
// to an office of which nothing at all was heard since: connections of a machine that vanished stay open, and each
// would cost a trial. What the machine's return brings comes on new ones.
func (s *Server) suspectConnsSince(conn *officeConn, sentAt time.Duration) {
	remote := conn.remote
	active := slices.ContainsFunc(remote.conns, func(other *officeConn) bool { return other.lastActivity > sentAt })
	for _, other := range slices.Clone(remote.conns) {
		if other == conn || !active && other.up && other.openedAt <= sentAt {
			other.suspect = true
			s.retireConn(other)
		}
	}
	s.ensureIdleConn(remote)
}

// retire closes a connection that gets nothing new, once nothing is open on it.
func (s *Server) retireConn(conn *officeConn) {
	if conn.suspect && !conn.halfClosed && len(conn.outstanding) == 0 && s.officeConns[conn.id] == conn {
		s.halfClose(conn, "suspect, and nothing is open on it")
		s.connLost(conn.remote)
	}
}

// stuck takes the news that TCP takes no more bytes of a connection, or does again.
func (s *Server) setWriteBlocked(id ConnID, blocked bool) {
	if conn := s.officeConns[id]; conn != nil {
		conn.writeBlocked = blocked
		if blocked {
			s.ensureIdleConn(conn.remote)
		}
	}
}
