// Package logic decides for one call server what becomes of each call: it is sent direct or over a tandem, waits for a
// circuit, is attempted again, or is refused. Settings, events and actions are declared in interface.go.
//
// The call server belongs to the home exchange (Settings.Home), from which its trunk groups lead to the other exchanges. The
// main rule is the dynamic-threshold routing of Chen and Chen (sections 3.3, 3.4), applied to each of these groups: its
// circuits are partitioned anew at fixed intervals by Equation 6 (see payoff). Equation 4 in the comments, and the figure
// and tables in the tests, are from the same paper. Further checks limit the calls sent to exchanges that have just started,
// are overloaded or don't answer. docs/DESIGN.md describes the state that is kept.
//
// All times are counted from one origin that the Host chooses. The events that have the same time are a batch, and
// Settings.Tick is the shortest time between two batches. An event may wait for the next batch, and longer while the
// process of the call server pauses: such a wait is not the delay of an exchange.
package logic

import (
	"math/rand"
	"slices"
	"time"
)

// Limits and weights of the decision rules. Times that depend on the traffic are given as multiples of an aim, which is the
// wanted set-up time of a class of calls; the shortest aim is that of all classes.
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
	// priorCalls is how many calls the class mix of all groups counts for beside the calls counted in a single group. The
	// traffic of a single group is often about half more or half less than planned, so its own counts have to outweigh the
	// mix soon. It is also the least number of offered calls that twoLegTooCostly divides by.
	priorCalls = 4.0
	// tandemSuccessFactor multiplies the weight of a tandem over which a call was established.
	tandemSuccessFactor = 1.2
	// tandemFailureFactor multiplies the weight of a tandem that sent a call back or had a full processor.
	tandemFailureFactor = 0.3
	// minProbability is the lower limit of tandem weights and of the success rates of tandems. These are the probabilities with
	// which tandems are used, so that every tandem is tried now and then. After a signalling fault a call is
	// attempted again while the success rate of its destination is above it.
	minProbability = 0.05
	// slowSampleWeight is the weight of a new sample in the moving averages of success rates and of the local delay.
	slowSampleWeight = 0.1
	// maxTandemDraws is the number of tandems drawn for a blocked call while every tandem succeeds and processors are idle.
	maxTandemDraws = 16.0
	// fastSampleWeight is the weight of a new sample in the moving averages of an exchange's set-up delay and of the
	// circuits that calls of the far end hold.
	fastSampleWeight = 0.3
	// delayHalfLifeFactor is the half-life of a measured delay, as a multiple of the shortest aim.
	delayHalfLifeFactor = 0.8
	// shedDelayFactor is the delay, as a multiple of the aim of its class, above which a call is shed that is a two-leg call,
	// would be late or has no worth.
	shedDelayFactor = 0.2
	// shedWorthFactor is what is added to shedDelayFactor for a direct call of the worthiest class that would be in time;
	// for other classes it is less, by their worth.
	shedWorthFactor = 0.5
	// answerTimeoutFactor is the shortest time without any answer after which an exchange with an outstanding attempt is
	// unresponsive, as a multiple of the shortest aim. If the set-up delay of the exchange is long, answerTimeout is longer.
	answerTimeoutFactor = 0.5
	// directFaultLimit is the number of signalling faults of a call after which it tries a tandem.
	directFaultLimit = 2
	// overtakeLimit is the number of later attempts answered first from which on the answer to an attempt counts as lost,
	// provided that the answer time-out has passed, too.
	overtakeLimit = 3
	// firstTrialFactor is the first interval between trial attempts to an unresponsive exchange, as a multiple of the
	// shortest aim.
	firstTrialFactor = 0.8
	// maxTrialFactor is the longest interval between trial attempts, as a multiple of the shortest aim.
	maxTrialFactor = 3.2
	// circuitWaitFactor limits how long a blocked call waits for a circuit: from its first try for this multiple of the aim
	// of its class, less the delay that its set-up is expected to take.
	circuitWaitFactor = 0.7
	// retryAfterFactor is the retry-after of a refused caller, as a multiple of the aim of the class of the call.
	retryAfterFactor = 0.25
	// slowStartSteadyShare is the share of the slow-start budget that accrues evenly over TipAfter. It and
	// slowStartBurstShare together are less than the whole budget; the rest is a margin.
	slowStartSteadyShare = 0.75
	// slowStartBurstShare is the share of the slow-start budget that may be saved and used at once.
	slowStartBurstShare = 0.2
	// processorHeadroom is the set-up rate that a processor can take, relative to the set-up rate of its trunk groups when
	// they are full: full groups occupy the processor for three quarters of its time.
	processorHeadroom = 4.0 / 3
	// minBusyBackoff is the first backoff for a busy number; it doubles with each busy answer.
	minBusyBackoff = 250 * time.Millisecond
	// maxBusyBackoff is the longest backoff for a busy number.
	maxBusyBackoff = 2 * time.Second
	// maxCalledNumbers is how many called numbers are remembered at a time.
	maxCalledNumbers = 16384
	// defaultAim is the shortest aim where the settings give no aim.
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
	// previousBatchAt is the time of the batch before the latest one. Answers that came since then may still be unread, so
	// the time that an attempt has been without an answer is counted only up to here.
	previousBatchAt time.Duration
	// started is set with the first event.
	started bool
	// hasSnapshot is set once service discovery has listed offices. An office first named later is taken for one that just
	// started.
	hasSnapshot bool
	// calls holds, by call ID, the calls that have no final answer yet or have an open attempt.
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
	// totalOffered counts the first tries offered to all groups of known size, by class. Its last entry counts blocked calls for which a
	// tandem was looked for.
	totalOffered offeredCounts
	// localDelayAverage is the moving average of the delay common to all answers, most likely that of the processor of this
	// call server.
	localDelayAverage time.Duration
	// localDelayAt is when localDelayAverage was updated.
	localDelayAt time.Duration
	// outstandingCount is the number of attempts to all exchanges without an answer.
	outstandingCount int
	// totalCircuits is the number of circuits of all trunk groups of this call server.
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
	// usageIndex is the index in exchangeRecord.localInUseByClass under which the latest attempt counts: its class or, for a
	// two-leg call, the last one.
	usageIndex int
	// attemptOpen is set from the sending of an attempt until its outcome, so also while the call is established.
	attemptOpen bool
	// established is set once an attempt was answered.
	established bool
	// finalAnswerGiven is set once the final answer was given. It is also set when the caller has hung up, since no answer
	// is due then.
	finalAnswerGiven bool
	// twoLeg is set if the latest attempt is one leg of a two-leg call: it goes over a tandem, or the call is in transit.
	twoLeg bool
	// mayHaveTakenEffect is set once an attempt may have taken effect although it failed.
	mayHaveTakenEffect bool
	// hasWaited is set once the call has waited for a circuit; it doesn't wait again.
	hasWaited bool
	// isWaiting is set while the call waits for a circuit.
	isWaiting bool
	// excluded holds the exchanges that the call must not be sent to: those of its earlier attempts. An exchange is taken off
	// again after a time-out, reset, cancel or signalling fault, when the call may be attempted there once more.
	excluded []*exchangeRecord
}

// exchangeRecord is what is known of an exchange and of the trunk group toward it.
type exchangeRecord struct {
	number  int
	offices []*officeRecord
	// serving is the office that gets new calls; nil: none.
	serving *officeRecord
	// free is the number of free circuits of the group: the latest report, less those of attempts sent since; -1: unknown.
	free int
	// total is the number of circuits of the group; -1: unknown.
	total int
	// localInUse is the number of circuits that calls of this call server hold.
	localInUse int
	// localInUseByClass is localInUse by class; two-leg calls of all classes count in the entry after the last class.
	localInUseByClass []int
	// groupOffered counts the calls offered toward the exchange by class; redials and calls in transit count in the last
	// entry.
	groupOffered offeredCounts
	// reserved is the number of circuits kept for the worthiest class.
	reserved int
	// directOnly is the number of circuits closed to calls of the lowest priority: two-leg calls, calls in transit and late
	// calls.
	directOnly int
	// farEndInUse is the moving average of the circuits in use that calls of this call server don't hold.
	farEndInUse float64
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
	if err := validateAndNormalize(&settings); err != nil {
		return nil, err
	}
	settings.Classes = slices.Clone(settings.Classes) // the slice that was passed in may be changed or shared later
	c := &Controller{settings: settings, host: settings.Host, rng: rand.New(rand.NewSource(seed)),
		calls: map[uint64]*callRecord{}, offices: map[string]*officeRecord{}, calledNumbers: map[string]*numberRecord{},
		totalOffered: newOfferedCounts(len(settings.Classes)), adviceSuccessRate: 1, tandemSuccessRate: 0.5}
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
	if now > c.now { // the first event of a batch
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

// exchangeByNumber finds an exchange. An unknown one is created if create is set, else the result is nil. The times of a new
// record are an hour before the origin, which stands for never.
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
		localInUseByClass: make([]int, len(c.settings.Classes)+1), groupOffered: newOfferedCounts(len(c.settings.Classes)),
		lastActivity: -time.Hour, setUpDelayAt: -time.Hour, reductionAt: -time.Hour}
	c.exchanges = slices.Insert(c.exchanges, i, exchange)
	return exchange
}
