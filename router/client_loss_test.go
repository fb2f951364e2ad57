package router

import (
	"slices"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// dropClient breaks the connection between exchange a and its counters. Bytes in flight are lost.
func (n *testNetwork) dropClient(written int64) {
	id, _ := n.routers["a"].Link("counters", 0)
	n.disconnected[linkKey("a", "counters")] = true
	n.routers["a"].Disconnected(n.now, id, written)
	n.endpoints["a/counters"].assoc.Lost()
	n.deliver("a")
}

// reconnectClient restores the connection between exchange a and its counters.
func (n *testNetwork) reconnectClient() {
	id, _ := n.routers["a"].Link("counters", 0)
	n.disconnected[linkKey("a", "counters")] = false
	n.routers["a"].Connected(n.now, id)
	n.endpoints["a/counters"].assoc.Connected(n.now)
	n.deliver("a")
	n.processEndpoint("a", "counters")
}

// TestClientDropsAtEachStep breaks the counters' connection at each step of a set-up and restores it within and after
// the recovery time. In the end the counters must have received one final answer, or none while their circuit is free.
func TestClientDropsAtEachStep(t *testing.T) {
	const ringTime = 20 * time.Millisecond
	type outcome struct{ withinRecovery, afterRecovery []isup.Type }
	for _, test := range []struct {
		name      string
		dropAfter time.Duration // time of the connection loss after the IAM was sent
		halfIAM   bool          // the connection is lost when half of the IAM has been received
		sendsREL  bool          // the called side sends REL instead of answering, and the connection breaks after it
		want      outcome       // messages received after the return within and after the recovery time, without those received before
	}{
		{"before the IAM is complete", 0, true, false, outcome{nil, nil}},
		{"after the IAM", 3 * time.Millisecond, false, false, outcome{[]isup.Type{isup.ACM, isup.ANM}, nil}},
		{"after ACM", 25 * time.Millisecond, false, false, outcome{[]isup.Type{isup.ANM}, nil}},
		{"with ANM in flight", 14*time.Millisecond + ringTime, false, false, outcome{[]isup.Type{isup.ANM}, nil}},
		{"after REL, before RLC", 14 * time.Millisecond, false, true, outcome{[]isup.Type{isup.REL}, nil}},
	} {
		for _, absence := range []time.Duration{time.Second, DefaultRecovery + time.Second} {
			n := newTestNetwork(t, 2, 4)
			if test.sendsREL {
				n.endpoints["b/lines"].onMessage = func(m *isup.Message) {
					if m.Type == isup.IAM {
						n.endpoints["b/lines"].send(isup.NewRelease(m.CIC, isup.ReleaseInfo{Cause: isup.CauseUserBusy}))
					}
				}
			}
			client := n.endpoints["a/counters"]
			if test.halfIAM {
				id, _ := n.routers["a"].Link("counters", 0)
				m, _ := isup.NewSetup(1, isup.Setup{Called: isup.Number{Digits: "5521", Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
				b, _ := m.Append(nil)
				frame := dataFrame(client, b)
				n.routers["a"].Receive(n.now, id, frame[:len(frame)/2])
			} else {
				n.offerCall("a", 1, "5521", 1)
			}
			n.runUntil(n.now + test.dropAfter)
			n.dropClient(-1)
			before := len(n.receivedTypes("a", 1))
			n.runUntil(n.now + absence)
			n.reconnectClient()
			n.runUntil(n.now + 2*time.Second)
			want := test.want.withinRecovery
			if absence > DefaultRecovery {
				want = test.want.afterRecovery
			}
			got := n.receivedTypes("a", 1)[before:]
			if absence < DefaultRecovery && !slices.Equal(got, want) {
				t.Errorf("%s, back after %v: received %v, want %v", test.name, absence, got, want)
			}
			if absence > DefaultRecovery {
				if slices.Contains(got, isup.ANM) {
					t.Errorf("%s, back after %v: an answer after the recovery time: %v", test.name, absence, got)
				}
				if err := n.checkIdle(); err != nil {
					t.Errorf("%s, back after %v: %v", test.name, absence, err)
				}
			}
			// The rest of the call can be released, and its circuit used again.
			client.send(isup.NewRelease(1, isup.ReleaseInfo{Cause: 16}))
			n.runUntil(n.now + 2*time.Second)
			if err := n.checkIdle(); err != nil {
				t.Errorf("%s, back after %v, released: %v", test.name, absence, err)
			}
		}
	}
}

// An answer is not sent again after a connection loss if the peer has acknowledged a heartbeat that was sent after it.
func TestConfirmedAnswersAreNotRepeated(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	a := n.routers["a"]
	id, _ := a.Link("counters", 0)
	a.links[id].assoc = m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleSGP, HeartbeatInterval: 300 * time.Millisecond})
	n.dropClient(-1)
	n.reconnectClient()
	n.runUntil(n.now + time.Second)
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + time.Second)
	n.dropClient(-1)
	n.runUntil(n.now + 100*time.Millisecond)
	n.reconnectClient()
	n.runUntil(n.now + time.Second)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.ACM, isup.ANM}) {
		t.Errorf("received %v", got)
	}
}

// The time that a set-up has waited in a queue of this process (Input.Delay) counts against its caller's patience: a call
// that cannot be answered is released earlier by that time.
func TestQueueDelayUsesUpPatience(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	n.endpoints["b/lines"].onMessage = nil
	a, client := n.routers["a"], n.endpoints["a/counters"]
	id, _ := a.Link("counters", 0)
	m, _ := isup.NewSetup(1, isup.Setup{Called: isup.Number{Digits: "5521", Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
	b, _ := m.Append(nil)
	start := n.now
	a.Apply(Input{At: n.now, Kind: InReceive, Link: id, Bytes: dataFrame(client, b), Delay: 2 * time.Second})
	n.deliver("a")
	n.runUntil(start + 900*time.Millisecond)
	if got := n.receivedTypes("a", 1); len(got) > 0 {
		t.Errorf("received %v early", got)
	}
	n.runUntil(start + time.Second)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.REL}) {
		t.Errorf("received %v when the caller's patience of 3 s was over", got)
	}
}

// A repeated IAM on a circuit belongs to the same call. A different one is a new call of a client that has restarted.
func TestRepeatedSetUp(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + time.Second)
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + time.Second)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.ACM, isup.ANM}) || len(n.setups) != 1 {
		t.Errorf("same IAM again: received %v, %d set-ups", got, len(n.setups))
	}
	n.offerCall("a", 1, "5522", 1)
	n.runUntil(n.now + time.Second)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.ACM, isup.ANM, isup.ACM, isup.ANM}) || len(n.setups) != 2 {
		t.Errorf("different IAM: received %v, %d set-ups", got, len(n.setups))
	}
	if g := n.routers["b"].Groups()[0]; g.In != 1 {
		t.Errorf("the old call is still established: %+v", g)
	}
}
