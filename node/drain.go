package node

import (
	"time"

	"finchlatch/callserver"
)

// Times of a drain, which begins with SIGTERM and has two phases:
//
//  1. For drainServeTime, new calls are served as before. Subscribers stop offering calls 0.6 s after SIGTERM.
//  2. Then only transit calls are accepted, until killMargin before SIGKILL may come. They arrive for as long as the process
//     runs, and without it no other call server could use this exchange as a tandem.
//
// The platform sends SIGKILL no earlier than drainServeTime plus the longest deadline of a class, of which no more than
// maxDrainDeadline counts, after SIGTERM. Every call that was accepted in the second phase must have its final answer by then.
const (
	drainServeTime   = 700 * time.Millisecond
	maxDrainDeadline = 3 * time.Second
	// killMargin is the time between the planned end of the drain and the earliest SIGKILL, for what remains to be done then:
	// drainFinalWait, writing what is queued, and the end of the goroutines.
	killMargin         = 300 * time.Millisecond
	drainCheckInterval = 20 * time.Millisecond
	// drainFinalWait is how long the loop still runs after the listener was closed, for the requests on connections that were
	// accepted just before.
	drainFinalWait = 50 * time.Millisecond
)

// maxDeadline returns the longest deadline of a class.
func (n *Node) maxDeadline() (longest time.Duration) {
	for _, class := range n.cfg.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// advanceDrain takes the next step of a drain if it is due: it notifies the server, or stops accepting connections. It reports
// whether the drain is over: its time has passed and no call lacks its final answer, or every call that was accepted within
// drainServeTime has reached its deadline.
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
