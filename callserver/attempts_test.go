package callserver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// If an answer is lost and the call ends at its office, another attempt must not set it up a second time, and its caller must be
// answered at once.
func TestCallThatIsOverBeforeItsAnswerCame(t *testing.T) {
	for name, wait := range map[string]time.Duration{"outstanding attempt": 0, "cancelled attempt": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			h, caller, conn := newHarnessWithSetUp(t, nil)
			h.advance(700 * time.Millisecond)
			for id := uint64(8); id < 11 && wait > 0; id++ { // three later calls are answered first: the attempt is cancelled
				h.connect("10.0.0.1:5080")
				h.callerSends(caller, invite(id, "dest:1;width:1"))
				laterConn, _ := h.takeSetUp(id)
				h.officeSends(laterConn, answerMsg(id))
			}
			h.advance(wait)
			h.takeCallerMessages(caller)
			officeMessages := h.takeOfficeMessages(conn)
			h.connect("10.0.0.1:5080")
			conns := h.server.offices["s-1"].conns
			h.officeSends(conns[len(conns)-1].id, releaseMsg(7, office.CauseNormal, ""))
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "500")
			if officeMessages = append(officeMessages, h.takeOfficeMessages(conn)...); len(officeMessages) != 1 ||
				officeMessages[0].Type != office.Release {
				t.Errorf("messages to the office on the first connection: %v", officeMessages)
			}
			h.advance(2 * time.Second)
			requireMessages(t, "later messages to the caller", h.takeCallerMessages(caller))
			if h.server.callsByID[1] != nil || h.server.callsByWireID[7] != nil {
				t.Error("the call has not been removed")
			}
		})
	}
}

// An answer arrives after the release of its call, on the connection of the set-up. If that release were taken for a reset, the
// call would be set up a second time; its caller must get the final answer at once.
func TestCallThatIsOverOnItsConnectionBeforeItsAnswerCame(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.advance(700 * time.Millisecond)
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "500")
	if len(h.server.callsByID) != 0 || len(h.server.callsByWireID) != 0 || len(h.server.officeConns[conn].outstandingCalls) != 0 {
		t.Error("the call has not been removed")
	}
	h.officeSends(conn, answerMsg(7)) // the late answer
	h.advance(2 * time.Second)        // longer than the release time, after which another attempt might start
	requireMessages(t, "later messages to the caller", h.takeCallerMessages(caller))
	if len(h.attempts) != 1 || len(h.takeOfficeMessages(conn)) != 0 {
		t.Errorf("%d attempts, want 1, or messages were sent to the office after the end of the call", len(h.attempts))
	}
}

// Rules 2 and 5, one attempt at a time and the release time between two: the end of an attempt is on the wire before the next
// one starts, which waits for the release time, and a late answer to the first is not taken for one to the second.
func TestLateAnswerOfAnEarlierAttempt(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.connect("10.0.0.1:5080")
	h.officeSends(conn, releaseMsg(7, office.CauseTemporary, ""))
	endedAt := h.now
	h.advance(199 * time.Millisecond)
	for other := range h.server.officeConns {
		if got := h.takeOfficeMessages(other); len(got) != 0 {
			t.Fatalf("%v sent before the release time was over", got)
		}
	}
	h.advance(10 * time.Millisecond)
	secondConn, _ := h.takeSetUp(7)
	if secondConn == conn {
		t.Fatal("the second attempt was sent on the connection of the first")
	}
	if h.now-endedAt < 200*time.Millisecond {
		t.Fatal("the second attempt was sent within the release time (rule 5)")
	}
	h.officeSends(conn, answerMsg(7))
	requireMessages(t, "messages after a late answer", h.takeCallerMessages(caller))
	h.officeSends(secondConn, answerMsg(7))
	requireMessages(t, "the answer", h.takeCallerMessages(caller), "200")
	h.officeSends(conn, releaseMsg(7, office.CauseBusy, "occupied")) // of the first attempt: the call is established by the second
	requireMessages(t, "messages after a late release", h.takeCallerMessages(caller))
}

// An office reports a dropped call on any open connection. On the connection of an earlier attempt of the call the release must
// not be taken for the end of that attempt, or the caller is never notified.
func TestDroppedCallReportedOnTheConnectionOfAnEarlierAttempt(t *testing.T) {
	for name, tt := range map[string]struct {
		firstEnded bool // the office has ended the first attempt
		after      time.Duration
		cause      byte
		want       []string
	}{
		"first attempt ended, at once":                {firstEnded: true, cause: office.CauseTemporary, want: []string{"BYE"}},
		"first attempt ended, later":                  {firstEnded: true, after: 5 * time.Second, cause: office.CauseTemporary, want: []string{"BYE"}},
		"first attempt ended, other cause":            {firstEnded: true, after: 5 * time.Second, cause: office.CauseBusy},
		"first attempt ended, normal end of the call": {firstEnded: true, cause: office.CauseNormal, want: []string{"BYE"}},
		"timed out, crossing its release":             {after: 900 * time.Millisecond, cause: office.CauseTemporary},
		"timed out, later":                            {after: 1100 * time.Millisecond, cause: office.CauseTemporary, want: []string{"BYE"}},
		"timed out, normal end of the call":           {cause: office.CauseNormal, want: []string{"BYE"}},
		"timed out, other cause":                      {after: 1100 * time.Millisecond, cause: office.CauseResource},
	} {
		t.Run(name, func(t *testing.T) {
			h, caller, firstConn := newHarnessWithSetUp(t, nil)
			if tt.firstEnded {
				h.officeSends(firstConn, releaseMsg(7, office.CauseTemporary, ""))
			} else {
				h.callerSends(caller, invite(8, "dest:1;width:1")) // keeps the connection open
				if otherConn, _ := h.takeSetUp(8); otherConn != firstConn {
					t.Fatal("the second call was sent on another connection")
				}
				h.advance(700 * time.Millisecond)
				h.connect("10.0.0.1:5080")
				h.server.releaseAttempt(h.server.callsByWireID[7], logic.TimedOut)
				h.collectEffects()
			}
			h.connect("10.0.0.1:5080")
			h.advance(250 * time.Millisecond)
			h.connect("10.0.0.1:5080")
			secondConn, _ := h.takeSetUp(7)
			if secondConn == firstConn {
				t.Fatal("the second attempt was sent on the connection of the first")
			}
			h.officeSends(secondConn, answerMsg(7))
			requireMessages(t, "the answer", h.takeCallerMessages(caller), "200")
			h.advanceWithReports(tt.after, secondConn)
			h.officeSends(firstConn, releaseMsg(7, tt.cause, ""))
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), tt.want...)
		})
	}
}

// If the connection for an attempt is refused, the attempt has had no effect: with no other attempt allowed, the call is refused
// and may be redialled (503), and has not failed (500).
func TestAttemptOnARefusedConnectionHasNoEffect(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.Settings.MaxAttempts = 1 })
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1"))
	if len(h.dials) != 2 {
		t.Fatalf("%d connections dialled", len(h.dials))
	}
	for _, dial := range h.dials {
		if dial.Addr == "10.0.0.1:5080" {
			h.apply(Input{Kind: InFailed, Conn: dial.Conn, Refused: true})
		}
	}
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "503")
	if open, _ := h.server.CallCounts(); open != 0 || len(h.server.callsByID) != 0 {
		t.Fatalf("%d open calls, %d not removed", open, len(h.server.callsByID))
	}
}

// An attempt without an answer times out: its call gets a final answer, its office a release, and its connection is not used any
// more. A CANCEL is accepted only on the connection of the set-up, and releases the attempt.
func TestAttemptTimeoutAndCancel(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.advance(3100 * time.Millisecond)
	if got := h.takeCallerMessages(caller); len(got) != 1 || got[0] == "200" {
		t.Fatalf("messages to the caller whose office does not answer: %v", got)
	}
	if got := h.takeOfficeMessages(conn); len(got) != 1 || got[0].Type != office.Release {
		t.Fatalf("messages to the office that does not answer: %v", got)
	}
	if !slices.Contains(h.halfClosed, conn) {
		t.Fatal("a connection on which an answer is missing stays in use")
	}
	h.connect("10.0.0.1:5080")
	otherCaller := h.acceptCaller()
	h.callerSends(otherCaller, invite(8, "dest:1;width:1"))
	h.connect("10.0.0.1:5080")
	secondConn, _ := h.takeSetUp(8)
	h.callerSends(caller, request("CANCEL", 8))
	requireMessages(t, "CANCEL by another caller", h.takeCallerMessages(caller), "481")
	h.callerSends(otherCaller, request("CANCEL", 8))
	requireMessages(t, "CANCEL by the caller", h.takeCallerMessages(otherCaller), "200")
	if got := h.takeOfficeMessages(secondConn); len(got) != 1 || got[0].Type != office.Release || len(h.server.callsByID) != 0 {
		t.Fatalf("messages to the office: %v; %d calls not removed", got, len(h.server.callsByID))
	}
}

// An attempt times out and ends in another way at the same time, in both orders, before its release has been written. Exactly one
// end may be counted, the caller gets at most one final answer, and no other attempt starts within the release time.
func TestEndsOfAnAttemptThatCross(t *testing.T) {
	outcomes := map[string]struct {
		trigger     func(h *harness, conn, caller ConnID)
		established bool // if it happens before the timeout
		hungUp      bool // the caller has hung up, and gets no final answer
	}{
		"answer":          {trigger: func(h *harness, conn, _ ConnID) { h.officeSends(conn, answerMsg(7)) }, established: true},
		"reset":           {trigger: func(h *harness, conn, _ ConnID) { h.officeSends(conn, releaseMsg(7, office.CauseTemporary, "")) }},
		"full":            {trigger: func(h *harness, conn, _ ConnID) { h.officeSends(conn, releaseMsg(7, office.CauseNoCircuit, "blocked")) }},
		"connection ends": {trigger: func(h *harness, conn, _ ConnID) { h.apply(Input{Kind: InClosed, Conn: conn}) }},
		"corrupted message": {trigger: func(h *harness, conn, _ ConnID) {
			h.apply(Input{Kind: InReceive, Conn: conn, Bytes: []byte{0, 0, 9, 9}})
		}},
		"writes blocked": {trigger: func(h *harness, conn, _ ConnID) { h.apply(Input{Kind: InWriteBlocked, Conn: conn, Blocked: true}) }},
		"CANCEL":         {trigger: func(h *harness, _, caller ConnID) { h.callerSends(caller, request("CANCEL", 7)) }, hungUp: true},
		"caller closes":  {trigger: func(h *harness, _, caller ConnID) { h.apply(Input{Kind: InClosed, Conn: caller}) }, hungUp: true},
	}
	timeOut := func(h *harness) { // targetID 1 is the Controller's ID of the first call, arg 0 its first attempt
		h.server.fireTimer(timer{kind: timerAttemptTimeout, targetID: 1, arg: 0})
		h.server.runDeferred()
		h.collectEffects()
	}
	for name, outcome := range outcomes {
		for _, outcomeFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the timeout %v", name, outcomeFirst), func(t *testing.T) {
				h, caller, conn := newHarnessWithSetUp(t, nil)
				h.withholdWritten = true
				if outcomeFirst {
					outcome.trigger(h, conn, caller)
					timeOut(h)
				} else {
					timeOut(h)
					outcome.trigger(h, conn, caller)
				}
				h.withholdWritten = false
				writtenAt := h.now
				h.apply(Input{Kind: InWritten})
				counts := h.server.offices["s-1"].counts
				if got := counts.established + counts.full + counts.faulted + counts.timedOut + counts.reset + counts.noConnect +
					counts.notSent + counts.cancelled; got != 1 {
					t.Errorf("one attempt is counted under %d outcomes: %+v", got, counts)
				}
				if (counts.established == 1) != (outcomeFirst && outcome.established) {
					t.Errorf("the call must be established only if the answer comes before the timeout: %+v", counts)
				}
				for range 20 {
					h.connect("10.0.0.1:5080")
					h.advance(10 * time.Millisecond)
				}
				h.advance(time.Second)
				finalAnswers := 0
				if !outcome.hungUp {
					for _, reply := range h.takeCallerMessages(caller) {
						if reply == "200" || reply == "500" || reply == "503" {
							finalAnswers++
						}
					}
				}
				if finalAnswers > 1 || len(h.attempts) > 1 &&
					(outcome.hungUp || h.attempts[1].At < writtenAt+h.server.cfg.Settings.Release && counts.full == 0) {
					t.Errorf("%d final answers, attempts %+v", finalAnswers, h.attempts)
				}
			})
		}
	}
}

// A process that is scheduled late may write a release long after the decision: the release time before the next attempt must
// count from the writing. And a release queued behind a set-up that TCP does not accept must not be sent much later with it.
func TestReleaseTimeStartsWhenTheReleaseIsWritten(t *testing.T) {
	for name, blocked := range map[string]bool{"written late": false, "writes blocked": true} {
		t.Run(name, func(t *testing.T) {
			h, caller, conn := newHarnessWithSetUp(t, nil)
			h.advance(700 * time.Millisecond)
			h.withholdWritten = true
			for id := uint64(8); id < 11; id++ { // three later calls are answered first: the attempt is cancelled
				h.connect("10.0.0.1:5080")
				h.callerSends(caller, invite(id, "dest:1;width:1"))
				laterConn, _ := h.takeSetUp(id)
				h.officeSends(laterConn, answerMsg(id))
			}
			if got := h.takeOfficeMessages(conn); len(got) != 1 || got[0].Type != office.Release {
				t.Fatalf("messages to the office that has not answered: %v", got)
			}
			h.advance(250 * time.Millisecond)
			if len(h.attempts) != 4 {
				t.Fatalf("%d attempts before the release of the first is written", len(h.attempts))
			}
			if blocked {
				h.apply(Input{Kind: InWriteBlocked, Conn: conn, Blocked: true})
			}
			h.withholdWritten = false
			writtenAt := h.now
			h.apply(Input{Kind: InWritten})
			if h.closed[conn].Now != blocked {
				t.Errorf("close of the connection of the attempt: %+v", h.closed[conn])
			}
			h.connect("10.0.0.1:5080")
			h.advance(time.Second)
			if len(h.attempts) != 5 || h.attempts[4].At < writtenAt+h.server.cfg.Settings.Release {
				t.Errorf("release written at %v, attempts %+v", writtenAt, h.attempts)
			}
		})
	}
}
