package platform

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// The backlogs of a listener, as listen(2) takes them.
//
// While the accept queue of a listener is full, the kernel drops SYNs, so that new connections are neither established nor
// refused. A proxy that blocks new connections therefore sets a short backlog, fills the queue with its own connections, and
// does not accept. Otherwise the backlog is long: with a short one, the second of two simultaneous connections would be
// established a second late, when its SYN is retransmitted.
const (
	shortBacklog  = 0
	normalBacklog = syscall.SOMAXCONN
)

// setBacklog sets the length of the accept queue of a listener.
func setBacklog(listener *net.TCPListener, backlog int) error {
	rawConn, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := rawConn.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) }); err != nil {
		return err
	}
	return listenErr
}

const (
	maxFillers       = 8                      // upper bound for the capacity of a short accept queue
	fillTimeout      = 500 * time.Millisecond // the queue is full if a connection is not established within this time
	maxBlockAttempts = 5                      // attempts to fill the whole queue with own connections
	acceptAllTimeout = 2 * time.Millisecond   // how long acceptAll accepts connections
)

// shortBacklogCapacity returns how many connections fill a short accept queue on this machine.
var shortBacklogCapacity = sync.OnceValue(func() int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer listener.Close()
	if err := setBacklog(listener.(*net.TCPListener), shortBacklog); err != nil {
		return 0
	}
	conns := fillAcceptQueue(listener.Addr().String(), maxFillers, func(string) {})
	for _, conn := range conns {
		conn.Close()
	}
	return len(conns)
})

// fillAcceptQueue opens up to count connections to a listener that accepts none, and stops when one is not established. It
// calls register with the local address of each connection before the connection can be accepted.
func fillAcceptQueue(addr string, count int, register func(local string)) (conns []net.Conn) {
	for range count {
		dialer := net.Dialer{Timeout: fillTimeout, Control: func(_, _ string, rawConn syscall.RawConn) error {
			return rawConn.Control(func(fd uintptr) {
				if syscall.Bind(int(fd), &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}) != nil {
					return
				}
				if local, err := syscall.Getsockname(int(fd)); err == nil {
					if inet4, ok := local.(*syscall.SockaddrInet4); ok {
						register((&net.TCPAddr{IP: inet4.Addr[:], Port: inet4.Port}).String())
					}
				}
			})
		}}
		conn, err := dialer.Dial("tcp", addr)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	return conns
}

// blockConnections fills the accept queue, so that new connections are not established. A connection of another process
// that is in the queue was established before the partition and is served.
func (p *Proxy) blockConnections(listener *net.TCPListener) {
	capacity := shortBacklogCapacity()
	_ = setBacklog(listener, shortBacklog) // fails only on a listener that is closed
	for range maxBlockAttempts {
		p.pauseAccept(listener)
		conns := fillAcceptQueue(p.Addr, capacity, func(local string) {
			p.mu.Lock()
			p.fillerAddrs[local] = true
			p.mu.Unlock()
		})
		p.mu.Lock()
		p.fillerConns = append(p.fillerConns, conns...)
		p.mu.Unlock()
		if len(conns) >= capacity {
			return
		}
		p.acceptAll(listener, func(conn *net.TCPConn) { p.handleAccepted(listener, conn) })
		p.closeFillers()
	}
}

// pauseAccept makes accept pause, and waits until it has: accept would take connections out of the full queue.
func (p *Proxy) pauseAccept(listener *net.TCPListener) {
	_ = listener.SetDeadline(time.Unix(1, 0))
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.acceptPaused && p.partition.NewConnections && !p.closed && p.listener == listener {
		p.changed.Wait()
	}
}

// acceptAll accepts all established connections.
func (p *Proxy) acceptAll(listener *net.TCPListener, handle func(*net.TCPConn)) {
	_ = listener.SetDeadline(time.Now().Add(acceptAllTimeout))
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		handle(conn)
	}
}

// closeFillers closes the connections that fill the queue.
func (p *Proxy) closeFillers() {
	p.mu.Lock()
	conns := p.fillerConns
	p.fillerConns = nil
	p.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// unblockConnections lets new connections be established again. A connection of another process that is still in the queue
// was established just when the partition began, and nothing written on it was forwarded: it is reset.
func (p *Proxy) unblockConnections(listener *net.TCPListener) {
	p.acceptAll(listener, func(conn *net.TCPConn) { resetConn(conn) })
	p.closeFillers()
	_ = setBacklog(listener, normalBacklog)
	_ = listener.SetDeadline(time.Time{})
}
