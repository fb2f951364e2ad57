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

// enumSettings replaces "name: 'a'," in testSettings, to add a DNS frontend.
const enumSettings = `enum: { listen: '127.0.0.1:0', routing: '99', secret: 'x', lease: '40ms', answers: 1e6,
    askers: [{ name: 'switch', networks: ['127.0.0.0/8'], client: 'counters', class: 'one', rate: 1e6, leases: 1000 }] },
  name: 'a',`

func startEnumServer(t testing.TB) *Server {
	return startServerWith(t, strings.Replace(testSettings, "name: 'a',", enumSettings, 1))
}

// naptrQuery returns the query for a number.
func naptrQuery(number string) *dns.Msg {
	name := ""
	for i := len(number) - 1; i >= 0; i-- {
		name += number[i:i+1] + "."
	}
	return new(dns.Msg).SetQuestion(name+"e164.arpa.", dns.TypeNAPTR)
}

// routingOf returns the routing number of a response; empty: there is none.
func routingOf(message *dns.Msg) string {
	for _, record := range message.Answer {
		if naptr, ok := record.(*dns.NAPTR); ok {
			_, rest, _ := strings.Cut(naptr.Regexp, "rn=+")
			return strings.TrimSuffix(rest, "!")
		}
	}
	return ""
}

// Queries over UDP and over TCP, each followed by the set-up that uses the lease.
func TestLookUpThenSetUp(t *testing.T) {
	s := startEnumServer(t)
	exchange, counters := connectPeer(t, s, 102), connectPeer(t, s, 2001)
	waitForCircuits(t, s, "b", exchange)
	waitForCircuits(t, s, "counters", counters)
	for i, network := range []string{"udp", "tcp"} {
		cic := uint16(1 + i)
		client := &dns.Client{Net: network, Timeout: 10 * time.Second}
		response, _, err := client.Exchange(naptrQuery("5521"), s.EnumAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		routing := routingOf(response)
		if response.Rcode != dns.RcodeSuccess || len(routing) != 10 {
			t.Fatalf("%s: %v", network, response)
		}
		counters.received, exchange.received = nil, nil
		counters.sendSetup(cic, routing)
		counters.flush()
		exchange.readUntil("IAM", func() bool {
			return len(exchange.received) > 0 && exchange.received[len(exchange.received)-1].Type == isup.IAM
		})
		iam := exchange.received[len(exchange.received)-1]
		if number, err := iam.CalledNumber(); err != nil || number.Digits != "5521" {
			t.Errorf("%s: called number in the IAM to the exchange: %+v, %v", network, number, err)
		}
		exchange.send(isup.NewSimple(isup.ACM, iam.CIC))
		exchange.send(isup.NewSimple(isup.ANM, iam.CIC))
		exchange.flush()
		counters.readUntil("answer", counters.hasReceived(isup.ANM, cic))
		counters.send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: 16}))
		counters.readUntil("RLC", counters.hasReceived(isup.RLC, cic))
		exchange.readUntil("REL", exchange.hasReceived(isup.REL, iam.CIC))
	}
}

// Packets that are not DNS messages do no harm: the frontend answers the next query.
func TestPacketsThatAreNotDNS(t *testing.T) {
	s := startEnumServer(t)
	conn, err := net.Dial("udp", s.EnumAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	pointerLoop := []byte{0, 1, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0xc0, 0x0c, 0, 35, 0, 1}
	for _, packet := range [][]byte{{}, {1}, make([]byte, 11), pointerLoop, make([]byte, 60000)} {
		if _, err := conn.Write(packet); err != nil {
			t.Logf("%d octets: %v", len(packet), err)
		}
	}
	tcp, err := net.Dial("tcp", s.EnumAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = tcp.Write(append([]byte{0xff, 0xff}, make([]byte, 65535)...))
	tcp.Close()
	response, _, err := (&dns.Client{Timeout: 10 * time.Second}).Exchange(naptrQuery("771"), s.EnumAddr().String())
	if err != nil || response.Rcode != dns.RcodeNameError {
		t.Errorf("afterwards: %v, %v", response, err)
	}
}

// BenchmarkLookUp measures queries over UDP from several sockets at once, and compares the frontend with a server of the same
// DNS library that answers with a constant.
func BenchmarkLookUp(b *testing.B) {
	startConstant := func() string {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		record, err := dns.NewRR(`1.2.5.5.e164.arpa. 0 IN NAPTR 100 10 "u" "E2U+pstn:tel" "!^.*$!tel:+5521;npdi;rn=+9912345678!" .`)
		if err != nil {
			b.Fatal(err)
		}
		d := &dns.Server{PacketConn: conn, Handler: dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) {
			m := new(dns.Msg).SetReply(q)
			m.Answer = []dns.RR{record}
			_ = w.WriteMsg(m)
		})}
		go func() { _ = d.ActivateAndServe() }()
		b.Cleanup(func() { _ = d.Shutdown() })
		return conn.LocalAddr().String()
	}
	startFrontend := func() string {
		settings := strings.ReplaceAll(strings.Replace(testSettings, "name: 'a',", enumSettings, 1),
			"count: 4 ", "count: 186 ")
		s := startServerWith(b, settings)
		exchange := connectBenchPeer(b, s, 102, "b")
		go func() { (&endpoint{conn: exchange, localPointCode: 102, remotePointCode: 101}).serveCalls() }()
		return s.EnumAddr().String()
	}
	for _, target := range []struct {
		name  string
		start func() string
	}{{"constant", startConstant}, {"front", startFrontend}} {
		b.Run(target.name, func(b *testing.B) {
			addr := target.start()
			const sockets = 8
			var clients sync.WaitGroup
			latencies := make([]*hdrhistogram.Histogram, sockets) // microseconds
			b.ResetTimer()
			for socket := range sockets {
				latencies[socket] = hdrhistogram.New(1, 10_000_000, 3)
				clients.Add(1)
				go func() {
					defer clients.Done()
					conn, err := dns.Dial("udp", addr)
					if err != nil {
						b.Error(err)
						return
					}
					defer conn.Close()
					for i := socket; i < b.N; i += sockets {
						sentAt := time.Now()
						_ = conn.SetDeadline(sentAt.Add(10 * time.Second))
						if err := conn.WriteMsg(naptrQuery("552" + string(rune('0'+socket)))); err != nil {
							b.Error(err)
							return
						}
						if _, err := conn.ReadMsg(); err != nil {
							b.Error(err)
							return
						}
						_ = latencies[socket].RecordValue(time.Since(sentAt).Microseconds())
					}
				}()
			}
			clients.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "queries/s")
			for _, latency := range latencies[1:] {
				latencies[0].Merge(latency)
			}
			b.ReportMetric(float64(latencies[0].ValueAtQuantile(99)), "p99-us")
		})
	}
}

// BenchmarkFlood measures the share of one client's queries, 20 a second, that get a routing number: alone, and while another
// client queries at 20 times its rate limit.
func BenchmarkFlood(b *testing.B) {
	settings := strings.Replace(testSettings, "name: 'a',", `enum: { listen: '127.0.0.1:0', routing: '99', secret: 'x', lease: '40ms', answers: 1e6,
    askers: [{ name: 'quiet', networks: ['127.0.5.0/24'], client: 'counters', class: 'one', rate: 100 },
      { name: 'flood', networks: ['127.0.6.0/24'], client: 'counters', class: 'one', rate: 100 }] }, name: 'a',`, 1)
	for b.Loop() {
		s := startServerWith(b, strings.ReplaceAll(settings, "count: 4 ", "count: 186 "))
		exchange := connectBenchPeer(b, s, 102, "b")
		go func() { (&endpoint{conn: exchange, localPointCode: 102, remotePointCode: 101}).serveCalls() }()
		b.ReportMetric(grantedShare(b, s, 5, 20, 40), "alone")
		flood := make(chan float64)
		go func() { flood <- grantedShare(b, s, 6, 2000, 4000) }()
		b.ReportMetric(grantedShare(b, s, 5, 20, 40), "during")
		b.ReportMetric(<-flood, "flood")
		s.Kill()
	}
}

// grantedShare sends queries at a rate from an address of a network, each for another number, and returns the share that got
// a routing number.
func grantedShare(b *testing.B, s *Server, network byte, rate float64, queries int) float64 {
	dialer := &net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, network, 1)}}
	conn, err := (&dns.Client{Dialer: dialer, Timeout: 10 * time.Second}).Dial(s.EnumAddr().String())
	if err != nil {
		b.Error(err)
		return 0
	}
	defer conn.Close()
	granted, done := 0, make(chan struct{})
	go func() {
		defer close(done)
		for range queries {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := conn.ReadMsg()
			if err != nil {
				b.Error(err)
				return
			}
			if len(response.Answer) > 0 {
				granted++
			}
		}
	}()
	startedAt := time.Now()
	for i := range queries {
		time.Sleep(time.Until(startedAt.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		if err := conn.WriteMsg(naptrQuery(fmt.Sprintf("552%d%05d", network, i))); err != nil {
			b.Error(err)
		}
	}
	<-done
	return float64(granted) / float64(queries)
}
