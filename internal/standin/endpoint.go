// Package standin runs fleets of call servers on loopback sockets with stand-ins for their environment: M3UA endpoints
// with callers and subscriber lines, links and processors with their delays, fault injection, and service discovery. It is
// for tests and trials. Within the product only the commands that play a fleet import it.
package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// Endpoint is one end of an M3UA association on a socket, which sends and receives ISUP messages. Its handlers run one at
// a time.
type Endpoint struct {
	OwnPointCode, PeerPointCode uint32
	Role                        m3ua.Role
	OnMessage                   func(e *Endpoint, m *isup.Message)
	OnState                     func(e *Endpoint, s m3ua.State)

	mu         sync.Mutex
	createdAt  time.Time // origin of the association's clock
	conn       net.Conn  // nil: not connected
	assoc      *m3ua.Assoc
	wg         sync.WaitGroup
	closed     bool
	stop       chan struct{} // closed by Close
	active     chan struct{} // closed when the association becomes active for the first time
	activeOnce sync.Once
}

// writeTimeout is the time that a write may take before the endpoint closes its connection.
const writeTimeout = 5 * time.Second

const (
	reconnectInterval = 50 * time.Millisecond
	timerInterval     = 500 * time.Millisecond // longest time between two checks of the association's timers
	ackTimeout        = 500 * time.Millisecond // T(ack) of M3UA
)

// Dial connects as a client (ASP or IPSP client), and reconnects whenever the connection is lost.
func (e *Endpoint) Dial(addr string) {
	e.initialize()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		for !e.isClosed() {
			if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
				e.serve(conn)
			}
			select {
			case <-e.stop:
			case <-time.After(reconnectInterval):
			}
		}
	}()
}

// Serve handles an accepted connection in the background.
func (e *Endpoint) Serve(conn net.Conn) {
	e.initialize()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.serve(conn)
	}()
}

// initialize creates the association on the first call.
func (e *Endpoint) initialize() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop == nil {
		e.stop, e.active, e.createdAt = make(chan struct{}), make(chan struct{}), time.Now()
		e.assoc = m3ua.NewAssoc(m3ua.Settings{Role: e.Role, ASPID: e.OwnPointCode, TAck: ackTimeout})
	}
}

// isClosed reports whether Close has been called.
func (e *Endpoint) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// now returns the time on the association's clock.
func (e *Endpoint) now() time.Duration { return time.Since(e.createdAt) }

// serve handles a connection until it is lost.
func (e *Endpoint) serve(conn net.Conn) {
	defer conn.Close()
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.conn = conn
	e.assoc.Connected(e.now())
	e.handleIndications()
	e.mu.Unlock()
	buf := make([]byte, 16384)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(timerInterval)) // so that timers are checked while nothing arrives
		n, err := conn.Read(buf)
		e.mu.Lock()
		if n > 0 {
			e.assoc.Receive(e.now(), append([]byte(nil), buf[:n]...))
		}
		e.assoc.Tick(e.now())
		e.handleIndications()
		e.mu.Unlock()
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			break
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == conn {
		e.conn = nil
		e.assoc.Lost()
		e.handleIndications()
	}
}

// handleIndications calls the handlers for the association's indications and writes its output. The lock is held; handlers
// may call Send.
func (e *Endpoint) handleIndications() {
	for {
		indications := e.assoc.Indications()
		e.flush()
		if len(indications) == 0 {
			return
		}
		for _, indication := range indications {
			e.handleIndication(indication)
		}
	}
}

// handleIndication calls the handler for one indication.
func (e *Endpoint) handleIndication(indication m3ua.Indication) {
	switch indication.Kind {
	case m3ua.IndState:
		if indication.State == m3ua.Active {
			e.activeOnce.Do(func() { close(e.active) })
		}
		if e.OnState != nil {
			e.OnState(e, indication.State)
		}
	case m3ua.IndData:
		if message, err := isup.Decode(indication.Data.Data); err == nil && e.OnMessage != nil {
			e.OnMessage(e, message)
		}
	case m3ua.IndClose:
		if e.conn != nil {
			e.conn.Close()
		}
	}
}

// flush writes the association's output to the connection.
func (e *Endpoint) flush() {
	if output := e.assoc.Output(); len(output) > 0 && e.conn != nil {
		_ = e.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := e.conn.Write(output); err != nil {
			e.conn.Close()
		}
	}
}

// Do runs f while no handler runs. f may call Send.
func (e *Endpoint) Do(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	e.handleIndications()
}

// Send sends a message. It must be called from a handler or inside Do, and fails while the association is not active.
func (e *Endpoint) Send(message *isup.Message) error {
	encoded, err := message.Append(nil)
	if err != nil {
		return err
	}
	err = e.assoc.Send(m3ua.ProtocolData{OPC: e.OwnPointCode, DPC: e.PeerPointCode, SI: m3ua.ServiceISUP, NI: 2,
		SLS: byte(message.CIC & 15), Data: encoded})
	if err != nil {
		return fmt.Errorf("standin: send from point code %d to %d: %w", e.OwnPointCode, e.PeerPointCode, err)
	}
	return nil
}

// Active returns a channel that is closed when the association becomes active for the first time.
func (e *Endpoint) Active() <-chan struct{} { return e.active }

// Break closes the connection as a network fault would. An endpoint that dials reconnects.
func (e *Endpoint) Break() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}

// Close stops the endpoint and waits for its goroutines.
func (e *Endpoint) Close() {
	e.mu.Lock()
	if !e.closed && e.stop != nil {
		e.closed = true
		close(e.stop)
		if e.conn != nil {
			e.conn.Close()
		}
	}
	e.mu.Unlock()
	e.wg.Wait()
}
