package callserver

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
	"finchlatch/office"
)

// Supervision of the offices that hold established calls: package liveness decides, this file sends heartbeats and carries
// out its decisions.

// addEstablished counts an established call at an office and starts the supervision of the office.
func (s *Server) addEstablished(remote *remoteOffice) {
	remote.establishedCalls++
	if !remote.supervised {
		remote.supervised = true
		remote.detector.Watch(s.now)
		s.armTimer(0, timer{kind: timerCheckLiveness, officeID: remote.id})
	}
}

// checkLiveness runs the failure detector of an office while it holds established calls.
func (s *Server) checkLiveness(id string) {
	remote := s.offices[id]
	if remote == nil {
		return
	}
	if remote.establishedCalls == 0 || remote.state == logic.Gone {
		remote.supervised = false
		return
	}
	previous := remote.detector.State()
	action, next := remote.detector.Check(s.now)
	if current := remote.detector.State(); current != previous {
		s.log(slog.LevelInfo, "office "+current.String(), slog.String("office", id), slog.Duration("silent", remote.detector.Silence(s.now)),
			slog.Int("standing", remote.establishedCalls), slog.Int("connections", len(remote.conns)))
	}
	switch action {
	case liveness.Heartbeat:
		s.heartbeatOffice(remote)
	case liveness.Probe:
		s.heartbeatAllAndDial(remote)
	case liveness.Fail:
		s.officeFailed(remote)
	}
	s.armTimer(next-s.now, timer{kind: timerCheckLiveness, officeID: id})
}

// heartbeatOffice sends a heartbeat, or opens a connection if there is none to send it on.
func (s *Server) heartbeatOffice(remote *remoteOffice) {
	if conn := remote.leastLoadedConn(); conn != nil {
		s.sendHeartbeat(conn)
		return
	}
	s.openAdditionalConn(remote, true)
}

// heartbeatAllAndDial sends a heartbeat on each connection and opens a new one. A host whose process has ended resets its connections.
func (s *Server) heartbeatAllAndDial(remote *remoteOffice) {
	s.heartbeatOnAll(remote)
	s.openAdditionalConn(remote, true)
}

func (s *Server) heartbeatOnAll(remote *remoteOffice) {
	for _, conn := range remote.conns {
		if conn.up && !conn.halfClosed && !conn.writeBlocked {
			s.sendHeartbeat(conn)
		}
	}
}

// sendHeartbeat sends a HealthCheck message with cause 0, which requests no report. The setting limits.probes, which
// allows the Controller to request reports, does not matter here.
func (s *Server) sendHeartbeat(conn *officeConn) {
	s.lastID++
	s.sendToOffice(conn, &office.Message{Type: office.HealthCheck, Call: s.lastID, HasCause: true})
}

// recordConnected records a new connection as activity. If its office was suspected or failed, the process may be a new one, unless
// bytes have come on older connections.
func (s *Server) recordConnected(remote *remoteOffice, conn *officeConn) {
	hadUnconfirmedActivity := remote.detector.HasUnconfirmedActivity()
	previous := remote.detector.RecordActivity(s.now)
	if previous == liveness.Alive {
		return
	}
	s.recordAlive(remote, previous)
	if !hadUnconfirmedActivity {
		s.markCallsUnverified(remote, conn.upOrDialledAt)
	}
}

// recordBytesFromOffice records bytes of an office as activity. What the office could not send while it was unreachable it sends on the
// next connection that comes up. Connections that are being dialled were begun in that time and may take long, so another
// one is opened.
func (s *Server) recordBytesFromOffice(remote *remoteOffice) {
	previous := remote.detector.State()
	if remote.detector.RecordBytes(s.now) {
		s.log(slog.LevelInfo, "unconfirmed activity of a suspected office", slog.String("office", remote.id),
			slog.Duration("silent", remote.detector.Silence(s.now)), slog.Int("standing", remote.establishedCalls))
		remote.dialFailures, remote.reconnectAt = 0, 0
		s.heartbeatOnAll(remote)
		s.makeRoomAndDial(remote)
		return
	}
	if previous == liveness.Alive || remote.detector.State() != liveness.Alive {
		return
	}
	s.recordAlive(remote, previous)
	if previous == liveness.Failed {
		s.makeRoomAndDial(remote)
	}
}

// recordAlive records that a suspected or failed office is alive.
func (s *Server) recordAlive(remote *remoteOffice, previous liveness.State) {
	s.log(slog.LevelInfo, "office alive", slog.String("office", remote.id),
		slog.String("was", previous.String()), slog.Int("standing", remote.establishedCalls))
	remote.dialFailures, remote.reconnectAt = 0, 0
}

// correlatedLossWindow is how far apart the connections of one process end when it ends.
const correlatedLossWindow = 100 * time.Millisecond

// recordConnEnd records the end of a connection. If no other connection has survived, the office's process may have ended.
func (s *Server) recordConnEnd(remote *remoteOffice) {
	if remote.correlatedLossEnd == 0 || s.now-remote.correlatedLossEnd > correlatedLossWindow {
		remote.correlatedLossStart = s.now
	}
	remote.correlatedLossEnd = s.now
	s.markUnverifiedUnlessConnSurvived(remote)
}

// markUnverifiedUnlessConnSurvived marks the calls of an office as unverified if no connection is older than the latest
// correlated loss: its process may have ended.
func (s *Server) markUnverifiedUnlessConnSurvived(remote *remoteOffice) {
	survived := func(conn *officeConn) bool {
		return conn.up && !conn.halfClosed && conn.upOrDialledAt < remote.correlatedLossStart
	}
	if !slices.ContainsFunc(remote.conns, survived) {
		s.markCallsUnverified(remote, remote.correlatedLossStart)
	}
}

// officeFailed ends the established calls of an unresponsive office. It may only be unreachable and still hold them: they are
// released there once it can be reached.
func (s *Server) officeFailed(remote *remoteOffice) {
	s.log(slog.LevelWarn, "ending the calls of an office that has failed", slog.String("office", remote.id),
		slog.Duration("silent", remote.detector.Silence(s.now)), slog.Int("standing", remote.establishedCalls))
	remote.processEndedAt = s.now
	s.dropAndRelease(remote, "its office is unresponsive")
	for _, conn := range slices.Clone(remote.conns) {
		conn.suspect = true
		s.retireConn(conn)
	}
	s.ensureIdleConn(remote)
}

// dropAndRelease ends the established calls of an office toward their callers, and toward the office once it is reachable.
func (s *Server) dropAndRelease(remote *remoteOffice, why string) {
	for _, call := range s.callsInOrder() {
		if call.state == callEstablished && call.remote == remote {
			s.queueRelease(remote, call.wireID, office.CauseTemporary)
		}
	}
	s.dropEstablishedCalls(remote, s.now, why)
}

// markCallsUnverified records that no connection to an office has survived since a time: calls from before may have ended with
// its process.
func (s *Server) markCallsUnverified(remote *remoteOffice, before time.Duration) {
	if remote.establishedCalls == 0 {
		return
	}
	remote.unverifiedBefore = before
	if remote.anyConnUp() {
		s.armTimer(liveness.PendingReleaseWindow, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
}

// markAdoptedUnverified handles a new adopted call. Its office may have a new process by now, which service discovery need not
// have reported: the first report of circuits in use since this process started shows whether the office holds such calls.
func (s *Server) markAdoptedUnverified(remote *remoteOffice) {
	if remote.unverifiedBefore == 0 {
		remote.unverifiedBefore = s.startedAt
		s.armTimer(liveness.AdoptionWindow, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
}

// verifyCalls compares the circuits of unverified calls with those that the office reported as in use on its first connection
// since, before new calls took any.
func (s *Server) verifyCalls(id string) {
	remote := s.offices[id]
	if remote == nil || remote.unverifiedBefore == 0 {
		return
	}
	i := slices.IndexFunc(remote.conns, func(conn *officeConn) bool {
		return conn.up && conn.stateReported && conn.upOrDialledAt >= remote.unverifiedBefore
	})
	if i < 0 {
		return // another connection will bring the report
	}
	if releasesBy := remote.conns[i].upOrDialledAt + liveness.PendingReleaseWindow; s.now < releasesBy { // releases may still arrive on it
		s.armTimer(releasesBy-s.now, timer{kind: timerVerifyCalls, officeID: id})
		return
	}
	circuitsInUse := remote.conns[i].circuitsInUse
	unverifiedBefore := remote.unverifiedBefore
	remote.unverifiedBefore = 0
	expectedCircuits := 0
	for _, call := range s.callsByWireID {
		if call.state == callEstablished && call.remote == remote && call.answeredAt < unverifiedBefore-liveness.StateLag {
			expectedCircuits += call.width
		}
	}
	lost := liveness.CallsLost(expectedCircuits, circuitsInUse)
	s.log(slog.LevelInfo, "calls of an office verified", slog.String("office", id), slog.Int("held", expectedCircuits),
		slog.Int("used", circuitsInUse), slog.Bool("lost", lost))
	if !lost {
		return
	}
	remote.processEndedAt = unverifiedBefore
	for _, call := range s.callsInOrder() {
		if call.state == callEstablished && call.remote == remote && call.sentAt < unverifiedBefore {
			s.queueRelease(remote, call.wireID, office.CauseTemporary)
			s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, "no longer held by its office")
		}
	}
	s.flushOfficeReleases(remote)
}

// recordGroupState keeps the circuits in use of the first group state that is reported on a connection.
func (c *officeConn) recordGroupState(fields []string, load []float64) {
	spare, total := slices.Index(fields, "spare"), slices.Index(fields, "total")
	if c.stateReported || spare < 0 || total < 0 || spare >= len(load) || total >= len(load) || load[spare] < 0 ||
		load[total] < load[spare] {
		return
	}
	c.stateReported, c.circuitsInUse = true, int(load[total]-load[spare])
}
