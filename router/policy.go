package router

import (
	"finchlatch/logic"
	"finchlatch/measure"
)

// Policy is what a Router asks. The product has one, logic.Controller; others are baselines to compare it with.
type Policy = measure.Policy

var _ Policy = (*logic.Controller)(nil)

// newPolicy makes what the Router asks.
func (c *Config) newPolicy(settings logic.Settings, seed int64) (Policy, error) {
	if c.Meter == nil {
		return c.newUnmeteredPolicy(settings, seed)
	}
	return c.Meter.Around(settings.Host, func(metered logic.Host) (measure.Policy, error) {
		settings.Host = metered
		return c.newUnmeteredPolicy(settings, seed)
	})
}

func (c *Config) newUnmeteredPolicy(settings logic.Settings, seed int64) (Policy, error) {
	if c.Baseline != nil {
		return c.Baseline(settings, seed)
	}
	return logic.New(settings, seed)
}
