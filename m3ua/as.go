package m3ua

import (
	"fmt"
	"slices"
	"time"
)

// Mode is the traffic mode of an application server, which states how its ASPs share the traffic (RFC 4666 section 3.6.1).
type Mode uint32

// Traffic modes, with their values in the Traffic Mode Type parameter.
const (
	Override  Mode = 1 // one ASP receives all traffic; an ASP that becomes active takes over
	Loadshare Mode = 2 // the active ASPs share the traffic; all messages of a call go to the same one
	Broadcast Mode = 3 // all active ASPs receive all traffic
)

// String returns the name of the mode as in the configuration, or "mode" and its value.
func (m Mode) String() string {
	switch m {
	case Override:
		return "override"
	case Loadshare:
		return "loadshare"
	case Broadcast:
		return "broadcast"
	}
	return fmt.Sprintf("mode %d", uint32(m))
}

// ASState is the state of an application server (RFC 4666 section 4.3.2).
type ASState byte

// States of an application server.
const (
	ASDown ASState = iota
	ASInactive
	ASActive
	ASPending // the last active ASP became inactive or was lost; T(r) runs
)

// String returns the name of the state in RFC 4666.
func (s ASState) String() string {
	return [...]string{"AS-DOWN", "AS-INACTIVE", "AS-ACTIVE", "AS-PENDING"}[s]
}

// ASSettings describes an application server.
type ASSettings struct {
	Mode          Mode          // default Override
	ASPs          int           // number of configured ASPs; at least 1 is assumed
	MinActiveASPs int           // ASPs that must be active before the AS becomes active, in loadshare and broadcast mode; default 1
	Recovery      time.Duration // T(r): how long the AS stays pending without an active ASP
}

// ASEventKind is the kind of an ASEvent.
type ASEventKind byte

// Kinds of events of an application server.
const (
	ASChanged      ASEventKind = iota // the AS has entered State
	ASOverridden                      // ASP is no longer active: another one has taken over
	ASInsufficient                    // fewer than MinActiveASPs ASPs are active: the ASPs that are up are to be notified
)

// ASEvent is a change of an application server that its owner has to handle.
type ASEvent struct {
	Kind  ASEventKind
	State ASState // of ASChanged: the new state
	ASP   int     // of ASOverridden: index of the ASP
}

// AS is the state machine of one application server, derived from the states of its ASPs, which are numbered from 0. It is not
// safe for concurrent use.
type AS struct {
	settings         ASSettings
	state            ASState
	aspStates        []State       // by index of the ASP
	activeASPs       []int         // indexes, in the order of activation
	recoveryDeadline time.Duration // expiry of T(r); valid in AS-PENDING
	events           []ASEvent
}

// NewAS returns an application server without any connected ASP.
func NewAS(settings ASSettings) *AS {
	if settings.Mode == 0 {
		settings.Mode = Override
	}
	settings.ASPs = max(settings.ASPs, 1)
	settings.MinActiveASPs = min(max(settings.MinActiveASPs, 1), settings.ASPs)
	if settings.Mode == Override {
		settings.MinActiveASPs = 1
	}
	return &AS{settings: settings, aspStates: make([]State, settings.ASPs)}
}

// State returns the current state.
func (a *AS) State() ASState { return a.state }

// ASPState returns the state of one ASP.
func (a *AS) ASPState(aspIndex int) State { return a.aspStates[aspIndex] }

// Events returns the events since the last call, in order.
func (a *AS) Events() []ASEvent {
	events := a.events
	a.events = nil
	return events
}

// setState changes the state of the AS and reports the change as an event.
func (a *AS) setState(state ASState) {
	if a.state != state {
		a.state = state
		a.events = append(a.events, ASEvent{Kind: ASChanged, State: state})
	}
}

// Update sets the state of one ASP and derives the state of the AS.
func (a *AS) Update(now time.Duration, aspIndex int, state State) {
	previous := a.aspStates[aspIndex]
	a.aspStates[aspIndex] = state
	if previous == state {
		return
	}
	if state == Active {
		a.activate(aspIndex)
	} else {
		a.activeASPs = slices.DeleteFunc(a.activeASPs, func(i int) bool { return i == aspIndex })
	}
	a.updateState(now)
}

// activate adds an ASP to the active ones. In override mode it replaces the one that was active (RFC 4666 section 3.7.1).
func (a *AS) activate(aspIndex int) {
	if a.settings.Mode == Override {
		for _, other := range a.activeASPs {
			a.aspStates[other] = Inactive
			a.events = append(a.events, ASEvent{Kind: ASOverridden, ASP: other})
		}
		a.activeASPs = a.activeASPs[:0]
	}
	a.activeASPs = append(a.activeASPs, aspIndex)
}

// updateState derives the state of the AS from those of its ASPs (RFC 4666 section 4.3.2, figure 4). An active AS stays active
// as long as any ASP is active; MinActiveASPs applies only to becoming active.
func (a *AS) updateState(now time.Duration) {
	anyUp := slices.ContainsFunc(a.aspStates, func(s State) bool { return s == Inactive || s == Active })
	activeCount := len(a.activeASPs)
	switch {
	case a.state == ASActive && activeCount > 0:
		if activeCount < a.settings.MinActiveASPs {
			a.events = append(a.events, ASEvent{Kind: ASInsufficient})
		}
	case a.state == ASPending && activeCount > 0, activeCount >= a.settings.MinActiveASPs:
		a.setState(ASActive)
	case a.state == ASActive:
		a.recoveryDeadline = now + a.settings.Recovery
		a.setState(ASPending)
	case a.state == ASPending:
	case anyUp:
		a.setState(ASInactive)
	default:
		a.setState(ASDown)
	}
}

// Deadline returns the time at which T(r) expires; false if it does not run.
func (a *AS) Deadline() (time.Duration, bool) { return a.recoveryDeadline, a.state == ASPending }

// Tick moves a pending AS to AS-INACTIVE or AS-DOWN when T(r) has expired.
func (a *AS) Tick(now time.Duration) {
	if a.state != ASPending || now < a.recoveryDeadline {
		return
	}
	if slices.ContainsFunc(a.aspStates, func(s State) bool { return s == Inactive }) {
		a.setState(ASInactive)
	} else {
		a.setState(ASDown)
	}
}

// Route returns the indexes of the ASPs that receive a message of a call. callSelector is a number that all messages of the call
// share, such as its circuit; in loadshare mode it selects the ASP. The result is empty unless the AS is active; it is valid until
// the next method call on the AS.
func (a *AS) Route(callSelector int) []int {
	if a.state != ASActive {
		return nil
	}
	if a.settings.Mode == Broadcast {
		return a.activeASPs
	}
	chosen := 0
	if a.settings.Mode == Loadshare {
		chosen = callSelector % len(a.activeASPs)
	}
	return a.activeASPs[chosen : chosen+1]
}
