package callserver

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
	"finchlatch/office"
)

// This file supervises the offices that hold established calls: package liveness decides whether they are alive, suspected or
// failed, and this file sends the heartbeats and carries out the decisions.

// addEstablished counts an established call at an office and starts the supervision of the office.
func (s *Server) addEstablished(remote *remoteOffice) {
	remote.establishedCalls++
	if !remote.supervised {
		remote.supervised = true
		remote.detector.Watch(s.now)
		s.armTimer(0, timer{kind: timerCheckLiveness, officeID: remote.id})
	}
}

// checkLiveness runs the failure detector of an office, and arms its next run while the office holds established calls.
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

// heartbeatOffice sends a heartbeat on one connection, or opens one if there is none to send it on.
func (s *Server) heartbeatOffice(remote *remoteOffice) {
	if conn := remote.leastLoadedConn(); conn != nil {
		s.sendHeartbeat(conn)
		return
	}
	s.openAdditionalConn(remote, true)
}

// heartbeatAllAndDial probes an office that does not answer: it sends a heartbeat on each connection and opens another one. If
// the office's process has ended, its host resets the connections on which heartbeats arrive.
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

// sendHeartbeat sends a HealthCheck message, the same as host.Probe does. Any bytes that the office sends back are activity; a
// report among them is not used. The setting limits.probes, which allows the Controller to ask for reports, does not apply.
func (s *Server) sendHeartbeat(conn *officeConn) {
	s.lastID++
	s.sendToOffice(conn, &office.Message{Type: office.HealthCheck, Call: s.lastID, HasCause: true})
}

// recordConnected records a new connection as activity. If its office was suspected or failed, the connection may be to a new
// process, unless bytes of the old one have been received on older connections since.
func (s *Server) recordConnected(remote *remoteOffice, conn *officeConn) {
	hadUnconfirmedActivity := remote.detector.HasUnconfirmedActivity()
	previous := remote.detector.RecordActivity(s.now)
	suspected := previous != liveness.Alive && !hadUnconfirmedActivity
	conn.connection = remote.address.Connected(s.now, suspected)
	remote.wasConnected = true
	if previous != liveness.Alive {
		s.recordAlive(remote, previous)
	}
	if suspected || !remote.holdersWatched {
		s.watchHolders(remote, conn.upOrDialledAt)
	}
}

// recordBytesFromOffice records bytes of an office as activity. If they show that a network partition has healed, another
// connection is opened, on which the office sends the releases that it could not send before. The connections that are being
// dialled were begun during the partition and may take long to come up, so maxDialling does not apply to this one. The first
// bytes of a suspected office are unconfirmed activity, as the partition may have delayed them: heartbeats are sent as well.
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

// recordAlive logs that a suspected or failed office is alive and ends the backoff of connections to it.
func (s *Server) recordAlive(remote *remoteOffice, previous liveness.State) {
	s.log(slog.LevelInfo, "office alive", slog.String("office", remote.id),
		slog.String("was", previous.String()), slog.Int("standing", remote.establishedCalls))
	remote.dialFailures, remote.reconnectAt = 0, 0
}

// officeFailed ends the established calls of an office that has failed. It may only be unreachable and still hold them, so they
// are released there once it can be reached. Attempts end as well: the office may have answered them before, and their answers may be
// lost.
func (s *Server) officeFailed(remote *remoteOffice) {
	s.log(slog.LevelWarn, "ending the calls of an office that has failed", slog.String("office", remote.id),
		slog.Duration("silent", remote.detector.Silence(s.now)), slog.Int("standing", remote.establishedCalls))
	s.dropAndRelease(remote, "its office is unresponsive")
	remote.address.Failed(s.now)
	for _, conn := range slices.Clone(remote.conns) {
		conn.suspect = true
		for _, call := range slices.Clone(conn.outstandingCalls) {
			s.endAttemptAtFailedOffice(call)
		}
		s.retireConn(conn)
	}
	s.ensureIdleConn(remote)
}

// oldAttemptAge is the age from which on no other attempt follows one at an office that has failed: if that one was answered, its caller
// must be told within liveness.EndReportLimit.
const oldAttemptAge = liveness.FailAfter - 2*time.Second

// endAttemptAtFailedOffice ends an attempt, and its call with it if the attempt is old.
func (s *Server) endAttemptAtFailedOffice(call *activeCall) {
	if s.holds(call) && s.now-call.sentAt >= oldAttemptAge {
		s.failEndedCall(call)
		s.endUnanswered(call)
	}
	if call.attemptOutstanding() {
		s.releaseAttempt(call, logic.TimedOut)
	}
}

// dropAndRelease ends the established calls of an office toward their callers, and toward the office once it is reachable.
func (s *Server) dropAndRelease(remote *remoteOffice, why string) {
	for _, call := range s.establishedAt(remote) {
		s.queueRelease(remote, release{wireID: call.wireID, cause: office.CauseTemporary})
	}
	s.dropEstablishedCalls(remote, why)
}
