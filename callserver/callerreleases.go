package callserver

import (
	"cmp"
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/sip"
)

// This file releases established calls toward their callers. A release that was written has not been heard yet: its connection may
// have ended or be cut off, or may be that of an unknown client. It is kept until it counts as heard, and sent on other connections.

// callerRelease is the release of an established call toward its caller.
type callerRelease struct {
	place[*callerRelease]
	call         *activeCall
	cause        byte
	sentOn       []ConnID      // connections on which it was sent and not lost, the latest one last
	firstConn    [1]ConnID     // room for sentOn, as most releases are sent once
	firstSentAt  time.Duration // valid if it was sent
	sentAt       time.Duration // when it was sent last
	sentToCaller bool          // one of them is that of its set-up or claim, or one of known callers
	confirmed    bool          // it was responded to on another connection
}

// Limits on releases toward callers.
const (
	// byeResponseTimeout is how long a caller may take to respond to a BYE before it is sent on another connection. A release must
	// be passed on within 1 s, so there is time for two.
	byeResponseTimeout = 350 * time.Millisecond
	// releaseRepeatTimeout is how long a release is sent on ever more connections that was sent on those of callers without a response,
	// although others were responded to, or that only a client responded to which may not be a caller.
	releaseRepeatTimeout = liveness.EndReportLimit
	maxReleaseCopies     = 32   // connections on which one release is sent before it is sent to known callers
	maxCopiesAtOnce      = 2048 // of all releases together, so that writing them delays no calls
	maxCallerReleases    = 8192
)

// callerReleases holds the releases that do not count as heard yet, at most maxCallerReleases.
type callerReleases struct {
	byWireID map[uint64]*callerRelease
	order    fairOrder[*callerRelease]
}

// add keeps a release. It replaces an earlier one of the same call.
func (c *callerReleases) add(r *callerRelease) {
	if c.byWireID == nil {
		c.byWireID = map[uint64]*callerRelease{}
	}
	if earlier := c.byWireID[r.call.wireID]; earlier != nil {
		c.remove(earlier)
	}
	if len(c.byWireID) >= maxCallerReleases {
		c.remove(c.order.excess())
	}
	c.byWireID[r.call.wireID] = r
	c.order.add(r, r.call.callerConn)
}

// remove drops a release.
func (c *callerReleases) remove(r *callerRelease) {
	if c.byWireID[r.call.wireID] == r {
		delete(c.byWireID, r.call.wireID)
		c.order.remove(r)
	}
}

// waiting returns the number of releases that no connection could carry yet.
func (c *callerReleases) waiting() (count int) {
	for _, r := range c.byWireID {
		if len(r.sentOn) == 0 {
			count++
		}
	}
	return count
}

// releaseToCaller releases an established call toward its caller.
func (s *Server) releaseToCaller(call *activeCall, cause byte) {
	r := &callerRelease{call: call, cause: cause}
	r.sentOn = r.firstConn[:0]
	s.callerReleases.add(r)
	if !s.sendOnBestConn(r) {
		s.logWithHistory("release waits for a caller connection", call)
	}
}

// sendOnBestConn sends a release on the best connection on which it was not sent yet, and reports whether there is one.
func (s *Server) sendOnBestConn(r *callerRelease) bool {
	if own := r.call.callerConn; own != nil && s.callerConns[own.id] == own && !slices.Contains(r.sentOn, own.id) {
		s.sendCallerRelease(own, r)
		return true
	}
	conns := s.bestConnsForRelease(r, 1)
	if len(conns) == 0 {
		return false
	}
	s.sendCallerRelease(conns[0], r)
	return true
}

// bestConnsForRelease returns up to limit connections on which a release may be sent and was not sent yet, the best one first.
func (s *Server) bestConnsForRelease(r *callerRelease, limit int) []*callerConn {
	best := make([]*callerConn, 0, limit)
	for _, caller := range s.callerConns {
		if caller.rank() == notCallers || slices.Contains(r.sentOn, caller.id) ||
			len(best) == limit && (limit == 0 || compareForRelease(caller, best[limit-1], r) > 0) {
			continue
		}
		if len(best) == limit {
			best = best[:limit-1]
		}
		at, _ := slices.BinarySearchFunc(best, caller, func(a, b *callerConn) int { return compareForRelease(a, b, r) })
		best = slices.Insert(best, at, caller)
	}
	return best
}

// compareForRelease orders connections for a release, the best one first: those with the highest rank, then those on which something
// has come since it was last sent, then those that were used last.
func compareForRelease(a, b *callerConn, r *callerRelease) int {
	if a.rank() != b.rank() {
		return cmp.Compare(b.rank(), a.rank())
	}
	aActive, bActive := a.lastActivity > r.sentAt, b.lastActivity > r.sentAt
	switch {
	case aActive && !bActive:
		return -1
	case bActive && !aActive:
		return 1
	}
	return cmp.Or(cmp.Compare(b.lastUsed, a.lastUsed), cmp.Compare(b.id, a.id))
}

// byeCSeq is the sequence number of a BYE, the only request sent toward the caller of a call.
const byeCSeq = 2

// sendCallerRelease writes a release on a connection.
func (s *Server) sendCallerRelease(caller *callerConn, r *callerRelease) {
	if len(r.sentOn) == 0 {
		r.firstSentAt = s.now
	}
	r.sentOn, r.sentAt, r.sentToCaller = append(r.sentOn, caller.id), s.now, r.sentToCaller || s.isCallerOf(caller, r)
	s.trace("to caller", "BYE", caller.remoteAddr, caller.id, r.call.callID, int(r.cause))
	s.emit(Write{Conn: caller.id, Bytes: sip.Request(nil, "BYE", "sip:"+r.call.calledNumber+"@net", r.call.callID, byeCSeq, int(r.cause))})
	s.armTimer(s.heardAfter(r), timer{kind: timerCheckCallerRelease, targetID: r.call.wireID})
}

// heardAfter returns how long after it was last sent a release is checked: callers may not respond, so that one that was sent to them
// counts as heard once its connection has been up for connLossDelay. The end of a connection shows in this time.
func (s *Server) heardAfter(r *callerRelease) time.Duration {
	if r.sentToCaller && !s.byesAnswered {
		return connLossDelay
	}
	return byeResponseTimeout
}

// isCallerOf reports whether a connection is known to be from callers, those of a release among them.
func (s *Server) isCallerOf(caller *callerConn, r *callerRelease) bool {
	return caller == r.call.callerConn || caller.rank() == knownCallers
}

// checkCallerRelease is due when a release may count as heard. Otherwise it is sent on another connection, and after that on others.
func (s *Server) checkCallerRelease(wireID uint64) {
	r := s.callerReleases.byWireID[wireID]
	if r == nil || len(r.sentOn) == 0 || s.now < r.sentAt+s.heardAfter(r) {
		return
	}
	switch {
	case r.sentToCaller && !s.byesAnswered,
		(r.sentToCaller || r.confirmed) && s.now >= r.firstSentAt+releaseRepeatTimeout:
		s.callerReleases.remove(r)
	default:
		s.repeatCallerRelease(r)
	}
}

// repeatCallerRelease sends a release on another connection, and the next time on all others up to maxReleaseCopies, or on fewer if many
// releases are repeated. Without any, one that was confirmed or sent to callers is checked again. Any other one waits for evidence
// that a connection is from callers.
func (s *Server) repeatCallerRelease(r *callerRelease) {
	limit := 1
	if len(r.sentOn) > 1 {
		limit = min(max(0, maxReleaseCopies-len(r.sentOn)), max(1, maxCopiesAtOnce/len(s.callerReleases.byWireID)))
	}
	conns := s.bestConnsForRelease(r, limit)
	for _, caller := range conns {
		s.sendCallerRelease(caller, r)
	}
	if len(conns) == 0 && (r.confirmed || r.sentToCaller) {
		s.armTimer(byeResponseTimeout, timer{kind: timerCheckCallerRelease, targetID: r.call.wireID})
	}
}

// handleByeResponse handles the response to a BYE. On a connection that is not known to be from callers it does not show that they have
// heard it: any client may respond.
func (s *Server) handleByeResponse(caller *callerConn, wireID uint64, status int) {
	r := s.callerReleases.byWireID[wireID]
	switch {
	case r == nil || !slices.Contains(r.sentOn, caller.id) || status < 200:
	case s.isCallerOf(caller, r):
		s.byesAnswered = true
		s.callerReleases.remove(r)
	case status < 300:
		r.confirmed = true
	}
}

// sendWaitingCallerReleases sends the releases on a connection that were not sent to known callers yet, as there is new evidence that
// it is from callers.
func (s *Server) sendWaitingCallerReleases(caller *callerConn) {
	for _, r := range s.callerReleases.order.values() {
		switch known := caller.rank() == knownCallers; {
		case r.sentToCaller:
		case slices.Contains(r.sentOn, caller.id) && known && r.confirmed:
			s.callerReleases.remove(r)
		case slices.Contains(r.sentOn, caller.id) && known:
			r.sentToCaller = true
			s.armTimerAt(r.sentAt+s.heardAfter(r), timer{kind: timerCheckCallerRelease, targetID: r.call.wireID})
		case !slices.Contains(r.sentOn, caller.id) && (known || len(r.sentOn) < maxReleaseCopies):
			s.sendCallerRelease(caller, r)
		}
	}
}

// resendLostCallerReleases sends the releases again that may be lost on a connection which has ended.
func (s *Server) resendLostCallerReleases(caller *callerConn) {
	for _, r := range s.callerReleases.order.values() {
		i := slices.Index(r.sentOn, caller.id)
		if i < 0 || i < len(r.sentOn)-1 || s.now > r.sentAt+connLossDelay {
			continue
		}
		r.sentOn, r.confirmed = r.sentOn[:i], false
		r.sentToCaller = slices.ContainsFunc(r.sentOn, func(id ConnID) bool {
			other := s.callerConns[id]
			return other != nil && s.isCallerOf(other, r)
		})
		s.sendOnBestConn(r)
	}
}
