package callserver

import (
	"slices"
	"time"

	"finchlatch/liveness"
	"finchlatch/logic"
)

// exchange is one office: a process with an id of its own. Its address may have belonged to another one before.
type remoteOffice struct {
	id, addr         string
	exchange         int
	state            logic.OfficeState
	startedAt        time.Duration
	conns            []*officeConn
	waitingCalls     []*activeCall // attempts without a connection yet
	earlyCloses      int           // connections in a row that ended before anything was heard on them
	establishedCalls int
	groupState       string        // state of its group as it was told last,
	lastReporter     *officeConn   // and the connection that told it first
	pendingReleases  []release     // of calls that stood, for the next connection
	connLostAt       time.Duration // when a connection last ended or fell into doubt
	connCheckArmed   bool          // a look at its connections is due
	dialFailures     int           // connections that did not come up, in a row
	redialAt         time.Duration
	counts           officeCounts

	detector         liveness.Detector
	supervised       bool          // a check of its health is due
	unverifiedBefore time.Duration // calls from before this may have ended with its process; 0: none may
	lossStartedAt    time.Duration // when the first of the connections that ended together did,
	lastLossAt       time.Duration // and the last
	replacedAt       time.Duration // what was set up after this is at a process that the list may not have named yet; 0: none
}

// count is what passed between us and an office.
type officeCounts struct{ sent, sentCold, established, full, faulted, timedOut, reset, noConnect, notSent, cancelled uint64 }

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

// How connections to offices are kept; these are limits on sockets, not on calls.
const (
	initialRedialDelay       = 50 * time.Millisecond
	maxRedialDelay           = time.Second
	maxSuspectRedialDelay    = 250 * time.Millisecond // of a suspected office: a cut that heals is to be seen at once
	unfinishedMessageTimeout = 250 * time.Millisecond // the rest of a message of 16 KiB at most comes at once, or never
	maxConnsPerOffice        = 24
	connCheckInterval        = 400 * time.Millisecond // at connections that may be dead: a release must be passed on within 1 s,
	slowAnswerThreshold      = 250 * time.Millisecond // and one that owes an answer for so long may be
	maxDialling              = 2                      // connections to one office that are being opened, where a cut may heal any moment
	maxIdleConns             = 2                      // more that are idle make room for a fresh one
	halfClosedTimeout        = time.Second            // an office that is there closes at once
	activityLag              = 100 * time.Millisecond // signs that came so soon after may have been on their way, or the kernel's
	halfClosedDivisor        = 8                      // one in so many of the offices' descriptors may be of connections that are shut
)

// share is how many connections an office may have.
func (s *Server) maxConnsToOffice() int {
	offices := 1
	for _, remote := range s.offices {
		if remote.state != logic.Gone {
			offices++
		}
	}
	return min(maxConnsPerOffice, max(1, s.cfg.Offices/offices))
}

func (r *remoteOffice) anyConnUp() bool {
	return slices.ContainsFunc(r.conns, func(conn *officeConn) bool { return conn.up && !conn.halfClosed })
}
