package logic

// Membership: what the exchange list says, and which office of an exchange gets new calls (rule 3).

import (
	"slices"
	"time"
)

type office struct {
	Office
	cold time.Duration // when it was started or came back; negative: long ago
}

// List takes news of the exchanges. A drained or missing office gets nothing new from this moment (rule 3).
func (c *Controller) List(now time.Duration, kind ListKind, list []Office) {
	c.at(now)
	if kind == ListUnavailable {
		c.host.Timer(time.Second+time.Duration(c.rng.Int63n(int64(time.Second))), "w")
		return
	}
	named := map[string]bool{}
	for _, o := range list {
		named[o.ID] = true
		c.choose(c.enlist(o))
	}
	for _, e := range c.exchanges {
		for _, o := range e.offices {
			if kind != ListUpdate && !named[o.ID] && o.State != Gone {
				o.State = Gone
				c.choose(e)
			}
		}
	}
	c.listed = true
}

// enlist takes an entry of the list. An office may move to another exchange.
func (c *Controller) enlist(o Office) *exchange {
	known, e := c.offices[o.ID], c.exchange(o.Exchange, true)
	fresh := known == nil || known.Started != o.Started || known.State == Gone && o.State == Ready
	if known == nil {
		known = &office{Office: o, cold: -1}
		c.offices[o.ID] = known
		e.offices = append(e.offices, known)
	} else if known.Exchange != o.Exchange {
		from := c.exchange(known.Exchange, true)
		from.offices = slices.DeleteFunc(from.offices, func(x *office) bool { return x == known })
		e.offices = append(e.offices, known)
		c.choose(from)
	}
	known.Office = o
	if fresh && o.Started > 0 && c.now-o.Started < c.set.ColdFor {
		known.cold = o.Started
	} else if fresh && c.listed {
		known.cold = c.now
	}
	return e
}

// choose gives an exchange the newest of its ready offices.
func (c *Controller) choose(e *exchange) {
	var best *office
	for _, o := range e.offices {
		if o.State == Ready && (best == nil || o.Started > best.Started ||
			o.Started == best.Started && o.ID < best.ID) {
			best = o
		}
	}
	if best != nil && best.cold >= 0 && (e.office != best || e.coldAt != best.cold) {
		c.chill(e, best.cold)
		e.silent = false
	}
	e.office = best
}

// forgetGone drops offices that are gone: a list that goes on naming new ones must not grow without end. One
// that comes back is taken for a fresh one, as it would be had it been kept.
func (c *Controller) forgetGone(e *exchange) {
	e.offices = slices.DeleteFunc(e.offices, func(o *office) bool {
		if o.State == Gone {
			delete(c.offices, o.ID)
		}
		return o.State == Gone
	})
}
