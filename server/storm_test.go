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

// stormClients is the number of clients that connect, lose their connections and connect again, all at once.
const stormClients = 1000

// connectClient connects a client and waits until it is active.
func connectClient(addr string, pointCode uint32) (net.Conn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	assoc := m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, ASPID: pointCode, HeartbeatInterval: -1})
	assoc.Connected(0)
	buffer := make([]byte, 4096)
	for assoc.State() != m3ua.Active {
		if _, err := conn.Write(assoc.Output()); err != nil {
			return conn, err
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return conn, err
		}
		assoc.Receive(0, append([]byte(nil), buffer[:n]...))
	}
	return conn, nil
}

// All clients become active when they connect at once, and again after all connections were lost.
func TestConnectionStorm(t *testing.T) {
	var peers strings.Builder
	for i := range stormClients {
		fmt.Fprintf(&peers, "{ name: 'c%d', kind: 'client', point_code: %d, circuits: { first: 1, count: 2 } },\n", i, 3000+i)
	}
	s := startServerWith(t, strings.Replace(testSettings, "{ name: 'counters'", peers.String()+"{ name: 'counters'", 1))
	for round := range 2 {
		conns := make([]net.Conn, stormClients)
		var clients sync.WaitGroup
		for i := range conns {
			clients.Add(1)
			go func() {
				defer clients.Done()
				var err error
				if conns[i], err = connectClient(s.Addr().String(), uint32(3000+i)); err != nil {
					t.Errorf("round %d, client %d: %v", round, i, err)
				}
			}()
		}
		clients.Wait()
		active := 0
		if err := s.Do(func(r *router.Router, _ time.Duration) {
			for _, association := range r.Associations() {
				if association.State == m3ua.Active {
					active++
				}
			}
		}); err != nil {
			t.Fatal(err)
		}
		if active != stormClients {
			t.Errorf("round %d: %d of %d clients are active", round, active, stormClients)
		}
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	}
}

// A connection above the maximum is refused with the error code of RFC 4666.
func TestTooManyConnections(t *testing.T) {
	s := startServerWith(t, strings.Replace(testSettings, "queue_bytes: 65536", "connections: 1", 1))
	connectPeer(t, s, 2001)
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	buffer := make([]byte, 256)
	n, _ := conn.Read(buffer)
	message, err := m3ua.Decode(buffer[:n])
	if err != nil {
		t.Fatalf("%x: %v", buffer[:n], err)
	}
	if code, _ := message.Uint32(m3ua.TagErrorCode); m3ua.ErrorCode(code) != m3ua.ErrBlocking {
		t.Errorf("error code 0x%02x", code)
	}
}
