package logic

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// send starts an attempt, unless another attempt of the call is open (rule 2) or its time is over.
func (c *Controller) send(call *callRecord, exchange *exchangeRecord, twoLeg bool) {
	timeout := call.answerBy - c.now
	if call.attemptOpen || timeout <= 0 {
		return
	}
	call.attemptOpen, call.isWaiting, call.target, call.officeID, call.sentAt, call.twoLeg = true, false, exchange,
		exchange.serving.ID, c.now, twoLeg
	call.attempts, call.usageClass, call.overtakes = call.attempts+1, call.Class, 0
	if twoLeg {
		call.usageClass = len(c.settings.Classes)
	}
	call.tried = append(call.tried, exchange)
	exchange.free = max(exchange.free-call.Width, -1)
	exchange.ownInUseByClass[call.usageClass], exchange.ownInUse = exchange.ownInUseByClass[call.usageClass]+call.Width,
		exchange.ownInUse+call.Width
	exchange.outstanding = append(exchange.outstanding, call)
	c.outstanding++
	exchange.tokens--
	if home := c.exchangeByNumber(c.settings.Home, false); home != nil && home.isCold {
		home.tokens--
	}
	if exchange.unresponsive {
		exchange.nextTrial = c.now + exchange.trialInterval
		exchange.trialInterval = min(2*exchange.trialInterval, time.Duration(maxTrialFactor*float64(c.shortestAim)))
	}
	c.host.Send(call.ID, call.officeID, timeout)
}

// removeOutstanding removes the attempt of a call from those without an answer.
func (c *Controller) removeOutstanding(call *callRecord) {
	c.outstanding--
	call.target.outstanding = slices.DeleteFunc(call.target.outstanding, func(other *callRecord) bool { return other == call })
}

// callOfOutcome finds the call whose open attempt an outcome belongs to; nil: none.
func (c *Controller) callOfOutcome(outcome Outcome) *callRecord {
	if call := c.calls[outcome.Call]; call != nil && call.attemptOpen && outcome.Attempt == call.attempts-1 &&
		outcome.Office == call.officeID {
		return call
	}
	return nil
}

// Established is called when an attempt was answered, so that its call is established.
func (c *Controller) Established(now time.Duration, outcome Outcome) {
	c.advanceClock(now)
	call := c.callOfOutcome(outcome)
	if call == nil || call.established {
		return
	}
	call.established, call.answered = true, true
	c.removeOutstanding(call)
	c.recordActivity(call.target)
	call.dest.signallingSuccessRate += slowSampleWeight * (1 - call.dest.signallingSuccessRate)
	if number := c.calledNumbers[call.Number]; number != nil {
		number.busyBackoff, number.firstTryAt = 0, 0
	}
	if !call.twoLeg || call.Transit || c.settings.Pools {
		c.recordSetUpDelay(call.target, outcome.Elapsed, true)
		c.cancelOvertaken(call)
	}
	if call.twoLeg && !call.Transit {
		c.updateTandemWeight(call, tandemSuccessFactor)
	}
}

// Outcome is called when an attempt has failed or its established call has ended.
func (c *Controller) Outcome(now time.Duration, outcome Outcome) {
	c.advanceClock(now)
	call := c.callOfOutcome(outcome)
	if call == nil {
		return
	}
	call.attemptOpen = false
	call.target.ownInUseByClass[call.usageClass], call.target.ownInUse = call.target.ownInUseByClass[call.usageClass]-call.Width,
		call.target.ownInUse-call.Width
	c.applyReportValues(call.target, outcome.Load)
	if !call.established {
		c.removeOutstanding(call)
		c.recordFailure(call, outcome)
	}
	if outcome.Over || call.answered {
		delete(c.calls, call.ID)
		return
	}
	c.retryOrAnswer(call, outcome)
}

// retryOrAnswer decides what follows a failed attempt: another one, at once or later, or the final answer.
func (c *Controller) retryOrAnswer(call *callRecord, outcome Outcome) {
	switch outcome.Status {
	case TimedOut, Reset, Cancelled:
		// The release time is waited for (rule 5): until then the circuits of the attempt may still be in use.
		call.mayHaveRun, call.tried = true, call.tried[:len(call.tried)-1]
		call.notBefore = c.now + c.settings.Release + time.Millisecond
		if !call.Transit && call.notBefore < call.answerBy {
			c.host.Timer(call.notBefore-c.now, "c"+strconv.FormatUint(call.ID, 10))
			return
		}
	case Full, NoConnect, NotSent:
		destFull := outcome.Note%noteModulus == NoteProcessor && call.target == call.dest
		if !destFull && (outcome.Status != NotSent || outcome.Note%noteModulus == NoteCircuit) {
			c.route(call)
			return
		}
	default:
		// A signalling fault often affects one set-up and not the next. If an exchange fails most of them quickly, a
		// refused caller would redial and be established late, so the call is attempted again at once. That is wasted where
		// no call is established at all.
		call.mayHaveRun = true
		if call.signallingFaults++; outcome.Note != NoteBusy && call.dest.signallingSuccessRate > minRate {
			call.tried = call.tried[:len(call.tried)-1]
			c.route(call)
			return
		}
	}
	c.giveFinalAnswer(call)
}

// giveFinalAnswer refuses or fails a call. One that may have taken effect is failed unless another attempt is safe, since a
// refused caller tries again.
func (c *Controller) giveFinalAnswer(call *callRecord) {
	call.answered = true
	c.removeOrCancel(call)
	if call.mayHaveRun && !c.settings.Classes[call.Class].SafeToRepeat || call.attemptOpen {
		c.host.Fail(call.ID)
		return
	}
	if !call.Transit && call.Number != "" {
		number := c.numberRecordOf(call)
		number.class, number.firstTryAt = call.Class, call.firstTryAt
	}
	c.host.Refuse(call.ID, min(c.settings.MaxWait, time.Duration(retryAfterFactor*float64(c.settings.Classes[call.Class].Aim))))
}

// HungUp is called when the caller has hung up.
func (c *Controller) HungUp(now time.Duration, id uint64) {
	c.advanceClock(now)
	if call := c.calls[id]; call != nil && !call.established {
		call.answered = true
		c.removeOrCancel(call)
	}
}

// removeOrCancel deletes an answered call. If its attempt is open, that is cancelled and the call is kept until the
// outcome.
func (c *Controller) removeOrCancel(call *callRecord) {
	if !call.attemptOpen {
		delete(c.calls, call.ID)
	} else if c.settings.CanCancel {
		c.host.Cancel(call.ID, call.attempts-1)
	}
}

// Timer is called when a timer that was asked for expires. The mark "p" stands for the periodic work, "w" for another
// request for the office list, and "c" with a call number for a call whose wait or time is over.
func (c *Controller) Timer(now time.Duration, mark string) {
	c.advanceClock(now)
	id, err := strconv.ParseUint(strings.TrimPrefix(mark, "c"), 10, 64)
	switch call := c.calls[id]; {
	case mark == "p":
		c.runPeriodicWork()
	case mark == "w":
		c.host.Watch(true)
	case err != nil || call == nil || call.answered:
	case now >= call.answerBy:
		c.giveFinalAnswer(call)
	case !call.attemptOpen && now >= call.notBefore:
		c.route(call)
	}
}
