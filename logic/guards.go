package logic

// Guards: what may be sent at all, whatever the split says (rule 4, silence, overload).

import (
	"fmt"
	"math"
	"time"
)

// chill starts a cold budget, at a moment of its own: equal buckets hold back for long and then ripen as one.
func (c *Controller) chill(e *exchange, since time.Duration) {
	e.cold, e.coldAt, e.tokens, e.tokensAt = true, since, c.share(e)*coldBurst+c.rng.Float64(), c.now
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
	if eps := e.eps * math.Exp2(-float64(c.now-e.epsAt)/float64(2*c.fade)); eps > 0.02 {
		return twoLeg || k.Class != c.top && c.rng.Float64() < eps
	}
	return false
}
