package node

import (
	"time"

	"finchlatch/callserver"
)

// Times of a drain. Subscribers offer no calls later than 0.6 s after SIGTERM, but calls in transit arrive for as long as the
// process runs: without it no other call server can use this exchange as a tandem. SIGKILL comes no earlier than 0.7 s plus
// the longest deadline of a class (at most 3 s of it) after SIGTERM. No call that arrived later than 0.7 s after SIGTERM
// may lack its final answer then.
const (
	drainServeTime     = 700 * time.Millisecond // in which new calls are served as before
	maxDrainDeadline   = 3 * time.Second        // the part of the longest deadline that counts
	killMargin         = 300 * time.Millisecond // before the earliest SIGKILL
	drainCheckInterval = 20 * time.Millisecond
	drainFinalWait     = 50 * time.Millisecond // for the requests on connections that were accepted last
)

// maxDeadline returns the longest deadline of a class.
func (n *Node) maxDeadline() (longest time.Duration) {
	for _, class := range n.cfg.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// advanceDrain takes the next step of a drain that is due and reports whether the drain is over: its time has passed and
// no call lacks its final answer, or every call accepted within drainServeTime has reached its deadline.
func (n *Node) advanceDrain() bool {
	elapsed, duration := n.now()-n.drainStartedAt, min(n.maxDeadline(), maxDrainDeadline)+drainServeTime-killMargin
	if elapsed < drainServeTime {
		return false
	}
	if n.drainEndsAt == 0 {
		n.drainEndsAt = n.drainStartedAt + duration
		n.server.Apply(callserver.Input{At: n.now(), Kind: callserver.InDrain, EndsAt: n.drainEndsAt})
	}
	if elapsed < duration {
		return false
	}
	if n.acceptStoppedAt == 0 {
		n.acceptStoppedAt = n.now()
		n.listener.Close()
		open, established := n.server.CallCounts()
		n.log.Info("no longer accepting connections", "open", open, "standing", established)
	}
	if n.now()-n.acceptStoppedAt < drainFinalWait {
		return false
	}
	open, _ := n.server.CallCounts()
	return open == 0 || elapsed > n.maxDeadline()+drainServeTime
}

// reloadConfig reads the configuration again and applies the address of service discovery, the only setting that is
// reloaded. An invalid configuration is logged, and the current one stays in use.
func (n *Node) reloadConfig() {
	cfg, err := Load(n.configPath)
	if err != nil {
		n.log.Error("new configuration rejected, the current one stays in use", "err", err)
		return
	}
	if cfg.DiscoveryAddr == n.cfg.DiscoveryAddr {
		n.log.Info("configuration reloaded", "journal", cfg.DiscoveryAddr)
		return
	}
	n.log.Info("configuration reloaded", "journal", cfg.DiscoveryAddr, "old_journal", n.cfg.DiscoveryAddr)
	n.cfg.DiscoveryAddr = cfg.DiscoveryAddr
	n.startDiscovery(cfg.DiscoveryAddr)
}
