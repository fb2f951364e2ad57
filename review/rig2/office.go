package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"finchlatch/office"
)

// circuits is the size of the trunk group toward each office.
const circuits = 30

// exchangeOffice is a stand-in of an office: one process at an address.
type exchangeOffice struct {
	id        string
	addr      string
	setUpTime time.Duration // from the arrival of a set-up to its answer
	hold      time.Duration // mean length of a call; 0: until the case ends it
	rig       *rig
	mu        sync.Mutex
	listener  net.Listener
	conns     []*officeConn
	standing  map[uint64]*officeConn // standing calls, with the connection of their set-up
	setUps    map[uint64]int         // set-ups that have come, by call
	answers   map[uint64]int         // set-ups that were answered: the call stood
	released  map[uint64]time.Time   // when the call server first released a standing call
	unsent    []uint64               // releases for the next connection that is opened
	farEnd    int                    // calls that the far end of the group has set up
}

// officeConn is a connection to an office.
type officeConn struct {
	net.Conn
	number int
	open   map[uint64]bool // set-ups without an answer
	writes sync.Mutex
}

// newOffice starts an office at an address.
func (r *rig) newOffice(id, addr string) (*exchangeOffice, error) {
	o := &exchangeOffice{id: id, addr: addr, setUpTime: 20 * time.Millisecond, rig: r,
		standing: map[uint64]*officeConn{}, setUps: map[uint64]int{}, answers: map[uint64]int{}, released: map[uint64]time.Time{}}
	return o, o.listen()
}

// listen opens the address of the office.
func (o *exchangeOffice) listen() error {
	listener, err := net.Listen("tcp", o.addr)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.listener = listener
	o.mu.Unlock()
	o.rig.logf("office %s listens at %s", o.id, o.addr)
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go o.serve(&officeConn{Conn: conn, number: number, open: map[uint64]bool{}})
		}
	}()
	return nil
}

// stopListening closes the address: new connections are refused.
func (o *exchangeOffice) stopListening() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listener.Close()
	o.rig.logf("office %s refuses new connections", o.id)
}

// resetConns resets all connections.
func (o *exchangeOffice) resetConns() {
	o.mu.Lock()
	conns := o.conns
	o.conns = nil
	o.mu.Unlock()
	for _, conn := range conns {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	o.rig.logf("office %s: %d connections reset", o.id, len(conns))
}

// die ends the process of the office: its connections are reset and its calls are cut.
func (o *exchangeOffice) die() {
	o.stopListening()
	o.resetConns()
	o.mu.Lock()
	defer o.mu.Unlock()
	for call := range o.standing {
		o.rig.logf("office %s: call %016x is cut with the process", o.id, call)
	}
	o.standing = map[uint64]*officeConn{}
}

// send writes a message on a connection.
func (c *officeConn) send(msg *office.Message) {
	c.writes.Lock()
	defer c.writes.Unlock()
	if data, err := office.Append(nil, msg); err == nil {
		_, _ = c.Write(data)
	}
}

// groupState returns the state of the trunk group in wire form; o.mu is held.
func (o *exchangeOffice) groupState() string {
	return fmt.Sprintf("spare:%d;total:%d", circuits-len(o.standing)-o.farEnd, circuits)
}

// setFarEndCalls sets how many circuits of the group calls of its far end take.
func (o *exchangeOffice) setFarEndCalls(count int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.farEnd = count
	o.rig.logf("office %s: calls of the far end take %d circuits", o.id, count)
}

// reportGroupState reports the state of the trunk group on each connection, as it has changed.
func (o *exchangeOffice) reportGroupState() {
	o.mu.Lock()
	conns, state := slices.Clone(o.conns), o.groupState()
	o.mu.Unlock()
	for _, conn := range conns {
		conn.send(&office.Message{Type: office.GroupState, HasCause: true, Cause: 1, Load: state})
	}
}

// serve serves a connection: the state of the group and releases that are still to be sent first, then what the call server sends.
func (o *exchangeOffice) serve(c *officeConn) {
	o.mu.Lock()
	o.conns = append(o.conns, c)
	unsent, state := o.unsent, o.groupState()
	o.unsent = nil
	o.mu.Unlock()
	o.rig.logf("office %s: connection %d from the call server", o.id, c.number)
	c.send(&office.Message{Type: office.GroupState, HasCause: true, Cause: 1, Load: state})
	for _, call := range unsent {
		o.rig.logf("office %s -> call server, connection %d: release of %016x, cause 16, once more on a new connection", o.id, c.number, call)
		c.send(&office.Message{Type: office.Release, Call: call, HasCause: true, Cause: office.CauseNormal})
	}
	var framer office.Framer
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		framer.Write(buf[:n])
		for msg, parseErr := framer.Next(); msg != nil && parseErr == nil; msg, parseErr = framer.Next() {
			o.handle(c, msg)
		}
		if err != nil {
			break
		}
	}
	o.mu.Lock()
	o.conns = slices.DeleteFunc(o.conns, func(other *officeConn) bool { return other == c })
	for call := range c.open {
		o.rig.logf("office %s: set-up %016x is given up, as its connection has ended", o.id, call)
	}
	c.open = map[uint64]bool{}
	o.mu.Unlock()
	c.Close()
	o.rig.logf("office %s: connection %d has ended", o.id, c.number)
}

// handle handles one message of the call server.
func (o *exchangeOffice) handle(c *officeConn, msg *office.Message) {
	switch msg.Type {
	case office.HealthCheck:
		o.mu.Lock()
		state := o.groupState()
		o.mu.Unlock()
		c.send(&office.Message{Type: office.HealthReport, Call: msg.Call, HasCause: true, Cause: 1, Load: state})
	case office.Release:
		o.mu.Lock()
		_, stood := o.standing[msg.Call]
		if stood {
			o.released[msg.Call] = time.Now()
		}
		delete(o.standing, msg.Call)
		wasOpen := c.open[msg.Call]
		delete(c.open, msg.Call)
		o.mu.Unlock()
		o.rig.logf("call server -> office %s, connection %d: release of %016x, cause %d (it stood: %v, without an answer: %v)",
			o.id, c.number, msg.Call, msg.Cause, stood, wasOpen)
		c.send(&office.Message{Type: office.ReleaseComplete, Call: msg.Call})
		if stood {
			o.reportGroupState()
		}
	case office.SetUp:
		o.mu.Lock()
		o.setUps[msg.Call]++
		count := o.setUps[msg.Call]
		c.open[msg.Call] = true
		o.mu.Unlock()
		o.rig.logf("call server -> office %s, connection %d: set-up %d of %016x, class %s, number %s", o.id, c.number, count, msg.Call, msg.Class, msg.Number)
		time.AfterFunc(o.setUpTime, func() { o.answer(c, msg.Call) })
	}
}

// answer answers a set-up, unless it was given up.
func (o *exchangeOffice) answer(c *officeConn, call uint64) {
	o.mu.Lock()
	open := c.open[call]
	delete(c.open, call)
	if open {
		o.standing[call] = c
		o.answers[call]++
	}
	o.mu.Unlock()
	if open {
		o.rig.logf("office %s -> call server, connection %d: answer to %016x, it stands", o.id, c.number, call)
		c.send(&office.Message{Type: office.Answer, Call: call, Description: []byte(fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", call))})
		o.reportGroupState()
		if o.hold > 0 {
			time.AfterFunc(time.Duration(rand.ExpFloat64()*float64(o.hold)), func() { o.endCall(call) })
		}
	}
}

// endCall ends a standing call: its release is sent on the connection of its set-up, otherwise on any open one, and also on the next
// one that is opened. The result tells whether it stood and its release was sent.
func (o *exchangeOffice) endCall(call uint64) bool {
	o.mu.Lock()
	conn, stood := o.standing[call]
	if !stood {
		o.mu.Unlock()
		return false
	}
	delete(o.standing, call)
	if !slices.Contains(o.conns, conn) {
		conn = nil
		if len(o.conns) > 0 {
			conn = o.conns[len(o.conns)-1]
		}
	}
	o.unsent = append(o.unsent, call)
	o.mu.Unlock()
	if conn == nil {
		return false
	}
	o.rig.logf("office %s -> call server, connection %d: release of %016x, cause 16", o.id, conn.number, call)
	conn.send(&office.Message{Type: office.Release, Call: call, HasCause: true, Cause: office.CauseNormal})
	o.reportGroupState()
	return true
}

// stands reports whether a call stands.
func (o *exchangeOffice) stands(call uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, stands := o.standing[call]
	return stands
}

// answersTo returns how many set-ups of a call were answered.
func (o *exchangeOffice) answersTo(call uint64) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answers[call]
}
