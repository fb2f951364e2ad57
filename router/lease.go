package router

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/trunk"
)

// A look-up is a call that has not been set up yet. It is offered to the Controller like any other; where the
// Controller sends it, circuits are reserved and nothing is sent; the asker gets a routing number; and the set-up
// that calls this number takes the call over, with its attempt, its circuits and its time. docs/FRONTS.md tells why.

// lease is what an asker holds of a call.
type lease struct {
	queryID       uint64
	enumClient    *enumClient
	routingNumber string        // routing number; empty until it is granted
	expiresAt     time.Duration // it runs out, or the question has had no answer in time
}

// asker is someone who asks, with the leases held.
type enumClient struct {
	Asker
	peer         *peer
	activeLeases int
}

// tokenDigits make a routing number hard to guess: one in 10^8, for less than a second, from the right client.
const routingTokenDigits = 8

// defaultLeases an asker may hold.
const defaultMaxLeases = 100

func (r *Router) initENUMClients(seed int64) {
	r.leasedCalls, r.enumClients = map[string]*call{}, map[string]*enumClient{}
	r.routingRand = rand.New(rand.NewPCG(uint64(seed), 0x6c65617365)) // its own source: the Controller's draws stay as they are
	for _, a := range r.cfg.Askers {
		if a.Leases == 0 {
			a.Leases = defaultMaxLeases
		}
		r.enumClients[a.Name] = &enumClient{Asker: a}
	}
}

// Ask takes a question: where may a call of an asker to a number go? It is answered by exactly one Reply with the same
// ask, within Config.AskWithin. Questions are told apart by their asks: a front that hears one twice asks once.
func (r *Router) Ask(now time.Duration, queryID uint64, clientName, number string) {
	r.now = now
	r.handleQuery(queryID, clientName, number)
	r.processPending()
}

func (r *Router) handleQuery(queryID uint64, clientName, number string) {
	client := r.enumClients[clientName]
	entry, found := r.numberingTable.Find(number)
	reply := func(verdict Verdict, cause isup.Cause) { r.emit(Reply{Ask: queryID, Verdict: verdict, Cause: cause}) }
	switch {
	case client == nil:
		reply(Refused, isup.CauseRejected)
		return
	case !found:
		reply(Failed, isup.CauseUnallocated)
		return
	case entry.Exchange == r.ownExchange.Number:
		reply(Failed, isup.CauseRejected) // no route is needed: the client calls the number itself
		return
	case r.draining || client.activeLeases >= client.Leases:
		reply(Refused, isup.CauseCongestion)
		return
	}
	client.peer = r.peersByName[client.Client]
	r.lastCallID++
	class := client.Class
	if entry.Class >= 0 {
		class = entry.Class
	}
	c := &call{id: r.lastCallID, managed: true, class: class, destination: entry.Exchange, hopCounter: r.cfg.Hops, receivedAt: r.now,
		setup: isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1}, Width: r.cfg.Classes[class].Width, Hops: -1},
		lease: &lease{queryID: queryID, enumClient: client, expiresAt: r.now + r.cfg.AskWithin}}
	r.calls[c.id] = c
	client.activeLeases++
	if !r.admit(c, client.peer) {
		r.rejectCall(c, Refused, isup.ReleaseInfo{Cause: isup.CauseCongestion})
		return
	}
	r.armTimer(c.lease.expiresAt, timer{kind: timerLease, call: c.id})
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "asked", c.id, slog.String("asker", clientName), slog.String("called", number))
	}
	r.controller.Offered(r.now, logic.Call{ID: c.id, Class: class, Dest: c.destination, Width: c.setup.Width, Via: -1, Number: number,
		TimeLeft: r.remainingPatience(c)})
}

// reserve takes circuits for an asker's call, and grants the lease the first time.
func (r *Router) reserve(c *call, p *peer) (*leg, bool) {
	l := &leg{call: c, peer: p}
	seizure := p.group.Reserve(max(1, c.setup.Width), l)
	if seizure == nil {
		return nil, false
	}
	l.seizure = seizure
	r.markPending(p)
	if c.lease.routingNumber == "" {
		for c.lease.routingNumber == "" || r.leasedCalls[c.lease.routingNumber] != nil {
			c.lease.routingNumber = fmt.Sprintf("%s%0*d", r.cfg.Routing, routingTokenDigits, r.routingRand.IntN(100_000_000))
		}
		r.leasedCalls[c.lease.routingNumber] = c
		c.lease.expiresAt = r.now + r.cfg.Lease
		r.armTimer(c.lease.expiresAt, timer{kind: timerLease, call: c.id})
		r.emit(Reply{Ask: c.lease.queryID, Verdict: Stands, Routing: c.lease.routingNumber, Exchange: c.office, Until: c.lease.expiresAt})
	}
	return l, true
}

// lapse ends a lease that nobody took over, or a question that the Controller has not decided in time. To the Controller
// the caller has gone: nothing was sent, so nothing is learnt of the exchange.
func (r *Router) expireLease(c *call) {
	if c.lease.routingNumber == "" {
		r.emit(Reply{Ask: c.lease.queryID, Verdict: Refused, Cause: isup.CauseCongestion})
	}
	r.emit(Answer{At: r.now, Call: c.id, Verdict: HungUp, Elapsed: r.now - c.receivedAt})
	r.removeLease(c)
	r.controller.HungUp(r.now, c.id)
	if c.outgoing == nil {
		r.forget(c)
	}
}

// endLease ends the lease of a call that was refused or failed before a set-up came.
func (r *Router) endLease(c *call, info isup.ReleaseInfo) {
	if c.lease.routingNumber == "" {
		r.emit(Reply{Ask: c.lease.queryID, Verdict: verdictOf(info.Cause), Cause: info.Cause})
	}
	r.removeLease(c)
}

func (r *Router) removeLease(c *call) {
	r.endAdmission(c)
	c.lease.enumClient.activeLeases--
	delete(r.leasedCalls, c.lease.routingNumber)
	c.lease = nil
}

// takesOver handles an IAM that calls a routing number; false: it calls something else.
func (r *Router) takeOverLease(p *peer, seizure *trunk.Seizure, iam *isup.Message) bool {
	setup, err := iam.Setup()
	if err != nil || r.cfg.Routing == "" || !strings.HasPrefix(setup.Called.Digits, r.cfg.Routing) {
		return false
	}
	c := r.leasedCalls[setup.Called.Digits]
	if c == nil || c.lease.enumClient.peer != p || max(1, setup.Width) != max(1, c.setup.Width) {
		r.log(slog.LevelWarn, "set-up with a routing number that is not leased to this client", 0, slog.String("peer", p.cfg.Name))
		r.lastCallID++
		rejected := &call{id: r.lastCallID, receivedAt: r.now - r.queueDelay}
		rejected.incoming = &leg{call: rejected, peer: p, seizure: seizure}
		seizure.Owner = rejected.incoming
		r.calls[rejected.id] = rejected
		r.rejectCall(rejected, Failed, isup.ReleaseInfo{Cause: isup.CauseRejected, Location: isup.LocationLocalNetwork})
		return true
	}
	c.iam = copyMessage(iam)
	if err := c.iam.SetCalled(c.setup.Called); err != nil {
		r.log(slog.LevelError, "number of a lease", c.id, slog.Any("err", err))
	}
	c.setup.Elapsed = setup.Elapsed
	c.incoming = &leg{call: c, peer: p, seizure: seizure}
	seizure.Owner = c.incoming
	r.emit(Taken{Ask: c.lease.queryID})
	admitted := c.admitted
	c.admitted = false // it goes on counting, by its in leg
	r.removeLease(c)
	c.admitted = admitted
	r.sendReservedSetup(c)
	return true
}

// proceed sends the IAM of a call that was taken over, on the circuits reserved for it. Where the exchange has left
// meanwhile, or its association is down, the attempt is over and never ran, and the Controller goes on (rule 3).
func (r *Router) sendReservedSetup(c *call) {
	l := c.outgoing
	if l == nil {
		return // the Controller has not found a way again since a reservation was lost; its next attempt is a set-up
	}
	p := l.peer
	ready := r.effectiveOffice(r.offices[c.office]).State == logic.Ready
	if !ready || !p.active() || !p.group.Begin(l.seizure) {
		p.group.Drop(l.seizure)
		r.markPending(p)
		status := logic.NotSent
		if ready && !p.active() {
			status = logic.NoConnect
		}
		r.attemptEnded(c, status, logic.NoteCircuit)
		return
	}
	c.sentAt = r.now // the Controller learns the exchange's delay, not the asker's
	p.group.Send(l.seizure, c.forwardedIAM(r.now, l.seizure.Map))
	r.flush(p)
	r.recordSendPosition(l)
	r.markPending(p)
}
