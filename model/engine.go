// Package model plays fleets of call servers in simulated time: the very Routers of the product, with processors, wires,
// callers, lines and an exchange list around them as discrete events on one goroutine. The same settings, seed and script
// give the same run to the byte. It decides nothing about calls.
package model

import (
	"container/heap"
	"time"
)

// engine runs events in the order of their times, and of their making where these agree.
type engine struct {
	now    time.Duration
	seq    uint64
	queue  events
	played uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// after plans an event.
func (e *engine) after(d time.Duration, run func()) {
	e.seq++
	heap.Push(&e.queue, event{e.now + max(0, d), e.seq, run})
}

// until plays all events up to a time.
func (e *engine) until(t time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= t {
		x := heap.Pop(&e.queue).(event)
		e.now = x.at
		e.played++
		x.run()
	}
	e.now = t
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return x
}
