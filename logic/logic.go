// Package logic decides for one call server: admit a call, send it direct or over a tandem, wait, try again,
// or refuse it. Settings, events and actions are in interface.go; every decision and tuned value is here.
//
// The ordinary path is the dynamic-threshold rule of Chen and Chen (sections 3.3, 3.4) on each own group:
// parts split anew each period by Equation 6. Guards stand around it. docs/DESIGN.md tells what is kept.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
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
	clearWin    = 0.02 // a new split must gain this part of the worth offered to the group
	prior       = 4.0  // calls that the common picture counts for: traffic misses its plan by about half
	raise       = 1.2  // tandem weight on a stand
	cut         = 0.3  // tandem weight on a turn-back or a full processor
	floor       = 0.05 // least tandem weight: every tandem is tried now and then
	pool        = 0.1  // weight of a new outcome in what is learnt of all pairs together
	draws       = 16.0 // tandems looked at for a blocked call, where all are usable and processors idle
	smooth      = 0.3  // weight of a new set-up delay in the running mean
	halfLife    = time.Second
	shedBase    = 0.2 // a two-leg call or one of no worth is shed past this part of its aim,
	shedWorth   = 0.5 // and the worthiest at this much more
	silentPart  = 0.5 // an exchange is silent after this part of the shortest aim without any answer
	firstTrial  = time.Second
	lastTrial   = 4 * time.Second
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
	aim               time.Duration // the shortest aim
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
	part      int // what it counts in of the group's use: its class, or the lowest for two-leg calls
	// an attempt is out; it stands; the final answer is given; it goes over a tandem; it may have run
	out, stands, answered, twoLeg, mayRun, waited, waiting bool
	tried                                                  []*exchange
}

type office struct {
	Office
	cold time.Duration // when it was started or came back; negative: long ago
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
	reserve, direct         int     // parts for the worthiest class, and for direct calls of any class
	others                  float64 // mean circuits in use that are not of own calls
	weight                  map[int]float64
	out, queue              []*call
	silent, cold            bool
	heard, silentFrom       time.Duration
	nextTrial, trialGap     time.Duration
	delay, delayAt          time.Duration
	eps, tokens             float64
	epsAt, coldAt, tokensAt time.Duration
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
	e := &exchange{number: n, free: -1, total: -1, used: make([]int, len(c.set.Classes)+1),
		weight: map[int]float64{}, counts: newCounts(len(c.set.Classes)), heard: -time.Hour,
		delayAt: -time.Hour, epsAt: -time.Hour}
	c.exchanges = slices.Insert(c.exchanges, i, e)
	return e
}

// List takes news of the exchanges. A drained or missing office gets nothing new from this moment (rule 3).
func (c *Controller) List(now time.Duration, kind ListKind, list []Office) {
	c.at(now)
	if kind == ListUnavailable {
		c.host.Timer(time.Second+time.Duration(c.rng.Int63n(int64(time.Second))), "w")
		return
	}
	named := map[string]bool{}
	for _, o := range list {
		named[o.ID] = true
		c.choose(c.enlist(o))
	}
	for _, e := range c.exchanges {
		for _, o := range e.offices {
			if kind != ListUpdate && !named[o.ID] && o.State != Gone {
				o.State = Gone
				c.choose(e)
			}
		}
	}
	c.listed = true
}

// enlist takes an entry of the list. An office may move to another exchange.
func (c *Controller) enlist(o Office) *exchange {
	known, e := c.offices[o.ID], c.exchange(o.Exchange, true)
	fresh := known == nil || known.Started != o.Started || known.State == Gone && o.State == Ready
	if known == nil {
		known = &office{Office: o, cold: -1}
		c.offices[o.ID] = known
		e.offices = append(e.offices, known)
	} else if known.Exchange != o.Exchange {
		from := c.exchange(known.Exchange, true)
		from.offices = slices.DeleteFunc(from.offices, func(x *office) bool { return x == known })
		e.offices = append(e.offices, known)
		c.choose(from)
	}
	known.Office = o
	if fresh && o.Started > 0 && c.now-o.Started < c.set.ColdFor {
		known.cold = o.Started
	} else if fresh && c.listed {
		known.cold = c.now
	}
	return e
}

// choose gives an exchange the newest of its ready offices.
func (c *Controller) choose(e *exchange) {
	var best *office
	for _, o := range e.offices {
		if o.State == Ready && (best == nil || o.Started > best.Started ||
			o.Started == best.Started && o.ID < best.ID) {
			best = o
		}
	}
	if best != nil && best.cold >= 0 && (e.office != best || e.coldAt != best.cold) {
		c.chill(e, best.cold)
		e.silent = false
	}
	e.office = best
}

// chill starts a cold budget, at a moment of its own: equal buckets hold back for long and then ripen as one.
func (c *Controller) chill(e *exchange, since time.Duration) {
	e.cold, e.coldAt, e.tokens, e.tokensAt = true, since, c.share(e)*coldBurst+c.rng.Float64(), c.now
	c.host.Log(fmt.Sprintf("cold exchange=%d", e.number))
}

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
		c.circuits += int(v) - max(0, e.total)
		e.total = int(v)
	}
	if v, ok := get(c.eps); ok && v <= 1 {
		e.eps, e.epsAt = v, c.now
	}
	c.serve(e)
}

// Peer takes a message of another call server. Nothing is made of it: calls are decided on own evidence.
func (c *Controller) Peer(now time.Duration, from int, data []byte) { c.at(now) }

// load is what one class offers to a group in circuits, what they count, and how many a call needs at once.
type load struct {
	erlangs, worth, penalty float64
	width                   int
}

// erlangB is the blocking of n circuits offered a erlangs, by the stable recursion.
func erlangB(n int, a float64) float64 {
	b := 1.0
	for i := 1; i <= n; i++ {
		b = a * b / (float64(i) + a*b)
	}
	return b
}

// payoff is Equation 6: each reserved part, reserve[k] for class k, is an Erlang loss system that overflows
// into the shared part, which Equation 4 scores. A wide call stands where as many single calls would.
func payoff(n int, reserve []int, loads []load) (total float64) {
	spill, over := 0.0, make([]float64, len(loads))
	for k, l := range loads {
		over[k] = l.erlangs
		if r := reserve[k]; r > 0 {
			over[k] *= erlangB(r/l.width, l.erlangs/float64(l.width))
			n -= r
		}
		spill += over[k]
	}
	stands := 1 - erlangB(n, spill)
	for k, l := range loads {
		blocked := over[k] * (1 - math.Pow(stands, float64(l.width)))
		total += (l.erlangs-blocked)*l.worth - blocked*l.penalty
	}
	return total
}

// counts are the calls offered in the window, by period and class; the last class is the two-leg calls.
type counts [buckets][]float64

func newCounts(classes int) (n counts) {
	for b := range n {
		n[b] = make([]float64, classes+1)
	}
	return n
}

func (n *counts) of(class int) (sum float64) {
	for b := range n {
		sum += n[b][class]
	}
	return sum
}

// bucket is the place of the counts of this moment.
func (c *Controller) bucket() int { return int((c.now - c.birth) / period % time.Duration(buckets)) }

// rescore picks the parts of a group, once a period.
func (c *Controller) rescore(e *exchange) {
	n := e.total - int(e.others+0.5) // the far end's use is not ours to split
	if e.total <= 0 || n < 1 {
		return
	}
	loads, offered := c.loads(e), 0.0
	for _, l := range loads {
		offered += l.erlangs * l.worth
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
	if best-old > clearWin*offered {
		c.host.Log(fmt.Sprintf("split exchange=%d reserve=%d direct=%d of=%d", e.number, r, d, n))
		e.reserve, e.direct = r, d
	}
}

// loads is what is offered to a group: the worthiest class, other direct calls, two-leg calls. A split on the
// handful of calls that a thin group sees jumps on noise: its counts are weighed against those of all groups.
func (c *Controller) loads(e *exchange) []load {
	out, last, fleet, own := []load{{width: max(1, c.set.Classes[c.top].Width)}, {width: 1}, {width: 1}},
		len(c.set.Classes), 0.0, 0.0
	for k := range c.set.Classes {
		fleet += c.counts.of(k)
		own += e.counts.of(k)
	}
	span, hold := math.Min(window.Seconds(), (c.now-c.birth).Seconds()), c.meanHold().Seconds()
	plan := fleet * float64(e.total) / float64(c.circuits)
	for k := 0; k <= last && fleet > 0 && span > 0; k++ {
		l, cl, calls, width := &out[1], Class{}, 0.0, c.meanWidth()
		if k == last { // a blocked call is offered to the groups alike, also where none takes it
			cl.Worth = twoLegWorth * c.mean(func(k Class) float64 { return k.Worth })
			l, calls = &out[2], e.counts.of(k)+c.counts.of(k)/math.Max(1, float64(len(c.exchanges)-1))
		} else {
			cl = c.set.Classes[k]
			width = math.Max(1, float64(cl.Width))
			calls = (e.counts.of(k) + prior*c.counts.of(k)/fleet) * plan / (plan + prior)
		}
		if k == c.top {
			l = &out[0]
		}
		if cl.Hold > 0 && hold > 0 {
			width *= cl.Hold.Seconds() / hold // what a call takes of a group is circuits x time
		}
		if a := calls * hold * width / span; a > 0 {
			l.worth = (l.worth*l.erlangs + cl.Worth/width*a) / (l.erlangs + a)
			l.erlangs += a
			l.penalty = l.worth
		}
	}
	return out
}

// mean weighs a value of the classes by the calls seen.
func (c *Controller) mean(of func(Class) float64) float64 {
	sum, n := 0.0, 0.0
	for i, k := range c.set.Classes {
		sum += (c.counts.of(i) + 1) * of(k)
		n += c.counts.of(i) + 1
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

// place finds out whether a call is a redial, and counts it for the split if it is not: the same demand
// counted again would swell the reserve with how hard callers redial. A redial's aim runs from its first try.
func (c *Controller) place(k *call) {
	n, class := c.numbers[k.Number], len(c.set.Classes)
	if n != nil && n.first > 0 && n.class == k.Class && !k.Transit && !k.WasCut &&
		c.now-n.first < c.set.Classes[k.Class].Deadline {
		k.born = n.first
	} else if !k.Again && !k.Transit {
		class = k.Class
		if k.dest.total > 0 {
			c.counts[c.bucket()][class]++
		}
	}
	k.dest.counts[c.bucket()][class]++
}

// late tells whether a call would stand after its aim: it joins the lowest class, against waves of redials.
func (c *Controller) late(k *call) bool {
	return !k.Transit && c.now+c.delayOf(k.dest) > k.born+c.set.Classes[k.Class].Aim
}

// tick is the work of each period.
func (c *Controller) tick() {
	for _, e := range c.exchanges {
		e.others += smooth * (math.Max(0, float64(e.total-max(e.free, 0)-e.held)) - e.others)
		c.rescore(e)
		clear(e.counts[c.bucket()])
	}
	clear(c.counts[c.bucket()])
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
	room, own := e.free, e.held-e.used[len(c.set.Classes)]
	if lowest || k.Class != c.top {
		room -= max(0, e.reserve-e.used[c.top])
	}
	if lowest {
		room -= max(0, e.direct-(own-min(e.reserve, e.used[c.top])))
	}
	return room >= k.Width
}

// delayOf is the set-up delay to expect: the fading mean, or the age of the oldest direct attempt out.
func (c *Controller) delayOf(e *exchange) time.Duration {
	d := time.Duration(float64(e.delay) * math.Exp2(-float64(c.now-e.delayAt)/float64(halfLife)))
	if len(e.out) > 0 {
		if age := c.seen - e.out[0].sent; age > d && !e.out[0].twoLeg {
			d = age
		}
	}
	return d
}

// ownDelay is the delay that all answers share, most likely the own processor's. Each quicker one lowers it.
func (c *Controller) ownDelay() time.Duration {
	if c.now-c.ownAt > 2*halfLife {
		return 0
	}
	return c.own
}

// observe takes the set-up delay of a direct call, or what an answer tells of an exchange's own delay.
func (c *Controller) observe(e *exchange, d time.Duration, direct bool) {
	d = max(0, d-(c.now-c.seen)+2*c.set.Tick)
	if own := c.ownDelay(); direct {
		c.own, c.ownAt = min(d, own+time.Duration(pool*float64(d-own))), c.now
	}
	old := c.delayOf(e)
	if c.now-e.delayAt > 4*halfLife {
		old = d
	}
	e.delay, e.delayAt = old+time.Duration(smooth*float64(d-old)), c.now
}

// hear notes a sign of life. A return after a long silence is taken for a cold start, against the herd.
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
// set-ups take. Calls and circuits would pile up behind it; so only single trials go there, at growing gaps.
func (c *Controller) quiet(e *exchange) bool {
	if e.silent || len(e.out) == 0 {
		return e.silent
	}
	since := max(e.out[0].sent, e.heard)
	limit := max(time.Duration(silentPart*float64(c.aim)), 4*e.delay)
	if c.seen-since > limit {
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
	if e.cold = e.cold && c.now-e.coldAt < c.set.ColdFor; !e.cold {
		return true
	}
	share, tip := c.share(e), c.set.TipAfter.Seconds()
	rate := coldUse * share / math.Max(tip, 0.001)
	e.tokens = math.Min(math.Max(1, share*coldBurst), e.tokens+(c.now-e.tokensAt).Seconds()*rate)
	e.tokensAt = c.now
	return e.tokens >= 1
}

// share is the part of this call server in the set-ups that a cold exchange can take within TipAfter. What a
// processor of our size can do is guessed from what full own groups turn over.
func (c *Controller) share(e *exchange) float64 {
	ramp := c.set.ColdFrom
	if late := c.now - e.coldAt - c.set.TipAfter; late > 0 && c.set.ColdFor > 0 {
		ramp = math.Min(1, ramp+(1-ramp)*float64(late)/float64(c.set.ColdFor))
	}
	hold := math.Max(c.meanHold().Seconds(), 0.1)
	capacity := math.Max(headroom*float64(c.circuits)/(hold*c.meanWidth()), 1)
	senders := float64(c.set.Instances)
	if e.number == c.set.Home && !c.set.Pools { // its own calls are half of the work of a processor
		senders = math.Min(senders, 2)
	}
	return c.set.Overload * ramp * capacity * c.set.TipAfter.Seconds() / senders
}

// pressed sheds a call that would not stand in time, least worth first: a late set-up costs two processors
// and earns little. One direct call at a time tries all the same, so that the end of a jam is seen.
func (c *Controller) pressed(e *exchange, k *call, twoLeg bool) bool {
	cl := c.set.Classes[k.Class]
	part := shedBase
	if !twoLeg && c.topWorth > 0 && !c.late(k) {
		part += shedWorth * cl.Worth / c.topWorth
	}
	if float64(c.ownDelay()) > part*float64(cl.Aim) {
		return twoLeg || c.waiting > 0
	}
	if float64(c.delayOf(e)) > part*float64(cl.Aim) {
		return twoLeg || !e.silent && (len(e.out) > 0 || c.now > k.born+cl.Aim)
	}
	if eps := e.eps * math.Exp2(-float64(c.now-e.epsAt)/float64(2*halfLife)); eps > 0.02 {
		return twoLeg || k.Class != c.top && c.rng.Float64() < eps
	}
	return false
}

// Offered takes a call, fresh or in transit.
func (c *Controller) Offered(now time.Duration, in Call) {
	c.at(now)
	if c.calls[in.ID] != nil {
		return
	}
	due := now + in.TimeLeft - 2*c.set.Tick - time.Millisecond // two batches are left for an answer
	k := &call{Call: in, born: now, due: due, dest: c.exchange(in.Dest, false)}
	if k.Class < 0 || k.Class >= len(c.set.Classes) || k.dest == nil || now >= due {
		c.host.Refuse(k.ID, 0)
		return
	}
	c.calls[in.ID] = k
	k.Width = cmp.Or(max(k.Width, 0), c.set.Classes[k.Class].Width)
	// Final answers: whatever becomes of the call, this timer comes before the caller gives up (rule 1).
	c.host.Timer(k.due-now, "c"+strconv.FormatUint(k.ID, 10))
	c.place(k)
	c.route(k)
}

// route sends a call, or turns it away.
func (c *Controller) route(k *call) {
	if e, twoLeg := c.pick(k); e != nil {
		c.send(k, e, twoLeg)
	} else if !c.queue(k) {
		c.turnAway(k)
	}
}

// queue keeps a blocked fresh call, once and while processors are calm, for a circuit of its direct group
// that frees in time for its aim. Refused, its caller would cost another look and stand late.
func (c *Controller) queue(k *call) bool {
	e, n := k.dest, c.numbers[k.Number]
	wait := k.born + time.Duration(waitPart*float64(c.set.Classes[k.Class].Aim)) - c.delayOf(e) - c.now
	if k.Transit || k.waited || k.mayRun || wait <= 0 || c.now+wait >= k.due || n != nil && n.gap > 0 ||
		e.total <= 0 || !c.reachable(e) || c.pressed(e, k, true) {
		return false
	}
	k.waited, k.waiting, k.notBefore = true, true, c.now+wait
	e.queue = append(e.queue, k)
	slices.SortStableFunc(e.queue, func(a, b *call) int {
		return cmp.Compare(c.set.Classes[b.Class].Worth, c.set.Classes[a.Class].Worth)
	})
	c.host.Timer(wait, "c"+strconv.FormatUint(k.ID, 10))
	return true
}

// serve gives free circuits to the calls that wait for one, worthiest first. Sent and answered calls leave.
func (c *Controller) serve(e *exchange) {
	e.queue = slices.DeleteFunc(e.queue, func(k *call) bool {
		k.waiting = k.waiting && !k.answered
		if k.waiting && c.fits(e, k, false) && c.reachable(e) && !c.pressed(e, k, false) {
			c.route(k) // no tandem this time, and never more attempts than allowed
		}
		return !k.waiting || k.answered
	})
}

// pick finds where a call may go now, and whether that is over a tandem.
func (c *Controller) pick(k *call) (*exchange, bool) {
	n, home := c.numbers[k.Number], c.exchange(c.set.Home, false)
	switch {
	// A busy number: one call at a time learns whether a line is free, the others spare the processors.
	case !k.Transit && n != nil && c.now < n.busyUntil:
	case c.set.MaxAttempts > 0 && k.attempts >= c.set.MaxAttempts || k.mayRun && !c.set.Classes[k.Class].Safe:
	case !c.reachable(k.dest) || home != nil && !c.set.Pools && !c.warm(home) || c.pressed(k.dest, k, false):
	case k.allowed(c, k.dest) && c.fits(k.dest, k, k.Transit || c.late(k)):
		return k.dest, k.Transit
	case !k.Transit && !k.waited && !c.late(k) && !(n != nil && n.gap > 0):
		return c.tandem(k), true
	}
	return nil, false
}

// allowed tells whether a call may try an exchange: not twice, and of pools only those with its skill.
func (k *call) allowed(c *Controller, e *exchange) bool {
	skilled := c.set.Classes[k.Class].Pools
	return !slices.Contains(k.tried, e) &&
		(!c.set.Pools || len(skilled) == 0 || slices.Contains(skilled, e.number))
}

// tandem draws a tandem (a pool of second choice) by the weights learnt. The one that a centre advises goes
// first, as often as advice has lately stood: the centre has seen the second leg.
func (c *Controller) tandem(k *call) *exchange {
	if k.attempts == 0 {
		c.counts[c.bucket()][len(c.set.Classes)]++
	}
	if !c.set.Pools && c.pressed(k.dest, k, true) {
		return nil
	}
	if t := c.exchange(k.Via, false); c.usable(t, k) && c.rng.Float64() < c.trust {
		return t
	}
	var best *exchange
	// A draw falls on each alike and is kept with the chance of its weight: the danger is tries that cost
	// three processors for nothing. The fewer stand and the longer the own wait, the fewer are looked at.
	calm := 1 - float64(c.ownDelay())/(shedBase*float64(c.set.Classes[k.Class].Aim))
	for i := 0.0; i < min(draws, float64(len(c.exchanges)))*c.ease*calm; i++ {
		e := c.exchanges[c.rng.Intn(len(c.exchanges))]
		if c.usable(e, k) && c.rng.Float64() < c.weightOf(k.dest, e) && (best == nil || e.free > best.free) {
			best = e
		}
	}
	return best
}

// usable tells whether a tandem can take a call now, as far as is seen from here.
func (c *Controller) usable(e *exchange, k *call) bool {
	return e != nil && e != k.dest && e.free >= 0 && c.fits(e, k, true) && k.allowed(c, e) &&
		!e.cold && c.reachable(e) && !e.silent && !c.pressed(e, k, true)
}

// weightOf is the weight of a tandem; a pair not seen yet has the mean of all, or evidence would starve.
func (c *Controller) weightOf(dest, t *exchange) float64 {
	if w, ok := dest.weight[t.number]; ok {
		return w
	}
	return c.ease
}

// reweigh learns from a two-leg attempt: of the pair, of all pairs, and of the centre's advice.
func (c *Controller) reweigh(k *call, by float64) {
	k.dest.weight[k.at.number] = math.Min(1, math.Max(floor, c.weightOf(k.dest, k.at)*by))
	mean := &c.ease
	if k.at.number == k.Via {
		mean = &c.trust
	}
	*mean = math.Max(floor, (1-pool)**mean)
	if by > 1 {
		*mean += pool
	}
}

// send starts an attempt; there is never another one out (rule 2).
func (c *Controller) send(k *call, e *exchange, twoLeg bool) {
	left := k.due - c.now
	if k.out || left <= 0 {
		return
	}
	k.out, k.waiting, k.at, k.office, k.sent, k.twoLeg = true, false, e, e.office.ID, c.now, twoLeg
	k.attempts, k.part = k.attempts+1, k.Class
	if twoLeg {
		k.part = len(c.set.Classes)
	}
	k.tried = append(k.tried, e)
	e.free = max(e.free-k.Width, -1)
	e.used[k.part], e.held = e.used[k.part]+k.Width, e.held+k.Width
	e.out = append(e.out, k)
	c.waiting++
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

// settle takes an attempt off the books of the attempts that wait for an answer.
func (c *Controller) settle(k *call) {
	c.waiting--
	k.at.out = slices.DeleteFunc(k.at.out, func(o *call) bool { return o == k })
}

// current finds the call whose latest attempt an outcome belongs to.
func (c *Controller) current(o Outcome) *call {
	if k := c.calls[o.Call]; k != nil && k.out && o.Attempt == k.attempts-1 && o.Office == k.office {
		return k
	}
	return nil
}

// Stands takes the news that a call stands.
func (c *Controller) Stands(now time.Duration, o Outcome) {
	c.at(now)
	k := c.current(o)
	if k == nil || k.stands {
		return
	}
	k.stands, k.answered = true, true
	c.settle(k)
	c.hear(k.at)
	if n := c.numbers[k.Number]; n != nil {
		n.gap, n.first = 0, 0
	}
	if !k.twoLeg || k.Transit || c.set.Pools {
		c.observe(k.at, o.Took, true)
	}
	if k.twoLeg && !k.Transit {
		c.reweigh(k, raise)
	}
}

// Outcome takes the end of an attempt.
func (c *Controller) Outcome(now time.Duration, o Outcome) {
	c.at(now)
	k := c.current(o)
	if k == nil {
		return
	}
	k.out = false
	k.at.used[k.part], k.at.held = k.at.used[k.part]-k.Width, k.at.held-k.Width
	c.learn(k.at, o.Load)
	if !k.stands {
		c.settle(k)
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
			c.observe(e, o.Took, !e.silent) // a dead exchange tells nothing of the own processor
		}
	case o.Status == NoConnect: // down or out of reach, whatever the list says
		c.mute(e, c.now)
	case o.Status == Faulted && note == NoteBusy:
		c.hear(e)
		n := c.note(k) // the pause before the next call to it doubles
		n.gap = min(max(2*n.gap, busyGap), busyGapMost)
		n.busyUntil = c.now + n.gap
	case o.Status == Full || o.Status == Faulted:
		c.hear(e)
		full := e
		if note == NoteBeyondFull {
			full = k.dest
		}
		if note == NoteProcessor || note == NoteBeyondFull {
			c.observe(full, 2*c.set.Classes[k.Class].Aim, false)
		}
		if via {
			c.reweigh(k, cut)
		}
	}
}

// note is what is remembered of the number of a call.
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
		k.mayRun, k.tried = true, k.tried[:len(k.tried)-1]
		k.notBefore = c.now + c.set.Release + time.Millisecond
		if !k.Transit && k.notBefore < k.due {
			c.host.Timer(k.notBefore-c.now, "c"+strconv.FormatUint(k.ID, 10))
			return
		}
	case Full, NoConnect, NotSent:
		atEnd := o.Note%16 == NoteProcessor && k.at == k.dest
		if !atEnd && (o.Status != NotSent || o.Note%16 == NoteCircuit) {
			c.route(k)
			return
		}
	default:
		k.mayRun = true
	}
	c.turnAway(k)
}

// turnAway gives the final answer. A call that may have run where that is not safe is failed, never refused.
func (c *Controller) turnAway(k *call) {
	k.answered = true
	c.drop(k)
	if k.mayRun && !c.set.Classes[k.Class].Safe || k.out {
		c.host.Fail(k.ID)
		return
	}
	if !k.Transit && k.Number != "" {
		n := c.note(k)
		n.class, n.first = k.Class, k.born
	}
	c.host.Refuse(k.ID, min(c.set.MaxWait, time.Duration(comeBack*float64(c.set.Classes[k.Class].Aim))))
}

// HungUp takes the news that the caller has gone.
func (c *Controller) HungUp(now time.Duration, id uint64) {
	c.at(now)
	if k := c.calls[id]; k != nil && !k.stands {
		k.answered = true
		c.drop(k)
	}
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
	case !k.out && now >= k.notBefore:
		c.route(k)
	}
}
