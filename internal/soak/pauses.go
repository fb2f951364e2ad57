package soak

import (
	"time"

	"finchlatch/internal/rulecheck"
)

// Limits on the pauses of this process that are reported: callers, offices and proxies all stand still in them.
const (
	pauseSampleInterval = 2 * time.Millisecond
	minPause            = 20 * time.Millisecond
)

// watchPauses tells the checker of the times in which this process did not run, until the scenario is over. What a call server wrote
// before such a pause is observed after it.
func (f *fleet) watchPauses() {
	defer f.wg.Done()
	for before := f.env.Now(); ; {
		select {
		case <-f.ended:
			return
		case <-time.After(pauseSampleInterval):
		}
		now := f.env.Now()
		if paused := now - before - pauseSampleInterval; paused >= minPause {
			f.reportPause(before, now, paused)
		}
		before = now
	}
}

// reportPause tells the checker that no call server could be observed for some time.
func (f *fleet) reportPause(from, until, paused time.Duration) {
	f.counts.add(pausesOfThisProcess, 1)
	f.env.Report(func(_ time.Duration, checker *rulecheck.PlatformChecker) {
		for _, n := range f.nodes {
			checker.AddStall(n.name, from, until, paused)
		}
	})
}
