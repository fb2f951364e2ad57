package logic

import (
	"math"
	"testing"
	"time"
)

// payoffByDirectSum computes the pay-off by the sums of Chen and Chen, without recursion.
func payoffByDirectSum(circuits int, reserved []int, loads []classLoad) float64 {
	lossSystem := func(circuits int, erlangs float64) (blocked, carried float64) {
		sum, weighted, term := 1.0, 0.0, 1.0
		for i := 1; i <= circuits; i++ {
			term *= erlangs / float64(i)
			sum += term
			weighted += float64(i) * term
		}
		return term / sum, weighted / sum
	}
	payoff, shared, totalOverflow := 0.0, circuits, 0.0
	overflow := make([]float64, len(loads))
	for class, load := range loads {
		b, carried := lossSystem(reserved[class], load.erlangs)
		payoff += carried * load.worth
		overflow[class] = load.erlangs * b
		totalOverflow += overflow[class]
		shared -= reserved[class]
	}
	b, carried := lossSystem(shared, totalOverflow)
	for class, load := range loads {
		payoff += carried*load.worth*overflow[class]/totalOverflow - load.penalty*overflow[class]*b
	}
	return payoff
}

func TestPayoffAgainstDirectSum(t *testing.T) {
	loads := []classLoad{{3, 5, 2, 1}, {7, 1, 1, 1}, {4, 2, 0.5, 1}}
	for _, reserved := range [][]int{{0, 0, 0}, {4, 0, 0}, {3, 6, 1}, {10, 5, 5}} {
		if got, want := payoff(20, reserved, loads), payoffByDirectSum(20, reserved, loads); math.Abs(got-want) > 1e-9 {
			t.Errorf("partition %v: %v, direct sum %v", reserved, got, want)
		}
	}
}

// bestPartition searches all partitions for the one with the greatest pay-off.
func bestPartition(circuits int, loads []classLoad) (int, int, float64) {
	bestReserved, bestDirectOnly, bestPayoff := 0, 0, math.Inf(-1)
	for reserved := 0; reserved <= circuits; reserved++ {
		for directOnly := 0; reserved+directOnly <= circuits; directOnly++ {
			if value := payoff(circuits, []int{reserved, directOnly}, loads); value > bestPayoff {
				bestReserved, bestDirectOnly, bestPayoff = reserved, directOnly, value
			}
		}
	}
	return bestReserved, bestDirectOnly, bestPayoff
}

// The optimal partitions are those of examples in the paper of Chen and Chen.
func TestOptimaOfChenAndChen(t *testing.T) {
	for _, tt := range []struct {
		circuits                     int
		high, low                    classLoad
		reserved, shared, directOnly int
		payoff, sharedPayoff         float64
	}{
		{20, classLoad{5, 10, 2, 1}, classLoad{40, 2, 1, 1}, 7, 13, 0, 0, 0}, // Figure 1
		{16, classLoad{1, 2, 2, 1}, classLoad{10, 1, 1, 1}, 0, 7, 9, 12, 11}, // Table 2
		{16, classLoad{5, 2, 2, 1}, classLoad{10, 1, 1, 1}, 3, 10, 3, 15, 14},
		{16, classLoad{10, 5, 2, 1}, classLoad{10, 1, 1, 1}, 12, 4, 0, 41, 33},
		{84, classLoad{10, 5, 2, 1}, classLoad{100, 1, 1, 1}, 10, 68, 6, 86, 79}, // Table 3
		{84, classLoad{50, 10, 2, 1}, classLoad{100, 1, 1, 1}, 60, 24, 0, 436, 242},
	} {
		loads := []classLoad{tt.high, tt.low}
		reserved, directOnly, payoffValue := bestPartition(tt.circuits, loads)
		if reserved != tt.reserved || directOnly != tt.directOnly || tt.circuits-reserved-directOnly != tt.shared {
			t.Errorf("%d circuits, loads %v: optimum (%d,%d,%d), published (%d,%d,%d)", tt.circuits, loads,
				reserved, tt.circuits-reserved-directOnly, directOnly, tt.reserved, tt.shared, tt.directOnly)
		}
		if sharedValue := payoff(tt.circuits, []int{0, 0}, loads); tt.payoff != 0 &&
			(math.Abs(payoffValue-tt.payoff) > 1 || math.Abs(sharedValue-tt.sharedPayoff) > 1) {
			t.Errorf("%d circuits, loads %v: pay-off %.1f, all shared %.1f, published %v and %v", tt.circuits, loads, payoffValue,
				sharedValue, tt.payoff, tt.sharedPayoff)
		}
	}
}

func TestLargeGroupsStayFinite(t *testing.T) {
	for _, erlangs := range []float64{0, 1e-9, 1, 1e4, 1e9} {
		for _, circuits := range []int{0, 1, 5000} {
			value := payoff(circuits, []int{circuits / 3, 0}, []classLoad{{erlangs, 5, 5, 1}, {erlangs * 3, 1, 1, 1}})
			if math.IsNaN(value) || math.IsInf(value, 0) {
				t.Errorf("%d circuits, %v erlangs: %v", circuits, erlangs, value)
			}
		}
	}
}

// Guards against a report that stops the event loop: a partition was scored in time proportional to the circuits that an office
// reports. The results are those of the whole recursion.
func TestWorkIsBoundedForAnyReportedGroup(t *testing.T) {
	for _, erlangs := range []float64{0, 1e-9, 0.3, 1, 37.5, 900} {
		want := 1.0
		for circuits := 1; circuits <= 5000; circuits++ {
			want = erlangs * want / (float64(circuits) + erlangs*want)
			if got := erlangB(circuits, erlangs); got != want {
				t.Fatalf("%d circuits, %v erlangs: %v, not %v", circuits, erlangs, got, want)
			}
		}
	}
	const timeLimit = 10 * time.Second // without a bound the work takes minutes
	done := make(chan struct{})
	go func() {
		defer close(done)
		f := newManualFixture(t, nil)
		for i := range 60 {
			f.offerAndAwait(i%2, 1, "x")
		}
		f.controller.Report(f.host.now, Report{Office: "o1", OK: true, Load: []float64{maxReportValue, maxReportValue, -1}})
		f.host.now += partitionInterval
		f.controller.Timer(f.host.now, "p")
	}()
	select {
	case <-done:
	case <-time.After(timeLimit):
		t.Fatalf("the periodic work takes over %v for a group of %v circuits", timeLimit, maxReportValue)
	}
}

// Guards against a pay-off in which one reserved circuit carries half of a call of two circuits.
func TestReservedCircuitsMustFitWholeCalls(t *testing.T) {
	loads := []classLoad{{1, 3, 3, 2}, {4, 1, 1, 1}}
	if oneReserved, noneReserved := payoff(5, []int{1, 0}, loads), payoff(5, []int{0, 0}, loads); oneReserved >= noneReserved {
		t.Errorf("pay-off %.3f with one circuit reserved for calls of two circuits, not less than %.3f with none", oneReserved, noneReserved)
	}
	narrow := []classLoad{{1, 3, 3, 1}, {4, 1, 1, 1}}
	if payoff(5, []int{0, 0}, loads) >= payoff(5, []int{0, 0}, narrow) {
		t.Error("the pay-off with calls of two circuits is not less than with calls of one circuit")
	}
}
