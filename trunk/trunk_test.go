package trunk

import (
	"math/rand/v2"
	"testing"
	"time"

	"finchlatch/isup"
)

// groupPair is a fixture: the two ends of one trunk group, with the messages in transit between them.
type groupPair struct {
	t         *testing.T
	groups    [2]*Group
	inTransit [2][]*isup.Message // inTransit[0]: from groups[0] to groups[1]
	events    [2][]Event
	now       time.Duration
	seizures  [2][]*Seizure
}

// newGroupPair returns the two ends of a group, with short timers. groups[1] has the higher point code.
func newGroupPair(t *testing.T, circuits ...uint16) *groupPair {
	pair := &groupPair{t: t}
	for i, own := range []uint32{101, 102} {
		group, err := New(Settings{OwnPointCode: own, PeerPointCode: 203 - own, Circuits: circuits, Timers: Timers{T1: time.Second, T5: 4 * time.Second,
			T12: time.Second, T13: 4 * time.Second}})
		if err != nil {
			t.Fatal(err)
		}
		pair.groups[i] = group
	}
	return pair
}

// firstCICs returns the lowest count circuit identification codes that are valid.
func firstCICs(count uint16) (cics []uint16) {
	for cic := uint16(1); len(cics) < int(count); cic++ {
		if cic%32 != 0 {
			cics = append(cics, cic)
		}
	}
	return cics
}

// collect fetches the output and the events of both ends.
func (p *groupPair) collect() {
	for i, group := range p.groups {
		p.inTransit[i] = append(p.inTransit[i], group.Output()...)
		for _, event := range group.Events() {
			p.events[i] = append(p.events[i], event)
			if event.Kind == IncomingCall {
				p.seizures[i] = append(p.seizures[i], event.Seizure)
			}
		}
	}
}

// step delivers the oldest message in transit from one end, encoded and decoded; it returns false if there is none.
func (p *groupPair) step(sender int) bool {
	p.collect()
	if len(p.inTransit[sender]) == 0 {
		return false
	}
	message := p.inTransit[sender][0]
	p.inTransit[sender] = p.inTransit[sender][1:]
	raw, err := message.Append(nil)
	if err != nil {
		p.t.Fatal(err)
	}
	if message, err = isup.Decode(raw); err != nil {
		p.t.Fatal(err)
	}
	p.groups[1-sender].Receive(p.now, message)
	p.collect()
	return true
}

// deliverAll delivers messages until none is in transit.
func (p *groupPair) deliverAll() {
	for p.step(0) || p.step(1) {
	}
}

// seize seizes circuits at one end and sends the IAM; it returns nil if too few circuits are usable.
func (p *groupPair) seize(end, width int) *Seizure {
	seizure := p.groups[end].Seize(width, nil)
	if seizure != nil {
		iam, err := seizure.NewIAM(isup.Setup{Called: isup.Number{Digits: "551", Nature: 3, Plan: 1}, Width: width, HopCounter: -1})
		if err != nil {
			p.t.Fatal(err)
		}
		p.groups[end].Send(seizure, iam)
		p.seizures[end] = append(p.seizures[end], seizure)
		p.collect()
	}
	return seizure
}

// countEvents returns the number of events of a kind so far at one end.
func (p *groupPair) countEvents(end int, kind EventKind) (n int) {
	for _, event := range p.events[end] {
		if event.Kind == kind {
			n++
		}
	}
	return n
}

func TestHuntFromOppositeEnds(t *testing.T) {
	pair := newGroupPair(t, firstCICs(10)...)
	if a, b := pair.seize(0, 1), pair.seize(1, 1); a.CIC != 1 || b.CIC != 10 {
		t.Errorf("circuits %d and %d", a.CIC, b.CIC)
	}
	if wide := pair.seize(0, 3); wide.CIC != 2 || wide.CircuitMap != 0b1110 {
		t.Errorf("wide call on %d, map %b", wide.CIC, wide.CircuitMap)
	}
	if s := pair.groups[0].Seize(7, nil); s != nil {
		t.Error("7 of 6 circuits were seized")
	}
	if got := pair.groups[0].Usable(); got != 6 {
		t.Errorf("%d usable after a seizure that failed, want 6", got)
	}
}

func TestWideCallStaysInOneSystem(t *testing.T) {
	pair := newGroupPair(t, 30, 31, 33, 34, 35)
	if s := pair.seize(0, 3); s == nil || s.CIC != 33 {
		t.Errorf("seized %+v", s)
	}
	if s := pair.seize(0, 3); s != nil {
		t.Error("three circuits of two systems were seized")
	}
}

// After a dual seizure of the last circuits exactly one call continues, for various widths of the two. The other one is lost at
// its own end and never arrives as a call at the far end.
func TestDualSeizureOnTheLastCircuits(t *testing.T) {
	for _, widths := range [][2]int{{1, 1}, {2, 1}, {1, 2}, {2, 2}, {3, 2}} {
		for last := uint16(5); last <= 6; last++ { // the lowest circuit is odd, then even
			circuits := []uint16{last, last + 1, last + 2}[:max(widths[0], widths[1])]
			pair := newGroupPair(t, circuits...)
			pair.seize(0, widths[0])
			pair.seize(1, widths[1])
			pair.deliverAll()
			if widths[0] == 1 && widths[1] == 1 || widths[0]+widths[1] > len(circuits) {
				lost, arrived := pair.countEvents(0, SeizureLost)+pair.countEvents(1, SeizureLost),
					pair.countEvents(0, IncomingCall)+pair.countEvents(1, IncomingCall)
				if lost != 1 || arrived != 1 {
					t.Errorf("widths %v on %v: %d lost, %d arrived", widths, circuits, lost, arrived)
				}
				if widths[0] != widths[1] && (pair.countEvents(0, SeizureLost) == 1) != (widths[0] < widths[1]) {
					t.Errorf("widths %v on %v: the wider call lost", widths, circuits)
				}
				if widths[0] == widths[1] && (pair.countEvents(1, SeizureLost) == 1) != (circuits[0]%2 == 1) {
					t.Errorf("widths %v on %v: the higher point code controls even circuits", widths, circuits)
				}
			}
		}
	}
}

func TestReleaseKeepsCircuitsUntilRLC(t *testing.T) {
	pair := newGroupPair(t, firstCICs(4)...)
	seizure := pair.seize(0, 2)
	pair.deliverAll()
	pair.groups[0].Release(pair.now, seizure, isup.ReleaseInfo{Cause: 16})
	if got := pair.groups[0].Usable(); got != 2 {
		t.Errorf("%d usable while RLC is awaited", got)
	}
	pair.deliverAll()
	if a, b := pair.groups[0].Usable(), pair.groups[1].Usable(); a != 4 || b != 4 {
		t.Errorf("%d and %d usable after RLC", a, b)
	}
	if pair.countEvents(1, Released) != 1 {
		t.Errorf("%d Released events at the far end, want 1", pair.countEvents(1, Released))
	}
}

func TestReleaseFromBothEndsAtOnce(t *testing.T) {
	pair := newGroupPair(t, firstCICs(2)...)
	seizure := pair.seize(0, 1)
	pair.deliverAll()
	pair.groups[0].Release(pair.now, seizure, isup.ReleaseInfo{Cause: 16})
	pair.groups[1].Release(pair.now, pair.seizures[1][0], isup.ReleaseInfo{Cause: 31})
	pair.deliverAll()
	for end, group := range pair.groups {
		if _, timersRun := group.Deadline(); timersRun || group.Usable() != 2 {
			t.Errorf("end %d: %d usable, timers running: %v", end, group.Usable(), timersRun)
		}
	}
}

func TestLateAnswerOfAReleasedCircuit(t *testing.T) {
	pair := newGroupPair(t, 1)
	seizure := pair.seize(0, 1)
	pair.deliverAll()
	pair.groups[1].Send(pair.seizures[1][0], isup.NewSimple(isup.ANM, 0))
	pair.groups[0].Release(pair.now, seizure, isup.ReleaseInfo{Cause: 102})
	pair.deliverAll()
	if n := pair.countEvents(0, CallMessage); n != 0 {
		t.Errorf("a late ANM caused %d CallMessage events", n)
	}
	pair.groups[1].Receive(0, isup.NewSimple(isup.ANM, 1)) // on an idle circuit: the ends disagree, and it is reset
	pair.deliverAll()
	if pair.groups[0].Usable() != 1 || pair.groups[1].Usable() != 1 {
		t.Errorf("%d and %d usable", pair.groups[0].Usable(), pair.groups[1].Usable())
	}
}

func TestRLCNeverComes(t *testing.T) {
	pair := newGroupPair(t, 1)
	seizure := pair.seize(0, 1)
	pair.groups[0].Output()
	pair.groups[0].Release(0, seizure, isup.ReleaseInfo{Cause: 16})
	sent := map[isup.Type]int{}
	for pair.now = 0; pair.now <= 12*time.Second; pair.now += 100 * time.Millisecond {
		pair.groups[0].Tick(pair.now)
		for _, m := range pair.groups[0].Output() {
			sent[m.Type]++
		}
	}
	if sent[isup.REL] != 4 || sent[isup.RSC] < 4 || pair.groups[0].Usable() != 0 {
		t.Errorf("sent %v, %d usable", sent, pair.groups[0].Usable())
	}
	if pair.groups[0].Events()[0].Kind != MaintenanceAlert {
		t.Error("maintenance was not alerted")
	}
	pair.groups[0].Receive(pair.now, isup.NewSimple(isup.RLC, 1))
	if pair.groups[0].Usable() != 1 {
		t.Error("the RLC for the RSC did not free the circuit")
	}
}

func TestGroupResetDropsCalls(t *testing.T) {
	pair := newGroupPair(t, firstCICs(40)...)
	for range 5 {
		pair.seize(0, 1)
		pair.seize(1, 2)
	}
	pair.deliverAll()
	pair.groups[0].ResetAll(pair.now)
	pair.deliverAll()
	for end, group := range pair.groups {
		if pair.countEvents(end, Dropped) != 10 || group.Usable() != 40 {
			t.Errorf("end %d: %d calls dropped, %d usable", end, pair.countEvents(end, Dropped), group.Usable())
		}
	}
}

func TestBlocking(t *testing.T) {
	pair := newGroupPair(t, firstCICs(10)...)
	pair.seize(0, 1) // circuit 1
	seizure := pair.seize(1, 1)
	pair.deliverAll()
	if n := pair.groups[0].Block(pair.now, 4, isup.Maintenance, true); n != 4 {
		t.Fatalf("%d blocked", n)
	}
	pair.deliverAll()
	if pair.countEvents(0, Dropped)+pair.countEvents(1, Dropped) != 0 || pair.groups[1].Unblocked() != 6 || pair.groups[0].Unblocked() != 6 {
		t.Errorf("maintenance: %d dropped, %d and %d not blocked", pair.countEvents(0, Dropped), pair.groups[0].Unblocked(), pair.groups[1].Unblocked())
	}
	pair.groups[0].Block(pair.now, 4, isup.Maintenance, false)
	pair.deliverAll()
	pair.groups[0].Block(pair.now, 4, isup.Hardware, true)
	pair.deliverAll()
	if pair.countEvents(1, Dropped)+pair.countEvents(1, Released) != 1 || seizure.CIC != 10 || pair.groups[1].Usable() != 5 {
		t.Errorf("hardware: %d dropped, %d usable", pair.countEvents(1, Dropped)+pair.countEvents(1, Released), pair.groups[1].Usable())
	}
	pair.groups[0].Block(pair.now, 10, isup.Hardware, false)
	pair.deliverAll()
	if a, b := pair.groups[0].Usable(), pair.groups[1].Usable(); a != 9 || b != 9 {
		t.Errorf("unblocked: %d and %d usable", a, b)
	}
}

func TestUnequipped(t *testing.T) {
	pair := newGroupPair(t, 1, 2)
	smaller := newGroupPair(t, 1)
	pair.groups[1] = smaller.groups[1]
	pair.seize(0, 1)
	pair.seize(0, 1)
	pair.deliverAll()
	if pair.countEvents(0, SeizureLost) != 1 || pair.groups[0].Unblocked() != 1 {
		t.Errorf("%d lost, %d not blocked", pair.countEvents(0, SeizureLost), pair.groups[0].Unblocked())
	}
}

func TestBadSettings(t *testing.T) {
	for name, settings := range map[string]Settings{"none": {OwnPointCode: 1, PeerPointCode: 2},
		"slot 0": {OwnPointCode: 1, PeerPointCode: 2, Circuits: []uint16{32}},
		"twice":  {OwnPointCode: 1, PeerPointCode: 2, Circuits: []uint16{3, 3}}, "same ends": {OwnPointCode: 1, PeerPointCode: 1, Circuits: []uint16{3}}} {
		if _, err := New(settings); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// TestRandomOperationsLeaveAllCircuitsIdle makes random calls, releases, resets and blocks from both ends. Messages of one direction
// stay in order; the two directions interleave at random. Once all is released and delivered, both ends must agree that every circuit is idle.
func TestRandomOperationsLeaveAllCircuitsIdle(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		pair := newGroupPair(t, firstCICs(6)...)
		for range 400 {
			end := rng.IntN(2)
			switch action := rng.IntN(100); {
			case action < 30:
				pair.seize(end, 1+rng.IntN(3))
			case action < 45:
				if n := len(pair.seizures[end]); n > 0 {
					pair.groups[end].Release(pair.now, pair.seizures[end][rng.IntN(n)], isup.ReleaseInfo{Cause: 16})
				}
			case action < 55:
				if n := len(pair.seizures[end]); n > 0 && !pair.seizures[end][n-1].Outgoing {
					pair.groups[end].Send(pair.seizures[end][n-1], isup.NewSimple(isup.ANM, 0))
				}
			case action < 57:
				pair.groups[end].Reset(pair.now, []uint16{uint16(1 + rng.IntN(6))})
			case action < 58:
				pair.groups[end].Block(pair.now, 2, isup.BlockingType(rng.IntN(2)), rng.IntN(2) == 0)
			default:
				pair.step(end)
			}
			pair.collect()
		}
		for _, group := range pair.groups {
			group.Block(pair.now, 6, isup.Maintenance, false)
			group.Block(pair.now, 6, isup.Hardware, false)
		}
		pair.deliverAll()
		for end := range pair.groups {
			for _, seizure := range pair.seizures[end] {
				pair.groups[end].Release(pair.now, seizure, isup.ReleaseInfo{Cause: 16})
			}
		}
		for range 20 { // timers resolve what crossing messages left open
			pair.deliverAll()
			pair.now += 500 * time.Millisecond
			for _, group := range pair.groups {
				group.Tick(pair.now)
			}
		}
		pair.deliverAll()
		for end, group := range pair.groups {
			states, blocked := group.States()
			if _, timersRun := group.Deadline(); group.Usable() != 6 || timersRun {
				t.Fatalf("seed %d end %d: states %v, %d blocked, %d usable, timers running: %v", seed, end, states, blocked, group.Usable(), timersRun)
			}
		}
	}
}

// An IAM on a circuit whose outgoing call has received a backward message is not a dual seizure: the call continues.
func TestNoDualSeizureAfterABackwardMessage(t *testing.T) {
	pair := newGroupPair(t, 2) // even: the far end, with the higher code, controls it
	pair.seize(0, 1)
	pair.deliverAll()
	pair.groups[1].Send(pair.seizures[1][0], isup.NewSimple(isup.ACM, 0))
	pair.deliverAll()
	iam, err := isup.NewSetup(2, isup.Setup{Called: isup.Number{Digits: "551", Nature: 3, Plan: 1}, Width: 1, HopCounter: -1})
	if err != nil {
		t.Fatal(err)
	}
	pair.groups[0].Receive(pair.now, iam)
	pair.collect()
	if pair.countEvents(0, SeizureLost) != 0 || pair.countEvents(0, IncomingCall) != 0 {
		t.Errorf("%d lost, %d arrived", pair.countEvents(0, SeizureLost), pair.countEvents(0, IncomingCall))
	}
}

// When one circuit of a call is reset or blocked, its other circuits stay unavailable until the far end has acknowledged. If the
// reset is lost, they could otherwise be seized again while the far end still holds the call (finchlatch swarm, seed 1577).
func TestWideCallIsResetAsAWhole(t *testing.T) {
	for name, disrupt := range map[string]func(g *Group){
		"reset": func(g *Group) { g.Reset(0, []uint16{3}) },
		"block": func(g *Group) { g.Block(0, 1, isup.Hardware, true) },
	} {
		pair := newGroupPair(t, firstCICs(5)...)
		pair.seize(0, 5)
		pair.deliverAll()
		disrupt(pair.groups[0])
		pair.groups[0].Output() // lost in transit
		if n := pair.groups[0].Usable(); n != 0 {
			t.Errorf("%s: %d circuits are usable while the far end holds the call", name, n)
		}
		for range 20 { // the timers send the message again
			pair.now += 500 * time.Millisecond
			pair.groups[0].Tick(pair.now)
			pair.deliverAll()
		}
		if a, b := pair.groups[0].Usable(), pair.groups[1].Usable(); a != b || a < 4 ||
			pair.countEvents(1, Dropped)+pair.countEvents(1, Released) != 1 {
			t.Errorf("%s: finally %d and %d usable, %d calls ended at the far end", name, a, b,
				pair.countEvents(1, Dropped)+pair.countEvents(1, Released))
		}
	}
}

// A lost blocking message that is sent again at T12 must not block circuits that were unblocked in the meantime; its other circuits
// are still to be blocked. Otherwise circuits stay blocked for good: half of a group did in a simulation.
func TestLostBlockIsSuperseded(t *testing.T) {
	for _, kind := range []isup.BlockingType{isup.Maintenance, isup.Hardware} {
		pair := newGroupPair(t, firstCICs(21)...)
		pair.groups[0].Block(pair.now, 15, kind, true)
		pair.collect()
		pair.inTransit[0] = nil // lost: the far end does not process messages
		pair.groups[0].Block(pair.now, 1, kind, true)
		pair.deliverAll()
		pair.groups[0].Block(pair.now, 3, kind, false)
		pair.deliverAll()
		for range 20 {
			pair.now += time.Second
			pair.groups[0].Tick(pair.now)
			pair.groups[1].Tick(pair.now)
			pair.deliverAll()
		}
		if a, b := pair.groups[0].Unblocked(), pair.groups[1].Unblocked(); a != 8 || b != 8 {
			t.Errorf("kind %v: %d and %d circuits are not blocked, want 8 at both ends", kind, a, b)
		}
		pair.groups[0].Block(pair.now, 21, kind, false)
		pair.deliverAll()
		if a, b := pair.groups[0].Usable(), pair.groups[1].Usable(); a != 21 || b != 21 {
			t.Errorf("kind %v: finally %d and %d usable", kind, a, b)
		}
	}
}

// A REL that crosses a reset gets no RLC: the reset has already ended the release at the far end, which would take the RLC as
// the acknowledgement of its next call's REL. That call then stays established at one end for good.
func TestReleaseCrossesReset(t *testing.T) {
	pair := newGroupPair(t, firstCICs(4)...)
	pair.seize(1, 1)
	pair.deliverAll()
	if len(pair.seizures[0]) != 1 {
		t.Fatal("the call did not arrive")
	}
	pair.groups[0].ResetAll(pair.now)
	seizure := pair.groups[1].Seize(1, nil)
	iam, err := seizure.NewIAM(isup.Setup{Called: isup.Number{Digits: "55", Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
	if err != nil {
		t.Fatal(err)
	}
	pair.groups[1].Send(seizure, iam)
	pair.groups[1].Release(pair.now, seizure, isup.ReleaseInfo{Cause: isup.CauseNormalClearing})
	pair.collect()
	for pair.step(1) { // the IAM and the REL arrive before the acknowledgement of the reset
	}
	for _, m := range pair.inTransit[0] {
		if m.Type == isup.RLC {
			t.Error("RLC sent for a REL that the reset ends")
		}
	}
	pair.deliverAll()
	if a, b := pair.groups[0].Usable(), pair.groups[1].Usable(); a != 4 || b != 4 {
		t.Errorf("finally %d and %d circuits are usable", a, b)
	}
}
