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

// startEnum starts the DNS frontend, over UDP and TCP on the same port.
func (s *Server) startEnum() error {
	if s.cfg.EnumAddress == "" {
		return nil
	}
	s.enumFrontend = enum.New(s.cfg.Enum)
	listener, err := net.Listen("tcp", s.cfg.EnumAddress)
	if err != nil {
		return fmt.Errorf("server: ENUM: %w", err)
	}
	packetConn, err := net.ListenPacket("udp", listener.Addr().String())
	if err != nil {
		listener.Close()
		return fmt.Errorf("server: ENUM: %w", err)
	}
	s.dnsServers = [2]*dns.Server{{Listener: listener, Handler: dns.HandlerFunc(s.handleQuery)},
		{PacketConn: packetConn, Handler: dns.HandlerFunc(s.handleQuery)}}
	for _, dnsServer := range s.dnsServers {
		started := make(chan struct{})
		dnsServer.NotifyStartedFunc = func() { close(started) }
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			if err := dnsServer.ActivateAndServe(); err != nil {
				s.log.Warn("ENUM server ended", "err", err)
			}
		}()
		<-started
	}
	s.wg.Add(1)
	go s.expireLookups()
	return nil
}

// stopEnum stops the DNS frontend.
func (s *Server) stopEnum() {
	for _, d := range s.dnsServers {
		if d != nil {
			_ = d.Shutdown()
		}
	}
}

// EnumAddr returns the address of the DNS frontend, or nil.
func (s *Server) EnumAddr() net.Addr {
	if s.dnsServers[0] == nil {
		return nil
	}
	return s.dnsServers[0].Listener.Addr()
}

// expiryInterval is how often expired lookups are removed.
const expiryInterval = time.Second

// expireLookups removes expired lookups until the server stops.
func (s *Server) expireLookups() {
	defer s.wg.Done()
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.post(func(now time.Duration) { s.enumFrontend.RemoveExpired(now) })
		case <-s.stop:
			return
		}
	}
}

// loopAllowance is the time, beyond the Router's reply time, that a DNS query may wait for the event loop.
const loopAllowance = time.Second

// handleQuery handles a DNS query on a goroutine of the DNS library: it waits for the response and writes it.
func (s *Server) handleQuery(writer dns.ResponseWriter, query *dns.Msg) {
	from, err := netip.ParseAddrPort(writer.RemoteAddr().String())
	if err != nil {
		return
	}
	_, overTCP := writer.RemoteAddr().(*net.TCPAddr)
	response := make(chan *dns.Msg, 1)
	if !s.post(func(now time.Duration) {
		s.executeEnumEffects(s.enumFrontend.Query(now, from.Addr(), overTCP, query, response))
	}) {
		return
	}
	timeout := time.NewTimer(s.cfg.Router.QueryTimeout + loopAllowance)
	defer timeout.Stop()
	select {
	case message := <-response:
		_ = writer.WriteMsg(message)
	case <-timeout.C: // the event loop is stuck: an error is better than no response
		failure := new(dns.Msg)
		_ = writer.WriteMsg(failure.SetRcode(query, dns.RcodeServerFailure))
	case <-s.stop:
	}
}

// executeEnumEffects executes the effects of the frontend. It must run on the goroutine of the event loop.
func (s *Server) executeEnumEffects(effects []enum.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case enum.Respond:
			effect.ReplyTo.(chan *dns.Msg) <- effect.Message
		case enum.RouteQuery:
			s.applyOnLoop(router.Input{At: s.now(), Kind: router.InQuery, QueryID: effect.ID, ENUMClient: effect.Client, Number: effect.Number})
		}
	}
}
