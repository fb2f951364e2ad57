package simenv

import (
	"math"
	"time"

	"finchlatch/internal/rulecheck"
)

// Plan is the traffic that the trunk groups and processors of a fleet are dimensioned for.
type Plan struct {
	Exchanges int
	Rate      float64 // new callers per second in the whole fleet
	Classes   []Class
}

// Groups and processors are dimensioned for the plan, with some headroom.
const (
	processorHeadroom  = 4.0 / 3 // the calls that fill all groups take three quarters of a processor's time
	setUpsPerCall      = 1.7     // work of a call with its answer and release, in units of a set-up
	spareCircuitFactor = 0.6     // circuits above the mean load, in units of the square root of the mean load
)

// MaxWait is the longest time that a set-up is queued at a processor. The processor refuses one that has waited longer.
const MaxWait = 800 * time.Millisecond

// circuitSeconds returns the mean of width times hold time of a call.
func (p Plan) circuitSeconds() (sum float64) {
	for _, c := range p.Classes {
		sum += c.Share * float64(c.Width) * c.Hold.Seconds()
	}
	return sum
}

// GroupSize returns the number of circuits between two exchanges: enough for the planned calls of both directions, and
// some more.
func (p Plan) GroupSize() int {
	exchanges := float64(p.Exchanges)
	load := p.Rate / exchanges * p.circuitSeconds() * 2 / (exchanges - 1)
	return int(math.Ceil(load + spareCircuitFactor*math.Sqrt(load)))
}

// ProcessorCapacity returns the set-ups per second of a processor that is not cold, for trunk groups of groupSize
// circuits.
func (p Plan) ProcessorCapacity(groupSize int) float64 {
	holdTime, width := 0.0, 0.0
	for _, c := range p.Classes {
		holdTime, width = holdTime+c.Share*c.Hold.Seconds(), width+c.Share*float64(c.Width)
	}
	return processorHeadroom * float64(groupSize*(p.Exchanges-1)) / (holdTime * width)
}

// ServiceTimes returns the service times of a processor with a capacity in set-ups per second.
func (Plan) ServiceTimes(capacity float64) ServiceTimes {
	setUpTime := time.Duration(float64(time.Second) / (capacity * setUpsPerCall))
	return ServiceTimes{SetUp: setUpTime, Answer: setUpTime * 3 / 10, Other: setUpTime / 20}
}

// Parameters returns the parameters of the five rules for callers of these classes.
func (p Plan) Parameters() rulecheck.Parameters {
	parameters := rulecheck.Parameters{Patience: map[byte]time.Duration{}, PointCodes: map[string]uint32{}, Grace: time.Second,
		Release: 200 * time.Millisecond, OverloadWindow: 3 * time.Second, Overload: 2, InitialShare: 0.3, SlowStart: 12 * time.Second}
	for _, c := range p.Classes {
		parameters.Patience[c.Category] = c.Patience
	}
	return parameters
}

// Region returns the region of an exchange, counted from 0. The exchanges are divided among the regions equally and in
// order.
func Region(exchange, exchanges, regions int) int { return exchange * regions / exchanges }

// SignallingDelay returns the one-way signalling delay between two regions.
func SignallingDelay(a, b int) time.Duration {
	if a == b {
		return 2 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// AccessDelay is the one-way signalling delay between callers or lines and their exchange.
const AccessDelay = time.Millisecond

// Delays with which service discovery notifies a call server of a change: the minimum and the random part, and the
// additional time for a change that nobody reported, which discovery has to detect.
const (
	minDiscoveryDelay    = 300 * time.Millisecond
	discoveryDelaySpread = 700 * time.Millisecond
	detectionDelay       = 2 * time.Second
)

// DiscoveryDelay returns the time until one call server is notified of a change; fraction is a random number in [0, 1).
func DiscoveryDelay(fraction float64, unreported bool) time.Duration {
	delay := minDiscoveryDelay + time.Duration(fraction*float64(discoveryDelaySpread))
	if unreported {
		delay += detectionDelay
	}
	return delay
}
