package model

import (
	"testing"
	"time"

	"finchlatch/internal/simenv"
)

// Answers have priority over set-ups, but no message overtakes an earlier one of its own circuit.
func TestProcessorKeepsTheOrderOfACircuit(t *testing.T) {
	e := &engine{}
	harness := newProcessorHarness(e, simenv.ServiceTimes{SetUp: time.Second, Answer: time.Second}, 1)
	var order []string
	submit := func(name string, message queuedMessage) {
		message.Deliver = func() { order = append(order, name) }
		harness.submit(message)
	}
	submit("first", queuedMessage{IsSetUp: true, Circuits: []uint16{9}})
	submit("set-up on 1 and 2", queuedMessage{IsSetUp: true, Circuits: []uint16{1, 2}})
	submit("release on 2", queuedMessage{IsAnswer: true, Circuits: []uint16{2}})
	submit("answer on 3", queuedMessage{IsAnswer: true, Circuits: []uint16{3}})
	submit("reset of all", queuedMessage{IsGroup: true, Circuits: []uint16{1}})
	e.runUntil(time.Minute)
	want := []string{"answer on 3", "first", "set-up on 1 and 2", "release on 2", "reset of all"}
	for i := range want {
		if len(order) != len(want) || order[i] != want[i] {
			t.Fatalf("order %q, want %q", order, want)
		}
	}
}

// Events of the same time run in the order in which they were scheduled.
func TestSameInstant(t *testing.T) {
	e := &engine{}
	var order []int
	for i := range 100 {
		e.schedule(time.Second, func() { order = append(order, i) })
	}
	e.runUntil(time.Second)
	for i, x := range order {
		if x != i {
			t.Fatalf("position %d has event %d", i, x)
		}
	}
	if len(order) != 100 {
		t.Errorf("%d events run", len(order))
	}
}

type queuedMessage = simenv.QueuedMessage[int]

// processorHarness runs a processor by itself on an engine.
type processorHarness struct {
	engine         *engine
	processor      *simenv.Processor[int]
	serveScheduled bool
}

func newProcessorHarness(engine *engine, serviceTimes simenv.ServiceTimes, capacity float64) *processorHarness {
	return &processorHarness{engine: engine, processor: simenv.NewProcessor[int](serviceTimes, 0, capacity, simenv.Plan{}.Parameters())}
}

// submit queues a message and schedules its service.
func (h *processorHarness) submit(message queuedMessage) {
	h.processor.Submit(h.engine.now, message)
	h.scheduleServe()
}

// scheduleServe schedules the next service.
func (h *processorHarness) scheduleServe() {
	at, ok := h.processor.Next()
	if h.serveScheduled || !ok {
		return
	}
	h.serveScheduled = true
	h.engine.schedule(at-h.engine.now, func() {
		h.serveScheduled = false
		if action := h.processor.Serve(h.engine.now); action != nil {
			action()
		}
		h.scheduleServe()
	})
}
