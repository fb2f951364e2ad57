package callserver

import (
	"bytes"
	"cmp"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
	"finchlatch/sip"
)

// callerConn is one connection from callers. Unknown clients may open one, too.
type callerConn struct {
	id                 ConnID
	remoteAddr         string
	framer             sip.Framer
	openCalls          int // without a final answer
	acceptedAt         time.Duration
	lastUsed           time.Duration // last INVITE, valid or not, or end of an open call; 0: no message yet; usedWithoutCall: others only
	carriedEstablished bool          // a call on it was established, or an established call was claimed on it
	unfinishedSince    time.Duration // since when the last message received is incomplete; 0: it is complete
	unansweredByes     unacknowledgedReleases
	lastActivity       time.Duration // when bytes were last received
}

// Limits on connections from callers and on the syntax of their messages. None of them limits the number of calls.
const (
	callerMessageTimeout = 2 * time.Second // for the first complete message, and for the rest of one that has begun
	// callerRecheckDelay is the time between checks of a connection whose message is overdue while it carries open calls.
	callerRecheckDelay = 50 * time.Millisecond
	// firstMessageGrace is how long a new connection may stay without a message before it is among the first to be evicted.
	// Until then it ranks above connections that have carried messages but no INVITE.
	firstMessageGrace = 100 * time.Millisecond
	legValueLimit     = 1 << 16 // exchange numbers and widths are less than this
)

// usedWithoutCall is the value of callerConn.lastUsed on a connection that has carried messages but no INVITE.
const usedWithoutCall time.Duration = 1

// callerAccepted registers a new connection. Above the limit, the one that ranks lowest is closed, or the new one itself if
// all others carry open calls.
func (s *Server) callerAccepted(id ConnID, remoteAddr string) {
	caller := &callerConn{id: id, remoteAddr: remoteAddr, acceptedAt: s.now}
	s.callerConns[id] = caller
	s.armTimer(callerMessageTimeout, timer{kind: timerCheckCallerConn, targetID: uint64(id)})
	if len(s.callerConns) > s.cfg.MaxCallerConns {
		evicted := s.evictionCandidate(caller)
		if evicted == nil {
			evicted = caller
		}
		s.closeCallerConn(evicted, "too many connections")
	}
}

// evictionCandidate returns the connection to close in favour of a new one: the lowest rank, then the longest time without a
// call. Connections with open calls and the new one, which has had no time to send anything, are not considered.
func (s *Server) evictionCandidate(newest *callerConn) *callerConn {
	var candidate *callerConn
	for _, caller := range s.callerConns {
		if caller.openCalls > 0 || caller == newest {
			continue
		}
		if candidate == nil || cmp.Or(cmp.Compare(s.evictionRank(caller), s.evictionRank(candidate)),
			cmp.Compare(max(caller.lastUsed, caller.acceptedAt), max(candidate.lastUsed, candidate.acceptedAt)),
			cmp.Compare(caller.id, candidate.id)) < 0 {
			candidate = caller
		}
	}
	return candidate
}

// evictionRank ranks connections without open calls; the lowest is closed first. Without it, unknown clients that send only
// OPTIONS on ever new connections would push out connections that carried established calls, and a release would find no
// caller connection to be sent on.
func (s *Server) evictionRank(caller *callerConn) int {
	switch {
	case caller.carriedEstablished:
		return 4
	case caller.lastUsed > usedWithoutCall: // it has carried an INVITE
		return 3
	case caller.lastUsed == 0 && s.now-caller.acceptedAt < firstMessageGrace:
		return 2
	case caller.lastUsed > 0: // it has carried other messages only
		return 1
	}
	return 0
}

// checkCallerConn closes a connection that has sent nothing or has not completed a message in time.
func (s *Server) checkCallerConn(id ConnID) {
	caller := s.callerConns[id]
	if caller == nil {
		return
	}
	switch {
	case caller.lastUsed == 0 && caller.unfinishedSince == 0:
		s.closeCallerConn(caller, "no message received")
	// The connection is not closed before its open calls are answered: other callers may have sent them on it than the one whose
	// message is incomplete.
	case caller.unfinishedSince > 0 && s.now-caller.unfinishedSince >= callerMessageTimeout && caller.openCalls > 0:
		s.armTimer(callerRecheckDelay, timer{kind: timerCheckCallerConn, targetID: uint64(id)})
	case caller.unfinishedSince > 0 && s.now-caller.unfinishedSince >= callerMessageTimeout:
		s.closeCallerConn(caller, "message not completed")
	case caller.unfinishedSince > 0:
		s.timers.Arm(caller.unfinishedSince+callerMessageTimeout, timer{kind: timerCheckCallerConn, targetID: uint64(id)})
	}
}

// closeCallerConn closes a connection and ends the open calls on it.
func (s *Server) closeCallerConn(caller *callerConn, why string) {
	s.log(slog.LevelDebug, "caller's connection closed", slog.String("from", caller.remoteAddr), slog.String("why", why))
	s.emit(Close{Conn: caller.id})
	s.callerConnEnded(caller)
}

// callerConnEnded ends the open calls of a connection. Established calls belong to no connection. Releases that may be lost
// with it are sent again on another one.
func (s *Server) callerConnEnded(caller *callerConn) {
	delete(s.callerConns, caller.id)
	for _, r := range caller.unansweredByes.takeLost(s.now) {
		s.releaseToCaller(r.call, r.cause)
	}
	if caller.openCalls == 0 {
		return
	}
	for _, call := range s.callsInOrder() {
		if call.callerConn == caller && call.state == callSettingUp {
			call.callerConnLost = true
			s.callerHungUp(call)
		}
	}
}

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
		s.armTimer(callerMessageTimeout, timer{kind: timerCheckCallerConn, targetID: uint64(caller.id)})
	}
}

// rejectAndClose answers a message and closes the connection: the message cannot be parsed, so that the bytes after it cannot
// be framed reliably, or rejectMessage has found nothing worth keeping the connection for.
func (s *Server) rejectAndClose(caller *callerConn, err error) {
	s.totals.RejectedMessages++
	s.log(slog.LevelInfo, "caller's message refused", slog.String("from", caller.remoteAddr), slog.String("err", err.Error()))
	var fault *sip.Fault
	if errors.As(err, &fault) && (fault.Head == nil || fault.Head.Status == 0) {
		s.respond(caller, sip.HeadOf(fault.Head), fault.Status, 0, nil)
	}
	s.log(slog.LevelDebug, "caller's connection closed", slog.String("from", caller.remoteAddr))
	s.emit(Close{Conn: caller.id, Linger: true})
	s.callerConnEnded(caller)
}

func (s *Server) respond(caller *callerConn, head sip.Head, status, retryAfter int, body []byte) {
	s.trace("to caller", "", caller.remoteAddr, caller.id, head.CallID, status)
	s.emit(Write{Conn: caller.id, Bytes: sip.Response(nil, head, status, retryAfter, body)})
}

// handleCallerMessage handles one message of a caller.
func (s *Server) handleCallerMessage(caller *callerConn, msg *sip.Message) {
	caller.lastUsed = max(caller.lastUsed, usedWithoutCall) // an INVITE sets it to the present time below
	s.trace("from caller", msg.Method, caller.remoteAddr, caller.id, msg.CallID, msg.Status)
	if msg.Status > 0 { // the response to a BYE
		if id, err := parseCallID(msg.CallID); err == nil {
			caller.unansweredByes.acknowledge(id)
			s.byesAnswered = true
		}
		return
	}
	switch msg.Method {
	case "INVITE":
		caller.lastUsed = s.now
		s.flushCallerReleases() // not on other messages: a client that only connects or sends OPTIONS may not be a caller
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
	if existing := s.callsByWireID[invite.wireID]; existing != nil {
		s.handleDuplicateInvite(caller, existing, invite)
		return
	}
	if ended := s.endedCalls.find(invite.wireID, s.now); ended != nil {
		s.handleReusedCallID(caller, ended, invite)
		return
	}
	s.offerCall(caller, invite, nil)
}

// handleReusedCallID handles a set-up with the ID of a call that is over and that an office knows. It is refused, unless the
// connection of that call ended before its final answer: such a set-up is sent once more on another connection. That one is taken
// once the office has been released.
func (s *Server) handleReusedCallID(caller *callerConn, ended *endedCall, invite invitation) {
	switch {
	case !ended.mayComeAgain:
		s.rejectMessage(caller, invite.msg, 482, "Call-ID was used before")
	case ended.call == nil:
		s.offerCall(caller, invite, ended)
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
// has carried an established one, as those may be of other callers; otherwise it is closed.
func (s *Server) rejectMessage(caller *callerConn, msg *sip.Message, status int, why string) {
	if caller.openCalls == 0 && !caller.carriedEstablished {
		s.rejectAndClose(caller, &sip.Fault{Status: status, Text: why, Head: msg})
		return
	}
	s.totals.RejectedMessages++
	s.log(slog.LevelInfo, "caller's message refused", slog.String("from", caller.remoteAddr), slog.String("err", why))
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
