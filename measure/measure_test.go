package measure

import (
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"finchlatch/logic"
)

var classes = []logic.Class{{Name: "common", Hold: 100 * time.Second, Deadline: 9 * time.Second, Width: 1}, {Name: "wide", Hold: 60 * time.Second, Deadline: 9 * time.Second, Width: 2}}

// fakePolicy is a policy that sends all calls to one office.
type fakePolicy struct {
	logic.Host
	office string // empty: calls are refused
}

func (p *fakePolicy) UpdateOffices(time.Duration, logic.ListKind, []logic.Office) {}
func (p *fakePolicy) Report(time.Duration, logic.Report)                          {}
func (p *fakePolicy) Established(time.Duration, logic.Outcome)                    {}
func (p *fakePolicy) Outcome(_ time.Duration, outcome logic.Outcome) {
	if !outcome.Over && outcome.Status == logic.Full {
		p.Refuse(outcome.Call, 0)
	}
}
func (p *fakePolicy) HungUp(time.Duration, uint64) {}
func (p *fakePolicy) Timer(time.Duration, string)  {}
func (p *fakePolicy) Offered(_ time.Duration, call logic.Call) {
	if p.office == "" {
		p.Refuse(call.ID, 0)
		return
	}
	p.Send(call.ID, p.office, time.Second)
}

// noopHost is a host whose actions do nothing.
type noopHost struct{}

func (noopHost) Send(uint64, string, time.Duration) {}
func (noopHost) Refuse(uint64, time.Duration)       {}
func (noopHost) Fail(uint64)                        {}
func (noopHost) Cancel(uint64, int)                 {}
func (noopHost) Probe(string)                       {}
func (noopHost) SendPeer(int, []byte)               {}
func (noopHost) Timer(time.Duration, string)        {}
func (noopHost) Watch(bool)                         {}
func (noopHost) Log(string)                         {}

var midnight = time.Date(2026, 11, 2, 0, 0, 0, 0, time.UTC)

func newMeter(t *testing.T) (*Meter, *fakePolicy) {
	t.Helper()
	m, policy := New(Settings{Home: 1, Classes: classes}, time.Hour, midnight.Add(9*time.Hour)), &fakePolicy{}
	if _, err := m.Wrap(noopHost{}, func(h logic.Host) (Policy, error) {
		policy.Host = h
		return policy, nil
	}); err != nil {
		t.Fatal(err)
	}
	m.UpdateOffices(time.Hour, logic.ListRestored, []logic.Office{{ID: "a", Exchange: 1}, {ID: "b", Exchange: 2}, {ID: "c", Exchange: 3}})
	m.Report(time.Hour, logic.Report{Office: "b", OK: true, Load: []float64{30, 30}})
	return m, policy
}

const seconds = time.Second

// Checks the counts of a direct call, a two-leg call, a refused call with its redial, and a call in transit: each is counted
// once and in the right place. The usage of a call that goes on into the next interval counts in both intervals.
func TestCounts(t *testing.T) {
	m, policy := newMeter(t)
	at := func(offset time.Duration) time.Duration { return time.Hour + offset }
	policy.office = "b"
	m.Offered(at(10*seconds), logic.Call{ID: 1, Class: 1, Dest: 2, Number: "55021"})
	m.Established(at(11*seconds), logic.Outcome{Call: 1, Office: "b"})
	policy.office = "c"
	m.Offered(at(20*seconds), logic.Call{ID: 2, Dest: 2, Number: "55022"})
	m.Established(at(20*seconds), logic.Outcome{Call: 2, Office: "c"})
	policy.office = ""
	m.Offered(at(30*seconds), logic.Call{ID: 3, Dest: 2, Number: "55023"})
	m.Offered(at(31*seconds), logic.Call{ID: 4, Dest: 2, Number: "55023"}) // the redial
	m.Offered(at(33*seconds), logic.Call{ID: 5, Dest: 2, Number: "55099"}) // another caller
	policy.office = "b"
	m.Offered(at(40*seconds), logic.Call{ID: 6, Dest: 2, Transit: true})
	m.Outcome(at(111*seconds), logic.Outcome{Call: 1, Office: "b", Status: logic.Ended, Over: true})
	m.Outcome(at(140*seconds), logic.Outcome{Call: 6, Office: "b", Status: logic.Full})
	m.Outcome(at(1000*seconds), logic.Outcome{Call: 2, Office: "c", Status: logic.Ended, Over: true})
	got := m.TakeEnded(at(1000 * seconds))
	if len(got) != 1 || got[0].Covered != IntervalLength || !got[0].Start.Equal(midnight.Add(9*time.Hour)) {
		t.Fatalf("%+v", got)
	}
	want := []Count{{Class: 0, To: 2, Tries: 4, Fresh: 3, TwoLeg: 1, Overflow: 3, Lost: 3, Usage: 880, Peak: 3*20 - 1, Peak2: got[0].Counts[0].Peak2},
		{Class: 1, To: 2, Tries: 1, Fresh: 1, Direct: 1, Usage: 100, Ended: 1, Hold: 101, Hold2: 101 * 101}}
	for n := range want { // the fresh calls of a mean hold time, at most three, count in several fine intervals, whatever their peakedness
		count := got[0].Counts[n]
		want[n].Peak, want[n].Burst, want[n].Burst2 = count.Peak, count.Burst, count.Burst2
		if count.Burst < 10 || count.Burst2 < count.Burst || count.Burst2 > 3*count.Burst {
			t.Errorf("bursts %+v", count)
		}
	}
	if !reflect.DeepEqual(got[0].Counts, want) || want[0].Peak < 50 || want[0].Peak > 60 {
		t.Errorf("counts\n%+v, want\n%+v", got[0].Counts, want)
	}
	groups := got[0].Groups
	if len(groups) != 2 || groups[0].To != 2 || groups[0].Usage != 2*101+100 || groups[0].Seized != 3 || groups[0].Circuits != 30 || groups[1].Usage != 880 {
		t.Errorf("groups %+v", groups)
	}
	open := m.Current(at(1000 * seconds))
	if open.Covered != 100*seconds || len(open.Counts) != 1 || open.Counts[0].Usage != 100 || open.Counts[0].Ended != 1 || open.Groups[0].Circuits != 30 {
		t.Errorf("open %+v", open)
	}
}

// Checks that setting the clock ends the interval and marks both parts of it. Router time never jumps.
func TestClockJumps(t *testing.T) {
	m, _ := newMeter(t)
	m.SetClock(time.Hour+100*seconds, midnight.Add(9*time.Hour+101*seconds)) // drift is ignored
	m.SetClock(time.Hour+200*seconds, midnight.Add(12*time.Hour))
	got := append(m.TakeEnded(time.Hour+300*seconds), m.Current(time.Hour+300*seconds))
	if len(got) != 2 || !got[0].Jumped || !got[1].Jumped || got[0].Covered != 200*seconds || got[1].Covered != 100*seconds || got[1].Start.Hour() != 12 {
		t.Errorf("%+v", got)
	}
	m.SetClock(time.Hour+301*seconds, midnight) // the clock is set back
	if x := m.Current(time.Hour + 302*seconds); x.Start.Hour() != 0 || !x.Jumped {
		t.Errorf("%+v", x)
	}
}

// Checks that stored intervals can be read after a crash, the open interval as it was last stored, and that the parts of an
// interval from two runs are merged.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traffic.db")
	store, err := OpenStore(path, 48*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	first := Interval{Home: 1, Start: midnight, Covered: 5 * seconds, Counts: []Count{{To: 2, Tries: 1, Fresh: 1}}, Groups: []Group{{To: 2, Circuits: 9, Least: 9}}}
	replaced := first
	replaced.Covered, replaced.Counts = 10*seconds, []Count{{To: 2, Tries: 3, Fresh: 2}}
	restarted := Interval{Home: 1, Start: midnight, Covered: 20 * seconds, Counts: []Count{{To: 2, Tries: 5, Fresh: 5}, {To: 3, Tries: 1}}, Groups: []Group{{To: 2, Circuits: 8, Least: 4}}}
	for _, put := range []struct {
		run      uint64
		interval Interval
	}{{7, first}, {7, replaced}, {8, restarted}} {
		if err := store.Put(put.run, put.interval); err != nil {
			t.Fatal(err)
		}
	}
	store.Close() // in place of a crash, which does nothing to a file that is synced
	if store, err = OpenStore(path, 48*time.Hour); err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	got, err := store.Read(midnight, midnight.Add(time.Hour))
	if err != nil || len(got) != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	if x := got[0]; x.Covered != 30*seconds || x.Counts[0].Tries != 8 || len(x.Counts) != 2 || x.Groups[0].Circuits != 9 || x.Groups[0].Least != 4 {
		t.Errorf("%+v", x)
	}
	late := first
	late.Start = midnight.Add(72 * time.Hour)
	if err := store.Put(9, late); err != nil {
		t.Fatal(err)
	}
	if got, _ := store.Read(time.Unix(0, 0), midnight.Add(1000*time.Hour)); len(got) != 1 || !got[0].Start.Equal(late.Start) {
		t.Errorf("old intervals are kept: %+v", got)
	}
	if err := os.WriteFile(path+"x", []byte("no store"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenStore(path+"x", 0); err == nil || !strings.Contains(err.Error(), "traffic.dbx") {
		t.Errorf("%v", err)
	}
}

// dailyIntervals returns the intervals of two exchanges over a number of days: busyCalls fresh calls each way in each
// interval of the busy hour, and half of that at other times.
func dailyIntervals(dayCount, busyCalls int) (out []Interval) {
	for day := range dayCount {
		for slot := range slotsPerDay {
			calls := busyCalls / 2
			if slot >= 40 && slot < 44 {
				calls = busyCalls
			}
			for home := 1; home <= 2; home++ {
				out = append(out, Interval{Home: home, Start: midnight.Add(time.Duration(day)*24*time.Hour + time.Duration(slot)*IntervalLength), Covered: IntervalLength, Crowd: 3, CrowdTo: 3 - home,
					Counts: []Count{{To: 3 - home, Tries: calls + 5, Fresh: calls, Ended: calls, Hold: 90 * float64(calls), Hold2: 2 * 8100 * float64(calls)}},
					Groups: []Group{{To: 3 - home, Circuits: 20, Least: 20}}})
			}
		}
	}
	return out
}

// Checks that the busy hour is found over several days, that its traffic is fresh calls times measured hold time, and that
// the traffic from both ends is added up.
func TestBase(t *testing.T) {
	intervals := dailyIntervals(5, 90)
	base, err := Analyzer{Classes: classes}.Base(intervals)
	if err != nil {
		t.Fatal(err)
	}
	if base.From != 10*time.Hour || base.To != 11*time.Hour || base.Slots != 40 || base.Days != 5 || len(base.Left)+len(base.Faults) != 0 {
		t.Errorf("%+v", base)
	}
	if len(base.Daily) != 5 || math.Abs(base.Daily[4][1]-2*90.0/900*90) > 1e-9 {
		t.Errorf("by day %v", base.Daily)
	}
	if len(base.Pairs) != 1 || math.Abs(base.Pairs[0].Loads[0].Erlangs-2*90.0/900*90) > 1e-9 || base.Pairs[0].Today != 20 || base.Hold[0] != 90 || math.Abs(base.HoldVariation[0]-1) > 1e-9 {
		t.Errorf("%+v", base.Pairs)
	}
}

// Checks that mass calling, a lost region, a restart, an outage of an hour and a clock that was set are excluded with their
// reasons, and that the base is the same as without them. Planners may keep or exclude any interval.
func TestLeftOut(t *testing.T) {
	clean, err := Analyzer{Classes: classes}.Base(dailyIntervals(5, 90))
	if err != nil {
		t.Fatal(err)
	}
	intervals := dailyIntervals(5, 90)
	intervalAt := func(day, slot, home int) *Interval { return &intervals[(day*slotsPerDay+slot)*2+home-1] }
	massCalling := intervalAt(1, 41, 1)
	massCalling.Crowd, massCalling.Counts[0].Fresh, massCalling.Counts[0].Tries = 500, 9000, 20000
	intervalAt(2, 42, 2).Groups[0].Least = 5
	intervalAt(3, 40, 1).Covered = 7 * time.Minute
	intervalAt(3, 43, 1).Jumped = true
	down := intervals[:0:0]
	for _, interval := range intervals { // exchange 2 was down for an hour of the last day
		if !(interval.Home == 2 && interval.Start.Equal(midnight.Add(4*24*time.Hour+10*time.Hour))) {
			down = append(down, interval)
		}
	}
	base, err := Analyzer{Classes: classes}.Base(down)
	if err != nil {
		t.Fatal(err)
	}
	if x, y := base.Pairs[0].Loads[0].Erlangs, clean.Pairs[0].Loads[0].Erlangs; math.Abs(x-y) > 1e-9 || len(base.Left) != 4 {
		t.Errorf("%.3f erlangs, %.3f without the events; left %+v", x, y, base.Left)
	}
	reasons := ""
	for _, left := range base.Left {
		reasons += left.Why + "\n"
	}
	for _, want := range []string{"mass calling: 500", "circuits lost: 1 of 1", "only 7m0s of 15m0s", "the clock was set"} {
		if !strings.Contains(reasons, want) {
			t.Errorf("no %q in\n%s", want, reasons)
		}
	}
	day := func(t time.Time) bool { return t.Day() == 3 && t.Hour() == 10 }
	kept, err := Analyzer{Classes: classes, Keep: day}.Base(down)
	if err != nil || kept.Pairs[0].Loads[0].Erlangs < 2*base.Pairs[0].Loads[0].Erlangs {
		t.Errorf("mass calling that planners keep: %+v, %v", kept.Pairs, err)
	}
	without, err := Analyzer{Classes: classes, Exclude: func(t time.Time) bool { return t.Hour() == 10 }}.Base(down)
	if err != nil || without.From == 10*time.Hour {
		t.Errorf("the hour that planners exclude is the base: %v, %v", without.From, err)
	}
}

// Checks that intervals with invalid values are reported, one by one, and not used.
func TestFaults(t *testing.T) {
	for _, change := range []func(i *Interval){
		func(i *Interval) { i.Counts[0].Hold = math.NaN() }, func(i *Interval) { i.Counts[0].Tries = -1 }, func(i *Interval) { i.Counts[0].Fresh = 1 << 50 },
		func(i *Interval) { i.Counts[0].Class = 9 }, func(i *Interval) { i.Counts[0].Usage = math.Inf(1) }, func(i *Interval) { i.Covered = -1 },
		func(i *Interval) { i.Groups[0].Least = 99 }, func(i *Interval) { i.Groups[0].Usage = -3 }, func(i *Interval) { i.Counts[0].Fresh = i.Counts[0].Tries + 1 }} {
		intervals := dailyIntervals(1, 90)
		change(&intervals[80])
		base, err := Analyzer{Classes: classes}.Base(intervals)
		if err != nil || len(base.Faults) != 1 || !strings.HasPrefix(base.Faults[0], "exchange 1, 2026-11-02T10:00:00Z: ") {
			t.Errorf("%v, %v", base.Faults, err)
		}
	}
	if _, err := (Analyzer{Classes: classes}).Base(nil); err == nil {
		t.Error("no error without intervals")
	}
}

// Checks that the advisor reports a group once traffic has outgrown it for half an hour, is silent while traffic varies
// around the target, and withdraws the report when the group is large enough again.
func TestAdvisor(t *testing.T) {
	advisor := &Advisor{Classes: classes, Targets: []float64{0.01, 0.01}}
	advise := func(fresh int) string {
		interval := Interval{Home: 1, Covered: IntervalLength, Counts: []Count{{To: 2, Tries: fresh, Fresh: fresh}}, Groups: []Group{{To: 2, Circuits: 20, Least: 20}}}
		out := advisor.Evaluate(interval)
		if len(out) == 0 {
			return ""
		}
		return out[0].Text
	}
	// 20 circuits carry 12.0 erlangs at 1%: 54 fresh calls of 100 s in a quarter of an hour, both ways alike.
	if advise(70) != "" {
		t.Error("reported after one interval")
	}
	if text := advise(70); !strings.Contains(text, "has 20 circuits, about 25 are needed") {
		t.Errorf("%q", text)
	}
	for _, n := range []int{70, 54, 56, 52, 60, 54} {
		if text := advise(n); text != "" {
			t.Errorf("%d calls: %q", n, text)
		}
	}
	if advise(40) != "" || !strings.Contains(advise(40), "enough again") {
		t.Error("the report is not withdrawn")
	}
	if out := advisor.Evaluate(Interval{Covered: IntervalLength, Jumped: true}); out != nil {
		t.Errorf("%v", out)
	}
}
