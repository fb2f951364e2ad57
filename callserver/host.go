package callserver

import (
	"log/slog"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// host carries out the actions of the Controller.
type host struct{ s *Server }

// Send starts an attempt. What stands in its way is an outcome, told after the Controller has finished.
func (h host) Send(callID uint64, officeID string, timeout time.Duration) {
	s := h.s
	call, remote := s.calls[callID], s.offices[officeID]
	if call == nil || call.attemptActive || remote == nil {
		s.log(slog.LevelError, "attempt that cannot be made", slog.Uint64("call", callID), slog.String("office", officeID))
		return
	}
	s.emit(Decision{At: s.now, Call: callID, Act: logic.ActSend, Office: officeID, Within: timeout})
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

// endLater ends an attempt after the Controller has finished what it is doing.
func (s *Server) deferAttemptEnd(call *activeCall, attempt int, status logic.Status) {
	s.deferWork(func() {
		if call.outstanding() && call.attempts-1 == attempt {
			s.attemptEnded(call, logic.Outcome{Status: status})
		}
	})
}

// logDecision tells of a decision about a call, with what came before it: attempts made and how the last one ended.
func (s *Server) logDecision(text string, call *activeCall, attrs ...slog.Attr) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		attrs = append(attrs, slog.String("call", call.callID), slog.Int("attempts", call.attempts), slog.String("last", string(call.lastStatus)),
			slog.Int("last_note", call.lastNote), slog.Duration("age", s.now-call.offeredAt))
		s.log(slog.LevelDebug, text, attrs...)
	}
}

// Refuse is a final answer: trying again is harmless.
func (h host) Refuse(callID uint64, retryAfter time.Duration) {
	if call := h.s.calls[callID]; call != nil {
		h.s.emit(Decision{At: h.s.now, Call: callID, Act: logic.ActRefuse})
		h.s.logDecision("call refused", call, slog.Duration("come_back", retryAfter))
		h.s.totals.Refused++
		seconds := 0
		if h.s.cfg.Settings.TellsWait {
			seconds = int((retryAfter + time.Second - 1) / time.Second)
		}
		h.s.refuseCall(call, 503, seconds)
	}
}

// Fail is a final answer.
func (h host) Fail(callID uint64) {
	if call := h.s.calls[callID]; call != nil {
		h.s.emit(Decision{At: h.s.now, Call: callID, Act: logic.ActFail})
		h.s.logDecision("call failed", call)
		h.s.totals.Failed++
		h.s.refuseCall(call, 500, 0)
	}
}

// Cancel releases an attempt that has no answer yet.
func (h host) Cancel(callID uint64, attempt int) {
	s := h.s
	call := s.calls[callID]
	if call == nil || !call.outstanding() || call.attempts-1 != attempt {
		return
	}
	s.emit(Decision{At: s.now, Call: callID, Act: logic.ActCancel, Office: call.remote.id})
	s.releaseAttempt(call, logic.Cancelled)
}

// probe is a test of an office that is out.
type probe struct {
	officeID string
	sentAt   time.Duration
}

// Probe tests an office.
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
		s.sendToOffice(conn, &office.Message{Type: office.Test, Call: id, HasCause: true})
	}
}

// probeOver reports the end of a test; without an answer it has failed.
func (s *Server) finishProbe(id uint64, report logic.Report) {
	p := s.probes[id]
	if p == nil {
		return
	}
	delete(s.probes, id)
	report.Office, report.Took = p.officeID, s.now-p.sentAt
	s.controller.Report(s.now, report)
}

// Tell is not allowed by the platform: call servers share nothing.
func (h host) Tell(int, []byte) {}

// Timer arms a timer of the Controller.
func (h host) Timer(wait time.Duration, mark string) {
	h.s.armTimer(wait, timer{kind: timerController, controllerMark: mark})
}

// Watch is not needed: the list comes by itself.
func (h host) Watch(bool) {}

// Log passes a line on.
func (h host) Log(text string) { h.s.log(slog.LevelInfo, text) }
