// Package server is the daemon around one Router: TCP connections, the clock, logs, the drain and the operators'
// console. One goroutine owns the Router; each connection has a reader and a writer with bounded queues. It
// decides nothing about calls.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"

	"finchlatch/config"
	"finchlatch/enum"
	"finchlatch/internal/link"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/router"
)

// Server runs one call server.
type Server struct {
	cfg      *config.Config
	log      *slog.Logger
	router   *router.Router
	began    time.Time
	inputs   chan input
	done     chan struct{} // closed when the loop has ended
	stop     chan struct{} // closed to end at once
	stopOnce sync.Once
	links    map[router.LinkID]*link.Link
	wg       sync.WaitGroup
	listener net.Listener
	console  net.Listener
	list     []logic.Office
	answers  [4]uint64
	front    *enum.Frontend // nil: no look-ups
	dns      [2]*dns.Server
	traffic  *traffic // nil: nothing is measured
	watch    func(in router.Input)
	effects  func(e []router.Effect)
}

// input is something that the loop does with the Router.
type input func(now time.Duration)

// ErrStopped is returned by calls to a server that has ended.
var ErrStopped = errors.New("server: has ended")

// Option changes a Server before it starts.
type Option func(*Server)

// WithListeners uses listeners that are open already, in place of the addresses in the configuration; either
// may be nil.
func WithListeners(signalling, console net.Listener) Option {
	return func(s *Server) { s.listener, s.console = signalling, console }
}

// WithList starts with the exchange list as it was last known.
func WithList(list []logic.Office) Option { return func(s *Server) { s.list = list } }

// WithObserver has every input of the Router and all of its effects shown, in order, on the goroutine that owns it.
// Inputs must not be kept: their bytes change. Either function may be nil.
func WithObserver(inputs func(router.Input), effects func([]router.Effect)) Option {
	return func(s *Server) { s.watch, s.effects = inputs, effects }
}

// New makes a Server from a checked configuration.
func New(cfg *config.Config, log *slog.Logger, options ...Option) (*Server, error) {
	settings := cfg.Router
	for _, l := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		if settings.LogLevel = l; log.Enabled(context.Background(), l) {
			break
		}
	}
	s := &Server{cfg: cfg, log: log.With("exchange", cfg.Router.Name), inputs: make(chan input, 256),
		done: make(chan struct{}), stop: make(chan struct{}), links: map[router.LinkID]*link.Link{}}
	if err := s.measured(&settings); err != nil {
		return nil, err
	}
	var err error
	if s.router, err = router.New(settings, cfg.Seed); err != nil {
		return nil, errors.Join(err, s.closeTraffic())
	}
	for _, o := range options {
		o(s)
	}
	return s, nil
}

// Start opens the addresses and begins work.
func (s *Server) Start() error {
	var err error
	if s.listener == nil && s.cfg.ListenAddress != "" {
		if s.listener, err = net.Listen("tcp", s.cfg.ListenAddress); err != nil {
			return errors.Join(fmt.Errorf("server: listen: %w", err), s.closeTraffic())
		}
	}
	if s.console == nil && s.cfg.ConsoleAddress != "" {
		if s.console, err = net.Listen("tcp", s.cfg.ConsoleAddress); err != nil {
			return errors.Join(fmt.Errorf("server: console: %w", err), closeListener(s.listener), s.closeTraffic())
		}
	}
	s.began = time.Now()
	s.wg.Add(1)
	go s.loop()
	if s.traffic != nil {
		s.wg.Add(1)
		go s.keepTraffic()
	}
	if s.listener != nil {
		s.wg.Add(1)
		go s.accept()
	}
	if s.console != nil {
		s.wg.Add(1)
		go s.acceptConsole()
	}
	if err := s.startEnum(); err != nil {
		s.Kill()
		return err
	}
	for id, addr := range s.cfg.DialAddresses {
		s.wg.Add(1)
		go s.dial(id, addr)
	}
	s.log.Info("started", "listen", addressOf(s.listener), "console", addressOf(s.console), "peers", len(s.cfg.Router.Peers))
	return nil
}

func closeListener(l net.Listener) error {
	if l == nil {
		return nil
	}
	return l.Close()
}

func addressOf(l net.Listener) string {
	if l == nil {
		return "none"
	}
	return l.Addr().String()
}

// Addr is the address of the M3UA listener, or nil.
func (s *Server) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// ConsoleAddr is the address of the operators' console, or nil.
func (s *Server) ConsoleAddr() net.Addr {
	if s.console == nil {
		return nil
	}
	return s.console.Addr()
}

// Run works until the context ends, then drains: calls held get their answers, standing ones may go on until the
// configured drain time is over, and the associations are taken down in order.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-s.done:
		return ErrStopped
	}
	return s.Shutdown(s.cfg.DrainTimeout)
}

// Shutdown drains for at most the time given and ends the server.
func (s *Server) Shutdown(within time.Duration) error {
	s.log.Info("draining", "within", within)
	if err := s.apply(router.Input{Kind: router.InDrain}); err != nil {
		return err
	}
	limit := time.NewTimer(within)
	defer limit.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for waiting := true; waiting; {
		held := 0
		if err := s.Do(func(r *router.Router, now time.Duration) { held, _ = r.Held() }); err != nil {
			return err
		}
		select {
		case <-limit.C:
			waiting = false
		case <-poll.C:
			waiting = held > 0
		}
		if held == 0 {
			waiting = false
		}
	}
	err := errors.Join(s.apply(router.Input{Kind: router.InReleaseAll}), s.apply(router.Input{Kind: router.InLeave}))
	s.flushLinks()
	s.writeTraffic()
	s.Kill()
	s.log.Info("ended", "stands", s.answers[router.Stands], "refused", s.answers[router.Refused],
		"failed", s.answers[router.Failed], "hung_up", s.answers[router.HungUp])
	return err
}

// flushTime is how long the last messages may take to be written.
const flushTime = time.Second

func (s *Server) flushLinks() {
	deadline := time.Now().Add(flushTime)
	var links []*link.Link
	_ = s.Do(func(*router.Router, time.Duration) {
		for _, l := range s.links {
			links = append(links, l)
		}
	})
	for _, l := range links {
		l.Drain(deadline)
	}
}

// Kill ends the server at once, as a crash would: nothing is answered.
func (s *Server) Kill() {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = closeListener(s.listener)
	_ = closeListener(s.console)
	s.stopEnum()
	<-s.done
	s.wg.Wait()
}

// apply tells the Router something, between two events, and waits until it has been told.
func (s *Server) apply(in router.Input) error {
	return s.Do(func(_ *router.Router, now time.Duration) {
		in.At = now
		s.step(in)
	})
}

// step tells the Router something; the loop's goroutine does so.
func (s *Server) step(in router.Input) int {
	if s.watch != nil {
		s.watch(in)
	}
	return s.router.Apply(in)
}

// Do runs f on the Router, between two events. f may look; what changes the Router goes by apply.
func (s *Server) Do(f func(r *router.Router, now time.Duration)) error {
	ran := make(chan struct{})
	if !s.post(func(now time.Duration) { f(s.router, now); close(ran) }) {
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-s.done:
		return ErrStopped
	}
}

// post hands an input to the loop; false: the server has ended.
func (s *Server) post(in input) bool {
	select {
	case s.inputs <- in:
		return true
	case <-s.stop:
		return false
	}
}

// loop owns the Router.
func (s *Server) loop() {
	defer s.wg.Done()
	defer close(s.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	s.step(router.Input{At: s.now(), Kind: router.InStart, List: s.list})
	s.carryOut()
	for {
		if at, ok := s.router.Next(); ok {
			timer.Reset(max(0, at-s.now()))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case in := <-s.inputs:
			in(s.now())
			s.more()
		case <-timer.C:
		case <-s.stop:
			s.closeLinks()
			return
		}
		s.step(router.Input{At: s.now(), Kind: router.InAdvance})
		s.carryOut()
	}
}

// batch is how many inputs are handled before their effects are carried out: a burst costs fewer writes, and
// none waits longer than a batch takes, some hundred microseconds.
const batch = 64

// more handles what else has come.
func (s *Server) more() {
	for range batch {
		select {
		case in := <-s.inputs:
			in(s.now())
		default:
			return
		}
	}
}

// Epoch is the time at the start: what is said to have started some time ago has a time too.
const Epoch = time.Hour

func (s *Server) now() time.Duration { return Epoch + time.Since(s.began) }

// carryOut does what the Router asks for.
func (s *Server) carryOut() {
	effects := s.router.Effects()
	if s.effects != nil {
		s.effects(effects)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case router.Write:
			if l := s.links[e.Link]; l != nil && !l.Write(e.Bytes, s.cfg.MaxQueueBytes) {
				s.log.Warn("peer does not read: connection closed", "peer", s.router.LinkName(e.Link))
				l.Close()
			}
		case router.Close:
			if l := s.links[e.Link]; l != nil {
				l.Close()
			}
		case router.Log:
			s.logLine(e)
		case router.Answer:
			if !e.Transit {
				s.answers[e.Verdict]++
			}
		case router.Reply:
			s.deliver(s.front.Reply(s.now(), e))
		case router.Taken:
			s.front.EndLookup(e.Ask)
		}
	}
}

func (s *Server) logLine(e router.Log) {
	ctx := context.Background()
	if !s.log.Enabled(ctx, e.Level) {
		return
	}
	attrs := e.Attrs
	if e.Call != 0 {
		attrs = append(attrs[:len(attrs):len(attrs)], slog.Uint64("call", e.Call))
	}
	s.log.LogAttrs(ctx, e.Level, e.Text, attrs...)
}

func (s *Server) closeLinks() {
	for _, l := range s.links {
		l.Close()
	}
}

// identifyTime is how long an accepted connection may take to say who it is.
const identifyTime = 5 * time.Second

func (s *Server) accept() {
	defer s.wg.Done()
	places := make(link.Places, max(1, s.cfg.MaxConnections))
	link.Accept(s.listener, func(conn net.Conn) {
		if !places.Take() {
			s.refuse(conn, &m3ua.Fault{Code: m3ua.ErrBlocking, Text: "too many connections"})
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer places.Leave()
			stopped := context.AfterFunc(s.context(), func() { conn.Close() })
			id, first, err := s.identify(conn)
			if !stopped() || err != nil {
				if err != nil {
					s.log.Warn("connection refused", "from", conn.RemoteAddr().String(), "err", err)
				}
				conn.Close()
				return
			}
			s.serve(id, conn, first)
		}()
	})
}

// context ends with the server.
func (s *Server) context() context.Context { return link.Context(s.stop) }

// reject tells a connection what is wrong with it.
func reject(conn net.Conn, fault *m3ua.Fault) {
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(m3ua.Reject(fault))
}

// refuse closes a connection that there is no place for.
func (s *Server) refuse(conn net.Conn, fault *m3ua.Fault) {
	s.log.Warn("connection refused", "from", conn.RemoteAddr().String(), "err", fault)
	reject(conn, fault)
	conn.Close()
}

// identify finds out which peer has connected, by the ASP identifier in its ASPUP.
func (s *Server) identify(conn net.Conn) (router.LinkID, []byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(identifyTime))
	defer conn.SetReadDeadline(time.Time{})
	framer := m3ua.Framer{Max: s.cfg.MaxMessageBytes}
	var got []byte
	buf := make([]byte, 4096)
	for {
		raw, err := framer.Next()
		if err != nil {
			return 0, nil, err
		}
		if raw != nil {
			asp, err := m3ua.Identify(raw)
			if err == nil {
				if id, ok := s.cfg.LinkByASPID[asp]; ok {
					return id, got, nil
				}
				err = &m3ua.Fault{Code: m3ua.ErrIDInvalid, Text: fmt.Sprintf("ASP identifier %d is not configured", asp)}
			}
			var fault *m3ua.Fault
			if errors.As(err, &fault) {
				reject(conn, fault)
			}
			return 0, nil, err
		}
		n, err := conn.Read(buf)
		got = append(got, buf[:n]...)
		framer.Write(buf[:n])
		if err != nil && n == 0 {
			return 0, nil, err
		}
	}
}

// Pauses between tries to connect to a peer.
const (
	firstRedial = 100 * time.Millisecond
	lastRedial  = 2 * time.Second
	dialTime    = 2 * time.Second
)

func (s *Server) dial(id router.LinkID, addr string) {
	defer s.wg.Done()
	ctx := s.context()
	pause := firstRedial
	for ctx.Err() == nil {
		d := net.Dialer{Timeout: dialTime}
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err == nil {
			pause = firstRedial
			s.serve(id, conn, nil)
		}
		select {
		case <-time.After(pause):
		case <-s.stop:
			return
		}
		pause = min(2*pause, lastRedial)
	}
}

// serve works on one connection until it ends.
func (s *Server) serve(id router.LinkID, conn net.Conn, first []byte) {
	l := link.New(conn)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		l.WriteLoop()
	}()
	if !s.post(func(now time.Duration) { s.up(now, id, l, first) }) {
		l.Close()
		return
	}
	s.read(id, l)
	l.Close()
	s.post(func(now time.Duration) { s.down(now, id, l) })
}

func (s *Server) up(now time.Duration, id router.LinkID, l *link.Link, first []byte) {
	if old := s.links[id]; old != nil { // the newest connection of a peer counts
		old.Close()
		s.step(router.Input{At: now, Kind: router.InDisconnected, Link: id, Count: old.Written()})
	}
	s.links[id] = l
	s.step(router.Input{At: now, Kind: router.InConnected, Link: id})
	if len(first) > 0 {
		s.step(router.Input{At: now, Kind: router.InReceive, Link: id, Bytes: first})
	}
}

func (s *Server) down(now time.Duration, id router.LinkID, l *link.Link) {
	if s.links[id] == l {
		delete(s.links, id)
		s.step(router.Input{At: now, Kind: router.InDisconnected, Link: id, Count: l.Written()})
	}
}

// readSize is the most that is read at once; the Router copies what it keeps.
const readSize = 16384

var buffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// read hands what comes to the loop, one piece at a time: a peer that sends faster than calls are handled is
// slowed down by TCP.
func (s *Server) read(id router.LinkID, l *link.Link) {
	for {
		buf := buffers.Get().(*[readSize]byte)
		n, err := l.Conn().Read(buf[:])
		if n > 0 {
			came := s.now()
			ok := s.post(func(now time.Duration) {
				if s.links[id] == l {
					s.step(router.Input{At: now, Kind: router.InReceive, Link: id, Bytes: buf[:n], Waited: now - came})
				}
				buffers.Put(buf)
			})
			if !ok {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				s.log.Debug("connection ended", "link", int(id), "err", err)
			}
			return
		}
	}
}
