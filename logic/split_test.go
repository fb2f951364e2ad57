package logic

import (
	"math"
	"testing"
)

// direct sums the formulas of the paper as printed.
func direct(n int, reserve []int, loads []load) float64 {
	terms := func(n int, a float64) (blocked, carried float64) {
		sum, weighted, t := 1.0, 0.0, 1.0
		for i := 1; i <= n; i++ {
			t *= a / float64(i)
			sum += t
			weighted += float64(i) * t
		}
		return t / sum, weighted / sum
	}
	out, shared, lambda := 0.0, n, 0.0
	spill := make([]float64, len(loads))
	for k, l := range loads {
		b, carried := terms(reserve[k], l.erlangs)
		out += carried * l.worth
		spill[k] = l.erlangs * b
		lambda += spill[k]
		shared -= reserve[k]
	}
	b, carried := terms(shared, lambda)
	for k, l := range loads {
		out += carried*l.worth*spill[k]/lambda - l.penalty*spill[k]*b
	}
	return out
}

func TestPayoffAgainstDirectSum(t *testing.T) {
	loads := []load{{3, 5, 2, 1}, {7, 1, 1, 1}, {4, 2, 0.5, 1}}
	for _, r := range [][]int{{0, 0, 0}, {4, 0, 0}, {3, 6, 1}, {10, 5, 5}} {
		if got, want := payoff(20, r, loads), direct(20, r, loads); math.Abs(got-want) > 1e-9 {
			t.Errorf("split %v: %v, direct sum %v", r, got, want)
		}
	}
}

func best(n int, loads []load) (int, int, float64) {
	bh, bl, top := 0, 0, math.Inf(-1)
	for h := 0; h <= n; h++ {
		for l := 0; h+l <= n; l++ {
			if s := payoff(n, []int{h, l}, loads); s > top {
				bh, bl, top = h, l, s
			}
		}
	}
	return bh, bl, top
}

func TestPaperOptima(t *testing.T) {
	for _, tt := range []struct {
		n             int
		high, low     load
		h, m, l       int
		dynamic, free float64
	}{
		{20, load{5, 10, 2, 1}, load{40, 2, 1, 1}, 7, 13, 0, 0, 0}, // Figure 1
		{16, load{1, 2, 2, 1}, load{10, 1, 1, 1}, 0, 7, 9, 12, 11}, // Table 2
		{16, load{5, 2, 2, 1}, load{10, 1, 1, 1}, 3, 10, 3, 15, 14},
		{16, load{10, 5, 2, 1}, load{10, 1, 1, 1}, 12, 4, 0, 41, 33},
		{84, load{10, 5, 2, 1}, load{100, 1, 1, 1}, 10, 68, 6, 86, 79}, // Table 3
		{84, load{50, 10, 2, 1}, load{100, 1, 1, 1}, 60, 24, 0, 436, 242},
	} {
		loads := []load{tt.high, tt.low}
		h, l, s := best(tt.n, loads)
		if h != tt.h || l != tt.l || tt.n-h-l != tt.m {
			t.Errorf("n=%d %v: optimum (%d,%d,%d), paper (%d,%d,%d)", tt.n, loads, h, tt.n-h-l, l, tt.h, tt.m, tt.l)
		}
		if f := payoff(tt.n, []int{0, 0}, loads); tt.dynamic != 0 && (math.Abs(s-tt.dynamic) > 1 || math.Abs(f-tt.free) > 1) {
			t.Errorf("n=%d %v: pay-off %.1f and free %.1f, paper %v and %v", tt.n, loads, s, f, tt.dynamic, tt.free)
		}
	}
}

func TestLargeGroupsStayFinite(t *testing.T) {
	for _, a := range []float64{0, 1e-9, 1, 1e4, 1e9} {
		for _, n := range []int{0, 1, 5000} {
			s := payoff(n, []int{n / 3, 0}, []load{{a, 5, 5, 1}, {a * 3, 1, 1, 1}})
			if math.IsNaN(s) || math.IsInf(s, 0) {
				t.Errorf("n=%d a=%v: %v", n, a, s)
			}
		}
	}
}

// Guards against a reserve for calls of two circuits that is scored as if one circuit took half a call.
func TestWideCallsNeedWholeReserves(t *testing.T) {
	loads := []load{{1, 3, 3, 2}, {4, 1, 1, 1}}
	if odd, none := payoff(5, []int{1, 0}, loads), payoff(5, []int{0, 0}, loads); odd >= none {
		t.Errorf("one reserved circuit for calls of two: %.3f, none %.3f", odd, none)
	}
	narrow := []load{{1, 3, 3, 1}, {4, 1, 1, 1}}
	if payoff(5, []int{0, 0}, loads) >= payoff(5, []int{0, 0}, narrow) {
		t.Error("a call of two circuits stands as easily as one of one")
	}
}
