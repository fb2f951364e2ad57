// Package ingress controls overload by client: while the call server refuses more than a small part of its calls, it limits
// how many calls of each client are passed on to the decision module (package logic), so that a client that floods does not
// take the capacity that others need. It has no clock and does no I/O: events and the time go in, decisions come out.
//
// The share of a client is max-min fair (water filling): a client that offers no more than an equal part of what the call
// server carries is not limited, and what these clients leave is divided equally among the others; weights make the parts
// unequal. Each client that is limited has a token bucket, a part of which is kept for its calls of the highest worth. Other
// calls are treated alike. While hardly any call is refused, no call is held back.
package ingress

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the control loop. They are ratios and durations and do not depend on the volume of the traffic.
const (
	rateWindow        = 2 * time.Second        // time constant of the rates: several set-ups long, short compared with a flood
	updateInterval    = 200 * time.Millisecond // time between two updates of the shares
	startRefusalRatio = 0.10                   // shares apply once more than this part of the answers are refusals
	highRefusalRatio  = 0.06                   // the admitted rate falls above this part of refusals among the answers and rises below half of it
	endRefusalRatio   = 0.03                   // shares end below this part of refusals among the answers, once less is offered than admitted
	increaseFactor    = 1.04                   // of the admitted rate per updateInterval: 22% a second, to find free capacity
	decreaseFactor    = 0.97                   // of the admitted rate per updateInterval: 14% a second, never below the carried rate
	bucketDuration    = 500 * time.Millisecond // a full token bucket holds the calls of this time
	topWorthReserve   = 0.5                    // part of its bucket that a client keeps for its calls of the highest worth
	minShareRate      = 0.5                    // calls per second that every client may have at least
)

// Level is a congestion level, as carried in the automatic congestion level (Q.763 3.4) and in SCON (RFC 4666 3.4.4).
type Level byte

// The congestion levels.
const (
	Clear   Level = iota // no shares apply, or the client offers no more than its share
	Over                 // the client offers more than its share
	FarOver              // it offers more than farOverFactor times its share, or has MaxCalls calls
)

// farOverFactor is the multiple of its share above which a client is far over it.
const farOverFactor = 2

// Settings of a Controller.
type Settings struct {
	Weights       []float64 // weight of each client in the division of the capacity; any but a finite positive number counts as 1
	DisableShares bool      // no shares: only MaxCalls applies
	MaxCalls      int       // calls that one client may have at the same time; 0: no limit
	TopWorth      float64   // worth of the class with the highest worth
}

// Controller limits the calls of the clients of one call server. It is not safe for concurrent use.
type Controller struct {
	settings    Settings
	clients     []clientState
	established rate // calls that were answered
	refused     rate // calls that the decision module refused, without those refused here
	nextUpdate  time.Duration
	sharing     bool    // shares apply
	admitRate   float64 // calls per second that are admitted while shares apply
}

// clientState is what is known of a client, and its limits.
type clientState struct {
	weight      float64
	offered     rate
	shareRate   float64       // calls per second that it may have while shares apply
	tokens      float64       // calls left in its token bucket
	refilledAt  time.Duration // when tokens was last updated
	activeCalls int           // admitted calls that have not ended
	level       Level
}

// rate measures events per second by a count that decays exponentially with time constant rateWindow.
type rate struct {
	count     float64
	updatedAt time.Duration
}

// add counts events at the present time.
func (r *rate) add(now time.Duration, events float64) {
	r.decay(now)
	r.count += events
}

// decay reduces the count by the time since it was last updated.
func (r *rate) decay(now time.Duration) {
	if elapsed := now - r.updatedAt; elapsed > 0 {
		r.count *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		r.updatedAt = now
	}
}

// perSecond is the present rate.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.count / rateWindow.Seconds()
}

// New makes a Controller with one client per weight.
func New(settings Settings) *Controller {
	controller := &Controller{settings: settings, clients: make([]clientState, len(settings.Weights))}
	for i, weight := range settings.Weights {
		if !(weight > 0) || math.IsInf(weight, 0) {
			weight = 1
		}
		controller.clients[i].weight = weight
	}
	return controller
}

// Offer decides whether a call of a client is admitted, and returns the congestion level to be signalled to the client. An
// admitted call counts as active until Ended.
func (c *Controller) Offer(now time.Duration, clientIndex int, worth float64) (admit bool, level Level) {
	client := &c.clients[clientIndex]
	client.offered.add(now, 1)
	c.update(now)
	if c.settings.MaxCalls > 0 && client.activeCalls >= c.settings.MaxCalls {
		return false, FarOver
	}
	if c.sharing && client.level != Clear && !client.takeToken(now, worth >= c.settings.TopWorth) {
		return false, max(client.level, Over)
	}
	client.activeCalls++
	return true, client.level
}

// takeToken takes a token from a client's bucket, if it may. Calls below the top worth leave part of the bucket.
func (c *clientState) takeToken(now time.Duration, topWorth bool) bool {
	size := math.Max(1, c.shareRate*bucketDuration.Seconds())
	c.tokens = math.Min(size, c.tokens+c.shareRate*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	needed := 1.0
	if !topWorth && size > 2 {
		needed += topWorthReserve * (size - 1) * scarcity(c.tokens/size)
	}
	if c.tokens < needed {
		return false
	}
	c.tokens--
	return true
}

// scarcity is 1 for an empty bucket and 0 for a full one: the fewer tokens are left, the more of them are kept for calls of
// the top worth.
func scarcity(fillLevel float64) float64 { return 1 - math.Min(1, math.Max(0, fillLevel)) }

// Answered records the answer of the decision module to a call.
func (c *Controller) Answered(now time.Duration, established bool) {
	if established {
		c.established.add(now, 1)
	} else {
		c.refused.add(now, 1)
	}
}

// Ended records the end of an admitted call.
func (c *Controller) Ended(clientIndex int) { c.clients[clientIndex].activeCalls-- }

// Level returns the current congestion level of a client.
func (c *Controller) Level(clientIndex int) Level { return c.clients[clientIndex].level }

// Sharing reports whether shares apply.
func (c *Controller) Sharing() bool { return c.sharing }

// Share returns the rate that a client may have while shares apply, in calls per second.
func (c *Controller) Share(clientIndex int) float64 { return c.clients[clientIndex].shareRate }

// update starts, renews or ends the shares, once per updateInterval. While shares apply the admitted rate rises and falls with
// the refusals of the decision module. If it were set to the carried rate, it would fall further with each update: clients
// never use up their buckets completely, so always less is carried than admitted.
func (c *Controller) update(now time.Duration) {
	if now < c.nextUpdate {
		return
	}
	c.nextUpdate = now + updateInterval
	established, refused := c.established.perSecond(now), c.refused.perSecond(now)
	refusalRatio := 0.0
	if refused > 0 {
		refusalRatio = refused / (established + refused)
	}
	switch {
	case len(c.clients) < 2 || c.settings.DisableShares: // no other client, or shares are off: the decision module alone decides
	case !c.sharing && refusalRatio > startRefusalRatio:
		c.sharing, c.admitRate = true, established
		for i := range c.clients {
			c.clients[i].tokens, c.clients[i].refilledAt = 0, now
		}
	case c.sharing && refusalRatio > highRefusalRatio:
		c.admitRate = math.Max(established, c.admitRate*decreaseFactor)
	case c.sharing && refusalRatio < highRefusalRatio/2:
		c.admitRate *= increaseFactor
	}
	offered := 0.0
	for i := range c.clients {
		offered += c.clients[i].offered.perSecond(now)
	}
	if c.sharing && refusalRatio < endRefusalRatio && c.admitRate > offered {
		c.sharing = false
	}
	c.assignShares(now, c.admitRate)
}

// assignShares gives each client its max-min fair share of a capacity. Clients are served in the order of their offered
// rate per weight; each takes that rate or its part, by weight, of the remaining capacity.
func (c *Controller) assignShares(now time.Duration, capacity float64) {
	order := make([]int, len(c.clients))
	weights := 0.0
	for i := range c.clients {
		order[i] = i
		weights += c.clients[i].weight
	}
	demand := func(i int) float64 { return c.clients[i].offered.perSecond(now) / c.clients[i].weight }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demand(a), demand(b)) })
	for _, i := range order {
		client := &c.clients[i]
		fairShare := capacity * client.weight / weights
		offered := client.offered.perSecond(now)
		client.shareRate = math.Max(minShareRate, fairShare)
		capacity -= math.Min(offered, fairShare)
		weights -= client.weight
		switch {
		case !c.sharing || offered <= client.shareRate:
			client.level = Clear
		case offered > farOverFactor*client.shareRate:
			client.level = FarOver
		default:
			client.level = Over
		}
	}
}
