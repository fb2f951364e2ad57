package model

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"finchlatch/internal/standin"
	"finchlatch/isup"
	"finchlatch/m3ua"
	"finchlatch/router"
)

// end is the far end of an access association.
type end struct {
	n     *node
	assoc *m3ua.Assoc
	own   uint32
	link  router.LinkID
	who   string
	take  func(m *isup.Message)
}

func (x *end) connect() {
	x.assoc.Connected(x.n.f.now)
	x.flush()
	x.tick()
}

// tick sends requests again that had no answer, T(ack) after T(ack), until the association takes traffic.
func (x *end) tick() {
	x.n.f.after(2*time.Second, func() {
		if s := x.assoc.State(); s != m3ua.Active && s != m3ua.Closed {
			x.assoc.Tick(x.n.f.now)
			x.flush()
			x.tick()
		}
	})
}

func (x *end) lost() { x.assoc.Lost(); x.assoc.Indications() }

func (x *end) receive(b []byte) {
	x.assoc.Receive(x.n.f.now, b)
	for _, i := range x.assoc.Indications() {
		if i.Kind == m3ua.IndData {
			if m, err := isup.Decode(i.Data.Data); err == nil {
				x.take(m)
			}
		}
	}
	x.flush()
}

func (x *end) send(m *isup.Message) error {
	b, err := m.Append(nil)
	if err != nil {
		return err
	}
	return x.assoc.Send(m3ua.ProtocolData{OPC: x.own, DPC: uint32(101 + x.n.index), SI: m3ua.ServiceISUP, NI: 2, Data: b})
}

func (x *end) flush() {
	if b := x.assoc.Output(); len(b) > 0 {
		x.n.fromEnd(x.link, x.who, b)
	}
}

// lines are the subscribers of an exchange.
type lines struct {
	*end
	rng  *rand.Rand
	late time.Duration
	thin map[string]int
	busy map[string]int
	call map[uint16]string
}

// ring is the mean time from the set-up to the answer of a line.
const ring = 40 * time.Millisecond

func newLines(n *node) *lines {
	l := &lines{rng: rand.New(rand.NewPCG(n.f.set.Seed, 2000+uint64(n.index))), thin: map[string]int{}, busy: map[string]int{}, call: map[uint16]string{}}
	l.end = &end{n: n, own: uint32(10000 + n.index), link: n.linesLink(), who: "lines",
		assoc: m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, Beat: -1}), take: l.on}
	return l
}

func (l *lines) on(m *isup.Message) {
	switch m.Type {
	case isup.IAM:
		l.answer(m)
	case isup.REL, isup.RSC:
		l.free(m.CIC)
		_ = l.send(isup.Simple(isup.RLC, m.CIC))
	case isup.GRS:
		r, _ := m.RangeStatus()
		for i := range r.Range + 1 {
			l.free(m.CIC + uint16(i))
		}
		_ = l.send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: r.Range}))
	}
}

func (l *lines) free(cic uint16) {
	if number, ok := l.call[cic]; ok {
		delete(l.call, cic)
		if l.busy[number]--; l.busy[number] <= 0 {
			delete(l.busy, number)
		}
	}
}

func (l *lines) answer(m *isup.Message) {
	n, err := m.CalledNumber()
	if err != nil {
		return
	}
	if most, few := l.thin[n.Digits]; few && l.busy[n.Digits] >= most {
		_ = l.send(isup.NewRelease(m.CIC, isup.ReleaseInfo{Cause: isup.CauseUserBusy}))
		return
	}
	l.free(m.CIC)
	l.busy[n.Digits]++
	l.call[m.CIC] = n.Digits
	_ = l.send(isup.Simple(isup.ACM, m.CIC))
	cic := m.CIC
	l.n.f.after(l.late+time.Duration((0.5+l.rng.Float64())*float64(ring)), func() {
		if l.call[cic] == n.Digits {
			_ = l.send(isup.Simple(isup.ANM, cic))
			l.flush()
		}
	})
}

// callers are the counters of an exchange: they offer calls, wait, hold, hang up and dial again.
type callers struct {
	*end
	rng     *rand.Rand
	free    []uint16
	tries   map[uint16]*try
	next    uint64
	hurry   float64
	running bool
}

type caller struct {
	standin.Outcome
	number string
	left   bool
}

type try struct {
	caller         *caller
	cics           []uint16
	stands, ending bool
}

func newCallers(n *node) *callers {
	c := &callers{rng: rand.New(rand.NewPCG(n.f.set.Seed, 1000+uint64(n.index))), free: circuits(n.f.accessCircuits()), tries: map[uint16]*try{}}
	c.end = &end{n: n, own: uint32(5000 + n.index), link: n.countersLink(), who: "counters",
		assoc: m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, Beat: -1}), take: c.on}
	return c
}

// run offers calls at random until it is told to stop.
func (c *callers) run() {
	f := c.n.f
	rate := f.set.Rate / float64(f.set.Exchanges) * c.n.rateTimes
	c.n.f.after(time.Duration(c.rng.ExpFloat64()/max(rate, 0.01)*float64(time.Second)), func() {
		if c.running {
			c.arrive()
			c.run()
		}
	})
}

func (c *callers) arrive() {
	f := c.n.f
	k := &caller{}
	x := c.rng.Float64()
	for i, m := range f.set.Classes {
		if k.Class = i; x < m.Share {
			break
		}
		x -= m.Share
	}
	to := c.rng.IntN(len(f.nodes) - 1)
	if to >= c.n.index {
		to++
	}
	k.number = fmt.Sprintf("5%04d%05d", to+1, c.rng.IntN(100000))
	if f.hotPart > 0 && f.hotAt != c.n.index && c.rng.Float64() < f.hotPart {
		k.number, k.Hot = f.hot, true
	}
	k.Began = f.now
	c.dial(k)
}

func (c *callers) dial(k *caller) {
	f := c.n.f
	class := f.set.Classes[k.Class]
	cics := c.seize(class.Width)
	if cics == nil {
		k.Refused++
		c.again(k, false)
		return
	}
	k.Tries++
	t := &try{caller: k, cics: cics}
	c.next++
	m, err := isup.NewSetup(cics[0], isup.Setup{Called: isup.Number{Digits: k.number, Nature: 3, Plan: 1}, Category: class.Category,
		Width: class.Width, Map: isup.CircuitMap(cics), Hops: -1})
	if err == nil {
		b := binary.BigEndian.AppendUint16([]byte{3, 0x11}, uint16(c.n.index))
		m.Set(isup.ParamCallingNumber, binary.BigEndian.AppendUint64(b, c.next)...)
		err = c.send(m)
	}
	if err != nil {
		c.free = append(c.free, cics...)
		k.Refused++
		c.again(k, false)
		return
	}
	c.flush()
	c.tries[cics[0]] = t
	wait := class.Patience + f.set.Habits.Overstay
	if c.hurry > 0 && c.hurry < 1 {
		wait = time.Duration(c.hurry * float64(class.Patience))
	}
	f.after(wait, func() {
		if c.tries[cics[0]] == t && !t.stands && !t.ending {
			k.Hung++
			c.hangUp(t)
			c.again(k, false)
		}
	})
}

func (c *callers) seize(width int) []uint16 {
	systems := map[uint16][]uint16{}
	for _, x := range c.free {
		s := append(systems[x/32], x)
		if systems[x/32] = s; len(s) == width {
			c.free = slices.DeleteFunc(c.free, func(y uint16) bool { return slices.Contains(s, y) })
			slices.Sort(s)
			return s
		}
	}
	return nil
}

func (c *callers) release(t *try) {
	delete(c.tries, t.cics[0])
	c.free = append(c.free, t.cics...)
}

func (c *callers) hangUp(t *try) {
	t.ending = true
	_ = c.send(isup.NewRelease(t.cics[0], isup.ReleaseInfo{Cause: isup.CauseNormalClearing}))
	c.flush()
	c.n.f.after(t1, func() {
		if c.tries[t.cics[0]] == t {
			c.hangUp(t)
		}
	})
}

func (c *callers) on(m *isup.Message) {
	t := c.tries[m.CIC]
	switch m.Type {
	case isup.ANM, isup.CON:
		if t != nil && !t.stands && !t.ending {
			c.stood(t)
		}
	case isup.REL:
		_ = c.send(isup.Simple(isup.RLC, m.CIC))
		if t != nil {
			c.released(t, m.Release().Cause)
		}
	case isup.RLC:
		if t != nil && t.ending {
			c.release(t)
		}
	case isup.GRS:
		r, _ := m.RangeStatus()
		_ = c.send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: r.Range}))
		for i := range r.Range + 1 {
			if t := c.tries[m.CIC+uint16(i)]; t != nil {
				c.released(t, isup.CauseTemporaryFailure)
			}
		}
	case isup.RSC:
		_ = c.send(isup.Simple(isup.RLC, m.CIC))
		if t != nil {
			c.released(t, isup.CauseTemporaryFailure)
		}
	}
}

func (c *callers) stood(t *try) {
	k := t.caller
	t.stands, k.Stood, k.Cut = true, true, false
	if k.SetUp == 0 {
		k.SetUp = c.n.f.now - k.Began
	}
	c.n.f.after(time.Duration(c.rng.ExpFloat64()*float64(c.n.f.set.Classes[k.Class].Hold)), func() {
		if c.tries[t.cics[0]] == t && !t.ending {
			c.hangUp(t)
			c.done(k)
		}
	})
}

func (c *callers) released(t *try, cause isup.Cause) {
	c.release(t)
	k := t.caller
	switch {
	case t.ending:
	case t.stands:
		k.Cut = true
		c.again(k, true)
	case cause == isup.CauseNoCircuit || cause == isup.CauseCongestion:
		k.Refused++
		c.again(k, false)
	default:
		k.Failed++
		c.again(k, false)
	}
}

// again lets a caller dial once more, or gives up.
func (c *callers) again(k *caller, cut bool) {
	h := c.n.f.set.Habits
	pause := h.Pause
	if k.Hot {
		pause = h.HotPause
	}
	wait := time.Duration((0.5 + c.rng.Float64()) * float64(pause))
	if cut {
		wait = time.Duration(c.rng.Float64() * float64(h.CutReturn))
	}
	if k.Tries > h.Redials || !cut && c.n.f.now-k.Began+wait > c.n.f.set.Classes[k.Class].Deadline {
		c.done(k)
		return
	}
	c.n.f.after(wait, func() { c.dial(k) })
}

func (c *callers) done(k *caller) {
	if !k.left {
		k.left = true
		c.n.f.results = append(c.n.f.results, k.Outcome)
	}
}
