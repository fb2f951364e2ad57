package callserver

import (
	"log/slog"

	"finchlatch/logic"
	"finchlatch/office"
)

func (s *Server) sendToOffice(conn *officeConn, msg *office.Message) {
	data, err := office.Append(nil, msg)
	if err != nil {
		s.log(slog.LevelError, "cannot encode message", slog.String("err", err.Error()))
		return
	}
	s.traceOffice("to office", conn, msg)
	s.emit(Write{Conn: conn.id, Bytes: data})
}

// receiveFromOffice handles bytes received from an office.
func (s *Server) receiveFromOffice(conn *officeConn, data []byte) {
	conn.lastActivity = s.now
	conn.remote.earlyCloses = 0
	s.recordBytesFromOffice(conn.remote)
	s.recordSign(conn)
	conn.framer.Write(data)
	for s.officeConns[conn.id] == conn {
		msg, err := conn.framer.Next()
		if err != nil {
			s.abortConn(conn, err.Error())
			return
		}
		if msg == nil {
			break
		}
		conn.messageCount++
		s.handleOfficeMessage(conn, msg)
	}
	if s.officeConns[conn.id] == conn && conn.framer.Buffered() > 0 {
		s.armTimer(unfinishedMessageTimeout, timer{kind: timerUnfinishedMessage, targetID: uint64(conn.id), arg: conn.messageCount})
	}
}

// checkUnfinishedMessage closes a connection if the message that was incomplete when the timer was armed still is.
func (s *Server) checkUnfinishedMessage(id ConnID, messageCount int) {
	if conn := s.officeConns[id]; conn != nil && conn.framer.Buffered() > 0 && conn.messageCount == messageCount {
		s.abortConn(conn, "message not completed")
	}
}

// causeHealthy is the cause in a group state or test report of an office that works.
const causeHealthy = 1

// handleOfficeMessage handles one message of an office.
func (s *Server) handleOfficeMessage(conn *officeConn, msg *office.Message) {
	s.traceOffice("from office", conn, msg)
	switch msg.Type {
	case office.Answer:
		s.handleAnswer(conn, msg)
	case office.Release:
		s.handleRelease(conn, msg)
	case office.ReleaseComplete:
		conn.remote.acknowledgesReleases = true
		conn.unacknowledged.acknowledge(msg.Call)
	case office.GroupState:
		load, err := msg.LoadValues(s.cfg.Settings.ReportFields)
		if err != nil {
			s.abortConn(conn, err.Error())
			return
		}
		conn.recordGroupState(s.cfg.Settings.ReportFields, load)
		if s.isRepeatedGroupState(conn, msg.Load) {
			return
		}
		conn.remote.groupState, conn.remote.groupStateConn = msg.Load, conn
		s.controller.Report(s.now, logic.Report{Office: conn.remote.id, OK: !msg.HasCause || msg.Cause == causeHealthy, Load: load})
	case office.HealthReport:
		load, err := msg.LoadValues(s.cfg.Settings.ReportFields)
		s.finishHealthCheck(msg.Call, logic.Report{OK: err == nil && msg.HasCause && msg.Cause == causeHealthy, Load: load})
	}
}

// isRepeatedGroupState reports whether a group state is a copy of the last one. An office reports a change on each connection.
// Applying a copy that arrives after a new set-up would count the circuit that the set-up has just taken as free again.
func (s *Server) isRepeatedGroupState(conn *officeConn, load string) bool {
	last := conn.remote.groupStateConn
	return last != nil && last != conn && s.officeConns[last.id] == last && load == conn.remote.groupState
}

// handleAnswer handles an answer: the call is established if its caller still waits.
func (s *Server) handleAnswer(conn *officeConn, msg *office.Message) {
	call := conn.findAttempt(msg.Call)
	switch {
	case call == nil:
	case !office.ValidDescription(msg.Description):
		s.sendToOffice(conn, &office.Message{Type: office.Release, Call: msg.Call, Cause: office.CauseNormal, HasCause: true})
		s.abortConn(conn, "invalid session description")
	case !s.holds(call):
		// Where attempts cannot be cancelled, one goes on after its caller has had the final answer or has hung up.
		s.sendToOffice(conn, &office.Message{Type: office.Release, Call: msg.Call, Cause: office.CauseNormal, HasCause: true})
		s.attemptEnded(call, logic.Outcome{Status: logic.Cancelled})
		s.retireConn(conn)
	default:
		s.establishCall(call, msg)
		s.retireConn(conn)
	}
}

// findAttempt returns the call with this wire ID that has an attempt on the connection, or nil.
func (c *officeConn) findAttempt(wireID uint64) *activeCall {
	for _, call := range c.outstandingCalls {
		if call.wireID == wireID {
			return call
		}
	}
	return nil
}

// handleRelease handles a release, which ends an attempt or an established call. One that comes on the connection of an
// outstanding attempt is for that attempt. Any other one is for the call that has its ID now, if it can be: clients may use the
// ID of a call again that is over.
func (s *Server) handleRelease(conn *officeConn, msg *office.Message) {
	load, err := msg.LoadValues(s.cfg.Settings.ReportFields)
	if err != nil {
		s.abortConn(conn, err.Error())
		return
	}
	if call := conn.findAttempt(msg.Call); call != nil {
		s.handleReleaseOfAttempt(call, conn, msg, load)
		return
	}
	call := s.callsByWireID[msg.Call]
	switch {
	case call == nil:
		s.unclaimed.add(msg.Call, max(1, msg.Cause))
	case s.belongsToEndedCall(call, conn):
	case call.state == callEstablished:
		s.handleReleaseOfEstablished(call, conn, msg, load)
	case call.lastSentTo == conn.remote && msg.HasCause && msg.Cause == office.CauseNormal:
		s.callEndedBeforeAnswer(call, conn, load)
	default: // the attempt that it ends is over
	}
}

// handleReleaseOfAttempt handles the release of an outstanding attempt. Only an established call ends with the normal cause.
func (s *Server) handleReleaseOfAttempt(call *activeCall, conn *officeConn, msg *office.Message, load []float64) {
	if msg.HasCause && msg.Cause == office.CauseNormal && s.holds(call) {
		s.callEndedBeforeAnswer(call, conn, load)
		return
	}
	outcome := logic.Outcome{Status: logic.Reset, Note: noteCodes[msg.Note], Load: load}
	if status, ok := statusByCause[msg.Cause]; ok && msg.HasCause {
		outcome.Status = status
	}
	if outcome.Note != 0 {
		s.recordEvidence(call.callerConn, sentUsableSetUp)
	}
	if outcome.Status == logic.Reset && msg.Cause == office.CauseTemporary {
		s.setUpFailed(call, conn, outcome)
		return
	}
	s.attemptEnded(call, outcome)
	s.retireConn(conn)
}

// handleReleaseOfEstablished handles the release of an established call. Its caller is given the cause in the Reason header of the
// BYE. A release without a cause counts as one with cause 1, as 0 would leave the header out.
func (s *Server) handleReleaseOfEstablished(call *activeCall, conn *officeConn, msg *office.Message, load []float64) {
	if !s.mayEndEstablished(call, conn, msg.Cause) {
		return
	}
	s.identify(call, conn)
	call.evidence = carriedCall
	s.recordEvidence(call.callerConn, carriedCall)
	if msg.HasCause && msg.Cause == office.CauseNormal {
		s.endEstablished(call, logic.Ended, msg.Cause, load, "ended by its office")
		return
	}
	s.endEstablished(call, logic.Reset, max(1, msg.Cause), load, "dropped by its office")
	s.callDropped()
}

// mayEndEstablished reports whether a release on a connection is that of an established call. The office of a claimed call that service
// discovery does not list yet may serve at any address, and only established calls are released with the normal and the
// temporary-failure cause once the connection of their set-up has ended.
func (s *Server) mayEndEstablished(call *activeCall, conn *officeConn, cause byte) bool {
	if call.remote.unlisted() {
		return cause == office.CauseNormal || cause == office.CauseTemporary
	}
	return call.remote.sharesAddress(conn.remote) && !s.belongsToEarlierAttempt(call, conn, cause)
}
