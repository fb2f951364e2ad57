package model

import (
	"runtime"
	"testing"
	"time"

	"finchlatch/internal/simenv"
)

// A simulated day of three exchanges uses no more memory at its end than after two hours, with a traffic profile over the
// day.
func TestDayWithoutGrowth(t *testing.T) {
	if testing.Short() {
		t.Skip("plays a day")
	}
	settings := newSettings(3, 0.25, 8)
	settings.PlannedRate = 30
	settings.Traffic = Traffic{Spread: 0.5, Shift: 10 * time.Minute, Profile: []float64{0.2, 0.1, 0.3, 1, 1.5, 1.2, 1, 0.5}}
	byHour := make([]int, 25)
	settings.OnDone = func(o simenv.Outcome) { byHour[min(24, int((o.StartedAt-startTime-startUpTime)/time.Hour))]++ }
	f, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range f.nodes {
		n.callers.Start()
	}
	f.runUntil(f.now + 2*time.Hour)
	early := heap()
	f.runUntil(f.now + 22*time.Hour)
	late := heap()
	if late > 1.25*early+1<<20 {
		t.Errorf("%.1f MB after two hours, %.1f MB after a day", early/1e6, late/1e6)
	}
	if byHour[3]*3 > byHour[12] || byHour[12] < 500 {
		t.Errorf("callers by the hour %v: the profile has 0.1 at 3 h and 1.5 at 12 h", byHour)
	}
	if err := f.CheckCircuitAccounting(); err != nil {
		t.Error(err)
	}
	t.Logf("%d events, heap %.1f and %.1f MB", f.Events(), early/1e6, late/1e6)
}

// The two ends of a group with one circuit seize it repeatedly in the same event or while the other end's IAM is in transit:
// no rule is violated, all circuits are free at the end, and dual seizures did happen.
func TestBothEndsAtOnce(t *testing.T) {
	settings := newSettings(2, 60, 9)
	settings.GroupSize, settings.NoServiceTimes = 1, true
	v, f, _ := playAndCheck(t, settings, simenv.Script{Len: span(20)})
	if len(v.Violations) > 0 || v.DualSeizures < 10 {
		t.Errorf("%d dual seizures, violations %v", v.DualSeizures, v.Violations)
	}
	if err := f.CheckIdle(); err != nil {
		t.Error(err)
	}
}

// Many Routers whose timers expire in the same tick, since all were started at the same time, give the same run twice.
func TestTimersAtOneTick(t *testing.T) {
	events := func() (uint64, int) {
		settings := newSettings(48, 24, 10)
		f, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.Play(simenv.Script{Len: span(11)}, time.Second); err != nil { // two periods of the decision module
			t.Fatal(err)
		}
		return f.Events(), len(f.Results())
	}
	a, n := events()
	if b, m := events(); a != b || n != m || n < 100 {
		t.Errorf("%d and %d events, %d and %d callers", a, b, n, m)
	}
}

// Routers restart while calls are established: afterwards their own circuits are free, and so are the circuits of their
// peers toward them.
func TestRestartWithCalls(t *testing.T) {
	settings := newSettings(4, 60, 12)
	settings.Classes[0].Hold = 5 * time.Second
	script := simenv.Script{Len: span(4), Steps: []simenv.Step{{Kind: "restart", At: span(2), Len: span(0.5), Part: 1}}}
	v, f, _ := playAndCheck(t, settings, script)
	if len(v.Violations) > 0 || v.Calls < 150 {
		t.Errorf("%d calls, violations %v", v.Calls, v.Violations)
	}
	dropped := 0
	for _, o := range f.Results() {
		if o.Dropped {
			dropped++
		}
	}
	if err := f.CheckIdle(); err != nil || dropped == 0 {
		t.Errorf("%v; %d calls dropped", err, dropped)
	}
}

// Invalid settings and unknown kinds of fault are refused with an error.
func TestInvalidSettings(t *testing.T) {
	for _, change := range []func(*Settings){func(s *Settings) { s.Exchanges = 1 }, func(s *Settings) { s.Exchanges = 1 << 20 },
		func(s *Settings) { s.Rate = 0 }, func(s *Settings) { s.Classes[0].Width = 99 },
		func(s *Settings) { s.Classes[1].Category = s.Classes[0].Category }} {
		settings := newSettings(3, 10, 1)
		change(&settings)
		if _, err := New(settings); err == nil {
			t.Errorf("no error for %+v", settings)
		}
	}
	f, err := New(newSettings(3, 10, 1))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Play(simenv.Script{Len: span(1), Steps: []simenv.Step{{Kind: "fire"}}}, 0); err == nil {
		t.Error("an unknown kind of fault was played")
	}
}
