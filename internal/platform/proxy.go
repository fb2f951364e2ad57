package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Tap observes the connections of a Proxy on the side of the call server. Its methods are called by several goroutines.
type Tap interface {
	Opened(connID int)
	FromCallServer(connID int, data []byte) // bytes that the call server has written
	ToCallServer(connID int, data []byte)   // bytes that are about to be written to the call server
	Closed(connID int, byCallServer bool)
}

// Partition is a network partition: it says what a Proxy does not forward.
type Partition struct {
	Outbound       bool // bytes from the call server
	Inbound        bool // bytes to the call server
	NewConnections bool // new connections: they are neither established nor refused
}

// Proxy is a TCP proxy between a call server and one peer. It forwards bytes in both directions and injects network faults:
// partitions that no side is notified of, refused connections, resets, and slow writes.
type Proxy struct {
	Addr              string
	env               *Environment
	tap               Tap
	callServerDialled bool // the call server is the target, and its peer opens connections
	mu                sync.Mutex
	changed           *sync.Cond                       // signals changes of the fields below
	target            string                           // address that the proxy dials for each connection
	partition         Partition                        // what is not forwarded
	closeOnArrival    bool                             // connections are closed as soon as they are established
	closed            bool                             // the proxy has ended
	acceptPaused      bool                             // accept has paused
	pieceInterval     time.Duration                    // pause between pieces of what goes to the call server; 0: no pieces
	onLost            func(outbound bool, data []byte) // gets bytes that were held when their connection ended; may be nil
	listener          *net.TCPListener                 // nil while the proxy refuses connections
	fillerAddrs       map[string]bool                  // local addresses of the connections that fill the accept queue
	fillerConns       []net.Conn                       // connections that fill the accept queue
	conns             map[*proxiedConn]bool            // open connections
	lastID            int                              // id of the newest connection
}

// proxiedConn is one connection through a Proxy.
type proxiedConn struct {
	id         int
	callServer *net.TCPConn // socket to the call server
	peer       *net.TCPConn // socket to its peer
	reportOnce sync.Once    // reports the end of the connection to the tap
	halfClosed bool         // one direction has ended
}

// NewProxy starts a Proxy to target. With callServerDialled the target is the call server, and callers connect to it through
// the proxy; otherwise the call server connects to an office. tap may be nil.
func (e *Environment) NewProxy(target string, callServerDialled bool, tap Tap) (*Proxy, error) {
	p := &Proxy{env: e, tap: tap, callServerDialled: callServerDialled, target: target,
		fillerAddrs: map[string]bool{}, conns: map[*proxiedConn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	listener, err := e.listen()
	if err != nil {
		return nil, err
	}
	p.Addr = listener.Addr().String()
	p.serve(listener)
	e.onClose(p.Close)
	return p, nil
}

// serve starts to accept connections from a listener.
func (p *Proxy) serve(listener net.Listener) {
	p.listener = listener.(*net.TCPListener)
	p.env.wg.Add(1)
	go func(listener *net.TCPListener) {
		defer p.env.wg.Done()
		p.accept(listener)
	}(p.listener)
}

// accept accepts connections until the listener closes. While new connections are blocked it waits.
func (p *Proxy) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.mu.Lock()
			p.acceptPaused = true
			p.changed.Broadcast()
			for p.partition.NewConnections && !p.closed && p.listener == listener {
				p.changed.Wait()
			}
			p.acceptPaused = false
			p.mu.Unlock()
		case err != nil:
			return
		default:
			p.handleAccepted(listener, conn)
		}
	}
}

// handleAccepted serves an accepted connection.
func (p *Proxy) handleAccepted(listener *net.TCPListener, conn *net.TCPConn) {
	p.mu.Lock()
	refuse := p.closed || p.listener != listener
	closeAtOnce := p.closeOnArrival || p.fillerAddrs[conn.RemoteAddr().String()]
	p.mu.Unlock()
	switch {
	case closeAtOnce:
		conn.Close()
	case refuse:
		resetConn(conn)
	default:
		p.env.wg.Add(1)
		go func() {
			defer p.env.wg.Done()
			p.forward(conn)
		}()
	}
}

// forward dials the target for an accepted connection, and forwards bytes in both directions.
func (p *Proxy) forward(conn *net.TCPConn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	peer, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		resetConn(conn)
		return
	}
	proxied := &proxiedConn{callServer: conn, peer: peer.(*net.TCPConn)}
	if p.callServerDialled {
		proxied.callServer, proxied.peer = proxied.peer, proxied.callServer
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		resetConn(conn)
		peer.Close()
		return
	}
	p.lastID++
	proxied.id = p.lastID
	p.conns[proxied] = true
	p.mu.Unlock()
	if p.tap != nil {
		p.tap.Opened(proxied.id)
	}
	p.env.wg.Add(1)
	go func() {
		defer p.env.wg.Done()
		p.forwardDirection(proxied, true)
	}()
	p.forwardDirection(proxied, false)
}

// Sizes of a Proxy's buffers in bytes.
const (
	readBufferBytes = 16 << 10 // per read
	maxHeldBytes    = 4 << 20  // held per direction during a partition
)

// forwardDirection forwards one direction of a connection; outbound is the direction from the call server. During a partition
// it goes on reading, as a kernel does, and holds what it has read.
func (p *Proxy) forwardDirection(proxied *proxiedConn, outbound bool) {
	from, to := proxied.callServer, proxied.peer
	if !outbound {
		from, to = to, from
	}
	received := make(chan []byte, maxHeldBytes/readBufferBytes)
	failed := false // read only after received is closed
	p.env.wg.Add(1)
	go func() {
		defer p.env.wg.Done()
		defer close(received)
		buf := make([]byte, readBufferBytes)
		for {
			n, err := from.Read(buf)
			if n > 0 {
				data := append([]byte(nil), buf[:n]...)
				if outbound && p.tap != nil {
					p.tap.FromCallServer(proxied.id, data)
				}
				received <- data
			}
			if err != nil {
				failed = !errors.Is(err, io.EOF)
				if outbound { // the end counts from here, even if it cannot be forwarded
					p.reportClosed(proxied, true)
				}
				return
			}
		}
	}()
	for data := range received {
		if !p.awaitForwarding(proxied, outbound) {
			p.reportLost(outbound, data)
			continue
		}
		if !outbound && p.tap != nil { // before the write: the call server may react to the bytes at once
			p.tap.ToCallServer(proxied.id, data)
		}
		p.write(to, data, outbound || len(received) > 0)
	}
	_ = p.awaitForwarding(proxied, outbound)
	if failed || !p.markHalfClosed(proxied) {
		p.closeConn(proxied, failed)
		return
	}
	if !outbound {
		p.reportClosed(proxied, false)
	}
	_ = to.CloseWrite() // the connection may be half-closed: the other direction can still be read
}

// write writes bytes, in pieces if pieceInterval is set. With atOnce it writes them whole: bytes that arrive faster than pieces
// are written must not make the proxy fall behind without limit. A write error shows at the next read.
func (p *Proxy) write(to net.Conn, data []byte, atOnce bool) {
	p.mu.Lock()
	interval := p.pieceInterval
	p.mu.Unlock()
	if interval > 0 && !atOnce && len(data) > 2 {
		for _, piece := range [][]byte{data[:1], data[1 : len(data)/2]} {
			_, _ = to.Write(piece)
			time.Sleep(interval)
		}
		data = data[len(data)/2:]
	}
	_, _ = to.Write(data)
}

// WriteSlowly makes the proxy write bytes to the call server in pieces, with this pause after each; 0 ends it.
func (p *Proxy) WriteSlowly(interval time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pieceInterval = interval
}

// markHalfClosed notes that one direction has ended, and reports whether it is the first of its connection.
func (p *Proxy) markHalfClosed(proxied *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !proxied.halfClosed
	proxied.halfClosed = true
	return first
}

// reportClosed reports the end of a connection to the tap, once.
func (p *Proxy) reportClosed(proxied *proxiedConn, byCallServer bool) {
	if p.tap != nil {
		proxied.reportOnce.Do(func() { p.tap.Closed(proxied.id, byCallServer) })
	}
}

// OnLoss sets a function that gets bytes that were held when their connection ended.
func (p *Proxy) OnLoss(handle func(outbound bool, data []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLost = handle
}

// reportLost passes bytes to the function of OnLoss.
func (p *Proxy) reportLost(outbound bool, data []byte) {
	p.mu.Lock()
	handle := p.onLost
	p.mu.Unlock()
	if handle != nil {
		handle(outbound, data)
	}
}

// awaitForwarding waits while a partition blocks a direction, and reports whether the connection is still open then.
func (p *Proxy) awaitForwarding(proxied *proxiedConn, outbound bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && p.conns[proxied] && (outbound && p.partition.Outbound || !outbound && p.partition.Inbound) {
		p.changed.Wait()
	}
	return !p.closed && p.conns[proxied]
}

// closeConn closes both sockets of a connection; with reset the one to the call server is reset.
func (p *Proxy) closeConn(proxied *proxiedConn, reset bool) {
	p.mu.Lock()
	open := p.conns[proxied]
	delete(p.conns, proxied)
	p.changed.Broadcast()
	p.mu.Unlock()
	if !open {
		return
	}
	p.reportClosed(proxied, false)
	if reset {
		resetConn(proxied.callServer)
	}
	proxied.callServer.Close()
	proxied.peer.Close()
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// SetPartition replaces the partition of the proxy. Bytes that were held and are not blocked any more are forwarded.
func (p *Proxy) SetPartition(partition Partition) {
	p.mu.Lock()
	previous, listener := p.partition, p.listener
	p.partition = partition
	p.mu.Unlock()
	if listener != nil && partition.NewConnections && !previous.NewConnections {
		p.blockConnections(listener)
	}
	if listener != nil && !partition.NewConnections && previous.NewConnections {
		p.unblockConnections(listener)
	}
	p.mu.Lock()
	p.changed.Broadcast()
	p.mu.Unlock()
}

// Refuse resets all open connections and refuses new ones, as the kernel does once a process has ended; Accept ends that.
func (p *Proxy) Refuse() {
	p.RefuseNew()
	p.Reset()
}

// Accept accepts connections again after Refuse or RefuseNew.
func (p *Proxy) Accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", p.Addr)
	if err != nil {
		return err
	}
	p.serve(listener)
	return nil
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	for _, conn := range p.openConns() {
		p.closeConn(conn, true)
	}
}

// ResetNewest resets the newest open connection.
func (p *Proxy) ResetNewest() {
	conns := p.openConns()
	if len(conns) == 0 {
		return
	}
	p.closeConn(slices.MaxFunc(conns, func(a, b *proxiedConn) int { return a.id - b.id }), true)
}

// RefuseNew refuses new connections and keeps the open ones.
func (p *Proxy) RefuseNew() {
	p.mu.Lock()
	listener := p.listener
	p.listener = nil
	p.changed.Broadcast()
	p.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
}

// CloseOnArrival sets whether new connections are closed as soon as they are established.
func (p *Proxy) CloseOnArrival(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOnArrival = on
}

// SetTarget makes new connections go to another address.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// openConns returns the open connections in no particular order.
func (p *Proxy) openConns() (conns []*proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conns = append(conns, conn)
	}
	return conns
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	listener := p.listener
	p.changed.Broadcast()
	p.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	p.closeFillers()
	for _, conn := range p.openConns() {
		p.closeConn(conn, true)
	}
}
