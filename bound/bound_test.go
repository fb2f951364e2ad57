package bound

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// randomNetwork draws a network whose two classes of calls have the widths 1 and 2.
func randomNetwork(seed uint64, size int) Network {
	rng := rand.New(rand.NewPCG(seed, 1))
	network := Network{Circuits: zeroMatrix(size), Classes: []Class{{1, 1, 4}, {3, 2, 4}}, Rate: [][][]float64{zeroMatrix(size), zeroMatrix(size)}}
	for from := range size {
		for to := range size {
			if from < to {
				network.Circuits[from][to] = math.Round(2 + 8*rng.Float64())
				network.Circuits[to][from] = network.Circuits[from][to]
			}
			if from != to {
				network.Rate[0][from][to], network.Rate[1][from][to] = 2*rng.Float64(), 0.4*rng.Float64()
			}
		}
	}
	return network
}

// primal solves the fluid bound's linear programme by the simplex method, with a variable for each pair, class and route.
func primal(t *testing.T, network Network) float64 {
	size, pairs := len(network.Circuits), network.pairs()
	groupIndex := map[[2]int]int{}
	for i, p := range pairs {
		groupIndex[[2]int{p.first, p.second}], groupIndex[[2]int{p.second, p.first}] = i, i
	}
	rows := len(pairs) * (1 + len(network.Classes))
	var costs []float64
	var columns [][]int
	var usage []float64
	for i, p := range pairs {
		for c, class := range network.Classes {
			demand := len(pairs) + i*len(network.Classes) + c
			for tandem := range size {
				legs := []int{demand, i}
				if tandem == p.second {
					continue
				} else if tandem != p.first {
					legs = []int{demand, groupIndex[[2]int{p.first, tandem}], groupIndex[[2]int{tandem, p.second}]}
				}
				costs, columns, usage = append(costs, -class.Worth), append(columns, legs), append(usage, class.Width*class.Hold)
			}
		}
	}
	a, b := mat.NewDense(rows, len(costs)+rows, nil), make([]float64, rows)
	for v, legs := range columns {
		a.Set(legs[0], v, 1)
		for _, g := range legs[1:] {
			a.Set(g, v, usage[v])
		}
	}
	for i, p := range pairs {
		b[i] = network.Circuits[p.first][p.second]
		for c := range network.Classes {
			b[len(pairs)+i*len(network.Classes)+c] = p.rates[c]
		}
	}
	for r, first := 0, len(costs); r < rows; r++ {
		a.Set(r, first+r, 1)
		costs = append(costs, 0)
	}
	value, _, err := lp.Simplex(costs, a, b, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return -value
}

// The bound from the dual programme is never below the linear programme's value, and exceeds it by at most 1%.
func TestFluidIsTheLinearProgramme(t *testing.T) {
	for seed := range uint64(8) {
		network := randomNetwork(seed, 3+int(seed%4))
		want := primal(t, network)
		got, err := network.Fluid(3000)
		if err != nil || got < want-1e-6 || got > 1.01*want {
			t.Errorf("seed %d: %.4f, the linear programme gives %.4f (%v)", seed, got, want, err)
		}
	}
}

// Where all groups are alike and full, it is best to carry only direct calls of the class with the most worth per
// circuit-second, and the initial prices give that value.
func TestFluidOfAnOverload(t *testing.T) {
	network := randomNetwork(1, 6)
	for from := range 6 {
		for to := range 6 {
			if from != to {
				network.Circuits[from][to], network.Rate[0][from][to], network.Rate[1][from][to] = 8, 4, 0.5
			}
		}
	}
	// Each of the 15 groups gets one call of class 1 per second: it uses 2 x 4 circuit-seconds, all 8 circuits, and earns 3.
	got, err := network.Fluid(1)
	if want := 15 * 3.0; err != nil || math.Abs(got-want) > 1e-9 {
		t.Errorf("%.4f, want %.4f (%v)", got, want, err)
	}
	if _, err := (Network{}).Fluid(1); err == nil {
		t.Error("an empty network was accepted")
	}
}

// With one class, the bound lies between Erlang's loss formula, which has no two-leg calls, and the fluid bound.
func TestAtOnce(t *testing.T) {
	for _, circuits := range []int{3, 10, 30} {
		for _, load := range []float64{0.7, 1, 1.5} {
			hold := 4.0
			rate := load * float64(circuits) / hold
			erlang := rate * (1 - erlangB(circuits, rate*hold))
			fluid := min(rate, float64(circuits)/hold)
			got, err := Group{Circuits: circuits, Classes: []Class{{1, 1, hold}}, Rates: []float64{rate}}.AtOnce()
			if err != nil || got < erlang-1e-6 || got > fluid+1e-6 {
				t.Errorf("%d circuits at %.1f: %.4f, Erlang B alone %.4f, fluid %.4f (%v)", circuits, load, got, erlang, fluid, err)
			}
		}
	}
	startedAt := time.Now()
	group := Group{Circuits: 24, Classes: []Class{{1, 1, 4}, {3, 2, 4}}, Rates: []float64{5, 0.7}}
	got, err := group.AtOnce()
	if offered := 5 + 3*0.7; err != nil || got <= 0 || got > offered {
		t.Errorf("%.4f of %.4f (%v)", got, offered, err)
	}
	t.Logf("two widths on 24 circuits: %.4f in %v", got, time.Since(startedAt))
}

// erlangB is the blocking of so many circuits that are offered so many erlangs (Erlang's B formula).
func erlangB(circuits int, offered float64) float64 {
	blocking := 1.0
	for i := 1; i <= circuits; i++ {
		blocking = offered * blocking / (float64(i) + offered*blocking)
	}
	return blocking
}
