package rulecheck

import (
	"fmt"
	"time"
)

// processStall is a span in which the process of a call server was ready to run and had to wait for a CPU; waited is the
// sum of the waits within the span.
type processStall struct{ from, until, waited time.Duration }

// lateEvent is a violation by lateness alone. It is excused if the process was kept from running for at least as long.
type lateEvent struct {
	callServer string
	due, at    time.Duration
	violation  string
}

// AddStall records that the process of a call server waited to run for some time within a span, as the kernel counted it.
func (p *PlatformChecker) AddStall(callServer string, from, until, waited time.Duration) {
	p.stalls[callServer] = append(p.stalls[callServer], processStall{from, until, waited})
}

// reportLate records a violation of rule 1 by lateness; due includes the slack.
func (p *PlatformChecker) reportLate(due, at time.Duration, callID uint64, format string, args ...any) {
	p.lateEvents = append(p.lateEvents, lateEvent{callServer: p.calls[callID].callServer, due: due, at: at,
		violation: fmt.Sprintf("%v: rule 1: call %016x: %s", at, callID, fmt.Sprintf(format, args...))})
}

// unexcusedLateness returns the violations by lateness that no stall excuses.
func (p *PlatformChecker) unexcusedLateness() (violations []string) {
	for _, event := range p.lateEvents {
		if p.stalledFor(event.callServer, event.due, event.at) < event.at-event.due {
			violations = append(violations, event.violation)
		}
	}
	return violations
}

// stalledFor returns how long a process was kept from running in the spans that overlap the given one.
func (p *PlatformChecker) stalledFor(callServer string, from, until time.Duration) (waited time.Duration) {
	for _, stall := range p.stalls[callServer] {
		if stall.from <= until && stall.until >= from {
			waited += stall.waited
		}
	}
	return waited
}

// Excused returns the number of late events that are excused by stalls.
func (p *PlatformChecker) Excused() int { return len(p.lateEvents) - len(p.unexcusedLateness()) }
