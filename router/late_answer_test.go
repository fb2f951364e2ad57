package router

import (
	"slices"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// breakLink breaks the association between two exchanges for a duration. Bytes in flight are lost.
func (n *testNetwork) breakLink(a, b string, duration time.Duration) {
	disconnect := func(name, peer string) {
		id, _ := n.routers[name].Link(peer, 0)
		n.routers[name].Disconnected(n.now, id, -1)
		n.deliver(name)
	}
	n.disconnected[linkKey(a, b)] = true
	disconnect(a, b)
	disconnect(b, a)
	n.after(duration, func() {
		n.disconnected[linkKey(a, b)] = false
		for _, ends := range [][2]string{{a, b}, {b, a}} {
			id, _ := n.routers[ends[0]].Link(ends[1], 0)
			n.routers[ends[0]].Connected(n.now, id)
		}
		n.deliver(a)
		n.deliver(b)
	})
}

// An attempt is reset by a lost association, and the next one follows 200 ms later. The exchange answers the first one
// nevertheless: before, during or after the next set-up. The caller must receive one final answer, and every circuit must
// be free in the end.
func TestLateAnswerAroundTheNextAttempt(t *testing.T) {
	for name, answerDelay := range map[string]time.Duration{"before": 120 * time.Millisecond, "during": 203 * time.Millisecond,
		"after": 260 * time.Millisecond, "long after": 900 * time.Millisecond} {
		n := newTestNetwork(t, 2, 4)
		lines, calls := n.endpoints["b/lines"], 0
		lines.onMessage = func(m *isup.Message) {
			switch m.Type {
			case isup.IAM:
				wait := answerDelay // for the first attempt; later ones are answered sooner
				if calls++; calls > 1 {
					wait = 50 * time.Millisecond
				}
				n.after(wait, func() { lines.send(isup.NewSimple(isup.ANM, m.CIC)) })
			case isup.REL:
				lines.send(isup.NewSimple(isup.RLC, m.CIC))
			}
		}
		n.offerCall("a", 1, "5521", 1)
		n.runUntil(n.now + 20*time.Millisecond)
		start := n.now
		n.breakLink("a", "b", 40*time.Millisecond)
		n.runUntil(start + 3500*time.Millisecond)
		got := n.receivedTypes("a", 1)
		answers := 0
		for _, x := range got {
			if x == isup.ANM || x == isup.CON || x == isup.REL {
				answers++
			}
		}
		if answers != 1 {
			t.Errorf("%s: caller received %v", name, got)
		}
		tooEarly := slices.ContainsFunc(n.setups[1:], func(s sentSetup) bool { return s.at < start+200*time.Millisecond })
		if len(n.setups) < 2 || tooEarly {
			t.Errorf("%s: set-ups %+v, the association was lost at %v", name, n.setups, start)
		}
		n.endpoints["a/counters"].send(isup.NewRelease(1, isup.ReleaseInfo{Cause: 16}))
		n.runUntil(n.now + 8*time.Second)
		if err := n.checkIdle(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Service discovery reports an exchange as draining while an attempt toward it is outstanding. After a reset of that
// attempt, no new one may go to this exchange.
func TestResetTowardADrainingExchange(t *testing.T) {
	n := newTestNetwork(t, 2, 4)
	n.endpoints["b/lines"].onMessage = nil
	n.offerCall("a", 1, "5521", 1)
	n.runUntil(n.now + 20*time.Millisecond)
	n.routers["a"].UpdateExchanges(n.now, logic.ListUpdate, []logic.Office{{ID: "b", State: logic.Draining}})
	n.deliver("a")
	setupsBefore := len(n.setups)
	n.breakLink("a", "b", 40*time.Millisecond)
	n.runUntil(n.now + 4*time.Second)
	if len(n.setups) != setupsBefore || n.releaseCause("a", 1) == 0 {
		t.Errorf("%d set-ups after the drain was reported; caller received %v", len(n.setups)-setupsBefore, n.receivedTypes("a", 1))
	}
}
