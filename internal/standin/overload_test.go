package standin

import (
	"fmt"
	"testing"
	"time"

	"finchlatch/internal/baseline"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/router"
)

// BenchmarkOverload offers 80% to 200% of the planned traffic to a fleet of 8 call servers on sockets for 12 seconds, with
// the decision module, a policy that admits all calls, and a fixed limit on waiting calls. Processors are simulated.
func BenchmarkOverload(b *testing.B) {
	policies := []struct {
		name string
		make func(logic.Settings, int64) (router.Policy, error)
	}{{"module", nil}, {"admit-all", baseline.DirectOnly}, {"at-most-8", baseline.MaxOutstanding(8)}}
	for _, load := range []float64{0.8, 1, 1.2, 1.5, 2} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("%s/%.0f%%", p.name, 100*load), func(b *testing.B) {
				b.ReportMetric(0, "ns/op")
				for b.Loop() {
					f, err := NewFleet(FleetSettings{Exchanges: 8, Regions: 2, Rate: 80, Seed: 3, Classes: simenv.DefaultClasses(),
						Habits: simenv.DefaultHabits(), Baseline: p.make})
					if err != nil {
						b.Fatal(err)
					}
					script := newScript(12)
					if load != 1 {
						script = newScript(12, simenv.Step{Kind: "jump", Len: span(12), Size: max(load, 0.05)})
					}
					f.Play(script, nil)
					r := f.Report()
					f.Close()
					worst := time.Duration(0)
					for _, c := range r.Classes {
						worst = max(worst, time.Duration(c.SetUp.ValueAtQuantile(99))*time.Microsecond)
					}
					b.ReportMetric(r.Service(), "service")
					b.ReportMetric(worst.Seconds(), "p99-s")
					b.ReportMetric(float64(len(r.Verdict.Violations)), "breaches")
				}
			})
		}
	}
}
