package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"finchlatch/config"
	"finchlatch/internal/rulecheck"
	"finchlatch/internal/standin"
)

// Swarm plays one short run over a random fleet with random troubles, all drawn from the seed, and tells what went wrong:
// a rule broken, or a circuit that is not free after quiet.
func Swarm(seed uint64) error {
	set, script := Draw(seed)
	var records []rulecheck.Record
	set.Records = func(r rulecheck.Record) { records = append(records, r) }
	f, err := New(set)
	if err != nil {
		return err
	}
	if err := f.Play(script, Quiet); err != nil {
		return err
	}
	v := rulecheck.Check(f.Figures, records, f.Now())
	if len(v.Breaches) > 0 {
		return fmt.Errorf("%d breaches, the first: %v", len(v.Breaches), v.Breaches[0])
	}
	if f.Fallen() > 0 {
		return nil // a processor that fell over answers nothing, so circuits toward it wait for ever
	}
	return f.Idle()
}

// Draw makes the fleet and the script of a seed.
func Draw(seed uint64) (Settings, standin.Script) {
	rng := rand.New(rand.NewPCG(seed, 99))
	between := func(least, most float64) float64 { return least + rng.Float64()*(most-least) }
	exchanges := 3 + rng.IntN(5)
	set := Settings{Exchanges: exchanges, Regions: 1 + rng.IntN(3), Rate: between(5, 20) * float64(exchanges), Seed: seed,
		Classes: standin.DefaultClasses(), Habits: standin.Habits{Redials: rng.IntN(4), Pause: time.Duration(between(0.1, 1) * float64(time.Second)),
			HotPause: 100 * time.Millisecond, CutReturn: time.Duration(between(0.1, 2) * float64(time.Second)), Overstay: 400 * time.Millisecond}}
	for i := range set.Classes {
		c := &set.Classes[i]
		c.Aim = time.Duration(between(0.3, 1.2) * float64(time.Second))
		c.Patience = time.Duration(between(1.3, 3) * float64(c.Aim))
		c.Deadline = 3 * c.Patience
		c.Hold = time.Duration(between(0.3, 3) * float64(time.Second))
		c.Width = 1 + i*(1+rng.IntN(4))
	}
	kinds := make([]string, 0, len(troubles))
	for k := range troubles {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	script := standin.Script{Len: config.Span(between(3, 7) * float64(time.Second))}
	for range 1 + rng.IntN(5) {
		script.Steps = append(script.Steps, standin.Step{Kind: kinds[rng.IntN(len(kinds))], At: config.Span(between(0.2, 3) * float64(time.Second)),
			Len: config.Span(between(0.3, 3) * float64(time.Second)), Part: between(0.05, 0.8), Size: between(0.2, 2)})
	}
	return set, script
}
