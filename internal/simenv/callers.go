package simenv

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"finchlatch/isup"
)

// Association is the signalling association of callers or lines with their call server, together with its clock.
type Association interface {
	Now() time.Duration
	// After runs f once, after the delay d and never concurrently with other work of the same end.
	After(d time.Duration, f func())
	// Send sends a message. It returns an error while the association is not active.
	Send(m *isup.Message) error
}

// Callers simulates the counters at one exchange: they offer calls, wait for the answer, hold the call, hang up and
// redial. They are connected to their call server as an ASP, over circuits that only they seize.
type Callers struct {
	Classes []Class
	Habits  Habits
	// PickNumber draws the called number of a new caller, and whether it is the hot number.
	PickNumber func(rng *rand.Rand) (number string, hot bool)
	// OnDone is called once for each caller, with the outcome of all its tries.
	OnDone func(Outcome)
	// LookUp resolves a number before the set-up; nil: no try is preceded by a look-up. An empty route refuses the call.
	LookUp func(category byte, number string, then func(route string))
	// LookUpShare is the share of the tries that start with a look-up.
	LookUpShare float64
	// PatienceFactor is the part of their patience that callers wait at present; 0: all of it.
	PatienceFactor float64
	// Sources is the number of callers, of whom only idle ones make calls; 0: an unlimited number.
	Sources int
	// T1 is the time after which an unconfirmed REL is repeated.
	T1 time.Duration
	// RateProfile returns the factor by which the call rate is multiplied at a time; nil: 1 at all times.
	RateProfile func(now time.Duration) float64

	association   Association
	id            uint32
	demandRand    *rand.Rand // for draws that do not depend on the router: called numbers, arrival times, hold times
	behaviourRand *rand.Rand // for all other draws
	freeCircuits  circuitPool
	tries         map[uint16]*setUpTry // by the first circuit
	setUpCount    uint64               // number of set-ups, which makes calling numbers unique
	rate          float64              // new callers per second, before RateProfile
	nextArrival   time.Duration        // when the next caller makes its first try
	offering      bool                 // between Start and Stop
	unfinished    int                  // callers for whom OnDone has not been called
}

// caller is one demand for a call, with all its tries.
type caller struct {
	Outcome
	number   string
	holdTime time.Duration
	finished bool // OnDone has been called
}

// setUpTry is one set-up of a caller. A wide call holds several circuits, and all its messages name the first one.
type setUpTry struct {
	caller      *caller
	circuits    []uint16
	established bool // answered
	releasing   bool // REL sent, RLC outstanding
}

// defaultT1 is the lower limit of T1 in Q.764.
const defaultT1 = 15 * time.Second

// NewCallers creates the counters of an exchange with circuits of their own. The id makes their calling numbers different
// from those of other exchanges.
func NewCallers(association Association, id uint32, circuits []uint16, seed, stream uint64) *Callers {
	c := &Callers{association: association, id: id, demandRand: rand.New(rand.NewPCG(seed, stream)),
		behaviourRand: rand.New(rand.NewPCG(seed, stream+1<<32)), tries: map[uint16]*setUpTry{}, T1: defaultT1}
	for _, cic := range circuits {
		c.freeCircuits.put(cic)
	}
	return c
}

// SetRate sets the number of new callers per second.
func (c *Callers) SetRate(perSecond float64) { c.rate = perSecond }

// Start offers calls until Stop, as a Poisson process whose rate follows SetRate and RateProfile.
func (c *Callers) Start() {
	c.offering, c.nextArrival = true, c.association.Now()+c.interarrivalTime()
	c.scheduleArrivals()
}

// scheduleArrivals waits for the next arrival, and then for those that follow until Stop.
func (c *Callers) scheduleArrivals() {
	c.association.After(max(0, c.nextArrival-c.association.Now()), func() {
		for now := c.association.Now(); c.offering && c.nextArrival <= now; c.nextArrival += c.interarrivalTime() {
			if c.currentRate() > 0 && c.drawIdle() {
				c.arrive()
			}
		}
		if c.offering {
			c.scheduleArrivals()
		}
	})
}

// drawIdle draws whether the source of an arrival is idle. With a limited number of sources each idle one calls at the
// total rate divided by their number (Engset's model).
func (c *Callers) drawIdle() bool {
	return c.Sources == 0 || c.behaviourRand.IntN(c.Sources) >= c.unfinished
}

// currentRate returns the number of new callers per second at present.
func (c *Callers) currentRate() float64 {
	if c.RateProfile != nil {
		return c.rate * c.RateProfile(c.association.Now())
	}
	return c.rate
}

// Callers check at these intervals whether the rate has changed: idlePollInterval while the rate is zero, and
// maxInterarrivalTime at a very low rate.
const (
	idlePollInterval    = 50 * time.Millisecond
	maxInterarrivalTime = 100 * time.Second
)

// interarrivalTime draws the time until the next arrival.
func (c *Callers) interarrivalTime() time.Duration {
	rate := c.currentRate()
	if rate <= 0 {
		return idlePollInterval
	}
	return time.Duration(min(c.demandRand.ExpFloat64()/rate, maxInterarrivalTime.Seconds()) * float64(time.Second))
}

// Stop ends the arrival of new callers. Callers that exist go on, redials included.
func (c *Callers) Stop() { c.offering = false }

// ActiveCount returns the number of callers that are neither finished nor in an established call.
func (c *Callers) ActiveCount() int {
	n := c.unfinished
	for _, t := range c.tries {
		if t.established && !t.releasing {
			n--
		}
	}
	return n
}

// FinishEstablished reports the callers whose calls are still established as done.
func (c *Callers) FinishEstablished() {
	for _, t := range c.tries {
		if t.established && !t.releasing {
			c.finish(t.caller)
		}
	}
}

// arrive creates a caller of a random class, who makes its first try at once.
func (c *Callers) arrive() {
	caller := &caller{}
	draw := c.demandRand.Float64()
	for i, class := range c.Classes {
		if caller.Class = i; draw < class.Share {
			break
		}
		draw -= class.Share
	}
	caller.number, caller.Hot = c.PickNumber(c.demandRand)
	caller.holdTime = c.Classes[caller.Class].drawHoldTime(c.demandRand)
	caller.StartedAt = c.association.Now()
	c.unfinished++
	c.dial(caller)
}

// dial makes one try: a set-up, for a share of the tries after a look-up.
func (c *Callers) dial(caller *caller) {
	if c.LookUp == nil || c.behaviourRand.Float64() >= c.LookUpShare {
		c.setUp(caller, caller.number)
		return
	}
	c.LookUp(c.Classes[caller.Class].Category, caller.number, func(route string) {
		if route != "" {
			c.setUp(caller, route)
			return
		}
		caller.Tries++
		caller.Refused++
		c.redialOrGiveUp(caller, false)
	})
}

// setUp seizes circuits and sends the IAM, and hangs up if there is no answer within the caller's patience. Without free
// circuits or an active association the try counts as refused.
func (c *Callers) setUp(caller *caller, number string) {
	class := c.Classes[caller.Class]
	circuits := c.freeCircuits.take(class.Width)
	if circuits == nil {
		caller.Refused++
		c.redialOrGiveUp(caller, false)
		return
	}
	caller.Tries++
	try := &setUpTry{caller: caller, circuits: circuits}
	c.setUpCount++
	iam, err := isup.NewSetup(circuits[0], isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1},
		Category: class.Category, Width: class.Width, CircuitMap: isup.CircuitMap(circuits), HopCounter: -1})
	if err == nil {
		iam.Set(isup.ParamCallingNumber, callingNumber(c.id, c.setUpCount)...)
		err = c.association.Send(iam)
	}
	if err != nil { // the association is not active, so the IAM was not sent
		c.releaseCircuits(try)
		caller.Refused++
		c.redialOrGiveUp(caller, false)
		return
	}
	c.tries[circuits[0]] = try
	wait := class.Patience + c.Habits.Overstay
	if c.PatienceFactor > 0 && c.PatienceFactor < 1 {
		wait = time.Duration(c.PatienceFactor * float64(class.Patience))
	}
	c.association.After(wait, func() {
		if c.tries[circuits[0]] == try && !try.established && !try.releasing {
			caller.Abandoned++
			c.hangUp(try)
			c.redialOrGiveUp(caller, false)
		}
	})
}

// callingNumber encodes a calling party number (national, ISDN numbering plan) that is different for each try.
func callingNumber(id uint32, serial uint64) []byte {
	b := binary.BigEndian.AppendUint16([]byte{0x03, 0x11}, uint16(id))
	return binary.BigEndian.AppendUint64(b, serial)
}

// releaseCircuits returns the circuits of a try to the pool.
func (c *Callers) releaseCircuits(try *setUpTry) {
	if c.tries[try.circuits[0]] == try {
		delete(c.tries, try.circuits[0])
	}
	for _, cic := range try.circuits {
		c.freeCircuits.put(cic)
	}
}

// hangUp sends REL and repeats it every T1 until RLC arrives, since the association may be down or the exchange
// unresponsive. T1 must be longer than any message is queued: a repeated REL that arrives late would release the next call
// on the circuit.
func (c *Callers) hangUp(try *setUpTry) {
	try.releasing = true
	_ = c.association.Send(isup.NewRelease(try.circuits[0], isup.ReleaseInfo{Cause: isup.CauseNormalClearing}))
	c.association.After(c.T1, func() {
		if c.tries[try.circuits[0]] == try {
			c.hangUp(try)
		}
	})
}

// Receive handles a message from the call server.
func (c *Callers) Receive(message *isup.Message) {
	try := c.tries[message.CIC]
	switch message.Type {
	case isup.ANM, isup.CON:
		if try != nil && !try.established && !try.releasing {
			c.handleAnswer(try)
		}
	case isup.REL:
		_ = c.association.Send(isup.NewSimple(isup.RLC, message.CIC))
		if try != nil {
			c.handleRelease(try, message.Release().Cause, false)
		}
	case isup.RLC:
		if try != nil && try.releasing {
			c.releaseCircuits(try)
		}
	case isup.GRS:
		circuits, err := message.RangeStatus()
		if err != nil {
			return
		}
		_ = c.association.Send(isup.NewGroup(isup.GRA, message.CIC, 0, isup.Range{Range: circuits.Range}))
		for i := range circuits.Range + 1 {
			if try := c.tries[message.CIC+uint16(i)]; try != nil {
				c.handleRelease(try, isup.CauseTemporaryFailure, true)
			}
		}
	case isup.RSC:
		_ = c.association.Send(isup.NewSimple(isup.RLC, message.CIC))
		if try != nil {
			c.handleRelease(try, isup.CauseTemporaryFailure, true)
		}
	}
}

// handleAnswer marks the call as established, and hangs up after the hold time.
func (c *Callers) handleAnswer(try *setUpTry) {
	caller := try.caller
	try.established, caller.Established, caller.Dropped = true, true, false
	if caller.SetUp == 0 {
		caller.SetUp = c.association.Now() - caller.StartedAt
	}
	c.association.After(caller.holdTime, func() {
		if c.tries[try.circuits[0]] == try && !try.releasing {
			c.hangUp(try)
			c.finish(caller)
		}
	})
}

// handleRelease handles a REL or a reset from the call server: it refuses the call, or drops an established one. If both
// ends have sent REL, the circuit is not free before the RLC for the own REL (Q.764 2.3.1): that REL would release the
// next call on the circuit.
func (c *Callers) handleRelease(try *setUpTry, cause isup.Cause, reset bool) {
	if try.releasing && !reset {
		return
	}
	c.releaseCircuits(try)
	caller := try.caller
	switch {
	case try.releasing:
	case try.established:
		caller.Dropped = true
		c.redialOrGiveUp(caller, true)
	case cause == isup.CauseNoCircuit || cause == isup.CauseCongestion:
		caller.Refused++
		c.redialOrGiveUp(caller, false)
	default:
		caller.Failed++
		c.redialOrGiveUp(caller, false)
	}
}

// redialOrGiveUp lets the caller redial after a pause, unless its redials or its deadline are used up. For a caller whose
// call was dropped the deadline does not count.
func (c *Callers) redialOrGiveUp(caller *caller, dropped bool) {
	habits := c.Habits
	pause := habits.Pause
	if caller.Hot {
		pause = habits.HotPause
	}
	wait := time.Duration((0.5 + c.behaviourRand.Float64()) * float64(pause))
	if dropped {
		wait = time.Duration(c.behaviourRand.Float64() * float64(habits.CutReturn))
	}
	if caller.Tries > habits.Redials || !dropped && c.association.Now()-caller.StartedAt+wait > c.Classes[caller.Class].Deadline {
		c.finish(caller)
		return
	}
	c.association.After(wait, func() { c.dial(caller) })
}

// finish reports the outcome of a caller, once.
func (c *Callers) finish(caller *caller) {
	if !caller.finished {
		caller.finished = true
		c.unfinished--
		c.OnDone(caller.Outcome)
	}
}
