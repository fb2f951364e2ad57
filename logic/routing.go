package logic

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// Offered decides about a call that a caller or, in transit, another call server offers.
func (c *Controller) Offered(now time.Duration, offered Call) {
	c.advanceClock(now)
	if c.calls[offered.ID] != nil {
		return
	}
	answerBy := now + offered.TimeLeft - 2*c.settings.Tick - time.Millisecond // an answer takes up to two batches
	call := &callRecord{Call: offered, firstTryAt: now, answerBy: answerBy, dest: c.exchangeByNumber(offered.Dest, false)}
	if call.Class < 0 || call.Class >= len(c.settings.Classes) || call.dest == nil || now >= answerBy {
		c.host.Refuse(call.ID, 0)
		return
	}
	c.calls[offered.ID] = call
	call.Width = cmp.Or(max(call.Width, 0), c.settings.Classes[call.Class].Width)
	// Rule 1: whatever becomes of the call, this timer brings its final answer before the caller gives up.
	c.host.Timer(call.answerBy-now, "c"+strconv.FormatUint(call.ID, 10))
	c.recordOffered(call)
	if call.ReleasedAt > 0 && now < c.releaseTimeEnd(call.ReleasedAt) {
		c.awaitReleaseTime(call, call.ReleasedAt)
		return
	}
	c.route(call)
}

// route sends a call, has it wait, or gives the final answer. It starts no attempt if the final answer is due within one
// batch: the set-up could arrive after it.
func (c *Controller) route(call *callRecord) {
	if call.answerBy-c.now < c.settings.Tick {
		c.giveFinalAnswer(call)
		return
	}
	if exchange, twoLeg := c.selectRoute(call); exchange != nil {
		c.send(call, exchange, twoLeg)
	} else if !c.enqueue(call) {
		c.giveFinalAnswer(call)
	}
}

// enqueue has a blocked call wait for a circuit of its direct group that is freed in time for its aim. A refused caller would
// redial: that costs another decision, and the call would be established late. The result is false for a call that doesn't
// wait: one that is in transit, has waited before, may have taken effect or would wait too long. Nor does a call wait if its
// number was busy, the size of its group is unknown, its destination may not receive it, or load is being shed.
func (c *Controller) enqueue(call *callRecord) bool {
	exchange, record := call.dest, c.calledNumbers[call.Number]
	wait := call.firstTryAt + time.Duration(circuitWaitFactor*float64(c.settings.Classes[call.Class].Aim)) -
		c.expectedDelay(exchange) - c.now
	if call.Transit || call.hasWaited || call.mayHaveTakenEffect || wait <= 0 || c.now+wait >= call.answerBy ||
		record != nil && record.busyBackoff > 0 || exchange.total <= 0 || !c.mayReceive(exchange) ||
		c.shouldShed(exchange, call, true) {
		return false
	}
	call.hasWaited, call.isWaiting, call.notBefore = true, true, c.now+wait
	place, _ := slices.BinarySearchFunc(exchange.waitingCalls, c.settings.Classes[call.Class].Worth, func(other *callRecord, worth float64) int {
		if c.settings.Classes[other.Class].Worth >= worth {
			return -1 // behind those of the same worth
		}
		return 1
	})
	exchange.waitingCalls = slices.Insert(exchange.waitingCalls, place, call)
	c.host.Timer(wait, "c"+strconv.FormatUint(call.ID, 10))
	return true
}

// serveWaiting routes the calls that wait for a circuit and can be sent now, worthiest first, and removes calls that were sent
// or have their final answer.
func (c *Controller) serveWaiting(exchange *exchangeRecord) {
	exchange.waitingCalls = slices.DeleteFunc(exchange.waitingCalls, func(call *callRecord) bool {
		call.isWaiting = call.isWaiting && !call.finalAnswerGiven
		if call.isWaiting && c.hasRoom(exchange, call, false) && c.mayReceive(exchange) &&
			!c.shouldShed(exchange, call, false) {
			c.route(call) // takes no tandem after a wait, and applies the limit of attempts
		}
		return !call.isWaiting || call.finalAnswerGiven
	})
}

// selectRoute returns the exchange that a call may be sent to now, or nil, and whether the attempt is one leg of a two-leg
// call.
func (c *Controller) selectRoute(call *callRecord) (*exchangeRecord, bool) {
	record, home := c.calledNumbers[call.Number], c.exchangeByNumber(c.settings.Home, false)
	switch {
	// A busy number: calls to it are refused until the backoff is over, since they would load the processors for nothing.
	// Then they are sent again, until the next busy answer.
	case !call.Transit && record != nil && c.now < record.busyUntil:
	case c.settings.MaxAttempts > 0 && call.attempts >= c.settings.MaxAttempts ||
		call.mayHaveTakenEffect && !c.settings.Classes[call.Class].SafeToRepeat:
	// A call to the home exchange is offered here while the call server of its caller is away. It can't be sent there
	// directly, but over a tandem; otherwise all such calls would be refused. The price is two circuits for each call, which
	// matters where circuits are short.
	case call.dest == home && !c.settings.Pools && !call.Transit && !call.hasWaited && !c.wouldBeLate(call) &&
		c.slowStartAllows(home):
		return c.selectTandem(call), true
	// The processor of the home exchange takes part in every call, so its slow start limits all of them.
	case !c.mayReceive(call.dest) || home != nil && !c.settings.Pools && !c.slowStartAllows(home) ||
		c.shouldShed(call.dest, call, false):
	case call.mayTry(c, call.dest) && c.hasRoom(call.dest, call, call.Transit || c.wouldBeLate(call)):
		// A set-up from a tandem meets as many signalling faults as one from here, but the call server of the tandem makes
		// several attempts of its own.
		if call.signallingFaults >= directFaultLimit && !call.Transit && !c.wouldBeLate(call) {
			if tandem := c.selectTandem(call); tandem != nil {
				return tandem, true
			}
		}
		return call.dest, call.Transit
	case !call.Transit && !call.hasWaited && !c.wouldBeLate(call) && !(record != nil && record.busyBackoff > 0):
		return c.selectTandem(call), true
	}
	return nil, false
}

// mayTry reports whether a call may be sent to an exchange: one that is not excluded by its earlier attempts and, of pools, one
// that serves its class.
func (r *callRecord) mayTry(controller *Controller, exchange *exchangeRecord) bool {
	pools := controller.settings.Classes[r.Class].Pools
	return !slices.Contains(r.excluded, exchange) &&
		(!controller.settings.Pools || len(pools) == 0 || slices.Contains(pools, exchange.number))
}

// selectTandem draws a tandem, or a pool of second choice, by the tandem weights; nil: none. A usable tandem that the routing
// centre advises is taken instead with a probability equal to the success rate of advised tandems: the centre knows the state
// of the second leg.
func (c *Controller) selectTandem(call *callRecord) *exchangeRecord {
	// A call to the home exchange is not blocked by a full group, so it doesn't count.
	if call.attempts == 0 && (c.settings.Pools || call.dest.number != c.settings.Home) {
		c.totalOffered[c.currentBucket()][len(c.settings.Classes)]++
	}
	if !c.settings.Pools && c.shouldShed(call.dest, call, true) {
		return nil
	}
	if advised := c.exchangeByNumber(call.Via, false); c.usableAsTandem(advised, call) &&
		c.rng.Float64() < c.adviceSuccessRate {
		return advised
	}
	if !c.settings.Pools && c.twoLegTooCostly(call) {
		return nil
	}
	var best *exchangeRecord
	// Each draw picks one of all exchanges and, if that is usable as a tandem, accepts it with a probability equal to its
	// tandem weight. Of those accepted the one with the most free circuits is taken. A two-leg attempt that fails costs three processors for nothing. The
	// lower the success rate and the longer the local delay, the fewer draws there are.
	delayMargin := 1 - float64(c.localDelay())/(shedDelayFactor*float64(c.settings.Classes[call.Class].Aim))
	draws := min(maxTandemDraws, float64(len(c.exchanges))) * c.tandemSuccessRate * delayMargin
	// A call with signalling faults fails at its destination, not at the tandem, so weights don't apply. A call to the home
	// exchange has no other route from here.
	if call.signallingFaults > 0 || call.dest.number == c.settings.Home && !c.settings.Pools {
		draws = maxTandemDraws
	}
	for i := 0.0; i < draws; i++ {
		exchange := c.exchanges[c.rng.Intn(len(c.exchanges))]
		if c.usableAsTandem(exchange, call) &&
			(call.signallingFaults > 0 || c.rng.Float64() < c.tandemWeight(call.dest, exchange)) &&
			(best == nil || exchange.free > best.free) {
			best = exchange
		}
	}
	return best
}

// twoLegTooCostly reports whether the circuits of a two-leg call cost more than the call is worth. The implied cost of a
// circuit (Kelly 1988) is what the next direct call would earn on it, times the share of direct calls that lately found
// their group full. Without this limit an overloaded fleet fills with two-leg calls, each of which keeps out two direct
// ones. It doesn't apply to an advised tandem, which is known to have room.
func (c *Controller) twoLegTooCostly(call *callRecord) bool {
	offered, class := 0.0, c.settings.Classes[call.Class]
	for i := range c.settings.Classes {
		offered += c.totalOffered.total(i)
	}
	blockedShare := c.totalOffered.total(len(c.settings.Classes)) / math.Max(offered, priorCalls)
	circuitWorth := c.classMean(func(class Class) float64 { return class.Worth }) / c.meanWidth()
	return blockedShare*circuitWorth > twoLegWorthFactor*class.Worth/math.Max(1, float64(class.Width))
}

// usableAsTandem reports whether a tandem can take a call now, as far as is known here. An exchange in its slow start is no
// tandem.
func (c *Controller) usableAsTandem(exchange *exchangeRecord, call *callRecord) bool {
	return exchange != nil && exchange != call.dest && exchange.free >= 0 && c.hasRoom(exchange, call, true) &&
		call.mayTry(c, exchange) && !exchange.isCold && c.mayReceive(exchange) && !exchange.unresponsive &&
		!c.shouldShed(exchange, call, true)
}
