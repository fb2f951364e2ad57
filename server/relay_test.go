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

// The benchmarks here measure the daemon against a bare relay that copies bytes between the same two sockets: a
// scripted counter offers whole calls (IAM, ACM, ANM, REL, RLC), a scripted exchange answers them at once.

// benchCircuits are enough for 350 calls a second that each last as long as their messages.
const benchCircuits = 186

// endpoint is one raw end of a benchmark.
type endpoint struct {
	conn     net.Conn
	own, far uint32
}

func (e *endpoint) message(m *isup.Message) []byte {
	b, err := m.Append(nil)
	if err != nil {
		panic(err) // made by this file
	}
	p := m3ua.ProtocolData{OPC: e.own, DPC: e.far, SI: 5, NI: 2, Data: b}
	return p.Message().Append(nil)
}

// each hands every ISUP message that comes to f, and writes what f gives back, once for each read.
func (e *endpoint) each(f func(m *isup.Message) []byte) {
	framer, buf := m3ua.Framer{}, make([]byte, 65536)
	for {
		n, err := e.conn.Read(buf)
		framer.Write(buf[:n])
		var out []byte
		for {
			raw, bad := framer.Next()
			if bad != nil || raw == nil {
				break
			}
			m, bad := m3ua.Decode(raw)
			if bad != nil || m.Kind != m3ua.DATA {
				continue
			}
			p, bad := m3ua.ReadProtocolData(m)
			if bad != nil {
				continue
			}
			if i, bad := isup.Decode(p.Data); bad == nil {
				out = append(out, f(i)...)
			}
		}
		if len(out) > 0 {
			_, _ = e.conn.Write(out)
		}
		if err != nil {
			return
		}
	}
}

// serveCalls answers every call at once.
func (e *endpoint) serveCalls() {
	e.each(func(m *isup.Message) []byte {
		switch m.Type {
		case isup.IAM:
			return append(e.message(isup.Simple(isup.ACM, m.CIC)), e.message(isup.Simple(isup.ANM, m.CIC))...)
		case isup.REL:
			return e.message(isup.Simple(isup.RLC, m.CIC))
		}
		return nil
	})
}

// benchPath is a way from the counter to the exchange: through the daemon, or through a relay.
func benchPath(b *testing.B, daemon bool) *endpoint {
	counter, exchange := &endpoint{own: 2001, far: 101}, &endpoint{own: 102, far: 101}
	if daemon {
		text := strings.ReplaceAll(strings.ReplaceAll(settings, "count: 4 ", "count: 186 "), "count: 31 ", "count: 186 ")
		s := startWith(b, text)
		far, near := benchDial(b, s, 102, "b"), benchDial(b, s, 2001, "counters")
		exchange.conn, counter.conn = far, near
	} else {
		exchange.conn, counter.conn = relayed(b)
	}
	go exchange.serveCalls()
	return counter
}

func benchDial(b *testing.B, s *Server, own uint32, name string) net.Conn {
	t := &testing.T{}
	p := dial(t, s, own)
	ready(t, s, name, p)
	_ = p.conn.SetReadDeadline(time.Time{})
	b.Cleanup(func() { p.conn.Close() })
	return p.conn
}

// relayed is a pair of sockets joined by a process that only copies.
func relayed(b *testing.B) (far, near net.Conn) {
	pipe := func() (net.Conn, net.Conn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		a, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		c, err := l.Accept()
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { a.Close(); c.Close() })
		return a, c
	}
	near, inside := pipe()
	far, outside := pipe()
	go func() { _, _ = io.Copy(outside, inside) }()
	go func() { _, _ = io.Copy(inside, outside) }()
	return far, near
}

// calls offers n calls, each on a free circuit, at most window at once and at most rate a second (0: no limit),
// and gives the set-up times in nanoseconds.
func (e *endpoint) calls(b *testing.B, n, window int, rate float64) *hdrhistogram.Histogram {
	times := hdrhistogram.New(1, int64(10*time.Second), 3)
	free := make(chan uint16, benchCircuits)
	for c := uint16(1); len(free) < min(window, benchCircuits); c++ {
		if c%32 != 0 {
			free <- c
		}
	}
	sent := make([]time.Time, 4096)
	done, over := make(chan struct{}), 0
	go func() {
		e.each(func(m *isup.Message) []byte {
			switch m.Type {
			case isup.ANM, isup.CON:
				_ = times.RecordValue(time.Since(sent[m.CIC]).Nanoseconds())
				return e.message(isup.NewRelease(m.CIC, isup.ReleaseInfo{Cause: 16}))
			case isup.REL:
				b.Errorf("circuit %d released with cause %d", m.CIC, m.Release().Cause)
				over++
				return e.message(isup.Simple(isup.RLC, m.CIC))
			case isup.RLC:
				free <- m.CIC
				if over++; over == n {
					close(done)
				}
			}
			return nil
		})
	}()
	began := time.Now()
	for i := range n {
		cic := <-free
		if rate > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		}
		m, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: "5521234", Nature: 3, Plan: 1}, Category: 10, Width: 1, Hops: -1})
		if err != nil {
			b.Fatal(err)
		}
		sent[cic] = time.Now()
		if _, err := e.conn.Write(e.message(m)); err != nil {
			b.Fatal(err)
		}
	}
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		b.Fatalf("%d of %d calls ended", over, n)
	}
	return times
}

func paths(b *testing.B, f func(b *testing.B, e *endpoint)) {
	for _, way := range []struct {
		name   string
		daemon bool
	}{{"relay", false}, {"daemon", true}} {
		b.Run(way.name, func(b *testing.B) { f(b, benchPath(b, way.daemon)) })
	}
}

// BenchmarkThroughput is whole calls, as many at once as there are circuits.
func BenchmarkThroughput(b *testing.B) {
	paths(b, func(b *testing.B, e *endpoint) {
		b.ResetTimer()
		e.calls(b, b.N, benchCircuits, 0)
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	})
}

// BenchmarkSetUpDelay is the time from IAM to ANM at 350 calls a second.
func BenchmarkSetUpDelay(b *testing.B) {
	paths(b, func(b *testing.B, e *endpoint) {
		b.ResetTimer()
		h := e.calls(b, b.N, benchCircuits, 350)
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
		b.ReportMetric(float64(h.ValueAtQuantile(99.9))/1e3, "p99.9-us")
	})
}
