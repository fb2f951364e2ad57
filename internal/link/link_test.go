package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// pair is a connection on loopback, both ends.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// A peer that does not read makes bytes wait, within bounds; what waited goes out in order once it reads.
func TestDirectLinkQueuesWhatTCPDoesNotTake(t *testing.T) {
	near, far := pair(t)
	stuck := make(chan bool, 2)
	l := NewDirect(near, func(on bool) { stuck <- on })
	const most = 1 << 20
	var want []byte
	piece := make([]byte, 64<<10)
	for i := 0; len(stuck) == 0; i++ {
		for j := range piece {
			piece[j] = byte(i + j)
		}
		if !l.Write(piece, most) {
			t.Fatal("the queue overflowed before the link said that it is stuck")
		}
		want = append(want, piece...)
	}
	if !<-stuck {
		t.Fatal("first told that nothing waits")
	}
	for l.Write(piece, most) {
		want = append(want, piece...)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(far, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatal("bytes came in another order")
	}
	if <-stuck {
		t.Fatal("still stuck after all was read")
	}
	if l.Written() != int64(len(want)) {
		t.Fatalf("%d bytes written, %d were sent", l.Written(), len(want))
	}
	l.Close()
	if !l.Write(piece, most) {
		t.Fatal("a closed link refuses bytes: its end is told elsewhere")
	}
}

func TestDrainWaitsForWhatIsQueued(t *testing.T) {
	near, far := pair(t)
	l := New(near)
	ended := make(chan struct{})
	go func() { defer close(ended); l.WriteLoop() }()
	l.Write([]byte("last words"), 100)
	l.Drain(time.Now().Add(5 * time.Second))
	l.Close()
	<-ended
	if got, err := io.ReadAll(far); err != nil || string(got) != "last words" {
		t.Fatalf("%q, %v", got, err)
	}
}

// failing is a listener whose first accept fails as it does when descriptors are short.
type failing struct {
	net.Listener
	failed bool
}

func (f *failing) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

func TestAcceptOutlivesAFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	taken, ended := make(chan net.Conn), make(chan struct{})
	go func() {
		defer close(ended)
		Accept(&failing{Listener: l}, func(c net.Conn) { taken <- c })
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	(<-taken).Close()
	l.Close()
	<-ended
	p := make(Places, 1)
	if !p.Take() || p.Take() {
		t.Fatal("one place holds one")
	}
	if p.Leave(); !p.Take() {
		t.Fatal("a place that was left is free")
	}
}
