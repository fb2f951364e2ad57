package rulecheck

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func newPlatform() *PlatformChecker {
	p := NewPlatformChecker(200*ms, time.Second, 50*ms)
	p.OverloadWindow, p.ColdBudget = 3*time.Second, 5
	p.CallTaken(0, 1, 3*time.Second)
	return p
}

func TestPlatformReportsNothingWhenRulesAreKept(t *testing.T) {
	p := newPlatform()
	p.SetUp(1*ms, "a", 1)
	p.AttemptEnded(100*ms, "a", 1, true)
	p.SetUp(301*ms, "a", 1)
	p.CancelRead(302*ms, "a", 1)
	p.SetUp(460*ms, "a", 1) // the office read the cancel late
	p.OfficeAnnounced(400*ms, "a")
	p.AttemptEnded(470*ms, "a", 1, false)
	p.CallTaken(500*ms, 2, time.Second)
	p.SetUp(1400*ms, "a", 2)
	p.Abandoned(1410*ms, 2)
	p.AttemptEnded(1420*ms, "a", 2, false)
	p.SetUp(1500*ms, "b", 2) // it crossed the cancel
	p.FinalAnswer(471*ms, 1, 200)
	if got := p.Violations(10 * time.Second); len(got) != 0 {
		t.Fatal(got)
	}
}

// Each rule violated alone is found.
func TestPlatformFindsEachViolation(t *testing.T) {
	for name, testCase := range map[string]struct {
		rule   string
		events func(p *PlatformChecker)
	}{
		"no answer":        {"rule 1", func(p *PlatformChecker) {}},
		"a late answer":    {"rule 1", func(p *PlatformChecker) { p.FinalAnswer(3100*ms, 1, 503) }},
		"two answers":      {"rule 1", func(p *PlatformChecker) { p.FinalAnswer(1*ms, 1, 503); p.FinalAnswer(2*ms, 1, 200) }},
		"after the answer": {"rule 1", func(p *PlatformChecker) { p.FinalAnswer(1*ms, 1, 503); p.SetUp(2*ms, "a", 1) }},
		"an unknown call":  {"rule 1", func(p *PlatformChecker) { p.FinalAnswer(1*ms, 1, 503); p.SetUp(2*ms, "a", 9) }},
		"two attempts":     {"rule 2", func(p *PlatformChecker) { p.SetUp(1*ms, "a", 1); p.SetUp(2*ms, "b", 1); p.FinalAnswer(3*ms, 1, 200) }},
		"a draining office": {"rule 3", func(p *PlatformChecker) {
			p.OfficeAnnounced(0, "a")
			p.SetUp(1100*ms, "a", 1)
			p.FinalAnswer(1200*ms, 1, 200)
		}},
		"a cold office": {"rule 4", func(p *PlatformChecker) {
			p.Started(0, "a")
			for i := range uint64(6) {
				p.CallTaken(0, 10+i, 3*time.Second)
				p.SetUp(time.Duration(i)*ms, "a", 10+i)
				p.Abandoned(time.Duration(i)*ms, 10+i)
			}
			p.FinalAnswer(1*ms, 1, 200)
		}},
		"a cold office and a fleet": {"rule 4", func(p *PlatformChecker) {
			p.CallServers = 30
			p.Started(0, "a")
			for i := range uint64(12) { // the budget of 5, and 6.5 for coinciding set-ups
				p.CallTaken(0, 10+i, 3*time.Second)
				p.SetUp(time.Duration(i)*ms, "a", 10+i)
				p.FinalAnswer(time.Duration(i)*ms, 10+i, 200)
			}
			p.FinalAnswer(1*ms, 1, 200)
		}},
		"an abandoned call": {"rule 1", func(p *PlatformChecker) { p.Abandoned(100*ms, 1); p.SetUp(251*ms, "a", 1) }},
		"no release time after a cancel": {"rule 5", func(p *PlatformChecker) {
			p.SetUp(1*ms, "a", 1)
			p.CancelRead(100*ms, "a", 1)
			p.SetUp(240*ms, "a", 1)
			p.FinalAnswer(300*ms, 1, 200)
		}},
		"no release time": {"rule 5", func(p *PlatformChecker) {
			p.SetUp(1*ms, "a", 1)
			p.AttemptEnded(100*ms, "a", 1, true)
			p.SetUp(250*ms, "a", 1)
			p.FinalAnswer(300*ms, 1, 200)
		}},
	} {
		p := newPlatform()
		testCase.events(p)
		if got := p.Violations(10 * time.Second); len(got) != 1 || !strings.Contains(got[0], testCase.rule) {
			t.Errorf("%s: %q, not one violation of %s", name, got, testCase.rule)
		}
	}
}
