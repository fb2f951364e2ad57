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
	cfg              Config
	ownExchange      Exchange
	controller       Policy // the Controller of package logic
	numberingTable   *numbering.Table
	categories       numbering.Categories
	peers            []*peer
	links            []*link
	peersByName      map[string]*peer // exchanges and others
	peersByPointCode map[uint32]*peer
	calls            map[uint64]*call
	lastCallID       uint64
	offices          map[string]logic.Office
	exchangeNumbers  map[string]int      // of the exchanges, by name
	clientShares     *ingress.Controller // of the clients
	leasedCalls      map[string]*call    // by routing number
	enumClients      map[string]*enumClient
	routingRand      *rand.Rand
	timers           timing.Timers[timer]
	now              time.Duration
	deferred         []func() // what the Controller must still be told, in order
	pendingPeers     []*peer  // peers whose state machines may have something to say
	effects          []Effect
	returnedEffects  []Effect // handed out by the last call of Effects
	encodeBuffer     []byte
	queueDelay       time.Duration // of the bytes that are being handled
	draining         bool
}

// New makes a Router. The seed is for the Controller's draws: the same inputs at the same times give the same
// effects.
func New(cfg Config, seed int64) (*Router, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	own, _ := cfg.ownExchange()
	if cfg.Recovery <= 0 {
		cfg.Recovery = DefaultRecovery
	}
	if cfg.Hops <= 0 {
		cfg.Hops = defaultHopCounter
	}
	r := &Router{cfg: cfg, ownExchange: own, peersByName: map[string]*peer{}, peersByPointCode: map[uint32]*peer{},
		calls: map[uint64]*call{}, offices: map[string]logic.Office{}, exchangeNumbers: map[string]int{}, categories: numbering.Categories{}}
	r.initENUMClients(seed)
	var err error
	if r.numberingTable, err = numbering.NewTable(cfg.Numbering); err != nil {
		return nil, err
	}
	for _, e := range cfg.Exchanges {
		r.exchangeNumbers[e.Name] = e.Number
	}
	for i, k := range cfg.Classes {
		r.categories[k.Category] = i
	}
	for i, p := range cfg.Peers {
		if err := r.addPeer(PeerID(i), p); err != nil {
			return nil, err
		}
	}
	r.clientShares = ingress.New(cfg.ingressSettings())
	if r.controller, err = cfg.newPolicy(cfg.controllerSettings(host{r}, own.Number), seed); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return r, nil
}

// Start begins work with the exchange list as it is known. An empty list names all exchanges as ready.
func (r *Router) Start(now time.Duration, offices []logic.Office) {
	r.now = now
	if len(offices) == 0 {
		for _, e := range r.cfg.Exchanges {
			offices = append(offices, logic.Office{ID: e.Name, Exchange: e.Number})
		}
	}
	r.List(now, logic.ListRestored, offices)
	for _, p := range r.peers {
		r.reportCircuits(p)
	}
	r.processPending()
}

// Connected takes the news that a transport connection is up.
func (r *Router) Connected(now time.Duration, id LinkID) {
	l := r.beginLinkInput(now, id)
	l.bytesWritten = 0
	l.assoc.Connected(now)
	r.processPending()
}

// Disconnected takes the news that a transport connection is gone. written is how many of the bytes
// asked for by Write since Connected have been handed to the transport: an IAM that was not written whole never
// ran. A negative count means that all were.
func (r *Router) Disconnected(now time.Duration, id LinkID, written int64) {
	l := r.beginLinkInput(now, id)
	confirmed := l.assoc.Confirmed()
	l.assoc.Lost()
	r.processPending() // who takes the traffic over is settled first
	r.handleConnectionLoss(l, written, confirmed)
	r.processPending()
}

// Receive takes bytes from a connection, in any pieces.
func (r *Router) Receive(now time.Duration, id LinkID, data []byte) {
	l := r.beginLinkInput(now, id)
	l.assoc.Receive(now, data)
	r.processPending()
}

// List takes news of the exchanges: an update or a whole list. Entries with unknown names are told to the
// operators and left out.
func (r *Router) List(now time.Duration, kind logic.ListKind, offices []logic.Office) {
	r.now = now
	known := make([]logic.Office, 0, len(offices))
	for _, office := range offices {
		number, ok := r.exchangeNumbers[office.ID]
		if !ok {
			r.log(slog.LevelWarn, "exchange list names an unknown exchange", 0, slog.String("exchange", office.ID))
			continue
		}
		office.Exchange = number
		r.offices[office.ID] = office
		known = append(known, r.effectiveOffice(office))
	}
	if kind == logic.ListReplace || kind == logic.ListRestored {
		named := make(map[string]bool, len(known))
		for _, office := range known {
			named[office.ID] = true
		}
		for name, office := range r.offices {
			if !named[name] {
				office.State = logic.Gone
				r.offices[name] = office
			}
		}
	}
	r.controller.List(now, kind, known)
	r.processPending()
}

// merged is the state that the Controller is told: an exchange that itself says that it is leaving drains,
// whatever the list says.
func (r *Router) effectiveOffice(office logic.Office) logic.Office {
	if p := r.peersByName[office.ID]; p != nil && p.announcedDrain && office.State == logic.Ready {
		office.State = logic.Draining
	}
	return office
}

// Next tells when Advance has work; false: nothing waits.
func (r *Router) Next() (time.Duration, bool) {
	return r.timers.Next()
}

// Advance does what is due at the time now.
func (r *Router) Advance(now time.Duration) {
	r.now = max(r.now, now)
	for _, t, ok := r.timers.Pop(now); ok; _, t, ok = r.timers.Pop(now) {
		r.fireTimer(t)
		r.processPending()
	}
}

// Effects gives what is to be carried out, in order, and forgets it. The slice is good until the next call; the
// bytes of a Write stay as they are.
func (r *Router) Effects() []Effect {
	clear(r.returnedEffects)
	r.effects, r.returnedEffects = r.returnedEffects[:0], r.effects
	return r.returnedEffects
}

// Drain takes the Router out of service: new calls are refused with congestion, and the neighbours are told
// with DRST. Calls held go on until their answers.
func (r *Router) Drain(now time.Duration) {
	r.now = now
	if !r.draining {
		r.draining = true
		r.announce(m3ua.DRST)
	}
	r.processPending()
}

// Undrain takes new calls again.
func (r *Router) Undrain(now time.Duration) {
	r.now = now
	if r.draining {
		r.draining = false
		r.announce(m3ua.DAVA)
	}
	r.processPending()
}

func (r *Router) announce(kind m3ua.Kind) {
	for _, p := range r.peers {
		if p.cfg.Kind == PeerExchange {
			r.sendNetworkManagement(p, kind, 0)
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
		r.markPending(p)
	}
	r.processPending()
}

// ReleaseAll releases every call that still stands or waits, as the last step of a drain: waiting ones are
// answered with a failure.
func (r *Router) ReleaseAll(now time.Duration) {
	r.now = now
	for _, c := range r.callsInOrder() {
		r.releaseCall(c, isup.ReleaseInfo{Cause: isup.CauseNetworkOutOfOrder, Location: isup.LocationLocalNetwork})
		r.processPending()
	}
}

// Block blocks n circuits of the group toward a peer from this end, or lifts the block of n. It gives the number
// that changed.
func (r *Router) Block(now time.Duration, id PeerID, n int, kind isup.GroupType, blocked bool) int {
	p := r.beginPeerInput(now, id)
	n = p.group.Block(now, n, kind, blocked)
	r.processPending()
	return n
}

// Reset resets the n busiest-first circuits with calls on the group toward a peer: those calls are cut at both
// ends. It gives the number of circuits reset.
func (r *Router) Reset(now time.Duration, id PeerID, n int) int {
	p := r.beginPeerInput(now, id)
	busy := p.group.Busy()
	busy = busy[:min(max(n, 0), len(busy))]
	p.group.Reset(now, busy)
	r.processPending()
	return len(busy)
}

func (r *Router) beginPeerInput(now time.Duration, id PeerID) *peer {
	r.now = now
	p := r.peers[id]
	r.markPending(p)
	return p
}

func (r *Router) beginLinkInput(now time.Duration, id LinkID) *link {
	r.now = now
	l := r.links[id]
	r.markPending(l.peer)
	return l
}

func (r *Router) markPending(p *peer) {
	if !p.pending {
		p.pending = true
		r.pendingPeers = append(r.pendingPeers, p)
	}
}

// run lets everything settle that an input has set off: state machines speak, the Controller is told.
func (r *Router) processPending() {
	done, processed := 0, 0
	for done < len(r.deferred) || processed < len(r.pendingPeers) {
		for ; done < len(r.deferred); done++ {
			r.deferred[done]()
		}
		if processed < len(r.pendingPeers) {
			p := r.pendingPeers[processed]
			processed++
			p.pending = false
			r.processPeer(p)
		}
	}
	clear(r.deferred)
	r.deferred, r.pendingPeers = r.deferred[:0], r.pendingPeers[:0]
}

func (r *Router) deferWork(work func()) { r.deferred = append(r.deferred, work) }

func (r *Router) emit(effect Effect) { r.effects = append(r.effects, effect) }

// debug tells whether lines about single calls are wanted: making them costs a tenth of a call.
func (r *Router) debugEnabled() bool { return r.cfg.LogLevel <= slog.LevelDebug }

func (r *Router) log(level slog.Level, text string, call uint64, attrs ...slog.Attr) {
	if level < r.cfg.LogLevel {
		return
	}
	r.emit(Log{Level: level, Text: text, Call: call, Attrs: attrs})
}

// sorted gives the calls in the order in which they came.
func (r *Router) callsInOrder() []*call {
	ids := make([]uint64, 0, len(r.calls))
	for id := range r.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	calls := make([]*call, len(ids))
	for i, id := range ids {
		calls[i] = r.calls[id]
	}
	return calls
}

// timerKind tells what a timer is for.
type timerKind byte

const (
	timerMark           timerKind = iota // of the Controller
	timerAttempt                         // the time-out of an attempt
	timerAnswerDeadline                  // the last moment for the answer of a call that ends here
	timerPeer                            // a state machine of a peer
	timerLease                           // a lease runs out, or a question has had no answer in time
)

type timer struct {
	expiresAt time.Duration
	kind      timerKind
	mark      string
	call      uint64
	attempt   int
	peer      PeerID
}

func (r *Router) armTimer(at time.Duration, t timer) {
	t.expiresAt = at
	r.timers.Arm(at, t)
}

func (r *Router) fireTimer(t timer) {
	switch t.kind {
	case timerMark:
		r.controller.Timer(r.now, t.mark)
	case timerAttempt:
		if c := r.calls[t.call]; c != nil && c.outgoing != nil && !c.established && c.attempts-1 == t.attempt {
			r.timeOutAttempt(c)
		}
	case timerAnswerDeadline:
		if c := r.calls[t.call]; c != nil && !c.established && !c.managed {
			r.releaseCall(c, isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork})
		}
	case timerLease:
		if c := r.calls[t.call]; c != nil && c.lease != nil && c.incoming == nil && r.now >= c.lease.expiresAt {
			r.expireLease(c)
		}
	case timerPeer:
		p := r.peers[t.peer]
		if p.timerAt == t.expiresAt {
			p.timerAt = 0
			for _, l := range p.links {
				l.assoc.Tick(r.now)
			}
			p.as.Tick(r.now)
			p.group.Tick(r.now)
			r.markPending(p)
		}
	}
}
