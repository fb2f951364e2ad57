package dimension

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Variation is the day-to-day variation of busy hour traffic: the exponent phi in Wilkinson's variance of daily loads,
// 0.13 a^phi for a mean of a erlangs (Wilkinson 1958, Hill and Neal 1976).
type Variation float64

// Levels of day-to-day variation in common use; with None all days are alike.
const (
	None   Variation = 0
	Low    Variation = 1.5
	Medium Variation = 1.7
	High   Variation = 1.84
)

// wilkinsonFactor is the factor of Wilkinson's variance of daily loads.
const wilkinsonFactor = 0.13

// Variance is the variance of daily loads around their mean in erlangs, less the variance that measuring over a finite hour
// adds: twice the mean over the number of hold times in the hour. It is at least 0.
func (v Variation) Variance(erlangs, holds float64) float64 {
	if v == None || erlangs <= 0 {
		return 0
	}
	variance := wilkinsonFactor * math.Pow(erlangs, float64(v))
	if holds > 0 {
		variance -= 2 * erlangs / holds
	}
	return math.Max(0, variance)
}

// quadratureNodes is the number of nodes of the quadrature over days, at the midpoints of intervals of equal probability.
const quadratureNodes = 16

// dayTraffic is the traffic of one day, modelled by random traffic whose overflow or scaled load is equivalent to it.
type dayTraffic struct {
	mean        float64 // erlangs
	erlangs     float64 // random traffic
	ownCircuits float64 // circuits that the random traffic overflows from (Wilkinson); 0 with Hayward's approximation
	scale       float64 // divisor of circuits and traffic (Hayward); 1 with Wilkinson's method
}

// splitIntoDays returns equally probable days of a stream whose busy hour traffic varies.
func splitIntoDays(stream Stream, variation Variation, holds float64) ([]dayTraffic, error) {
	if !(stream.Mean >= 0) || math.IsInf(stream.Mean, 0) || !(stream.Peakedness > 0) || math.IsInf(stream.Peakedness, 0) {
		return nil, fmt.Errorf("dimension: invalid stream: mean %v, peakedness %v", stream.Mean, stream.Peakedness)
	}
	trafficOf := func(mean float64) dayTraffic {
		if stream.Peakedness > 1+peakedTolerance && mean > 0 {
			if erlangs, ownCircuits, err := EquivalentRandom(Stream{mean, stream.Peakedness}); err == nil {
				return dayTraffic{mean, erlangs, ownCircuits, 1}
			}
		}
		return dayTraffic{mean, mean / stream.Peakedness, 0, stream.Peakedness}
	}
	variance := variation.Variance(stream.Mean, holds)
	if variance == 0 || stream.Mean == 0 {
		return []dayTraffic{trafficOf(stream.Mean)}, nil
	}
	loads := distuv.Gamma{Alpha: stream.Mean * stream.Mean / variance, Beta: stream.Mean / variance}
	days := make([]dayTraffic, quadratureNodes)
	for i := range days {
		days[i] = trafficOf(loads.Quantile((float64(i) + 0.5) / quadratureNodes))
	}
	return days, nil
}

// meanBlocking is the share of the calls of all days that is lost on a number of circuits.
func meanBlocking(days []dayTraffic, circuits float64) float64 {
	lost, offered := 0.0, 0.0
	for _, day := range days {
		lost += day.erlangs * day.scale * ErlangBReal(day.ownCircuits+circuits/day.scale, day.erlangs)
		offered += day.mean
	}
	if offered == 0 {
		return 0
	}
	return lost / offered
}

// BlockingOverDays is the mean blocking, lost calls over offered calls, over days whose loads are Gamma distributed around
// the mean of the stream (Neal and Wilkinson 1976). holds is the length of the busy hour in mean hold times.
func BlockingOverDays(circuits float64, stream Stream, variation Variation, holds float64) (float64, error) {
	if !(circuits >= 0) || math.IsInf(circuits, 0) {
		return 0, fmt.Errorf("dimension: invalid number of circuits: %v", circuits)
	}
	days, err := splitIntoDays(stream, variation, holds)
	if err != nil {
		return 0, err
	}
	return meanBlocking(days, circuits), nil
}

// overDaysTolerance is the largest relative error of CircuitsOverDays.
const overDaysTolerance = 1e-4

// CircuitsOverDays is the least real number of circuits for a mean blocking over days, as in BlockingOverDays.
func CircuitsOverDays(stream Stream, blocking float64, variation Variation, holds float64) (float64, error) {
	if !(blocking > 0 && blocking < 1) {
		return 0, fmt.Errorf("dimension: invalid blocking %v: not between 0 and 1", blocking)
	}
	days, err := splitIntoDays(stream, variation, holds)
	if err != nil || stream.Mean == 0 {
		return 0, err
	}
	low, high := 0.0, math.Max(1, stream.Mean)
	for meanBlocking(days, high) > blocking {
		low, high = high, 1.4*high
	}
	for high-low > overDaysTolerance*high {
		if mid := (low + high) / 2; meanBlocking(days, mid) > blocking {
			low = mid
		} else {
			high = mid
		}
	}
	return high, nil
}
