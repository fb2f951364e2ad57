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
func (h host) Send(callID uint64, office string, timeout time.Duration) {
	r := h.router
	call := r.calls[callID]
	if call == nil || call.outgoing != nil {
		r.log(slog.LevelError, "cannot start an attempt: the call is unknown or has an outstanding attempt", callID,
			slog.String("office", office))
		return
	}
	call.attempts++
	call.attemptPeer, call.sentAt, call.attemptDeadline, call.repeats = office, r.now, r.now+timeout, 0
	r.emit(Decision{At: r.now, Call: callID, Action: logic.ActionSend, Attempt: call.attempts - 1, Office: office})
	if status, note := r.sendAttempt(call); status != 0 {
		r.attemptEnded(call, status, note)
		return
	}
	r.armTimer(call.attemptDeadline, timer{kind: timerAttempt, call: callID, attempt: call.attempts - 1})
}

// sendAttempt sends the IAM of an attempt, or reserves its circuits while the call has no set-up. It returns status 0 if it
// could, and the reason otherwise.
func (r *Router) sendAttempt(call *call) (status logic.Status, note int) {
	peer := r.peersByName[call.attemptPeer]
	if peer == nil {
		return logic.NotSent, 0
	}
	if !peer.active() {
		return logic.NoConnect, 0
	}
	takeCircuits := r.seize
	switch {
	case call.withoutCaller():
		return logic.NotSent, 0
	case call.incoming == nil:
		takeCircuits = r.reserve
	}
	leg, ok := takeCircuits(call, peer)
	if !ok {
		return logic.NotSent, logic.NoteCircuit
	}
	call.outgoing = leg
	return 0, 0
}

// seize seizes circuits toward a peer and sends the IAM of a call on them. It returns false if too few are free.
func (r *Router) seize(call *call, peer *peer) (*leg, bool) {
	leg := &leg{call: call, peer: peer}
	seizure := peer.group.Seize(max(1, call.setup.Width), leg)
	if seizure == nil {
		return nil, false
	}
	leg.seizure = seizure
	peer.group.Send(seizure, call.forwardedIAM(r.now, seizure.CircuitMap))
	r.flush(peer)
	r.recordSendPosition(leg)
	r.markPending(peer)
	return leg, true
}

// Refuse gives a call the final answer Refused. It ignores the retry-after: the Controller's settings do not announce one,
// and ISUP cannot carry it.
func (h host) Refuse(callID uint64, wait time.Duration) {
	if call := h.router.calls[callID]; call != nil {
		h.router.emit(Decision{At: h.router.now, Call: callID, Action: logic.ActionRefuse})
		h.router.rejectCall(call, Refused, call.refusalInfo())
	}
}

// Fail gives a call the final answer Failed.
func (h host) Fail(callID uint64) {
	if call := h.router.calls[callID]; call != nil {
		h.router.emit(Decision{At: h.router.now, Call: callID, Action: logic.ActionFail})
		h.router.rejectCall(call, Failed, call.failureInfo())
	}
}

// Cancel releases an outstanding attempt.
func (h host) Cancel(callID uint64, attempt int) {
	r := h.router
	call := r.calls[callID]
	if call == nil || call.outgoing == nil || call.established || call.attempts-1 != attempt {
		return
	}
	r.emit(Decision{At: r.now, Call: callID, Action: logic.ActionCancel, Attempt: attempt, Office: call.attemptPeer})
	call.outgoing.peer.group.Release(r.now, call.outgoing.seizure, isup.ReleaseInfo{Cause: isup.CauseNormalUnspecified,
		Location: isup.LocationLocalNetwork})
	r.markPending(call.outgoing.peer)
	r.attemptEnded(call, logic.Cancelled, 0)
}

// Probe does nothing: ISUP has no such message, and the Controller's settings do not allow it.
func (h host) Probe(string) {}

// SendPeer does nothing, for the same reason as Probe.
func (h host) SendPeer(int, []byte) {}

// Timer arms a timer for the Controller.
func (h host) Timer(wait time.Duration, mark string) {
	h.router.armTimer(h.router.now+wait, timer{kind: timerMark, mark: mark})
}

// Watch does nothing: updates from service discovery arrive without a request.
func (h host) Watch(bool) {}

// Log emits a log line of the Controller.
func (h host) Log(text string) { h.router.log(slog.LevelDebug, text, 0) }
