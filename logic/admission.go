package logic

import (
	"fmt"
	"math"
	"time"
)

// minReduction is the reported reduction below which no calls are shed.
const minReduction = 0.02

// startSlowStart begins the slow start of an exchange (rule 4). Its budget accrues from a random time within the last
// TipAfter on: if the budgets of many call servers accrued in step, all would send nothing for long and then all at once.
func (c *Controller) startSlowStart(exchange *exchangeRecord, since time.Duration) {
	exchange.isCold, exchange.coldSince, exchange.tokens = true, since, 0
	exchange.tokensAt = c.now - time.Duration(c.rng.Float64()*float64(c.settings.TipAfter))
	c.host.Log(fmt.Sprintf("cold exchange=%d", exchange.number))
}

// mayReceive reports whether a set-up may be sent to an exchange at all, whatever its partition says. An unresponsive exchange
// gets only trial attempts: the next one when nextTrial has come and trialInterval has passed since the latest outstanding
// attempt, even if that has no answer yet. The call has effects: it may mark the exchange as unresponsive, and it refills the
// slow-start budget.
func (c *Controller) mayReceive(exchange *exchangeRecord) bool {
	if exchange == nil || exchange.serving == nil || !c.settings.Pools && exchange.number == c.settings.Home {
		return false
	}
	if c.detectUnresponsive(exchange) &&
		(len(exchange.outstanding) > 0 &&
			c.now-exchange.outstanding[len(exchange.outstanding)-1].sentAt < exchange.trialInterval ||
			c.now < exchange.nextTrial) {
		return false
	}
	return c.slowStartAllows(exchange)
}

// slowStartAllows reports whether the slow-start budget allows a set-up, and refills the budget (rule 4). It is true for an
// exchange without a slow start. A processor that has just started fails when all call servers together send it too much,
// so each keeps to its share of what the processor can take, over any window of TipAfter.
//
// If the burst share of the budget is a whole call or more, the budget accrues evenly, up to that share. With many call
// servers it is less: if each of them saved up a whole call, they could send them all at the same time. Such a budget is
// therefore drawn at random, at equal intervals: each draw allows one call or none, so that the mean over TipAfter is the
// budget less its margin, and an allowed call that is not used by the next draw is lost.
func (c *Controller) slowStartAllows(exchange *exchangeRecord) bool {
	if exchange.isCold = exchange.isCold && c.now-exchange.coldSince < c.settings.ColdFor; !exchange.isCold {
		return true
	}
	// The lower limit of a millisecond avoids a division by zero.
	budget, windowSeconds := c.slowStartBudget(exchange), math.Max(c.settings.TipAfter.Seconds(), 0.001)
	elapsed := (c.now - exchange.tokensAt).Seconds()
	if budget*slowStartBurstShare >= 1 {
		exchange.tokens = math.Min(budget*slowStartBurstShare, exchange.tokens+elapsed*slowStartSteadyShare*budget/windowSeconds)
		exchange.tokensAt = c.now
	} else if allowance := (slowStartSteadyShare + slowStartBurstShare) * budget; elapsed >= windowSeconds/math.Ceil(allowance) {
		exchange.tokens, exchange.tokensAt = 0, c.now
		if c.rng.Float64()*math.Ceil(allowance) < allowance {
			exchange.tokens = 1
		}
	}
	return exchange.tokens >= 1
}

// slowStartBudget is the share of this call server, in calls, of the set-ups that a cold exchange can take within TipAfter.
// The capacity of a processor is estimated from the set-up rate of its trunk groups when they are full. Each call server
// takes the share of its own group, so that the shares add up to the capacity however much exchanges differ in size.
func (c *Controller) slowStartBudget(exchange *exchangeRecord) float64 {
	ramp, circuits := c.settings.ColdFrom, float64(exchange.total)
	if rampTime := c.now - exchange.coldSince - c.settings.TipAfter; rampTime > 0 && c.settings.ColdFor > 0 {
		ramp = math.Min(1, ramp+(1-ramp)*float64(rampTime)/float64(c.settings.ColdFor))
	}
	if c.settings.Pools {
		circuits = float64(c.totalCircuits) / float64(c.settings.Instances)
	} else if exchange.number == c.settings.Home { // calls from here are half of the work of its processor
		circuits = float64(c.totalCircuits) / math.Min(float64(c.settings.Instances), 2)
	}
	// The lower limits of one circuit and a tenth of a second avoid a budget of zero and a division by zero.
	fullRate := processorHeadroom * math.Max(circuits, 1) / (math.Max(c.meanHold().Seconds(), 0.1) * c.meanWidth())
	return c.settings.Overload * ramp * fullRate * c.settings.TipAfter.Seconds()
}

// shouldShed reports whether to shed a call because its set-up would be late or the exchange asks for fewer calls, those of
// least worth first: a late set-up costs two processors and earns little. One direct call at a time is admitted
// nevertheless, to notice the end of the overload: one in all if the processor of this call server is slow, and one for each
// slow exchange unless the aim of the call is past. Direct calls to a slow exchange that is unresponsive are not shed here,
// since mayReceive limits them to trial attempts. A reported reduction decays with twice the half-life of delays and doesn't
// apply to direct calls of the worthiest class.
func (c *Controller) shouldShed(exchange *exchangeRecord, call *callRecord, twoLeg bool) bool {
	class := c.settings.Classes[call.Class]
	aimShare := shedDelayFactor
	if !twoLeg && c.topWorth > 0 && !c.wouldBeLate(call) {
		aimShare += shedWorthFactor * class.Worth / c.topWorth
	}
	if float64(c.localDelay()) > aimShare*float64(class.Aim) {
		return twoLeg || c.outstandingCount > 0
	}
	if float64(c.expectedDelay(exchange)) > aimShare*float64(class.Aim) {
		return twoLeg || !exchange.unresponsive && (len(exchange.outstanding) > 0 || c.now > call.firstTryAt+class.Aim)
	}
	if reduction := exchange.reduction *
		math.Exp2(-float64(c.now-exchange.reductionAt)/float64(2*c.delayHalfLife)); reduction > minReduction {
		return twoLeg || call.Class != c.topClass && c.rng.Float64() < reduction
	}
	return false
}
