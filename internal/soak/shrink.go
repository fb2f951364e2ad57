package soak

import "slices"

// Shrink removes faults from a Scenario as long as it still fails. Runs on sockets differ from one another: a fault is removed
// only if the run without it has failed.
func Shrink(scenario *Scenario, fails func(*Scenario) bool) *Scenario {
	shrunk := *scenario
	for i := 0; i < len(shrunk.Faults); {
		candidate := shrunk
		candidate.Faults = slices.Delete(slices.Clone(shrunk.Faults), i, i+1)
		if fails(&candidate) {
			shrunk = candidate
		} else {
			i++
		}
	}
	return &shrunk
}
