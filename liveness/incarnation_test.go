package liveness

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// newAddress returns an address with connections that came up at 1 s, from each of which something has come.
func newAddress(connections int) (*Address, []*Connection) {
	a := &Address{}
	var open []*Connection
	for range connections {
		c := a.Connected(time.Second, false)
		c.Heard(time.Second)
		c.HoldCall()
		open = append(open, c)
	}
	return a, open
}

// While one of its connections goes on, a process is the same, and connections that come up meanwhile are to it.
func TestOneProcessWhileAConnectionGoesOn(t *testing.T) {
	a, open := newAddress(2)
	open[0].Lost(2 * time.Second)
	c := a.Connected(2*time.Second+10*ms, false)
	if a.AnyInDoubt() || !SameProcess(c, open[1]) {
		t.Error("the end of one connection puts its process in doubt")
	}
	open[1].Closed(3 * time.Second)
	if later := a.Connected(4*time.Second, false); a.AnyInDoubt() || !SameProcess(c, later) {
		t.Error("a connection that was closed from here puts its process in doubt")
	}
}

// If all connections end together, those that came up meanwhile may be to another process, and no others.
func TestAllConnectionsEndTogether(t *testing.T) {
	a, open := newAddress(2)
	open[0].Lost(2 * time.Second)
	c := a.Connected(2*time.Second+10*ms, false)
	open[1].Lost(2*time.Second + 90*ms)
	if !open[0].InDoubt() || !open[1].InDoubt() || c.InDoubt() {
		t.Fatal("the process of the connections that ended is not in doubt")
	}
	c.Heard(2*time.Second + 100*ms)
	if givenUp, at := open[0].GivenUp(time.Second + FailAfter - 1); givenUp || at != time.Second+FailAfter {
		t.Errorf("given up %v before the limit, asked again at %v", givenUp, at)
	}
	if givenUp, _ := open[0].GivenUp(time.Second + FailAfter); !givenUp {
		t.Error("not given up at the limit")
	}
	if !Identified(open[0], c) || a.AnyInDoubt() || Identified(open[1], c) {
		t.Error("a release of a call does not show that its process goes on")
	}
}

// An old connection that is still answered after a new one came up shows that both are to one process, unless what comes on it may
// have been delayed.
func TestAnswerOnAnOlderConnection(t *testing.T) {
	a, open := newAddress(1)
	c := a.Connected(5*time.Second, true)
	if !open[0].InDoubt() {
		t.Fatal("the process of a connection without traffic is not in doubt")
	}
	if open[0].Heard(5*time.Second+staleBytesWindow/2) || !open[0].InDoubt() {
		t.Error("bytes that may have been delayed show that the process goes on")
	}
	if !open[0].Heard(5*time.Second+staleBytesWindow) || open[0].InDoubt() || !SameProcess(open[0], c) {
		t.Error("the process is in doubt in spite of an answer")
	}
}

// A process that hangs accepts connections and sends nothing on any: its calls are not given up.
func TestHangingProcessIsNotGivenUp(t *testing.T) {
	a, open := newAddress(1)
	for at := 5 * time.Second; at < 60*time.Second; at += time.Second {
		a.Connected(at, true)
		if givenUp, _ := open[0].GivenUp(at); givenUp {
			t.Fatalf("given up at %v", at)
		}
	}
}

// A refused connection proves that the process has ended, so the next one is to its successor.
func TestConnectionAfterARefusedOne(t *testing.T) {
	a, open := newAddress(1)
	open[0].Lost(2 * time.Second)
	a.Ended(3 * time.Second)
	c := a.Connected(4*time.Second, false)
	c.HoldCall()
	if !c.HeldBySuccessor(Replacement{GoneSince: time.Second}) || open[0].HeldBySuccessor(Replacement{GoneSince: time.Second}) {
		t.Error("the successor's call is not told from the other one")
	}
	if c.HeldBySuccessor(Replacement{GoneSince: 3500 * ms}) {
		t.Error("an office that started after the end of the other process is taken for that one")
	}
}

// A call that is claimed at an office which has just taken an address is held by that office's process, whose connection comes up later.
func TestClaimAtAnOfficeThatHasJustTakenAnAddress(t *testing.T) {
	a, open := newAddress(1)
	a.Replaced(Replacement{GoneSince: time.Second, SuccessorSince: 2 * time.Second})
	claimed := a.Claimed(2 * time.Second)
	claimed.HoldCall()
	open[0].Closed(2 * time.Second)
	c := a.Connected(3*time.Second, false)
	c.Heard(3 * time.Second)
	if claimed.InDoubt() || !SameProcess(claimed, c) || !open[0].InDoubt() {
		t.Error("the claimed call is taken to be held by the process that has gone")
	}
}

// An office is silent until its calls are given up, and its successor takes the address: calls that it answers are its own.
func TestSuccessorOfAnOfficeThatFailed(t *testing.T) {
	a, open := newAddress(1)
	a.Failed(9 * time.Second)
	c := a.Connected(12*time.Second, true)
	c.HoldCall()
	if r := (Replacement{GoneSince: time.Second, SuccessorSince: 11 * time.Second}); !c.HeldBySuccessor(r) || open[0].HeldBySuccessor(r) {
		t.Error("the successor's call is not told from those that were given up")
	}
	if c.HeldBySuccessor(Replacement{GoneSince: time.Second, SuccessorSince: 13 * time.Second}) {
		t.Error("a call from before the successor's start is taken to be its own")
	}
}

// playReplacement has a process replaced at its address: its connections end at one moment, and before, others do at random. The
// successor may have started before. It returns the connections to each of both processes that still count.
func playReplacement(r *rand.Rand) (a *Address, replacement Replacement, old, successor []*Connection) {
	a, old = newAddress(1 + r.IntN(4))
	now := 2 * time.Second
	replacement.SuccessorSince = now + time.Duration(r.IntN(1000))*ms
	replacedAt := now + time.Second + time.Duration(r.IntN(200))*ms
	for now < replacedAt {
		switch i := r.IntN(len(old)); r.IntN(4) {
		case 0:
			c := a.Connected(now, r.IntN(8) == 0)
			c.HoldCall()
			old = append(old, c)
		case 1:
			if old[i].open && r.IntN(4) == 0 {
				old[i].Lost(now)
			}
		case 2:
			if old[i].open && r.IntN(4) == 0 {
				old[i].Closing(now)
			}
		default:
			if old[i].open {
				old[i].Heard(now)
			}
		}
		now += time.Duration(r.IntN(60)) * ms
	}
	for _, i := range r.Perm(len(old)) {
		if r.IntN(3) == 0 {
			c := a.Connected(now, false)
			c.HoldCall()
			successor = append(successor, c)
		}
		if old[i].open {
			old[i].Lost(now)
			now += time.Duration(r.IntN(10)) * ms
		}
	}
	return a, replacement, old, successor
}

// Guards against calls of a process that has gone which are left with its successor, whatever its connections did before.
func TestNoCallOfAReplacedProcessIsHeldByItsSuccessor(t *testing.T) {
	kept := 0
	for seed := range uint64(20_000) {
		a, replacement, old, successor := playReplacement(rand.New(rand.NewPCG(seed, 1)))
		for _, c := range old {
			if c.HeldBySuccessor(replacement) {
				t.Fatalf("seed %d: a call of the old process is held by its successor", seed)
			}
		}
		if slices.ContainsFunc(successor, func(c *Connection) bool { return c.HeldBySuccessor(replacement) }) {
			kept++
		}
		a.Replaced(replacement)
	}
	if kept < 5_000 {
		t.Errorf("the successor's calls are known in %d of 20,000 plays", kept)
	}
}

// FuzzAddress applies random events in any order: none may end the process.
func FuzzAddress(f *testing.F) {
	f.Add([]byte{0, 0, 5, 1, 2, 7, 0, 3, 6, 4, 8, 9, 10, 0, 1, 11})
	f.Fuzz(func(t *testing.T, events []byte) {
		events = events[:min(len(events), 400)]
		a := &Address{}
		var all []*Connection
		now := time.Second
		for i, event := range events {
			now += time.Duration(event) * ms
			var c *Connection
			if len(all) > 0 {
				c = all[i%len(all)]
			}
			switch kind := event % 12; {
			case kind < 2 || c == nil:
				all = append(all, a.Connected(now, kind == 1))
			case kind == 2:
				claimed := a.Claimed(now)
				if i%2 == 0 {
					claimed = a.ClaimedAtNext(now)
				}
				claimed.HoldCall()
				all = append(all, claimed)
			case kind == 3:
				a.Ended(now)
			case kind == 4:
				a.Failed(now)
			case kind == 5:
				a.Replaced(Replacement{GoneSince: time.Second, SuccessorSince: now - 100*ms})
			case kind == 6 && c.calls > 0:
				if givenUp, again := c.GivenUp(now); !givenUp && again <= now {
					t.Errorf("asked again at %v, now %v", again, now)
				}
				c.DropCall()
			case kind == 7:
				Identified(c, all[int(event)%len(all)])
			case !c.open:
			case kind == 8:
				c.HoldCall()
			case kind == 9:
				c.Lost(now)
			case kind == 10:
				c.Heard(now)
			default:
				c.Closing(now)
			}
		}
	})
}

// Guards against a call that is claimed at a new office and taken to be held by the one before at its address: connections to that one are open,
// and one to the new office comes up while nothing has come from it yet.
func TestClaimAtAnOfficeWithoutAConnection(t *testing.T) {
	a, open := newAddress(2)
	claimed := a.ClaimedAtNext(2 * time.Second)
	claimed.HoldCall()
	another := a.ClaimedAtNext(2 * time.Second)
	another.HoldCall()
	c := a.Connected(3*time.Second, true)
	c.Heard(3 * time.Second)
	open[0].Closed(4 * time.Second)
	open[1].Closed(4 * time.Second)
	a.Replaced(Replacement{GoneSince: time.Second, SuccessorSince: time.Second})
	if claimed.InDoubt() || another.InDoubt() || !SameProcess(claimed, c) || SameProcess(claimed, open[0]) {
		t.Error("the claimed call is taken to be held by the process that has gone")
	}
}

// Guards against a claimed call that is taken to be held by a successor: one that came up after a loss, which the claimed call is older than.
func TestClaimedCallIsNotHeldByASuccessor(t *testing.T) {
	for name, end := range map[string]func(a *Address, c *Connection){
		"lost":  func(a *Address, c *Connection) { c.Lost(3 * time.Second) },
		"ended": func(a *Address, c *Connection) { a.Ended(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			a, open := newAddress(1)
			end(a, open[0])
			answered := a.Connected(5*time.Second, false)
			answered.HoldCall()
			claimed := a.Claimed(6 * time.Second)
			claimed.HoldCall()
			r := Replacement{GoneSince: time.Second, SuccessorSince: 4 * time.Second}
			if claimed.HeldBySuccessor(r) || !answered.HeldBySuccessor(r) {
				t.Error("the claimed call is not told from one that the successor has answered")
			}
			if a.FirstProcessEnded() != (name == "ended") {
				t.Errorf("the first process has ended for certain: %v", a.FirstProcessEnded())
			}
		})
	}
}
