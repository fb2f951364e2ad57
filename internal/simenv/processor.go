package simenv

import (
	"time"

	"finchlatch/internal/rulecheck"
)

// ServiceTimes are the times that the processor of an exchange takes for messages.
type ServiceTimes struct {
	SetUp  time.Duration // of an IAM; refusing it takes half of this
	Answer time.Duration // of an answer or a release
	Other  time.Duration // of any other message
}

// QueuedMessage is a message that waits at the processor of an exchange. Source identifies the link and direction that it
// arrived on.
type QueuedMessage[Source comparable] struct {
	From           Source
	Circuits       []uint16 // circuits of the call
	IsGroup        bool     // a message for a group of circuits
	IsSetUp        bool     // an IAM
	IsAnswer       bool     // an answer or a release
	FromCallServer bool     // from another call server, not from callers or lines
	Deliver        func()   // hands the message to the call server
	Refuse         func()   // refuses the set-up in place of Deliver; nil: it cannot be refused
}

// circuitKey identifies a circuit. Messages of one circuit never overtake each other.
type circuitKey[Source comparable] struct {
	from Source
	cic  uint16
}

// queueEntry is a message in a queue, with the time of its arrival.
type queueEntry[Source comparable] struct {
	QueuedMessage[Source]
	queuedAt time.Duration
}

// Processor simulates the processor of an exchange: a single server at which all messages to the exchange queue. Answers
// and releases have priority over set-ups, but no message overtakes an earlier one of its own circuit.
type Processor[Source comparable] struct {
	ServiceTimes    ServiceTimes
	MaxWait         time.Duration // a set-up that has waited longer is refused; 0: none is
	TimingTolerance time.Duration // how far from the due time the driver may call Serve; later services make up for it
	Parameters      rulecheck.Parameters
	Capacity        float64 // set-ups per second when not cold

	TotalWait time.Duration // sum of the queueing times of all messages handled
	Handled   int           // messages handled, refused set-ups included
	Refused   int           // set-ups refused
	BusyTime  time.Duration // sum of the service times

	priorityQueue, setUpQueue []queueEntry[Source]
	queuedByCircuit           map[circuitKey[Source]]int // messages in setUpQueue
	queuedBySource            map[Source]int             // messages in setUpQueue
	freeAt                    time.Duration              // end of the present service
	unresponsive              bool                       // drops all messages
	ignoresSetUps             bool                       // drops set-ups
	collapsed                 bool                       // overloaded while cold: drops all messages
	stalledUntil              time.Duration
	slowFactor                float64 // of service times until slowUntil
	slowUntil                 time.Duration
	ageingRate                float64 // growth of the service times per second since ageingSince
	ageingSince               time.Duration
	isCold                    bool
	coldSince                 time.Duration
	recentSetUps              []time.Duration // arrivals within OverloadWindow of other call servers' set-ups, while cold
}

// NewProcessor creates an idle processor with full capacity.
func NewProcessor[Source comparable](serviceTimes ServiceTimes, maxWait time.Duration, capacity float64,
	parameters rulecheck.Parameters) *Processor[Source] {
	return &Processor[Source]{ServiceTimes: serviceTimes, MaxWait: maxWait, Capacity: capacity, Parameters: parameters, slowFactor: 1,
		queuedByCircuit: map[circuitKey[Source]]int{}, queuedBySource: map[Source]int{}}
}

// Submit queues a message: behind the set-ups if it is a set-up or if an earlier message of its circuits is queued there,
// and with priority otherwise.
func (p *Processor[Source]) Submit(now time.Duration, message QueuedMessage[Source]) {
	if p.unresponsive || p.collapsed || p.ignoresSetUps && message.IsSetUp {
		return
	}
	if message.IsSetUp && message.FromCallServer {
		p.countColdSetUp(now)
	}
	entry := queueEntry[Source]{message, now}
	if !message.IsSetUp && !p.mustQueueBehind(message) {
		p.priorityQueue = append(p.priorityQueue, entry)
		return
	}
	for _, cic := range message.Circuits {
		p.queuedByCircuit[circuitKey[Source]{message.From, cic}]++
	}
	p.queuedBySource[message.From]++
	p.setUpQueue = append(p.setUpQueue, entry)
}

// mustQueueBehind reports whether an earlier message of the same circuits is in the set-up queue.
func (p *Processor[Source]) mustQueueBehind(message QueuedMessage[Source]) bool {
	if message.IsGroup {
		return p.queuedBySource[message.From] > 0
	}
	for _, cic := range message.Circuits {
		if p.queuedByCircuit[circuitKey[Source]{message.From, cic}] > 0 {
			return true
		}
	}
	return false
}

// Next returns the time of the next service; false: the queues are empty.
func (p *Processor[Source]) Next() (time.Duration, bool) {
	return max(p.freeAt, p.stalledUntil), len(p.priorityQueue)+len(p.setUpQueue) > 0
}

// Serve dequeues the next message and returns its Deliver or Refuse function for the caller to run; nil: nothing is due.
// The processor is then busy for the service time of the message.
func (p *Processor[Source]) Serve(now time.Duration) func() {
	if at, ok := p.Next(); !ok || at > now+p.TimingTolerance {
		return nil
	}
	entry := p.dequeue()
	action, work := entry.Deliver, p.ServiceTimes.Other
	switch {
	case entry.IsSetUp && p.MaxWait > 0 && now-entry.queuedAt > p.MaxWait && entry.Refuse != nil:
		action, work = entry.Refuse, p.ServiceTimes.SetUp/2
		p.Refused++
	case entry.IsSetUp:
		work = p.ServiceTimes.SetUp
	case entry.IsAnswer:
		work = p.ServiceTimes.Answer
	}
	work = time.Duration(float64(work) * p.slowdown(now))
	p.TotalWait, p.Handled, p.BusyTime = p.TotalWait+now-entry.queuedAt, p.Handled+1, p.BusyTime+work
	p.freeAt = max(p.freeAt, now-p.TimingTolerance) + work
	return action
}

// dequeue takes the next message from the queues.
func (p *Processor[Source]) dequeue() (entry queueEntry[Source]) {
	if len(p.priorityQueue) > 0 {
		entry, p.priorityQueue[0] = p.priorityQueue[0], queueEntry[Source]{}
		p.priorityQueue = p.priorityQueue[1:]
		return entry
	}
	entry, p.setUpQueue[0] = p.setUpQueue[0], queueEntry[Source]{}
	p.setUpQueue = p.setUpQueue[1:]
	for _, cic := range entry.Circuits {
		key := circuitKey[Source]{entry.From, cic}
		if p.queuedByCircuit[key]--; p.queuedByCircuit[key] == 0 {
			delete(p.queuedByCircuit, key)
		}
	}
	if p.queuedBySource[entry.From]--; p.queuedBySource[entry.From] == 0 {
		delete(p.queuedBySource, entry.From)
	}
	return entry
}

// countColdSetUp counts the set-ups that arrive from other call servers while the processor is cold. If together they
// exceed the budget of rule 4, the processor collapses and stays down until Restart.
func (p *Processor[Source]) countColdSetUp(now time.Duration) {
	if !p.isCold {
		return
	}
	if now-p.coldSince > p.Parameters.SlowStart {
		p.isCold, p.recentSetUps = false, nil
		return
	}
	p.recentSetUps = append(p.recentSetUps, now)
	for len(p.recentSetUps) > 0 && p.recentSetUps[0] < now-p.Parameters.OverloadWindow {
		p.recentSetUps = p.recentSetUps[1:]
	}
	if float64(len(p.recentSetUps)) > rulecheck.ColdBudget(p.Parameters, p.Capacity, now-p.coldSince) {
		p.collapsed = true
	}
}

// slowdown returns the factor by which service times are longer than usual.
func (p *Processor[Source]) slowdown(now time.Duration) float64 {
	factor := 1.0
	if now < p.slowUntil {
		factor *= p.slowFactor
	}
	if p.ageingRate > 0 {
		factor *= 1 + p.ageingRate*(now-p.ageingSince).Seconds()
	}
	if since := now - p.coldSince; p.isCold && since < p.Parameters.SlowStart {
		factor /= p.Parameters.InitialShare + (1-p.Parameters.InitialShare)*float64(since)/float64(p.Parameters.SlowStart)
	}
	return factor
}

// clearQueues drops all queued messages.
func (p *Processor[Source]) clearQueues() {
	p.priorityQueue, p.setUpQueue = nil, nil
	clear(p.queuedByCircuit)
	clear(p.queuedBySource)
}

// StopResponding drops the queued messages and all that arrive from now on, until Restart.
func (p *Processor[Source]) StopResponding() { p.unresponsive = true; p.clearQueues() }

// IgnoreSetUps sets whether the processor drops set-ups that arrive, while it handles all other messages.
func (p *Processor[Source]) IgnoreSetUps(ignore bool) { p.ignoresSetUps = ignore }

// Stall pauses the processor. Messages that arrive meanwhile are queued.
func (p *Processor[Source]) Stall(until time.Duration) { p.stalledUntil = max(p.stalledUntil, until) }

// SlowDown multiplies service times by a factor until a time.
func (p *Processor[Source]) SlowDown(factor float64, until time.Duration) {
	p.slowFactor, p.slowUntil = factor, until
}

// Age makes service times grow steadily: each second adds ratePerSecond to their factor; 0 ends it.
func (p *Processor[Source]) Age(now time.Duration, ratePerSecond float64) {
	p.ageingRate, p.ageingSince = ratePerSecond, now
}

// Restart makes the processor cold, with empty queues, and ends all its faults but SlowDown.
func (p *Processor[Source]) Restart(now time.Duration) {
	p.unresponsive, p.ignoresSetUps, p.collapsed, p.ageingRate, p.stalledUntil = false, false, false, 0, 0
	p.recentSetUps, p.isCold, p.coldSince, p.freeAt = nil, true, now, now
	p.clearQueues()
}

// Collapsed reports whether the processor was overloaded while cold and has not been restarted since.
func (p *Processor[Source]) Collapsed() bool { return p.collapsed }
