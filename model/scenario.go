package model

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"finchlatch/config"
	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
)

// Scenario describes a whole short run: a fleet and its fault schedule. The swarm draws and shrinks scenarios, and they are
// stored as JSON files.
type Scenario struct {
	Exchanges int
	Regions   int
	Rate      float64
	Planned   float64
	Seed      uint64
	MaxWait   time.Duration
	Classes   []simenv.Class
	Habits    simenv.Habits
	Traffic   Traffic
	Script    simenv.Script
}

// ReadScenario reads a scenario in Jsonnet or JSON; name stands for its file in errors.
func ReadScenario(name, text string) (Scenario, error) {
	var s Scenario
	if err := simenv.DecodeJsonnet(name, text, &s); err != nil {
		return s, err
	}
	if len(s.Classes) == 0 {
		return s, fmt.Errorf("%s: classes: at least one is required", name)
	}
	if s.Regions < 0 || s.Regions > s.Exchanges {
		return s, fmt.Errorf("%s: regions: %d is not 0 to the number of exchanges", name, s.Regions)
	}
	return s, s.Script.Check(name)
}

// JSON encodes a scenario such that ReadScenario returns the same one.
func (s Scenario) JSON() []byte {
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		panic(err) // cannot happen: a scenario holds only numbers and strings
	}
	return append(b, '\n')
}

// Settings returns the settings of the scenario's fleet.
func (s Scenario) Settings() Settings {
	return Settings{Exchanges: s.Exchanges, Regions: s.Regions, Rate: s.Rate, PlannedRate: s.Planned, Seed: s.Seed, MaxWait: s.MaxWait,
		Classes: s.Classes, Habits: s.Habits, Traffic: s.Traffic}
}

// Violation is a fault that an oracle found in a run. Runs that fail in the same way have the same Kind.
type Violation struct {
	Kind string // "rule 1" to "rule 5", "books" (circuit accounting), "idle" (circuits not free) or "unread" (not decodable)
	Text string
}

// Error returns the kind and the text.
func (v *Violation) Error() string { return v.Kind + ": " + v.Text }

// accountingChecks is the number of times within a run at which the circuit accounting of all Routers is checked.
const accountingChecks = 5

// Run plays a scenario and returns a Violation if an oracle finds one: a violated rule, a message that cannot be decoded,
// inconsistent circuit accounting, or a circuit or call that is not free at the end. If inject is not nil, it changes the
// fleet's settings first, to test the oracles with faulty call servers.
func (s Scenario) Run(inject func(*Settings)) error {
	settings := s.Settings()
	var records []rulecheck.Record
	settings.OnRecord = func(r rulecheck.Record) { records = append(records, r) }
	if inject != nil {
		inject(&settings)
	}
	f, err := New(settings)
	if err != nil {
		return err
	}
	var accountingErr error
	for i := range accountingChecks {
		f.schedule(time.Duration(s.Script.Len)*time.Duration(i+1)/accountingChecks,
			func() { accountingErr = errors.Join(accountingErr, f.CheckCircuitAccounting()) })
	}
	if err := f.Play(s.Script, DrainTime); err != nil {
		return err
	}
	verdict := rulecheck.Check(f.Parameters, records, f.Now())
	if len(verdict.Violations) > 0 {
		violation := verdict.Violations[0]
		return &Violation{fmt.Sprintf("rule %d", violation.Rule),
			fmt.Sprintf("%d violations, the first: %v", len(verdict.Violations), violation)}
	}
	if verdict.Undecoded > 0 {
		return &Violation{"unread", fmt.Sprintf("%d messages at the taps cannot be read", verdict.Undecoded)}
	}
	if accountingErr != nil {
		return &Violation{"books", accountingErr.Error()}
	}
	if err := f.CheckIdle(); err != nil {
		return &Violation{"idle", err.Error()}
	}
	return nil
}

// scenarioStream is the stream of the random numbers that a scenario is drawn with.
const scenarioStream = 99

// DrawScenario draws the scenario of a seed.
func DrawScenario(seed uint64) Scenario {
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	duration := func(low, high float64) time.Duration {
		return time.Duration(between(low, high) * float64(time.Second)).Round(time.Millisecond)
	}
	s := Scenario{Exchanges: 3 + rng.IntN(5), Regions: 1 + rng.IntN(3), Seed: seed, Classes: simenv.DefaultClasses(),
		Habits: simenv.Habits{Redials: rng.IntN(4), Pause: duration(0.1, 1), HotPause: 100 * time.Millisecond, CutReturn: duration(0.1, 2),
			Overstay: 400 * time.Millisecond}}
	s.Planned = float64(int(between(5, 20) * float64(s.Exchanges)))
	s.Rate = s.Planned * []float64{0.7, 1, 1.3, 2, 4}[rng.IntN(5)]
	s.MaxWait = []time.Duration{0, simenv.MaxWait, simenv.MaxWait / 4}[rng.IntN(3)]
	s.Traffic.Spread = []float64{0, 0, 0.7}[rng.IntN(3)]
	for i := range s.Classes {
		class := &s.Classes[i]
		class.Aim = duration(0.3, 1.2)
		class.Patience = time.Duration(between(1.3, 3) * float64(class.Aim)).Round(time.Millisecond)
		class.Deadline, class.Hold = 3*class.Patience, duration(0.3, 3)
		class.Width = 1 + i*(1+rng.IntN(4))
		class.Holding = []simenv.Holding{simenv.Exponential, simenv.Constant, simenv.Lognormal, simenv.Hyper}[rng.IntN(4)]
	}
	kinds := simenv.FaultKinds()
	length := duration(3, 7)
	s.Script = simenv.Script{Len: config.Duration(length)}
	for range 1 + rng.IntN(5) {
		s.Script.Steps = append(s.Script.Steps, simenv.DrawStep(rng, kinds[rng.IntN(len(kinds))], length))
	}
	return s
}

// Shrink reduces a failing scenario as long as it fails in the same way: its faults, length, exchanges, load, classes and
// habits. It plays at most maxRuns scenarios, and returns the smallest failing one with its error. inject is as in Run.
func Shrink(s Scenario, maxRuns int, inject func(*Settings)) (Scenario, error) {
	found := s.Run(inject)
	violationKind := func(err error) string {
		var violation *Violation
		if errors.As(err, &violation) {
			return violation.Kind
		}
		return ""
	}
	want := violationKind(found)
	if want == "" {
		return s, found
	}
	for smaller := true; smaller; {
		smaller = false
		for _, candidate := range smallerScenarios(s) {
			if maxRuns--; maxRuns < 0 {
				return s, found
			}
			if err := candidate.Run(inject); violationKind(err) == want {
				s, found, smaller = candidate, err, true
				break
			}
		}
	}
	return s, found
}

// smallerScenarios returns scenarios that are reduced by one step, those with the largest reductions first.
func smallerScenarios(s Scenario) (candidates []Scenario) {
	add := func(change func(smaller *Scenario)) {
		smaller := s
		smaller.Classes, smaller.Script.Steps = slices.Clone(s.Classes), slices.Clone(s.Script.Steps)
		change(&smaller)
		candidates = append(candidates, smaller)
	}
	for i := range s.Script.Steps {
		add(func(smaller *Scenario) { smaller.Script.Steps = slices.Delete(smaller.Script.Steps, i, i+1) })
	}
	if s.Exchanges > 2 {
		add(func(smaller *Scenario) {
			smaller.Exchanges--
			smaller.Regions = min(smaller.Regions, smaller.Exchanges)
			smaller.Rate *= float64(smaller.Exchanges) / float64(s.Exchanges)
			smaller.Planned *= float64(smaller.Exchanges) / float64(s.Exchanges)
		})
	}
	if s.Regions > 1 {
		add(func(smaller *Scenario) { smaller.Regions = 1 })
	}
	if s.Rate > 1 {
		add(func(smaller *Scenario) { smaller.Rate /= 2 })
	}
	if len(s.Classes) > 1 {
		add(func(smaller *Scenario) { smaller.Classes = smaller.Classes[1:]; smaller.Classes[0].Share = 1 })
		add(func(smaller *Scenario) {
			smaller.Classes = smaller.Classes[:len(smaller.Classes)-1]
			smaller.Classes[0].Share = 1
		})
	}
	if s.Habits.Redials > 0 {
		add(func(smaller *Scenario) { smaller.Habits.Redials = 0 })
	}
	if s.Traffic.Spread > 0 {
		add(func(smaller *Scenario) { smaller.Traffic = Traffic{} })
	}
	if s.MaxWait > 0 {
		add(func(smaller *Scenario) { smaller.MaxWait = 0 })
	}
	last := time.Duration(0)
	for i, step := range s.Script.Steps {
		last = max(last, time.Duration(step.At+step.Len))
		if step.Part > 0.1 {
			add(func(smaller *Scenario) { smaller.Script.Steps[i].Part /= 2 })
		}
		if step.Len > config.Duration(200*time.Millisecond) {
			add(func(smaller *Scenario) { smaller.Script.Steps[i].Len /= 2 })
		}
	}
	if next := max(last+time.Second, time.Duration(s.Script.Len)*3/4); next < time.Duration(s.Script.Len)*9/10 {
		add(func(smaller *Scenario) { smaller.Script.Len = config.Duration(next) })
	}
	return candidates
}
