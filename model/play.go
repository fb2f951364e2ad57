package model

import (
	"fmt"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/router"
)

// fault injects a kind of fault into a fleet, and ends it; end is nil if the fault ends by itself.
type fault struct {
	begin, end func(f *Fleet, step simenv.Step, affected []*node)
}

// Down times of a call server that restarts, and the time between releasing all calls and stopping in a replacement.
const (
	restartTime     = 350 * time.Millisecond // on the same processor
	replaceTime     = 700 * time.Millisecond // on a new, cold processor
	releaseAllGrace = 100 * time.Millisecond
)

// faults are the kinds of fault by their names in scripts: the same as on sockets.
var faults = map[string]fault{
	"jump": {func(f *Fleet, step simenv.Step, _ []*node) { f.scaleRates(f.nodes, step.Size) },
		func(f *Fleet, step simenv.Step, _ []*node) { f.scaleRates(f.nodes, 1) }},
	"flood": {func(f *Fleet, step simenv.Step, affected []*node) { f.scaleRates(affected, step.Size) },
		func(f *Fleet, step simenv.Step, affected []*node) { f.scaleRates(affected, 1) }},
	"hot_number": {(*Fleet).startHotNumber, func(f *Fleet, _ simenv.Step, _ []*node) { f.hotShare = 0 }},
	"region_loss": {func(f *Fleet, step simenv.Step, _ []*node) { f.setBlocked(step, true) },
		func(f *Fleet, step simenv.Step, _ []*node) { f.setBlocked(step, false) }},
	"mass_cut": {(*Fleet).dropCalls, nil},
	"silence": {func(f *Fleet, _ simenv.Step, affected []*node) {
		for _, n := range affected {
			n.processor.StopResponding()
			f.announce(n, logic.Gone, false, true)
		}
	}, (*Fleet).restartProcessors},
	"hang": {forEach(func(n *node, _ simenv.Step) { n.processor.IgnoreSetUps(true) }),
		forEach(func(n *node, _ simenv.Step) { n.processor.IgnoreSetUps(false) })},
	"late_answer": {forEach(func(n *node, step simenv.Step) { n.lines.ExtraDelay = time.Duration(step.Size * float64(time.Second)) }),
		forEach(func(n *node, _ simenv.Step) { n.lines.ExtraDelay = 0 })},
	"replace": {(*Fleet).replaceProcessors, nil},
	"unit": {func(f *Fleet, _ simenv.Step, affected []*node) {
		for _, n := range affected {
			f.restartServer(n, replaceTime, true)
		}
	}, nil},
	"restart": {func(f *Fleet, step simenv.Step, affected []*node) {
		for i, n := range affected {
			f.schedule(time.Duration(step.Len)*time.Duration(i)/time.Duration(len(affected)),
				func() { f.restartServer(n, restartTime, false) })
		}
	}, nil},
	"stall": {(*Fleet).stallProcessors, nil},
	"slow": {func(f *Fleet, step simenv.Step, _ []*node) {
		for _, n := range f.nodes {
			n.processor.SlowDown(step.Size, f.now+time.Duration(step.Len))
		}
	}, nil},
	"ageing": {forEach(func(n *node, step simenv.Step) {
		n.processor.Age(n.fleet.now, (step.Size-1)/time.Duration(step.Len).Seconds())
	}), (*Fleet).restartProcessors},
	"late_list": {func(f *Fleet, step simenv.Step, _ []*node) {
		f.discoveryDelay = time.Duration(step.Size * float64(time.Second))
	}, func(f *Fleet, _ simenv.Step, _ []*node) { f.discoveryDelay = 0 }},
	"flap": {func(f *Fleet, step simenv.Step, _ []*node) {
		for i, a := range f.nodes {
			for _, b := range f.nodes[i+1:] {
				if f.rng.Float64() < step.Part {
					f.breakAssociation(a, b)
				}
			}
		}
	}, nil},
	"give_up": {func(f *Fleet, step simenv.Step, _ []*node) { f.setPatience(step.Size) },
		func(f *Fleet, _ simenv.Step, _ []*node) { f.setPatience(0) }},
	"client_flap": {forEach(func(n *node, _ simenv.Step) {
		if n.router != nil {
			n.access[0].loseConnection()
			n.recordEvent(rulecheck.ConnectionLost, "counters")
			n.router.Disconnected(n.fleet.now, n.countersLink(), -1)
			n.router.Connected(n.fleet.now, n.countersLink())
			n.access[0].connect()
			n.applyEffects()
		}
	}), nil},
}

// forEach returns a fault function that is applied to each affected exchange.
func forEach(apply func(n *node, step simenv.Step)) func(*Fleet, simenv.Step, []*node) {
	return func(_ *Fleet, step simenv.Step, affected []*node) {
		for _, n := range affected {
			apply(n, step)
		}
	}
}

// Play plays a script: it starts the callers, injects each fault at its time, stops the callers, and runs for drainTime
// more, in which the last calls end.
func (f *Fleet) Play(script simenv.Script, drainTime time.Duration) error {
	for i, step := range script.Steps {
		if _, ok := faults[step.Kind]; !ok {
			return fmt.Errorf("model: steps[%d].kind: unknown kind %q", i, step.Kind)
		}
	}
	for _, step := range script.Steps {
		affected, fault := f.selectNodes(step), faults[step.Kind]
		f.schedule(time.Duration(step.At), func() { fault.begin(f, step, affected) })
		if fault.end != nil {
			f.schedule(time.Duration(step.At+step.Len), func() { fault.end(f, step, affected) })
		}
	}
	for _, n := range f.nodes {
		n.callers.Start()
	}
	f.runUntil(f.now + time.Duration(script.Len))
	for _, n := range f.nodes {
		n.callers.Stop()
	}
	f.runUntil(f.now + drainTime)
	return nil
}

// selectNodes returns the exchanges that a step affects.
func (f *Fleet) selectNodes(step simenv.Step) (nodes []*node) {
	for _, i := range step.SelectExchanges(f.rng, f.names) {
		nodes = append(nodes, f.nodes[i])
	}
	return nodes
}

// scaleRates sets the call rate of exchanges to a multiple of the usual one.
func (f *Fleet) scaleRates(nodes []*node, factor float64) {
	for _, n := range nodes {
		n.callers.SetRate(factor * f.settings.Rate / float64(len(f.nodes)))
	}
}

// setPatience sets the share of their patience that callers wait; 0: all of it.
func (f *Fleet) setPatience(share float64) {
	for _, n := range f.nodes {
		n.callers.PatienceFactor = share
	}
}

// startHotNumber makes a random exchange own a number that a share of all callers calls and that has few lines.
func (f *Fleet) startHotNumber(step simenv.Step, _ []*node) {
	f.hotOwner = f.rng.IntN(len(f.nodes))
	f.hotNumber, f.hotShare = fmt.Sprintf("5%04d99999", f.hotOwner+1), step.Part
	f.nodes[f.hotOwner].lines.LineCounts[f.hotNumber] = int(step.Size)
}

// setBlocked blocks or unblocks part of the circuits between a region and the others, from the region's side.
func (f *Fleet) setBlocked(step simenv.Step, blocked bool) {
	for _, a := range f.nodes {
		for i, b := range f.nodes {
			if a.router != nil && a.region == step.Region && b.region != step.Region {
				id := router.PeerID(a.linkOf(i))
				a.router.Block(f.now, id, int(step.Part*float64(f.group)+0.5), isup.Hardware, blocked)
			}
		}
		a.applyEffects()
	}
}

// dropCalls resets part of the circuits of established calls in each trunk group.
func (f *Fleet) dropCalls(step simenv.Step, _ []*node) {
	for i, a := range f.nodes {
		for j := i + 1; j < len(f.nodes) && a.router != nil; j++ {
			id := router.PeerID(a.linkOf(j))
			g := a.router.Groups()[id]
			a.router.Reset(f.now, id, int(step.Part*float64(g.In+g.Out)+0.5))
		}
		a.applyEffects()
	}
}

// restartProcessors restarts the processors of the affected exchanges.
func (f *Fleet) restartProcessors(_ simenv.Step, affected []*node) {
	for _, n := range affected {
		f.restartProcessor(n)
	}
}

// restartProcessor restarts a processor, which is cold then, and announces it.
func (f *Fleet) restartProcessor(n *node) {
	n.processor.Restart(f.now)
	n.recordEvent(rulecheck.Started, "")
	f.announce(n, logic.Ready, true, false)
}

// restartServer crashes a call server and starts it again after downTime, on a new processor if cold is set.
func (f *Fleet) restartServer(n *node, downTime time.Duration, cold bool) {
	if n.router == nil {
		return
	}
	n.crash()
	f.schedule(downTime, func() {
		if cold {
			f.restartProcessor(n)
		}
		n.restart()
	})
}

// replaceProcessors moves exchanges to new processors, one after the other: each drains, releases its calls, stops, and
// restarts on a cold processor.
func (f *Fleet) replaceProcessors(step simenv.Step, affected []*node) {
	interval := time.Duration(step.Len) / time.Duration(len(affected))
	for i, n := range affected {
		f.schedule(interval*time.Duration(i), func() {
			if n.router == nil {
				return
			}
			f.announce(n, logic.Draining, false, false)
			n.router.Drain(f.now)
			n.applyEffects()
			generation := n.generation
			f.schedule(interval/2, func() {
				if n.router != nil && n.generation == generation {
					n.router.ReleaseAll(f.now)
					n.applyEffects()
					f.schedule(releaseAllGrace, func() { f.restartServer(n, replaceTime, true) })
				}
			})
		})
	}
}

// stallProcessors pauses processors repeatedly, each with a random interval of its own.
func (f *Fleet) stallProcessors(step simenv.Step, affected []*node) {
	for _, n := range affected {
		pause := time.Duration((2 + f.rng.Float64()*2) * float64(time.Second))
		for at := time.Duration(0); at < time.Duration(step.Len); at += pause {
			f.schedule(at, func() { n.processor.Stall(f.now + time.Duration(step.Size*float64(time.Second))) })
		}
	}
}

// CheckIdle returns an error for the first trunk group with a circuit that is not free, or for calls that are still held.
// There should be none after Play. A collapsed processor never responds again, so circuits toward it, and calls on them,
// may wait for ever and are not reported.
func (f *Fleet) CheckIdle() error {
	for _, n := range f.nodes {
		if n.router == nil || n.processor.Collapsed() {
			continue
		}
		for i, group := range n.router.Groups() {
			peerCollapsed := i < int(n.countersLink()) && f.nodes[n.peerOf(router.LinkID(i))].processor.Collapsed()
			if group.Spare != group.Size && !peerCollapsed {
				return fmt.Errorf("model: %s: circuits are not free: %+v", n.name, group)
			}
		}
		if activeCalls, _ := n.router.CallCounts(); activeCalls > 0 && f.CollapsedCount() == 0 {
			return fmt.Errorf("model: %s holds %d calls: %+v", n.name, activeCalls, n.router.Calls(f.now, 3))
		}
	}
	return nil
}

// CheckCircuitAccounting returns an error for the first trunk group with inconsistent circuit accounting, or if calls
// without a final answer wait in a Router that has no timer and would never be handled again.
func (f *Fleet) CheckCircuitAccounting() error {
	for _, n := range f.nodes {
		if n.router == nil {
			continue
		}
		for _, group := range n.router.Groups() {
			busy := group.Out + group.In + group.Releasing + group.Resetting
			if group.Spare < 0 || group.Spare > group.Total || group.Total > group.Size || busy > group.Size ||
				group.Spare+busy > group.Size || group.Spare+busy+group.Blocked < group.Size {
				return fmt.Errorf("model: %s at %v: inconsistent circuit accounting: %+v", n.name, f.now, group)
			}
		}
		_, unanswered := n.router.CallCounts()
		if _, hasTimer := n.router.NextTimer(); unanswered > 0 && !hasTimer {
			return fmt.Errorf("model: %s at %v: %d calls without a final answer, and no timer", n.name, f.now, unanswered)
		}
	}
	return nil
}

// CollapsedCount returns the number of processors that have collapsed under load while cold.
func (f *Fleet) CollapsedCount() (count int) {
	for _, n := range f.nodes {
		if n.processor.Collapsed() {
			count++
		}
	}
	return count
}
