package callserver

import (
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
)

// remoteOffice is the process that serves an exchange. Its address may have belonged to another process before.
type remoteOffice struct {
	id               string
	addr             string
	exchange         int // number of the exchange that it serves
	state            logic.OfficeState
	startedAt        time.Duration // 0: not reported
	conns            []*officeConn
	waitingCalls     []*activeCall // with an attempt that has no connection yet
	earlyCloses      int           // consecutive connections that ended before anything was received on them
	establishedCalls int
	groupState       string        // last one reported
	groupStateConn   *officeConn   // connection that reported groupState first
	pendingReleases  []release     // of established calls, for the next connection
	releaseRiskAt    time.Duration // when a connection last ended or became suspect
	connCheckArmed   bool          // timerCheckConns is armed
	dialFailures     int           // consecutive connections that did not come up
	reconnectAt      time.Duration // no connection is opened before this
	counts           officeCounts

	detector            liveness.Detector
	supervised          bool          // timerCheckLiveness is armed
	unverifiedBefore    time.Duration // calls from before this may have ended with an earlier process; 0: none
	correlatedLossStart time.Duration // first end of a connection in the latest correlated loss
	correlatedLossEnd   time.Duration // last one in it
	processEndedAt      time.Duration // later calls belong to a process that service discovery may not have named yet; 0: none
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

// Limits on connections to offices; they do not limit calls.
const (
	initialReconnectDelay    = 50 * time.Millisecond // doubles with each consecutive failure
	maxReconnectDelay        = time.Second
	maxReconnectDoublings    = 8                      // keeps the shift in range; the delay is at its maximum long before
	maxSuspectReconnectDelay = 250 * time.Millisecond // to a suspected office: the end of a network partition must be noticed at once
	unfinishedMessageTimeout = 250 * time.Millisecond // the rest of a message of up to 16 KiB follows at once or never
	maxConnsPerOffice        = 24
	connCheckInterval        = 400 * time.Millisecond // looking for dead connections: a release must be passed on within 1 s
	slowAnswerThreshold      = 250 * time.Millisecond // an attempt without an answer for this long may be on a dead connection
	maxDialling              = 2                      // connections to one office being opened at a time: a network partition may heal at any moment
	maxIdleConns             = 2                      // per office; with this many, the oldest makes room for a new connection
	halfClosedTimeout        = time.Second            // a living office closes its end at once
	activityLag              = 100 * time.Millisecond // activity this soon after a half-close may be older, or the peer kernel's
	halfClosedDivisor        = 8                      // at most 1/halfClosedDivisor of Config.MaxOfficeConns may be half-closed connections
)

// connLimitPerOffice returns how many connections an office may have.
func (s *Server) connLimitPerOffice() int {
	shares := 1
	for _, remote := range s.offices {
		if remote.state != logic.Gone {
			shares++
		}
	}
	return min(maxConnsPerOffice, max(1, s.cfg.MaxOfficeConns/shares))
}

func (r *remoteOffice) anyConnUp() bool {
	return slices.ContainsFunc(r.conns, func(conn *officeConn) bool { return conn.up && !conn.halfClosed })
}
