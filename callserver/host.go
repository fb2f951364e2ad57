package callserver

import (
	"log/slog"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// host implements logic.Host: it carries out the decisions of the Controller.
type host struct{ s *Server }

// Send starts an attempt. If it cannot be sent, the outcome is reported after the Controller has returned.
func (h host) Send(callID uint64, officeID string, timeout time.Duration) {
	s := h.s
	call, remote := s.calls[callID], s.offices[officeID]
	if call == nil || call.attemptActive || remote == nil {
		s.log(slog.LevelError, "cannot start attempt", slog.Uint64("call", callID), slog.String("office", officeID))
		return
	}
	s.emit(Decision{At: s.now, Call: callID, Action: logic.ActionSend, Office: officeID, Timeout: timeout})
	s.logDecision("attempt", call, slog.Int("number", call.attempts), slog.String("office", officeID), slog.Duration("within", timeout))
	call.attempts++
	call.remote, call.sentAt, call.attemptDeadline, call.attemptActive = remote, s.now, s.now+timeout, true
	remote.counts.sent++
	if remote.startedAt > 0 && s.now-remote.startedAt < s.cfg.Settings.ColdFor {
		remote.counts.sentCold++
	}
	attempt := call.attempts - 1
	s.armTimer(timeout, timer{kind: timerAttemptTimeout, id: callID, arg: attempt})
	if remote.state != logic.Ready || s.callsByWireID[call.wireID] != call {
		s.deferAttemptEnd(call, attempt, logic.NotSent)
		return
	}
	s.assignConn(call)
}

// deferAttemptEnd ends an attempt after the Controller has returned.
func (s *Server) deferAttemptEnd(call *activeCall, attempt int, status logic.Status) {
	s.deferWork(func() {
		if call.outstanding() && call.attempts-1 == attempt {
			s.attemptEnded(call, logic.Outcome{Status: status})
		}
	})
}

// logDecision logs a decision about a call with its history: the attempts made and how the last one ended.
func (s *Server) logDecision(text string, call *activeCall, attrs ...slog.Attr) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		attrs = append(attrs, slog.String("call", call.callID), slog.Int("attempts", call.attempts),
			slog.String("last", string(call.lastStatus)), slog.Int("last_note", call.lastNote), slog.Duration("age", s.now-call.offeredAt))
		s.log(slog.LevelDebug, text, attrs...)
	}
}

// Refuse gives the final answer of a call that may safely be tried again.
func (h host) Refuse(callID uint64, retryAfter time.Duration) {
	if call := h.s.calls[callID]; call != nil {
		h.s.emit(Decision{At: h.s.now, Call: callID, Action: logic.ActionRefuse})
		h.s.logDecision("call refused", call, slog.Duration("come_back", retryAfter))
		h.s.totals.Refused++
		seconds := 0
		if h.s.cfg.Settings.SendsRetryAfter {
			seconds = int((retryAfter + time.Second - 1) / time.Second)
		}
		h.s.refuseCall(call, 503, seconds)
	}
}

// Fail gives the final answer that the call has failed.
func (h host) Fail(callID uint64) {
	if call := h.s.calls[callID]; call != nil {
		h.s.emit(Decision{At: h.s.now, Call: callID, Action: logic.ActionFail})
		h.s.logDecision("call failed", call)
		h.s.totals.Failed++
		h.s.refuseCall(call, 500, 0)
	}
}

// Cancel releases an outstanding attempt.
func (h host) Cancel(callID uint64, attempt int) {
	s := h.s
	call := s.calls[callID]
	if call == nil || !call.outstanding() || call.attempts-1 != attempt {
		return
	}
	s.emit(Decision{At: s.now, Call: callID, Action: logic.ActionCancel, Office: call.remote.id})
	s.releaseAttempt(call, logic.Cancelled)
}

// probe is an outstanding health check that the Controller asked for.
type probe struct {
	officeID string
	sentAt   time.Duration
}

// Probe sends a health check to an office.
func (h host) Probe(officeID string) {
	s := h.s
	remote := s.offices[officeID]
	if remote == nil {
		return
	}
	s.lastCallID++
	id := s.lastCallID
	s.probes[id] = &probe{officeID: officeID, sentAt: s.now}
	s.armTimer(s.cfg.ConnectTimeout, timer{kind: timerProbeTimeout, id: id})
	if conn := remote.leastLoadedConn(); conn != nil {
		s.sendToOffice(conn, &office.Message{Type: office.HealthCheck, Call: id, HasCause: true})
	}
}

// finishProbe reports the result of a probe; a Report without OK means that it failed.
func (s *Server) finishProbe(id uint64, report logic.Report) {
	p := s.probes[id]
	if p == nil {
		return
	}
	delete(s.probes, id)
	report.Office, report.Elapsed = p.officeID, s.now-p.sentAt
	s.controller.Report(s.now, report)
}

// SendPeer does nothing: the platform does not let call servers exchange messages.
func (h host) SendPeer(int, []byte) {}

// Timer arms a timer of the Controller.
func (h host) Timer(delay time.Duration, mark string) {
	h.s.armTimer(delay, timer{kind: timerController, controllerMark: mark})
}

// Watch does nothing: service discovery pushes its updates.
func (h host) Watch(bool) {}

// Log logs a line of the Controller.
func (h host) Log(text string) { h.s.log(slog.LevelInfo, text) }
