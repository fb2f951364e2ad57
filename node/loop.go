package node

import (
	"net"
	"runtime"
	"time"

	"finchlatch/callserver"
)

// enqueueAccepted passes an accepted connection to the loop, once fewer than maxUnhandled others wait for it.
func (n *Node) enqueueAccepted(conn net.Conn) {
	select {
	case n.unhandled <- struct{}{}:
		n.accepted <- conn // has room for all that are unhandled
		return
	case <-n.stop:
	}
	conn.Close()
}

// closeUnhandled closes the connections that the loop has not handled.
func (n *Node) closeUnhandled() {
	for {
		select {
		case conn := <-n.accepted:
			conn.Close()
		case in := <-n.inputs:
			if in.conn != nil {
				in.conn.Close()
			}
		default:
			return
		}
	}
}

// enqueue passes an input to the loop; false: the Node has stopped. What comes on connections that have carried nothing of callers waits in
// a queue of its own, but for the first chunk, which may be a caller's set-up.
func (n *Node) enqueue(in input) bool {
	queue := n.inputs
	if in.peer != nil && in.peer.accepted && in.peer.hasDelivered && !in.peer.fromCallers.Load() {
		queue = n.clientInputs
	}
	select {
	case queue <- in:
		return true
	case <-n.stop:
		return false
	}
}

// totalsInterval is the time between two log records of the totals.
const totalsInterval = 10 * time.Second

// loop is the event loop, which owns the server. Inputs that are ready together are applied as one batch with the same time.
func (n *Node) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	totalsTicker := time.NewTicker(totalsInterval)
	defer totalsTicker.Stop()
	n.applyEffects()
	for {
		n.resetTimer(timer)
		var startedAt time.Duration
		select {
		case conn := <-n.accepted:
			startedAt = n.now()
			n.applyAccepted(startedAt, conn)
			n.applyInputsBeforeTimers()
		case in := <-n.inputs:
			startedAt = n.now()
			n.applyAllAccepted(startedAt)
			n.applyBatch(in)
			n.applyClientInputs()
		case in := <-n.clientInputs:
			startedAt = n.now()
			n.applyAllAccepted(startedAt)
			n.applyReadyInputs()
			n.applyInput(n.now(), in)
			n.applyClientInputs()
		case <-timer.C:
			startedAt = n.now()
			n.applyInputsBeforeTimers()
		case <-totalsTicker.C:
			startedAt = n.now()
			n.server.LogTotals()
			n.logPauses()
			n.applyInputsBeforeTimers()
		case <-n.reloadRequests:
			startedAt = n.now()
			n.reloadConfig()
			n.applyInputsBeforeTimers()
		case <-n.drainRequests:
			startedAt = n.now()
			if n.drainStartedAt == 0 {
				n.drainStartedAt = n.now()
				n.log.Info("draining")
			}
			n.applyInputsBeforeTimers()
		case <-n.stop:
			n.closeAll()
			return
		}
		n.server.Apply(callserver.Input{At: n.now(), Kind: callserver.InTimer})
		n.applyEffects()
		n.resumeReaders(startedAt)
		if n.drainStartedAt > 0 && n.advanceDrain() {
			n.closeAll()
			return
		}
	}
}

// applyAccepted registers a connection that was accepted.
func (n *Node) applyAccepted(now time.Duration, conn net.Conn) {
	n.unhandled.Release()
	in := callserver.Input{At: now, Kind: callserver.InAccepted, Conn: n.server.NewConn(), From: conn.RemoteAddr().String()}
	n.serve(in.Conn, conn, true)
	n.server.Apply(in)
}

// applyAllAccepted registers the connections that wait. They come before what is read on others, which may be much.
func (n *Node) applyAllAccepted(now time.Duration) {
	for {
		select {
		case conn := <-n.accepted:
			n.applyAccepted(now, conn)
		default:
			return
		}
	}
}

// applyInputsBeforeTimers applies the inputs that are ready before timers fire: after a pause of the process, timers and
// received bytes are due together, and no attempt must begin for a caller who left during the pause. The sleep gives
// readers that have not run since then the time to do so.
func (n *Node) applyInputsBeforeTimers() {
	if due, ok := n.server.NextTimer(); ok && n.now()-due > overdueThreshold {
		time.Sleep(time.Millisecond)
	}
	n.applyAllAccepted(n.now())
	n.applyReadyInputs()
	n.applyClientInputs()
}

// applyReadyInputs applies the inputs that are ready, as one batch.
func (n *Node) applyReadyInputs() {
	select {
	case in := <-n.inputs:
		n.applyBatch(in)
	default:
	}
}

// applyClientInputs applies what has come on connections that have carried nothing of callers, for maxTurn. However many clients there
// are, the timers and the inputs of calls come again soon.
func (n *Node) applyClientInputs() {
	for startedAt := n.now(); n.now()-startedAt < maxTurn; {
		select {
		case in := <-n.clientInputs:
			n.applyInput(n.now(), in)
		default:
			return
		}
	}
}

// resetTimer sets the timer to the next timer of the server or the next check of a drain, whichever comes first.
func (n *Node) resetTimer(timer *time.Timer) {
	wait := time.Hour
	if due, ok := n.server.NextTimer(); ok {
		wait = max(0, due-n.now())
	}
	if n.drainStartedAt > 0 {
		wait = min(wait, drainCheckInterval)
	}
	timer.Reset(wait)
}

// applyBatch applies an input and up to maxBatch others that are ready. There is one chunk of each connection among them at the most, as
// readers go on after the batch (see resumeReaders). If they take longer than maxTurn, effects are applied and connections
// accepted between them.
func (n *Node) applyBatch(in input) {
	now := n.now()
	n.applyInput(now, in)
	for range maxBatch {
		if n.now()-now > maxTurn {
			n.applyEffects()
			runtime.Gosched() // connections may be accepted meanwhile
			now = n.now()
			n.applyAllAccepted(now)
		}
		select {
		case in = <-n.inputs:
			n.applyInput(now, in)
		default:
			return
		}
	}
}

// logPauses logs how often and how long connections were not read since the last record because they take too much of the loop's time.
func (n *Node) logPauses() {
	if n.pauses > 0 {
		n.log.Info("connections not read for a while", "pauses", n.pauses, "paused", n.pausedFor, "unread_by_callers", n.callerQueues.Queued())
	}
	n.pauses, n.pausedFor = 0, 0
}

// resumeReaders lets the readers go on whose chunks were handled in a turn that began at some time, those of connections that take too
// much time later (see pacer).
func (n *Node) resumeReaders(turnStartedAt time.Duration) {
	if len(n.handled) == 0 {
		return
	}
	now := n.now()
	var applied time.Duration
	for _, peer := range n.handled {
		applied += peer.applyTime
	}
	for _, peer := range n.handled {
		cost := time.Duration(float64(now-turnStartedAt) * float64(peer.applyTime) / float64(max(applied, 1)))
		share := clientShare
		if peer.fromCallers.Load() {
			share = callerShare
		}
		if pause := peer.pacer.charge(now, cost, share); peer.accepted && pause > 0 {
			n.pauses++
			n.pausedFor += pause
			time.AfterFunc(pause, func() { peer.resume <- struct{}{} })
		} else {
			peer.resume <- struct{}{}
		}
	}
	clear(n.handled)
	n.handled = n.handled[:0]
}

// applyInput registers a connection that has come up or removes one that has ended, and applies the input to the server. Input
// from a connection that the server has closed is dropped.
func (n *Node) applyInput(now time.Duration, in input) {
	in.At = now
	switch in.Kind {
	case callserver.InConnected:
		n.serve(in.Conn, in.conn, false)
	case callserver.InReceive:
		if n.peers[in.Conn] == in.peer {
			in.Delay = now - in.receivedAt
			in.Left = in.Left || in.Delay > staleInput && in.peer.leftMeanwhile()
			startedAt := n.now()
			n.server.Apply(in.Input)
			in.peer.applyTime = n.now() - startedAt
			in.peer.fromCallers.Store(n.server.CarriesCalls(in.Conn))
		}
		n.handled = append(n.handled, in.peer)
		return
	case callserver.InClosed:
		if n.peers[in.Conn] != in.peer {
			return
		}
		delete(n.peers, in.Conn)
		in.Delay = now - in.receivedAt
	}
	n.server.Apply(in.Input)
}
