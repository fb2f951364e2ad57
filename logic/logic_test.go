package logic

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestNewNamesTheBadSetting(t *testing.T) {
	for name, breakSetting := range map[string]func(*Settings){
		"Host": func(settings *Settings) { settings.Host = nil }, "Classes": func(settings *Settings) { settings.Classes = nil },
		"Release":     func(settings *Settings) { settings.Release = -1 },
		"ColdFrom":    func(settings *Settings) { settings.ColdFrom = 1.5 },
		"Overload":    func(settings *Settings) { settings.Overload = -1 },
		"MaxAttempts": func(settings *Settings) { settings.MaxAttempts = -1 },
	} {
		settings := testSettings()
		settings.Host = newRuleChecker(settings)
		breakSetting(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestNewRejectsInvalidClasses(t *testing.T) {
	for name, breakClass := range map[string]func(*Class){
		"NaN worth":      func(class *Class) { class.Worth = math.NaN() },
		"infinite worth": func(class *Class) { class.Worth = math.Inf(1) },
		"negative worth": func(class *Class) { class.Worth = -1 }, "late share": func(class *Class) { class.LateShare = 1.5 },
		"NaN share": func(class *Class) { class.LateShare = math.NaN() }, "hold": func(class *Class) { class.Hold = -1 },
	} {
		settings := testSettings()
		settings.Host = newRuleChecker(settings)
		breakClass(&settings.Classes[1])
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), "Classes") {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// Guards against failures with groups that are absent, empty or unknown, and with a number of instances that differs from
// the number of offices listed.
func TestGroupsAbsentEmptyOrUnknown(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"as listed": func(settings *Settings) {}, "one instance": func(settings *Settings) { settings.Instances = 1 },
		"none": func(settings *Settings) { settings.Instances = 0 },
	} {
		settings := testSettings()
		change(&settings)
		checker := newRuleChecker(settings)
		settings.Host = checker
		c, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		for number := 0; number < 6; number++ {
			id := fmt.Sprint("o", number)
			checker.offices[id] = &checkedOffice{exchange: number, stoppedAt: -1, coldSince: -1}
			c.UpdateOffices(checker.now, ListUpdate, []Office{{ID: id, Exchange: number}})
		}
		c.Report(checker.now, Report{Office: "o1", OK: true, Load: []float64{0, 0, -1}})
		c.Report(checker.now, Report{Office: "o2", OK: true, Load: []float64{5, 9, -1}}) // the others stay unknown
		for id := uint64(1); id < 60; id++ {
			dest, timeLeft := int(id%8), time.Duration(int64(id)-5)*50*time.Millisecond
			checker.calls[id] = &checkedCall{dest: dest, answerBy: checker.now + max(timeLeft, 0)}
			c.Offered(checker.now, Call{ID: id, Dest: dest, Via: int(id%9) - 1, TimeLeft: timeLeft, Number: fmt.Sprint(id)})
			if id%10 == 0 {
				checker.now += 5 * time.Second
				c.Timer(checker.now, "p")
			}
			for id := range checker.calls {
				if call := checker.calls[id]; !call.attemptOpen && !call.finalAnswerGiven {
					call.answerBy = max(call.answerBy, checker.now)
					c.Timer(checker.now+10*time.Second, fmt.Sprint("c", id))
				}
			}
		}
		for id, call := range checker.calls {
			if !call.attemptOpen && !call.finalAnswerGiven {
				t.Errorf("%s: call %d has no answer", name, id)
			}
		}
		for _, violation := range checker.violations {
			t.Errorf("%s: %s", name, violation)
		}
	}
}

// newManualFixture makes a fixture for tests that offer and end each call themselves.
func newManualFixture(t *testing.T, change func(*Settings)) *fixture {
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	return newFixture(t, settings, 1)
}

// offerAndAwait offers a call and returns the first action for it, a blank and the exchange it was sent to, as in "send 1". A
// call that is not sent has no exchange, so that its result ends with the blank, as in "refuse ". If the call waits for a
// circuit, the time moves on to the end of the wait.
func (f *fixture) offerAndAwait(class, dest int, number string) string {
	f.lastID++
	f.host.calls[f.lastID] = &checkedCall{dest: dest, answerBy: f.host.now + 3*time.Second}
	from := len(f.host.actions)
	f.controller.Offered(f.host.now, Call{ID: f.lastID, Class: class, Dest: dest, Via: -1, TimeLeft: 3 * time.Second,
		Number: number})
	firstAction := func() string {
		for _, action := range f.host.actions[from:] {
			if !strings.HasPrefix(action, "log") {
				return strings.Fields(action)[0] + " " + strings.TrimPrefix(f.host.calls[f.lastID].office, "o")
			}
		}
		return ""
	}
	if mark := fmt.Sprint("c", f.lastID); firstAction() == "" { // it waits for a circuit
		for _, request := range f.host.timers {
			if request.mark == mark {
				f.host.now = request.at
			}
		}
		f.controller.Timer(f.host.now, mark)
	}
	return firstAction()
}

// establish answers the open attempt of a call.
func (f *fixture) establish(id uint64) {
	call := f.host.calls[id]
	call.established = true
	f.controller.Established(f.host.now, Outcome{Call: id, Attempt: call.attempts - 1, Office: call.office,
		Elapsed: 50 * time.Millisecond})
}

// endAttempt ends the open attempt of a call. It reports the attempt as sent at the origin of time.
func (f *fixture) endAttempt(id uint64, status Status, note int) {
	call := f.host.calls[id]
	call.attemptOpen = false
	f.controller.Outcome(f.host.now, Outcome{Call: id, Attempt: call.attempts - 1, Office: call.office, Status: status, Note: note,
		Elapsed: f.host.now})
}

func TestReserveIsClosedToOthers(t *testing.T) {
	f := newManualFixture(t, nil)
	exchange := f.controller.exchangeByNumber(1, false)
	exchange.reserved, exchange.directOnly = 3, 0
	f.report("o1", 3)
	for number := 2; number < 6; number++ {
		f.report(fmt.Sprintf("o%d", number), 0)
	}
	if got := f.offerAndAwait(0, 1, "x"); got != "refuse " {
		t.Errorf("common call: %q", got)
	}
	if got := f.offerAndAwait(1, 1, "y"); got != "send 1" {
		t.Errorf("worthiest call: %q", got)
	}
}

func TestDirectOnlyCircuitsAreClosedToLowestPriorityOnly(t *testing.T) {
	f := newManualFixture(t, nil)
	exchange := f.controller.exchangeByNumber(1, false)
	exchange.directOnly = 4
	f.report("o1", 4)
	call := &callRecord{Call: Call{Width: 1}, dest: exchange}
	if f.controller.hasRoom(exchange, call, true) || !f.controller.hasRoom(exchange, call, false) {
		t.Error("four direct-only circuits free: they must be closed to calls of the lowest priority and open to others")
	}
}

// Guards against redials past their aim that take circuits from calls which would be established in time.
func TestLateRedialHasLowestPriority(t *testing.T) {
	f := newManualFixture(t, nil)
	for number := 1; number < 6; number++ {
		f.report(fmt.Sprintf("o%d", number), 0)
	}
	if got := f.offerAndAwait(0, 1, "n"); got != "refuse " {
		t.Fatalf("no circuits: %q", got)
	}
	f.host.now += 1100 * time.Millisecond
	f.report("o1", 4)
	f.controller.exchangeByNumber(1, false).directOnly = 4
	if got := f.offerAndAwait(0, 1, "n"); got != "refuse " {
		t.Errorf("redial past its aim: %q", got)
	}
	if got := f.offerAndAwait(0, 1, "m"); got != "send 1" {
		t.Errorf("fresh call: %q", got)
	}
	if got := f.controller.exchangeByNumber(1, false).groupOffered[0][0]; got != 2 {
		t.Errorf("%v fresh calls counted, want 2", got)
	}
}

// Guards against calls and circuits piling up behind an exchange that doesn't answer.
func TestUnresponsiveExchangeGetsSingleTrials(t *testing.T) {
	f := newManualFixture(t, nil)
	f.offerAndAwait(0, 1, "a")
	f.host.now += 700 * time.Millisecond
	sent := 0
	for i := 0; i < 400; i++ {
		f.host.now += 10 * time.Millisecond
		if f.offerAndAwait(0, 1, fmt.Sprint("s", i)) == "send 1" {
			sent++
		}
	}
	if sent < 1 || sent > 4 {
		t.Errorf("%d trial attempts in 4 s without an answer, want 1 to 4", sent)
	}
	f.establish(f.host.openAttempts[len(f.host.openAttempts)-1])
	if f.controller.exchangeByNumber(1, false).unresponsive {
		t.Error("still unresponsive after an answer")
	}
}

func TestTurnBacksLowerTheTandemWeight(t *testing.T) {
	f := newManualFixture(t, nil)
	f.report("o1", 0)
	attempts := 0
	for i := 0; i < 400; i++ {
		if strings.HasPrefix(f.offerAndAwait(0, 1, fmt.Sprint(i)), "send") {
			for attempts++; f.host.calls[f.lastID].attemptOpen; attempts++ {
				f.endAttempt(f.lastID, Full, NoteTurnedBack)
			}
		}
	}
	if attempts == 0 || attempts > 200 {
		t.Errorf("%d attempts over tandems for 400 blocked calls that are all sent back", attempts)
	}
}

func TestUnsafeCallIsNotRefusedOnceItMayHaveTakenEffect(t *testing.T) {
	f := newManualFixture(t, func(settings *Settings) { settings.Classes[0].SafeToRepeat = false })
	f.offerAndAwait(0, 1, "a")
	f.endAttempt(1, Faulted, 0)
	if last := f.host.actions[len(f.host.actions)-1]; last != "fail 1" {
		t.Errorf("last action %q", last)
	}
}

func TestBusyNumberIsRefusedDuringItsBackoff(t *testing.T) {
	f := newManualFixture(t, nil)
	f.offerAndAwait(0, 1, "hot")
	f.endAttempt(1, Faulted, NoteBusy)
	if got := f.offerAndAwait(0, 1, "hot"); got != "refuse " {
		t.Errorf("second call, within the backoff: %q", got)
	}
	if got := f.offerAndAwait(0, 1, "cool"); got != "send 1" {
		t.Errorf("another number: %q", got)
	}
}

func TestPoolsTakeTheSecondChoice(t *testing.T) {
	f := newManualFixture(t, func(settings *Settings) {
		settings.Pools, settings.Home = true, -1
		settings.Classes[0].Pools = []int{1, 3}
	})
	f.report("o1", 0)
	for i := 0; i < 50; i++ {
		if got := f.offerAndAwait(0, 1, fmt.Sprint(i)); got != "send 3" && got != "refuse " {
			t.Fatalf("call went %q", got)
		}
	}
	if f.controller.exchangeByNumber(3, false).localInUseByClass[2] == 0 {
		t.Error("the second choice took nothing")
	}
}

func TestUnusualSettingsBreakNoRule(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no reports":   func(settings *Settings) { settings.ReportFields = nil },
		"zero release": func(settings *Settings) { settings.Release = 0 },
		"too wide":     func(settings *Settings) { settings.Classes[0].Width = 40 },
		"zero holds":   func(settings *Settings) { settings.Classes[0].Hold, settings.Classes[1].Hold = 0, 0 },
		"no worth":     func(settings *Settings) { settings.Classes[0].Worth, settings.Classes[1].Worth = 0, 0 },
		"no cold rule": func(settings *Settings) { settings.ColdFor, settings.TipAfter = 0, 0 },
	} {
		f := newManualFixture(t, change)
		for i := 0; i < 3000; i++ {
			f.step()
		}
		for _, violation := range f.host.violations {
			if !strings.Contains(violation, "cold") {
				t.Errorf("%s: %s", name, violation)
				break
			}
		}
	}
	if got := newManualFixture(t, nil).offerAndAwait(5, 1, "x"); got != "refuse " {
		t.Errorf("unknown class: %q", got)
	}
}

// Rule 5 across calls that exchanges can't tell apart: the release time follows the last attempt of the earlier one. A call that is
// in transit or has no time for it is refused.
func TestReleaseTimeOfAnEarlierCall(t *testing.T) {
	const releasedBefore = 50 * time.Millisecond
	for name, tt := range map[string]struct {
		call Call
		want string
	}{
		"waits":       {Call{TimeLeft: 3 * time.Second}, "send"},
		"in transit":  {Call{TimeLeft: 3 * time.Second, Transit: true}, "refuse"},
		"no time":     {Call{TimeLeft: 100 * time.Millisecond}, "refuse"},
		"long before": {Call{TimeLeft: 3 * time.Second, ReleasedAt: time.Nanosecond}, "send"},
	} {
		f := newManualFixture(t, nil)
		f.host.now = time.Second
		offeredAt, call := f.host.now, tt.call
		call.ID, call.Dest, call.Via, call.Number = 1, 1, -1, "x"
		if call.ReleasedAt == 0 {
			call.ReleasedAt = offeredAt - releasedBefore
		}
		releaseTimeEnd := call.ReleasedAt + f.controller.settings.Release
		f.host.calls[1] = &checkedCall{dest: 1, answerBy: offeredAt + call.TimeLeft}
		f.controller.Offered(offeredAt, call)
		for _, request := range slices.Clone(f.host.timers) {
			if request.mark == "c1" && request.at < offeredAt+time.Second {
				f.host.now = request.at
				f.controller.Timer(f.host.now, request.mark)
			}
		}
		if len(f.host.actions) == 0 || !strings.HasPrefix(f.host.actions[0], tt.want) {
			t.Errorf("%s: actions %q, not %q first", name, f.host.actions, tt.want)
		}
		if sentAt := f.host.now; tt.want == "send" && sentAt < releaseTimeEnd {
			t.Errorf("%s: sent %v before the end of the release time", name, releaseTimeEnd-sentAt)
		}
	}
}

func TestInvalidReportValuesAreIgnored(t *testing.T) {
	f := newManualFixture(t, nil)
	exchange := f.controller.exchangeByNumber(1, false)
	f.controller.Report(0, Report{Office: "o1", OK: true, Load: []float64{-1, -1, -1}})
	f.controller.Report(0, Report{Office: "o1", OK: true, Load: []float64{1e300, 1e300, 7}})
	if exchange.free != 30 || exchange.total != 30 || exchange.reduction != 0 {
		t.Errorf("free %d total %d reduction %v", exchange.free, exchange.total, exchange.reduction)
	}
}

// Guards against many calls being sent to an office that is down while service discovery still lists it. The interval
// between trial attempts must be a multiple of the shortest aim: an outage of one second is long for calls with an aim of
// 200 ms and short for calls with an aim of several seconds.
func TestFailedConnectionLeavesOnlyTrialAttempts(t *testing.T) {
	for _, aim := range []time.Duration{0, time.Second, 200 * time.Millisecond} {
		f := newManualFixture(t, func(settings *Settings) { settings.Classes[0].Aim, settings.Classes[1].Aim = aim, aim })
		aim = cmp.Or(aim, time.Second) // the default, where the settings give none
		interval := time.Duration(firstTrialFactor * float64(aim))
		f.offerAndAwait(0, 1, "a")
		f.endAttempt(1, NoConnect, 0)
		f.host.now += interval - 10*time.Millisecond
		if got := f.offerAndAwait(0, 1, "b"); got != "refuse " {
			t.Errorf("aim %v: soon after a failed connection: %q", aim, got)
		}
		f.host.now += 20 * time.Millisecond
		if got := f.offerAndAwait(0, 1, "c"); got != "send 1" {
			t.Errorf("aim %v: trial after %v: %q", aim, interval, got)
		}
	}
}

// A measured delay decays with a half-life that follows the shortest aim.
func TestDelayHalfLifeFollowsTheAims(t *testing.T) {
	for _, aim := range []time.Duration{0, time.Second, 200 * time.Millisecond} {
		f := newManualFixture(t, func(settings *Settings) { settings.Classes[0].Aim, settings.Classes[1].Aim = aim, aim })
		exchange, full := f.controller.exchangeByNumber(1, false), time.Second
		exchange.setUpDelay, exchange.setUpDelayAt = full, f.controller.now
		if delay := f.controller.expectedDelay(exchange); delay != full {
			t.Errorf("aim %v: %v at once", aim, delay)
		}
		f.controller.now += time.Duration(delayHalfLifeFactor * float64(cmp.Or(aim, time.Second)))
		if delay := f.controller.expectedDelay(exchange); delay != full/2 {
			t.Errorf("aim %v: %v after a half-life", aim, delay)
		}
	}
}

// Guards against load shedding that outlasts the overload: one call at a time must be let through to notice its end.
func TestSlowExchangeIsTriedOneAtATime(t *testing.T) {
	f := newManualFixture(t, nil)
	exchange := f.controller.exchangeByNumber(1, false)
	f.controller.recordSetUpDelay(exchange, 3*time.Second, false)
	if got := f.offerAndAwait(0, 1, "a"); got != "send 1" {
		t.Errorf("first call: %q", got)
	}
	if got := f.offerAndAwait(0, 1, "b"); got != "refuse " {
		t.Errorf("second call: %q", got)
	}
}

// Guards against a retry-after so long that callers redial only when their aim is past.
func TestRetryAfterIsShorterThanTheAim(t *testing.T) {
	for _, class := range []int{0, 1} {
		f := newManualFixture(t, func(settings *Settings) { settings.MaxWait = 2 * time.Second })
		for number := 1; number < 6; number++ {
			f.report(fmt.Sprintf("o%d", number), 0)
		}
		f.offerAndAwait(class, 1, "a")
		if aim := f.host.settings.Classes[class].Aim; f.host.lastRetryAfter <= 0 || f.host.lastRetryAfter > aim/2 {
			t.Errorf("class %d: retry-after %v, aim %v", class, f.host.lastRetryAfter, aim)
		}
	}
}

// Guards against reserving too many circuits where calls of the worthiest class hold them for a shorter time than others.
func TestShortHoldsNeedLessReserve(t *testing.T) {
	reservedFor := func(hold time.Duration) int {
		f := newManualFixture(t, func(settings *Settings) { settings.Classes[1].Hold = hold })
		exchange := f.controller.exchangeByNumber(1, false)
		exchange.groupOffered[0][0], exchange.groupOffered[0][1] = 60, 24
		f.controller.totalOffered[0][0], f.controller.totalOffered[0][1] = 300, 120
		f.host.now = f.controller.startedAt + countWindow
		f.controller.now = f.host.now
		f.controller.updatePartition(exchange)
		return exchange.reserved
	}
	if long, short := reservedFor(10*time.Second), reservedFor(3*time.Second); short >= long || short == 0 {
		t.Errorf("%d circuits reserved with short holds, %d with long ones", short, long)
	}
}

// Guards against advised tandems that are hardly used in a large fleet, and against following advice that fails again and
// again.
func TestAdvisedTandemGoesFirstWhileItSucceeds(t *testing.T) {
	f := newManualFixture(t, nil)
	f.report("o1", 0)
	advisedCount := func(endCall func(id uint64)) (count int) {
		for i := 0; i < 100; i++ {
			f.lastID++
			f.host.calls[f.lastID] = &checkedCall{dest: 1, answerBy: f.host.now + 3*time.Second}
			f.controller.Offered(f.host.now, Call{ID: f.lastID, Dest: 1, Via: 3, TimeLeft: 3 * time.Second,
				Number: fmt.Sprint(f.lastID)})
			if call := f.host.calls[f.lastID]; call.attemptOpen && call.office == "o3" {
				count++
			}
			for f.host.calls[f.lastID].attemptOpen && !f.host.calls[f.lastID].established {
				endCall(f.lastID)
			}
		}
		return count
	}
	if count := advisedCount(f.establish); count < 15 {
		t.Errorf("%d of 100 calls were sent to the advised tandem first, want 15 or more", count)
	}
	f.report("o3", 30)
	advisedCount(func(id uint64) { f.endAttempt(id, Full, NoteTurnedBack) })
	if f.controller.adviceSuccessRate > 0.1 {
		t.Errorf("success rate of advice %v after 100 calls were sent back", f.controller.adviceSuccessRate)
	}
}

// Guards against partitions that follow the noise of a few calls: in a small group two calls are weighted against the
// traffic mix of all groups, in a large one its own counts decide.
func TestSmallGroupsUseTheCountsOfAllGroups(t *testing.T) {
	f := newManualFixture(t, nil)
	small, large := f.controller.exchangeByNumber(1, false), f.controller.exchangeByNumber(2, false)
	f.controller.totalCircuits += 3 - small.total
	small.total, small.free = 3, 1
	f.host.now = f.controller.startedAt + countWindow
	f.controller.now = f.host.now
	f.controller.totalOffered[0][0], f.controller.totalOffered[0][1] = 180, 20
	small.groupOffered[0][1] = 2 // both of the worthiest class
	if loads := f.controller.offeredLoads(small); loads[0].erlangs >= loads[1].erlangs {
		t.Errorf("small group: worthiest %.2f, others %.2f", loads[0].erlangs, loads[1].erlangs)
	}
	large.groupOffered[0][1] = 60
	if loads := f.controller.offeredLoads(large); loads[0].erlangs < 5*loads[1].erlangs {
		t.Errorf("large group: worthiest %.2f, others %.2f", loads[0].erlangs, loads[1].erlangs)
	}
}

// Guards against slow-start budgets that accrue in step: 90 call servers, each with a budget of less than one call, would
// send nothing for seconds and then all at once. Together they must use the budget early and not exceed it.
func TestSlowStartBudgetOfManyCallServers(t *testing.T) {
	const servers = 90
	for _, tt := range []struct {
		demand float64 // calls per second of each call server
		least  float64 // least share of the budget used in the first TipAfter
	}{{0.1, 0.05}, {50, 0.5}} {
		sent, budget := 0, 0.0
		for i := 0; i < servers; i++ {
			settings := testSettings()
			settings.Me, settings.Instances, settings.ColdFor, settings.Host = i, servers, time.Minute, newRuleChecker(settings)
			c, err := New(settings, int64(i))
			if err != nil {
				t.Fatal(err)
			}
			c.totalCircuits = 150
			exchange := c.exchangeByNumber(1, true)
			exchange.total = 2 // of the 150
			c.now = time.Second
			c.startSlowStart(exchange, c.now)
			budget = c.slowStartBudget(exchange) * servers
			for ; c.now < time.Second+settings.TipAfter; c.now += 20 * time.Millisecond {
				if c.rng.Float64() < tt.demand*0.02 && c.slowStartAllows(exchange) {
					exchange.tokens--
					sent++
				}
			}
		}
		if share := float64(sent) / budget; share < tt.least || share > 1 {
			t.Errorf("demand %v: %.2f of the budget used in the first window", tt.demand, share)
		}
	}
}

// slowStartFleet is a set of call servers of very different sizes, each with a trunk group toward the same cold exchange.
type slowStartFleet struct {
	t           *testing.T
	controllers []*Controller
	sizes       []float64       // circuits of each call server
	started     time.Duration   // start of the exchange
	budget      float64         // attempts that all together may send in the first TipAfter
	sentAt      []time.Duration // times of the attempts sent
}

// newSlowStartFleet makes call servers of which the largest has ten times as many circuits as the smallest. The cold
// exchange is as small as the smallest. Trunk groups are proportional to the sizes of both ends.
func newSlowStartFleet(t *testing.T, servers int) *slowStartFleet {
	f := &slowStartFleet{t: t, sizes: make([]float64, servers), started: time.Minute}
	sum := 0.0
	for i := range f.sizes {
		f.sizes[i] = 68 * math.Pow(10, float64(i)/float64(servers-1))
		sum += f.sizes[i]
	}
	circuits := 0
	for i := range f.sizes {
		group := max(1, int(f.sizes[i]*f.sizes[0]/sum+0.5))
		circuits += group
		f.controllers = append(f.controllers, f.newController(i, group, f.started))
	}
	c := f.controllers[0]
	f.budget = c.settings.Overload * c.settings.ColdFrom * processorHeadroom * float64(circuits) /
		(c.meanHold().Seconds() * c.meanWidth()) * c.settings.TipAfter.Seconds()
	return f
}

// newController makes a call server that learns now that the exchange has started.
func (f *slowStartFleet) newController(number, group int, now time.Duration) *Controller {
	settings := testSettings()
	settings.Me, settings.Instances, settings.ColdFor, settings.Host = number, len(f.sizes), 15*time.Second,
		newRuleChecker(settings)
	c, err := New(settings, int64(number)+int64(now))
	if err != nil {
		f.t.Fatal(err)
	}
	c.totalCircuits = int(f.sizes[number])
	exchange := c.exchangeByNumber(1, true)
	exchange.total, c.now = group, now
	c.startSlowStart(exchange, f.started)
	return c
}

// run offers calls for the cold exchange to each call server, rate per second, between two times after its start; allow is
// the rule under test.
func (f *slowStartFleet) run(from, until time.Duration, rate float64, allow func(*Controller, *exchangeRecord) bool) {
	const step = 20 * time.Millisecond
	for now := f.started + from; now < f.started+until; now += step {
		for _, c := range f.controllers {
			c.now = now
			if exchange := c.exchangeByNumber(1, false); c.rng.Float64() < rate*step.Seconds() && allow(c, exchange) {
				exchange.tokens--
				f.sentAt = append(f.sentAt, now)
			}
		}
	}
}

// maxWindowLoad finds the window of TipAfter in which the attempts sent are the greatest share of those allowed, and returns
// that share and their number. Allowed are the N attempts that the exchange can take at the end of the window, and
// 2*sqrt(N) + 2 more for random variation.
func (f *slowStartFleet) maxWindowLoad() (share float64, sent int) {
	settings := f.controllers[0].settings
	for latest, first := 0, 0; latest < len(f.sentAt); latest++ {
		for f.sentAt[latest]-f.sentAt[first] >= settings.TipAfter {
			first++
		}
		age := float64(f.sentAt[latest] - f.started)
		allowed := f.budget * (settings.ColdFrom + (1-settings.ColdFrom)*math.Min(1, age/float64(settings.ColdFor))) /
			settings.ColdFrom
		if windowShare := float64(latest-first+1) / (allowed + 2*math.Sqrt(allowed) + 2); windowShare > share {
			share, sent = windowShare, latest-first+1
		}
	}
	return share, sent
}

// Guards against a cold exchange that fails under what all call servers send together although each keeps to its share of
// less than one call: when all have calls for it at once, after any time without calls, and when most of them restart.
func TestSlowStartBudgetOfAFleet(t *testing.T) {
	withinBudget := func(c *Controller, exchange *exchangeRecord) bool { return c.slowStartAllows(exchange) }
	// The faulty rule, which the test must find: each call server saves up a whole call.
	saveWholeCall := func(c *Controller, exchange *exchangeRecord) bool {
		if c.now-exchange.tokensAt < c.settings.TipAfter {
			return false
		}
		exchange.tokens, exchange.tokensAt = 1, c.now
		return true
	}
	for _, servers := range []int{30, 48, 90} {
		for _, silence := range []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second} {
			f := newSlowStartFleet(t, servers)
			f.run(silence, 10*time.Second, 20, withinBudget)
			share, sent := f.maxWindowLoad()
			t.Logf("%d call servers, first calls after %v: %d sent in a window, %.2f of the capacity, %d in all, budget %.1f",
				servers, silence, sent, share, len(f.sentAt), f.budget)
			if share > 1 {
				t.Errorf("%d call servers, first calls after %v: %d sent, %.2f of the capacity", servers, silence, sent, share)
			} else if float64(len(f.sentAt)) < 0.3*f.budget {
				t.Errorf("%d call servers, first calls after %v: only %d sent, budget %.1f", servers, silence, len(f.sentAt), f.budget)
			}
		}
		f := newSlowStartFleet(t, servers)
		f.run(0, 2*time.Second, 20, withinBudget)
		for i := range f.controllers {
			if i%10 < 7 {
				f.controllers[i] = f.newController(i, f.controllers[i].exchangeByNumber(1, false).total, f.started+2*time.Second)
			}
		}
		f.run(2*time.Second, 10*time.Second, 20, withinBudget)
		if share, sent := f.maxWindowLoad(); share > 1 {
			t.Errorf("%d call servers, seven in ten restarted: %d sent, %.2f of the capacity", servers, sent, share)
		}
	}
	for _, servers := range []int{48, 90} {
		f := newSlowStartFleet(t, servers)
		f.run(3*time.Second, 6*time.Second, 20, saveWholeCall)
		if share, sent := f.maxWindowLoad(); share <= 1 {
			t.Errorf("%d call servers that save up a call each: %d sent, %.2f of the capacity, want more than 1",
				servers, sent, share)
		}
	}
}

// Guards against refusing a call for which a circuit would soon be free, and against a second attempt of a call that
// waited, was sent by its timer and then timed out: it must leave the waiting calls before free circuits are reported.
func TestBlockedCallWaitsForItsGroup(t *testing.T) {
	f := newManualFixture(t, nil)
	for number := 1; number < 6; number++ {
		f.report(fmt.Sprintf("o%d", number), 0)
	}
	for id := uint64(1); id < 4; id++ {
		f.host.calls[id] = &checkedCall{dest: 1, answerBy: f.host.now + 3*time.Second}
		f.controller.Offered(f.host.now, Call{ID: id, Dest: 1, Via: -1, TimeLeft: 3 * time.Second, Number: fmt.Sprint(id)})
	}
	f.host.now += 100 * time.Millisecond
	f.report("o1", 1)
	if !f.host.calls[1].attemptOpen || f.host.calls[2].attemptOpen || f.host.calls[2].finalAnswerGiven {
		t.Fatal("one circuit was freed: the first call must take it and the others must wait")
	}
	f.establish(1)
	f.controller.exchangeByNumber(1, false).free = 1 // a circuit is free when the timers expire, without a report
	f.host.now += 650 * time.Millisecond
	f.controller.Timer(f.host.now, "c2")
	f.controller.Timer(f.host.now, "c3")
	if !f.host.calls[2].attemptOpen || !f.host.calls[3].finalAnswerGiven {
		t.Fatal("at the end of the wait with one free circuit: one call must be sent and the other refused")
	}
	call := f.host.calls[2]
	call.attemptOpen, call.notBefore = false, f.host.now+f.host.settings.Release
	f.controller.Outcome(f.host.now, Outcome{Call: 2, Office: "o1", Status: TimedOut, Load: []float64{5, 30, -1}})
	if call.attempts != 1 || call.finalAnswerGiven || len(f.host.violations) > 0 {
		t.Errorf("call that timed out after its wait: %d attempts, final answer given %v, violations %v", call.attempts,
			call.finalAnswerGiven, f.host.violations)
	}
}

// Guards against taking a pause in which the process of the call server did not run for a delay or failure of exchanges.
func TestPauseOfTheProcessDoesNotMakeExchangesUnresponsive(t *testing.T) {
	f := newManualFixture(t, nil)
	f.offerAndAwait(0, 1, "a")
	f.offerAndAwait(0, 2, "b")
	f.host.now += 2 * time.Second // a pause, after which all events come at once
	if got := f.offerAndAwait(0, 3, "c"); got != "send 3" {
		t.Errorf("call after the pause: %q", got)
	}
	if f.controller.detectUnresponsive(f.controller.exchangeByNumber(1, false)) {
		t.Error("an exchange is unresponsive before its answers are read")
	}
	f.controller.Established(f.host.now, Outcome{Call: 1, Office: "o1", Elapsed: 2 * time.Second})
	if delay := f.controller.expectedDelay(f.controller.exchangeByNumber(1, false)); delay > 100*time.Millisecond {
		t.Errorf("expected delay %v after an answer that waited for this process", delay)
	}
	f.host.now += 700 * time.Millisecond
	f.controller.Timer(f.host.now, "none") // "none" is no timer mark: the event only advances the clock
	f.host.now += 5 * time.Millisecond
	f.controller.Timer(f.host.now, "none")
	if !f.controller.detectUnresponsive(f.controller.exchangeByNumber(2, false)) {
		t.Error("an exchange without answers is not unresponsive although the process runs again")
	}
}

// Guards against shedding all calls because some exchanges have failed: once they are unresponsive, their time-outs must
// not count as local delay.
func TestCallsToOthersAreNotShedForUnresponsiveExchanges(t *testing.T) {
	f := newManualFixture(t, nil)
	var unresponsive []uint64
	for number := 1; number < 4; number++ {
		f.offerAndAwait(0, number, fmt.Sprint("dead", number))
		unresponsive = append(unresponsive, f.lastID)
	}
	for i := 0; i < 4; i++ {
		f.host.now += 300 * time.Millisecond
		f.controller.Timer(f.host.now, "none") // advances the clock
	}
	for number := 1; number < 4; number++ {
		f.controller.detectUnresponsive(f.controller.exchangeByNumber(number, false)) // marks it, as the next call to it would
	}
	f.offerAndAwait(0, 4, "fine")
	f.establish(f.lastID)
	f.offerAndAwait(0, 4, "open")
	for _, id := range unresponsive {
		call := f.host.calls[id]
		call.attemptOpen = false
		f.controller.Outcome(f.host.now, Outcome{Call: id, Attempt: call.attempts - 1, Office: call.office,
			Status: TimedOut, Elapsed: 4 * time.Second})
	}
	if got := f.offerAndAwait(0, 5, "other"); got != "send 5" {
		t.Errorf("call to an exchange that answers: %q, local delay %v", got, f.controller.localDelay())
	}
}

// Guards against admitting one attempt for each exchange while the processor of this call server is slow: with many
// exchanges that would shed nothing.
func TestSlowLocalProcessorAllowsOneOutstandingCall(t *testing.T) {
	f := newManualFixture(t, nil)
	for i := 0; i < 40; i++ {
		f.controller.recordSetUpDelay(f.controller.exchangeByNumber(1+i%5, false), 2*time.Second, true)
	}
	for _, exchange := range f.controller.exchanges {
		exchange.setUpDelay = 0 // as if measured long ago, like most in a large fleet
	}
	if got := f.offerAndAwait(0, 1, "a"); got != "send 1" {
		t.Errorf("first call: %q", got)
	}
	if got := f.offerAndAwait(0, 2, "b"); got != "refuse " {
		t.Errorf("call to another exchange while the first is outstanding: %q", got)
	}
}

// Guards against spending a slow-start budget on calls in transit: a cold exchange is no tandem.
func TestColdExchangeIsNoTandem(t *testing.T) {
	f := newManualFixture(t, nil)
	exchange, call := f.controller.exchangeByNumber(2, false),
		&callRecord{Call: Call{Width: 1, Dest: 1}, dest: f.controller.exchangeByNumber(1, false)}
	if !f.controller.usableAsTandem(exchange, call) {
		t.Fatal("an exchange with free circuits that is not cold is not used as a tandem")
	}
	f.controller.startSlowStart(exchange, f.host.now)
	exchange.tokens = 5
	if f.controller.usableAsTandem(exchange, call) {
		t.Error("a cold exchange with budget left is used as a tandem")
	}
}

// Guards against Controllers that share the slices of their settings.
func TestSettingsAreCopied(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(make([]Class, 0, 8), settings.Classes...)
	settings.Classes[0].Pools = []int{1, 2}
	settings.Host = newRuleChecker(settings)
	first, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := New(settings, 2)
	for _, controller := range []*Controller{first, second} {
		exchange := controller.exchangeByNumber(1, true)
		exchange.total, controller.totalCircuits, controller.totalOffered[0][0], controller.now = 10, 10, 20, time.Minute
		controller.updatePartition(exchange)
	}
	if beyond := settings.Classes[:3][2]; beyond.Worth != 0 || beyond.Width != 0 {
		t.Errorf("the Controller wrote into the slice of the settings that it was given: %+v", beyond)
	}
	settings.Classes[0].Worth, settings.Classes[0].Pools[0] = 99, 99
	if first.settings.Classes[0].Worth == 99 || first.settings.Classes[0].Pools[0] == 99 {
		t.Error("a later change of the settings that were passed to New changes those of the Controller")
	}
}

// Guards against one lost answer that is taken for a queue or an unresponsive exchange, so that all calls to the exchange
// are refused until the attempt times out. The attempt must be cancelled once several later ones were answered, and the
// call tried again.
func TestOneLostAnswerShedsNoCalls(t *testing.T) {
	f := newManualFixture(t, func(settings *Settings) { settings.CanCancel = true })
	f.offerAndAwait(0, 1, "lost")
	lostID := f.lastID
	for i := range 20 {
		f.host.now += 100 * time.Millisecond
		if got := f.offerAndAwait(0, 1, fmt.Sprint("n", i)); got != "send 1" {
			t.Fatalf("call %d behind a lost answer: %q", i, got)
		}
		f.host.now += 20 * time.Millisecond
		f.establish(f.lastID)
	}
	exchange := f.controller.exchangeByNumber(1, false)
	if delay := f.controller.expectedDelay(exchange); delay > 100*time.Millisecond || f.controller.detectUnresponsive(exchange) {
		t.Errorf("delay %v, unresponsive %v", delay, exchange.unresponsive)
	}
	cancels := 0
	for _, action := range f.host.actions {
		if strings.HasPrefix(action, fmt.Sprintf("cancel %d", lostID)) {
			cancels++
		}
	}
	if cancels != 1 {
		t.Errorf("the overtaken attempt was cancelled %d times", cancels)
	}
	f.endAttempt(lostID, Cancelled, 0)
	f.host.now += f.controller.settings.Release + 2*time.Millisecond
	f.controller.Timer(f.host.now, fmt.Sprint("c", lostID))
	if call := f.host.calls[lostID]; call.attempts != 2 || !call.attemptOpen {
		t.Errorf("the call was not tried again: %+v", call)
	}
}

// Guards against refusing calls to an exchange after one lost answer if its group was full, so that no later attempt could
// overtake the lost one. The exchange is marked unresponsive, but the next call must be sent at once as a trial attempt.
func TestOneLostAnswerAllowsATrialAtOnce(t *testing.T) {
	for missing := 1; missing <= 2; missing++ { // with two the next trial attempt must wait
		f := newManualFixture(t, nil)
		for i := range missing {
			if got := f.offerAndAwait(0, 1, fmt.Sprint("lost", i)); got != "send 1" {
				t.Fatalf("call %d: %q", i, got)
			}
		}
		f.report("o1", 0)
		f.host.now += f.controller.answerTimeout(f.controller.exchangeByNumber(1, false)) + 10*time.Millisecond
		f.report("o1", 5)
		f.host.now += 10 * time.Millisecond
		if got := f.offerAndAwait(1, 1, "next"); (got == "send 1") != (missing == 1) {
			t.Errorf("%d answers missing: %q", missing, got)
		}
	}
}

// Memory must stay bounded when service discovery keeps naming new offices.
func TestGoneOfficesAreRemoved(t *testing.T) {
	f := newManualFixture(t, nil)
	known := len(f.controller.offices)
	for i := range 50 {
		f.host.now += 6 * time.Second
		f.controller.UpdateOffices(f.host.now, ListUpdate, []Office{{ID: fmt.Sprint("new", i), Exchange: 1}})
		f.controller.UpdateOffices(f.host.now, ListUpdate, []Office{{ID: fmt.Sprint("new", i), Exchange: 1, State: Gone}})
		f.controller.Timer(f.host.now, "p")
	}
	if offices, atExchange := len(f.controller.offices),
		len(f.controller.exchangeByNumber(1, false).offices); offices != known || atExchange != 1 {
		t.Errorf("%d offices are kept, %d of them at one exchange", offices, atExchange)
	}
}

// Guards against refusing calls at an exchange that fails most set-ups quickly: after a signalling fault the next attempt
// may succeed.
func TestFaultsAreRetriedWhileSomeCallsSucceed(t *testing.T) {
	f := newManualFixture(t, nil)
	f.offerAndAwait(0, 1, "a")
	f.endAttempt(f.lastID, Faulted, 0)
	if call := f.host.calls[f.lastID]; call.attempts != 2 || !call.attemptOpen {
		t.Fatalf("after one fault: %+v", call)
	}
	f.endAttempt(f.lastID, Faulted, NoteBusy) // not a signalling fault
	if call := f.host.calls[f.lastID]; call.attempts != 2 || !call.finalAnswerGiven {
		t.Fatalf("a busy number is tried again: %+v", call)
	}
	attempts := 0
	for i := range 40 {
		f.host.now += 100 * time.Millisecond
		f.report("o1", 20)
		f.offerAndAwait(0, 1, fmt.Sprint("n", i))
		for f.host.calls[f.lastID].attemptOpen {
			f.endAttempt(f.lastID, Faulted, 0)
		}
		attempts = f.host.calls[f.lastID].attempts
	}
	if attempts != 1 {
		t.Errorf("%d attempts for a call to an exchange at which none is established", attempts)
	}
}

// Guards against calls that use up their attempts at an exchange which fails most of them: the call server of a tandem has
// attempts of its own.
func TestRepeatedFaultsUseATandem(t *testing.T) {
	f := newManualFixture(t, nil)
	for i := range 10 {
		f.host.now += time.Second
		f.offerAndAwait(0, 1, fmt.Sprint("n", i))
		call := f.host.calls[f.lastID]
		for call.attemptOpen {
			if overTandem := call.office != "o1"; overTandem != (call.attempts > directFaultLimit) {
				t.Fatalf("attempt %d went to %s", call.attempts, call.office)
			}
			f.endAttempt(f.lastID, Faulted, 0)
		}
		if call.attempts != f.controller.settings.MaxAttempts {
			t.Fatalf("%d attempts", call.attempts)
		}
		f.offerAndAwait(0, 1, fmt.Sprint("good", i))
		f.establish(f.lastID)
	}
	f.lastID++
	f.report("o1", 30)
	call := &checkedCall{dest: 1, transit: true, answerBy: f.host.now + time.Second}
	f.host.calls[f.lastID] = call
	f.controller.Offered(f.host.now, Call{ID: f.lastID, Dest: 1, Transit: true, Via: -1, TimeLeft: time.Second})
	f.endAttempt(f.lastID, Faulted, 0)
	if !call.attemptOpen || call.attempts != 2 || call.office != "o1" {
		t.Errorf("a call in transit after a fault: %+v", call)
	}
	for _, violation := range f.host.violations {
		t.Error(violation)
	}
}

// Guards against refusing all calls to the home exchange that are offered here while the call server of their callers is
// away.
func TestHomeExchangeIsReachedOverATandem(t *testing.T) {
	f := newManualFixture(t, nil)
	for number := 3; number < 6; number++ { // two tandems are left, which are drawn at random
		f.controller.UpdateOffices(f.host.now, ListUpdate, []Office{{ID: fmt.Sprint("o", number), Exchange: number, State: Gone}})
	}
	overTandem := 0
	for i := range 20 {
		switch got := f.offerAndAwait(0, 0, fmt.Sprint("home", i)); {
		case got == "send 0":
			t.Fatal("a call was sent directly to the home exchange")
		case strings.HasPrefix(got, "send "):
			overTandem++
			f.establish(f.lastID)
		}
	}
	if overTandem < 18 {
		t.Errorf("%d of 20 went over a tandem", overTandem)
	}
	for _, violation := range f.host.violations {
		t.Error(violation)
	}
	f.controller.Offered(f.host.now, Call{ID: 999, Dest: 0, Transit: true, Via: -1, TimeLeft: time.Second})
	if action := f.host.actions[len(f.host.actions)-1]; !strings.HasPrefix(action, "refuse 999") {
		t.Errorf("a call in transit to the home exchange: %q", action)
	}
}
