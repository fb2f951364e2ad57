package server

import (
	"context"
	"net"
	"sync"
	"time"
)

// link is one connection. Its writer takes all that has come together since its last write, so that a burst
// costs few system calls; its queue is bounded by the bytes that wait.
type link struct {
	conn    net.Conn
	mu      sync.Mutex
	wake    *sync.Cond
	queue   []byte
	spare   []byte
	done    int64
	writing bool
	closed  bool
}

func newLink(conn net.Conn) *link {
	l := &link{conn: conn}
	l.wake = sync.NewCond(&l.mu)
	return l
}

// write queues bytes; false: more than most would wait.
func (l *link) write(b []byte, most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return true // its end is on the way to the loop
	}
	if len(l.queue)+len(b) > most {
		return false
	}
	l.queue = append(l.queue, b...)
	l.wake.Broadcast()
	return true
}

func (l *link) writeLoop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for len(l.queue) == 0 && !l.closed {
			l.wake.Wait()
		}
		if l.closed {
			return
		}
		b := l.queue
		l.queue, l.writing = l.spare[:0], true
		l.mu.Unlock()
		n, err := l.conn.Write(b)
		l.mu.Lock()
		l.done += int64(n)
		l.spare, l.writing = b, false
		l.wake.Broadcast()
		if err != nil {
			l.closed = true
			l.conn.Close()
			return
		}
	}
}

// written is how many bytes have been handed to TCP.
func (l *link) written() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.wake.Broadcast()
	l.mu.Unlock()
	l.conn.Close()
}

// drain waits until all has been written, or the deadline.
func (l *link) drain(deadline time.Time) {
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

// stopContext is a context that ends with a channel.
type stopContext struct{ stop <-chan struct{} }

func (c stopContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (c stopContext) Done() <-chan struct{}       { return c.stop }
func (c stopContext) Value(any) any               { return nil }
func (c stopContext) Err() error {
	select {
	case <-c.stop:
		return context.Canceled
	default:
		return nil
	}
}
