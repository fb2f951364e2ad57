package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"finchlatch/internal/rulecheck"
)

// startEcho starts a Proxy to a server that echoes what it receives.
func startEcho(t *testing.T) (*Environment, *Proxy) {
	t.Helper()
	env := NewEnvironment(rulecheck.NewPlatformChecker(0, 0, 0))
	t.Cleanup(env.Close)
	addr, err := env.serve(func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := env.NewProxy(addr, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	return env, proxy
}

// dialProxy opens a connection through a Proxy.
func dialProxy(t *testing.T, proxy *Proxy) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", proxy.Addr, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echoes reports whether a text written on a connection comes back within the timeout.
func echoes(t *testing.T, conn net.Conn, text string, timeout time.Duration) bool {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return receives(t, conn, text, timeout)
}

// receives reports whether a text arrives on a connection within the timeout.
func receives(t *testing.T, conn net.Conn, text string, timeout time.Duration) bool {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil && string(got) == text
}

const (
	replyTimeout  = 5 * time.Second       // for bytes that must arrive
	silencePeriod = 50 * time.Millisecond // within which nothing may arrive
)

// During a partition bytes are held, and new connections are neither established nor refused. After it the bytes that were held are
// forwarded, and new connections are established.
func TestPartitionHoldsBytesAndConnections(t *testing.T) {
	t.Parallel()
	_, proxy := startEcho(t)
	conn := dialProxy(t, proxy)
	if !echoes(t, conn, "before", replyTimeout) {
		t.Fatal("nothing is forwarded")
	}
	proxy.SetPartition(Partition{Outbound: true, Inbound: true, NewConnections: true})
	if echoes(t, conn, "during", silencePeriod) {
		t.Error("forwarded during the partition")
	}
	if late, err := net.DialTimeout("tcp", proxy.Addr, 2*silencePeriod); err == nil {
		late.Close()
		t.Error("a connection was established during the partition")
	} else if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a connection was refused: %v", err)
	}
	proxy.SetPartition(Partition{})
	if !receives(t, conn, "during", replyTimeout) {
		t.Error("bytes that were held are lost")
	}
	if !echoes(t, dialProxy(t, proxy), "after", replyTimeout) {
		t.Error("nothing is forwarded after the partition")
	}
}

// Many simultaneous connections are all established at once, before and after a partition, however late they are accepted: with a
// short accept queue some would wait for the retransmission of their SYN.
func TestSimultaneousConnectionsAreEstablishedAtOnce(t *testing.T) {
	t.Parallel()
	_, proxy := startEcho(t)
	for _, when := range []string{"before a partition", "after a partition"} {
		proxy.mu.Lock()
		proxy.partition.NewConnections = true // accept pauses, and the queue is not filled
		listener := proxy.listener
		proxy.mu.Unlock()
		proxy.pauseAccept(listener)
		var conns []net.Conn
		for range 4 * maxFillers {
			conns = append(conns, dialProxy(t, proxy))
		}
		proxy.mu.Lock()
		proxy.partition.NewConnections = false
		proxy.changed.Broadcast()
		proxy.mu.Unlock()
		_ = listener.SetDeadline(time.Time{})
		for _, conn := range conns {
			if !echoes(t, conn, when, replyTimeout) {
				t.Fatalf("%s: nothing is forwarded", when)
			}
		}
		proxy.SetPartition(Partition{NewConnections: true})
		proxy.SetPartition(Partition{})
	}
}

// No other listener gets the address of a proxy while it refuses connections, so that it can listen there again.
func TestProxyAddressIsNotReused(t *testing.T) {
	t.Parallel()
	env, proxy := startEcho(t)
	proxy.Refuse()
	seen := map[string]bool{proxy.Addr: true}
	for range 200 {
		other, err := env.NewProxy(proxy.Addr, false, nil)
		if err != nil {
			t.Fatal(err)
		}
		if seen[other.Addr] {
			t.Fatalf("address %s is used twice", other.Addr)
		}
		seen[other.Addr] = true
		if addr := other.listener.Addr().(*net.TCPAddr); addr.Port >= 32768 { // the ephemeral ports of the kernel
			t.Fatalf("%s has an ephemeral port", other.Addr)
		}
	}
	if err := proxy.Accept(); err != nil {
		t.Error(err)
	}
	if !echoes(t, dialProxy(t, proxy), "again", replyTimeout) {
		t.Error("nothing is forwarded")
	}
}

// A partition can block one direction alone.
func TestProxyPartitionsOneDirection(t *testing.T) {
	t.Parallel()
	_, proxy := startEcho(t)
	for name, partition := range map[string]Partition{"out": {Outbound: true}, "in": {Inbound: true}} {
		conn := dialProxy(t, proxy)
		proxy.SetPartition(partition)
		if echoes(t, conn, name, silencePeriod) {
			t.Errorf("%s: forwarded", name)
		}
		proxy.SetPartition(Partition{})
		if !receives(t, conn, name, replyTimeout) {
			t.Errorf("%s: lost", name)
		}
	}
}

// A proxy can act as if the process behind it had ended: open connections are reset and new ones refused, until it accepts again.
// It can also close new connections as soon as they are established.
func TestAProxyRefusesAndAcceptsAgain(t *testing.T) {
	t.Parallel()
	_, proxy := startEcho(t)
	conn := dialProxy(t, proxy)
	if !echoes(t, conn, "x", replyTimeout) {
		t.Fatal("nothing is forwarded")
	}
	proxy.Refuse()
	_ = conn.SetReadDeadline(time.Now().Add(replyTimeout))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the open connection: %v", err)
	}
	if _, err := net.DialTimeout("tcp", proxy.Addr, replyTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v", err)
	}
	if err := proxy.Accept(); err != nil {
		t.Fatal(err)
	}
	if !echoes(t, dialProxy(t, proxy), "y", replyTimeout) {
		t.Error("nothing is forwarded")
	}
	proxy.CloseOnArrival(true)
	closedConn := dialProxy(t, proxy)
	_ = closedConn.SetReadDeadline(time.Now().Add(replyTimeout))
	if _, err := closedConn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a connection that is closed on arrival: %v", err)
	}
}

// A half-close is forwarded, and so are bytes that come back after it.
func TestProxyForwardsHalfClose(t *testing.T) {
	t.Parallel()
	_, proxy := startEcho(t)
	conn := dialProxy(t, proxy)
	if _, err := io.WriteString(conn, "last"); err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(replyTimeout))
	if got, err := io.ReadAll(conn); err != nil || string(got) != "last" {
		t.Errorf("%q, %v", got, err)
	}
}
