package standin

import (
	"net"
	"slices"
	"sync"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/isup"
	"finchlatch/m3ua"
)

// side is one end of a wire.
type side struct {
	name      string
	processor *Processor // nil: what comes to this end is handled at once
	tapped    bool       // it is a call server
}

// Wire carries one association between two ends: it takes the connection of the dialling end, connects to the
// other, delays every message by the distance and by the processor it comes to, and taps what passes at both.
type Wire struct {
	near, far side // near dials
	target    func() string
	delay     time.Duration
	rec       *rulecheck.Recorder
	clock     func() time.Duration
	listener  net.Listener
	wg        sync.WaitGroup
	mu        sync.Mutex
	conns     []net.Conn
	closed    bool
}

// NewWire opens a wire on a loopback address.
func NewWire(near, far side, target func() string, delay time.Duration, rec *rulecheck.Recorder, clock func() time.Duration) (*Wire, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Wire{near: near, far: far, target: target, delay: delay, rec: rec, clock: clock, listener: l}
	w.wg.Add(1)
	go w.accept()
	return w, nil
}

// Addr is where the near end dials.
func (w *Wire) Addr() string { return w.listener.Addr().String() }

// Close ends the wire.
func (w *Wire) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.listener.Close()
	w.Break()
	w.wg.Wait()
}

// Break closes the connections on the wire as a network fault would.
func (w *Wire) Break() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
	w.conns = nil
}

func (w *Wire) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.conns = append(w.conns, c)
	return true
}

func (w *Wire) accept() {
	defer w.wg.Done()
	for {
		near, err := w.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", w.target(), time.Second)
		if err != nil {
			near.Close()
			continue
		}
		if !w.keep(near) || !w.keep(far) {
			near.Close()
			far.Close()
			continue
		}
		w.wg.Add(1)
		go w.carry(near, far)
	}
}

// carry works on one pair of connections.
func (w *Wire) carry(near, far net.Conn) {
	defer w.wg.Done()
	s := &session{wire: w, refused: map[uint16]*refusal{}, seized: [2]map[uint16][]uint16{{}, {}},
		last: [2]map[uint16][]uint16{{}, {}}}
	s.out = [2]*pipe{newPipe(far), newPipe(near)}
	var ends sync.WaitGroup
	for d, conn := range []net.Conn{near, far} {
		ends.Add(2)
		go func() {
			defer ends.Done()
			s.read(direction(d), conn)
			near.Close()
			far.Close()
			s.out[d].end()
		}()
		go func() {
			defer ends.Done()
			s.out[d].run()
			near.Close()
			far.Close()
		}()
	}
	ends.Wait()
	for _, e := range [][2]side{{w.near, w.far}, {w.far, w.near}} {
		if e[0].tapped {
			w.rec.Add(rulecheck.Record{At: w.clock(), Kind: rulecheck.Lost, Exchange: e[0].name, Peer: e[1].name})
		}
	}
}

// direction is 0 from the near end to the far one, and 1 back.
type direction int

// session is the state of a wire while its connections last.
type session struct {
	wire    *Wire
	out     [2]*pipe
	mu      sync.Mutex
	refused map[uint16]*refusal    // set-ups that a processor has refused, by circuit, until their RLC
	seized  [2]map[uint16][]uint16 // set-ups that the end of a direction has sent, until their RLC reaches it
	last    [2]map[uint16][]uint16 // circuits of the last set-up on a circuit, by direction
}

// refusal keeps the far side's messages on its circuits back while the end that was refused clears them.
type refusal struct {
	to   direction // direction of the refused IAM
	cics []uint16
	held [][]byte
}

func (s *session) ends(d direction) (from, to side) {
	if d == 0 {
		return s.wire.near, s.wire.far
	}
	return s.wire.far, s.wire.near
}

// read takes frames of one end, taps them and passes them on after the distance.
func (s *session) read(d direction, conn net.Conn) {
	from, to := s.ends(d)
	framer := m3ua.Framer{}
	late := newLine(s.wire.delay, s.wire.clock)
	defer late.close()
	buf := make([]byte, 16384)
	for {
		n, err := conn.Read(buf)
		framer.Write(append([]byte(nil), buf[:n]...))
		for {
			frame, bad := framer.Next()
			if bad != nil {
				return
			}
			if frame == nil {
				break
			}
			s.tap(from, to, true, frame)
			s.follow(d, d, frame)
			late.add(func() { s.arrive(d, frame) })
		}
		if err != nil {
			return
		}
	}
}

func (s *session) tap(at, with side, out bool, frame []byte) {
	if at.tapped {
		s.wire.rec.Add(rulecheck.Record{At: s.wire.clock(), Kind: rulecheck.Message, Exchange: at.name, Peer: with.name,
			Out: out, Data: frame})
	}
}

// deliver hands a frame to the end that it goes to.
func (s *session) deliver(d direction, frame []byte) {
	from, to := s.ends(d)
	s.out[d].write(frame, func() {
		s.tap(to, from, false, frame)
		s.follow(d, 1-d, frame)
	})
}

// arrive takes a frame at the end that it goes to: its processor handles it, or refuses it.
func (s *session) arrive(d direction, frame []byte) {
	_, to := s.ends(d)
	m, p, ok := rulecheck.ISUP(frame)
	if ok && s.clearing(d, m, p, frame) {
		return
	}
	if to.processor == nil {
		s.deliver(d, frame)
		return
	}
	from, _ := s.ends(d)
	l := Letter{From: queueKey{s, d}, Peer: from.tapped, Deliver: func() { s.deliver(d, frame) }}
	if ok { // management of the association costs little, but a silent processor does not answer it either
		l.CICs, l.Setup = s.callOn(m.CIC), m.Type == isup.IAM
		l.Answer = m.Type == isup.ANM || m.Type == isup.CON || m.Type == isup.REL
		l.Group = m.Type == isup.GRS || m.Type == isup.GRA || m.Type == isup.CGB || m.Type == isup.CGU
		l.Refuse = func() { s.refuse(d, m, p, frame) }
	}
	to.processor.Submit(l)
}

// queueKey is one direction of a connection.
type queueKey struct {
	s *session
	d direction
}

// circuitsOf are the circuits that an IAM names; of one that cannot be read, its own.
func circuitsOf(m *isup.Message) []uint16 {
	set, err := m.Setup()
	if err != nil {
		return []uint16{m.CIC}
	}
	return set.Circuits(m.CIC)
}

// follow keeps the set-ups of an end: its IAMs as it sends them, until it sends or gets the RLC. d is the
// direction of the frame, end that of what the end in question sends.
func (s *session) follow(d, end direction, frame []byte) {
	m, _, ok := rulecheck.ISUP(frame)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Type {
	case isup.IAM:
		if d == end {
			s.seized[end][m.CIC] = circuitsOf(m)
			s.last[end][m.CIC] = s.seized[end][m.CIC]
		}
	case isup.RLC:
		delete(s.seized[end], m.CIC)
	case isup.GRS, isup.RSC:
		clear(s.seized[end])
	}
}

// callOn gives the circuits of the calls that were last signalled on a circuit: a wide call's messages name only
// the first.
func (s *session) callOn(cic uint16) []uint16 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []uint16{cic}
	for _, l := range s.last {
		for _, c := range l[cic] {
			if c != cic {
				out = append(out, c)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// crossed tells whether the end that an IAM comes to has itself seized one of its circuits: then that call server
// must see it, since the dual seizure is its to judge.
func (s *session) crossed(d direction, m *isup.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cic := range circuitsOf(m) {
		for _, held := range s.seized[1-d] {
			if slices.Contains(held, cic) {
				return true
			}
		}
	}
	return false
}

// refuse answers an IAM in place of the call server that never sees it: REL with cause 42, and whatever that
// call server sends on the circuits meanwhile waits until the RLC has come.
func (s *session) refuse(d direction, m *isup.Message, p m3ua.ProtocolData, frame []byte) {
	if s.crossed(d, m) {
		s.deliver(d, frame)
		return
	}
	r := &refusal{to: d, cics: circuitsOf(m)}
	s.mu.Lock()
	s.refused[m.CIC] = r
	s.mu.Unlock()
	rel := isup.NewRelease(m.CIC, isup.ReleaseInfo{Cause: isup.CauseCongestion, Location: isup.LocationLocalNetwork, Congestion: 2})
	s.send(1-d, rel, p)
}

// send writes a message of the stand-in's own, as if from the end that p came to.
func (s *session) send(d direction, m *isup.Message, p m3ua.ProtocolData) {
	b, err := m.Append(nil)
	if err != nil {
		return
	}
	back := m3ua.ProtocolData{OPC: p.DPC, DPC: p.OPC, SI: m3ua.ServiceISUP, NI: p.NI, SLS: p.SLS, Data: b,
		HasContext: p.HasContext, RoutingContext: p.RoutingContext}
	s.deliver(d, back.Message().Append(nil))
}

// clearing handles messages on circuits whose IAM was refused; true: the frame goes no further for now.
func (s *session) clearing(d direction, m *isup.Message, p m3ua.ProtocolData, frame []byte) bool {
	s.mu.Lock()
	var r *refusal
	var at uint16
	for cic, x := range s.refused {
		if slices.Contains(x.cics, m.CIC) {
			r, at = x, cic
		}
	}
	switch {
	case r == nil:
		s.mu.Unlock()
		return false
	case d != r.to: // of the end that refused: it may have seized the circuit itself
		r.held = append(r.held, frame)
		s.mu.Unlock()
		return true
	case m.Type == isup.REL: // the refused end has given up by itself
		s.mu.Unlock()
		s.send(1-d, isup.Simple(isup.RLC, m.CIC), p)
		return true
	case m.Type != isup.RLC:
		s.mu.Unlock()
		return m.Type != isup.RSC && m.Type != isup.GRS
	}
	delete(s.refused, at)
	s.mu.Unlock()
	for _, f := range r.held {
		s.arrive(1-d, f)
	}
	return true
}

// pipe writes frames to a connection, bounded.
type pipe struct {
	conn  net.Conn
	mu    sync.Mutex
	wake  *sync.Cond
	queue []byte
	over  bool
}

// pipeMost is how many bytes may wait for an end that does not read.
const pipeMost = 4 << 20

func newPipe(conn net.Conn) *pipe {
	p := &pipe{conn: conn}
	p.wake = sync.NewCond(&p.mu)
	return p
}

// write queues a frame; taken is called first where the connection still takes it.
func (p *pipe) write(b []byte, taken func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) > pipeMost {
		p.over = true
	}
	if !p.over {
		taken()
		p.queue = append(p.queue, b...)
	}
	p.wake.Signal()
}

func (p *pipe) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	p.wake.Signal()
}

func (p *pipe) run() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for len(p.queue) == 0 && !p.over {
			p.wake.Wait()
		}
		if len(p.queue) == 0 {
			return
		}
		b := p.queue
		p.queue = nil
		p.mu.Unlock()
		_, err := p.conn.Write(b)
		p.mu.Lock()
		if err != nil {
			p.over, p.queue = true, nil
			return
		}
	}
}

// line runs functions in order, each a fixed time after it was added.
type line struct {
	delay time.Duration
	clock func() time.Duration
	mu    sync.Mutex
	wake  *sync.Cond
	queue []delayed
	over  bool
	done  chan struct{}
}

type delayed struct {
	at time.Duration
	f  func()
}

func newLine(delay time.Duration, clock func() time.Duration) *line {
	l := &line{delay: delay, clock: clock, done: make(chan struct{})}
	l.wake = sync.NewCond(&l.mu)
	go l.run()
	return l
}

func (l *line) add(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, delayed{l.clock() + l.delay, f})
	l.mu.Unlock()
	l.wake.Signal()
}

func (l *line) close() {
	l.mu.Lock()
	l.over = true
	l.mu.Unlock()
	l.wake.Signal()
	<-l.done
}

func (l *line) run() {
	defer close(l.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for len(l.queue) == 0 && !l.over {
			l.wake.Wait()
		}
		if l.over {
			return
		}
		if wait := l.queue[0].at - l.clock(); wait > 0 {
			l.mu.Unlock()
			time.Sleep(wait)
			l.mu.Lock()
			continue
		}
		f := l.queue[0].f
		l.queue = l.queue[1:]
		l.mu.Unlock()
		f()
		l.mu.Lock()
	}
}
