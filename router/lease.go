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
	ask     uint64
	asker   *asker
	routing string        // routing number; empty until it is granted
	until   time.Duration // it runs out, or the question has had no answer in time
}

// asker is someone who asks, with the leases held.
type asker struct {
	Asker
	client *peer
	held   int
}

// tokenDigits make a routing number hard to guess: one in 10^8, for less than a second, from the right client.
const tokenDigits = 8

// defaultLeases an asker may hold.
const defaultLeases = 100

func (r *Router) prepareAskers(seed int64) {
	r.leases, r.askers = map[string]*call{}, map[string]*asker{}
	r.tokens = rand.New(rand.NewPCG(uint64(seed), 0x6c65617365)) // its own source: the Controller's draws stay as they are
	for _, a := range r.cfg.Askers {
		if a.Leases == 0 {
			a.Leases = defaultLeases
		}
		r.askers[a.Name] = &asker{Asker: a}
	}
}

// Ask takes a question: where may a call of an asker to a number go? It is answered by exactly one Reply with the same
// ask, within Config.AskWithin. Questions are told apart by their asks: a front that hears one twice asks once.
func (r *Router) Ask(now time.Duration, ask uint64, who, number string) {
	r.now = now
	r.question(ask, who, number)
	r.run()
}

func (r *Router) question(ask uint64, who, number string) {
	a := r.askers[who]
	entry, found := r.table.Find(number)
	reply := func(v Verdict, cause isup.Cause) { r.emit(Reply{Ask: ask, Verdict: v, Cause: cause}) }
	switch {
	case a == nil:
		reply(Refused, isup.CauseRejected)
		return
	case !found:
		reply(Failed, isup.CauseUnallocated)
		return
	case entry.Exchange == r.home.Number:
		reply(Failed, isup.CauseRejected) // no route is needed: the client calls the number itself
		return
	case r.draining || a.held >= a.Leases:
		reply(Refused, isup.CauseCongestion)
		return
	}
	a.client = r.byName[a.Client]
	r.lastCall++
	class := a.Class
	if entry.Class >= 0 {
		class = entry.Class
	}
	c := &call{id: r.lastCall, managed: true, class: class, dest: entry.Exchange, hops: r.cfg.Hops, taken: r.now,
		setup: isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1}, Width: r.cfg.Classes[class].Width, Hops: -1},
		lease: &lease{ask: ask, asker: a, until: r.now + r.cfg.AskWithin}}
	r.calls[c.id] = c
	a.held++
	if !r.admit(c, a.client) {
		r.answer(c, Refused, isup.ReleaseInfo{Cause: isup.CauseCongestion})
		return
	}
	r.arm(c.lease.until, timer{kind: timerLease, call: c.id})
	if r.debug() {
		r.log(slog.LevelDebug, "asked", c.id, slog.String("asker", who), slog.String("called", number))
	}
	r.ctl.Offered(r.now, logic.Call{ID: c.id, Class: class, Dest: c.dest, Width: c.setup.Width, Via: -1, Number: number,
		TimeLeft: r.patience(c)})
}

// reserve takes circuits for an asker's call, and grants the lease the first time.
func (r *Router) reserve(c *call, p *peer) (*leg, bool) {
	l := &leg{call: c, peer: p}
	s := p.group.Reserve(max(1, c.setup.Width), l)
	if s == nil {
		return nil, false
	}
	l.seizure = s
	r.touch(p)
	if c.lease.routing == "" {
		for c.lease.routing == "" || r.leases[c.lease.routing] != nil {
			c.lease.routing = fmt.Sprintf("%s%0*d", r.cfg.Routing, tokenDigits, r.tokens.IntN(100_000_000))
		}
		r.leases[c.lease.routing] = c
		c.lease.until = r.now + r.cfg.Lease
		r.arm(c.lease.until, timer{kind: timerLease, call: c.id})
		r.emit(Reply{Ask: c.lease.ask, Verdict: Stands, Routing: c.lease.routing, Exchange: c.office, Until: c.lease.until})
	}
	return l, true
}

// lapse ends a lease that nobody took over, or a question that the Controller has not decided in time. To the Controller
// the caller has gone: nothing was sent, so nothing is learnt of the exchange.
func (r *Router) lapse(c *call) {
	if c.lease.routing == "" {
		r.emit(Reply{Ask: c.lease.ask, Verdict: Refused, Cause: isup.CauseCongestion})
	}
	r.emit(Answer{At: r.now, Call: c.id, Verdict: HungUp, Took: r.now - c.taken})
	r.dropLease(c)
	r.ctl.HungUp(r.now, c.id)
	if c.out == nil {
		r.forget(c)
	}
}

// endLease ends the lease of a call that was refused or failed before a set-up came.
func (r *Router) endLease(c *call, info isup.ReleaseInfo) {
	if c.lease.routing == "" {
		r.emit(Reply{Ask: c.lease.ask, Verdict: verdictOf(info.Cause), Cause: info.Cause})
	}
	r.dropLease(c)
}

func (r *Router) dropLease(c *call) {
	r.leaves(c)
	c.lease.asker.held--
	delete(r.leases, c.lease.routing)
	c.lease = nil
}

// takesOver handles an IAM that calls a routing number; false: it calls something else.
func (r *Router) takesOver(p *peer, s *trunk.Seizure, m *isup.Message) bool {
	set, err := m.Setup()
	if err != nil || r.cfg.Routing == "" || !strings.HasPrefix(set.Called.Digits, r.cfg.Routing) {
		return false
	}
	c := r.leases[set.Called.Digits]
	if c == nil || c.lease.asker.client != p || max(1, set.Width) != max(1, c.setup.Width) {
		r.log(slog.LevelWarn, "set-up with a routing number that is not leased to this client", 0, slog.String("peer", p.cfg.Name))
		r.lastCall++
		forged := &call{id: r.lastCall, taken: r.now - r.waited}
		forged.in = &leg{call: forged, peer: p, seizure: s}
		s.Owner = forged.in
		r.calls[forged.id] = forged
		r.answer(forged, Failed, isup.ReleaseInfo{Cause: isup.CauseRejected, Location: isup.LocationLocalNetwork})
		return true
	}
	c.iam = keep(m)
	if err := c.iam.SetCalled(c.setup.Called); err != nil {
		r.log(slog.LevelError, "number of a lease", c.id, slog.Any("err", err))
	}
	c.setup.Elapsed = set.Elapsed
	c.in = &leg{call: c, peer: p, seizure: s}
	s.Owner = c.in
	r.emit(Taken{Ask: c.lease.ask})
	admitted := c.admitted
	c.admitted = false // it goes on counting, by its in leg
	r.dropLease(c)
	c.admitted = admitted
	r.proceed(c)
	return true
}

// proceed sends the IAM of a call that was taken over, on the circuits reserved for it. Where the exchange has left
// meanwhile, or its association is down, the attempt is over and never ran, and the Controller goes on (rule 3).
func (r *Router) proceed(c *call) {
	l := c.out
	if l == nil {
		return // the Controller has not found a way again since a reservation was lost; its next attempt is a set-up
	}
	p := l.peer
	ready := r.merged(r.list[c.office]).State == logic.Ready
	if !ready || !p.active() || !p.group.Begin(l.seizure) {
		p.group.Drop(l.seizure)
		r.touch(p)
		status := logic.NotSent
		if ready && !p.active() {
			status = logic.NoConnect
		}
		r.attemptOver(c, status, logic.NoteCircuit)
		return
	}
	c.sent = r.now // the Controller learns the exchange's delay, not the asker's
	p.group.Send(l.seizure, c.forward(r.now, l.seizure.Map))
	r.flush(p)
	r.onLink(l)
	r.touch(p)
}
