package node

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// chunkReader reads a connection in chunks. One from callers is read one chunk ahead, so that it is known with a chunk whether its sender has already closed the
// connection: what a caller sent before is given up then.
type chunkReader struct {
	conn    net.Conn
	raw     syscall.RawConn // nil: nothing can be read ahead
	buffers [2][readBufferSize]byte
	current int // the buffer of the chunk that next returned last
	ahead   int // bytes in the other buffer that are the next chunk
	err     error
}

func newChunkReader(conn net.Conn, readsAhead bool) *chunkReader {
	r := &chunkReader{conn: conn}
	if tcp, ok := conn.(*net.TCPConn); ok && readsAhead {
		r.raw, _ = tcp.SyscallConn()
	}
	return r
}

// next returns the next chunk, which is valid until the next call, and whether the other end has closed the connection behind it. After
// an error the chunk is empty.
func (r *chunkReader) next() (chunk []byte, closed bool, err error) {
	size := r.ahead
	r.current, r.ahead = 1-r.current, 0
	if size == 0 {
		if r.err != nil {
			return nil, true, r.err
		}
		if size, err = r.conn.Read(r.buffers[r.current][:]); err != nil {
			return nil, true, err
		}
	}
	r.readAhead()
	closed = r.err != nil || r.ahead > 0 && closedByPeer(r.raw)
	return r.buffers[r.current][:size], closed, nil
}

// readAhead reads what has come already into the other buffer.
func (r *chunkReader) readAhead() {
	if r.raw == nil || r.err != nil {
		return
	}
	var size int
	var err error
	rawErr := r.raw.Read(func(fd uintptr) bool {
		size, err = syscall.Read(int(fd), r.buffers[1-r.current][:])
		return true
	})
	switch {
	case rawErr != nil:
		r.err = rawErr
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
	case err != nil:
		r.err = err
	case size == 0:
		r.err = io.EOF
	default:
		r.ahead = size
	}
}

// The kernel's numbers of the states (RFC 9293) of a connection that the other end has reset or closed.
const (
	tcpClosed    = 7
	tcpCloseWait = 8
)

// closedByPeer reports whether the other end has closed or reset a connection, however much of what came before is unread.
func closedByPeer(raw syscall.RawConn) bool {
	closed := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpCloseWait || info.State == tcpClosed)
	})
	return closed
}
