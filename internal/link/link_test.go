package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// connPair returns both ends of a loopback connection.
func connPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// While a peer does not read, a Link made by NewDirect queues the bytes that TCP does not accept, up to the bound. They are written
// in order once the peer reads.
func TestDirectLinkQueuesWhatTCPDoesNotAccept(t *testing.T) {
	near, far := connPair(t)
	blocked := make(chan bool, 2)
	link := NewDirect(near, func(isBlocked bool) { blocked <- isBlocked })
	const maxQueued = 1 << 20
	var want []byte
	chunk := make([]byte, 64<<10)
	for i := 0; len(blocked) == 0; i++ {
		for j := range chunk {
			chunk[j] = byte(i + j)
		}
		if !link.Write(chunk, maxQueued) {
			t.Fatal("the queue overflowed before the link reported that bytes wait")
		}
		want = append(want, chunk...)
	}
	if !<-blocked {
		t.Fatal("the first report was that no bytes wait")
	}
	for link.Write(chunk, maxQueued) {
		want = append(want, chunk...)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(far, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatal("bytes arrived in another order")
	}
	if <-blocked {
		t.Fatal("bytes still wait after all were read")
	}
	if link.Written() != int64(len(want)) {
		t.Fatalf("%d bytes written, %d were sent", link.Written(), len(want))
	}
	link.Close()
	if !link.Write(chunk, maxQueued) {
		t.Fatal("a closed link refuses bytes: its end is reported by the reader")
	}
}

func TestDrainWaitsForWhatIsQueued(t *testing.T) {
	near, far := connPair(t)
	link := New(near)
	ended := make(chan struct{})
	go func() { defer close(ended); link.WriteLoop() }()
	link.Write([]byte("last words"), 100)
	link.Drain(time.Now().Add(5 * time.Second))
	link.Close()
	<-ended
	if got, err := io.ReadAll(far); err != nil || string(got) != "last words" {
		t.Fatalf("%q, %v", got, err)
	}
}

// failingListener is a listener whose first accept fails, as it does when descriptors run out.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

func TestAcceptContinuesAfterAnError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted, ended := make(chan net.Conn), make(chan struct{})
	go func() {
		defer close(ended)
		Accept(&failingListener{Listener: listener}, func(conn net.Conn) { accepted <- conn })
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	(<-accepted).Close()
	listener.Close()
	<-ended
	slots := make(Semaphore, 1) // bounds the connections that an accept loop serves
	if !slots.TryAcquire() || slots.TryAcquire() {
		t.Fatal("a semaphore with one slot must be acquired once and not twice")
	}
	if slots.Release(); !slots.TryAcquire() {
		t.Fatal("the slot cannot be acquired again after its release")
	}
}
