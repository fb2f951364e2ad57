package dimension

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/integrate/quad"
)

func assertNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s: %.6g, want %.6g within %.2g", what, got, want, within)
	}
}

// Compares with Erlang's table, as in ITU-T E.520: the traffic that circuits can be offered at a given blocking, to the
// digits printed there.
func TestErlangTable(t *testing.T) {
	for _, c := range []struct{ circuits, blocking, erlangs, digits float64 }{
		{1, 0.01, 0.0101, 1e-4}, {2, 0.01, 0.153, 1e-3}, {5, 0.01, 1.36, 1e-2}, {10, 0.01, 4.46, 1e-2}, {20, 0.01, 12.0, 0.1}, {30, 0.01, 20.3, 0.1},
		{50, 0.01, 37.9, 0.1}, {100, 0.01, 84.1, 0.1}, {10, 0.001, 3.09, 1e-2}, {10, 0.02, 5.08, 1e-2}, {10, 0.05, 6.22, 1e-2}, {20, 0.05, 15.2, 0.1},
		{30, 0.001, 16.7, 0.1}, {50, 0.02, 40.3, 0.1},
	} {
		erlangs, err := ErlangBTraffic(c.circuits, c.blocking)
		if err != nil {
			t.Fatal(err)
		}
		assertNear(t, "traffic", erlangs, c.erlangs, c.digits/2+1e-9)
		circuits, err := ErlangBCircuits(erlangs, c.blocking)
		if err != nil {
			t.Fatal(err)
		}
		assertNear(t, "circuits back", circuits, c.circuits, 1e-5)
	}
	assertNear(t, "B(10, 5)", ErlangB(10, 5), 0.018385, 1e-6)
	assertNear(t, "B(1, 1)", ErlangB(1, 1), 0.5, 1e-12)
}

// Checks that blocking on a real number of circuits equals Fortet's integral, and on a whole number equals the recursion.
func TestRealCircuits(t *testing.T) {
	for _, erlangs := range []float64{0.01, 0.7, 5, 40, 299, 301, 2000} {
		for _, circuits := range []float64{0.3, 0.5, 0.999, 1.5, 4.25, 20.7} {
			// 1/B is the integral of e^-u (1 + u/a)^x over u >= 0.
			inverse := quad.Fixed(func(u float64) float64 { return math.Exp(-u) * math.Pow(1+u/erlangs, circuits) }, 0, 60+4*circuits, 4000, quad.Legendre{}, 0)
			got := ErlangBReal(circuits, erlangs)
			assertNear(t, "B of a real number of circuits", got*inverse, 1, 2e-5)
		}
	}
	for n := 0; n < 20; n++ {
		blocking := 1.0
		for i := 1; i <= n; i++ {
			blocking = 7 * blocking / (float64(i) + 7*blocking)
		}
		assertNear(t, "whole circuits", ErlangBReal(float64(n), 7), blocking, 1e-12)
	}
	assertNear(t, "no traffic", ErlangBReal(3, 0), 0, 0)
	assertNear(t, "no circuits", ErlangBReal(0, 3), 1, 0)
	for _, bad := range [][2]float64{{-1, 1}, {1, -1}, {math.NaN(), 1}, {1, math.Inf(1)}} {
		if !math.IsNaN(ErlangBReal(bad[0], bad[1])) {
			t.Errorf("B(%v, %v) is a number", bad[0], bad[1])
		}
	}
}

// brockmeyer is the share of the overflow of a primary group that a secondary group loses. It solves the balance equations
// of the Markov chain of both groups (Brockmeyer 1954).
func brockmeyer(primary, secondary int, erlangs float64) float64 {
	probability := make([][]float64, primary+1)
	for i := range probability {
		probability[i] = make([]float64, secondary+1)
		for j := range probability[i] {
			probability[i][j] = 1
		}
	}
	for range 6000 { // Gauss-Seidel iteration
		for i := 0; i <= primary; i++ {
			for j := 0; j <= secondary; j++ {
				inflow, outflowRate := 0.0, float64(i+j)
				if i < primary || j < secondary {
					outflowRate += erlangs
				}
				if i > 0 {
					inflow += erlangs * probability[i-1][j]
				}
				if i == primary && j > 0 {
					inflow += erlangs * probability[primary][j-1]
				}
				if i < primary {
					inflow += float64(i+1) * probability[i+1][j]
				}
				if j < secondary {
					inflow += float64(j+1) * probability[i][j+1]
				}
				probability[i][j] = inflow / outflowRate
			}
		}
	}
	sum, full := 0.0, 0.0
	for i := range probability {
		for j := range probability[i] {
			sum += probability[i][j]
		}
	}
	for j := range probability[primary] {
		full += probability[primary][j] / sum
	}
	return probability[primary][secondary] / sum / full
}

// Checks that Wilkinson's method is exact for a single overflow stream, which is what it assumes, that Hayward's
// approximation is close, and that Erlang B for random traffic of the same mean is far off.
func TestPeaked(t *testing.T) {
	for _, c := range []struct {
		primary, secondary int
		erlangs            float64
	}{{10, 4, 10}, {5, 6, 8}, {20, 10, 22}} {
		stream := Overflow(float64(c.primary), c.erlangs)
		want := brockmeyer(c.primary, c.secondary, c.erlangs)
		got, err := Wilkinson(float64(c.secondary), stream)
		if err != nil {
			t.Fatal(err)
		}
		assertNear(t, "Wilkinson", got, want, 0.02*want)
		assertNear(t, "Hayward", Hayward(float64(c.secondary), stream), want, 0.2*want) // it is known to be too low at high blocking
		assertNear(t, "Loss", Loss(float64(c.secondary), stream), want, 0.02*want)
		if random := ErlangB(c.secondary, stream.Mean); random > 0.9*want {
			t.Errorf("Erlang B gives %.4f, want far less than %.4f: the case is not peaked", random, want)
		}
		erlangs, circuits, err := EquivalentRandom(stream)
		if err != nil {
			t.Fatal(err)
		}
		assertNear(t, "equivalent traffic", erlangs, c.erlangs, 0.01*c.erlangs)
		assertNear(t, "equivalent circuits", circuits, float64(c.primary), 0.02*float64(c.primary))
	}
	// By hand from Riordan's formula for 10 erlangs on 10 circuits: B = 0.214582, m = 2.14582, v = m(1-m+10/(11+m-10)) =
	// 4.3628.
	stream := Overflow(10, 10)
	assertNear(t, "mean", stream.Mean, 2.14582, 1e-5)
	assertNear(t, "variance", stream.Mean*stream.Peakedness, 4.3628, 1e-3)
	if _, _, err := EquivalentRandom(Stream{5, 0.7}); !errors.Is(err, ErrSmooth) {
		t.Errorf("%v", err)
	}
	both := Sum(stream, Stream{3, 1})
	assertNear(t, "mean of two", both.Mean, stream.Mean+3, 1e-12)
	assertNear(t, "variance of two", both.Mean*both.Peakedness, stream.Mean*stream.Peakedness+3, 1e-9)
}

// productForm is the blocking of two classes from the product form of the state probabilities, state by state.
func productForm(circuits int, loads []Load) [2]float64 {
	var lost [2]float64
	sum := 0.0
	for i := 0; i*loads[0].Width <= circuits; i++ {
		for j := 0; i*loads[0].Width+j*loads[1].Width <= circuits; j++ {
			gi, _ := math.Lgamma(float64(i + 1))
			gj, _ := math.Lgamma(float64(j + 1))
			weight := math.Exp(float64(i)*math.Log(loads[0].Erlangs) - gi + float64(j)*math.Log(loads[1].Erlangs) - gj)
			sum += weight
			free := circuits - i*loads[0].Width - j*loads[1].Width
			for class := range loads {
				if free < loads[class].Width {
					lost[class] += weight
				}
			}
		}
	}
	return [2]float64{lost[0] / sum, lost[1] / sum}
}

// Checks that the Kaufman-Roberts recursion agrees with the product form, and with Erlang B for one class.
func TestWidths(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 40 {
		circuits := 5 + rng.IntN(60)
		loads := []Load{{Erlangs: 0.1 + 30*rng.Float64(), Width: 1 + rng.IntN(2)}, {Erlangs: 0.1 + 8*rng.Float64(), Width: 1 + rng.IntN(6)}}
		got, err := Blocking(circuits, loads)
		if err != nil {
			t.Fatal(err)
		}
		want := productForm(circuits, loads)
		assertNear(t, "first class", got[0], want[0], 1e-9)
		assertNear(t, "second class", got[1], want[1], 1e-9)
	}
	single, _ := Blocking(3000, []Load{{Erlangs: 2990, Width: 1}})
	assertNear(t, "large group", single[0], ErlangB(3000, 2990), 1e-9)
	// A reservation of 2 circuits for the narrow class gives both classes the same blocking: each needs 3 free circuits.
	even, _ := Blocking(30, []Load{{Erlangs: 15, Width: 1, Reserve: 2}, {Erlangs: 3, Width: 3}})
	assertNear(t, "equal blocking", even[0], even[1], 1e-12)
	plain, _ := Blocking(30, []Load{{Erlangs: 15, Width: 1}, {Erlangs: 3, Width: 3}})
	if !(even[0] > plain[0] && even[1] < plain[1]) {
		t.Errorf("with reservation %v, without %v", even, plain)
	}
	peaked, _ := Blocking(20, []Load{{Erlangs: 10, Width: 1, Peaked: 2}})
	assertNear(t, "peaked, one width", peaked[0], Hayward(20, Stream{10, 2}), 1e-6)
	odd, _ := Blocking(21, []Load{{Erlangs: 10, Width: 1, Peaked: 2}})
	assertNear(t, "peaked, real number of circuits", odd[0], Hayward(21, Stream{10, 2}), 0.002)
}

// Checks that Size is the smallest group that meets the targets: with one circuit less, one target is missed.
func TestSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	for range 60 {
		loads := []Load{{Erlangs: 40 * rng.Float64(), Width: 1, Peaked: 1 + rng.Float64()}, {Erlangs: 5 * rng.Float64(), Width: 1 + rng.IntN(5)}}
		targets := []float64{0.001 + 0.05*rng.Float64(), 0.001 + 0.05*rng.Float64()}
		circuits, err := Size(loads, targets, 4000)
		if err != nil {
			t.Fatal(err)
		}
		blocking, _ := Blocking(circuits, loads)
		if blocking[0] > targets[0] || blocking[1] > targets[1] {
			t.Errorf("%d circuits: blocking %v over targets %v", circuits, blocking, targets)
		}
		if smaller, _ := Blocking(circuits-1, loads); smaller[0] <= targets[0] && smaller[1] <= targets[1] && circuits-1 >= loads[1].Width {
			t.Errorf("%d circuits are enough: blocking %v, targets %v", circuits-1, smaller, targets)
		}
	}
	if n, err := Size([]Load{{Erlangs: 0, Width: 3}}, []float64{0.01}, 10); n != 0 || err != nil {
		t.Errorf("no traffic: %d, %v", n, err)
	}
	if _, err := Size([]Load{{Erlangs: 1, Width: 30}}, []float64{0.01}, 20); !errors.Is(err, ErrTooWide) {
		t.Errorf("%v", err)
	}
	for _, bad := range []Load{{Erlangs: math.NaN(), Width: 1}, {Erlangs: -1, Width: 1}, {Erlangs: 1}, {Erlangs: 1, Width: 1, Reserve: -1},
		{Erlangs: math.Inf(1), Width: 1}, {Erlangs: 1, Width: 1, Peaked: -2}} {
		if _, err := Size([]Load{bad}, []float64{0.01}, 100); err == nil {
			t.Errorf("no error for %+v", bad)
		}
	}
	if _, err := Size([]Load{{Erlangs: 1, Width: 1}}, []float64{1.5}, 100); err == nil {
		t.Error("no error for a target of 1.5")
	}
}

// Checks that day-to-day variation needs more circuits: mean blocking is the integral over the Gamma distribution, and the
// number of circuits grows with the level of variation.
func TestDays(t *testing.T) {
	stream := Stream{20, 1}
	previous, err := CircuitsOverDays(stream, 0.01, None, 0)
	if err != nil {
		t.Fatal(err)
	}
	assertNear(t, "no variation", previous, 30-0.36, 0.5) // 30 circuits carry 20.3 erlangs at 1%
	for _, variation := range []Variation{Low, Medium, High} {
		circuits, err := CircuitsOverDays(stream, 0.01, variation, 20)
		if err != nil || circuits <= previous {
			t.Errorf("level %v: %.2f circuits after %.2f (%v)", variation, circuits, previous, err)
		}
		previous = circuits
		blocking, _ := BlockingOverDays(circuits, stream, variation, 20)
		assertNear(t, "target", blocking, 0.01, 1e-4)
	}
	assertNear(t, "variance", Medium.Variance(20, 0), 0.13*math.Pow(20, 1.7), 1e-9)
	assertNear(t, "variance measured over a finite hour", Medium.Variance(20, 20), 0.13*math.Pow(20, 1.7)-2, 1e-9)
}

// Checks Truitt's rule: the last direct circuit carries at least the marginal capacity over the cost ratio, one more circuit
// would carry less.
func TestEconomic(t *testing.T) {
	for _, erlangs := range []float64{0.2, 3, 12, 40} {
		for _, ratio := range []float64{1.2, 1.6, 3} {
			circuits, err := EconomicCircuits(erlangs, ratio, 0.75)
			if err != nil {
				t.Fatal(err)
			}
			carried := func(n int) float64 { return erlangs * (ErlangB(n-1, erlangs) - ErlangB(n, erlangs)) }
			if circuits > 0 && carried(circuits) < 0.75/ratio || carried(circuits+1) >= 0.75/ratio {
				t.Errorf("%v erlangs at %v: %d circuits, the last carries %.3f, one more %.3f", erlangs, ratio, circuits, carried(circuits), carried(circuits+1))
			}
		}
	}
	if RoundUpToSystems(31.2, 30) != 60 || RoundUpToSystems(30, 30) != 30 || RoundUpToSystems(7.1, 0) != 8 || RoundUpToSystems(0, 30) != 0 {
		t.Error("wrong rounding to whole systems")
	}
}

// Checks that the fixed point of a mesh without tandems is Erlang B of each group, that tandems with trunk reservation lower
// the loss, and that an overload without reservation raises it (the instability of Nakagome and Mori).
func TestFixedPoint(t *testing.T) {
	newMesh := func(n int, circuits, load, reserve, share float64) Mesh {
		mesh := Mesh{Circuits: squareMatrix(n), Offered: squareMatrix(n), Reserve: reserve, TandemShare: share}
		for a := range n {
			for b := range n {
				if a != b {
					mesh.Circuits[a][b], mesh.Offered[a][b] = circuits, load
				}
			}
		}
		return mesh
	}
	direct, lost, err := newMesh(6, 20, 15, 0, 0).FixedPoint()
	if err != nil {
		t.Fatal(err)
	}
	assertNear(t, "direct only", lost[0][1], ErlangB(20, 15), 1e-5)
	assertNear(t, "direct only", direct[2][4], ErlangB(20, 15), 1e-5)
	_, withTandems, err := newMesh(6, 20, 15, 2, 1).FixedPoint()
	if err != nil || withTandems[0][1] > 0.7*lost[0][1] {
		t.Errorf("loss with tandems %.4f, without %.4f (%v)", withTandems[0][1], lost[0][1], err)
	}
	unreserved, _, _ := newMesh(6, 100, 105, 0, 1).FixedPoint()
	reserved, _, _ := newMesh(6, 100, 105, 4, 1).FixedPoint()
	if unreserved[0][1] < 1.2*reserved[0][1] {
		t.Errorf("blocking in an overload %.4f without reservation, %.4f with it", unreserved[0][1], reserved[0][1])
	}
	if _, _, err := (Mesh{}).FixedPoint(); err == nil {
		t.Error("no error for an empty mesh")
	}
}

// Checks that a trend without noise is found exactly, and that with noise 90% of later days lie in the prediction interval.
func TestTrend(t *testing.T) {
	var days, exact []float64
	for day := range 20 {
		days, exact = append(days, float64(day)), append(exact, 50*math.Pow(1.01, float64(day)))
	}
	forecast, err := Trend(days, exact, 60)
	if err != nil {
		t.Fatal(err)
	}
	assertNear(t, "growth", forecast.Growth, 0.01, 1e-9)
	assertNear(t, "in 60 days", forecast.Mean, 50*math.Pow(1.01, 60), 1e-6)
	assertNear(t, "no noise", forecast.High-forecast.Low, 0, 1e-6)
	rng, inside := rand.New(rand.NewPCG(3, 3)), 0
	const trials = 2000
	for range trials {
		noisy := make([]float64, len(exact))
		for i, value := range exact {
			noisy[i] = value * math.Exp(0.05*rng.NormFloat64())
		}
		forecast, err := Trend(days, noisy, 30)
		if err != nil {
			t.Fatal(err)
		}
		if value := 50 * math.Pow(1.01, 30) * math.Exp(0.05*rng.NormFloat64()); value >= forecast.Low && value <= forecast.High {
			inside++
		}
	}
	assertNear(t, "days within the interval", float64(inside)/trials, 0.9, 0.03)
	for _, bad := range [][2][]float64{{{1, 2, 3}, {1, 1, 1}}, {{1, 1, 1, 1}, {2, 2, 2, 2}}, {{1, 2, 3, 4}, {1, 0, 1, 1}}, {{1, 2, 3, 4}, {1, math.NaN(), 1, 1}}} {
		if _, err := Trend(bad[0], bad[1], 9); err == nil {
			t.Errorf("no error for %v", bad)
		}
	}
}
