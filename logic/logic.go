// Package logic decides for one call server: admit a call, send it direct or over a tandem, wait, try again,
// or refuse it. Settings, events and actions are in interface.go; every decision and tuned value is here.
//
// The ordinary path is the dynamic-threshold rule of Chen and Chen (sections 3.3 and 3.4) on each own trunk
// group: a reserve for the worthiest class, filled first, and a shared rest, split anew each period by
// Equation 6. Around it stand guards, each with the danger it blocks. docs/DESIGN.md tells what is kept.
package logic

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Tuned values. Spans that belong to the traffic come from the settings; these are plain ratios.
const (
	period      = 5 * time.Second  // how often splits are scored
	window      = 30 * time.Second // counts that they are scored on
	buckets     = int(window / period)
	twoLegWorth = 0.5  // worth of a two-leg call, which holds circuits on two groups
	clearWin    = 1.0  // a new split must gain this many of the worthiest calls in a window
	raise       = 1.2  // tandem weight on a stand
	cut         = 0.3  // tandem weight on a turn-back or a full processor
	floor       = 0.05 // least tandem weight: every tandem is tried now and then
	smooth      = 0.3  // weight of a new set-up delay in the running mean
	halfLife    = time.Second
	shedBase    = 0.2 // a call of no worth is shed where the delay passes this part of its aim,
	shedWorth   = 0.5 // and the worthiest at this much more
	twoLegPart  = 0.2 // two-leg calls only where delays are under this part of the aim
	silentPart  = 0.5 // an exchange is silent after this part of the shortest aim without any answer
	firstTrial  = time.Second
	lastTrial   = 4 * time.Second
	comeBack    = 0.25                   // a refused caller is asked to come again after this part of the aim
	coldUse     = 0.75                   // part of the cold budget that is used steadily,
	coldBurst   = 0.2                    // and the part that may go at once
	headroom    = 4.0 / 3                // a processor turns over its groups in three quarters of its time
	busyGap     = 250 * time.Millisecond // first pause for a busy number; doubles
	busyGapMost = 2 * time.Second
)

// Controller decides for one call server. It has no clock, shares nothing and is not safe for concurrent use.
type Controller struct {
	set            Settings
	host           Host
	rng            *rand.Rand
	now, birth     time.Duration
	begun, listed  bool
	calls          map[uint64]*call
	exchanges      []*exchange // in order of their numbers
	offices        map[string]*office
	numbers        map[string]*number
	top            int // the worthiest class
	topWorth       float64
	aim            time.Duration // the shortest aim
	spare, sz, eps int           // places in reports; -1 absent
	mix            []float64     // calls seen by class
}

type call struct {
	Call
	born, due time.Duration // born: first try; due: last moment for an answer
	notBefore time.Duration // rule 5
	dest, at  *exchange     // at: where the attempt went
	office    string
	sent      time.Duration
	attempts  int
	// an attempt is out; it stands; the final answer is given; it goes over a tandem; it may have run
	out, stands, answered, twoLeg, mayRun bool

	tried map[int]bool
}

type office struct {
	Office
	cold time.Duration // when it was started or came back; negative: long ago
}

// exchange is what is known of one exchange and of the own trunk group toward it.
type exchange struct {
	number              int
	office              *office // gets new calls; nil: none
	free, total         int     // circuits of the group; -1 unknown
	used                []int   // circuits of own calls by class; the last for two-leg calls
	counts              [buckets][]float64
	reserve, direct     int     // parts for the worthiest class, and for direct calls of any class
	others              float64 // mean circuits in use that are not of own calls
	weight              map[int]float64
	out                 []*call
	silent              bool
	heard, silentFrom   time.Duration
	nextTrial, trialGap time.Duration
	delay, delayAt      time.Duration
	eps                 float64
	epsAt               time.Duration
	cold                bool
	coldAt, tokensAt    time.Duration
	tokens              float64
}

// number is what is remembered of a number called.
type number struct {
	class          int
	first          time.Duration // first try of a caller who has not got through
	busyUntil, gap time.Duration
}

// New makes a Controller, or tells which setting is wrong.
func New(s Settings, seed int64) (*Controller, error) {
	if err := validate(&s); err != nil {
		return nil, err
	}
	c := &Controller{set: s, host: s.Host, rng: rand.New(rand.NewSource(seed)), calls: map[uint64]*call{},
		offices: map[string]*office{}, numbers: map[string]*number{}, mix: make([]float64, len(s.Classes))}
	for i, k := range s.Classes {
		if k.Worth > c.topWorth {
			c.top, c.topWorth = i, k.Worth
		}
		if c.aim == 0 || k.Aim < c.aim {
			c.aim = k.Aim
		}
	}
	c.spare, c.sz, c.eps = slices.Index(s.ReportFields, "spare"), slices.Index(s.ReportFields, "total"),
		slices.Index(s.ReportFields, "cut_by")
	return c, nil
}

// at moves the clock of the instance to an event.
func (c *Controller) at(now time.Duration) {
	c.now = now
	if !c.begun {
		c.begun, c.birth = true, now
		c.host.Timer(period, "p")
		if c.set.ListOnRequest {
			c.host.Watch(true)
		}
	}
}

// margin leaves two batches for an answer before the caller's time is up.
func (c *Controller) margin() time.Duration { return 2*c.set.Tick + time.Millisecond }

// ---- The list of exchanges

// exchange finds an exchange by number; with add it is made.
func (c *Controller) exchange(n int, add bool) *exchange {
	i := sort.Search(len(c.exchanges), func(i int) bool { return c.exchanges[i].number >= n })
	if i < len(c.exchanges) && c.exchanges[i].number == n {
		return c.exchanges[i]
	}
	if !add {
		return nil
	}
	e := &exchange{number: n, free: -1, total: -1, used: make([]int, len(c.set.Classes)+1),
		weight: map[int]float64{}, heard: -time.Hour, delayAt: -time.Hour, epsAt: -time.Hour}
	for b := range e.counts {
		e.counts[b] = make([]float64, len(c.set.Classes)+1)
	}
	c.exchanges = slices.Insert(c.exchanges, i, e)
	return e
}

// List takes news of the exchanges. A drained or missing office gets nothing new from this moment (rule 3).
func (c *Controller) List(now time.Duration, kind ListKind, list []Office) {
	c.at(now)
	if kind == ListUnavailable {
		if c.set.ListOnRequest {
			c.host.Timer(time.Second+time.Duration(c.rng.Int63n(int64(time.Second))), "w")
		}
		return
	}
	named := map[string]bool{}
	for _, o := range list {
		named[o.ID] = true
		c.enlist(o)
	}
	if kind != ListUpdate {
		for id, o := range c.offices {
			if !named[id] {
				o.State = Gone
			}
		}
	}
	for _, e := range c.exchanges {
		c.choose(e)
	}
	c.listed = true
}

func (c *Controller) enlist(o Office) {
	known := c.offices[o.ID]
	fresh := known == nil || known.Started != o.Started || known.State == Gone && o.State == Ready
	if known == nil {
		known = &office{cold: -1}
		c.offices[o.ID] = known
		c.exchange(o.Exchange, true)
	}
	known.Office = o
	if fresh && o.Started > 0 && c.now-o.Started < c.set.ColdFor {
		known.cold = o.Started
	} else if fresh && c.listed {
		known.cold = c.now
	}
}

// choose gives an exchange the newest of its ready offices.
func (c *Controller) choose(e *exchange) {
	var best *office
	for _, o := range c.offices { // a maximum, so the order of the map does not matter
		if o.Exchange == e.number && o.State == Ready &&
			(best == nil || o.Started > best.Started || o.Started == best.Started && o.ID < best.ID) {
			best = o
		}
	}
	if best != nil && best.cold >= 0 && (e.office != best || e.coldAt != best.cold) {
		c.chill(e, best.cold)
		e.silent = false
	}
	e.office = best
}

// chill starts the cold budget of an exchange.
func (c *Controller) chill(e *exchange, since time.Duration) {
	e.cold, e.coldAt, e.tokens, e.tokensAt = true, since, 0, c.now
	c.host.Log(fmt.Sprintf("cold exchange=%d", e.number))
}

// ---- Reports

// Report takes the state of an own group, and of the far processor where it tells.
func (c *Controller) Report(now time.Duration, r Report) {
	c.at(now)
	if o := c.offices[r.Office]; o != nil && r.OK {
		c.learn(c.exchange(o.Exchange, true), r.Load)
	}
}

// learn takes report values. Absent, negative or absurd ones are unknown, never zero load.
func (c *Controller) learn(e *exchange, load []float64) {
	get := func(i int) (float64, bool) {
		if i < 0 || i >= len(load) || !(load[i] >= 0) || load[i] > 1e9 {
			return 0, false
		}
		return load[i], true
	}
	if v, ok := get(c.spare); ok {
		e.free = int(v)
	}
	if v, ok := get(c.sz); ok {
		e.total = int(v)
	}
	if v, ok := get(c.eps); ok && v <= 1 {
		e.eps, e.epsAt = v, c.now
	}
}

// Peer takes a message of another call server. Nothing is made of it: calls are decided on own evidence.
func (c *Controller) Peer(now time.Duration, from int, data []byte) { c.at(now) }

// ---- The split: Chen and Chen, Equations 4 and 6

// load is what one class offers to a group, in circuits, and what carrying or blocking a unit of it counts.
type load struct{ erlangs, worth, penalty float64 }

// erlangB is the blocking of n circuits offered a erlangs, by the stable recursion.
func erlangB(n int, a float64) float64 {
	if a <= 0 {
		return 0
	}
	b := 1.0
	for i := 1; i <= n; i++ {
		b = a * b / (float64(i) + a*b)
	}
	return b
}

// payoff is Equation 6: each reserved part, reserve[k] for class k, is an Erlang loss system that overflows
// into the shared part, which Equation 4 scores.
func payoff(n int, reserve []int, loads []load) float64 {
	total, spill, earn, lose := 0.0, 0.0, 0.0, 0.0
	shared := n
	for k, l := range loads {
		over := l.erlangs
		if r := reserve[k]; r > 0 {
			over *= erlangB(r, l.erlangs)
			shared -= r
		}
		total += (l.erlangs - over) * l.worth
		spill += over
		earn += over * l.worth
		lose += over * l.penalty
	}
	b := erlangB(shared, spill)
	return total + (1-b)*earn - b*lose
}

// rescore picks the reserve of the worthiest class on a group, once a period.
func (c *Controller) rescore(e *exchange) {
	n := e.total - int(e.others+0.5) // the far end's use is not ours to split
	if e.total <= 0 || n < 1 {
		return
	}
	span := math.Min(window.Seconds(), (c.now - c.birth).Seconds())
	// Three loads are split: the worthiest class, the other direct calls, and the two-leg calls.
	loads, hold := make([]load, 3), c.meanHold().Seconds()
	for k, cl := range append(c.set.Classes, Class{Worth: c.topWorth * twoLegWorth, Width: 1}) {
		l, calls, width := &loads[1], 0.0, math.Max(1, float64(cl.Width))
		if k == c.top {
			l = &loads[0]
		} else if k == len(c.set.Classes) {
			l = &loads[2]
			cl.Worth, width = twoLegWorth*c.mean(func(k Class) float64 { return k.Worth }), c.meanWidth()
		}
		for b := range e.counts {
			calls += e.counts[b][k]
		}
		if calls == 0 {
			continue
		}
		if cl.Hold > 0 {
			width *= cl.Hold.Seconds() / hold // what a call takes of a group is circuits x time
		}
		a := calls * hold * width / span
		l.worth = (l.worth*l.erlangs + cl.Worth/width*a) / (l.erlangs + a)
		l.erlangs += a
		l.penalty = l.worth
	}
	score := func(r, d int) float64 { return payoff(n, []int{r, d, 0}, loads) }
	r, d := min(e.reserve, n), min(e.direct, n-min(e.reserve, n))
	old, step := score(r, d), 1+n/32
	best := old
	for i := 0; i <= n; i += step {
		for j := 0; i+j <= n; j += step {
			if s := score(i, j); s > best {
				r, d, best = i, j, s
			}
		}
	}
	// Payoff is per mean hold: a clear win gains whole calls of the worthiest class within a window.
	if (best-old)*window.Seconds()/math.Max(hold, 0.001) > clearWin*c.topWorth {
		c.host.Log(fmt.Sprintf("split exchange=%d reserve=%d direct=%d of=%d", e.number, r, d, n))
		e.reserve, e.direct = r, d
	}
}

// mean weighs a value of the classes by the calls seen.
func (c *Controller) mean(of func(Class) float64) float64 {
	sum, n := 0.0, 0.0
	for i, k := range c.set.Classes {
		sum += (c.mix[i] + 1) * of(k)
		n += c.mix[i] + 1
	}
	return sum / n
}

// meanHold is one mean hold time for all classes.
func (c *Controller) meanHold() time.Duration {
	return time.Duration(c.mean(func(k Class) float64 { return float64(k.Hold) }))
}

func (c *Controller) meanWidth() float64 {
	return c.mean(func(k Class) float64 { return math.Max(1, float64(k.Width)) })
}

// bucket is the place of the counts of this moment.
func (c *Controller) bucket() int { return int((c.now - c.birth) / period % time.Duration(buckets)) }

// place finds out whether a call is a redial, and counts it for the split if it is not: the same demand
// counted again would swell the reserve with how hard callers redial. A redial's aim runs from its first try.
func (c *Controller) place(k *call) {
	n := c.numbers[k.Number]
	patience := c.set.Classes[k.Class].Deadline
	if n != nil && n.first > 0 && n.class == k.Class && !k.WasCut && c.now-n.first < patience {
		k.born = n.first
	} else if !k.Again {
		c.mix[k.Class]++
		k.dest.counts[c.bucket()][k.Class]++
		return
	}
	k.dest.counts[c.bucket()][len(c.set.Classes)]++
}

// late tells whether a call would stand after its aim. It earns little then, and takes the circuits and
// processors from calls in time: such calls join the two-leg calls in the lowest class. The danger is the
// wave of redials that any shortage brings, whatever its cause.
func (c *Controller) late(k *call) bool {
	return !k.Transit && c.now+c.delayOf(k.dest) > k.born+c.set.Classes[k.Class].Aim
}

// tick is the work of each period.
func (c *Controller) tick() {
	for _, e := range c.exchanges {
		own := 0
		for _, u := range e.used {
			own += u
		}
		e.others += smooth * (math.Max(0, float64(e.total-max(e.free, 0)-own)) - e.others)
		c.rescore(e)
		clear(e.counts[c.bucket()])
	}
	for id, n := range c.numbers {
		if c.now-n.first > c.set.Classes[n.class].Deadline && c.now > n.busyUntil+busyGapMost {
			delete(c.numbers, id)
		}
	}
	c.host.Timer(period, "p")
}

// fits tells whether a call finds a circuit: in the reserve of its class, then in the shared part. What the
// worthiest class has not filled of its reserve is closed to all others, on tandem and transit sends too.
func (c *Controller) fits(e *exchange, k *call, lowest bool) bool {
	if e.free < 0 {
		return true // not told yet: the outcome will tell
	}
	room, own := e.free, 0
	for _, u := range e.used[:len(c.set.Classes)] {
		own += u
	}
	if lowest || k.Class != c.top {
		room -= max(0, e.reserve-e.used[c.top])
	}
	if lowest {
		room -= max(0, e.direct-(own-min(e.reserve, e.used[c.top])))
	}
	return room >= k.Width
}

// ---- Pressure, silence and cold starts

// delayOf is the set-up delay to expect: the running mean, fading while nothing new is seen, or the age of
// the oldest attempt out, which tells of a jam before its first late answer.
func (c *Controller) delayOf(e *exchange) time.Duration {
	d := time.Duration(float64(e.delay) * math.Exp2(-float64(c.now-e.delayAt)/float64(halfLife)))
	if len(e.out) > 0 {
		if age := c.now - e.out[0].sent; age > d && !e.out[0].twoLeg {
			d = age
		}
	}
	return d
}

// ownDelay is the delay that all exchanges share, and so most likely that of the own processor.
func (c *Controller) ownDelay() time.Duration {
	least, seen := time.Duration(0), 0
	for _, e := range c.exchanges {
		if c.now-e.delayAt < 2*halfLife {
			if d := c.delayOf(e); seen == 0 || d < least {
				least = d
			}
			seen++
		}
	}
	if seen < 2 {
		return 0
	}
	return least
}

// observe takes a set-up delay.
func (c *Controller) observe(e *exchange, d time.Duration) {
	old := float64(c.delayOf(e))
	if c.now-e.delayAt > 4*halfLife {
		old = float64(d)
	}
	e.delay, e.delayAt = time.Duration(old+smooth*(float64(d)-old)), c.now
}

// hear notes a sign of life. A return after a long silence is taken for a cold start: the danger is the herd
// that pushes over a processor which has just come back.
func (c *Controller) hear(e *exchange) {
	if e.silent {
		c.host.Log(fmt.Sprintf("heard exchange=%d", e.number))
		if c.now-e.silentFrom > 4*c.aim {
			c.chill(e, c.now)
		}
	}
	e.silent, e.heard, e.trialGap = false, c.now, 0
}

// quiet tells whether an exchange has gone silent: something is out and nothing came back for far longer than
// set-ups take. Whatever the cause (hung, vanished, cut off, gone while the list still names it), the danger
// is that calls and circuits pile up behind it; so only single trials go there, at growing gaps.
func (c *Controller) quiet(e *exchange) bool {
	if e.silent || len(e.out) == 0 {
		return e.silent
	}
	since := max(e.out[0].sent, e.heard)
	limit := max(time.Duration(silentPart*float64(c.aim)), 4*e.delay)
	if c.now-since > limit {
		c.mute(e, since)
	}
	return e.silent
}

// mute leaves an exchange to single trials.
func (c *Controller) mute(e *exchange, since time.Duration) {
	if !e.silent {
		e.silent, e.silentFrom, e.trialGap, e.nextTrial = true, since, firstTrial, c.now+firstTrial
		c.host.Log(fmt.Sprintf("silent exchange=%d", e.number))
	}
}

// reachable tells whether a set-up may go to an exchange at all.
func (c *Controller) reachable(e *exchange) bool {
	if e == nil || e.office == nil || !c.set.Pools && e.number == c.set.Home {
		return false
	}
	if c.quiet(e) && (len(e.out) > 0 && c.now-e.out[len(e.out)-1].sent < e.trialGap || c.now < e.nextTrial) {
		return false
	}
	return c.warm(e)
}

// warm keeps the cold budget (rule 4). A just-started processor falls over when all call servers together
// send it too much; this one keeps to its share of the multiple of the coldest capacity, over any window.
func (c *Controller) warm(e *exchange) bool {
	if !e.cold {
		return true
	}
	age := c.now - e.coldAt
	if age >= c.set.ColdFor {
		e.cold = false
		return true
	}
	ramp := c.set.ColdFrom
	if late := age - c.set.TipAfter; late > 0 && c.set.ColdFor > 0 {
		ramp += (1 - ramp) * float64(late) / float64(c.set.ColdFor)
	}
	budget := c.set.Overload * ramp * c.capacity() / float64(c.set.Instances)
	if e.number == c.set.Home && !c.set.Pools { // its own calls are half of the work of a processor
		budget *= math.Max(1, float64(c.set.Instances)/2)
	}
	tip := c.set.TipAfter.Seconds()
	depth := math.Max(1, budget*tip*coldBurst)
	e.tokens, e.tokensAt = math.Min(depth, e.tokens+(c.now-e.tokensAt).Seconds()*budget*coldUse), c.now
	return e.tokens >= 1
}

// capacity guesses the set-ups a second of a processor of our size, from what full own groups turn over.
func (c *Controller) capacity() float64 {
	circuits := 0
	for _, e := range c.exchanges {
		circuits += max(0, e.total)
	}
	hold := math.Max(c.meanHold().Seconds(), 0.1)
	return math.Max(headroom*float64(circuits)/(hold*c.meanWidth()), 1)
}

// pressed sheds a call where it would not stand in time, least worth first: a late set-up has cost two
// processors and the circuits, and earns little. One direct call at a time tries all the same, so that the
// end of a jam is seen; a silent exchange gets its trials whatever the age of what is out.
func (c *Controller) pressed(e *exchange, k *call, twoLeg bool) bool {
	cl := c.set.Classes[k.Class]
	part := shedBase
	if c.topWorth > 0 && !c.late(k) {
		part += shedWorth * cl.Worth / c.topWorth
	}
	if twoLeg {
		part = twoLegPart
	}
	if float64(c.delayOf(e)) > part*float64(cl.Aim) {
		return twoLeg || !e.silent && (len(e.out) > 0 || c.now > k.born+cl.Aim)
	}
	if eps := e.eps * math.Exp2(-float64(c.now-e.epsAt)/float64(2*halfLife)); eps > 0.02 {
		return twoLeg || k.Class != c.top && c.rng.Float64() < eps
	}
	return false
}

// ---- Calls

// Offered takes a call, fresh or in transit.
func (c *Controller) Offered(now time.Duration, in Call) {
	c.at(now)
	if c.calls[in.ID] != nil {
		return
	}
	k := &call{Call: in, born: now, due: now + in.TimeLeft - c.margin(), dest: c.exchange(in.Dest, false)}
	c.calls[in.ID] = k
	if !c.valid(k) || k.dest == nil || now >= k.due {
		c.turnAway(k)
		return
	}
	if k.Width <= 0 {
		k.Width = c.set.Classes[k.Class].Width
	}
	// Final answers: whatever becomes of the call, this timer comes before the caller gives up (rule 1).
	c.host.Timer(k.due-now, "c"+strconv.FormatUint(k.ID, 10))
	if k.Transit {
		k.dest.counts[c.bucket()][len(c.set.Classes)]++
	} else {
		c.place(k)
	}
	c.route(k)
}

// route sends a call, or turns it away.
func (c *Controller) route(k *call) {
	n := c.numbers[k.Number]
	// A busy number: one call at a time learns whether a line is free, the others spare the processors.
	if !k.Transit && n != nil && c.now < n.busyUntil ||
		c.set.MaxAttempts > 0 && k.attempts >= c.set.MaxAttempts || k.mayRun && !c.set.Classes[k.Class].Safe {
		c.turnAway(k)
		return
	}
	if home := c.exchange(c.set.Home, false); !c.reachable(k.dest) || c.pressed(k.dest, k, false) ||
		home != nil && !c.set.Pools && !c.warm(home) {
		c.turnAway(k)
		return
	}
	if k.allowed(c, k.dest) && !k.tried[k.dest.number] && c.fits(k.dest, k, k.Transit || c.late(k)) {
		c.send(k, k.dest, k.Transit)
		return
	}
	if !k.Transit && !c.late(k) && !(n != nil && n.gap > 0) {
		if t := c.tandem(k); t != nil {
			c.send(k, t, true)
			return
		}
		// Where callers take no advice, the call itself waits that long, once, for a circuit.
		if pause := c.comeBack(k); !c.set.TellsWait && k.notBefore == 0 && c.calm(k) && c.now+pause < k.due {
			k.notBefore = c.now + pause
			c.host.Timer(pause, "c"+strconv.FormatUint(k.ID, 10))
			return
		}
	}
	c.turnAway(k)
}

// comeBack is how long a blocked caller or call waits, so that the aim can still be met.
func (c *Controller) comeBack(k *call) time.Duration {
	if !c.valid(k) {
		return 0
	}
	return time.Duration(comeBack * float64(c.set.Classes[k.Class].Aim))
}

// allowed tells whether a pool has the skill for a call; exchanges have it all.
func (k *call) allowed(c *Controller, e *exchange) bool {
	pools := c.set.Classes[k.Class].Pools
	return !c.set.Pools || len(pools) == 0 || slices.Contains(pools, e.number)
}

// tandem draws a tandem (a pool of second choice) by the weights learnt for the destination.
func (c *Controller) tandem(k *call) *exchange {
	var fit []*exchange
	sum := 0.0
	for _, e := range c.exchanges { // offered to the groups alike, also where none takes it
		if e != k.dest && e.number != c.set.Home && k.attempts == 0 {
			e.counts[c.bucket()][len(c.set.Classes)] += 1 / math.Max(1, float64(len(c.exchanges)-2))
		}
	}
	for _, e := range c.exchanges {
		if e != k.dest && !k.tried[e.number] && k.allowed(c, e) && c.reachable(e) && !e.silent &&
			e.free >= 0 && c.fits(e, k, true) && !c.pressed(e, k, true) {
			fit = append(fit, e)
			sum += k.dest.weightOf(e, k.Via)
		}
	}
	if !c.set.Pools && !c.calm(k) {
		return nil
	}
	x := c.rng.Float64() * sum
	for _, e := range fit {
		// The weight is also the chance that the drawn tandem is tried at all: where turn-backs have cut it,
		// the second leg is short of circuits, and a try would cost three processors for nothing.
		if x -= k.dest.weightOf(e, k.Via); x <= 0 && c.rng.Float64() < k.dest.weightOf(e, k.Via) {
			return e
		} else if x <= 0 {
			return nil
		}
	}
	return nil
}

// calm tells whether the processors have time for more than plain direct calls.
func (c *Controller) calm(k *call) bool {
	limit := time.Duration(twoLegPart * float64(c.set.Classes[k.Class].Aim))
	return c.ownDelay() <= limit && !c.pressed(k.dest, k, true)
}

// weightOf is the weight of a tandem; the one a centre advises counts twice, since stale advice beats none.
func (e *exchange) weightOf(t *exchange, advised int) float64 {
	w, ok := e.weight[t.number]
	if !ok {
		w = 0.4
	}
	if advised == t.number {
		w = math.Min(1, 2*w)
	}
	return w
}

func (e *exchange) reweigh(t *exchange, by float64) {
	e.weight[t.number] = math.Min(1, math.Max(floor, e.weightOf(t, -1)*by))
}

// send starts an attempt; there is never another one out (rule 2).
func (c *Controller) send(k *call, e *exchange, twoLeg bool) {
	left := k.due - c.now
	if k.out || left <= 0 {
		return
	}
	k.out, k.at, k.office, k.sent, k.twoLeg = true, e, e.office.ID, c.now, twoLeg
	k.attempts++
	if k.tried == nil {
		k.tried = map[int]bool{}
	}
	k.tried[e.number] = true
	e.free = max(e.free-k.Width, -1)
	e.used[k.part(c)] += k.Width
	e.out = append(e.out, k)
	e.tokens--
	if home := c.exchange(c.set.Home, false); home != nil && home.cold {
		home.tokens--
	}
	if e.silent {
		e.nextTrial = c.now + e.trialGap
		e.trialGap = min(2*e.trialGap, lastTrial)
	}
	c.host.Send(k.ID, k.office, left)
}

// part is the part of the group's use that a call counts in: its class, or the lowest for two-leg calls.
func (k *call) part(c *Controller) int {
	if k.twoLeg {
		return len(c.set.Classes)
	}
	return k.Class
}

// settle takes an attempt off the books of the attempts that wait for an answer.
func (k *call) settle() {
	k.at.out = slices.DeleteFunc(k.at.out, func(o *call) bool { return o == k })
}

// Stands takes the news that a call stands.
func (c *Controller) Stands(now time.Duration, o Outcome) {
	c.at(now)
	k := c.calls[o.Call]
	if k == nil || !k.out || k.stands || o.Attempt != k.attempts-1 || o.Office != k.office {
		return
	}
	k.stands, k.answered = true, true
	k.settle()
	c.hear(k.at)
	if n := c.numbers[k.Number]; n != nil {
		n.gap, n.first = 0, 0
	}
	if !k.twoLeg || k.Transit || c.set.Pools {
		c.observe(k.at, o.Took)
	}
	if k.twoLeg && !k.Transit {
		k.dest.reweigh(k.at, raise)
	}
}

// Outcome takes the end of an attempt.
func (c *Controller) Outcome(now time.Duration, o Outcome) {
	c.at(now)
	k := c.calls[o.Call]
	if k == nil || !k.out || o.Attempt != k.attempts-1 || o.Office != k.office {
		return
	}
	if !k.stands {
		k.settle()
	}
	k.out = false
	k.at.used[k.part(c)] -= k.Width
	c.learn(k.at, o.Load)
	if !k.stands {
		c.blame(k, o)
	}
	if o.Over || k.answered {
		delete(c.calls, k.ID)
		return
	}
	c.again(k, o)
}

// blame learns from an attempt that failed.
func (c *Controller) blame(k *call, o Outcome) {
	e := k.at
	via := k.twoLeg && !k.Transit
	note := o.Note
	if note > NoteBeyondFull || note%16 == NoteProcessor {
		note %= 16 // the rest is a wait
	}
	switch {
	case o.Status == TimedOut:
		if !via {
			c.observe(e, o.Took)
		}
	case o.Status == NoConnect: // down or out of reach, whatever the list says
		c.mute(e, c.now)
	case o.Status == Faulted && note == NoteBusy:
		c.hear(e)
		c.busy(k)
	case o.Status == Full || o.Status == Faulted:
		c.hear(e)
		full := e
		if note == NoteBeyondFull {
			full = k.dest
		}
		if note == NoteProcessor || note == NoteBeyondFull {
			c.observe(full, 2*c.set.Classes[k.Class].Aim)
		}
		if via {
			k.dest.reweigh(e, cut)
		}
	}
}

// busy notes a busy number: the pause before its next call doubles.
func (c *Controller) busy(k *call) {
	n := c.note(k)
	n.gap = min(max(2*n.gap, busyGap), busyGapMost)
	n.busyUntil = c.now + n.gap
}

func (c *Controller) note(k *call) *number {
	n := c.numbers[k.Number]
	if n == nil {
		n = &number{}
		c.numbers[k.Number] = n
	}
	return n
}

// again decides what follows a failed attempt: another, later or at once, or the final answer.
func (c *Controller) again(k *call, o Outcome) {
	switch o.Status {
	case TimedOut, Reset, Cancelled:
		// The release is awaited (rule 5): what the attempt held may stay taken until then.
		k.mayRun = true
		delete(k.tried, k.at.number)
		k.notBefore = c.now + c.set.Release + time.Millisecond
		if k.Transit || k.notBefore >= k.due {
			c.turnAway(k)
			return
		}
		c.host.Timer(k.notBefore-c.now, "c"+strconv.FormatUint(k.ID, 10))
	case Faulted:
		k.mayRun = true
		c.turnAway(k)
	case Full, NoConnect, NotSent:
		if o.Note%16 == NoteProcessor && k.at == k.dest || o.Status == NotSent && o.Note%16 != NoteCircuit {
			c.turnAway(k)
			return
		}
		c.route(k)
	default:
		c.turnAway(k)
	}
}

// turnAway gives the final answer. A call that may have run where that is not safe is failed, never refused.
func (c *Controller) turnAway(k *call) {
	k.answered = true
	if !k.out {
		delete(c.calls, k.ID)
	}
	if k.mayRun && !c.set.Classes[k.Class].Safe || k.out {
		c.host.Fail(k.ID)
		return
	}
	if !k.Transit && k.Number != "" && k.dest != nil && c.valid(k) {
		n := c.note(k)
		n.class, n.first = k.Class, k.born
	}
	c.host.Refuse(k.ID, min(c.set.MaxWait, c.comeBack(k)))
}

// valid tells whether the class of a call is one of the settings'.
func (c *Controller) valid(k *call) bool { return k.Class >= 0 && k.Class < len(c.set.Classes) }

// HungUp takes the news that the caller has gone.
func (c *Controller) HungUp(now time.Duration, id uint64) {
	c.at(now)
	k := c.calls[id]
	if k == nil || k.stands {
		return
	}
	k.answered = true
	c.drop(k)
}

// drop forgets an answered call; an attempt still out is called off and kept until its outcome.
func (c *Controller) drop(k *call) {
	if !k.out {
		delete(c.calls, k.ID)
	} else if c.set.CanCancel {
		c.host.Cancel(k.ID, k.attempts-1)
	}
}

// Timer takes a timer that was asked for.
func (c *Controller) Timer(now time.Duration, mark string) {
	c.at(now)
	id, err := strconv.ParseUint(strings.TrimPrefix(mark, "c"), 10, 64)
	switch k := c.calls[id]; {
	case mark == "p":
		c.tick()
	case mark == "w":
		c.host.Watch(true)
	case err != nil || k == nil || k.answered:
	case now >= k.due:
		c.turnAway(k)
		c.drop(k)
	case !k.out && now >= k.notBefore:
		c.route(k)
	}
}
