// Package link holds the TCP code that the daemons share: connections whose writes never block the event loop that owns the
// state, an accept loop, and a bound for the number of connections.
package link

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Link is one TCP connection with a bounded queue of bytes to write. It has nothing to do with the signalling links of SS7. A
// writer, a goroutine that runs WriteLoop or flush, takes the whole queue for each of its writes. A Link made by NewDirect queues
// only the bytes that TCP does not accept at once.
type Link struct {
	conn        net.Conn
	rawConn     syscall.RawConn // of a Link made by NewDirect, for writes that don't block; nil: Write always queues
	onBlocked   func(bool)      // called with true when bytes begin to wait, with false when none wait any more
	mu          sync.Mutex      // guards the fields below
	changed     *sync.Cond      // queue, writing or closed has changed
	queue       []byte          // bytes that wait to be written
	spareBuffer []byte          // the buffer of the last write, for the next queue
	written     int64           // bytes that have been passed to TCP
	writing     bool            // WriteLoop is in the middle of a write, or flush runs
	closed      bool
	total       *QueueTotal // counts what is queued; nil: nothing does
}

// QueueTotal counts the bytes that wait to be written on several Links. It may be used from any goroutine.
type QueueTotal struct{ queued atomic.Int64 }

// Queued returns the number of bytes that wait.
func (t *QueueTotal) Queued() int { return int(t.queued.Load()) }

func (t *QueueTotal) add(n int) {
	if t != nil {
		t.queued.Add(int64(n))
	}
}

// CountIn has a QueueTotal count what is queued from now on. It must be called before the first Write.
func (l *Link) CountIn(total *QueueTotal) { l.total = total }

// New makes a Link that queues all bytes. The caller must run WriteLoop on a goroutine, which writes them.
func New(conn net.Conn) *Link {
	l := &Link{conn: conn}
	l.changed = sync.NewCond(&l.mu)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	return l
}

// NewDirect makes a Link whose Write passes bytes to TCP itself while none wait. A writer runs only while bytes wait:
// onBlocked is called with true when it starts, on the goroutine that calls Write, and with false when it ends, on a
// goroutine of the Link.
func NewDirect(conn net.Conn, onBlocked func(bool)) *Link {
	l := New(conn)
	l.onBlocked = onBlocked
	if tcp, ok := conn.(*net.TCPConn); ok {
		l.rawConn, _ = tcp.SyscallConn()
	}
	return l
}

// Conn returns the connection.
func (l *Link) Conn() net.Conn { return l.conn }

// Write writes or queues bytes. It returns false if more than maxQueued bytes would wait in the queue: those that TCP has not
// accepted are dropped then, and the caller has to close the Link.
func (l *Link) Write(b []byte, maxQueued int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return true // the reader reports the end to the event loop
	}
	if l.rawConn != nil && len(l.queue) == 0 && !l.writing {
		n := l.writeNow(b)
		l.written += int64(n)
		if b = b[n:]; len(b) == 0 {
			return true
		}
		l.writing = true
		l.onBlocked(true)
		go l.flush()
	}
	if len(l.queue)+len(b) > maxQueued {
		return false
	}
	l.queue = append(l.queue, b...)
	l.total.add(len(b))
	l.changed.Broadcast()
	return true
}

// writeNow writes the bytes that TCP accepts without blocking and returns their number. After an error all bytes count as
// written: the next read returns an error.
func (l *Link) writeNow(b []byte) int {
	written := 0
	_ = l.rawConn.Write(func(fd uintptr) bool {
		for written < len(b) {
			n, err := syscall.Write(int(fd), b[written:])
			if n > 0 {
				written += n
			}
			if err == syscall.EINTR {
				continue
			}
			if err != nil && err != syscall.EAGAIN {
				written = len(b)
			}
			if err != nil || n <= 0 {
				return true
			}
		}
		return true
	})
	return written
}

// flush writes the queue until it is empty or the Link is closed.
func (l *Link) flush() {
	l.mu.Lock()
	for len(l.queue) > 0 && !l.closed {
		l.writeQueue()
	}
	l.writing = false
	l.changed.Broadcast()
	l.mu.Unlock()
	l.onBlocked(false)
}

// WriteLoop writes what is queued until the Link is closed.
func (l *Link) WriteLoop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for len(l.queue) == 0 && !l.closed {
			l.changed.Wait()
		}
		if l.closed {
			return
		}
		l.writing = true
		l.writeQueue()
		l.writing = false
		l.changed.Broadcast()
	}
}

// writeQueue writes the present queue. The caller holds l.mu, which is released during the write.
func (l *Link) writeQueue() {
	queued := l.queue
	l.queue = l.spareBuffer[:0]
	l.mu.Unlock()
	n, err := l.conn.Write(queued)
	l.mu.Lock()
	l.written += int64(n)
	l.total.add(-len(queued))
	l.spareBuffer = queued
	if err != nil {
		l.dropQueue()
		l.conn.Close()
	}
}

// Written returns the number of bytes that have been passed to TCP.
func (l *Link) Written() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written
}

// Close closes the connection and drops the queue.
func (l *Link) Close() {
	l.mu.Lock()
	l.dropQueue()
	l.changed.Broadcast()
	l.mu.Unlock()
	l.conn.Close()
}

// dropQueue marks the Link as closed and drops what is queued. The caller holds l.mu.
func (l *Link) dropQueue() {
	l.closed = true
	l.total.add(-len(l.queue))
	l.queue = nil
}

// Drain waits until the queue has been written or the deadline has passed. After the deadline it drops all bytes.
func (l *Link) Drain(deadline time.Time) {
	expiry := time.AfterFunc(time.Until(deadline), func() {
		l.mu.Lock()
		l.dropQueue()
		l.changed.Broadcast()
		l.mu.Unlock()
	})
	defer expiry.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for (len(l.queue) > 0 || l.writing) && !l.closed {
		l.changed.Wait()
	}
}
