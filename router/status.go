package router

import (
	"fmt"
	"time"

	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/trunk"
)

// CallView describes a call for operators.
type CallView struct {
	ID       uint64
	Called   string
	Class    string
	From     string // peer of the incoming leg
	To       string // peer of the outgoing leg; empty without an outstanding attempt
	Attempts int
	State    string // waiting; out: with an outstanding attempt; stands: established
	Age      time.Duration
}

// GroupView describes a trunk group for operators, with its circuits counted by state.
type GroupView struct {
	Peer      string
	Kind      PeerKind
	Size      int // all circuits
	Total     int // circuits that are not blocked, whatever their state
	Spare     int // circuits that a call could seize now: idle and not blocked
	Out       int // circuits of outgoing calls
	In        int // circuits of incoming calls
	Releasing int // circuits that await RLC
	Resetting int // circuits that await the acknowledgement of a reset
	Blocked   int
}

// ExchangeView describes an exchange for operators.
type ExchangeView struct {
	Name           string
	State          logic.OfficeState // from service discovery or the exchange itself, the worse of the two
	Started        time.Duration     // time of its latest start; 0: long ago
	AnnouncedDrain bool              // the exchange has itself announced its drain
}

// AssociationView describes the association with one process of a peer for operators.
type AssociationView struct {
	Peer         string
	ASP          int          // index in Peer.ASPs
	AS           m3ua.ASState // state of the application server, for the whole peer
	State        m3ua.State
	Sent         int64 // bytes sent on this connection
	HeldMessages int   // messages that wait for the peer to become active
}

// Calls lists up to limit calls in progress, oldest first.
func (r *Router) Calls(now time.Duration, limit int) (views []CallView) {
	for _, call := range r.callsInOrder() {
		if len(views) == limit {
			break
		}
		view := CallView{ID: call.id, Called: call.setup.Called.Digits, Class: "?", Attempts: call.attempts, State: "waiting",
			Age: now - call.receivedAt}
		if call.class >= 0 {
			view.Class = r.cfg.Classes[call.class].Name
		}
		if call.incoming != nil {
			view.From = call.incoming.peer.cfg.Name
		}
		if call.outgoing != nil {
			view.To, view.State = call.outgoing.peer.cfg.Name, "out"
		}
		if call.established {
			view.State = "stands"
		}
		views = append(views, view)
	}
	return views
}

// CallCounts returns the number of calls in progress, and how many of them have an incoming leg without a final answer.
// Calls of a query or lease without a set-up count only among the first.
func (r *Router) CallCounts() (calls, unanswered int) {
	for _, call := range r.calls {
		if !call.established && call.incoming != nil {
			unanswered++
		}
	}
	return len(r.calls), unanswered
}

// Draining reports whether new calls are refused.
func (r *Router) Draining() bool { return r.draining }

// Groups lists the trunk groups in the order of Config.Peers.
func (r *Router) Groups() (views []GroupView) {
	for _, peer := range r.peers {
		byState, blocked := peer.group.States()
		views = append(views, GroupView{Peer: peer.cfg.Name, Kind: peer.cfg.Kind, Size: peer.group.Size(), Total: peer.group.Unblocked(),
			Spare: peer.group.Usable(), Out: byState[trunk.SeizedOutgoing], In: byState[trunk.SeizedIncoming],
			Releasing: byState[trunk.AwaitingRelease], Resetting: byState[trunk.Resetting], Blocked: blocked})
	}
	return views
}

// Exchanges lists the exchanges in the order of Config.Exchanges.
func (r *Router) Exchanges() (views []ExchangeView) {
	for _, exchange := range r.cfg.Exchanges {
		view := ExchangeView{Name: exchange.Name, State: logic.Gone}
		if office, ok := r.offices[exchange.Name]; ok {
			office = r.effectiveOffice(office)
			view.State, view.Started = office.State, office.Started
		}
		if peer := r.peersByName[exchange.Name]; peer != nil {
			view.AnnouncedDrain = peer.announcedDrain
		}
		views = append(views, view)
	}
	return views
}

// Associations lists the associations in the order of Config.Peers and Peer.ASPs.
func (r *Router) Associations() (views []AssociationView) {
	for _, peer := range r.peers {
		for _, link := range peer.links {
			views = append(views, AssociationView{Peer: peer.cfg.Name, ASP: link.aspIndex, AS: peer.as.State(), State: link.assoc.State(),
				Sent: link.bytesWritten, HeldMessages: len(peer.heldMessages)})
		}
	}
	return views
}

// Peer returns the peer with a name, or false if there is none.
func (r *Router) Peer(name string) (PeerID, bool) {
	peer := r.peersByName[name]
	if peer == nil {
		return 0, false
	}
	return peer.id, true
}

// Link returns the link of a process of a peer, or false if there is none.
func (r *Router) Link(peer string, asp int) (LinkID, bool) {
	found := r.peersByName[peer]
	if found == nil || asp < 0 || asp >= len(found.links) {
		return 0, false
	}
	return found.links[asp].id, true
}

// LinkName returns the name of a link for operators.
func (r *Router) LinkName(id LinkID) string {
	link := r.links[id]
	if len(link.peer.links) == 1 {
		return link.peer.cfg.Name
	}
	return fmt.Sprintf("%s/%d", link.peer.cfg.Name, link.aspIndex)
}

// Name returns the name of the exchange that this Router serves.
func (r *Router) Name() string { return r.ownExchange.Name }

// Exchange returns the configuration of an exchange, or false if there is none of that name.
func (r *Router) Exchange(name string) (Exchange, bool) {
	for _, exchange := range r.cfg.Exchanges {
		if exchange.Name == name {
			return exchange, true
		}
	}
	return Exchange{}, false
}
