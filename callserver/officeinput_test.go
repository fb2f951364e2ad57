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

// A group state is reported on each connection of its office. A copy that arrives after a set-up must not return the circuit
// that the set-up has just taken: another set-up would be sent for it in vain.
func TestRepeatedGroupStateReturnsNoCircuit(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.Settings.MaxAttempts = 1 })
	firstConn := h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.callerSends(caller, invite(1, "dest:1;width:1"))
	h.takeSetUp(1)
	secondConn := h.connect("10.0.0.1:5080")
	state := &office.Message{Type: office.GroupState, Load: "spare:1;total:30"}
	h.officeSends(firstConn, state)
	h.callerSends(caller, invite(7, "dest:1;width:1"))
	h.takeSetUp(7)
	h.officeSends(secondConn, state) // repeated on another connection
	h.callerSends(caller, invite(8, "dest:1;width:1"))
	for conn := range h.server.officeConns {
		for _, msg := range h.takeOfficeMessages(conn) {
			if msg.Call == 8 {
				t.Fatal("a set-up was sent for a circuit that is in use")
			}
		}
	}
	h.officeSends(firstConn, &office.Message{Type: office.GroupState, Load: "spare:0;total:30"})
	h.officeSends(firstConn, state)
	h.takeSetUp(8) // it waited for the circuit
}

func TestCorruptedAnswersEndTheAttemptsOnTheirConnection(t *testing.T) {
	valid := answerMsg(7)
	for name, data := range map[string][]byte{
		"length of 60,000":       {0xea, 0x60, 9},
		"unknown type":           {0, 9, 200, 0, 0, 0, 0, 0, 0, 0, 7},
		"parameter too long":     {0, 12, 9, 0, 0, 0, 0, 0, 0, 0, 7, 79, 0, 200},
		"message too short":      {0, 3, 9, 0, 0},
		"load without values":    {0, 16, 43, 0, 0, 0, 0, 0, 0, 0, 0, 73, 0, 4, 'j', 'u', 'n', 'k'},
		"no session description": {0, 9, 9, 0, 0, 0, 0, 0, 0, 0, 7},
	} {
		t.Run(name, func(t *testing.T) {
			h, caller, conn := newHarnessWithSetUp(t, nil)
			h.apply(Input{Kind: InReceive, Conn: conn, Bytes: data})
			if closing, ok := h.closed[conn]; !ok || !closing.Now {
				t.Fatal("the connection stays open")
			}
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
			if call := h.server.callsByWireID[7]; call == nil || call.awaitsOutcome {
				t.Fatal("the attempt was not ended")
			}
		})
	}
	h, _, conn := newHarnessWithSetUp(t, nil)
	data, err := office.Append(nil, valid)
	if err != nil {
		t.Fatal(err)
	}
	h.apply(Input{Kind: InReceive, Conn: conn, Bytes: data[:len(data)/2]})
	h.advance(300 * time.Millisecond)
	if _, ok := h.closed[conn]; !ok {
		t.Fatal("a connection with an incomplete answer stays open")
	}
}
