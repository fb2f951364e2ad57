package server

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"finchlatch/m3ua"
	"finchlatch/router"
)

// stormClients connect, lose their connections and connect again, all at once.
const stormClients = 1000

// active waits until a client has been made active on a new connection.
func active(addr string, own uint32) (net.Conn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	a := m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, ASPID: own, Beat: -1})
	a.Connected(0)
	buf := make([]byte, 4096)
	for a.State() != m3ua.Active {
		if _, err := conn.Write(a.Output()); err != nil {
			return conn, err
		}
		n, err := conn.Read(buf)
		if err != nil {
			return conn, err
		}
		a.Receive(0, append([]byte(nil), buf[:n]...))
	}
	return conn, nil
}

func TestConnectionStorm(t *testing.T) {
	var peers strings.Builder
	for i := range stormClients {
		fmt.Fprintf(&peers, "{ name: 'c%d', kind: 'client', point_code: %d, circuits: { first: 1, count: 2 } },\n", i, 3000+i)
	}
	s := startWith(t, strings.Replace(settings, "{ name: 'counters'", peers.String()+"{ name: 'counters'", 1))
	for round := range 2 {
		conns := make([]net.Conn, stormClients)
		var all sync.WaitGroup
		for i := range conns {
			all.Add(1)
			go func() {
				defer all.Done()
				var err error
				if conns[i], err = active(s.Addr().String(), uint32(3000+i)); err != nil {
					t.Errorf("round %d, client %d: %v", round, i, err)
				}
			}()
		}
		all.Wait()
		up := 0
		if err := s.Do(func(r *router.Router, _ time.Duration) {
			for _, a := range r.Associations() {
				if a.State == m3ua.Active {
					up++
				}
			}
		}); err != nil {
			t.Fatal(err)
		}
		if up != stormClients {
			t.Errorf("round %d: %d of %d clients are active", round, up, stormClients)
		}
		for _, c := range conns {
			if c != nil {
				c.Close()
			}
		}
	}
}

// TestTooManyConnections: over the cap a connection gets the refusal that the RFC names.
func TestTooManyConnections(t *testing.T) {
	s := startWith(t, strings.Replace(settings, "queue_bytes: 65536", "connections: 1", 1))
	dial(t, s, 2001)
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, 256)
	n, _ := conn.Read(buf)
	m, err := m3ua.Decode(buf[:n])
	if err != nil {
		t.Fatalf("%x: %v", buf[:n], err)
	}
	if code, _ := m.Uint32(m3ua.TagErrorCode); m3ua.ErrorCode(code) != m3ua.ErrBlocking {
		t.Errorf("error code 0x%02x", code)
	}
}
