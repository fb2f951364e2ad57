// Command benchlink hosts many Controllers on the wire of the bench: events on standard input, actions on
// standard output. It decides nothing.
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

// instance is one hosted Controller; it is the Host of its actions.
type instance struct {
	number int
	out    *wire.Encoder
	ctl    *logic.Controller
	class  map[string]int
}

func serve(in io.Reader, out io.Writer) error {
	dec, enc := wire.NewDecoder(in), wire.NewEncoder(out)
	hosted := map[int]*instance{}
	for {
		b, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range b.Events {
			if err := deliver(hosted, enc, b.Clock, &b.Events[i]); err != nil {
				return fmt.Errorf("batch %d: %w", b.Number, err)
			}
		}
		if err := enc.Finish(b.Number); err != nil {
			return err
		}
	}
}

func deliver(hosted map[int]*instance, enc *wire.Encoder, now time.Duration, ev *wire.Event) error {
	if ev.Kind == wire.Born {
		in := &instance{number: ev.Instance, out: enc, class: map[string]int{}}
		ev.Settings.Host = in
		for n, c := range ev.Settings.Classes {
			in.class[c.Name] = n
		}
		ctl, err := logic.New(ev.Settings, ev.Seed)
		if err != nil {
			return err
		}
		in.ctl = ctl
		hosted[ev.Instance] = in
		return nil
	}
	in := hosted[ev.Instance]
	if in == nil {
		return nil // what was on its way to an instance that has died
	}
	switch ev.Kind {
	case wire.Shutdown:
		delete(hosted, ev.Instance)
	case wire.List:
		in.ctl.List(now, ev.ListKind, ev.Offices)
	case wire.Offered:
		n, ok := in.class[ev.Class]
		if !ok {
			n = -1
		}
		ev.Call.Class = n
		in.ctl.Offered(now, ev.Call)
	case wire.Outcome:
		in.ctl.Outcome(now, ev.Outcome)
	case wire.Stands:
		in.ctl.Stands(now, ev.Outcome)
	case wire.HungUp:
		in.ctl.HungUp(now, ev.Call.ID)
	case wire.Timer:
		in.ctl.Timer(now, ev.Mark)
	case wire.Peer:
		in.ctl.Peer(now, ev.From, ev.Data)
	case wire.Report:
		in.ctl.Report(now, ev.Report)
	}
	return nil
}

func (in *instance) Send(call uint64, office string, timeout time.Duration) {
	in.out.Action("assign", in.number, wire.ID(call), wire.Text("office", office), wire.Int("within_ns", int64(timeout)))
}

func (in *instance) Refuse(call uint64, wait time.Duration) {
	in.out.Action("not_now", in.number, wire.ID(call), wire.Int("cool_down_ns", int64(wait)))
}

func (in *instance) Fail(call uint64) { in.out.Action("abort", in.number, wire.ID(call)) }

func (in *instance) Cancel(call uint64, attempt int) {
	in.out.Action("call_off", in.number, wire.ID(call), wire.Int("seq_no", int64(attempt)))
}

func (in *instance) Probe(office string) {
	in.out.Action("test", in.number, wire.Text("office", office))
}

func (in *instance) Tell(peer int, data []byte) {
	in.out.Action("tell", in.number, wire.Int("dest", int64(peer)), wire.Hex("data", data))
}

func (in *instance) Timer(wait time.Duration, mark string) {
	in.out.Action("schedule", in.number, wire.Int("wait_ns", int64(wait)), wire.Text("mark", mark))
}

func (in *instance) Watch(on bool) {
	v := int64(0)
	if on {
		v = 1
	}
	in.out.Action("keep_informed", in.number, wire.Int("on", v))
}

func (in *instance) Log(text string) { in.out.Action("print", in.number, wire.Text("body_text", text)) }
