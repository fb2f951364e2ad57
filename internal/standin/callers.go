package standin

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/isup"
	"finchlatch/m3ua"
)

// ClassMix is a class of call as callers know it.
type ClassMix struct {
	Name      string
	Share     float64 // of the calls
	Category  byte
	Width     int
	Worth     float64
	LateShare float64
	Aim       time.Duration
	Patience  time.Duration // for one try
	Deadline  time.Duration // for all tries
	Hold      time.Duration
}

// Habits are what callers do.
type Habits struct {
	Redials   int           // most further tries
	Pause     time.Duration // mean pause before one
	HotPause  time.Duration // the same of callers of a hot number
	CutReturn time.Duration // longest pause of callers who were cut
	Overstay  time.Duration // how long after their patience they still wait, so that a late answer shows
}

// Outcome is what became of one caller, with all tries.
type Outcome struct {
	Class   int
	Began   time.Duration // first try
	Stood   bool
	SetUp   time.Duration // from the first try until it stood
	Cut     bool          // it stood and was cut, and did not come again in time
	Refused int           // tries refused
	Failed  int
	Hung    int // tries given up by the caller
	Hot     bool
	Tries   int
}

// Callers are the counters at one exchange: they offer calls, wait, hold, hang up and dial again. They reach
// their call server as an ASP, over circuits that only they seize.
type Callers struct {
	*Endpoint
	Mix    []ClassMix
	Habits Habits
	Done   func(Outcome) // called for each caller at the end, one at a time
	Pick   func(rng *rand.Rand) (number string, hot bool)
	Asks   float64                                            // share of the tries that ask by ENUM first where the call goes
	Where  func() string                                      // address for look-ups
	Tap    func(kind rulecheck.Kind, who string, data []byte) // of look-ups
	Hurry  float64                                            // share of their patience that callers wait now; 0: all of it

	id    uint32
	clock func() time.Duration
	rng   *rand.Rand
	free  []uint16
	tries map[uint16]*try
	next  uint64
	stop  chan struct{}
	rate  float64
	live  int
}

// caller is one demand, over all its tries.
type caller struct {
	Outcome
	number string
	left   bool // counted already
}

// try is one set-up on one circuit, or on several that the first one signals for.
type try struct {
	caller *caller
	cics   []uint16
	sent   time.Duration
	stands bool
	ending bool
}

// NewCallers makes the counters of an exchange, with circuits of their own.
func NewCallers(own, exchange uint32, id uint32, circuits []uint16, seed uint64, clock func() time.Duration) *Callers {
	c := &Callers{Endpoint: &Endpoint{Own: own, Peer: exchange, Role: m3ua.RoleASP}, id: id, clock: clock,
		rng: rand.New(rand.NewPCG(seed, 11)), free: slices.Clone(circuits), tries: map[uint16]*try{}, stop: make(chan struct{})}
	c.OnMessage = c.take
	return c
}

// SetRate changes the first tries a second.
func (c *Callers) SetRate(perSecond float64) { c.Do(func() { c.rate = perSecond }) }

// Rate is the first tries a second.
func (c *Callers) Rate() (rate float64) {
	c.Do(func() { rate = c.rate })
	return rate
}

// Run offers calls until Stop; arrivals are random (Poisson).
func (c *Callers) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	at := c.clock()
	for {
		select {
		case <-c.stop:
			return
		case <-timer.C:
		}
		now := c.clock()
		c.Do(func() {
			for ; at <= now; at += c.gap() {
				if c.rate > 0 {
					c.arrive()
				}
			}
		})
		timer.Reset(max(0, at-c.clock()))
	}
}

// idleGap is how often a caller without a rate looks again.
const idleGap = 50 * time.Millisecond

func (c *Callers) gap() time.Duration {
	if c.rate <= 0 {
		return idleGap
	}
	return min(time.Duration(c.rng.ExpFloat64()/c.rate*float64(time.Second)), time.Second)
}

// Stop ends the offers; calls go on.
func (c *Callers) Stop() { close(c.stop) }

// Live is how many callers are neither done nor talking.
func (c *Callers) Live() (n int) {
	c.Do(func() {
		n = c.live
		for _, t := range c.tries {
			if t.stands && !t.ending {
				n--
			}
		}
	})
	return n
}

// Finish counts the callers who still talk as done.
func (c *Callers) Finish() {
	c.Do(func() {
		for _, t := range c.tries {
			if t.stands && !t.ending {
				c.done(t.caller)
			}
		}
	})
}

func (c *Callers) arrive() {
	k := &caller{}
	x := c.rng.Float64()
	for i, m := range c.Mix {
		if k.Class = i; x < m.Share {
			break
		}
		x -= m.Share
	}
	k.number, k.Hot = c.Pick(c.rng)
	k.Began = c.clock()
	c.live++
	c.dial(k)
}

// Offer dials a number once, outside the random arrivals. Call it inside Do.
func (c *Callers) Offer(class int, number string) {
	c.live++
	c.dial(&caller{Outcome: Outcome{Class: class, Began: c.clock()}, number: number})
}

// dial makes one try: a set-up at once, or a look-up first.
func (c *Callers) dial(k *caller) {
	if c.Where == nil || c.rng.Float64() >= c.Asks {
		c.setUp(k, k.number)
		return
	}
	where, category := c.Where(), c.Mix[k.Class].Category
	go func() {
		routing := c.lookUp(where, category, k.number)
		c.Do(func() {
			if routing != "" {
				c.setUp(k, routing)
				return
			}
			k.Tries++
			k.Refused++
			c.again(k, false)
		})
	}()
}

// setUp offers a call to a number.
func (c *Callers) setUp(k *caller, number string) {
	class := c.Mix[k.Class]
	cics := c.seize(class.Width)
	if cics == nil {
		k.Refused++
		c.again(k, false)
		return
	}
	k.Tries++
	t := &try{caller: k, cics: cics, sent: c.clock()}
	c.next++
	m, err := isup.NewSetup(cics[0], isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1},
		Category: class.Category, Width: class.Width, Map: isup.CircuitMap(cics), Hops: -1})
	if err == nil {
		m.Set(isup.ParamCallingNumber, callingNumber(c.id, c.next)...)
		err = c.Send(m)
	}
	if err != nil { // no association: nothing was taken
		c.release(t)
		k.Refused++
		c.again(k, false)
		return
	}
	c.tries[cics[0]] = t
	wait := class.Patience + c.Habits.Overstay
	if c.Hurry > 0 && c.Hurry < 1 {
		wait = time.Duration(c.Hurry * float64(class.Patience))
	}
	time.AfterFunc(wait, func() {
		c.Do(func() {
			if c.tries[cics[0]] == t && !t.stands && !t.ending {
				k.Hung++
				c.hangUp(t, isup.CauseNormalClearing)
				c.again(k, false)
			}
		})
	})
}

// callingNumber is a calling party number that no other try has.
func callingNumber(id uint32, n uint64) []byte {
	b := []byte{0x03, 0x11}
	b = binary.BigEndian.AppendUint16(b, uint16(id))
	return binary.BigEndian.AppendUint64(b, n)[:12]
}

func (c *Callers) seize(width int) []uint16 {
	if width == 1 {
		if len(c.free) == 0 {
			return nil
		}
		x := c.free[0]
		c.free = c.free[1:]
		return []uint16{x}
	}
	systems := map[uint16][]uint16{}
	for _, x := range c.free {
		s := append(systems[x/32], x)
		if systems[x/32] = s; len(s) == width {
			c.free = slices.DeleteFunc(c.free, func(f uint16) bool { return slices.Contains(s, f) })
			slices.Sort(s)
			return s
		}
	}
	return nil
}

func (c *Callers) release(t *try) {
	delete(c.tries, t.cics[0])
	c.free = append(c.free, t.cics...)
}

// callersT1 is how long callers' circuits wait for RLC until REL goes out again.
const callersT1 = time.Second

// hangUp releases a try, again and again until RLC comes: the association may be down, or the exchange silent.
func (c *Callers) hangUp(t *try, cause isup.Cause) {
	t.ending = true
	_ = c.Send(isup.NewRelease(t.cics[0], isup.ReleaseInfo{Cause: cause}))
	time.AfterFunc(callersT1, func() {
		c.Do(func() {
			if c.tries[t.cics[0]] == t && !c.closed {
				c.hangUp(t, cause)
			}
		})
	})
}

func (c *Callers) take(e *Endpoint, m *isup.Message) {
	t := c.tries[m.CIC]
	switch m.Type {
	case isup.ANM, isup.CON:
		if t != nil && !t.stands && !t.ending {
			c.stood(t)
		}
	case isup.REL:
		_ = e.Send(isup.Simple(isup.RLC, m.CIC))
		if t != nil {
			c.released(t, m.Release())
		}
	case isup.RLC:
		if t != nil && t.ending {
			c.release(t)
		}
	case isup.GRS:
		r, err := m.RangeStatus()
		if err != nil {
			return
		}
		_ = e.Send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: r.Range}))
		for i := 0; i <= r.Range; i++ {
			c.reset(m.CIC + uint16(i))
		}
	case isup.RSC:
		_ = e.Send(isup.Simple(isup.RLC, m.CIC))
		c.reset(m.CIC)
	}
}

func (c *Callers) stood(t *try) {
	t.stands = true
	k := t.caller
	k.Stood, k.Cut = true, false
	if k.SetUp == 0 {
		k.SetUp = c.clock() - k.Began
	}
	hold := time.Duration(c.rng.ExpFloat64() * float64(c.Mix[k.Class].Hold))
	time.AfterFunc(hold, func() {
		c.Do(func() {
			if c.tries[t.cics[0]] == t && !t.ending {
				c.hangUp(t, isup.CauseNormalClearing)
				c.done(k)
			}
		})
	})
}

// released takes a REL of the call server: an answer, or a cut.
func (c *Callers) released(t *try, info isup.ReleaseInfo) {
	c.release(t)
	k := t.caller
	switch {
	case t.ending:
	case t.stands:
		c.cut(k)
	case info.Cause == isup.CauseNoCircuit || info.Cause == isup.CauseCongestion:
		k.Refused++
		c.again(k, false)
	default:
		k.Failed++
		c.again(k, false)
	}
}

func (c *Callers) cut(k *caller) {
	k.Cut = true
	c.again(k, true)
}

func (c *Callers) reset(cic uint16) {
	t := c.tries[cic]
	if t == nil {
		return
	}
	c.release(t)
	if t.ending {
		return
	}
	if t.stands {
		c.cut(t.caller)
		return
	}
	t.caller.Failed++
	c.again(t.caller, false)
}

// again lets a caller dial once more, or gives up.
func (c *Callers) again(k *caller, cut bool) {
	class := c.Mix[k.Class]
	pause := time.Duration((0.5 + c.rng.Float64()) * float64(c.Habits.Pause))
	if k.Hot {
		pause = time.Duration((0.5 + c.rng.Float64()) * float64(c.Habits.HotPause))
	}
	if cut {
		pause = time.Duration(c.rng.Float64() * float64(c.Habits.CutReturn))
	}
	if k.Tries > c.Habits.Redials || !cut && c.clock()-k.Began+pause > class.Deadline {
		c.done(k)
		return
	}
	time.AfterFunc(pause, func() { c.Do(func() { c.dial(k) }) })
}

func (c *Callers) done(k *caller) {
	if k.left {
		return
	}
	k.left = true
	c.live--
	if c.Done != nil {
		c.Done(k.Outcome)
	}
}

// Worth is what an outcome earned of what it offered.
func (o Outcome) Worth(m ClassMix) (earned, offered float64) {
	offered = m.Worth
	if o.Hot {
		offered /= 10 // calls to a crowd's number are worth a tenth
	}
	switch {
	case !o.Stood || o.Cut:
	case o.SetUp <= m.Aim:
		earned = offered
	default:
		earned = offered * m.LateShare
	}
	return earned, offered
}

// String tells an outcome in a line.
func (o Outcome) String() string {
	return fmt.Sprintf("class %d stood %v in %v cut %v refused %d failed %d hung %d", o.Class, o.Stood, o.SetUp, o.Cut, o.Refused, o.Failed, o.Hung)
}
