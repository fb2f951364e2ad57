package liveness

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// runChecks calls Check whenever a check is due, from one time until before another, and passes the actions other than None to
// a function.
func runChecks(d *Detector, from, until time.Duration, handle func(now time.Duration, action Action)) {
	for now := from; now < until; {
		action, next := d.Check(now)
		if action != None {
			handle(now, action)
		}
		if next <= now {
			panic("the next check is due at once")
		}
		now = next
	}
}

// An office that becomes unreachable is suspected first and probed often. It is declared failed in time for the reports to its
// callers, not earlier.
func TestUnreachableOfficeIsDeclaredFailedInTime(t *testing.T) {
	for _, interval := range []time.Duration{50 * ms, 400 * ms, 1100 * ms} { // between activities while it is reachable
		d := &Detector{}
		d.RecordDial(1000 * ms)
		d.Watch(1000 * ms)
		lastActivity := 1000 * ms
		for at := 1000 * ms; at < 6000*ms; at += interval {
			d.RecordActivity(at)
			lastActivity = at
		}
		var failedAt time.Duration
		requests := 0
		suspected := false
		runChecks(d, lastActivity, 30*time.Second, func(now time.Duration, action Action) {
			switch action {
			case Heartbeat:
				requests++
			case Probe:
				requests++
				suspected = suspected || d.State() == Suspected
				d.RecordDial(now)
				d.RecordDialFailure()
			case Fail:
				if failedAt > 0 {
					t.Error("the office is declared failed twice")
				}
				failedAt = now
			}
		})
		if failedAt-lastActivity != FailAfter {
			t.Errorf("activity every %v: the office is declared failed %v after the last", interval, failedAt-lastActivity)
		}
		if !suspected || requests < 8 {
			t.Errorf("activity every %v: suspected %v, %d heartbeats and probes before it was declared failed", interval, suspected, requests)
		}
	}
	if EndReportLimit-FailAfter < 200*ms {
		t.Error("no time is left for the reports")
	}
}

// A network partition that ends in time drops no call, whenever it begins.
func TestShortPartitionIsSurvived(t *testing.T) {
	longest := FailAfter - HeartbeatAfter - 2*probeInterval
	if longest < 5*time.Second {
		t.Errorf("only a network partition of %v is survived", longest)
	}
	for phase := time.Duration(0); phase < 2*HeartbeatAfter; phase += 50 * ms {
		d := &Detector{}
		d.RecordDial(0)
		d.Watch(1)
		d.RecordActivity(1)
		begin, end := 5*time.Second+phase, 5*time.Second+phase+longest
		runChecks(d, 1, 20*time.Second, func(now time.Duration, action Action) {
			switch {
			case action == Fail:
				t.Errorf("partition at %v for %v: the office is declared failed at %v", begin, longest, now)
			case now < begin || now >= end:
				d.RecordActivity(now)
			case action == Probe:
				d.RecordDial(now)
				d.RecordDialFailure()
			}
		})
	}
}

// An office that hangs accepts connections and sends nothing: it is alive.
func TestHangingOfficeIsAlive(t *testing.T) {
	d := &Detector{}
	d.RecordDial(1)
	d.Watch(1)
	d.RecordActivity(1)
	probes := 0
	runChecks(d, 1, time.Minute, func(now time.Duration, action Action) {
		switch action {
		case Fail:
			t.Fatalf("the office is declared failed at %v", now)
		case Probe:
			probes++
			d.RecordDial(now)
			d.RecordActivity(now) // the connection comes up
		}
	})
	if probes < 10 {
		t.Errorf("%d probes in a minute, want 10 or more", probes)
	}
}

// An office is not declared failed, however long the silence, unless a dialled connection doesn't come up.
func TestSilenceAloneIsNoFailure(t *testing.T) {
	d := &Detector{}
	d.Watch(1)
	d.RecordActivity(1)
	runChecks(d, 1, time.Minute, func(now time.Duration, action Action) {
		if action == Fail {
			t.Fatalf("the office is declared failed at %v, and no connection was dialled", now)
		}
	})
}

// A connection may come up late; only one that takes longer than connectTimeout counts as failed.
func TestLateConnectionIsNoFailure(t *testing.T) {
	d := &Detector{}
	d.Watch(1)
	d.RecordActivity(1)
	for now := time.Duration(1); now < FailAfter+500*ms; {
		action, next := d.Check(now)
		if action == Fail {
			t.Fatalf("the office is declared failed at %v", now)
		}
		if now >= FailAfter-400*ms && !d.dialled {
			d.RecordDial(now) // for the first time, and shortly before the limit
		}
		now = next
	}
}

// After a pause of this process activity may wait unread: the office is probed once more before it is declared failed.
func TestPauseOfTheProcessIsNoFailure(t *testing.T) {
	d := &Detector{}
	d.Watch(1)
	d.RecordActivity(1)
	_, firstCheck := d.Check(1)
	d.Check(firstCheck)
	d.RecordDial(firstCheck)
	d.RecordDialFailure()
	resumed := firstCheck + time.Minute
	action, next := d.Check(resumed)
	if action != Probe || next > resumed+probeInterval {
		t.Fatalf("after a pause: action %d, want 2 (Probe); next check %v later", action, next-resumed)
	}
	d.RecordActivity(resumed + 10*ms)
	if action, _ = d.Check(next); action == Fail {
		t.Fatal("the office is declared failed in spite of activity")
	}
	if action, next = d.Check(next + time.Minute); action == Fail {
		t.Fatal("the office is declared failed at once after a second pause")
	}
	d.RecordDial(next)
	d.RecordDialFailure()
	if action, _ = d.Check(next); action != Fail {
		t.Fatalf("no activity after the pause either: action %d, want 3 (Fail)", action)
	}
}

// Calls that callers name at an office which this process never reached are not kept for long.
func TestOfficeThatWasNeverReached(t *testing.T) {
	d := &Detector{}
	for at := 1000 * ms; at < 6000*ms; at += 600 * ms {
		d.RecordDial(at)
		d.RecordDialFailure()
	}
	d.Watch(6000 * ms)
	if action, _ := d.Check(6000 * ms); action != Fail {
		t.Errorf("unreachable for 5 s: action %d, want 3 (Fail)", action)
	}
	d = &Detector{}
	d.RecordDial(1000 * ms)
	d.Watch(1100 * ms)
	var failedAt time.Duration
	runChecks(d, 1100*ms, 20*time.Second, func(now time.Duration, action Action) {
		if action == Probe {
			d.RecordDial(now)
			d.RecordDialFailure()
		} else if action == Fail {
			failedAt = now
		}
	})
	if failedAt != 1000*ms+firstContactTimeout {
		t.Errorf("the office is declared failed at %v, not firstContactTimeout after its first dial", failedAt)
	}
}

// When a watch begins long after the last activity, the office is not declared failed before it was sent a heartbeat.
func TestLateWatchSendsHeartbeatFirst(t *testing.T) {
	d := &Detector{}
	d.RecordActivity(1000 * ms)
	d.RecordDial(2000 * ms)
	d.RecordDialFailure()
	d.Watch(time.Minute)
	if action, next := d.Check(time.Minute); action == Fail || next > time.Minute+HeartbeatAfter {
		t.Errorf("at the start of the watch: action %d, want any but 3 (Fail); next check at %v", action, next)
	}
}

// Activity of an office that was declared failed is reported with the state Failed as the previous one, and the office is
// alive.
func TestActivityOfAFailedOffice(t *testing.T) {
	d := &Detector{state: Failed, hasActivity: true}
	if action, _ := d.Check(time.Hour); action != None {
		t.Errorf("a failed office: action %d, want 0 (None)", action)
	}
	if previous := d.RecordActivity(time.Hour); previous != Failed || d.State() != Alive {
		t.Errorf("activity of a failed office: the state was %v, want failed, and is %v, want alive", previous, d.State())
	}
}

func TestCallsLost(t *testing.T) {
	for _, tt := range []struct {
		held, used int
		lost       bool
	}{{0, 0, false}, {1, 0, true}, {1, 1, false}, {10, 0, true}, {10, 4, true}, {10, 5, false}, {10, 30, false}} {
		if CallsLost(tt.held, tt.used) != tt.lost {
			t.Errorf("%d circuits held, %d used: CallsLost returns %v", tt.held, tt.used, !tt.lost)
		}
	}
}

// newSilentDetector makes a Detector of an office whose last activity was at a time.
func newSilentDetector(lastActivity time.Duration) *Detector {
	d := &Detector{}
	d.RecordDial(1)
	d.Watch(1)
	d.RecordActivity(lastActivity)
	return d
}

// A network partition that ends lets delayed bytes through, and the office crashes at that moment. It must be declared failed
// in time all the same.
func TestStaleBytesAreNotConfirmedActivity(t *testing.T) {
	const lastActivity = time.Second
	d := newSilentDetector(lastActivity)
	var failedAt time.Duration
	firstBytes, delivered := 0, false
	runChecks(d, lastActivity, 30*time.Second, func(now time.Duration, action Action) {
		switch {
		case action == Probe:
			d.RecordDial(now)
			d.RecordDialFailure()
		case action == Fail:
			failedAt = now
		}
		if !delivered && now >= 5*time.Second {
			delivered = true
			for at := now; at < now+staleBytesWindow; at += 10 * ms {
				if d.RecordBytes(at) {
					firstBytes++
				}
			}
		}
	})
	if firstBytes != 1 || failedAt-lastActivity != FailAfter {
		t.Errorf("unconfirmed activity begins %d times and the office is declared failed %v after its last activity",
			firstBytes, failedAt-lastActivity)
	}
}

// Bytes that come a moment after the end of a network partition, or a connection that comes up, confirm that the office is
// alive.
func TestActivityAfterAPartitionIsConfirmed(t *testing.T) {
	for name, confirm := range map[string]func(d *Detector, now time.Duration){
		"bytes":        func(d *Detector, now time.Duration) { d.RecordBytes(now + staleBytesWindow) },
		"a connection": func(d *Detector, now time.Duration) { d.RecordActivity(now) },
	} {
		d := newSilentDetector(time.Second)
		runChecks(d, time.Second, 5*time.Second, func(now time.Duration, action Action) {
			if action == Probe {
				d.RecordDial(now)
				d.RecordDialFailure()
			}
		})
		if d.State() != Suspected || !d.RecordBytes(5*time.Second) || d.State() != Suspected || !d.HasUnconfirmedActivity() {
			t.Fatalf("%s: state %v before the confirmation", name, d.State())
		}
		confirm(d, 5*time.Second)
		if d.State() != Alive || d.HasUnconfirmedActivity() {
			t.Errorf("%s: state %v after the confirmation, or activity still unconfirmed", name, d.State())
		}
	}
}

// An office with unconfirmed activity at the limit of its silence gets confirmationTimeout to confirm it, and no more.
func TestUnconfirmedActivityAtTheLimit(t *testing.T) {
	for _, alive := range []bool{true, false} {
		const lastActivity = time.Second
		d := newSilentDetector(lastActivity)
		var failedAt time.Duration
		runChecks(d, lastActivity, 20*time.Second, func(now time.Duration, action Action) {
			switch action {
			case Probe:
				d.RecordDial(now)
				d.RecordDialFailure()
			case Fail:
				failedAt = now
			}
			if bytesFrom := lastActivity + FailAfter - probeInterval; now >= bytesFrom && now < lastActivity+FailAfter {
				d.RecordBytes(lastActivity + FailAfter - 10*ms)
				if alive {
					d.RecordActivity(lastActivity + FailAfter + staleBytesWindow)
				}
			}
			if failedAt == 0 && alive && now > lastActivity+FailAfter {
				d.RecordActivity(now)
			}
		})
		if alive && failedAt != 0 {
			t.Errorf("the office is declared failed %v after its last activity, and is alive", failedAt-lastActivity)
		}
		if elapsed := failedAt - lastActivity; !alive && (elapsed <= FailAfter || elapsed > EndReportLimit-200*ms) {
			t.Errorf("the office is declared failed %v after its last activity", elapsed)
		}
	}
}
