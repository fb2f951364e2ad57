package router

import (
	"finchlatch/logic"
	"finchlatch/measure"
)

// Policy makes the decisions of a Router. In operation it is a logic.Controller; others are baselines for comparisons.
type Policy = measure.Policy

var _ Policy = (*logic.Controller)(nil)

// newPolicy returns the policy of a Router, with the Meter around it if there is one.
func (c *Config) newPolicy(settings logic.Settings, seed int64) (Policy, error) {
	if c.Meter == nil {
		return c.newUnmeteredPolicy(settings, seed)
	}
	return c.Meter.Wrap(settings.Host, func(metered logic.Host) (measure.Policy, error) {
		settings.Host = metered
		return c.newUnmeteredPolicy(settings, seed)
	})
}

// newUnmeteredPolicy returns the baseline if there is one, and a logic.Controller otherwise.
func (c *Config) newUnmeteredPolicy(settings logic.Settings, seed int64) (Policy, error) {
	if c.Baseline != nil {
		return c.Baseline(settings, seed)
	}
	return logic.New(settings, seed)
}
