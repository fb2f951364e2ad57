package callserver

import (
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
)

// remoteOffice is the process that serves an exchange. Its address may have belonged to another process before.
type remoteOffice struct {
	id                   string
	addr                 string // empty: service discovery does not list the office yet
	exchange             int    // number of the exchange that it serves
	state                logic.OfficeState
	startedAt            time.Duration // 0: not reported
	conns                []*officeConn
	wasConnected         bool          // a connection to it has come up
	waitingCalls         []*activeCall // with an attempt that has no connection yet
	earlyCloses          int           // consecutive connections that ended before anything was received on them
	establishedCalls     int
	groupState           string        // last one applied
	groupStateConn       *officeConn   // connection on which it was reported; copies on others are ignored while it is open
	pendingReleases      []release     // of established calls, for the next connection
	acknowledgesReleases bool          // it has sent ReleaseComplete
	releaseRiskAt        time.Duration // when a connection last ended or was retired as suspect: a release may be lost with it
	connCheckArmed       bool          // timerCheckConns is armed
	dialFailures         int           // consecutive connections that did not come up
	reconnectAt          time.Duration // end of the backoff, before which no connection is opened; 0: there is none
	counts               officeCounts

	detector         liveness.Detector
	supervised       bool              // timerCheckLiveness is armed
	address          *liveness.Address // the processes at addr; shared by all offices that have this address
	listedAt         time.Duration
	unverifiedBefore time.Duration // calls from before this are compared with the circuits in use; 0: none are
	holdersWatched   bool          // timerCheckHolders is armed
}

// officeCounts counts the attempts at an office by their outcome.
type officeCounts struct {
	sent        uint64
	sentCold    uint64 // part of sent: within Settings.ColdFor of the office's start
	established uint64
	full        uint64
	faulted     uint64
	timedOut    uint64
	reset       uint64
	noConnect   uint64
	notSent     uint64
	cancelled   uint64
	givenUp     uint64 // established calls that were released on both sides as it was not known which process held them
	handedOver  uint64 // established calls that turned out to be held by the office's successor
}

func (c *officeCounts) add(status logic.Status) {
	switch status {
	case logic.Full:
		c.full++
	case logic.Faulted:
		c.faulted++
	case logic.TimedOut:
		c.timedOut++
	case logic.Reset:
		c.reset++
	case logic.NoConnect:
		c.noConnect++
	case logic.NotSent:
		c.notSent++
	case logic.Cancelled:
		c.cancelled++
	}
}

// processesAt returns the record of the processes at an address, which offices with one address share.
func (s *Server) processesAt(addr string) *liveness.Address {
	for _, other := range s.offices {
		if other.addr == addr {
			return other.address
		}
	}
	return &liveness.Address{}
}

// Limits on connections to offices. None of them refuses a call: a call that waits for a connection may exceed them.
const (
	initialReconnectDelay    = 50 * time.Millisecond // doubles with each consecutive failure
	maxReconnectDelay        = time.Second
	maxReconnectDoublings    = 8                      // keeps the shift in range; the delay is at its maximum long before
	maxSuspectReconnectDelay = 250 * time.Millisecond // for a suspected office: the end of a network partition must be noticed at once
	unfinishedMessageTimeout = 250 * time.Millisecond // the rest of a message of up to 16 KiB follows at once or never
	maxConnsPerOffice        = 24
	connCheckInterval        = 400 * time.Millisecond // between checks for releases that may be lost: one must be passed on within 1 s
	slowAnswerThreshold      = 250 * time.Millisecond // an attempt without an answer for this long may be on a dead connection
	// maxDialling limits the connections to one office that are being opened at a time. Two, as one that is dialled during a
	// network partition may take long to come up after it heals. recordBytesFromOffice may exceed it by one for that reason:
	// when bytes show that the partition is over, it opens another connection at once.
	maxDialling       = 2
	maxIdleConns      = 2           // per office; with this many, the oldest makes room for a new connection
	halfClosedTimeout = time.Second // an office that is alive and reachable closes its end at once
	// activityLag is how long after a half-close activity does not prove the office reachable: the bytes may have been sent
	// before, and a connection may be accepted by the peer's kernel alone.
	activityLag = 100 * time.Millisecond
	// halfClosedDivisor gives a share of Config.MaxOfficeConns, 1/halfClosedDivisor, that has two uses: it limits the
	// half-closed connections, not counting retained ones, and additional connections may exceed MaxOfficeConns by it.
	halfClosedDivisor = 8
)

// connLimitPerOffice returns how many connections one office may have now: an equal share of Config.MaxOfficeConns, at most
// maxConnsPerOffice. There is one share more than offices that are not gone, so that there is at least one.
func (s *Server) connLimitPerOffice() int {
	shares := 1
	for _, remote := range s.offices {
		if remote.state != logic.Gone {
			shares++
		}
	}
	return min(maxConnsPerOffice, max(1, s.cfg.MaxOfficeConns/shares))
}

// unlisted reports whether an office is only known by a claim to a call there, as service discovery does not list it yet.
func (r *remoteOffice) unlisted() bool { return r.addr == "" }

func (r *remoteOffice) anyConnUp() bool {
	return slices.ContainsFunc(r.conns, func(conn *officeConn) bool { return conn.up && !conn.halfClosed })
}
