package standin

import (
	"net"
	"sync"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/m3ua"
)

// linkEnd is one end of a link.
type linkEnd struct {
	name      string
	processor *Processor // nil: messages to this end are delivered without queueing
	tapped    bool       // a call server, whose messages are recorded
}

// Link is a proxy that carries the association of two ends. It accepts the connection of the client end and connects to
// the server end, delays every message by the signalling delay and by the receiver's processor, and records the messages
// at call servers.
type Link struct {
	client, server linkEnd
	serverAddress  func() string
	delay          time.Duration // one way
	recorder       *rulecheck.Recorder
	clock          func() time.Duration
	listener       net.Listener
	wg             sync.WaitGroup
	mu             sync.Mutex
	conns          []net.Conn
	closed         bool
}

// NewLink opens a link that listens on a loopback address.
func NewLink(client, server linkEnd, serverAddress func() string, delay time.Duration, recorder *rulecheck.Recorder,
	clock func() time.Duration) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{client: client, server: server, serverAddress: serverAddress, delay: delay, recorder: recorder, clock: clock,
		listener: listener}
	link.wg.Add(1)
	go link.accept()
	return link, nil
}

// Addr returns the address that the client end connects to.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Close closes the link and waits for its goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.Break()
	l.wg.Wait()
}

// Break closes the connections of the link as a network fault would.
func (l *Link) Break() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
	l.conns = nil
}

// addConn stores a connection for Break; false: the link is closed.
func (l *Link) addConn(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns = append(l.conns, conn)
	return true
}

// accept connects each client connection to the server end.
func (l *Link) accept() {
	defer l.wg.Done()
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.DialTimeout("tcp", l.serverAddress(), time.Second)
		if err != nil {
			client.Close()
			continue
		}
		if !l.addConn(client) || !l.addConn(server) {
			client.Close()
			server.Close()
			continue
		}
		l.wg.Add(1)
		go l.relay(client, server)
	}
}

// relay carries messages between a pair of connections until one of them ends.
func (l *Link) relay(client, server net.Conn) {
	defer l.wg.Done()
	s := &session{link: l, relation: simenv.NewRelation()}
	s.writers = [2]*frameWriter{newFrameWriter(server), newFrameWriter(client)}
	var transfers sync.WaitGroup
	for direction, conn := range []net.Conn{client, server} {
		transfers.Add(2)
		go func() {
			defer transfers.Done()
			s.read(simenv.Direction(direction), conn)
			client.Close()
			server.Close()
			s.writers[direction].close()
		}()
		go func() {
			defer transfers.Done()
			s.writers[direction].run()
			client.Close()
			server.Close()
		}()
	}
	transfers.Wait()
	for _, ends := range [][2]linkEnd{{l.client, l.server}, {l.server, l.client}} {
		if ends[0].tapped {
			l.recorder.Add(rulecheck.Record{At: l.clock(), Kind: rulecheck.ConnectionLost, Exchange: ends[0].name, Peer: ends[1].name})
		}
	}
}

// session is the state of a link during one pair of connections.
type session struct {
	link     *Link
	writers  [2]*frameWriter // by direction
	mu       sync.Mutex
	relation *simenv.Relation
}

// ends returns the sending and the receiving end of a direction.
func (s *session) ends(direction simenv.Direction) (from, to linkEnd) {
	if direction == 0 {
		return s.link.client, s.link.server
	}
	return s.link.server, s.link.client
}

// read reads frames from one end, records them and passes them on after the signalling delay.
func (s *session) read(direction simenv.Direction, conn net.Conn) {
	from, to := s.ends(direction)
	framer := m3ua.Framer{}
	delayed := newDelayLine(s.link.delay, s.link.clock)
	defer delayed.close()
	buf := make([]byte, 16384)
	for {
		n, err := conn.Read(buf)
		framer.Write(append([]byte(nil), buf[:n]...))
		for {
			raw, framingErr := framer.Next()
			if framingErr != nil {
				return
			}
			if raw == nil {
				break
			}
			frame := simenv.ReadFrame(raw)
			s.tap(from, to, true, raw)
			s.withRelation(func(relation *simenv.Relation) { relation.RecordSent(direction, frame) })
			delayed.add(func() { s.arrive(direction, frame) })
		}
		if err != nil {
			return
		}
	}
}

// withRelation calls a function with the state of the signalling relation while no other goroutine uses it.
func (s *session) withRelation(use func(relation *simenv.Relation)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use(s.relation)
}

// tap records a message at an end that is a call server.
func (s *session) tap(at, peer linkEnd, out bool, frame []byte) {
	if at.tapped {
		s.link.recorder.Add(rulecheck.Record{At: s.link.clock(), Kind: rulecheck.Message, Exchange: at.name, Peer: peer.name,
			Out: out, Data: frame})
	}
}

// deliver writes a frame to the connection of the receiving end.
func (s *session) deliver(direction simenv.Direction, frame simenv.Frame) {
	from, to := s.ends(direction)
	s.writers[direction].write(frame.Raw, func() {
		s.tap(to, from, false, frame.Raw)
		s.withRelation(func(relation *simenv.Relation) { relation.RecordDelivered(direction, frame) })
	})
}

// arrive handles a frame that has reached the receiving end: it is queued at the processor, which serves or refuses it.
func (s *session) arrive(direction simenv.Direction, frame simenv.Frame) {
	var intercepted bool
	var reply []byte
	var resumed []simenv.Frame
	s.withRelation(func(relation *simenv.Relation) {
		intercepted, reply, resumed = relation.InterceptRefused(direction, frame)
	})
	if reply != nil {
		s.deliver(1-direction, simenv.ReadFrame(reply))
	}
	for _, waiting := range resumed {
		s.arrive(1-direction, waiting)
	}
	from, to := s.ends(direction)
	switch {
	case intercepted:
	case to.processor == nil:
		s.deliver(direction, frame)
	default: // M3UA management messages queue too: an unresponsive processor must not answer them
		message := simenv.QueuedMessage[queueKey]{From: queueKey{s, direction}, FromCallServer: from.tapped}
		s.withRelation(func(relation *simenv.Relation) { frame = simenv.Classify(relation, direction, frame, &message) })
		message.Deliver, message.Refuse = func() { s.deliverServed(direction, frame) }, func() { s.refuseSetUp(direction, frame) }
		to.processor.Submit(message)
	}
}

// deliverServed delivers a frame that the processor has served, unless it belongs to a refused set-up.
func (s *session) deliverServed(direction simenv.Direction, frame simenv.Frame) {
	intercepted, reply := frame.InterceptStale()
	if reply != nil {
		s.deliver(1-direction, simenv.ReadFrame(reply))
	}
	if !intercepted {
		s.deliver(direction, frame)
	}
}

// refuseSetUp refuses an IAM in place of the call server, which never receives it.
func (s *session) refuseSetUp(direction simenv.Direction, frame simenv.Frame) {
	var reply []byte
	var mustDeliver bool
	s.withRelation(func(relation *simenv.Relation) { reply, mustDeliver = relation.Refuse(direction, frame) })
	if mustDeliver {
		s.deliver(direction, frame)
	}
	if reply != nil {
		s.deliver(1-direction, simenv.ReadFrame(reply))
		s.repeatRelease(direction, frame)
	}
}

// releaseT1 is T1 of Q.764 for the REL of set-ups that processors refuse.
const releaseT1 = 15 * time.Second

// repeatRelease repeats the REL of a refusal every T1 until the refusal is cleared or the connection has ended.
func (s *session) repeatRelease(direction simenv.Direction, frame simenv.Frame) {
	time.AfterFunc(releaseT1, func() {
		var reply []byte
		s.withRelation(func(relation *simenv.Relation) { reply = relation.RepeatRelease(frame) })
		if reply != nil && !s.writers[1-direction].isClosed() {
			s.deliver(1-direction, simenv.ReadFrame(reply))
			s.repeatRelease(direction, frame)
		}
	})
}

// frameWriter writes frames to a connection from a bounded queue.
type frameWriter struct {
	conn   net.Conn
	mu     sync.Mutex
	wake   *sync.Cond
	queue  []byte
	closed bool
}

// maxQueuedBytes is the number of queued bytes after which an end that does not read is disconnected.
const maxQueuedBytes = 4 << 20

func newFrameWriter(conn net.Conn) *frameWriter {
	w := &frameWriter{conn: conn}
	w.wake = sync.NewCond(&w.mu)
	return w
}

// write queues a frame and calls accepted before that, unless the writer is closed.
func (w *frameWriter) write(frame []byte, accepted func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > maxQueuedBytes {
		w.closed = true
	}
	if !w.closed {
		accepted()
		w.queue = append(w.queue, frame...)
	}
	w.wake.Signal()
}

// close ends the writer once its queue is written.
func (w *frameWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.wake.Signal()
}

func (w *frameWriter) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// run writes queued frames until the writer is closed or a write fails.
func (w *frameWriter) run() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		for len(w.queue) == 0 && !w.closed {
			w.wake.Wait()
		}
		if len(w.queue) == 0 {
			return
		}
		pending := w.queue
		w.queue = nil
		w.mu.Unlock()
		_, err := w.conn.Write(pending)
		w.mu.Lock()
		if err != nil {
			w.closed, w.queue = true, nil
			return
		}
	}
}

// delayLine runs functions in order, each a fixed time after it was added.
type delayLine struct {
	delay  time.Duration
	clock  func() time.Duration
	mu     sync.Mutex
	wake   *sync.Cond
	queue  []delayedCall
	closed bool
	done   chan struct{}
}

// delayedCall is a function and the time to run it.
type delayedCall struct {
	at  time.Duration
	run func()
}

// newDelayLine starts a delay line.
func newDelayLine(delay time.Duration, clock func() time.Duration) *delayLine {
	d := &delayLine{delay: delay, clock: clock, done: make(chan struct{})}
	d.wake = sync.NewCond(&d.mu)
	go d.run()
	return d
}

// add schedules a function.
func (d *delayLine) add(run func()) {
	d.mu.Lock()
	d.queue = append(d.queue, delayedCall{d.clock() + d.delay, run})
	d.mu.Unlock()
	d.wake.Signal()
}

// close drops the functions that have not run and waits for the one that is running.
func (d *delayLine) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.wake.Signal()
	<-d.done
}

func (d *delayLine) run() {
	defer close(d.done)
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		for len(d.queue) == 0 && !d.closed {
			d.wake.Wait()
		}
		if d.closed {
			return
		}
		if wait := d.queue[0].at - d.clock(); wait > 0 {
			d.mu.Unlock()
			time.Sleep(wait)
			d.mu.Lock()
			continue
		}
		run := d.queue[0].run
		d.queue = d.queue[1:]
		d.mu.Unlock()
		run()
		d.mu.Lock()
	}
}
