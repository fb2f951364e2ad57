package callserver

import "finchlatch/liveness"

// Half-closed connections to offices. What their offices have sent still arrives on them, so they are read until the
// offices close them, and for longer if a network partition may be delaying something.

// halfClose closes a connection without outstanding attempts for writing. A release may be under way on it, and its office would
// repeat it only on the next connection that is opened: so it is read until the office closes it as well.
func (s *Server) halfClose(conn *officeConn, why string) {
	if conn.writeBlocked || !conn.up || s.halfClosedConns >= s.cfg.MaxOfficeConns/halfClosedDivisor {
		s.closeConn(conn, why)
		return
	}
	conn.halfClosed, conn.halfClosedAt = true, s.now
	s.halfClosedConns++
	s.logConn("office's connection half-closed", conn, why)
	s.emit(HalfClose{Conn: conn.id})
	s.armTimer(halfClosedTimeout, timer{kind: timerHalfClosed, targetID: uint64(conn.id)})
	if conn.remote.correlatedLossEnd > 0 && s.now-conn.remote.correlatedLossEnd <= correlatedLossWindow {
		// The connection can no longer show that its office's process lives on.
		s.markUnverifiedUnlessConnSurvived(conn.remote)
	}
}

// halfCloseExpired closes a connection that its office has not closed in time, and that it therefore may not have read.
func (s *Server) halfCloseExpired(id ConnID) {
	conn := s.officeConns[id]
	if conn == nil {
		return
	}
	if s.mayDeliverReleases(conn) {
		s.retainHalfClosed(conn)
	} else {
		s.closeConn(conn, "not closed by its office after the half-close")
	}
	s.resendLostReleases(conn)
}

// mayDeliverReleases reports whether a half-closed connection should be read further: its office has shown no activity since
// the half-close and may be unreachable, and releases that it wrote before may be under way. Those arrive as soon as the
// network partition heals, and on this connection only; repeated on a new one they would come when the office next runs.
func (s *Server) mayDeliverReleases(conn *officeConn) bool {
	remote := conn.remote
	lastActivity := s.now - remote.detector.Silence(s.now)
	mayBeUnreachable := remote.detector.State() != liveness.Failed && lastActivity <= conn.halfClosedAt+activityLag
	return remote.supervised && remote.establishedCalls > 0 && mayBeUnreachable && len(s.officeConns) <= s.cfg.MaxOfficeConns
}

// retainHalfClosed keeps reading a half-closed connection for as long as no new one needs its descriptor.
func (s *Server) retainHalfClosed(conn *officeConn) {
	if !conn.retained {
		conn.retained = true
		s.halfClosedConns--
	}
	s.armTimer(halfClosedTimeout, timer{kind: timerHalfClosed, targetID: uint64(conn.id)})
}

// evictRetainedConn closes the oldest lingering connection if all descriptors for offices are in use.
func (s *Server) evictRetainedConn() {
	if len(s.officeConns) < s.cfg.MaxOfficeConns {
		return
	}
	var oldest *officeConn
	for _, conn := range s.officeConns {
		if conn.retained && (oldest == nil || conn.id < oldest.id) {
			oldest = conn
		}
	}
	if oldest != nil {
		s.closeConn(oldest, "its descriptor is needed for a new connection")
	}
}
