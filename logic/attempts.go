package logic

// Attempts: sending, what follows each ending, and the one final answer (rules 1, 2, 5).

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// send starts an attempt; there is never another one out (rule 2).
func (c *Controller) send(k *call, e *exchange, twoLeg bool) {
	left := k.due - c.now
	if k.out || left <= 0 {
		return
	}
	k.out, k.waiting, k.at, k.office, k.sent, k.twoLeg = true, false, e, e.office.ID, c.now, twoLeg
	k.attempts, k.part, k.passed = k.attempts+1, k.Class, 0
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
		e.trialGap = min(2*e.trialGap, time.Duration(lastTrial*float64(c.aim)))
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
	k.dest.sound += pool * (1 - k.dest.sound)
	if n := c.numbers[k.Number]; n != nil {
		n.gap, n.first = 0, 0
	}
	if !k.twoLeg || k.Transit || c.set.Pools {
		c.observe(k.at, o.Took, true)
		c.overtaken(k)
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
		// Faults of signalling strike one set-up and spare the next. The danger: an exchange that fails most
		// of them quickly; its callers would dial again and stand late. It hurts where nothing stands.
		k.mayRun = true
		if k.struck++; o.Note != NoteBusy && k.dest.sound > floor {
			k.tried = k.tried[:len(k.tried)-1]
			c.route(k)
			return
		}
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
