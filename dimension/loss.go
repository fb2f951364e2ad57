// Package dimension computes how many circuits trunk groups need for their offered traffic. It has the classic loss formulas
// and their inverses: Erlang B, the equivalent random method and Hayward's approximation for peaked traffic, the
// Kaufman-Roberts recursion for calls of several widths, day-to-day variation, and groups that overflow to a tandem. It does
// no I/O and has no clock and no random numbers.
//
// In the formulas of its comments a is traffic in erlangs, n a whole and x a real number of circuits, B blocking and z
// peakedness.
package dimension

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/mathext"
)

// roundingTolerance is the largest rounding error of real numbers of circuits, and of peakedness.
const roundingTolerance = 1e-9

// ErlangB is the blocking of circuits that are offered random traffic (Erlang 1917), by the recursion
// B(n) = a B(n-1) / (n + a B(n-1)). It is NaN for invalid arguments.
func ErlangB(circuits int, erlangs float64) float64 { return ErlangBReal(float64(circuits), erlangs) }

// ErlangBReal is ErlangB for a real number of circuits, at least 0, by Fortet's analytic continuation:
// 1/B(x, a) = a times the integral of e^(-a y) (1+y)^x over y >= 0. Hayward's approximation needs it.
func ErlangBReal(circuits, erlangs float64) float64 {
	if !(circuits >= 0) || !(erlangs >= 0) || math.IsInf(circuits, 0) || math.IsInf(erlangs, 0) {
		return math.NaN()
	}
	if erlangs == 0 {
		if circuits == 0 {
			return 1
		}
		return 0
	}
	fraction := circuits - math.Floor(circuits)
	blocking := erlangBFraction(fraction, erlangs)
	for i := fraction + 1; i <= circuits+roundingTolerance; i++ {
		blocking = erlangs * blocking / (i + erlangs*blocking)
		if blocking == 0 {
			return 0
		}
	}
	return blocking
}

// asymptoticErlangs is the traffic in erlangs above which the asymptotic series of the incomplete gamma function is as exact
// as its evaluation.
const asymptoticErlangs = 300

// erlangBFraction is B(f, a) for a fraction 0 <= f < 1 of a circuit: a^f e^-a over the upper incomplete gamma function of
// f+1 at a.
func erlangBFraction(fraction, erlangs float64) float64 {
	if fraction == 0 {
		return 1
	}
	if erlangs > asymptoticErlangs {
		return 1 / (1 + fraction/erlangs + fraction*(fraction-1)/(erlangs*erlangs) + fraction*(fraction-1)*(fraction-2)/(erlangs*erlangs*erlangs))
	}
	logGamma, _ := math.Lgamma(fraction + 1)
	return math.Exp(fraction*math.Log(erlangs)-erlangs-logGamma) / mathext.GammaIncRegComp(fraction+1, erlangs)
}

// ErlangBCircuits is the least real number of circuits on which random traffic has at most the given blocking.
func ErlangBCircuits(erlangs, blocking float64) (float64, error) {
	if !(erlangs >= 0) || math.IsInf(erlangs, 0) || !(blocking > 0 && blocking < 1) {
		return 0, fmt.Errorf("dimension: invalid traffic %v erlangs or blocking %v: want 0 or more, and between 0 and 1", erlangs, blocking)
	}
	if erlangs == 0 {
		return 0, nil
	}
	low, high := 0.0, 1.0
	for ErlangBReal(high, erlangs) > blocking {
		low, high = high, 2*high
	}
	return bisect(low, high, func(circuits float64) bool { return ErlangBReal(circuits, erlangs) > blocking }), nil
}

// ErlangBTraffic is the largest random traffic in erlangs that circuits can be offered at the given blocking.
func ErlangBTraffic(circuits, blocking float64) (float64, error) {
	if !(circuits > 0) || math.IsInf(circuits, 0) || !(blocking > 0 && blocking < 1) {
		return 0, fmt.Errorf("dimension: invalid number of circuits %v or blocking %v: want more than 0, and between 0 and 1", circuits, blocking)
	}
	high := circuits
	for ErlangBReal(circuits, high) < blocking {
		high *= 2
	}
	return bisect(0, high, func(erlangs float64) bool { return ErlangBReal(circuits, erlangs) < blocking }), nil
}

// bisectTolerance is the largest error of bisect, relative to results above 1.
const bisectTolerance = 1e-9

// bisect finds the value between low and high from which on a condition no longer holds; it must hold at low.
func bisect(low, high float64, condition func(x float64) bool) float64 {
	for high-low > bisectTolerance*math.Max(1, high) {
		if mid := (low + high) / 2; condition(mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// Stream describes a traffic stream by the mean number of circuits that it would occupy on an unlimited group, and by its
// peakedness: the variance of that number over its mean. Random traffic has a peakedness of 1, overflow traffic more,
// traffic carried by a group less.
type Stream struct {
	Mean, Peakedness float64
}

// Overflow is the overflow of random traffic from a number of circuits: mean m = a B(x, a) and, by Riordan's formula (in
// Wilkinson 1956), variance m (1 - m + a / (x + 1 + m - a)).
func Overflow(circuits, erlangs float64) Stream {
	mean := erlangs * ErlangBReal(circuits, erlangs)
	if mean <= 0 {
		return Stream{0, 1}
	}
	return Stream{mean, math.Max(1, 1-mean+erlangs/(circuits+1+mean-erlangs))}
}

// Sum combines independent streams: their means and variances add up.
func Sum(streams ...Stream) Stream {
	mean, variance := 0.0, 0.0
	for _, stream := range streams {
		mean, variance = mean+stream.Mean, variance+stream.Mean*stream.Peakedness
	}
	if mean == 0 {
		return Stream{0, 1}
	}
	return Stream{mean, variance / mean}
}

// peakedTolerance is how far peakedness may exceed 1 for traffic to be treated as random.
const peakedTolerance = 1e-6

// Newton's method in EquivalentRandom.
const (
	maxNewtonSteps   = 60
	newtonTolerance  = 1e-8 // error of the mean, relative to it, at which the iteration ends
	newtonDerivative = 1e-6 // step of the difference quotient, relative to the traffic
	maxNewtonError   = 1e-4 // largest error of the mean, relative to it, that a result may have
)

// ErrSmooth is returned for a stream that is smoother than random traffic: no overflow is.
var ErrSmooth = errors.New("dimension: the traffic is smoother than random")

// EquivalentRandom finds the random traffic and circuits whose overflow has the mean and variance of a stream: Wilkinson's
// equivalent random method (1956). It starts from Rapp's approximation (1964) and solves Riordan's formula for the traffic
// by Newton's method; the circuits follow from the variance.
func EquivalentRandom(stream Stream) (erlangs, circuits float64, err error) {
	if !(stream.Mean > 0) || math.IsInf(stream.Mean, 0) || math.IsNaN(stream.Peakedness) || stream.Peakedness < 1-roundingTolerance {
		return 0, 0, fmt.Errorf("%w: mean %v, peakedness %v", ErrSmooth, stream.Mean, stream.Peakedness)
	}
	peakedness := math.Max(1, stream.Peakedness)
	if peakedness < 1+peakedTolerance {
		return stream.Mean, 0, nil
	}
	circuitsAt := func(erlangs float64) float64 {
		return math.Max(0, erlangs*(stream.Mean+peakedness)/(stream.Mean+peakedness-1)-stream.Mean-1)
	}
	excess := func(erlangs float64) float64 { return erlangs*ErlangBReal(circuitsAt(erlangs), erlangs) - stream.Mean }
	erlangs = stream.Mean*peakedness + 3*peakedness*(peakedness-1)
	for range maxNewtonSteps {
		difference := excess(erlangs)
		if math.Abs(difference) < newtonTolerance*stream.Mean {
			break
		}
		step := newtonDerivative * erlangs
		slope := (excess(erlangs+step) - difference) / step
		if slope == 0 || math.IsNaN(slope) {
			break
		}
		erlangs = math.Max(erlangs-difference/slope, erlangs/2)
	}
	if difference := excess(erlangs); math.IsNaN(difference) || math.Abs(difference) > maxNewtonError*stream.Mean {
		return 0, 0, fmt.Errorf("dimension: no equivalent random traffic found for mean %v, peakedness %v", stream.Mean, stream.Peakedness)
	}
	return erlangs, circuitsAt(erlangs), nil
}

// Wilkinson is the blocking of a stream by the equivalent random method: the overflow of the equivalent random traffic from
// its own circuits and the given ones together, over the mean of the stream.
func Wilkinson(circuits float64, stream Stream) (float64, error) {
	erlangs, ownCircuits, err := EquivalentRandom(stream)
	if err != nil {
		return 0, err
	}
	return erlangs * ErlangBReal(ownCircuits+circuits, erlangs) / stream.Mean, nil
}

// Hayward is the blocking of a stream by Hayward's approximation (in Fredericks 1980): that of random traffic with 1/z of
// the mean on 1/z of the circuits. It is also valid for smooth streams.
func Hayward(circuits float64, stream Stream) float64 {
	if !(stream.Peakedness > 0) {
		return math.NaN()
	}
	return ErlangBReal(circuits/stream.Peakedness, stream.Mean/stream.Peakedness)
}

// Loss is the blocking of a stream: by Wilkinson's method where it is peaked, and by Hayward's approximation where it is
// smooth or Wilkinson's method finds no equivalent traffic.
func Loss(circuits float64, stream Stream) float64 {
	if stream.Peakedness > 1+peakedTolerance {
		if blocking, err := Wilkinson(circuits, stream); err == nil {
			return blocking
		}
	}
	return Hayward(circuits, stream)
}

// CircuitsForStream is the least real number of circuits on which a stream has at most the given blocking.
func CircuitsForStream(stream Stream, blocking float64) (float64, error) {
	if !(stream.Peakedness > 0) || math.IsInf(stream.Peakedness, 0) {
		return 0, fmt.Errorf("dimension: invalid peakedness %v", stream.Peakedness)
	}
	if stream.Peakedness > 1+peakedTolerance && stream.Mean > 0 {
		if erlangs, ownCircuits, err := EquivalentRandom(stream); err == nil && blocking > 0 && blocking < 1 {
			high := 1.0
			losesMore := func(circuits float64) bool {
				return erlangs*ErlangBReal(ownCircuits+circuits, erlangs) > blocking*stream.Mean
			}
			for losesMore(high) {
				high *= 2
			}
			return bisect(0, high, losesMore), nil
		}
	}
	circuits, err := ErlangBCircuits(stream.Mean/stream.Peakedness, blocking)
	return circuits * stream.Peakedness, err
}
