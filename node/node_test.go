package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"finchlatch/feed"
	"finchlatch/internal/platform"
	"finchlatch/internal/rulecheck"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const settingsText = `{"tick_ns":1000000,"instances":3,"my_number":0,"family_info":{"home_no":0,"layout":"meshed",
 "mean_hold_ns":[2000000000],"channels_needed":[1],"release_ns":200000000},"limits":{"cancel":true,"max_attempts":5,
 "connect_timeout_ns":500000000,"max_open":2000,"max_retry_after_ns":2000000000},"reporting":{"fields":["spare","total"]},
 "rules":{"drain_grace_ns":1000000000,"tip_after_ns":3000000000,"overload_factor":2.0,"cold_from":0.3,"cold_ns":10000000000},
 "classes":[{"name":"status-check","worth":1,"late_share":0.25,"target_ns":1200000000,"deadline_ns":3000000000,"effect":"safe"}]}`

// harness is a Node with stand-ins around it.
type harness struct {
	t       *testing.T
	env     *platform.Environment
	node    *Node
	ended   chan error
	journal *platform.Journal
	path    string
	set     *strings.Replacer // changes to the settings that the node is told
	offices []*platform.Office
	addr    string
	log     slog.Handler
}

func newHarness(t *testing.T, behavior func(call uint64, attempt int) platform.Behavior, change ...func(*harness)) *harness {
	t.Helper()
	check := rulecheck.NewPlatform(200*time.Millisecond, time.Second, 50*time.Millisecond)
	s := &harness{t: t, env: platform.NewEnvironment(check), ended: make(chan error, 1), path: filepath.Join(t.TempDir(), "config.json"),
		set: strings.NewReplacer(), log: slog.NewTextHandler(io.Discard, nil)}
	for cell, id := range []string{"s-own", "s-a", "s-b"} {
		o, err := s.env.NewOffice(id, cell, 300*time.Millisecond, behavior)
		if err != nil {
			t.Fatal(err)
		}
		s.offices = append(s.offices, o)
	}
	for _, f := range change {
		f(s)
	}
	var err error
	if s.journal, err = s.env.NewJournal(s.list(1, true, s.offices...)); err != nil {
		t.Fatal(err)
	}
	s.write(s.journal.Addr)
	if s.node, err = New(s.path, slog.New(s.log)); err != nil {
		t.Fatal(err)
	}
	if err := s.node.Listen(); err != nil {
		t.Fatal(err)
	}
	s.addr = s.node.listener.Addr().String()
	go func() { s.ended <- s.node.Run() }()
	t.Cleanup(func() {
		s.node.Kill()
		select {
		case <-s.ended:
		case <-time.After(10 * time.Second):
			t.Error("the node does not end")
		}
		s.env.Close()
	})
	return s
}

func (s *harness) list(pos uint64, complete bool, offices ...*platform.Office) feed.Event {
	ev := feed.Event{Pos: pos, Hosts: feed.Hosts{Complete: complete}}
	for _, o := range offices {
		ev.Hosts.Members = append(ev.Hosts.Members, o.Member)
	}
	return ev
}

func (s *harness) write(journal string) {
	s.t.Helper()
	known, err := json.Marshal(feed.Known{Pos: 1, Entries: []feed.Event{s.list(1, true, s.offices...)}})
	if err != nil {
		s.t.Fatal(err)
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","journal":%q,"seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`,
		journal, known, s.set.Replace(settingsText))
	if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *harness) dial() *platform.Caller {
	s.t.Helper()
	c, err := s.env.Dial(s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// invite sends a set-up; the answer comes on the connection.
func (s *harness) invite(c *platform.Caller, call uint64, dest int, patience time.Duration) {
	s.t.Helper()
	if err := c.Invite(call, dest, patience); err != nil {
		s.t.Fatal(err)
	}
}

// await waits for something on a caller's connection.
func (s *harness) await(c *platform.Caller, what string, is func(platform.Heard) bool) platform.Heard {
	s.t.Helper()
	limit := time.After(8 * time.Second)
	for {
		select {
		case h, ok := <-c.Heard:
			if !ok {
				s.t.Fatalf("the connection ended before %s", what)
			}
			if is(h) {
				return h
			}
		case <-limit:
			s.t.Fatalf("no %s", what)
		}
	}
}

func (s *harness) judge() {
	s.t.Helper()
	s.env.Judge(func(at time.Duration, p *rulecheck.Platform) {
		for _, b := range p.Breaches(at) {
			s.t.Error(b)
		}
	})
}

func final(call uint64) func(platform.Heard) bool {
	return func(h platform.Heard) bool { return h.Call == call && h.Method == "INVITE" && h.Status >= 200 }
}

// Offices do all that offices do; each call gets one answer in time, and no rule breaks.
func TestCallsThroughAllBehaviors(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(call uint64, attempt int) platform.Behavior {
		if attempt > 1 {
			return platform.Stand
		}
		return platform.Behavior(call) % platform.Behaviors
	})
	const calls = 10 * uint64(platform.Behaviors)
	callers := []*platform.Caller{s.dial(), s.dial(), s.dial()}
	pace := time.NewTicker(15 * time.Millisecond)
	defer pace.Stop()
	for id := uint64(1); id <= calls; id++ {
		<-pace.C
		s.invite(callers[id%3], id, 1+int(id)%2, 2500*time.Millisecond)
		if id%17 == 0 {
			if err := callers[id%3].Cancel(id); err != nil {
				t.Fatal(err)
			}
		}
	}
	stood, byes := 0, 0
	for i, c := range callers {
		left := 0
		for id := uint64(1); id <= calls; id++ {
			if id%3 == uint64(i) && id%17 != 0 {
				left++
			}
		}
		for left > 0 || byes < stood {
			h := s.await(c, fmt.Sprintf("%d answers", left), func(h platform.Heard) bool { return true })
			switch {
			case h.Method == "BYE" && h.Status == 0:
				byes++
			case h.Method == "INVITE" && h.Call%17 != 0:
				left--
				if h.Status == 200 {
					stood++
					if h.Body != platform.Description {
						t.Errorf("call %d: description %q", h.Call, h.Body)
					}
				}
			}
		}
	}
	if stood < int(calls)/3 {
		t.Errorf("only %d of %d calls stood", stood, calls)
	}
	s.judge()
}

// The journal breaks off, falls silent and moves; what it tells in the end is kept.
func TestJournalBreaksAndMoves(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand })
	asked := func(j *platform.Journal) uint64 {
		select {
		case pos := <-j.Asked:
			return pos
		case <-time.After(5 * time.Second):
			t.Fatal("the journal is not asked")
			return 0
		}
	}
	if pos := asked(s.journal); pos != 1 {
		t.Fatalf("first asked for what came after %d", pos)
	}
	broken, err := s.env.Break()
	if err != nil {
		t.Fatal(err)
	}
	s.write(broken.Addr)
	s.node.Reload()
	if pos := asked(broken); pos != 1 {
		t.Fatalf("the new address is asked for what came after %d", pos)
	}
	if pos := asked(broken); pos != 1 {
		t.Fatalf("after half an event: asked for what came after %d", pos)
	}
	if err := os.WriteFile(s.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.node.Reload() // a bad file is told, and the old one kept
	asked(broken)
	second, err := s.env.NewJournal(s.list(1, true, s.offices...))
	if err != nil {
		t.Fatal(err)
	}
	s.write(second.Addr)
	s.node.Reload()
	if pos := asked(second); pos != 1 {
		t.Fatalf("the last address is asked for what came after %d", pos)
	}
	second.Hush(true)
	if pos := asked(second); pos != 1 { // silence is a break
		t.Fatalf("after a silence: asked for what came after %d", pos)
	}
	second.Hush(false)
	s.offices[1].Member.Phase = feed.Draining
	s.env.Judge(func(at time.Duration, p *rulecheck.Platform) { p.Told(at, "s-a") })
	second.Tell(s.list(2, false, s.offices[1]))
	c := s.dial()
	limit := time.After(5 * time.Second)
	for id := uint64(1); ; id++ { // until the drain has come through
		s.invite(c, id, 1, time.Second)
		if h := s.await(c, "an answer", final(id)); h.Status == 503 {
			break
		}
		select {
		case <-limit:
			t.Fatal("calls still go to an office that drains")
		default:
		}
	}
	s.judge()
}

// A drain answers what was taken before it and meanwhile, serves calls in transit until shortly before it may be
// killed, and then ends.
func TestDrainAnswersWhatWasTaken(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(call uint64, _ int) platform.Behavior {
		if call == 1 {
			return platform.Mute
		}
		return platform.Stand
	}, func(s *harness) { s.set = strings.NewReplacer(`"deadline_ns":3000000000`, `"deadline_ns":1500000000`) })
	c := s.dial()
	s.invite(c, 1, 1, 1500*time.Millisecond)
	kill := time.Now().Add(1500*time.Millisecond + drainServeTime)
	s.node.Leave()
	s.invite(c, 2, 2, time.Second)
	d := s.dial()
	s.invite(d, 3, 2, time.Second)
	if h := s.await(c, "the answer of call 2", final(2)); h.Status != 200 {
		t.Errorf("call 2: %d", h.Status)
	}
	if h := s.await(d, "the answer of call 3", final(3)); h.Status != 200 {
		t.Errorf("call 3: %d", h.Status)
	}
	s.await(c, "the answer of call 1", final(1)) // after 1.5 s
	s.env.Judge(func(at time.Duration, p *rulecheck.Platform) { p.Taken(at, 4, 9*time.Second) })
	if _, err := io.WriteString(d, platform.Invitation(4, 9*time.Second, "dest:2;width:1;via:1;transit:1")); err != nil {
		t.Fatal(err)
	}
	if h := s.await(d, "the answer of call 4", final(4)); h.Status != 200 {
		t.Errorf("call 4, in transit: %d", h.Status)
	}
	s.invite(d, 5, 2, 9*time.Second)
	if h := s.await(d, "the answer of call 5", final(5)); h.Status != 503 {
		t.Errorf("call 5, a new one: %d", h.Status)
	}
	s.await(d, "the release of call 4, which stands on this connection", func(h platform.Heard) bool {
		return h.Method == "BYE" && h.Call == 4 && h.Status == 0
	})
	select {
	case err := <-s.ended:
		s.ended <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Until(kill)):
		t.Fatal("the drain does not end before it may be killed")
	}
	s.judge()
}

// The danger: a release that crosses the end of an idle connection, which is closed to make room for a fresh one.
// pause is a log that holds up the loop on a line, as a process that gets no core is held up; its readers go on.
type pause struct {
	slog.Handler
	on   atomic.Value  // the text of the line; other goroutines log, too
	held chan struct{} // the loop is held up
	free chan struct{}
	over chan struct{} // the test has ended
}

func newPause(on string) *pause {
	p := &pause{Handler: slog.NewTextHandler(io.Discard, nil), held: make(chan struct{}), free: make(chan struct{}),
		over: make(chan struct{})}
	p.on.Store(on)
	return p
}

func (p *pause) WithAttrs([]slog.Attr) slog.Handler { return p }

func (p *pause) Handle(_ context.Context, r slog.Record) error {
	if r.Message != p.on.Load() {
		return nil
	}
	select {
	case p.held <- struct{}{}:
	case <-p.over:
		return nil
	}
	select {
	case <-p.free:
	case <-p.over:
	}
	return nil
}

// hold has the loop held up by a message that cannot be read.
func (s *harness) hold(p *pause) {
	s.t.Helper()
	if _, err := io.WriteString(s.dial(), "INVITE\r\n\r\n"); err != nil {
		s.t.Fatal(err)
	}
	<-p.held
}

// until waits for something that goroutines do on their own.
func (s *harness) until(what string, is func() bool) {
	s.t.Helper()
	for end := time.Now().Add(8 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("never: %s", what)
		}
	}
}

// The danger: after a pause of the process the time for another attempt and the word that the caller has gone are due
// together, and the attempt begins.
func TestACallerWhoLeftDuringAPauseIsNotTriedAgain(t *testing.T) {
	t.Parallel()
	p := newPause("caller's message refused")
	s := newHarness(t, func(call uint64, attempt int) platform.Behavior {
		if call < 100 {
			return platform.Reset
		}
		return platform.Stand
	}, func(s *harness) { s.log = p })
	t.Cleanup(func() { close(p.over) })
	for call := uint64(1); call <= 8; call++ {
		c := s.dial()
		s.invite(c, call, 1, 2500*time.Millisecond)
		s.until("the first attempt", func() bool { return s.offices[1].SetUps(call) == 1 })
		reset := time.Now()
		s.hold(p)
		c.Leave(call)
		s.until("the end is read", func() bool { return len(s.node.inputs) > 0 })
		<-time.After(time.Until(reset.Add(300 * time.Millisecond))) // the release time is over
		p.free <- struct{}{}
	}
	d := s.dial()
	s.invite(d, 100, 1, 2500*time.Millisecond)
	s.await(d, "the answer of the last call", final(100))
	for call := uint64(1); call <= 8; call++ {
		if n := s.offices[1].SetUps(call); n != 1 {
			t.Errorf("call %d: %d attempts, and its caller left after the first", call, n)
		}
	}
	s.judge()
}

// The danger: a flood of connections takes the descriptors that offices and the journal need before the loop can close one.
func TestAFloodOfConnectionsWaitsOutside(t *testing.T) {
	t.Parallel()
	p := newPause("caller's message refused")
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand }, func(s *harness) { s.log = p })
	t.Cleanup(func() { close(p.over) })
	s.hold(p)
	for range 60 {
		s.dial()
	}
	s.until("the loop's inputs are full of connections", func() bool { return len(s.node.unhandled) == maxUnhandled })
	for range 100 {
		if n := len(s.node.inputs); n > maxUnhandled+8 { // a little of the journal's and the offices'
			t.Fatalf("%d connections are accepted that the loop has not seen", n)
		}
		runtime.Gosched()
	}
	p.free <- struct{}{}
	c := s.dial()
	s.invite(c, 1, 1, 2500*time.Millisecond)
	if h := s.await(c, "an answer behind the flood", final(1)); h.Status != 200 {
		t.Errorf("behind the flood: %d", h.Status)
	}
	s.judge()
}

// A caller leaves by every way that a socket has, while its call waits for the release time: there is no other attempt.
func TestEveryWayToLeaveEndsTheCall(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(call uint64, _ int) platform.Behavior {
		if call < 100 {
			return platform.Reset
		}
		return platform.Stand
	})
	ways := []func(c *platform.Caller, call uint64){
		func(c *platform.Caller, call uint64) { c.Leave(call) },
		func(c *platform.Caller, call uint64) {
			if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil { // a reset
				t.Error(err)
			}
			c.Leave(call)
		},
		func(c *platform.Caller, call uint64) {
			s.env.Judge(func(at time.Duration, p *rulecheck.Platform) { p.GivenUp(at, call) })
			if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil { // half of it
				t.Error(err)
			}
		},
		func(c *platform.Caller, call uint64) {
			if err := c.Cancel(call); err != nil {
				t.Error(err)
			}
		},
	}
	for i, leave := range ways {
		call := uint64(i) + 1
		c := s.dial()
		s.invite(c, call, 1, 2500*time.Millisecond)
		s.until("the first attempt", func() bool { return s.offices[1].SetUps(call) == 1 })
		leave(c, call)
	}
	<-time.After(400 * time.Millisecond) // two release times
	d := s.dial()
	s.invite(d, 100, 1, 2500*time.Millisecond)
	s.await(d, "the answer of the last call", final(100))
	for i := range ways {
		if n := s.offices[1].SetUps(uint64(i) + 1); n != 1 {
			t.Errorf("way %d: %d attempts", i, n)
		}
	}
	s.judge()
}

// Signals come in any order, also before the first list, twice, and together; what was taken is answered and Run ends in time.
func TestSignalsInAnyOrder(t *testing.T) {
	t.Parallel()
	reload, leave := (*Node).Reload, (*Node).Leave
	bad := func(s *harness) {
		if err := os.WriteFile(s.path, []byte(`{"name":"n0","lis`), 0o600); err != nil {
			s.t.Error(err)
		}
	}
	for name, c := range map[string]struct {
		before  func(s *harness)
		signals []func(*Node)
	}{
		"leave at once":             {signals: []func(*Node){leave}},
		"leave twice":               {signals: []func(*Node){leave, leave}},
		"reload, leave":             {signals: []func(*Node){reload, leave}},
		"reload twice, leave":       {signals: []func(*Node){reload, reload, leave}},
		"leave, reload":             {signals: []func(*Node){leave, reload}},
		"half a file, leave":        {before: bad, signals: []func(*Node){reload, leave}},
		"leave with a dead journal": {before: func(s *harness) { s.journal.Hush(true) }, signals: []func(*Node){leave, reload, leave}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand }, func(s *harness) {
				s.set = strings.NewReplacer(`"deadline_ns":3000000000`, `"deadline_ns":300000000`)
			})
			if c.before != nil {
				c.before(s)
			}
			for _, signal := range c.signals {
				signal(s.node)
			}
			kill := time.After(300*time.Millisecond + drainServeTime)
			caller := s.dial()
			s.invite(caller, 1, 1, 300*time.Millisecond)
			if h := s.await(caller, "the answer", final(1)); h.Status != 200 {
				t.Errorf("answered with %d", h.Status)
			}
			select {
			case err := <-s.ended:
				s.ended <- err
				if err != nil {
					t.Error(err)
				}
			case <-kill:
				t.Error("the drain does not end before it may be killed")
			}
			s.judge()
		})
	}
}

// closed counts the connections that the node has ended.
func closed(all []*platform.Caller) (n int) {
	for _, c := range all {
		for open := true; open; {
			select {
			case _, ok := <-c.Heard:
				if open = ok; !ok {
					n++
				}
			default:
				open = false
			}
		}
	}
	return n
}

// The danger: idle clients hold all descriptors while the journal is silent and an office's connections must be opened anew.
func TestIdleClientsLeaveOfficesAndJournalTheirShare(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(call uint64, attempt int) platform.Behavior {
		if attempt == 1 {
			return platform.Drop
		}
		return platform.Stand
	})
	const share = (256 - 24) * 5 / 9
	var idle []*platform.Caller
	<-s.journal.Asked
	s.journal.Hush(true)
	for range 2 * share {
		c := s.dial()
		if err := c.Test(); err != nil {
			t.Fatal(err)
		}
		idle = append(idle, c)
	}
	s.until("the idle clients are within their share", func() bool { return closed(idle) >= share })
	c := s.dial()
	for call := uint64(1); call <= 10; call++ {
		s.invite(c, call, 1+int(call)%2, 2500*time.Millisecond)
		if h := s.await(c, "the answer", final(call)); h.Status != 200 {
			t.Errorf("call %d: %d", call, h.Status)
		}
	}
	<-s.journal.Asked
	s.journal.Hush(false)
	s.judge()
}

// Set-ups come a byte at a time, several in a piece, half and then nothing, half and then an end: the whole ones are answered.
func TestSetUpsInPieces(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand })
	const legs = "dest:1;width:1;via:-1"
	taken := func(calls ...uint64) {
		for _, call := range calls {
			s.env.Judge(func(at time.Duration, p *rulecheck.Platform) { p.Taken(at, call, 2500*time.Millisecond) })
		}
	}
	write := func(c *platform.Caller, text string) {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	slow := s.dial()
	taken(1)
	for _, b := range []byte(platform.Invitation(1, 2500*time.Millisecond, legs)) {
		write(slow, string(b))
	}
	s.await(slow, "the answer to a set-up in bytes", final(1))
	many := s.dial()
	half := platform.Invitation(4, 2500*time.Millisecond, legs)
	taken(2, 3)
	write(many, platform.Invitation(2, 2500*time.Millisecond, legs)+platform.Invitation(3, 2500*time.Millisecond, legs)+half[:len(half)/2])
	for range 2 {
		s.await(many, "the answer to one of several", func(h platform.Heard) bool { return final(2)(h) || final(3)(h) })
	}
	cut := s.dial()
	write(cut, half[:len(half)-1])
	cut.Close()
	for range many.Heard { // until the node has ended it: nothing more came
	}
	if n := s.offices[1].SetUps(4); n != 0 {
		t.Errorf("half a set-up went out %d times", n)
	}
	s.judge()
}

// The danger: a connection that is accepted in the very moment in which a drain ends, and its request, are never seen.
func TestWhatIsAcceptedLastIsAnswered(t *testing.T) {
	t.Parallel()
	p := newPause("draining")
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand }, func(s *harness) {
		s.log = p
		s.set = strings.NewReplacer(`"deadline_ns":3000000000`, `"deadline_ns":300000000`)
	})
	t.Cleanup(func() { close(p.over) })
	s.node.Leave()
	<-p.held
	ends := time.Now().Add(drainServeTime + 50*time.Millisecond)
	p.on.Store("caller's message refused")
	p.free <- struct{}{}
	s.hold(p)
	<-time.After(time.Until(ends))
	c := s.dial()
	s.invite(c, 1, 1, 300*time.Millisecond)
	s.until("the connection is accepted", func() bool { return len(s.node.unhandled) > 0 })
	p.free <- struct{}{}
	s.await(c, "the answer", final(1))
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	s.ended <- nil
	s.judge()
}

// What the journal would have told counts as told 4 s after it fell silent.
func TestTheJournalIsAskedAgainBeforeItsWordCountsAsTold(t *testing.T) {
	if sum := discoveryReadTimeout + minBackoff + discoveryConnectTimeout + discoveryHedgeDelay; sum >= 4*time.Second {
		t.Errorf("a silent journal and one dead connection after it take %v", sum)
	}
	t.Parallel()
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand })
	<-s.journal.Asked
	s.journal.Hush(true)
	quiet := time.Now()
	if pos := <-s.journal.Asked; pos != 1 || time.Since(quiet) >= discoveryReadTimeout+time.Second {
		t.Errorf("asked from %d after %v", pos, time.Since(quiet))
	}
}

// The danger: a journal that answers later than it is asked again would never be heard.
func TestASlowJournalIsHeard(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand })
	<-s.journal.Asked
	slow, err := s.env.NewJournal(s.list(1, true, s.offices...))
	if err != nil {
		t.Fatal(err)
	}
	slow.Fail(platform.JournalFault{Slow: 2 * discoveryHedgeDelay})
	s.write(slow.Addr)
	s.node.Reload()
	<-slow.Asked
	began := time.Now()
	s.offices[1].Member.Phase = feed.Draining
	slow.Tell(s.list(2, false, s.offices[1]))
	s.until("the change is heard", func() bool { return s.node.discoveryPos.Load() == 2 })
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("heard after %v", took)
	}
	s.judge()
}

func TestReleaseThatCrossesTheEndOfAnIdleConnection(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(call uint64, _ int) platform.Behavior {
		if call == 1 {
			return platform.Stand
		}
		return platform.Mute // while an answer is missing, idle connections make room
	}, func(s *harness) { s.offices[1].Hold, s.offices[1].Crosses = 0, true })
	c := s.dial()
	s.invite(c, 1, 1, 3*time.Second)
	s.await(c, "the answer of call 1", func(h platform.Heard) bool { return h.Call == 1 && h.Status == 200 })
	s.invite(c, 2, 1, 3*time.Second)
	s.await(c, "the release of call 1", func(h platform.Heard) bool { return h.Method == "BYE" && h.Call == 1 && h.Status == 0 })
	s.await(c, "the end of call 2", func(h platform.Heard) bool { return h.Call == 2 && h.Status >= 300 })
	s.judge()
}

// What stood before this process began is taken up without an answer, and released at both ends.
func TestCallsThatStandAlready(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand })
	s.offices[1].Take(1, 2)
	c := s.dial()
	for id := uint64(1); id <= 2; id++ {
		if _, err := io.WriteString(c, platform.Invitation(id, time.Second, "dest:1;width:1;via:-1;at:s-a")); err != nil {
			t.Fatal(err)
		}
	}
	s.invite(c, 3, 1, time.Second) // a connection to the office is up once this one stands
	s.await(c, "the answer of call 3, and none before", func(h platform.Heard) bool {
		if h.Call != 3 {
			t.Errorf("call %d, which stands, hears %+v", h.Call, h)
		}
		return h.Status == 200
	})
	s.offices[1].End(1)
	s.await(c, "the release of call 1", func(h platform.Heard) bool { return h.Method == "BYE" && h.Call == 1 && h.Status == 0 })
	if err := c.Bye(2); err != nil {
		t.Fatal(err)
	}
	s.await(c, "that the release of call 2 is heard", func(h platform.Heard) bool { return h.Method == "BYE" && h.Call == 2 && h.Status == 200 })
	s.await(c, "the release of call 3", func(h platform.Heard) bool { return h.Method == "BYE" && h.Call == 3 })
	if n := s.offices[1].Standing(); n != 0 { // call 3 has ended, and the release of call 2 came long before
		t.Errorf("%d calls still stand at the office", n)
	}
	s.judge()
}

// A machine that says nothing any more harms no call to another one; when it is back it gets calls again. And an id that
// is in use is refused to others, and its call untouched.
func TestSilentMachineAndIDsInUse(t *testing.T) {
	t.Parallel()
	var silent atomic.Bool
	silent.Store(true)
	s := newHarness(t, func(call uint64, _ int) platform.Behavior {
		if silent.Load() && call%2 == 0 { // those to s-a
			return platform.Mute
		}
		return platform.Stand
	})
	c := s.dial()
	for id := uint64(1); id <= 20; id++ {
		s.invite(c, id, 2-int(id+1)%2, 1500*time.Millisecond)
	}
	limit := time.Now().Add(time.Second)
	for s.offices[1].SetUps(2) == 0 && time.Now().Before(limit) { // the first call is there
		runtime.Gosched()
	}
	other, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	_ = other.SetDeadline(time.Now().Add(time.Second))
	answer := make([]byte, len("SIP/2.0 482"))
	if _, err = io.WriteString(other, platform.Invitation(2, time.Second, "dest:2;width:1;via:-1")); err == nil {
		_, err = io.ReadFull(other, answer)
	}
	if err != nil || string(answer) != "SIP/2.0 482" {
		t.Errorf("an id in use: %q, %v", answer, err)
	}
	for left := 20; left > 0; {
		h := s.await(c, "the answers", func(h platform.Heard) bool { return h.Method == "INVITE" })
		left--
		if stands := h.Status == 200; stands != (h.Call%2 == 1) {
			t.Errorf("call %d: %d", h.Call, h.Status)
		}
	}
	silent.Store(false)
	limit = time.Now().Add(6 * time.Second)
	for id := uint64(22); ; id += 2 { // a trial finds it, at growing gaps
		s.invite(c, id, 1, time.Second)
		if h := s.await(c, "an answer", final(id)); h.Status == 200 {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("a machine that is back gets no calls")
		}
	}
	s.judge()
}

// The checker finds a node that breaks a rule on the sockets: through settings that are not the platform's, behind relays
// that say things twice, or kept from what was told.
func TestBreachesOfANodeAreFound(t *testing.T) {
	t.Parallel()
	for rule, play := range map[string]struct {
		change func(*harness)
		before func(*harness)
	}{
		"rule 1": {before: func(s *harness) { s.addr = s.relay(s.addr, "", true) }},
		"rule 2": {change: func(s *harness) {
			s.offices[1].Member.Addr = s.relay(s.offices[1].Member.Addr, s.offices[2].Member.Addr, false)
		}},
		"rule 3": {before: func(s *harness) {
			s.env.Judge(func(at time.Duration, p *rulecheck.Platform) { p.Told(at-2*time.Second, "s-a") })
		}},
		"rule 4": {before: func(s *harness) {
			s.env.Judge(func(at time.Duration, p *rulecheck.Platform) {
				p.TipAfter, p.Cold = 3*time.Second, 3
				p.Started(at, "s-a")
			})
		}},
		"rule 5": {change: func(s *harness) { s.set = strings.NewReplacer(`"release_ns":200000000`, `"release_ns":1000000`) }},
	} {
		t.Run(rule, func(t *testing.T) {
			t.Parallel()
			s := newHarness(t, func(call uint64, attempt int) platform.Behavior {
				switch {
				case rule == "rule 2":
					return platform.Mute
				case rule == "rule 5" && attempt == 1:
					return platform.Reset
				}
				return platform.Stand
			}, func(s *harness) {
				if play.change != nil {
					play.change(s)
				}
			})
			if play.before != nil {
				play.before(s)
			}
			c := s.dial()
			for id := uint64(1); id <= 8; id++ {
				s.invite(c, id, 1, time.Second)
			}
			for range 8 {
				s.await(c, "an answer", func(h platform.Heard) bool { return h.Method == "INVITE" })
			}
			limit := time.Now().Add(2 * time.Second)
			for { // what a relay says the second time comes a moment later
				var got []string
				s.env.Judge(func(at time.Duration, p *rulecheck.Platform) { got = p.Breaches(at) })
				if slices.ContainsFunc(got, func(b string) bool { return strings.Contains(b, rule) }) {
					break
				}
				if time.Now().After(limit) {
					t.Fatalf("found %q", got)
				}
				runtime.Gosched()
			}
		})
	}
}

// relay stands before an address.
func (s *harness) relay(addr, also string, twice bool) string {
	s.t.Helper()
	relay, err := s.env.Relay(addr, also, twice)
	if err != nil {
		s.t.Fatal(err)
	}
	return relay
}

// Strangers get a refusal, an error or a close within 3 s, and callers do not notice them.
func TestStrangers(t *testing.T) {
	t.Parallel()
	s := newHarness(t, func(uint64, int) platform.Behavior { return platform.Stand })
	begun := time.Now()
	var strangers []net.Conn
	head := "INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 INVITE\r\nX-Cos: status-check\r\nX-Timer-Ms: 900\r\n"
	for _, text := range []string{"", "\x00\x01\x02\r\n\r\n", head, head + "Content-Length: 60000000\r\n\r\nabc", head + "Content-Length: -1\r\n\r\n",
		head + "Content-Length: 4\r\n\r\nhalf", head + "X-Legs: dest:1e99\r\nContent-Length: 0\r\n\r\n",
		strings.Replace(head, "status-check", "gold", 1) + "Content-Length: 0\r\n\r\n", strings.Replace(head, "900", "NaN", 1) + "Content-Length: 0\r\n\r\n",
		strings.Repeat("x", 40000), "BREW sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 BREW\r\nContent-Length: 0\r\n\r\n"} {
		for range 8 {
			conn, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(begun.Add(3 * time.Second))
			_, _ = io.WriteString(conn, text)
			strangers = append(strangers, conn)
		}
	}
	c := s.dial()
	for id := uint64(1); id <= 50; id++ {
		s.invite(c, id, 1+int(id)%2, 2*time.Second)
	}
	for id := uint64(1); id <= 50; id++ {
		if h := s.await(c, "an answer", func(h platform.Heard) bool { return h.Method == "INVITE" }); h.Status != 200 {
			t.Errorf("call %d: %d", h.Call, h.Status)
		}
	}
	for i, conn := range strangers {
		got, err := io.ReadAll(io.LimitReader(conn, 12))
		if len(got) == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("stranger %d got nothing in 3 s", i)
		}
		if strings.Contains(string(got), " 200") {
			t.Errorf("stranger %d was served", i)
		}
	}
	s.judge()
}

func TestConfigurationFaultsNameFileAndPath(t *testing.T) {
	good := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","journal":"127.0.0.1:1","seed":"8c1f","limits":{"cores":0.25,"memory_mb":64,"sockets":256},`+
		`"known":{"pos":1,"entries":[{"pos":1,"hosts":{"complete":true,"members":[]}}]},"settings":%s}`, settingsText)
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		`"name":"n0"|"name":""`:                       "name: missing",
		`"seed":"8c1f"|"seed":"xyz"`:                  "seed",
		`"seed":"8c1f"|"seed":7`:                      "seed",
		`"journal":"127.0.0.1:1"|"journal":"nowhere"`: "journal",
		`"sockets":256|"sockets":3`:                   "limits.sockets",
		`"cores":0.25|"cores":0`:                      "limits.cores",
		`"known":{|"unknown":{`:                       "known: missing",
		`"pos":1,"hosts"|"pos":0,"hosts"`:             "known.entries.0",
		`"tick_ns":1000000|"tick":1`:                  "tick_ns",
		`"tick_ns":1000000|"tick_ns":"soon"`:          "tick_ns",
		`"worth":1,|"price":1,`:                       "classes.0.worth",
		`"classes":[|"kinds":[`:                       "classes.count",
		`"drain_grace_ns":1000000000,|`:               "rules.drain_grace_ns",
		`{"name"|["name"`:                             "not JSON",
	} {
		from, to, _ := strings.Cut(change, "|")
		text := strings.Replace(good, from, to, 1)
		if text == good {
			t.Fatalf("%q changes nothing", change)
		}
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		var bad *ConfigError
		if !errors.As(err, &bad) || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", change, err)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("a missing file is read")
	}
}
