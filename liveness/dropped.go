package liveness

import "time"

// DropWindow is how far apart the releases of calls that one cause drops may arrive: offices and their connections differ in
// distance.
const DropWindow = 100 * time.Millisecond

// DropTracker records when established calls were last dropped. An office reports a dropped call and a set-up that failed on
// its way with the same cause. If the answer to a set-up was lost, its call was established, and its drop looks like a failed
// set-up. The two are distinguished by time: a failure drops many calls together, while set-ups fail one by one.
type DropTracker struct {
	lastAt time.Duration // when a call was last dropped
	seen   bool          // a call was dropped
}

// Record notes that an established call was dropped.
func (t *DropTracker) Record(now time.Duration) { t.lastAt, t.seen = now, true }

// Near reports whether the latest drop was within DropWindow of a time.
func (t *DropTracker) Near(at time.Duration) bool {
	return t.seen && t.lastAt >= at-DropWindow && t.lastAt <= at+DropWindow
}
