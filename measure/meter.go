// Package measure counts the traffic of one call server: by class and destination, the calls that were offered, carried,
// overflowed and blocked in each measurement interval, with usage, hold times and the peakedness of overflow traffic.
//
// A Meter wraps a routing policy and the host that the policy acts on. It has no clock and does no I/O, and it changes no
// decision. Intervals that have ended go into a Store. An Analyzer selects the usable ones and derives from them the busy
// period traffic that package dimension sizes trunk groups by.
package measure

import (
	"math"
	"slices"
	"time"

	"finchlatch/logic"
)

// Lengths of intervals.
const (
	IntervalLength     = 15 * time.Minute // read-out period of ITU-T E.490
	FineIntervalLength = 5 * time.Second  // fine interval, in which mass calling and peaks of overflow show
)

// Indexes into the counts of a fine interval in Meter.recentCalls.
const (
	overflowCalls = 0
	freshCalls    = 1
)

// defaultMaxRefusals is Settings.MaxRefusals where none is set.
const defaultMaxRefusals = 100_000

// Count holds the traffic of one class toward one destination in an interval. Calls in transit are not included: the call
// server where they began counts them.
type Count struct {
	Class, To int
	Tries     int     // offered calls, redials included
	Fresh     int     // offered calls that were no redials
	Direct    int     // calls that were established on the direct group
	TwoLeg    int     // calls that were established over a tandem
	Overflow  int     // fresh calls that the direct group did not carry at once
	Lost      int     // tries that were refused
	Failed    int     // tries that failed otherwise or were abandoned by their callers
	Usage     float64 // seconds of established calls within the interval, direct and over tandems
	Ended     int     // established calls that ended normally; Hold and Hold2 cover them
	Hold      float64 // sum of hold times in seconds, from the seizure of the circuits on
	Hold2     float64 // sum of the squares of hold times
	Peak      float64 // sum over the fine intervals of the overflow calls that began in the latest mean hold time
	Peak2     float64 // sum of the squares of these numbers
	Burst     float64 // as Peak, of fresh calls
	Burst2    float64 // as Peak2, of fresh calls
}

// Group holds the state and usage of the own trunk group toward a destination in an interval.
type Group struct {
	To       int     // number of the destination exchange
	Circuits int     // largest number of circuits within the interval
	Least    int     // smallest number of circuits: a loss of circuits shows here
	Usage    float64 // circuit-seconds of own calls, transit included
	Seized   int     // circuits seized by own calls, transit included

	last int // latest reported number of circuits
}

// Interval is the traffic of one exchange in one measurement interval.
type Interval struct {
	Home    int           // number of the exchange that measured
	Start   time.Time     // clock time, a multiple of IntervalLength
	Covered time.Duration // measured part; less than IntervalLength where the call server was not running
	Jumped  bool          // the clock was set within the interval
	Crowd   int           // most fresh calls toward one destination in a fine interval
	CrowdTo int           // destination of these calls
	Counts  []Count       // by destination and class, without those that had no call
	Groups  []Group       // by destination
}

// Settings configures a Meter.
type Settings struct {
	Home        int // number of the own exchange
	Classes     []logic.Class
	MaxRefusals int // most refused and failed tries that are remembered to recognise redials; 0: 100,000
}

// Meter measures the traffic of a call server. It is not safe for concurrent use.
type Meter struct {
	settings     Settings
	policy       Policy
	host         logic.Host
	anchorWall   time.Time     // clock time at anchor
	anchor       time.Duration // Router time at which the clock was last set
	now          time.Duration
	openedAt     time.Duration // time from which the open interval is measured
	fineStart    time.Duration // start of the current fine interval
	open         Interval
	counts       map[countKey]*Count
	groups       map[int]*Group // by number of the destination exchange
	offices      map[string]int // number of the exchange by ID of the office
	calls        map[uint64]*callState
	refusals     map[string][]refusal  // by called number, the oldest first
	refusalCount int                   // all entries of refusals
	fineFresh    map[int]int           // fresh calls by destination in the current fine interval
	recentCalls  map[countKey][][2]int // overflow and fresh calls by fine interval, the newest last
	ended        []Interval
}

// countKey identifies a Count of the open interval.
type countKey struct{ class, to int }

// callState is a call that has not ended.
type callState struct {
	countKey
	transit        bool
	width          int           // circuits on each trunk group
	groupTo        int           // destination of the group that it holds circuits of; 0: none
	accountedUntil time.Duration // its usage is accounted for until then
	sentAt         time.Duration // start of the latest attempt
	establishedAt  time.Duration
	established    bool
	overflowed     bool   // it is counted in Count.Overflow
	direct         bool   // the latest attempt went over the direct group
	number         string // called number
	fresh          bool   // it is no redial
}

// refusal is a refused or failed try whose caller may redial.
type refusal struct {
	class int
	until time.Duration // the caller gives up then
}

// Policy makes the routing decisions that a Meter observes. router.Policy is the same type.
type Policy interface {
	UpdateOffices(now time.Duration, kind logic.ListKind, offices []logic.Office)
	Report(now time.Duration, report logic.Report)
	Offered(now time.Duration, offered logic.Call)
	Established(now time.Duration, outcome logic.Outcome)
	Outcome(now time.Duration, outcome logic.Outcome)
	HungUp(now time.Duration, id uint64)
	Timer(now time.Duration, mark string)
}

// New returns a Meter. wall is the clock time at the time now of the Router.
func New(settings Settings, now time.Duration, wall time.Time) *Meter {
	if settings.MaxRefusals <= 0 {
		settings.MaxRefusals = defaultMaxRefusals
	}
	m := &Meter{settings: settings, offices: map[string]int{}, calls: map[uint64]*callState{}, refusals: map[string][]refusal{},
		recentCalls: map[countKey][][2]int{}}
	m.now, m.anchor, m.anchorWall = now, now, wall
	m.openInterval(now)
	return m
}

// Wrap wraps a policy with the Meter. newPolicy gets the host that the policy must act on.
func (m *Meter) Wrap(host logic.Host, newPolicy func(logic.Host) (Policy, error)) (Policy, error) {
	m.host = host
	policy, err := newPolicy(tap{host, m})
	m.policy = policy
	return m, err
}

// SetClock passes the present clock time to the Meter. If the clock was set by more than a fine interval, the open interval
// ends, a new one begins at the new time, and both are marked with Jumped.
func (m *Meter) SetClock(now time.Duration, wall time.Time) {
	m.advance(now)
	if difference := wall.Sub(m.wallTime(now)); difference.Abs() > FineIntervalLength {
		m.open.Jumped = true
		m.closeInterval(now)
		m.anchor, m.anchorWall = now, wall
		m.openInterval(now)
		m.open.Jumped = true
	}
}

// wallTime converts a time of the Router to clock time.
func (m *Meter) wallTime(now time.Duration) time.Time { return m.anchorWall.Add(now - m.anchor) }

// openInterval opens the interval that contains now.
func (m *Meter) openInterval(now time.Duration) {
	m.openedAt, m.fineStart = now, now
	previous := m.groups
	m.open = Interval{Home: m.settings.Home, Start: m.wallTime(now).Truncate(IntervalLength)}
	m.counts, m.groups, m.fineFresh = map[countKey]*Count{}, map[int]*Group{}, map[int]int{}
	for to, group := range previous { // sizes are reported only when they change
		m.groups[to] = &Group{To: to, Circuits: group.last, Least: group.last, last: group.last}
	}
}

// advance closes the intervals and fine intervals that have ended by now.
func (m *Meter) advance(now time.Duration) {
	for now >= m.fineStart+FineIntervalLength || m.wallTime(now).Truncate(IntervalLength).After(m.open.Start) {
		boundary := m.anchor + m.open.Start.Add(IntervalLength).Sub(m.anchorWall)
		if next := m.fineStart + FineIntervalLength; next <= boundary && next <= now {
			m.closeFineInterval(next)
			continue
		}
		m.closeFineInterval(boundary)
		m.closeInterval(boundary)
		m.openInterval(boundary)
	}
	m.now = max(m.now, now)
}

// closeFineInterval ends the current fine interval: it updates the largest count of fresh calls toward one destination, and
// adds the overflow and fresh calls of the latest mean hold time to the sums that peakedness is estimated from.
func (m *Meter) closeFineInterval(at time.Duration) {
	m.fineStart = at
	for to, n := range m.fineFresh {
		if n > m.open.Crowd || n == m.open.Crowd && to < m.open.CrowdTo {
			m.open.Crowd, m.open.CrowdTo = n, to
		}
	}
	clear(m.fineFresh)
	for key, recent := range m.recentCalls {
		sums := [2]int{}
		for _, calls := range recent {
			sums[overflowCalls], sums[freshCalls] = sums[overflowCalls]+calls[overflowCalls], sums[freshCalls]+calls[freshCalls]
		}
		count := m.count(key)
		count.Peak, count.Peak2 = count.Peak+float64(sums[overflowCalls]), count.Peak2+float64(sums[overflowCalls]*sums[overflowCalls])
		count.Burst, count.Burst2 = count.Burst+float64(sums[freshCalls]), count.Burst2+float64(sums[freshCalls]*sums[freshCalls])
		holdIntervals := max(1, int(math.Round(float64(m.settings.Classes[key.class].Hold)/float64(FineIntervalLength))))
		if recent = append(recent, [2]int{}); len(recent) > holdIntervals {
			recent = recent[len(recent)-holdIntervals:]
		}
		m.recentCalls[key] = recent
	}
}

// closeInterval closes the open interval at a time.
func (m *Meter) closeInterval(at time.Duration) {
	m.now = max(m.now, at)
	for _, call := range m.calls { // calls that go on are accounted for in both intervals
		m.accountUsage(call, at)
	}
	m.ended = append(m.ended, m.snapshot(at))
}

// snapshot returns the open interval as it is at a time, sorted and without empty counts.
func (m *Meter) snapshot(at time.Duration) Interval {
	interval := m.open
	interval.Covered = at - m.openedAt
	for _, count := range m.counts {
		if *count != (Count{Class: count.Class, To: count.To}) {
			interval.Counts = append(interval.Counts, *count)
		}
	}
	slices.SortFunc(interval.Counts, func(a, b Count) int { return (a.To-b.To)*len(m.settings.Classes) + a.Class - b.Class })
	for _, group := range m.groups {
		if copied := *group; copied.Circuits > 0 || copied.Usage > 0 {
			copied.Least = min(copied.Least, copied.Circuits)
			interval.Groups = append(interval.Groups, copied)
		}
	}
	slices.SortFunc(interval.Groups, func(a, b Group) int { return a.To - b.To })
	return interval
}

// TakeEnded returns the intervals that have ended since the previous call of TakeEnded.
func (m *Meter) TakeEnded(now time.Duration) []Interval {
	m.advance(now)
	ended := m.ended
	m.ended = nil
	return ended
}

// Current returns the open interval as it is now. Storing it limits what a crash loses: a later Current or TakeEnded returns
// the same interval with more traffic.
func (m *Meter) Current(now time.Duration) Interval {
	m.advance(now)
	for _, call := range m.calls {
		m.accountUsage(call, now)
	}
	return m.snapshot(now)
}

// countBegun counts a call in the current fine interval. kind is overflowCalls or freshCalls.
func (m *Meter) countBegun(key countKey, kind int) {
	recent := m.recentCalls[key]
	if len(recent) == 0 {
		recent = [][2]int{{}}
	}
	recent[len(recent)-1][kind]++
	m.recentCalls[key] = recent
}

// count returns the Count of the open interval for a class and destination.
func (m *Meter) count(key countKey) *Count {
	count := m.counts[key]
	if count == nil {
		count = &Count{Class: key.class, To: key.to}
		m.counts[key] = count
	}
	return count
}

// group returns the Group of the open interval toward a destination.
func (m *Meter) group(to int) *Group {
	group := m.groups[to]
	if group == nil {
		group = &Group{To: to, Least: math.MaxInt32}
		m.groups[to] = group
	}
	return group
}

// accountUsage adds the time for which a call has held its circuits, and has been established, since its usage was last
// accounted for.
func (m *Meter) accountUsage(call *callState, now time.Duration) {
	if call.groupTo != 0 {
		from := max(call.accountedUntil, m.openedAt)
		m.group(call.groupTo).Usage += max(0, now-from).Seconds() * float64(call.width)
		if call.established && !call.transit {
			m.count(call.countKey).Usage += max(0, now-max(from, call.establishedAt)).Seconds()
		}
		call.accountedUntil = now
	}
}
