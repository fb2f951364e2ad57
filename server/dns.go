package server

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"finchlatch/enum"
	"finchlatch/router"
)

// startEnum opens the address for look-ups, over UDP and TCP on the same port.
func (s *Server) startEnum() error {
	if s.cfg.EnumAddress == "" {
		return nil
	}
	s.front = enum.New(s.cfg.Enum)
	tcp, err := net.Listen("tcp", s.cfg.EnumAddress)
	if err != nil {
		return fmt.Errorf("server: look-ups: %w", err)
	}
	udp, err := net.ListenPacket("udp", tcp.Addr().String())
	if err != nil {
		tcp.Close()
		return fmt.Errorf("server: look-ups: %w", err)
	}
	s.dns = [2]*dns.Server{{Listener: tcp, Handler: dns.HandlerFunc(s.lookup)}, {PacketConn: udp, Handler: dns.HandlerFunc(s.lookup)}}
	for _, d := range s.dns {
		started := make(chan struct{})
		d.NotifyStartedFunc = func() { close(started) }
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			if err := d.ActivateAndServe(); err != nil {
				s.log.Warn("look-ups ended", "err", err)
			}
		}()
		<-started
	}
	s.wg.Add(1)
	go s.sweep()
	return nil
}

func (s *Server) stopEnum() {
	for _, d := range s.dns {
		if d != nil {
			_ = d.Shutdown()
		}
	}
}

// EnumAddr is the address for look-ups, or nil.
func (s *Server) EnumAddr() net.Addr {
	if s.dns[0] == nil {
		return nil
	}
	return s.dns[0].Listener.Addr()
}

// sweepEvery is how often the front forgets what has run out.
const sweepEvery = time.Second

func (s *Server) sweep() {
	defer s.wg.Done()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.post(func(now time.Duration) { s.front.RemoveExpired(now) })
		case <-s.stop:
			return
		}
	}
}

// answerWithin is how much longer than the Router's time for a question a query may wait: for the loop.
const answerWithin = time.Second

// lookup takes a query on the DNS library's goroutine, and writes its answer.
func (s *Server) lookup(w dns.ResponseWriter, q *dns.Msg) {
	from, err := netip.ParseAddrPort(w.RemoteAddr().String())
	if err != nil {
		return
	}
	_, tcp := w.RemoteAddr().(*net.TCPAddr)
	answer := make(chan *dns.Msg, 1)
	if !s.post(func(now time.Duration) { s.deliver(s.front.Query(now, from.Addr(), tcp, q, answer)) }) {
		return
	}
	late := time.NewTimer(s.cfg.Router.AskWithin + answerWithin)
	defer late.Stop()
	select {
	case m := <-answer:
		_ = w.WriteMsg(m)
	case <-late.C: // the loop stands still: say so, rather than nothing
		m := new(dns.Msg)
		_ = w.WriteMsg(m.SetRcode(q, dns.RcodeServerFailure))
	case <-s.stop:
	}
}

// deliver carries out what the front wants; on the loop's goroutine.
func (s *Server) deliver(out []enum.Effect) {
	for _, o := range out {
		switch o := o.(type) {
		case enum.Respond:
			o.ReplyTo.(chan *dns.Msg) <- o.Message
		case enum.RouteQuery:
			s.step(router.Input{At: s.now(), Kind: router.InAsk, Ask: o.ID, Asker: o.Client, Number: o.Number})
		}
	}
}
