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
	id              uint64           // in order of arrival, from 1
	incoming        *leg             // toward the caller; nil before the set-up of a query and after the release
	outgoing        *leg             // of the outstanding attempt or the established call; nil without one
	iam             *isup.Message    // IAM from the caller's side; nil before the set-up of a query
	setup           isup.Setup       // parameters of the IAM, or those that the query implies
	class           int              // index in Config.Classes; -1: the category has no class
	destination     int              // number of the exchange of the called number
	hopCounter      int              // hops that are left
	managed         bool             // the Controller decides on the call; false for calls to subscribers of this exchange
	transit         bool             // the call came from another exchange
	receivedAt      time.Duration    // time when the IAM or query reached this process
	attempts        int              // attempts so far; the latest one has the number attempts-1
	attemptPeer     string           // name of the peer of the latest attempt; an exchange has it as its office ID too
	sentAt          time.Duration    // time of the latest attempt
	attemptDeadline time.Duration    // time-out of the latest attempt
	repeats         int              // repeated set-ups of the latest attempt, after lost circuits
	acmSent         bool             // ACM has been sent to the caller
	established     bool             // the called side has answered
	answerMessage   *isup.Message    // the ANM or CON sent to the caller
	lastRelease     isup.ReleaseInfo // why the latest attempt ended
	lease           *lease           // lease or query that the call began with, until its set-up or its end
	clientPeer      *peer            // client in whose fair share the call was offered, or nil
	admitted        bool             // the call counts in the fair share of its client
	congestionLevel ingress.Level    // congestion level of the client when the call was offered
}

// leg is one side of a call with its circuits.
type leg struct {
	call      *call
	peer      *peer
	seizure   *trunk.Seizure
	link      *link // link that the latest message was sent on
	endOffset int64 // offset in the byte stream of link after that message
}

// handleGroupEvent logs an alert, accepts an incoming call, and passes any other event of a trunk group to the leg of its
// seizure.
func (r *Router) handleGroupEvent(peer *peer, event trunk.Event) {
	if event.Kind == trunk.MaintenanceAlert {
		r.log(slog.LevelWarn, event.Text, 0, slog.String("peer", peer.cfg.Name))
		return
	}
	if event.Kind == trunk.IncomingCall {
		r.handleSetup(peer, event.Seizure, event.Message)
		return
	}
	leg, ok := event.Seizure.Owner.(*leg)
	if !ok {
		return
	}
	switch {
	case leg == leg.call.outgoing && event.Kind == trunk.CallMessage:
		r.handleBackwardMessage(leg.call, event.Message)
	case leg == leg.call.outgoing:
		r.outgoingEnded(leg.call, event)
	case leg == leg.call.incoming && event.Kind != trunk.CallMessage:
		r.incomingEnded(leg.call, event)
	}
}

// copyMessage copies a message whose parameter values point into a receive buffer.
func copyMessage(message *isup.Message) *isup.Message {
	size := 0
	for _, param := range message.Params {
		size += len(param.Value)
	}
	if len(message.Params) == 0 {
		return &isup.Message{CIC: message.CIC, Type: message.Type}
	}
	values, copied := make([]byte, 0, size), &isup.Message{CIC: message.CIC, Type: message.Type,
		Params: make([]isup.Param, len(message.Params))}
	for i, param := range message.Params {
		start := len(values)
		values = append(values, param.Value...)
		copied.Params[i] = isup.Param{Code: param.Code, Value: values[start:len(values):len(values)]}
	}
	return copied
}

// handleSetup handles the IAM of a new call. The Controller decides whether the call is admitted and where it goes,
// except for calls to subscribers of this exchange.
func (r *Router) handleSetup(peer *peer, seizure *trunk.Seizure, iam *isup.Message) {
	if r.takeOverLease(peer, seizure, iam) {
		return
	}
	r.lastCallID++
	call := &call{id: r.lastCallID, iam: copyMessage(iam), receivedAt: r.now - r.queueDelay,
		transit: peer.cfg.Kind == PeerExchange, class: -1}
	call.incoming = &leg{call: call, peer: peer, seizure: seizure}
	seizure.Owner = call.incoming
	call.setup, _ = iam.Setup() // cannot fail: the group has already refused unreadable set-ups
	r.calls[call.id] = call
	entry, found := r.numberingTable.Find(call.setup.Called.Digits)
	if call.class = r.categories.Of(call.setup.Category); found && entry.Class >= 0 {
		call.class = entry.Class
	}
	call.destination, call.hopCounter = entry.Exchange, r.cfg.HopCounter
	if call.setup.HopCounter >= 0 {
		call.hopCounter = call.setup.HopCounter
	}
	instruction := isup.ApplyCompatibility(call.iam, !found || entry.Exchange != r.ownExchange.Number)
	location := isup.LocationLocalNetwork
	switch {
	case instruction.Release || instruction.Discard:
		r.rejectCall(call, Failed, isup.ReleaseInfo{Cause: instruction.Cause, Location: location})
	case r.draining:
		r.rejectCall(call, Refused, isup.ReleaseInfo{Cause: isup.CauseCongestion, Location: location, Congestion: 2})
	case !found:
		r.rejectCall(call, Failed, isup.ReleaseInfo{Cause: isup.CauseUnallocated, Location: location})
	case !r.admit(call, peer):
		r.rejectCall(call, Refused, isup.ReleaseInfo{Cause: isup.CauseCongestion, Location: location,
			Congestion: byte(call.congestionLevel)})
	case entry.Exchange == r.ownExchange.Number:
		r.routeToSubscribers(call)
	case call.hopCounter == 0:
		r.rejectCall(call, Failed, isup.ReleaseInfo{Cause: isup.CauseProtocolError, Location: location})
	default:
		r.offerToController(call, peer)
	}
}

// offerToController lets the Controller decide on a call.
func (r *Router) offerToController(call *call, peer *peer) {
	call.managed = true
	via := -1
	if call.transit {
		via = r.offices[peer.cfg.Name].Exchange
	}
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "offered", call.id, slog.String("from", peer.cfg.Name), slog.String("called", call.setup.Called.Digits),
			slog.Int("class", call.class), slog.Int("width", call.setup.Width))
	}
	r.controller.Offered(r.now, logic.Call{ID: call.id, Class: call.class, Dest: call.destination, Width: call.setup.Width, Via: via,
		Transit: call.transit, Number: call.setup.Called.Digits, TimeLeft: r.remainingPatience(call)})
}

// remainingPatience returns how long the caller will still wait: the patience of the class less the time that earlier
// exchanges (propagation delay counter of the IAM) and this one have used up. A call without a class has the patience of
// the first one.
func (r *Router) remainingPatience(call *call) time.Duration {
	class := r.cfg.Classes[max(0, call.class)]
	return class.Patience - call.setup.PropagationDelay - (r.now - call.receivedAt)
}

// routeToSubscribers sends a call to the subscriber lines of this exchange. The final answer is due two ticks and a
// millisecond before the caller's patience ends: it may take up to two batches of inputs. The Controller keeps the same
// margin.
func (r *Router) routeToSubscribers(call *call) {
	deadline := r.now + r.remainingPatience(call) - 2*r.cfg.Tick - time.Millisecond
	for _, peer := range r.peers {
		if peer.cfg.Kind != PeerSubscribers || deadline <= r.now {
			continue
		}
		call.attempts, call.attemptPeer, call.sentAt = 1, peer.cfg.Name, r.now
		if status, _ := r.sendAttempt(call); status == 0 {
			r.armTimer(deadline, timer{kind: timerAnswerDeadline, call: call.id})
			return
		}
	}
	r.rejectCall(call, Refused, isup.ReleaseInfo{Cause: isup.CauseNoCircuit, Location: isup.LocationRemote})
}

// forwardedIAM returns the IAM to send onward: the received one, with its unknown parameters, but with the circuits, hop
// counter and propagation delay counter updated. The delay counter tells the next exchange how much of the caller's
// patience is used up.
func (c *call) forwardedIAM(now time.Duration, circuits uint32) *isup.Message {
	message := &isup.Message{Type: isup.IAM, Params: make([]isup.Param, 0, len(c.iam.Params)+3)}
	for _, param := range c.iam.Params {
		if param.Code != isup.ParamCircuitMap {
			message.Params = append(message.Params, param)
		}
	}
	message.SetOptional(isup.Setup{CircuitMap: circuits, PropagationDelay: c.setup.PropagationDelay + now - c.receivedAt, HopCounter: c.hopCounter - 1})
	return message
}

// handleBackwardMessage handles a message from the called side of a call.
func (r *Router) handleBackwardMessage(call *call, message *isup.Message) {
	switch message.Type {
	case isup.ACM, isup.CPG:
		if !call.established && call.incoming != nil {
			if message = copyMessage(message); call.acmSent && message.Type == isup.ACM {
				message = isup.NewSimple(isup.CPG, 0) // ACM of a later attempt: the caller already has one
			} else if !call.acmSent && message.Type == isup.CPG {
				return
			}
			call.acmSent = true
			r.sendOrHold(call.incoming, message)
		}
	case isup.ANM, isup.CON:
		r.handleAnswer(call, message)
	}
}

// handleAnswer handles ANM or CON from the called side: the call is established.
func (r *Router) handleAnswer(call *call, message *isup.Message) {
	if call.established || call.incoming == nil {
		return
	}
	call.established = true
	r.reportToShares(call, true)
	answer := copyMessage(message)
	if !call.acmSent && message.Type == isup.ANM { // an answer without address complete is a connect (Q.764 2.1.7)
		params := answer.Params
		answer = isup.NewSimple(isup.CON, 0)
		answer.Params = append(answer.Params, params...)
	} else if call.acmSent && message.Type == isup.CON {
		answer = isup.NewSimple(isup.ANM, 0)
	}
	call.answerMessage = answer
	r.sendOrHold(call.incoming, answer)
	r.emit(Answer{At: r.now, Call: call.id, Result: Established, Elapsed: r.now - call.receivedAt, Transit: call.transit || !call.managed})
	if call.managed {
		r.controller.Established(r.now, logic.Outcome{Call: call.id, Attempt: call.attempts - 1, Office: call.attemptPeer,
			Elapsed: r.now - call.sentAt})
	}
}

// outgoingEnded handles the end of the outgoing leg by the far side.
func (r *Router) outgoingEnded(call *call, event trunk.Event) {
	var info isup.ReleaseInfo
	switch event.Kind {
	case trunk.SeizureLost:
		r.repeatSetup(call)
		return
	case trunk.Dropped:
		info = isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure, Location: isup.LocationLocalNetwork}
	case trunk.Released:
		info = event.Message.Release()
	}
	call.lastRelease = info
	status, note := r.outcomeOf(call, info)
	if call.established {
		status, note = logic.Ended, 0
		if event.Kind == trunk.Dropped || info.Cause == isup.CauseTemporaryFailure {
			status = logic.Reset
		}
		call.outgoing = nil
		if call.managed {
			r.establishedEnded(call, status)
		}
		r.endCallerSide(call, info)
		return
	}
	if call.managed {
		r.attemptEnded(call, status, note)
		return
	}
	call.outgoing = nil
	r.rejectCall(call, resultOf(info.Cause), info)
}

// resultOf returns the result of a call that ended with a cause before it was established.
func resultOf(cause isup.Cause) Result {
	if cause == isup.CauseNoCircuit || cause == isup.CauseCongestion {
		return Refused
	}
	return Failed
}

// outcomeOf translates the cause of a failed attempt for the Controller; docs/DESIGN.md has the table.
func (r *Router) outcomeOf(call *call, info isup.ReleaseInfo) (logic.Status, int) {
	twoLeg := r.offices[call.attemptPeer].Exchange != call.destination
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

// repeatSetup sends the set-up of an attempt again on another circuit of the group, after it lost its circuit by a dual
// seizure (Q.764 2.9.1.4) or because the far end does not have the circuit. The far end has discarded the first set-up, so
// the call has no two attempts outstanding (rule 2). The repeat is sent only to a ready exchange (rule 3), and not after
// the time-out of the attempt.
func (r *Router) repeatSetup(call *call) {
	call.outgoing = nil
	call.repeats++
	ready := !call.managed || r.effectiveOffice(r.offices[call.attemptPeer]).State == logic.Ready
	if status, note := logic.NotSent, logic.NoteCircuit; call.repeats > maxSetupRepeats || !ready ||
		call.managed && r.now >= call.attemptDeadline {
		r.attemptNotSent(call, status, note)
	} else if status, note = r.sendAttempt(call); status != 0 {
		r.attemptNotSent(call, status, note)
	}
}

// attemptNotSent ends an attempt whose set-up was not sent or was discarded by the far end.
func (r *Router) attemptNotSent(call *call, status logic.Status, note int) {
	if call.managed {
		r.attemptEnded(call, status, note)
		return
	}
	r.rejectCall(call, Refused, isup.ReleaseInfo{Cause: isup.CauseNoCircuit, Location: isup.LocationRemote})
}

// timeOutAttempt ends an attempt that was not answered within the time-out set by the Controller. Its circuits stay busy
// until RLC arrives.
func (r *Router) timeOutAttempt(call *call) {
	call.lastRelease = isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork}
	call.outgoing.peer.group.Release(r.now, call.outgoing.seizure, call.lastRelease)
	r.markPending(call.outgoing.peer)
	r.attemptEnded(call, logic.TimedOut, 0)
}

// attemptEnded reports the outcome of the latest attempt to the Controller. The report is deferred, because the
// Controller may be the caller.
func (r *Router) attemptEnded(call *call, status logic.Status, note int) {
	call.outgoing = nil
	outcome := logic.Outcome{Call: call.id, Attempt: call.attempts - 1, Office: call.attemptPeer, Status: status, Note: note,
		Elapsed: r.now - call.sentAt, Over: call.withoutCaller()}
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "attempt ended", call.id, slog.Int("attempt", outcome.Attempt), slog.String("office", outcome.Office),
			slog.String("status", string(status)), slog.Int("note", note))
	}
	if peer := r.peersByName[call.attemptPeer]; peer != nil && peer.cfg.Kind == PeerExchange {
		outcome.Load = []float64{float64(peer.group.Usable()), float64(peer.group.Unblocked())}
	}
	r.deferWork(func() {
		outcome.Over = outcome.Over || call.withoutCaller()
		r.controller.Outcome(r.now, outcome)
		if call.withoutCaller() {
			r.removeCall(call)
		}
	})
}

// establishedEnded reports the end of an established call to the Controller.
func (r *Router) establishedEnded(call *call, status logic.Status) {
	outcome := logic.Outcome{Call: call.id, Attempt: call.attempts - 1, Office: call.attemptPeer, Status: status,
		Elapsed: r.now - call.sentAt, Over: true}
	r.deferWork(func() { r.controller.Outcome(r.now, outcome) })
}

// incomingEnded handles the end of the incoming leg by the caller's side.
func (r *Router) incomingEnded(call *call, event trunk.Event) {
	info := isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure, Location: isup.LocationLocalNetwork}
	if event.Kind == trunk.Released {
		info = event.Message.Release()
	}
	r.endAdmission(call)
	call.incoming = nil
	if !call.established {
		r.emit(Answer{At: r.now, Call: call.id, Result: HungUp, Cause: info.Cause, Elapsed: r.now - call.receivedAt,
			Transit: call.transit || !call.managed})
		if call.managed {
			r.deferWork(func() {
				r.controller.HungUp(r.now, call.id)
				if call.outgoing == nil {
					r.removeCall(call)
				}
			})
			return
		}
	}
	if call.established && call.managed {
		r.establishedEnded(call, logic.Ended)
	}
	r.releaseOutgoing(call, info)
	r.removeCall(call)
}

// releaseOutgoing releases the circuits of the outgoing leg, if there is one.
func (r *Router) releaseOutgoing(call *call, info isup.ReleaseInfo) {
	if call.outgoing != nil {
		call.outgoing.peer.group.Release(r.now, call.outgoing.seizure, info)
		r.markPending(call.outgoing.peer)
		call.outgoing = nil
	}
}

// rejectCall gives a call that is not established its final answer: REL to the caller.
func (r *Router) rejectCall(call *call, result Result, info isup.ReleaseInfo) {
	if call.withoutCaller() || call.established {
		return
	}
	if result == Refused {
		r.reportToShares(call, false)
	}
	r.emit(Answer{At: r.now, Call: call.id, Result: result, Cause: info.Cause, Elapsed: r.now - call.receivedAt,
		Transit: call.transit || !call.managed})
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "answered", call.id, slog.String("answer", result.String()), slog.Int("cause", int(info.Cause)))
	}
	r.endCallerSide(call, info)
}

// endCallerSide releases the incoming leg or ends the lease, and removes the call unless it still has an outgoing leg.
func (r *Router) endCallerSide(call *call, info isup.ReleaseInfo) {
	if call.incoming == nil && call.lease != nil {
		r.endLease(call, info)
	}
	if call.incoming != nil {
		r.endAdmission(call)
		call.incoming.peer.group.Release(r.now, call.incoming.seizure, info)
		r.markPending(call.incoming.peer)
		call.incoming = nil
	}
	if call.outgoing == nil {
		r.removeCall(call)
	}
}

// releaseCall ends a call in any state, without a REL from either side.
func (r *Router) releaseCall(call *call, info isup.ReleaseInfo) {
	if call.established {
		if call.managed {
			r.establishedEnded(call, logic.Reset)
		}
		r.releaseOutgoing(call, info)
		r.endCallerSide(call, info)
		return
	}
	if call.managed {
		if call.outgoing != nil { // cancel the outstanding attempt first: nothing may be sent after the final answer
			r.releaseOutgoing(call, info)
			r.attemptEnded(call, logic.Cancelled, 0)
		}
		r.rejectCall(call, Failed, info)
		r.deferWork(func() { r.controller.HungUp(r.now, call.id) })
		return
	}
	r.releaseOutgoing(call, info)
	r.rejectCall(call, Failed, info)
}

// reportToShares reports to the fair shares whether a call that they admitted was established or refused.
func (r *Router) reportToShares(call *call, established bool) {
	if call.admitted && call.managed {
		r.clientShares.Answered(r.now, established)
	}
}

// removeCall removes a call from the calls in progress.
func (r *Router) removeCall(call *call) { delete(r.calls, call.id) }

// withoutCaller reports whether no caller or ENUM client waits for the call any more.
func (c *call) withoutCaller() bool { return c.incoming == nil && c.lease == nil }

// refusalInfo returns the cause and location for the REL of a refused call: congestion if a processor refused the latest
// attempt, the received cause if the called number is busy, and no circuit available otherwise. A transit call that met
// congestion gets the location "beyond", so that the preceding exchange can tell it from congestion of this one.
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

// failureInfo returns the cause and location for the REL of a failed call: those that ended its latest attempt, or timer
// expiry if there was none.
func (c *call) failureInfo() isup.ReleaseInfo {
	if c.lastRelease.Cause == 0 {
		return isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork}
	}
	return c.lastRelease
}
