package callserver

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
	"finchlatch/office"
)

// Supervision: whether an office at which calls stand still lives. Package liveness decides; here heartbeats go out and
// verdicts are carried out.

// stood takes note of one more call that stands at an office.
func (s *Server) addEstablished(remote *remoteOffice) {
	remote.establishedCalls++
	if !remote.supervised {
		remote.supervised = true
		remote.detector.Watch(s.now)
		s.armTimer(0, timer{kind: timerHealthCheck, officeID: remote.id})
	}
}

// supervise checks an office for as long as calls stand there.
func (s *Server) checkHealth(id string) {
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
		s.probeOffice(remote)
	case liveness.Fail:
		s.officeFailed(remote)
	}
	s.armTimer(next-s.now, timer{kind: timerHealthCheck, officeID: id})
}

// heartbeat asks an office for a sign of life by one message, or by a new connection where there is none to write on.
func (s *Server) heartbeatOffice(remote *remoteOffice) {
	if conn := remote.leastLoadedConn(); conn != nil {
		s.sendHeartbeat(conn)
		return
	}
	s.openAdditionalConn(remote, true)
}

// probeOffice asks by every way there is: on each connection, and by a new one. Connections of a process that is no more are
// reset by it.
func (s *Server) probeOffice(remote *remoteOffice) {
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

// sendHeartbeat sends the protocol's test with cause 0: it asks for no report. Whether the module may ask for reports
// (limits.probes) is another matter.
func (s *Server) sendHeartbeat(conn *officeConn) {
	s.lastCallID++
	s.sendToOffice(conn, &office.Message{Type: office.Test, Call: s.lastCallID, HasCause: true})
}

// reached takes a connection that has come up as a sign of life. Where its office was suspected, its process may be a new one,
// unless older connections have brought something, too.
func (s *Server) noteConnected(remote *remoteOffice, conn *officeConn) {
	hadUnconfirmed := remote.detector.Stirs()
	previous := remote.detector.Heard(s.now)
	if previous == liveness.Alive {
		return
	}
	s.noteAlive(remote, previous)
	if !hadUnconfirmed {
		s.markCallsUnverified(remote, conn.openedAt)
	}
}

// heardBytes takes bytes of an office as a sign of life. What it could not say while it was out of reach it says on the next
// connection that comes up. Those that are being opened were called in that time, and may not come up for long.
func (s *Server) noteActivity(remote *remoteOffice) {
	previous := remote.detector.State()
	if remote.detector.HeardBytes(s.now) {
		s.log(slog.LevelInfo, "office stirs", slog.String("office", remote.id), slog.Duration("silent", remote.detector.Silence(s.now)),
			slog.Int("standing", remote.establishedCalls))
		remote.dialFailures, remote.redialAt = 0, 0
		s.heartbeatOnAll(remote)
		s.dialAdditional(remote)
		return
	}
	if previous == liveness.Alive || remote.detector.State() != liveness.Alive {
		return
	}
	s.noteAlive(remote, previous)
	if previous == liveness.Failed {
		s.dialAdditional(remote)
	}
}

// alive takes note that an office lives that was suspected, or had failed.
func (s *Server) noteAlive(remote *remoteOffice, previous liveness.State) {
	s.log(slog.LevelInfo, "office alive", slog.String("office", remote.id), slog.String("was", previous.String()), slog.Int("standing", remote.establishedCalls))
	remote.dialFailures, remote.redialAt = 0, 0
}

// lossSpread is how far apart the ends of connections come that end with one process.
const correlatedLossWindow = 100 * time.Millisecond

// noteLoss takes note that a connection to an office has ended. Where none has lived on, its process may have ended.
func (s *Server) noteConnLoss(remote *remoteOffice) {
	if remote.lastLossAt == 0 || s.now-remote.lastLossAt > correlatedLossWindow {
		remote.lossStartedAt = s.now
	}
	remote.lastLossAt = s.now
	s.markUnverifiedUnlessConnSurvived(remote)
}

// doubtUnlessOneLivedOn takes note that a loss of connections may have been the end of a process, where none is older than it.
func (s *Server) markUnverifiedUnlessConnSurvived(remote *remoteOffice) {
	survived := func(conn *officeConn) bool {
		return conn.up && !conn.halfClosed && conn.openedAt < remote.lossStartedAt
	}
	if !slices.ContainsFunc(remote.conns, survived) {
		s.markCallsUnverified(remote, remote.lossStartedAt)
	}
}

// officeFailed ends the calls that stand at an office which gives no sign of life. It may only be cut off and hold them still:
// then it is told when it can be reached again.
func (s *Server) officeFailed(remote *remoteOffice) {
	s.log(slog.LevelWarn, "office given up", slog.String("office", remote.id), slog.Duration("silent", remote.detector.Silence(s.now)),
		slog.Int("standing", remote.establishedCalls))
	remote.replacedAt = s.now
	s.dropAndRelease(remote, "its office gives no sign of life")
	for _, conn := range slices.Clone(remote.conns) {
		conn.suspect = true
		s.retireConn(conn)
	}
	s.ensureIdleConn(remote)
}

// cutAndRelease ends the calls that stand at an office toward their callers, and toward the office once it is reached.
func (s *Server) dropAndRelease(remote *remoteOffice, why string) {
	for _, call := range s.callsInOrder() {
		if call.state == callEstablished && call.remote == remote {
			s.queueRelease(remote, call.wireID, office.CauseTemporary)
		}
	}
	s.dropEstablishedCalls(remote, s.now, why)
}

// doubtCalls takes note that no connection of an office has lived on from before a moment: what stood there may have ended
// with its process.
func (s *Server) markCallsUnverified(remote *remoteOffice, before time.Duration) {
	if remote.establishedCalls == 0 {
		return
	}
	remote.unverifiedBefore = before
	if remote.anyConnUp() {
		s.armTimer(liveness.AskStateWithin, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
}

// doubtAdopted takes note of a call that is said to stand at an office. Its process may be another one by now, which the list
// need not have told: the first word on circuits since this process began shows whether it holds such calls.
func (s *Server) markAdoptedUnverified(remote *remoteOffice) {
	if remote.unverifiedBefore == 0 {
		remote.unverifiedBefore = s.startedAt
		s.armTimer(liveness.NamedWithin, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
}

// verifyCalls compares the circuits of the calls that are in doubt with those that the office said to be in use when it was
// reached again, before new calls took some.
func (s *Server) verifyCalls(id string) {
	remote := s.offices[id]
	if remote == nil || remote.unverifiedBefore == 0 {
		return
	}
	i := slices.IndexFunc(remote.conns, func(conn *officeConn) bool {
		return conn.up && conn.stateReported && conn.openedAt >= remote.unverifiedBefore
	})
	if i < 0 {
		return // another connection will bring the state
	}
	if releasesBy := remote.conns[i].openedAt + liveness.AskStateWithin; s.now < releasesBy { // releases are coming on it
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
	s.log(slog.LevelInfo, "calls of an office counted", slog.String("office", id), slog.Int("held", expectedCircuits), slog.Int("used", circuitsInUse),
		slog.Bool("lost", lost))
	if !lost {
		return
	}
	remote.replacedAt = unverifiedBefore
	for _, call := range s.callsInOrder() {
		if call.state == callEstablished && call.remote == remote && call.sentAt < unverifiedBefore {
			s.queueRelease(remote, call.wireID, office.CauseTemporary)
			s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, "its office does not hold it any more")
		}
	}
	s.flushOfficeReleases(remote)
}

// takeState keeps the first word of an office on the circuits of its group that came on a connection.
func (c *officeConn) recordGroupState(fields []string, load []float64) {
	spare, total := slices.Index(fields, "spare"), slices.Index(fields, "total")
	if c.stateReported || spare < 0 || total < 0 || spare >= len(load) || total >= len(load) || load[spare] < 0 || load[total] < load[spare] {
		return
	}
	c.stateReported, c.circuitsInUse = true, int(load[total]-load[spare])
}
