// Package link is what the daemons share of TCP: connections whose writes never hold up the loop that owns the
// state, and a bounded accept loop.
package link

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Link is one connection. Bytes that TCP takes at once are written by the caller; the rest waits in a queue, bounded
// by the bytes that wait, for a writer of its own that takes all that has come together since its last write.
type Link struct {
	conn    net.Conn
	raw     syscall.RawConn // nil: writes at once are not possible
	stuck   func(bool)      // told when bytes begin to wait, and when none wait any more
	mu      sync.Mutex
	wake    *sync.Cond
	queue   []byte
	spare   []byte
	done    int64
	writing bool
	closed  bool
}

// New makes a Link; WriteLoop must run for it.
func New(conn net.Conn) *Link {
	l := &Link{conn: conn}
	l.wake = sync.NewCond(&l.mu)
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetNoDelay(true)
	}
	return l
}

// NewDirect makes a Link whose Write hands bytes to TCP by itself while none wait. A writer runs only while bytes
// wait; stuck is told of its begin and end, the end on a goroutine of the Link.
func NewDirect(conn net.Conn, stuck func(bool)) *Link {
	l := New(conn)
	l.stuck = stuck
	if t, ok := conn.(*net.TCPConn); ok {
		l.raw, _ = t.SyscallConn()
	}
	return l
}

// Conn is the connection.
func (l *Link) Conn() net.Conn { return l.conn }

// Write queues bytes; false: more than most would wait.
func (l *Link) Write(b []byte, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return true // its end is on the way to the loop
	}
	if l.raw != nil && len(l.queue) == 0 && !l.writing {
		n := l.now(b)
		l.done += int64(n)
		if b = b[n:]; len(b) == 0 {
			return true
		}
		l.writing = true
		l.stuck(true)
		go l.flush()
	}
	if len(l.queue)+len(b) > most {
		return false
	}
	l.queue = append(l.queue, b...)
	l.wake.Broadcast()
	return true
}

// now writes what TCP takes without waiting. An error shows at the next read.
func (l *Link) now(b []byte) int {
	done := 0
	_ = l.raw.Write(func(fd uintptr) bool {
		for done < len(b) {
			n, err := syscall.Write(int(fd), b[done:])
			if n > 0 {
				done += n
			}
			if err == syscall.EINTR {
				continue
			}
			if err != nil && err != syscall.EAGAIN {
				done = len(b)
			}
			if err != nil || n <= 0 {
				return true
			}
		}
		return true
	})
	return done
}

// flush writes what waits, until nothing does.
func (l *Link) flush() {
	l.mu.Lock()
	for len(l.queue) > 0 && !l.closed {
		l.step()
	}
	l.writing = false
	l.wake.Broadcast()
	l.mu.Unlock()
	l.stuck(false)
}

// WriteLoop writes what is queued until the Link is closed.
func (l *Link) WriteLoop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for len(l.queue) == 0 && !l.closed {
			l.wake.Wait()
		}
		if l.closed {
			return
		}
		l.writing = true
		l.step()
		l.writing = false
		l.wake.Broadcast()
	}
}

// step writes all that waits now; l.mu is held, and let go meanwhile.
func (l *Link) step() {
	b := l.queue
	l.queue = l.spare[:0]
	l.mu.Unlock()
	n, err := l.conn.Write(b)
	l.mu.Lock()
	l.done += int64(n)
	l.spare = b
	if err != nil {
		l.closed = true
		l.conn.Close()
	}
}

// Written is how many bytes have been handed to TCP.
func (l *Link) Written() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

// Close closes the connection and drops what waits.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.wake.Broadcast()
	l.mu.Unlock()
	l.conn.Close()
}

// Drain waits until all has been written, or the deadline.
func (l *Link) Drain(deadline time.Time) {
	late := time.AfterFunc(time.Until(deadline), func() {
		l.mu.Lock()
		l.closed = true
		l.wake.Broadcast()
		l.mu.Unlock()
	})
	defer late.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for (len(l.queue) > 0 || l.writing) && !l.closed {
		l.wake.Wait()
	}
}
