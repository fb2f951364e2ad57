package link

import (
	"context"
	"errors"
	"net"
	"time"
)

// Accept accepts connections until the listener is closed and passes each to handle. After another error, such as a lack of
// descriptors or memory, it waits and tries again, since the listener itself still works.
func Accept(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		handle(conn)
	}
}

// acceptRetryDelay is the time between a failed accept and the next one.
const acceptRetryDelay = 5 * time.Millisecond

// Semaphore is a counting semaphore that bounds how many connections are served at once.
type Semaphore chan struct{}

// TryAcquire acquires a slot and reports whether one was free.
func (s Semaphore) TryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// Release gives a slot back.
func (s Semaphore) Release() { <-s }

// ContextFromChannel returns a context that is cancelled when stop is closed.
func ContextFromChannel(stop <-chan struct{}) context.Context { return stopContext{stop} }

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
