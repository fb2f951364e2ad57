package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/standin"
	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/numbering"
	"finchlatch/router"
	"finchlatch/trunk"
)

// Settings of a fleet.
type Settings struct {
	Exchanges int
	Regions   int
	Rate      float64 // first tries a second, of all callers together
	Group     int     // circuits between two exchanges; 0: for the plan
	Seed      uint64
	Classes   []standin.ClassMix
	Habits    standin.Habits
	Baseline  func(s logic.Settings, seed int64) (router.Policy, error) // in place of the module, to compare with
	Free      bool                                                      // processors cost nothing
	Records   func(r rulecheck.Record)                                  // taps; nil: none
}

// Fleet is a fleet in simulated time.
type Fleet struct {
	engine
	set     Settings
	Figures rulecheck.Figures
	nodes   []*node
	group   int
	rng     *rand.Rand
	list    map[string]logic.Office // Started on the fleet's clock; 0: long ago
	late    time.Duration
	hot     string
	hotPart float64
	hotAt   int
	results []standin.Outcome
	broken  map[[2]int]uint64 // generation of the wire between two exchanges
}

// node is one exchange.
type node struct {
	f         *Fleet
	index     int
	name      string
	region    int
	proc      *processor
	r         *router.Router
	access    uint64        // generation of the counters' connection
	birth     uint64        // generation of the Router: what is for an older one is lost
	wake      time.Duration // event planned for its next timer
	callers   *callers
	lines     *lines
	rateTimes float64
	wide      map[place][]uint16 // circuits of the last wide call that was signalled on a circuit, by wire
}

func name(i int) string { return fmt.Sprintf("ex%03d", i+1) }

// New makes a fleet and brings its associations up; callers are silent until Play.
func New(set Settings) (*Fleet, error) {
	f := &Fleet{set: set, rng: rand.New(rand.NewPCG(set.Seed, 1)), list: map[string]logic.Office{}, broken: map[[2]int]uint64{}}
	f.now = time.Hour
	f.set.Regions = max(1, set.Regions)
	f.size()
	for i := range set.Exchanges {
		f.list[name(i)] = logic.Office{ID: name(i), Exchange: i + 1}
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	for _, n := range f.nodes {
		n.connectAll()
	}
	f.until(f.now + 2*time.Second)
	return f, nil
}

// size finds circuits and figures for the plan, as the fleets on sockets do.
func (f *Fleet) size() {
	erlangs := 0.0
	f.Figures = rulecheck.Figures{Patience: map[byte]time.Duration{}, PointCodes: map[string]uint32{}, Grace: time.Second,
		Release: 200 * time.Millisecond, TipAfter: 3 * time.Second, Overload: 2, ColdFrom: 0.3, ColdFor: 12 * time.Second,
		Slack: 20 * time.Millisecond}
	for _, c := range f.set.Classes {
		erlangs += c.Share * float64(c.Width) * c.Hold.Seconds()
		f.Figures.Patience[c.Category] = c.Patience
	}
	n := float64(f.set.Exchanges)
	if f.group = f.set.Group; f.group == 0 {
		load := f.set.Rate / n * erlangs * 2 / (n - 1)
		f.group = int(math.Ceil(load + 0.6*math.Sqrt(load)))
	}
	for i := range f.set.Exchanges {
		f.Figures.PointCodes[name(i)] = uint32(101 + i)
	}
}

func (f *Fleet) capacity() float64 {
	hold, width := 0.0, 0.0
	for _, c := range f.set.Classes {
		hold, width = hold+c.Share*c.Hold.Seconds(), width+c.Share*float64(c.Width)
	}
	return 4.0 / 3 * float64(f.group*(f.set.Exchanges-1)) / (hold * width)
}

func (f *Fleet) newNode(i int) *node {
	unit := time.Duration(float64(time.Second) / (f.capacity() * 1.7))
	work := standin.Work{Setup: unit, Answer: unit * 3 / 10, Other: unit / 20}
	if f.set.Free {
		work = standin.Work{}
	}
	n := &node{f: f, index: i, name: name(i), region: i * f.set.Regions / f.set.Exchanges, rateTimes: 1, wide: map[place][]uint16{},
		proc: newProcessor(&f.engine, work, f.capacity(), f.Figures)}
	n.callers, n.lines = newCallers(n), newLines(n)
	return n
}

// circuits are n circuit identification codes.
func circuits(n int) (out []uint16) {
	for c := uint16(1); len(out) < n && c < 4096; c++ {
		if c%32 != 0 {
			out = append(out, c)
		}
	}
	return out
}

// accessCircuits are enough for the callers and the lines of one exchange.
func (f *Fleet) accessCircuits() int {
	return min(3900, 200+int(20*f.set.Rate/float64(f.set.Exchanges)))
}

// t1 is T1 of Q.764, 15 to 60 s. It must be longer than any message waits at a processor: the swarm found that with 1 s a
// repeated REL reached the next call on its circuit, which no end can tell from its own.
const t1 = 15 * time.Second

// Quiet is how long a fleet needs until releases that were lost have been repeated and answered.
const Quiet = 12 * t1

// config is that of one call server: peers are the other exchanges, then the counters, then the lines.
func (n *node) config() router.Config {
	f := n.f
	c := router.Config{Name: n.name, Attempts: 5, Tick: time.Millisecond, Release: f.Figures.Release, DrainGrace: f.Figures.Grace,
		TipAfter: f.Figures.TipAfter, Overload: f.Figures.Overload, ColdFrom: f.Figures.ColdFrom, ColdFor: f.Figures.ColdFor,
		Network: 2, Recovery: 2 * time.Second, LogLevel: 12, Baseline: f.set.Baseline,
		Timers: trunk.Timers{T1: t1, T5: 4 * t1, T12: t1, T13: 4 * t1}}
	for _, k := range f.set.Classes {
		c.Classes = append(c.Classes, router.Class{Category: k.Category, Patience: k.Patience, Class: logic.Class{Name: k.Name,
			Worth: k.Worth, LateShare: k.LateShare, Aim: k.Aim, Deadline: k.Deadline, Hold: k.Hold, Width: k.Width, Safe: true}})
	}
	between, access := circuits(f.group), circuits(f.accessCircuits())
	for i := range f.set.Exchanges {
		code := uint32(101 + i)
		c.Exchanges = append(c.Exchanges, router.Exchange{Number: i + 1, Name: name(i), PointCode: code})
		c.Numbering = append(c.Numbering, numbering.Entry{Prefix: fmt.Sprintf("5%04d", i+1), Exchange: i + 1, Class: -1})
		if i != n.index {
			role := m3ua.RoleIPSPServer
			if n.index < i {
				role = m3ua.RoleIPSPClient
			}
			c.Peers = append(c.Peers, router.Peer{Name: name(i), PointCode: code, Circuits: between, ASPs: []m3ua.Settings{{Role: role, Beat: -1}}})
		}
	}
	sgp := []m3ua.Settings{{Role: m3ua.RoleSGP, Beat: -1}}
	c.Peers = append(c.Peers, router.Peer{Name: "counters", Kind: router.PeerClient, PointCode: uint32(5000 + n.index), Circuits: access, ASPs: sgp},
		router.Peer{Name: "lines", Kind: router.PeerSubscribers, PointCode: uint32(10000 + n.index), Circuits: access, ASPs: sgp})
	return c
}

// start makes the Router of a node, with the list as it is known.
func (n *node) start() error {
	r, err := router.New(n.config(), int64(n.f.set.Seed*1000)+int64(n.index))
	if err != nil {
		return err
	}
	n.r, n.wake = r, 0
	n.birth++
	var list []logic.Office
	for i := range n.f.set.Exchanges {
		o := n.f.list[name(i)]
		list = append(list, o)
		n.tapTold(o)
	}
	r.Start(n.f.now, list)
	return nil
}

// link numbers: the other exchanges in order, then counters, then lines.
func (n *node) linkOf(peer int) router.LinkID {
	if peer > n.index {
		peer--
	}
	return router.LinkID(peer)
}

func (n *node) peerOf(l router.LinkID) int {
	if int(l) >= n.index {
		return int(l) + 1
	}
	return int(l)
}

func (n *node) countersLink() router.LinkID { return router.LinkID(n.f.set.Exchanges - 1) }
func (n *node) linesLink() router.LinkID    { return router.LinkID(n.f.set.Exchanges) }

// connectAll brings up the links of a node: those to exchanges that run, its counters and its lines.
func (n *node) connectAll() {
	for i, m := range n.f.nodes {
		if i != n.index && m.r != nil {
			n.r.Connected(n.f.now, n.linkOf(i))
		}
	}
	n.r.Connected(n.f.now, n.countersLink())
	n.r.Connected(n.f.now, n.linesLink())
	n.callers.connect()
	n.lines.connect()
	n.carry()
}

// carry takes the effects of a Router: bytes go on their way, its next timer is planned.
func (n *node) carry() {
	if n.r == nil {
		return
	}
	for _, e := range n.r.Effects() {
		if w, ok := e.(router.Write); ok {
			n.write(w)
		}
	}
	if at, ok := n.r.Next(); ok && (n.wake == 0 || at < n.wake || n.wake <= n.f.now) {
		n.wake = at
		birth := n.birth
		n.f.after(at-n.f.now, func() {
			if n.birth == birth && n.r != nil && n.wake == at {
				n.wake = 0
				n.r.Advance(n.f.now)
				n.carry()
			}
		})
	}
}

// write sends what a Router writes to where it goes.
func (n *node) write(w router.Write) {
	f := n.f
	switch w.Link {
	case n.countersLink():
		n.tap("counters", true, w.Bytes)
		access := n.access
		n.toEnd(w.Bytes, func(b []byte) {
			if n.access == access {
				n.callers.end.receive(b)
			}
		})
	case n.linesLink():
		n.tap("lines", true, w.Bytes)
		n.toEnd(w.Bytes, n.lines.end.receive)
	default:
		m := f.nodes[n.peerOf(w.Link)]
		n.tap(m.name, true, w.Bytes)
		delay := 2 * time.Millisecond
		if n.region != m.region {
			delay = 10 * time.Millisecond
		}
		generation, birth := f.wire(n, m), m.birth
		f.after(delay, func() {
			if f.wire(n, m) == generation && m.birth == birth {
				m.arrive(m.linkOf(n.index), n.name, n.index, w.Bytes, true)
			}
		})
	}
}

func (n *node) toEnd(b []byte, receive func([]byte)) {
	n.f.after(time.Millisecond, func() { receive(b) })
}

// fromEnd carries what counters or lines send to their call server.
func (n *node) fromEnd(link router.LinkID, who string, b []byte) {
	birth, access := n.birth, n.access
	n.f.after(time.Millisecond, func() {
		if n.birth == birth && n.r != nil && (n.access == access || link != n.countersLink()) {
			n.arrive(link, who, n.f.set.Exchanges+int(link), b, false)
		}
	})
}

func (f *Fleet) wire(a, b *node) uint64 {
	return f.broken[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// arrive hands each message to the processor; what it lets through reaches the Router.
func (n *node) arrive(link router.LinkID, who string, from int, b []byte, peer bool) {
	framer := m3ua.Framer{Max: 1 << 20}
	framer.Write(b)
	for raw, _ := framer.Next(); raw != nil; raw, _ = framer.Next() {
		l := letter{from: from, peer: peer}
		if m, _, ok := rulecheck.ISUP(raw); ok {
			l.cics, l.setup = n.circuitsOf(from, m), m.Type == isup.IAM
			if l.setup && peer {
				n.f.nodes[from].wideCall(n.index, m.CIC, l.cics)
			}
			l.answer = m.Type == isup.ANM || m.Type == isup.CON || m.Type == isup.REL
			l.group = m.Type == isup.GRS || m.Type == isup.GRA || m.Type == isup.CGB || m.Type == isup.CGU
		}
		birth, access, generation := n.birth, n.access, uint64(0)
		if peer {
			generation = n.f.wire(n, n.f.nodes[from])
		}
		l.deliver = func() {
			if peer && n.f.wire(n, n.f.nodes[from]) != generation {
				return // its connection was lost while it waited
			}
			if n.birth == birth && n.r != nil && (n.access == access || link != n.countersLink()) {
				n.tap(who, false, raw)
				n.r.Receive(n.f.now, link, raw)
				n.carry()
			}
		}
		n.proc.submit(l)
	}
}

// circuitsOf are the circuits that a message is about. A wide call's later messages name only the first one.
func (n *node) circuitsOf(from int, m *isup.Message) []uint16 {
	if m.Type != isup.IAM {
		if w := n.wide[place{from, m.CIC}]; w != nil {
			return w
		}
		return []uint16{m.CIC}
	}
	out := []uint16{m.CIC}
	if set, err := m.Setup(); err == nil {
		out = set.Circuits(m.CIC)
	}
	n.wideCall(from, m.CIC, out)
	return out
}

// wideCall keeps the circuits of a wide call on a wire.
func (n *node) wideCall(from int, cic uint16, circuits []uint16) {
	if len(circuits) > 1 {
		n.wide[place{from, cic}] = circuits
	} else {
		delete(n.wide, place{from, cic})
	}
}

func (n *node) tap(peer string, out bool, b []byte) {
	if n.f.set.Records == nil {
		return
	}
	framer := m3ua.Framer{Max: 1 << 20}
	framer.Write(b)
	for raw, _ := framer.Next(); raw != nil; raw, _ = framer.Next() {
		n.f.set.Records(rulecheck.Record{At: n.f.now, Kind: rulecheck.Message, Exchange: n.name, Peer: peer, Out: out, Data: raw})
	}
}

func (n *node) tapTold(o logic.Office) {
	if n.f.set.Records != nil {
		n.f.set.Records(rulecheck.Record{At: n.f.now, Kind: rulecheck.Told, Exchange: n.name, Peer: o.ID,
			State: rulecheck.State(o.State), Cold: o.Started > 0})
	}
}

func (n *node) tapKind(k rulecheck.Kind, peer string) {
	if n.f.set.Records != nil {
		n.f.set.Records(rulecheck.Record{At: n.f.now, Kind: k, Exchange: n.name, Peer: peer, Capacity: n.proc.capacity})
	}
}

// change tells all call servers what became of an exchange, each late by a time of its own.
func (f *Fleet) change(about *node, state logic.OfficeState, started, silent bool) {
	o := f.list[about.name]
	if o.State = state; started {
		o.Started = f.now
	}
	f.list[about.name] = o
	for _, n := range f.nodes {
		wait := f.late + 300*time.Millisecond + time.Duration(f.rng.Float64()*float64(700*time.Millisecond))
		if silent {
			wait += 2 * time.Second
		}
		f.after(wait, func() {
			if n.r != nil {
				o := f.list[about.name]
				n.tapTold(o)
				n.r.List(f.now, logic.ListUpdate, []logic.Office{o})
				n.carry()
			}
		})
	}
}

// kill ends a Router as a crash would; its neighbours lose their associations.
func (n *node) kill() {
	n.tapKind(rulecheck.Killed, "")
	n.r = nil
	n.birth++
	n.callers.end.lost()
	n.lines.end.lost()
	for _, m := range n.f.nodes {
		if m != n && m.r != nil {
			n.f.broken[[2]int{min(m.index, n.index), max(m.index, n.index)}]++
			m.tapKind(rulecheck.Lost, n.name)
			m.r.Disconnected(n.f.now, m.linkOf(n.index), -1)
			m.carry()
		}
	}
}

// back starts a Router again.
func (n *node) back() {
	if err := n.start(); err != nil {
		panic(err) // the same settings were good before
	}
	n.connectAll()
	for _, m := range n.f.nodes {
		if m != n && m.r != nil {
			m.r.Connected(n.f.now, m.linkOf(n.index))
			m.carry()
		}
	}
}

// breakWire breaks the association between two exchanges for a moment.
func (f *Fleet) breakWire(a, b *node) {
	if a.r == nil || b.r == nil {
		return
	}
	f.broken[[2]int{min(a.index, b.index), max(a.index, b.index)}]++
	for _, x := range [][2]*node{{a, b}, {b, a}} {
		x[0].tapKind(rulecheck.Lost, x[1].name)
		x[0].r.Disconnected(f.now, x[0].linkOf(x[1].index), -1)
		x[0].carry()
	}
	births := [2]uint64{a.birth, b.birth}
	f.after(50*time.Millisecond, func() {
		for i, x := range [][2]*node{{a, b}, {b, a}} {
			if x[0].birth == births[i] && x[1].birth == births[1-i] && x[0].r != nil {
				x[0].r.Connected(f.now, x[0].linkOf(x[1].index))
				x[0].carry()
			}
		}
	})
}

// Results are the callers that are done.
func (f *Fleet) Results() []standin.Outcome { return slices.Clone(f.results) }

// Events is the number of events played.
func (f *Fleet) Events() uint64 { return f.played }

// Now is the simulated time; a fleet begins at one hour.
func (f *Fleet) Now() time.Duration { return f.now }
