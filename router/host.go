package router

import (
	"log/slog"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// host carries out the actions of the Controller.
type host struct{ r *Router }

// Send seizes the circuits and sends an IAM. What stands in the way is an outcome, told after the Controller
// has finished what it is doing.
func (h host) Send(id uint64, office string, timeout time.Duration) {
	r := h.r
	c := r.calls[id]
	if c == nil || c.out != nil {
		r.log(slog.LevelError, "attempt for a call that cannot have one", id, slog.String("office", office))
		return
	}
	c.attempts++
	c.office, c.sent, c.deadline, c.repeats = office, r.now, r.now+timeout, 0
	r.emit(Decision{At: r.now, Call: id, Act: logic.ActSend, Attempt: c.attempts - 1, Office: office})
	if status, note := r.attempt(c); status != 0 {
		r.attemptOver(c, status, note)
		return
	}
	r.arm(c.deadline, timer{kind: timerAttempt, call: id, attempt: c.attempts - 1})
}

// attempt sends the IAM of an attempt, or tells why not.
func (r *Router) attempt(c *call) (status logic.Status, note int) {
	p := r.byName[c.office]
	if p == nil {
		return logic.NotSent, 0
	}
	if !p.active() {
		return logic.NoConnect, 0
	}
	take := r.seize
	switch {
	case c.gone():
		return logic.NotSent, 0
	case c.in == nil:
		take = r.reserve
	}
	l, ok := take(c, p)
	if !ok {
		return logic.NotSent, logic.NoteCircuit
	}
	c.out = l
	return 0, 0
}

// seize takes circuits toward a peer and sends the IAM of a call on them.
func (r *Router) seize(c *call, p *peer) (*leg, bool) {
	l := &leg{call: c, peer: p}
	s := p.group.Seize(max(1, c.setup.Width), l)
	if s == nil {
		return nil, false
	}
	l.seizure = s
	p.group.Send(s, c.forward(r.now, s.Map))
	r.flush(p)
	r.onLink(l)
	r.touch(p)
	return l, true
}

// Refuse is a final answer.
func (h host) Refuse(id uint64, wait time.Duration) {
	if c := h.r.calls[id]; c != nil {
		h.r.emit(Decision{At: h.r.now, Call: id, Act: logic.ActRefuse})
		h.r.answer(c, Refused, c.refusal())
	}
}

// Fail is a final answer.
func (h host) Fail(id uint64) {
	if c := h.r.calls[id]; c != nil {
		h.r.emit(Decision{At: h.r.now, Call: id, Act: logic.ActFail})
		h.r.answer(c, Failed, c.failure())
	}
}

// Cancel releases an attempt that has no answer yet.
func (h host) Cancel(id uint64, attempt int) {
	r := h.r
	c := r.calls[id]
	if c == nil || c.out == nil || c.answered || c.attempts-1 != attempt {
		return
	}
	r.emit(Decision{At: r.now, Call: id, Act: logic.ActCancel, Attempt: attempt, Office: c.office})
	c.out.peer.group.Release(r.now, c.out.seizure, isup.ReleaseInfo{Cause: isup.CauseNormalUnspecified,
		Location: isup.LocationLocalNetwork})
	r.touch(c.out.peer)
	r.attemptOver(c, logic.Cancelled, 0)
}

// Probe and Tell are not allowed by our settings: ISUP has no such messages.
func (h host) Probe(string)     {}
func (h host) Tell(int, []byte) {}

// Timer arms a timer of the Controller.
func (h host) Timer(wait time.Duration, mark string) {
	h.r.arm(h.r.now+wait, timer{kind: timerMark, mark: mark})
}

// Watch is not needed: the list comes by itself.
func (h host) Watch(bool) {}

// Log passes a line on.
func (h host) Log(text string) { h.r.log(slog.LevelDebug, text, 0) }
