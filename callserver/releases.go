package callserver

import (
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
	"finchlatch/sip"
)

// releaseOffice releases a call that stands at its office, on the connection of its set-up or on any other.
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
	conn.unconfirmed.add(release{sentAt: s.now, wireID: wireID, cause: cause}, conn.lastActivity)
	s.sendToOffice(conn, &office.Message{Type: office.Release, Call: wireID, Cause: cause, HasCause: true})
}

// unheard are the releases that went out on a connection lately and were not said to be heard: should it end now, they
// may be lost with it, and go out again on another one.
type unconfirmedReleases []release

// release ends a call that stands, toward its caller or its office.
type release struct {
	sentAt time.Duration
	call   *activeCall
	// of a release toward an office, where the call itself is forgotten
	wireID uint64
	cause  byte
}

// hearWithin is how long the end of a connection may take to show here.
const connLossDelay = time.Second

// Bounds on releases that are kept: of one connection, and of one office that can't be reached.
const (
	maxUnconfirmedReleases = 1024
	maxPendingReleases     = 8192
)

// pendRelease keeps a release for an office until a connection to it is up.
func (s *Server) queueRelease(remote *remoteOffice, wireID uint64, cause byte) {
	if remote.state != logic.Gone && len(remote.pendingReleases) < maxPendingReleases {
		remote.pendingReleases = append(remote.pendingReleases, release{wireID: wireID, cause: cause})
	}
}

// sendOfficeReleases sends the releases that wait for a connection to an office.
func (s *Server) flushOfficeReleases(remote *remoteOffice) {
	pending := remote.pendingReleases
	remote.pendingReleases = nil
	for _, r := range pending {
		s.sendRelease(remote, nil, r.wireID, r.cause)
	}
}

// add keeps a release; those that were written hearWithin before the other end was heard have arrived.
func (u *unconfirmedReleases) add(r release, lastActivity time.Duration) {
	*u = append(slices.DeleteFunc(*u, func(o release) bool { return o.sentAt < lastActivity-connLossDelay }), r)
	if excess := len(*u) - maxUnconfirmedReleases; excess > 0 {
		*u = slices.Delete(*u, 0, excess)
	}
}

func (u *unconfirmedReleases) confirm(wireID uint64) {
	*u = slices.DeleteFunc(*u, func(o release) bool { return o.wireID == wireID })
}

// lost takes those that may be lost.
func (u *unconfirmedReleases) takeLost(lastActivity time.Duration) []release {
	lost := slices.DeleteFunc(*u, func(o release) bool { return o.sentAt < lastActivity-connLossDelay })
	*u = nil
	return lost
}

// toCaller is a connection that a release can go out on: that of the set-up, else the one that proved itself last.
func (s *Server) callerForRelease(call *activeCall) *callerConn {
	if call.caller != nil && s.callerConns[call.caller.id] == call.caller {
		return call.caller
	}
	var best *callerConn
	for _, caller := range s.callerConns {
		if caller.lastUsed > 1 && (best == nil || caller.carriedEstablished && !best.carriedEstablished || caller.carriedEstablished == best.carriedEstablished &&
			(caller.lastUsed > best.lastUsed || caller.lastUsed == best.lastUsed && caller.id > best.id)) {
			best = caller
		}
	}
	return best
}

// sendPendingReleases sends the releases that wait for a connection.
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

// releaseCaller sends the release of a call that stood toward its caller.
func (s *Server) releaseToCaller(call *activeCall, cause byte) {
	caller := s.callerForRelease(call)
	if caller == nil {
		s.logDecision("release waits for a caller's connection", call)
		s.pendingReleases = append(s.pendingReleases, release{call: call, cause: cause})
		return
	}
	caller.unconfirmedByes.add(release{sentAt: s.now, call: call, wireID: call.wireID, cause: cause}, s.now)
	s.sendBye(caller, call, cause)
	if s.byesConfirmed {
		s.armTimer(byeConfirmTimeout, timer{kind: timerRepeatBye, id: call.wireID, arg: int(caller.id)})
	}
}

// byeHeardWithin is how long a caller may take to say that it heard a release. There is time for another connection then: a
// release must be passed on within 1 s.
const byeConfirmTimeout = 350 * time.Millisecond

// repeatBye sends a release again, on another connection, that its caller did not say to have heard. The danger: a connection
// that is cut off stays open and silent, and swallows it.
func (s *Server) repeatBye(connID ConnID, wireID uint64) {
	caller := s.callerConns[connID]
	if caller == nil {
		return // what it swallowed went out again when it ended
	}
	i := slices.IndexFunc(caller.unconfirmedByes, func(r release) bool { return r.wireID == wireID })
	if i < 0 {
		return
	}
	r := caller.unconfirmedByes[i]
	other := s.latestActiveCaller(r.sentAt)
	if other == nil {
		return
	}
	caller.unconfirmedByes = slices.Delete(caller.unconfirmedByes, i, i+1)
	s.sendBye(other, r.call, r.cause)
}

// callerHeardSince is the connection from callers that was heard last, if that was after a moment.
func (s *Server) latestActiveCaller(since time.Duration) (best *callerConn) {
	for _, caller := range s.callerConns {
		if caller.carriedEstablished && caller.lastActivity > since && (best == nil || caller.lastActivity > best.lastActivity || caller.lastActivity == best.lastActivity && caller.id > best.id) {
			best = caller
		}
	}
	return best
}

func (s *Server) sendBye(caller *callerConn, call *activeCall, cause byte) {
	s.trace("to caller", "BYE", caller.remoteAddr, caller.id, call.callID, int(cause))
	s.emit(Write{Conn: caller.id, Bytes: sip.Request(nil, "BYE", "sip:"+call.calledNumber+"@net", call.callID, 2, int(cause))})
}

// releaseAgain sends the releases again that may be lost with a connection to an office.
func (s *Server) resendLostReleases(conn *officeConn) {
	for _, r := range conn.unconfirmed.takeLost(conn.lastActivity) {
		s.sendRelease(conn.remote, nil, r.wireID, r.cause)
	}
}
