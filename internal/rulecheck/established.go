package rulecheck

import (
	"fmt"
	"slices"
	"time"
)

// establishedCall is the state of a call that an office has established.
type establishedCall struct {
	office          string // where it is or was established
	ended           bool   // at the office
	endedAt         time.Duration
	noticeDue       time.Duration // time limit for notifying its caller of the end
	releaseWritten  bool          // the office has written its release
	settled         bool          // the caller was notified or has ended it, or no notice is required
	settledAt       time.Duration // when the call server knew of that; 0: perhaps not yet
	answerDelivered bool          // the positive answer has reached the caller
}

// linkFault is a span in which a call server and an office could not reach each other.
type linkFault struct{ from, until time.Duration }

// The protocol's time limits for notifying the caller of the end of an established call.
const (
	NoticeAfterRelease = time.Second     // after the office wrote its release on a link without a fault
	NoticeAfterEnd     = 8 * time.Second // after the end itself, if no release could be sent
)

// Answered reports that the positive answer of an office is on its way to the call server. If an earlier attempt was established
// at an office that ended without a release before its answer was read, the call is now established by this attempt.
func (p *PlatformChecker) Answered(office string, callID uint64) {
	call := p.calls[callID]
	if call == nil {
		return
	}
	call.established.office = office
	if call.established.ended && !call.established.releaseWritten && !call.answered {
		call.established.ended = false
	}
}

// CallEnded reports that a call has ended at an office. Its caller must be notified within noticeLimit.
func (p *PlatformChecker) CallEnded(at time.Duration, office string, callID uint64, noticeLimit time.Duration) {
	call := p.calls[callID]
	if call == nil || call.established.ended || call.established.settled ||
		call.established.office != office && call.attemptOffice != office {
		return
	}
	call.established.ended, call.established.endedAt, call.established.noticeDue = true, at, at+noticeLimit
	call.established.office, call.established.releaseWritten = office, noticeLimit < NoticeAfterEnd
}

// ReleaseWritten reports that an office has written the release that it could not write when the call ended.
func (p *PlatformChecker) ReleaseWritten(callID uint64) {
	if call := p.calls[callID]; call != nil {
		call.established.releaseWritten = true
	}
}

// CallerNotified reports that a caller was notified of the end of its call.
func (p *PlatformChecker) CallerNotified(at time.Duration, callID uint64) {
	call := p.calls[callID]
	if call == nil || call.established.settled {
		return
	}
	call.established.settled, call.established.settledAt = true, at
	switch {
	case call.established.ended && at > call.established.noticeDue+p.Slack:
		p.reportLate(call.established.noticeDue+p.Slack, at, callID, "its caller was notified %v after its end at %s",
			at-call.established.endedAt, call.established.office)
	case !call.established.ended && call.established.office != "" && !p.HadLinkFault(call.established.office, at):
		p.violation(at, 1, callID, "its caller was notified of its end, and it is established at %s", call.established.office)
	}
}

// NoCallersConnected reports that a call server has no open connection from a caller. The next set-up that it takes, or
// CallersConnected, ends that. Callers can be notified of calls that end meanwhile only from then on.
func (p *PlatformChecker) NoCallersConnected(at time.Duration, node string) {
	if _, already := p.noCallersSince[node]; !already {
		p.noCallersSince[node] = at
	}
}

// CallersConnected reports that a call server has a connection from a caller again, on which it can notify of ends.
func (p *PlatformChecker) CallersConnected(at time.Duration, node string) {
	since, ok := p.noCallersSince[node]
	if !ok {
		return
	}
	delete(p.noCallersSince, node)
	for _, call := range p.calls {
		if call.node == node && call.established.ended && !call.established.settled && call.established.noticeDue >= since {
			call.established.noticeDue = max(call.established.noticeDue, at+NoticeAfterRelease)
		}
	}
}

// noCallersBefore reports whether a call server lost its last connection from a caller before due and has had none since.
func (p *PlatformChecker) noCallersBefore(node string, due time.Duration) bool {
	since, ok := p.noCallersSince[node]
	return ok && since < due
}

// HungUp reports that a caller ends an established call: no notice is required any more.
func (p *PlatformChecker) HungUp(callID uint64) {
	if call := p.calls[callID]; call != nil {
		call.established.settled = true
	}
}

// HangUpReceived reports that the BYE of a caller has reached the call server.
func (p *PlatformChecker) HangUpReceived(at time.Duration, callID uint64) {
	if call := p.calls[callID]; call != nil && call.established.settledAt == 0 {
		call.established.settled, call.established.settledAt = true, at
	}
}

// CheckHeld reports that a reachable office holds a call, and checks that it has not been over for its caller for too long: it
// must have been released there.
func (p *PlatformChecker) CheckHeld(at time.Duration, office string, callID uint64) {
	call := p.calls[callID]
	if call == nil || !call.established.answerDelivered || call.established.settledAt == 0 || call.killed ||
		call.established.office != office {
		return
	}
	if at > call.established.settledAt+maxHeldAfterEnd {
		p.violation(at, 1, callID, "held at %s, %v after it had ended for its caller", office, at-call.established.settledAt)
	}
}

// maxHeldAfterEnd is how long a reachable office may hold a call that has ended for its caller: a release that was lost with a
// connection has been sent again by then.
const maxHeldAfterEnd = 5 * time.Second

// Adopted reports that a caller has named an established call to a restarted call server. If the call ended before, the time
// limit for its notice starts now.
func (p *PlatformChecker) Adopted(at time.Duration, callID uint64) {
	if call := p.calls[callID]; call != nil && call.established.ended && !call.established.settled {
		call.established.noticeDue = max(call.established.noticeDue, at+NoticeAfterEnd)
	}
}

// AddLinkFault reports a span in which the link between a call server and an office has a fault. A release that the office wrote
// immediately before may be delayed by it.
func (p *PlatformChecker) AddLinkFault(office string, from, until time.Duration) {
	p.linkFaults[office] = append(p.linkFaults[office], linkFault{from, until})
	for _, call := range p.calls {
		established := &call.established
		if established.office == office && established.ended && established.releaseWritten && !established.settled &&
			from-established.endedAt <= crossingWindow {
			established.noticeDue = max(established.noticeDue, established.endedAt+NoticeAfterEnd)
		}
	}
}

// HasLinkFault reports whether the link to an office has a fault at a time.
func (p *PlatformChecker) HasLinkFault(office string, at time.Duration) bool {
	return slices.ContainsFunc(p.linkFaults[office], func(fault linkFault) bool { return fault.from <= at && fault.until >= at })
}

// HadLinkFault reports whether the link to an office has a fault at a time or had one so recently that the end of a call may
// still be unknown on the other side.
func (p *PlatformChecker) HadLinkFault(office string, at time.Duration) bool {
	return slices.ContainsFunc(p.linkFaults[office], func(fault linkFault) bool {
		return fault.from <= at && fault.until >= at-NoticeAfterEnd-NoticeAfterRelease
	})
}

// ConnectionEnded reports that the call server has closed the connection of a call before its final answer. That is allowed only
// if the set-up crossed the close.
func (p *PlatformChecker) ConnectionEnded(at time.Duration, callID uint64) {
	call := p.calls[callID]
	if call == nil || call.finished {
		return
	}
	call.finished = true
	if at <= call.takenAt+crossingWindow+p.Slack {
		p.crossings++
	} else {
		p.violation(at, 1, callID, "its connection was ended %v after it was taken, with no answer", at-call.takenAt)
	}
}

// Crossings returns the number of set-ups that crossed the end of their connection.
func (p *PlatformChecker) Crossings() int { return p.crossings }

// TakenBy reports which call server has taken a call.
func (p *PlatformChecker) TakenBy(callID uint64, node string) {
	if call := p.calls[callID]; call != nil {
		call.node = node
		p.CallersConnected(call.takenAt, node)
	}
}

// Killed reports that the process of a call server is killed. Callers retry what it had taken by the time until; what it took
// later and has not answered is a violation. A release that was written to it may be lost with it.
func (p *PlatformChecker) Killed(at time.Duration, node string, until time.Duration) {
	var unanswered []uint64
	for callID, call := range p.calls {
		if call.node != node {
			continue
		}
		call.killed = true
		if call.established.ended && call.established.releaseWritten {
			call.established.settled = true // the release was lost with the process
		}
		if !call.finished && call.takenAt > until {
			unanswered = append(unanswered, callID)
		}
		call.finished = true
	}
	slices.Sort(unanswered)
	for _, callID := range unanswered {
		p.violation(at, 1, callID, "call server %s was killed with no answer sent, %v after the call was taken", node, at-p.calls[callID].takenAt)
	}
}

// crossingWindow is how long before the end of a connection a message may be written and still count as crossing it.
const crossingWindow = 50 * time.Millisecond

// ProcessFault reports a violation by the process of a call server, such as a crash, an exceeded limit or a late start.
func (p *PlatformChecker) ProcessFault(at time.Duration, node, format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%v: process %s: %s", at, node, fmt.Sprintf(format, args...)))
}

// unnotified returns the IDs of answered calls that have ended without a notice to their callers in time.
func (p *PlatformChecker) unnotified(at time.Duration) (callIDs []uint64) {
	for callID, call := range p.calls {
		if call.established.ended && !call.established.settled && call.answered && at > call.established.noticeDue+p.Slack &&
			!p.noCallersBefore(call.node, call.established.noticeDue) {
			callIDs = append(callIDs, callID)
		}
	}
	slices.Sort(callIDs)
	return callIDs
}
