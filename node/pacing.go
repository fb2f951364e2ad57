package node

import "time"

// Limits on the time that one connection from callers may take from the others.
const (
	clientShare  = 0.25                 // of the loop's time over a longer span, for a connection that has carried nothing of callers
	callerShare  = 0.75                 // for any other: callers may use few connections
	pacedBurst   = 5 * time.Millisecond // taken at once, after a rest
	maxChunkCost = time.Millisecond     // charged for one chunk: longer turns are pauses of the process
)

// pacer bounds the time that the loop spends on one connection. A connection that takes more is not read for a while, so that what
// others have sent meanwhile comes first.
type pacer struct {
	debt      time.Duration // time taken and not yet earned
	chargedAt time.Duration
}

// charge records that a chunk has taken some time, and returns for how long the connection is not to be read, so that it takes no more
// than a share of the time.
func (p *pacer) charge(now, cost time.Duration, share float64) time.Duration {
	earned := time.Duration(float64(now-p.chargedAt) * share)
	p.debt = max(0, p.debt-earned) + min(cost, maxChunkCost)
	p.chargedAt = now
	return time.Duration(float64(max(0, p.debt-pacedBurst)) / share)
}
