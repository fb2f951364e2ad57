package callserver

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
	"finchlatch/office"
	"finchlatch/sip"
)

// callState is the progress of a call. Calls that are over are not kept.
type callState byte

const (
	callSettingUp callState = iota
	callEstablished
)

// activeCall is a call that is being set up or established.
type activeCall struct {
	id              uint64      // the Controller's ID; 0: adopted, unknown to the Controller
	wireID          uint64      // ID toward callers and offices
	callID          string      // the Call-ID header as received, which is wireID in hex digits
	inviteHead      sip.Head    // of the INVITE, for the final answer
	adoptedBy       *callerConn // connection on which the call was first claimed; nil: it was not
	fromBefore      bool        // adopted, and established before this process started
	callerConn      *callerConn // connection on which its INVITE came, or the latest claim to the established call
	state           callState
	className       string
	calledNumber    string
	description     []byte
	attempts        int                  // number of attempts so far
	remote          *remoteOffice        // of the current attempt, or where the call is established
	conn            *officeConn          // of the current attempt, once it has one
	holder          *liveness.Connection // on which its answer came; nil: not established, or at an office that is not listed
	previousConns   []ConnID             // of earlier attempts
	releasedConns   []ConnID             // those of previousConns whose attempt was ended by a release from here
	foreignConns    []ConnID             // open ones on which an ended call with the same ID was set up
	lastSentTo      *remoteOffice        // that was sent the latest set-up; nil: none was sent
	releasedAt      time.Duration        // when an attempt last timed out, was reset or was cancelled; 0: none did
	answeredAt      time.Duration
	sentAt          time.Duration // when the Controller asked for the attempt
	attemptDeadline time.Duration
	width           int            // number of circuits
	setUpFailedAt   time.Duration  // when an attempt last failed with the temporary-failure cause
	openBytes       int            // counted for it while it has no final answer
	callerConnLost  bool           // its connection ended before its final answer
	evidence        callerEvidence // that a connection on which the established call is named is from callers
	awaitsOutcome   bool           // the Controller has not been given the Outcome of the latest attempt, or of the call established by it
	setUpSent       bool           // the set-up of the attempt has been handed to the connection
	releaseSent     bool           // the release of the attempt has been handed to the connection
	offeredAt       time.Duration
	lastStatus      logic.Status // of the latest attempt that has ended, for the log
	lastNote        int          // likewise
}

// attemptOutstanding reports whether the Controller has started an attempt that has neither been answered nor ended. It may
// still wait for a connection.
func (c *activeCall) attemptOutstanding() bool {
	return c.awaitsOutcome && !c.releaseSent && c.state == callSettingUp
}

// holds reports whether a call is open or established, not over or replaced by another one with its ID. An attempt of a call that
// is over may still be outstanding.
func (s *Server) holds(call *activeCall) bool { return s.callsByWireID[call.wireID] == call }

// callsInOrder returns those of the open and established calls that are selected, in a fixed order: adopted ones by wire ID, then the others in the order
// in which they arrived.
func (s *Server) callsInOrder(selected func(call *activeCall) bool) (all []*activeCall) {
	for _, call := range s.callsByWireID {
		if selected(call) {
			all = append(all, call)
		}
	}
	slices.SortFunc(all, func(a, b *activeCall) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.wireID, b.wireID)) })
	return all
}

// offerCall passes a set-up to the Controller. The time that it spent in this process counts against its time left. ended is an
// ended call with the same ID, or nil.
func (s *Server) offerCall(caller *callerConn, invite invitation, ended *endedCall) {
	s.totals.Offered++
	call := &activeCall{wireID: invite.wireID, callID: invite.msg.CallID, inviteHead: sip.HeadOf(invite.msg),
		callerConn: caller, className: invite.className, calledNumber: invite.calledNumber, description: invite.description}
	// While this process drains, only transit calls are accepted: they arrive for as long as it runs, and without it no other
	// call server could use this exchange as a tandem.
	if s.endsAt > 0 && !invite.offer.Transit || !s.mayOpenCall(caller, len(invite.description)) {
		s.respond(caller, call.inviteHead, 503, 0, nil)
		s.totals.Refused++
		return
	}
	s.lastID++
	call.id, call.offeredAt, call.width = s.lastID, s.now, invite.offer.Width
	if call.width <= 0 && invite.classIndex >= 0 {
		call.width = s.cfg.Settings.Classes[invite.classIndex].Width
	}
	s.callsByID[call.id], s.callsByWireID[call.wireID] = call, call
	call.openBytes = callOverhead + len(invite.description)
	s.countOpenCall(call, 1)
	invite.offer.ID, invite.offer.Class, invite.offer.Number, invite.offer.TimeLeft =
		call.id, invite.classIndex, invite.calledNumber, invite.timeLeft-s.inputDelay
	if s.endsAt > 0 {
		invite.offer.TimeLeft = min(invite.offer.TimeLeft, s.endsAt-s.now)
	}
	if ended != nil {
		invite.offer.ReleasedAt, call.foreignConns = ended.releasedAt, s.openConnsOf(ended)
	}
	s.controller.Offered(s.now, invite.offer)
}

// callerHungUp handles a caller that hung up before the answer.
func (s *Server) callerHungUp(call *activeCall) {
	s.totals.HungUp++
	if hungUpAt := s.now - s.inputDelay; call.awaitsOutcome && call.sentAt > hungUpAt {
		s.totals.SentAfterHangUp++
		s.log(slog.LevelWarn, "attempt started after its caller hung up",
			slog.String("call", call.callID), slog.Duration("after", call.sentAt-hungUpAt))
	}
	s.endUnanswered(call)
}

// endUnanswered ends a call that has no answer from an office.
func (s *Server) endUnanswered(call *activeCall) {
	s.markAnswered(call)
	s.controller.HungUp(s.now, call.id)
	s.cancelUnsentAttempt(call)
	s.removeIfOver(call)
}

// cancelUnsentAttempt ends the attempt of a call that needs no answer any more, if its set-up has not been sent: nothing may
// be sent for the call now (rule 1). The office does not know the attempt, so nothing has to be released, and this also
// applies where attempts cannot be cancelled. A set-up that is stuck on a blocked connection is discarded with it.
func (s *Server) cancelUnsentAttempt(call *activeCall) {
	if !call.attemptOutstanding() {
		return
	}
	if !call.setUpSent {
		s.detachAttempt(call)
		s.deferAttemptEnd(call, call.attempts-1, logic.NotSent)
		return
	}
	if conn := call.conn; conn.writeBlocked && s.officeConns[conn.id] == conn {
		s.abortConn(conn, "writes are blocked ahead of a set-up whose call is over")
	}
}

// markAnswered records that a call has had its final answer or needs none.
func (s *Server) markAnswered(call *activeCall) {
	s.countOpenCall(call, -1)
	call.callerConn.lastUsed = s.now
	delete(s.callsByWireID, call.wireID)
	s.endedCalls.add(call, 0, s.now)
}

// removeIfOver removes a call that has had its final answer, or needs none, and whose last attempt has ended.
func (s *Server) removeIfOver(call *activeCall) {
	if !s.holds(call) && !call.awaitsOutcome {
		delete(s.callsByID, call.id)
		s.endedCalls.attemptsOver(call)
	}
}

// sendNegativeAnswer gives the final answer of a call that is refused or has failed.
func (s *Server) sendNegativeAnswer(call *activeCall, status, retryAfter int) {
	if !s.holds(call) || call.state != callSettingUp {
		return
	}
	s.respond(call.callerConn, call.inviteHead, status, retryAfter, nil)
	s.markAnswered(call)
	s.deferWork(func() {
		s.cancelUnsentAttempt(call)
		s.removeIfOver(call)
	})
}

// establishCall passes the answer of an office on to the caller.
func (s *Server) establishCall(call *activeCall, msg *office.Message) {
	s.totals.Established++
	s.detachAttempt(call)
	call.state, call.evidence, call.awaitsOutcome, call.answeredAt = callEstablished, carriedCall, true, s.now
	s.countOpenCall(call, -1)
	call.callerConn.lastUsed = s.now
	s.respond(call.callerConn, call.inviteHead, 200, 0, msg.Description)
	s.recordEvidence(call.callerConn, carriedCall)
	call.inviteHead, call.description = sip.Head{}, nil
	call.holdCall(call.conn.connection)
	s.addEstablished(call.remote)
	call.remote.counts.established++
	s.controller.Established(s.now, logic.Outcome{Call: call.id, Attempt: call.attempts - 1, Office: call.remote.id, Elapsed: s.now - call.sentAt})
	if call.holder.InDoubt() {
		s.watchHolders(call.remote, s.now)
	}
	if call.remote.state == logic.Gone { // it was reported as gone before its answer arrived
		s.handOverCalls(call.remote)
	}
}

// detachAttempt removes an attempt from its connection, or from those that wait for one.
func (s *Server) detachAttempt(call *activeCall) {
	if call.conn != nil {
		call.conn.outstandingCalls = slices.DeleteFunc(call.conn.outstandingCalls, func(other *activeCall) bool { return other == call })
	}
	call.remote.waitingCalls = slices.DeleteFunc(call.remote.waitingCalls, func(other *activeCall) bool { return other == call })
}

// attemptEnded reports the end of an attempt to the Controller.
func (s *Server) attemptEnded(call *activeCall, outcome logic.Outcome) {
	s.detachAttempt(call)
	if call.conn != nil && call.setUpSent {
		if call.previousConns = append(call.previousConns, call.conn.id); outcome.Status == logic.TimedOut ||
			outcome.Status == logic.Cancelled {
			call.releasedConns = append(call.releasedConns, call.conn.id)
		}
	}
	remote, conn, sentAt := call.remote, call.conn, call.sentAt
	noActivity := call.setUpSent && conn.lastActivity <= call.sentAt &&
		(outcome.Status == logic.TimedOut || outcome.Status == logic.Cancelled)
	call.awaitsOutcome, call.conn, call.setUpSent, call.releaseSent = false, nil, false, false
	remote.counts.add(outcome.Status)
	call.lastStatus, call.lastNote = outcome.Status, outcome.Note
	if outcome.Status == logic.TimedOut || outcome.Status == logic.Reset || outcome.Status == logic.Cancelled {
		call.releasedAt = s.now
	}
	outcome.Call, outcome.Attempt, outcome.Office, outcome.Elapsed, outcome.Over = call.id, call.attempts-1, remote.id,
		s.now-call.sentAt, !s.holds(call)
	s.log(slog.LevelDebug, "attempt ended", slog.String("call", call.callID), slog.String("office", remote.id),
		slog.String("status", string(outcome.Status)), slog.Int("note", outcome.Note), slog.Duration("took", outcome.Elapsed))
	s.controller.Outcome(s.now, outcome)
	s.removeIfOver(call)
	if noActivity {
		s.suspectConnsSince(conn, sentAt)
	}
}

// removeEstablished removes an established call and reports its end, with the cause of its release, to the Controller.
func (s *Server) removeEstablished(call *activeCall, outcome logic.Outcome, cause byte) {
	call.remote.establishedCalls--
	if call.holder != nil {
		call.holder.DropCall()
	}
	delete(s.callsByWireID, call.wireID)
	delete(s.callsByID, call.id)
	call.awaitsOutcome = false
	s.endedCalls.add(call, cause, s.now)
	s.endedCalls.attemptsOver(call)
	if call.id == 0 {
		s.adoptedCalls--
		call.adoptedBy.adoptedCalls--
		return
	}
	outcome.Call, outcome.Attempt, outcome.Office, outcome.Elapsed, outcome.Over = call.id, call.attempts-1, call.remote.id,
		s.now-call.sentAt, true
	s.controller.Outcome(s.now, outcome)
}

// callEndedBeforeAnswer handles the release of a call that was established at its office while its caller still waits: the
// answer was lost or arrives after the release. The caller gets the final answer now, since another attempt would set up the
// call a second time.
func (s *Server) callEndedBeforeAnswer(call *activeCall, conn *officeConn, load []float64) {
	s.failEndedCall(call)
	if conn.findAttempt(call.wireID) != call { // released on another connection, or after the attempt was given up
		s.endUnanswered(call)
		return
	}
	s.markAnswered(call)
	s.attemptEnded(call, logic.Outcome{Status: logic.Ended, Load: load})
	s.retireConn(conn)
}

// failEndedCall gives the final answer of a call that is over and whose answer from the office was lost.
func (s *Server) failEndedCall(call *activeCall) {
	s.log(slog.LevelInfo, "call ended before its answer arrived", slog.String("call", call.callID), slog.String("office", call.remote.id))
	s.totals.Failed++
	s.respond(call.callerConn, call.inviteHead, 500, 0, nil)
}

// endEstablished ends an established call and releases it toward its caller.
func (s *Server) endEstablished(call *activeCall, status logic.Status, cause byte, load []float64, why string) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		s.log(slog.LevelDebug, "established call ended", slog.String("call", call.callID), slog.String("office", call.remote.id),
			slog.String("why", why), slog.Int("cause", int(cause)), slog.Duration("stood", s.now-call.answeredAt))
	}
	s.removeEstablished(call, logic.Outcome{Status: status, Load: load}, cause)
	s.releaseToCaller(call, cause)
}

// releaseAttempt ends an outstanding attempt. If its set-up was sent, the office is sent a release first. The Controller is
// given the outcome once the release has been written, as the release time before another attempt begins then (rule 5).
func (s *Server) releaseAttempt(call *activeCall, status logic.Status) {
	s.detachAttempt(call)
	if !call.setUpSent {
		s.deferAttemptEnd(call, call.attempts-1, status)
		return
	}
	s.sendToOffice(call.conn, &office.Message{Type: office.Release, Call: call.wireID, Cause: office.CauseNormal, HasCause: true})
	call.releaseSent = true
	if len(s.afterWritten) == 0 {
		s.emit(Confirm{})
	}
	s.afterWritten = append(s.afterWritten, func() {
		if conn := call.conn; conn.writeBlocked && s.officeConns[conn.id] == conn { // what is queued on it must not be sent any more
			s.abortConn(conn, "writes are blocked ahead of the release of an attempt")
		}
		s.attemptEnded(call, logic.Outcome{Status: status})
	})
}
