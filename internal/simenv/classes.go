// Package simenv simulates the environment of a call server: callers, subscriber lines, the processor of an exchange and
// the state of signalling relations, with fault schedules, the plan that a fleet is dimensioned for, and the report of
// call outcomes. It has no clock, socket or goroutine of its own: package standin drives it on sockets, and package model
// in simulated time.
package simenv

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Holding is the distribution of hold times around the mean of their class.
type Holding string

// Distributions of hold times; an empty one is Exponential.
const (
	Exponential Holding = "exponential"
	Constant    Holding = "constant"
	Lognormal   Holding = "lognormal" // coefficient of variation 1.5, as observed on telephone calls
	Hyper       Holding = "hyper"     // hyperexponential: about one call in nine is long; squared coefficient of variation 4
)

// Class describes a class of calls from the callers' point of view.
type Class struct {
	Name      string
	Share     float64       // of all calls
	Category  byte          // calling party's category in the IAM
	Width     int           // circuits of a call
	Worth     float64       // what a call earns that is established within Aim
	LateShare float64       // part of Worth that a later one earns
	Aim       time.Duration // wanted set-up time
	Patience  time.Duration // time that a caller waits in one try
	Deadline  time.Duration // time that a caller takes for all tries
	Hold      time.Duration // mean hold time
	Holding   Holding
}

// drawHoldTime draws a hold time.
func (c Class) drawHoldTime(rng *rand.Rand) time.Duration {
	mean := float64(c.Hold)
	switch c.Holding {
	case Constant:
		return c.Hold
	case Lognormal:
		const squaredVariation = 1.5 * 1.5
		sigma := math.Sqrt(math.Log1p(squaredVariation))
		return time.Duration(mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
	// Two phases with probabilities p and 1-p and balanced means: the squared coefficient of variation is
	// 1/(2p(1-p)) - 1 = 4.
	case Hyper:
		const longShare = 0.112702 // p = (1 - sqrt(1-2/(4+1)))/2
		share := longShare
		if rng.Float64() >= longShare {
			share = 1 - longShare
		}
		return time.Duration(rng.ExpFloat64() * mean / (2 * share))
	}
	return time.Duration(rng.ExpFloat64() * mean)
}

// Habits describe how callers redial.
type Habits struct {
	Redials   int           // maximum number of tries after the first
	Pause     time.Duration // mean pause before a redial
	HotPause  time.Duration // mean pause before a redial of a hot number
	CutReturn time.Duration // longest pause after a dropped call
	Overstay  time.Duration // time that callers wait beyond their patience, so that answers that come too late are seen
}

// DefaultHabits returns the habits of ordinary callers: up to two redials, after a shorter pause for a hot number.
func DefaultHabits() Habits {
	return Habits{Redials: 2, Pause: time.Second, HotPause: 300 * time.Millisecond, CutReturn: 2 * time.Second,
		Overstay: 300 * time.Millisecond}
}

// DefaultClasses returns a common class and a rare one whose calls are wider and worth more.
func DefaultClasses() []Class {
	return []Class{
		{Name: "status-check", Share: 0.88, Category: 10, Width: 1, Worth: 1, LateShare: 0.25, Aim: 1200 * time.Millisecond,
			Patience: 3 * time.Second, Deadline: 9 * time.Second, Hold: 4 * time.Second},
		{Name: "receipt-review", Share: 0.12, Category: 11, Width: 2, Worth: 3, LateShare: 0.25, Aim: 1500 * time.Millisecond,
			Patience: 3 * time.Second, Deadline: 9 * time.Second, Hold: 4 * time.Second},
	}
}

// Outcome is the result of one caller's tries.
type Outcome struct {
	Class       int           // index of the class
	StartedAt   time.Duration // time of the first try
	Established bool          // a call was established
	SetUp       time.Duration // from the first try until the first answer
	Dropped     bool          // the established call was dropped, and no redial established another one
	Refused     int           // tries refused: no free circuit, no association, congestion, or no route from the look-up
	Failed      int           // tries that failed for another cause
	Abandoned   int           // tries in which the caller hung up before the answer
	Hot         bool          // the caller called the hot number
	Tries       int           // tries in total
}

// Worth returns the worth that the outcome earned, and the worth that its caller offered.
func (o Outcome) Worth(class Class) (earned, offered float64) {
	offered = class.Worth
	if o.Hot {
		offered /= 10 // calls to a hot number are worth a tenth
	}
	switch {
	case !o.Established || o.Dropped:
	case o.SetUp <= class.Aim:
		earned = offered
	default:
		earned = offered * class.LateShare
	}
	return earned, offered
}

// String formats an outcome in one line.
func (o Outcome) String() string {
	return fmt.Sprintf("class %d stood %v in %v cut %v refused %d failed %d hung %d", o.Class, o.Established, o.SetUp, o.Dropped, o.Refused,
		o.Failed, o.Abandoned)
}
