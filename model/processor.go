package model

import (
	"slices"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/standin"
)

// processor is the one line of an exchange's processor. Answers and releases go ahead of set-ups, but nothing overtakes
// what is on its own circuit. Unlike the stand-in on sockets it never turns a set-up away: what waits too long is late.
type processor struct {
	e        *engine
	work     standin.Work
	figures  rulecheck.Figures
	capacity float64
	high     []letter
	low      []letter
	behind   map[place]int
	groups   map[int]int // messages in low by where they come from
	freeAt   time.Duration
	armed    bool
	silent   bool
	hung     bool
	fallen   bool
	stalled  time.Duration
	slow     float64
	slowEnds time.Duration
	ageing   float64
	agedFrom time.Duration
	cold     bool
	coldAt   time.Duration
	recent   []time.Duration
	waited   time.Duration // the sum of all waits, and their number
	served   int
}

// letter is a message for an exchange.
type letter struct {
	came          time.Duration
	from          int // the wire that it came by
	cics          []uint16
	group         bool
	setup, answer bool
	peer          bool // from another call server
	deliver       func()
}

type place struct {
	from int
	cic  uint16
}

func newProcessor(e *engine, work standin.Work, capacity float64, f rulecheck.Figures) *processor {
	return &processor{e: e, work: work, capacity: capacity, figures: f, slow: 1, behind: map[place]int{}, groups: map[int]int{}}
}

// submit queues a message.
func (p *processor) submit(l letter) {
	if p.silent || p.fallen || p.hung && l.setup {
		return
	}
	l.came = p.e.now
	if l.setup && l.peer {
		p.heat()
	}
	if l.setup || p.held(l) {
		for _, c := range l.cics {
			p.behind[place{l.from, c}]++
		}
		p.groups[l.from]++
		p.low = append(p.low, l)
	} else {
		p.high = append(p.high, l)
	}
	p.arm()
}

func (p *processor) held(l letter) bool {
	if l.group {
		return p.groups[l.from] > 0
	}
	return slices.ContainsFunc(l.cics, func(c uint16) bool { return p.behind[place{l.from, c}] > 0 })
}

func (p *processor) arm() {
	if !p.armed && len(p.high)+len(p.low) > 0 {
		p.armed = true
		p.e.after(max(p.freeAt, p.stalled)-p.e.now, p.serve)
	}
}

// serve handles the next message and is busy for its work.
func (p *processor) serve() {
	p.armed = false
	if p.e.now < max(p.freeAt, p.stalled) || len(p.high)+len(p.low) == 0 {
		p.arm()
		return
	}
	var l letter
	if len(p.high) > 0 {
		l, p.high = p.high[0], p.high[1:]
	} else {
		l, p.low = p.low[0], p.low[1:]
		for _, c := range l.cics {
			at := place{l.from, c}
			if p.behind[at]--; p.behind[at] == 0 {
				delete(p.behind, at)
			}
		}
		p.groups[l.from]--
	}
	work := p.work.Other
	switch {
	case l.setup:
		work = p.work.Setup
	case l.answer:
		work = p.work.Answer
	}
	p.waited, p.served = p.waited+p.e.now-l.came, p.served+1
	p.freeAt = p.e.now + time.Duration(float64(work)*p.pace())
	l.deliver()
	p.arm()
}

// pace is how many times longer than usual work takes now.
func (p *processor) pace() float64 {
	f := 1.0
	if p.e.now < p.slowEnds {
		f *= p.slow
	}
	if p.ageing > 0 {
		f *= 1 + p.ageing*(p.e.now-p.agedFrom).Seconds()
	}
	if since := p.e.now - p.coldAt; p.cold && since < p.figures.ColdFor {
		f /= p.figures.ColdFrom + (1-p.figures.ColdFrom)*float64(since)/float64(p.figures.ColdFor)
	}
	return f
}

// heat counts set-ups of other call servers while it is cold: too many, and it falls over for good.
func (p *processor) heat() {
	if !p.cold || p.e.now-p.coldAt > p.figures.ColdFor {
		p.cold, p.recent = false, nil
		return
	}
	p.recent = append(p.recent, p.e.now)
	for len(p.recent) > 0 && p.recent[0] < p.e.now-p.figures.TipAfter {
		p.recent = p.recent[1:]
	}
	p.fallen = float64(len(p.recent)) > rulecheck.Budget(p.figures, p.capacity, p.e.now-p.coldAt)
}

// clear forgets what waits.
func (p *processor) clear() {
	p.high, p.low = nil, nil
	clear(p.behind)
	clear(p.groups)
}

// restart brings it back cold.
func (p *processor) restart() {
	p.clear()
	p.silent, p.hung, p.fallen, p.ageing, p.stalled = false, false, false, 0, 0
	p.cold, p.coldAt, p.recent, p.freeAt = true, p.e.now, nil, p.e.now
}
