package simenv

import (
	"slices"

	"finchlatch/internal/rulecheck"
	"finchlatch/isup"
	"finchlatch/m3ua"
)

// Direction of a frame on a signalling relation: 0 from the first end to the second, 1 the opposite.
type Direction int

// Frame is an M3UA message on a signalling relation, decoded once.
type Frame struct {
	Raw  []byte
	ISUP *isup.Message // nil: a message that manages the association, or one that cannot be decoded
	Data m3ua.ProtocolData

	setUp *arrivedSetUp // the last set-up that arrived on the circuit; of an IAM, its own
}

// arrivedSetUp records what happened to a set-up after its IAM arrived at the processor.
type arrivedSetUp struct {
	refused bool // by the processor
	reset   bool // its circuit was reset
}

// ReadFrame decodes a whole M3UA message.
func ReadFrame(raw []byte) Frame {
	frame := Frame{Raw: raw}
	if message, data, ok := rulecheck.DecodeISUP(raw); ok {
		frame.ISUP, frame.Data = message, data
	}
	return frame
}

// Circuits returns the circuits of the call that the frame's IAM sets up, or only the IAM's own circuit if the IAM cannot
// be decoded.
func (f Frame) Circuits() []uint16 {
	setUp, err := f.ISUP.Setup()
	if err != nil {
		return []uint16{f.ISUP.CIC}
	}
	return setUp.Circuits(f.ISUP.CIC)
}

// reply encodes an ISUP message as if the receiver of f answered with it.
func (f Frame) reply(message *isup.Message) []byte {
	encoded, err := message.Append(nil)
	if err != nil {
		return nil
	}
	received := f.Data
	answer := m3ua.ProtocolData{OPC: received.DPC, DPC: received.OPC, SI: m3ua.ServiceISUP, NI: received.NI, SLS: received.SLS,
		Data: encoded, HasContext: received.HasContext, RoutingContext: received.RoutingContext}
	return answer.Message().Append(nil)
}

// Relation is the state of the signalling relation between two ends while their association lasts. It tracks the calls
// that each end has signalled, and lets the processor of an end refuse set-ups in place of its call server, which never
// receives them. It is not safe for concurrent use.
//
// Arrays are indexed by direction, which also stands for the end that sends in it.
type Relation struct {
	refusals      map[uint16]*refusal         // set-ups refused by a processor, by circuit, until their RLC
	seized        [2]map[uint16][]uint16      // circuits of the set-ups that an end has sent, until it sends or receives RLC
	lastCircuits  [2]map[uint16][]uint16      // circuits of the last set-up that an end has sent on a circuit
	arrivedSetUps [2]map[uint16]*arrivedSetUp // the last set-up that arrived on a circuit
	pendingResets [2]map[uint16]bool          // circuits that an end is resetting, until the acknowledgement arrives
}

// refusal is a set-up refused by a processor. Until the end that sent it has cleared its circuits, the other end's
// messages on them are held.
type refusal struct {
	direction  Direction // of the IAM
	circuits   []uint16
	iam        Frame
	heldFrames []Frame // of the opposite direction
}

// NewRelation creates the state for a new association.
func NewRelation() *Relation { return &Relation{} }

// putLazily sets a map entry and allocates the map first if it is nil. Most relations of a large fleet never carry a call,
// so their maps are not allocated in advance.
func putLazily[V any](values *map[uint16]V, cic uint16, value V) {
	if *values == nil {
		*values = map[uint16]V{}
	}
	(*values)[cic] = value
}

// RecordSent records that an end has sent a frame.
func (r *Relation) RecordSent(direction Direction, frame Frame) {
	if frame.ISUP == nil {
		return
	}
	if frame.ISUP.Type == isup.IAM {
		circuits := frame.Circuits()
		putLazily(&r.seized[direction], frame.ISUP.CIC, circuits)
		putLazily(&r.lastCircuits[direction], frame.ISUP.CIC, circuits)
		return
	}
	if frame.ISUP.Type == isup.GRS || frame.ISUP.Type == isup.RSC {
		for cic := frame.ISUP.CIC; cic <= lastNamedCircuit(frame.ISUP); cic++ {
			putLazily(&r.pendingResets[direction], cic, true)
			r.markReset(1-direction, cic)
		}
	}
	r.clearSeized(direction, frame.ISUP)
}

// markReset records that a reset has ended the call whose set-up arrived on a circuit and may still be queued.
func (r *Relation) markReset(direction Direction, cic uint16) {
	if setUp := r.arrivedSetUps[direction][cic]; setUp != nil {
		setUp.reset = true
		delete(r.arrivedSetUps[direction], cic) // later messages do not belong to that call
	}
}

// RecordDelivered records that a frame was delivered to the end that it is addressed to.
func (r *Relation) RecordDelivered(direction Direction, frame Frame) {
	if frame.ISUP != nil && frame.ISUP.Type != isup.IAM {
		r.clearSeized(1-direction, frame.ISUP)
	}
}

// clearSeized removes circuits that an end had seized, once it has sent or received RLC. A reset removes all of them.
func (r *Relation) clearSeized(end Direction, message *isup.Message) {
	switch message.Type {
	case isup.RLC:
		delete(r.seized[end], message.CIC)
	case isup.GRS, isup.RSC:
		clear(r.seized[end])
	}
}

// relatedCircuits returns all circuits of the calls that were last signalled on a circuit, since the messages of a wide
// call name only its first circuit.
func (r *Relation) relatedCircuits(cic uint16) []uint16 {
	forward, backward := r.lastCircuits[0][cic], r.lastCircuits[1][cic]
	if len(forward) <= 1 && len(backward) <= 1 {
		return []uint16{cic}
	}
	circuits := append(append([]uint16{cic}, forward...), backward...)
	slices.Sort(circuits)
	return slices.Compact(circuits)
}

// Classify fills in the properties of an arriving frame that the processor needs, and returns the frame with a reference
// to the set-up that it belongs to.
func Classify[Source comparable](relation *Relation, direction Direction, frame Frame, message *QueuedMessage[Source]) Frame {
	if frame.ISUP == nil {
		return frame
	}
	switch frame.setUp = relation.arrivedSetUps[direction][frame.ISUP.CIC]; frame.ISUP.Type {
	case isup.GRS, isup.RSC:
		for cic := frame.ISUP.CIC; cic <= lastNamedCircuit(frame.ISUP); cic++ {
			relation.markReset(direction, cic)
		}
	case isup.GRA, isup.RLC:
		for cic := frame.ISUP.CIC; cic <= lastNamedCircuit(frame.ISUP); cic++ {
			if relation.pendingResets[1-direction][cic] {
				delete(relation.pendingResets[1-direction], cic)
				relation.markReset(direction, cic)
			}
		}
	case isup.IAM:
		frame.setUp = &arrivedSetUp{}
		for _, cic := range frame.Circuits() {
			frame.setUp.reset = frame.setUp.reset || relation.pendingResets[1-direction][cic]
			putLazily(&relation.arrivedSetUps[direction], cic, frame.setUp)
		}
	}
	messageType := frame.ISUP.Type
	message.Circuits, message.IsSetUp = relation.relatedCircuits(frame.ISUP.CIC), messageType == isup.IAM
	message.IsAnswer = messageType == isup.ANM || messageType == isup.CON || messageType == isup.REL
	message.IsGroup = messageType == isup.GRS || messageType == isup.GRA || messageType == isup.CGB || messageType == isup.CGU
	return frame
}

// Refuse refuses an IAM in place of its call server, which never receives it. The reply, REL with cause 42, goes in the
// opposite direction, and what the call server sends on the circuits is held until RLC has arrived. There is no reply if
// the circuit was reset meanwhile, as the sender of the IAM has dropped the call. mustDeliver means that the call server
// has itself seized one of the circuits: it must receive the IAM to resolve the dual seizure.
func (r *Relation) Refuse(direction Direction, frame Frame) (reply []byte, mustDeliver bool) {
	if frame.setUp.reset {
		frame.setUp.refused = true
		return nil, false
	}
	circuits := frame.Circuits()
	for _, seized := range r.seized[1-direction] {
		if slices.ContainsFunc(circuits, func(cic uint16) bool { return slices.Contains(seized, cic) }) {
			return nil, true
		}
	}
	frame.setUp.refused = true
	putLazily(&r.refusals, frame.ISUP.CIC, &refusal{direction: direction, circuits: circuits, iam: frame})
	return refusalRelease(frame), false
}

// refusalRelease encodes the REL that refuses the IAM of a frame.
func refusalRelease(frame Frame) []byte {
	return frame.reply(isup.NewRelease(frame.ISUP.CIC, isup.ReleaseInfo{Cause: isup.CauseCongestion,
		Location: isup.LocationLocalNetwork, Congestion: 2}))
}

// RepeatRelease returns the REL of a refusal for another transmission if RLC has not arrived within T1 (Q.764 2.3.1): an
// unresponsive processor may have dropped the REL. nil: the refusal has been cleared.
func (r *Relation) RepeatRelease(frame Frame) []byte {
	if refused := r.refusals[frame.ISUP.CIC]; refused == nil || refused.iam.ISUP != frame.ISUP {
		return nil
	}
	return refusalRelease(frame)
}

// InterceptRefused handles frames on circuits whose IAM was refused. An intercepted frame must not be delivered now. The
// reply, if any, goes in the opposite direction; resumed are frames of the opposite direction that were held and arrive
// now.
func (r *Relation) InterceptRefused(direction Direction, frame Frame) (intercepted bool, reply []byte, resumed []Frame) {
	if len(r.refusals) == 0 || frame.ISUP == nil {
		return false, nil, nil
	}
	if messageType := frame.ISUP.Type; messageType == isup.RSC || messageType == isup.GRS {
		return false, nil, r.endResetRefusals(direction, frame.ISUP)
	}
	refused, iamCIC := r.findRefusal(frame.ISUP.CIC)
	switch {
	case refused == nil:
		return false, nil, nil
	case direction != refused.direction: // from the end that refused, which may itself have seized the circuit
		refused.heldFrames = append(refused.heldFrames, frame)
		return true, nil, nil
	case frame.ISUP.Type == isup.REL: // the refused end releases the call itself; its RLC for the refusal is still due
		return true, frame.reply(isup.NewSimple(isup.RLC, frame.ISUP.CIC)), nil
	case frame.ISUP.Type != isup.RLC:
		return true, nil, nil
	}
	return true, nil, r.endRefusal(iamCIC)
}

// endRefusal ends a refusal and returns the frames held. Frames that arrive later on its circuits do not belong to it.
func (r *Relation) endRefusal(iamCIC uint16) []Frame {
	refused := r.refusals[iamCIC]
	delete(r.refusals, iamCIC)
	for _, cic := range refused.circuits {
		delete(r.arrivedSetUps[refused.direction], cic)
	}
	return refused.heldFrames
}

// InterceptStale handles a frame that was queued at the processor behind a set-up which the processor refused: the call
// server does not know that call. The results are those of InterceptRefused.
func (f Frame) InterceptStale() (intercepted bool, reply []byte) {
	if f.setUp == nil || !f.setUp.refused || f.ISUP.Type == isup.RSC || f.ISUP.Type == isup.GRS {
		return false, nil
	}
	if f.ISUP.Type == isup.REL {
		reply = f.reply(isup.NewSimple(isup.RLC, f.ISUP.CIC))
	}
	return true, reply
}

// findRefusal returns the refusal that includes a circuit, and its key. There is at most one.
func (r *Relation) findRefusal(cic uint16) (*refusal, uint16) {
	for iamCIC, refused := range r.refusals {
		if slices.Contains(refused.circuits, cic) {
			return refused, iamCIC
		}
	}
	return nil, 0
}

// lastNamedCircuit returns the last circuit of a reset or of its acknowledgement.
func lastNamedCircuit(message *isup.Message) uint16 {
	if circuits, err := message.RangeStatus(); (message.Type == isup.GRS || message.Type == isup.GRA) && err == nil {
		return message.CIC + uint16(circuits.Range)
	}
	return message.CIC
}

// endResetRefusals ends the refusals on circuits that either end resets, since the reset clears them. It returns the
// frames held that are to be resumed.
func (r *Relation) endResetRefusals(direction Direction, message *isup.Message) (resumed []Frame) {
	for cic := message.CIC; cic <= lastNamedCircuit(message); cic++ {
		refused, iamCIC := r.findRefusal(cic)
		if refused == nil {
			continue
		}
		if held := r.endRefusal(iamCIC); direction == refused.direction {
			resumed = append(resumed, held...)
		}
	}
	return resumed
}
