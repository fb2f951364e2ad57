package callserver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"finchlatch/liveness"
	"finchlatch/office"
)

// Callers claim calls at an office that has restarted since it established them, as its first report of circuits in use shows.
func TestCallsAdoptedAtAnOfficeThatHasRestarted(t *testing.T) {
	for load, want := range map[string][]string{"spare:30;total:30": {"BYE", "BYE"}, "spare:28;total:30": nil, "spare:29;total:30": nil} {
		t.Run(load, func(t *testing.T) {
			h := newHarness(t, nil)
			conn := h.connectWithLoad("10.0.0.1:5080", load)
			caller := h.acceptCaller()
			h.advance(time.Second)
			h.establish(caller, 9) // a new call takes another circuit
			h.officeSends(conn, &office.Message{Type: office.GroupState, Load: "spare:20;total:30"})
			h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
			h.advance(100 * time.Millisecond)
			h.callerSends(caller, invite(8, "dest:1;width:1;at:s-1"))
			requireMessages(t, "messages to the caller at once", h.takeCallerMessages(caller))
			h.advance(liveness.AdoptionWindow)
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), want...)
			if h.server.callsByWireID[9] == nil {
				t.Error("the new call was dropped")
			}
		})
	}
}

// Guards against one claim of an unknown client that has the adopted calls of an office dropped: a call of 65,535 circuits is not missing
// at an office that has fewer in use.
func TestClaimOfImpossibleWidthDropsNoCalls(t *testing.T) {
	for _, width := range []int{30, 65535} {
		h := newHarness(t, nil)
		caller, client := h.acceptCaller(), h.acceptCaller()
		for id := uint64(7); id < 10; id++ {
			h.callerSends(caller, invite(id, "dest:1;width:1;at:s-1"))
		}
		h.callerSends(client, invite(100, fmt.Sprintf("dest:1;width:%d;at:s-1", width)))
		h.connectWithLoad("10.0.0.1:5080", "spare:27;total:30")
		h.advance(3 * time.Second)
		requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
	}
}

// Guards against an unknown client whose claims to calls that never were have the calls of others taken for lost.
func TestClaimsOfOneClientDropNoCallsOfOthers(t *testing.T) {
	h := newHarness(t, nil)
	caller, client := h.acceptCaller(), h.acceptCaller()
	for id := uint64(7); id < 10; id++ {
		h.callerSends(caller, invite(id, "dest:1;width:1;at:s-1"))
	}
	const claims = 500
	for id := range uint64(claims) {
		h.callerSends(client, invite(1000+id, "dest:1;width:1;at:s-1"))
	}
	h.connectWithLoad("10.0.0.1:5080", "spare:27;total:30")
	h.advance(3 * time.Second)
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
	if got := len(h.takeCallerMessages(client)); got != claims {
		t.Errorf("%d of %d calls that never were are released", got, claims)
	}
}

// The calls of an office are verified after there was time for releases to arrive on the connection that brought the report of
// circuits in use, even if other connections came up before it.
func TestCallsAreCountedAfterTheirReleases(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7, 8, 9, 10)
	h.advanceWithReports(2*time.Second, h.openConns()[0])
	h.connect("10.0.0.1:5080")
	for _, conn := range h.openConns() {
		h.apply(Input{Kind: InClosed, Conn: conn, Reset: true})
	}
	h.advance(100 * time.Millisecond)
	i := slices.IndexFunc(h.dials, func(dial Dial) bool { return dial.Addr == "10.0.0.1:5080" })
	if i < 0 || h.server.offices["s-1"].unverifiedBefore == 0 {
		t.Fatalf("calls not marked as unverified, or no connection dialled: %v", h.dials)
	}
	firstConn := h.dials[i].Conn
	h.dials = slices.Delete(h.dials, i, i+1)
	h.apply(Input{Kind: InConnected, Conn: firstConn}) // and nothing is received on it
	h.advance(liveness.PendingReleaseWindow - 10*time.Millisecond)
	h.server.dialOffice(h.server.offices["s-1"])
	h.collectEffects()
	conn := h.connectWithLoad("10.0.0.1:5080", "spare:29;total:30")
	h.advance(20 * time.Millisecond)
	for _, id := range []uint64{7, 8, 9} {
		h.officeSends(conn, releaseMsg(id, office.CauseNormal, ""))
	}
	h.advanceWithReports(2*time.Second, conn)
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE", "BYE", "BYE")
	if _, established := h.server.CallCounts(); established != 1 {
		t.Errorf("%d established calls", established)
	}
}
