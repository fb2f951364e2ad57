// Package timing holds a timer queue without a clock: its user passes in the time.
package timing

import (
	"container/heap"
	"slices"
	"time"
)

// Timers is a queue of timers. Each is a value with the time at which it is due. Pop returns them in the order of their times
// and, at equal times, in the order in which they were armed. The zero value is an empty queue, ready for use. A timer cannot be
// cancelled: its user ignores timers that no longer apply, and may remove many of them with DeleteFunc.
type Timers[T any] struct {
	heap entryHeap[T]
	seq  uint64
}

// Arm adds a timer: a value that is due at the given time.
func (t *Timers[T]) Arm(at time.Duration, value T) {
	t.seq++
	heap.Push(&t.heap, entry[T]{at: at, seq: t.seq, value: value})
}

// Next returns the time of the first timer; false: there is none.
func (t *Timers[T]) Next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// Pop removes and returns the first timer if it is due.
func (t *Timers[T]) Pop(now time.Duration) (at time.Duration, value T, ok bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return 0, value, false
	}
	first := heap.Pop(&t.heap).(entry[T])
	return first.at, first.value, true
}

// DeleteFunc removes the timers whose values no longer apply.
func (t *Timers[T]) DeleteFunc(obsolete func(value T) bool) {
	t.heap = slices.DeleteFunc(t.heap, func(e entry[T]) bool { return obsolete(e.value) })
	heap.Init(&t.heap)
}

// Len returns the number of armed timers.
func (t *Timers[T]) Len() int { return len(t.heap) }

type entry[T any] struct {
	at    time.Duration
	seq   uint64 // order of arming
	value T
}

type entryHeap[T any] []entry[T]

func (h entryHeap[T]) Len() int { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h entryHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *entryHeap[T]) Push(x any)   { *h = append(*h, x.(entry[T])) }
func (h *entryHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{} // releases what the value refers to
	*h = old[:len(old)-1]
	return last
}
