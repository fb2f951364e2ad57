// Package node runs a callserver.Server as a process of the platform, the system of callers, offices and service discovery
// that call servers are deployed in. It provides the configuration, TCP connections, the clock, the reaction to signals and
// the limits of the machine. One goroutine, the event loop, owns all state. Each connection has a reader goroutine that passes
// one chunk at a time to the loop; the loop itself writes as much as TCP accepts at once. All decisions about calls are made in
// package callserver.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"finchlatch/callserver"
	"finchlatch/internal/link"
)

// Node is one call server with its sockets.
type Node struct {
	cfg             *Config
	configPath      string
	log             *slog.Logger
	server          *callserver.Server
	startTime       time.Time
	startUnix       time.Duration // Unix time of startTime
	inputs          chan input
	clientInputs    chan input         // of connections that have carried nothing of callers
	accepted        chan net.Conn      // connections that the loop has not handled yet
	callerQueues    link.QueueTotal    // of connections from callers
	pauses          int                // of readers, since the last log record (see pacer)
	pausedFor       time.Duration      // these took together
	handled         []*peerConn        // whose chunks were handled in this turn of the loop
	selfInputs      []callserver.Input // InWritten and InWriteBlocked that arose from effects; the loop applies them next
	stop            chan struct{}
	stopOnce        sync.Once
	reloadRequests  chan struct{}
	drainRequests   chan struct{}
	peers           map[callserver.ConnID]*peerConn
	wg              sync.WaitGroup
	listener        net.Listener
	discoveryPos    atomic.Uint64 // position in the discovery stream up to which events have been applied
	discovery       *discoveryClient
	lingerSlots     link.Semaphore
	unhandled       link.Semaphore // connections that are accepted and that the loop has not handled yet
	acceptStoppedAt time.Duration  // Unix time at which the listener was closed by a drain; 0: it is open
	drainStartedAt  time.Duration  // Unix time; 0: no drain has started
	drainEndsAt     time.Duration  // planned end of the drain, Unix time; 0: the server has not been notified of it
}

// input is an input for the server that another goroutine passes to the event loop.
type input struct {
	callserver.Input
	receivedAt time.Duration // Unix time, of received bytes and of the end of a connection
	conn       net.Conn      // a connection that was dialled
	peer       *peerConn     // whose reader sent this input
}

// peerConn is a connection to a caller or an office, with what the loop and the reader of the connection share.
type peerConn struct {
	*link.Link
	id       callserver.ConnID
	accepted bool // it was accepted, not dialled
	// hasDelivered is set once its reader has passed on a chunk, and used by that reader alone.
	hasDelivered bool
	resume       chan struct{} // receives once the loop has handled the last chunk, so that the reader may reuse its buffer
	discard      atomic.Bool   // the reader drops what it reads until the connection ends
	applyTime    time.Duration // that the server took for the last chunk
	pacer        pacer
	// fromCallers is set once a call may be open on it.
	fromCallers atomic.Bool
}

// Sizes of buffers and queues, and limits of connections.
const (
	readBufferSize   = 4 << 10                // bytes
	maxWriteQueue    = 256 << 10              // bytes that a peer may leave unread
	inputQueueSize   = 128                    // inputs that wait for the loop
	maxBatch         = 256                    // further inputs that are applied together with the first
	staleInput       = 10 * time.Millisecond  // received bytes that waited longer may be of a caller who has left meanwhile
	maxTurn          = 2 * time.Millisecond   // after which the effects of a batch are applied before further inputs
	overdueThreshold = 50 * time.Millisecond  // a timer that is later than this was delayed by a pause of the process
	lingerTime       = 300 * time.Millisecond // from a Close with Linger to the close of the connection
	maxLingering     = 16                     // connections that linger at a time; others are closed at once
	maxUnhandled     = 8                      // accepted connections; the rest waits in the kernel and takes no descriptors from offices
)

// New makes a Node from a configuration file, which Reload reads again.
func New(path string, log *slog.Logger) (*Node, error) {
	cfg, err := Load(path)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, configPath: path, log: log.With("node", cfg.Name), inputs: make(chan input, inputQueueSize), clientInputs: make(chan input, inputQueueSize),
		accepted: make(chan net.Conn, maxUnhandled), stop: make(chan struct{}),
		reloadRequests: make(chan struct{}, 1), drainRequests: make(chan struct{}, 1), peers: map[callserver.ConnID]*peerConn{},
		lingerSlots: make(link.Semaphore, maxLingering), unhandled: make(link.Semaphore, maxUnhandled), startTime: time.Now()}
	n.startUnix = time.Duration(n.startTime.UnixNano())
	settings := cfg.serverConfig()
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		if settings.LogLevel = level; log.Enabled(context.Background(), level) {
			break
		}
	}
	if n.server, err = callserver.New(settings); err != nil {
		return nil, &ConfigError{File: path, Err: err}
	}
	return n, nil
}

// ApplyLimits adapts the Go runtime of the whole process to the limits of the machine: it sets GOMAXPROCS to the number of
// cores and the memory limit to three quarters of the memory.
func (n *Node) ApplyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(n.cfg.Limits.Cores))))
	debug.SetMemoryLimit(int64(n.cfg.Limits.MemoryMB) << 20 * 3 / 4)
}

// now returns the Unix time. It follows the monotonic clock from the start of the Node, so it never jumps.
func (n *Node) now() time.Duration { return n.startUnix + time.Since(n.startTime) }

// Listen opens the address for callers.
func (n *Node) Listen() error {
	var err error
	if n.listener, err = net.Listen("tcp", n.cfg.Listen); err != nil {
		return fmt.Errorf("node: listen: %w", err)
	}
	return nil
}

// Reload makes the Node read its configuration file again.
func (n *Node) Reload() { notify(n.reloadRequests) }

// Drain begins the drain: new calls are served for a while, every accepted call is answered, and then Run returns.
func (n *Node) Drain() { notify(n.drainRequests) }

// notify makes a request unless one is pending already.
func notify(requests chan struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// Run serves calls until a drain has ended or Kill is called.
func (n *Node) Run() error {
	if n.listener == nil {
		if err := n.Listen(); err != nil {
			return err
		}
	}
	n.log.Info("started", "listen", n.listener.Addr().String(), "journal", n.cfg.DiscoveryAddr, "sockets", n.cfg.Limits.Sockets,
		"memory_mb", n.cfg.Limits.MemoryMB, "cores", n.cfg.Limits.Cores)
	n.server.Start(n.now(), n.cfg.Snapshot)
	n.discoveryPos.Store(n.server.Position())
	n.startDiscovery(n.cfg.DiscoveryAddr)
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		link.Accept(n.listener, n.enqueueAccepted)
	}()
	n.loop()
	n.Kill()
	n.wg.Wait()
	n.closeUnhandled()
	n.server.LogTotals()
	n.applyEffects()
	n.log.Info("ended")
	return nil
}

// Kill stops a Node immediately.
func (n *Node) Kill() {
	n.stopOnce.Do(func() { close(n.stop) })
	n.listener.Close()
}
