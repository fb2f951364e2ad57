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

// describeEffects returns a line for each effect except log records, with every byte that is written.
func describeEffects(effects []router.Effect) (lines []string) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case router.Write:
			lines = append(lines, fmt.Sprintf("write %d %x", effect.Link, effect.Bytes))
		case router.Log:
		default:
			lines = append(lines, fmt.Sprintf("%T %+v", effect, effect))
		}
	}
	return lines
}

// TestLibraryEqualsServer runs a script against a call server over loopback, and then applies the recorded inputs to a Router that
// is used as a library. Each input carries the time of the call server at which it was applied, timers (InAdvance) among them, so
// that both see the same times. Decisions, answers and every byte written must be the same.
func TestLibraryEqualsServer(t *testing.T) {
	cfg, err := config.Evaluate("test.jsonnet", testSettings, nil)
	if err != nil {
		t.Fatal(err)
	}
	var inputs []router.Input
	var serverLines []string
	s, err := New(cfg, slog.New(slog.DiscardHandler), WithObserver(func(in router.Input) {
		in.Bytes = bytes.Clone(in.Bytes)
		inputs = append(inputs, in)
	}, func(e []router.Effect) { serverLines = append(serverLines, describeEffects(e)...) }))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	runScript(t, s)
	s.Kill()

	libraryLines := replay(t, cfg, inputs)
	removed := slices.IndexFunc(inputs, func(in router.Input) bool {
		return in.Kind == router.InReceive && in.At > Epoch+time.Second
	})
	if other := replay(t, cfg, slices.Delete(slices.Clone(inputs), removed, removed+1)); slices.Equal(other, libraryLines) {
		t.Error("removing an input makes no difference: the comparison cannot fail")
	}
	decisions := 0
	for i := range max(len(libraryLines), len(serverLines)) {
		if i >= len(libraryLines) || i >= len(serverLines) || libraryLines[i] != serverLines[i] {
			t.Fatalf("line %d of %d and %d differs:\n%s\n%s", i, len(libraryLines), len(serverLines),
				lineAt(libraryLines, i), lineAt(serverLines, i))
		}
		if strings.HasPrefix(libraryLines[i], "router.Decision") {
			decisions++
		}
	}
	if decisions < 60 || len(inputs) < 200 {
		t.Errorf("only %d inputs and %d decisions were compared", len(inputs), decisions)
	}
}

// replay applies inputs to a Router that is used as a library, and describes its effects.
func replay(t *testing.T, cfg *config.Config, inputs []router.Input) (lines []string) {
	library, err := router.New(cfg.Router, cfg.Seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, input := range inputs {
		library.Apply(input)
		lines = append(lines, describeEffects(library.Effects())...)
	}
	return lines
}

// lineAt returns line i for an error message, or "nothing" if there are fewer lines.
func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "nothing"
}

// answerInBackground answers calls until the connection ends, by the fixed pattern of answerSetup.
func (p *testPeer) answerInBackground() (ended chan struct{}) {
	ended = make(chan struct{})
	calls, buffer := 0, make([]byte, 4096)
	go func() {
		defer close(ended)
		for {
			_ = p.conn.SetReadDeadline(time.Time{})
			n, err := p.conn.Read(buffer)
			p.assoc.Receive(0, bytes.Clone(buffer[:n]))
			for _, indication := range p.assoc.Indications() {
				message, decodeErr := isup.Decode(indication.Data.Data)
				if indication.Kind != m3ua.IndData || decodeErr != nil {
					continue
				}
				p.acknowledge(message)
				if message.Type == isup.IAM {
					p.answerSetup(calls, message.CIC)
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

// answerSetup answers most set-ups; of nine, one is refused, one reset and one left without an answer.
func (p *testPeer) answerSetup(call int, cic uint16) {
	switch call % 9 {
	case 4:
		p.send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: isup.CauseNoCircuit}))
	case 6:
		p.send(isup.NewSimple(isup.RSC, cic))
	case 8: // no answer: the attempt times out
	default:
		p.send(isup.NewSimple(isup.ACM, cic))
		p.send(isup.NewSimple(isup.ANM, cic))
	}
}

// runScript runs the script: calls that are established, refused, or time out and are attempted again; a lost connection;
// console commands; a drain.
func runScript(t *testing.T, s *Server) {
	exchange, counters := connectPeer(t, s, 102), connectPeer(t, s, 2001)
	waitForCircuits(t, s, "b", exchange)
	waitForCircuits(t, s, "counters", counters)
	console, err := textproto.Dial("tcp", s.ConsoleAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer console.Close()
	_, _, _ = console.ReadCodeLine(200)
	execute := func(line string) {
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
	ended := exchange.answerInBackground()
	for i := range 60 {
		cic := uint16(1 + i%8)
		counters.received = nil
		counters.sendSetup(cic, "5521")
		counters.readUntil("final answer", func() bool {
			return counters.hasReceived(isup.ANM, cic)() || counters.hasReceived(isup.REL, cic)()
		})
		if !counters.hasReceived(isup.REL, cic)() {
			counters.send(isup.NewRelease(cic, isup.ReleaseInfo{Cause: 16}))
			counters.readUntil("RLC", counters.hasReceived(isup.RLC, cic))
		}
		switch i {
		case 10:
			execute("block b 1")
			execute("unblock b 1")
		case 20:
			execute("list update b draining")
			execute("list update b ready 100ms")
		}
	}
	exchange.conn.Close()
	<-ended
	exchange = connectPeer(t, s, 102)
	waitForCircuits(t, s, "b", exchange)
	go func() { _, _ = io.Copy(io.Discard, exchange.conn) }()
	execute("drain")
	counters.received = nil
	counters.sendSetup(9, "5521")
	counters.readUntil("refusal", counters.hasReceived(isup.REL, 9))
	execute("show status")
	time.Sleep(10 * time.Millisecond) // so that a few more timers expire
}
