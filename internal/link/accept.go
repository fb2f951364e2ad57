package link

import (
	"context"
	"errors"
	"net"
	"time"
)

// Accept takes connections until the listener closes and hands each to take. When descriptors or memory run short
// it waits a moment, since the listener itself is sound.
func Accept(l net.Listener, take func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		take(conn)
	}
}

// acceptPause is the wait after a failed accept.
const acceptPause = 5 * time.Millisecond

// Places bounds how many connections are served at once.
type Places chan struct{}

// Take takes a place, if there is one.
func (p Places) Take() bool {
	select {
	case p <- struct{}{}:
		return true
	default:
		return false
	}
}

// Leave gives a place back.
func (p Places) Leave() { <-p }

// Context is a context that ends with a channel.
func Context(stop <-chan struct{}) context.Context { return stopContext{stop} }

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
