package liveness

import "time"

// CutSpread is how far apart the releases of calls that one cause drops may arrive: offices and their connections differ in
// distance.
const CutSpread = 100 * time.Millisecond

// Cuts records when established calls were last dropped. An office reports a dropped call and a set-up that failed on its
// way with the same cause. If the answer to a set-up was lost, its call was established, and its drop looks like a failed
// set-up. The two are told apart by time: a failure drops many calls together, while set-ups fail one by one.
type Cuts struct {
	lastAt time.Duration // when a call was last dropped
	seen   bool          // a call was dropped
}

// Cut notes that an established call was dropped.
func (c *Cuts) Cut(now time.Duration) { c.lastAt, c.seen = now, true }

// Near reports whether the latest drop was within CutSpread of a time.
func (c *Cuts) Near(at time.Duration) bool {
	return c.seen && c.lastAt >= at-CutSpread && c.lastAt <= at+CutSpread
}
