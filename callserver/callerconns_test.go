package callserver

import (
	"testing"
	"time"

	"finchlatch/office"
)

// While connections keep arriving and stay open, the one that is closed must not be the newest: new callers would never be served.
func TestNewestCallerConnectionIsNotEvicted(t *testing.T) {
	h := newHarness(t, nil)
	h.connect("10.0.0.1:5080")
	var existing []ConnID
	for i := range 4 {
		caller := h.acceptCaller()
		h.callerSends(caller, request("OPTIONS", uint64(i)))
		existing = append(existing, caller)
		h.advance(10 * time.Millisecond)
	}
	caller := h.acceptCaller()
	if _, closed := h.closed[caller]; closed {
		t.Fatal("the newest connection was closed")
	}
	if _, closed := h.closed[existing[0]]; !closed {
		t.Fatal("the connection that has been without a call for longest was not closed")
	}
	h.callerSends(caller, invite(7, "dest:1;width:1"))
	h.advance(150 * time.Millisecond)
	idleCaller := h.acceptCaller()
	h.advance(150 * time.Millisecond)
	h.acceptCaller()
	if _, closed := h.closed[idleCaller]; !closed {
		t.Fatal("a connection that has sent nothing was not closed first")
	}
	if _, closed := h.closed[caller]; closed {
		t.Fatal("a connection with an open call was closed")
	}
}

// Hundreds of connections a second that carry only OPTIONS requests must not evict those that carried calls: a release would find
// no caller connection, and the caller would learn of it too late or never.
func TestOptionsRequestsDoNotEvictConnectionsOfCalls(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.officeSends(conn, answerMsg(7))
	requireMessages(t, "the answer", h.takeCallerMessages(caller), "200")
	refusedCaller := h.acceptCaller()
	h.callerSends(refusedCaller, invite(8, "dest:9;width:1"))
	requireMessages(t, "call to an unknown exchange", h.takeCallerMessages(refusedCaller), "503")
	for i := range 200 {
		h.advance(time.Millisecond)
		otherCaller := h.acceptCaller()
		if i%3 > 0 { // the others send nothing
			h.callerSends(otherCaller, request("OPTIONS", 1))
		}
	}
	if _, closed := h.closed[refusedCaller]; closed {
		t.Error("a connection that has carried an INVITE was evicted in favour of one that carries only OPTIONS requests")
	}
	h.officeSends(conn, releaseMsg(7, office.CauseTemporary, ""))
	requireMessages(t, "messages to the caller of a dropped call", h.takeCallerMessages(caller), "BYE")
}

func TestConnectionsWithoutACompleteMessageAreClosedInTime(t *testing.T) {
	h := newHarness(t, nil)
	idle, unfinished := h.acceptCaller(), h.acceptCaller()
	h.advance(time.Second)
	h.callerSends(unfinished, "INVITE sip:1@net SIP/2.0\r\nCall-")
	h.advance(1100 * time.Millisecond)
	if _, ok := h.closed[idle]; !ok {
		t.Fatal("a connection without a message is open after 2.1 s")
	}
	h.advance(time.Second)
	if _, ok := h.closed[unfinished]; !ok {
		t.Fatal("a connection with an unfinished message is open for longer than 2 s")
	}
	caller := h.acceptCaller()
	h.callerSends(caller, "INVITE sip:1@net SIP/2.0\r\nCall-ID: 0000000000000001\r\nCSeq: 1 INVITE\r\nContent-Length: 60000000\r\n\r\nx")
	requireMessages(t, "response to a body of 60 MB", h.takeCallerMessages(caller), "513")
	if _, ok := h.closed[caller]; !ok {
		t.Fatal("the connection with a body of 60 MB stays open")
	}
}
