package router

import (
	"log/slog"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// host implements logic.Host: it carries out the actions of the Controller.
type host struct{ router *Router }

// Send starts an attempt: it seizes circuits and sends an IAM. A failure to do so is reported as a deferred outcome.
func (h host) Send(id uint64, office string, timeout time.Duration) {
	r := h.router
	c := r.calls[id]
	if c == nil || c.outgoing != nil {
		r.log(slog.LevelError, "attempt for an unknown call, or for one with an outstanding attempt", id, slog.String("office", office))
		return
	}
	c.attempts++
	c.office, c.sentAt, c.attemptDeadline, c.repeats = office, r.now, r.now+timeout, 0
	r.emit(Decision{At: r.now, Call: id, Action: logic.ActSend, Attempt: c.attempts - 1, Office: office})
	if status, note := r.sendAttempt(c); status != 0 {
		r.attemptEnded(c, status, note)
		return
	}
	r.armTimer(c.attemptDeadline, timer{kind: timerAttempt, call: id, attempt: c.attempts - 1})
}

// sendAttempt sends the IAM of an attempt, or reserves its circuits while the call has no set-up. A status other than 0
// is the reason why it could not.
func (r *Router) sendAttempt(c *call) (status logic.Status, note int) {
	p := r.peersByName[c.office]
	if p == nil {
		return logic.NotSent, 0
	}
	if !p.active() {
		return logic.NoConnect, 0
	}
	takeCircuits := r.seize
	switch {
	case c.withoutCaller():
		return logic.NotSent, 0
	case c.incoming == nil:
		takeCircuits = r.reserve
	}
	l, ok := takeCircuits(c, p)
	if !ok {
		return logic.NotSent, logic.NoteCircuit
	}
	c.outgoing = l
	return 0, 0
}

// seize seizes circuits toward a peer and sends the IAM of a call on them. It returns false if too few are free.
func (r *Router) seize(c *call, p *peer) (*leg, bool) {
	l := &leg{call: c, peer: p}
	seizure := p.group.Seize(max(1, c.setup.Width), l)
	if seizure == nil {
		return nil, false
	}
	l.seizure = seizure
	p.group.Send(seizure, c.forwardedIAM(r.now, seizure.Map))
	r.flush(p)
	r.recordSendPosition(l)
	r.markPending(p)
	return l, true
}

// Refuse gives the final answer that a call is refused.
func (h host) Refuse(id uint64, wait time.Duration) {
	if c := h.router.calls[id]; c != nil {
		h.router.emit(Decision{At: h.router.now, Call: id, Action: logic.ActRefuse})
		h.router.rejectCall(c, Refused, c.refusalInfo())
	}
}

// Fail gives the final answer that a call has failed.
func (h host) Fail(id uint64) {
	if c := h.router.calls[id]; c != nil {
		h.router.emit(Decision{At: h.router.now, Call: id, Action: logic.ActFail})
		h.router.rejectCall(c, Failed, c.failureInfo())
	}
}

// Cancel releases an outstanding attempt.
func (h host) Cancel(id uint64, attempt int) {
	r := h.router
	c := r.calls[id]
	if c == nil || c.outgoing == nil || c.established || c.attempts-1 != attempt {
		return
	}
	r.emit(Decision{At: r.now, Call: id, Action: logic.ActCancel, Attempt: attempt, Office: c.office})
	c.outgoing.peer.group.Release(r.now, c.outgoing.seizure, isup.ReleaseInfo{Cause: isup.CauseNormalUnspecified,
		Location: isup.LocationLocalNetwork})
	r.markPending(c.outgoing.peer)
	r.attemptEnded(c, logic.Cancelled, 0)
}

// Probe does nothing: ISUP has no such message, and the Controller's settings do not allow it.
func (h host) Probe(string) {}

// Tell does nothing, for the same reason as Probe.
func (h host) Tell(int, []byte) {}

// Timer arms a timer for the Controller.
func (h host) Timer(wait time.Duration, mark string) {
	h.router.armTimer(h.router.now+wait, timer{kind: timerMark, mark: mark})
}

// Watch does nothing: updates from service discovery arrive without a request.
func (h host) Watch(bool) {}

// Log emits a log line of the Controller.
func (h host) Log(text string) { h.router.log(slog.LevelDebug, text, 0) }
