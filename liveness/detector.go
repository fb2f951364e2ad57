// Package liveness is the failure detector of the platform's call server: it judges whether an office is alive, suspected
// or failed. Activity and the time go in, heartbeats and verdicts come out. It has no clock, sockets or goroutines.
//
// The connections of an office that is unreachable stay open without traffic, and new ones don't come up. Its established
// calls are over, and only the silence shows it. An office is therefore sent heartbeats while calls are established at it.
// One that doesn't answer is suspected and probed, and fails in time for the ends of its calls to be reported within the
// limit of the protocol. It doesn't fail earlier, because the calls of an office that is alive behind a network partition
// go on when the partition ends.
package liveness

import "time"

// Limits of the detector.
const (
	// EndReportLimit is the protocol's limit for reporting the end of a call if no release could be sent.
	EndReportLimit = 8 * time.Second
	// reportMargin is the part of EndReportLimit left for the reports: a pause of the process, and a release written to
	// each caller.
	reportMargin = 400 * time.Millisecond
	// FailAfter is the silence after which an unreachable office fails. A call may end right after the last activity of its
	// office, so a longer silence would exceed the protocol's limit, and a shorter one gives up more calls that go on after
	// a network partition.
	FailAfter = EndReportLimit - reportMargin
	// HeartbeatAfter is the silence after which a heartbeat is sent. A network partition that begins right before a
	// heartbeat is due is survived if it ends within FailAfter less HeartbeatAfter. A shorter time costs more messages in
	// large fleets.
	HeartbeatAfter = 1250 * time.Millisecond
	// probeInterval is the time between probes of a suspected office. It is short so that the end of a network partition is
	// noticed even if it is brief or comes right before calls are given up.
	probeInterval = 300 * time.Millisecond
	// connectTimeout is the longest time that a connection to an office that is alive takes to come up.
	connectTimeout = time.Second
	// staleBytesWindow is how long bytes that a network partition delayed may arrive after its end. Those that come later
	// were sent since.
	staleBytesWindow = 100 * time.Millisecond
	// confirmationTimeout is how long after its first unconfirmed activity an office may take to confirm it, if the limit of
	// its silence passes meanwhile.
	confirmationTimeout = staleBytesWindow + 50*time.Millisecond
	// firstContactTimeout is how long an office may be unreachable from which nothing has come since this process started.
	// Calls that were established there before may have been over for some time, so there is no time to wait for FailAfter.
	firstContactTimeout = 3 * time.Second
	// pauseThreshold is the delay of a check from which on a pause of this process is suspected: activity may wait unread.
	pauseThreshold = 100 * time.Millisecond
)

// State is the verdict on an office.
type State int

// The states of an office.
const (
	Alive     State = iota
	Suspected       // it doesn't answer; its calls may go on
	Failed          // its calls are over
)

// String returns the name of a state.
func (s State) String() string { return [...]string{"alive", "suspected", "failed"}[s] }

// Action is what the caller of Check has to do.
type Action int

// The actions.
const (
	None      Action = iota
	Heartbeat        // send a heartbeat on one connection
	Probe            // send a heartbeat on each connection and open another one
	Fail             // end the established calls of the office
)

// Detector is the failure detector for one office. The zero value is one from which nothing has come yet.
type Detector struct {
	state             State
	hasActivity       bool          // something has come from the office since this process started
	lastActivity      time.Duration // when something last came
	watchedSince      time.Duration // when Watch was called
	firstContactAt    time.Duration // when a connection was first opened, or Watch called
	connectionTried   bool          // a connection was opened since the last activity
	connectionTriedAt time.Duration // when the first of these was opened
	failedConnections int           // number of connections since the last activity that did not come up
	lastRequestAt     time.Duration // when a heartbeat or probe was last asked for since the last activity; 0: none was
	checkDue          time.Duration // when the next check is due
	unconfirmed       bool          // bytes have come since the office was suspected, which may be stale
	unconfirmedSince  time.Duration // when the first of these came
}

// State is the verdict on the office.
func (d *Detector) State() State { return d.state }

// Silence is the time since the last activity of the office.
func (d *Detector) Silence(now time.Duration) time.Duration { return now - d.silentSince() }

// RecordActivity notes present activity: a connection that came up, or the answer to a probe. It returns the state before.
func (d *Detector) RecordActivity(now time.Duration) (previous State) {
	previous = d.state
	d.state, d.hasActivity, d.lastActivity = Alive, true, now
	d.connectionTried, d.failedConnections, d.lastRequestAt, d.unconfirmed = false, 0, 0, false
	return previous
}

// RecordBytes notes bytes on a connection that was up before. While the office is suspected they may be stale: a network
// partition delays them and lets them through when it ends, and the office may fail at that moment. The first of them are
// therefore unconfirmed activity, on which the caller probes the office at once, and bytes that come a moment later confirm
// that it is alive. The result is true for the first.
func (d *Detector) RecordBytes(now time.Duration) (first bool) {
	switch {
	case d.state != Suspected:
		d.RecordActivity(now)
	case !d.unconfirmed:
		d.unconfirmed, d.unconfirmedSince = true, now
		return true
	case now-d.unconfirmedSince >= staleBytesWindow:
		d.RecordActivity(now)
	}
	return false
}

// HasUnconfirmedActivity reports whether there is unconfirmed activity: the office is suspected, and bytes have come since.
func (d *Detector) HasUnconfirmedActivity() bool { return d.unconfirmed }

// RecordDial notes that a connection is being opened.
func (d *Detector) RecordDial(now time.Duration) {
	if d.firstContactAt == 0 {
		d.firstContactAt = now
	}
	if !d.connectionTried {
		d.connectionTried, d.connectionTriedAt = true, now
	}
}

// RecordDialFailure notes that a connection did not come up.
func (d *Detector) RecordDialFailure() { d.failedConnections++ }

// Watch starts the detector: from now on calls are established at the office. The next check is due at once.
func (d *Detector) Watch(now time.Duration) {
	d.watchedSince, d.checkDue = now, now
	if d.firstContactAt == 0 {
		d.firstContactAt = now
	}
}

// silentSince is the beginning of the silence: the last activity, the start of the watch if that is later, or the first
// contact if there was no activity.
func (d *Detector) silentSince() time.Duration {
	if !d.hasActivity {
		return d.firstContactAt
	}
	return max(d.lastActivity, d.watchedSince)
}

// unreachable reports whether connections don't come up. Those to an office that hangs do: it is silent, too, but alive.
func (d *Detector) unreachable(now time.Duration) bool {
	return d.failedConnections > 0 || d.connectionTried && now-d.connectionTriedAt >= connectTimeout
}

// Check returns what to do now, and when to check again.
func (d *Detector) Check(now time.Duration) (Action, time.Duration) {
	delay := now - d.checkDue
	action, next := d.decide(now, delay > pauseThreshold)
	d.checkDue = next
	return action, next
}

// decide updates the state and returns what Check returns. After a pause of this process the office doesn't fail, because
// activity may be unread, and is probed at once.
func (d *Detector) decide(now time.Duration, paused bool) (Action, time.Duration) {
	limit := FailAfter
	if !d.hasActivity {
		limit = firstContactTimeout
	}
	silence := now - d.silentSince()
	switch {
	case d.state == Failed:
		return None, now + probeInterval
	case d.hasActivity && silence < HeartbeatAfter:
		return None, d.silentSince() + HeartbeatAfter
	case d.unconfirmed && silence >= limit && now-d.unconfirmedSince < confirmationTimeout:
		return None, d.unconfirmedSince + confirmationTimeout
	case silence >= limit && d.unreachable(now) && !paused:
		d.state = Failed
		return Fail, now + probeInterval
	case d.lastRequestAt > 0 && now-d.lastRequestAt < probeInterval && !paused:
		return None, d.nextCheck(now, d.lastRequestAt+probeInterval, limit)
	}
	action := Heartbeat
	if d.lastRequestAt > 0 || !d.hasActivity {
		d.state, action = Suspected, Probe
	}
	d.lastRequestAt = now
	return action, d.nextCheck(now, now+probeInterval, limit)
}

// nextCheck is the earlier of a requested time and the end of the longest silence, if that is still to come.
func (d *Detector) nextCheck(now, requested, limit time.Duration) time.Duration {
	if limitAt := d.silentSince() + limit; limitAt > now {
		return min(requested, limitAt)
	}
	return requested
}

// CallsLost reports whether the established calls of an office are over after all its connections were lost: held is the
// number of circuits that they hold, used the number that the office reports in use on the same group. A process that has
// restarted knows none of them, while one that only lost its connections still holds them all. The limit of a half allows
// for calls that end meanwhile.
func CallsLost(held, used int) bool { return held > 0 && 2*used < held }

// StateLag is how old the report of an office on its group may be. Calls that were established for a shorter time are not
// counted, since the report may not include them yet.
const StateLag = time.Second

// AdoptionWindow is how long callers may take, after a restart of this process, to name the calls that are established at one
// office, so that these are counted together.
const AdoptionWindow = time.Second

// PendingReleaseWindow is how long pending releases of an office may take to arrive on a connection that has come up. They are
// read before the calls are counted.
const PendingReleaseWindow = 200 * time.Millisecond
