package lab

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"finchlatch/bound"
	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/model"
	"finchlatch/router"
)

// Result holds what one run showed. Service and the bounds are fractions of the worth that was offered by the counted
// callers, those who made their first set-up after the warm-up.
type Result struct {
	Cell
	Commit     string          // program that gave the result
	Callers    int             // counted callers
	Service    float64         // worth earned, as a fraction of that offered
	ByClass    []float64       // service of each class
	Stood      float64         // fraction of the callers whose call was established, in time or late, and not dropped
	Late       float64         // fraction of the callers whose call was established later than its aim, and not dropped
	Tries      float64         // mean set-ups of a caller, redials included
	Sends      float64         // attempts of all call servers together, per set-up
	P50, P99   time.Duration   // set-up times
	Fluid      float64         // upper bound: a linear programme over the groups; 0 where groups or traffic change during the run
	AtOnce     float64         // upper bound for policies that decide on each call on arrival, without redials; 0 where it does not apply
	Windows    []float64       // service of the callers who made their first set-up in each second
	Recovery   []time.Duration // from the end of each fault until service has recovered; negative: it has not
	Breaches   int             // rule violations, where Experiment.Rules asks for the check
	FirstError string          `json:",omitempty"` // the first violation
	Events     uint64          // simulated events
	Wall       time.Duration   // wall-clock time of the simulation, without building the fleet
}

// quietPeriod is simulated after the last first set-up, so that calls and releases can end.
const quietPeriod = 60 * time.Second

// Run simulates one cell.
func (e Experiment) Run(cell Cell) (Result, error) {
	result := Result{Cell: cell}
	totals := newAccumulator(e)
	var records []rulecheck.Record
	sends := 0
	settings := model.Settings{Exchanges: cell.Exchanges, Regions: e.Regions, PlannedRate: e.Rate * float64(cell.Exchanges), GroupSize: e.Group,
		Rate: e.Rate * float64(cell.Exchanges) * cell.Load, Seed: cell.Seed, Classes: e.Classes, Habits: e.Habits, Traffic: e.Traffic,
		MaxWait: e.MaxWait, OnDone: totals.add}
	makeBaseline, err := policyMaker(cell.Policy)
	if err != nil {
		return result, err
	}
	settings.Baseline = func(policySettings logic.Settings, seed int64) (router.Policy, error) {
		policySettings.Host = countingHost{policySettings.Host, &sends}
		if makeBaseline != nil {
			return makeBaseline(policySettings, seed)
		}
		return logic.New(policySettings, seed)
	}
	if e.Rules {
		settings.OnRecord = func(record rulecheck.Record) { records = append(records, record) }
	}
	fleet, err := model.New(settings)
	if err != nil {
		return result, err
	}
	totals.startedAt = fleet.Now()
	eventsBefore, startedAt := fleet.Events(), time.Now()
	if err := fleet.Play(e.script(), quietPeriod); err != nil {
		return result, err
	}
	result.Wall, result.Events = time.Since(startedAt), fleet.Events()-eventsBefore
	if e.Rules {
		verdict := rulecheck.Check(fleet.Parameters, records, fleet.Now())
		if result.Breaches = len(verdict.Violations); result.Breaches > 0 {
			result.FirstError = verdict.Violations[0].String()
		}
	}
	totals.fill(&result, sends)
	return result, e.addBounds(fleet, cell, &result)
}

// countingHost counts the attempts that the call servers of one fleet start.
type countingHost struct {
	logic.Host
	attempts *int
}

// Send counts an attempt and starts it.
func (h countingHost) Send(call uint64, office string, timeout time.Duration) {
	*h.attempts++
	h.Host.Send(call, office, timeout)
}

// accumulator adds up the outcomes of callers as they come.
type accumulator struct {
	experiment      Experiment
	startedAt       time.Duration           // simulated time at which callers start
	earned, offered []float64               // worth by class, of the counted callers
	windows         [][2]float64            // worth earned and offered by all callers, by second of the first set-up
	callers         int                     // counted callers
	established     int                     // of these, whose call was established and not dropped
	late            int                     // of these, whose call was established later than its aim
	tries           int                     // set-ups of the counted callers
	allTries        int                     // set-ups of all callers, those of the warm-up included
	setUpTimes      *hdrhistogram.Histogram // of the counted callers, in microseconds
}

// newAccumulator returns an empty accumulator for the classes, windows and faults of an experiment.
func newAccumulator(experiment Experiment) *accumulator {
	return &accumulator{experiment: experiment, earned: make([]float64, len(experiment.Classes)), offered: make([]float64, len(experiment.Classes)),
		windows: make([][2]float64, int(math.Ceil(experiment.Length.Seconds()))), setUpTimes: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

// add takes the outcome of one caller.
func (a *accumulator) add(outcome simenv.Outcome) {
	a.allTries += outcome.Tries
	class := a.experiment.Classes[outcome.Class]
	earned, offered := outcome.Worth(class)
	sinceStart := outcome.StartedAt - a.startedAt
	if window := int(sinceStart / time.Second); window >= 0 && window < len(a.windows) {
		a.windows[window][0] += earned
		a.windows[window][1] += offered
	}
	if sinceStart < a.experiment.Warmup {
		return
	}
	a.earned[outcome.Class] += earned
	a.offered[outcome.Class] += offered
	a.callers++
	a.tries += outcome.Tries
	if outcome.Established && !outcome.Dropped {
		a.established++
		if outcome.SetUp > class.Aim {
			a.late++
		}
	}
	if outcome.Established {
		_ = a.setUpTimes.RecordValue(outcome.SetUp.Microseconds()) // never out of range: callers give up long before the histogram's hour
	}
}

// fill sets the fields of result that follow from the callers and from the number of attempts sent.
func (a *accumulator) fill(result *Result, sends int) {
	ratio := func(part, whole float64) float64 {
		if whole == 0 {
			return 0
		}
		return part / whole
	}
	earned, offered := 0.0, 0.0
	for class := range a.earned {
		earned, offered = earned+a.earned[class], offered+a.offered[class]
		result.ByClass = append(result.ByClass, ratio(a.earned[class], a.offered[class]))
	}
	result.Callers, result.Service = a.callers, ratio(earned, offered)
	result.Stood, result.Late = ratio(float64(a.established), float64(a.callers)), ratio(float64(a.late), float64(a.callers))
	result.Tries, result.Sends = ratio(float64(a.tries), float64(a.callers)), ratio(float64(sends), float64(a.allTries))
	result.P50 = time.Duration(a.setUpTimes.ValueAtQuantile(50)) * time.Microsecond
	result.P99 = time.Duration(a.setUpTimes.ValueAtQuantile(99)) * time.Microsecond
	for _, window := range a.windows {
		result.Windows = append(result.Windows, ratio(window[0], window[1]))
	}
	for _, step := range a.experiment.Steps {
		result.Recovery = append(result.Recovery, recovery(result.Windows, a.experiment.Warmup, time.Duration(step.At), time.Duration(step.At+step.Len)))
	}
}

// Service has recovered from a fault when it stays, for recoveredWindows seconds, at RecoveredShare or more of its mean from
// the end of the warm-up to the start of the fault.
const (
	RecoveredShare   = 0.95
	recoveredWindows = 3
)

// recovery returns the time from the end of a fault until service recovered; negative: it did not until the end of the run.
func recovery(windows []float64, warmup, faultStart, faultEnd time.Duration) time.Duration {
	first, last, after := int(warmup/time.Second), int(faultStart/time.Second), int(math.Ceil(faultEnd.Seconds()))
	meanBefore := 0.0
	for window := first; window < last; window++ {
		meanBefore += windows[window] / float64(last-first)
	}
	inRow := 0
	for window := after; window < len(windows); window++ {
		if inRow++; windows[window] < RecoveredShare*meanBefore {
			inRow = 0
		}
		if inRow == recoveredWindows {
			return time.Duration(window-recoveredWindows+1-after) * time.Second
		}
	}
	return -1
}

// dualRounds is the number of subgradient steps of the fluid bound. With even traffic the initial prices are the best.
const dualRounds = 400

// maxDualExchanges limits the dual's rounds to one in larger fleets: a round's time grows with the third power of their size.
const maxDualExchanges = 300

// addBounds computes the upper bounds that apply to the run and sets them in result.
func (e Experiment) addBounds(fleet *model.Fleet, cell Cell, result *Result) error {
	if len(e.Steps) > 0 || len(e.Traffic.Profile) > 0 || e.Traffic.Shift > 0 {
		return nil // groups or traffic change during the run
	}
	network, size := bound.Network{}, cell.Exchanges
	row := func(value func(to int) float64) []float64 {
		values := make([]float64, size)
		for to := range values {
			values[to] = value(to)
		}
		return values
	}
	for from := range size {
		network.Circuits = append(network.Circuits, row(func(to int) float64 {
			if from == to {
				return 0
			}
			return float64(fleet.Group())
		}))
	}
	for _, class := range e.Classes {
		network.Classes = append(network.Classes, bound.Class{Worth: class.Worth, Width: float64(class.Width), Hold: class.Hold.Seconds()})
		var rates [][]float64
		for from := range size {
			rates = append(rates, row(func(to int) float64 { return e.Rate * cell.Load * class.Share * fleet.TrafficShare(from, to) }))
		}
		network.Rate = append(network.Rate, rates)
	}
	rounds, offered := dualRounds, network.Offered()
	if e.Traffic.Spread <= 0 || size > maxDualExchanges {
		rounds = 1
	}
	fluid, err := network.Fluid(rounds)
	if err != nil {
		return err
	}
	result.Fluid = fluid / offered
	if e.Traffic.Spread <= 0 && e.Habits.Redials == 0 && fleet.Group() <= maxAtOnceCircuits {
		result.AtOnce = e.atOnceBound(fleet.Group(), network.Classes, cell) * float64(size*(size-1)/2) / offered
	}
	return nil
}

// trafficFactors multiply the traffic that the at-once bound is computed for, tried in this order: the simplex method fails
// on some degenerate programmes but not on their neighbours, and more traffic has a higher bound, which holds for less too.
var trafficFactors = []float64{1, 1.0007, 1.0019, 1.0037}

// atOnceBound is the at-once bound of one group, in worth per second; 0 where the simplex method fails.
func (e Experiment) atOnceBound(circuits int, classes []bound.Class, cell Cell) float64 {
	for _, factor := range trafficFactors {
		group := bound.Group{Circuits: circuits, Classes: classes}
		for _, class := range e.Classes {
			group.Rates = append(group.Rates, 2*e.Rate*cell.Load*class.Share/float64(cell.Exchanges-1)*factor)
		}
		if worth, err := group.AtOnce(); err == nil {
			return worth
		}
	}
	return 0
}

// maxAtOnceCircuits is the largest group that the at-once bound is computed for: the simplex method's time grows with the
// third power of the circuits.
const maxAtOnceCircuits = 40

// RunAll runs the cells of the experiment that the store does not have yet, jobs of them at a time, and stores each. It calls
// onResult, which may be nil, with each result, one at a time; stored says that the result was in the store before.
func (e Experiment) RunAll(ctx context.Context, store *Store, commit string, jobs int, onResult func(result Result, stored bool)) ([]Result, error) {
	cells := e.Cells()
	results := make([]Result, len(cells))
	next := make(chan int)
	var mu sync.Mutex
	var failures error
	var workers sync.WaitGroup
	runCell := func(i int) error {
		result, stored, err := store.get(e.key(cells[i], commit))
		if err == nil && !stored {
			if result, err = e.Run(cells[i]); err == nil {
				result.Commit = commit
				err = store.put(e.key(cells[i], commit), result)
			}
		}
		if err != nil {
			return fmt.Errorf("lab: %v: %w", cells[i], err)
		}
		mu.Lock()
		defer mu.Unlock()
		results[i] = result
		if onResult != nil {
			onResult(result, stored)
		}
		return nil
	}
	for range max(1, jobs) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				if err := runCell(i); err != nil {
					mu.Lock()
					failures = errors.Join(failures, err)
					mu.Unlock()
				}
			}
		}()
	}
	for i := range cells {
		select {
		case next <- i:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	workers.Wait()
	return results, errors.Join(failures, ctx.Err())
}
