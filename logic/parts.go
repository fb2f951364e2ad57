package logic

// Parts and scoring: Chen and Chen's split of each own group, the counts behind it, and what fits in it.

import (
	"fmt"
	"math"
	"time"
)

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
	all := make([]float64, buckets*(classes+1))
	for b := range n {
		n[b], all = all[:classes+1:classes+1], all[classes+1:]
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
		c.forgetGone(e)
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
