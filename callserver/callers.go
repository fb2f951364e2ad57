package callserver

import (
	"bytes"
	"errors"
	"log/slog"
	"strconv"
	"strings"

	"finchlatch/logic"
	"finchlatch/office"
	"finchlatch/sip"
)

// receiveFromCaller handles bytes of a caller.
func (s *Server) receiveFromCaller(caller *callerConn, data []byte) {
	caller.lastActivity = s.now
	caller.framer.Write(data)
	for s.callerConns[caller.id] == caller {
		msg, err := caller.framer.Next()
		if err != nil {
			s.rejectAndClose(caller, err)
			return
		}
		if msg == nil {
			break
		}
		caller.unfinishedSince = 0
		s.handleCallerMessage(caller, msg)
	}
	if s.callerConns[caller.id] == caller && caller.framer.Buffered() > 0 && caller.unfinishedSince == 0 {
		caller.unfinishedSince = s.now
		s.armCallerCheck(caller, s.now+callerMessageTimeout)
	}
}

// rejectAndClose answers a message and closes the connection: the message cannot be parsed, so that the bytes after it cannot
// be framed reliably, or rejectMessage has found nothing worth keeping the connection for.
func (s *Server) rejectAndClose(caller *callerConn, err error) {
	s.totals.RejectedMessages++
	s.logRejection("caller's message refused", slog.String("from", caller.remoteAddr), slog.String("err", err.Error()))
	var fault *sip.Fault
	if errors.As(err, &fault) && (fault.Head == nil || fault.Head.Status == 0) {
		s.respond(caller, sip.HeadOf(fault.Head), fault.Status, 0, nil)
	}
	s.log(slog.LevelDebug, "caller's connection closed", slog.String("from", caller.remoteAddr))
	s.emit(Close{Conn: caller.id, Linger: true})
	s.callerConnEnded(caller)
}

// respond sends a response, unless the client has closed its connection.
func (s *Server) respond(caller *callerConn, head sip.Head, status, retryAfter int, body []byte) {
	if caller.left {
		return
	}
	s.trace("to caller", "", caller.remoteAddr, caller.id, head.CallID, status)
	s.emit(Write{Conn: caller.id, Bytes: sip.Response(nil, head, status, retryAfter, body)})
}

// handleCallerMessage handles one message of a caller.
func (s *Server) handleCallerMessage(caller *callerConn, msg *sip.Message) {
	caller.receivedMessage = true
	s.trace("from caller", msg.Method, caller.remoteAddr, caller.id, msg.CallID, msg.Status)
	if msg.Status > 0 { // the response to a BYE
		if id, err := parseCallID(msg.CallID); err == nil {
			s.handleByeResponse(caller, id, msg.Status)
		}
		return
	}
	switch msg.Method {
	case "ACK", "BYE", "CANCEL":
		s.recordNamedCall(caller, msg.CallID)
	}
	switch msg.Method {
	case "INVITE":
		s.handleInvite(caller, msg)
	case "ACK", "NOTIFY": // not answered
	case "CANCEL":
		s.handleCancel(caller, msg)
	case "BYE":
		s.handleBye(caller, msg)
	case "OPTIONS":
		s.respond(caller, sip.HeadOf(msg), s.optionsStatus(), 0, nil)
	default:
		s.respond(caller, sip.HeadOf(msg), 405, 0, nil)
	}
}

// optionsStatus returns the response to OPTIONS: calls can be taken as soon as an office is known.
func (s *Server) optionsStatus() int {
	if len(s.offices) == 0 {
		return 503
	}
	if !s.ready {
		s.ready = true
		s.log(slog.LevelInfo, "ready", slog.Duration("after", s.now-s.startedAt), slog.Int("offices", len(s.offices)))
	}
	return 200
}

// handleInvite handles a set-up, or an INVITE that claims a call established by an earlier process.
func (s *Server) handleInvite(caller *callerConn, msg *sip.Message) {
	invite, err := s.parseInvite(msg)
	if err != nil {
		s.rejectMessage(caller, msg, 400, err.Error())
		return
	}
	if invite.officeID != "" {
		s.adoptCall(caller, invite)
		return
	}
	if caller.left { // its caller has given it up
		s.totals.HungUp++
		return
	}
	if existing := s.callsByWireID[invite.wireID]; existing != nil {
		s.handleDuplicateInvite(caller, existing, invite)
		return
	}
	if ended := s.endedCalls.find(invite.wireID, s.now); ended != nil {
		s.handleReusedCallID(caller, ended, invite)
		return
	}
	s.takeSetUp(caller, invite, nil)
}

// takeSetUp offers a set-up, which shows that its connection is from callers if its class exists. ended is an ended call with the same
// ID, or nil.
func (s *Server) takeSetUp(caller *callerConn, invite invitation, ended *endedCall) {
	if invite.classIndex >= 0 {
		caller.lastUsed = s.now
		s.recordEvidence(caller, sentSetUp)
	} else {
		caller.misbehaved = true
	}
	s.offerCall(caller, invite, ended)
}

// handleReusedCallID handles a set-up with the ID of a call that is over and that an office knows. It is refused, unless the
// connection of that call ended before its final answer: such a set-up is sent once more on another connection. That one is taken
// once the office has been released.
func (s *Server) handleReusedCallID(caller *callerConn, ended *endedCall, invite invitation) {
	switch {
	case !ended.mayComeAgain:
		s.rejectMessage(caller, invite.msg, 482, "Call-ID was used before")
	case ended.call == nil:
		s.takeSetUp(caller, invite, ended)
	case ended.call.releaseSent:
		s.afterWritten = append(s.afterWritten, func() {
			if s.callerConns[caller.id] == caller {
				s.handleInvite(caller, invite.msg)
			}
		})
	default: // it goes on where attempts cannot be cancelled
		s.rejectMessage(caller, invite.msg, 482, "an attempt with this Call-ID is outstanding")
	}
}

// handleDuplicateInvite handles a set-up whose Call-ID is in use. The first call is not affected if the second set-up comes on
// another connection. On one connection the answers could not be distinguished: a copy is ignored as a retransmission (RFC 3261
// section 17.2.1), and two different set-ups are refused by one answer.
func (s *Server) handleDuplicateInvite(caller *callerConn, existing *activeCall, invite invitation) {
	if existing.callerConn != caller || existing.state != callSettingUp {
		s.rejectMessage(caller, invite.msg, 482, "Call-ID is in use")
		return
	}
	if existing.calledNumber == invite.calledNumber && bytes.Equal(existing.description, invite.description) {
		return
	}
	s.callerHungUp(existing)
	s.rejectMessage(caller, invite.msg, 482, "two set-ups with one Call-ID")
}

// rejectMessage answers a well-formed message with invalid content. The connection stays open if it carries open calls or
// has carried established or claimed ones, as those may be of other callers; otherwise it is closed.
func (s *Server) rejectMessage(caller *callerConn, msg *sip.Message, status int, why string) {
	caller.misbehaved = true
	if caller.openCalls == 0 && caller.evidence < carriedCall && !caller.claimedCalls {
		s.rejectAndClose(caller, &sip.Fault{Status: status, Text: why, Head: msg})
		return
	}
	s.totals.RejectedMessages++
	s.logRejection("caller's message refused", slog.String("from", caller.remoteAddr), slog.String("err", why))
	s.respond(caller, sip.HeadOf(msg), status, 0, nil)
}

// lookUpCall returns the open or established call with the Call-ID of a message, or nil.
func (s *Server) lookUpCall(msg *sip.Message) *activeCall {
	id, err := parseCallID(msg.CallID)
	if err != nil {
		return nil
	}
	return s.callsByWireID[id]
}

// handleCancel handles a CANCEL. It is accepted only on the connection of the set-up.
func (s *Server) handleCancel(caller *callerConn, msg *sip.Message) {
	call := s.lookUpCall(msg)
	if call == nil || call.callerConn != caller {
		s.respond(caller, sip.HeadOf(msg), 481, 0, nil)
		return
	}
	s.respond(caller, sip.HeadOf(msg), 200, 0, nil)
	if call.state == callSettingUp {
		s.callerHungUp(call)
		return
	}
	s.releaseAtOffice(call, office.CauseNormal) // the answer and the CANCEL crossed
	s.endEstablished(call, logic.Cancelled, office.CauseNormal, nil, "cancelled by its caller after the answer")
}

// handleBye handles the release of an established call, on any connection.
func (s *Server) handleBye(caller *callerConn, msg *sip.Message) {
	call := s.lookUpCall(msg)
	if call == nil || call.state == callSettingUp {
		s.respond(caller, sip.HeadOf(msg), 481, 0, nil)
		return
	}
	s.respond(caller, sip.HeadOf(msg), 200, 0, nil)
	s.releaseAtOffice(call, parseCause(msg.Get("Reason")))
	s.removeEstablished(call, logic.Outcome{Status: logic.Cancelled}, office.CauseNormal)
}

// parseCause returns the cause in a Reason header, or the normal one if there is none or it is invalid.
func parseCause(reason string) byte {
	_, text, _ := strings.Cut(reason, "cause=")
	text, _, _ = strings.Cut(text, ";")
	cause, err := strconv.ParseUint(strings.TrimSpace(text), 10, 7)
	if err != nil || cause == 0 {
		return office.CauseNormal
	}
	return byte(cause)
}
