package callserver

import "finchlatch/liveness"

// Connections to offices that are shut from our side. What was on its way on them still comes, so they are read until their offices
// close them, and for longer where a cut may hold something back.

// shut ends a connection on which nothing is open. A release may be on its way on it this very moment, and its office says it again
// only on the next connection that is opened: so it is read on until the office closes it, too.
func (s *Server) halfClose(conn *officeConn, why string) {
	if conn.writeBlocked || !conn.up || s.halfClosedConns >= s.cfg.Offices/halfClosedDivisor {
		s.closeConn(conn, why)
		return
	}
	conn.halfClosed, conn.halfClosedAt = true, s.now
	s.halfClosedConns++
	s.logConn("office's connection shut", conn, why)
	s.emit(Shut{Conn: conn.id})
	s.armTimer(halfClosedTimeout, timer{kind: timerHalfClosed, id: uint64(conn.id)})
	if conn.remote.lastLossAt > 0 && s.now-conn.remote.lastLossAt <= correlatedLossWindow { // it can't show any more that its process lives on
		s.markUnverifiedUnlessConnSurvived(conn.remote)
	}
}

// endShut closes a connection whose office has not closed it, and so has not read it either, perhaps.
func (s *Server) halfCloseExpired(id ConnID) {
	conn := s.officeConns[id]
	if conn == nil {
		return
	}
	if s.mayDeliverReleases(conn) {
		s.keepLingering(conn)
	} else {
		s.closeConn(conn, "its office did not close it after it was shut")
	}
	s.resendLostReleases(conn)
}

// mayBringReleases tells whether a connection that is shut is worth reading on: its office has given no sign of life since then and
// may be out of reach, and releases that it wrote before may be on their way still. They come when the network heals, at once
// and on this connection only; said again on a new one they are at the next moment in which the office runs.
func (s *Server) mayDeliverReleases(conn *officeConn) bool {
	remote := conn.remote
	lastActivity := s.now - remote.detector.Silence(s.now)
	noActivity := remote.detector.State() != liveness.Failed && lastActivity <= conn.halfClosedAt+activityLag
	return remote.supervised && remote.establishedCalls > 0 && noActivity && len(s.officeConns) <= s.cfg.Offices
}

// linger reads on a connection that is shut, for as long as no descriptor is needed for a new one.
func (s *Server) keepLingering(conn *officeConn) {
	if !conn.lingering {
		conn.lingering = true
		s.halfClosedConns--
	}
	s.armTimer(halfClosedTimeout, timer{kind: timerHalfClosed, id: uint64(conn.id)})
}

// makeRoom closes the oldest connection that lingers, where all descriptors for offices are in use.
func (s *Server) evictLingeringConn() {
	if len(s.officeConns) < s.cfg.Offices {
		return
	}
	var oldest *officeConn
	for _, conn := range s.officeConns {
		if conn.lingering && (oldest == nil || conn.id < oldest.id) {
			oldest = conn
		}
	}
	if oldest != nil {
		s.closeConn(oldest, "makes room for a new one")
	}
}
