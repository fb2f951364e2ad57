package callserver

import (
	"log/slog"

	"finchlatch/logic"
	"finchlatch/office"
)

func (s *Server) sendToOffice(conn *officeConn, msg *office.Message) {
	b, err := office.Append(nil, msg)
	if err != nil {
		s.log(slog.LevelError, "message that cannot be written", slog.String("err", err.Error()))
		return
	}
	s.traceOffice("to office", conn, msg)
	s.emit(Write{Conn: conn.id, Bytes: b})
}

// fromOffice takes bytes of an office.
func (s *Server) receiveFromOffice(conn *officeConn, data []byte) {
	conn.lastActivity = s.now
	conn.remote.earlyCloses = 0
	s.noteActivity(conn.remote)
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
	if s.officeConns[conn.id] == conn && conn.framer.Waiting() > 0 {
		s.armTimer(unfinishedMessageTimeout, timer{kind: timerUnfinishedMessage, id: uint64(conn.id), arg: conn.messageCount})
	}
}

// checkUnfinished closes a connection whose message has not ended.
func (s *Server) checkUnfinishedMessage(id ConnID, messageCount int) {
	if conn := s.officeConns[id]; conn != nil && conn.framer.Waiting() > 0 && conn.messageCount == messageCount {
		s.abortConn(conn, "a message without an end")
	}
}

// officeMessage takes one message of an office.
func (s *Server) handleOfficeMessage(conn *officeConn, msg *office.Message) {
	s.traceOffice("from office", conn, msg)
	switch msg.Type {
	case office.Answer:
		s.handleAnswer(conn, msg)
	case office.Release:
		s.handleRelease(conn, msg)
	case office.Heard:
		conn.unconfirmed.confirm(msg.Call)
	case office.GroupState:
		load, err := msg.Values(s.cfg.Settings.ReportFields)
		if err != nil {
			s.abortConn(conn, err.Error())
			return
		}
		conn.recordGroupState(s.cfg.Settings.ReportFields, load)
		// A change is told on each connection. A copy that comes after a set-up of ours would bring back the circuit
		// that it has just taken.
		if remote := conn.remote; msg.Load == remote.groupState && remote.lastReporter != conn && s.officeConns[remote.lastReporter.id] == remote.lastReporter {
			return
		}
		conn.remote.groupState, conn.remote.lastReporter = msg.Load, conn
		s.controller.Report(s.now, logic.Report{Office: conn.remote.id, OK: !msg.HasCause || msg.Cause == 1, Load: load})
	case office.TestReport:
		load, err := msg.Values(s.cfg.Settings.ReportFields)
		s.finishProbe(msg.Call, logic.Report{OK: err == nil && msg.HasCause && msg.Cause == 1, Load: load})
	}
}

// answer takes an answer: the call stands, if its caller still waits.
func (s *Server) handleAnswer(conn *officeConn, msg *office.Message) {
	call := conn.findAttempt(msg.Call)
	switch {
	case call == nil:
	case !office.GoodDescription(msg.Description):
		s.sendToOffice(conn, &office.Message{Type: office.Release, Call: msg.Call, Cause: office.CauseNormal, HasCause: true})
		s.abortConn(conn, "a description that cannot be read")
	case s.callsByWireID[call.wireID] != call:
		// Where attempts can't be cancelled, one goes on after its caller has been answered or has gone.
		s.sendToOffice(conn, &office.Message{Type: office.Release, Call: msg.Call, Cause: office.CauseNormal, HasCause: true})
		s.attemptEnded(call, logic.Outcome{Status: logic.Cancelled})
		s.retireConn(conn)
	default:
		s.establishCall(call, msg)
		s.retireConn(conn)
	}
}

// find is the call whose attempt is out on a connection.
func (c *officeConn) findAttempt(wireID uint64) *activeCall {
	for _, call := range c.outstanding {
		if call.wireID == wireID {
			return call
		}
	}
	return nil
}

// released takes a release: the end of an attempt, or of a call that stands.
func (s *Server) handleRelease(conn *officeConn, msg *office.Message) {
	load, err := msg.Values(s.cfg.Settings.ReportFields)
	if err != nil {
		s.abortConn(conn, err.Error())
		return
	}
	call := s.callsByWireID[msg.Call]
	if call != nil && call.remote == conn.remote && call.state == callSettingUp && msg.HasCause && msg.Cause == office.CauseNormal {
		s.endedBeforeAnswer(call, conn, load) // so ends only what has stood
		return
	}
	if call := conn.findAttempt(msg.Call); call != nil {
		outcome := logic.Outcome{Status: logic.Reset, Note: noteCodes[msg.Note], Load: load}
		if status, ok := statusByCause[msg.Cause]; ok && msg.HasCause {
			outcome.Status = status
		}
		if outcome.Status == logic.Reset && msg.Cause == office.CauseTemporary {
			s.setUpFailed(call, conn, outcome)
			return
		}
		s.attemptEnded(call, outcome)
		s.retireConn(conn)
		return
	}
	if call == nil {
		s.unclaimed.add(msg.Call, max(1, msg.Cause))
		return
	}
	if !call.remote.sharesAddress(conn.remote) || call.state == callSettingUp {
		return // of a call that is over already, or of an attempt that is
	}
	if s.belongsToEarlierAttempt(call, conn, msg.Cause) {
		return
	}
	if msg.HasCause && msg.Cause == office.CauseNormal {
		s.endEstablished(call, logic.Ended, msg.Cause, load, "ended by its office")
		return
	}
	s.endEstablished(call, logic.Reset, max(1, msg.Cause), load, "cut by its office")
	s.callDropped()
}
