package rulecheck

import (
	"slices"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// handleMessage applies one M3UA message seen at the tap of a call server.
func (c *checker) handleMessage(server *callServer, record Record) {
	frame, err := m3ua.Decode(record.Data)
	if err != nil {
		c.verdict.Undecoded++
		return
	}
	if frame.Kind == m3ua.ASPACACK {
		server.trunkGroup(record.Peer).inactive = false
	}
	if frame.Kind != m3ua.DATA {
		return
	}
	data, err := m3ua.ReadProtocolData(frame)
	if err != nil || data.SI != m3ua.ServiceISUP {
		c.verdict.Undecoded++
		return
	}
	message, err := isup.Decode(data.Data)
	if err != nil {
		c.verdict.Undecoded++
		return
	}
	group := server.trunkGroup(record.Peer)
	switch message.Type {
	case isup.IAM:
		c.handleIAM(server, group, record, message)
	case isup.REL:
		c.handleREL(server, group, record, message)
	case isup.RLC:
		if !record.Out {
			delete(group.releasing, message.CIC)
			delete(group.awaitingResetAck, message.CIC)
		}
	case isup.ANM, isup.CON, isup.ACM, isup.CPG:
		c.handleBackward(server, group, record, message)
	case isup.RSC:
		c.handleReset(server, group, record, message, []uint16{message.CIC})
	case isup.GRA:
		if rangeStatus, err := message.RangeStatus(); err == nil && !record.Out {
			for i := 0; i <= rangeStatus.Range; i++ {
				delete(group.awaitingResetAck, message.CIC+uint16(i))
			}
		}
	case isup.UCIC:
		if leg := group.outgoing[message.CIC]; !record.Out && leg != nil {
			c.dropLeg(server, group, leg, record.At, false)
		}
	case isup.GRS, isup.CGB:
		c.handleGroupMessage(server, group, record, message)
	}
}

// handleGroupMessage applies a GRS, or a CGB for hardware failures, to the circuits that it names.
func (c *checker) handleGroupMessage(server *callServer, group *trunkGroup, record Record, message *isup.Message) {
	rangeStatus, err := message.RangeStatus()
	if err != nil || message.Type == isup.CGB && message.GroupKind() != isup.Hardware {
		return
	}
	var cics []uint16
	for i := 0; i <= rangeStatus.Range; i++ {
		if message.Type == isup.GRS || rangeStatus.Bit(i) {
			cics = append(cics, message.CIC+uint16(i))
		}
	}
	c.handleReset(server, group, record, message, cics)
}

// handleReset ends the calls on circuits. A caller whose incoming leg is reset needs no answer.
func (c *checker) handleReset(server *callServer, group *trunkGroup, record Record, message *isup.Message, cics []uint16) {
	for _, cic := range cics {
		for _, legs := range []map[uint16]*callLeg{group.incoming, group.outgoing} {
			for _, leg := range legs {
				if slices.Contains(leg.cics, cic) {
					group.endedCallCircuits[leg.cics[0]] = leg.cics
					c.dropLeg(server, group, leg, record.At, true)
				}
			}
		}
		for first, held := range group.releasing {
			if message.Type != isup.CGB && slices.Contains(held, cic) { // a block does not end a release
				delete(group.releasing, first)
			}
		}
	}
	if record.Out && message.Type != isup.CGB { // these circuits accept no call until the acknowledgement
		for _, cic := range cics {
			group.awaitingResetAck[cic] = true
		}
	}
}

// dropLeg removes a leg from a trunk group. The call of an incoming leg then needs no answer; an unanswered outgoing leg ends its
// attempt as endAttempt does.
func (c *checker) dropLeg(server *callServer, group *trunkGroup, leg *callLeg, at time.Duration, startsReleaseTime bool) {
	if leg.outgoing {
		if group.outgoing[leg.cics[0]] == leg {
			delete(group.outgoing, leg.cics[0])
		}
		if !leg.answered {
			c.endAttempt(leg, at, startsReleaseTime)
		}
		return
	}
	if group.incoming[leg.cics[0]] == leg {
		delete(group.incoming, leg.cics[0])
	}
	if leg.call.incoming == leg {
		leg.call.noAnswerRequired = true
		leg.call.ended = true
	}
}

// callingNumber returns the calling party number, which all legs of one call share and no other call has.
func callingNumber(message *isup.Message) string {
	number, _ := message.Get(isup.ParamCallingNumber)
	return string(number)
}

// handleIAM applies an IAM: an attempt if the call server sent it, else a new call if the call server accepts it.
func (c *checker) handleIAM(server *callServer, group *trunkGroup, record Record, message *isup.Message) {
	setup, err := message.Setup()
	if err != nil {
		c.verdict.Undecoded++
		return
	}
	cics := setup.Circuits(message.CIC)
	if !record.Out && group.inactive {
		return // DATA before ASPAC ACK reaches no user (RFC 4666 4.3.4.3): the ACK was lost on its way
	}
	if record.Out {
		c.handleOutgoingIAM(server, group, record, message, cics)
		return
	}
	if !c.admitIAM(server, group, record, cics) {
		return
	}
	number := callingNumber(message)
	call := server.calls[number]
	if call != nil && !call.ended && call.incoming != nil &&
		server.trunkGroup(call.incoming.peer).incoming[call.incoming.cics[0]] == call.incoming {
		if !c.endedUpstream(server, call.incoming) {
			c.violation(1, record.At, server, call, "two calls in progress have the same calling number")
			return
		}
		call.noAnswerRequired = true
	}
	patience, ok := c.parameters.Patience[setup.Category]
	call = &callState{number: number, takenAt: record.At, patience: patience - setup.PropagationDelay, noAnswerRequired: !ok}
	call.incoming = &callLeg{call: call, peer: record.Peer, cics: cics}
	group.incoming[cics[0]] = call.incoming
	server.calls[number] = call
	c.verdict.Calls++
}

// endedUpstream reports whether the call of an incoming leg has ended at the call server that it came from, or further upstream,
// while this call server has received no REL or GRS: the message is on its way or was lost. An unresponsive processor loses
// messages, for example, and after the release time the call is attempted again with the same calling number.
func (c *checker) endedUpstream(server *callServer, leg *callLeg) bool {
	from := c.servers[leg.peer]
	if from == nil {
		return false
	}
	outgoing := from.trunkGroup(server.name).outgoing[leg.cics[0]]
	if outgoing == nil || outgoing.call.number != leg.call.number || !outgoing.answered && outgoing.call.outstanding != outgoing {
		return true
	}
	incoming := outgoing.call.incoming
	return incoming != nil && c.endedUpstream(from, incoming)
}

// admitIAM reports whether a call server accepts an incoming IAM, and counts its dual seizures. It does not accept it while its
// own REL, RSC or GRS on one of the circuits is unacknowledged, nor in a dual seizure that it wins (Q.764 2.9.1.4). If it
// accepts the IAM, its own calls on the circuits have lost the dual seizure, and their legs are dropped.
func (c *checker) admitIAM(server *callServer, group *trunkGroup, record Record, cics []uint16) bool {
	var lost []*callLeg
	for _, cic := range cics {
		if group.awaitingResetAck[cic] {
			return false
		}
		for _, held := range group.releasing {
			if slices.Contains(held, cic) {
				return false
			}
		}
		for _, leg := range group.outgoing {
			if !slices.Contains(leg.cics, cic) {
				continue
			}
			if leg.progressed || c.prevails(server.name, record.Peer, leg.cics, cics) {
				c.verdict.DualSeizures++
				return false
			}
			lost = append(lost, leg)
		}
	}
	for _, leg := range lost {
		c.verdict.DualSeizures++
		c.dropLeg(server, group, leg, record.At, false)
	}
	return true
}

// prevails reports whether the call of exchange on ownCICs wins a dual seizure against the call of peer on peerCICs. The call with
// more circuits wins. With equal numbers the lowest circuit of both calls decides: if it is even, the call of the exchange with
// the higher point code wins, else the other one.
func (c *checker) prevails(exchange, peer string, ownCICs, peerCICs []uint16) bool {
	if len(ownCICs) != len(peerCICs) {
		return len(ownCICs) > len(peerCICs)
	}
	return (c.parameters.PointCodes[exchange] > c.parameters.PointCodes[peer]) == (min(ownCICs[0], peerCICs[0])%2 == 0)
}

// handleOutgoingIAM starts an attempt and checks all rules on it.
func (c *checker) handleOutgoingIAM(server *callServer, group *trunkGroup, record Record, message *isup.Message, cics []uint16) {
	c.verdict.Attempts++
	c.checkDraining(server, record)
	c.checkColdStart(server, record)
	call := server.calls[callingNumber(message)]
	if call == nil {
		return // the call was taken before the call server was killed
	}
	if call.answers > 0 && record.At > call.answeredAt+c.parameters.TapSkew {
		c.violation(1, record.At, server, call, "a set-up toward %s, %v after the final answer", record.Peer, record.At-call.answeredAt)
	}
	if call.outstanding != nil {
		c.violation(2, record.At, server, call, "a set-up toward %s while one toward %s is outstanding", record.Peer, call.outstanding.peer)
	}
	if call.awaitingReleaseTime && record.At+c.parameters.TapSkew < call.releaseTimeEnd {
		c.violation(5, record.At, server, call, "a set-up toward %s, %v before the release time is over", record.Peer, call.releaseTimeEnd-record.At)
	}
	for first, held := range group.releasing { // it seizes the circuits, so it has received an RLC that the tap did not see
		if slices.ContainsFunc(held, func(cic uint16) bool { return slices.Contains(cics, cic) }) {
			delete(group.releasing, first)
		}
	}
	leg := &callLeg{call: call, peer: record.Peer, cics: cics, outgoing: true}
	call.outstanding, call.awaitingReleaseTime = leg, false
	group.outgoing[cics[0]] = leg
	c.resolveCrossedIAM(server, group, record, leg)
}

// resolveCrossedIAM settles a dual seizure in which the tap shows the outgoing IAM after the incoming one that it crossed.
func (c *checker) resolveCrossedIAM(server *callServer, group *trunkGroup, record Record, leg *callLeg) {
	for _, incoming := range group.incoming {
		if incoming.progressed || !slices.ContainsFunc(incoming.cics, func(cic uint16) bool { return slices.Contains(leg.cics, cic) }) {
			continue
		}
		c.verdict.DualSeizures++
		if c.prevails(server.name, record.Peer, leg.cics, incoming.cics) {
			c.verdict.Calls--
			c.dropLeg(server, group, incoming, record.At, false)
		} else {
			c.dropLeg(server, group, leg, record.At, false)
		}
		return
	}
}

// handleBackward applies ACM, CPG, ANM or CON. An answer is final for the outgoing leg that it arrives on, and for the call whose
// incoming leg it is sent on.
func (c *checker) handleBackward(server *callServer, group *trunkGroup, record Record, message *isup.Message) {
	answer := message.Type == isup.ANM || message.Type == isup.CON
	if !record.Out {
		if leg := group.outgoing[message.CIC]; leg != nil {
			leg.progressed = true
			if answer {
				leg.answered = true
				if leg.call.outstanding == leg {
					leg.call.outstanding = nil
				}
			}
		}
		return
	}
	leg := group.incoming[message.CIC]
	if leg == nil {
		return
	}
	leg.progressed = true
	switch {
	case answer && !leg.answered:
		leg.answered, leg.mayRepeat = true, false
		c.recordAnswer(server, leg.call, record.At, "answered")
	case answer && leg.mayRepeat:
		leg.mayRepeat = false
	case answer:
		c.recordAnswer(server, leg.call, record.At, "answered again")
	}
}

// recordAnswer counts a final answer toward the caller and checks rule 1 on it.
func (c *checker) recordAnswer(server *callServer, call *callState, at time.Duration, description string) {
	call.answers++
	c.verdict.Answers++
	if call.answers > 1 {
		c.violation(1, at, server, call, "a second final answer: %s", description)
		return
	}
	call.answeredAt = at
	if late := at - call.takenAt - call.patience; late > c.parameters.Slack && !call.noAnswerRequired {
		c.violation(1, at, server, call, "the final answer (%s) is %v late", description, late)
	}
}

// handleREL applies a REL on either leg of a call.
func (c *checker) handleREL(server *callServer, group *trunkGroup, record Record, message *isup.Message) {
	if incoming := group.incoming[message.CIC]; incoming != nil {
		// Cause 38 as the first reply to an IAM refuses it for a blocked circuit, which the tap cannot see: the IAM has seized
		// nothing, and the circuits are free without the RLC, which may be lost. Such a REL at the end of a drain is taken for one.
		seized := incoming.progressed || message.Release().Cause != isup.CauseNetworkOutOfOrder
		c.handleIncomingREL(server, group, record, incoming)
		if record.Out && seized {
			group.releasing[incoming.cics[0]] = incoming.cics
		}
		return
	}
	leg := group.outgoing[message.CIC]
	if leg == nil {
		if record.Out { // for a call that a reset or hardware block has ended
			group.releasing[message.CIC] = append([]uint16{message.CIC}, group.endedCallCircuits[message.CIC]...)
		}
		return
	}
	delete(group.outgoing, message.CIC)
	if !leg.answered {
		c.endAttempt(leg, record.At, record.Out || message.Release().Cause == isup.CauseTemporaryFailure)
	}
	if record.Out {
		group.releasing[leg.cics[0]] = leg.cics
	}
}

// handleIncomingREL applies a REL on the incoming leg of a call that has not been answered: it is the final answer if the call
// server sends it, and the caller hangs up if the caller sends it.
func (c *checker) handleIncomingREL(server *callServer, group *trunkGroup, record Record, incoming *callLeg) {
	delete(group.incoming, incoming.cics[0])
	call := incoming.call
	call.ended = true
	switch {
	case incoming.answered:
	case record.Out:
		incoming.progressed = true
		c.recordAnswer(server, call, record.At, "REL")
	default:
		call.hungUp = true
		if wait := record.At - call.takenAt; wait > call.patience+c.parameters.Slack && !call.noAnswerRequired {
			c.violation(1, record.At, server, call, "no final answer in %v, the caller's patience is %v", wait, call.patience)
		}
	}
}
