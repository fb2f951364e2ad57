package logic

// Guards: what may be sent at all, whatever the split says (rule 4, silence, overload).

import (
	"fmt"
	"math"
	"time"
)

// chill starts a cold budget, at a moment of its own: equal ones hold back for long and then ripen as one.
func (c *Controller) chill(e *exchange, since time.Duration) {
	e.cold, e.coldAt, e.tokens = true, since, 0
	e.tokensAt = c.now - time.Duration(c.rng.Float64()*float64(c.set.TipAfter))
	c.host.Log(fmt.Sprintf("cold exchange=%d", e.number))
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
// The danger: many call servers with less than a call each, which hold a whole one when all are wanted. So a
// part of a call is drawn for, once in the span of a whole one, and is not saved.
func (c *Controller) warm(e *exchange) bool {
	if e.cold = e.cold && c.now-e.coldAt < c.set.ColdFor; !e.cold {
		return true
	}
	share, tip := c.share(e), math.Max(c.set.TipAfter.Seconds(), 0.001)
	passed := (c.now - e.tokensAt).Seconds()
	if share*coldBurst >= 1 {
		e.tokens = math.Min(share*coldBurst, e.tokens+passed*coldUse*share/tip)
		e.tokensAt = c.now
	} else if due := (coldUse + coldBurst) * share; passed >= tip/math.Ceil(due) {
		e.tokens, e.tokensAt = 0, c.now
		if c.rng.Float64()*math.Ceil(due) < due {
			e.tokens = 1
		}
	}
	return e.tokens >= 1
}

// share is the part of this call server in the set-ups that a cold exchange can take within TipAfter. What a
// processor can do is guessed from what its groups turn over when full, and each call server sends what its
// own group would: exchanges differ in size, and so the parts add up whatever the sizes.
func (c *Controller) share(e *exchange) float64 {
	ramp, circuits := c.set.ColdFrom, float64(e.total)
	if late := c.now - e.coldAt - c.set.TipAfter; late > 0 && c.set.ColdFor > 0 {
		ramp = math.Min(1, ramp+(1-ramp)*float64(late)/float64(c.set.ColdFor))
	}
	if c.set.Pools {
		circuits = float64(c.circuits) / float64(c.set.Instances)
	} else if e.number == c.set.Home { // its own calls are half of the work of a processor
		circuits = float64(c.circuits) / math.Min(float64(c.set.Instances), 2)
	}
	full := headroom * math.Max(circuits, 1) / (math.Max(c.meanHold().Seconds(), 0.1) * c.meanWidth())
	return c.set.Overload * ramp * full * c.set.TipAfter.Seconds()
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
	if eps := e.eps * math.Exp2(-float64(c.now-e.epsAt)/float64(2*c.fade)); eps > 0.02 {
		return twoLeg || k.Class != c.top && c.rng.Float64() < eps
	}
	return false
}
