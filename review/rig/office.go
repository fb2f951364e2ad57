package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"finchlatch/office"
)

// officeDescription is the session description that offices answer with.
const officeDescription = "5d4c59104a8ee869\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"

// remoteOffice is a stand-in of an office. It answers each set-up after a delay, unless refuse gives a cause for it.
type remoteOffice struct {
	b        *bench
	member   member
	total    int           // circuits toward the call server
	delay    time.Duration // work on a set-up
	distance time.Duration // that a message takes in each direction
	occupied int           // circuits that calls of others hold
	refuse   func(call uint64) (cause byte, note string)
	listener net.Listener

	mu         sync.Mutex
	conns      []*officeLink
	standing   map[uint64]*officeLink // by call, the connection of its set-up
	released   map[uint64]time.Time   // when the call server released a call here
	setUps     map[uint64]int
	setUpTimes map[uint64][]time.Time
	successor  *remoteOffice // the office that has its address now; nil: itself
	unsent     []uint64      // ended calls whose release also goes on the next connection that is opened
}

// officeLink is one connection from the call server.
type officeLink struct {
	net.Conn
	office  *remoteOffice
	in, out chan delayed
	open    map[uint64]bool // set-ups without an answer; guarded by office.mu
	closed  bool            // guarded by office.mu
	lost    bool            // what is sent on it in either direction vanishes; guarded by office.mu
}

// delayed is a message on its way.
type delayed struct {
	due  time.Time
	msg  *office.Message // to the office
	data []byte          // to the call server
}

// newOffice starts an office on an address of its own.
func (b *bench) newOffice(id string, cell, total int) *remoteOffice {
	o := &remoteOffice{b: b, total: total, delay: 5 * time.Millisecond, standing: map[uint64]*officeLink{},
		released: map[uint64]time.Time{}, setUps: map[uint64]int{}, setUpTimes: map[uint64][]time.Time{}, listener: b.listen()}
	o.member = member{ID: id, Addr: o.listener.Addr().String(), Locality: "east", Flavor: "std", Cell: cell, Phase: "SERVING", Size: 4}
	go o.accept()
	return o
}

// accept serves connections until the listener is closed.
func (o *remoteOffice) accept() {
	listener := o.listener
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		o.mu.Lock()
		serving := o.latest()
		o.mu.Unlock()
		go serving.serve(conn)
	}
}

// latest returns the office that serves at the address now; o.mu is held.
func (o *remoteOffice) latest() *remoteOffice {
	if o.successor != nil {
		return o.successor
	}
	return o
}

// serve handles one connection until it ends. Then the set-ups that are open on it are given up.
func (o *remoteOffice) serve(conn net.Conn) {
	link := &officeLink{Conn: conn, office: o, open: map[uint64]bool{}, in: make(chan delayed, 1024), out: make(chan delayed, 1024)}
	go link.carry(link.in)
	go link.carry(link.out)
	o.mu.Lock()
	o.conns = append(o.conns, link)
	unsent := o.unsent
	o.unsent = nil
	o.mu.Unlock()
	time.Sleep(3 * o.distance) // the messages that open a connection
	o.b.note(o.member.ID, "connection from %s", conn.RemoteAddr())
	link.send(o.state())
	for _, call := range unsent {
		link.send(&office.Message{Type: office.Release, Call: call, Cause: office.CauseNormal, HasCause: true})
	}
	var framer office.Framer
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		framer.Write(buf[:n])
		for msg, bad := framer.Next(); msg != nil || bad != nil; msg, bad = framer.Next() {
			if bad != nil {
				o.b.note(o.member.ID, "unreadable: %v", bad)
				err = bad
				break
			}
			link.in <- delayed{due: time.Now().Add(o.distance), msg: msg}
		}
		if err != nil {
			break
		}
	}
	time.Sleep(o.distance) // the end of the connection takes as long as a message, and so does the answer to it below
	time.AfterFunc(o.distance, func() { conn.Close() })
	o.mu.Lock()
	link.closed = true
	for call := range link.open {
		o.b.note(o.member.ID, "set-up %016x is given up with its connection", call)
	}
	clear(link.open)
	o.conns = slices.DeleteFunc(o.conns, func(other *officeLink) bool { return other == link })
	o.mu.Unlock()
}

// state returns the report of the trunk group.
func (o *remoteOffice) state() *office.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &office.Message{Type: office.GroupState, Load: fmt.Sprintf("spare:%d;total:%d", max(0, o.total-o.occupied-len(o.standing)), o.total)}
}

// report sends the state of the group on all connections.
func (o *remoteOffice) report() {
	state := o.state()
	o.mu.Lock()
	conns := slices.Clone(o.conns)
	o.mu.Unlock()
	for _, link := range conns {
		link.send(state)
	}
}

func (l *officeLink) send(msg *office.Message) {
	data, err := office.Append(nil, msg)
	if err != nil {
		return
	}
	if msg.Type != office.GroupState && msg.Type != office.HealthReport {
		l.office.b.note(l.office.member.ID, "sends type %d call %016x cause %d %s", msg.Type, msg.Call, msg.Cause, msg.Note)
	}
	l.out <- delayed{due: time.Now().Add(l.office.distance), data: data}
}

// carry delivers the messages of one direction in their order, each when it is due.
func (l *officeLink) carry(messages chan delayed) {
	for message := range messages {
		time.Sleep(time.Until(message.due))
		l.office.mu.Lock()
		lost := l.lost
		l.office.mu.Unlock()
		switch {
		case lost && message.msg != nil:
			l.office.b.note(l.office.member.ID, "does not get type %d call %016x: the connection is forgotten", message.msg.Type, message.msg.Call)
		case lost:
		case message.msg != nil:
			l.handle(message.msg)
		default:
			_, _ = l.Write(message.data)
		}
	}
}

// handle handles one message of the call server.
func (l *officeLink) handle(msg *office.Message) {
	o := l.office
	if msg.Type != office.HealthCheck {
		o.b.note(o.member.ID, "gets type %d call %016x cause %d", msg.Type, msg.Call, msg.Cause)
	}
	switch msg.Type {
	case office.HealthCheck:
		l.send(&office.Message{Type: office.HealthReport, Call: msg.Call, Cause: 1, HasCause: true, Load: o.state().Load})
	case office.Release:
		o.mu.Lock()
		delete(l.open, msg.Call)
		delete(o.standing, msg.Call)
		o.released[msg.Call] = time.Now()
		o.mu.Unlock()
		l.send(&office.Message{Type: office.ReleaseComplete, Call: msg.Call})
		o.report()
	case office.SetUp:
		o.mu.Lock()
		l.open[msg.Call] = true
		o.setUps[msg.Call]++
		o.setUpTimes[msg.Call] = append(o.setUpTimes[msg.Call], time.Now())
		o.mu.Unlock()
		time.AfterFunc(o.delay, func() { l.decide(msg.Call) })
	}
}

// decide answers or refuses a set-up that has not been given up.
func (l *officeLink) decide(call uint64) {
	o := l.office
	if o.refuse != nil {
		if cause, note := o.refuse(call); cause != 0 {
			o.mu.Lock()
			open := l.open[call]
			delete(l.open, call)
			o.mu.Unlock()
			if open {
				l.send(&office.Message{Type: office.Release, Call: call, Cause: cause, HasCause: true, Note: note})
			}
			return
		}
	}
	o.mu.Lock()
	open := l.open[call]
	delete(l.open, call)
	full := len(o.standing)+o.occupied >= o.total
	if open && !full {
		o.standing[call] = l
	}
	o.mu.Unlock()
	switch {
	case !open:
	case full:
		l.send(&office.Message{Type: office.Release, Call: call, Cause: office.CauseNoCircuit, HasCause: true, Note: "blocked"})
	default:
		l.send(&office.Message{Type: office.Answer, Call: call, Description: []byte(officeDescription)})
		o.report()
	}
}

// endCall ends a call that stands: the release goes on the connection of its set-up, otherwise on any open one, and also on
// the next connection that is opened.
func (o *remoteOffice) endCall(call uint64) {
	o.mu.Lock()
	link := o.standing[call]
	if link == nil {
		o.mu.Unlock()
		return
	}
	delete(o.standing, call)
	if link.closed {
		link = nil
	}
	if link == nil && len(o.conns) > 0 {
		link = o.conns[len(o.conns)-1]
	}
	o.unsent = append(o.unsent, call)
	o.mu.Unlock()
	if link != nil {
		link.send(&office.Message{Type: office.Release, Call: call, Cause: office.CauseNormal, HasCause: true})
	}
	o.report()
}

// stands reports whether a call stands here.
func (o *remoteOffice) stands(call uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.standing[call] != nil
}

// waitSetUp waits until a set-up of a call has come, and reports whether one has.
func (o *remoteOffice) waitSetUp(call uint64, within time.Duration) bool {
	return waitFor(within, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.setUps[call] > 0
	})
}

// waitFor waits until a condition holds, and reports whether it did in time.
func waitFor(within time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// replaceOffice ends the process of an office: its connections are reset and its calls are cut. A new office listens at its
// address at once.
func (b *bench) replaceOffice(old *remoteOffice, id string) *remoteOffice {
	b.note(old.member.ID, "its process ends")
	next := &remoteOffice{b: b, total: old.total, delay: old.delay, standing: map[uint64]*officeLink{},
		released: map[uint64]time.Time{}, setUps: map[uint64]int{}, setUpTimes: map[uint64][]time.Time{}, member: old.member}
	next.member.ID, next.member.UpSince = id, time.Now().UnixMilli()
	old.mu.Lock()
	old.successor = next
	conns := slices.Clone(old.conns)
	clear(old.standing)
	old.mu.Unlock()
	b.note(id, "listens at %s", next.member.Addr)
	for _, link := range conns {
		_ = link.Conn.(*net.TCPConn).SetLinger(0)
		link.Conn.Close()
	}
	return next
}
