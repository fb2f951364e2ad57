package callserver

import (
	"testing"

	"finchlatch/office"
)

// Guards against a second final answer: where attempts cannot be cancelled, the attempt of a caller who has left fails among dropped
// calls.
func TestFailedAttemptOfAnEndedCallAmongDroppedCalls(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.Settings.CanCancel = false })
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.establish(caller, 7)
	h.callerSends(caller, invite(9, "dest:1;width:1"))
	conn, _ := h.takeSetUp(9)
	h.callerSends(caller, request("CANCEL", 9))
	requireMessages(t, "response to the CANCEL", h.takeCallerMessages(caller), "200")
	h.officeSends(h.server.callsByWireID[7].conn.id, releaseMsg(7, office.CauseTemporary, ""))
	h.officeSends(conn, releaseMsg(9, office.CauseTemporary, ""))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
	if open, _ := h.server.CallCounts(); open != 0 {
		t.Errorf("%d calls are open", open)
	}
}
