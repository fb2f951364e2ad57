package callserver

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/liveness"
)

// This file compares established calls with the circuits that their offices report as in use. Fewer circuits than the calls take show that
// an earlier process held them. More show nothing, as other call servers have calls there, too.

// markCallsUnverified records that calls from before a time may have ended with an earlier process of their office. They are
// verified once a connection has been up for liveness.PendingReleaseWindow.
func (s *Server) markCallsUnverified(remote *remoteOffice, before time.Duration) {
	if remote.establishedCalls == 0 {
		return
	}
	remote.unverifiedBefore = before
	if remote.anyConnUp() {
		s.armTimer(liveness.PendingReleaseWindow, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
}

// markAdoptedUnverified marks the calls of an office as unverified when a call at it is adopted. The office may have restarted
// since it established the call, and service discovery may not have reported that. The circuits in use that the office reported
// first after this process started show whether it holds such calls. Calls adopted within liveness.AdoptionWindow are verified
// together.
func (s *Server) markAdoptedUnverified(remote *remoteOffice) {
	if remote.unverifiedBefore == 0 {
		remote.unverifiedBefore = s.startedAt
		s.armTimer(liveness.AdoptionWindow, timer{kind: timerVerifyCalls, officeID: remote.id})
	}
}

// verifyCalls compares the circuits of an office's unverified calls with those that it reported as in use first on the oldest
// connection since, before new calls took any. If those are fewer than half, an earlier process held the calls, and they are dropped.
// Dropped are all calls that the process behind that connection is not known to hold.
func (s *Server) verifyCalls(id string) {
	remote := s.offices[id]
	if remote == nil || remote.unverifiedBefore == 0 {
		return
	}
	conn := remote.oldestReportSince(remote.unverifiedBefore)
	if conn == nil {
		return // the next connection that comes up arms the timer again
	}
	if releasesBy := conn.upOrDialledAt + liveness.PendingReleaseWindow; s.now < releasesBy { // releases may still arrive on it
		s.armTimer(releasesBy-s.now, timer{kind: timerVerifyCalls, officeID: id})
		return
	}
	unverifiedBefore := remote.unverifiedBefore
	remote.unverifiedBefore = 0
	lost := s.lostCalls(conn, unverifiedBefore)
	for _, call := range lost {
		s.giveUpCall(call, "no longer held by its office")
	}
	if len(lost) > 0 {
		s.logGivenUp(remote, len(lost), "no longer held by their office")
		s.flushOfficeReleases(remote)
	}
}

// oldestReportSince returns the connection on which an office first reported its group state of those that came up from a time on, or nil.
func (r *remoteOffice) oldestReportSince(since time.Duration) *officeConn {
	i := slices.IndexFunc(r.conns, func(conn *officeConn) bool { return conn.up && conn.stateReported && conn.upOrDialledAt >= since })
	if i < 0 {
		return nil
	}
	return r.conns[i]
}

// lostCalls returns the calls of an office that an earlier process held, as the circuits show that were in use when a connection came up.
//
// Only calls answered liveness.StateLag before the time in unverifiedBefore are expected in the report, which may be that old.
func (s *Server) lostCalls(conn *officeConn, unverifiedBefore time.Duration) []*activeCall {
	unverified := slices.DeleteFunc(s.establishedAt(conn.remote), func(call *activeCall) bool {
		return call.id != 0 && call.holder != nil && liveness.SameProcess(call.holder, conn.connection)
	})
	expectedCircuits, byClaimer := 0, map[*callerConn]int{}
	for _, call := range unverified {
		if call.answeredAt < unverifiedBefore-liveness.StateLag {
			expectedCircuits += call.width
			byClaimer[call.adoptedBy] += call.width
		}
	}
	lost := liveness.CallsLost(expectedCircuits, conn.circuitsInUse)
	s.log(slog.LevelInfo, "calls at an office compared with its circuits in use", slog.String("office", conn.remote.id), slog.Int("held", expectedCircuits),
		slog.Int("used", conn.circuitsInUse), slog.Bool("lost", lost))
	if !lost {
		return nil
	}
	if claimer := largestClaimer(byClaimer); claimer != nil && !liveness.CallsLost(expectedCircuits-byClaimer[claimer], conn.circuitsInUse) {
		// All others' calls fit in with what the office reports.
		unverified = slices.DeleteFunc(unverified, func(call *activeCall) bool { return call.adoptedBy != claimer })
	}
	return unverified
}

// largestClaimer returns the connection on which more circuits were claimed than calls of all others take, or nil. It may be that of an
// unknown client, who claims calls that never were.
func largestClaimer(circuits map[*callerConn]int) *callerConn {
	total := 0
	for _, count := range circuits {
		total += count
	}
	for claimer, count := range circuits {
		if claimer != nil && 2*count > total {
			return claimer
		}
	}
	return nil
}

// maxReportedCircuits is the largest trunk group that is believed. It is far above any real one, and an int can hold it.
const maxReportedCircuits = 1e9

// recordGroupState keeps the circuits in use of the first group state that is reported on a connection. States without both
// values, and values that are negative, too great or NaN, are skipped.
func (c *officeConn) recordGroupState(fields []string, load []float64) {
	spare, total := slices.Index(fields, "spare"), slices.Index(fields, "total")
	if c.stateReported || spare < 0 || total < 0 || spare >= len(load) || total >= len(load) {
		return
	}
	if valid := load[spare] >= 0 && load[total] >= load[spare] && load[total] <= maxReportedCircuits; !valid { // false for NaN, too
		return
	}
	c.stateReported, c.circuitsInUse = true, int(load[total]-load[spare])
}
