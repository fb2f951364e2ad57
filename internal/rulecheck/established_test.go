package rulecheck

import (
	"strings"
	"testing"
	"time"
)

// newEstablished returns a checker with call 1, which call server n has established at office a.
func newEstablished() *Platform {
	p := NewPlatform(200*ms, time.Second, 50*ms)
	p.TapSkew = 20 * ms
	p.Taken(0, 1, 3*time.Second)
	p.TakenBy(1, "n")
	p.SetUp(1*ms, "a", 1)
	p.End(10*ms, "a", 1, false)
	p.Answered("a", 1)
	p.Final(11*ms, 1, 200)
	return p
}

// No violation: the caller was notified in time, or could not be notified.
func TestCallEndsNotifiedInTime(t *testing.T) {
	for name, events := range map[string]func(p *Platform){
		"released":            func(p *Platform) { p.Over(5*time.Second, "a", 1, ToldAfterRelease); p.ToldOver(6040*ms, 1) },
		"without a release":   func(p *Platform) { p.Over(5*time.Second, "a", 1, ToldAfterEnd); p.ToldOver(13040*ms, 1) },
		"still established":   func(p *Platform) {},
		"ended by its caller": func(p *Platform) { p.Settled(time.Second, 1); p.Over(5*time.Second, "a", 1, ToldAfterRelease) },
		"at another office":   func(p *Platform) { p.Over(5*time.Second, "b", 1, ToldAfterRelease) },
		"before its answer": func(p *Platform) {
			p.Taken(0, 2, 9*time.Second)
			p.SetUp(1*ms, "a", 2)
			p.Over(500*ms, "a", 2, ToldAfterRelease)
			p.Final(1500*ms, 2, 500)
		},
		"unreachable, and given up": func(p *Platform) { p.AddLinkFault("a", 5*time.Second, 20*time.Second); p.ToldOver(13*time.Second, 1) },
		"no caller is connected": func(p *Platform) {
			p.CallersAway(4*time.Second, "n")
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.Taken(20*time.Second, 2, time.Second)
			p.TakenBy(2, "n")
			p.GivenUp(20*time.Second, 2)
			p.ToldOver(20500*ms, 1)
		},
		"no caller is connected, and a connection without a call ends": func(p *Platform) {
			p.CallersAway(4*time.Second, "n")
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.CallersAway(7*time.Second, "n")
			p.CallersBack(20*time.Second, "n")
			p.ToldOver(20500*ms, 1)
		},
		"released as a partition begins": func(p *Platform) {
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.AddLinkFault("a", 5020*ms, 9*time.Second)
			p.ToldOver(12900*ms, 1)
		},
		"the call server was killed": func(p *Platform) {
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.Killed(5100*ms, "n", time.Hour)
		},
		"the call server was killed, and the release came later": func(p *Platform) {
			p.Over(5*time.Second, "a", 1, ToldAfterEnd)
			p.ReleaseWritten(1)
			p.Killed(5100*ms, "n", time.Hour)
		},
		"adopted": func(p *Platform) {
			p.Over(5*time.Second, "a", 1, ToldAfterEnd)
			p.Adopted(12*time.Second, 1)
			p.ToldOver(19*time.Second, 1)
		},
		"a set-up that crosses the end of its connection": func(p *Platform) {
			p.Taken(time.Second, 2, time.Second)
			p.ConnectionEnded(1050*ms, 2)
		},
		"an attempt that failed before its answer was read": func(p *Platform) {
			p.Taken(0, 2, 9*time.Second)
			p.SetUp(1*ms, "a", 2)
			p.Over(10*ms, "a", 2, ToldAfterEnd) // its process ends, and the answer is lost with the connection
			p.End(10*ms, "a", 2, true)
			p.SetUp(250*ms, "b", 2)
			p.End(300*ms, "b", 2, false)
			p.Answered("b", 2)
			p.Final(301*ms, 2, 200)
		},
		"held for a moment": func(p *Platform) { p.Settled(time.Second, 1); p.CheckHeld(3*time.Second, "a", 1) },
		"held, and its call server was killed": func(p *Platform) {
			p.Settled(time.Second, 1)
			p.Killed(2*time.Second, "n", time.Hour)
			p.CheckHeld(20*time.Second, "a", 1)
		},
		"cancelled as it was established":     func(p *Platform) { p.GivenUp(12*ms, 1); p.ToldOver(13*ms, 1) },
		"observed late on another connection": func(p *Platform) { p.SetUp(25*ms, "a", 1); p.End(26*ms, "a", 1, false) },
	} {
		p := newEstablished()
		events(p)
		if got := p.Breaches(30 * time.Second); len(got) > 0 {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// Each violation of the rules on ends of calls is found alone.
func TestCallEndsNotNotifiedInTime(t *testing.T) {
	for name, testCase := range map[string]struct {
		want   string
		events func(p *Platform)
	}{
		"a notice late after a release":    {"after its end", func(p *Platform) { p.Over(5*time.Second, "a", 1, ToldAfterRelease); p.ToldOver(6060*ms, 1) }},
		"a notice late after an end":       {"after its end", func(p *Platform) { p.Over(5*time.Second, "a", 1, ToldAfterEnd); p.ToldOver(13060*ms, 1) }},
		"no notice of an end":              {"was not notified", func(p *Platform) { p.Over(5*time.Second, "a", 1, ToldAfterEnd) }},
		"a notice for an established call": {"it is established at a", func(p *Platform) { p.ToldOver(5*time.Second, 1) }},
		"a partition that was long ago": {"it is established at a", func(p *Platform) {
			p.AddLinkFault("a", time.Second, 2*time.Second)
			p.ToldOver(15*time.Second, 1)
		}},
		"refused late": {"refused", func(p *Platform) {
			p.Taken(0, 2, 9*time.Second)
			p.SetUp(1*ms, "a", 2)
			p.Over(500*ms, "a", 2, ToldAfterRelease)
			p.Final(1600*ms, 2, 500)
		}},
		"established again after its release": {"was not notified", func(p *Platform) {
			p.Taken(0, 2, 9*time.Second)
			p.SetUp(1*ms, "a", 2)
			p.Over(10*ms, "a", 2, ToldAfterRelease)
			p.End(10*ms, "a", 2, true)
			p.SetUp(250*ms, "b", 2)
			p.End(300*ms, "b", 2, false)
			p.Answered("b", 2)
			p.Final(301*ms, 2, 200)
		}},
		"held for too long": {"held at a", func(p *Platform) { p.Settled(time.Second, 1); p.CheckHeld(7*time.Second, "a", 1) }},
		"callers set up calls again": {"after its end", func(p *Platform) {
			p.CallersAway(4*time.Second, "n")
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.Taken(20*time.Second, 2, time.Second)
			p.TakenBy(2, "n")
			p.GivenUp(20*time.Second, 2)
			p.ToldOver(21200*ms, 1)
		}},
		"released before a partition": {"after its end", func(p *Platform) {
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.AddLinkFault("a", 5100*ms, 9*time.Second)
			p.ToldOver(6100*ms, 1)
		}},
		"callers are connected again": {"after its end", func(p *Platform) {
			p.CallersAway(4*time.Second, "n")
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.CallersBack(20*time.Second, "n")
			p.ToldOver(21200*ms, 1)
		}},
		"callers are connected again, and not notified": {"was not notified", func(p *Platform) {
			p.CallersAway(4*time.Second, "n")
			p.Over(5*time.Second, "a", 1, ToldAfterRelease)
			p.CallersBack(20*time.Second, "n")
		}},
		"adopted, and its caller not notified": {"was not notified", func(p *Platform) {
			p.Over(5*time.Second, "a", 1, ToldAfterEnd)
			p.Adopted(12*time.Second, 1)
		}},
		"killed with a set-up that came late": {"killed", func(p *Platform) {
			p.Taken(5*time.Second, 2, 9*time.Second)
			p.TakenBy(2, "n")
			p.Killed(7*time.Second, "n", 4*time.Second)
		}},
		"a connection that ends under a set-up": {"connection was ended", func(p *Platform) {
			p.Taken(time.Second, 2, time.Second)
			p.ConnectionEnded(1200*ms, 2)
		}},
		"a set-up after the answer": {"after the final answer", func(p *Platform) { p.SetUp(40*ms, "a", 1) }},
		"a process fault":           {"process n: 9 MB of 8", func(p *Platform) { p.ProcessFault(0, "n", "%d MB of %d", 9, 8) }},
	} {
		p := newEstablished()
		testCase.events(p)
		if got := p.Breaches(30 * time.Second); len(got) != 1 || !strings.Contains(got[0], testCase.want) {
			t.Errorf("%s: %q, not one violation with %q", name, got, testCase.want)
		}
	}
}

// A late answer is a violation unless the process of the call server was kept from running for at least as long in that time.
func TestLatenessExcusedByStalls(t *testing.T) {
	for name, testCase := range map[string]struct {
		node        string
		from, until time.Duration
		waited      time.Duration
		excused     bool
	}{
		"stalled for longer":  {"n", 800 * ms, 1100 * ms, 85 * ms, true},
		"for just as long":    {"n", 800 * ms, 1100 * ms, 30 * ms, true},
		"for less":            {"n", 800 * ms, 1100 * ms, 29 * ms, false},
		"before":              {"n", 700 * ms, 1000 * ms, 85 * ms, false},
		"after":               {"n", 1100 * ms, 1300 * ms, 85 * ms, false},
		"another call server": {"m", 800 * ms, 1100 * ms, 85 * ms, false},
		"no stall recorded":   {},
	} {
		p := NewPlatform(200*ms, time.Second, 50*ms)
		p.Taken(0, 1, time.Second)
		p.TakenBy(1, "n")
		if testCase.node != "" {
			p.AddStall(testCase.node, testCase.from, testCase.until, testCase.waited)
		}
		p.Final(1080*ms, 1, 200)
		got := p.Breaches(9 * time.Second)
		if excused := len(got) == 0; excused != testCase.excused || excused != (p.Excused() == 1) {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// A stall never excuses an answer or a notice that is missing.
func TestStallsExcuseNothingThatIsLost(t *testing.T) {
	p := newEstablished()
	p.Taken(0, 2, time.Second)
	p.TakenBy(2, "n")
	p.Over(5*time.Second, "a", 1, ToldAfterRelease)
	p.AddStall("n", 0, time.Minute, time.Minute)
	if got := p.Breaches(30 * time.Second); len(got) != 2 || p.Excused() != 0 {
		t.Errorf("%q, %d excused", got, p.Excused())
	}
}
