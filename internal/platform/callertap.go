package platform

import (
	"strconv"
	"strings"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/sip"
)

// CallerTap reports to the rule checker what callers and one call server send to each other.
type CallerTap struct {
	trackedConns[tappedCaller]
	env        *Environment
	callServer string // name of the call server
}

// tappedCaller is a caller's connection that a tap follows.
type tappedCaller struct {
	fromCallServer sip.Framer
	toCallServer   sip.Framer
	corrupted      bool            // the caller sent bytes that cannot be parsed
	callerKnown    bool            // the call server knows of a caller: it has answered, or was notified of established calls
	unanswered     map[uint64]bool // calls without a final answer
}

// NewCallerTap returns a tap for the connections of callers to a call server.
func (e *Environment) NewCallerTap(callServer string) *CallerTap {
	return &CallerTap{env: e, callServer: callServer, trackedConns: newTrackedConns[tappedCaller]()}
}

// Opened starts to follow a new connection.
func (t *CallerTap) Opened(connID int) {
	t.track(connID, &tappedCaller{unanswered: map[uint64]bool{}})
}

// ToCallServer handles bytes from a caller that are about to reach the call server. A message counts once its last byte is there.
func (t *CallerTap) ToCallServer(connID int, data []byte) {
	t.withConn(connID, func(conn *tappedCaller) { t.decodeToCallServer(conn, data) })
}

// decodeToCallServer reports the complete messages of a caller; t.mu is held.
func (t *CallerTap) decodeToCallServer(conn *tappedCaller, data []byte) {
	if conn.corrupted {
		return
	}
	conn.toCallServer.Write(data)
	for {
		msg, err := conn.toCallServer.Next()
		if err != nil {
			conn.corrupted = true // an unknown client, or a caller that sends malformed data on purpose
			return
		}
		if msg == nil {
			return
		}
		t.reportCallerMessage(conn, msg)
	}
}

// reportCallerMessage reports a request of a caller; t.mu is held.
func (t *CallerTap) reportCallerMessage(conn *tappedCaller, msg *sip.Message) {
	call, err := strconv.ParseUint(msg.CallID, 16, 64)
	if err != nil || msg.Status > 0 {
		return
	}
	switch msg.Method {
	case "INVITE":
		if strings.Contains(msg.Get("X-Legs"), "at:") { // it names the office of an established call: no set-up
			t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.Adopted(at, call) })
			t.reportCallerKnown(conn)
			return
		}
		patienceMs, _ := strconv.Atoi(msg.Get("X-Timer-Ms"))
		conn.unanswered[call] = true
		t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
			checker.CallTaken(at, call, time.Duration(patienceMs)*time.Millisecond)
			checker.TakenBy(call, t.callServer)
		})
	case "CANCEL":
		delete(conn.unanswered, call)
		t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.Abandoned(at, call) })
	case "BYE":
		t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.HangUpReceived(at, call) })
	}
}

// FromCallServer handles bytes that the call server wrote.
func (t *CallerTap) FromCallServer(connID int, data []byte) {
	t.withConn(connID, func(conn *tappedCaller) { t.decodeFromCallServer(conn, data) })
}

// decodeFromCallServer reports the final answers and the releases of the call server; t.mu is held.
func (t *CallerTap) decodeFromCallServer(conn *tappedCaller, data []byte) {
	t.reportCallerKnown(conn)
	conn.fromCallServer.Write(data)
	for msg, err := conn.fromCallServer.Next(); msg != nil && err == nil; msg, err = conn.fromCallServer.Next() {
		call, idErr := strconv.ParseUint(msg.CallID, 16, 64)
		switch {
		case idErr != nil:
		case msg.Method == "INVITE" && msg.Status >= 200:
			delete(conn.unanswered, call)
			t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.FinalAnswer(at, call, msg.Status) })
		case msg.Method == "BYE" && msg.Status == 0:
			t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.CallerNotified(at, call) })
		}
	}
}

// Closed handles the end of a connection. Callers that still wait have hung up or, if the call server closed the connection,
// are left without an answer.
func (t *CallerTap) Closed(connID int, byCallServer bool) {
	t.untrack(connID, func(conn *tappedCaller) {
		t.reportIfNoCaller()
		for call := range conn.unanswered {
			t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
				if byCallServer {
					checker.ConnectionEnded(at, call)
				} else {
					checker.Abandoned(at, call)
				}
			})
		}
	})
}

// reportCallerKnown reports the first event on a connection from which the call server knows that a caller is there; t.mu is held.
func (t *CallerTap) reportCallerKnown(conn *tappedCaller) {
	if !conn.callerKnown {
		conn.callerKnown = true
		t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.CallersConnected(at, t.callServer) })
	}
}

// reportIfNoCaller reports that no connection is left on which the call server knows of a caller, if so; t.mu is held.
func (t *CallerTap) reportIfNoCaller() {
	for _, conn := range t.conns {
		if conn.callerKnown {
			return
		}
	}
	t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
		checker.NoCallersConnected(at, t.callServer)
	})
}
