package router

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"finchlatch/ingress"
	"finchlatch/internal/timing"
	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/numbering"
)

// Router is one call server. It is not safe for concurrent use; two Routers share nothing.
type Router struct {
	cfg        Config
	home       Exchange
	ctl        Policy // the Controller of package logic
	table      *numbering.Table
	categories numbering.Categories
	peers      []*peer
	links      []*link
	byName     map[string]*peer // exchanges and others
	byCode     map[uint32]*peer
	calls      map[uint64]*call
	lastCall   uint64
	list       map[string]logic.Office
	numbers    map[string]int      // of the exchanges, by name
	shares     *ingress.Controller // of the clients
	leases     map[string]*call    // by routing number
	askers     map[string]*asker
	tokens     *rand.Rand
	timers     timing.Timers[timer]
	now        time.Duration
	todo       []func() // what the Controller must still be told, in order
	touched    []*peer  // peers whose state machines may have something to say
	effects    []Effect
	given      []Effect // handed out by the last call of Effects
	scratch    []byte
	waited     time.Duration // of the bytes that are being handled
	draining   bool
}

// New makes a Router. The seed is for the Controller's draws: the same inputs at the same times give the same
// effects.
func New(cfg Config, seed int64) (*Router, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	home, _ := cfg.own()
	if cfg.Recovery <= 0 {
		cfg.Recovery = DefaultRecovery
	}
	if cfg.Hops <= 0 {
		cfg.Hops = defaultHops
	}
	r := &Router{cfg: cfg, home: home, byName: map[string]*peer{}, byCode: map[uint32]*peer{},
		calls: map[uint64]*call{}, list: map[string]logic.Office{}, numbers: map[string]int{}, categories: numbering.Categories{}}
	r.prepareAskers(seed)
	var err error
	if r.table, err = numbering.NewTable(cfg.Numbering); err != nil {
		return nil, err
	}
	for _, e := range cfg.Exchanges {
		r.numbers[e.Name] = e.Number
	}
	for i, k := range cfg.Classes {
		r.categories[k.Category] = i
	}
	for i, p := range cfg.Peers {
		if err := r.addPeer(PeerID(i), p); err != nil {
			return nil, err
		}
	}
	r.shares = ingress.New(cfg.ingress())
	if r.ctl, err = cfg.newPolicy(cfg.settings(host{r}, home.Number), seed); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return r, nil
}

// Start begins work with the exchange list as it is known. An empty list names all exchanges as ready.
func (r *Router) Start(now time.Duration, list []logic.Office) {
	r.now = now
	if len(list) == 0 {
		for _, e := range r.cfg.Exchanges {
			list = append(list, logic.Office{ID: e.Name, Exchange: e.Number})
		}
	}
	r.List(now, logic.ListRestored, list)
	for _, p := range r.peers {
		r.reportGroup(p)
	}
	r.run()
}

// Connected takes the news that a transport connection is up.
func (r *Router) Connected(now time.Duration, id LinkID) {
	l := r.link(now, id)
	l.offset = 0
	l.assoc.Connected(now)
	r.run()
}

// Disconnected takes the news that a transport connection is gone. written is how many of the bytes
// asked for by Write since Connected have been handed to the transport: an IAM that was not written whole never
// ran. A negative count means that all were.
func (r *Router) Disconnected(now time.Duration, id LinkID, written int64) {
	l := r.link(now, id)
	confirmed := l.assoc.Confirmed()
	l.assoc.Lost()
	r.run() // who takes the traffic over is settled first
	r.lost(l, written, confirmed)
	r.run()
}

// Receive takes bytes from a connection, in any pieces.
func (r *Router) Receive(now time.Duration, id LinkID, b []byte) {
	l := r.link(now, id)
	l.assoc.Receive(now, b)
	r.run()
}

// List takes news of the exchanges: an update or a whole list. Entries with unknown names are told to the
// operators and left out.
func (r *Router) List(now time.Duration, kind logic.ListKind, list []logic.Office) {
	r.now = now
	known := make([]logic.Office, 0, len(list))
	for _, o := range list {
		number, ok := r.numbers[o.ID]
		if !ok {
			r.log(slog.LevelWarn, "exchange list names an unknown exchange", 0, slog.String("exchange", o.ID))
			continue
		}
		o.Exchange = number
		r.list[o.ID] = o
		known = append(known, r.merged(o))
	}
	if kind == logic.ListReplace || kind == logic.ListRestored {
		named := make(map[string]bool, len(known))
		for _, o := range known {
			named[o.ID] = true
		}
		for name, o := range r.list {
			if !named[name] {
				o.State = logic.Gone
				r.list[name] = o
			}
		}
	}
	r.ctl.List(now, kind, known)
	r.run()
}

// merged is the state that the Controller is told: an exchange that itself says that it is leaving drains,
// whatever the list says.
func (r *Router) merged(o logic.Office) logic.Office {
	if p := r.byName[o.ID]; p != nil && p.leaving && o.State == logic.Ready {
		o.State = logic.Draining
	}
	return o
}

// Next tells when Advance has work; false: nothing waits.
func (r *Router) Next() (time.Duration, bool) {
	return r.timers.Next()
}

// Advance does what is due at the time now.
func (r *Router) Advance(now time.Duration) {
	r.now = max(r.now, now)
	for _, t, ok := r.timers.Pop(now); ok; _, t, ok = r.timers.Pop(now) {
		r.fire(t)
		r.run()
	}
}

// Effects gives what is to be carried out, in order, and forgets it. The slice is good until the next call; the
// bytes of a Write stay as they are.
func (r *Router) Effects() []Effect {
	clear(r.given)
	r.effects, r.given = r.given[:0], r.effects
	return r.given
}

// Drain takes the Router out of service: new calls are refused with congestion, and the neighbours are told
// with DRST. Calls held go on until their answers.
func (r *Router) Drain(now time.Duration) {
	r.now = now
	if !r.draining {
		r.draining = true
		r.announce(m3ua.DRST)
	}
	r.run()
}

// Undrain takes new calls again.
func (r *Router) Undrain(now time.Duration) {
	r.now = now
	if r.draining {
		r.draining = false
		r.announce(m3ua.DAVA)
	}
	r.run()
}

func (r *Router) announce(k m3ua.Kind) {
	for _, p := range r.peers {
		if p.cfg.Kind == PeerExchange {
			r.tell(p, k, 0)
		}
	}
}

// Leave ends the associations in order (ASPIA, ASPDN). Calls should have ended before it.
func (r *Router) Leave(now time.Duration) {
	r.now = now
	for _, p := range r.peers {
		for _, l := range p.links {
			l.assoc.Leave(now)
		}
		r.touch(p)
	}
	r.run()
}

// ReleaseAll releases every call that still stands or waits, as the last step of a drain: waiting ones are
// answered with a failure.
func (r *Router) ReleaseAll(now time.Duration) {
	r.now = now
	for _, c := range r.sorted() {
		r.abandon(c, isup.ReleaseInfo{Cause: isup.CauseNetworkOutOfOrder, Location: isup.LocationLocalNetwork})
		r.run()
	}
}

// Block blocks n circuits of the group toward a peer from this end, or lifts the block of n. It gives the number
// that changed.
func (r *Router) Block(now time.Duration, id PeerID, n int, kind isup.GroupType, on bool) int {
	p := r.enter(now, id)
	n = p.group.Block(now, n, kind, on)
	r.run()
	return n
}

// Reset resets the n busiest-first circuits with calls on the group toward a peer: those calls are cut at both
// ends. It gives the number of circuits reset.
func (r *Router) Reset(now time.Duration, id PeerID, n int) int {
	p := r.enter(now, id)
	busy := p.group.Busy()
	busy = busy[:min(max(n, 0), len(busy))]
	p.group.Reset(now, busy)
	r.run()
	return len(busy)
}

func (r *Router) enter(now time.Duration, id PeerID) *peer {
	r.now = now
	p := r.peers[id]
	r.touch(p)
	return p
}

func (r *Router) link(now time.Duration, id LinkID) *link {
	r.now = now
	l := r.links[id]
	r.touch(l.peer)
	return l
}

func (r *Router) touch(p *peer) {
	if !p.touched {
		p.touched = true
		r.touched = append(r.touched, p)
	}
}

// run lets everything settle that an input has set off: state machines speak, the Controller is told.
func (r *Router) run() {
	told, seen := 0, 0
	for told < len(r.todo) || seen < len(r.touched) {
		for ; told < len(r.todo); told++ {
			r.todo[told]()
		}
		if seen < len(r.touched) {
			p := r.touched[seen]
			seen++
			p.touched = false
			r.settle(p)
		}
	}
	clear(r.todo)
	r.todo, r.touched = r.todo[:0], r.touched[:0]
}

func (r *Router) later(f func()) { r.todo = append(r.todo, f) }

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

// debug tells whether lines about single calls are wanted: making them costs a tenth of a call.
func (r *Router) debug() bool { return r.cfg.LogLevel <= slog.LevelDebug }

func (r *Router) log(level slog.Level, text string, call uint64, attrs ...slog.Attr) {
	if level < r.cfg.LogLevel {
		return
	}
	r.emit(Log{Level: level, Text: text, Call: call, Attrs: attrs})
}

// sorted gives the calls in the order in which they came.
func (r *Router) sorted() []*call {
	ids := make([]uint64, 0, len(r.calls))
	for id := range r.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	out := make([]*call, len(ids))
	for i, id := range ids {
		out[i] = r.calls[id]
	}
	return out
}

// timerKind tells what a timer is for.
type timerKind byte

const (
	timerMark    timerKind = iota // of the Controller
	timerAttempt                  // the time-out of an attempt
	timerDue                      // the last moment for the answer of a call that ends here
	timerPeer                     // a state machine of a peer
	timerLease                    // a lease runs out, or a question has had no answer in time
)

type timer struct {
	at      time.Duration
	kind    timerKind
	mark    string
	call    uint64
	attempt int
	peer    PeerID
}

func (r *Router) arm(at time.Duration, t timer) {
	t.at = at
	r.timers.Arm(at, t)
}

func (r *Router) fire(t timer) {
	switch t.kind {
	case timerMark:
		r.ctl.Timer(r.now, t.mark)
	case timerAttempt:
		if c := r.calls[t.call]; c != nil && c.out != nil && !c.answered && c.attempts-1 == t.attempt {
			r.timeOut(c)
		}
	case timerDue:
		if c := r.calls[t.call]; c != nil && !c.answered && !c.managed {
			r.abandon(c, isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork})
		}
	case timerLease:
		if c := r.calls[t.call]; c != nil && c.lease != nil && c.in == nil && r.now >= c.lease.until {
			r.lapse(c)
		}
	case timerPeer:
		p := r.peers[t.peer]
		if p.wake == t.at {
			p.wake = 0
			for _, l := range p.links {
				l.assoc.Tick(r.now)
			}
			p.as.Tick(r.now)
			p.group.Tick(r.now)
			r.touch(p)
		}
	}
}
