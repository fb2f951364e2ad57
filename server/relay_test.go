package server

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// The benchmarks compare the call server with a relay that only copies bytes between the same two sockets. A scripted counter
// offers complete calls (IAM, ACM, ANM, REL, RLC), and a scripted exchange answers them at once.

// benchCircuits is the size of a trunk group: enough for 350 calls a second that are released as soon as they are answered.
const benchCircuits = 186

// endpoint is one end of a benchmark. It sends and receives DATA messages and ignores other messages of M3UA.
type endpoint struct {
	conn            net.Conn
	localPointCode  uint32
	remotePointCode uint32
}

// encode returns a message as an M3UA DATA message.
func (e *endpoint) encode(message *isup.Message) []byte {
	encoded, err := message.Append(nil)
	if err != nil {
		panic(err) // all messages are built by the benchmarks
	}
	data := m3ua.ProtocolData{OPC: e.localPointCode, DPC: e.remotePointCode, SI: m3ua.ServiceISUP, NI: nationalNetwork, Data: encoded}
	return data.Message().Append(nil)
}

// handleMessages passes each received ISUP message to handle and writes what it returns, with one write for each read.
func (e *endpoint) handleMessages(handle func(m *isup.Message) []byte) {
	framer, buffer := m3ua.Framer{}, make([]byte, 65536)
	for {
		n, err := e.conn.Read(buffer)
		framer.Write(buffer[:n])
		var output []byte
		for {
			frame, decodeErr := framer.Next()
			if decodeErr != nil || frame == nil {
				break
			}
			message, decodeErr := m3ua.Decode(frame)
			if decodeErr != nil || message.Kind != m3ua.DATA {
				continue
			}
			data, decodeErr := m3ua.ReadProtocolData(message)
			if decodeErr != nil {
				continue
			}
			if isupMessage, isupErr := isup.Decode(data.Data); isupErr == nil {
				output = append(output, handle(isupMessage)...)
			}
		}
		if len(output) > 0 {
			_, _ = e.conn.Write(output)
		}
		if err != nil {
			return
		}
	}
}

// serveCalls answers every call at once.
func (e *endpoint) serveCalls() {
	e.handleMessages(func(message *isup.Message) []byte {
		switch message.Type {
		case isup.IAM:
			return append(e.encode(isup.NewSimple(isup.ACM, message.CIC)), e.encode(isup.NewSimple(isup.ANM, message.CIC))...)
		case isup.REL:
			return e.encode(isup.NewSimple(isup.RLC, message.CIC))
		}
		return nil
	})
}

// connectCounter connects a counter and an exchange, through a call server or through a relay, and returns the counter.
func connectCounter(b *testing.B, throughServer bool) *endpoint {
	counter, exchange := &endpoint{localPointCode: 2001, remotePointCode: 101},
		&endpoint{localPointCode: 102, remotePointCode: 101}
	if throughServer {
		settings := strings.ReplaceAll(strings.ReplaceAll(testSettings, "count: 4 ", "count: 186 "), "count: 31 ", "count: 186 ")
		s := startServerWith(b, settings)
		exchangeConn, counterConn := connectBenchPeer(b, s, 102, "b"), connectBenchPeer(b, s, 2001, "counters")
		exchange.conn, counter.conn = exchangeConn, counterConn
	} else {
		exchange.conn, counter.conn = startRelay(b)
	}
	go exchange.serveCalls()
	return counter
}

// connectBenchPeer connects a peer, waits until it has usable circuits, and returns its connection. The helpers of the tests need a
// testing.T. This one belongs to no test: what they register with its Cleanup never runs, so the benchmark closes the connection.
func connectBenchPeer(b *testing.B, s *Server, pointCode uint32, name string) net.Conn {
	t := &testing.T{}
	p := connectPeer(t, s, pointCode)
	waitForCircuits(t, s, name, p)
	_ = p.conn.SetReadDeadline(time.Time{})
	b.Cleanup(func() { p.conn.Close() })
	return p.conn
}

// startRelay starts a relay that copies bytes between two connections, and returns the ends of the exchange and of the counter.
func startRelay(b *testing.B) (exchangeConn, counterConn net.Conn) {
	connect := func() (net.Conn, net.Conn) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer listener.Close()
		dialed, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { dialed.Close(); accepted.Close() })
		return dialed, accepted
	}
	counterConn, relayToCounter := connect()
	exchangeConn, relayToExchange := connect()
	go func() { _, _ = io.Copy(relayToExchange, relayToCounter) }()
	go func() { _, _ = io.Copy(relayToCounter, relayToExchange) }()
	return exchangeConn, counterConn
}

// offerCalls offers count calls, each on a free circuit, at most window at once and at most rate a second (0: no limit), and
// returns the set-up times in nanoseconds.
func (e *endpoint) offerCalls(b *testing.B, count, window int, rate float64) *hdrhistogram.Histogram {
	setUpTimes := hdrhistogram.New(1, int64(10*time.Second), 3)
	freeCircuits := make(chan uint16, benchCircuits)
	for cic := uint16(1); len(freeCircuits) < min(window, benchCircuits); cic++ {
		if cic%32 != 0 {
			freeCircuits <- cic
		}
	}
	sentAt := make([]time.Time, 4096)
	done, ended := make(chan struct{}), 0
	go func() {
		e.handleMessages(func(message *isup.Message) []byte {
			switch message.Type {
			case isup.ANM, isup.CON:
				_ = setUpTimes.RecordValue(time.Since(sentAt[message.CIC]).Nanoseconds())
				return e.encode(isup.NewRelease(message.CIC, isup.ReleaseInfo{Cause: 16}))
			case isup.REL:
				b.Errorf("circuit %d released with cause %d", message.CIC, message.Release().Cause)
				ended++
				return e.encode(isup.NewSimple(isup.RLC, message.CIC))
			case isup.RLC:
				freeCircuits <- message.CIC
				if ended++; ended == count {
					close(done)
				}
			}
			return nil
		})
	}()
	startedAt := time.Now()
	for i := range count {
		cic := <-freeCircuits
		if rate > 0 {
			time.Sleep(time.Until(startedAt.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		}
		setup, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: "5521234", Nature: 3, Plan: 1},
			Category: 10, Width: 1, HopCounter: -1})
		if err != nil {
			b.Fatal(err)
		}
		sentAt[cic] = time.Now()
		if _, err := e.conn.Write(e.encode(setup)); err != nil {
			b.Fatal(err)
		}
	}
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		b.Fatalf("%d of %d calls ended", ended, count)
	}
	return setUpTimes
}

// benchRelayAndServer runs a benchmark through the relay and through a call server, whose benchmarks are named daemon.
func benchRelayAndServer(b *testing.B, run func(b *testing.B, e *endpoint)) {
	for _, path := range []struct {
		name          string
		throughServer bool
	}{{"relay", false}, {"daemon", true}} {
		b.Run(path.name, func(b *testing.B) { run(b, connectCounter(b, path.throughServer)) })
	}
}

// BenchmarkThroughput measures complete calls, as many at once as there are circuits.
func BenchmarkThroughput(b *testing.B) {
	benchRelayAndServer(b, func(b *testing.B, e *endpoint) {
		b.ResetTimer()
		e.offerCalls(b, b.N, benchCircuits, 0)
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	})
}

// BenchmarkSetUpDelay measures the time from IAM to ANM at 350 calls a second.
func BenchmarkSetUpDelay(b *testing.B) {
	benchRelayAndServer(b, func(b *testing.B, e *endpoint) {
		b.ResetTimer()
		setUpTimes := e.offerCalls(b, b.N, benchCircuits, 350)
		b.ReportMetric(float64(setUpTimes.ValueAtQuantile(50))/1e3, "p50-us")
		b.ReportMetric(float64(setUpTimes.ValueAtQuantile(99))/1e3, "p99-us")
		b.ReportMetric(float64(setUpTimes.ValueAtQuantile(99.9))/1e3, "p99.9-us")
	})
}
