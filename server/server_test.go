package server

import (
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"finchlatch/config"
	"finchlatch/isup"
	"finchlatch/m3ua"
	"finchlatch/router"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testSettings are valid settings, which tests change by replacing parts of the text.
const testSettings = `{
  name: 'a', listen: '127.0.0.1:0', console: '127.0.0.1:0',
  exchanges: [{ name: 'a', number: 1, point_code: 101 }, { name: 'b', number: 2, point_code: 102 }],
  peers: [
    { name: 'b', kind: 'exchange', circuits: { first: 1, count: 4 } },
    { name: 'counters', kind: 'client', point_code: 2001, circuits: { first: 1, count: 31 } },
  ],
  classes: [{ name: 'one', category: 10, worth: 1, aim: '200ms', patience: '1s', deadline: '3s', hold: '5s', width: 1 }],
  numbers: [{ prefix: '551', exchange: 'a' }, { prefix: '552', exchange: 'b' }],
  rules: { attempts: 3, release: '200ms', drain_grace: '1s', tip_after: '3s', overload: 2, cold_from: 0.3, cold_for: '9s' },
  limits: { queue_bytes: 65536 },
  timers: { t1: '300ms', t5: '3s', t12: '300ms', t13: '3s' },
}`

func startServer(t *testing.T) *Server { return startServerWith(t, testSettings) }

// startServerWith starts a server with the settings and stops it at the end of the test.
func startServerWith(t testing.TB, settings string) *Server {
	t.Helper()
	cfg, err := config.Evaluate("test.jsonnet", settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

// nationalNetwork is the network indicator of a national network (Q.704).
const nationalNetwork = 2

// testPeer is the M3UA endpoint of a peer on a TCP connection, driven by the test.
type testPeer struct {
	t         *testing.T
	conn      net.Conn
	assoc     *m3ua.Assoc
	pointCode uint32
	received  []*isup.Message
}

// connectPeer connects a peer and waits until it is active.
func connectPeer(t *testing.T, s *Server, pointCode uint32) *testPeer {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	p := &testPeer{t: t, conn: conn, pointCode: pointCode,
		assoc: m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, ASPID: pointCode, HeartbeatInterval: -1})}
	p.assoc.Connected(0)
	p.readUntil("active", func() bool { return p.assoc.State() == m3ua.Active })
	return p
}

// readUntil reads and acknowledges messages until done returns true.
func (p *testPeer) readUntil(what string, done func() bool) {
	p.t.Helper()
	buffer := make([]byte, 4096)
	deadline := time.Now().Add(10 * time.Second)
	for !done() {
		if time.Now().After(deadline) {
			p.t.Fatalf("%d: no %s in time", p.pointCode, what)
		}
		p.flush()
		_ = p.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := p.conn.Read(buffer)
		p.assoc.Receive(0, append([]byte(nil), buffer[:n]...))
		for _, indication := range p.assoc.Indications() {
			if indication.Kind == m3ua.IndData {
				message, err := isup.Decode(indication.Data.Data)
				if err != nil {
					p.t.Fatal(err)
				}
				p.received = append(p.received, message)
				p.acknowledge(message)
			}
		}
		if netErr, ok := err.(net.Error); err != nil && !(ok && netErr.Timeout()) {
			if done() {
				return
			}
			p.t.Fatalf("%d: waiting for %s: %v", p.pointCode, what, err)
		}
	}
	p.flush()
}

// acknowledge sends the acknowledgement that a message asks for.
func (p *testPeer) acknowledge(message *isup.Message) {
	switch message.Type {
	case isup.GRS:
		status, _ := message.RangeStatus()
		p.send(isup.NewGroup(isup.GRA, message.CIC, 0, isup.Range{Range: status.Range}))
	case isup.REL:
		p.send(isup.NewSimple(isup.RLC, message.CIC))
	}
}

// send queues a message; flush writes what is queued.
func (p *testPeer) send(message *isup.Message) {
	encoded, err := message.Append(nil)
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.assoc.Send(m3ua.ProtocolData{OPC: p.pointCode, DPC: 101, SI: m3ua.ServiceISUP, NI: nationalNetwork, Data: encoded}); err != nil {
		p.t.Fatal(err)
	}
}

func (p *testPeer) flush() {
	if output := p.assoc.Output(); len(output) > 0 {
		if _, err := p.conn.Write(output); err != nil {
			p.t.Logf("%d: %v", p.pointCode, err)
		}
	}
}

// sendSetup queues the IAM of a call.
func (p *testPeer) sendSetup(cic uint16, number string) {
	setup, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1},
		Category: 10, Width: 1, HopCounter: -1})
	if err != nil {
		p.t.Fatal(err)
	}
	p.send(setup)
}

// hasReceived returns a function that reports whether a message of the type has been received on the circuit.
func (p *testPeer) hasReceived(messageType isup.Type, cic uint16) func() bool {
	return func() bool {
		for _, message := range p.received {
			if message.Type == messageType && message.CIC == cic {
				return true
			}
		}
		return false
	}
}

// waitForCircuits waits until circuits of a peer are reset and usable.
func waitForCircuits(t *testing.T, s *Server, name string, p *testPeer) {
	t.Helper()
	p.readUntil("circuits of "+name, func() bool {
		freeCircuits := 0
		if err := s.Do(func(r *router.Router, _ time.Duration) {
			id, _ := r.Peer(name)
			freeCircuits = r.Groups()[id].Spare
		}); err != nil {
			t.Fatal(err)
		}
		return freeCircuits > 0
	})
}

func TestCallOverSockets(t *testing.T) {
	s := startServer(t)
	exchange, counters := connectPeer(t, s, 102), connectPeer(t, s, 2001)
	waitForCircuits(t, s, "b", exchange)
	waitForCircuits(t, s, "counters", counters)
	counters.sendSetup(1, "5521")
	counters.flush()
	exchange.readUntil("IAM", exchange.hasReceived(isup.IAM, 1))
	exchange.send(isup.NewSimple(isup.ACM, 1))
	exchange.send(isup.NewSimple(isup.ANM, 1))
	exchange.flush()
	counters.readUntil("answer", counters.hasReceived(isup.ANM, 1))
	counters.send(isup.NewRelease(1, isup.ReleaseInfo{Cause: 16}))
	counters.readUntil("RLC", counters.hasReceived(isup.RLC, 1))
	exchange.readUntil("REL", exchange.hasReceived(isup.REL, 1))
}

// Connections with invalid messages are refused with the error code of RFC 4666, and other connections still work.
func TestBadConnections(t *testing.T) {
	s := startServer(t)
	unknownASPUP := (&m3ua.Message{Kind: m3ua.ASPUP}).WithUint32(m3ua.TagASPID, 4711).Append(nil)
	header := func(length uint32) []byte { return binary.BigEndian.AppendUint32([]byte{1, 0, 3, 1}, length) }
	for name, c := range map[string]struct {
		send []byte
		want m3ua.ErrorCode // 0: closed without an error message
	}{
		"unknown identifier":  {unknownASPUP, m3ua.ErrIDInvalid},
		"no identifier":       {(&m3ua.Message{Kind: m3ua.ASPUP}).Append(nil), m3ua.ErrIDRequired},
		"DATA first":          {(&m3ua.Message{Kind: m3ua.DATA}).Append(nil), m3ua.ErrUnexpectedMessage},
		"unknown class":       {(&m3ua.Message{Kind: 0x0701}).Append(nil), m3ua.ErrUnsupportedClass},
		"length 0":            {header(0), 0},
		"length 7":            {header(7), 0},
		"length 2^31":         {header(1 << 31), 0},
		"not M3UA":            {[]byte("GET / HTTP/1.1\r\n\r\n"), 0},
		"half a message":      {unknownASPUP[:9], 0},
		"nothing but a close": {nil, 0},
	} {
		conn, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(c.send)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		reply, readErr := io.ReadAll(conn) // a TCP reset ends the connection, too
		conn.Close()
		if errors.Is(readErr, os.ErrDeadlineExceeded) {
			t.Errorf("%s: neither an answer nor an end in 10 s", name)
		}
		if c.want == 0 {
			if len(reply) > 0 {
				t.Errorf("%s: answered %x", name, reply)
			}
			continue
		}
		message, err := m3ua.Decode(reply)
		if err != nil {
			t.Errorf("%s: %x, %v", name, reply, err)
			continue
		}
		if code, _ := message.Uint32(m3ua.TagErrorCode); m3ua.ErrorCode(code) != c.want {
			t.Errorf("%s: error code 0x%02x, want 0x%02x", name, code, uint32(c.want))
		}
	}
	counters := connectPeer(t, s, 2001)
	waitForCircuits(t, s, "counters", counters)
}

// A peer that never reads is disconnected when its write queue is full. The other peers get answers meanwhile.
func TestPeerThatNeverReads(t *testing.T) {
	s := startServer(t)
	exchange, counters := connectPeer(t, s, 102), connectPeer(t, s, 2001)
	waitForCircuits(t, s, "b", exchange)
	waitForCircuits(t, s, "counters", counters)
	heartbeat := (&m3ua.Message{Kind: m3ua.BEAT}).With(m3ua.TagHeartbeat, make([]byte, 3000)).Append(nil)
	_ = exchange.conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	closed := false
	for range 20000 { // the acknowledgement is as long as the heartbeat
		if _, err := exchange.conn.Write(heartbeat); err != nil {
			closed = true
			break
		}
	}
	if !closed {
		t.Error("60 MB were sent to a peer that reads nothing")
	}
	counters.sendSetup(1, "5521")
	counters.readUntil("an answer", counters.hasReceived(isup.REL, 1))
	exchange = connectPeer(t, s, 102)
	waitForCircuits(t, s, "b", exchange)
}

// A shutdown with an outstanding attempt: the caller gets its final answer before the server ends.
func TestShutdownAnswers(t *testing.T) {
	s := startServer(t)
	exchange, counters := connectPeer(t, s, 102), connectPeer(t, s, 2001)
	waitForCircuits(t, s, "b", exchange)
	waitForCircuits(t, s, "counters", counters)
	counters.sendSetup(1, "5521")
	counters.flush()
	exchange.readUntil("IAM", exchange.hasReceived(isup.IAM, 1))
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(5 * time.Second) }()
	go func() { _, _ = io.Copy(io.Discard, exchange.conn) }()
	counters.readUntil("answer", counters.hasReceived(isup.REL, 1))
	counters.flush()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := s.Do(func(*router.Router, time.Duration) {}); err != ErrStopped {
		t.Errorf("after the end: %v", err)
	}
}

func TestConsole(t *testing.T) {
	s := startServer(t)
	exchange := connectPeer(t, s, 102)
	waitForCircuits(t, s, "b", exchange)
	console, err := textproto.Dial("tcp", s.ConsoleAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer console.Close()
	if _, _, err := console.ReadCodeLine(200); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		line string
		code int
		want string
	}{
		{"show status", 215, "exchange a up"},
		{"show groups", 215, "group b exchange size 4 usable 4 spare 4"},
		{"show associations", 215, "association b/0 ASP-ACTIVE AS-ACTIVE"},
		{"drain b", 250, "done"},
		{"show exchanges", 215, "exchange b draining"},
		{"list update b ready 2s", 250, "done"},
		{"show exchanges", 215, "exchange b ready started 2"},
		{"block b 50% hardware", 215, "changed 2"},
		{"unblock b 2 hardware", 215, "changed 2"},
		{"reset b 100%", 215, "changed 0"},
		{"drain", 250, "done"},
		{"show status", 215, "draining true"},
		{"undrain", 250, "done"},
		{"show calls", 215, ""},
		{"help", 215, "block"},
		{"", 500, "no command"},
		{"dance", 500, "no command"},
		{"block b", 501, "usage"},
		{"block b x", 501, "no number"},
		{"block z 1", 501, "no peer"},
		{"list update z ready", 501, "no exchange"},
		{"list update b sleepy", 501, "no state"},
		{"list update b ready soon", 501, "no age"},
		{"show weather", 501, "no \"weather\""},
		{strings.Repeat("x", 2000), 500, "too long"},
		{"quit", 205, "bye"},
	} {
		if err := console.PrintfLine("%s", c.line); err != nil {
			t.Fatal(err)
		}
		code, text, err := console.ReadCodeLine(c.code)
		if err != nil {
			t.Errorf("%.40s: %d %s", c.line, code, text)
			continue
		}
		if code == 215 {
			lines, err := console.ReadDotLines()
			if err != nil {
				t.Fatal(err)
			}
			text = strings.Join(lines, "\n")
		}
		if !strings.Contains(text, c.want) {
			t.Errorf("%.40s: %q, want %q", c.line, text, c.want)
		}
	}
}
