package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/measure"
	"finchlatch/numbering"
	"finchlatch/router"
)

// Settings are the size of a fleet, its traffic and the settings of its call servers.
type Settings struct {
	Exchanges   int
	Regions     int
	Rate        float64 // new callers per second in the whole fleet
	PlannedRate float64 // rate that groups and processors are dimensioned for; 0: Rate
	GroupSize   int     // circuits between two exchanges; 0: dimensioned for the planned traffic
	Seed        uint64
	Classes     []simenv.Class
	Habits      simenv.Habits
	Traffic     Traffic
	Sources     int           // callers at each exchange, of whom only idle ones make calls; 0: an unlimited number
	MaxWait     time.Duration // a set-up that has been queued at a processor for longer is refused; 0: none is

	// Baseline creates a policy that replaces the decision module, for comparison; nil: the module decides.
	Baseline func(s logic.Settings, seed int64) (router.Policy, error)
	// GroupSizeOf returns the number of circuits between two exchanges, counted from 0; nil: all groups have the size GroupSize.
	GroupSizeOf func(a, b int) int
	// Measure lets the call servers measure their traffic; Measured returns the result.
	Measure bool
	// NoServiceTimes sets the service times of processors to 0.
	NoServiceTimes bool
	// Release is the release time of rule 5 in the call servers' settings; 0: the default. A short one breaks the rule.
	Release time.Duration
	// OnRecord receives the records for the rule checker; nil: nothing is recorded.
	OnRecord func(r rulecheck.Record)
	// OnDone receives the outcome of each caller; nil: the outcomes are stored for Results.
	OnDone func(o simenv.Outcome)
}

// Fleet is a fleet in simulated time.
type Fleet struct {
	engine
	settings       Settings
	Parameters     rulecheck.Parameters // parameters of the rule checker
	nodes          []*node
	names          []string // of the exchanges
	group          int      // circuits between two exchanges
	capacity       float64  // of a processor, in set-ups per second
	serviceTimes   simenv.ServiceTimes
	releaseTime    time.Duration
	groupCircuits  []uint16 // between two exchanges, unless Settings.GroupSizeOf is set
	accessCircuits []uint16 // to the callers of an exchange, and the same to its lines
	exchanges      []router.Exchange
	numbering      []numbering.Entry
	matrix         *trafficMatrix
	rng            *rand.Rand
	offices        []logic.Office // by exchange; Started is on the fleet's clock, 0 means long ago
	discoveryDelay time.Duration  // added to the delay of service discovery
	hotNumber      string
	hotShare       float64 // of the callers of other exchanges, who call hotNumber
	hotOwner       int     // index of the exchange that hotNumber belongs to
	outcomes       []simenv.Outcome
	measured       []measure.Interval // of Routers that have ended
}

// Streams of random numbers, with the seed of the fleet. The streams of callers and lines are those of the first exchange;
// the other exchanges follow in order.
const (
	fleetStream   = 1
	callersStream = 1000
	linesStream   = 2000
)

// startTime is the time on the fleet's clock at which a fleet starts.
const startTime = time.Hour

// startUpTime is the time for associations to become active and for circuits to be reset.
const startUpTime = 2 * time.Second

// reconnectTime is the time after which a broken association between two exchanges is connected again.
const reconnectTime = 50 * time.Millisecond

// New creates a fleet and starts its associations. There are no calls before Play.
func New(settings Settings) (*Fleet, error) {
	if settings.Exchanges < 2 || settings.Exchanges > 4000 || !(settings.Rate > 0) {
		return nil, fmt.Errorf("model: %d exchanges at %v calls per second: must be 2 to 4000 exchanges and a positive rate",
			settings.Exchanges, settings.Rate)
	}
	f := &Fleet{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, fleetStream)),
		matrix: newTrafficMatrix(settings.Traffic, settings.Seed, settings.Exchanges)}
	f.now = startTime
	f.settings.Regions = max(1, settings.Regions)
	f.applyPlan()
	f.prepareSharedConfig()
	for i := range settings.Exchanges {
		f.offices = append(f.offices, logic.Office{ID: exchangeName(i), Exchange: i + 1})
		f.names = append(f.names, exchangeName(i))
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for _, n := range f.nodes {
		if err := n.startRouter(); err != nil {
			return nil, err
		}
	}
	for _, n := range f.nodes {
		n.connectPeers()
	}
	f.runUntil(f.now + startUpTime)
	return f, nil
}

// applyPlan dimensions circuits and processors for the planned traffic and sets the parameters of the rule checker.
func (f *Fleet) applyPlan() {
	plan := simenv.Plan{Exchanges: f.settings.Exchanges, Rate: f.settings.PlannedRate, Classes: f.settings.Classes}
	if plan.Rate == 0 {
		plan.Rate = f.settings.Rate
	}
	f.Parameters = plan.Parameters()
	f.Parameters.Slack = 20 * time.Millisecond
	for i := range f.settings.Exchanges {
		f.Parameters.PointCodes[exchangeName(i)] = uint32(firstPointCode + i)
	}
	if f.releaseTime = f.settings.Release; f.releaseTime == 0 {
		f.releaseTime = f.Parameters.Release
	}
	if f.group = f.settings.GroupSize; f.group == 0 {
		f.group = plan.GroupSize()
	}
	f.capacity = plan.ProcessorCapacity(f.group)
	if !f.settings.NoServiceTimes {
		f.serviceTimes = plan.ServiceTimes(f.capacity)
	}
	f.groupCircuits = circuitCodes(f.group)
	f.accessCircuits = circuitCodes(min(3900, 200+int(20*plan.Rate/float64(f.settings.Exchanges))))
}

// circuitCodes returns the first n circuit identification codes, without time slot 0 of each system.
func circuitCodes(n int) (codes []uint16) {
	for code := uint16(1); len(codes) < n && code < 4096; code++ {
		if code%32 != 0 {
			codes = append(codes, code)
		}
	}
	return codes
}

// rateProfile returns the factor of the call rate over the day; nil: the rate is constant.
func (f *Fleet) rateProfile() func(time.Duration) float64 {
	if len(f.settings.Traffic.Profile) == 0 {
		return nil
	}
	return func(now time.Duration) float64 { return f.settings.Traffic.rateFactor(now - startTime - startUpTime) }
}

// addOutcome passes the outcome of a caller on, or stores it.
func (f *Fleet) addOutcome(outcome simenv.Outcome) {
	if f.settings.OnDone != nil {
		f.settings.OnDone(outcome)
		return
	}
	f.outcomes = append(f.outcomes, outcome)
}

// announce changes the state of an exchange in service discovery and updates all call servers, each after a random delay.
func (f *Fleet) announce(changed *node, state logic.OfficeState, justStarted, unreported bool) {
	office := &f.offices[changed.index]
	if office.State = state; justStarted {
		office.Started = f.now
	}
	for _, n := range f.nodes {
		f.schedule(f.discoveryDelay+simenv.DiscoveryDelay(f.rng.Float64(), unreported), func() {
			if n.router != nil {
				office := f.offices[changed.index]
				n.recordNotification(office)
				n.router.UpdateExchanges(f.now, logic.ListUpdate, []logic.Office{office})
				n.applyEffects()
			}
		})
	}
}

// breakAssociation breaks the connection between two exchanges, which is restored after reconnectTime.
func (f *Fleet) breakAssociation(a, b *node) {
	if a.router == nil || b.router == nil {
		return
	}
	f.dropRelation(a, b)
	for _, ends := range [][2]*node{{a, b}, {b, a}} {
		ends[0].recordEvent(rulecheck.ConnectionLost, ends[1].name)
		ends[0].router.Disconnected(f.now, ends[0].linkOf(ends[1].index), -1)
		ends[0].applyEffects()
	}
	generations := [2]uint64{a.generation, b.generation}
	f.schedule(reconnectTime, func() {
		for i, ends := range [][2]*node{{a, b}, {b, a}} {
			if ends[0].generation == generations[i] && ends[1].generation == generations[1-i] && ends[0].router != nil {
				ends[0].router.Connected(f.now, ends[0].linkOf(ends[1].index))
				ends[0].applyEffects()
			}
		}
	})
}

// Results returns the outcomes of all callers that are done; none if Settings.OnDone is set.
func (f *Fleet) Results() []simenv.Outcome { return slices.Clone(f.outcomes) }

// WallClock returns the time of day in the fleet, which starts at midnight.
func (f *Fleet) WallClock() time.Time { return time.Unix(0, 0).UTC().Add(f.now - startTime) }

// Measured returns the traffic measured by the call servers, open intervals included. It may be called only once, at the
// end of a run.
func (f *Fleet) Measured() []measure.Interval {
	for _, n := range f.nodes {
		n.endMeasurement()
	}
	return f.measured
}

// Events returns the number of events run so far.
func (f *Fleet) Events() uint64 { return f.eventCount }

// Now returns the simulated time. A fleet starts at one hour.
func (f *Fleet) Now() time.Duration { return f.now }

// Group returns the number of circuits between two exchanges.
func (f *Fleet) Group() int { return f.group }

// TrafficShare returns the share of the calls from an exchange that go to another one at present.
func (f *Fleet) TrafficShare(from, to int) float64 { return f.matrix.share(from, to, f.now) }
