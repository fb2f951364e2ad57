package rulecheck

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// PlatformChecker checks the five rules for call servers on the platform, from the traffic of their sockets alone: the
// messages of callers and offices, and the announcements of service discovery. Times may come from any clock, but all from
// the same one. Methods report events to it, and Violations returns the verdict. It is not safe for concurrent use.
//
// Offices are told apart by the names that the events give them. Where call servers learn of announcements at different times, or
// have link faults of their own, the events name an office as CALLSERVER/OFFICE: its link to one call server. Rule 4 then counts
// the set-ups of each link.
//
// OverloadWindow is the setting TipAfter of call servers. ColdBudget is a fixed number in place of what the function ColdBudget
// computes from Parameters. TapSkew is needed because connections are observed independently of each other.
type PlatformChecker struct {
	ReleaseTime    time.Duration              // rule 5: release time, in which no new attempt may start
	Grace          time.Duration              // rule 3: time after an announcement in which set-ups may still be sent
	Slack          time.Duration              // tolerance on the time limits of rules 1 and 3, except maxHeldAfterEnd
	TapSkew        time.Duration              // tolerated error of the time between events on two connections
	OverloadWindow time.Duration              // rule 4: window in which set-ups are counted; 0: rule 4 is not checked
	ColdBudget     float64                    // rule 4: set-ups in the window above which a cold office is overloaded
	CallServers    int                        // call servers checked together; see checkColdLoad
	calls          map[uint64]*platformCall   // by call ID
	announcedAt    map[string]time.Duration   // by office: when it was announced as draining or gone
	startedAt      map[string]time.Duration   // by office
	setUpTimes     map[string][]time.Duration // by office: set-ups in the last window
	linkFaults     map[string][]linkFault     // by office
	predecessors   map[string]string          // by office: the one that had its address before
	noCallersSince map[string]time.Duration   // by call server: when it lost the last connection on which it knew of a caller
	stalls         map[string][]processStall  // by call server
	crossings      int                        // set-ups that crossed the end of their connection
	lateEvents     []lateEvent
	violations     []string
}

// platformCall is the state of a call.
type platformCall struct {
	takenAt             time.Duration
	answerDue           time.Duration
	finished            bool // answered, abandoned, or lost with its connection or call server
	answered            bool
	answeredAt          time.Duration
	attemptOffice       string        // office of the outstanding attempt; empty: none
	releaseTimeStart    time.Duration // rule 5: end of the last attempt that started the release time
	awaitingReleaseTime bool          // rule 5: no attempt may start within ReleaseTime after releaseTimeStart
	abandoned           bool          // the caller abandoned the call before the answer
	abandonedAt         time.Duration
	established         establishedCall
	callServer          string        // call server that took the call
	killed              bool          // the process that took it was killed
	heldSetUpAt         time.Duration // when a set-up came after the final answer that a link fault may have held back; 0: none, or it was released
}

// NewPlatformChecker returns a checker with the parameters of rules 5, 3 and 1. Rule 4 is checked once OverloadWindow and
// ColdBudget are set.
func NewPlatformChecker(releaseTime, grace, slack time.Duration) *PlatformChecker {
	return &PlatformChecker{ReleaseTime: releaseTime, Grace: grace, Slack: slack, calls: map[uint64]*platformCall{},
		announcedAt: map[string]time.Duration{}, startedAt: map[string]time.Duration{}, setUpTimes: map[string][]time.Duration{},
		linkFaults: map[string][]linkFault{}, predecessors: map[string]string{}, noCallersSince: map[string]time.Duration{}, stalls: map[string][]processStall{}}
}

// violation records a violation of a rule by a call.
func (p *PlatformChecker) violation(at time.Duration, rule int, callID uint64, format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf("%v: rule %d: call %016x: %s", at, rule, callID, fmt.Sprintf(format, args...)))
}

// CallTaken reports that the complete set-up of a call has reached a call server.
func (p *PlatformChecker) CallTaken(at time.Duration, callID uint64, patience time.Duration) {
	p.calls[callID] = &platformCall{takenAt: at, answerDue: at + patience}
}

// Abandoned reports that a caller has abandoned its call: no answer is required, and no new attempt may start from then on.
func (p *PlatformChecker) Abandoned(at time.Duration, callID uint64) {
	call := p.calls[callID]
	if call == nil {
		return
	}
	call.established.settled = true // also if the CANCEL crosses the answer
	if !call.finished {
		call.finished, call.abandoned, call.abandonedAt = true, true, at
	}
}

// abandonWindow is how long after its caller has abandoned a call an attempt may still start; Slack is added.
const abandonWindow = 100 * time.Millisecond

// FinalAnswer reports a final answer to a caller, with its SIP status.
func (p *PlatformChecker) FinalAnswer(at time.Duration, callID uint64, status int) {
	call := p.calls[callID]
	switch {
	case call == nil:
		p.violation(at, 1, callID, "an answer to a call that was never taken")
		return
	case call.answered:
		p.violation(at, 1, callID, "a second final answer")
	case at > call.answerDue+p.Slack && !call.finished:
		p.reportLate(call.answerDue+p.Slack, at, callID, "the final answer is %v late", at-call.answerDue)
	}
	call.finished, call.answered, call.answeredAt = true, true, at
	call.established.answerDelivered = status == 200
	if status >= 300 { // the call has ended for its caller, even if an office had established it and its answer was lost
		if call.established.ended && !call.established.settled && at > call.established.noticeDue+p.Slack {
			p.reportLate(call.established.noticeDue+p.Slack, at, callID, "refused %v after it had ended at %s",
				at-call.established.endedAt, call.established.office)
		}
		call.established.settled = true
	}
}

// SetUp reports that a set-up has reached an office, and checks the rules on it.
func (p *PlatformChecker) SetUp(at time.Duration, office string, callID uint64) {
	call := p.calls[callID]
	if call == nil {
		p.violation(at, 1, callID, "a set-up for a call that was never taken")
		return
	}
	if call.finished && call.answered && at > call.answeredAt+p.TapSkew {
		if p.heldByLinkFault(office, call.answeredAt, at) {
			call.heldSetUpAt = at
		} else {
			p.violation(at, 1, callID, "a set-up %v after the final answer", at-call.answeredAt)
		}
	}
	if call.abandoned && at > call.abandonedAt+abandonWindow+p.Slack {
		p.violation(at, 1, callID, "a set-up %v after its caller had abandoned the call", at-call.abandonedAt)
	}
	if call.attemptOffice != "" {
		p.violation(at, 2, callID, "a set-up at %s while one is outstanding at %s", office, call.attemptOffice)
	}
	if announcedAt, ok := p.announcedAt[office]; ok && at > announcedAt+p.Grace+p.Slack {
		p.violation(at, 3, callID, "a set-up at %s, which was announced as draining or gone %v before", office, at-announcedAt)
	}
	if call.awaitingReleaseTime && at < call.releaseTimeStart+p.ReleaseTime {
		p.violation(at, 5, callID, "a set-up %v after a failed attempt", at-call.releaseTimeStart)
	}
	call.attemptOffice, call.awaitingReleaseTime = office, false
	if p.OverloadWindow > 0 {
		p.checkColdLoad(at, office, callID)
	}
}

// heldByLinkFault reports whether a set-up that reaches an office may have been written before a final answer, and was held back by a
// fault of the link that began before the answer and has just ended. The release of its attempt must come right behind it.
func (p *PlatformChecker) heldByLinkFault(office string, answeredAt, at time.Duration) bool {
	return slices.ContainsFunc(p.linkFaults[office], func(fault linkFault) bool {
		return fault.from <= answeredAt && fault.until >= answeredAt && fault.until >= at-crossingWindow-p.Slack
	})
}

// checkColdLoad checks rule 4 on the window that ends now. Call servers that each keep within their part of the budget may
// exceed it together when their set-ups coincide. For more than one, the limit is therefore higher by twice the square root of
// the budget, which is two standard deviations of a Poisson count with that mean, and by two whole set-ups.
func (p *PlatformChecker) checkColdLoad(at time.Duration, office string, callID uint64) {
	p.setUpTimes[office] = slices.DeleteFunc(append(p.setUpTimes[office], at), func(t time.Duration) bool { return t <= at-p.OverloadWindow })
	limit := p.ColdBudget
	if p.CallServers > 1 {
		limit += 2*math.Sqrt(p.ColdBudget) + 2
	}
	if startedAt, ok := p.startedAt[office]; ok && at < startedAt+p.OverloadWindow && float64(len(p.setUpTimes[office])) > limit {
		p.violation(at, 4, callID, "%d set-ups at %s within %v of its start, its limit is %.1f",
			len(p.setUpTimes[office]), office, at-startedAt, limit)
	}
}

// AttemptEnded reports the end of an attempt. With startsReleaseTime it timed out, was reset, was cancelled or had a signalling
// fault, so that rule 5 asks for the release time before the next one; otherwise it was answered or refused.
func (p *PlatformChecker) AttemptEnded(at time.Duration, office string, callID uint64, startsReleaseTime bool) {
	if call := p.calls[callID]; call != nil && call.attemptOffice == office {
		call.attemptOffice = ""
		if startsReleaseTime {
			call.releaseTimeStart, call.awaitingReleaseTime = at, true
		}
	}
}

// CancelRead reports that an office has read the cancel of an attempt. The call server may have written it Slack earlier, and the
// release time counts from there.
func (p *PlatformChecker) CancelRead(at time.Duration, office string, callID uint64) {
	if call := p.calls[callID]; call != nil && at <= call.heldSetUpAt+crossingWindow+p.Slack {
		call.heldSetUpAt = 0
	}
	p.AttemptEnded(at, office, callID, true)
	if call := p.calls[callID]; call != nil && call.awaitingReleaseTime && call.releaseTimeStart == at {
		call.releaseTimeStart -= p.Slack
	}
}

// OfficeAnnounced reports that service discovery has announced an office as draining or gone.
func (p *PlatformChecker) OfficeAnnounced(at time.Duration, office string) {
	if _, ok := p.announcedAt[office]; !ok {
		p.announcedAt[office] = at
	}
}

// Started reports the cold start of an office.
func (p *PlatformChecker) Started(at time.Duration, office string) { p.startedAt[office] = at }

// heldAndNotReleased returns the IDs of calls whose set-up came after their final answer and was not released at once.
func (p *PlatformChecker) heldAndNotReleased() (callIDs []uint64) {
	for callID, call := range p.calls {
		if call.heldSetUpAt > 0 {
			callIDs = append(callIDs, callID)
		}
	}
	slices.Sort(callIDs)
	return callIDs
}

// Violations reports calls that are overdue at the end of the run, and returns all violations.
func (p *PlatformChecker) Violations(at time.Duration) []string {
	var unanswered []uint64
	for callID, call := range p.calls {
		if !call.finished && at > call.answerDue+p.Slack {
			unanswered = append(unanswered, callID)
		}
	}
	slices.Sort(unanswered)
	for _, callID := range unanswered {
		p.violation(at, 1, callID, "no final answer since it was taken at %v", p.calls[callID].takenAt)
	}
	for _, callID := range p.heldAndNotReleased() {
		call := p.calls[callID]
		p.violation(call.heldSetUpAt, 1, callID, "a set-up %v after the final answer, and no release behind it", call.heldSetUpAt-call.answeredAt)
	}
	for _, callID := range p.endedOnOneSide() {
		established := p.calls[callID].established
		p.violation(established.settledAt, 1, callID, "its caller was notified of its end, and it is established at %s, which was not sent a release",
			established.office)
	}
	for _, callID := range p.unnotified(at) {
		established := p.calls[callID].established
		p.violation(at, 1, callID, "ended at %s at %v, and its caller was not notified", established.office, established.endedAt)
	}
	return append(p.violations, p.unexcusedLateness()...)
}
