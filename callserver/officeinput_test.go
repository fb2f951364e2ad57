package callserver

import (
	"testing"
	"time"

	"finchlatch/liveness"
	"finchlatch/office"
)

// Guards against a message of an office that ends the process or drops calls: a group state without values as the first one, and
// values that no group can have.
func TestUnusableGroupStatesAreSkipped(t *testing.T) {
	for _, load := range []string{"", "spare:nan;total:nan", "spare:0;total:nan", "spare:nan;total:30", "spare:inf;total:inf",
		"spare:0;total:1e300", "spare:-1;total:-1", "spare:31;total:30", "total:30", "spare:3"} {
		t.Run(load, func(t *testing.T) {
			h := newHarness(t, nil)
			caller := h.acceptCaller()
			for id := uint64(7); id < 10; id++ {
				h.callerSends(caller, invite(id, "dest:1;width:1;at:s-1"))
			}
			conn := h.connectWithLoad("10.0.0.1:5080", load)
			h.officeSends(conn, &office.Message{Type: office.GroupState, Load: load})
			h.advance(liveness.AdoptionWindow + time.Second)
			requireMessages(t, "messages to the caller of established calls", h.takeCallerMessages(caller))
			h.officeSends(conn, &office.Message{Type: office.GroupState, Load: "spare:27;total:30"})
			h.callerSends(caller, invite(20, "dest:1;width:1"))
			h.connect("10.0.0.1:5080")
			setUpConn, _ := h.takeSetUp(20)
			h.officeSends(setUpConn, answerMsg(20))
			requireMessages(t, "answer to a later call", h.takeCallerMessages(caller), "200")
		})
	}
}
