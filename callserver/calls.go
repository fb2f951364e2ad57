package callserver

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
	"finchlatch/sip"
)

// state is how far a call has come. A call that is over is forgotten.
type callState byte

const (
	callSettingUp callState = iota
	callEstablished
)

// call is one call that is held.
type activeCall struct {
	id               uint64 // by which the Controller knows it; 0: it was taken up as it stood
	wireID           uint64 // by which callers and offices know it
	callID           string
	inviteHead       sip.Head
	caller           *callerConn
	state            callState
	className        string // of its class
	calledNumber     string
	description      []byte
	attempts         int
	remote           *remoteOffice // of the attempt, or where it stands
	conn             *officeConn   // of the attempt, once it has one
	previousConns    []ConnID      // of earlier attempts
	unconfirmedConns []ConnID      // of them, those on which the office has not said how the attempt ended
	answeredAt       time.Duration // when the answer came
	sentAt           time.Duration // when the Controller asked for the attempt
	attemptDeadline  time.Duration
	width            int           // circuits
	setUpFailedAt    time.Duration // when an attempt was released as broken
	attemptActive    bool          // an attempt is out or waits for its connection
	setUpSent        bool          // its set-up has been handed to the connection
	releaseSent      bool          // and so has its release, or is about to be
	offeredAt        time.Duration
	lastStatus       logic.Status // of the latest attempt that has ended, for the log
	lastNote         int
}

// out tells whether an attempt has no ending yet.
func (c *activeCall) outstanding() bool {
	return c.attemptActive && !c.releaseSent && c.state == callSettingUp
}

// inOrder gives the calls in the order in which they came.
func (s *Server) callsInOrder() []*activeCall {
	all := make([]*activeCall, 0, len(s.callsByWireID))
	for _, call := range s.callsByWireID {
		all = append(all, call)
	}
	slices.SortFunc(all, func(a, b *activeCall) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.wireID, b.wireID)) })
	return all
}

// offer hands a set-up to the Controller. Time spent on the way through this process is the caller's.
func (s *Server) offerCall(caller *callerConn, invite invitation) {
	s.totals.Offered++
	call := &activeCall{wireID: invite.wireID, callID: invite.msg.CallID, inviteHead: sip.HeadOf(invite.msg), caller: caller, className: invite.className,
		calledNumber: invite.calledNumber, description: invite.description}
	// While this process ends, only calls in transit are still taken: they come for as long as it runs, and no other call
	// server can take this exchange for a tandem without it.
	if s.endsAt > 0 && !invite.offer.Transit || s.cfg.MaxOpen > 0 && s.openCalls >= s.cfg.MaxOpen {
		s.respond(caller, call.inviteHead, 503, 0, nil)
		s.totals.Refused++
		return
	}
	s.lastCallID++
	call.id, call.offeredAt, call.width = s.lastCallID, s.now, invite.offer.Width
	if call.width <= 0 && invite.classIndex >= 0 {
		call.width = s.cfg.Settings.Classes[invite.classIndex].Width
	}
	s.calls[call.id], s.callsByWireID[call.wireID] = call, call
	caller.openCalls++
	s.openCalls++
	invite.offer.ID, invite.offer.Class, invite.offer.Number, invite.offer.TimeLeft = call.id, invite.classIndex, invite.calledNumber, invite.timeLeft-s.inputDelay
	if s.endsAt > 0 {
		invite.offer.TimeLeft = min(invite.offer.TimeLeft, s.endsAt-s.now)
	}
	s.controller.Offered(s.now, invite.offer)
}

// hangUp takes the news that the caller has gone before an answer.
func (s *Server) callerHungUp(call *activeCall) {
	s.totals.HungUp++
	if hungUpAt := s.now - s.inputDelay; call.attemptActive && call.sentAt > hungUpAt {
		s.totals.SentAfterHangUp++
		s.log(slog.LevelWarn, "attempt began after its caller had gone", slog.String("call", call.callID), slog.Duration("after", call.sentAt-hungUpAt))
	}
	s.endUnanswered(call)
}

// withdraw ends a call without its answer from an office; an attempt that is out is called off.
func (s *Server) endUnanswered(call *activeCall) {
	s.markAnswered(call)
	s.controller.HungUp(s.now, call.id)
	s.cancelUnsentAttempt(call)
	s.forgetIfOver(call)
}

// callOff ends an attempt whose set-up has not gone out yet, once its caller is owed nothing: it must not go out any more. It has run
// nowhere, so this needs no word to its office, and holds also where attempts cannot be cancelled.
func (s *Server) cancelUnsentAttempt(call *activeCall) {
	if !call.outstanding() {
		return
	}
	if !call.setUpSent {
		s.detachAttempt(call)
		s.deferAttemptEnd(call, call.attempts-1, logic.NotSent)
		return
	}
	if conn := call.conn; conn.writeBlocked && s.officeConns[conn.id] == conn {
		s.abortConn(conn, "a set-up whose caller has gone waits behind bytes that are not taken")
	}
}

// answered ends what a caller is owed.
func (s *Server) markAnswered(call *activeCall) {
	call.caller.openCalls--
	s.openCalls--
	call.caller.lastUsed = s.now
	delete(s.callsByWireID, call.wireID)
}

// forget drops a call that is over once no attempt is out.
func (s *Server) forgetIfOver(call *activeCall) {
	if s.callsByWireID[call.wireID] != call && !call.attemptActive {
		delete(s.calls, call.id)
	}
}

// refuse gives a final answer that is not a success.
func (s *Server) refuseCall(call *activeCall, status, wait int) {
	if s.callsByWireID[call.wireID] != call || call.state != callSettingUp {
		return
	}
	s.respond(call.caller, call.inviteHead, status, wait, nil)
	s.markAnswered(call)
	s.deferWork(func() {
		s.cancelUnsentAttempt(call)
		s.forgetIfOver(call)
	})
}

// stands passes the answer of an office on.
func (s *Server) establishCall(call *activeCall, msg *office.Message) {
	s.totals.Established++
	s.detachAttempt(call)
	call.state, call.attemptActive, call.answeredAt = callEstablished, true, s.now
	call.caller.openCalls--
	s.openCalls--
	call.caller.lastUsed, call.caller.carriedEstablished = s.now, true
	s.respond(call.caller, call.inviteHead, 200, 0, msg.Description)
	call.inviteHead, call.description = sip.Head{}, nil
	s.addEstablished(call.remote)
	call.remote.counts.established++
	s.controller.Stands(s.now, logic.Outcome{Call: call.id, Attempt: call.attempts - 1, Office: call.remote.id, Took: s.now - call.sentAt})
	if call.remote.state == logic.Gone { // the list was told while the answer was on its way
		s.handOverCalls(call.remote)
	}
}

// settle takes an attempt off its connection.
func (s *Server) detachAttempt(call *activeCall) {
	if call.conn != nil {
		call.conn.outstanding = slices.DeleteFunc(call.conn.outstanding, func(other *activeCall) bool { return other == call })
	}
	call.remote.waitingCalls = slices.DeleteFunc(call.remote.waitingCalls, func(other *activeCall) bool { return other == call })
}

// over tells the Controller how an attempt ended.
func (s *Server) attemptEnded(call *activeCall, outcome logic.Outcome) {
	s.detachAttempt(call)
	if call.conn != nil && call.setUpSent {
		if call.previousConns = append(call.previousConns, call.conn.id); outcome.Status == logic.TimedOut || outcome.Status == logic.Cancelled {
			call.unconfirmedConns = append(call.unconfirmedConns, call.conn.id)
		}
	}
	remote, conn, sentAt := call.remote, call.conn, call.sentAt
	noActivity := call.setUpSent && conn.lastActivity <= call.sentAt && (outcome.Status == logic.TimedOut || outcome.Status == logic.Cancelled)
	call.attemptActive, call.conn, call.setUpSent, call.releaseSent = false, nil, false, false
	remote.counts.add(outcome.Status)
	call.lastStatus, call.lastNote = outcome.Status, outcome.Note
	outcome.Call, outcome.Attempt, outcome.Office, outcome.Took, outcome.Over = call.id, call.attempts-1, remote.id, s.now-call.sentAt, s.callsByWireID[call.wireID] != call
	s.log(slog.LevelDebug, "attempt over", slog.String("call", call.callID), slog.String("office", remote.id),
		slog.String("status", string(outcome.Status)), slog.Int("note", outcome.Note), slog.Duration("took", outcome.Took))
	s.controller.Outcome(s.now, outcome)
	s.forgetIfOver(call)
	if noActivity {
		s.suspectConnsSince(conn, sentAt)
	}
}

// finish ends a call that stood.
func (s *Server) removeEstablished(call *activeCall, outcome logic.Outcome) {
	call.remote.establishedCalls--
	delete(s.callsByWireID, call.wireID)
	delete(s.calls, call.id)
	call.attemptActive = false
	if call.id == 0 {
		s.adoptedCalls--
		return
	}
	outcome.Call, outcome.Attempt, outcome.Office, outcome.Took, outcome.Over = call.id, call.attempts-1, call.remote.id, s.now-call.sentAt, true
	s.controller.Outcome(s.now, outcome)
}

// overBeforeAnswer ends a call that has stood and is over while its caller still waits: the answer was lost on its way, or comes
// later than the end. The caller is told now; another attempt would be a second run of what has run to its end.
func (s *Server) endedBeforeAnswer(call *activeCall, conn *officeConn, load []float64) {
	s.failLostAnswer(call)
	if conn.findAttempt(call.wireID) != call { // said on another connection, or of an attempt that was given up
		s.endUnanswered(call)
		return
	}
	s.markAnswered(call)
	s.attemptEnded(call, logic.Outcome{Status: logic.Ended, Load: load})
	s.retireConn(conn)
}

// overUnheard answers a call that is over and whose answer was lost.
func (s *Server) failLostAnswer(call *activeCall) {
	s.log(slog.LevelInfo, "call is over whose answer was lost", slog.String("call", call.callID), slog.String("office", call.remote.id))
	s.totals.Failed++
	s.respond(call.caller, call.inviteHead, 500, 0, nil)
}

// endStanding releases a call that stood toward its caller.
func (s *Server) endEstablished(call *activeCall, status logic.Status, cause byte, load []float64, why string) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		s.log(slog.LevelDebug, "call over", slog.String("call", call.callID), slog.String("office", call.remote.id), slog.String("why", why),
			slog.Int("cause", int(cause)), slog.Duration("stood", s.now-call.answeredAt))
	}
	s.removeEstablished(call, logic.Outcome{Status: status, Load: load})
	s.releaseToCaller(call, cause)
}

// giveUp ends an attempt that has no answer. Where its office can have heard of it, the office is told first, and the
// Controller once that is written: its wait before another attempt counts from there.
func (s *Server) releaseAttempt(call *activeCall, status logic.Status) {
	s.detachAttempt(call)
	if !call.setUpSent {
		s.deferAttemptEnd(call, call.attempts-1, status)
		return
	}
	s.sendToOffice(call.conn, &office.Message{Type: office.Release, Call: call.wireID, Cause: office.CauseNormal, HasCause: true})
	call.releaseSent = true
	if len(s.afterConfirm) == 0 {
		s.emit(Confirm{})
	}
	s.afterConfirm = append(s.afterConfirm, func() {
		if conn := call.conn; conn.writeBlocked && s.officeConns[conn.id] == conn { // what waits there must not go out any more
			s.abortConn(conn, "an attempt was given up behind bytes that are not taken")
		}
		s.attemptEnded(call, logic.Outcome{Status: status})
	})
}

// adopt takes up a call that stands already at an office.
func (s *Server) adoptCall(caller *callerConn, invite invitation) {
	caller.lastUsed, caller.carriedEstablished = s.now, true
	if existing := s.callsByWireID[invite.wireID]; existing != nil {
		if existing.state == callEstablished {
			existing.caller = caller
		}
		return
	}
	if s.adoptedCalls >= s.cfg.MaxOpen {
		s.log(slog.LevelWarn, "too many calls are said to stand already", slog.String("from", caller.remoteAddr))
		return
	}
	s.adoptedCalls++
	call := &activeCall{wireID: invite.wireID, callID: invite.msg.CallID, caller: caller, state: callEstablished, className: invite.className, calledNumber: invite.calledNumber, width: invite.offer.Width}
	s.callsByWireID[call.wireID] = call
	call.remote = s.offices[invite.officeID]
	if call.remote == nil {
		call.remote = &remoteOffice{id: invite.officeID} // no list has named it yet
		call.remote.establishedCalls++
		s.armTimer(adoptedOfficeTimeout, timer{kind: timerCheckAdopted, id: call.wireID})
	} else {
		s.addEstablished(call.remote)
		s.markAdoptedUnverified(call.remote)
	}
	if cause, ended := s.unclaimed.take(invite.wireID); ended {
		s.endEstablished(call, logic.Reset, cause, nil, "its office released it before it was named here")
		return
	}
	if call.remote.state == logic.Gone && s.offices[invite.officeID] != nil {
		s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, "taken up at an office that is gone")
	}
}

// adoptWait is how long the list may take to name the office of a call that was taken up.
const adoptedOfficeTimeout = 5 * time.Second

// checkAdopted ends a call that was taken up at an office that is not known by now.
func (s *Server) checkAdopted(wireID uint64) {
	call := s.callsByWireID[wireID]
	if call == nil || call.id != 0 || s.offices[call.remote.id] == call.remote {
		return
	}
	if remote := s.offices[call.remote.id]; remote != nil {
		call.remote = remote
		s.addEstablished(remote)
		return
	}
	s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, "taken up at an office that no list names")
}
