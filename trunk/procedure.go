package trunk

import (
	"fmt"
	"slices"
	"time"

	"finchlatch/isup"
)

// procedureKind is the kind of a procedure, by which its acknowledgement is matched and handled.
type procedureKind byte

const (
	releaseProcedure  procedureKind = iota // REL, ended by RLC
	resetProcedure                         // RSC or GRS, ended by RLC or GRA
	blockingProcedure                      // BLO, UBL, CGB, CGU, ended by their acknowledgements
)

// procedure is a message that is sent again until the far end acknowledges it.
type procedure struct {
	kind         procedureKind
	circuits     []int // indexes into Group.circuits
	message      *isup.Message
	blockingType isup.BlockingType // of blocking procedures: maintenance or hardware
	shortTimer   time.Duration     // interval of retransmission: T1 or T12
	longTimer    time.Duration     // T5 or T13
	shortExpiry  time.Duration     // time of the next retransmission
	longExpiry   time.Duration     // time at which the long timer expires
}

// startProcedure sends the message of a procedure and starts its two timers.
func (g *Group) startProcedure(now time.Duration, proc *procedure) {
	proc.shortExpiry, proc.longExpiry = now+proc.shortTimer, now+proc.longTimer
	g.pending = append(g.pending, proc)
	g.send(proc.message)
}

// Deadline returns the time at which Tick must be called next; false if no timer runs.
func (g *Group) Deadline() (deadline time.Duration, ok bool) {
	for _, p := range g.pending {
		if expiry := min(p.shortExpiry, p.longExpiry); !ok || expiry < deadline {
			deadline, ok = expiry, true
		}
	}
	return deadline, ok
}

// Tick sends unacknowledged messages again. When the long timer of a procedure expires, maintenance is alerted. A REL is then
// replaced by RSC (T5, Q.764 2.9.6); other messages are repeated at the interval of the long timer.
func (g *Group) Tick(now time.Duration) {
	var expired []*procedure
	for _, p := range g.pending {
		switch {
		case now >= p.longExpiry:
			expired = append(expired, p)
		case now >= p.shortExpiry:
			p.shortExpiry = now + p.shortTimer
			g.send(p.message)
		}
	}
	for _, p := range expired {
		cic := p.message.CIC
		g.events = append(g.events, Event{Kind: MaintenanceAlert,
			Text: fmt.Sprintf("no acknowledgement of %v on circuit %d within %v", p.message.Type, cic, p.longTimer)})
		if p.kind == releaseProcedure {
			g.pending = slices.DeleteFunc(g.pending, func(q *procedure) bool { return q == p })
			g.resetCircuits(now, p.circuits)
			continue
		}
		p.shortTimer = p.longTimer // from now on repeated at the long interval, with an alert at every second repetition
		p.shortExpiry, p.longExpiry = now+p.shortTimer, now+p.longTimer+p.longTimer
		g.send(p.message)
	}
}

// Resume sends all unacknowledged messages again at once, after the association was lost and re-established.
func (g *Group) Resume(now time.Duration) {
	for _, p := range g.pending {
		p.shortExpiry = now + p.shortTimer
		g.send(p.message)
	}
}

// acknowledge ends the procedure that a received message acknowledges, and reports whether there was one.
func (g *Group) acknowledge(kind procedureKind, message *isup.Message) bool {
	index := slices.IndexFunc(g.pending, func(p *procedure) bool {
		return p.kind == kind && p.message.CIC == message.CIC && acknowledgedBy(p.message.Type, message.Type)
	})
	if index < 0 {
		return false
	}
	p := g.pending[index]
	g.pending = slices.Delete(g.pending, index, index+1)
	for _, i := range p.circuits {
		if c := &g.circuits[i]; p.kind == releaseProcedure && c.state == AwaitingRelease ||
			p.kind == resetProcedure && c.state == Resetting {
			g.setState(i, Idle, nil)
		}
	}
	return true
}

// acknowledgedBy reports whether a message of type reply acknowledges one of type request.
func acknowledgedBy(request, reply isup.Type) bool {
	switch request {
	case isup.REL, isup.RSC:
		return reply == isup.RLC
	case isup.GRS:
		return reply == isup.GRA
	case isup.BLO:
		return reply == isup.BLA
	case isup.UBL:
		return reply == isup.UBA
	case isup.CGB:
		return reply == isup.CGBA
	case isup.CGU:
		return reply == isup.CGUA
	}
	return false
}

// removeFromProcedures removes a circuit from the procedures of a kind, which no longer apply to it. A release covers all
// circuits of its call and ends for all of them; a reset or a block continues for the remaining circuits.
func (g *Group) removeFromProcedures(kind procedureKind, circuit int) {
	g.pending = slices.DeleteFunc(g.pending, func(p *procedure) bool {
		if p.kind != kind || !slices.Contains(p.circuits, circuit) {
			return false
		}
		if kind == releaseProcedure {
			for _, i := range p.circuits {
				if g.circuits[i].state == AwaitingRelease {
					g.setState(i, Idle, nil)
				}
			}
			return true
		}
		p.circuits = slices.DeleteFunc(slices.Clone(p.circuits), func(i int) bool { return i == circuit })
		return len(p.circuits) == 0
	})
}

// Reset resets circuits from this end. Calls on them are dropped here at once, and at the far end when it receives RSC or
// GRS. Circuits that the group does not have are ignored.
func (g *Group) Reset(now time.Duration, cics []uint16) {
	var circuits []int
	for _, cic := range cics {
		if i, ok := g.circuitIndex(cic); ok {
			circuits = append(circuits, i)
		}
	}
	slices.Sort(circuits)
	g.resetCircuits(now, slices.Compact(circuits))
}

// ResetAll resets all circuits of the group, as after a loss of memory (Q.764 2.9.3).
func (g *Group) ResetAll(now time.Duration) {
	all := make([]int, len(g.circuits))
	for i := range all {
		all[i] = i
	}
	g.pending = slices.DeleteFunc(g.pending, func(p *procedure) bool { return p.kind != blockingProcedure })
	g.resetCircuits(now, all)
}

// resetCircuits resets circuits and all other circuits of their calls: until the far end has acknowledged the reset, it may
// still hold those.
func (g *Group) resetCircuits(now time.Duration, circuits []int) {
	circuits = g.withWholeCalls(circuits)
	for _, i := range circuits {
		g.dropCall(&g.circuits[i])
		g.removeFromProcedures(releaseProcedure, i)
		g.setState(i, Resetting, nil)
		g.setRemoteBlock([]int{i}, isup.Maintenance, false)
	}
	for _, run := range g.contiguousRuns(circuits, maxRangeCircuits) {
		first := g.circuits[run[0]].cic
		message := isup.NewSimple(isup.RSC, first)
		if len(run) > 1 {
			message = isup.NewGroup(isup.GRS, first, 0, isup.Range{Range: len(run) - 1})
		}
		g.startProcedure(now, &procedure{kind: resetProcedure, circuits: run, message: message,
			shortTimer: g.settings.Timers.T12, longTimer: g.settings.Timers.T13})
	}
}

// withWholeCalls adds the other circuits of the calls that hold the given ones, and of calls that are being released.
func (g *Group) withWholeCalls(circuits []int) []int {
	expanded := slices.Clone(circuits)
	for _, i := range circuits {
		if s := g.circuits[i].seizure; s != nil {
			expanded = append(expanded, s.circuits...)
		}
		for _, p := range g.pending {
			if p.kind == releaseProcedure && slices.Contains(p.circuits, i) {
				expanded = append(expanded, p.circuits...)
			}
		}
	}
	slices.Sort(expanded)
	return slices.Compact(expanded)
}

// contiguousRuns splits sorted circuits into runs of consecutive codes with at most maxLength circuits each.
func (g *Group) contiguousRuns(circuits []int, maxLength int) (result [][]int) {
	for position, index := range circuits {
		if position == 0 || len(result[len(result)-1]) == maxLength ||
			g.circuits[index].cic != g.circuits[circuits[position-1]].cic+1 {
			result = append(result, nil)
		}
		result[len(result)-1] = append(result[len(result)-1], index)
	}
	return result
}

// Block blocks up to count circuits from this end, or unblocks them if block is false, in descending order of their codes.
// Hardware blocking drops the calls on them (Q.764 2.8.2). Block returns the number of circuits that changed.
func (g *Group) Block(now time.Duration, count int, blockingType isup.BlockingType, block bool) int {
	var circuits []int
	for i := len(g.circuits) - 1; i >= 0 && len(circuits) < count; i-- {
		state := g.circuits[i].localBlock
		if blocked := blockingType == isup.Hardware && state.hardware || blockingType == isup.Maintenance && state.maintenance; blocked != block {
			circuits = append(circuits, i)
		}
	}
	slices.Sort(circuits)
	for _, i := range circuits {
		g.circuits[i].localBlock.set(blockingType, block)
		if block && blockingType == isup.Hardware {
			g.dropCallByRelease(now, i)
		}
	}
	g.recount()
	g.supersedeBlocking(now, circuits, blockingType)
	g.startBlocking(now, circuits, blockingType, block)
	return len(circuits)
}

// startBlocking starts the procedures that notify the far end that circuits are blocked, or unblocked.
func (g *Group) startBlocking(now time.Duration, circuits []int, blockingType isup.BlockingType, block bool) {
	messageType := isup.CGU
	if block {
		messageType = isup.CGB
	}
	for _, run := range g.contiguousRuns(circuits, maxRangeCircuits) {
		rangeStatus := isup.Range{Range: len(run) - 1}
		for offset := range run {
			rangeStatus.SetBit(offset)
		}
		message := isup.NewGroup(messageType, g.circuits[run[0]].cic, blockingType, rangeStatus)
		if len(run) == 1 && blockingType == isup.Maintenance {
			message = isup.NewSimple(map[bool]isup.Type{true: isup.BLO, false: isup.UBL}[block], g.circuits[run[0]].cic)
		}
		g.startProcedure(now, &procedure{kind: blockingProcedure, circuits: run, message: message, blockingType: blockingType,
			shortTimer: g.settings.Timers.T12, longTimer: g.settings.Timers.T13})
	}
}

// supersedeBlocking ends older blocking procedures of a kind for the given circuits: a retransmission of a lost message would
// restore a state that has changed since. For their remaining circuits the procedures are started again.
func (g *Group) supersedeBlocking(now time.Duration, circuits []int, blockingType isup.BlockingType) {
	var superseded []*procedure
	g.pending = slices.DeleteFunc(g.pending, func(p *procedure) bool {
		overlaps := p.kind == blockingProcedure && p.blockingType == blockingType &&
			slices.ContainsFunc(p.circuits, func(i int) bool { return slices.Contains(circuits, i) })
		if overlaps {
			superseded = append(superseded, p)
		}
		return overlaps
	})
	for _, p := range superseded {
		remaining := slices.DeleteFunc(slices.Clone(p.circuits), func(i int) bool { return slices.Contains(circuits, i) })
		g.startBlocking(now, remaining, blockingType, p.message.Type == isup.CGB || p.message.Type == isup.BLO)
	}
}

// CallCICs returns the codes of the lowest circuits of all calls on the group, one for each call, in ascending order.
func (g *Group) CallCICs() (cics []uint16) {
	for i := range g.circuits {
		if c := &g.circuits[i]; c.seizure != nil && c.seizure.CIC == c.cic {
			cics = append(cics, c.cic)
		}
	}
	return cics
}
