package dimension

import (
	"errors"
	"fmt"
	"math"
)

// Load is the traffic of one class of calls on a group.
type Load struct {
	Erlangs float64 // mean number of simultaneous calls: call rate times mean hold time
	Width   int     // circuits of a call
	Reserve int     // trunk reservation: circuits that calls of the class must leave free; 0: none
	Peaked  float64 // peakedness; 0: 1
}

// validate returns an error for a load with invalid values; class is its index.
func (l Load) validate(class int) error {
	if !(l.Erlangs >= 0) || math.IsInf(l.Erlangs, 0) || l.Width < 1 || l.Reserve < 0 || !(l.Peaked >= 0) || math.IsInf(l.Peaked, 0) {
		return fmt.Errorf("dimension: class %d: invalid load %+v", class, l)
	}
	return nil
}

// maxBlockingCircuits is the largest group that Blocking accepts.
const maxBlockingCircuits = 1 << 20

// Blocking is the blocking of each class on a group, by the Kaufman-Roberts recursion (1981):
// i q(i) = sum over classes k of A_k b_k q(i - b_k), with traffic A_k and width b_k. It is exact for random traffic without
// reservation, whatever the distribution of hold times. Reservation is Roberts' approximation (1983): a class has no calls
// in the states that it may not enter. Peaked traffic is scaled as in Hayward's approximation for one class: circuits and
// traffic are divided by z, the peakedness of all classes together (without Delbrouck's mean).
func Blocking(circuits int, loads []Load) ([]float64, error) {
	if circuits < 0 || circuits > maxBlockingCircuits {
		return nil, fmt.Errorf("dimension: invalid group of %d circuits", circuits)
	}
	for i, load := range loads {
		if err := load.validate(i); err != nil {
			return nil, err
		}
	}
	peakedness := aggregatePeakedness(loads)
	if peakedness > 1+roundingTolerance {
		return haywardBlocking(circuits, loads, peakedness)
	}
	return kaufmanRoberts(circuits, loads), nil
}

// aggregatePeakedness is the peakedness of the circuits that all classes occupy together: variances of independent classes
// add up.
func aggregatePeakedness(loads []Load) float64 {
	randomVariance, variance := 0.0, 0.0
	for _, load := range loads {
		classVariance := load.Erlangs * float64(load.Width*load.Width)
		randomVariance += classVariance
		variance += classVariance * max(1, load.Peaked)
	}
	if randomVariance == 0 {
		return 1
	}
	return variance / randomVariance
}

// haywardBlocking applies the Fredericks-Hayward approximation to several widths. Widths stay whole, so it interpolates
// between the two whole groups next to n/z, each with 1/z of the traffic.
func haywardBlocking(circuits int, loads []Load, peakedness float64) ([]float64, error) {
	scaledCircuits := float64(circuits) / peakedness
	low := int(math.Floor(scaledCircuits))
	scaledLoads := make([]Load, len(loads))
	for i, load := range loads {
		scaledLoads[i] = load
		scaledLoads[i].Erlangs, scaledLoads[i].Peaked = load.Erlangs/peakedness, 0
	}
	lower, upper := kaufmanRoberts(low, scaledLoads), kaufmanRoberts(low+1, scaledLoads)
	for i := range lower {
		// Blocking falls about exponentially with the number of circuits.
		if lower[i] > 0 && upper[i] > 0 {
			lower[i] = math.Exp(math.Log(lower[i]) + (scaledCircuits-float64(low))*(math.Log(upper[i])-math.Log(lower[i])))
		}
	}
	return lower, nil
}

// kaufmanRoberts is the blocking of each class of random traffic by the Kaufman-Roberts recursion with reservation.
func kaufmanRoberts(circuits int, loads []Load) []float64 {
	occupancy, sum := make([]float64, circuits+1), 1.0
	occupancy[0] = 1
	for i := 1; i <= circuits; i++ {
		for _, load := range loads {
			if from := i - load.Width; from >= 0 && i <= circuits-load.Reserve {
				occupancy[i] += load.Erlangs * float64(load.Width) * occupancy[from]
			}
		}
		occupancy[i] /= float64(i)
		if sum += occupancy[i]; sum > rescaleAbove { // only ratios matter
			for j := range occupancy[:i+1] {
				occupancy[j] /= sum
			}
			sum = 1
		}
	}
	blocking := make([]float64, len(loads))
	for class, load := range loads {
		for i := max(0, circuits-load.Width-load.Reserve+1); i <= circuits; i++ {
			blocking[class] += occupancy[i] / sum
		}
		blocking[class] = min(1, blocking[class])
	}
	return blocking
}

// ErrTooWide is returned when a call of a class needs more circuits than a group may have.
var ErrTooWide = errors.New("dimension: a call needs more circuits than the group may have")

// Size is the least number of circuits on which each class has at most its target blocking; more than maxCircuits is an
// error. It is 0 without traffic. targets has one entry for each class; classes with a target of 0 have none.
func Size(loads []Load, targets []float64, maxCircuits int) (int, error) {
	if len(targets) != len(loads) {
		return 0, fmt.Errorf("dimension: %d targets for %d classes", len(targets), len(loads))
	}
	minCircuits, offered := 0, 0.0
	for i, load := range loads {
		if err := load.validate(i); err != nil {
			return 0, err
		}
		if !(targets[i] >= 0 && targets[i] < 1) {
			return 0, fmt.Errorf("dimension: class %d: invalid target blocking %v", i, targets[i])
		}
		if load.Erlangs > 0 && targets[i] > 0 {
			minCircuits = max(minCircuits, load.Width+load.Reserve)
			offered += load.Erlangs * float64(load.Width)
		}
	}
	if offered == 0 {
		return 0, nil
	}
	if minCircuits > maxCircuits {
		return 0, fmt.Errorf("%w: %d circuits, at most %d", ErrTooWide, minCircuits, maxCircuits)
	}
	meetsTargets := func(circuits int) bool {
		blocking, err := Blocking(circuits, loads)
		if err != nil {
			return false
		}
		for i, load := range loads {
			if load.Erlangs > 0 && targets[i] > 0 && blocking[i] > targets[i] {
				return false
			}
		}
		return true
	}
	// Where widths differ, the blocking of a class is not strictly monotonic in the number of circuits. The search goes down
	// from a size that meets all targets and stops at the first that does not, so that the sizes just above the result meet
	// them too and one more circuit breaks no target.
	high := max(minCircuits, int(offered)+1)
	for !meetsTargets(high) {
		if high >= maxCircuits {
			return maxCircuits, fmt.Errorf("dimension: %d circuits do not meet the targets for offered traffic of %.1f circuits", maxCircuits, offered)
		}
		high = min(maxCircuits, high+max(1, high/4))
	}
	for high > minCircuits && meetsTargets(high-1) {
		high--
	}
	return high, nil
}
