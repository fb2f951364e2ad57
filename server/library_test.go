package server

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/textproto"
	"slices"
	"strings"
	"testing"
	"time"

	"finchlatch/config"
	"finchlatch/isup"
	"finchlatch/m3ua"
	"finchlatch/router"
)

// tell writes effects down, with every byte that goes out.
func tell(effects []router.Effect) (out []string) {
	for _, e := range effects {
		switch e := e.(type) {
		case router.Write:
			out = append(out, fmt.Sprintf("write %d %x", e.Link, e.Bytes))
		case router.Log:
		default:
			out = append(out, fmt.Sprintf("%T %+v", e, e))
		}
	}
	return out
}

// TestLibraryEqualsDaemon plays a script on a daemon over loopback, and then hands a Router used as a library what the
// daemon's was told. Time is made equal by taking it as part of each input: the daemon's clock at the moment it told
// its Router, timers (InAdvance) among them. Decisions, answers and every byte written must be the same.
func TestLibraryEqualsDaemon(t *testing.T) {
	cfg, err := config.Evaluate("test.jsonnet", settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	var inputs []router.Input
	var daemon []string
	s, err := New(cfg, slog.New(slog.DiscardHandler), WithObserver(func(in router.Input) {
		in.Bytes = bytes.Clone(in.Bytes)
		inputs = append(inputs, in)
	}, func(e []router.Effect) { daemon = append(daemon, tell(e)...) }))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	playOn(t, s)
	s.Kill()

	got := replay(t, cfg, inputs)
	last := slices.IndexFunc(inputs, func(in router.Input) bool { return in.Kind == router.InReceive && in.At > Epoch+time.Second })
	if other := replay(t, cfg, slices.Delete(slices.Clone(inputs), last, last+1)); slices.Equal(other, got) {
		t.Error("an input less makes no difference: the comparison cannot fail")
	}
	decisions := 0
	for i := range max(len(got), len(daemon)) {
		if i >= len(got) || i >= len(daemon) || got[i] != daemon[i] {
			t.Fatalf("line %d of %d and %d differs:\n%s\n%s", i, len(got), len(daemon), at(got, i), at(daemon, i))
		}
		if strings.HasPrefix(got[i], "router.Decision") {
			decisions++
		}
	}
	if decisions < 60 || len(inputs) < 200 {
		t.Errorf("only %d inputs and %d decisions were compared", len(inputs), decisions)
	}
}

// replay hands inputs to a Router used as a library.
func replay(t *testing.T, cfg *config.Config, inputs []router.Input) (got []string) {
	library, err := router.New(cfg.Router, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, in := range inputs {
		library.Apply(in)
		got = append(got, tell(library.Effects())...)
	}
	return got
}

func at(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "nothing"
}

// behave answers calls in the background by a plan that takes turns: answer, answer late, turn away, reset, say nothing.
// It ends with the connection.
func (p *peer) behave() (ended chan struct{}) {
	ended = make(chan struct{})
	calls, buf := 0, make([]byte, 4096)
	go func() {
		defer close(ended)
		for {
			_ = p.conn.SetReadDeadline(time.Time{})
			n, err := p.conn.Read(buf)
			p.assoc.Receive(0, bytes.Clone(buf[:n]))
			for _, i := range p.assoc.Indications() {
				m, bad := isup.Decode(i.Data.Data)
				if i.Kind != m3ua.IndData || bad != nil {
					continue
				}
				p.answer(m)
				if m.Type == isup.IAM {
					p.turn(calls, m.CIC)
					calls++
				}
			}
			p.flush()
			if err != nil {
				return
			}
		}
	}()
	return ended
}

func (p *peer) turn(call int, cic uint16) {
	switch call % 9 {
	case 4:
		p.send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: isup.CauseNoCircuit}))
	case 6:
		p.send(isup.Simple(isup.RSC, cic))
	case 8: // says nothing: the attempt times out
	default:
		p.send(isup.Simple(isup.ACM, cic))
		p.send(isup.Simple(isup.ANM, cic))
	}
}

// playOn is the script: calls that stand, are refused, time out and are tried again, a lost connection, operators'
// commands, a drain.
func playOn(t *testing.T, s *Server) {
	far, counters := dial(t, s, 102), dial(t, s, 2001)
	ready(t, s, "b", far)
	ready(t, s, "counters", counters)
	console, err := textproto.Dial("tcp", s.ConsoleAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer console.Close()
	_, _, _ = console.ReadCodeLine(200)
	order := func(line string) {
		if err := console.PrintfLine("%s", line); err != nil {
			t.Fatal(err)
		}
		code, _, err := console.ReadCodeLine(2)
		if err != nil {
			t.Fatal(err)
		}
		if code == 215 {
			_, _ = console.ReadDotLines()
		}
	}
	ended := far.behave()
	for i := range 60 {
		cic := uint16(1 + i%8)
		counters.got = nil
		counters.call(cic, "5521")
		counters.until("final answer", func() bool { return counters.has(isup.ANM, cic)() || counters.has(isup.REL, cic)() })
		if !counters.has(isup.REL, cic)() {
			counters.send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: 16}))
			counters.until("RLC", counters.has(isup.RLC, cic))
		}
		switch i {
		case 10:
			order("block b 1")
			order("unblock b 1")
		case 20:
			order("list update b draining")
			order("list update b ready 100ms")
		}
	}
	far.conn.Close()
	<-ended
	far = dial(t, s, 102)
	ready(t, s, "b", far)
	go func() { _, _ = io.Copy(io.Discard, far.conn) }()
	order("drain")
	counters.got = nil
	counters.call(9, "5521")
	counters.until("refusal", counters.has(isup.REL, 9))
	order("show status")
	time.Sleep(10 * time.Millisecond) // a few timers more
}
