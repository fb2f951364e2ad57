// Package standin holds what stands in for the outside world on loopback sockets: scripted M3UA endpoints, callers
// and subscribers, processors with their delays and troubles on the way to a call server, the exchange list, and
// fleets made of them. It is for tests and trials; nothing of the product imports it but the command try.
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

// Endpoint is one end of an M3UA association on a socket that sends and gets ISUP messages by script. Its
// handlers run one at a time.
type Endpoint struct {
	Own, Peer uint32 // point codes
	Role      m3ua.Role
	OnMessage func(e *Endpoint, m *isup.Message)
	OnState   func(e *Endpoint, s m3ua.State)

	mu     sync.Mutex
	began  time.Time
	conn   net.Conn
	assoc  *m3ua.Assoc
	wg     sync.WaitGroup
	closed bool
	stop   chan struct{}
	active chan struct{}
	once   sync.Once
}

// endpointWrite is how long a write of a stand-in may take before it gives its connection up.
const endpointWrite = 5 * time.Second

// Dial connects as an asking end (ASP or IPSP client), and again whenever the connection is lost.
func (e *Endpoint) Dial(addr string) {
	e.prepare()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		for !e.isClosed() {
			if conn, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
				e.serve(conn)
			}
			select {
			case <-e.stop:
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
}

// Serve works on an accepted connection in the background.
func (e *Endpoint) Serve(conn net.Conn) {
	e.prepare()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.serve(conn)
	}()
}

func (e *Endpoint) prepare() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop == nil {
		e.stop, e.active, e.began = make(chan struct{}), make(chan struct{}), time.Now()
		e.assoc = m3ua.NewAssoc(m3ua.Settings{Role: e.Role, ASPID: e.Own, TAck: 500 * time.Millisecond})
	}
}

func (e *Endpoint) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

func (e *Endpoint) now() time.Duration { return time.Since(e.began) }

func (e *Endpoint) serve(conn net.Conn) {
	defer conn.Close()
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.conn = conn
	e.assoc.Connected(e.now())
	e.settle()
	e.mu.Unlock()
	buf := make([]byte, 16384)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond)) // the state machine has timers too
		n, err := conn.Read(buf)
		e.mu.Lock()
		if n > 0 {
			e.assoc.Receive(e.now(), append([]byte(nil), buf[:n]...))
		}
		e.assoc.Tick(e.now())
		e.settle()
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
		e.settle()
	}
}

// settle passes on what the association has to say. The lock is held; handlers may call Send.
func (e *Endpoint) settle() {
	for {
		ind := e.assoc.Indications()
		e.flush()
		if len(ind) == 0 {
			return
		}
		for _, i := range ind {
			e.indicated(i)
		}
	}
}

func (e *Endpoint) indicated(i m3ua.Indication) {
	switch i.Kind {
	case m3ua.IndState:
		if i.State == m3ua.Active {
			e.once.Do(func() { close(e.active) })
		}
		if e.OnState != nil {
			e.OnState(e, i.State)
		}
	case m3ua.IndData:
		if m, err := isup.Decode(i.Data.Data); err == nil && e.OnMessage != nil {
			e.OnMessage(e, m)
		}
	case m3ua.IndClose:
		if e.conn != nil {
			e.conn.Close()
		}
	}
}

func (e *Endpoint) flush() {
	if b := e.assoc.Output(); len(b) > 0 && e.conn != nil {
		_ = e.conn.SetWriteDeadline(time.Now().Add(endpointWrite))
		if _, err := e.conn.Write(b); err != nil {
			e.conn.Close()
		}
	}
}

// Do runs f while no handler runs. Send may be called inside.
func (e *Endpoint) Do(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	e.settle()
}

// Send sends a message; call it from a handler or inside Do. It fails while the association is not active.
func (e *Endpoint) Send(m *isup.Message) error {
	b, err := m.Append(nil)
	if err != nil {
		return err
	}
	err = e.assoc.Send(m3ua.ProtocolData{OPC: e.Own, DPC: e.Peer, SI: m3ua.ServiceISUP, NI: 2, SLS: byte(m.CIC & 15), Data: b})
	if err != nil {
		return fmt.Errorf("standin: %d to %d: %w", e.Own, e.Peer, err)
	}
	return nil
}

// Active is closed when the association takes traffic for the first time.
func (e *Endpoint) Active() <-chan struct{} { return e.active }

// Break closes the connection as a network fault would. An endpoint that dials connects again.
func (e *Endpoint) Break() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}

// Close ends the endpoint.
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
