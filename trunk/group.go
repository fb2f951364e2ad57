// Package trunk manages the circuits of one trunk group at one of its two ends: hunting, dual seizure, release,
// blocking and reset with their timers (Q.764 2.3, 2.8, 2.9). It does no I/O: the caller passes in received messages
// and the current time, and collects the messages to send and the events. Routing of calls to groups is not part of it.
package trunk

import (
	"errors"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"finchlatch/isup"
)

const (
	slotsPerSystem   = 32    // time slots of a 2,048 kbit/s system; slot 0 carries no call
	maxCIC           = 0xfff // a circuit identification code has 12 bits
	maxRangeCircuits = 32    // circuits of one group message (Q.763 3.43)
)

// Direction states which ends of a group may seize circuits.
type Direction byte

// Directions of a group.
const (
	BothWay  Direction = iota // both ends seize
	Incoming                  // only the far end seizes
	Outgoing                  // only this end seizes
)

// Timers are the timers of Q.764 annex A that a group runs. A zero timer gets its value from DefaultTimers. T12 and T13 stand for
// the pairs T12/T13 to T22/T23 of Q.764, one pair for each kind of message.
type Timers struct {
	T1  time.Duration // until REL is sent again: 15 to 60 s
	T5  time.Duration // until an unanswered REL is replaced by RSC: 5 to 15 min
	T12 time.Duration // until BLO, UBL, RSC, CGB, CGU or GRS is sent again (T12, T14, T16, T18, T20, T22): 15 to 60 s
	T13 time.Duration // until maintenance is alerted that it has no answer (T13, T15, T17, T19, T21, T23): 5 to 15 min
}

// DefaultTimers holds the shortest values of Q.764 annex A.
var DefaultTimers = Timers{T1: 15 * time.Second, T5: 5 * time.Minute, T12: 15 * time.Second, T13: 5 * time.Minute}

// Settings describes one end of a trunk group.
type Settings struct {
	OwnPointCode  uint32   // point code of this end; the end with the higher one controls the even circuits
	PeerPointCode uint32   // point code of the far end
	Circuits      []uint16 // circuit identification codes, without time slot 0 of the 2,048 kbit/s systems
	Direction     Direction
	Timers        Timers
}

// State is the call state of a circuit. Blocking is independent of it.
type State byte

// States of a circuit.
const (
	Idle State = iota
	SeizedOutgoing
	SeizedIncoming
	AwaitingRelease // REL has been sent, RLC is awaited
	Resetting       // RSC or GRS has been sent, its acknowledgement is awaited
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"idle", "outgoing", "incoming", "awaiting release", "resetting"}[s]
}

// circuit is one circuit of a group.
type circuit struct {
	cic         uint16
	state       State
	seizure     *Seizure   // call that holds the circuit, or nil
	localBlock  blockState // blocked by this end
	remoteBlock blockState // blocked by the far end
}

// blockState holds the kinds of blocking that one end has applied to a circuit; both may be in effect at once.
type blockState struct{ maintenance, hardware bool }

// active reports whether a blocking of either kind is in effect.
func (b blockState) active() bool { return b.maintenance || b.hardware }

// set applies or removes a blocking of one kind.
func (b *blockState) set(blockingType isup.BlockingType, blocked bool) {
	if blockingType == isup.Hardware {
		b.hardware = blocked
	} else {
		b.maintenance = blocked
	}
}

// usable reports whether a call of this end may seize the circuit: it is idle and not blocked.
func (c *circuit) usable() bool {
	return c.state == Idle && !c.localBlock.active() && !c.remoteBlock.active()
}

// Seizure describes the circuits of a group that one call occupies.
type Seizure struct {
	CIC              uint16 // lowest circuit of the call, which carries its signalling
	Outgoing         bool   // seized by this end
	Owner            any    // set by the owner of the group to find its call; not used by this package
	CircuitMap       uint32 // circuit assignment map: bit 0 is time slot 1; 0 for a single circuit
	circuits         []int  // indexes into Group.circuits
	backwardReceived bool   // a backward message was received, so a dual seizure is no longer possible
	reserved         bool   // nothing has been sent: the far end does not know of it and wins a dual seizure
	ended            bool
	callKey          string // identifies an incoming call; set only on groups that only the far end seizes
}

// Width returns the number of circuits held.
func (s *Seizure) Width() int { return len(s.circuits) }

// EventKind is the kind of an Event.
type EventKind byte

// Kinds of events.
const (
	IncomingCall     EventKind = iota // IAM received: Seizure is a new incoming call
	CallMessage                       // ACM, CPG, ANM, CON or another message of an existing call received
	Released                          // REL received: the circuits are idle again, RLC has been sent
	SeizureLost                       // outgoing seizure ended by a dual seizure or an unequipped circuit; its call was never set up
	Dropped                           // seizure ended by a reset or by hardware blocking
	MaintenanceAlert                  // condition for maintenance, described by Text
)

// Event is a change in a group that its owner has to handle.
type Event struct {
	Kind    EventKind
	Seizure *Seizure      // nil for MaintenanceAlert
	Message *isup.Message // received message; nil for SeizureLost, Dropped and MaintenanceAlert
	Text    string        // of MaintenanceAlert only
}

// Group is one end of a trunk group. It is not safe for concurrent use.
type Group struct {
	settings       Settings
	circuits       []circuit // in the order of their codes
	pending        []*procedure
	output         []*isup.Message
	returnedOutput []*isup.Message // returned by the last call of Output, reused by the next one
	events         []Event
	returnedEvents []Event  // returned by the last call of Events, reused by the next one
	usableSlots    []uint32 // usable circuits: one word for each 2,048 kbit/s system, one bit for each time slot
	usableCount    int      // circuits that are idle and not blocked
	unblockedCount int      // circuits that are not blocked
}

// New returns a group with all circuits idle, or an error that describes the first invalid setting.
func New(settings Settings) (*Group, error) {
	if len(settings.Circuits) == 0 {
		return nil, errors.New("trunk: group has no circuits")
	}
	if settings.OwnPointCode == settings.PeerPointCode {
		return nil, fmt.Errorf("trunk: both ends have point code %d", settings.OwnPointCode)
	}
	timers, defaults := &settings.Timers, DefaultTimers
	for _, timer := range []struct{ value, fallback *time.Duration }{{&timers.T1, &defaults.T1}, {&timers.T5, &defaults.T5},
		{&timers.T12, &defaults.T12}, {&timers.T13, &defaults.T13}} {
		if *timer.value <= 0 {
			*timer.value = *timer.fallback
		}
	}
	g := &Group{settings: settings, circuits: make([]circuit, 0, len(settings.Circuits))}
	cics := slices.Clone(settings.Circuits)
	slices.Sort(cics)
	for i, cic := range cics {
		if cic == 0 || cic%slotsPerSystem == 0 || cic > maxCIC {
			return nil, fmt.Errorf("trunk: circuit %d: codes range from 1 to 4095, without multiples of 32 (time slot 0)", cic)
		}
		if i > 0 && cics[i-1] == cic {
			return nil, fmt.Errorf("trunk: circuit %d is listed twice", cic)
		}
		g.circuits = append(g.circuits, circuit{cic: cic})
	}
	g.usableSlots = make([]uint32, cics[len(cics)-1]/slotsPerSystem+1)
	g.recount()
	return g, nil
}

// circuitIndex returns the index of a circuit in g.circuits; false if the group does not have the circuit.
func (g *Group) circuitIndex(cic uint16) (int, bool) {
	return slices.BinarySearchFunc(g.circuits, cic, func(c circuit, cic uint16) int { return int(c.cic) - int(cic) })
}

// Usable returns the number of circuits that can be seized now: idle and not blocked.
func (g *Group) Usable() int { return g.usableCount }

// Unblocked returns the number of circuits that are not blocked.
func (g *Group) Unblocked() int { return g.unblockedCount }

// Size returns the number of circuits, including blocked ones.
func (g *Group) Size() int { return len(g.circuits) }

// States returns the number of circuits in each State, and the number of blocked ones.
func (g *Group) States() (byState [5]int, blocked int) {
	for i := range g.circuits {
		c := &g.circuits[i]
		byState[c.state]++
		if c.localBlock.active() || c.remoteBlock.active() {
			blocked++
		}
	}
	return byState, blocked
}

// Output returns the messages to send, in order, and removes them from the group. The slice is valid until the next call.
func (g *Group) Output() []*isup.Message {
	clear(g.returnedOutput)
	g.output, g.returnedOutput = g.returnedOutput[:0], g.output
	return g.returnedOutput
}

// Events returns the events since the last call, in order. The slice is valid until the next call.
func (g *Group) Events() []Event {
	clear(g.returnedEvents)
	g.events, g.returnedEvents = g.returnedEvents[:0], g.events
	return g.returnedEvents
}

// send appends a message to the output.
func (g *Group) send(message *isup.Message) { g.output = append(g.output, message) }

// addEvent appends an event. seizure and message may be nil.
func (g *Group) addEvent(kind EventKind, seizure *Seizure, message *isup.Message) {
	g.events = append(g.events, Event{Kind: kind, Seizure: seizure, Message: message})
}

// recount computes usableCount, unblockedCount and usableSlots from the circuits.
func (g *Group) recount() {
	g.usableCount, g.unblockedCount = 0, 0
	clear(g.usableSlots)
	for i := range g.circuits {
		c := &g.circuits[i]
		if !c.localBlock.active() && !c.remoteBlock.active() {
			g.unblockedCount++
			if c.state == Idle {
				g.usableCount++
				g.usableSlots[c.cic/slotsPerSystem] |= 1 << (c.cic % slotsPerSystem)
			}
		}
	}
}

// setState sets the state and the seizure of a circuit and updates usableCount and usableSlots.
func (g *Group) setState(index int, state State, seizure *Seizure) {
	c := &g.circuits[index]
	wasUsable := c.usable()
	c.state, c.seizure = state, seizure
	if isUsable := c.usable(); wasUsable != isUsable {
		if isUsable {
			g.usableCount++
		} else {
			g.usableCount--
		}
		g.usableSlots[c.cic/slotsPerSystem] ^= 1 << (c.cic % slotsPerSystem)
	}
}

// Seize seizes width circuits for a call. They lie in one 2,048 kbit/s system, because a circuit assignment map describes a
// single one. It returns nil if no system has as many usable circuits, or if only the far end may seize. The two ends select
// circuits in opposite order, so that they compete only for the last ones (Q.764 2.9.1.3).
func (g *Group) Seize(width int, owner any) *Seizure {
	if g.settings.Direction == Incoming || width < 1 || g.usableCount < width {
		return nil
	}
	found := g.hunt(width)
	if found == nil {
		return nil
	}
	slices.Sort(found)
	seizure := &Seizure{CIC: g.circuits[found[0]].cic, Outgoing: true, Owner: owner, circuits: found, CircuitMap: g.assignmentMap(found)}
	for _, i := range found {
		g.setState(i, SeizedOutgoing, seizure)
	}
	return seizure
}

// assignmentMap returns the circuit assignment map of circuits of one system; 0 for a single circuit.
func (g *Group) assignmentMap(circuits []int) (bitmap uint32) {
	if len(circuits) > 1 {
		for _, i := range circuits {
			bitmap |= 1 << (g.circuits[i].cic%slotsPerSystem - 1)
		}
	}
	return bitmap
}

// hunt finds usable circuits for a call in one system, starting from this end's side of the group. It checks one word per
// system, so its cost does not grow with the number of busy circuits.
func (g *Group) hunt(width int) []int {
	for offset := range g.usableSlots {
		system, fromTop := offset, g.settings.OwnPointCode > g.settings.PeerPointCode
		if fromTop {
			system = len(g.usableSlots) - 1 - offset
		}
		slots := g.usableSlots[system]
		if bits.OnesCount32(slots) < width {
			continue
		}
		found := make([]int, 0, width)
		for len(found) < width {
			slot := bits.TrailingZeros32(slots)
			if fromTop {
				slot = 31 - bits.LeadingZeros32(slots)
			}
			slots &^= 1 << slot
			i, _ := g.circuitIndex(uint16(system*slotsPerSystem + slot))
			found = append(found, i)
		}
		return found
	}
	return nil
}

// NewIAM returns the IAM of a seizure, with the circuit assignment map of its circuits. It fails as isup.NewSetup does.
func (s *Seizure) NewIAM(setup isup.Setup) (*isup.Message, error) {
	setup.CircuitMap = s.CircuitMap
	return isup.NewSetup(s.CIC, setup)
}

// Free frees the circuits of a seizure without sending a message. It is for seizures of which nothing reached the far end:
// nothing was sent, or the transport accepted no part of it.
func (g *Group) Free(seizure *Seizure) {
	if seizure.ended {
		return
	}
	g.endSeizure(seizure, Idle)
}

// endSeizure ends a seizure and sets the state of those of its circuits that it still holds.
func (g *Group) endSeizure(seizure *Seizure, state State) {
	seizure.ended = true
	for _, i := range seizure.circuits {
		if g.circuits[i].seizure == seizure {
			g.setState(i, state, nil)
		}
	}
}

// Send sends a message of a call on the circuit of its seizure. If the seizure has ended, the message is discarded.
func (g *Group) Send(seizure *Seizure, message *isup.Message) {
	if !seizure.ended {
		message.CIC = seizure.CIC
		g.send(message)
	}
}

// Reserve seizes circuits like Seize, for a set-up that may follow. Nothing is sent to the far end, which wins every dual
// seizure until Begin is called.
func (g *Group) Reserve(width int, owner any) *Seizure {
	seizure := g.Seize(width, owner)
	if seizure != nil {
		seizure.reserved = true
	}
	return seizure
}

// Reserved reports whether the seizure is a reservation: nothing has been sent on it yet.
func (s *Seizure) Reserved() bool { return s.reserved }

// Begin turns a reservation into a seizure; the caller then sends the IAM. It returns false if the reservation has ended.
func (g *Group) Begin(seizure *Seizure) bool {
	seizure.reserved = false
	return !seizure.ended
}

// Release ends a seizure by sending REL. Its circuits stay unavailable until RLC is received (Q.764 2.3.1). A reservation
// is freed without a message.
func (g *Group) Release(now time.Duration, seizure *Seizure, info isup.ReleaseInfo) {
	if seizure.ended {
		return
	}
	if seizure.reserved {
		g.endSeizure(seizure, Idle)
		return
	}
	g.endSeizure(seizure, AwaitingRelease)
	g.startProcedure(now, &procedure{kind: releaseProcedure, circuits: seizure.circuits,
		shortTimer: g.settings.Timers.T1, longTimer: g.settings.Timers.T5, message: isup.NewRelease(seizure.CIC, info)})
}

// winsDualSeizure reports whether this end's call wins a dual seizure against a call of the far end (Q.764 2.9.1.4). The call
// with more circuits wins; between equals the end with the higher point code controls the even circuits. Overlapping calls
// of several circuits are compared by the lower of their first circuits, so that both ends come to the same result.
func (g *Group) winsDualSeizure(own *Seizure, farWidth int, farCIC uint16) bool {
	if own.Width() != farWidth {
		return own.Width() > farWidth
	}
	return (g.settings.OwnPointCode > g.settings.PeerPointCode) == (min(own.CIC, farCIC)%2 == 0)
}
