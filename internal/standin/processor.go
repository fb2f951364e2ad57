package standin

import (
	"sync"
	"time"

	"finchlatch/internal/rulecheck"
)

// Work is what the processor of an exchange spends on messages.
type Work struct {
	Setup  time.Duration // a set-up, and its refusal costs half of it
	Answer time.Duration // an answer or a release
	Other  time.Duration
}

// Processor is the one line of an exchange's processor: everything that comes to the exchange waits here.
// Answers and releases go ahead of set-ups. It is safe for concurrent use.
type Processor struct {
	Name    string
	Work    Work
	MaxWait time.Duration // a set-up that has waited longer is refused
	Figures rulecheck.Figures

	mu       sync.Mutex
	wake     *sync.Cond
	clock    func() time.Duration
	high     []job
	low      []job
	freeAt   time.Duration
	silent   bool // takes everything and answers nothing
	hung     bool // takes set-ups and answers none of them
	stalled  time.Duration
	slow     float64
	slowEnds time.Duration
	ageing   float64 // slow-down for each second since
	agedFrom time.Duration
	coldAt   time.Duration
	cold     bool
	capacity float64
	recent   []time.Duration // set-ups of the last TipAfter while cold
	Fallen   bool
	closed   bool
	done     chan struct{}
	behind   map[place]int // messages in low by circuit
	waiting  map[any]int   // and by connection
}

// job is one message on its way to the exchange.
type job struct {
	Letter
	came time.Duration
	work time.Duration
}

// Letter is a message for an exchange. Refuse is called in place of Deliver where the processor turns a set-up
// away.
type Letter struct {
	From    any      // the connection and direction that it came by
	CICs    []uint16 // the circuits of its call
	Group   bool     // it is about many circuits
	Setup   bool
	Answer  bool // it is an answer or a release
	Peer    bool // it comes from another call server
	Deliver func()
	Refuse  func()
}

// place is a circuit of a connection. Messages of one circuit never overtake each other.
type place struct {
	from any
	cic  uint16
}

// NewProcessor starts a processor. capacity is the set-ups a second that it can do when warm.
func NewProcessor(name string, work Work, maxWait time.Duration, capacity float64, f rulecheck.Figures, clock func() time.Duration) *Processor {
	p := &Processor{Name: name, Work: work, MaxWait: maxWait, Figures: f, clock: clock, slow: 1, capacity: capacity,
		done: make(chan struct{}), behind: map[place]int{}, waiting: map[any]int{}}
	p.wake = sync.NewCond(&p.mu)
	go p.run()
	return p
}

// Submit queues a message. What belongs to a circuit whose set-up still waits stays behind it.
func (p *Processor) Submit(l Letter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	if p.silent || p.Fallen || p.hung && l.Setup || p.closed {
		return
	}
	j := job{Letter: l, came: now, work: p.Work.Other}
	switch {
	case l.Setup:
		j.work = p.Work.Setup
		if l.Peer {
			p.heat(now)
		}
	case l.Answer:
		j.work = p.Work.Answer
	}
	if l.Setup || p.held(l) {
		for _, cic := range l.CICs {
			p.behind[place{l.From, cic}]++
		}
		p.waiting[l.From]++
		p.low = append(p.low, j)
	} else {
		p.high = append(p.high, j)
	}
	p.wake.Signal()
}

// held tells whether something of the same circuits still waits.
func (p *Processor) held(l Letter) bool {
	if l.Group {
		return p.waiting[l.From] > 0
	}
	for _, cic := range l.CICs {
		if p.behind[place{l.From, cic}] > 0 {
			return true
		}
	}
	return false
}

// nextLow takes the first of those that wait longest.
func (p *Processor) nextLow() job {
	j := p.low[0]
	p.low = p.low[1:]
	for _, cic := range j.CICs {
		at := place{j.From, cic}
		if p.behind[at]--; p.behind[at] == 0 {
			delete(p.behind, at)
		}
	}
	if p.waiting[j.From]--; p.waiting[j.From] == 0 {
		delete(p.waiting, j.From)
	}
	return j
}

// heat counts set-ups of other call servers while the processor is cold: too many together and it falls over for good.
func (p *Processor) heat(now time.Duration) {
	if !p.cold {
		return
	}
	if now-p.coldAt > p.Figures.ColdFor {
		p.cold, p.recent = false, nil
		return
	}
	p.recent = append(p.recent, now)
	for len(p.recent) > 0 && p.recent[0] < now-p.Figures.TipAfter {
		p.recent = p.recent[1:]
	}
	if float64(len(p.recent)) > rulecheck.Budget(p.Figures, p.capacity, now-p.coldAt) {
		p.Fallen = true
	}
}

// pace is how many times longer than usual work takes now.
func (p *Processor) pace(now time.Duration) float64 {
	f := 1.0
	if now < p.slowEnds {
		f *= p.slow
	}
	if p.ageing > 0 {
		f *= 1 + p.ageing*(now-p.agedFrom).Seconds()
	}
	if p.cold && now-p.coldAt < p.Figures.ColdFor {
		from := p.Figures.ColdFrom
		f /= from + (1-from)*float64(now-p.coldAt)/float64(p.Figures.ColdFor)
	}
	return f
}

// nap is the least wait that is worth a sleep: shorter ones are made up by later work.
const nap = 300 * time.Microsecond

func (p *Processor) run() {
	defer close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for len(p.high)+len(p.low) == 0 && !p.closed {
			p.wake.Wait()
		}
		if p.closed {
			return
		}
		now := p.clock()
		if wait := max(p.freeAt, p.stalled) - now; wait > nap {
			p.mu.Unlock()
			time.Sleep(min(wait, 50*time.Millisecond))
			p.mu.Lock()
			continue
		}
		var j job
		if len(p.high) > 0 {
			j, p.high = p.high[0], p.high[1:]
		} else {
			j = p.nextLow()
		}
		act, work := j.Deliver, j.work
		if j.Setup && now-j.came > p.MaxWait && j.Refuse != nil {
			act, work = j.Refuse, work/2
		}
		p.freeAt = max(p.freeAt, now-nap) + time.Duration(float64(work)*p.pace(now))
		p.mu.Unlock()
		act()
		p.mu.Lock()
	}
}

// Close ends the processor; what waits is lost.
func (p *Processor) Close() {
	p.mu.Lock()
	p.closed = true
	p.wake.Broadcast()
	p.mu.Unlock()
	<-p.done
}

func (p *Processor) change(f func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.clock())
	p.wake.Broadcast()
}

func (p *Processor) clearQueues() {
	p.high, p.low = nil, nil
	clear(p.behind)
	clear(p.waiting)
}

// Silence makes it take everything and answer nothing; what waits is lost.
func (p *Processor) Silence() {
	p.change(func(time.Duration) { p.silent = true; p.clearQueues() })
}

// Hang makes it take set-ups and answer none of them, or ends that.
func (p *Processor) Hang(on bool) { p.change(func(time.Duration) { p.hung = on }) }

// Stall makes it stand still and then find all that came meanwhile.
func (p *Processor) Stall(d time.Duration) {
	p.change(func(now time.Duration) { p.stalled = max(p.stalled, now+d) })
}

// Slow makes work take factor times as long for a while.
func (p *Processor) Slow(factor float64, d time.Duration) {
	p.change(func(now time.Duration) { p.slow, p.slowEnds = factor, now+d })
}

// Age makes work take longer and longer: perSecond is what each second adds to the factor; 0 ends it.
func (p *Processor) Age(perSecond float64) {
	p.change(func(now time.Duration) { p.ageing, p.agedFrom = perSecond, now })
}

// Restart brings it back: cold, with nothing waiting, neither silent nor old.
func (p *Processor) Restart() {
	p.change(func(now time.Duration) {
		p.silent, p.hung, p.Fallen, p.ageing, p.stalled = false, false, false, 0, 0
		p.recent, p.cold, p.coldAt, p.freeAt = nil, true, now, now
		p.clearQueues()
	})
}

// Down tells whether it has fallen over.
func (p *Processor) Down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Fallen
}

// Capacity is the set-ups a second when warm.
func (p *Processor) Capacity() float64 { return p.capacity }
