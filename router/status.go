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
	Name    string
	State   logic.OfficeState // as the list or the exchange itself tells, the worse of the two
	Started time.Duration
	Leaving bool // it has said so itself
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
func (r *Router) Calls(now time.Duration, most int) (out []CallView) {
	for _, c := range r.sorted() {
		if len(out) == most {
			break
		}
		v := CallView{ID: c.id, Called: c.setup.Called.Digits, Class: "?", Attempts: c.attempts, State: "waiting",
			Age: now - c.taken}
		if c.class >= 0 {
			v.Class = r.cfg.Classes[c.class].Name
		}
		if c.in != nil {
			v.From = c.in.peer.cfg.Name
		}
		if c.out != nil {
			v.To, v.State = c.out.peer.cfg.Name, "out"
		}
		if c.answered {
			v.State = "stands"
		}
		out = append(out, v)
	}
	return out
}

// Held counts the calls, and those of them that have no final answer yet.
func (r *Router) Held() (calls, unanswered int) {
	for _, c := range r.calls {
		if !c.answered && c.in != nil {
			unanswered++
		}
	}
	return len(r.calls), unanswered
}

// Draining tells whether new calls are refused.
func (r *Router) Draining() bool { return r.draining }

// Groups lists the trunk groups in the order of the peers.
func (r *Router) Groups() (out []GroupView) {
	for _, p := range r.peers {
		by, blocked := p.group.States()
		out = append(out, GroupView{Peer: p.cfg.Name, Kind: p.cfg.Kind, Size: p.group.Size(), Total: p.group.Total(),
			Spare: p.group.Spare(), Out: by[1], In: by[2], Releasing: by[3], Resetting: by[4], Blocked: blocked})
	}
	return out
}

// Exchanges lists the exchanges in the order of the configuration.
func (r *Router) Exchanges() (out []ExchangeView) {
	for _, e := range r.cfg.Exchanges {
		v := ExchangeView{Name: e.Name, State: logic.Gone}
		if o, ok := r.list[e.Name]; ok {
			o = r.merged(o)
			v.State, v.Started = o.State, o.Started
		}
		if p := r.byName[e.Name]; p != nil {
			v.Leaving = p.leaving
		}
		out = append(out, v)
	}
	return out
}

// Associations lists the associations in the order of the peers.
func (r *Router) Associations() (out []AssociationView) {
	for _, p := range r.peers {
		for _, l := range p.links {
			out = append(out, AssociationView{Peer: p.cfg.Name, ASP: l.asp, AS: p.as.State(), State: l.assoc.State(),
				Sent: l.offset, Held: len(p.held)})
		}
	}
	return out
}

// Peer finds a peer by its name.
func (r *Router) Peer(name string) (PeerID, bool) {
	p := r.byName[name]
	if p == nil {
		return 0, false
	}
	return p.id, true
}

// Link finds the connection of a process of a peer; false: there is none.
func (r *Router) Link(peer string, asp int) (LinkID, bool) {
	p := r.byName[peer]
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
	return fmt.Sprintf("%s/%d", l.peer.cfg.Name, l.asp)
}

// Name is the own exchange.
func (r *Router) Name() string { return r.home.Name }

// Exchange finds the configuration of an exchange.
func (r *Router) Exchange(name string) (Exchange, bool) {
	for _, e := range r.cfg.Exchanges {
		if e.Name == name {
			return e, true
		}
	}
	return Exchange{}, false
}
