package liveness

import (
	"slices"
	"time"
)

// Incarnation is one process at an address, as far as its connections show. Calls are held by the incarnation whose connection
// carried their answer. Two incarnations may turn out to be one process, and are merged then.
type Incarnation struct {
	firstUpAt  time.Duration // when its first connection came up
	lastSignAt time.Duration // last sign of life on one of its connections
	heard      bool          // something has come on one of its connections
	joinable   bool          // connections that come up while one of its own is open are taken to be its own
	awaited    bool          // the next connection is its own: none has come up yet, or all were closed from here on purpose
	lost       bool          // its connections were ended from the other end, so its process may have ended
	ended      bool          // its process has ended for certain
	failedAt   time.Duration // when nothing had come from it for so long that its calls were given up; 0: it has not failed
	claimed    *Connection   // stands for the connections of the calls that were claimed (see Address.Claimed); may be nil
	follows    succession
	followsAt  time.Duration // when the incarnation before it was lost or ended
}

// succession tells what is known of the incarnation before one.
type succession byte

const (
	followsNone  succession = iota // nothing shows that it has ended
	followsLost                    // all its connections were ended from the other end, or nothing came on them for long
	followsEnded                   // it has ended for certain
)

// Connection is a connection that came up at an address. The calls that were answered on it belong to its incarnation, after its
// end, too.
type Connection struct {
	address     *Address
	incarnation *Incarnation
	upAt        time.Duration
	open        bool
	closing     bool // no longer written to from here
	closingAt   time.Duration
	claimed     bool // stands for the connections of claimed calls (see Address.Claimed)
	calls       int
}

// Address follows the processes that serve at one address, one after the other. The zero value is an address without connections.
type Address struct {
	connections  []*Connection  // those that are open or hold calls, in the order in which they came up
	incarnations []*Incarnation // oldest first
	lossStart    time.Duration  // first end of a connection in the latest correlated loss
	lossEnd      time.Duration  // last one in it; 0: none has been ended from the other end
	firstEnded   bool           // the process that served when the address was first followed has ended for certain
}

// correlatedLossWindow is the longest time between the ends of two successive connections in a correlated loss: connections to
// one process that end together because it has ended, or because it has lost its network.
const correlatedLossWindow = 100 * time.Millisecond

// Connected records a connection that has come up. With suspected, nothing had come from the address for some time before, so it
// may be served by another process now.
func (a *Address) Connected(now time.Duration, suspected bool) *Connection {
	current := a.current()
	if current == nil || !a.mayJoin(current, suspected) {
		current = a.begin(now)
	}
	if current.awaited {
		current.awaited = false
		current.lastSignAt = now
	}
	return a.add(&Connection{address: a, incarnation: current, upAt: now, open: true})
}

// Claimed records a call that was answered before the address was followed, and is taken to be held by the present process. It can't
// be if FirstProcessEnded.
func (a *Address) Claimed(now time.Duration) *Connection {
	if current := a.current(); current == nil || !current.joinable {
		a.begin(now).awaited = true
	}
	return a.claim(now)
}

// ClaimedAtNext records such a call that is held by the process of an office to which no connection has come up yet: the next one that comes
// up is to that process, whatever served at the address before.
func (a *Address) ClaimedAtNext(now time.Duration) *Connection {
	if current := a.current(); current == nil || !current.awaited {
		a.begin(now).awaited = true
	}
	return a.claim(now)
}

// claim returns what stands for the connections of the calls that were claimed at the current incarnation.
func (a *Address) claim(now time.Duration) *Connection {
	current := a.current()
	if current.claimed == nil || current.claimed.calls == 0 {
		current.claimed = a.add(&Connection{address: a, incarnation: current, upAt: now, claimed: true})
	}
	return current.claimed
}

// FirstProcessEnded reports whether the process that served when the address was first followed has ended for certain, so that none of the
// calls from before then goes on.
func (a *Address) FirstProcessEnded() bool { return a.firstEnded }

func (a *Address) add(c *Connection) *Connection {
	a.connections = append(a.connections, c)
	return c
}

func (a *Address) begin(now time.Duration) *Incarnation {
	next := &Incarnation{firstUpAt: now, lastSignAt: now, joinable: true}
	switch current := a.current(); {
	case current == nil:
	case current.lost:
		next.follows, next.followsAt = followsLost, a.lossEnd
	case current.failedAt > 0:
		next.follows, next.followsAt = followsLost, current.failedAt
	}
	a.incarnations = append(a.incarnations, next)
	return next
}

func (a *Address) current() *Incarnation {
	if len(a.incarnations) == 0 {
		return nil
	}
	return a.incarnations[len(a.incarnations)-1]
}

// mayJoin reports whether a connection that comes up now is taken to be one of the present incarnation. While nothing at all has
// come from that, nothing can tell two processes apart, and none can have answered a call.
func (a *Address) mayJoin(current *Incarnation, suspected bool) bool {
	if current.awaited {
		return true
	}
	return slices.ContainsFunc(a.connections, func(c *Connection) bool {
		return c.incarnation == current && c.open && current.joinable && !current.lost &&
			(!c.closing && !suspected || !current.heard)
	})
}

// Heard records a sign of life on a connection. Those that came up while its process was alive are to the same process; the result
// tells whether there are any for which that was not known.
func (c *Connection) Heard(now time.Duration) (merged bool) {
	a, incarnation := c.address, c.incarnation
	if incarnation.ended { // it was sent before
		return false
	}
	incarnation.heard, incarnation.lastSignAt, incarnation.lost, incarnation.failedAt = true, now, false, 0
	return a.mergeUntil(incarnation, now-staleBytesWindow)
}

// Answered records that the other end has closed a connection in order, as an answer to Closing if that was called. Its process was
// alive then, and the connections that came up between both are to it as well.
func (c *Connection) Answered(now time.Duration) (merged bool) {
	merged = c.Heard(now)
	if c.closing && now-c.closingAt <= staleBytesWindow && !c.incarnation.ended {
		merged = c.address.mergeUntil(c.incarnation, now) || merged
	}
	return merged
}

// mergeUntil merges those later than an incarnation into it whose first connection came up until a time.
func (a *Address) mergeUntil(incarnation *Incarnation, until time.Duration) (merged bool) {
	if incarnation == a.current() {
		return false
	}
	i := slices.Index(a.incarnations, incarnation)
	for i+1 < len(a.incarnations) && a.incarnations[i+1].firstUpAt <= until {
		a.merge(i, i+1)
		merged = true
	}
	return merged
}

// Identified records that what came on one connection shows that its process is the one behind another connection. The result is
// false if that was known.
func Identified(one, other *Connection) bool {
	a := one.address
	if other.address != a {
		return false
	}
	from, to := slices.Index(a.incarnations, one.incarnation), slices.Index(a.incarnations, other.incarnation)
	if from < 0 || to < 0 || from == to {
		return false
	}
	for range max(from, to) - min(from, to) {
		a.merge(min(from, to), min(from, to)+1)
	}
	return true
}

// merge makes two successive incarnations one.
func (a *Address) merge(older, newer int) {
	kept, gone := a.incarnations[older], a.incarnations[newer]
	for _, c := range a.connections {
		if c.incarnation == gone {
			c.incarnation = kept
		}
	}
	kept.heard = kept.heard || gone.heard
	kept.lastSignAt = max(kept.lastSignAt, gone.lastSignAt)
	kept.joinable, kept.awaited, kept.lost, kept.ended = gone.joinable, gone.awaited, gone.lost, gone.ended
	a.incarnations = slices.Delete(a.incarnations, newer, newer+1)
}

// Closing records that a connection is not written to any more. It still carries what its process sends.
func (c *Connection) Closing(now time.Duration) {
	c.closing, c.closingAt = true, now
	c.address.checkLoss(c, now)
}

// Closed records that a connection was closed from here.
func (c *Connection) Closed(now time.Duration) {
	if c.open {
		c.open = false
		c.address.checkLoss(c, now)
		c.address.prune()
	}
}

// Lost records that a connection was ended from the other end: its process may have ended.
func (c *Connection) Lost(now time.Duration) {
	a := c.address
	c.open = false
	if a.lossEnd == 0 || now-a.lossEnd > correlatedLossWindow {
		a.lossStart = now
	}
	a.lossEnd = now
	a.checkLoss(c, now)
	a.prune()
}

// LossStart returns when the latest correlated loss began.
func (a *Address) LossStart() time.Duration { return a.lossStart }

// checkLoss marks the incarnation of a connection that ended as lost if none of its connections has survived the present correlated
// loss: one that came up before it or, as the loss may have begun with the process before, before the connection that ended.
// Connections that have come up since may be to another process.
func (a *Address) checkLoss(ended *Connection, now time.Duration) {
	if a.lossEnd == 0 || now-a.lossEnd > correlatedLossWindow {
		return
	}
	incarnation := ended.incarnation
	survivesFrom := a.lossStart
	if incarnation.firstUpAt >= survivesFrom {
		survivesFrom = ended.upAt
	}
	var since []*Connection
	for _, c := range a.connections {
		switch {
		case c.incarnation != incarnation || !c.open || c.closing:
		case c.upAt < survivesFrom:
			return
		default:
			since = append(since, c)
		}
	}
	incarnation.lost = true
	i := slices.Index(a.incarnations, incarnation)
	if len(since) > 0 {
		a.incarnations = slices.Insert(a.incarnations, i+1, split(incarnation, since))
	}
	if i+1 < len(a.incarnations) && a.incarnations[i+1].follows == followsNone {
		a.incarnations[i+1].follows, a.incarnations[i+1].followsAt = followsLost, now
	}
}

// split makes connections those of a new incarnation.
func split(incarnation *Incarnation, connections []*Connection) *Incarnation {
	next := &Incarnation{firstUpAt: connections[0].upAt, lastSignAt: incarnation.lastSignAt, heard: incarnation.heard, joinable: incarnation.joinable}
	for _, c := range connections {
		c.incarnation = next
	}
	return next
}

// Replacement is what service discovery reports of an office that has gone from its address. Zero times are not known.
type Replacement struct {
	GoneSince      time.Duration // when the office that has gone started, or was first reported
	SuccessorSince time.Duration // when the office that has the address now started
}

// Replaced records that an office has gone from the address. Connections that come up from now on are to its successor.
func (a *Address) Replaced(r Replacement) {
	if current := a.current(); current != nil {
		current.awaited = current.isSuccessor(r)
		current.joinable = current.awaited
	}
}

// Failed records that nothing has come from the address for so long that the calls there were given up. Connections that come up from
// now on may be to another process.
func (a *Address) Failed(now time.Duration) {
	if current := a.current(); current != nil {
		current.joinable, current.awaited, current.failedAt = false, false, now
	}
}

// Ended records that all processes up to now have ended for certain: the next connection is to another one.
func (a *Address) Ended(now time.Duration) {
	a.firstEnded = true
	for _, incarnation := range a.incarnations {
		incarnation.ended = true
	}
	a.incarnations = append(a.incarnations, &Incarnation{firstUpAt: now, lastSignAt: now, joinable: true, awaited: true,
		follows: followsEnded, followsAt: now})
	a.prune()
}

// HeldBySuccessor reports whether a call that was answered on a connection is held by the process that took over the address. A claimed call
// is not: it is from before the address was followed, and a successor is known as one that came up since.
func (c *Connection) HeldBySuccessor(r Replacement) bool {
	return !c.claimed && c.incarnation == c.address.current() && c.incarnation.isSuccessor(r)
}

// isSuccessor reports whether evidence shows that an incarnation is the process which took over the address: the one before has
// ended, or all its connections did and this one's came up after the start that service discovery reports. The start alone is no
// evidence, as a process may have served at the address for some time after its successor's start.
func (i *Incarnation) isSuccessor(r Replacement) bool {
	switch {
	case i.lost || i.followsAt <= r.GoneSince:
		return false
	case i.follows == followsEnded:
		return true
	}
	return i.follows == followsLost && r.SuccessorSince > 0 && i.firstUpAt >= r.SuccessorSince
}

// InDoubt reports whether the process that holds the calls of a connection may have ended.
func (c *Connection) InDoubt() bool {
	return c.incarnation.lost || c.incarnation != c.address.current()
}

// AnyInDoubt reports whether a process that holds calls may have ended.
func (a *Address) AnyInDoubt() bool {
	return slices.ContainsFunc(a.connections, func(c *Connection) bool { return c.calls > 0 && c.InDoubt() })
}

// SameProcess reports whether two connections are known to be to the same process.
func SameProcess(one, other *Connection) bool { return one.incarnation == other.incarnation }

// GivenUp reports whether the calls of a connection that is in doubt have to be given up: their process has shown no life for
// FailAfter, and its connections were ended from the other end or another process has been heard at the address. Otherwise the
// result is when to ask again.
func (c *Connection) GivenUp(now time.Duration) (givenUp bool, askAgainAt time.Duration) {
	a, incarnation := c.address, c.incarnation
	if due := incarnation.lastSignAt + FailAfter; now < due {
		return false, due
	}
	later := a.incarnations[slices.Index(a.incarnations, incarnation)+1:]
	if incarnation.lost || slices.ContainsFunc(later, func(other *Incarnation) bool { return other.heard }) {
		return true, 0
	}
	return false, now + probeInterval
}

// IsOnlyOne reports whether a connection is the only open one to a process that holds calls.
func (c *Connection) IsOnlyOne() bool {
	holdsCalls := false
	for _, other := range c.address.connections {
		if other.incarnation != c.incarnation {
			continue
		}
		if other != c && other.open {
			return false
		}
		holdsCalls = holdsCalls || other.calls > 0
	}
	return holdsCalls
}

// HoldCall counts a call that was answered on a connection.
func (c *Connection) HoldCall() { c.calls++ }

// DropCall counts the end of a call that was answered on a connection.
func (c *Connection) DropCall() {
	c.calls--
	if c.calls == 0 && !c.open {
		c.address.prune()
	}
}

// prune forgets what neither holds calls nor is open.
func (a *Address) prune() {
	a.connections = slices.DeleteFunc(a.connections, func(c *Connection) bool { return !c.open && c.calls == 0 })
	current := a.current()
	a.incarnations = slices.DeleteFunc(a.incarnations, func(incarnation *Incarnation) bool {
		return incarnation != current &&
			!slices.ContainsFunc(a.connections, func(c *Connection) bool { return c.incarnation == incarnation })
	})
}
