// Package server runs a call server: the process around one Router, which makes all decisions about calls. A Server gives it TCP
// connections, the clock, logs, the drain, the ENUM frontend and the operator console. One goroutine owns the Router; each
// connection has a reader and a writer goroutine with bounded queues.
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

// Server is one call server: a Router with its connections and goroutines.
type Server struct {
	cfg            *config.Config
	log            *slog.Logger
	router         *router.Router
	startedAt      time.Time
	tasks          chan loopTask
	done           chan struct{} // closed when the event loop has ended
	stop           chan struct{} // closed to end the server at once
	stopOnce       sync.Once
	links          map[router.LinkID]*link.Link
	wg             sync.WaitGroup
	listener       net.Listener     // for M3UA
	console        net.Listener     // for operators
	initialOffices []logic.Office   // last known snapshot of service discovery
	finalAnswers   [4]uint64        // calls by router.Result
	enumFrontend   *enum.Frontend   // nil: no DNS frontend
	dnsServers     [2]*dns.Server   // TCP and UDP
	traffic        *trafficRecorder // nil: no traffic measurement
	observeInput   func(in router.Input)
	observeEffects func(effects []router.Effect)
}

// loopTask is work on the Router that runs on the goroutine of the event loop.
type loopTask func(now time.Duration)

// ErrStopped is returned by calls to a server that has stopped.
var ErrStopped = errors.New("server: has ended")

// Option changes a Server before it starts.
type Option func(*Server)

// WithListeners uses open listeners in place of the configured addresses. For a nil listener the configured address stays in use.
func WithListeners(signalling, console net.Listener) Option {
	return func(s *Server) { s.listener, s.console = signalling, console }
}

// WithSnapshot starts the Router with the last known snapshot of service discovery.
func WithSnapshot(offices []logic.Office) Option {
	return func(s *Server) { s.initialOffices = offices }
}

// WithObserver passes every input of the Router and all of its effects to two functions, in order and on the goroutine of
// the event loop. The functions must not keep the bytes of an input, whose buffer is reused. Nil
// functions are not called.
func WithObserver(inputs func(router.Input), effects func([]router.Effect)) Option {
	return func(s *Server) { s.observeInput, s.observeEffects = inputs, effects }
}

// taskQueueSize bounds the tasks that wait for the event loop. Goroutines that post further ones block.
const taskQueueSize = 256

// New returns a Server for a validated configuration. It does not listen yet.
func New(cfg *config.Config, log *slog.Logger, options ...Option) (*Server, error) {
	settings := cfg.Router
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		if settings.LogLevel = level; log.Enabled(context.Background(), level) {
			break
		}
	}
	s := &Server{cfg: cfg, log: log.With("exchange", cfg.Router.Name), tasks: make(chan loopTask, taskQueueSize),
		done: make(chan struct{}), stop: make(chan struct{}), links: map[router.LinkID]*link.Link{}}
	if err := s.openTraffic(&settings); err != nil {
		return nil, err
	}
	var err error
	if s.router, err = router.New(settings, cfg.Seed); err != nil {
		return nil, errors.Join(err, s.closeTraffic())
	}
	for _, option := range options {
		option(s)
	}
	return s, nil
}

// Start opens the listeners and starts all goroutines.
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
	s.startedAt = time.Now()
	s.wg.Add(1)
	go s.loop()
	if s.traffic != nil {
		s.wg.Add(1)
		go s.trafficLoop()
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

// closeListener closes a listener that may be nil.
func closeListener(listener net.Listener) error {
	if listener == nil {
		return nil
	}
	return listener.Close()
}

// addressOf returns the address of a listener for the log.
func addressOf(listener net.Listener) string {
	if listener == nil {
		return "none"
	}
	return listener.Addr().String()
}

// Addr returns the address of the M3UA listener, or nil.
func (s *Server) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// ConsoleAddr returns the address of the operator console, or nil.
func (s *Server) ConsoleAddr() net.Addr {
	if s.console == nil {
		return nil
	}
	return s.console.Addr()
}

// Run serves until the context ends, then drains: unanswered calls get their final answers, established calls may go on
// until the configured drain time is over, and the associations are taken down in order.
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

// drainPollInterval is how often a drain checks whether calls are left.
const drainPollInterval = 20 * time.Millisecond

// Shutdown drains for at most the timeout, then ends the server.
func (s *Server) Shutdown(timeout time.Duration) error {
	s.log.Info("draining", "within", timeout)
	if err := s.apply(router.Input{Kind: router.InDrain}); err != nil {
		return err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for waiting := true; waiting; {
		activeCalls := 0
		if err := s.Do(func(r *router.Router, now time.Duration) { activeCalls, _ = r.CallCounts() }); err != nil {
			return err
		}
		select {
		case <-timer.C:
			waiting = false
		case <-poll.C:
			waiting = activeCalls > 0
		}
		if activeCalls == 0 {
			waiting = false
		}
	}
	err := errors.Join(s.apply(router.Input{Kind: router.InReleaseAll}), s.apply(router.Input{Kind: router.InCloseAssociations}))
	s.flushLinks()
	s.writeTraffic()
	s.Kill()
	s.log.Info("ended", "stands", s.finalAnswers[router.Established], "refused", s.finalAnswers[router.Refused],
		"failed", s.finalAnswers[router.Failed], "hung_up", s.finalAnswers[router.HungUp])
	return err
}

// flushTimeout bounds the time to write the last messages.
const flushTimeout = time.Second

// flushLinks waits until all queued bytes are written, at most flushTimeout.
func (s *Server) flushLinks() {
	deadline := time.Now().Add(flushTimeout)
	var links []*link.Link
	_ = s.Do(func(*router.Router, time.Duration) {
		for _, peerLink := range s.links {
			links = append(links, peerLink)
		}
	})
	for _, peerLink := range links {
		peerLink.Drain(deadline)
	}
}

// Kill ends the server at once, as a crash would: no call gets an answer.
func (s *Server) Kill() {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = closeListener(s.listener)
	_ = closeListener(s.console)
	s.stopEnum()
	<-s.done
	s.wg.Wait()
}

// apply applies an input to the Router on the goroutine of the event loop and waits until that is done.
func (s *Server) apply(input router.Input) error {
	return s.Do(func(_ *router.Router, now time.Duration) {
		input.At = now
		s.applyOnLoop(input)
	})
}

// applyOnLoop shows an input to the observer and applies it to the Router. It must run on the goroutine of the event loop, such as
// in the function of a Do.
func (s *Server) applyOnLoop(input router.Input) int {
	if s.observeInput != nil {
		s.observeInput(input)
	}
	return s.router.Apply(input)
}

// Do runs f on the goroutine of the event loop and waits until that is done. f may read the Router but must not call its methods
// that change it: an observer (WithObserver) would not see that.
func (s *Server) Do(f func(r *router.Router, now time.Duration)) error {
	finished := make(chan struct{})
	if !s.post(func(now time.Duration) { f(s.router, now); close(finished) }) {
		return ErrStopped
	}
	select {
	case <-finished:
		return nil
	case <-s.done:
		return ErrStopped
	}
}

// post queues a task for the event loop. It returns false if the server has stopped.
func (s *Server) post(task loopTask) bool {
	select {
	case s.tasks <- task:
		return true
	case <-s.stop:
		return false
	}
}

// maxIdleWait is how long the event loop sleeps while the Router has no timer.
const maxIdleWait = time.Hour

// loop is the event loop, whose goroutine owns the Router.
func (s *Server) loop() {
	defer s.wg.Done()
	defer close(s.done)
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	s.applyOnLoop(router.Input{At: s.now(), Kind: router.InStart, List: s.initialOffices})
	s.executeEffects()
	for {
		if wakeAt, ok := s.router.NextTimer(); ok {
			timer.Reset(max(0, wakeAt-s.now()))
		} else {
			timer.Reset(maxIdleWait)
		}
		select {
		case task := <-s.tasks:
			task(s.now())
			s.runQueuedTasks()
		case <-timer.C:
		case <-s.stop:
			s.closeLinks()
			return
		}
		s.applyOnLoop(router.Input{At: s.now(), Kind: router.InAdvance})
		s.executeEffects()
	}
}

// maxBatchSize is how many tasks run before their effects are executed. Batches save writes in a burst; a full batch takes a
// few hundred microseconds, which bounds the delay of an effect.
const maxBatchSize = 64

// runQueuedTasks runs the tasks that wait, at most maxBatchSize.
func (s *Server) runQueuedTasks() {
	for range maxBatchSize {
		select {
		case task := <-s.tasks:
			task(s.now())
		default:
			return
		}
	}
}

// Epoch is the Router's time when the server starts. It is not 0, so that an exchange that started before has a positive
// time of its start.
const Epoch = time.Hour

// now returns the Router's time.
func (s *Server) now() time.Duration { return Epoch + time.Since(s.startedAt) }

// executeEffects executes the effects of the Router's last inputs.
func (s *Server) executeEffects() {
	effects := s.router.Effects()
	if s.observeEffects != nil {
		s.observeEffects(effects)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case router.Write:
			if peerLink := s.links[effect.Link]; peerLink != nil && !peerLink.Write(effect.Bytes, s.cfg.MaxQueueBytes) {
				s.log.Warn("peer does not read: connection closed", "peer", s.router.LinkName(effect.Link))
				peerLink.Close()
			}
		case router.Close:
			if peerLink := s.links[effect.Link]; peerLink != nil {
				peerLink.Close()
			}
		case router.Log:
			s.logLine(effect)
		case router.Answer:
			if !effect.Transit {
				s.finalAnswers[effect.Result]++
			}
		case router.Reply:
			s.executeEnumEffects(s.enumFrontend.Reply(s.now(), effect))
		case router.LeaseUsed:
			s.enumFrontend.EndLookup(effect.QueryID)
		}
	}
}

// logLine writes a Log effect, with the number of its call.
func (s *Server) logLine(entry router.Log) {
	ctx := context.Background()
	if !s.log.Enabled(ctx, entry.Level) {
		return
	}
	attrs := entry.Attrs
	if entry.Call != 0 {
		attrs = append(attrs[:len(attrs):len(attrs)], slog.Uint64("call", entry.Call))
	}
	s.log.LogAttrs(ctx, entry.Level, entry.Text, attrs...)
}

// closeLinks closes all connections to peers.
func (s *Server) closeLinks() {
	for _, peerLink := range s.links {
		peerLink.Close()
	}
}

// identifyTimeout bounds the time until an accepted connection has identified its peer.
const identifyTimeout = 5 * time.Second

// accept serves the connections that peers open.
func (s *Server) accept() {
	defer s.wg.Done()
	slots := make(link.Semaphore, max(1, s.cfg.MaxConnections))
	link.Accept(s.listener, func(conn net.Conn) {
		if !slots.TryAcquire() {
			s.refuse(conn, &m3ua.Fault{Code: m3ua.ErrBlocking, Text: "too many connections"})
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer slots.Release()
			cancelClose := context.AfterFunc(s.stopContext(), func() { conn.Close() })
			id, initialBytes, err := s.identify(conn)
			if !cancelClose() || err != nil {
				if err != nil {
					s.log.Warn("connection refused", "from", conn.RemoteAddr().String(), "err", err)
				}
				conn.Close()
				return
			}
			s.serve(id, conn, initialBytes)
		}()
	})
}

// stopContext returns a context that ends with the server.
func (s *Server) stopContext() context.Context { return link.ContextFromChannel(s.stop) }

// errorWriteTimeout bounds the time to send an M3UA error to a connection that is refused.
const errorWriteTimeout = time.Second

// sendError sends an M3UA error for a connection that is about to be closed.
func sendError(conn net.Conn, fault *m3ua.Fault) {
	_ = conn.SetWriteDeadline(time.Now().Add(errorWriteTimeout))
	_, _ = conn.Write(m3ua.Reject(fault))
}

// refuse closes a connection with an M3UA error.
func (s *Server) refuse(conn net.Conn, fault *m3ua.Fault) {
	s.log.Warn("connection refused", "from", conn.RemoteAddr().String(), "err", fault)
	sendError(conn, fault)
	conn.Close()
}

// identify identifies the peer process of a connection by the ASP identifier in its ASPUP message. It also returns the bytes
// that it has read.
func (s *Server) identify(conn net.Conn) (router.LinkID, []byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(identifyTimeout))
	defer conn.SetReadDeadline(time.Time{})
	framer := m3ua.Framer{Max: s.cfg.MaxMessageBytes}
	var received []byte
	buffer := make([]byte, 4096)
	for {
		message, err := framer.Next()
		if err != nil {
			return 0, nil, err
		}
		if message != nil {
			aspID, err := m3ua.Identify(message)
			if err == nil {
				if id, ok := s.cfg.LinkByASPID[aspID]; ok {
					return id, received, nil
				}
				err = &m3ua.Fault{Code: m3ua.ErrIDInvalid, Text: fmt.Sprintf("ASP identifier %d is not configured", aspID)}
			}
			var fault *m3ua.Fault
			if errors.As(err, &fault) {
				sendError(conn, fault)
			}
			return 0, nil, err
		}
		n, err := conn.Read(buffer)
		received = append(received, buffer[:n]...)
		framer.Write(buffer[:n])
		if err != nil && n == 0 {
			return 0, nil, err
		}
	}
}

// Backoff between attempts to connect to a peer, and the timeout of one attempt.
const (
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	dialTimeout    = 2 * time.Second
)

// dial keeps a connection to a peer open until the server stops.
func (s *Server) dial(id router.LinkID, address string) {
	defer s.wg.Done()
	ctx := s.stopContext()
	backoff := minDialBackoff
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			backoff = minDialBackoff
			s.serve(id, conn, nil)
		}
		select {
		case <-time.After(backoff):
		case <-s.stop:
			return
		}
		backoff = min(2*backoff, maxDialBackoff)
	}
}

// serve reads and writes one connection until it ends. initialBytes were read from it already.
func (s *Server) serve(id router.LinkID, conn net.Conn, initialBytes []byte) {
	peerLink := link.New(conn)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		peerLink.WriteLoop()
	}()
	if !s.post(func(now time.Duration) { s.linkUp(now, id, peerLink, initialBytes) }) {
		peerLink.Close()
		return
	}
	s.readLoop(id, peerLink)
	peerLink.Close()
	s.post(func(now time.Duration) { s.linkDown(now, id, peerLink) })
}

// linkUp registers a connection. It replaces an older connection of the same process.
func (s *Server) linkUp(now time.Duration, id router.LinkID, peerLink *link.Link, initialBytes []byte) {
	if previous := s.links[id]; previous != nil {
		previous.Close()
		s.applyOnLoop(router.Input{At: now, Kind: router.InDisconnected, Link: id, Count: previous.Written()})
	}
	s.links[id] = peerLink
	s.applyOnLoop(router.Input{At: now, Kind: router.InConnected, Link: id})
	if len(initialBytes) > 0 {
		s.applyOnLoop(router.Input{At: now, Kind: router.InReceive, Link: id, Bytes: initialBytes})
	}
}

// linkDown removes a connection, unless a newer one has replaced it.
func (s *Server) linkDown(now time.Duration, id router.LinkID, peerLink *link.Link) {
	if s.links[id] == peerLink {
		delete(s.links, id)
		s.applyOnLoop(router.Input{At: now, Kind: router.InDisconnected, Link: id, Count: peerLink.Written()})
	}
}

// readBufferSize is the most that one read returns, in bytes. Buffers are reused: the Router copies what it keeps.
const readBufferSize = 16384

// readBuffers holds free read buffers.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// readLoop passes received bytes to the event loop. While the task queue is full it does not read, so that TCP flow control
// slows down a peer that sends faster than its calls are handled.
func (s *Server) readLoop(id router.LinkID, peerLink *link.Link) {
	for {
		buffer := readBuffers.Get().(*[readBufferSize]byte)
		n, err := peerLink.Conn().Read(buffer[:])
		if n > 0 {
			receivedAt := s.now()
			posted := s.post(func(now time.Duration) {
				if s.links[id] == peerLink {
					s.applyOnLoop(router.Input{At: now, Kind: router.InReceive, Link: id, Bytes: buffer[:n], Delay: now - receivedAt})
				}
				readBuffers.Put(buffer)
			})
			if !posted {
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
