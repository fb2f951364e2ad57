package m3ua

import (
	"fmt"
	"slices"
	"time"
)

// Mode is the traffic mode of an application server (section 3.6.1): how its ASPs share the traffic.
type Mode uint32

// Traffic modes, by their values in the traffic mode type parameter.
const (
	Override  Mode = 1 // one ASP at a time; a newly active one takes over
	Loadshare Mode = 2 // all active ASPs, each call stays with one
	Broadcast Mode = 3 // all active ASPs get everything
)

// String names the mode.
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

// ASState is the state of an application server (section 4.3.2).
type ASState byte

// States of an application server.
const (
	ASDown ASState = iota
	ASInactive
	ASActive
	ASPending // the last active ASP has gone; T(r) runs
)

// String gives the name of the RFC.
func (s ASState) String() string {
	return [...]string{"AS-DOWN", "AS-INACTIVE", "AS-ACTIVE", "AS-PENDING"}[s]
}

// ASSettings of an application server. A zero Mode is Override.
type ASSettings struct {
	Mode     Mode
	ASPs     int           // configured processes
	Needed   int           // of them active for the AS to be active (n of n+k, loadshare and broadcast); 0: 1
	Recovery time.Duration // T(r)
}

// ASEventKind tells events of an application server apart.
type ASEventKind byte

// Events of an application server.
const (
	ASChanged    ASEventKind = iota // State is the new one
	ASOverridden                    // ASP is active no longer: another one has taken over
	ASShort                         // fewer than Needed are active: those that are up are told
)

// ASEvent is something that the user of an AS must carry out.
type ASEvent struct {
	Kind  ASEventKind
	State ASState
	ASP   int
}

// AS is the state machine of one application server over its ASPs. It is not safe for concurrent use.
type AS struct {
	set    ASSettings
	state  ASState
	asps   []State
	active []int // in the order of activation
	limit  time.Duration
	events []ASEvent
}

// NewAS makes an application server with all of its ASPs down.
func NewAS(s ASSettings) *AS {
	if s.Mode == 0 {
		s.Mode = Override
	}
	s.ASPs = max(s.ASPs, 1)
	s.Needed = min(max(s.Needed, 1), s.ASPs)
	if s.Mode == Override {
		s.Needed = 1
	}
	return &AS{set: s, asps: make([]State, s.ASPs)}
}

// State is the state now.
func (a *AS) State() ASState { return a.state }

// ASP is the state of one process.
func (a *AS) ASP(i int) State { return a.asps[i] }

// Events gives what has happened since the last call.
func (a *AS) Events() []ASEvent {
	e := a.events
	a.events = nil
	return e
}

func (a *AS) become(s ASState) {
	if a.state != s {
		a.state = s
		a.events = append(a.events, ASEvent{Kind: ASChanged, State: s})
	}
}

// Update takes the new state of one process.
func (a *AS) Update(now time.Duration, asp int, s State) {
	was := a.asps[asp]
	a.asps[asp] = s
	if was == s {
		return
	}
	if s == Active {
		a.activate(asp)
	} else {
		a.active = slices.DeleteFunc(a.active, func(i int) bool { return i == asp })
	}
	a.judge(now)
}

// activate adds a process. In override mode it takes the place of the one that was active (section 3.7.1).
func (a *AS) activate(asp int) {
	if a.set.Mode == Override {
		for _, other := range a.active {
			a.asps[other] = Inactive
			a.events = append(a.events, ASEvent{Kind: ASOverridden, ASP: other})
		}
		a.active = a.active[:0]
	}
	a.active = append(a.active, asp)
}

// judge finds the state that follows from those of the processes (figure 4 of section 4.3.2). An active AS stays
// active while any process is; Needed counts on the way up.
func (a *AS) judge(now time.Duration) {
	up := slices.ContainsFunc(a.asps, func(s State) bool { return s == Inactive || s == Active })
	n := len(a.active)
	switch {
	case a.state == ASActive && n > 0:
		if n < a.set.Needed {
			a.events = append(a.events, ASEvent{Kind: ASShort})
		}
	case a.state == ASPending && n > 0, n >= a.set.Needed:
		a.become(ASActive)
	case a.state == ASActive:
		a.limit = now + a.set.Recovery
		a.become(ASPending)
	case a.state == ASPending:
	case up:
		a.become(ASInactive)
	default:
		a.become(ASDown)
	}
}

// Deadline tells when T(r) runs out; false: it does not run.
func (a *AS) Deadline() (time.Duration, bool) { return a.limit, a.state == ASPending }

// Tick ends a pending AS when T(r) has run out.
func (a *AS) Tick(now time.Duration) {
	if a.state != ASPending || now < a.limit {
		return
	}
	if slices.ContainsFunc(a.asps, func(s State) bool { return s == Inactive }) {
		a.become(ASInactive)
	} else {
		a.become(ASDown)
	}
}

// Route gives the processes that a message about a call goes to: call is a number that all messages of the call
// share, such as its circuit. It is empty unless the AS is active. The slice must not be kept.
func (a *AS) Route(call int) []int {
	if a.state != ASActive {
		return nil
	}
	if a.set.Mode == Broadcast {
		return a.active
	}
	i := 0
	if a.set.Mode == Loadshare {
		i = call % len(a.active)
	}
	return a.active[i : i+1]
}
