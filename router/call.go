package router

import (
	"log/slog"
	"time"

	"finchlatch/ingress"
	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/trunk"
)

// call is a call that this Router handles, from its IAM or ENUM query to its end.
type call struct {
	id              uint64
	incoming        *leg // toward the caller; nil before the set-up of a query and after the release
	outgoing        *leg // of the outstanding attempt or the established call; nil without one
	iam             *isup.Message
	setup           isup.Setup
	class           int
	destination     int
	hopCounter      int
	managed         bool // the Controller decides on the call; false for calls to subscribers of this exchange
	transit         bool // the call came from another exchange
	receivedAt      time.Duration
	attempts        int
	office          string           // exchange or peer of the latest attempt
	sentAt          time.Duration    // time of the latest attempt
	attemptDeadline time.Duration    // time-out of the latest attempt
	repeats         int              // repeated set-ups of the latest attempt, after lost dual seizures
	acmSent         bool             // ACM has been sent to the caller
	established     bool             // the called side has answered
	answerMessage   *isup.Message    // the ANM or CON sent to the caller
	lastRelease     isup.ReleaseInfo // why the latest attempt ended
	lease           *lease           // lease or query that the call began with, until its set-up or its end
	client          *peer            // client whose fair share the call was offered to
	admitted        bool             // the call counts in the fair share of its client
	congestionLevel ingress.Level    // congestion level of the client when the call was offered
}

// leg is one side of a call with its circuits.
type leg struct {
	call      *call
	peer      *peer
	seizure   *trunk.Seizure
	link      *link // connection that the latest message was sent on
	endOffset int64 // offset in the byte stream of link after that message
}

// handleGroupEvent handles an event of the trunk group of a peer.
func (r *Router) handleGroupEvent(p *peer, e trunk.Event) {
	if e.Kind == trunk.Alert {
		r.log(slog.LevelWarn, e.Text, 0, slog.String("peer", p.cfg.Name))
		return
	}
	if e.Kind == trunk.Arrived {
		r.handleSetup(p, e.Seizure, e.Message)
		return
	}
	l, ok := e.Seizure.Owner.(*leg)
	if !ok {
		return
	}
	switch {
	case l == l.call.outgoing && e.Kind == trunk.Progress:
		r.handleBackwardMessage(l.call, e.Message)
	case l == l.call.outgoing:
		r.outgoingEnded(l.call, e)
	case l == l.call.incoming && e.Kind != trunk.Progress:
		r.incomingEnded(l.call, e)
	}
}

// copyMessage copies a message whose parameter values point into a receive buffer.
func copyMessage(message *isup.Message) *isup.Message {
	size := 0
	for _, p := range message.Params {
		size += len(p.Value)
	}
	if len(message.Params) == 0 {
		return &isup.Message{CIC: message.CIC, Type: message.Type}
	}
	values, copied := make([]byte, 0, size), &isup.Message{CIC: message.CIC, Type: message.Type, Params: make([]isup.Param, len(message.Params))}
	for i, p := range message.Params {
		start := len(values)
		values = append(values, p.Value...)
		copied.Params[i] = isup.Param{Code: p.Code, Value: values[start:len(values):len(values)]}
	}
	return copied
}

// handleSetup handles the IAM of a new call. The Controller decides whether the call is admitted and where it goes,
// except for calls to subscribers of this exchange.
func (r *Router) handleSetup(p *peer, seizure *trunk.Seizure, iam *isup.Message) {
	if r.takeOverLease(p, seizure, iam) {
		return
	}
	r.lastCallID++
	c := &call{id: r.lastCallID, iam: copyMessage(iam), receivedAt: r.now - r.queueDelay, transit: p.cfg.Kind == PeerExchange, class: -1}
	c.incoming = &leg{call: c, peer: p, seizure: seizure}
	seizure.Owner = c.incoming
	c.setup, _ = iam.Setup() // cannot fail: the group has already refused unreadable set-ups
	r.calls[c.id] = c
	entry, found := r.numberingTable.Find(c.setup.Called.Digits)
	if c.class = r.categories.Of(c.setup.Category); found && entry.Class >= 0 {
		c.class = entry.Class
	}
	c.destination, c.hopCounter = entry.Exchange, r.cfg.Hops
	if c.setup.Hops >= 0 {
		c.hopCounter = c.setup.Hops
	}
	instruction := isup.Unrecognized(c.iam, !found || entry.Exchange != r.ownExchange.Number)
	location := isup.LocationLocalNetwork
	switch {
	case instruction.Release || instruction.Discard:
		r.rejectCall(c, Failed, isup.ReleaseInfo{Cause: instruction.Cause, Location: location})
	case r.draining:
		r.rejectCall(c, Refused, isup.ReleaseInfo{Cause: isup.CauseCongestion, Location: location, Congestion: 2})
	case !found:
		r.rejectCall(c, Failed, isup.ReleaseInfo{Cause: isup.CauseUnallocated, Location: location})
	case !r.admit(c, p):
		r.rejectCall(c, Refused, isup.ReleaseInfo{Cause: isup.CauseCongestion, Location: location, Congestion: byte(c.congestionLevel)})
	case entry.Exchange == r.ownExchange.Number:
		r.routeToSubscribers(c)
	case c.hopCounter == 0:
		r.rejectCall(c, Failed, isup.ReleaseInfo{Cause: isup.CauseProtocolError, Location: location})
	default:
		r.offerToController(c, p)
	}
}

// offerToController lets the Controller decide on a call.
func (r *Router) offerToController(c *call, p *peer) {
	c.managed = true
	via := -1
	if c.transit {
		via = r.offices[p.cfg.Name].Exchange
	}
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "offered", c.id, slog.String("from", p.cfg.Name), slog.String("called", c.setup.Called.Digits),
			slog.Int("class", c.class), slog.Int("width", c.setup.Width))
	}
	r.controller.Offered(r.now, logic.Call{ID: c.id, Class: c.class, Dest: c.destination, Width: c.setup.Width, Via: via,
		Transit: c.transit, Number: c.setup.Called.Digits, TimeLeft: r.remainingPatience(c)})
}

// remainingPatience returns how long the caller will still wait: the patience of the class less the propagation delay
// in the IAM and the time since the call was received.
func (r *Router) remainingPatience(c *call) time.Duration {
	class := r.cfg.Classes[max(0, c.class)]
	return class.Patience - c.setup.Elapsed - (r.now - c.receivedAt)
}

// routeToSubscribers sends a call to the subscriber lines of this exchange. The final answer is due two ticks before the
// caller's patience ends.
func (r *Router) routeToSubscribers(c *call) {
	deadline := r.now + r.remainingPatience(c) - 2*r.cfg.Tick - time.Millisecond
	for _, p := range r.peers {
		if p.cfg.Kind != PeerSubscribers || deadline <= r.now {
			continue
		}
		c.attempts, c.office, c.sentAt = 1, p.cfg.Name, r.now
		if status, _ := r.sendAttempt(c); status == 0 {
			r.armTimer(deadline, timer{kind: timerAnswerDeadline, call: c.id})
			return
		}
	}
	r.rejectCall(c, Refused, isup.ReleaseInfo{Cause: isup.CauseNoCircuit, Location: isup.LocationRemote})
}

// forwardedIAM returns the IAM to send onward: the received one, with its unknown parameters, but with the circuits, hop
// counter and propagation delay counter updated. The delay counter tells the next exchange how much of the caller's
// patience is used up.
func (c *call) forwardedIAM(now time.Duration, circuits uint32) *isup.Message {
	message := &isup.Message{Type: isup.IAM, Params: make([]isup.Param, 0, len(c.iam.Params)+3)}
	for _, p := range c.iam.Params {
		if p.Code != isup.ParamCircuitMap {
			message.Params = append(message.Params, p)
		}
	}
	message.SetSetup(isup.Setup{Map: circuits, Elapsed: c.setup.Elapsed + now - c.receivedAt, Hops: c.hopCounter - 1})
	return message
}

// handleBackwardMessage handles a message from the called side of a call.
func (r *Router) handleBackwardMessage(c *call, message *isup.Message) {
	switch message.Type {
	case isup.ACM, isup.CPG:
		if !c.established && c.incoming != nil {
			if message = copyMessage(message); c.acmSent && message.Type == isup.ACM { // of a later attempt: the caller already has an ACM
				message = isup.Simple(isup.CPG, 0)
			} else if !c.acmSent && message.Type == isup.CPG {
				return
			}
			c.acmSent = true
			r.sendOrHold(c.incoming, message)
		}
	case isup.ANM, isup.CON:
		r.handleAnswer(c, message)
	}
}

// handleAnswer handles ANM or CON from the called side: the call is established.
func (r *Router) handleAnswer(c *call, message *isup.Message) {
	if c.established || c.incoming == nil {
		return
	}
	c.established = true
	r.reportToShares(c, true)
	answer := copyMessage(message)
	if !c.acmSent && message.Type == isup.ANM { // an answer without address complete is a connect (Q.764 2.1.7)
		params := answer.Params
		answer = isup.Simple(isup.CON, 0)
		answer.Params = append(answer.Params, params...)
	} else if c.acmSent && message.Type == isup.CON {
		answer = isup.Simple(isup.ANM, 0)
	}
	c.answerMessage = answer
	r.sendOrHold(c.incoming, answer)
	r.emit(Answer{At: r.now, Call: c.id, Verdict: Stands, Elapsed: r.now - c.receivedAt, Transit: c.transit || !c.managed})
	if c.managed {
		r.controller.Stands(r.now, logic.Outcome{Call: c.id, Attempt: c.attempts - 1, Office: c.office, Took: r.now - c.sentAt})
	}
}

// outgoingEnded handles the end of the outgoing leg by the far side.
func (r *Router) outgoingEnded(c *call, e trunk.Event) {
	var info isup.ReleaseInfo
	switch e.Kind {
	case trunk.Lost:
		r.repeatSetup(c)
		return
	case trunk.Cut:
		info = isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure, Location: isup.LocationLocalNetwork}
	case trunk.Released:
		info = e.Message.Release()
	}
	c.lastRelease = info
	status, note := r.outcomeOf(c, info)
	if c.established {
		status, note = logic.Ended, 0
		if e.Kind == trunk.Cut || info.Cause == isup.CauseTemporaryFailure {
			status = logic.Reset
		}
		c.outgoing = nil
		if c.managed {
			r.establishedEnded(c, status)
		}
		r.finish(c, info)
		return
	}
	if c.managed {
		r.attemptEnded(c, status, note)
		return
	}
	c.outgoing = nil
	r.rejectCall(c, verdictOf(info.Cause), info)
}

// verdictOf returns the verdict of a call that ended with a cause before it was established.
func verdictOf(cause isup.Cause) Verdict {
	if cause == isup.CauseNoCircuit || cause == isup.CauseCongestion {
		return Refused
	}
	return Failed
}

// outcomeOf translates the cause of a failed attempt for the Controller; docs/DESIGN.md has the table.
func (r *Router) outcomeOf(c *call, info isup.ReleaseInfo) (logic.Status, int) {
	twoLeg := r.offices[c.office].Exchange != c.destination
	switch info.Cause {
	case isup.CauseNoCircuit:
		if twoLeg {
			return logic.Full, logic.NoteTurnedBack
		}
		return logic.Full, logic.NoteCircuit
	case isup.CauseCongestion:
		if twoLeg && info.Location == isup.LocationBeyond {
			return logic.Full, logic.NoteBeyondFull
		}
		return logic.Full, logic.NoteProcessor
	case isup.CauseUserBusy:
		return logic.Faulted, logic.NoteBusy
	case isup.CauseTemporaryFailure:
		return logic.Reset, 0
	}
	return logic.Faulted, 0
}

// repeatSetup repeats a set-up that lost a dual seizure on another circuit of its group, within the same attempt
// (Q.764 2.9.1.4). The lost set-up never ran, so the two are not outstanding together. The rules apply to the repeat as
// to any set-up: it goes only to a ready exchange, and not after the attempt's time-out.
func (r *Router) repeatSetup(c *call) {
	c.outgoing = nil
	c.repeats++
	ready := !c.managed || r.effectiveOffice(r.offices[c.office]).State == logic.Ready
	if status, note := logic.NotSent, logic.NoteCircuit; c.repeats > maxSetupRepeats || !ready || c.managed && r.now >= c.attemptDeadline {
		r.attemptNotSent(c, status, note)
	} else if status, note = r.sendAttempt(c); status != 0 {
		r.attemptNotSent(c, status, note)
	}
}

// attemptNotSent ends an attempt that never ran.
func (r *Router) attemptNotSent(c *call, status logic.Status, note int) {
	if c.managed {
		r.attemptEnded(c, status, note)
		return
	}
	r.rejectCall(c, Refused, isup.ReleaseInfo{Cause: isup.CauseNoCircuit, Location: isup.LocationRemote})
}

// timeOutAttempt ends an attempt that was not answered within the time-out set by the Controller. Its circuits stay busy
// until RLC arrives.
func (r *Router) timeOutAttempt(c *call) {
	c.lastRelease = isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork}
	c.outgoing.peer.group.Release(r.now, c.outgoing.seizure, c.lastRelease)
	r.markPending(c.outgoing.peer)
	r.attemptEnded(c, logic.TimedOut, 0)
}

// attemptEnded reports the outcome of the latest attempt to the Controller. The report is deferred, because the
// Controller may be the caller.
func (r *Router) attemptEnded(c *call, status logic.Status, note int) {
	c.outgoing = nil
	outcome := logic.Outcome{Call: c.id, Attempt: c.attempts - 1, Office: c.office, Status: status, Note: note,
		Took: r.now - c.sentAt, Over: c.withoutCaller()}
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "attempt ended", c.id, slog.Int("attempt", outcome.Attempt), slog.String("office", outcome.Office),
			slog.String("status", string(status)), slog.Int("note", note))
	}
	if p := r.peersByName[c.office]; p != nil && p.cfg.Kind == PeerExchange {
		outcome.Load = []float64{float64(p.group.Spare()), float64(p.group.Total())}
	}
	r.deferWork(func() {
		outcome.Over = outcome.Over || c.withoutCaller()
		r.controller.Outcome(r.now, outcome)
		if c.withoutCaller() {
			r.forget(c)
		}
	})
}

// establishedEnded reports the end of an established call to the Controller.
func (r *Router) establishedEnded(c *call, status logic.Status) {
	outcome := logic.Outcome{Call: c.id, Attempt: c.attempts - 1, Office: c.office, Status: status, Took: r.now - c.sentAt,
		Over: true}
	r.deferWork(func() { r.controller.Outcome(r.now, outcome) })
}

// incomingEnded handles the end of the incoming leg by the caller's side.
func (r *Router) incomingEnded(c *call, e trunk.Event) {
	info := isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure, Location: isup.LocationLocalNetwork}
	if e.Kind == trunk.Released {
		info = e.Message.Release()
	}
	r.endAdmission(c)
	c.incoming = nil
	if !c.established {
		r.emit(Answer{At: r.now, Call: c.id, Verdict: HungUp, Cause: info.Cause, Elapsed: r.now - c.receivedAt,
			Transit: c.transit || !c.managed})
		if c.managed {
			r.deferWork(func() {
				r.controller.HungUp(r.now, c.id)
				if c.outgoing == nil {
					r.forget(c)
				}
			})
			return
		}
	}
	if c.established && c.managed {
		r.establishedEnded(c, logic.Ended)
	}
	r.releaseOutgoing(c, info)
	r.forget(c)
}

// releaseOutgoing releases the circuits of the outgoing leg, if there is one.
func (r *Router) releaseOutgoing(c *call, info isup.ReleaseInfo) {
	if c.outgoing != nil {
		c.outgoing.peer.group.Release(r.now, c.outgoing.seizure, info)
		r.markPending(c.outgoing.peer)
		c.outgoing = nil
	}
}

// rejectCall gives a call that is not established its final answer: REL to the caller.
func (r *Router) rejectCall(c *call, verdict Verdict, info isup.ReleaseInfo) {
	if c.withoutCaller() || c.established {
		return
	}
	if verdict == Refused {
		r.reportToShares(c, false)
	}
	r.emit(Answer{At: r.now, Call: c.id, Verdict: verdict, Cause: info.Cause, Elapsed: r.now - c.receivedAt,
		Transit: c.transit || !c.managed})
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "answered", c.id, slog.String("answer", verdict.String()), slog.Int("cause", int(info.Cause)))
	}
	r.finish(c, info)
}

// finish releases the incoming leg or the lease, and removes the call unless its outgoing leg is still in use.
func (r *Router) finish(c *call, info isup.ReleaseInfo) {
	if c.incoming == nil && c.lease != nil {
		r.endLease(c, info)
	}
	if c.incoming != nil {
		r.endAdmission(c)
		c.incoming.peer.group.Release(r.now, c.incoming.seizure, info)
		r.markPending(c.incoming.peer)
		c.incoming = nil
	}
	if c.outgoing == nil {
		r.forget(c)
	}
}

// releaseCall ends a call from this exchange, in any state.
func (r *Router) releaseCall(c *call, info isup.ReleaseInfo) {
	if c.established {
		if c.managed {
			r.establishedEnded(c, logic.Reset)
		}
		r.releaseOutgoing(c, info)
		r.finish(c, info)
		return
	}
	if c.managed {
		if c.outgoing != nil { // cancel the outstanding attempt first: nothing may be sent after the final answer
			r.releaseOutgoing(c, info)
			r.attemptEnded(c, logic.Cancelled, 0)
		}
		r.rejectCall(c, Failed, info)
		r.deferWork(func() { r.controller.HungUp(r.now, c.id) })
		return
	}
	r.releaseOutgoing(c, info)
	r.rejectCall(c, Failed, info)
}

// reportToShares reports to the fair shares whether a call that they admitted was established or refused.
func (r *Router) reportToShares(c *call, established bool) {
	if c.admitted && c.managed {
		r.clientShares.Answered(r.now, established)
	}
}

// forget removes a call.
func (r *Router) forget(c *call) { delete(r.calls, c.id) }

// withoutCaller reports whether no caller or ENUM client waits for the call any more.
func (c *call) withoutCaller() bool { return c.incoming == nil && c.lease == nil }

// refusalInfo returns the REL of a refused call: congestion if a processor refused it, the received cause if the called
// number is busy, and no circuit available otherwise. A transit call that met congestion gets the location "beyond", so
// that the preceding exchange can tell it from congestion of this one.
func (c *call) refusalInfo() isup.ReleaseInfo {
	info := isup.ReleaseInfo{Cause: isup.CauseNoCircuit, Location: isup.LocationLocalNetwork}
	if c.transit {
		info.Location = isup.LocationTransit
	}
	switch c.lastRelease.Cause {
	case isup.CauseCongestion:
		info.Cause, info.Congestion = c.lastRelease.Cause, c.lastRelease.Congestion
		if c.transit {
			info.Location = isup.LocationBeyond
		}
	case isup.CauseUserBusy:
		info.Cause, info.Location = c.lastRelease.Cause, c.lastRelease.Location
	}
	return info
}

// failureInfo returns the REL of a failed call: the cause that ended its latest attempt.
func (c *call) failureInfo() isup.ReleaseInfo {
	if c.lastRelease.Cause == 0 {
		return isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork}
	}
	return c.lastRelease
}
