// Package logic decides for one call server: admit a call, send it direct or over a tandem, wait, try again,
// or refuse it. Settings, events and actions are in interface.go; every decision and tuned value is here.
//
// The ordinary path is the dynamic-threshold rule of Chen and Chen (sections 3.3, 3.4) on each own group:
// parts split anew each period by Equation 6. Guards stand around it. docs/DESIGN.md tells what is kept.
package logic

import (
	"math/rand"
	"slices"
	"time"
)

// Tuned values. Spans that belong to the traffic come from the settings; these are plain ratios.
const (
	period      = 5 * time.Second  // how often splits are scored
	window      = 30 * time.Second // counts that they are scored on
	buckets     = int(window / period)
	twoLegWorth = 0.5  // worth of a two-leg call, which holds circuits on two groups
	clearWin    = 0.02 // a new split must gain this part of the worth offered to the group
	prior       = 4.0  // calls that the common picture counts for: traffic misses its plan by about half
	raise       = 1.2  // tandem weight on a stand
	cut         = 0.3  // tandem weight on a turn-back or a full processor
	floor       = 0.05 // least tandem weight: every tandem is tried now and then
	pool        = 0.1  // weight of a new outcome in what is learnt of all pairs together
	draws       = 16.0 // tandems looked at for a blocked call, where all are usable and processors idle
	smooth      = 0.3  // weight of a new set-up delay in the running mean
	fadePart    = 0.8  // half of what is known of a delay fades in this part of the shortest aim
	shedBase    = 0.2  // a two-leg call or one of no worth is shed past this part of its aim,
	shedWorth   = 0.5  // and the worthiest at this much more
	silentPart  = 0.5  // an exchange is silent after this part of the shortest aim without any answer
	nearFaults  = 2    // faults of signalling before a call tries a tandem; 1 and 2 were measured
	enough      = 3    // later answers that show that one is lost
	firstTrial  = 0.8  // first and longest gap between trials of a silent exchange, in shortest aims
	lastTrial   = 3.2
	waitPart    = 0.7                    // a blocked call waits for a circuit for this part of its aim
	comeBack    = 0.25                   // a refused caller is asked to come again after this part of the aim
	coldUse     = 0.75                   // part of the cold budget that is used steadily,
	coldBurst   = 0.2                    // and the part that may go at once
	headroom    = 4.0 / 3                // a processor turns over its groups in three quarters of its time
	busyGap     = 250 * time.Millisecond // first pause for a busy number; doubles
	busyGapMost = 2 * time.Second
)

// Controller decides for one call server. It has no clock, shares nothing and is not safe for concurrent use.
type Controller struct {
	set               Settings
	host              Host
	rng               *rand.Rand
	now, birth, seen  time.Duration // seen: time of the batch before this one
	begun, listed     bool
	calls             map[uint64]*call
	exchanges         []*exchange // in order of their numbers
	offices           map[string]*office
	numbers           map[string]*number
	top               int // the worthiest class
	topWorth          float64
	aim, fade         time.Duration // the shortest aim, and the half-life of delays
	spare, sz, eps    int           // places in reports; -1 absent
	counts            counts        // of all groups; the last class is blocked calls that looked for a tandem
	own, ownAt        time.Duration
	waiting, circuits int     // attempts out without an answer; circuits of all own groups
	trust, ease       float64 // shares of the advised and of the drawn tandems that stood
}

type call struct {
	Call
	born, due time.Duration // born: first try; due: last moment for an answer
	notBefore time.Duration // rule 5
	dest, at  *exchange     // at: where the attempt went
	office    string
	sent      time.Duration
	attempts  int
	struck    int // faults of signalling that it has met
	passed    int // later attempts at the same exchange that were answered before this one
	part      int // what it counts in of the group's use: its class, or the lowest for two-leg calls
	// an attempt is out; it stands; the final answer is given; it goes over a tandem; it may have run
	out, stands, answered, twoLeg, mayRun, waited, waiting bool
	tried                                                  []*exchange
}

// exchange is what is known of one exchange and of the own trunk group toward it.
type exchange struct {
	number                  int
	offices                 []*office
	office                  *office // gets new calls; nil: none
	free, total             int     // circuits of the group; -1 unknown
	held                    int     // of them by own calls
	used                    []int   // circuits of own calls by class; the last for two-leg calls
	counts                  counts
	reserve, direct         int             // parts for the worthiest class, and for direct calls
	others                  float64         // mean circuits in use that are not of own calls
	weight                  map[int]float64 // of tandems by number, once tried
	out, queue              []*call
	silent, cold            bool
	heard, silentFrom       time.Duration
	passed                  time.Duration // when the latest direct attempt that was answered was sent
	nextTrial, trialGap     time.Duration
	delay, delayAt          time.Duration
	eps, tokens             float64
	sound                   float64 // share of set-ups toward it that met no fault of signalling, lately
	epsAt, coldAt, tokensAt time.Duration
}

// New makes a Controller, or tells which setting is wrong.
func New(s Settings, seed int64) (*Controller, error) {
	if err := validate(&s); err != nil {
		return nil, err
	}
	s.Classes = slices.Clone(s.Classes) // the caller may share them
	c := &Controller{set: s, host: s.Host, rng: rand.New(rand.NewSource(seed)), calls: map[uint64]*call{},
		offices: map[string]*office{}, numbers: map[string]*number{}, counts: newCounts(len(s.Classes)),
		trust: 1, ease: 0.5}
	for i, k := range s.Classes {
		s.Classes[i].Pools = slices.Clone(k.Pools)
		if k.Worth > c.topWorth {
			c.top, c.topWorth = i, k.Worth
		}
		if c.aim == 0 || k.Aim < c.aim {
			c.aim = k.Aim
		}
	}
	if c.aim == 0 {
		c.aim = time.Second // the settings tell of no haste
	}
	c.fade = time.Duration(fadePart * float64(c.aim))
	c.spare, c.sz, c.eps = slices.Index(s.ReportFields, "spare"), slices.Index(s.ReportFields, "total"),
		slices.Index(s.ReportFields, "cut_by")
	return c, nil
}

// at moves the clock of the instance to an event.
func (c *Controller) at(now time.Duration) {
	if now > c.now { // what came since the last batch may have waited for this server, not for others
		c.seen, c.now = c.now, now
	}
	if !c.begun {
		c.begun, c.birth, c.seen = true, now, now
		c.host.Timer(period, "p")
		if c.set.ListOnRequest {
			c.host.Watch(true)
		}
	}
}

// exchange finds an exchange by number; with add it is made.
func (c *Controller) exchange(n int, add bool) *exchange {
	i, found := slices.BinarySearchFunc(c.exchanges, n, func(e *exchange, n int) int { return e.number - n })
	if found {
		return c.exchanges[i]
	} else if !add {
		return nil
	}
	e := &exchange{number: n, free: -1, total: -1, sound: 1, used: make([]int, len(c.set.Classes)+1),
		counts: newCounts(len(c.set.Classes)), heard: -time.Hour,
		delayAt: -time.Hour, epsAt: -time.Hour}
	c.exchanges = slices.Insert(c.exchanges, i, e)
	return e
}
