// Package logic decides for one call server what becomes of each call: it is sent direct or over a tandem, waits for a
// circuit, is attempted again, or is refused. Settings, events and actions are declared in interface.go.
//
// The main rule is the dynamic-threshold routing of Chen and Chen (sections 3.3, 3.4), applied to each own trunk group: its
// circuits are partitioned anew at fixed intervals by Equation 6. Further checks limit the calls sent to exchanges that
// have just started, are overloaded or don't answer. docs/DESIGN.md describes the state that is kept.
package logic

import (
	"math/rand"
	"slices"
	"time"
)

// Limits and weights of the decision rules. Times that depend on the traffic are given as multiples of an aim, which is the
// wanted set-up time of a class of calls.
const (
	// partitionInterval is the time between two updates of the partitions.
	partitionInterval = 5 * time.Second
	// countWindow is the time over which offered calls are counted for the partitions.
	countWindow = 30 * time.Second
	// countBuckets is the number of partition intervals in the window.
	countBuckets = int(countWindow / partitionInterval)
	// twoLegWorthFactor is the part of its worth that a two-leg call counts for: it holds circuits of two trunk groups.
	twoLegWorthFactor = 0.5
	// minPayoffGain is what a new partition must gain to replace the present one, as a share of the worth offered to the
	// group.
	minPayoffGain = 0.02
	// fleetPriorCalls is the number of calls that the traffic mix of all groups counts for beside the counts of one group.
	// The traffic of a single group misses its plan by about half.
	fleetPriorCalls = 4.0
	// tandemSuccessFactor multiplies the weight of a tandem over which a call was established.
	tandemSuccessFactor = 1.2
	// tandemFailureFactor multiplies the weight of a tandem that sent a call back or had a full processor.
	tandemFailureFactor = 0.3
	// minRate is the lower limit of tandem weights and of the success rates of tandems, so that every tandem is tried now
	// and then. After a signalling fault a call is attempted again while the success rate of its destination is above it.
	minRate = 0.05
	// slowSampleWeight is the weight of a new sample in the moving averages of success rates and of the own delay.
	slowSampleWeight = 0.1
	// maxTandemDraws is the number of tandems drawn for a blocked call while every tandem succeeds and processors are idle.
	maxTandemDraws = 16.0
	// fastSampleWeight is the weight of a new sample in the moving averages of an exchange's set-up delay and of foreign
	// circuit use.
	fastSampleWeight = 0.3
	// delayHalfLifeFactor is the half-life of a measured delay, in shortest aims.
	delayHalfLifeFactor = 0.8
	// shedDelayFactor is the delay, in aims of its class, above which a two-leg call or one without worth is shed.
	shedDelayFactor = 0.2
	// shedWorthFactor is what is added to shedDelayFactor for a direct call of the worthiest class; others get less, by
	// their worth.
	shedWorthFactor = 0.5
	// answerTimeoutFactor is the time without any answer after which an exchange is unresponsive, in shortest aims.
	answerTimeoutFactor = 0.5
	// directFaultLimit is the number of signalling faults of a call after which it tries a tandem.
	directFaultLimit = 2
	// overtakeLimit is the number of later attempts answered first that shows that the answer to an attempt is lost.
	overtakeLimit = 3
	// firstTrialFactor is the first interval between trial attempts to an unresponsive exchange, in shortest aims.
	firstTrialFactor = 0.8
	// maxTrialFactor is the longest interval between trial attempts, in shortest aims.
	maxTrialFactor = 3.2
	// circuitWaitFactor is how long a blocked call waits for a circuit, in aims of its class.
	circuitWaitFactor = 0.7
	// retryAfterFactor is the retry-after of a refused caller, in aims of its class.
	retryAfterFactor = 0.25
	// slowStartSteadyShare is the share of the slow-start budget that is spread evenly over time.
	slowStartSteadyShare = 0.75
	// slowStartBurstShare is the share of the slow-start budget that may be used at once.
	slowStartBurstShare = 0.2
	// processorHeadroom is the set-up rate of a processor relative to that of its trunk groups when they are full: those
	// occupy it for three quarters of its time.
	processorHeadroom = 4.0 / 3
	// minBusyBackoff is the first backoff for a busy number; it doubles with each busy answer.
	minBusyBackoff = 250 * time.Millisecond
	// maxBusyBackoff is the longest backoff for a busy number.
	maxBusyBackoff = 2 * time.Second
	// defaultAim stands for the shortest aim where the settings give no aim.
	defaultAim = time.Second
)

// Controller decides for one call server. It has no clock of its own, shares nothing and is not safe for concurrent use.
type Controller struct {
	settings Settings
	host     Host
	rng      *rand.Rand
	// now is the time of the latest batch of events.
	now time.Duration
	// startedAt is the time of the first event.
	startedAt time.Duration
	// previousBatchAt is the time of the batch of events before the latest one.
	previousBatchAt time.Duration
	// started is set with the first event.
	started bool
	// hasSnapshot is set once service discovery has listed offices. An office first named later is taken for one that just
	// started.
	hasSnapshot bool
	// calls holds, by call number, the calls that have no final answer yet or have an open attempt.
	calls map[uint64]*callRecord
	// exchanges is sorted by exchange number.
	exchanges []*exchangeRecord
	// offices holds the offices that service discovery has named, by ID.
	offices map[string]*officeRecord
	// calledNumbers holds the called numbers that were busy or whose calls were refused.
	calledNumbers map[string]*numberRecord
	// topClass is the index of the class with the greatest worth.
	topClass int
	// topWorth is the worth of topClass.
	topWorth float64
	// shortestAim is the shortest aim of all classes.
	shortestAim time.Duration
	// delayHalfLife is the half-life of measured delays.
	delayHalfLife time.Duration
	// freeField is the place in reports of the number of free circuits; -1: absent.
	freeField int
	// totalField is the place in reports of the number of circuits of the group; -1: absent.
	totalField int
	// reductionField is the place in reports of the share of set-ups that the exchange asks to be shed; -1: absent.
	reductionField int
	// offeredCalls counts the first tries offered to all groups, by class. Its last entry counts blocked calls for which a
	// tandem was looked for.
	offeredCalls offeredCounts
	// ownDelayAverage is the moving average of the delay common to all answers, most likely that of the own processor.
	ownDelayAverage time.Duration
	// ownDelayAt is when ownDelayAverage was updated.
	ownDelayAt time.Duration
	// outstanding is the number of attempts without an answer.
	outstanding int
	// totalCircuits is the number of circuits of all own groups.
	totalCircuits int
	// adviceSuccessRate is the share of attempts over an advised tandem that were established, as a moving average.
	adviceSuccessRate float64
	// tandemSuccessRate is the same for tandems that were drawn.
	tandemSuccessRate float64
}

// callRecord is a call with the state of its attempts.
type callRecord struct {
	Call
	// firstTryAt is when the caller first tried; for a redial that is before this call was offered.
	firstTryAt time.Duration
	// answerBy is the last moment for a final answer.
	answerBy time.Duration
	// notBefore is the earliest time of the next attempt: the end of the release time (rule 5) or of the wait for a
	// circuit.
	notBefore time.Duration
	// dest is the destination exchange.
	dest *exchangeRecord
	// target is where the latest attempt went: the destination or a tandem.
	target *exchangeRecord
	// officeID is the office that the latest attempt was sent to.
	officeID string
	// sentAt is when the latest attempt was sent.
	sentAt time.Duration
	// attempts is the number of attempts sent.
	attempts int
	// signallingFaults is the number of signalling faults that the call has met.
	signallingFaults int
	// overtakes is the number of later attempts at the same exchange that were answered before the latest attempt of this
	// call.
	overtakes int
	// usageClass is the place of the latest attempt in exchangeRecord.ownInUseByClass.
	usageClass int
	// attemptOpen is set from the sending of an attempt until its outcome, so also while the call is established.
	attemptOpen bool
	// established is set once an attempt was answered.
	established bool
	// answered is set once no final answer is owed: it was given, or the caller has hung up.
	answered bool
	// twoLeg is set if the latest attempt is one leg of a two-leg call: it goes over a tandem, or the call is in transit.
	twoLeg bool
	// mayHaveRun is set once an attempt may have taken effect although it failed.
	mayHaveRun bool
	// hasWaited is set once the call has waited for a circuit; it doesn't wait again.
	hasWaited bool
	// isWaiting is set while the call waits for a circuit.
	isWaiting bool
	// tried holds the exchanges that the call must not be sent to again.
	tried []*exchangeRecord
}

// exchangeRecord is what is known of an exchange and of the own trunk group toward it.
type exchangeRecord struct {
	number  int
	offices []*officeRecord
	// serving is the office that gets new calls; nil: none.
	serving *officeRecord
	// free is the number of free circuits of the group; -1: unknown.
	free int
	// total is the number of circuits of the group; -1: unknown.
	total int
	// ownInUse is the number of circuits that own calls hold.
	ownInUse int
	// ownInUseByClass is ownInUse by class; the last entry is for two-leg calls.
	ownInUseByClass []int
	// offeredCalls counts the calls offered toward the exchange by class; redials and calls in transit count in the last
	// entry.
	offeredCalls offeredCounts
	// reserved is the number of circuits kept for the worthiest class.
	reserved int
	// directOnly is the number of circuits closed to two-leg calls.
	directOnly int
	// foreignInUse is the moving average of the circuits in use that own calls don't hold.
	foreignInUse float64
	// tandemWeights holds the weights, by number, of the tandems that were tried on the way to this exchange.
	tandemWeights map[int]float64
	// outstanding holds the attempts without an answer, in the order of sending.
	outstanding []*callRecord
	// waitingCalls holds the calls that wait for a circuit, worthiest first.
	waitingCalls []*callRecord
	// unresponsive is set after a time without an answer or a failed connection; only trial attempts are sent then.
	unresponsive bool
	// isCold is set while the slow-start budget limits what is sent.
	isCold bool
	// lastActivity is when an answer last came.
	lastActivity time.Duration
	// unresponsiveSince is the beginning of the time without an answer.
	unresponsiveSince time.Duration
	// latestAnsweredSentAt is when the latest of the direct attempts that were answered had been sent.
	latestAnsweredSentAt time.Duration
	// nextTrial is the earliest time of the next trial attempt.
	nextTrial time.Duration
	// trialInterval is the time between trial attempts; it doubles with each, up to a limit.
	trialInterval time.Duration
	// setUpDelay is the moving average of the set-up delay.
	setUpDelay time.Duration
	// setUpDelayAt is when setUpDelay was updated.
	setUpDelayAt time.Duration
	// reduction is the share of set-ups that the exchange asks to be shed.
	reduction float64
	// tokens is the unused part of the slow-start budget, in attempts.
	tokens float64
	// signallingSuccessRate is the share of set-ups toward it without a signalling fault, as a moving average.
	signallingSuccessRate float64
	// reductionAt is when reduction was reported.
	reductionAt time.Duration
	// coldSince is the beginning of the slow start.
	coldSince time.Duration
	// tokensAt is when tokens were last added.
	tokensAt time.Duration
}

// New creates a Controller. Its error names the setting that is invalid.
func New(settings Settings, seed int64) (*Controller, error) {
	if err := validate(&settings); err != nil {
		return nil, err
	}
	settings.Classes = slices.Clone(settings.Classes) // the caller may share them
	c := &Controller{settings: settings, host: settings.Host, rng: rand.New(rand.NewSource(seed)),
		calls: map[uint64]*callRecord{}, offices: map[string]*officeRecord{}, calledNumbers: map[string]*numberRecord{},
		offeredCalls: newOfferedCounts(len(settings.Classes)), adviceSuccessRate: 1, tandemSuccessRate: 0.5}
	for i, class := range settings.Classes {
		settings.Classes[i].Pools = slices.Clone(class.Pools)
		if class.Worth > c.topWorth {
			c.topClass, c.topWorth = i, class.Worth
		}
		if c.shortestAim == 0 || class.Aim < c.shortestAim {
			c.shortestAim = class.Aim
		}
	}
	if c.shortestAim == 0 {
		c.shortestAim = defaultAim
	}
	c.delayHalfLife = time.Duration(delayHalfLifeFactor * float64(c.shortestAim))
	c.freeField, c.totalField, c.reductionField = slices.Index(settings.ReportFields, "spare"),
		slices.Index(settings.ReportFields, "total"), slices.Index(settings.ReportFields, "cut_by")
	return c, nil
}

// advanceClock sets the time to that of an event.
func (c *Controller) advanceClock(now time.Duration) {
	if now > c.now { // what came since the previous batch may have waited for this call server, not for others
		c.previousBatchAt, c.now = c.now, now
	}
	if !c.started {
		c.started, c.startedAt, c.previousBatchAt = true, now, now
		c.host.Timer(partitionInterval, "p")
		if c.settings.ListOnRequest {
			c.host.Watch(true)
		}
	}
}

// exchangeByNumber finds an exchange. An unknown one is created if create is set, else the result is nil.
func (c *Controller) exchangeByNumber(number int, create bool) *exchangeRecord {
	i, found := slices.BinarySearchFunc(c.exchanges, number, func(exchange *exchangeRecord, number int) int {
		return exchange.number - number
	})
	if found {
		return c.exchanges[i]
	} else if !create {
		return nil
	}
	exchange := &exchangeRecord{number: number, free: -1, total: -1, signallingSuccessRate: 1,
		ownInUseByClass: make([]int, len(c.settings.Classes)+1), offeredCalls: newOfferedCounts(len(c.settings.Classes)),
		lastActivity: -time.Hour, setUpDelayAt: -time.Hour, reductionAt: -time.Hour}
	c.exchanges = slices.Insert(c.exchanges, i, exchange)
	return exchange
}
