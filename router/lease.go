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

// An ENUM query is a call that has not been set up yet. It is offered to the Controller like any other call. Where the
// Controller sends it, circuits are reserved and no IAM is sent; the ENUM client gets a routing number. The set-up that
// calls this number takes over the call, with its attempt, circuits and times. docs/FRONTS.md gives the reasons.

// lease connects a call without a set-up to the ENUM client that queried its route. It is granted once it has a routing number.
type lease struct {
	queryID       uint64
	enumClient    *enumClient
	routingNumber string        // empty until the lease is granted
	expiresAt     time.Duration // expiry of the lease; before it is granted, the deadline of the reply
}

// enumClient is an ENUM client with its number of active leases.
type enumClient struct {
	ENUMClient
	peer         *peer // peer that its set-ups come from
	activeLeases int
}

// routingTokenDigits is the number of random digits in a routing number. They make it hard to guess: a guess hits a given
// lease with probability 10^-8, only before it expires, and only if it comes from the client of the lease.
const routingTokenDigits = 8

// defaultMaxLeases is the default limit of the leases of an ENUM client at a time.
const defaultMaxLeases = 100

// initENUMClients prepares the state of the configured ENUM clients.
func (r *Router) initENUMClients(seed int64) {
	r.leasedCalls, r.enumClients = map[string]*call{}, map[string]*enumClient{}
	// A separate source, so that queries do not change the random numbers of the Controller. The second seed is "lease" in
	// ASCII.
	r.routingRand = rand.New(rand.NewPCG(uint64(seed), 0x6c65617365))
	for _, client := range r.cfg.ENUMClients {
		if client.Leases == 0 {
			client.Leases = defaultMaxLeases
		}
		r.enumClients[client.Name] = &enumClient{ENUMClient: client}
	}
}

// Query handles a query of an ENUM client for the route of a call to a number. Exactly one Reply with the same query ID
// follows within Config.QueryTimeout. Query does not recognize repetitions, so a front end must pass on a query that it
// receives twice only once.
func (r *Router) Query(now time.Duration, queryID uint64, clientName, number string) {
	r.now = now
	r.handleQuery(queryID, clientName, number)
	r.processPending()
}

// handleQuery checks a query and offers its call to the Controller.
func (r *Router) handleQuery(queryID uint64, clientName, number string) {
	client := r.enumClients[clientName]
	entry, found := r.numberingTable.Find(number)
	reply := func(result Result, cause isup.Cause) { r.emit(Reply{QueryID: queryID, Result: result, Cause: cause}) }
	switch {
	case client == nil:
		reply(Refused, isup.CauseRejected)
		return
	case !found:
		reply(Failed, isup.CauseUnallocated)
		return
	case entry.Exchange == r.ownExchange.Number:
		reply(Failed, isup.CauseRejected) // no route needed: the client calls the number directly
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
	call := &call{id: r.lastCallID, managed: true, class: class, destination: entry.Exchange, hopCounter: r.cfg.HopCounter, receivedAt: r.now,
		setup: isup.Setup{Called: isup.Number{Digits: number, Nature: isup.NatureNational, Plan: isup.PlanISDN},
			Width: r.cfg.Classes[class].Width, HopCounter: -1},
		lease: &lease{queryID: queryID, enumClient: client, expiresAt: r.now + r.cfg.QueryTimeout}}
	r.calls[call.id] = call
	client.activeLeases++
	if !r.admit(call, client.peer) {
		r.rejectCall(call, Refused, isup.ReleaseInfo{Cause: isup.CauseCongestion})
		return
	}
	r.armTimer(call.lease.expiresAt, timer{kind: timerLease, call: call.id})
	if r.debugEnabled() {
		r.log(slog.LevelDebug, "asked", call.id, slog.String("asker", clientName), slog.String("called", number))
	}
	r.controller.Offered(r.now, logic.Call{ID: call.id, Class: class, Dest: call.destination, Width: call.setup.Width,
		Via: -1, Number: number, TimeLeft: r.remainingPatience(call)})
}

// reserve reserves circuits for the call of an ENUM client. The first reservation grants the lease.
func (r *Router) reserve(call *call, peer *peer) (*leg, bool) {
	leg := &leg{call: call, peer: peer}
	seizure := peer.group.Reserve(max(1, call.setup.Width), leg)
	if seizure == nil {
		return nil, false
	}
	leg.seizure = seizure
	r.markPending(peer)
	if call.lease.routingNumber == "" {
		for call.lease.routingNumber == "" || r.leasedCalls[call.lease.routingNumber] != nil {
			call.lease.routingNumber = fmt.Sprintf("%s%0*d", r.cfg.Routing, routingTokenDigits, r.routingRand.IntN(100_000_000))
		}
		r.leasedCalls[call.lease.routingNumber] = call
		call.lease.expiresAt = r.now + r.cfg.Lease
		r.armTimer(call.lease.expiresAt, timer{kind: timerLease, call: call.id})
		r.emit(Reply{QueryID: call.lease.queryID, Result: Established, RoutingNumber: call.lease.routingNumber, Exchange: call.attemptPeer,
			ExpiresAt: call.lease.expiresAt})
	}
	return leg, true
}

// expireLease ends a lease that was not used, or a query that the Controller has not decided in time. The Controller is
// notified that the caller hung up, not that the attempt failed: no IAM was sent, so the exchange is not to blame.
func (r *Router) expireLease(call *call) {
	if call.lease.routingNumber == "" {
		r.emit(Reply{QueryID: call.lease.queryID, Result: Refused, Cause: isup.CauseCongestion})
	}
	r.emit(Answer{At: r.now, Call: call.id, Result: HungUp, Elapsed: r.now - call.receivedAt})
	r.removeLease(call)
	r.controller.HungUp(r.now, call.id)
	if call.outgoing == nil {
		r.removeCall(call)
	}
}

// endLease ends the lease of a call that was refused or failed before a set-up came.
func (r *Router) endLease(call *call, info isup.ReleaseInfo) {
	if call.lease.routingNumber == "" {
		r.emit(Reply{QueryID: call.lease.queryID, Result: resultOf(info.Cause), Cause: info.Cause})
	}
	r.removeLease(call)
}

// removeLease removes the lease from its call and reports the end of the call to the fair shares if it was admitted.
func (r *Router) removeLease(call *call) {
	r.endAdmission(call)
	call.lease.enumClient.activeLeases--
	delete(r.leasedCalls, call.lease.routingNumber)
	call.lease = nil
}

// takeOverLease handles an IAM whose called number is a routing number: the call of the lease continues with this IAM. If
// the routing number is not leased to the client, the IAM is rejected. It returns false, and does nothing, if the called
// number is not a routing number.
func (r *Router) takeOverLease(clientPeer *peer, seizure *trunk.Seizure, iam *isup.Message) bool {
	setup, err := iam.Setup()
	if err != nil || r.cfg.Routing == "" || !strings.HasPrefix(setup.Called.Digits, r.cfg.Routing) {
		return false
	}
	leased := r.leasedCalls[setup.Called.Digits]
	if leased == nil || leased.lease.enumClient.peer != clientPeer || max(1, setup.Width) != max(1, leased.setup.Width) {
		r.log(slog.LevelWarn, "set-up with a routing number that is not leased to this client", 0, slog.String("peer", clientPeer.cfg.Name))
		r.lastCallID++
		rejected := &call{id: r.lastCallID, receivedAt: r.now - r.queueDelay}
		rejected.incoming = &leg{call: rejected, peer: clientPeer, seizure: seizure}
		seizure.Owner = rejected.incoming
		r.calls[rejected.id] = rejected
		r.rejectCall(rejected, Failed, isup.ReleaseInfo{Cause: isup.CauseRejected, Location: isup.LocationLocalNetwork})
		return true
	}
	leased.iam = copyMessage(iam)
	if err := leased.iam.SetCalled(leased.setup.Called); err != nil {
		r.log(slog.LevelError, "called number of a lease cannot be encoded", leased.id, slog.Any("err", err))
	}
	leased.setup.PropagationDelay = setup.PropagationDelay
	leased.incoming = &leg{call: leased, peer: clientPeer, seizure: seizure}
	seizure.Owner = leased.incoming
	r.emit(LeaseUsed{QueryID: leased.lease.queryID})
	admitted := leased.admitted
	leased.admitted = false // removeLease must not end the admission, which now lasts as long as the incoming leg
	r.removeLease(leased)
	leased.admitted = admitted
	r.sendReservedSetup(leased)
	return true
}

// sendReservedSetup sends the IAM of a call whose lease was taken over, on its reserved circuits. If the exchange is no
// longer ready (rule 3), its association is down or the circuits were lost, the attempt ends without an IAM, and the
// Controller decides again.
func (r *Router) sendReservedSetup(call *call) {
	leg := call.outgoing
	if leg == nil {
		return // the reservation was lost and the Controller has found no other route yet; its next attempt will send the IAM
	}
	peer := leg.peer
	ready := r.effectiveOffice(r.offices[call.attemptPeer]).State == logic.Ready
	if !ready || !peer.active() || !peer.group.Begin(leg.seizure) {
		peer.group.Free(leg.seizure)
		r.markPending(peer)
		status := logic.NotSent
		if ready && !peer.active() {
			status = logic.NoConnect
		}
		r.attemptEnded(call, status, logic.NoteCircuit)
		return
	}
	call.sentAt = r.now // so that the Controller measures the delay of the exchange, without that of the ENUM client
	peer.group.Send(leg.seizure, call.forwardedIAM(r.now, leg.seizure.CircuitMap))
	r.flush(peer)
	r.recordSendPosition(leg)
	r.markPending(peer)
}
