// Command benchlink connects the decision module to a simulator: it hosts one Controller for each simulated call server, reads
// events from standard input and writes actions to standard output. It makes no decisions about calls.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"finchlatch/internal/wire"
	"finchlatch/logic"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// instance is one hosted Controller. It implements logic.Host by writing the Controller's actions to the reply.
type instance struct {
	number     int
	encoder    *wire.Encoder
	controller *logic.Controller
	classIndex map[string]int // index of each class by name
}

// serve answers batches of events from in on out until in ends.
func serve(in io.Reader, out io.Writer) error {
	decoder, encoder := wire.NewDecoder(in), wire.NewEncoder(out)
	instances := map[int]*instance{}
	for {
		batch, err := decoder.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			if err := deliver(instances, encoder, batch.Clock, &batch.Events[i]); err != nil {
				return fmt.Errorf("batch %d: %w", batch.Number, err)
			}
		}
		if err := encoder.Finish(batch.Number); err != nil {
			return err
		}
	}
}

// deliver passes an event to its instance, and starts or stops instances.
func deliver(instances map[int]*instance, encoder *wire.Encoder, now time.Duration, event *wire.Event) error {
	if event.Kind == wire.InstanceStarted {
		inst := &instance{number: event.Instance, encoder: encoder, classIndex: map[string]int{}}
		event.Settings.Host = inst
		for index, class := range event.Settings.Classes {
			inst.classIndex[class.Name] = index
		}
		controller, err := logic.New(event.Settings, event.Seed)
		if err != nil {
			return err
		}
		inst.controller = controller
		instances[event.Instance] = inst
		return nil
	}
	inst := instances[event.Instance]
	if inst == nil {
		return nil // the event was sent before the instance stopped
	}
	switch event.Kind {
	case wire.InstanceStopped:
		delete(instances, event.Instance)
	case wire.OfficeList:
		inst.controller.UpdateOffices(now, event.ListKind, event.Offices)
	case wire.CallOffered:
		index, ok := inst.classIndex[event.Class]
		if !ok {
			index = -1
		}
		event.Call.Class = index
		inst.controller.Offered(now, event.Call)
	case wire.AttemptOutcome:
		inst.controller.Outcome(now, event.Outcome)
	case wire.CallEstablished:
		inst.controller.Established(now, event.Outcome)
	case wire.CallHungUp:
		inst.controller.HungUp(now, event.Call.ID)
	case wire.TimerExpired:
		inst.controller.Timer(now, event.Mark)
	case wire.PeerData:
		inst.controller.Peer(now, event.From, event.Data)
	case wire.OfficeReport:
		inst.controller.Report(now, event.Report)
	}
	return nil
}

// Send starts an attempt at an office.
func (inst *instance) Send(call uint64, office string, timeout time.Duration) {
	inst.encoder.Action("assign", inst.number, wire.CallID(call), wire.Text("office", office), wire.Int("within_ns", int64(timeout)))
}

// Refuse refuses a call; the caller may try again after the wait.
func (inst *instance) Refuse(call uint64, wait time.Duration) {
	inst.encoder.Action("not_now", inst.number, wire.CallID(call), wire.Int("cool_down_ns", int64(wait)))
}

// Fail ends a call without success.
func (inst *instance) Fail(call uint64) { inst.encoder.Action("abort", inst.number, wire.CallID(call)) }

// Cancel cancels an attempt.
func (inst *instance) Cancel(call uint64, attempt int) {
	inst.encoder.Action("call_off", inst.number, wire.CallID(call), wire.Int("seq_no", int64(attempt)))
}

// Probe asks an office for a report.
func (inst *instance) Probe(office string) {
	inst.encoder.Action("test", inst.number, wire.Text("office", office))
}

// SendPeer sends data to another call server.
func (inst *instance) SendPeer(peer int, data []byte) {
	inst.encoder.Action("tell", inst.number, wire.Int("dest", int64(peer)), wire.Hex("data", data))
}

// Timer starts a timer.
func (inst *instance) Timer(wait time.Duration, mark string) {
	inst.encoder.Action("schedule", inst.number, wire.Int("wait_ns", int64(wait)), wire.Text("mark", mark))
}

// Watch turns updates of service discovery on or off.
func (inst *instance) Watch(on bool) {
	value := int64(0)
	if on {
		value = 1
	}
	inst.encoder.Action("keep_informed", inst.number, wire.Int("on", value))
}

// Log writes a log line.
func (inst *instance) Log(text string) {
	inst.encoder.Action("print", inst.number, wire.Text("body_text", text))
}
