// Package timing keeps timers in order. It has no clock: its user says what time it is.
package timing

import (
	"container/heap"
	"time"
)

// Timers gives values back when their time has come, in the order of their times and, among equal times, of their
// arming. The zero value is empty and ready. A timer cannot be taken back: its user ignores what is over.
type Timers[T any] struct {
	heap entries[T]
	seq  uint64
}

// Arm adds a value for a time.
func (t *Timers[T]) Arm(at time.Duration, v T) {
	t.seq++
	heap.Push(&t.heap, entry[T]{at: at, seq: t.seq, value: v})
}

// Next is the time of the first timer.
func (t *Timers[T]) Next() (time.Duration, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}

// Pop takes the first timer if its time has come.
func (t *Timers[T]) Pop(now time.Duration) (at time.Duration, v T, ok bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return 0, v, false
	}
	e := heap.Pop(&t.heap).(entry[T])
	return e.at, e.value, true
}

// Len is how many are armed.
func (t *Timers[T]) Len() int { return len(t.heap) }

type entry[T any] struct {
	at    time.Duration
	seq   uint64
	value T
}

type entries[T any] []entry[T]

func (h entries[T]) Len() int { return len(h) }
func (h entries[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h entries[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *entries[T]) Push(x any)   { *h = append(*h, x.(entry[T])) }
func (h *entries[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = entry[T]{} // what it held may go
	*h = old[:len(old)-1]
	return e
}
