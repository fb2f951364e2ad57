package router

import (
	"time"

	"finchlatch/logic"
)

// Policy is what a Router asks. The product has one, logic.Controller; others are baselines to compare it with.
type Policy interface {
	List(now time.Duration, kind logic.ListKind, list []logic.Office)
	Report(now time.Duration, r logic.Report)
	Offered(now time.Duration, c logic.Call)
	Stands(now time.Duration, o logic.Outcome)
	Outcome(now time.Duration, o logic.Outcome)
	HungUp(now time.Duration, call uint64)
	Timer(now time.Duration, mark string)
}

var _ Policy = (*logic.Controller)(nil)

// newPolicy makes what the Router asks.
func (c *Config) newPolicy(s logic.Settings, seed int64) (Policy, error) {
	if c.Baseline != nil {
		return c.Baseline(s, seed)
	}
	return logic.New(s, seed)
}
