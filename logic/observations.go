package logic

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// maxReportValue is the greatest value in a report that is believed.
const maxReportValue = 1e9

// noteModulus separates a note from the wait that some processors add to it, as a multiple of noteModulus.
const noteModulus = 16

// numberRecord is what is known of a called number that was busy or whose caller was refused.
type numberRecord struct {
	// class is the index of the class of the call that was refused.
	class int
	// firstTryAt is the first try of a caller who was refused; 0: none. A call of the same class within its deadline is
	// taken for a redial.
	firstTryAt time.Duration
	// busyUntil is the end of the backoff after a busy answer.
	busyUntil time.Duration
	// busyBackoff is the latest backoff after a busy answer; 0: the latest answer was not busy.
	busyBackoff time.Duration
}

// Report applies the state of a trunk group, and of the processor at its far end if that is reported.
func (c *Controller) Report(now time.Duration, report Report) {
	c.advanceClock(now)
	if office := c.offices[report.Office]; office != nil && report.OK {
		c.applyReportValues(c.exchangeByNumber(office.Exchange, true), report.Load)
	}
}

// applyReportValues applies the values of a report or outcome. Those that are absent, negative, too great or NaN are skipped,
// so that the earlier values stay, and so is a reduction above 1. Then calls that wait for a circuit are served.
func (c *Controller) applyReportValues(exchange *exchangeRecord, values []float64) {
	field := func(index int) (float64, bool) {
		if index < 0 || index >= len(values) || !(values[index] >= 0) || values[index] > maxReportValue {
			return 0, false
		}
		return values[index], true
	}
	if value, ok := field(c.freeField); ok {
		exchange.free = int(value)
	}
	if value, ok := field(c.totalField); ok {
		c.totalCircuits += int(value) - max(0, exchange.total)
		exchange.total = int(value)
	}
	if value, ok := field(c.reductionField); ok && value <= 1 {
		exchange.reduction, exchange.reductionAt = value, c.now
	}
	c.serveWaiting(exchange)
}

// Peer receives a message of another call server. Its content is ignored: decisions rest only on what this call
// server observes itself.
func (c *Controller) Peer(now time.Duration, from int, data []byte) { c.advanceClock(now) }

// expectedDelay is the set-up delay to expect: the moving average, which decays with time, or the age of the oldest attempt
// that may still be queued at the exchange, whichever is longer. The age doesn't count if that attempt is one leg of a
// two-leg call, even if there are direct ones behind it.
func (c *Controller) expectedDelay(exchange *exchangeRecord) time.Duration {
	delay := time.Duration(float64(exchange.setUpDelay) *
		math.Exp2(-float64(c.now-exchange.setUpDelayAt)/float64(c.delayHalfLife)))
	if call := exchange.oldestNotOvertaken(); call != nil && !call.twoLeg {
		delay = max(delay, c.previousBatchAt-call.sentAt)
	}
	return delay
}

// oldestNotOvertaken is the oldest outstanding attempt that was sent no earlier than any direct attempt that was answered. An
// earlier one is overtaken. A processor works in the order of arrival, so an overtaken attempt has left the queue, and its
// answer is lost or late on the way. If its age were taken for the delay of a queue, one lost answer would have all calls
// shed.
func (e *exchangeRecord) oldestNotOvertaken() *callRecord {
	if i := slices.IndexFunc(e.outstanding, func(call *callRecord) bool { return call.sentAt >= e.latestAnsweredSentAt }); i >= 0 {
		return e.outstanding[i]
	}
	return nil
}

// localDelay is the delay that is common to all answers, most likely that of the processor of this call server. An answer that
// took less time sets it at once, one that took more raises it slowly. Without answers for two half-lives it is 0.
func (c *Controller) localDelay() time.Duration {
	if c.now-c.localDelayAt > 2*c.delayHalfLife {
		return 0
	}
	return c.localDelayAverage
}

// recordSetUpDelay applies a set-up delay to the moving average of an exchange and, with includeLocal, to the local delay. It
// is unset for delays that say nothing about this call server: time-outs of an unresponsive exchange, and those implied by a
// full processor. The time that the answer may have waited for this call server does not count.
func (c *Controller) recordSetUpDelay(exchange *exchangeRecord, delay time.Duration, includeLocal bool) {
	delay = max(0, delay-(c.now-c.previousBatchAt)+2*c.settings.Tick)
	if local := c.localDelay(); includeLocal {
		c.localDelayAverage, c.localDelayAt = min(delay, local+time.Duration(slowSampleWeight*float64(delay-local))), c.now
	}
	previous := c.expectedDelay(exchange)
	if c.now-exchange.setUpDelayAt > 4*c.delayHalfLife { // too old to average with
		previous = delay
	}
	exchange.setUpDelay, exchange.setUpDelayAt = previous+time.Duration(fastSampleWeight*float64(delay-previous)), c.now
}

// recordActivity notes an answer of an exchange. One that was unresponsive for more than four times the shortest aim gets a
// slow start, so that the calls of all call servers don't arrive at once.
func (c *Controller) recordActivity(exchange *exchangeRecord) {
	if exchange.unresponsive {
		c.host.Log(fmt.Sprintf("heard exchange=%d", exchange.number))
		if c.now-exchange.unresponsiveSince > 4*c.shortestAim {
			c.startSlowStart(exchange, c.now)
		}
	}
	exchange.unresponsive, exchange.lastActivity, exchange.trialInterval = false, c.now, 0
}

// detectUnresponsive reports whether an exchange is unresponsive, and marks it if attempts are outstanding and nothing has
// come back for answerTimeout. Calls and circuits would pile up behind it, so it gets only trial attempts at growing
// intervals.
func (c *Controller) detectUnresponsive(exchange *exchangeRecord) bool {
	call := exchange.oldestNotOvertaken()
	if exchange.unresponsive || call == nil {
		return exchange.unresponsive
	}
	if since := max(call.sentAt, exchange.lastActivity); c.previousBatchAt-since > c.answerTimeout(exchange) {
		c.markUnresponsive(exchange, since)
		if len(exchange.outstanding) == 1 { // perhaps only this answer is lost: the next call is sent at once, as a trial
			exchange.trialInterval, exchange.nextTrial = c.answerTimeout(exchange), c.now
		}
	}
	return exchange.unresponsive
}

// answerTimeout is how long an exchange with outstanding attempts may give no answer before it counts as unresponsive. It is
// at least four times the set-up delay of the exchange.
func (c *Controller) answerTimeout(exchange *exchangeRecord) time.Duration {
	return max(time.Duration(answerTimeoutFactor*float64(c.shortestAim)), 4*exchange.setUpDelay)
}

// cancelOvertaken cancels outstanding direct attempts if several later ones were answered first and the answer time-out has
// passed. Their calls can then be attempted again in time. It guards against answers lost on the way or with their
// connection, and against parts of an exchange that hang. At an exchange that doesn't answer in the order of arrival it
// cancels attempts that would have succeeded.
func (c *Controller) cancelOvertaken(answered *callRecord) {
	answered.target.latestAnsweredSentAt = max(answered.target.latestAnsweredSentAt, answered.sentAt)
	for _, call := range answered.target.outstanding {
		if call.sentAt >= answered.sentAt || call.twoLeg || call.Transit || !c.settings.CanCancel {
			continue
		}
		if call.overtakes++; call.overtakes == overtakeLimit && c.now-call.sentAt > c.answerTimeout(answered.target) {
			c.host.Cancel(call.ID, call.attempts-1)
		} else if call.overtakes == overtakeLimit {
			call.overtakes-- // the time-out has not passed yet: the next answer is checked for the same limit
		}
	}
}

// markUnresponsive limits what is sent to an exchange to trial attempts.
func (c *Controller) markUnresponsive(exchange *exchangeRecord, since time.Duration) {
	if !exchange.unresponsive {
		interval := time.Duration(firstTrialFactor * float64(c.shortestAim))
		exchange.unresponsive, exchange.unresponsiveSince, exchange.trialInterval, exchange.nextTrial = true, since, interval,
			c.now+interval
		c.host.Log(fmt.Sprintf("silent exchange=%d", exchange.number))
	}
}

// tandemWeight is the weight of a tandem on the way to a destination. A pair that was never tried has the success rate of
// all pairs; with less, it might never be tried.
func (c *Controller) tandemWeight(dest, tandem *exchangeRecord) float64 {
	if weight, ok := dest.tandemWeights[tandem.number]; ok {
		return weight
	}
	return c.tandemSuccessRate
}

// updateTandemWeight applies the result of a two-leg attempt: the weight of its pair is multiplied by factor, and the
// success rate of advised or of drawn tandems is updated. A factor above 1 is a success.
func (c *Controller) updateTandemWeight(call *callRecord, factor float64) {
	if call.dest.tandemWeights == nil {
		call.dest.tandemWeights = map[int]float64{}
	}
	call.dest.tandemWeights[call.target.number] = math.Min(1,
		math.Max(minProbability, c.tandemWeight(call.dest, call.target)*factor))
	rate := &c.tandemSuccessRate
	if call.target.number == call.Via {
		rate = &c.adviceSuccessRate
	}
	*rate = math.Max(minProbability, (1-slowSampleWeight)**rate)
	if factor > 1 {
		*rate += slowSampleWeight
	}
}

// recordFailure updates what is known of exchanges, tandems and numbers after an attempt that failed.
func (c *Controller) recordFailure(call *callRecord, outcome Outcome) {
	exchange := call.target
	overTandem := call.twoLeg && !call.Transit
	note := outcome.Note
	if note > NoteBeyondFull || note%noteModulus == NoteProcessor {
		note %= noteModulus // the rest is a wait; NoteBeyondFull has none and would become NoteTurnedBack
	}
	switch {
	case outcome.Status == TimedOut:
		if !overTandem {
			// The time-out of an unresponsive exchange says nothing about the processor of this call server.
			c.recordSetUpDelay(exchange, outcome.Elapsed, !exchange.unresponsive)
		}
	case outcome.Status == NoConnect: // down or unreachable, whatever service discovery says
		c.markUnresponsive(exchange, c.now)
	case outcome.Status == Faulted && note == NoteBusy:
		c.recordActivity(exchange)
		record := c.numberRecordOf(call) // the backoff before the next call to it doubles
		record.busyBackoff = min(max(2*record.busyBackoff, minBusyBackoff), maxBusyBackoff)
		record.busyUntil = c.now + record.busyBackoff
	case outcome.Status == Full || outcome.Status == Faulted:
		c.recordActivity(exchange)
		if outcome.Status == Faulted {
			call.dest.signallingSuccessRate -= slowSampleWeight * call.dest.signallingSuccessRate
		}
		congested := exchange
		if note == NoteBeyondFull {
			congested = call.dest
		}
		if note == NoteProcessor || note == NoteBeyondFull { // counts as a delay of twice the aim
			c.recordSetUpDelay(congested, 2*c.settings.Classes[call.Class].Aim, false)
		}
		if overTandem {
			c.updateTandemWeight(call, tandemFailureFactor)
		}
	}
}

// numberRecordOf finds or creates the record of the number that a call is for.
func (c *Controller) numberRecordOf(call *callRecord) *numberRecord {
	record := c.calledNumbers[call.Number]
	if record == nil {
		record = &numberRecord{}
		if len(c.calledNumbers) < maxCalledNumbers {
			c.calledNumbers[call.Number] = record
		}
	}
	return record
}
