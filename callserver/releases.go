package callserver

import (
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
	"finchlatch/sip"
)

// releaseAtOffice releases an established call at its office, on the connection of its set-up or on another one.
func (s *Server) releaseAtOffice(call *activeCall, cause byte) {
	s.sendRelease(call.remote, call.conn, call.wireID, cause)
}

func (s *Server) sendRelease(remote *remoteOffice, conn *officeConn, wireID uint64, cause byte) {
	if conn == nil || s.officeConns[conn.id] != conn || conn.writeBlocked || conn.halfClosed {
		conn = remote.leastLoadedConn()
	}
	if conn == nil {
		s.queueRelease(remote, wireID, cause)
		s.ensureIdleConn(remote)
		return
	}
	conn.unacknowledged.add(release{sentAt: s.now, wireID: wireID, cause: cause}, conn.lastActivity)
	s.sendToOffice(conn, &office.Message{Type: office.Release, Call: wireID, Cause: cause, HasCause: true})
}

// unacknowledgedReleases holds the releases recently sent on a connection that the peer has not acknowledged: an office by
// ReleaseComplete, a caller by the response to a BYE. If the connection ends they may be lost, and are sent again on another one.
// Not every peer acknowledges releases, so old ones are taken to have arrived.
type unacknowledgedReleases []release

// release is the release of an established call toward its caller or its office.
type release struct {
	sentAt time.Duration
	call   *activeCall // nil toward an office, where the call may have been removed
	wireID uint64
	cause  byte
}

// connLossDelay is how long it may take until the end of a connection is noticed here. A release that was sent earlier than this
// before the last sign of life on its connection has arrived.
const connLossDelay = time.Second

// Limits on the releases that are kept: unacknowledged ones per connection, and pending ones per office without a connection.
const (
	maxUnacknowledgedReleases = 1024
	maxPendingReleases        = 8192
)

// queueRelease keeps a release until a connection to its office is up.
func (s *Server) queueRelease(remote *remoteOffice, wireID uint64, cause byte) {
	if remote.state != logic.Gone && len(remote.pendingReleases) < maxPendingReleases {
		remote.pendingReleases = append(remote.pendingReleases, release{wireID: wireID, cause: cause})
	}
}

// flushOfficeReleases sends the releases that wait for a connection to an office.
func (s *Server) flushOfficeReleases(remote *remoteOffice) {
	pending := remote.pendingReleases
	remote.pendingReleases = nil
	for _, r := range pending {
		s.sendRelease(remote, nil, r.wireID, r.cause)
	}
}

// add keeps a release, and drops those that have arrived: they were sent more than connLossDelay before aliveAt, the time at
// which the connection was last known to be up. That is the last activity of an office. Callers may be silent for long on a
// connection that is up, so for them it is the present time.
func (u *unacknowledgedReleases) add(r release, aliveAt time.Duration) {
	*u = append(slices.DeleteFunc(*u, func(other release) bool { return other.sentAt < aliveAt-connLossDelay }), r)
	if excess := len(*u) - maxUnacknowledgedReleases; excess > 0 {
		*u = slices.Delete(*u, 0, excess)
	}
}

// acknowledge drops the release of a call, which the peer has acknowledged.
func (u *unacknowledgedReleases) acknowledge(wireID uint64) {
	*u = slices.DeleteFunc(*u, func(other release) bool { return other.wireID == wireID })
}

// takeLost removes all releases and returns those that may be lost; aliveAt is as for add.
func (u *unacknowledgedReleases) takeLost(aliveAt time.Duration) []release {
	lost := slices.DeleteFunc(*u, func(other release) bool { return other.sentAt < aliveAt-connLossDelay })
	*u = nil
	return lost
}

// callerConnForRelease returns a connection for the release of a call: that of its set-up or latest claim, or the one that most
// recently carried an INVITE, with preference for those that carried established calls. It returns nil if there is none.
func (s *Server) callerConnForRelease(call *activeCall) *callerConn {
	if call.callerConn != nil && s.callerConns[call.callerConn.id] == call.callerConn {
		return call.callerConn
	}
	var best *callerConn
	for _, caller := range s.callerConns {
		if caller.lastUsed > usedWithoutCall && (best == nil || caller.carriedEstablished && !best.carriedEstablished ||
			caller.carriedEstablished == best.carriedEstablished &&
				(caller.lastUsed > best.lastUsed || caller.lastUsed == best.lastUsed && caller.id > best.id)) {
			best = caller
		}
	}
	return best
}

// flushCallerReleases sends the releases that wait for a caller connection.
func (s *Server) flushCallerReleases() {
	if len(s.pendingReleases) == 0 {
		return
	}
	pending := s.pendingReleases
	s.pendingReleases = nil
	for _, r := range pending {
		s.releaseToCaller(r.call, r.cause)
	}
}

// releaseToCaller releases an established call toward its caller.
func (s *Server) releaseToCaller(call *activeCall, cause byte) {
	caller := s.callerConnForRelease(call)
	if caller == nil {
		s.logWithHistory("release waits for a caller connection", call)
		s.pendingReleases = append(s.pendingReleases, release{call: call, cause: cause})
		return
	}
	caller.unansweredByes.add(release{sentAt: s.now, call: call, wireID: call.wireID, cause: cause}, s.now)
	s.sendBye(caller, call, cause)
	if s.byesAnswered {
		s.armTimer(byeResponseTimeout, timer{kind: timerRepeatBye, targetID: call.wireID, arg: int(caller.id)})
	}
}

// byeResponseTimeout is how long a caller may take to respond to a BYE before it is sent on another connection. A release must
// be passed on within 1 s.
const byeResponseTimeout = 350 * time.Millisecond

// repeatBye sends a BYE without a response again on another connection: a connection that a network partition has cut off stays
// open and loses what is written on it.
func (s *Server) repeatBye(connID ConnID, wireID uint64) {
	caller := s.callerConns[connID]
	if caller == nil {
		return // its unconfirmed releases were sent again when it ended
	}
	i := slices.IndexFunc(caller.unansweredByes, func(r release) bool { return r.wireID == wireID })
	if i < 0 {
		return
	}
	r := caller.unansweredByes[i]
	other := s.latestActiveCallerConn(r.sentAt)
	if other == nil {
		return
	}
	caller.unansweredByes = slices.Delete(caller.unansweredByes, i, i+1)
	s.sendBye(other, r.call, r.cause)
}

// latestActiveCallerConn returns the connection with the latest activity among those that have carried established calls, if that
// activity is later than since.
func (s *Server) latestActiveCallerConn(since time.Duration) (best *callerConn) {
	for _, caller := range s.callerConns {
		if caller.carriedEstablished && caller.lastActivity > since &&
			(best == nil || caller.lastActivity > best.lastActivity ||
				caller.lastActivity == best.lastActivity && caller.id > best.id) {
			best = caller
		}
	}
	return best
}

// byeCSeq is the sequence number of a BYE, the only request sent toward the caller of a call.
const byeCSeq = 2

func (s *Server) sendBye(caller *callerConn, call *activeCall, cause byte) {
	s.trace("to caller", "BYE", caller.remoteAddr, caller.id, call.callID, int(cause))
	s.emit(Write{Conn: caller.id, Bytes: sip.Request(nil, "BYE", "sip:"+call.calledNumber+"@net", call.callID, byeCSeq, int(cause))})
}

// resendLostReleases sends the releases again that may be lost on a connection to an office.
func (s *Server) resendLostReleases(conn *officeConn) {
	for _, r := range conn.unacknowledged.takeLost(conn.lastActivity) {
		s.sendRelease(conn.remote, nil, r.wireID, r.cause)
	}
}
