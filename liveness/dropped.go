package liveness

import "time"

// DropWindow is the longest time between the arrivals of the releases of calls that the same failure drops. They don't arrive
// together, since they come over connections and from offices at different distances.
const DropWindow = 100 * time.Millisecond

// DropTracker records when an established call was last dropped. It tells a dropped call from a failed set-up where the answer
// to the set-up was lost: the call was established without this call server knowing it, and an office releases both with the
// same cause. The time distinguishes them: a failure drops many calls together, while set-ups fail one by one.
type DropTracker struct {
	lastAt   time.Duration // when a call was last dropped
	recorded bool          // a call has been dropped, so that lastAt is valid
}

// Record notes that an established call was dropped.
func (t *DropTracker) Record(now time.Duration) { t.lastAt, t.recorded = now, true }

// Near reports whether the latest drop was no more than DropWindow before or after a time.
func (t *DropTracker) Near(at time.Duration) bool {
	return t.recorded && t.lastAt >= at-DropWindow && t.lastAt <= at+DropWindow
}
