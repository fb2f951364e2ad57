package callserver

import (
	"testing"
	"time"

	"finchlatch/office"
)

// namingRequests are what callers may send on a new connection that names established call 8, or ended call 7.
var namingRequests = map[string]string{
	"BYE of an established call":   request("BYE", 8),
	"ACK of an established call":   request("ACK", 8),
	"claim of an established call": invite(8, "dest:1;width:1;at:s-1"),
	"BYE of the ended call":        request("BYE", 7),
	"claim of the ended call":      invite(7, "dest:1;width:1;at:s-1"),
}

// Guards against a release that waits for ever as callers only end calls, or name them, on their connections.
func TestReleaseIsSentWhereCallersNameAnEstablishedCall(t *testing.T) {
	for name, text := range namingRequests {
		for _, wait := range []time.Duration{300 * time.Millisecond, 30 * time.Second} {
			t.Run(name, func(t *testing.T) {
				h, caller := newHarnessWithCalls(t, 7, 8, 9)
				conn := h.openConns()[0]
				h.apply(Input{Kind: InClosed, Conn: caller})
				h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
				h.officeSends(conn, releaseMsg(9, office.CauseNormal, ""))
				h.advanceWithReports(wait, conn)
				client := h.acceptCaller()
				h.callerSends(client, request("OPTIONS", 99))
				if n := h.countByes(client); n != 0 {
					t.Fatalf("%d BYE to a client that has named no call", n)
				}
				h.callerSends(client, text)
				messages := h.takeCallerMessages(client)
				byes := 0
				for _, message := range messages {
					if message == "BYE" {
						byes++
					}
				}
				if byes != 2 {
					t.Errorf("messages on the connection: %q, want a BYE of each ended call", messages)
				}
				if h.server.callsByWireID[7] != nil {
					t.Error("the ended call is established again")
				}
			})
		}
	}
}

// Guards against a release that waits for callers although they have ended another call on a connection that is open.
func TestReleaseIsSentWhereCallersHaveEndedACall(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7, 8)
	conn := h.openConns()[0]
	h.apply(Input{Kind: InClosed, Conn: caller})
	caller = h.acceptCaller()
	h.callerSends(caller, request("BYE", 8))
	h.advanceWithReports(time.Minute, conn)
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "200", "BYE")
}

// Guards against a release that waits for ever after a restart, as callers only end the calls that they claimed on another connection.
func TestReleaseIsSentWhereCallersEndClaimedCalls(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connectWithLoad("10.0.0.1:5080", busyLoad)
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1")+invite(8, "dest:1;width:1;at:s-1"))
	h.apply(Input{Kind: InClosed, Conn: caller})
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	caller = h.acceptCaller()
	h.callerSends(caller, request("BYE", 8))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE", "200")
}

// Guards against a release that waits although the office has confirmed a call that was claimed on the connection before its listing.
func TestReleaseIsSentWhereAnOfficeEndsAClaimedCall(t *testing.T) {
	h, conn := newHarnessForReleases(t)
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	caller := h.acceptCaller()
	h.callerSends(caller, invite(9, "dest:1;width:1;at:s-9"))
	requireMessages(t, "messages before the release", h.takeCallerMessages(caller))
	h.officeSends(conn, releaseMsg(9, office.CauseNormal, ""))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE", "BYE")
}

// Guards against a release that waits although the connection has named a call which an office released before.
func TestReleaseIsSentWhereACallIsClaimedThatAnOfficeHasEnded(t *testing.T) {
	h, conn := newHarnessForReleases(t)
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	h.officeSends(conn, releaseMsg(9, office.CauseNormal, "")) // of an earlier process
	caller := h.acceptCaller()
	h.callerSends(caller, invite(9, "dest:1;width:1;at:s-9"))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE", "BYE")
}

// Guards against a connection on which callers end calls that is closed before one that has rested for longer.
func TestConnectionOnWhichCallsAreEndedIsNotEvictedFirst(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.MaxCallerConns = 2 })
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.establish(caller, 7, 8)
	h.advance(time.Second)
	resting := h.acceptCaller()
	h.establish(resting, 9)
	h.advance(100 * time.Millisecond)
	h.callerSends(caller, request("BYE", 7))
	h.acceptCaller()
	if _, closed := h.closed[caller]; closed {
		t.Error("the connection that was used last was closed")
	}
	if _, closed := h.closed[resting]; !closed {
		t.Error("the connection that has rested for longest is open")
	}
}
