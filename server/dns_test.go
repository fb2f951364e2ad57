package server

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/miekg/dns"

	"finchlatch/isup"
)

const withEnum = `enum: { listen: '127.0.0.1:0', routing: '99', secret: 'x', lease: '40ms', answers: 1e6,
    askers: [{ name: 'switch', networks: ['127.0.0.0/8'], client: 'counters', class: 'one', rate: 1e6, leases: 1000 }] },
  name: 'a',`

func startEnum(t testing.TB) *Server {
	return startWith(t, strings.Replace(settings, "name: 'a',", withEnum, 1))
}

func naptr(number string) *dns.Msg {
	name := ""
	for i := len(number) - 1; i >= 0; i-- {
		name += number[i:i+1] + "."
	}
	return new(dns.Msg).SetQuestion(name+"e164.arpa.", dns.TypeNAPTR)
}

// routingOf reads the routing number of an answer; empty: there is none.
func routingOf(m *dns.Msg) string {
	for _, rr := range m.Answer {
		if n, ok := rr.(*dns.NAPTR); ok {
			_, rest, _ := strings.Cut(n.Regexp, "rn=+")
			return strings.TrimSuffix(rest, "!")
		}
	}
	return ""
}

// A look-up over UDP and over TCP, and the set-up that takes the lease over.
func TestLookUpThenSetUp(t *testing.T) {
	s := startEnum(t)
	far, counters := dial(t, s, 102), dial(t, s, 2001)
	ready(t, s, "b", far)
	ready(t, s, "counters", counters)
	for i, network := range []string{"udp", "tcp"} {
		cic := uint16(1 + i)
		c := &dns.Client{Net: network, Timeout: 10 * time.Second}
		m, _, err := c.Exchange(naptr("5521"), s.EnumAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		routing := routingOf(m)
		if m.Rcode != dns.RcodeSuccess || len(routing) != 10 {
			t.Fatalf("%s: %v", network, m)
		}
		counters.got, far.got = nil, nil
		counters.call(cic, routing)
		counters.flush()
		far.until("IAM", func() bool { return len(far.got) > 0 && far.got[len(far.got)-1].Type == isup.IAM })
		iam := far.got[len(far.got)-1]
		if n, err := iam.CalledNumber(); err != nil || n.Digits != "5521" {
			t.Errorf("%s: the exchange is called %+v, %v", network, n, err)
		}
		far.send(isup.Simple(isup.ACM, iam.CIC))
		far.send(isup.Simple(isup.ANM, iam.CIC))
		far.flush()
		counters.until("answer", counters.has(isup.ANM, cic))
		counters.send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: 16}))
		counters.until("RLC", counters.has(isup.RLC, cic))
		far.until("REL", far.has(isup.REL, iam.CIC))
	}
}

// Bytes that are no DNS are not answered with more, and harm nobody.
func TestNoDNS(t *testing.T) {
	s := startEnum(t)
	conn, err := net.Dial("udp", s.EnumAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	loop := []byte{0, 1, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0xc0, 0x0c, 0, 35, 0, 1}
	for _, b := range [][]byte{{}, {1}, make([]byte, 11), loop, make([]byte, 60000)} {
		if _, err := conn.Write(b); err != nil {
			t.Logf("%d octets: %v", len(b), err)
		}
	}
	tcp, err := net.Dial("tcp", s.EnumAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = tcp.Write(append([]byte{0xff, 0xff}, make([]byte, 65535)...))
	tcp.Close()
	m, _, err := (&dns.Client{Timeout: 10 * time.Second}).Exchange(naptr("771"), s.EnumAddr().String())
	if err != nil || m.Rcode != dns.RcodeNameError {
		t.Errorf("afterwards: %v, %v", m, err)
	}
}

// BenchmarkLookUp is queries over UDP from several sockets at once, against the same DNS library that answers a constant.
func BenchmarkLookUp(b *testing.B) {
	constant := func() string {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		rr, err := dns.NewRR(`1.2.5.5.e164.arpa. 0 IN NAPTR 100 10 "u" "E2U+pstn:tel" "!^.*$!tel:+5521;npdi;rn=+9912345678!" .`)
		if err != nil {
			b.Fatal(err)
		}
		d := &dns.Server{PacketConn: conn, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) {
			m := new(dns.Msg).SetReply(q)
			m.Answer = []dns.RR{rr}
			_ = w.WriteMsg(m)
		})}
		go func() { _ = d.ActivateAndServe() }()
		b.Cleanup(func() { _ = d.Shutdown() })
		return conn.LocalAddr().String()
	}
	front := func() string {
		text := strings.ReplaceAll(strings.Replace(settings, "name: 'a',", withEnum, 1), "count: 4 ", "count: 186 ")
		s := startWith(b, text)
		far := benchDial(b, s, 102, "b")
		go func() { (&endpoint{conn: far, own: 102, far: 101}).serveCalls() }()
		return s.EnumAddr().String()
	}
	for _, way := range []struct {
		name string
		addr func() string
	}{{"constant", constant}, {"front", front}} {
		b.Run(way.name, func(b *testing.B) {
			addr := way.addr()
			const sockets = 8
			var all sync.WaitGroup
			times := make([]*hdrhistogram.Histogram, sockets) // microseconds
			b.ResetTimer()
			for k := range sockets {
				times[k] = hdrhistogram.New(1, 10_000_000, 3)
				all.Add(1)
				go func() {
					defer all.Done()
					conn, err := dns.Dial("udp", addr)
					if err != nil {
						b.Error(err)
						return
					}
					defer conn.Close()
					for i := k; i < b.N; i += sockets {
						sent := time.Now()
						_ = conn.SetDeadline(sent.Add(10 * time.Second))
						if err := conn.WriteMsg(naptr("552" + string(rune('0'+k)))); err != nil {
							b.Error(err)
							return
						}
						if _, err := conn.ReadMsg(); err != nil {
							b.Error(err)
							return
						}
						_ = times[k].RecordValue(time.Since(sent).Microseconds())
					}
				}()
			}
			all.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "queries/s")
			for _, t := range times[1:] {
				times[0].Merge(t)
			}
			b.ReportMetric(float64(times[0].ValueAtQuantile(99)), "p99-us")
		})
	}
}

// BenchmarkFlood is one asker's look-ups, twenty a second, alone and while another asks twenty times as fast as it may:
// the share of the first one's that are granted.
func BenchmarkFlood(b *testing.B) {
	text := strings.Replace(settings, "name: 'a',", `enum: { listen: '127.0.0.1:0', routing: '99', secret: 'x', lease: '40ms', answers: 1e6,
    askers: [{ name: 'quiet', networks: ['127.0.5.0/24'], client: 'counters', class: 'one', rate: 100 },
      { name: 'flood', networks: ['127.0.6.0/24'], client: 'counters', class: 'one', rate: 100 }] }, name: 'a',`, 1)
	for b.Loop() {
		s := startWith(b, strings.ReplaceAll(text, "count: 4 ", "count: 186 "))
		far := benchDial(b, s, 102, "b")
		go func() { (&endpoint{conn: far, own: 102, far: 101}).serveCalls() }()
		b.ReportMetric(granted(b, s, 5, 20, 40), "alone")
		flooding := make(chan float64)
		go func() { flooding <- granted(b, s, 6, 2000, 4000) }()
		b.ReportMetric(granted(b, s, 5, 20, 40), "during")
		b.ReportMetric(<-flooding, "flood")
		s.Kill()
	}
}

// granted asks n times at a rate from an address of a network, each time for another number, and gives the share that got
// a routing number.
func granted(b *testing.B, s *Server, network byte, rate float64, n int) float64 {
	dialer := &net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, network, 1)}}
	conn, err := (&dns.Client{Dialer: dialer, Timeout: 10 * time.Second}).Dial(s.EnumAddr().String())
	if err != nil {
		b.Error(err)
		return 0
	}
	defer conn.Close()
	got, done := 0, make(chan struct{})
	go func() {
		defer close(done)
		for range n {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			m, err := conn.ReadMsg()
			if err != nil {
				b.Error(err)
				return
			}
			if len(m.Answer) > 0 {
				got++
			}
		}
	}()
	began := time.Now()
	for i := range n {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		if err := conn.WriteMsg(naptr(fmt.Sprintf("552%d%05d", network, i))); err != nil {
			b.Error(err)
		}
	}
	<-done
	return float64(got) / float64(n)
}
