package logic

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func TestNewNamesTheBadSetting(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"Host": func(s *Settings) { s.Host = nil }, "Classes": func(s *Settings) { s.Classes = nil },
		"Release": func(s *Settings) { s.Release = -1 }, "ColdFrom": func(s *Settings) { s.ColdFrom = 1.5 },
		"Overload": func(s *Settings) { s.Overload = -1 }, "MaxAttempts": func(s *Settings) { s.MaxAttempts = -1 },
	} {
		s := testSettings()
		s.Host = newChecker(s)
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestNewRejectsAbsurdClasses(t *testing.T) {
	for name, spoil := range map[string]func(*Class){
		"NaN worth": func(k *Class) { k.Worth = math.NaN() }, "infinite worth": func(k *Class) { k.Worth = math.Inf(1) },
		"negative worth": func(k *Class) { k.Worth = -1 }, "late share": func(k *Class) { k.LateShare = 1.5 },
		"NaN share": func(k *Class) { k.LateShare = math.NaN() }, "hold": func(k *Class) { k.Hold = -1 },
	} {
		s := testSettings()
		s.Host = newChecker(s)
		spoil(&s.Classes[1])
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), "Classes") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Guards against groups that are absent, empty or unknown, and numbers of instances that do not fit the list.
func TestPairsWithoutAGroup(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"as listed": func(s *Settings) {}, "one instance": func(s *Settings) { s.Instances = 1 },
		"none": func(s *Settings) { s.Instances = 0 },
	} {
		s := testSettings()
		change(&s)
		h := newChecker(s)
		s.Host = h
		c, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		for x := 0; x < 6; x++ {
			id := fmt.Sprint("o", x)
			h.office[id] = &watchedOffice{exchange: x, stopped: -1, coldSince: -1}
			c.List(h.now, ListUpdate, []Office{{ID: id, Exchange: x}})
		}
		c.Report(h.now, Report{Office: "o1", OK: true, Load: []float64{0, 0, -1}})
		c.Report(h.now, Report{Office: "o2", OK: true, Load: []float64{5, 9, -1}}) // the others stay unknown
		for id := uint64(1); id < 60; id++ {
			dest, left := int(id%8), time.Duration(int64(id)-5)*50*time.Millisecond
			h.calls[id] = &watched{dest: dest, due: h.now + max(left, 0)}
			c.Offered(h.now, Call{ID: id, Dest: dest, Via: int(id%9) - 1, TimeLeft: left, Number: fmt.Sprint(id)})
			if id%10 == 0 {
				h.now += 5 * time.Second
				c.Timer(h.now, "p")
			}
			for n := range h.calls {
				if k := h.calls[n]; !k.out && !k.over {
					k.due = max(k.due, h.now)
					c.Timer(h.now+10*time.Second, fmt.Sprint("c", n))
				}
			}
		}
		for n, k := range h.calls {
			if !k.out && !k.over {
				t.Errorf("%s: call %d has no answer", name, n)
			}
		}
		for _, p := range h.problems {
			t.Errorf("%s: %s", name, p)
		}
	}
}

// quietBed has no random events; calls are placed by hand.
func quietBed(t *testing.T, change func(*Settings)) *bed {
	s := testSettings()
	if change != nil {
		change(&s)
	}
	return newBed(t, s, 1)
}

func (b *bed) call(class, dest int, number string) string {
	b.next++
	b.h.calls[b.next] = &watched{dest: dest, due: b.h.now + 3*time.Second}
	from := len(b.h.acts)
	b.c.Offered(b.h.now, Call{ID: b.next, Class: class, Dest: dest, Via: -1, TimeLeft: 3 * time.Second, Number: number})
	first := func() string {
		for _, a := range b.h.acts[from:] {
			if !strings.HasPrefix(a, "log") {
				return strings.Fields(a)[0] + " " + strings.TrimPrefix(b.h.calls[b.next].office, "o")
			}
		}
		return ""
	}
	if mark := fmt.Sprint("c", b.next); first() == "" { // it waits: until its time is over
		for _, tm := range b.h.timers {
			if tm.mark == mark {
				b.h.now = tm.at
			}
		}
		b.c.Timer(b.h.now, mark)
	}
	return first()
}

func (b *bed) stand(id uint64) {
	k := b.h.calls[id]
	k.stands = true
	b.c.Stands(b.h.now, Outcome{Call: id, Attempt: k.attempts - 1, Office: k.office, Took: 50 * time.Millisecond})
}

func (b *bed) fails(id uint64, s Status, note int) {
	k := b.h.calls[id]
	k.out = false
	b.c.Outcome(b.h.now, Outcome{Call: id, Attempt: k.attempts - 1, Office: k.office, Status: s, Note: note,
		Took: b.h.now})
}

func TestReserveIsClosedToOthers(t *testing.T) {
	b := quietBed(t, nil)
	e := b.c.exchange(1, false)
	e.reserve, e.direct = 3, 0
	b.report("o1", 3)
	for x := 2; x < 6; x++ {
		b.report(fmt.Sprintf("o%d", x), 0)
	}
	if got := b.call(0, 1, "x"); got != "refuse " {
		t.Errorf("common call: %q", got)
	}
	if got := b.call(1, 1, "y"); got != "send 1" {
		t.Errorf("worthiest call: %q", got)
	}
}

func TestDirectPartIsClosedToTwoLegCallsOnly(t *testing.T) {
	b := quietBed(t, nil)
	e := b.c.exchange(1, false)
	e.direct = 4
	b.report("o1", 4)
	k := &call{Call: Call{Width: 1}, dest: e}
	if b.c.fits(e, k, true) || !b.c.fits(e, k, false) {
		t.Error("four free of a direct part of four: two-leg calls must stay out, direct ones go in")
	}
}

// Guards against redials past their aim: they take circuits from calls that would stand in time.
func TestLateRedialIsLowest(t *testing.T) {
	b := quietBed(t, nil)
	for x := 1; x < 6; x++ {
		b.report(fmt.Sprintf("o%d", x), 0)
	}
	if got := b.call(0, 1, "n"); got != "refuse " {
		t.Fatalf("no circuits: %q", got)
	}
	b.h.now += 1100 * time.Millisecond
	b.report("o1", 4)
	b.c.exchange(1, false).direct = 4
	if got := b.call(0, 1, "n"); got != "refuse " {
		t.Errorf("redial past its aim: %q", got)
	}
	if got := b.call(0, 1, "m"); got != "send 1" {
		t.Errorf("fresh call: %q", got)
	}
	if got := b.c.exchange(1, false).counts[0][0]; got != 2 {
		t.Errorf("%v fresh calls counted, want 2", got)
	}
}

// Guards against calls and circuits piling up behind an exchange that answers nothing.
func TestSilentExchangeGetsSingleTrials(t *testing.T) {
	b := quietBed(t, nil)
	b.call(0, 1, "a")
	b.h.now += 700 * time.Millisecond
	sent := 0
	for i := 0; i < 400; i++ {
		b.h.now += 10 * time.Millisecond
		if b.call(0, 1, fmt.Sprint("s", i)) == "send 1" {
			sent++
		}
	}
	if sent < 1 || sent > 4 {
		t.Errorf("%d calls at risk in 4 s of silence, want 1 to 4", sent)
	}
	b.stand(b.h.out[len(b.h.out)-1])
	if b.c.exchange(1, false).silent {
		t.Error("still taken for silent after an answer")
	}
}

func TestTurnBacksQuietenATandem(t *testing.T) {
	b := quietBed(t, nil)
	b.report("o1", 0)
	tries := 0
	for i := 0; i < 400; i++ {
		if strings.HasPrefix(b.call(0, 1, fmt.Sprint(i)), "send") {
			for tries++; b.h.calls[b.next].out; tries++ {
				b.fails(b.next, Full, NoteTurnedBack)
			}
		}
	}
	if tries == 0 || tries > 200 {
		t.Errorf("%d tandem tries in 400 blocked calls that are all turned back", tries)
	}
}

func TestUnsafeCallIsNotRefusedOnceItMayHaveRun(t *testing.T) {
	b := quietBed(t, func(s *Settings) { s.Classes[0].Safe = false })
	b.call(0, 1, "a")
	b.fails(1, Faulted, 0)
	if last := b.h.acts[len(b.h.acts)-1]; last != "fail 1" {
		t.Errorf("last action %q", last)
	}
}

func TestBusyNumberIsTriedOneAtATime(t *testing.T) {
	b := quietBed(t, nil)
	b.call(0, 1, "hot")
	b.fails(1, Faulted, NoteBusy)
	if got := b.call(0, 1, "hot"); got != "refuse " {
		t.Errorf("second call at once: %q", got)
	}
	if got := b.call(0, 1, "cool"); got != "send 1" {
		t.Errorf("another number: %q", got)
	}
}

func TestPoolsTakeTheSecondChoice(t *testing.T) {
	b := quietBed(t, func(s *Settings) { s.Pools, s.Home = true, -1; s.Classes[0].Pools = []int{1, 3} })
	b.report("o1", 0)
	for i := 0; i < 50; i++ {
		if got := b.call(0, 1, fmt.Sprint(i)); got != "send 3" && got != "refuse " {
			t.Fatalf("call went %q", got)
		}
	}
	if b.c.exchange(3, false).used[2] == 0 {
		t.Error("the second choice took nothing")
	}
}

func TestOddSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no reports":   func(s *Settings) { s.ReportFields = nil },
		"zero release": func(s *Settings) { s.Release = 0 },
		"too wide":     func(s *Settings) { s.Classes[0].Width = 40 },
		"zero holds":   func(s *Settings) { s.Classes[0].Hold, s.Classes[1].Hold = 0, 0 },
		"no worth":     func(s *Settings) { s.Classes[0].Worth, s.Classes[1].Worth = 0, 0 },
		"no cold rule": func(s *Settings) { s.ColdFor, s.TipAfter = 0, 0 },
	} {
		b := quietBed(t, change)
		for i := 0; i < 3000; i++ {
			b.step()
		}
		for _, p := range b.h.problems {
			if !strings.Contains(p, "cold") {
				t.Errorf("%s: %s", name, p)
				break
			}
		}
	}
	if got := quietBed(t, nil).call(5, 1, "x"); got != "refuse " {
		t.Errorf("unknown class: %q", got)
	}
}

func TestAbsurdReportsAreUnknown(t *testing.T) {
	b := quietBed(t, nil)
	e := b.c.exchange(1, false)
	b.c.Report(0, Report{Office: "o1", OK: true, Load: []float64{-1, -1, -1}})
	b.c.Report(0, Report{Office: "o1", OK: true, Load: []float64{1e300, 1e300, 7}})
	if e.free != 30 || e.total != 30 || e.eps != 0 {
		t.Errorf("free %d total %d eps %v", e.free, e.total, e.eps)
	}
}

// Guards against a herd of calls toward an office that is down while the list still names it.
// Its trials come as fast as the traffic is: a second is nothing to a class of one aim and an outage to another.
func TestNoConnectionLeavesSingleTrials(t *testing.T) {
	for _, aim := range []time.Duration{0, time.Second, 200 * time.Millisecond} {
		b := quietBed(t, func(s *Settings) { s.Classes[0].Aim, s.Classes[1].Aim = aim, aim })
		aim = cmp.Or(aim, time.Second) // none set
		gap := time.Duration(firstTrial * float64(aim))
		b.call(0, 1, "a")
		b.fails(1, NoConnect, 0)
		b.h.now += gap - 10*time.Millisecond
		if got := b.call(0, 1, "b"); got != "refuse " {
			t.Errorf("aim %v: soon after a failed connection: %q", aim, got)
		}
		b.h.now += 20 * time.Millisecond
		if got := b.call(0, 1, "c"); got != "send 1" {
			t.Errorf("aim %v: trial after %v: %q", aim, gap, got)
		}
	}
}

// A delay learnt from a queue is forgotten as fast as callers are impatient.
func TestDelaysFadeWithTheAims(t *testing.T) {
	for _, aim := range []time.Duration{0, time.Second, 200 * time.Millisecond} {
		b := quietBed(t, func(s *Settings) { s.Classes[0].Aim, s.Classes[1].Aim = aim, aim })
		e, full := b.c.exchange(1, false), time.Second
		e.delay, e.delayAt = full, b.c.now
		if d := b.c.delayOf(e); d != full {
			t.Errorf("aim %v: %v at once", aim, d)
		}
		b.c.now += time.Duration(fadePart * float64(cmp.Or(aim, time.Second)))
		if d := b.c.delayOf(e); d != full/2 {
			t.Errorf("aim %v: %v after a half-life", aim, d)
		}
	}
}

// Guards against shedding that outlives the jam: one call at a time finds out.
func TestPressedExchangeIsTriedOneAtATime(t *testing.T) {
	b := quietBed(t, nil)
	e := b.c.exchange(1, false)
	b.c.observe(e, 3*time.Second, false)
	if got := b.call(0, 1, "a"); got != "send 1" {
		t.Errorf("first call: %q", got)
	}
	if got := b.call(0, 1, "b"); got != "refuse " {
		t.Errorf("second call: %q", got)
	}
}

// Guards against callers who come back only when their aim is past.
func TestAdvisedWaitLeavesTheAim(t *testing.T) {
	for _, class := range []int{0, 1} {
		b := quietBed(t, func(s *Settings) { s.MaxWait = 2 * time.Second })
		for x := 1; x < 6; x++ {
			b.report(fmt.Sprintf("o%d", x), 0)
		}
		b.call(class, 1, "a")
		if aim := b.h.set.Classes[class].Aim; b.h.wait <= 0 || b.h.wait > aim/2 {
			t.Errorf("class %d: advised wait %v, aim %v", class, b.h.wait, aim)
		}
	}
}

// Guards against a reserve sized as if short calls of the worthiest class held circuits as long as the others.
func TestShortHoldsNeedLessReserve(t *testing.T) {
	reserve := func(hold time.Duration) int {
		b := quietBed(t, func(s *Settings) { s.Classes[1].Hold = hold })
		e := b.c.exchange(1, false)
		e.counts[0][0], e.counts[0][1] = 60, 24
		b.c.counts[0][0], b.c.counts[0][1] = 300, 120
		b.h.now = b.c.birth + window
		b.c.now = b.h.now
		b.c.rescore(e)
		return e.reserve
	}
	if long, short := reserve(10*time.Second), reserve(3*time.Second); short >= long || short == 0 {
		t.Errorf("reserve %d with short holds, %d with long ones", short, long)
	}
}

// Guards against advice lost in the draw of a large fleet, and against a centre that is wrong for long.
func TestAdvisedTandemGoesFirstWhileItStands(t *testing.T) {
	b := quietBed(t, nil)
	b.report("o1", 0)
	tries := func(end func(id uint64)) (n int) {
		for i := 0; i < 100; i++ {
			b.next++
			b.h.calls[b.next] = &watched{dest: 1, due: b.h.now + 3*time.Second}
			b.c.Offered(b.h.now, Call{ID: b.next, Dest: 1, Via: 3, TimeLeft: 3 * time.Second, Number: fmt.Sprint(b.next)})
			if k := b.h.calls[b.next]; k.out && k.office == "o3" {
				n++
			}
			for b.h.calls[b.next].out && !b.h.calls[b.next].stands {
				end(b.next)
			}
		}
		return n
	}
	if n := tries(b.stand); n < 15 {
		t.Errorf("advised tandem first in %d of the calls that find room there", n)
	}
	b.report("o3", 30)
	tries(func(id uint64) { b.fails(id, Full, NoteTurnedBack) })
	if b.c.trust > 0.1 {
		t.Errorf("trust %v after 100 turn-backs", b.c.trust)
	}
}

// Guards against splits that jump on the noise of a handful of calls: in a thin group the two calls that came
// are weighed against what all groups saw, in a thick one its own counts decide.
func TestThinGroupsPoolTheirCounts(t *testing.T) {
	b := quietBed(t, nil)
	thin, thick := b.c.exchange(1, false), b.c.exchange(2, false)
	b.c.circuits += 3 - thin.total
	thin.total, thin.free = 3, 1
	b.h.now = b.c.birth + window
	b.c.now = b.h.now
	b.c.counts[0][0], b.c.counts[0][1] = 180, 20
	thin.counts[0][1] = 2 // both of the worthiest class
	if l := b.c.loads(thin); l[0].erlangs >= l[1].erlangs {
		t.Errorf("thin group: worthiest %.2f, others %.2f", l[0].erlangs, l[1].erlangs)
	}
	thick.counts[0][1] = 60
	if l := b.c.loads(thick); l[0].erlangs < 5*l[1].erlangs {
		t.Errorf("thick group: worthiest %.2f, others %.2f", l[0].erlangs, l[1].erlangs)
	}
}

// Guards against equal buckets: 90 call servers with less than a call each in the whole cold span would send
// nothing for seconds, and then all at once. Together they use the budget early and stay under it.
func TestColdBudgetOfManyCallServers(t *testing.T) {
	const servers = 90
	for _, tt := range []struct {
		demand float64 // calls a second of each call server
		least  float64 // part of the budget used in the first TipAfter
	}{{0.1, 0.05}, {50, 0.5}} {
		sent, budget := 0, 0.0
		for i := 0; i < servers; i++ {
			s := testSettings()
			s.Me, s.Instances, s.ColdFor, s.Host = i, servers, time.Minute, newChecker(s)
			c, err := New(s, int64(i))
			if err != nil {
				t.Fatal(err)
			}
			c.circuits = 150
			e := c.exchange(1, true)
			e.total = 2 // of them
			c.now = time.Second
			c.chill(e, c.now)
			budget = c.share(e) * servers
			for ; c.now < time.Second+s.TipAfter; c.now += 20 * time.Millisecond {
				if c.rng.Float64() < tt.demand*0.02 && c.warm(e) {
					e.tokens--
					sent++
				}
			}
		}
		if part := float64(sent) / budget; part < tt.least || part > 1 {
			t.Errorf("demand %v: %.2f of the budget used in the first window", tt.demand, part)
		}
	}
}

// coldFleet is call servers of very unequal size around one cold exchange, each with its own group toward it.
type coldFleet struct {
	t       *testing.T
	all     []*Controller
	size    []float64
	started time.Duration
	budget  float64 // what all of them may send within TipAfter while it is coldest
	sends   []time.Duration
}

// newColdFleet makes call servers of whose circuits the largest has ten times as many as the smallest; the cold
// exchange is as small as the smallest. Groups are as traffic is: by the sizes of both ends.
func newColdFleet(t *testing.T, servers int) *coldFleet {
	f := &coldFleet{t: t, size: make([]float64, servers), started: time.Minute}
	sum := 0.0
	for i := range f.size {
		f.size[i] = 68 * math.Pow(10, float64(i)/float64(servers-1))
		sum += f.size[i]
	}
	circuits := 0
	for i := range f.size {
		g := max(1, int(f.size[i]*f.size[0]/sum+0.5))
		circuits += g
		f.all = append(f.all, f.born(i, g, f.started))
	}
	c := f.all[0]
	f.budget = c.set.Overload * c.set.ColdFrom * headroom * float64(circuits) / (c.meanHold().Seconds() * c.meanWidth()) *
		c.set.TipAfter.Seconds()
	return f
}

// born makes a call server that hears of the cold exchange now.
func (f *coldFleet) born(i, group int, now time.Duration) *Controller {
	s := testSettings()
	s.Me, s.Instances, s.ColdFor, s.Host = i, len(f.size), 15*time.Second, newChecker(s)
	c, err := New(s, int64(i)+int64(now))
	if err != nil {
		f.t.Fatal(err)
	}
	c.circuits = int(f.size[i])
	e := c.exchange(1, true)
	e.total, c.now = group, now
	c.chill(e, f.started)
	return c
}

// play has calls for the cold exchange come at a rate in each call server, from a time after its start on; allow is the
// rule under test.
func (f *coldFleet) play(from, until time.Duration, rate float64, allow func(*Controller, *exchange) bool) {
	const step = 20 * time.Millisecond
	for now := f.started + from; now < f.started+until; now += step {
		for _, c := range f.all {
			c.now = now
			if e := c.exchange(1, false); c.rng.Float64() < rate*step.Seconds() && allow(c, e) {
				e.tokens--
				f.sends = append(f.sends, now)
			}
		}
	}
}

// worst is the most that was sent within TipAfter beside what a cold exchange bears then: its budget N and, by chance,
// twice the root of N and two more.
func (f *coldFleet) worst() (part float64, sent int) {
	s := f.all[0].set
	for last, first := 0, 0; last < len(f.sends); last++ {
		for f.sends[last]-f.sends[first] >= s.TipAfter {
			first++
		}
		age := float64(f.sends[last] - f.started)
		n := f.budget * (s.ColdFrom + (1-s.ColdFrom)*math.Min(1, age/float64(s.ColdFor))) / s.ColdFrom
		if p := float64(last-first+1) / (n + 2*math.Sqrt(n) + 2); p > part {
			part, sent = p, last-first+1
		}
	}
	return part, sent
}

// Guards against a cold exchange that falls under what all call servers send together, each of which keeps to a share of
// under one call: whenever they are wanted all at once, after any silence, and when most of them start anew.
func TestColdBudgetOfAFleet(t *testing.T) {
	ready := func(c *Controller, e *exchange) bool { return c.warm(e) }
	saved := func(c *Controller, e *exchange) bool { // the breach: each holds a whole call when all are wanted
		if c.now-e.tokensAt < c.set.TipAfter {
			return false
		}
		e.tokens, e.tokensAt = 1, c.now
		return true
	}
	for _, servers := range []int{30, 48, 90} {
		for _, silence := range []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second} {
			f := newColdFleet(t, servers)
			f.play(silence, 10*time.Second, 20, ready)
			part, sent := f.worst()
			t.Logf("%d call servers, wanted after %v: %d sent in a window, %.2f of what it bears, %d in all, budget %.1f", servers, silence, sent, part, len(f.sends), f.budget)
			if part > 1 {
				t.Errorf("%d call servers, all wanted after %v: %d sent, %.2f of what it bears", servers, silence, sent, part)
			} else if float64(len(f.sends)) < 0.3*f.budget {
				t.Errorf("%d call servers, all wanted after %v: only %d sent, budget %.1f", servers, silence, len(f.sends), f.budget)
			}
		}
		f := newColdFleet(t, servers)
		f.play(0, 2*time.Second, 20, ready)
		for i := range f.all {
			if i%10 < 7 {
				f.all[i] = f.born(i, f.all[i].exchange(1, false).total, f.started+2*time.Second)
			}
		}
		f.play(2*time.Second, 10*time.Second, 20, ready)
		if part, sent := f.worst(); part > 1 {
			t.Errorf("%d call servers, seven in ten started anew: %d sent, %.2f of what it bears", servers, sent, part)
		}
	}
	for _, servers := range []int{48, 90} {
		f := newColdFleet(t, servers)
		f.play(3*time.Second, 6*time.Second, 20, saved)
		if part, sent := f.worst(); part <= 1 {
			t.Errorf("the check does not find %d call servers that save up a call each: %d sent, %.2f", servers, sent, part)
		}
	}
}

// Guards against refusing for want of a circuit that frees in a moment, and against a second attempt for a call
// that waited, was sent by its timer and then timed out: it must leave the queue before the group is told free.
func TestBlockedCallWaitsForItsGroup(t *testing.T) {
	b := quietBed(t, nil)
	for x := 1; x < 6; x++ {
		b.report(fmt.Sprintf("o%d", x), 0)
	}
	for id := uint64(1); id < 4; id++ {
		b.h.calls[id] = &watched{dest: 1, due: b.h.now + 3*time.Second}
		b.c.Offered(b.h.now, Call{ID: id, Dest: 1, Via: -1, TimeLeft: 3 * time.Second, Number: fmt.Sprint(id)})
	}
	b.h.now += 100 * time.Millisecond
	b.report("o1", 1)
	if !b.h.calls[1].out || b.h.calls[2].out || b.h.calls[2].over {
		t.Fatal("one circuit freed: the first call takes it, the others wait")
	}
	b.stand(1)
	b.c.exchange(1, false).free = 1 // as the timer finds it
	b.h.now += 650 * time.Millisecond
	b.c.Timer(b.h.now, "c2")
	b.c.Timer(b.h.now, "c3")
	if !b.h.calls[2].out || !b.h.calls[3].over {
		t.Fatal("at the end of the wait: one is sent, the other refused")
	}
	k := b.h.calls[2]
	k.out, k.notBefore = false, b.h.now+b.h.set.Release
	b.c.Outcome(b.h.now, Outcome{Call: 2, Office: "o1", Status: TimedOut, Load: []float64{5, 30, -1}})
	if k.attempts != 1 || k.over || len(b.h.problems) > 0 {
		t.Errorf("%d attempts, over %v, %v", k.attempts, k.over, b.h.problems)
	}
}

// Guards against a call server that stood still and takes its own pause for the silence or the delay of others.
func TestOwnPauseIsNotOthersSilence(t *testing.T) {
	b := quietBed(t, nil)
	b.call(0, 1, "a")
	b.call(0, 2, "b")
	b.h.now += 2 * time.Second // nothing came meanwhile: then all comes at once
	if got := b.call(0, 3, "c"); got != "send 3" {
		t.Errorf("call after the pause: %q", got)
	}
	if b.c.quiet(b.c.exchange(1, false)) {
		t.Error("an exchange is taken for silent before its answers are read")
	}
	b.c.Stands(b.h.now, Outcome{Call: 1, Office: "o1", Took: 2 * time.Second})
	if d := b.c.delayOf(b.c.exchange(1, false)); d > 100*time.Millisecond {
		t.Errorf("delay %v learnt from an answer that waited here", d)
	}
	b.h.now += 700 * time.Millisecond
	b.c.Timer(b.h.now, "none")
	b.h.now += 5 * time.Millisecond
	b.c.Timer(b.h.now, "none")
	if !b.c.quiet(b.c.exchange(2, false)) {
		t.Error("an exchange that answers nothing while others are heard is not taken for silent")
	}
}

// Guards against shedding everything because some exchanges are dead: once they are known to be silent, their
// time-outs are not the own delay.
func TestDeadExchangesDoNotPressOthers(t *testing.T) {
	b := quietBed(t, nil)
	var dead []uint64
	for x := 1; x < 4; x++ {
		b.call(0, x, fmt.Sprint("dead", x))
		dead = append(dead, b.next)
	}
	for i := 0; i < 4; i++ {
		b.h.now += 300 * time.Millisecond
		b.c.Timer(b.h.now, "none")
	}
	for x := 1; x < 4; x++ {
		b.c.quiet(b.c.exchange(x, false)) // as the next call to it finds
	}
	b.call(0, 4, "fine")
	b.stand(b.next)
	b.call(0, 4, "open")
	for _, id := range dead {
		k := b.h.calls[id]
		k.out = false
		b.c.Outcome(b.h.now, Outcome{Call: id, Attempt: k.attempts - 1, Office: k.office, Status: TimedOut, Took: 4 * time.Second})
	}
	if got := b.call(0, 5, "other"); got != "send 5" {
		t.Errorf("call to a live exchange: %q, own delay %v", got, b.c.ownDelay())
	}
}

// Guards against one trial an exchange where the own processor is slow: among many exchanges that sheds nothing.
func TestSlowOwnProcessorTriesOneInAll(t *testing.T) {
	b := quietBed(t, nil)
	for i := 0; i < 40; i++ {
		b.c.observe(b.c.exchange(1+i%5, false), 2*time.Second, true)
	}
	for _, e := range b.c.exchanges {
		e.delay = 0 // seen long ago, as in a large fleet
	}
	if got := b.call(0, 1, "a"); got != "send 1" {
		t.Errorf("first call: %q", got)
	}
	if got := b.call(0, 2, "b"); got != "refuse " {
		t.Errorf("call to another exchange meanwhile: %q", got)
	}
}

// Guards against a cold budget spent on calls of others: a cold exchange is no tandem.
func TestColdExchangeIsNoTandem(t *testing.T) {
	b := quietBed(t, nil)
	e, k := b.c.exchange(2, false), &call{Call: Call{Width: 1, Dest: 1}, dest: b.c.exchange(1, false)}
	if !b.c.usable(e, k) {
		t.Fatal("a warm exchange with room is a tandem")
	}
	b.c.chill(e, b.h.now)
	e.tokens = 5
	if b.c.usable(e, k) {
		t.Error("a cold exchange with budget left is used as a tandem")
	}
}

// Guards against Controllers that share memory through the slices of their settings.
func TestSettingsAreCopied(t *testing.T) {
	s := testSettings()
	s.Classes = append(make([]Class, 0, 8), s.Classes...)
	s.Classes[0].Pools = []int{1, 2}
	s.Host = newChecker(s)
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	d, _ := New(s, 2)
	for _, x := range []*Controller{c, d} {
		e := x.exchange(1, true)
		e.total, x.circuits, x.counts[0][0], x.now = 10, 10, 20, time.Minute
		x.rescore(e)
	}
	if spare := s.Classes[:3][2]; spare.Worth != 0 || spare.Width != 0 {
		t.Errorf("written into the caller's slice: %+v", spare)
	}
	s.Classes[0].Worth, s.Classes[0].Pools[0] = 99, 99
	if c.set.Classes[0].Worth == 99 || c.set.Classes[0].Pools[0] == 99 {
		t.Error("the Controller sees what the caller writes later")
	}
}

// Guards against one lost answer that is taken for a queue or for silence: calls to its exchange were all turned away
// until the attempt's time was over. It is called off once later ones have passed it, and tried again.
func TestOneLostAnswerPressesNobody(t *testing.T) {
	b := quietBed(t, func(s *Settings) { s.CanCancel = true })
	b.call(0, 1, "lost")
	lost := b.next
	for i := range 20 {
		b.h.now += 100 * time.Millisecond
		if got := b.call(0, 1, fmt.Sprint("n", i)); got != "send 1" {
			t.Fatalf("call %d behind a lost answer: %q", i, got)
		}
		b.h.now += 20 * time.Millisecond
		b.stand(b.next)
	}
	e := b.c.exchange(1, false)
	if d := b.c.delayOf(e); d > 100*time.Millisecond || b.c.quiet(e) {
		t.Errorf("delay %v, silent %v", d, e.silent)
	}
	cancels := 0
	for _, a := range b.h.acts {
		if strings.HasPrefix(a, fmt.Sprintf("cancel %d", lost)) {
			cancels++
		}
	}
	if cancels != 1 {
		t.Errorf("the overtaken attempt was called off %d times", cancels)
	}
	b.fails(lost, Cancelled, 0)
	b.h.now += b.c.set.Release + 2*time.Millisecond
	b.c.Timer(b.h.now, fmt.Sprint("c", lost))
	if k := b.h.calls[lost]; k.attempts != 2 || !k.out {
		t.Errorf("the call was not tried again: %+v", k)
	}
}

// Guards against a second without calls for one lost answer, where the group was full and nothing could pass it.
func TestOneLostAnswerIsNoSilence(t *testing.T) {
	for lost := 1; lost <= 2; lost++ { // two are a silence: a trial after a second
		b := quietBed(t, nil)
		for i := range lost {
			if got := b.call(0, 1, fmt.Sprint("lost", i)); got != "send 1" {
				t.Fatalf("call %d: %q", i, got)
			}
		}
		b.report("o1", 0)
		b.h.now += b.c.patience(b.c.exchange(1, false)) + 10*time.Millisecond
		b.report("o1", 5)
		b.h.now += 10 * time.Millisecond
		if got := b.call(1, 1, "next"); (got == "send 1") != (lost == 1) {
			t.Errorf("%d answers missing: %q", lost, got)
		}
	}
}

// A list that goes on naming new offices must not grow without end.
func TestGoneOfficesAreForgotten(t *testing.T) {
	b := quietBed(t, nil)
	known := len(b.c.offices)
	for i := range 50 {
		b.h.now += 6 * time.Second
		b.c.List(b.h.now, ListUpdate, []Office{{ID: fmt.Sprint("new", i), Exchange: 1}})
		b.c.List(b.h.now, ListUpdate, []Office{{ID: fmt.Sprint("new", i), Exchange: 1, State: Gone}})
		b.c.Timer(b.h.now, "p")
	}
	if n, m := len(b.c.offices), len(b.c.exchange(1, false).offices); n != known || m != 1 {
		t.Errorf("%d offices are kept, %d of them at one exchange", n, m)
	}
}

// Guards against exchanges that fail most set-ups quickly: a fault strikes one attempt and spares the next.
func TestFaultsAreTriedAgainWhileSomeStand(t *testing.T) {
	b := quietBed(t, nil)
	b.call(0, 1, "a")
	b.fails(b.next, Faulted, 0)
	if k := b.h.calls[b.next]; k.attempts != 2 || !k.out {
		t.Fatalf("after one fault: %+v", k)
	}
	b.fails(b.next, Faulted, NoteBusy) // that is no fault
	if k := b.h.calls[b.next]; k.attempts != 2 || !k.over {
		t.Fatalf("a busy number is tried again: %+v", k)
	}
	attempts := 0
	for i := range 40 {
		b.h.now += 100 * time.Millisecond
		b.report("o1", 20)
		b.call(0, 1, fmt.Sprint("n", i))
		for b.h.calls[b.next].out {
			b.fails(b.next, Faulted, 0)
		}
		attempts = b.h.calls[b.next].attempts
	}
	if attempts != 1 {
		t.Errorf("%d attempts a call where nothing stands", attempts)
	}
}

// Guards against running out of attempts at an exchange that fails most of them: the call server of a tandem has tries
// of its own, and uses them.
func TestFaultsLeadOverATandemThatTriesAgain(t *testing.T) {
	b := quietBed(t, nil)
	for i := range 10 {
		b.h.now += time.Second
		b.call(0, 1, fmt.Sprint("n", i))
		k := b.h.calls[b.next]
		for k.out {
			if over := k.office != "o1"; over != (k.attempts > nearFaults) {
				t.Fatalf("attempt %d went to %s", k.attempts, k.office)
			}
			b.fails(b.next, Faulted, 0)
		}
		if k.attempts != b.c.set.MaxAttempts {
			t.Fatalf("%d attempts", k.attempts)
		}
		b.call(0, 1, fmt.Sprint("good", i))
		b.stand(b.next)
	}
	b.next++
	b.report("o1", 30)
	k := &watched{dest: 1, transit: true, due: b.h.now + time.Second}
	b.h.calls[b.next] = k
	b.c.Offered(b.h.now, Call{ID: b.next, Dest: 1, Transit: true, Via: -1, TimeLeft: time.Second})
	b.fails(b.next, Faulted, 0)
	if !k.out || k.attempts != 2 || k.office != "o1" {
		t.Errorf("a call in transit after a fault: %+v", k)
	}
	for _, p := range b.h.problems {
		t.Error(p)
	}
}

// Guards against turning away all who call the own exchange from here, while the call server of theirs is away.
func TestOwnExchangeIsReachedOverATandem(t *testing.T) {
	b := quietBed(t, nil)
	for x := 3; x < 6; x++ { // two tandems are left, and each is looked at by chance
		b.c.List(b.h.now, ListUpdate, []Office{{ID: fmt.Sprint("o", x), Exchange: x, State: Gone}})
	}
	over := 0
	for i := range 20 {
		switch got := b.call(0, 0, fmt.Sprint("own", i)); {
		case got == "send 0":
			t.Fatal("a call went straight to the own exchange")
		case strings.HasPrefix(got, "send "):
			over++
			b.stand(b.next)
		}
	}
	if over < 18 {
		t.Errorf("%d of 20 went over a tandem", over)
	}
	for _, p := range b.h.problems {
		t.Error(p)
	}
	b.c.Offered(b.h.now, Call{ID: 999, Dest: 0, Transit: true, Via: -1, TimeLeft: time.Second})
	if a := b.h.acts[len(b.h.acts)-1]; !strings.HasPrefix(a, "refuse 999") {
		t.Errorf("a call in transit to the own exchange: %q", a)
	}
}
