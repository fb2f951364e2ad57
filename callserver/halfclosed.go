package callserver

import (
	"cmp"

	"finchlatch/liveness"
)

// This file holds the half-closed connections to offices: closed for writing, and read until their offices close them or
// halfClosedTimeout is over, or longer if a network partition may delay a release.

// halfClose closes a connection without outstanding attempts for writing. A release from its office may be under way on it, and
// the office would repeat that release only on a connection that it opens or accepts later. So the connection is read until the
// office closes it as well. It is closed at once if it is not up, if writes on it are blocked, or if there are too many.
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
	conn.connection.Closing(s.now) // it no longer counts as a connection that has survived a correlated loss
	s.watchHolders(conn.remote, conn.remote.address.LossStart())
}

// halfCloseExpired closes a half-closed connection that its office has not closed in time, or retains it if a release may be
// delayed on it. The office may not have read what was written on it, so the releases on it are sent again.
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

// mayDeliverReleases reports whether a release of an established call may still arrive on a half-closed connection: its office
// is supervised and holds established calls, has shown no activity since the half-close and has not failed yet, so that it may
// be unreachable, and there is a descriptor for the connection. When a network partition heals, a release that was written
// before arrives on this connection at once. The office would repeat it on a new connection, but only once its process has
// noticed that connection, which is later. The last connection to a process that may still hold calls is kept as well.
func (s *Server) mayDeliverReleases(conn *officeConn) bool {
	remote := conn.remote
	if conn.connection.IsOnlyOne() && conn.connection.InDoubt() { // what comes on it shows that the process which holds calls goes on
		return len(s.officeConns) <= s.cfg.MaxOfficeConns
	}
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

// evictRetainedConn closes the oldest retained connection if all descriptors for offices are in use.
func (s *Server) evictRetainedConn() {
	if len(s.officeConns) < s.cfg.MaxOfficeConns {
		return
	}
	var oldest *officeConn
	for _, conn := range s.officeConns {
		if conn.retained && (oldest == nil || compareForEviction(conn, oldest) < 0) {
			oldest = conn
		}
	}
	if oldest != nil {
		s.closeConn(oldest, "its descriptor is needed for a new connection")
	}
}

// compareForEviction orders retained connections by which is closed first: those that are the only one to a process that holds calls
// come last, and the oldest comes first.
func compareForEviction(a, b *officeConn) int {
	aOnly, bOnly := a.connection.IsOnlyOne(), b.connection.IsOnlyOne()
	switch {
	case aOnly && !bOnly:
		return 1
	case bOnly && !aOnly:
		return -1
	}
	return cmp.Compare(a.id, b.id)
}
