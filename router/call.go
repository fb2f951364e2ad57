package router

import (
	"log/slog"
	"time"

	"finchlatch/ingress"
	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/trunk"
)

// call is one call that this Router holds, between its IAM and its end.
type call struct {
	id                 uint64
	incoming, outgoing *leg // out: of the attempt that is out, or of the call that stands
	iam                *isup.Message
	setup              isup.Setup
	class              int
	destination        int
	hopCounter         int
	managed            bool // the Controller decides; the others end here
	transit            bool
	receivedAt         time.Duration
	attempts           int
	office             string
	sentAt             time.Duration // the latest attempt
	attemptDeadline    time.Duration // its time-out
	repeats            int
	acmSent            bool          // ACM has gone to the caller
	established        bool          // it stands
	answerMessage      *isup.Message // that told the caller so
	lastRelease        isup.ReleaseInfo
	lease              *lease // it began with a question
	client             *peer  // whose share it counts in
	admitted           bool   // it counts in its client's share
	congestionLevel    ingress.Level
}

// leg is a call's hold on circuits toward one side.
type leg struct {
	call      *call
	peer      *peer
	seizure   *trunk.Seizure
	link      *link // that its latest message went out on
	endOffset int64 // offset in that connection behind it
}

// signalled takes an event of a trunk group.
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

// keep copies a message whose values lie in a receive buffer.
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

// offered takes a new call. Whether it is admitted and where it goes is asked of the Controller; only calls
// that end here, at the subscribers of this exchange, are not its matter.
func (r *Router) handleSetup(p *peer, seizure *trunk.Seizure, iam *isup.Message) {
	if r.takeOverLease(p, seizure, iam) {
		return
	}
	r.lastCallID++
	c := &call{id: r.lastCallID, iam: copyMessage(iam), receivedAt: r.now - r.queueDelay, transit: p.cfg.Kind == PeerExchange, class: -1}
	c.incoming = &leg{call: c, peer: p, seizure: seizure}
	seizure.Owner = c.incoming
	c.setup, _ = iam.Setup() // the group has refused what cannot be read
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

// ask offers a call to the Controller.
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

// patience is how long the caller still waits, as far as the class, the IAM and the own queue tell.
func (r *Router) remainingPatience(c *call) time.Duration {
	class := r.cfg.Classes[max(0, c.class)]
	return class.Patience - c.setup.Elapsed - (r.now - c.receivedAt)
}

// terminate completes a call to a subscriber of this exchange.
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

// forward makes the IAM that goes on: the one that came, with its unknown parameters, and with what changes at
// an exchange. The propagation delay counter tells the next exchange how much of the caller's patience is gone.
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

// backward takes a message from the side that a call was sent to.
func (r *Router) handleBackwardMessage(c *call, message *isup.Message) {
	switch message.Type {
	case isup.ACM, isup.CPG:
		if !c.established && c.incoming != nil {
			if message = copyMessage(message); c.acmSent && message.Type == isup.ACM { // of a later attempt: the caller has had its ACM
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

// stands takes the answer of the called side.
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

// outEnded takes the end of the out leg by the far side.
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

func verdictOf(cause isup.Cause) Verdict {
	if cause == isup.CauseNoCircuit || cause == isup.CauseCongestion {
		return Refused
	}
	return Failed
}

// outcomeOf tells what a cause means to the Controller; docs/DESIGN.md has the table.
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

// repeat sends a set-up that lost a dual seizure again on another circuit of its group, within the same attempt
// (Q.764 2.9.1.4). The lost one is over: it never ran. The rules hold for the repeat as for any set-up.
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

// unsent ends an attempt that never ran.
func (r *Router) attemptNotSent(c *call, status logic.Status, note int) {
	if c.managed {
		r.attemptEnded(c, status, note)
		return
	}
	r.rejectCall(c, Refused, isup.ReleaseInfo{Cause: isup.CauseNoCircuit, Location: isup.LocationRemote})
}

// timeOut ends an attempt that had no answer in the Controller's time. Its circuits stay taken until RLC.
func (r *Router) timeOutAttempt(c *call) {
	c.lastRelease = isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork}
	c.outgoing.peer.group.Release(r.now, c.outgoing.seizure, c.lastRelease)
	r.markPending(c.outgoing.peer)
	r.attemptEnded(c, logic.TimedOut, 0)
}

// attemptOver tells the Controller how the latest attempt ended, once it has finished what it is doing.
func (r *Router) attemptEnded(c *call, status logic.Status, note int) {
	c.outgoing = nil
	outcome := logic.Outcome{Call: c.id, Attempt: c.attempts - 1, Office: c.office, Status: status, Note: note,
		Took: r.now - c.sentAt, Over: c.withoutCaller()}
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "attempt over", c.id, slog.Int("attempt", outcome.Attempt), slog.String("office", outcome.Office),
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

// ended tells the Controller that a call that stood is at its end.
func (r *Router) establishedEnded(c *call, status logic.Status) {
	outcome := logic.Outcome{Call: c.id, Attempt: c.attempts - 1, Office: c.office, Status: status, Took: r.now - c.sentAt,
		Over: true}
	r.deferWork(func() { r.controller.Outcome(r.now, outcome) })
}

// inEnded takes the end of the in leg by the caller's side.
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

func (r *Router) releaseOutgoing(c *call, info isup.ReleaseInfo) {
	if c.outgoing != nil {
		c.outgoing.peer.group.Release(r.now, c.outgoing.seizure, info)
		r.markPending(c.outgoing.peer)
		c.outgoing = nil
	}
}

// answer gives the final answer of a call that does not stand: REL toward the caller.
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

// finish releases the caller's side and forgets the call.
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

// abandon ends a call from this exchange, whatever state it is in.
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
		if c.outgoing != nil { // what is out is called off first: nothing goes out after the answer
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

// judged tells the shares of the clients what the Controller made of a call that they let in.
func (r *Router) reportToShares(c *call, established bool) {
	if c.admitted && c.managed {
		r.clientShares.Answered(r.now, established)
	}
}

func (r *Router) forget(c *call) { delete(r.calls, c.id) }

// gone tells whether nobody waits for the call any more.
func (c *call) withoutCaller() bool { return c.incoming == nil && c.lease == nil }

// refusal is the REL of a refused call: congestion where a processor refused it, the number's own cause where
// it is busy, else no circuit. Congestion beyond this exchange is marked as such for the one before.
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

// failure is the REL of a failed call: the cause that ended it.
func (c *call) failureInfo() isup.ReleaseInfo {
	if c.lastRelease.Cause == 0 {
		return isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork}
	}
	return c.lastRelease
}
