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
type testNetwork struct {
	t            *testing.T
	now          time.Duration
	schedule     []scheduledAction
	routers      map[string]*Router
	endpoints    map[string]*endpoint // scripted, by "router/peer"
	effects      map[string][]Effect
	linkDelay    time.Duration
	disconnected map[string]bool // links "a|b" that carry nothing
	setups       []sentSetup     // IAMs that Routers sent to other exchanges
}

type scheduledAction struct {
	at     time.Duration
	action func()
}

type sentSetup struct {
	at       time.Duration
	from, to string
}

// end is a scripted endpoint.
type endpoint struct {
	assoc                      *m3ua.Assoc
	pointCode, routerPointCode uint32
	received                   []*isup.Message
	onMessage                  func(m *isup.Message)
	send                       func(m *isup.Message)
}

func (n *testNetwork) after(delay time.Duration, action func()) {
	due := n.now + delay
	i := len(n.schedule)
	for i > 0 && n.schedule[i-1].at > due {
		i--
	}
	n.schedule = slices.Insert(n.schedule, i, scheduledAction{due, action})
}

// run plays until a time.
func (n *testNetwork) runUntil(until time.Duration) {
	for {
		nextDue, nextRouter := until+1, ""
		for _, name := range n.exchangeNames() {
			if at, ok := n.routers[name].Next(); ok && at < nextDue {
				nextDue, nextRouter = at, name
			}
		}
		if len(n.schedule) > 0 && n.schedule[0].at <= nextDue && n.schedule[0].at <= until {
			e := n.schedule[0]
			n.schedule = n.schedule[1:]
			n.now = e.at
			e.action()
			continue
		}
		if nextRouter == "" {
			n.now = until
			return
		}
		n.now = max(n.now, nextDue)
		n.routers[nextRouter].Advance(n.now)
		n.deliver(nextRouter)
	}
}

func (n *testNetwork) exchangeNames() (out []string) {
	for name := range n.routers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

// carry passes on what a Router wants written.
func (n *testNetwork) deliver(name string) {
	r := n.routers[name]
	for _, e := range r.Effects() {
		n.effects[name] = append(n.effects[name], e)
		w, ok := e.(Write)
		if !ok {
			continue
		}
		peer := r.links[w.Link].peer.cfg.Name
		if n.disconnected[linkKey(name, peer)] {
			continue
		}
		if to := n.routers[peer]; to != nil {
			n.recordSetups(name, peer, w.Bytes)
			id, _ := to.Link(name, 0)
			n.after(n.linkDelay, func() { to.Receive(n.now, id, w.Bytes); n.deliver(peer) })
			continue
		}
		end := n.endpoints[name+"/"+peer]
		n.after(time.Millisecond, func() { end.assoc.Receive(n.now, w.Bytes); n.processEndpoint(name, peer) })
	}
}

func (n *testNetwork) recordSetups(from, to string, data []byte) {
	f := m3ua.Framer{}
	f.Write(data)
	for raw, _ := f.Next(); raw != nil; raw, _ = f.Next() {
		m, _ := m3ua.Decode(raw)
		if m.Kind == m3ua.DATA {
			p, _ := m3ua.ReadProtocolData(m)
			if i, err := isup.Decode(p.Data); err == nil && i.Type == isup.IAM {
				n.setups = append(n.setups, sentSetup{n.now, from, to})
			}
		}
	}
}

// settle passes on what a scripted end has to say.
func (n *testNetwork) processEndpoint(router, peer string) {
	end := n.endpoints[router+"/"+peer]
	for _, indication := range slices.Clone(end.assoc.Indications()) { // sending settles too
		if indication.Kind != m3ua.IndData {
			continue
		}
		m, err := isup.Decode(indication.Data.Data)
		if err != nil {
			n.t.Fatal(err)
		}
		end.received = append(end.received, m)
		if m.Type == isup.GRS {
			r, _ := m.RangeStatus()
			end.send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: r.Range}))
		} else if m.Type == isup.RSC {
			end.send(isup.Simple(isup.RLC, m.CIC))
		} else if end.onMessage != nil {
			end.onMessage(m)
		}
	}
	if b := end.assoc.Output(); len(b) > 0 && !n.disconnected[linkKey(router, peer)] {
		id, _ := n.routers[router].Link(peer, 0)
		n.after(time.Millisecond, func() { n.routers[router].Receive(n.now, id, b); n.deliver(router) })
	}
}

// testConfig is one of count exchanges "a", "b", ... with circuits in each group.
func testConfig(index, count, circuits int) Config {
	var trunkCircuits []uint16
	for c := uint16(1); len(trunkCircuits) < circuits; c++ {
		if c%32 != 0 {
			trunkCircuits = append(trunkCircuits, c)
		}
	}
	clientCircuits := make([]uint16, 31)
	for i := range clientCircuits {
		clientCircuits[i] = uint16(i + 1)
	}
	c := Config{Name: exchangeName(index), Attempts: 5, Tick: 5 * time.Millisecond, Release: 200 * time.Millisecond,
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
		if i != index {
			role := m3ua.RoleIPSPServer
			if index < i {
				role = m3ua.RoleIPSPClient
			}
			c.Peers = append(c.Peers, Peer{Name: exchangeName(i), PointCode: uint32(101 + i), Circuits: trunkCircuits, ASPs: []m3ua.Settings{{Role: role, Beat: -1}}})
		}
	}
	sgp := []m3ua.Settings{{Role: m3ua.RoleSGP, Beat: -1}}
	c.Peers = append(c.Peers, Peer{Name: "counters", Kind: PeerClient, PointCode: uint32(2001 + index), Circuits: clientCircuits, ASPs: sgp},
		Peer{Name: "lines", Kind: PeerSubscribers, PointCode: uint32(3001 + index), Circuits: clientCircuits, ASPs: sgp})
	return c
}

func exchangeName(i int) string { return string(rune('a' + i)) }

// newNet makes and starts a fleet; lines answer every call after 20 ms.
func newTestNetwork(t *testing.T, count, circuits int) *testNetwork {
	n := &testNetwork{t: t, routers: map[string]*Router{}, endpoints: map[string]*endpoint{}, effects: map[string][]Effect{},
		linkDelay: 5 * time.Millisecond, disconnected: map[string]bool{}, now: time.Hour}
	for i := range count {
		n.addRouter(testConfig(i, count, circuits))
	}
	for _, name := range n.exchangeNames() {
		n.connect(name)
	}
	n.runUntil(n.now + time.Second)
	n.setups = nil
	return n
}

func (n *testNetwork) addRouter(config Config) {
	r, err := New(config, 7)
	if err != nil {
		n.t.Fatal(err)
	}
	n.routers[config.Name] = r
	r.Start(n.now, nil)
	n.deliver(config.Name)
}

// connect brings up the links of a Router.
func (n *testNetwork) connect(name string) {
	r := n.routers[name]
	for _, p := range r.cfg.Peers {
		id, _ := r.Link(p.Name, 0)
		r.Connected(n.now, id)
		if p.Kind != PeerExchange {
			n.addEndpoint(name, p)
		}
		n.deliver(name)
	}
}

func (n *testNetwork) addEndpoint(name string, p Peer) {
	end := &endpoint{assoc: m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, Beat: -1}), pointCode: p.PointCode, routerPointCode: n.routers[name].ownExchange.PointCode}
	end.send = func(m *isup.Message) {
		b, err := m.Append(nil)
		if err != nil {
			n.t.Fatal(err)
		}
		_ = end.assoc.Send(m3ua.ProtocolData{OPC: end.pointCode, DPC: end.routerPointCode, SI: 5, NI: 2, Data: b})
		n.processEndpoint(name, p.Name)
	}
	if p.Kind == PeerSubscribers {
		end.onMessage = func(m *isup.Message) {
			switch m.Type {
			case isup.IAM:
				end.send(isup.Simple(isup.ACM, m.CIC))
				n.after(20*time.Millisecond, func() { end.send(isup.Simple(isup.ANM, m.CIC)) })
			case isup.REL:
				end.send(isup.Simple(isup.RLC, m.CIC))
			}
		}
	} else {
		end.onMessage = func(m *isup.Message) {
			if m.Type == isup.REL {
				end.send(isup.Simple(isup.RLC, m.CIC))
			}
		}
	}
	n.endpoints[name+"/"+p.Name] = end
	end.assoc.Connected(n.now)
	n.processEndpoint(name, p.Name)
}

// call offers a call at an exchange, on a circuit of its counters.
func (n *testNetwork) offerCall(exchange string, cic uint16, number string, width int) {
	set := isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1}, Category: byte(9 + width), Width: width, Hops: -1}
	if width == 2 {
		set.Map = 3 << (cic - 1)
	}
	m, err := isup.NewSetup(cic, set)
	if err != nil {
		n.t.Fatal(err)
	}
	n.endpoints[exchange+"/counters"].send(m)
}

// heard lists what the counters of an exchange were told on a circuit, without group messages.
func (n *testNetwork) receivedTypes(exchange string, cic uint16) (out []isup.Type) {
	for _, m := range n.endpoints[exchange+"/counters"].received {
		if m.CIC == cic && m.Type != isup.GRS {
			out = append(out, m.Type)
		}
	}
	return out
}

func (n *testNetwork) releaseCause(exchange string, cic uint16) (c isup.Cause) {
	for _, m := range n.endpoints[exchange+"/counters"].received {
		if m.CIC == cic && m.Type == isup.REL {
			c = m.Release().Cause
		}
	}
	return c
}

// idle tells whether all circuits everywhere are free and no call is held.
func (n *testNetwork) checkIdle() error {
	for _, name := range n.exchangeNames() {
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
func (n *testNetwork) decisions(exchange string) (out []string) {
	for _, e := range n.effects[exchange] {
		switch e := e.(type) {
		case Decision:
			out = append(out, fmt.Sprintf("%v call %d %v %s %d", e.At, e.Call, e.Action, e.Office, e.Attempt))
		case Answer:
			out = append(out, fmt.Sprintf("%v call %d %v %d %v", e.At, e.Call, e.Verdict, e.Cause, e.Elapsed))
		case Log:
			if e.Level >= slog.LevelError {
				n.t.Errorf("%s: %s", exchange, e.Text)
			}
		}
	}
	return out
}
