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
	settledAt       time.Duration // when the call server sent the notice or received a BYE; 0: neither was observed
	answerDelivered bool          // the positive answer has reached the caller
	connectionEnded bool          // the connection that carried the answer of the office has ended
	givenUp         bool          // its caller was notified of its end, so that the office must be sent a release
	releasedAt      time.Duration // when the office was sent a release or the call ended there; 0: neither
}

// linkFault is a span in which a call server and an office could not reach each other.
type linkFault struct{ from, until time.Duration }

// Time limits of the platform's protocol for call servers: they must notify the caller of the end of an established call.
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
	call.established.office, call.established.connectionEnded = office, false
	if call.established.ended && !call.established.releaseWritten && !call.answered {
		call.established.ended = false
	}
}

// CallEnded reports that a call has ended at an office. Its caller must be notified within noticeLimit.
func (p *PlatformChecker) CallEnded(at time.Duration, office string, callID uint64, noticeLimit time.Duration) {
	call := p.calls[callID]
	if call != nil && call.established.givenUp {
		p.Released(at, callID)
	}
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
	case call.established.ended || call.established.office == "" || p.HadLinkFault(call.established.office, at):
	case p.mayBeGivenUp(call):
		call.established.givenUp = true
	default:
		p.violation(at, 1, callID, "its caller was notified of its end, and it is established at %s", call.established.office)
	}
}

// mayBeGivenUp reports whether a call server may end a call that an office holds, by a release on both sides: the connection of its
// answer has ended, so that the process which holds it is not known, or it was answered before the call server had to know that its
// office has the address of another one.
func (p *PlatformChecker) mayBeGivenUp(call *platformCall) bool {
	if call.established.connectionEnded {
		return true
	}
	predecessor, replaced := p.predecessors[call.established.office]
	announcedAt, announced := p.announcedAt[predecessor]
	return replaced && (!announced || call.answeredAt <= announcedAt+p.Grace+p.Slack)
}

// GivenUp returns the number of calls that call servers ended, by a release on both sides, while their offices held them.
func (p *PlatformChecker) GivenUp() (count int) {
	for _, call := range p.calls {
		if call.established.givenUp {
			count++
		}
	}
	return count
}

// endedOnOneSide returns the IDs of calls that were given up toward their callers and not at their offices.
func (p *PlatformChecker) endedOnOneSide() (callIDs []uint64) {
	for callID, call := range p.calls {
		established := &call.established
		if established.givenUp && (established.releasedAt == 0 || established.releasedAt > established.settledAt+NoticeAfterRelease+p.Slack) {
			callIDs = append(callIDs, callID)
		}
	}
	slices.Sort(callIDs)
	return callIDs
}

// Released reports that a release of a call by the call server has reached an office.
func (p *PlatformChecker) Released(at time.Duration, callID uint64) {
	if call := p.calls[callID]; call != nil && call.established.releasedAt == 0 {
		call.established.releasedAt = at
	}
}

// AnswerConnectionEnded reports that the connection has ended that carried the answer of an office.
func (p *PlatformChecker) AnswerConnectionEnded(callID uint64) {
	if call := p.calls[callID]; call != nil {
		call.established.connectionEnded = true
	}
}

// OfficeReplaced reports that an office has taken the address of another one.
func (p *PlatformChecker) OfficeReplaced(office, predecessor string) {
	p.predecessors[office] = predecessor
}

// NoCallersConnected reports that a call server has no connection left on which it knows of a caller, so that it cannot notify
// callers of calls that end. That lasts until TakenBy reports its next set-up or until CallersConnected.
func (p *PlatformChecker) NoCallersConnected(at time.Duration, callServer string) {
	if _, already := p.noCallersSince[callServer]; !already {
		p.noCallersSince[callServer] = at
	}
}

// CallersConnected reports that a call server knows of a caller on a connection, on which it can notify callers of ended calls. It
// has NoticeAfterRelease from now on for notices that became due while it knew of none.
func (p *PlatformChecker) CallersConnected(at time.Duration, callServer string) {
	since, ok := p.noCallersSince[callServer]
	if !ok {
		return
	}
	delete(p.noCallersSince, callServer)
	for _, call := range p.calls {
		if call.callServer == callServer && call.established.ended && !call.established.settled && call.established.noticeDue >= since {
			call.established.noticeDue = max(call.established.noticeDue, at+NoticeAfterRelease)
		}
	}
}

// noCallersBefore reports whether a call server lost its last connection from a caller before due and has had none since.
func (p *PlatformChecker) noCallersBefore(callServer string, due time.Duration) bool {
	since, ok := p.noCallersSince[callServer]
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

// CheckHeld reports that an office that the call server can reach holds a call as established. It is a violation if the call ended
// for its caller more than maxHeldAfterEnd before: the call server must have released it at the office by then.
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
// at most crossingWindow before may be delayed by it.
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
// if the set-up crossed the close: it was taken at most crossingWindow and Slack before.
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
func (p *PlatformChecker) TakenBy(callID uint64, callServer string) {
	if call := p.calls[callID]; call != nil {
		call.callServer = callServer
		p.CallersConnected(call.takenAt, callServer)
	}
}

// Killed reports that the process of a call server is killed. Its unanswered calls need no answer if it took them at retryCutoff
// or earlier, since their callers retry them; each later one is a violation. A release that was written to it may be lost with it.
func (p *PlatformChecker) Killed(at time.Duration, callServer string, retryCutoff time.Duration) {
	var unanswered []uint64
	for callID, call := range p.calls {
		if call.callServer != callServer {
			continue
		}
		call.killed = true
		if call.established.ended && call.established.releaseWritten {
			call.established.settled = true // the release was lost with the process
		}
		if !call.finished && call.takenAt > retryCutoff {
			unanswered = append(unanswered, callID)
		}
		call.finished = true
	}
	slices.Sort(unanswered)
	for _, callID := range unanswered {
		p.violation(at, 1, callID, "call server %s was killed with no answer sent, %v after the call was taken", callServer, at-p.calls[callID].takenAt)
	}
}

// NotNamed reports that the callers of a call server whose process was killed have named their established calls to the next process.
// They have left the others before they read the answer, so nobody can be notified of the ends of those.
func (p *PlatformChecker) NotNamed(callServer string, named []uint64) {
	for callID, call := range p.calls {
		if call.callServer == callServer && call.killed && call.established.answerDelivered && !slices.Contains(named, callID) {
			call.established.settled = true
		}
	}
}

// crossingWindow is how long before the end of a connection a set-up may be taken, or before a link fault a release be written,
// and still count as crossing it. For set-ups Slack is added.
const crossingWindow = 50 * time.Millisecond

// ProcessFault reports a violation by the process of a call server, such as a crash, an exceeded limit or a late start.
func (p *PlatformChecker) ProcessFault(at time.Duration, callServer, format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%v: process %s: %s", at, callServer, fmt.Sprintf(format, args...)))
}

// unnotified returns the IDs of answered calls that have ended, whose callers should have been notified by now and were not.
func (p *PlatformChecker) unnotified(at time.Duration) (callIDs []uint64) {
	for callID, call := range p.calls {
		if call.established.ended && !call.established.settled && call.answered && at > call.established.noticeDue+p.Slack &&
			!p.noCallersBefore(call.callServer, call.established.noticeDue) {
			callIDs = append(callIDs, callID)
		}
	}
	slices.Sort(callIDs)
	return callIDs
}
