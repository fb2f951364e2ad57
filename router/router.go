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

// Router is one call server. It is not safe for concurrent use. Two Routers share no state.
type Router struct {
	cfg              Config
	ownExchange      Exchange // the exchange that this Router serves
	controller       Policy   // a logic.Controller, except in comparisons
	numberingTable   *numbering.Table
	categories       numbering.Categories
	peers            []*peer
	links            []*link
	peersByName      map[string]*peer // all kinds of peers
	peersByPointCode map[uint32]*peer
	calls            map[uint64]*call
	lastCallID       uint64
	offices          map[string]logic.Office
	exchangeNumbers  map[string]int      // exchange numbers by name
	clientShares     *ingress.Controller // limits the calls of each client to its fair share under overload
	leasedCalls      map[string]*call    // calls with an unused lease, by routing number
	enumClients      map[string]*enumClient
	routingRand      *rand.Rand
	timers           timing.Timers[timer]
	now              time.Duration
	deferred         []func() // notifications to the Controller that wait for the end of the present input, in order
	pendingPeers     []*peer  // peers whose state machines may have produced output or events
	effects          []Effect
	returnedEffects  []Effect // slice returned by the last call of Effects
	encodeBuffer     []byte
	queueDelay       time.Duration // time that the bytes being handled have waited in a queue
	draining         bool
}

// New returns a Router. The seed initializes all random numbers: with the same seed, the same inputs at the same times
// give the same effects.
func New(cfg Config, seed int64) (*Router, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	own, _ := cfg.ownExchange()
	if cfg.Recovery <= 0 {
		cfg.Recovery = DefaultRecovery
	}
	if cfg.HopCounter <= 0 {
		cfg.HopCounter = defaultHopCounter
	}
	r := &Router{cfg: cfg, ownExchange: own, peersByName: map[string]*peer{}, peersByPointCode: map[uint32]*peer{},
		calls: map[uint64]*call{}, offices: map[string]logic.Office{}, exchangeNumbers: map[string]int{},
		categories: numbering.Categories{}}
	r.initENUMClients(seed)
	var err error
	if r.numberingTable, err = numbering.NewTable(cfg.Numbering); err != nil {
		return nil, err
	}
	for _, exchange := range cfg.Exchanges {
		r.exchangeNumbers[exchange.Name] = exchange.Number
	}
	for i, class := range cfg.Classes {
		r.categories[class.Category] = i
	}
	for i, peer := range cfg.Peers {
		if err := r.addPeer(PeerID(i), peer); err != nil {
			return nil, err
		}
	}
	r.clientShares = ingress.New(cfg.ingressSettings())
	if r.controller, err = cfg.newPolicy(cfg.controllerSettings(host{r}, own.Number), seed); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	return r, nil
}

// Start begins operation with the exchanges known from service discovery. If the list is empty, all configured exchanges
// count as ready.
func (r *Router) Start(now time.Duration, offices []logic.Office) {
	r.now = now
	if len(offices) == 0 {
		for _, exchange := range r.cfg.Exchanges {
			offices = append(offices, logic.Office{ID: exchange.Name, Exchange: exchange.Number})
		}
	}
	r.UpdateExchanges(now, logic.ListRestored, offices)
	for _, peer := range r.peers {
		r.reportCircuits(peer)
	}
	r.processPending()
}

// Connected reports that a transport connection has been established.
func (r *Router) Connected(now time.Duration, id LinkID) {
	link := r.beginLinkInput(now, id)
	link.bytesWritten = 0
	link.assoc.Connected(now)
	r.processPending()
}

// Disconnected reports that a transport connection has been lost. written is the number of bytes of the Write effects
// since Connected that were handed to the transport; a negative value means all of them. An IAM that was not written
// completely cannot have taken effect at the peer, so its attempt ends as if nothing had been sent.
func (r *Router) Disconnected(now time.Duration, id LinkID, written int64) {
	link := r.beginLinkInput(now, id)
	confirmed := link.assoc.Confirmed()
	link.assoc.Lost()
	r.processPending() // first decide which process takes over the traffic
	r.handleConnectionLoss(link, written, confirmed)
	r.processPending()
}

// Receive handles bytes read from a connection. They may be split at any position.
func (r *Router) Receive(now time.Duration, id LinkID, data []byte) {
	link := r.beginLinkInput(now, id)
	link.assoc.Receive(now, data)
	r.processPending()
}

// UpdateExchanges handles an update or a snapshot of the exchanges from service discovery. Entries with unknown names are logged
// and ignored.
func (r *Router) UpdateExchanges(now time.Duration, kind logic.ListKind, offices []logic.Office) {
	r.now = now
	known := make([]logic.Office, 0, len(offices))
	for _, office := range offices {
		number, ok := r.exchangeNumbers[office.ID]
		if !ok {
			r.log(slog.LevelWarn, "service discovery names an unknown exchange", 0, slog.String("exchange", office.ID))
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
	r.controller.UpdateOffices(now, kind, known)
	r.processPending()
}

// effectiveOffice returns the office as it is reported to the Controller: an exchange that has itself announced its drain
// counts as draining, even while service discovery still reports it as ready.
func (r *Router) effectiveOffice(office logic.Office) logic.Office {
	if peer := r.peersByName[office.ID]; peer != nil && peer.announcedDrain && office.State == logic.Ready {
		office.State = logic.Draining
	}
	return office
}

// NextTimer returns the time of the next timer, at which Advance must be called; false if no timer is armed.
func (r *Router) NextTimer() (time.Duration, bool) {
	return r.timers.Next()
}

// Advance handles all timers that expire up to now.
func (r *Router) Advance(now time.Duration) {
	r.now = max(r.now, now)
	for _, t, ok := r.timers.Pop(now); ok; _, t, ok = r.timers.Pop(now) {
		r.fireTimer(t)
		r.processPending()
	}
}

// Effects returns the effects to carry out, in order, and removes them from the Router. The slice is valid until the
// next call; the bytes of a Write are never reused.
func (r *Router) Effects() []Effect {
	clear(r.returnedEffects)
	r.effects, r.returnedEffects = r.returnedEffects[:0], r.effects
	return r.returnedEffects
}

// Drain takes the Router out of service: new calls are refused with congestion, and the other exchanges are notified
// with DRST. Calls in progress continue.
func (r *Router) Drain(now time.Duration) {
	r.now = now
	if !r.draining {
		r.draining = true
		r.announce(m3ua.DRST)
	}
	r.processPending()
}

// Undrain puts a draining Router back into service and notifies the other exchanges with DAVA.
func (r *Router) Undrain(now time.Duration) {
	r.now = now
	if r.draining {
		r.draining = false
		r.announce(m3ua.DAVA)
	}
	r.processPending()
}

// announce sends a network management message to all other exchanges.
func (r *Router) announce(kind m3ua.Kind) {
	for _, peer := range r.peers {
		if peer.cfg.Kind == PeerExchange {
			r.sendNetworkManagement(peer, kind, 0)
		}
	}
}

// CloseAssociations takes this end of all associations out of service (m3ua.Assoc.Shutdown). The connections stay open.
// Calls should have ended before.
func (r *Router) CloseAssociations(now time.Duration) {
	r.now = now
	for _, peer := range r.peers {
		for _, link := range peer.links {
			link.assoc.Shutdown(now)
		}
		r.markPending(peer)
	}
	r.processPending()
}

// ReleaseAll releases every call that is left, as the last step of a drain. Calls without a final answer are answered
// with a failure.
func (r *Router) ReleaseAll(now time.Duration) {
	r.now = now
	for _, call := range r.callsInOrder() {
		r.releaseCall(call, isup.ReleaseInfo{Cause: isup.CauseNetworkOutOfOrder, Location: isup.LocationLocalNetwork})
		r.processPending()
	}
}

// Block blocks up to count circuits of the group toward a peer from this end; if blocked is false, it unblocks them. It
// returns the number of circuits that changed.
func (r *Router) Block(now time.Duration, id PeerID, count int, blockingType isup.BlockingType, blocked bool) int {
	peer := r.beginPeerInput(now, id)
	count = peer.group.Block(now, count, blockingType, blocked)
	r.processPending()
	return count
}

// Reset resets all circuits of up to count calls on the group toward a peer, which drops these calls at both ends. It
// begins with the lowest circuits and returns the number of calls.
func (r *Router) Reset(now time.Duration, id PeerID, count int) int {
	peer := r.beginPeerInput(now, id)
	firstCICs := peer.group.CallCICs()
	firstCICs = firstCICs[:min(max(count, 0), len(firstCICs))]
	peer.group.Reset(now, firstCICs)
	r.processPending()
	return len(firstCICs)
}

// beginPeerInput advances the time for an input about a peer, and marks the peer as pending.
func (r *Router) beginPeerInput(now time.Duration, id PeerID) *peer {
	r.now = now
	peer := r.peers[id]
	r.markPending(peer)
	return peer
}

// beginLinkInput advances the time for an input about a connection, and marks its peer as pending.
func (r *Router) beginLinkInput(now time.Duration, id LinkID) *link {
	r.now = now
	link := r.links[id]
	r.markPending(link.peer)
	return link
}

// markPending makes processPending handle a peer.
func (r *Router) markPending(peer *peer) {
	if !peer.pending {
		peer.pending = true
		r.pendingPeers = append(r.pendingPeers, peer)
	}
}

// processPending handles everything that an input has caused, until nothing is left: deferred notifications
// to the Controller first, then output and events of the pending peers.
func (r *Router) processPending() {
	executed, processed := 0, 0
	for executed < len(r.deferred) || processed < len(r.pendingPeers) {
		for ; executed < len(r.deferred); executed++ {
			r.deferred[executed]()
		}
		if processed < len(r.pendingPeers) {
			peer := r.pendingPeers[processed]
			processed++
			peer.pending = false
			r.processPeer(peer)
		}
	}
	clear(r.deferred)
	r.deferred, r.pendingPeers = r.deferred[:0], r.pendingPeers[:0]
}

// deferWork schedules work for after the present input, when the Controller may be called again.
func (r *Router) deferWork(work func()) { r.deferred = append(r.deferred, work) }

// emit appends an effect.
func (r *Router) emit(effect Effect) { r.effects = append(r.effects, effect) }

// debugEnabled reports whether records about single calls are logged. It is checked before such a record is built, which
// would take a tenth of the processing time of a call.
func (r *Router) debugEnabled() bool { return r.cfg.LogLevel <= slog.LevelDebug }

// log emits a Log effect unless its level is below the configured one.
func (r *Router) log(level slog.Level, text string, call uint64, attrs ...slog.Attr) {
	if level < r.cfg.LogLevel {
		return
	}
	r.emit(Log{Level: level, Text: text, Call: call, Attrs: attrs})
}

// callsInOrder returns the calls in order of arrival.
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

// timerKind is the purpose of a timer.
type timerKind byte

const (
	timerMark           timerKind = iota // requested by the Controller, which gets the mark back
	timerAttempt                         // time-out of an attempt
	timerAnswerDeadline                  // latest time for the final answer of a call to a subscriber of this exchange
	timerPeer                            // deadline of a state machine of a peer
	timerLease                           // expiry of a lease, or of a query without a reply
)

// timer is an armed timer; the fields that matter depend on its kind.
type timer struct {
	expiresAt time.Duration
	kind      timerKind
	mark      string
	call      uint64
	attempt   int
	peer      PeerID
}

// armTimer arms a timer that expires at the given time.
func (r *Router) armTimer(expiresAt time.Duration, t timer) {
	t.expiresAt = expiresAt
	r.timers.Arm(expiresAt, t)
}

// fireTimer handles an expired timer. Timers are never disarmed, so those of calls and peers are checked first for
// whether they still apply.
func (r *Router) fireTimer(expired timer) {
	switch expired.kind {
	case timerMark:
		r.controller.Timer(r.now, expired.mark)
	case timerAttempt:
		if call := r.calls[expired.call]; call != nil && call.outgoing != nil && !call.established && call.attempts-1 == expired.attempt {
			r.timeOutAttempt(call)
		}
	case timerAnswerDeadline:
		if call := r.calls[expired.call]; call != nil && !call.established && !call.managed {
			r.releaseCall(call, isup.ReleaseInfo{Cause: isup.CauseTimerExpiry, Location: isup.LocationLocalNetwork})
		}
	case timerLease:
		if call := r.calls[expired.call]; call != nil && call.lease != nil && call.incoming == nil && r.now >= call.lease.expiresAt {
			r.expireLease(call)
		}
	case timerPeer:
		peer := r.peers[expired.peer]
		if peer.timerAt == expired.expiresAt {
			peer.timerAt = 0
			for _, link := range peer.links {
				link.assoc.Tick(r.now)
			}
			peer.as.Tick(r.now)
			peer.group.Tick(r.now)
			r.markPending(peer)
		}
	}
}
