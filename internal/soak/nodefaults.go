package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"finchlatch/internal/rulecheck"
)

// restart shuts call servers down in order, one after another, and starts them again.
func (f *fleet) restart(fault Fault) {
	for _, n := range f.affectedNodes(fault) {
		n.restart(fault)
	}
}

// Times after which the platform sends SIGKILL to a process that has received SIGTERM: the longest deadline of a class, but at most
// maxDrainDeadline, and drainServeTime. A call that is taken later than drainServeTime after SIGTERM must be answered by then.
const (
	maxDrainDeadline = 3 * time.Second
	drainServeTime   = 700 * time.Millisecond
)

// restart sends SIGTERM, then SIGKILL as early as the platform may send it, and starts a new process. Callers continue meanwhile.
func (n *node) restart(fault Fault) {
	n.processMu.Lock()
	defer n.processMu.Unlock()
	p := n.runningProcess()
	if p == nil {
		return
	}
	n.fleet.mu.Lock()
	if n.fleet.hangingOffices > 0 {
		n.fleet.counts.add(hardDrainHang, 1)
	}
	n.fleet.mu.Unlock()
	termSentAt := n.fleet.env.Now()
	p.mu.Lock()
	p.termSentAt = termSentAt
	p.mu.Unlock()
	kill := time.NewTimer(min(n.fleet.scenario.Deployment.longestDeadline(), maxDrainDeadline) + drainServeTime)
	p.signal(syscall.SIGTERM)
	if fault.Kind == RestartWithReload {
		n.fleet.counts.add(hardSignals, 1)
		n.reconfigure()
		p.signal(syscall.SIGTERM)
		n.reconfigure()
	}
	<-kill.C
	n.fleet.reportKilled(n, termSentAt+drainServeTime)
	p.kill()
	n.startAgain(fault)
}

// killNode ends call servers by SIGKILL without warning and starts them again.
func (f *fleet) killNode(fault Fault) {
	for _, n := range f.affectedNodes(fault) {
		n.processMu.Lock()
		if p := n.runningProcess(); p != nil {
			f.reportKilled(n, noEnd)
			p.kill()
			n.startAgain(fault)
		}
		n.processMu.Unlock()
	}
}

// reportKilled tells the checker that a call server is killed: callers retry the unanswered calls that it took at retryCutoff or
// earlier, and unanswered calls taken later are violations.
func (f *fleet) reportKilled(node *node, retryCutoff time.Duration) {
	f.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.Killed(at, node.name, retryCutoff) })
}

// startAgain starts the process of a call server again after the duration of the fault, and has callers name their established
// calls to it.
func (n *node) startAgain(fault Fault) {
	time.Sleep(time.Duration(fault.For))
	if err := n.start(); err != nil {
		n.fleet.processFault(n.name, "%v", err)
		return
	}
	n.nameEstablishedCalls()
}

// floodConnOpen is how long a connection of a connection flood stays open.
const floodConnOpen = 2 * time.Second

// connectionFlood opens many connections that only send a health check.
func (f *fleet) connectionFlood(fault Fault) {
	for _, n := range f.affectedNodes(fault) {
		f.repeat(fault, 5*time.Millisecond, func() {
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				n.heldHealthCheck(floodConnOpen)
			}()
		})
	}
}

// unknownClients opens connections that send garbage, or an INVITE with an invalid length and then garbage.
func (f *fleet) unknownClients(fault Fault) {
	for _, n := range f.affectedNodes(fault) {
		r := rand.New(rand.NewPCG(f.scenario.Seed, 77))
		f.repeat(fault, 50*time.Millisecond, func() {
			garbage := make([]byte, 1+r.IntN(20000))
			for i := range garbage {
				garbage[i] = byte(r.Uint32())
			}
			if r.IntN(2) == 0 {
				garbage = slices.Concat([]byte("INVITE sip:1@net SIP/2.0\r\nContent-Length: -3\r\n\r\n"), garbage)
			}
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				n.runUnknownClient(garbage)
			}()
		})
	}
}

// closeCallerConns has callers close all their connections and open none for some time.
func (f *fleet) closeCallerConns(fault Fault) {
	for _, n := range f.affectedNodes(fault) {
		n.mu.Lock()
		n.noNewConns = true
		conns := slices.Clone(n.conns)
		n.mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	}
	time.Sleep(time.Duration(fault.For))
	for _, n := range f.affectedNodes(fault) {
		n.mu.Lock()
		n.noNewConns = false
		n.mu.Unlock()
	}
}
