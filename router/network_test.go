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

// testNetwork connects several Routers with scripted counters and lines, without sockets and in simulated time.
type testNetwork struct {
	t            *testing.T
	now          time.Duration
	schedule     []scheduledAction
	routers      map[string]*Router
	endpoints    map[string]*endpoint // scripted, by "router/peer"
	effects      map[string][]Effect
	linkDelay    time.Duration
	disconnected map[string]bool // links, by linkKey, whose bytes are lost
	setups       []sentSetup     // IAMs that Routers sent to other exchanges
}

// scheduledAction is an action that runs at a point in simulated time.
type scheduledAction struct {
	at     time.Duration
	action func()
}

// sentSetup is an IAM from one exchange to another.
type sentSetup struct {
	at       time.Duration
	from, to string
}

// endpoint is a scripted peer of a Router.
type endpoint struct {
	assoc           *m3ua.Assoc
	pointCode       uint32 // of the endpoint
	routerPointCode uint32 // of the Router that it is connected to
	received        []*isup.Message
	onMessage       func(m *isup.Message) // called for each message except group and circuit resets
	send            func(m *isup.Message)
}

// after schedules an action.
func (n *testNetwork) after(delay time.Duration, action func()) {
	due := n.now + delay
	i := len(n.schedule)
	for i > 0 && n.schedule[i-1].at > due {
		i--
	}
	n.schedule = slices.Insert(n.schedule, i, scheduledAction{due, action})
}

// runUntil runs scheduled actions and timers up to a point in time.
func (n *testNetwork) runUntil(until time.Duration) {
	for {
		nextDue, nextRouter := until+1, ""
		for _, name := range n.exchangeNames() {
			if at, ok := n.routers[name].NextTimer(); ok && at < nextDue {
				nextDue, nextRouter = at, name
			}
		}
		if len(n.schedule) > 0 && n.schedule[0].at <= nextDue && n.schedule[0].at <= until {
			next := n.schedule[0]
			n.schedule = n.schedule[1:]
			n.now = next.at
			next.action()
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

func (n *testNetwork) exchangeNames() (names []string) {
	for name := range n.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// linkKey returns the key of a link in disconnected, whatever the order of its ends.
func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

// deliver records the effects of a Router and transports its written bytes to the other ends.
func (n *testNetwork) deliver(name string) {
	r := n.routers[name]
	for _, e := range r.Effects() {
		n.effects[name] = append(n.effects[name], e)
		write, ok := e.(Write)
		if !ok {
			continue
		}
		peer := r.links[write.Link].peer.cfg.Name
		if n.disconnected[linkKey(name, peer)] {
			continue
		}
		if to := n.routers[peer]; to != nil {
			n.recordSetups(name, peer, write.Bytes)
			id, _ := to.Link(name, 0)
			n.after(n.linkDelay, func() { to.Receive(n.now, id, write.Bytes); n.deliver(peer) })
			continue
		}
		end := n.endpoints[name+"/"+peer]
		n.after(time.Millisecond, func() { end.assoc.Receive(n.now, write.Bytes); n.processEndpoint(name, peer) })
	}
}

// recordSetups records the IAMs among written bytes.
func (n *testNetwork) recordSetups(from, to string, data []byte) {
	framer := m3ua.Framer{}
	framer.Write(data)
	for raw, _ := framer.Next(); raw != nil; raw, _ = framer.Next() {
		m, _ := m3ua.Decode(raw)
		if m.Kind == m3ua.DATA {
			p, _ := m3ua.ReadProtocolData(m)
			if message, err := isup.Decode(p.Data); err == nil && message.Type == isup.IAM {
				n.setups = append(n.setups, sentSetup{n.now, from, to})
			}
		}
	}
}

// processEndpoint handles the received messages of an endpoint and transports its output to its Router.
func (n *testNetwork) processEndpoint(router, peer string) {
	end := n.endpoints[router+"/"+peer]
	for _, indication := range slices.Clone(end.assoc.Indications()) { // send calls processEndpoint too
		if indication.Kind != m3ua.IndData {
			continue
		}
		message, err := isup.Decode(indication.Data.Data)
		if err != nil {
			n.t.Fatal(err)
		}
		end.received = append(end.received, message)
		if message.Type == isup.GRS {
			rangeStatus, _ := message.RangeStatus()
			end.send(isup.NewGroup(isup.GRA, message.CIC, 0, isup.Range{Range: rangeStatus.Range}))
		} else if message.Type == isup.RSC {
			end.send(isup.NewSimple(isup.RLC, message.CIC))
		} else if end.onMessage != nil {
			end.onMessage(message)
		}
	}
	if b := end.assoc.Output(); len(b) > 0 && !n.disconnected[linkKey(router, peer)] {
		id, _ := n.routers[router].Link(peer, 0)
		n.after(time.Millisecond, func() { n.routers[router].Receive(n.now, id, b); n.deliver(router) })
	}
}

// testConfig returns the Config of one of count exchanges "a", "b", ..., with the given number of circuits in each trunk
// group between exchanges.
func testConfig(index, count, circuits int) Config {
	var trunkCircuits []uint16
	for cic := uint16(1); len(trunkCircuits) < circuits; cic++ {
		if cic%32 != 0 { // time slot 0 of a 2,048 kbit/s system is no circuit
			trunkCircuits = append(trunkCircuits, cic)
		}
	}
	clientCircuits := make([]uint16, 31)
	for i := range clientCircuits {
		clientCircuits[i] = uint16(i + 1)
	}
	config := Config{Name: exchangeName(index), Attempts: 5, Tick: 5 * time.Millisecond, Release: 200 * time.Millisecond,
		DrainGrace: time.Second, TipAfter: 3 * time.Second, Overload: 2, ColdFrom: 0.3, ColdFor: 12 * time.Second,
		Network: 2, LogLevel: slog.LevelDebug,
		Timers: trunk.Timers{T1: time.Second, T5: 5 * time.Second, T12: time.Second, T13: 5 * time.Second},
		Classes: []Class{
			{Class: logic.Class{Name: "one", Worth: 1, Aim: time.Second, Deadline: 9 * time.Second, Hold: 10 * time.Second, Width: 1, SafeToRepeat: true},
				Category: 10, Patience: 3 * time.Second},
			{Class: logic.Class{Name: "wide", Worth: 3, Aim: time.Second, Deadline: 9 * time.Second, Hold: 10 * time.Second, Width: 2, SafeToRepeat: true},
				Category: 11, Patience: 3 * time.Second}}}
	for i := range count {
		config.Exchanges = append(config.Exchanges, Exchange{i + 1, exchangeName(i), uint32(101 + i)})
		config.Numbering = append(config.Numbering, numbering.Entry{Prefix: fmt.Sprintf("55%d", i+1), Exchange: i + 1, Class: -1})
		if i != index {
			role := m3ua.RoleIPSPServer
			if index < i {
				role = m3ua.RoleIPSPClient
			}
			config.Peers = append(config.Peers, Peer{Name: exchangeName(i), PointCode: uint32(101 + i), Circuits: trunkCircuits,
				ASPs: []m3ua.Settings{{Role: role, HeartbeatInterval: -1}}})
		}
	}
	sgp := []m3ua.Settings{{Role: m3ua.RoleSGP, HeartbeatInterval: -1}}
	config.Peers = append(config.Peers,
		Peer{Name: "counters", Kind: PeerClient, PointCode: uint32(2001 + index), Circuits: clientCircuits, ASPs: sgp},
		Peer{Name: "lines", Kind: PeerSubscribers, PointCode: uint32(3001 + index), Circuits: clientCircuits, ASPs: sgp})
	return config
}

func exchangeName(i int) string { return string(rune('a' + i)) }

// newTestNetwork creates and starts a network of count exchanges. Their lines answer every call after 20 ms.
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

// addRouter creates and starts a Router, or replaces the one of the same name as after a restart.
func (n *testNetwork) addRouter(config Config) {
	r, err := New(config, 7)
	if err != nil {
		n.t.Fatal(err)
	}
	n.routers[config.Name] = r
	r.Start(n.now, nil)
	n.deliver(config.Name)
}

// connect establishes all connections of a Router.
func (n *testNetwork) connect(name string) {
	r := n.routers[name]
	for _, peer := range r.cfg.Peers {
		id, _ := r.Link(peer.Name, 0)
		r.Connected(n.now, id)
		if peer.Kind != PeerExchange {
			n.addEndpoint(name, peer)
		}
		n.deliver(name)
	}
}

// addEndpoint creates the scripted endpoint for a peer of an exchange, and connects it.
func (n *testNetwork) addEndpoint(exchange string, peer Peer) {
	end := &endpoint{assoc: m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, HeartbeatInterval: -1}), pointCode: peer.PointCode,
		routerPointCode: n.routers[exchange].ownExchange.PointCode}
	end.send = func(m *isup.Message) {
		b, err := m.Append(nil)
		if err != nil {
			n.t.Fatal(err)
		}
		_ = end.assoc.Send(m3ua.ProtocolData{OPC: end.pointCode, DPC: end.routerPointCode, SI: 5, NI: 2, Data: b})
		n.processEndpoint(exchange, peer.Name)
	}
	if peer.Kind == PeerSubscribers {
		end.onMessage = func(m *isup.Message) {
			switch m.Type {
			case isup.IAM:
				end.send(isup.NewSimple(isup.ACM, m.CIC))
				n.after(20*time.Millisecond, func() { end.send(isup.NewSimple(isup.ANM, m.CIC)) })
			case isup.REL:
				end.send(isup.NewSimple(isup.RLC, m.CIC))
			}
		}
	} else {
		end.onMessage = func(m *isup.Message) {
			if m.Type == isup.REL {
				end.send(isup.NewSimple(isup.RLC, m.CIC))
			}
		}
	}
	n.endpoints[exchange+"/"+peer.Name] = end
	end.assoc.Connected(n.now)
	n.processEndpoint(exchange, peer.Name)
}

// offerCall offers a call to an exchange, on a circuit of its counters. The width is 1 or 2: in testConfig, these have the
// categories 10 and 11. A call of width 2 takes the circuits cic and cic+1.
func (n *testNetwork) offerCall(exchange string, cic uint16, number string, width int) {
	setup := isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1}, Category: byte(9 + width), Width: width, HopCounter: -1}
	if width == 2 {
		setup.CircuitMap = 3 << (cic - 1)
	}
	m, err := isup.NewSetup(cic, setup)
	if err != nil {
		n.t.Fatal(err)
	}
	n.endpoints[exchange+"/counters"].send(m)
}

// receivedTypes lists the types of the messages that the counters of an exchange received on a circuit, except group
// resets.
func (n *testNetwork) receivedTypes(exchange string, cic uint16) (types []isup.Type) {
	for _, m := range n.endpoints[exchange+"/counters"].received {
		if m.CIC == cic && m.Type != isup.GRS {
			types = append(types, m.Type)
		}
	}
	return types
}

// releaseCause returns the cause of the last REL that the counters of an exchange received on a circuit; 0: none came.
func (n *testNetwork) releaseCause(exchange string, cic uint16) (cause isup.Cause) {
	for _, m := range n.endpoints[exchange+"/counters"].received {
		if m.CIC == cic && m.Type == isup.REL {
			cause = m.Release().Cause
		}
	}
	return cause
}

// checkIdle returns an error unless all circuits are free and no Router has a call in progress.
func (n *testNetwork) checkIdle() error {
	for _, name := range n.exchangeNames() {
		r := n.routers[name]
		for _, g := range r.Groups() {
			if g.Spare != g.Size {
				return fmt.Errorf("%s: group %s: %+v", name, g.Peer, g)
			}
		}
		if calls, _ := r.CallCounts(); calls != 0 {
			return fmt.Errorf("%s holds %d calls: %+v", name, calls, r.Calls(n.now, 10))
		}
	}
	return nil
}

// decisions lists the decisions of the Controller of an exchange and the final answers. It reports logged errors as
// test failures.
func (n *testNetwork) decisions(exchange string) (out []string) {
	for _, e := range n.effects[exchange] {
		switch e := e.(type) {
		case Decision:
			out = append(out, fmt.Sprintf("%v call %d %v %s %d", e.At, e.Call, e.Action, e.Office, e.Attempt))
		case Answer:
			out = append(out, fmt.Sprintf("%v call %d %v %d %v", e.At, e.Call, e.Result, e.Cause, e.Elapsed))
		case Log:
			if e.Level >= slog.LevelError {
				n.t.Errorf("%s: %s", exchange, e.Text)
			}
		}
	}
	return out
}
