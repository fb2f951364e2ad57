package router

import (
	"slices"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// breakLink breaks the association between two exchanges for a while; bytes on the way are lost.
func (n *net) breakLink(a, b string, d time.Duration) {
	down := func(at, to string) {
		id, _ := n.routers[at].Link(to, 0)
		n.routers[at].Disconnected(n.now, id, -1)
		n.carry(at)
	}
	n.cut[between(a, b)] = true
	down(a, b)
	down(b, a)
	n.after(d, func() {
		n.cut[between(a, b)] = false
		for _, x := range [][2]string{{a, b}, {b, a}} {
			id, _ := n.routers[x[0]].Link(x[1], 0)
			n.routers[x[0]].Connected(n.now, id)
		}
		n.carry(a)
		n.carry(b)
	})
}

// An attempt is reset by a lost association and tried again 200 ms later. The exchange answers the first one all the
// same: before, during and after the next set-up. The caller hears one answer; every circuit is free in the end.
func TestLateAnswerAroundTheNextAttempt(t *testing.T) {
	for name, answer := range map[string]time.Duration{"before": 120 * time.Millisecond, "during": 203 * time.Millisecond,
		"after": 260 * time.Millisecond, "long after": 900 * time.Millisecond} {
		n := newNet(t, 2, 4)
		lines, calls := n.ends["b/lines"], 0
		lines.on = func(m *isup.Message) {
			switch m.Type {
			case isup.IAM:
				wait := answer // of the first; the next is answered soon
				if calls++; calls > 1 {
					wait = 50 * time.Millisecond
				}
				n.after(wait, func() { lines.send(isup.Simple(isup.ANM, m.CIC)) })
			case isup.REL:
				lines.send(isup.Simple(isup.RLC, m.CIC))
			}
		}
		n.call("a", 1, "5521", 1)
		n.run(n.now + 20*time.Millisecond)
		start := n.now
		n.breakLink("a", "b", 40*time.Millisecond)
		n.run(start + 3500*time.Millisecond)
		got := n.heard("a", 1)
		answers := 0
		for _, x := range got {
			if x == isup.ANM || x == isup.CON || x == isup.REL {
				answers++
			}
		}
		if answers != 1 {
			t.Errorf("%s: caller heard %v", name, got)
		}
		outstanding := slices.ContainsFunc(n.iams[1:], func(s setupSeen) bool { return s.at < start+200*time.Millisecond })
		if len(n.iams) < 2 || outstanding {
			t.Errorf("%s: set-ups %+v, the association was lost at %v", name, n.iams, start)
		}
		n.ends["a/counters"].send(isup.NewRelease(1, isup.ReleaseInfo{Cause: 16}))
		n.run(n.now + 8*time.Second)
		if err := n.idle(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The list says draining while attempts are out: they may be answered; nothing new goes out after a reset.
func TestResetTowardADrainingExchange(t *testing.T) {
	n := newNet(t, 2, 4)
	n.ends["b/lines"].on = nil
	n.call("a", 1, "5521", 1)
	n.run(n.now + 20*time.Millisecond)
	n.routers["a"].List(n.now, logic.ListUpdate, []logic.Office{{ID: "b", State: logic.Draining}})
	n.carry("a")
	sent := len(n.iams)
	n.breakLink("a", "b", 40*time.Millisecond)
	n.run(n.now + 4*time.Second)
	if len(n.iams) != sent || n.cause("a", 1) == 0 {
		t.Errorf("%d set-ups after the drain was told; caller heard %v", len(n.iams)-sent, n.heard("a", 1))
	}
}
