package router

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

func TestCallSetUpAndRelease(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	n.offerCall("a", 1, "5521", 1)
	n.offerCall("a", 4, "5522", 2)
	n.runUntil(n.now + time.Second)
	for _, cic := range []uint16{1, 4} {
		if got := n.receivedTypes("a", cic); !slices.Equal(got, []isup.Type{isup.ACM, isup.ANM}) {
			t.Errorf("circuit %d: %v", cic, got)
		}
	}
	if g := n.routers["a"].Groups()[0]; g.Spare != 1 || g.Out != 3 {
		t.Errorf("group %+v", g)
	}
	n.endpoints["a/counters"].send(isup.NewRelease(1, isup.ReleaseInfo{Cause: 16}))
	n.endpoints["a/counters"].send(isup.NewRelease(4, isup.ReleaseInfo{Cause: 16}))
	n.runUntil(n.now + time.Second)
	if err := n.checkIdle(); err != nil {
		t.Error(err)
	}
}

func TestTandemRouteAndNoCircuit(t *testing.T) {
	n := newTestNetwork(t, 3, 1)
	n.offerCall("a", 1, "5521", 1) // takes the direct circuit
	n.runUntil(n.now + time.Second)
	n.offerCall("a", 2, "5522", 1) // over c
	n.runUntil(n.now + time.Second)
	if got := n.receivedTypes("a", 2); !slices.Equal(got, []isup.Type{isup.ACM, isup.ANM}) {
		t.Fatalf("over the tandem: %v; %v", got, n.decisions("a"))
	}
	if calls := n.routers["c"].Calls(n.now, 9); len(calls) != 1 || calls[0].From != "a" || calls[0].To != "b" {
		t.Errorf("at the tandem: %+v", calls)
	}
	n.offerCall("b", 1, "5511", 1) // no circuit anywhere: refused with cause 34
	n.runUntil(n.now + 3*time.Second)
	if got, cause := n.receivedTypes("b", 1), n.releaseCause("b", 1); !slices.Equal(got, []isup.Type{isup.REL}) || cause != isup.CauseNoCircuit {
		t.Errorf("without a circuit: %v, cause %d", got, cause)
	}
	for _, cic := range []uint16{1, 2} {
		n.endpoints["a/counters"].send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: 16}))
	}
	n.runUntil(n.now + time.Second)
	if err := n.checkIdle(); err != nil {
		t.Error(err)
	}
}

func TestCausesReachTheCaller(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	lines := n.endpoints["b/lines"]
	lines.onMessage = func(m *isup.Message) {
		if m.Type == isup.IAM {
			lines.send(isup.NewRelease(m.CIC, isup.ReleaseInfo{Cause: isup.CauseUserBusy}))
		}
	}
	n.offerCall("a", 1, "5521", 1)
	n.offerCall("a", 2, "5591", 1) // no such prefix
	n.runUntil(n.now + time.Second)
	if c := n.releaseCause("a", 1); c != isup.CauseUserBusy {
		t.Errorf("busy number: cause %d", c)
	}
	if c := n.releaseCause("a", 2); c != isup.CauseUnallocated {
		t.Errorf("unallocated number: cause %d", c)
	}
	if err := n.checkIdle(); err != nil {
		t.Error(err)
	}
}

// The far end does not respond: the caller gets one final answer before its patience is over, and the circuits of the
// attempt are released.
func TestNoAnswerInTime(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	n.endpoints["b/lines"].onMessage = nil
	start := n.now
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(start + 2900*time.Millisecond)
	if got := n.receivedTypes("a", 1); len(got) != 0 {
		t.Fatalf("received %v early", got)
	}
	n.runUntil(start + 3*time.Second)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.REL}) {
		t.Errorf("at the end: %v", got)
	}
	n.endpoints["b/lines"].onMessage = func(m *isup.Message) {
		if m.Type == isup.REL {
			n.endpoints["b/lines"].send(isup.NewSimple(isup.RLC, m.CIC))
		}
	}
	n.runUntil(start + 8*time.Second)
	if err := n.checkIdle(); err != nil {
		t.Error(err)
	}
}

// The answer and the time-out cross on the wire: the caller gets only the time-out, and the late answer is discarded.
func TestAnswerCrossesTimeOut(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	lines := n.endpoints["b/lines"]
	lines.onMessage = func(m *isup.Message) {
		switch m.Type {
		case isup.IAM:
			n.after(2970*time.Millisecond, func() { lines.send(isup.NewSimple(isup.ANM, m.CIC)) })
		case isup.REL:
			lines.send(isup.NewSimple(isup.RLC, m.CIC))
		}
	}
	n.linkDelay = 15 * time.Millisecond
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + 6*time.Second)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.REL}) {
		t.Errorf("caller received %v", got)
	}
	if err := n.checkIdle(); err != nil {
		t.Error(err)
	}
}

func TestDualSeizureRepeatsOnAnotherCircuit(t *testing.T) {
	n := newTestNetwork(t, 2, 3)
	n.offerCall("a", 1, "5521", 1)
	n.offerCall("b", 1, "5511", 1)
	n.runUntil(n.now + time.Second)
	n.offerCall("a", 2, "5522", 1) // both ends seize the last circuit at once
	n.offerCall("b", 2, "5512", 1)
	n.runUntil(n.now + 4*time.Second)
	receivedAtA, receivedAtB := n.receivedTypes("a", 2), n.receivedTypes("b", 2)
	answered := []isup.Type{isup.ACM, isup.ANM}
	if slices.Equal(receivedAtA, answered) == slices.Equal(receivedAtB, answered) ||
		!slices.Equal(receivedAtA, answered) && !slices.Equal(receivedAtA, []isup.Type{isup.REL}) {
		t.Errorf("want exactly one call established: %v and %v", receivedAtA, receivedAtB)
	}
	larger := newTestNetwork(t, 2, 4) // with one more circuit, the set-up that lost is repeated on it
	larger.offerCall("a", 1, "5521", 2)
	larger.runUntil(larger.now + time.Second)
	larger.offerCall("a", 3, "5522", 1)
	larger.offerCall("b", 3, "5512", 2)
	larger.runUntil(larger.now + 4*time.Second)
	if receivedAtA, receivedAtB := larger.receivedTypes("a", 3), larger.receivedTypes("b", 3); len(receivedAtA) == 0 ||
		!slices.Equal(receivedAtB, answered) {
		t.Errorf("want the wide call established: %v and %v", receivedAtA, receivedAtB)
	}
}

func TestAssociationLost(t *testing.T) {
	n := newTestNetwork(t, 3, 2)
	n.endpoints["b/lines"].onMessage = nil
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + 100*time.Millisecond)
	a := n.routers["a"]
	id, _ := a.Link("b", 0)
	lostAt := n.now
	n.disconnected[linkKey("a", "b")] = true
	a.Disconnected(n.now, id, -1)
	n.deliver("a")
	n.runUntil(lostAt + 2*time.Second)
	var sends []time.Duration
	for _, s := range n.setups {
		if s.from == "a" && s.at > lostAt {
			sends = append(sends, s.at-lostAt)
		}
	}
	for _, s := range sends {
		if s < 200*time.Millisecond {
			t.Errorf("next set-up %v after the reset", s)
		}
	}
	n.runUntil(lostAt + 4*time.Second)
	if got := n.receivedTypes("a", 1); len(got) == 0 || got[len(got)-1] != isup.REL {
		t.Errorf("caller received %v", got)
	}
}

func TestUnwrittenIAMIsReportedAsNoConnect(t *testing.T) {
	n := newTestNetwork(t, 2, 2)
	a := n.routers["a"]
	id, _ := a.Link("b", 0)
	written := a.links[id].bytesWritten
	n.disconnected[linkKey("a", "b")] = true
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + 10*time.Millisecond)
	a.Disconnected(n.now, id, written) // the IAM was queued and never written completely
	n.deliver("a")
	found := false
	for _, e := range n.effects["a"] {
		if l, ok := e.(Log); ok && l.Text == "attempt ended" {
			for _, attr := range l.Attrs {
				found = found || attr.Key == "status" && attr.Value.String() == string(logic.NoConnect)
			}
		}
	}
	if g := a.Groups()[id]; !found || g.Spare != 2 {
		t.Errorf("NoConnect reported: %v; group %+v", found, g)
	}
}

func TestDiscoveryReportsDraining(t *testing.T) {
	n := newTestNetwork(t, 3, 4)
	n.endpoints["b/lines"].onMessage = nil
	n.offerCall("a", 1, "5521", 1) // outstanding when the drain is reported
	n.runUntil(n.now + 50*time.Millisecond)
	drainedAt := n.now
	n.routers["a"].UpdateExchanges(n.now, logic.ListUpdate, []logic.Office{{ID: "b", State: logic.Draining}})
	n.deliver("a")
	for i := range 5 {
		n.offerCall("a", uint16(2+i), "5522", 1)
	}
	n.runUntil(drainedAt + 4*time.Second)
	for _, s := range n.setups {
		if s.from == "a" && s.to == "b" && s.at > drainedAt {
			t.Errorf("set-up toward b %v after the start of its drain", s.at-drainedAt)
		}
	}
	for i := range 6 {
		if got := n.receivedTypes("a", uint16(1+i)); len(got) == 0 {
			t.Errorf("call %d has no answer", i+1)
		}
	}
}

func TestExchangeAnnouncesDrain(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	n.routers["b"].Drain(n.now)
	n.deliver("b")
	n.runUntil(n.now + 100*time.Millisecond)
	if v := n.routers["a"].Exchanges()[1]; v.State != logic.Draining {
		t.Errorf("a sees %+v", v)
	}
	n.offerCall("b", 1, "5511", 1)
	n.runUntil(n.now + 100*time.Millisecond)
	if c := n.releaseCause("b", 1); c != isup.CauseCongestion {
		t.Errorf("a new call at b: cause %d", c)
	}
	n.routers["b"].Undrain(n.now)
	n.deliver("b")
	n.runUntil(n.now + 100*time.Millisecond)
	if v := n.routers["a"].Exchanges()[1]; v.State != logic.Ready {
		t.Errorf("afterwards a sees %+v", v)
	}
}

// An exchange restarts during an established call: its group reset drops the call at the other end.
func TestRestartDuringEstablishedCall(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + time.Second)
	n.addRouter(testConfig(1, 2, 4))
	a := n.routers["a"]
	id, _ := a.Link("b", 0)
	a.Disconnected(n.now, id, -1)
	a.Connected(n.now, id)
	n.connect("b")
	n.deliver("a")
	n.runUntil(n.now + 2*time.Second)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.ACM, isup.ANM, isup.REL}) {
		t.Errorf("caller received %v", got)
	}
	if err := n.checkIdle(); err != nil {
		t.Error(err)
	}
}

func TestClientReturnsInTime(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	a := n.routers["a"]
	id, _ := a.Link("counters", 0)
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + 8*time.Millisecond) // the attempt is outstanding
	client := n.endpoints["a/counters"]
	n.disconnected[linkKey("a", "counters")] = true
	a.Disconnected(n.now, id, -1)
	client.assoc.Lost()
	n.runUntil(n.now + 500*time.Millisecond)
	n.disconnected[linkKey("a", "counters")] = false
	a.Connected(n.now, id)
	client.assoc.Connected(n.now)
	n.deliver("a")
	n.processEndpoint("a", "counters")
	n.runUntil(n.now + 500*time.Millisecond)
	if got := n.receivedTypes("a", 1); !slices.Equal(got, []isup.Type{isup.ACM, isup.ANM}) {
		t.Errorf("after its return the client received %v", got)
	}
}

func TestClientDoesNotReturn(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	a := n.routers["a"]
	id, _ := a.Link("counters", 0)
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + time.Second)
	n.disconnected[linkKey("a", "counters")] = true
	a.Disconnected(n.now, id, -1)
	n.runUntil(n.now + DefaultRecovery - time.Millisecond)
	if calls, _ := a.CallCounts(); calls != 1 {
		t.Fatalf("%d calls within the recovery time", calls)
	}
	n.runUntil(n.now + time.Second)
	if calls, _ := a.CallCounts(); calls != 0 || n.routers["b"].Groups()[0].Spare != 4 {
		t.Errorf("after the recovery time: %d calls, %+v", calls, n.routers["b"].Groups()[0])
	}
}

func TestReleaseAllAnswersEveryCall(t *testing.T) {
	n := newTestNetwork(t, 2, 8)
	n.endpoints["b/lines"].onMessage = nil
	for i := range 8 {
		n.offerCall("a", uint16(1+i), "5521", 1)
	}
	n.runUntil(n.now + 100*time.Millisecond)
	n.routers["a"].ReleaseAll(n.now)
	n.deliver("a")
	n.runUntil(n.now + 100*time.Millisecond)
	for i := range 8 {
		if got := n.receivedTypes("a", uint16(1+i)); !slices.Equal(got, []isup.Type{isup.REL}) {
			t.Errorf("call %d received %v", i+1, got)
		}
	}
	if calls, _ := n.routers["a"].CallCounts(); calls != 0 {
		t.Errorf("%d calls in progress", calls)
	}
}

// Two Routers in one process share no state: each behaves the same with and without another one running beside it.
func TestTwoRoutersShareNothing(t *testing.T) {
	script := func(n *testNetwork) {
		for i := range 20 {
			n.offerCall("a", uint16(1+i), "552"+string(rune('0'+i%10)), 1)
			n.runUntil(n.now + 37*time.Millisecond)
		}
		n.runUntil(n.now + 4*time.Second)
	}
	alone := newTestNetwork(t, 3, 4)
	script(alone)
	besideOther, other := newTestNetwork(t, 3, 4), newTestNetwork(t, 3, 2)
	for i := range 20 {
		other.offerCall("a", uint16(1+i), "5531", 1)
		besideOther.offerCall("a", uint16(1+i), "552"+string(rune('0'+i%10)), 1)
		besideOther.runUntil(besideOther.now + 37*time.Millisecond)
		other.runUntil(other.now + 11*time.Millisecond)
	}
	besideOther.runUntil(besideOther.now + 4*time.Second)
	if decisionsAlone, decisionsBeside := alone.decisions("a"), besideOther.decisions("a"); len(decisionsAlone) < 40 ||
		!reflect.DeepEqual(decisionsAlone, decisionsBeside) {
		t.Errorf("%d and %d lines differ", len(decisionsAlone), len(decisionsBeside))
	}
}

func TestUnreadableInput(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	a := n.routers["a"]
	id, _ := a.Link("counters", 0)
	var frames [][]byte
	for _, b := range [][]byte{{}, {1}, {1, 0, 99}, {1, 0, 1, 0}} {
		client := n.endpoints["a/counters"]
		client.assoc.Output()
		frames = append(frames, dataFrame(client, b))
	}
	for _, f := range frames {
		a.Receive(n.now, id, f)
	}
	n.deliver("a")
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + time.Second)
	if got := n.receivedTypes("a", 1); !slices.Contains(got, isup.ANM) {
		t.Errorf("call after unreadable messages: received %v", got)
	}
}

func TestConfigFaults(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"not among":         func(config *Config) { config.Name = "z" },
		"no classes":        func(config *Config) { config.Classes = nil },
		"configured twice":  func(config *Config) { config.Exchanges[1].Number = 1 },
		"point code":        func(config *Config) { config.Exchanges[1].PointCode = 101 },
		"same category":     func(config *Config) { config.Classes[1].Category = 10 },
		"patience":          func(config *Config) { config.Classes[0].Patience = time.Minute },
		"transmission":      func(config *Config) { config.Classes[1].Width = 31 },
		"release":           func(config *Config) { config.Release = 0 },
		"not match another": func(config *Config) { config.Peers[0].PointCode = 999 },
		"peer \"lines\"":    func(config *Config) { config.Peers[1].Name = "lines" },
		"has the point":     func(config *Config) { config.Peers[1].PointCode = 102 },
		"slot 0":            func(config *Config) { config.Peers[0].Circuits = []uint16{64} },
		"not 1 to 15":       func(config *Config) { config.Numbering[0].Prefix = "x" },
		"negative value":    func(config *Config) { config.Classes[0].Hold = -1 },
		"MaxAttempts":       func(config *Config) { config.Attempts = -1 },
	} {
		config := testConfig(0, 2, 4)
		change(&config)
		if _, err := New(config, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		} else if errors.Unwrap(err) == nil && strings.Contains(want, "MaxAttempts") {
			t.Errorf("%s: the wrapped error is lost", want)
		}
	}
}

// A set-up that loses a dual seizure is repeated on another circuit, but not toward an exchange that is draining by then
// (rule 3: nothing new for a draining exchange).
func TestRepeatOnlyTowardAReadyExchange(t *testing.T) {
	for _, drains := range []bool{false, true} {
		n := newTestNetwork(t, 2, 4)
		a := n.routers["a"]
		id, _ := a.Peer("b")
		a.Block(n.now, id, 1, isup.Maintenance, true) // circuit 4
		n.deliver("a")
		n.offerCall("a", 1, "5521", 1) // circuit 1
		n.runUntil(n.now + time.Second)
		n.linkDelay = 100 * time.Millisecond
		n.offerCall("b", 1, "5511", 2) // circuits 2 and 3: the wide call wins any dual seizure
		n.offerCall("a", 2, "5522", 1) // circuit 2
		n.runUntil(n.now + 50*time.Millisecond)
		a.Block(n.now, id, 1, isup.Maintenance, false)
		if drains {
			a.UpdateExchanges(n.now, logic.ListUpdate, []logic.Office{{ID: "b", State: logic.Draining}})
		}
		n.deliver("a")
		drainedAt, repeats := n.now, 0
		n.runUntil(n.now + 4*time.Second)
		for _, s := range n.setups {
			if s.from == "a" && s.at > drainedAt {
				repeats++
			}
		}
		if want := map[bool]int{false: 1, true: 0}[drains]; repeats != want {
			t.Errorf("draining %v: %d repeats, want %d", drains, repeats, want)
		}
		want := map[bool][]isup.Type{false: {isup.ACM, isup.ANM}, true: {isup.REL}}[drains]
		if got := n.receivedTypes("a", 2); !slices.Equal(got, want) {
			t.Errorf("draining %v: caller received %v", drains, got)
		}
	}
}
