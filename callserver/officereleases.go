package callserver

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// releaseAtOffice releases an established call at its office, on the connection of its set-up or on another one.
func (s *Server) releaseAtOffice(call *activeCall, cause byte) {
	s.sendRelease(call.remote, call.conn, release{wireID: call.wireID, cause: cause})
}

// sendRelease sends a release on a connection to an office or, if that cannot be used, on another one that did not carry it last.
func (s *Server) sendRelease(remote *remoteOffice, conn *officeConn, r release) {
	if remote.unlisted() {
		s.unlisted.add(remote.id, r, s.now)
		return
	}
	if conn == nil || s.officeConns[conn.id] != conn || conn.writeBlocked || conn.halfClosed {
		conn = remote.leastLoadedConn(r.sentOn)
	}
	if conn == nil {
		s.queueRelease(remote, r)
		s.ensureIdleConn(remote)
		return
	}
	s.sendReleaseOn(conn, r)
}

func (s *Server) sendReleaseOn(conn *officeConn, r release) {
	r.sentAt, r.sentOn, r.times = s.now, conn.id, r.times+1
	conn.unacknowledged.add(r, conn.lastActivity)
	s.sendToOffice(conn, &office.Message{Type: office.Release, Call: r.wireID, Cause: r.cause, HasCause: true})
	if !conn.releaseCheckArmed {
		conn.releaseCheckArmed = true
		s.armTimer(unheardReleaseTimeout, timer{kind: timerCheckReleases, targetID: uint64(conn.id)})
	}
}

// checkReleases sends releases again that an office may not have heard: its process may have forgotten their connection, on which
// nothing has come since, or it acknowledges releases and has not acknowledged these.
func (s *Server) checkReleases(id ConnID) {
	conn := s.officeConns[id]
	if conn == nil {
		return
	}
	conn.releaseCheckArmed = false
	remote := s.presentOffice(conn.remote)
	for _, r := range conn.unacknowledged.takeSentBefore(s.now - unheardReleaseTimeout) {
		if r.times < maxReleaseTimes && (conn.remote.acknowledgesReleases || conn.lastActivity <= r.sentAt) {
			s.log(slog.LevelInfo, "release may not have been heard, sent again", slog.String("office", remote.id),
				slog.String("call", fmt.Sprintf("%016x", r.wireID)), slog.Int("times", r.times), slog.Uint64("conn", uint64(id)))
			s.sendRelease(remote, nil, r)
		}
	}
	if len(conn.unacknowledged) > 0 && s.officeConns[id] == conn && !conn.releaseCheckArmed {
		conn.releaseCheckArmed = true
		s.armTimer(conn.unacknowledged[0].sentAt+unheardReleaseTimeout-s.now, timer{kind: timerCheckReleases, targetID: uint64(id)})
	}
}

// unacknowledgedReleases holds the releases recently sent on a connection to an office that it has not acknowledged by
// ReleaseComplete. If the connection ends they may be lost, and are sent again on another one. Not every office acknowledges
// releases, so old ones are taken to have arrived.
type unacknowledgedReleases []release

// release is the release of an established call toward its office.
type release struct {
	sentAt time.Duration
	sentOn ConnID // the last connection that it was sent on; 0: it was not sent
	times  int    // that it was sent
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

// Limits on releases that may not have been heard.
const (
	unheardReleaseTimeout = time.Second
	maxReleaseTimes       = 4
)

// queueRelease keeps a release until a connection to its office is up or, if that is gone, to its successor.
func (s *Server) queueRelease(remote *remoteOffice, r release) {
	if remote.state == logic.Gone {
		s.unlisted.add(remote.addr, r, s.now)
		return
	}
	if len(remote.pendingReleases) < maxPendingReleases {
		remote.pendingReleases = append(remote.pendingReleases, r)
	}
}

// Limits on the releases that are kept for offices that service discovery does not list.
const (
	maxUnlistedReleases = 8192
	unlistedRetention   = 30 * time.Second
)

// unlistedReleases holds releases for offices that service discovery may list later: by the ID of an office at which calls were claimed,
// and by the address of one that has gone, whose successor may hold its calls.
type unlistedReleases struct {
	byName map[string][]release
	count  int
}

// add keeps a release for the office with an ID or an address. When there are too many, those are dropped that have waited for longer
// than service discovery takes to list an office.
func (u *unlistedReleases) add(name string, r release, now time.Duration) {
	if u.byName == nil {
		u.byName = map[string][]release{}
	}
	if u.count >= maxUnlistedReleases {
		u.removeBefore(now - unlistedRetention)
	}
	if u.count < maxUnlistedReleases {
		u.count++
		r.sentAt = now
		u.byName[name] = append(u.byName[name], r)
	}
}

// removeBefore removes the releases that were added before a time.
func (u *unlistedReleases) removeBefore(limit time.Duration) {
	u.count = 0
	for name, owed := range u.byName {
		owed = slices.DeleteFunc(owed, func(r release) bool { return r.sentAt < limit })
		u.byName[name] = owed
		if u.count += len(owed); len(owed) == 0 {
			delete(u.byName, name)
		}
	}
}

// take removes the releases for the office with an ID or an address.
func (u *unlistedReleases) take(name string) []release {
	owed := u.byName[name]
	delete(u.byName, name)
	u.count -= len(owed)
	return owed
}

// flushOfficeReleases sends the releases that wait for a connection to an office.
func (s *Server) flushOfficeReleases(remote *remoteOffice) {
	pending := remote.pendingReleases
	remote.pendingReleases = nil
	for _, r := range pending {
		s.sendRelease(remote, nil, r)
	}
}

// add keeps a release, and drops those that have arrived: they were sent more than connLossDelay before aliveAt, the last activity
// of the office on the connection.
func (u *unacknowledgedReleases) add(r release, aliveAt time.Duration) {
	arrived := max(0, len(*u)+1-maxUnacknowledgedReleases)
	for arrived < len(*u) && (*u)[arrived].sentAt < aliveAt-connLossDelay {
		arrived++
	}
	*u = append((*u)[arrived:], r)
}

// acknowledge drops the release of a call, which the peer has acknowledged.
func (u *unacknowledgedReleases) acknowledge(wireID uint64) {
	*u = slices.DeleteFunc(*u, func(other release) bool { return other.wireID == wireID })
}

// takeSentBefore removes the releases that were sent until a time, and returns them.
func (u *unacknowledgedReleases) takeSentBefore(until time.Duration) (sent []release) {
	*u = slices.DeleteFunc(*u, func(r release) bool {
		if r.sentAt <= until {
			sent = append(sent, r)
		}
		return r.sentAt <= until
	})
	return sent
}

// takeLost removes all releases and returns those that may be lost; aliveAt is as for add.
func (u *unacknowledgedReleases) takeLost(aliveAt time.Duration) []release {
	lost := slices.DeleteFunc(*u, func(other release) bool { return other.sentAt < aliveAt-connLossDelay })
	*u = nil
	return lost
}

// resendLostReleases sends the releases again that may be lost on a connection to an office, or to its successor if it is gone.
func (s *Server) resendLostReleases(conn *officeConn) {
	for _, r := range conn.unacknowledged.takeLost(conn.lastActivity) {
		s.sendRelease(s.presentOffice(conn.remote), nil, r)
	}
}
