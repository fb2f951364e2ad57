package callserver

import (
	"slices"
	"testing"
	"time"

	"finchlatch/office"
)

// A release that a network partition delays arrives when the partition heals, on the connection on which the office wrote it. It
// must be read even if that connection has been half-closed meanwhile, since an attempt on it got no answer.
func TestReleaseDelayedByANetworkPartition(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7)
	oldConns := h.openConns()
	h.callerSends(caller, invite(9, "dest:1;width:1"))
	h.advanceUnreachable(5 * time.Second)
	h.takeCallerMessages(caller)
	if open := h.openConns(); slices.Contains(open, oldConns[0]) {
		t.Fatalf("connections %v are not half-closed, open ones: %v", oldConns, open)
	}
	h.officeSends(oldConns[0], releaseMsg(7, office.CauseNormal, ""))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
}

// An office becomes unreachable right after a connection to it was half-closed, long before it is suspected: what it wrote there
// may be delayed and must still be read.
func TestOfficeUnresponsiveRightAfterAHalfClose(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7)
	oldConn := h.server.officeConns[h.openConns()[0]]
	h.server.halfClose(oldConn, "replaced by a new connection")
	h.advance(time.Millisecond)
	h.connect("10.0.0.1:5080")
	h.advanceUnreachable(5 * time.Second)
	h.officeSends(oldConn.id, releaseMsg(7, office.CauseNormal, ""))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
}

// A half-closed connection is closed once its office shows activity again or has failed.
func TestHalfClosedConnectionIsClosedEventually(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"alive": func(h *harness) {
			h.advance(500 * time.Millisecond) // by then another connection is being dialled
			h.advanceWithReports(3*time.Second, h.connect("10.0.0.1:5080"))
		},
		"failed": func(h *harness) { h.advanceUnreachable(3 * time.Second) },
	} {
		h, caller := newHarnessWithCalls(t, 7)
		oldConns := h.openConns()
		h.callerSends(caller, invite(9, "dest:1;width:1"))
		h.advanceUnreachable(5 * time.Second)
		if h.server.officeConns[oldConns[0]] == nil {
			t.Errorf("%s: closed while a release may be delayed", name)
		}
		end(h)
		h.advance(halfClosedTimeout + time.Millisecond)
		if h.server.officeConns[oldConns[0]] != nil {
			t.Errorf("%s: not closed", name)
		}
	}
}

// Half-closed connections that are retained because their office may be unreachable are closed if their descriptors are needed for
// new connections.
func TestRetainedConnectionsAreEvicted(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.MaxOfficeConns = halfClosedDivisor })
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.establish(caller, 7)
	h.callerSends(caller, invite(9, "dest:1;width:1"))
	maxConns, retained := 0, false
	for range 50 {
		h.advanceUnreachable(100 * time.Millisecond)
		maxConns = max(maxConns, len(h.server.officeConns))
		for _, conn := range h.server.officeConns {
			retained = retained || conn.retained
		}
	}
	if limit := h.server.cfg.MaxOfficeConns + maxDialling; maxConns > limit || !retained {
		t.Errorf("%d connections, want at most %d; one was retained: %v", maxConns, limit, retained)
	}
	if h.server.halfClosedConns < 0 {
		t.Errorf("%d connections are counted as half-closed", h.server.halfClosedConns)
	}
}

// A release written on a connection without activity is sent again when that connection ends, however late.
func TestReleaseOnAnUnresponsiveConnectionIsSentAgain(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7, 8)
	conn := h.server.callsByWireID[7].conn.id
	h.callerSends(caller, request("BYE", 7))
	h.takeCallerMessages(caller)
	if got := h.takeOfficeMessages(conn); len(got) != 1 || got[0].Type != office.Release {
		t.Fatalf("messages to the office: %v", got)
	}
	h.advanceUnreachable(3 * time.Second)
	h.apply(Input{Kind: InClosed, Conn: conn})
	h.connect("10.0.0.1:5080")
	if got := h.countSent(office.Release); got[7] != 1 {
		t.Errorf("releases sent again, by call: %v", got)
	}
}

// If an office resets a half-closed connection instead of closing it, it may not have read a release on it.
func TestReleaseOnAHalfClosedConnectionThatIsReset(t *testing.T) {
	for _, reset := range []bool{true, false} {
		h, caller := newHarnessWithCalls(t, 7, 8)
		conn := h.server.callsByWireID[7].conn
		h.callerSends(caller, request("BYE", 7))
		h.server.halfClose(conn, "replaced by a new connection")
		h.apply(Input{Kind: InClosed, Conn: conn.id, Reset: reset})
		if got := h.countSent(office.Release)[7]; got != map[bool]int{true: 1, false: 0}[reset] {
			t.Errorf("reset %v: %d releases on other connections", reset, got)
		}
	}
}
