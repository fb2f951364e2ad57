// Package model runs fleets of call servers in simulated time: the product's Routers in the simulated environment of
// package simenv, with links and service discovery, as discrete events on one goroutine. Two runs with the same settings,
// seed and script are identical to the byte. The package takes no decisions about calls.
package model

import "time"

// engine runs events in the order of their times. Events of the same time run in the order in which they were scheduled.
type engine struct {
	now        time.Duration
	sequence   uint64
	queue      []event // min-heap; with four children per node it is half as deep as a binary heap and uses caches better
	eventCount uint64  // events run
}

// event is a function scheduled for a time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// before reports whether an event runs before another one.
func (e event) before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// arity is the number of children per node of the heap.
const arity = 4

// schedule adds an event after a delay; a negative delay counts as 0.
func (e *engine) schedule(delay time.Duration, run func()) {
	e.sequence++
	added := event{e.now + max(0, delay), e.sequence, run}
	e.queue = append(e.queue, added)
	i := len(e.queue) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !added.before(e.queue[parent]) {
			break
		}
		e.queue[i] = e.queue[parent]
		i = parent
	}
	e.queue[i] = added
}

// pop removes and returns the next event.
func (e *engine) pop() event {
	next, last := e.queue[0], len(e.queue)-1
	moved := e.queue[last]
	e.queue[last] = event{}
	e.queue = e.queue[:last]
	if last == 0 {
		return next
	}
	i := 0
	for {
		first := i*arity + 1
		if first >= last {
			break
		}
		earliest := first
		for child := first + 1; child < min(first+arity, last); child++ {
			if e.queue[child].before(e.queue[earliest]) {
				earliest = child
			}
		}
		if !e.queue[earliest].before(moved) {
			break
		}
		e.queue[i] = e.queue[earliest]
		i = earliest
	}
	e.queue[i] = moved
	return next
}

// runUntil runs all events up to and including a time.
func (e *engine) runUntil(end time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		next := e.pop()
		e.now = next.at
		e.eventCount++
		next.run()
	}
	e.now = end
}
