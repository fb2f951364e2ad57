package router

import (
	"fmt"
	"time"

	"finchlatch/logic"
	"finchlatch/m3ua"
)

// CallView is a call as operators see it.
type CallView struct {
	ID       uint64
	Called   string
	Class    string
	From, To string // peers; To is empty while nothing is out
	Attempts int
	State    string // waiting, out, stands
	Age      time.Duration
}

// GroupView is a trunk group as operators see it.
type GroupView struct {
	Peer                          string
	Kind                          PeerKind
	Size, Total, Spare            int
	Out, In, Releasing, Resetting int
	Blocked                       int
}

// ExchangeView is an exchange of the list.
type ExchangeView struct {
	Name           string
	State          logic.OfficeState // as the list or the exchange itself tells, the worse of the two
	Started        time.Duration
	AnnouncedDrain bool // it has said so itself
}

// AssociationView is the association with one process of a peer.
type AssociationView struct {
	Peer  string
	ASP   int
	AS    m3ua.ASState // of the whole peer
	State m3ua.State
	Sent  int64 // octets on this connection
	Held  int   // messages that wait for it to come back
}

// Calls lists the calls held, oldest first; at most most.
func (r *Router) Calls(now time.Duration, limit int) (views []CallView) {
	for _, c := range r.callsInOrder() {
		if len(views) == limit {
			break
		}
		view := CallView{ID: c.id, Called: c.setup.Called.Digits, Class: "?", Attempts: c.attempts, State: "waiting",
			Age: now - c.receivedAt}
		if c.class >= 0 {
			view.Class = r.cfg.Classes[c.class].Name
		}
		if c.incoming != nil {
			view.From = c.incoming.peer.cfg.Name
		}
		if c.outgoing != nil {
			view.To, view.State = c.outgoing.peer.cfg.Name, "out"
		}
		if c.established {
			view.State = "stands"
		}
		views = append(views, view)
	}
	return views
}

// Held counts the calls, and those of them that have no final answer yet.
func (r *Router) Held() (calls, unanswered int) {
	for _, c := range r.calls {
		if !c.established && c.incoming != nil {
			unanswered++
		}
	}
	return len(r.calls), unanswered
}

// Draining tells whether new calls are refused.
func (r *Router) Draining() bool { return r.draining }

// Groups lists the trunk groups in the order of the peers.
func (r *Router) Groups() (views []GroupView) {
	for _, p := range r.peers {
		byState, blocked := p.group.States()
		views = append(views, GroupView{Peer: p.cfg.Name, Kind: p.cfg.Kind, Size: p.group.Size(), Total: p.group.Total(),
			Spare: p.group.Spare(), Out: byState[1], In: byState[2], Releasing: byState[3], Resetting: byState[4], Blocked: blocked})
	}
	return views
}

// Exchanges lists the exchanges in the order of the configuration.
func (r *Router) Exchanges() (views []ExchangeView) {
	for _, e := range r.cfg.Exchanges {
		view := ExchangeView{Name: e.Name, State: logic.Gone}
		if office, ok := r.offices[e.Name]; ok {
			office = r.effectiveOffice(office)
			view.State, view.Started = office.State, office.Started
		}
		if p := r.peersByName[e.Name]; p != nil {
			view.AnnouncedDrain = p.announcedDrain
		}
		views = append(views, view)
	}
	return views
}

// Associations lists the associations in the order of the peers.
func (r *Router) Associations() (views []AssociationView) {
	for _, p := range r.peers {
		for _, l := range p.links {
			views = append(views, AssociationView{Peer: p.cfg.Name, ASP: l.aspIndex, AS: p.as.State(), State: l.assoc.State(),
				Sent: l.bytesWritten, Held: len(p.heldMessages)})
		}
	}
	return views
}

// Peer finds a peer by its name.
func (r *Router) Peer(name string) (PeerID, bool) {
	p := r.peersByName[name]
	if p == nil {
		return 0, false
	}
	return p.id, true
}

// Link finds the connection of a process of a peer; false: there is none.
func (r *Router) Link(peer string, asp int) (LinkID, bool) {
	p := r.peersByName[peer]
	if p == nil || asp < 0 || asp >= len(p.links) {
		return 0, false
	}
	return p.links[asp].id, true
}

// LinkName names a connection for the operators.
func (r *Router) LinkName(id LinkID) string {
	l := r.links[id]
	if len(l.peer.links) == 1 {
		return l.peer.cfg.Name
	}
	return fmt.Sprintf("%s/%d", l.peer.cfg.Name, l.aspIndex)
}

// Name is the own exchange.
func (r *Router) Name() string { return r.ownExchange.Name }

// Exchange finds the configuration of an exchange.
func (r *Router) Exchange(name string) (Exchange, bool) {
	for _, e := range r.cfg.Exchanges {
		if e.Name == name {
			return e, true
		}
	}
	return Exchange{}, false
}
