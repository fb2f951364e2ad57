package node

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"finchlatch/callserver"
	"finchlatch/internal/link"
)

// serve registers a connection, which was accepted or dialled, and starts its reader.
func (n *Node) serve(id callserver.ConnID, conn net.Conn, accepted bool) {
	peer := &peerConn{id: id, accepted: accepted, resume: make(chan struct{}, 1)}
	peer.Link = link.NewDirect(conn, func(blocked bool) {
		in := callserver.Input{Kind: callserver.InWriteBlocked, Conn: id, Blocked: blocked}
		if blocked { // reported on the goroutine of the loop, the only one that writes, which must not wait for itself
			n.selfInputs = append(n.selfInputs, in)
			return
		}
		n.enqueue(input{Input: in})
	})
	if accepted {
		peer.CountIn(&n.callerQueues)
	}
	n.peers[id] = peer
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		n.read(peer)
		peer.Close()
	}()
}

// read passes received bytes to the loop, one chunk at a time, so that a fast sender does not starve other connections.
func (n *Node) read(peer *peerConn) {
	reader := newChunkReader(peer.Conn(), peer.accepted)
	for {
		chunk, closed, err := reader.next()
		if len(chunk) > 0 && !peer.discard.Load() {
			in := callserver.Input{Kind: callserver.InReceive, Conn: peer.id, Bytes: chunk, Left: closed}
			if !n.enqueue(input{Input: in, receivedAt: n.now(), peer: peer}) {
				return
			}
			peer.hasDelivered = true
			select {
			case <-peer.resume:
			case <-n.stop:
				return
			}
		}
		if err != nil {
			if !peer.discard.Load() {
				n.enqueue(input{Input: callserver.Input{Kind: callserver.InClosed, Conn: peer.id, Reset: err != io.EOF}, receivedAt: n.now(), peer: peer})
			}
			return
		}
	}
}

// leftMeanwhile reports whether a client has closed its connection since its bytes were read.
func (p *peerConn) leftMeanwhile() bool {
	tcp, ok := p.Conn().(*net.TCPConn)
	if !ok || !p.accepted {
		return false
	}
	raw, err := tcp.SyscallConn()
	return err == nil && closedByPeer(raw)
}

// applyEffects applies the effects of the server, and the inputs that arise from them, until there are no more.
func (n *Node) applyEffects() {
	for effects := n.server.Effects(); len(effects) > 0; effects = n.server.Effects() {
		for i := 0; i < len(effects); {
			effect, count := joinWrites(effects[i:])
			n.applyEffect(effect)
			i += count
		}
		for _, in := range n.selfInputs {
			in.At = n.now()
			n.server.Apply(in)
		}
		n.selfInputs = n.selfInputs[:0]
	}
	n.discoveryPos.Store(n.server.Position())
}

// joinWrites returns the first effect, joined with those after it that write on the same connection, and the number of effects joined.
func joinWrites(effects []callserver.Effect) (callserver.Effect, int) {
	first, ok := effects[0].(callserver.Write)
	if !ok {
		return effects[0], 1
	}
	count := 1
	for ; count < len(effects); count++ {
		next, ok := effects[count].(callserver.Write)
		if !ok || next.Conn != first.Conn {
			break
		}
		if count == 1 {
			first.Bytes = slices.Clone(first.Bytes)
		}
		first.Bytes = append(first.Bytes, next.Bytes...)
	}
	return first, count
}

func (n *Node) applyEffect(effect callserver.Effect) {
	switch effect := effect.(type) {
	case callserver.Write:
		if peer := n.peers[effect.Conn]; peer != nil && !peer.Write(effect.Bytes, n.maxQueued(peer)) {
			n.log.Warn("peer does not read: connection closed", "peer", peer.Conn().RemoteAddr().String())
			peer.Close()
		}
	case callserver.Close:
		n.closePeer(effect)
	case callserver.HalfClose:
		if peer := n.peers[effect.Conn]; peer != nil {
			if tcp, ok := peer.Conn().(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // where it fails, the next read returns an error
			}
		}
	case callserver.Dial:
		n.dial(effect)
	case callserver.Confirm:
		n.selfInputs = append(n.selfInputs, callserver.Input{Kind: callserver.InWritten})
	case callserver.RequestDiscovery:
		n.discovery.reconnect()
	case callserver.Log:
		n.log.LogAttrs(context.Background(), effect.Level, effect.Text, effect.Attrs...)
	}
}

// maxQueued returns how many bytes a peer may leave unread. What connections from callers leave unread altogether is bounded, too: a
// connection may have as much as is left for the others.
func (n *Node) maxQueued(peer *peerConn) int {
	if !peer.accepted {
		return maxWriteQueue
	}
	return min(maxWriteQueue, n.cfg.Limits.MemoryMB<<20/openBytesDivisor-n.callerQueues.Queued())
}

// closePeer closes a connection. With Close.Linger it is half-closed first and closed after lingerTime, since more bytes may
// still arrive: closing it with unread bytes would send a reset, on which the peer may discard the response that has just been
// written.
func (n *Node) closePeer(request callserver.Close) {
	peer := n.peers[request.Conn]
	if peer == nil {
		return
	}
	delete(n.peers, request.Conn)
	peer.discard.Store(true)
	tcp, ok := peer.Conn().(*net.TCPConn)
	if !request.Linger || !ok || !n.lingerSlots.TryAcquire() {
		peer.Close()
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer n.lingerSlots.Release()
		deadline := time.Now().Add(lingerTime)
		peer.Drain(deadline)
		_ = tcp.CloseWrite()
		select {
		case <-time.After(time.Until(deadline)):
		case <-n.stop:
		}
		peer.Close()
	}()
}

// dial opens a connection to an office.
func (n *Node) dial(request callserver.Dial) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		ctx, cancel := context.WithTimeout(link.ContextFromChannel(n.stop), request.Timeout)
		defer cancel()
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", request.Addr)
		if err != nil {
			n.enqueue(input{Input: callserver.Input{Kind: callserver.InFailed, Conn: request.Conn, Refused: errors.Is(err, syscall.ECONNREFUSED)}})
			return
		}
		if !n.enqueue(input{Input: callserver.Input{Kind: callserver.InConnected, Conn: request.Conn}, conn: conn}) {
			conn.Close()
		}
	}()
}

// closeAll closes all connections. After a drain it first waits until queued bytes have been written, for all connections
// together no longer than a third of killMargin: the rest is for the other steps that are left until SIGKILL.
func (n *Node) closeAll() {
	deadline := time.Now().Add(killMargin / 3)
	for _, peer := range n.peers {
		if n.drainStartedAt > 0 {
			peer.Drain(deadline)
		}
		peer.discard.Store(true)
		peer.Close()
	}
}
