package model

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"finchlatch/config"
	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
)

// shortClasses returns the default classes with times short enough for tests.
func shortClasses() []simenv.Class {
	classes := simenv.DefaultClasses()
	for i := range classes {
		c := &classes[i]
		c.Aim, c.Patience, c.Deadline, c.Hold = 600*time.Millisecond, 1500*time.Millisecond, 3*time.Second, time.Second
	}
	return classes
}

// newSettings returns the settings of a fleet with short times.
func newSettings(exchanges int, rate float64, seed uint64) Settings {
	return Settings{Exchanges: exchanges, Regions: 2, Rate: rate, Seed: seed, Classes: shortClasses(),
		Habits: simenv.Habits{Redials: 2, Pause: 300 * time.Millisecond, HotPause: 100 * time.Millisecond,
			CutReturn: 500 * time.Millisecond, Overstay: 400 * time.Millisecond}}
}

// span converts seconds to the duration type of scripts.
func span(seconds float64) config.Duration { return config.Duration(seconds * float64(time.Second)) }

// playAndCheck plays a script and returns the verdict on the rules, the fleet, and a digest of all records.
func playAndCheck(t testing.TB, settings Settings, script simenv.Script) (rulecheck.Verdict, *Fleet, string) {
	t.Helper()
	var records []rulecheck.Record
	digest := sha256.New()
	settings.OnRecord = func(r rulecheck.Record) {
		records = append(records, r)
		fmt.Fprintf(digest, "%d %d %s %s %v %x\n", r.At, r.Kind, r.Exchange, r.Peer, r.Out, r.Data)
	}
	f, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Play(script, DrainTime); err != nil {
		t.Fatal(err)
	}
	return rulecheck.Check(f.Parameters, records, f.Now()), f, fmt.Sprintf("%x", digest.Sum(nil))
}

// newScript returns a script of five seconds in which one fault of each given kind starts after a second.
func newScript(kinds ...string) simenv.Script {
	steps := map[string]simenv.Step{"jump": {Size: 1.6}, "flood": {Part: 0.25, Size: 4}, "hot_number": {Part: 0.4, Size: 2},
		"region_loss": {Part: 0.5}, "mass_cut": {Part: 0.5}, "silence": {Part: 0.25}, "hang": {Part: 0.25}, "replace": {Part: 0.25},
		"unit": {}, "restart": {Part: 0.5}, "stall": {Part: 0.5, Size: 0.4}, "slow": {Size: 2.5}, "ageing": {Part: 0.25, Size: 8},
		"late_list": {Size: 1}, "flap": {Part: 0.5}, "give_up": {Size: 0.3}, "client_flap": {Part: 0.5},
		"late_answer": {Part: 0.5, Size: 1.49}}
	script := simenv.Script{Len: span(5)}
	for _, kind := range kinds {
		step := steps[kind]
		step.Kind, step.At, step.Len = kind, span(1), span(1.5)
		script.Steps = append(script.Steps, step)
	}
	return script
}

// TestEveryFault plays each kind of fault alone: no rule is violated, and at the end every circuit is free at both ends.
func TestEveryFault(t *testing.T) {
	for kind := range faults {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			v, f, _ := playAndCheck(t, newSettings(5, 50, 3), newScript(kind))
			if len(v.Violations) > 0 {
				t.Errorf("%d violations, the first: %v", len(v.Violations), v.Violations[0])
			}
			if err := f.CheckIdle(); err != nil {
				t.Error(err)
			}
			if v.Calls < 200 || v.Undecoded > 0 {
				t.Errorf("%+v", v)
			}
		})
	}
}

// Runs with the same seed and script are identical to the byte; a run with another seed is different.
func TestReproducibleRun(t *testing.T) {
	script := newScript("jump", "flap", "unit", "hot_number")
	_, _, a := playAndCheck(t, newSettings(5, 60, 4), script)
	_, _, b := playAndCheck(t, newSettings(5, 60, 4), script)
	_, _, c := playAndCheck(t, newSettings(5, 60, 5), script)
	if a != b || a == c {
		t.Errorf("digests %.8s, %.8s, other seed %.8s", a, b, c)
	}
}

// BenchmarkFleet runs a second of simulated time of a fleet with ten calls per second at each exchange.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 40, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			settings := newSettings(n, 10*float64(n), 1)
			f, err := New(settings)
			if err != nil {
				b.Fatal(err)
			}
			for _, node := range f.nodes {
				node.callers.Start()
			}
			f.runUntil(f.now + 2*time.Second)
			before, calls := f.Events(), len(f.outcomes)
			for b.Loop() {
				f.runUntil(f.now + time.Second)
			}
			b.ReportMetric(float64(f.Events()-before)/b.Elapsed().Seconds(), "events/s")
			b.ReportMetric(float64(len(f.outcomes)-calls)/b.Elapsed().Seconds(), "callers/s")
		})
	}
}
