package simenv

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// newFrame encodes an ISUP message in a DATA message and decodes it as a frame.
func newFrame(t *testing.T, message *isup.Message) Frame {
	t.Helper()
	b, err := message.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	p := m3ua.ProtocolData{OPC: 1, DPC: 2, SI: m3ua.ServiceISUP, NI: 2, Data: b}
	return ReadFrame(p.Message().Append(nil))
}

// setUpFrame returns the frame of an IAM on a circuit.
func setUpFrame(t *testing.T, cic uint16) Frame {
	t.Helper()
	m, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: "5501", Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
	if err != nil {
		t.Fatal(err)
	}
	return newFrame(t, m)
}

// A processor refuses a set-up: REL goes to its sender, what the sender sent after the IAM never reaches the call server,
// what the call server sends on the circuit is held until RLC, and the next call on the circuit is a new one.
func TestRefusal(t *testing.T) {
	r := NewRelation()
	var message QueuedMessage[int]
	iam := Classify(r, 0, setUpFrame(t, 7), &message)
	if !message.IsSetUp || len(message.Circuits) != 1 || message.Circuits[0] != 7 {
		t.Fatalf("%+v", message)
	}
	following := Classify(r, 0, newFrame(t, isup.NewRelease(7, isup.ReleaseInfo{Cause: isup.CauseNormalClearing})), &message)
	reply, mustDeliver := r.Refuse(0, iam)
	received := ReadFrame(reply)
	if mustDeliver || received.ISUP == nil || received.ISUP.Type != isup.REL ||
		received.ISUP.Release().Cause != isup.CauseCongestion || received.Data.OPC != 2 {
		t.Fatalf("%+v", received)
	}
	if intercepted, reply := following.InterceptStale(); !intercepted || ReadFrame(reply).ISUP.Type != isup.RLC {
		t.Error("a release that follows a refused set-up reached the call server")
	}
	if ReadFrame(r.RepeatRelease(iam)).ISUP == nil {
		t.Error("the REL is not repeated")
	}
	if intercepted, _, _ := r.InterceptRefused(1, setUpFrame(t, 7)); !intercepted {
		t.Error("the call server's own set-up was sent before RLC arrived")
	}
	intercepted, _, resumed := r.InterceptRefused(0, newFrame(t, isup.NewSimple(isup.RLC, 7)))
	if !intercepted || len(resumed) != 1 || resumed[0].ISUP.Type != isup.IAM || r.RepeatRelease(iam) != nil {
		t.Errorf("RLC: intercepted %v, %d frames resumed", intercepted, len(resumed))
	}
	next := Classify(r, 0, setUpFrame(t, 7), &message)
	if intercepted, _ := next.InterceptStale(); intercepted {
		t.Error("the next call is treated as refused")
	}
	r.RecordSent(1, setUpFrame(t, 9))
	crossed := Classify(r, 0, setUpFrame(t, 9), &message)
	if reply, mustDeliver := r.Refuse(0, crossed); reply != nil || !mustDeliver {
		t.Error("the processor refused a dual seizure, which the call server has to resolve")
	}
	resetSetUp := Classify(r, 0, setUpFrame(t, 11), &message)
	Classify(r, 0, newFrame(t, isup.NewSimple(isup.RSC, 11)), &message)
	if reply, mustDeliver := r.Refuse(0, resetSetUp); reply != nil || mustDeliver {
		t.Error("a set-up was answered after its circuit was reset: the answer would release the next call on it")
	}
}

// A reset from either end ends a refusal.
func TestRefusalReset(t *testing.T) {
	for direction := range Direction(2) {
		r := NewRelation()
		iam := Classify(r, 0, setUpFrame(t, 7), &QueuedMessage[int]{})
		r.Refuse(0, iam)
		if intercepted, _, _ := r.InterceptRefused(direction, newFrame(t, isup.NewGroup(isup.GRS, 5, 0,
			isup.Range{Range: 4}))); intercepted || r.RepeatRelease(iam) != nil {
			t.Errorf("direction %d: the refusal on circuit 7 remains after a reset of circuits 5 to 9", direction)
		}
	}
}

// Hold times have the mean of their class and the variation of their distribution. With 200,000 draws the standard error
// of the mean is at most 0.5%, and that of the squared coefficient of variation about 5%.
func TestHoldTimeDistributions(t *testing.T) {
	for holding, squaredVariation := range map[Holding]float64{Exponential: 1, Constant: 0, Lognormal: 2.25, Hyper: 4} {
		rng := rand.New(rand.NewPCG(1, 2))
		n, sum, squares := 200_000, 0.0, 0.0
		for range n {
			drawn := Class{Hold: time.Second, Holding: holding}.drawHoldTime(rng).Seconds()
			sum, squares = sum+drawn, squares+drawn*drawn
		}
		mean := sum / float64(n)
		got := squares/float64(n)/(mean*mean) - 1
		if math.Abs(mean-1) > 0.02 || math.Abs(got-squaredVariation) > 0.2*squaredVariation+0.01 {
			t.Errorf("%s: mean %.3f, squared variation %.3f, want 1 and %.2f", holding, mean, got, squaredVariation)
		}
	}
}

// Systems are used in turn, a wide call's circuits lie in one system, and no circuit is seized twice.
func TestCircuitPool(t *testing.T) {
	var pool circuitPool
	for cic := uint16(1); cic < 96; cic++ {
		if cic%32 != 0 {
			pool.put(cic)
		}
	}
	held := map[uint16]bool{}
	for i := range 31 {
		for _, cic := range pool.take(3) {
			if held[cic] {
				t.Fatalf("circuit %d is seized twice", cic)
			}
			held[cic] = true
		}
		if i == 29 && len(held) != 90 {
			t.Fatalf("%d circuits after 30 seizures", len(held))
		}
	}
	if len(held) != 90 || pool.take(3) != nil || len(pool.take(1)) != 1 {
		t.Errorf("%d circuits held", len(held))
	}
}
