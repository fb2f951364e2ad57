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
	id                ConnID
	remote            *remoteOffice
	connection        *liveness.Connection // to the process at the other end; nil until it is up
	framer            office.Framer
	up                bool
	writeBlocked      bool // TCP accepts no more bytes for now
	halfClosed        bool // closed for writing by this process; what the office has written is still read
	halfClosedAt      time.Duration
	retained          bool                   // half-closed, and still read after halfClosedTimeout, as its office may be unreachable
	suspect           bool                   // it may be dead: no new attempts, half-closed once none is outstanding
	outstandingCalls  []*activeCall          // calls whose outstanding attempt was sent on it
	upOrDialledAt     time.Duration          // when it came up; until then, when it was dialled
	lastActivity      time.Duration          // when bytes were last received; 0: never
	messageCount      int                    // messages received
	stateReported     bool                   // the office has reported its group state on this connection
	circuitsInUse     int                    // in the first such report
	unacknowledged    unacknowledgedReleases // releases of established calls sent on it
	releaseCheckArmed bool                   // timerCheckReleases is armed
}

// leastLoadedConn returns the usable connection with the fewest outstanding attempts, or nil.
func (r *remoteOffice) leastLoadedConn(excluded ...ConnID) *officeConn {
	var best *officeConn
	for _, conn := range r.conns {
		if conn.up && !conn.writeBlocked && !conn.suspect && !conn.halfClosed && !slices.Contains(excluded, conn.id) &&
			(best == nil || len(conn.outstandingCalls) < len(best.outstandingCalls)) {
			best = conn
		}
	}
	return best
}

// connCounts counts the connections to an office that are not half-closed.
type connCounts struct {
	total      int // including those dialled, suspect or with blocked writes
	dialling   int
	idle       int // up and ready for an attempt, with none outstanding
	oldestIdle *officeConn
}

func (r *remoteOffice) countConns() (counts connCounts) {
	for _, conn := range r.conns {
		if conn.halfClosed {
			continue
		}
		counts.total++
		switch {
		case !conn.up:
			counts.dialling++
		case len(conn.outstandingCalls) == 0 && !conn.suspect && !conn.writeBlocked:
			if counts.idle++; counts.oldestIdle == nil {
				counts.oldestIdle = conn
			}
		}
	}
	return counts
}

// ensureIdleConn opens a connection to an office if the next attempt would find none. None is opened to offices that are gone
// or, unless the settings have pools, of the own exchange.
func (s *Server) ensureIdleConn(remote *remoteOffice) {
	if remote.state == logic.Gone || remote.exchange == s.cfg.Settings.Home && !s.cfg.Settings.Pools {
		return
	}
	counts := remote.countConns()
	if counts.dialling > 0 || counts.idle > 0 && len(remote.waitingCalls) == 0 ||
		counts.total >= s.connLimitPerOffice()+len(remote.waitingCalls) || s.now < remote.reconnectAt {
		return
	}
	s.dialOffice(remote)
}

func (s *Server) dialOffice(remote *remoteOffice) {
	s.evictRetainedConn()
	s.lastConnID++
	conn := &officeConn{id: s.lastConnID, remote: remote, upOrDialledAt: s.now}
	remote.conns, s.officeConns[conn.id] = append(remote.conns, conn), conn
	remote.detector.RecordDial(s.now)
	s.trace("dial", "", remote.id, conn.id, "", 0)
	s.emit(Dial{Conn: conn.id, Addr: remote.addr, Timeout: s.cfg.ConnectTimeout})
}

// armConnCheck schedules the next call of checkConns.
func (s *Server) armConnCheck(remote *remoteOffice) {
	if !remote.connCheckArmed {
		remote.connCheckArmed = true
		s.armTimer(connCheckInterval, timer{kind: timerCheckConns, officeID: remote.id})
	}
}

// guardAgainstLostRelease handles a connection that has ended or was retired as suspect: a release that its office wrote on it
// last may be lost, and is repeated only on a connection that is opened after it.
func (s *Server) guardAgainstLostRelease(remote *remoteOffice) {
	remote.releaseRiskAt = s.now
	s.openAdditionalConn(remote, false)
	s.armConnCheck(remote)
}

// checkConns opens another connection to an office if one has ended or was retired within the last two checks, or if an attempt
// has been without an answer for slowAnswerThreshold, so that its connection may be dead: a release may be lost with either.
func (s *Server) checkConns(id string) {
	remote := s.offices[id]
	if remote == nil {
		return
	}
	remote.connCheckArmed = false
	outstanding, slow := false, false
	for _, conn := range remote.conns {
		for _, call := range conn.outstandingCalls {
			outstanding, slow = true, slow || s.now-call.sentAt >= slowAnswerThreshold
		}
	}
	recentLoss := remote.releaseRiskAt > 0 && s.now-remote.releaseRiskAt <= 2*connCheckInterval
	if recentLoss || slow {
		s.openAdditionalConn(remote, false)
	}
	if recentLoss || outstanding {
		s.armConnCheck(remote)
	}
}

// openAdditionalConn opens another connection to an office that holds established calls, even if there are idle ones. An office
// writes a release on the connection of the set-up or on any other open one. If that one turns out to be dead, the office
// repeats the release only on a connection that is opened later, and until then the caller does not learn that its call is over.
//
// Without force it does nothing while another connection is being dialled, or at the limit of connections unless an idle one
// can make room. With force, for an office from which nothing is received, only maxDialling limits it.
func (s *Server) openAdditionalConn(remote *remoteOffice, force bool) {
	if remote.establishedCalls == 0 || remote.state == logic.Gone || s.now < remote.reconnectAt {
		return
	}
	counts := remote.countConns()
	if counts.dialling > 0 && !force || counts.dialling >= maxDialling {
		return
	}
	if counts.total >= s.connLimitPerOffice() && counts.idle < maxIdleConns && !force {
		return
	}
	s.makeRoomAndDial(remote)
}

// makeRoomAndDial opens another connection to an office. If the office has maxIdleConns idle connections, or its full share of
// connections and an idle one, its oldest idle one is half-closed first. If the descriptors that additional connections may
// use are all taken, as they are when many offices are unreachable at once, the oldest idle one is closed instead, so that it
// needs no descriptor while it is half-closed; without an idle one, nothing is done.
func (s *Server) makeRoomAndDial(remote *remoteOffice) {
	counts := remote.countConns()
	full := len(s.officeConns) >= s.cfg.MaxOfficeConns+s.cfg.MaxOfficeConns/halfClosedDivisor
	switch {
	case full && counts.idle == 0:
		return
	case full:
		s.closeConn(counts.oldestIdle, "replaced by a new connection; no descriptor left to keep it half-closed")
	case counts.idle >= maxIdleConns || counts.idle > 0 && counts.total >= s.connLimitPerOffice():
		s.halfClose(counts.oldestIdle, "replaced by a new connection")
	}
	s.dialOffice(remote)
}

// logConn logs a change of a connection to an office and its reason.
func (s *Server) logConn(text string, conn *officeConn, why string) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		s.log(slog.LevelDebug, text, slog.String("office", conn.remote.id), slog.Uint64("conn", uint64(conn.id)), slog.String("why", why),
			slog.Int("open", len(conn.outstandingCalls)), slog.Duration("silent", s.now-max(conn.lastActivity, conn.upOrDialledAt)))
	}
}

// closeConn closes a connection after what was written on it has been sent.
func (s *Server) closeConn(conn *officeConn, why string) {
	s.logConn("office's connection closed", conn, why)
	s.emit(Close{Conn: conn.id})
	s.unregisterConnAndOffice(conn)
}

// reconnect opens a connection to an office whose backoff is over, if it needs one.
func (s *Server) reconnect(id string) {
	if remote := s.offices[id]; remote != nil && s.now >= remote.reconnectAt {
		s.ensureIdleConn(remote)
	}
}

// officeConnected handles a connection that has come up: releases and attempts that wait for one are sent.
func (s *Server) officeConnected(id ConnID) {
	conn := s.officeConns[id]
	if conn == nil {
		s.emit(Close{Conn: id})
		return
	}
	conn.up, conn.upOrDialledAt = true, s.now
	s.trace("connected", "", conn.remote.id, id, "", 0)
	remote := conn.remote
	remote.dialFailures = 0
	s.recordConnected(remote, conn)
	if remote.unverifiedBefore > 0 {
		s.armTimer(liveness.PendingReleaseWindow, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
	s.flushOfficeReleases(remote)
	waiting := remote.waitingCalls
	remote.waitingCalls = nil
	for _, call := range waiting {
		s.assignConn(call)
	}
	s.ensureIdleConn(remote)
}

// dialFailed handles a connection that did not come up. The attempts that waited for it are sent on other connections or end
// with NoConnect: they had no effect at the office.
func (s *Server) dialFailed(id ConnID, refused bool) {
	conn := s.officeConns[id]
	if conn == nil {
		return
	}
	remote := conn.remote
	s.log(slog.LevelInfo, "connection to office failed", slog.String("office", remote.id), slog.Bool("refused", refused))
	s.unregisterConnAndOffice(conn)
	if !refused {
		remote.detector.RecordDialFailure()
	}
	maxDelay := maxReconnectDelay
	if remote.supervised && remote.detector.State() == liveness.Suspected {
		maxDelay = maxSuspectReconnectDelay
	}
	s.scheduleReconnect(remote, remote.dialFailures, maxDelay)
	remote.dialFailures++
	waiting := remote.waitingCalls
	remote.waitingCalls = nil
	for _, call := range waiting {
		if alternative := remote.leastLoadedConn(call.connsOfEarlierAttempts()...); alternative != nil {
			s.sendSetUp(alternative, call)
			continue
		}
		s.attemptEnded(call, logic.Outcome{Status: logic.NoConnect})
	}
	if refused && !remote.anyConnUp() { // the process has ended, and its calls with it
		remote.address.Ended(s.now)
		s.dropEstablishedCalls(remote, "its office refuses connections")
	}
	s.cleanUpGoneOffice(remote)
}

// unregisterConnAndOffice removes a connection from the state of the Server, and its office if that is gone.
func (s *Server) unregisterConnAndOffice(conn *officeConn) {
	s.unregisterConn(conn)
	s.cleanUpGoneOffice(conn.remote)
}

func (s *Server) unregisterConn(conn *officeConn) {
	delete(s.officeConns, conn.id)
	if conn.connection != nil {
		conn.connection.Closed(s.now)
	}
	if conn.halfClosed && !conn.retained {
		s.halfClosedConns--
	}
	conn.remote.conns = slices.DeleteFunc(conn.remote.conns, func(other *officeConn) bool { return other == conn })
}

// officeConnEnded ends the attempts on a connection that has ended. Established calls belong to no connection. If an office
// closes a half-closed connection without a reset, it has read everything that was written on it; after a reset, the releases
// may be lost.
func (s *Server) officeConnEnded(conn *officeConn, reset bool, why string) {
	remote := conn.remote
	s.logConn("office's connection ended", conn, why)
	if conn.connection != nil {
		s.recordConnectionEnd(conn, reset)
	}
	s.unregisterConnAndOffice(conn)
	if conn.halfClosed {
		if reset {
			s.resendLostReleases(conn)
		}
		return
	}
	s.backOffAfterEarlyClose(conn)
	s.resendLostReleases(conn)
	s.watchHolders(remote, remote.address.LossStart())
	outstanding := conn.outstandingCalls
	conn.outstandingCalls = nil
	for _, call := range outstanding {
		s.attemptEnded(call, logic.Outcome{Status: logic.Reset})
	}
	s.guardAgainstLostRelease(remote)
	s.ensureIdleConn(remote)
}

// backOffAfterEarlyClose delays the next connection after one that ended before anything was received on it. Otherwise an
// office that accepts connections and closes them at once would be dialled again and again without a delay. An attempt does not
// wait for the end of the backoff, since assignConn resets it.
func (s *Server) backOffAfterEarlyClose(conn *officeConn) {
	remote := conn.remote
	if conn.lastActivity > 0 {
		return
	}
	s.scheduleReconnect(remote, remote.earlyCloses, maxSuspectReconnectDelay)
	remote.earlyCloses++
}

// scheduleReconnect sets the backoff of an office, which doubles with each consecutive failure, and arms the timer for its end.
func (s *Server) scheduleReconnect(remote *remoteOffice, failures int, maxDelay time.Duration) {
	delay := min(initialReconnectDelay<<min(failures, maxReconnectDoublings), maxDelay)
	remote.reconnectAt = s.now + delay
	s.armTimer(delay, timer{kind: timerReconnect, officeID: remote.id})
}

// abortConn closes a connection at once, without sending what is queued on it: it is corrupted, or the queued messages must not
// be sent any more.
func (s *Server) abortConn(conn *officeConn, why string) {
	s.log(slog.LevelInfo, "office's connection closed", slog.String("office", conn.remote.id), slog.String("why", why),
		slog.Int("open", len(conn.outstandingCalls)))
	s.emit(Close{Conn: conn.id, Now: true})
	s.officeConnEnded(conn, true, why)
}

// suspectConnsSince marks a connection as suspect on which an attempt, sent at sentAt, got no answer. If nothing has been
// received from the office on any connection since sentAt, it also marks those that were up by then: connections of a host that
// has vanished stay open on this side, and each of them would cost an attempt. New connections come up once the host is back.
func (s *Server) suspectConnsSince(conn *officeConn, sentAt time.Duration) {
	remote := conn.remote
	active := slices.ContainsFunc(remote.conns, func(other *officeConn) bool { return other.lastActivity > sentAt })
	for _, other := range slices.Clone(remote.conns) {
		if other == conn || !active && other.up && other.upOrDialledAt <= sentAt {
			other.suspect = true
			s.retireConn(other)
		}
	}
	s.ensureIdleConn(remote)
}

// retireConn half-closes a suspect connection once no attempt is outstanding on it.
func (s *Server) retireConn(conn *officeConn) {
	if conn.suspect && !conn.halfClosed && len(conn.outstandingCalls) == 0 && s.officeConns[conn.id] == conn {
		s.halfClose(conn, "suspect, and no attempt is outstanding on it")
		s.guardAgainstLostRelease(conn.remote)
	}
}

// setWriteBlocked records whether TCP has stopped accepting bytes on a connection.
func (s *Server) setWriteBlocked(id ConnID, blocked bool) {
	if conn := s.officeConns[id]; conn != nil {
		conn.writeBlocked = blocked
		if blocked {
			s.ensureIdleConn(conn.remote)
		}
	}
}
