package platform

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/office"

	"golang.org/x/sys/unix"
)

// officeConn is one connection of a call server to an office.
type officeConn struct {
	net.Conn
	office      *Office
	callServer  string // name of the call server
	process     int    // number of the call server's process, counted by Office.endedProcesses
	mu          sync.Mutex
	outstanding map[uint64]bool // calls with an outstanding attempt
}

// handle serves one connection of a call server until it ends.
func (o *Office) handle(conn net.Conn, callServer string) {
	o.mu.Lock()
	callServerConn := &officeConn{Conn: conn, office: o, callServer: callServer, process: o.endedProcesses[callServer], outstanding: map[uint64]bool{}}
	o.mu.Unlock()
	if !callServerConn.start() {
		return
	}
	defer callServerConn.unregister()
	var framer office.Framer
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		o.awaitResume()
		framer.Write(buf[:n])
		for msg, parseErr := framer.Next(); msg != nil || parseErr != nil; msg, parseErr = framer.Next() {
			if parseErr != nil || !callServerConn.handleMessage(msg) {
				return
			}
		}
		if err == io.EOF && o.ReleasesOnHalfClose {
			callServerConn.releaseAll()
		}
		if err != nil {
			callServerConn.reportAllCancelled()
			return
		}
	}
}

// start sends the state of the trunk group and the releases that could not be sent before. It returns false if the office or
// the connection has ended.
func (c *officeConn) start() bool {
	o := c.office
	o.awaitResume()
	c.send(&office.Message{Type: office.GroupState, Load: o.groupState(c.callServer)})
	o.mu.Lock()
	dead := o.dead || c.process != o.endedProcesses[c.callServer] || c.peerClosed()
	if !dead {
		o.conns = append(o.conns, c)
	}
	var pendingReleases []uint64
	if !dead {
		pendingReleases = o.pendingReleases[c.callServer]
		delete(o.pendingReleases, c.callServer)
	}
	o.mu.Unlock()
	for _, call := range pendingReleases {
		if o.Events.ReleaseSent != nil {
			o.Events.ReleaseSent(call, c.callServer)
		}
		c.sendRelease(call)
	}
	return !dead
}

// tcpEstablished is the kernel's number of the ESTABLISHED state (RFC 9293): neither side has closed the connection.
const tcpEstablished = 1

// peerClosed reports whether the call server has closed the connection. The kernel knows before the office has read that far.
func (c *officeConn) peerClosed() bool {
	tcpConn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	rawConn, err := tcpConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = rawConn.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State != tcpEstablished
	})
	return closed || err != nil
}

// unregister removes the connection from the open ones.
func (c *officeConn) unregister() {
	c.office.mu.Lock()
	defer c.office.mu.Unlock()
	c.office.conns = slices.DeleteFunc(c.office.conns, func(other *officeConn) bool { return other == c })
}

// awaitResume waits while the office hangs.
func (o *Office) awaitResume() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.hung {
		o.resumed.Wait()
	}
}

// send writes a message, after a hang if there is one.
func (c *officeConn) send(msg *office.Message) {
	c.office.awaitResume()
	if data, err := office.Append(nil, msg); err == nil {
		_, _ = c.Write(data)
	}
}

// sendRelease writes the release of an established call.
func (c *officeConn) sendRelease(call uint64) {
	c.send(&office.Message{Type: office.Release, Call: call, Cause: office.CauseNormal, HasCause: true})
}

// releaseAll ends all established calls of the office.
func (c *officeConn) releaseAll() {
	c.office.mu.Lock()
	established := c.office.established
	c.office.established = map[uint64]establishedCall{}
	c.office.mu.Unlock()
	for call := range established {
		c.sendRelease(call)
	}
}

// reportEnd reports the end of an outstanding attempt to PlatformChecker.AttemptEnded; c.mu is held.
func (c *officeConn) reportEnd(call uint64, startsReleaseTime bool) {
	if c.outstanding[call] {
		delete(c.outstanding, call)
		c.office.report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
			checker.AttemptEnded(at, c.office.Member.ID, call, startsReleaseTime)
		})
	}
}

// reportCancelled reports that the call server has cancelled an outstanding attempt; c.mu is held.
func (c *officeConn) reportCancelled(call uint64) {
	if c.outstanding[call] {
		delete(c.outstanding, call)
		c.office.report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
			checker.CancelRead(at, c.office.Member.ID, call)
		})
	}
}

// reportAllCancelled reports the outstanding attempts of a closed connection as cancelled.
func (c *officeConn) reportAllCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for call := range c.outstanding {
		c.reportCancelled(call)
	}
}

// handleMessage handles one message. It returns false if the connection has to be closed.
func (c *officeConn) handleMessage(msg *office.Message) bool {
	switch msg.Type {
	case office.Release:
		c.handleRelease(msg.Call)
	case office.HealthCheck:
		c.send(&office.Message{Type: office.HealthReport, Call: msg.Call, HasCause: true, Cause: 1, Load: c.office.groupState(c.callServer)})
	case office.SetUp:
		return c.handleSetUp(msg.Call, msg.Class)
	}
	return true
}

// handleRelease handles the release of an attempt or of an established call by the call server.
func (c *officeConn) handleRelease(call uint64) {
	c.mu.Lock()
	c.reportCancelled(call)
	c.mu.Unlock()
	c.office.mu.Lock()
	delete(c.office.established, call)
	c.office.mu.Unlock()
	if c.office.Events.Released != nil {
		c.office.Events.Released(call)
	}
}

// handleSetUp starts an attempt. It returns false if the connection has to be closed.
func (c *officeConn) handleSetUp(call uint64, class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.office
	o.report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.SetUp(at, o.Member.ID, call) })
	c.outstanding[call] = true
	o.mu.Lock()
	o.setUps[call]++
	attempt := o.setUps[call]
	o.mu.Unlock()
	width := 1
	if o.WidthOf != nil {
		width = o.WidthOf(class)
	}
	if o.Delay == nil {
		return c.perform(o.BehaviorOf(call, attempt), call, width)
	}
	o.env.After(o.Delay(call), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.outstanding[call] && !c.perform(o.BehaviorOf(call, attempt), call, width) {
			c.Close()
		}
	})
	return true
}

// perform carries out a behavior. It reports the end of the attempt before it writes the reply, since the checker counts from
// the time of writing. It returns false if the connection has to be closed.
func (c *officeConn) perform(behavior Behavior, call uint64, width int) bool {
	answer := &office.Message{Type: office.Answer, Call: call, Description: []byte(Description)}
	if used, total := c.office.circuitUse(c.callServer); used+width > total && (behavior == AnswerCall || behavior == DuplicateAnswer) {
		behavior = NoCircuit
	}
	switch behavior {
	case AnswerCall, DuplicateAnswer:
		c.reportEnd(call, false)
		if behavior == DuplicateAnswer {
			c.send(&office.Message{Type: office.Answer, Call: ^call, Description: []byte(Description)})
		}
		c.office.establish(call, c.callServer, width)
		c.send(answer)
		if behavior == DuplicateAnswer {
			c.send(answer)
		}
	case LoseAnswer:
		delete(c.outstanding, call)
		c.office.establish(call, c.callServer, width)
	case Busy, NoCircuit, SignallingFault:
		c.reportEnd(call, behavior == SignallingFault)
		refusal := refusals[behavior]
		refusal.Type, refusal.Call, refusal.HasCause = office.Release, call, true
		c.send(&refusal)
	case InvalidBytes, OversizedLength, TruncatedAnswer, InvalidDescription:
		c.reportEnd(call, true)
		if behavior == InvalidDescription {
			answer.Description = []byte("5d4c59104a8ee869\r\nc=IN \xff\xfe\r\n")
		}
		data, _ := office.Append(nil, answer)
		if behavior != InvalidDescription {
			data = behavior.corrupt(data)
		}
		_, _ = c.Write(data)
	case ResetConnection:
		if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0)
		}
		for other := range c.outstanding {
			c.reportEnd(other, true)
		}
		return false
	}
	return true
}
