package logic

import (
	"fmt"
	"math"
	"time"
)

// classLoad is the traffic that a class of calls offers to a trunk group.
type classLoad struct {
	// erlangs is the offered load in circuits.
	erlangs float64
	// worth is the pay-off of each erlang that is carried.
	worth float64
	// penalty is what each erlang that is blocked costs.
	penalty float64
	// width is the number of circuits that a call needs at once.
	width int
}

// erlangB is the blocking probability of a trunk group by the Erlang B formula, in its numerically stable recursive form. Once it
// is 0 it stays 0, so that the work is bounded by the load, however many circuits an office reports.
func erlangB(circuits int, erlangs float64) float64 {
	blocking := 1.0
	for i := 1; i <= circuits && blocking > 0; i++ {
		blocking = erlangs * blocking / (float64(i) + erlangs*blocking)
	}
	return blocking
}

// payoff is Equation 6, the expected worth that a partitioned group carries: the circuits reserved for each class are an
// Erlang loss system that overflows into the shared circuits, to which Equation 4 applies. A call of several circuits is
// carried with the probability that as many calls of one circuit would be carried.
func payoff(circuits int, reserved []int, loads []classLoad) (total float64) {
	totalOverflow, classOverflows := 0.0, make([]float64, len(loads))
	for class, load := range loads {
		classOverflows[class] = load.erlangs
		if classCircuits := reserved[class]; classCircuits > 0 {
			classOverflows[class] *= erlangB(classCircuits/load.width, load.erlangs/float64(load.width))
			circuits -= classCircuits
		}
		totalOverflow += classOverflows[class]
	}
	carriedShare := 1 - erlangB(circuits, totalOverflow)
	for class, load := range loads {
		blocked := classOverflows[class] * (1 - math.Pow(carriedShare, float64(load.width)))
		total += (load.erlangs-blocked)*load.worth - blocked*load.penalty
	}
	return total
}

// offeredCounts counts the calls offered in the window, by partition interval and class. The entry after the last class counts
// calls of all classes: in Controller.totalOffered those that are blocked and look for a tandem, in
// exchangeRecord.groupOffered redials and calls in transit.
type offeredCounts [countBuckets][]float64

// newOfferedCounts returns counts of zero for a number of classes and the entry after them.
func newOfferedCounts(classes int) (counts offeredCounts) {
	values := make([]float64, countBuckets*(classes+1))
	for bucket := range counts {
		counts[bucket], values = values[:classes+1:classes+1], values[classes+1:]
	}
	return counts
}

// total is the number of calls in the window in the entry of a class, or in the entry after the last class.
func (o *offeredCounts) total(class int) (total float64) {
	for bucket := range o {
		total += o[bucket][class]
	}
	return total
}

// currentBucket is the index in offeredCounts of the present partition interval.
func (c *Controller) currentBucket() int {
	return int((c.now - c.startedAt) / partitionInterval % time.Duration(countBuckets))
}

// updatePartition searches for the partition of a group with the greatest pay-off, in large groups in steps of about a
// thirty-second of the circuits. It replaces the present partition only if the gain exceeds minPayoffGain.
func (c *Controller) updatePartition(exchange *exchangeRecord) {
	circuits := exchange.total - int(exchange.farEndInUse+0.5) // those that calls of the far end hold are left out
	if exchange.total <= 0 || circuits < 1 {
		return
	}
	loads, offered := c.offeredLoads(exchange), 0.0
	for _, load := range loads {
		offered += load.erlangs * load.worth
	}
	payoffOf := func(reserved, directOnly int) float64 { return payoff(circuits, []int{reserved, directOnly, 0}, loads) }
	reserved, directOnly := min(exchange.reserved, circuits),
		min(exchange.directOnly, circuits-min(exchange.reserved, circuits))
	current, step := payoffOf(reserved, directOnly), 1+circuits/32
	best := current
	for i := 0; i <= circuits; i += step {
		for j := 0; i+j <= circuits; j += step {
			if value := payoffOf(i, j); value > best {
				reserved, directOnly, best = i, j, value
			}
		}
	}
	if best-current > minPayoffGain*offered {
		c.host.Log(fmt.Sprintf("split exchange=%d reserve=%d direct=%d of=%d", exchange.number, reserved, directOnly, circuits))
		exchange.reserved, exchange.directOnly = reserved, directOnly
	}
}

// offeredLoads estimates three loads offered to a group: by the first tries of the worthiest class, by those of the other
// classes, and by redials, calls in transit and calls of other groups that look for a tandem. The few calls that a small
// group sees would make its partition follow noise, so its counts are weighted against the class mix of all groups. The sum
// groupCalls is not used.
func (c *Controller) offeredLoads(exchange *exchangeRecord) []classLoad {
	loads, lowestPriorityIndex, totalCalls, groupCalls := []classLoad{{width: max(1, c.settings.Classes[c.topClass].Width)},
		{width: 1}, {width: 1}}, len(c.settings.Classes), 0.0, 0.0
	for index := range c.settings.Classes {
		totalCalls += c.totalOffered.total(index)
		groupCalls += exchange.groupOffered.total(index)
	}
	seconds, hold := math.Min(countWindow.Seconds(), (c.now-c.startedAt).Seconds()), c.meanHold().Seconds()
	expectedCalls := totalCalls * float64(exchange.total) / float64(c.totalCircuits)
	for index := 0; index <= lowestPriorityIndex && totalCalls > 0 && seconds > 0; index++ {
		load, class, calls, width := &loads[1], Class{}, 0.0, c.meanWidth()
		if index == lowestPriorityIndex { // a blocked call that looks for a tandem counts in equal parts at all groups
			class.Worth = twoLegWorthFactor * c.classMean(func(class Class) float64 { return class.Worth })
			load, calls = &loads[2],
				exchange.groupOffered.total(index)+c.totalOffered.total(index)/math.Max(1, float64(len(c.exchanges)-1))
		} else {
			class = c.settings.Classes[index]
			width = math.Max(1, float64(class.Width))
			calls = (exchange.groupOffered.total(index) + priorCalls*c.totalOffered.total(index)/totalCalls) * expectedCalls /
				(expectedCalls + priorCalls)
		}
		if index == c.topClass {
			load = &loads[0]
		}
		if class.Hold > 0 && hold > 0 {
			width *= class.Hold.Seconds() / hold // a load is circuits times hold time
		}
		if erlangs := calls * hold * width / seconds; erlangs > 0 {
			load.worth = (load.worth*load.erlangs + class.Worth/width*erlangs) / (load.erlangs + erlangs)
			load.erlangs += erlangs
			load.penalty = load.worth
		}
	}
	return loads
}

// classMean is the mean of a value of the classes, weighted by the calls offered. Each class counts for one call more, so
// that the mean exists before the first call.
func (c *Controller) classMean(value func(Class) float64) float64 {
	sum, weights := 0.0, 0.0
	for i, class := range c.settings.Classes {
		sum += (c.totalOffered.total(i) + 1) * value(class)
		weights += c.totalOffered.total(i) + 1
	}
	return sum / weights
}

// meanHold is the mean hold time of all classes.
func (c *Controller) meanHold() time.Duration {
	return time.Duration(c.classMean(func(class Class) float64 { return float64(class.Hold) }))
}

// meanWidth is the mean number of circuits that a call takes on a trunk group.
func (c *Controller) meanWidth() float64 {
	return c.classMean(func(class Class) float64 { return math.Max(1, float64(class.Width)) })
}

// recordOffered finds out whether a call is a redial, and counts it as demand of its class if it is not. If each redial
// counted, the same demand would lead to a greater reservation the more often callers redial. The aim of a redial is counted
// from its first try. A redial after a dropped call has an aim of its own, since the dropped call was set up.
func (c *Controller) recordOffered(call *callRecord) {
	record, bucketClass := c.calledNumbers[call.Number], len(c.settings.Classes)
	if record != nil && record.firstTryAt > 0 && record.class == call.Class && !call.Transit && !call.WasDropped &&
		c.now-record.firstTryAt < c.settings.Classes[call.Class].Deadline {
		call.firstTryAt = record.firstTryAt
	} else if !call.Redial && !call.Transit {
		bucketClass = call.Class
		if call.dest.total > 0 {
			c.totalOffered[c.currentBucket()][bucketClass]++
		}
	}
	call.dest.groupOffered[c.currentBucket()][bucketClass]++
}

// wouldBeLate reports whether a call would be established after its aim. Such a call has the lowest priority, so that waves
// of redials don't displace others.
func (c *Controller) wouldBeLate(call *callRecord) bool {
	return !call.Transit && c.now+c.expectedDelay(call.dest) > call.firstTryAt+c.settings.Classes[call.Class].Aim
}

// runPeriodicWork updates averages and partitions, clears the oldest counts, deletes what is no longer needed and asks for
// its next run.
func (c *Controller) runPeriodicWork() {
	for _, exchange := range c.exchanges {
		exchange.farEndInUse += fastSampleWeight *
			(math.Max(0, float64(exchange.total-max(exchange.free, 0)-exchange.localInUse)) - exchange.farEndInUse)
		c.updatePartition(exchange)
		c.removeGoneOffices(exchange)
		clear(exchange.groupOffered[c.currentBucket()])
	}
	clear(c.totalOffered[c.currentBucket()])
	for calledNumber, record := range c.calledNumbers {
		if c.now-record.firstTryAt > c.settings.Classes[record.class].Deadline && c.now > record.busyUntil+maxBusyBackoff {
			delete(c.calledNumbers, calledNumber)
		}
	}
	c.host.Timer(partitionInterval, "p")
}

// hasRoom reports whether the partition leaves circuits for a call. Reserved circuits that the worthiest class doesn't use
// are closed to all others, and direct-only circuits that direct calls don't use are closed to calls of the lowest
// priority. Those are two-leg calls, calls in transit and late calls.
func (c *Controller) hasRoom(exchange *exchangeRecord, call *callRecord, lowestPriority bool) bool {
	if exchange.free < 0 {
		return true // not reported yet: the outcome of the attempt will show it
	}
	free, localDirect := exchange.free, exchange.localInUse-exchange.localInUseByClass[len(c.settings.Classes)]
	if lowestPriority || call.Class != c.topClass {
		free -= max(0, exchange.reserved-exchange.localInUseByClass[c.topClass])
	}
	if lowestPriority {
		free -= max(0, exchange.directOnly-(localDirect-min(exchange.reserved, exchange.localInUseByClass[c.topClass])))
	}
	return free >= call.Width
}
