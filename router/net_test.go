package router

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/numbering"
	"finchlatch/trunk"
)

// net is a few Routers with scripted counters and lines, joined without sockets, in time of its own.
type net struct {
	t       *testing.T
	now     time.Duration
	events  []event
	routers map[string]*Router
	ends    map[string]*end // scripted, by "router/peer"
	effects map[string][]Effect
	delay   time.Duration
	cut     map[string]bool // links "a|b" that carry nothing
	iams    []setupSeen     // IAMs that Routers sent to other exchanges
}

type event struct {
	at time.Duration
	f  func()
}

type setupSeen struct {
	at       time.Duration
	from, to string
}

// end is a scripted endpoint.
type end struct {
	assoc    *m3ua.Assoc
	own, far uint32
	got      []*isup.Message
	on       func(m *isup.Message)
	send     func(m *isup.Message)
}

func (n *net) after(d time.Duration, f func()) {
	at := n.now + d
	i := len(n.events)
	for i > 0 && n.events[i-1].at > at {
		i--
	}
	n.events = slices.Insert(n.events, i, event{at, f})
}

// run plays until a time.
func (n *net) run(until time.Duration) {
	for {
		next, who := until+1, ""
		for _, name := range n.names() {
			if at, ok := n.routers[name].Next(); ok && at < next {
				next, who = at, name
			}
		}
		if len(n.events) > 0 && n.events[0].at <= next && n.events[0].at <= until {
			e := n.events[0]
			n.events = n.events[1:]
			n.now = e.at
			e.f()
			continue
		}
		if who == "" {
			n.now = until
			return
		}
		n.now = max(n.now, next)
		n.routers[who].Advance(n.now)
		n.carry(who)
	}
}

func (n *net) names() (out []string) {
	for name := range n.routers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func between(a, b string) string { return min(a, b) + "|" + max(a, b) }

// carry passes on what a Router wants written.
func (n *net) carry(name string) {
	r := n.routers[name]
	for _, e := range r.Effects() {
		n.effects[name] = append(n.effects[name], e)
		w, ok := e.(Write)
		if !ok {
			continue
		}
		peer := r.links[w.Link].peer.cfg.Name
		if n.cut[between(name, peer)] {
			continue
		}
		if to := n.routers[peer]; to != nil {
			n.seen(name, peer, w.Bytes)
			id, _ := to.Link(name, 0)
			n.after(n.delay, func() { to.Receive(n.now, id, w.Bytes); n.carry(peer) })
			continue
		}
		s := n.ends[name+"/"+peer]
		n.after(time.Millisecond, func() { s.assoc.Receive(n.now, w.Bytes); n.settle(name, peer) })
	}
}

func (n *net) seen(from, to string, b []byte) {
	f := m3ua.Framer{}
	f.Write(b)
	for raw, _ := f.Next(); raw != nil; raw, _ = f.Next() {
		m, _ := m3ua.Decode(raw)
		if m.Kind == m3ua.DATA {
			p, _ := m3ua.ReadProtocolData(m)
			if i, err := isup.Decode(p.Data); err == nil && i.Type == isup.IAM {
				n.iams = append(n.iams, setupSeen{n.now, from, to})
			}
		}
	}
}

// settle passes on what a scripted end has to say.
func (n *net) settle(router, peer string) {
	s := n.ends[router+"/"+peer]
	for _, i := range slices.Clone(s.assoc.Indications()) { // sending settles too
		if i.Kind != m3ua.IndData {
			continue
		}
		m, err := isup.Decode(i.Data.Data)
		if err != nil {
			n.t.Fatal(err)
		}
		s.got = append(s.got, m)
		if m.Type == isup.GRS {
			r, _ := m.RangeStatus()
			s.send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: r.Range}))
		} else if m.Type == isup.RSC {
			s.send(isup.Simple(isup.RLC, m.CIC))
		} else if s.on != nil {
			s.on(m)
		}
	}
	if b := s.assoc.Output(); len(b) > 0 && !n.cut[between(router, peer)] {
		id, _ := n.routers[router].Link(peer, 0)
		n.after(time.Millisecond, func() { n.routers[router].Receive(n.now, id, b); n.carry(router) })
	}
}

// testConfig is one of count exchanges "a", "b", ... with circuits in each group.
func testConfig(me, count, circuits int) Config {
	var cics []uint16
	for c := uint16(1); len(cics) < circuits; c++ {
		if c%32 != 0 {
			cics = append(cics, c)
		}
	}
	many := make([]uint16, 31)
	for i := range many {
		many[i] = uint16(i + 1)
	}
	c := Config{Name: exchangeName(me), Attempts: 5, Tick: 5 * time.Millisecond, Release: 200 * time.Millisecond,
		DrainGrace: time.Second, TipAfter: 3 * time.Second, Overload: 2, ColdFrom: 0.3, ColdFor: 12 * time.Second, Network: 2, LogLevel: slog.LevelDebug,
		Timers: trunk.Timers{T1: time.Second, T5: 5 * time.Second, T12: time.Second, T13: 5 * time.Second},
		Classes: []Class{
			{Class: logic.Class{Name: "one", Worth: 1, Aim: time.Second, Deadline: 9 * time.Second, Hold: 10 * time.Second, Width: 1, Safe: true},
				Category: 10, Patience: 3 * time.Second},
			{Class: logic.Class{Name: "wide", Worth: 3, Aim: time.Second, Deadline: 9 * time.Second, Hold: 10 * time.Second, Width: 2, Safe: true},
				Category: 11, Patience: 3 * time.Second}}}
	for i := range count {
		c.Exchanges = append(c.Exchanges, Exchange{i + 1, exchangeName(i), uint32(101 + i)})
		c.Numbering = append(c.Numbering, numbering.Entry{Prefix: fmt.Sprintf("55%d", i+1), Exchange: i + 1, Class: -1})
		if i != me {
			role := m3ua.RoleIPSPServer
			if me < i {
				role = m3ua.RoleIPSPClient
			}
			c.Peers = append(c.Peers, Peer{Name: exchangeName(i), PointCode: uint32(101 + i), Circuits: cics, ASPs: []m3ua.Settings{{Role: role, Beat: -1}}})
		}
	}
	sgp := []m3ua.Settings{{Role: m3ua.RoleSGP, Beat: -1}}
	c.Peers = append(c.Peers, Peer{Name: "counters", Kind: PeerClient, PointCode: uint32(2001 + me), Circuits: many, ASPs: sgp},
		Peer{Name: "lines", Kind: PeerSubscribers, PointCode: uint32(3001 + me), Circuits: many, ASPs: sgp})
	return c
}

func exchangeName(i int) string { return string(rune('a' + i)) }

// newNet makes and starts a fleet; lines answer every call after 20 ms.
func newNet(t *testing.T, count, circuits int) *net {
	n := &net{t: t, routers: map[string]*Router{}, ends: map[string]*end{}, effects: map[string][]Effect{},
		delay: 5 * time.Millisecond, cut: map[string]bool{}, now: time.Hour}
	for i := range count {
		n.addRouter(testConfig(i, count, circuits))
	}
	for _, name := range n.names() {
		n.connect(name)
	}
	n.run(n.now + time.Second)
	n.iams = nil
	return n
}

func (n *net) addRouter(c Config) {
	r, err := New(c, 7)
	if err != nil {
		n.t.Fatal(err)
	}
	n.routers[c.Name] = r
	r.Start(n.now, nil)
	n.carry(c.Name)
}

// connect brings up the links of a Router.
func (n *net) connect(name string) {
	r := n.routers[name]
	for _, p := range r.cfg.Peers {
		id, _ := r.Link(p.Name, 0)
		r.Connected(n.now, id)
		if p.Kind != PeerExchange {
			n.scripted(name, p)
		}
		n.carry(name)
	}
}

func (n *net) scripted(name string, p Peer) {
	s := &end{assoc: m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, Beat: -1}), own: p.PointCode, far: n.routers[name].home.PointCode}
	s.send = func(m *isup.Message) {
		b, err := m.Append(nil)
		if err != nil {
			n.t.Fatal(err)
		}
		_ = s.assoc.Send(m3ua.ProtocolData{OPC: s.own, DPC: s.far, SI: 5, NI: 2, Data: b})
		n.settle(name, p.Name)
	}
	if p.Kind == PeerSubscribers {
		s.on = func(m *isup.Message) {
			switch m.Type {
			case isup.IAM:
				s.send(isup.Simple(isup.ACM, m.CIC))
				n.after(20*time.Millisecond, func() { s.send(isup.Simple(isup.ANM, m.CIC)) })
			case isup.REL:
				s.send(isup.Simple(isup.RLC, m.CIC))
			}
		}
	} else {
		s.on = func(m *isup.Message) {
			if m.Type == isup.REL {
				s.send(isup.Simple(isup.RLC, m.CIC))
			}
		}
	}
	n.ends[name+"/"+p.Name] = s
	s.assoc.Connected(n.now)
	n.settle(name, p.Name)
}

// call offers a call at an exchange, on a circuit of its counters.
func (n *net) call(at string, cic uint16, number string, width int) {
	set := isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1}, Category: byte(9 + width), Width: width, Hops: -1}
	if width == 2 {
		set.Map = 3 << (cic - 1)
	}
	m, err := isup.NewSetup(cic, set)
	if err != nil {
		n.t.Fatal(err)
	}
	n.ends[at+"/counters"].send(m)
}

// heard lists what the counters of an exchange were told on a circuit, without group messages.
func (n *net) heard(at string, cic uint16) (out []isup.Type) {
	for _, m := range n.ends[at+"/counters"].got {
		if m.CIC == cic && m.Type != isup.GRS {
			out = append(out, m.Type)
		}
	}
	return out
}

func (n *net) cause(at string, cic uint16) (c isup.Cause) {
	for _, m := range n.ends[at+"/counters"].got {
		if m.CIC == cic && m.Type == isup.REL {
			c = m.Release().Cause
		}
	}
	return c
}

// idle tells whether all circuits everywhere are free and no call is held.
func (n *net) idle() error {
	for _, name := range n.names() {
		r := n.routers[name]
		for _, g := range r.Groups() {
			if g.Spare != g.Size {
				return fmt.Errorf("%s: group %s: %+v", name, g.Peer, g)
			}
		}
		if calls, _ := r.Held(); calls != 0 {
			return fmt.Errorf("%s holds %d calls: %+v", name, calls, r.Calls(n.now, 10))
		}
	}
	return nil
}

// decisions are what the Controller of a Router decided, and the answers given.
func (n *net) decisions(at string) (out []string) {
	for _, e := range n.effects[at] {
		switch e := e.(type) {
		case Decision:
			out = append(out, fmt.Sprintf("%v call %d %v %s %d", e.At, e.Call, e.Act, e.Office, e.Attempt))
		case Answer:
			out = append(out, fmt.Sprintf("%v call %d %v %d %v", e.At, e.Call, e.Verdict, e.Cause, e.Took))
		case Log:
			if e.Level >= slog.LevelError {
				n.t.Errorf("%s: %s", at, e.Text)
			}
		}
	}
	return out
}
