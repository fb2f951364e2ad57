// Package liveness is the failure detector of the platform's call server: it judges whether an office is alive, suspected
// or failed. Activity and the time go in, heartbeats and verdicts come out. It has no clock, sockets or goroutines. All times
// are counted from one origin that the calling code chooses.
//
// If an office has crashed together with its host, the connections to it stay open without traffic, and new ones don't come up.
// Its established calls are over, and only the silence shows it. An office is therefore sent heartbeats while calls are
// established at it. One that doesn't answer is suspected and probed. If it is unreachable, so that dialled connections don't
// come up, it is declared failed in time for the ends of its calls to be reported within the limit of the protocol. A network
// partition looks the same from here, but the calls go on when it ends, so the office is not declared failed any earlier.
package liveness

import "time"

// Limits of the detector.
const (
	// EndReportLimit is the protocol's limit for reporting the end of a call if no release could be sent.
	EndReportLimit = 8 * time.Second
	// reportMargin is the part of EndReportLimit left for the reports: a pause of the process, and a release written to
	// each caller.
	reportMargin = 400 * time.Millisecond
	// FailAfter is the silence after which an unreachable office is declared failed. A call may end right after the last
	// activity of its office, so a longer silence would exceed the protocol's limit, and a shorter one gives up more calls
	// that go on after a network partition.
	FailAfter = EndReportLimit - reportMargin
	// HeartbeatAfter is the silence after which a heartbeat is sent. Calls survive a network partition that begins right
	// before a heartbeat is due, if it lasts no longer than FailAfter less HeartbeatAfter and two probe intervals. A shorter
	// silence costs more messages in large fleets.
	HeartbeatAfter = 1250 * time.Millisecond
	// probeInterval is the time between probes of a suspected office. It is short so that the end of a network partition is
	// noticed even if it is brief or comes right before calls are given up.
	probeInterval = 300 * time.Millisecond
	// connectTimeout is the longest time that a dialled connection to an office that is alive takes to come up.
	connectTimeout = time.Second
	// staleBytesWindow is the longest time after the end of a network partition in which bytes arrive that the partition
	// delayed. Bytes that come later were sent after its end.
	staleBytesWindow = 100 * time.Millisecond
	// confirmationTimeout is how long an office has, from its first unconfirmed activity on, to confirm that it is alive. It
	// is not declared failed before, even if its silence reaches the limit.
	confirmationTimeout = staleBytesWindow + 50*time.Millisecond
	// firstContactTimeout takes the place of FailAfter for an office from which nothing has come since this process started.
	// The calls that an earlier process established there may have been over for some time already, so their ends have to
	// be reported sooner.
	firstContactTimeout = 3 * time.Second
	// pauseThreshold is the delay of a check above which this process is taken to have paused, so that activity may be
	// waiting unread.
	pauseThreshold = 100 * time.Millisecond
)

// State is the verdict on an office.
type State int

// The states of an office.
const (
	Alive     State = iota // not suspected; also before anything has come from it
	Suspected              // it doesn't answer; its calls may go on
	Failed                 // declared failed: its calls are given up
)

// String returns the name of a state.
func (s State) String() string { return [...]string{"alive", "suspected", "failed"}[s] }

// Action is what the code that calls Check has to do.
type Action int

// The actions.
const (
	None      Action = iota // nothing until the next check
	Heartbeat               // send a heartbeat on one connection
	Probe                   // send a heartbeat on each connection and open another one
	Fail                    // the office is declared failed: end its established calls
)

// Detector is the failure detector for one office. The zero value is one from which nothing has come yet.
type Detector struct {
	state            State
	hasActivity      bool          // something has come from the office since this process started
	lastActivity     time.Duration // when something last came
	watchedSince     time.Duration // when Watch was last called
	firstDialAt      time.Duration // when a connection was first dialled, or when Watch was called, if earlier
	dialled          bool          // a connection was dialled since the last activity
	dialledAt        time.Duration // when the first of these was dialled
	failedDials      int           // number of connections dialled that did not come up, since the last activity
	lastRequestAt    time.Duration // when a heartbeat or probe was last asked for since the last activity; 0: none was
	checkDue         time.Duration // when the next check is due
	unconfirmed      bool          // bytes have come since the office was suspected, which may be stale
	unconfirmedSince time.Duration // when the first of these came
}

// State returns the verdict on the office.
func (d *Detector) State() State { return d.state }

// Silence returns the time since the last activity of the office, or since the start of the watch if that is later. For an
// office without any activity it is the time since a connection was first dialled or the watch began.
func (d *Detector) Silence(now time.Duration) time.Duration { return now - d.silentSince() }

// RecordActivity notes activity that can't be stale, such as a connection that came up. The office is alive. The result is the
// state before.
func (d *Detector) RecordActivity(now time.Duration) (previous State) {
	previous = d.state
	d.state, d.hasActivity, d.lastActivity = Alive, true, now
	d.dialled, d.failedDials, d.lastRequestAt, d.unconfirmed = false, 0, 0, false
	return previous
}

// RecordBytes notes bytes on a connection that was up before. While the office is suspected they may be stale: a network
// partition holds back bytes that were sent before or during it, and they arrive when it ends, even if the office has crashed
// meanwhile. The first of them are therefore unconfirmed activity: the result is true, and the calling code probes the office
// at once. Bytes that come staleBytesWindow later or after that confirm that the office is alive.
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

// RecordDial notes that a connection is dialled.
func (d *Detector) RecordDial(now time.Duration) {
	if d.firstDialAt == 0 {
		d.firstDialAt = now
	}
	if !d.dialled {
		d.dialled, d.dialledAt = true, now
	}
}

// RecordDialFailure notes that a dialled connection did not come up.
func (d *Detector) RecordDialFailure() { d.failedDials++ }

// Watch starts the detector: from now on calls are established at the office. The next check is due at once.
func (d *Detector) Watch(now time.Duration) {
	d.watchedSince, d.checkDue = now, now
	if d.firstDialAt == 0 {
		d.firstDialAt = now
	}
}

// silentSince is the beginning of the silence: the last activity or the start of the watch, whichever is later. Without any
// activity it is the first dial or the first start of a watch, whichever came first.
func (d *Detector) silentSince() time.Duration {
	if !d.hasActivity {
		return d.firstDialAt
	}
	return max(d.lastActivity, d.watchedSince)
}

// unreachable reports whether dialled connections don't come up. Connections to an office that hangs do come up: it is silent,
// too, but alive.
func (d *Detector) unreachable(now time.Duration) bool {
	return d.failedDials > 0 || d.dialled && now-d.dialledAt >= connectTimeout
}

// Check returns what to do now, and when to check again.
func (d *Detector) Check(now time.Duration) (Action, time.Duration) {
	delay := now - d.checkDue
	action, next := d.decide(now, delay > pauseThreshold)
	d.checkDue = next
	return action, next
}

// decide updates the state and returns what Check returns. After a pause of this process the office is not declared failed,
// because activity may be unread. If its silence is long enough for a heartbeat or probe, that is sent at once.
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

// nextCheck is the earlier of a requested time and the time at which the silence reaches its limit, if that is still to come.
func (d *Detector) nextCheck(now, requested, limit time.Duration) time.Duration {
	if limitAt := d.silentSince() + limit; limitAt > now {
		return min(requested, limitAt)
	}
	return requested
}

// CallsLost reports whether the established calls of an office are over after all its connections were lost: held is the
// number of circuits that they hold, used the number that the office reports in use on the same group. An office that has
// restarted knows none of them, while one that only lost its connections still holds them all. The limit of a half allows
// for calls that end meanwhile.
func CallsLost(held, used int) bool { return held > 0 && 2*used < held }

// StateLag is how old the report of an office on its group may be. Calls that have been established for a shorter time are not
// counted, since the report may not include them yet.
const StateLag = time.Second

// AdoptionWindow is how long callers may take, after a restart of this process, to name the calls that are established at one
// office, so that these are counted together.
const AdoptionWindow = time.Second

// PendingReleaseWindow is how long pending releases of an office may take to arrive on a connection that has come up. They are
// read before the calls are counted.
const PendingReleaseWindow = 200 * time.Millisecond
