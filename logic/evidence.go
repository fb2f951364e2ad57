package logic

// Evidence: what reports, answers and silences tell of exchanges, processors, numbers and tandems.

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// number is what is remembered of a number called.
type number struct {
	class          int
	first          time.Duration // first try of a caller who has not got through
	busyUntil, gap time.Duration
}

// Report takes the state of an own group, and of the far processor where it tells.
func (c *Controller) Report(now time.Duration, r Report) {
	c.at(now)
	if o := c.offices[r.Office]; o != nil && r.OK {
		c.learn(c.exchange(o.Exchange, true), r.Load)
	}
}

// learn takes report values. Absent, negative or absurd ones are unknown, never zero load.
func (c *Controller) learn(e *exchange, load []float64) {
	get := func(i int) (float64, bool) {
		if i < 0 || i >= len(load) || !(load[i] >= 0) || load[i] > 1e9 {
			return 0, false
		}
		return load[i], true
	}
	if v, ok := get(c.spare); ok {
		e.free = int(v)
	}
	if v, ok := get(c.sz); ok {
		c.circuits += int(v) - max(0, e.total)
		e.total = int(v)
	}
	if v, ok := get(c.eps); ok && v <= 1 {
		e.eps, e.epsAt = v, c.now
	}
	c.serve(e)
}

// Peer takes a message of another call server. Nothing is made of it: calls are decided on own evidence.
func (c *Controller) Peer(now time.Duration, from int, data []byte) { c.at(now) }

// delayOf is the set-up delay to expect: the fading mean, or the age of the oldest direct attempt in line.
func (c *Controller) delayOf(e *exchange) time.Duration {
	d := time.Duration(float64(e.delay) * math.Exp2(-float64(c.now-e.delayAt)/float64(c.fade)))
	if k := e.oldest(); k != nil && !k.twoLeg {
		d = max(d, c.seen-k.sent)
	}
	return d
}

// oldest is the oldest attempt out that no later one has passed: a processor works in order, so an older one
// is in no queue and its answer is lost or stuck. Taken for a queue, one lost answer would turn all away.
func (e *exchange) oldest() *call {
	if i := slices.IndexFunc(e.out, func(k *call) bool { return k.sent >= e.passed }); i >= 0 {
		return e.out[i]
	}
	return nil
}

// ownDelay is the delay that all answers share, most likely the own processor's. Each quicker one lowers it.
func (c *Controller) ownDelay() time.Duration {
	if c.now-c.ownAt > 2*c.fade {
		return 0
	}
	return c.own
}

// observe takes the set-up delay of a direct call, or what an answer tells of an exchange's own delay.
func (c *Controller) observe(e *exchange, d time.Duration, direct bool) {
	d = max(0, d-(c.now-c.seen)+2*c.set.Tick)
	if own := c.ownDelay(); direct {
		c.own, c.ownAt = min(d, own+time.Duration(pool*float64(d-own))), c.now
	}
	old := c.delayOf(e)
	if c.now-e.delayAt > 4*c.fade {
		old = d
	}
	e.delay, e.delayAt = old+time.Duration(smooth*float64(d-old)), c.now
}

// hear notes a sign of life. A return after a long silence is taken for a cold start, against the herd.
func (c *Controller) hear(e *exchange) {
	if e.silent {
		c.host.Log(fmt.Sprintf("heard exchange=%d", e.number))
		if c.now-e.silentFrom > 4*c.aim {
			c.chill(e, c.now)
		}
	}
	e.silent, e.heard, e.trialGap = false, c.now, 0
}

// quiet tells whether an exchange has gone silent: something is out and nothing came back for far longer than
// set-ups take. Calls and circuits would pile up behind it; so only single trials go there, at growing gaps.
func (c *Controller) quiet(e *exchange) bool {
	k := e.oldest()
	if e.silent || k == nil {
		return e.silent
	}
	if since := max(k.sent, e.heard); c.seen-since > c.patience(e) {
		c.mute(e, since)
		if len(e.out) == 1 { // one answer may be lost, with nothing sent since: the next call finds out
			e.trialGap, e.nextTrial = c.patience(e), c.now
		}
	}
	return e.silent
}

// patience is how long an answer of an exchange may take before something is wrong.
func (c *Controller) patience(e *exchange) time.Duration {
	return max(time.Duration(silentPart*float64(c.aim)), 4*e.delay)
}

// overtaken calls off attempts that several later ones have passed, for another try in time. The danger:
// answers lost on the way or with their connection. It should help with parts of an exchange that hang, too;
// it hurts where one keeps no order.
func (c *Controller) overtaken(by *call) {
	by.at.passed = max(by.at.passed, by.sent)
	for _, k := range by.at.out {
		if k.sent >= by.sent || k.twoLeg || k.Transit || !c.set.CanCancel {
			continue
		}
		if k.passed++; k.passed == enough && c.now-k.sent > c.patience(by.at) {
			c.host.Cancel(k.ID, k.attempts-1)
		} else if k.passed == enough {
			k.passed--
		}
	}
}

// mute leaves an exchange to single trials.
func (c *Controller) mute(e *exchange, since time.Duration) {
	if !e.silent {
		gap := time.Duration(firstTrial * float64(c.aim))
		e.silent, e.silentFrom, e.trialGap, e.nextTrial = true, since, gap, c.now+gap
		c.host.Log(fmt.Sprintf("silent exchange=%d", e.number))
	}
}

// weightOf is the weight of a tandem; a pair not seen yet has the mean of all, or evidence would starve.
func (c *Controller) weightOf(dest, t *exchange) float64 {
	if w, ok := dest.weight[t.number]; ok {
		return w
	}
	return c.ease
}

// reweigh learns from a two-leg attempt: of the pair, of all pairs, and of the centre's advice.
func (c *Controller) reweigh(k *call, by float64) {
	if k.dest.weight == nil {
		k.dest.weight = map[int]float64{}
	}
	k.dest.weight[k.at.number] = math.Min(1, math.Max(floor, c.weightOf(k.dest, k.at)*by))
	mean := &c.ease
	if k.at.number == k.Via {
		mean = &c.trust
	}
	*mean = math.Max(floor, (1-pool)**mean)
	if by > 1 {
		*mean += pool
	}
}

// blame learns from an attempt that failed.
func (c *Controller) blame(k *call, o Outcome) {
	e := k.at
	via := k.twoLeg && !k.Transit
	note := o.Note
	if note > NoteBeyondFull || note%16 == NoteProcessor {
		note %= 16 // the rest is a wait
	}
	switch {
	case o.Status == TimedOut:
		if !via {
			c.observe(e, o.Took, !e.silent) // a dead exchange tells nothing of the own processor
		}
	case o.Status == NoConnect: // down or out of reach, whatever the list says
		c.mute(e, c.now)
	case o.Status == Faulted && note == NoteBusy:
		c.hear(e)
		n := c.note(k) // the pause before the next call to it doubles
		n.gap = min(max(2*n.gap, busyGap), busyGapMost)
		n.busyUntil = c.now + n.gap
	case o.Status == Full || o.Status == Faulted:
		c.hear(e)
		if o.Status == Faulted {
			k.dest.sound -= pool * k.dest.sound
		}
		full := e
		if note == NoteBeyondFull {
			full = k.dest
		}
		if note == NoteProcessor || note == NoteBeyondFull {
			c.observe(full, 2*c.set.Classes[k.Class].Aim, false)
		}
		if via {
			c.reweigh(k, cut)
		}
	}
}

// note is what is remembered of the number of a call.
func (c *Controller) note(k *call) *number {
	n := c.numbers[k.Number]
	if n == nil {
		n = &number{}
		c.numbers[k.Number] = n
	}
	return n
}
