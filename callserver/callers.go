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

// caller is one connection from callers. Any stranger may have opened it.
type callerConn struct {
	id                 ConnID
	remoteAddr         string
	framer             sip.Framer
	openCalls          int           // set-ups on it without a final answer
	acceptedAt         time.Duration // of the connection
	lastUsed           time.Duration // when it last carried a call; 0: never
	carriedEstablished bool          // a call stood on it
	unfinishedSince    time.Duration // since when a message is unfinished; 0: none is
	unconfirmedByes    unconfirmedReleases
	lastActivity       time.Duration // when the last bytes came
}

// Limits on callers' connections; they are about syntax and sockets, not about calls.
const (
	callerMessageTimeout = 2 * time.Second       // to say something whole at first, and to finish what was begun
	callerRecheckDelay   = 50 * time.Millisecond // a connection on which a message is not finished, and set-ups are open
	firstMessageGrace    = 100 * time.Millisecond
	maxLegValue          = 1 << 16 // numbers of exchanges and widths are below
)

// accepted takes a new connection; where there are too many, the one that is longest without a call gives way.
func (s *Server) callerAccepted(id ConnID, from string) {
	caller := &callerConn{id: id, remoteAddr: from, acceptedAt: s.now}
	s.callerConns[id] = caller
	s.armTimer(callerMessageTimeout, timer{kind: timerCheckCaller, id: uint64(id)})
	if len(s.callerConns) > s.cfg.Callers {
		evicted := s.evictionCandidate(caller)
		if evicted == nil {
			evicted = caller
		}
		s.closeCaller(evicted, "too many connections")
	}
}

// idlest is the connection that gives way to a new one: that of the least worth, and of these the one that is longest
// without a call. The new one itself has had no time to speak.
func (s *Server) evictionCandidate(newest *callerConn) *callerConn {
	var candidate *callerConn
	for _, caller := range s.callerConns {
		if caller.openCalls > 0 || caller == newest {
			continue
		}
		if candidate == nil || cmp.Or(cmp.Compare(s.evictionRank(caller), s.evictionRank(candidate)),
			cmp.Compare(max(caller.lastUsed, caller.acceptedAt), max(candidate.lastUsed, candidate.acceptedAt)), cmp.Compare(caller.id, candidate.id)) < 0 {
			candidate = caller
		}
	}
	return candidate
}

// worth ranks connections without a set-up. The danger: strangers that only test, again and again on new connections, push
// out those on which calls stood, and a release finds no connection from callers to go out on.
func (s *Server) evictionRank(caller *callerConn) int {
	switch {
	case caller.carriedEstablished:
		return 4
	case caller.lastUsed > 1: // it has carried a call
		return 3
	case caller.lastUsed == 0 && s.now-caller.acceptedAt < firstMessageGrace:
		return 2
	case caller.lastUsed > 0: // it has only tested
		return 1
	}
	return 0
}

// checkCaller closes a connection that says nothing, or does not finish what it began.
func (s *Server) checkCaller(id ConnID) {
	caller := s.callerConns[id]
	if caller == nil {
		return
	}
	switch {
	case caller.lastUsed == 0 && caller.unfinishedSince == 0:
		s.closeCaller(caller, "said nothing")
	case caller.unfinishedSince > 0 && s.now-caller.unfinishedSince >= callerMessageTimeout && caller.openCalls > 0: // others' set-ups are on it: they are answered first
		s.armTimer(callerRecheckDelay, timer{kind: timerCheckCaller, id: uint64(id)})
	case caller.unfinishedSince > 0 && s.now-caller.unfinishedSince >= callerMessageTimeout:
		s.closeCaller(caller, "did not finish a message")
	case caller.unfinishedSince > 0:
		s.timers.Arm(caller.unfinishedSince+callerMessageTimeout, timer{kind: timerCheckCaller, id: uint64(id)})
	}
}

// closeCaller closes a connection; what was asked on it is given up.
func (s *Server) closeCaller(caller *callerConn, why string) {
	s.log(slog.LevelDebug, "caller's connection closed", slog.String("from", caller.remoteAddr), slog.String("why", why))
	s.emit(Close{Conn: caller.id})
	s.callerConnEnded(caller)
}

// callerGone gives up the set-ups of a connection that has ended. Calls that stand belong to no connection.
func (s *Server) callerConnEnded(caller *callerConn) {
	delete(s.callerConns, caller.id)
	for _, r := range caller.unconfirmedByes.takeLost(s.now) {
		s.releaseToCaller(r.call, r.cause)
	}
	if caller.openCalls == 0 {
		return
	}
	for _, call := range s.callsInOrder() {
		if call.caller == caller && call.state == callSettingUp {
			s.callerHungUp(call)
		}
	}
}

// fromCaller takes bytes of a caller.
func (s *Server) receiveFromCaller(caller *callerConn, data []byte) {
	caller.lastActivity = s.now
	caller.framer.Write(data)
	for s.callerConns[caller.id] == caller {
		msg, err := caller.framer.Next()
		if err != nil {
			s.rejectMalformed(caller, err)
			return
		}
		if msg == nil {
			break
		}
		caller.unfinishedSince = 0
		s.handleCallerMessage(caller, msg)
	}
	if s.callerConns[caller.id] == caller && caller.framer.Waiting() > 0 && caller.unfinishedSince == 0 {
		caller.unfinishedSince = s.now
		s.armTimer(callerMessageTimeout, timer{kind: timerCheckCaller, id: uint64(caller.id)})
	}
}

// fault answers what cannot be read, and closes the connection: nothing after it can be trusted.
func (s *Server) rejectMalformed(caller *callerConn, err error) {
	s.totals.Malformed++
	s.log(slog.LevelInfo, "caller's message refused", slog.String("from", caller.remoteAddr), slog.String("err", err.Error()))
	var fault *sip.Fault
	if errors.As(err, &fault) && (fault.Head == nil || fault.Head.Status == 0) {
		s.respond(caller, sip.HeadOf(fault.Head), fault.Status, 0, nil)
	}
	s.log(slog.LevelDebug, "caller's connection closed", slog.String("from", caller.remoteAddr))
	s.emit(Close{Conn: caller.id, Linger: true})
	s.callerConnEnded(caller)
}

func (s *Server) respond(caller *callerConn, head sip.Head, status, wait int, body []byte) {
	s.trace("to caller", "", caller.remoteAddr, caller.id, head.CallID, status)
	s.emit(Write{Conn: caller.id, Bytes: sip.Response(nil, head, status, wait, body)})
}

// message takes one message of a caller.
func (s *Server) handleCallerMessage(caller *callerConn, msg *sip.Message) {
	caller.lastUsed = max(caller.lastUsed, 1) // it speaks; only calls count as use
	s.trace("from caller", msg.Method, caller.remoteAddr, caller.id, msg.CallID, msg.Status)
	if msg.Status > 0 { // to our BYE; free
		if id, err := parseCallID(msg.CallID); err == nil {
			caller.unconfirmedByes.confirm(id)
			s.byesConfirmed = true
		}
		return
	}
	switch msg.Method {
	case "INVITE":
		caller.lastUsed = s.now
		s.flushCallerReleases() // a connection that only opens, or tests, may not be a caller's
		s.handleInvite(caller, msg)
	case "ACK", "NOTIFY": // neither wants an answer
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

// health is the response to a test: calls can be taken as soon as some office is known.
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

// invite takes a set-up, or one that names a call that stands already.
func (s *Server) handleInvite(caller *callerConn, msg *sip.Message) {
	invite, err := s.parseInvite(msg)
	if err != nil {
		s.refuseMessage(caller, msg, 400, err.Error())
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
	s.offerCall(caller, invite)
}

// twice takes a set-up whose id is that of a call that is held. The first call is untouched where the second comes
// from elsewhere. On one connection nobody could tell whose answer is whose: a copy is passed over (RFC 3261 section
// 17.2.1), and two different set-ups are both refused by one answer.
func (s *Server) handleDuplicateInvite(caller *callerConn, existing *activeCall, invite invitation) {
	if existing.caller != caller || existing.state != callSettingUp {
		s.refuseMessage(caller, invite.msg, 482, "id of a call that is held already")
		return
	}
	if existing.calledNumber == invite.calledNumber && bytes.Equal(existing.description, invite.description) {
		return
	}
	s.callerHungUp(existing)
	s.refuseMessage(caller, invite.msg, 482, "two set-ups under one id")
}

// refuseMessage answers a message that is whole but makes no sense. Others' calls may be on the connection: it stays
// while one is, or once one has stood on it.
func (s *Server) refuseMessage(caller *callerConn, msg *sip.Message, status int, why string) {
	if caller.openCalls == 0 && !caller.carriedEstablished {
		s.rejectMalformed(caller, &sip.Fault{Status: status, Text: why, Head: msg})
		return
	}
	s.totals.Malformed++
	s.log(slog.LevelInfo, "caller's message refused", slog.String("from", caller.remoteAddr), slog.String("err", why))
	s.respond(caller, sip.HeadOf(msg), status, 0, nil)
}

// held is the call that a message of a caller names, or nil.
func (s *Server) callNamedIn(msg *sip.Message) *activeCall {
	id, err := parseCallID(msg.CallID)
	if err != nil {
		return nil
	}
	return s.callsByWireID[id]
}

// cancelled takes the word that a caller has stopped waiting. Only the connection of the set-up may say so.
func (s *Server) handleCancel(caller *callerConn, msg *sip.Message) {
	call := s.callNamedIn(msg)
	if call == nil || call.caller != caller {
		s.respond(caller, sip.HeadOf(msg), 481, 0, nil)
		return
	}
	s.respond(caller, sip.HeadOf(msg), 200, 0, nil)
	if call.state == callSettingUp {
		s.callerHungUp(call)
		return
	}
	s.releaseAtOffice(call, office.CauseNormal) // our answer crossed it
	s.endEstablished(call, logic.Cancelled, office.CauseNormal, nil, "its caller gave it up as it stood")
}

// bye takes the release of a call that stands, on whatever connection it comes.
func (s *Server) handleBye(caller *callerConn, msg *sip.Message) {
	call := s.callNamedIn(msg)
	if call == nil || call.state == callSettingUp {
		s.respond(caller, sip.HeadOf(msg), 481, 0, nil)
		return
	}
	s.respond(caller, sip.HeadOf(msg), 200, 0, nil)
	s.releaseAtOffice(call, parseCause(msg.Get("Reason")))
	s.removeEstablished(call, logic.Outcome{Status: logic.Cancelled})
}

// causeOf reads the cause of a release; without one that can be read it is the normal one.
func parseCause(reason string) byte {
	_, text, _ := strings.Cut(reason, "cause=")
	text, _, _ = strings.Cut(text, ";")
	cause, err := strconv.ParseUint(strings.TrimSpace(text), 10, 7)
	if err != nil || cause == 0 {
		return office.CauseNormal
	}
	return byte(cause)
}
