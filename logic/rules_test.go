package logic

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// ruleChecker is a Host that checks the actions of a Controller against the five rules. It sees only events and actions, not
// the state of the Controller.
type ruleChecker struct {
	settings       Settings
	now            time.Duration
	calls          map[uint64]*checkedCall
	offices        map[string]*checkedOffice
	timers         []timerRequest
	openAttempts   []uint64 // IDs of the calls with an open attempt, in the order of sending
	actions        []string // all actions so far, as text
	violations     []string
	lastRetryAfter time.Duration // of the latest refusal
}

// checkedCall is what the checker knows of a call.
type checkedCall struct {
	dest             int // number of the destination exchange
	transit          bool
	answerBy         time.Duration // last moment for its final answer
	attempts         int
	attemptOpen      bool // an attempt was sent whose outcome is still to come
	finalAnswerGiven bool // the call was refused or failed
	established      bool
	office           string        // where the latest attempt went
	notBefore        time.Duration // end of the release time
}

// checkedOffice is what the checker knows of an office.
type checkedOffice struct {
	exchange  int
	stoppedAt time.Duration   // when it was announced as draining or gone; negative: it was not
	coldSince time.Duration   // beginning of its slow start; negative: none
	sentAt    []time.Duration // times of the attempts sent to it
}

// timerRequest is a timer that the Controller asked for.
type timerRequest struct {
	at   time.Duration
	mark string
}

func newRuleChecker(settings Settings) *ruleChecker {
	return &ruleChecker{settings: settings, now: time.Second, calls: map[uint64]*checkedCall{},
		offices: map[string]*checkedOffice{}}
}

func (h *ruleChecker) reportViolation(format string, arguments ...any) {
	h.violations = append(h.violations, fmt.Sprintf("%v: ", h.now)+fmt.Sprintf(format, arguments...))
}

func (h *ruleChecker) recordAction(format string, arguments ...any) {
	h.actions = append(h.actions, fmt.Sprintf(format, arguments...))
}

func (h *ruleChecker) Send(id uint64, officeID string, timeout time.Duration) {
	h.recordAction("send %d %s %d", id, officeID, timeout)
	call, office := h.calls[id], h.offices[officeID]
	if call == nil || office == nil {
		h.reportViolation("send of unknown call %d or to unknown office %s", id, officeID)
		return
	}
	switch {
	case call.finalAnswerGiven || call.established:
		h.reportViolation("send of call %d, which is established or has its final answer", id)
	case call.attemptOpen:
		h.reportViolation("call %d has two open attempts", id)
	case h.now < call.notBefore:
		h.reportViolation("call %d sent before the end of the release time", id)
	case office.stoppedAt >= 0:
		h.reportViolation("send to %s, which drains or is gone", officeID)
	case office.exchange == h.settings.Home:
		h.reportViolation("send to the home exchange")
	case call.transit && office.exchange != call.dest:
		h.reportViolation("call %d in transit sent to another exchange than its destination", id)
	case call.attempts >= h.settings.MaxAttempts:
		h.reportViolation("call %d has too many attempts", id)
	}
	call.attemptOpen, call.office = true, officeID
	call.attempts++
	h.openAttempts = append(h.openAttempts, id)
	office.sentAt = append(office.sentAt, h.now)
	h.checkSlowStartBudget(officeID, office)
}

// checkSlowStartBudget checks that the attempts sent in the first TipAfter after the start of an office stay within this call
// server's share of the capacity that the groups of the test imply. One attempt more is allowed, since a share may be less
// than a call.
func (h *ruleChecker) checkSlowStartBudget(name string, office *checkedOffice) {
	if office.coldSince < 0 || h.now-office.coldSince >= h.settings.TipAfter {
		return
	}
	count := 0
	for _, sentAt := range office.sentAt {
		if sentAt > h.now-h.settings.TipAfter && sentAt >= office.coldSince {
			count++
		}
	}
	limit := h.settings.Overload * h.settings.ColdFrom * testCapacity(h.settings.Instances) *
		h.settings.TipAfter.Seconds() / float64(h.settings.Instances)
	if float64(count) > limit+1 {
		h.reportViolation("%d set-ups to cold %s, budget %.1f", count, name, limit)
	}
}

func (h *ruleChecker) recordAnswer(id uint64, action string) {
	h.recordAction("%s %d", action, id)
	call := h.calls[id]
	if call == nil || call.finalAnswerGiven || call.established {
		h.reportViolation("%s of call %d, which is unknown, established or has its final answer", action, id)
		return
	}
	if h.now > call.answerBy {
		h.reportViolation("%s of call %d after the last moment for it", action, id)
	}
	call.finalAnswerGiven = true
}

func (h *ruleChecker) Refuse(id uint64, wait time.Duration) {
	h.lastRetryAfter = wait
	h.recordAnswer(id, "refuse")
}
func (h *ruleChecker) Fail(id uint64)                 { h.recordAnswer(id, "fail") }
func (h *ruleChecker) Cancel(id uint64, attempt int)  { h.recordAction("cancel %d %d", id, attempt) }
func (h *ruleChecker) Probe(office string)            { h.recordAction("probe %s", office) }
func (h *ruleChecker) SendPeer(peer int, data []byte) { h.recordAction("tell %d", peer) }
func (h *ruleChecker) Watch(on bool)                  { h.recordAction("watch %v", on) }
func (h *ruleChecker) Log(text string)                { h.recordAction("log %s", text) }
func (h *ruleChecker) Timer(wait time.Duration, mark string) {
	h.timers = append(h.timers, timerRequest{h.now + max(wait, h.settings.Tick), mark})
}

// checkOverdue reports calls that have no final answer in time.
func (h *ruleChecker) checkOverdue() {
	for id, call := range h.calls {
		if !call.finalAnswerGiven && !call.established && h.now > call.answerBy {
			h.reportViolation("call %d has no answer in time", id)
			call.finalAnswerGiven = true
		}
	}
}

// testCapacity is the capacity in calls per second of a processor that its groups occupy to three quarters when full: 30
// circuits to each other exchange, held for 10 s.
func testCapacity(exchanges int) float64 { return float64(exchanges-1) * 30 / 10.0 * 4 / 3 }

func testSettings() Settings {
	return Settings{Me: 0, Instances: 6, Home: 0, MaxAttempts: 3, CanCancel: true, SendsRetryAfter: true, Tick: 5 * time.Millisecond,
		ReportFields: []string{"spare", "total", "cut_by"}, Release: 200 * time.Millisecond, DrainGrace: time.Second,
		TipAfter: 3 * time.Second, Overload: 2, ColdFrom: 0.3, ColdFor: 15 * time.Second,
		Classes: []Class{
			{Name: "a", Worth: 1, LateShare: 0.25, Aim: time.Second, Deadline: 9 * time.Second,
				Hold: 10 * time.Second, Width: 1, SafeToRepeat: true},
			{Name: "b", Worth: 3, LateShare: 0.25, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second,
				Hold: 10 * time.Second, Width: 1, SafeToRepeat: true},
		}}
}

// fixture is a Controller with a checker of its actions, and produces events for it.
type fixture struct {
	host             *ruleChecker
	controller       *Controller
	rng              *rand.Rand
	lastID           uint64 // ID of the latest call
	replacementCount int    // offices replaced so far; the count makes the IDs of new ones unique
}

func newFixture(t *testing.T, settings Settings, seed int64) *fixture {
	t.Helper()
	f := &fixture{host: newRuleChecker(settings), rng: rand.New(rand.NewSource(seed))}
	f.start(t, settings)
	return f
}

// start creates the Controller and lists one office for each exchange, all circuits free.
func (f *fixture) start(t *testing.T, settings Settings) {
	t.Helper()
	settings.Host = f.host
	c, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	f.controller = c
	var list []Office
	for number := 0; number < settings.Instances; number++ {
		id := fmt.Sprintf("o%d", number)
		list = append(list, Office{ID: id, Exchange: number})
		f.host.offices[id] = &checkedOffice{exchange: number, stoppedAt: -1, coldSince: -1}
	}
	c.UpdateOffices(f.host.now, ListRestored, list)
	for number := 1; number < settings.Instances; number++ {
		f.report(fmt.Sprintf("o%d", number), 30)
	}
}

// report reports a number of free circuits out of 30.
func (f *fixture) report(office string, free float64) {
	f.controller.Report(f.host.now, Report{Office: office, OK: true, Load: []float64{free, 30, -1}})
}

// step plays the random events of one tick and checks their results.
func (f *fixture) step() {
	checker, rng := f.host, f.rng
	checker.now += checker.settings.Tick
	for i := 0; i < len(checker.timers); i++ {
		if request := checker.timers[i]; request.at <= checker.now {
			checker.timers = append(checker.timers[:i], checker.timers[i+1:]...)
			i--
			f.controller.Timer(checker.now, request.mark)
		}
	}
	if rng.Intn(4) == 0 {
		f.offerRandom(1+rng.Intn(checker.settings.Instances-1), rng.Intn(5) == 0)
	}
	for remaining := len(checker.openAttempts) / 12; remaining >= 0 && len(checker.openAttempts) > 0; remaining-- {
		if rng.Intn(3) == 0 {
			f.endRandomAttempt(rng.Intn(len(checker.openAttempts)))
		}
	}
	switch rng.Intn(400) {
	case 0, 1, 2:
		f.report(fmt.Sprintf("o%d", 1+rng.Intn(checker.settings.Instances-1)), float64(rng.Intn(30)))
	case 3:
		f.replaceRandomOffice()
	case 4:
		f.controller.Outcome(checker.now, Outcome{Call: uint64(rng.Intn(50)), Status: TimedOut, Office: "o1"})
		f.controller.Timer(checker.now, "c999999")
		f.controller.Timer(checker.now, "nonsense")
		f.controller.HungUp(checker.now, 1<<40)
	}
	checker.checkOverdue()
}

// offerRandom offers a call of random class, number and time.
func (f *fixture) offerRandom(dest int, transit bool) {
	f.lastID++
	timeLeft := time.Duration(1+f.rng.Intn(3000)) * time.Millisecond
	call := Call{ID: f.lastID, Class: f.rng.Intn(2), Dest: dest, Via: -1, TimeLeft: timeLeft, Transit: transit,
		Number: fmt.Sprint(f.rng.Intn(400))}
	f.host.calls[call.ID] = &checkedCall{dest: dest, transit: transit, answerBy: f.host.now + timeLeft + 20*time.Millisecond}
	f.controller.Offered(f.host.now, call)
}

// endRandomAttempt establishes the call of an open attempt, or ends it at random.
func (f *fixture) endRandomAttempt(index int) {
	checker := f.host
	id := checker.openAttempts[index]
	call := checker.calls[id]
	outcome := Outcome{Call: id, Attempt: call.attempts - 1, Office: call.office, Elapsed: 50 * time.Millisecond}
	if !call.established && !call.finalAnswerGiven && f.rng.Intn(2) == 0 {
		call.established = true
		f.controller.Established(checker.now, outcome)
		return
	}
	checker.openAttempts = append(checker.openAttempts[:index], checker.openAttempts[index+1:]...)
	outcome.Status, outcome.Over = Ended, true
	if !call.established && !call.finalAnswerGiven {
		outcome.Status = []Status{Faulted, Full, TimedOut, NoConnect, Reset, Cancelled, NotSent}[f.rng.Intn(7)]
		outcome.Note, outcome.Over = f.rng.Intn(5), false
		if outcome.Status == TimedOut || outcome.Status == Reset || outcome.Status == Cancelled {
			call.notBefore = checker.now + checker.settings.Release
		}
	}
	call.attemptOpen = false
	f.controller.Outcome(checker.now, outcome)
	f.controller.Outcome(checker.now, outcome) // a repeated outcome is ignored
}

// replaceRandomOffice replaces the office of a random exchange.
func (f *fixture) replaceRandomOffice() {
	f.replaceOffice(f.rng.Intn(f.host.settings.Instances))
}

// replaceOffice announces the office of an exchange as draining or gone, depending on its ID, and lists a new one in its
// place.
func (f *fixture) replaceOffice(number int) {
	for id, office := range f.host.offices {
		if office.exchange == number && office.stoppedAt < 0 {
			office.stoppedAt = f.host.now
			state := Draining
			if len(id)%2 == 0 {
				state = Gone
			}
			f.replacementCount++
			freshID := fmt.Sprintf("o%d-%d", number, f.replacementCount)
			f.host.offices[freshID] = &checkedOffice{exchange: number, stoppedAt: -1, coldSince: f.host.now}
			f.controller.UpdateOffices(f.host.now, ListUpdate, []Office{{ID: id, Exchange: number, State: state},
				{ID: freshID, Exchange: number, Started: f.host.now}})
			return
		}
	}
}

func TestRulesOnRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		settings := testSettings()
		settings.SendsRetryAfter = seed%2 == 0
		f := newFixture(t, settings, seed)
		for i := 0; i < 12000; i++ {
			f.step()
			if i%4000 == 3999 { // a restart loses all calls; callers try again
				f.host.calls, f.host.openAttempts, f.host.timers = map[uint64]*checkedCall{}, nil, nil
				f.start(t, settings)
			}
		}
		if len(f.host.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(f.host.violations), f.host.violations[0])
		}
	}
}

// TestRulesInALargeFleet checks the rules with many exchanges, of which a tenth restart at the same time, and with pauses
// of the call server after which all waiting events arrive at once.
func TestRulesInALargeFleet(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		settings := testSettings()
		settings.Instances, settings.SendsRetryAfter = 80, seed%2 == 0
		f := newFixture(t, settings, seed)
		for i := 0; i < 9000; i++ {
			f.step()
			if i%2000 == 1999 {
				for number := 0; number < 8; number++ {
					f.replaceOffice(f.rng.Intn(settings.Instances))
				}
			}
			if i%1500 == 1499 { // answers that are due during the pause may come right after it
				for _, call := range f.host.calls {
					call.answerBy = max(call.answerBy, f.host.now+2*time.Second+20*time.Millisecond)
				}
				f.host.now += 2 * time.Second
			}
		}
		if len(f.host.violations) > 0 {
			t.Errorf("seed %d: %d violations, first: %s", seed, len(f.host.violations), f.host.violations[0])
		}
	}
}

// The checker must find each kind of violation.
func TestCheckerFindsViolations(t *testing.T) {
	for name, violate := range map[string]func(checker *ruleChecker){
		"second attempt while one is open": func(checker *ruleChecker) { checker.Send(1, "o1", 0); checker.Send(1, "o1", 0) },
		"second final answer":              func(checker *ruleChecker) { checker.Refuse(1, 0); checker.Fail(1) },
		"no answer in time":                func(checker *ruleChecker) { checker.now = time.Hour; checker.checkOverdue() },
		"attempt to a draining office":     func(checker *ruleChecker) { checker.offices["o1"].stoppedAt = 0; checker.Send(1, "o1", 0) },
		"attempt within the release time":  func(checker *ruleChecker) { checker.calls[1].notBefore = time.Hour; checker.Send(1, "o1", 0) },
		"attempt to the home exchange":     func(checker *ruleChecker) { checker.Send(1, "o0", 0) },
		"transit to another exchange":      func(checker *ruleChecker) { checker.calls[1].transit = true; checker.Send(1, "o2", 0) },
		"too many attempts":                func(checker *ruleChecker) { checker.calls[1].attempts = 3; checker.Send(1, "o1", 0) },
		"attempt after the final answer":   func(checker *ruleChecker) { checker.Fail(1); checker.Send(1, "o1", 0) },
		"slow-start budget exceeded": func(checker *ruleChecker) {
			checker.offices["o1"].coldSince = 0
			for id := uint64(1); id < 30; id++ {
				checker.calls[id] = &checkedCall{dest: 1, answerBy: time.Second}
				checker.Send(id, "o1", 0)
			}
		},
	} {
		checker := newRuleChecker(testSettings())
		checker.calls[1] = &checkedCall{dest: 1, answerBy: time.Second}
		for number := 0; number < 3; number++ {
			checker.offices[fmt.Sprintf("o%d", number)] = &checkedOffice{exchange: number, stoppedAt: -1, coldSince: -1}
		}
		if violate(checker); len(checker.violations) == 0 {
			t.Errorf("%s: the checker finds no violation", name)
		}
	}
}

// Instances share no state: the same events give the same actions whether other instances exist or not.
func TestInstancesShareNoState(t *testing.T) {
	runAlone := func(seed int64) []string {
		second := newFixture(t, testSettings(), seed)
		for i := 0; i < 4000; i++ {
			second.step()
		}
		return second.host.actions
	}
	first, second := newFixture(t, testSettings(), 1), newFixture(t, testSettings(), 2)
	for i := 0; i < 4000; i++ {
		first.step()
		second.step()
	}
	if !reflect.DeepEqual(first.host.actions, runAlone(1)) || !reflect.DeepEqual(second.host.actions, runAlone(2)) {
		t.Error("actions differ between instances together and apart")
	}
}

// Guards against an overloaded fleet that fills with two-leg calls, each of which keeps out two direct ones. Two-leg calls
// that are worth more than what they keep out, or whose tandem a routing centre advises, must still be set up.
func TestTwoLegCallsAreTooCostlyInAnOverload(t *testing.T) {
	overTandem := func(blocked float64, class, via int) (count int) {
		f := newManualFixture(t, func(settings *Settings) {
			settings.Classes[1].Worth = 4 * settings.Classes[0].Worth * float64(max(1, settings.Classes[1].Width))
		})
		f.report("o1", 0)
		for range 60 {
			clear(f.controller.totalOffered[f.controller.currentBucket()])
			f.controller.totalOffered[f.controller.currentBucket()][0],
				f.controller.totalOffered[f.controller.currentBucket()][len(f.controller.settings.Classes)] = 1000, 1000*blocked
			f.controller.tandemSuccessRate, f.controller.adviceSuccessRate = 1, 1
			f.lastID++
			f.host.calls[f.lastID] = &checkedCall{dest: 1, answerBy: f.host.now + 3*time.Second}
			f.controller.Offered(f.host.now, Call{ID: f.lastID, Class: class, Dest: 1, Via: via, TimeLeft: 3 * time.Second, Number: "n"})
			if call := f.host.calls[f.lastID]; call.attemptOpen && call.office != "o1" {
				count++
				f.establish(f.lastID)
			}
		}
		return count
	}
	calm, overload := overTandem(0.3, 0, -1), overTandem(0.7, 0, -1)
	if calm < 10 || overload != 0 {
		t.Errorf("of 60 blocked calls %d went over a tandem where 30%% of all are blocked, %d where 70%% are", calm, overload)
	}
	if worthy, advised := overTandem(0.7, 1, -1), overTandem(0.7, 0, 3); worthy < 10 || advised < 10 {
		t.Errorf("in the overload %d worthy and %d advised calls went over a tandem", worthy, advised)
	}
}
