package trunk

import (
	"fmt"
	"math/bits"
	"time"

	"finchlatch/isup"
)

// Receive handles a message of the far end. Replies are returned by Output, events by Events.
func (g *Group) Receive(now time.Duration, message *isup.Message) {
	index, ok := g.circuitIndex(message.CIC)
	switch message.Type {
	case isup.GRS, isup.GRA, isup.CGB, isup.CGU, isup.CGBA, isup.CGUA:
		g.receiveGroupMessage(now, message)
		return
	case isup.UCIC:
		if ok {
			g.receiveUCIC(index)
		}
		return
	}
	if !ok {
		if message.Type == isup.IAM || message.Type == isup.BLO || message.Type == isup.UBL || message.Type == isup.RSC {
			g.send(isup.NewSimple(isup.UCIC, message.CIC)) // Q.764 2.12
		}
		return
	}
	c := &g.circuits[index]
	switch message.Type {
	case isup.IAM:
		g.receiveIAM(index, message)
	case isup.REL:
		g.receiveREL(c, message)
	case isup.RLC:
		g.receiveRLC(message)
	case isup.RSC:
		g.send(isup.NewSimple(isup.RLC, message.CIC))
		g.resetByFarEnd([]int{index})
	case isup.BLO, isup.UBL:
		g.setRemoteBlock([]int{index}, isup.Maintenance, message.Type == isup.BLO)
		g.send(isup.NewSimple(message.Type+2, message.CIC)) // BLA and UBA follow BLO and UBL by two
	case isup.BLA, isup.UBA:
		g.acknowledge(blockingProcedure, message)
	default:
		g.receiveCallMessage(now, index, message)
	}
}

// receiveCallMessage handles a message of an existing call. On an idle circuit it shows that the two ends disagree, and the
// circuit is reset (Q.764 2.9.5.1 f). On a circuit that awaits RLC the message is late and is ignored.
func (g *Group) receiveCallMessage(now time.Duration, index int, message *isup.Message) {
	c := &g.circuits[index]
	switch {
	case c.seizure != nil && c.seizure.CIC == message.CIC:
		if c.seizure.Outgoing {
			c.seizure.backwardReceived = true
		}
		g.addEvent(CallMessage, c.seizure, message)
	case c.state == Idle && isup.Known(message.Type) && message.Type != isup.CFN:
		g.Reset(now, []uint16{message.CIC})
	}
}

// receiveIAM handles an IAM: a new call, or a dual seizure.
func (g *Group) receiveIAM(first int, message *isup.Message) {
	setup, err := message.Setup()
	if err != nil {
		g.refuse(message.CIC, isup.CauseInvalidNumber)
		g.events = append(g.events, Event{Kind: MaintenanceAlert, Text: err.Error()})
		return
	}
	circuits, ok := g.assignedCircuits(first, setup)
	if !ok || g.settings.Direction == Outgoing {
		g.refuse(message.CIC, isup.CauseProtocolError)
		return
	}
	var lost []*Seizure
	var staleCircuits []*circuit // they hold calls that the far end has lost
	for _, index := range circuits {
		c := &g.circuits[index]
		switch {
		case c.localBlock.hardware:
			g.refuse(message.CIC, isup.CauseNetworkOutOfOrder)
			return
		case c.state == SeizedIncoming && g.settings.Direction == Incoming:
			if c.seizure.callKey == callKeyOf(message) {
				return // retransmission of the IAM of this call: its answer follows
			}
			staleCircuits = append(staleCircuits, c)
		case c.state == SeizedOutgoing && !c.seizure.backwardReceived &&
			(c.seizure.reserved || !g.winsDualSeizure(c.seizure, len(circuits), message.CIC)):
			lost = append(lost, c.seizure)
		case c.state != Idle:
			return // this end's call wins, or the circuit is being released: the far end will receive this end's IAM or REL
		}
	}
	for _, seizure := range lost {
		if !seizure.ended {
			g.endSeizure(seizure, Idle)
			g.addEvent(SeizureLost, seizure, nil)
		}
	}
	for _, c := range staleCircuits {
		g.dropCall(c)
	}
	seizure := &Seizure{CIC: message.CIC, circuits: circuits, CircuitMap: setup.CircuitMap}
	if g.settings.Direction == Incoming {
		seizure.callKey = callKeyOf(message)
	}
	for _, index := range circuits {
		if g.circuits[index].remoteBlock.maintenance { // Q.764 2.8.2.3: an IAM removes the block of the far end
			g.setRemoteBlock([]int{index}, isup.Maintenance, false)
		}
		g.setState(index, SeizedIncoming, seizure)
	}
	g.addEvent(IncomingCall, seizure, message)
}

// callKeyOf returns the called and the calling number of an IAM as one key. An IAM on a circuit that already has a call is a
// retransmission if the keys are equal; otherwise it is a new call of a far end that has restarted and lost the old one.
func callKeyOf(iam *isup.Message) string {
	called, _ := iam.Get(isup.ParamCalledNumber)
	calling, _ := iam.Get(isup.ParamCallingNumber)
	return string(called) + "|" + string(calling)
}

// assignedCircuits returns the circuits of an IAM: those of its circuit assignment map, or consecutive ones. It returns false
// if the map does not match the width and the first circuit, or if the group lacks one of the circuits.
func (g *Group) assignedCircuits(first int, setup isup.Setup) ([]int, bool) {
	width := max(1, setup.Width)
	if width == 1 {
		return []int{first}, true
	}
	cic := g.circuits[first].cic
	slots := setup.CircuitMap
	if slots == 0 {
		slots = (1<<width - 1) << (cic%slotsPerSystem - 1)
	}
	if bits.OnesCount32(slots) != width || slots>>31 != 0 || bits.TrailingZeros32(slots) != int(cic%slotsPerSystem-1) {
		return nil, false
	}
	result := make([]int, 0, width)
	for ; slots != 0; slots &= slots - 1 {
		index, ok := g.circuitIndex(cic/slotsPerSystem*slotsPerSystem + uint16(bits.TrailingZeros32(slots)) + 1)
		if !ok {
			return nil, false
		}
		result = append(result, index)
	}
	return result, true
}

// refuse answers an IAM that seizes no circuit at this end. The far end replies with RLC, which then matches no procedure.
func (g *Group) refuse(cic uint16, cause isup.Cause) {
	g.send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: cause, Location: isup.LocationLocalNetwork}))
}

// receiveREL answers a REL with RLC at once. If both ends release at the same time, each answers the REL of the other and
// still awaits RLC for its own.
func (g *Group) receiveREL(circuit *circuit, message *isup.Message) {
	seizure := circuit.seizure
	if circuit.state == Resetting {
		return // the reset ends this release at the far end, which would take an RLC as the acknowledgement of a later REL
	}
	if seizure != nil && seizure.CIC != message.CIC {
		return // a call of several circuits is released on its first circuit
	}
	g.send(isup.NewSimple(isup.RLC, message.CIC))
	if seizure != nil {
		g.endSeizure(seizure, Idle)
		g.addEvent(Released, seizure, message)
	}
}

// receiveRLC handles an RLC, which acknowledges REL or RSC.
func (g *Group) receiveRLC(message *isup.Message) {
	if !g.acknowledge(releaseProcedure, message) {
		g.acknowledge(resetProcedure, message)
	}
}

// resetByFarEnd frees circuits that the far end has reset: calls on them are dropped, blocks of the far end are removed, and
// BLO is sent again for maintenance blocks of this end (Q.764 2.9.3).
func (g *Group) resetByFarEnd(circuits []int) {
	for _, i := range circuits {
		c := &g.circuits[i]
		g.dropCall(c)
		if c.state == AwaitingRelease {
			g.setState(i, Idle, nil)
			g.removeFromProcedures(releaseProcedure, i)
		}
		if c.remoteBlock.active() {
			g.setRemoteBlock([]int{i}, isup.Maintenance, false)
			g.setRemoteBlock([]int{i}, isup.Hardware, false)
		}
		if c.localBlock.maintenance {
			g.send(isup.NewSimple(isup.BLO, c.cic))
		}
	}
}

// dropCall ends the call on a circuit, if there is one.
func (g *Group) dropCall(circuit *circuit) {
	if s := circuit.seizure; s != nil {
		g.endSeizure(s, Idle)
		g.addEvent(Dropped, s, nil)
	}
}

// receiveUCIC handles a UCIC: the far end does not have the circuit (Q.764 2.12), which is blocked from now on.
func (g *Group) receiveUCIC(index int) {
	c := &g.circuits[index]
	if seizure := c.seizure; seizure != nil && seizure.Outgoing && !seizure.backwardReceived {
		g.endSeizure(seizure, Idle)
		g.addEvent(SeizureLost, seizure, nil)
	}
	g.removeFromProcedures(releaseProcedure, index)
	g.removeFromProcedures(resetProcedure, index)
	g.removeFromProcedures(blockingProcedure, index)
	if c.seizure == nil {
		g.setState(index, Idle, nil)
	}
	g.setRemoteBlock([]int{index}, isup.Maintenance, true)
	g.events = append(g.events, Event{Kind: MaintenanceAlert, Text: fmt.Sprintf("circuit %d is not equipped at the far end", c.cic)})
}

// setRemoteBlock records that the far end has blocked or unblocked circuits.
func (g *Group) setRemoteBlock(circuits []int, blockingType isup.BlockingType, blocked bool) {
	for _, i := range circuits {
		g.circuits[i].remoteBlock.set(blockingType, blocked)
	}
	g.recount()
}

// circuitsInRange returns the circuits of a group message; with onlyMarked, those whose status bit is set.
func (g *Group) circuitsInRange(message *isup.Message, rangeStatus isup.Range, onlyMarked bool) []int {
	var result []int
	for offset := 0; offset <= rangeStatus.Range; offset++ {
		if i, ok := g.circuitIndex(message.CIC + uint16(offset)); ok && (!onlyMarked || rangeStatus.Bit(offset)) {
			result = append(result, i)
		}
	}
	return result
}

// receiveGroupMessage handles a message on a range of circuits: reset, blocking or an acknowledgement.
func (g *Group) receiveGroupMessage(now time.Duration, message *isup.Message) {
	rangeStatus, err := message.RangeStatus()
	if err != nil {
		g.events = append(g.events, Event{Kind: MaintenanceAlert, Text: err.Error()})
		return
	}
	switch message.Type {
	case isup.GRS:
		status := isup.Range{Range: rangeStatus.Range}
		for offset := 0; offset <= rangeStatus.Range; offset++ {
			if i, ok := g.circuitIndex(message.CIC + uint16(offset)); ok && g.circuits[i].localBlock.maintenance {
				status.SetBit(offset)
			}
		}
		g.resetByFarEnd(g.circuitsInRange(message, rangeStatus, false))
		g.send(isup.NewGroup(isup.GRA, message.CIC, 0, status))
	case isup.GRA:
		if g.acknowledge(resetProcedure, message) {
			g.setRemoteBlock(g.circuitsInRange(message, rangeStatus, true), isup.Maintenance, true)
		}
	case isup.CGB, isup.CGU:
		g.receiveGroupBlocking(now, message, rangeStatus)
	case isup.CGBA, isup.CGUA:
		g.acknowledge(blockingProcedure, message)
	}
}

// receiveGroupBlocking handles and acknowledges CGB and CGU. Hardware blocking drops the calls on its circuits with REL: if the
// far end has removed the block in the meantime, it may have accepted a call, which it would keep without the REL.
func (g *Group) receiveGroupBlocking(now time.Duration, message *isup.Message, rangeStatus isup.Range) {
	blockingType, block := message.GroupKind(), message.Type == isup.CGB
	circuits := g.circuitsInRange(message, rangeStatus, true)
	g.setRemoteBlock(circuits, blockingType, block)
	ackType := isup.CGUA
	if block {
		ackType = isup.CGBA
	}
	g.send(isup.NewGroup(ackType, message.CIC, blockingType, rangeStatus))
	if block && blockingType == isup.Hardware {
		for _, i := range circuits {
			g.dropCallByRelease(now, i)
		}
	}
}

// dropCallByRelease ends the call on a circuit with REL. The circuits of the call, including those that are not blocked, are
// free when the far end has acknowledged it.
func (g *Group) dropCallByRelease(now time.Duration, index int) {
	if seizure := g.circuits[index].seizure; seizure != nil {
		g.Release(now, seizure, isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure, Location: isup.LocationLocalNetwork})
		g.addEvent(Dropped, seizure, nil)
	}
}
