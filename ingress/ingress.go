// Package ingress decides, while the call server refuses more than a little, how many calls of each client go on to the
// module: a client that floods does not take what others need. It is pure: events and the time in, a verdict out.
//
// The share of a client is max-min fair (water filling): whoever offers no more than an equal part of what the call
// server carries is left alone; what these leave is divided alike among the others. Inside its share a client's
// worthier calls go first. While hardly a call is refused everything goes on.
package ingress

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values, all ratios or spans of the control loop, none of the traffic.
const (
	window    = 2 * time.Second // memory of the rates: a few hold times of set-ups, short beside a flood
	period    = 200 * time.Millisecond
	beginPart = 0.10 // shares apply when more than this part of the answers are refusals
	mostPart  = 0.06 // while shares apply, less is let in when more than this part are, and more when fewer than half
	endPart   = 0.03 // shares apply no longer when fewer than this are, and nobody is over its share
	grow      = 1.04 // what is let in while few are refused, for each period: 22% a second, so that room is found
	shrink    = 0.97 // and while many are: 14% a second, never under what is carried
	burst     = 500 * time.Millisecond
	worthPart = 0.5 // of its bucket that a client keeps for its worthiest calls
	leastRate = 0.5 // calls a second that every client has at the least
)

// Level is a congestion level, as automatic congestion level (Q.763 3.4) and SCON (RFC 4666 3.4.4) carry it.
type Level byte

// Levels: none, a client over its share, a client far over it.
const (
	Clear Level = iota
	Over
	FarOver
)

// farOver is how many times its share a client offers to be far over it.
const farOver = 2

// Settings of a Controller.
type Settings struct {
	Weights  []float64 // of the clients: their parts of what is shared; 0 counts as 1
	Alone    bool      // no shares: only MaxCalls counts
	MaxCalls int       // calls that one client may have held; 0: no limit
	TopWorth float64   // worth of the worthiest class
}

// Controller watches the clients of one call server. It is not safe for concurrent use.
type Controller struct {
	set     Settings
	clients []client
	carried rate // calls that stood
	refused rate // calls that the module refused, without those refused here
	next    time.Duration
	sharing bool
	let     float64 // calls a second that are let in while shares apply
}

type client struct {
	weight  float64
	offered rate
	share   float64 // calls a second it may have while shares apply
	tokens  float64
	at      time.Duration
	held    int
	level   Level
}

// rate is a fading count: events a second over the window.
type rate struct {
	n  float64
	at time.Duration
}

func (r *rate) add(now time.Duration, n float64) {
	r.fade(now)
	r.n += n
}

func (r *rate) fade(now time.Duration) {
	if d := now - r.at; d > 0 {
		r.n *= math.Exp(-d.Seconds() / window.Seconds())
		r.at = now
	}
}

func (r *rate) perSecond(now time.Duration) float64 {
	r.fade(now)
	return r.n / window.Seconds()
}

// New makes a Controller for as many clients as there are weights.
func New(s Settings) *Controller {
	c := &Controller{set: s, clients: make([]client, len(s.Weights))}
	for i, w := range s.Weights {
		if !(w > 0) || math.IsInf(w, 0) {
			w = 1
		}
		c.clients[i].weight = w
	}
	return c
}

// Offer judges a call of a client. A call that is let in counts as held until Ended.
func (c *Controller) Offer(now time.Duration, who int, worth float64) (admit bool, level Level) {
	k := &c.clients[who]
	k.offered.add(now, 1)
	c.settle(now)
	if c.set.MaxCalls > 0 && k.held >= c.set.MaxCalls {
		return false, FarOver
	}
	if c.sharing && k.level != Clear && !k.take(now, worth >= c.set.TopWorth) {
		return false, max(k.level, Over)
	}
	k.held++
	return true, k.level
}

// take draws on a client's bucket. Calls of less than the top worth leave part of it.
func (k *client) take(now time.Duration, top bool) bool {
	size := math.Max(1, k.share*burst.Seconds())
	k.tokens = math.Min(size, k.tokens+k.share*(now-k.at).Seconds())
	k.at = now
	least := 1.0
	if !top && size > 2 {
		least += worthPart * (size - 1) * scarce(k.tokens/size)
	}
	if k.tokens < least {
		return false
	}
	k.tokens--
	return true
}

// scarce is 1 for an empty bucket and 0 for a full one: the less is left, the more is kept for the worthiest.
func scarce(filled float64) float64 { return 1 - math.Min(1, math.Max(0, filled)) }

// Answered takes the answer that the module gave a call of a client.
func (c *Controller) Answered(now time.Duration, stood bool) {
	if stood {
		c.carried.add(now, 1)
	} else {
		c.refused.add(now, 1)
	}
}

// Ended takes the end of a call that was let in.
func (c *Controller) Ended(who int) { c.clients[who].held-- }

// Level is the congestion level of a client now.
func (c *Controller) Level(who int) Level { return c.clients[who].level }

// Sharing tells whether shares apply.
func (c *Controller) Sharing() bool { return c.sharing }

// Share is the rate that a client may have, in calls a second; it counts while shares apply.
func (c *Controller) Share(who int) float64 { return c.clients[who].share }

// settle begins, renews or ends the shares, once a period. What is let in follows the refusals of the module: it
// would spiral down if it followed what is carried, since no bucket is ever used up quite.
func (c *Controller) settle(now time.Duration) {
	if now < c.next {
		return
	}
	c.next = now + period
	carried, refused := c.carried.perSecond(now), c.refused.perSecond(now)
	part := 0.0
	if refused > 0 {
		part = refused / (carried + refused)
	}
	switch {
	case len(c.clients) < 2 || c.set.Alone: // nobody to share with: the module alone decides
	case !c.sharing && part > beginPart:
		c.sharing, c.let = true, carried
		for i := range c.clients {
			c.clients[i].tokens, c.clients[i].at = 0, now
		}
	case c.sharing && part > mostPart:
		c.let = math.Max(carried, c.let*shrink)
	case c.sharing && part < mostPart/2:
		c.let *= grow
	}
	offered := 0.0
	for i := range c.clients {
		offered += c.clients[i].offered.perSecond(now)
	}
	if c.sharing && part < endPart && c.let > offered {
		c.sharing = false
	}
	c.fill(now, c.let)
}

// fill gives each client its max-min fair share of a capacity: clients in the order of what they offer for their
// weight, each takes that or an equal part of what is left.
func (c *Controller) fill(now time.Duration, capacity float64) {
	order := make([]int, len(c.clients))
	weights := 0.0
	for i := range c.clients {
		order[i] = i
		weights += c.clients[i].weight
	}
	need := func(i int) float64 { return c.clients[i].offered.perSecond(now) / c.clients[i].weight }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(need(a), need(b)) })
	for _, i := range order {
		k := &c.clients[i]
		fair := capacity * k.weight / weights
		offered := k.offered.perSecond(now)
		k.share = math.Max(leastRate, fair)
		capacity -= math.Min(offered, fair)
		weights -= k.weight
		switch {
		case !c.sharing || offered <= k.share:
			k.level = Clear
		case offered > farOver*k.share:
			k.level = FarOver
		default:
			k.level = Over
		}
	}
}
