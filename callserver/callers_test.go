package callserver

import (
	"strings"
	"testing"
	"time"

	"finchlatch/office"
)

// A Call-ID in use is refused on another connection. On the same connection a copy of the INVITE is ignored as a retransmission,
// and a different set-up ends the first one: both get one answer.
func TestSetUpsWithTheSameCallID(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.callerSends(caller, invite(7, "dest:1;width:1")) // repeated
	requireMessages(t, "response to a repeated INVITE", h.takeCallerMessages(caller))
	otherCaller := h.acceptCaller()
	h.callerSends(otherCaller, invite(7, "dest:2;width:1"))
	requireMessages(t, "response to the ID on another connection", h.takeCallerMessages(otherCaller), "482")
	if _, ok := h.closed[otherCaller]; !ok {
		t.Fatal("an unknown client that used the ID of another call keeps its connection")
	}
	h.officeSends(conn, answerMsg(7))
	requireMessages(t, "answer to the first call", h.takeCallerMessages(caller), "200")
	h.callerSends(caller, invite(8, "dest:1;width:1"))
	conn, _ = h.takeSetUp(8)
	h.callerSends(caller, strings.Replace(invite(8, "dest:1;width:1"), "7f3a9c21e0b4d655", "7f3a9c21e0b4d656", 1))
	requireMessages(t, "response to a different set-up under the same ID", h.takeCallerMessages(caller), "482")
	if got := h.takeOfficeMessages(conn); len(got) != 1 || got[0].Type != office.Release || got[0].Cause != office.CauseNormal {
		t.Fatalf("messages to the office of the refused call: %v", got)
	}
	h.officeSends(conn, answerMsg(8)) // crosses our release
	requireMessages(t, "messages after the refusal", h.takeCallerMessages(caller))
}

// Calls that a process accepts while it drains must have their final answer before it ends. It has to accept transit calls, or its
// exchange could not serve as a tandem during the drain.
func TestCallsAcceptedDuringADrainEndInTime(t *testing.T) {
	h := newHarness(t, nil)
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.callerSends(caller, invite(1, "dest:1;width:1"))
	end := h.now + 500*time.Millisecond
	h.apply(Input{Kind: InDrain, EndsAt: end})
	h.callerSends(caller, invite(2, "dest:1;width:1;transit:1")) // its office does not answer
	h.callerSends(caller, invite(3, "dest:1;width:1;transit:1"))
	h.connect("10.0.0.1:5080")
	conn, _ := h.takeSetUp(3)
	h.officeSends(conn, answerMsg(3))
	requireMessages(t, "transit call", h.takeCallerMessages(caller), "200")
	h.advance(end - h.now)
	requireMessages(t, "transit call when the process ends", h.takeCallerMessages(caller), "500")
	h.callerSends(caller, invite(4, "dest:1;width:1"))
	requireMessages(t, "call after that", h.takeCallerMessages(caller), "503")
	if open, _ := h.server.CallCounts(); open != 1 {
		t.Errorf("%d open calls, want the one accepted before the drain", open)
	}
}

// Connections to a host that has vanished stay open on this side. They must not be used any more, or each trial attempt after its
// return would be sent on one of them. Unknown clients may set X-Timer-Ms to its maximum of 24.8 days, or claim established calls
// that do not exist: the deadline of the class and the limit on adopted calls apply.
func TestUnresponsiveOfficeLongTimersAndAdoptedCallLimit(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.MaxOpenCalls = 3 })
	for id := uint64(1); id <= 3; id++ {
		h.connect("10.0.0.1:5080")
		caller := h.acceptCaller()
		h.callerSends(caller, strings.Replace(invite(id, "dest:1;width:1"), "X-Timer-Ms: 3000", "X-Timer-Ms: 2147483647", 1))
	}
	h.connect("10.0.0.1:5080")
	h.advance(9100 * time.Millisecond)
	if open, _ := h.server.CallCounts(); open != 0 {
		t.Fatalf("%d calls are still open after the deadline of their class", open)
	}
	if remote := h.server.offices["s-1"]; remote.anyConnUp() {
		t.Fatal("connections of an unresponsive host are still in use")
	}
	caller := h.acceptCaller()
	for id := uint64(10); id < 20; id++ {
		h.callerSends(caller, invite(id, "at:s-1"))
	}
	if _, established := h.server.CallCounts(); established != 3 {
		t.Fatalf("%d adopted calls, the limit is 3", established)
	}
}
