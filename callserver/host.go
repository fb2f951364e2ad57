package callserver

import (
	"log/slog"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// host implements logic.Host: it carries out the decisions of the Controller.
type host struct{ s *Server }

// Send starts an attempt. If it cannot be sent, its outcome NotSent is reported after the Controller has returned.
func (h host) Send(id uint64, officeID string, timeout time.Duration) {
	s := h.s
	call, remote := s.callsByID[id], s.offices[officeID]
	if call == nil || call.awaitsOutcome || remote == nil {
		s.log(slog.LevelError, "cannot start attempt: unknown call, unknown office, or the last attempt has not ended",
			slog.Uint64("call", id), slog.String("office", officeID))
		return
	}
	s.emit(Decision{At: s.now, Call: id, Action: logic.ActionSend, Office: officeID, Timeout: timeout})
	s.logWithHistory("attempt", call, slog.Int("number", call.attempts), slog.String("office", officeID), slog.Duration("within", timeout))
	call.attempts++
	call.remote, call.sentAt, call.attemptDeadline, call.awaitsOutcome = remote, s.now, s.now+timeout, true
	remote.counts.sent++
	if remote.startedAt > 0 && s.now-remote.startedAt < s.cfg.Settings.ColdFor {
		remote.counts.sentCold++
	}
	attempt := call.attempts - 1
	s.armTimer(timeout, timer{kind: timerAttemptTimeout, targetID: id, arg: attempt})
	if remote.state != logic.Ready || !s.holds(call) {
		s.deferAttemptEnd(call, attempt, logic.NotSent)
		return
	}
	s.assignConn(call)
}

// deferAttemptEnd ends an attempt after the Controller has returned.
func (s *Server) deferAttemptEnd(call *activeCall, attempt int, status logic.Status) {
	s.deferWork(func() {
		if call.attemptOutstanding() && call.attempts-1 == attempt {
			s.attemptEnded(call, logic.Outcome{Status: status})
		}
	})
}

// logWithHistory logs a text about a call at debug level, with the number of its attempts and how the last one ended.
func (s *Server) logWithHistory(text string, call *activeCall, attrs ...slog.Attr) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		attrs = append(attrs, slog.String("call", call.callID), slog.Int("attempts", call.attempts),
			slog.String("last", string(call.lastStatus)), slog.Int("last_note", call.lastNote), slog.Duration("age", s.now-call.offeredAt))
		s.log(slog.LevelDebug, text, attrs...)
	}
}

// Refuse gives a call the final answer 503: it cannot be set up, has had no effect, and may be redialled after the retry-after.
// That is rounded up to seconds, and sent if the settings allow it.
func (h host) Refuse(id uint64, retryAfter time.Duration) {
	if call := h.s.callsByID[id]; call != nil {
		h.s.emit(Decision{At: h.s.now, Call: id, Action: logic.ActionRefuse})
		h.s.logWithHistory("call refused", call, slog.Duration("come_back", retryAfter))
		h.s.totals.Refused++
		seconds := 0
		if h.s.cfg.Settings.SendsRetryAfter {
			seconds = int((retryAfter + time.Second - 1) / time.Second)
		}
		h.s.sendNegativeAnswer(call, 503, seconds)
	}
}

// Fail gives a call the final answer 500: it has failed, and an attempt may have taken effect at an office.
func (h host) Fail(id uint64) {
	if call := h.s.callsByID[id]; call != nil {
		h.s.emit(Decision{At: h.s.now, Call: id, Action: logic.ActionFail})
		h.s.logWithHistory("call failed", call)
		h.s.totals.Failed++
		h.s.sendNegativeAnswer(call, 500, 0)
	}
}

// Cancel releases an outstanding attempt.
func (h host) Cancel(id uint64, attempt int) {
	s := h.s
	call := s.callsByID[id]
	if call == nil || !call.attemptOutstanding() || call.attempts-1 != attempt {
		return
	}
	s.emit(Decision{At: s.now, Call: id, Action: logic.ActionCancel, Office: call.remote.id})
	s.releaseAttempt(call, logic.Cancelled)
}

// healthCheck is a HealthCheck message that the Controller asked for and that has no answer yet.
type healthCheck struct {
	officeID string
	sentAt   time.Duration
}

// Probe sends a health check to an office on a connection that is up. Without one nothing is sent, and the health check fails
// after Config.ConnectTimeout.
func (h host) Probe(officeID string) {
	s := h.s
	remote := s.offices[officeID]
	if remote == nil {
		return
	}
	s.lastID++
	id := s.lastID
	s.healthChecks[id] = &healthCheck{officeID: officeID, sentAt: s.now}
	s.armTimer(s.cfg.ConnectTimeout, timer{kind: timerHealthCheckTimeout, targetID: id})
	if conn := remote.leastLoadedConn(); conn != nil {
		s.sendToOffice(conn, &office.Message{Type: office.HealthCheck, Call: id, HasCause: true})
	}
}

// finishHealthCheck reports the result of a health check to the Controller; a Report without OK means that it failed. The ID of
// a heartbeat is not known here, and the answer to one is not reported.
func (s *Server) finishHealthCheck(id uint64, report logic.Report) {
	check := s.healthChecks[id]
	if check == nil {
		return
	}
	delete(s.healthChecks, id)
	report.Office, report.Elapsed = check.officeID, s.now-check.sentAt
	s.controller.Report(s.now, report)
}

// SendPeer does nothing: call servers of the platform do not exchange messages.
func (h host) SendPeer(int, []byte) {}

// Timer arms a timer of the Controller.
func (h host) Timer(delay time.Duration, mark string) {
	h.s.armTimer(delay, timer{kind: timerController, controllerMark: mark})
}

// Watch does nothing: service discovery pushes its updates.
func (h host) Watch(bool) {}

// Log logs a line of the Controller.
func (h host) Log(text string) { h.s.log(slog.LevelInfo, text) }
