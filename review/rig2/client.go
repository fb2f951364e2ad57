package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"finchlatch/sip"
)

// clients is what the callers have been told of their calls.
type clients struct {
	rig   *rig
	mu    sync.Mutex
	calls map[uint64]*clientCall
}

// clientCall is what the caller of a call has been told.
type clientCall struct {
	answers []int       // final answers
	byes    []time.Time // releases by the call server
}

// of returns a copy of what is known of a call.
func (c *clients) of(call uint64) clientCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.calls[call]; known != nil {
		return *known
	}
	return clientCall{}
}

// answered reports whether a call has had this final answer, and no other.
func (c *clients) answered(call uint64, status int) bool {
	known := c.of(call)
	return len(known.answers) == 1 && known.answers[0] == status
}

// clientConn is a connection of callers to a call server.
type clientConn struct {
	net.Conn
	name  string
	rig   *rig
	ended chan struct{} // closed at its end
}

// dial opens a connection of callers to an address.
func (r *rig) dial(name, addr string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, name: name, rig: r, ended: make(chan struct{})}
	r.logf("callers: connection %s is open", name)
	go c.read()
	return c, nil
}

// read handles what the call server sends until the end of the connection.
func (c *clientConn) read() {
	defer close(c.ended)
	var framer sip.Framer
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		framer.Write(buf[:n])
		for msg, parseErr := framer.Next(); msg != nil && parseErr == nil; msg, parseErr = framer.Next() {
			c.handle(msg)
		}
		if err != nil {
			c.rig.logf("callers: connection %s has ended: %v", c.name, err)
			return
		}
	}
}

// handle handles one message of the call server.
func (c *clientConn) handle(msg *sip.Message) {
	call, _ := strconv.ParseUint(msg.CallID, 16, 64)
	all := &c.rig.clients
	all.mu.Lock()
	known := all.calls[call]
	if known == nil {
		known = &clientCall{}
		all.calls[call] = known
	}
	isFinal := msg.Method == "INVITE" && msg.Status >= 200
	switch {
	case isFinal:
		known.answers = append(known.answers, msg.Status)
	case msg.Method == "BYE" && msg.Status == 0:
		known.byes = append(known.byes, time.Now())
	}
	all.mu.Unlock()
	switch {
	case msg.Status > 0:
		c.rig.logf("call server -> callers, connection %s: %d to %s of %s", c.name, msg.Status, msg.Method, msg.CallID)
	default:
		c.rig.logf("call server -> callers, connection %s: %s of %s", c.name, msg.Method, msg.CallID)
	}
	switch {
	case isFinal:
		fmt.Fprintf(c, "ACK sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", call, msg.CallID)
	case msg.Method == "BYE" && msg.Status == 0:
		fmt.Fprintf(c, "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: 0\r\n\r\n", msg.CallID, msg.CSeq)
	}
}

// invite sends a set-up to exchange 1, or with a value of X-Legs of its own.
func (c *clientConn) invite(call uint64, legs string) {
	body := fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.7\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", call^0x5a5a)
	c.rig.logf("callers -> call server, connection %s: INVITE %016x, %s", c.name, call, legs)
	fmt.Fprintf(c, "INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nX-Cos: status-check\r\n"+
		"X-Timer-Ms: 3000\r\nX-Legs: %s\r\nContent-Length: %d\r\n\r\n%s", call, call, legs, len(body), body)
}

// directLegs is X-Legs of a set-up to exchange 1.
const directLegs = "dest:1;width:1;via:-1"

// bye ends a standing call.
func (c *clientConn) bye(call uint64) {
	c.rig.logf("callers -> call server, connection %s: BYE %016x", c.name, call)
	fmt.Fprintf(c, "BYE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", call, call)
}

// passesTest reports whether a call server passes a test, as the front makes it.
func (r *rig) passesTest(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	defer conn.Close()
	fmt.Fprint(conn, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	buf := make([]byte, 12)
	if n, err := conn.Read(buf); err != nil || string(buf[:n]) != "SIP/2.0 200 " {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	return true
}
