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

// erlangB is the blocking probability of a trunk group by the Erlang B formula, in its numerically stable recursive form.
func erlangB(circuits int, erlangs float64) float64 {
	blocking := 1.0
	for i := 1; i <= circuits; i++ {
		blocking = erlangs * blocking / (float64(i) + erlangs*blocking)
	}
	return blocking
}

// payoff is Equation 6, the expected worth that a partitioned group carries: the circuits reserved for each class are an
// Erlang loss system that overflows into the shared circuits, to which Equation 4 applies. A call of several circuits is
// carried with the probability that as many calls of one circuit would be carried.
func payoff(circuits int, reserved []int, loads []classLoad) (total float64) {
	overflow, overflows := 0.0, make([]float64, len(loads))
	for class, load := range loads {
		overflows[class] = load.erlangs
		if classCircuits := reserved[class]; classCircuits > 0 {
			overflows[class] *= erlangB(classCircuits/load.width, load.erlangs/float64(load.width))
			circuits -= classCircuits
		}
		overflow += overflows[class]
	}
	carriedShare := 1 - erlangB(circuits, overflow)
	for class, load := range loads {
		blocked := overflows[class] * (1 - math.Pow(carriedShare, float64(load.width)))
		total += (load.erlangs-blocked)*load.worth - blocked*load.penalty
	}
	return total
}

// offeredCounts counts the calls offered in the window, by partition interval and class. The entry after the last class has
// another meaning in each field of this type.
type offeredCounts [countBuckets][]float64

// newOfferedCounts returns counts of zero for a number of classes and the entry after them.
func newOfferedCounts(classes int) (counts offeredCounts) {
	values := make([]float64, countBuckets*(classes+1))
	for bucket := range counts {
		counts[bucket], values = values[:classes+1:classes+1], values[classes+1:]
	}
	return counts
}

// total is the number of calls of a class in the window.
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

// updatePartition chooses the partition of a group that has the greatest pay-off. It keeps the present one unless the gain
// is clear. In large groups it searches in steps of about a thirty-second of the circuits.
func (c *Controller) updatePartition(exchange *exchangeRecord) {
	circuits := exchange.total - int(exchange.foreignInUse+0.5) // calls of the far end keep theirs
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

// offeredLoads estimates the loads offered to a group by the worthiest class, by other direct calls and by two-leg calls,
// in this order. The few calls that a small group sees would make its partition follow noise, so its counts are weighted
// against the traffic mix of all groups.
func (c *Controller) offeredLoads(exchange *exchangeRecord) []classLoad {
	loads, twoLegIndex, fleetCalls, groupCalls := []classLoad{{width: max(1, c.settings.Classes[c.topClass].Width)},
		{width: 1}, {width: 1}}, len(c.settings.Classes), 0.0, 0.0
	for index := range c.settings.Classes {
		fleetCalls += c.offeredCalls.total(index)
		groupCalls += exchange.offeredCalls.total(index)
	}
	seconds, hold := math.Min(countWindow.Seconds(), (c.now-c.startedAt).Seconds()), c.meanHold().Seconds()
	plannedCalls := fleetCalls * float64(exchange.total) / float64(c.totalCircuits)
	for index := 0; index <= twoLegIndex && fleetCalls > 0 && seconds > 0; index++ {
		load, class, calls, width := &loads[1], Class{}, 0.0, c.meanWidth()
		if index == twoLegIndex { // a blocked call is offered to all groups equally, even if none takes it
			class.Worth = twoLegWorthFactor * c.classMean(func(class Class) float64 { return class.Worth })
			load, calls = &loads[2],
				exchange.offeredCalls.total(index)+c.offeredCalls.total(index)/math.Max(1, float64(len(c.exchanges)-1))
		} else {
			class = c.settings.Classes[index]
			width = math.Max(1, float64(class.Width))
			calls = (exchange.offeredCalls.total(index) + fleetPriorCalls*c.offeredCalls.total(index)/fleetCalls) * plannedCalls /
				(plannedCalls + fleetPriorCalls)
		}
		if index == c.topClass {
			load = &loads[0]
		}
		if class.Hold > 0 && hold > 0 {
			width *= class.Hold.Seconds() / hold // a call occupies circuits x time
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
		sum += (c.offeredCalls.total(i) + 1) * value(class)
		weights += c.offeredCalls.total(i) + 1
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

// recordOffered finds out whether a call is a redial, and counts it as demand of its class if it is not: counted at each
// redial, the same demand would raise the reservation with the persistence of the callers. The aim of a redial runs from
// its first try.
func (c *Controller) recordOffered(call *callRecord) {
	number, bucketClass := c.calledNumbers[call.Number], len(c.settings.Classes)
	if number != nil && number.firstTryAt > 0 && number.class == call.Class && !call.Transit && !call.WasDropped &&
		c.now-number.firstTryAt < c.settings.Classes[call.Class].Deadline {
		call.firstTryAt = number.firstTryAt
	} else if !call.Redial && !call.Transit {
		bucketClass = call.Class
		if call.dest.total > 0 {
			c.offeredCalls[c.currentBucket()][bucketClass]++
		}
	}
	call.dest.offeredCalls[c.currentBucket()][bucketClass]++
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
		exchange.foreignInUse += fastSampleWeight *
			(math.Max(0, float64(exchange.total-max(exchange.free, 0)-exchange.ownInUse)) - exchange.foreignInUse)
		c.updatePartition(exchange)
		c.removeGoneOffices(exchange)
		clear(exchange.offeredCalls[c.currentBucket()])
	}
	clear(c.offeredCalls[c.currentBucket()])
	for calledNumber, number := range c.calledNumbers {
		if c.now-number.firstTryAt > c.settings.Classes[number.class].Deadline && c.now > number.busyUntil+maxBusyBackoff {
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
	free, ownDirect := exchange.free, exchange.ownInUse-exchange.ownInUseByClass[len(c.settings.Classes)]
	if lowestPriority || call.Class != c.topClass {
		free -= max(0, exchange.reserved-exchange.ownInUseByClass[c.topClass])
	}
	if lowestPriority {
		free -= max(0, exchange.directOnly-(ownDirect-min(exchange.reserved, exchange.ownInUseByClass[c.topClass])))
	}
	return free >= call.Width
}
