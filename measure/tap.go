package measure

import (
	"time"

	"finchlatch/logic"
)

// reportTotal is the index of the number of circuits of a group in logic.Report.Load.
const reportTotal = 1

// UpdateOffices implements Policy. It learns which exchange an office serves.
func (m *Meter) UpdateOffices(now time.Duration, kind logic.ListKind, offices []logic.Office) {
	m.advance(now)
	for _, office := range offices {
		m.offices[office.ID] = office.Exchange
	}
	m.policy.UpdateOffices(now, kind, offices)
}

// Report implements Policy. It learns the size of a group.
func (m *Meter) Report(now time.Duration, report logic.Report) {
	m.advance(now)
	if exchange, ok := m.offices[report.Office]; ok && report.OK && len(report.Load) > reportTotal && report.Load[reportTotal] >= 0 {
		group := m.group(exchange)
		group.last = int(report.Load[reportTotal])
		group.Circuits, group.Least = max(group.Circuits, group.last), min(group.Least, group.last)
	}
	m.policy.Report(now, report)
}

// Offered implements Policy. A call is taken for a redial if it follows a refused or failed try to the same number, of the
// same class and within the deadline of the class. Each such try accounts for one redial, so that the fresh calls of mass
// calling are not taken for redials.
func (m *Meter) Offered(now time.Duration, offered logic.Call) {
	m.advance(now)
	if offered.Class >= 0 && offered.Class < len(m.settings.Classes) {
		call := &callState{countKey: countKey{offered.Class, offered.Dest}, transit: offered.Transit, width: max(offered.Width, m.settings.Classes[offered.Class].Width, 1), number: offered.Number}
		if m.calls[offered.ID] = call; !offered.Transit {
			count := m.count(call.countKey)
			count.Tries++
			if call.fresh = !offered.Redial && !offered.WasDropped && !m.consumeRefusal(now, offered); call.fresh {
				count.Fresh++
				m.fineFresh[offered.Dest]++
				m.countBegun(call.countKey, freshCalls)
			}
		}
	}
	m.policy.Offered(now, offered)
}

// consumeRefusal reports whether a call is the redial of a refused or failed try, and forgets that try.
func (m *Meter) consumeRefusal(now time.Duration, offered logic.Call) bool {
	refusals := m.refusals[offered.Number]
	for len(refusals) > 0 && refusals[0].until < now {
		refusals, m.refusalCount = refusals[1:], m.refusalCount-1
	}
	found := false
	for i := range refusals {
		if refusals[i].class == offered.Class {
			refusals, m.refusalCount, found = append(refusals[:i:i], refusals[i+1:]...), m.refusalCount-1, true
			break
		}
	}
	if len(refusals) == 0 {
		delete(m.refusals, offered.Number)
	} else {
		m.refusals[offered.Number] = refusals
	}
	return found
}

// Established implements Policy. It counts a call as established.
func (m *Meter) Established(now time.Duration, outcome logic.Outcome) {
	m.advance(now)
	if call := m.calls[outcome.Call]; call != nil && !call.established {
		m.accountUsage(call, now)
		if call.established, call.establishedAt = true, now; !call.transit {
			if count := m.count(call.countKey); call.direct {
				count.Direct++
			} else {
				count.TwoLeg++
			}
		}
	}
	m.policy.Established(now, outcome)
}

// Outcome implements Policy. The attempt, or the established call, no longer holds its circuits.
func (m *Meter) Outcome(now time.Duration, outcome logic.Outcome) {
	m.advance(now)
	if call := m.calls[outcome.Call]; call != nil {
		m.accountUsage(call, now)
		call.groupTo = 0
		switch {
		case call.established:
			if outcome.Status == logic.Ended && !call.transit {
				count, hold := m.count(call.countKey), (now - call.sentAt).Seconds()
				count.Ended, count.Hold, count.Hold2 = count.Ended+1, count.Hold+hold, count.Hold2+hold*hold
			}
			delete(m.calls, outcome.Call)
		case call.direct && (outcome.Status == logic.Full || outcome.Status == logic.NotSent):
			m.countOverflow(call)
		}
		if outcome.Over && !call.established {
			m.endUnestablished(outcome.Call, false, now)
		}
	}
	m.policy.Outcome(now, outcome)
}

// countOverflow counts a fresh call that its direct group did not carry, once per call.
func (m *Meter) countOverflow(call *callState) {
	if call.overflowed || call.transit || !call.fresh {
		return
	}
	call.overflowed = true
	m.count(call.countKey).Overflow++
	m.countBegun(call.countKey, overflowCalls)
}

// HungUp implements Policy. A call that was not established counts as failed.
func (m *Meter) HungUp(now time.Duration, id uint64) {
	m.advance(now)
	if call := m.calls[id]; call != nil && !call.established {
		m.endUnestablished(id, false, now)
	}
	m.policy.HungUp(now, id)
}

// Timer implements Policy.
func (m *Meter) Timer(now time.Duration, mark string) {
	m.advance(now)
	m.policy.Timer(now, mark)
}

// endUnestablished ends a call that was not established: it was refused, it failed, or its caller hung up.
func (m *Meter) endUnestablished(id uint64, refused bool, now time.Duration) {
	call := m.calls[id]
	if call == nil || call.established {
		return
	}
	m.accountUsage(call, now)
	delete(m.calls, id)
	if call.transit {
		return
	}
	count := m.count(call.countKey)
	if !refused {
		count.Failed++
	} else {
		count.Lost++
		m.countOverflow(call)
	}
	if m.refusalCount < m.settings.MaxRefusals && call.number != "" {
		m.refusals[call.number] = append(m.refusals[call.number], refusal{call.class, now + m.settings.Classes[call.class].Deadline})
		m.refusalCount++
	}
}

// tap is the host that the policy acts on. It reports attempts and final answers to the Meter and passes them on.
type tap struct {
	logic.Host
	meter *Meter
}

// Send implements logic.Host. It records where the attempt goes.
func (t tap) Send(id uint64, office string, timeout time.Duration) {
	m := t.meter
	if call := m.calls[id]; call != nil {
		m.accountUsage(call, m.now)
		call.groupTo, call.accountedUntil, call.sentAt = m.offices[office], m.now, m.now
		if call.direct = call.groupTo == call.to; !call.direct {
			m.countOverflow(call)
		}
		m.group(call.groupTo).Seized += call.width
	}
	t.Host.Send(id, office, timeout)
}

// Refuse implements logic.Host. It counts the call as lost.
func (t tap) Refuse(id uint64, wait time.Duration) {
	t.meter.endUnestablished(id, true, t.meter.now)
	t.Host.Refuse(id, wait)
}

// Fail implements logic.Host. It counts the call as failed.
func (t tap) Fail(id uint64) {
	t.meter.endUnestablished(id, false, t.meter.now)
	t.Host.Fail(id)
}
