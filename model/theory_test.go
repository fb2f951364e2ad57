package model

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"finchlatch/internal/baseline"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/router"
)

// The tests of this file compare the model with traffic theory. Callers do not redial, processors have no service times,
// and the policy admits all calls.

// oneGroup returns the settings of two exchanges with one trunk group between them; rate is that of both together.
func oneGroup(seed uint64, circuits int, rate float64, classes []simenv.Class) Settings {
	return Settings{Exchanges: 2, Rate: rate, GroupSize: circuits, NoServiceTimes: true, Baseline: baseline.DirectOnly, Seed: seed, Classes: classes}
}

// newClass returns a class with a mean hold time of a second.
func newClass(name string, share float64, category byte, width int, holding simenv.Holding) simenv.Class {
	return simenv.Class{Name: name, Share: share, Category: category, Width: width, Worth: 1, Aim: 600 * time.Millisecond,
		Patience: 1500 * time.Millisecond, Deadline: 3 * time.Second, Hold: time.Second, Holding: holding}
}

// circuitHoldTime is the mean time for which a call holds a circuit between two exchanges of one region. From IAM to RLC it
// consists of the set-up (2 ms to the far exchange, 1 ms to the line, the ringing time, 3 ms back and 1 ms to the caller),
// the call, and the release from the caller (1 ms) until RLC (4 ms).
const circuitHoldTime = time.Second + simenv.MeanRingTime + 12*time.Millisecond

// independentRuns is the number of independent runs of a check, from which its confidence interval is computed.
const independentRuns = 8

// checkAgainstTheory compares a quantity of independent runs with its theoretical value. The value must lie within the
// 99.9% confidence interval of the mean, widened by 0.001 and 0.5% for what the theory ignores: that both ends may seize
// the last circuits at the same time.
func checkAgainstTheory(t *testing.T, quantity string, samples []float64, want float64) {
	t.Helper()
	mean, sd := stat.MeanStdDev(samples, nil)
	halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(samples) - 1)}.Quantile(0.9995) * sd /
		math.Sqrt(float64(len(samples)))
	if math.Abs(mean-want) > halfWidth+0.001+0.005*want {
		t.Errorf("%s: %.4f ± %.4f, theory %.4f", quantity, mean, halfWidth, want)
	}
	t.Logf("%s: %.4f ± %.4f, theory %.4f", quantity, mean, halfWidth, want)
}

// playBlocking plays a fleet and returns the blocking of each class.
func playBlocking(t *testing.T, settings Settings, duration float64) []float64 {
	t.Helper()
	offered, lost := make([]float64, len(settings.Classes)), make([]float64, len(settings.Classes))
	countFrom := startTime + startUpTime + 20*time.Second // the group is empty at first; it has reached its steady state by then
	settings.OnDone = func(outcome simenv.Outcome) {
		if outcome.StartedAt < countFrom {
			return
		}
		if offered[outcome.Class]++; !outcome.Established {
			lost[outcome.Class]++
		}
	}
	f, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Play(simenv.Script{Len: span(duration)}, 20*time.Second); err != nil {
		t.Fatal(err)
	}
	for c := range offered {
		lost[c] /= offered[c]
	}
	return lost
}

// runSeeds collects the results of independent runs by class.
func runSeeds(t *testing.T, run func(seed uint64) []float64) (byClass [][]float64) {
	t.Helper()
	for seed := range uint64(independentRuns) {
		for c, x := range run(seed + 1) {
			if len(byClass) <= c {
				byClass = append(byClass, nil)
			}
			byClass[c] = append(byClass[c], x)
		}
	}
	return byClass
}

// The blocking of one group follows Erlang's loss formula for any distribution of hold times (insensitivity).
func TestErlangB(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for hours of simulated time on one goroutine")
	}
	t.Parallel()
	for _, holding := range []simenv.Holding{simenv.Exponential, simenv.Hyper} {
		blocking := runSeeds(t, func(seed uint64) []float64 {
			return playBlocking(t, oneGroup(seed, 23, 20, []simenv.Class{newClass("one", 1, 10, 1, holding)}), 250)
		})
		checkAgainstTheory(t, string(holding)+" holding", blocking[0], erlangB(23, 20*circuitHoldTime.Seconds()))
	}
}

// erlangB returns the blocking of circuits for a load in erlangs by Erlang's loss formula.
func erlangB(circuits int, load float64) float64 {
	blocking := 1.0
	for i := 1; i <= circuits; i++ {
		blocking = load * blocking / (float64(i) + load*blocking)
	}
	return blocking
}

// The blocking of two classes of different width on one group follows the recursion of Kaufman (1981) and Roberts (1981):
// n q(n) = sum of a_k b_k q(n - b_k).
func TestKaufmanRoberts(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for hours of simulated time on one goroutine")
	}
	t.Parallel()
	const circuits, rate = 28, 14
	classes := []simenv.Class{newClass("narrow", 0.8, 10, 1, ""), newClass("wide", 0.2, 11, 4, "")}
	blocking := runSeeds(t, func(seed uint64) []float64 { return playBlocking(t, oneGroup(seed, circuits, rate, classes), 400) })
	q, sum := make([]float64, circuits+1), 1.0
	q[0] = 1
	for n := 1; n <= circuits; n++ {
		for _, c := range classes {
			if n >= c.Width {
				q[n] += rate * c.Share * circuitHoldTime.Seconds() * float64(c.Width) * q[n-c.Width] / float64(n)
			}
		}
		sum += q[n]
	}
	for i, c := range classes {
		want := 0.0
		for n := circuits - c.Width + 1; n <= circuits; n++ {
			want += q[n] / sum
		}
		checkAgainstTheory(t, c.Name, blocking[i], want)
	}
}

// A limited number of callers meets less blocking than an unlimited number that offers the same load: the call congestion
// of Engset's model, which is the time congestion with one source less.
func TestEngset(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for hours of simulated time on one goroutine")
	}
	t.Parallel()
	const circuits, sources = 6, 10 // of both exchanges together
	const idle = 0.8                // calls per second of an idle source
	settings := Settings{}
	blocking := runSeeds(t, func(seed uint64) []float64 {
		settings = oneGroup(seed, circuits, idle*sources, []simenv.Class{newClass("one", 1, 10, 1, "")})
		settings.Sources = sources / 2
		return playBlocking(t, settings, 600)
	})
	// A source is busy for 5 ms less than its circuit: between REL and RLC it may make the next call on another circuit.
	lastTerm, sum, term := 0.0, 0.0, 1.0
	for n := 0; n <= circuits; n++ {
		if n > 0 {
			term *= float64(sources-1-n+1) / float64(n) * idle * circuitHoldTime.Seconds()
		}
		sum, lastTerm = sum+term, term
	}
	checkAgainstTheory(t, "Engset", blocking[0], lastTerm/sum)
	if erlang := erlangB(circuits, idle*sources*circuitHoldTime.Seconds()*0.6); math.Abs(erlang-lastTerm/sum) < 0.01 {
		t.Errorf("Erlang B for about the same load, %.4f, is too close to tell the two apart", erlang)
	}
}

// directFirst is a policy that routes up to maxDirect calls over the direct group, and all others over the third exchange.
type directFirst struct {
	router.Policy
	host      logic.Host
	maxDirect int
	direct    map[uint64]bool // calls on the direct group
	names     []string        // of the offices, by exchange
}

func (p *directFirst) UpdateOffices(_ time.Duration, _ logic.ListKind, offices []logic.Office) {
	for _, o := range offices {
		p.names = append(p.names, o.ID)
	}
}
func (p *directFirst) Report(time.Duration, logic.Report) {}
func (p *directFirst) Timer(time.Duration, string)        {}
func (p *directFirst) Established(time.Duration, logic.Outcome) {
}
func (p *directFirst) HungUp(time.Duration, uint64) {}
func (p *directFirst) Offered(_ time.Duration, call logic.Call) {
	destination := 3 // the third exchange is the tandem
	if call.Transit || len(p.direct) < p.maxDirect {
		destination = call.Dest
	}
	if p.direct[call.ID] = true; destination == 3 {
		delete(p.direct, call.ID)
	}
	p.host.Send(call.ID, p.names[destination-1], time.Second)
}
func (p *directFirst) Outcome(_ time.Duration, outcome logic.Outcome) {
	delete(p.direct, outcome.Call)
	if !outcome.Over {
		p.host.Fail(outcome.Call)
	}
}

// The traffic that overflows from a group has the mean and variance of Riordan (in Wilkinson 1956). With A erlangs offered
// to C circuits, the mean is m = A B(C, A) and the variance v = m (1 - m + A / (C + 1 + m - A)).
func TestRiordan(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for hours of simulated time on one goroutine")
	}
	t.Parallel()
	const circuits, rate = 10, 12
	var means, ratios []float64
	for seed := range uint64(independentRuns) {
		settings := oneGroup(seed+1, 120, rate*3, []simenv.Class{newClass("one", 1, 10, 1, "")})
		settings.Exchanges = 3
		settings.Baseline = func(s logic.Settings, _ int64) (router.Policy, error) {
			maxDirect := 1 << 30
			if s.Home == 1 {
				maxDirect = circuits
			}
			return &directFirst{host: s.Host, maxDirect: maxDirect, direct: map[uint64]bool{}}, nil
		}
		f, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range f.nodes[1:] {
			n.callers.SetRate(0)
		}
		f.nodes[0].callers.PickNumber = func(*rand.Rand) (string, bool) { return "5000200001", false }
		var samples []float64
		var sample func()
		sample = func() {
			if f.now > startTime+startUpTime+20*time.Second {
				g := f.nodes[0].router.Groups()[1]
				samples = append(samples, float64(g.Out))
			}
			f.schedule(211*time.Millisecond, sample)
		}
		sample()
		if err := f.Play(simenv.Script{Len: span(700)}, 0); err != nil {
			t.Fatal(err)
		}
		m, v := stat.MeanVariance(samples, nil)
		means, ratios = append(means, m), append(ratios, v/m)
	}
	// On the direct group a call counts until its RLC. Over the tandem it holds the first leg 10 ms longer.
	a := rate * circuitHoldTime.Seconds()
	m := a * erlangB(circuits, a)
	v := m * (1 - m + a/(circuits+1+m-a))
	checkAgainstTheory(t, "mean of the overflow", means, m*(circuitHoldTime+7*time.Millisecond).Seconds()/circuitHoldTime.Seconds())
	checkAgainstTheory(t, "peakedness of the overflow", ratios, v/m)
}

// With non-preemptive priority of answers over set-ups, the mean waits at a processor follow Cobham (1954):
// R / (1 - rho1) and R / ((1 - rho1)(1 - rho)), where R is half the sum of rate times squared service time. With set-ups
// alone this is the Pollaczek-Khinchine formula for M/D/1.
func TestProcessorWaits(t *testing.T) {
	const setup, answer = 10 * time.Millisecond, 4 * time.Millisecond
	for _, rates := range [][2]float64{{70, 0}, {50, 60}} {
		var setUpWaits, answerWaits []float64
		for seed := range uint64(independentRuns) {
			e := &engine{}
			harness := newProcessorHarness(e, simenv.ServiceTimes{SetUp: setup, Answer: answer}, 1)
			var sum [2]time.Duration
			var count [2]float64
			arrive := func(kind int, rate float64, message queuedMessage) {
				rng := rand.New(rand.NewPCG(seed, uint64(kind)))
				var next func()
				next = func() {
					arrived := e.now
					message.Deliver = func() {
						sum[kind] += e.now - arrived
						count[kind]++
					}
					harness.submit(message)
					e.schedule(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
				}
				e.schedule(0, next)
			}
			arrive(0, rates[0], queuedMessage{IsSetUp: true})
			if rates[1] > 0 {
				arrive(1, rates[1], queuedMessage{IsAnswer: true})
				e.runUntil(500 * time.Second)
				answerWaits = append(answerWaits, sum[1].Seconds()/count[1])
			}
			e.runUntil(500 * time.Second)
			setUpWaits = append(setUpWaits, sum[0].Seconds()/count[0])
		}
		residualWork := (rates[0]*setup.Seconds()*setup.Seconds() + rates[1]*answer.Seconds()*answer.Seconds()) / 2
		rho1, rho := rates[1]*answer.Seconds(), rates[0]*setup.Seconds()+rates[1]*answer.Seconds()
		checkAgainstTheory(t, "set-ups", setUpWaits, residualWork/((1-rho1)*(1-rho)))
		if rates[1] > 0 {
			checkAgainstTheory(t, "answers", answerWaits, residualWork/(1-rho1))
		}
	}
}
