package callserver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"finchlatch/feed"
	"finchlatch/liveness"
	"finchlatch/office"
)

// stand has calls stand at office s-1, each on the connection that the Server chose.
func (b *bench) stand(c ConnID, ids ...uint64) {
	b.t.Helper()
	for _, id := range ids {
		b.say(c, invite(id, "dest:1;width:1"))
		b.up("10.0.0.1:5080")
		on, _ := b.setUp(id)
		b.office(on, answer(id))
		b.up("10.0.0.1:5080")
	}
	b.heard(c)
}

// benchWithCalls starts a Server with calls that stand at s-1, and gives their caller's connection.
func benchWithCalls(t *testing.T, ids ...uint64) (*bench, ConnID) {
	t.Helper()
	b := newBench(t, nil)
	b.up("10.0.0.1:5080")
	c := b.caller()
	b.stand(c, ids...)
	return b, c
}

// notUp has all connections that are being opened to an address not come up.
func (b *bench) notUp(addr string, refused bool) {
	b.t.Helper()
	for i := 0; i < len(b.dials); i++ {
		if d := b.dials[i]; d.Addr == addr {
			b.dials = append(b.dials[:i], b.dials[i+1:]...)
			i--
			b.apply(Input{Kind: InFailed, Conn: d.Conn, Refused: refused})
		}
	}
}

// vanishes lets time go on while nothing comes from s-1 and no connection to it comes up.
func (b *bench) vanishes(d time.Duration) {
	b.t.Helper()
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		b.pass(min(d, step))
		b.notUp("10.0.0.1:5080", false)
	}
}

// conns gives the connections to s-1 that are open, the oldest first.
func (b *bench) conns() (all []ConnID) {
	for _, a := range b.s.offices["s-1"].conns {
		if a.up && !a.halfClosed {
			all = append(all, a.id)
		}
	}
	return all
}

// count counts the messages of a type that went out to s-1, by call.
func (b *bench) count(kind office.Type) map[uint64]int {
	b.t.Helper()
	out := map[uint64]int{}
	for _, a := range b.s.offices["s-1"].conns {
		for _, m := range b.sent(a.id) {
			if m.Type == kind {
				out[m.Call]++
			}
		}
	}
	return out
}

// The incident: an office vanishes, the list says nothing, and the callers of its calls must be told within 8 s. When it is
// reached again it is told of the releases.
func TestCallsAtAnOfficeThatVanishesAreToldOver(t *testing.T) {
	b, c := benchWithCalls(t, 7, 8, 9)
	b.vanishes(liveness.FailAfter - 200*time.Millisecond)
	same(t, "before the limit", b.heard(c))
	b.vanishes(500 * time.Millisecond)
	same(t, "after it", b.heard(c), "BYE", "BYE", "BYE")
	if _, standing := b.s.Held(); standing != 0 {
		t.Errorf("%d calls stand", standing)
	}
	b.pass(2 * time.Second)
	b.up("10.0.0.1:5080")
	if got := b.count(office.Release); got[7] != 1 || got[8] != 1 || got[9] != 1 {
		t.Errorf("the office is told %v once it is reached", got)
	}
	same(t, "later", b.heard(c))
}

// A cut that heals in time costs no call, and an end that could not be told meanwhile is heard on a new connection.
func TestACutThatHealsInTimeCostsNoCall(t *testing.T) {
	b, c := benchWithCalls(t, 7, 8)
	b.vanishes(6 * time.Second)
	b.pass(time.Second)
	on := b.upWith("10.0.0.1:5080", "spare:29;total:30")
	if on == 0 {
		t.Fatal("no connection is opened to an office that is silent")
	}
	b.office(on, ends(7, office.CauseNormal, ""))
	same(t, "the caller", b.heard(c), "BYE")
	b.lives(5*time.Second, on)
	same(t, "the caller later", b.heard(c))
	if _, standing := b.s.Held(); standing != 1 {
		t.Errorf("%d calls stand", standing)
	}
}

// A cut heals, what it held back comes, and in that moment the office is lost for good: its calls are told over 8 s after its last
// sign of life, and not after those bytes. Where it goes on instead, its calls do.
func TestAnOfficeThatIsLostAsACutHeals(t *testing.T) {
	for _, lost := range []bool{true, false} {
		b, c := benchWithCalls(t, 7, 8)
		on := b.conns()[0]
		b.vanishes(5 * time.Second)
		for range 3 { // one burst
			b.office(on, &office.Message{Type: office.TestReport, Call: 1, HasCause: true, Cause: 1})
		}
		if lost {
			b.vanishes(liveness.FailAfter - 5*time.Second + 200*time.Millisecond)
			same(t, "the caller", b.heard(c), "BYE", "BYE")
			continue
		}
		b.vanishes(200 * time.Millisecond)
		b.office(on, &office.Message{Type: office.TestReport, Call: 2, HasCause: true, Cause: 1})
		b.vanishes(liveness.FailAfter - 5*time.Second + 200*time.Millisecond)
		same(t, "the caller of an office that goes on", b.heard(c))
	}
}

// An office that hangs takes connections and says nothing: its calls go on.
func TestCallsAtAnOfficeThatHangsStand(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	tests := 0
	for range 300 {
		b.pass(100 * time.Millisecond)
		for _, n := range b.count(office.Test) {
			tests += n
		}
		for i := 0; i < len(b.dials); i++ {
			if d := b.dials[i]; d.Addr == "10.0.0.1:5080" {
				b.dials = append(b.dials[:i], b.dials[i+1:]...)
				i--
				b.apply(Input{Kind: InConnected, Conn: d.Conn})
			}
		}
	}
	same(t, "the caller", b.heard(c))
	if tests < 10 {
		t.Errorf("%d heartbeats in 30 s", tests)
	}
}

// A quiet office is asked by one message each time, and no connection is opened for it.
func TestAQuietOfficeIsAskedByTests(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	b.pass(time.Second) // what is open lately has settled
	b.up("10.0.0.1:5080")
	tests := 0
	for range 100 {
		b.pass(100 * time.Millisecond)
		for _, id := range b.conns() {
			for _, m := range b.sent(id) {
				if m.Type == office.Test {
					tests++
					b.office(id, &office.Message{Type: office.TestReport, Call: m.Call, HasCause: true, Cause: 1})
				}
			}
		}
	}
	if tests < 6 || tests > 10 {
		t.Errorf("%d tests in 10 s", tests)
	}
	for _, d := range b.dials {
		if d.Addr == "10.0.0.1:5080" {
			t.Errorf("connection %d was opened", d.Conn)
		}
	}
	same(t, "the caller", b.heard(c))
}

// All connections of an office end together. A process that has started anew at its address knows none of its calls, and one
// that has only lost its connections knows them all: the circuits that it says are in use tell.
func TestAllConnectionsOfAnOfficeEnd(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration // the calls had stood for so long
		load  string
		want  []string
	}{
		"a new process":              {2 * time.Second, "spare:30;total:30", []string{"BYE", "BYE", "BYE", "BYE"}},
		"the same process":           {2 * time.Second, "spare:26;total:30", nil},
		"others' calls, too":         {2 * time.Second, "spare:3;total:30", nil},
		"ends came meanwhile":        {2 * time.Second, "spare:27;total:30", nil},
		"its word may be an old one": {liveness.StateLag / 2, "spare:30;total:30", nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.up("10.0.0.1:5080")
			caller := b.caller()
			b.stand(caller, 7, 8, 9, 10)
			b.pass(c.after)
			b.up("10.0.0.1:5080")
			b.dials = nil
			for _, id := range b.conns() { // the first is opened again before the last has ended
				b.apply(Input{Kind: InClosed, Conn: id})
				for _, d := range b.dials {
					b.apply(Input{Kind: InConnected, Conn: d.Conn})
				}
				b.dials = nil
			}
			for _, id := range b.conns() {
				b.office(id, &office.Message{Type: office.GroupState, Load: c.load})
				b.office(id, &office.Message{Type: office.GroupState, Load: "spare:9;total:30"}) // new calls
			}
			b.pass(liveness.AskStateWithin)
			same(t, "the caller", b.heard(caller), c.want...)
		})
	}
}

// However many connections there are, and whichever of them were shut to make room meanwhile: where all end together, the
// process may have ended.
func TestAnyNumberOfConnectionsOfAnOfficeEnd(t *testing.T) {
	for more := range 6 {
		b := newBench(t, nil)
		b.up("10.0.0.1:5080")
		caller := b.caller()
		b.stand(caller, 7, 8, 9)
		for range more {
			b.s.dialOffice(b.s.offices["s-1"])
			b.take()
			b.up("10.0.0.1:5080")
		}
		b.lives(2*time.Second, b.conns()[0])
		b.up("10.0.0.1:5080")
		all := b.conns()
		end := func(id ConnID) {
			if b.s.officeConns[id] != nil {
				b.apply(Input{Kind: InClosed, Conn: id, Reset: true})
				b.up("10.0.0.1:5080") // the new process has no circuit in use
			}
		}
		for _, id := range slices.Backward(all) {
			end(id)
			for _, other := range all {
				if a := b.s.officeConns[other]; a != nil && a.halfClosed {
					end(other)
				}
			}
		}
		b.pass(liveness.AskStateWithin)
		if told := len(b.heard(caller)); told != 3 {
			t.Errorf("%d connections: %d of 3 callers were told", len(all), told)
		}
	}
}

// One connection that ends alone is no sign of anything.
func TestOneConnectionThatEndsCutsNoCall(t *testing.T) {
	b, c := benchWithCalls(t, 7, 8, 9, 10)
	b.apply(Input{Kind: InClosed, Conn: b.conns()[0]})
	on := b.up("10.0.0.1:5080") // says that all circuits are free
	b.lives(time.Second, on)
	same(t, "the caller", b.heard(c))
}

// After a restart an office says that a call is over before its caller names it as one that stands.
func TestAReleaseThatCameBeforeItsCallWasNamed(t *testing.T) {
	b := newBench(t, nil)
	on := b.up("10.0.0.1:5080")
	b.office(on, ends(7, office.CauseNormal, ""))
	c := b.caller()
	b.say(c, invite(7, "dest:1;width:1;at:s-1"))
	same(t, "the caller", b.heard(c), "BYE")
	b.say(c, invite(8, "dest:1;width:1;at:s-1"))
	same(t, "of a call that stands", b.heard(c))
	for id := uint64(100); id < 100+2*maxUnclaimedReleases; id++ {
		b.office(on, ends(id, office.CauseNormal, ""))
	}
	if n := len(b.s.unclaimed.causes); n > maxUnclaimedReleases {
		t.Errorf("%d releases are kept", n)
	}
}

// Calls are said to stand at an office whose process has started anew since, as its first word on circuits shows.
func TestCallsNamedAtAProcessThatIsNoMore(t *testing.T) {
	for load, want := range map[string][]string{"spare:30;total:30": {"BYE", "BYE"}, "spare:28;total:30": nil, "spare:29;total:30": nil} {
		t.Run(load, func(t *testing.T) {
			b := newBench(t, nil)
			on := b.upWith("10.0.0.1:5080", load)
			c := b.caller()
			b.pass(time.Second)
			b.stand(c, 9) // a new call takes a circuit of its own
			b.office(on, &office.Message{Type: office.GroupState, Load: "spare:20;total:30"})
			b.say(c, invite(7, "dest:1;width:1;at:s-1"))
			b.pass(100 * time.Millisecond)
			b.say(c, invite(8, "dest:1;width:1;at:s-1"))
			same(t, "at once", b.heard(c))
			b.pass(liveness.NamedWithin)
			same(t, "the caller", b.heard(c), want...)
			if b.s.callsByWireID[9] == nil {
				t.Error("the new call was cut")
			}
		})
	}
}

// Calls that are said to stand at an office that was never reached are not kept for long, and those at one that lives are.
func TestACallAtAnOfficeThatWasNeverReached(t *testing.T) {
	b := newBench(t, nil)
	b.vanishes(4 * time.Second)
	b.up("10.0.0.2:5080")
	c := b.caller()
	b.say(c, invite(7, "dest:1;width:1;at:s-1"))
	b.say(c, invite(8, "dest:2;width:1;at:s-2"))
	b.vanishes(200 * time.Millisecond)
	same(t, "the caller", b.heard(c), "BYE")
}

// A caller's connection that was cut off stays open and swallows a release. Where callers say that they heard one, it goes out
// again on another connection.
func TestAReleaseThatIsNotHeardGoesOutOnAnotherConnection(t *testing.T) {
	heard := func(id uint64) string {
		return fmt.Sprintf("SIP/2.0 200 OK\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", id)
	}
	b := newBench(t, nil)
	b.up("10.0.0.1:5080")
	c, d := b.caller(), b.caller()
	b.stand(c, 7, 8, 9)
	b.stand(d, 10)
	on := b.conns()[0]
	b.office(on, ends(9, office.CauseNormal, ""))
	same(t, "nobody has said that he heard one", b.heard(c), "BYE")
	b.lives(byeConfirmTimeout, on)
	same(t, "so it is not said again", b.heard(d))
	b.say(c, heard(9))
	b.office(on, ends(8, office.CauseNormal, ""))
	b.say(c, heard(8))
	b.office(on, ends(7, office.CauseNormal, ""))
	b.pass(100 * time.Millisecond)
	b.say(d, request("OPTIONS", 1)) // the other one lives
	b.heard(d)
	b.lives(byeConfirmTimeout, on)
	same(t, "the other connection", b.heard(d), "BYE")
	same(t, "the first one", b.heard(c), "BYE", "BYE")
}

// A mass of calls is cut. One whose answer was lost looks like a set-up that broke; it has stood, and its caller is told that
// it is over in place of another attempt.
func TestASetUpThatBreaksAmongCuts(t *testing.T) {
	for name, tt := range map[string]struct {
		play func(b *bench, on ConnID)
		want []string
	}{
		"after them": {func(b *bench, on ConnID) {
			b.office(on, ends(8, office.CauseTemporary, ""))
			b.office(on, ends(7, office.CauseTemporary, ""))
		}, []string{"BYE", "500"}},
		"before them": {func(b *bench, on ConnID) {
			b.office(on, ends(7, office.CauseTemporary, ""))
			b.pass(liveness.CutSpread / 2)
			b.office(on, ends(8, office.CauseTemporary, ""))
		}, []string{"BYE", "500"}},
		"alone": {func(b *bench, on ConnID) {
			b.office(on, ends(7, office.CauseTemporary, ""))
			b.pass(2 * liveness.CutSpread)
			b.office(on, ends(8, office.CauseTemporary, ""))
		}, []string{"BYE"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.up("10.0.0.1:5080")
			c := b.caller()
			b.stand(c, 8)
			b.say(c, invite(7, "dest:1;width:1"))
			b.up("10.0.0.1:5080")
			on, _ := b.setUp(7)
			tt.play(b, on)
			same(t, "the caller", b.heard(c), tt.want...)
			b.pass(10 * time.Millisecond)
			b.up("10.0.0.1:5080")
			if n := len(b.s.callsByWireID); n != 2-len(tt.want) {
				t.Errorf("%d calls are held", n)
			}
		})
	}
}

// Where attempts can't be cancelled one goes on after its call was answered. Its answer is no second one for the caller, and
// what stands there is released.
func TestAnAnswerAfterTheFinalAnswer(t *testing.T) {
	b := newBench(t, func(c *Config) { c.Settings.CanCancel = false })
	b.up("10.0.0.1:5080")
	c := b.caller()
	b.say(c, invite(7, "dest:1;width:1"))
	on, _ := b.setUp(7)
	b.say(c, request("CANCEL", 7))
	same(t, "the caller", b.heard(c), "200")
	b.office(on, answer(7))
	same(t, "the caller after the answer", b.heard(c))
	if got := b.sent(on); len(got) != 1 || got[0].Type != office.Release || got[0].Call != 7 {
		t.Errorf("the office hears %v", got)
	}
	if open, standing := b.s.Held(); open != 0 || standing != 0 || len(b.s.calls) != 0 {
		t.Errorf("%d open, %d standing, %d kept", open, standing, len(b.s.calls))
	}
}

// A message that is not finished costs no set-up that is open on the same connection its answer.
func TestAnUnfinishedMessageBesideAnOpenSetUp(t *testing.T) {
	b := newBench(t, nil)
	b.up("10.0.0.1:5080")
	c := b.caller()
	b.say(c, invite(7, "dest:1;width:1"))
	on, _ := b.setUp(7)
	b.say(c, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID")
	b.pass(callerMessageTimeout + 500*time.Millisecond)
	if _, gone := b.closed[c]; gone {
		t.Fatal("the connection was closed under an open set-up")
	}
	b.office(on, answer(7))
	same(t, "the caller", b.heard(c), "200")
	b.pass(2 * callerRecheckDelay)
	if _, gone := b.closed[c]; !gone {
		t.Error("a message without an end is waited for")
	}
}

// An answer is on its way while the list is told that its office is gone and names another at its address.
func TestAnAnswerThatCrossesTheEndOfItsOffice(t *testing.T) {
	for name, after := range map[string][]feed.Member{"with a successor": {successor("s-9", 0)}, "without one": nil} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.up("10.0.0.1:5080")
			c := b.caller()
			b.say(c, invite(7, "dest:1;width:1"))
			on, _ := b.setUp(7)
			b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, false, append(after, member("s-1", 1, feed.Deleted))...)}})
			b.office(on, answer(7))
			same(t, "the answer", b.heard(c), "200")
			if after != nil {
				on = b.up("10.0.0.1:5080")
				b.lives(successorTimeout, on)
				same(t, "it stands", b.heard(c))
				b.office(on, ends(7, office.CauseNormal, ""))
			} else {
				b.pass(successorTimeout)
			}
			same(t, "the end", b.heard(c), "BYE")
		})
	}
}

// A suspected office is heard on an old connection. What it could not say meanwhile it says on a new one, which is opened at once,
// beside those that were asked for while it was out of reach.
func TestAHealIsFollowedByANewConnection(t *testing.T) {
	b, _ := benchWithCalls(t, 7, 8)
	b.vanishes(4 * time.Second)
	b.pass(300 * time.Millisecond)
	before := len(b.dials)
	b.office(b.conns()[0], &office.Message{Type: office.GroupState, Load: "spare:28;total:30"})
	if len(b.dials) != before+1 {
		t.Errorf("%d connections are asked for, %d were", len(b.dials), before)
	}
}

// Many offices are out of reach at once: the connections that are opened to learn of it keep within the descriptors.
func TestManyOfficesOutOfReachKeepWithinTheDescriptors(t *testing.T) {
	const offices = 40
	b := newBench(t, func(c *Config) { c.Offices = offices + 5 })
	var members []feed.Member
	for cell := 1; cell <= offices; cell++ {
		members = append(members, feed.Member{ID: fmt.Sprint("o-", cell), Addr: fmt.Sprintf("10.0.1.%d:5080", cell), Cell: cell, Phase: feed.Serving})
	}
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, true, members...)}})
	for cell := 1; cell <= offices; cell++ {
		b.up(fmt.Sprintf("10.0.1.%d:5080", cell))
	}
	c := b.caller()
	for cell := uint64(1); cell <= offices; cell++ {
		b.say(c, invite(cell, fmt.Sprintf("dest:%d;width:1;at:o-%d", cell, cell)))
	}
	most, pending, asked := 0, 0, []int{}
	for range 100 {
		b.pass(100 * time.Millisecond)
		most = max(most, len(b.s.officeConns))
		late := b.dials[:min(len(b.dials), pending)] // those that were asked for 0.5 s ago
		b.dials = b.dials[len(late):]
		for _, d := range late {
			b.apply(Input{Kind: InFailed, Conn: d.Conn})
		}
		asked = append(asked, len(b.dials))
		pending = asked[max(0, len(asked)-5)]
	}
	// Callers get five ninths of the descriptors, offices three, and one ninth is left.
	if limit := b.s.cfg.Offices + b.s.cfg.Offices/3; most > limit {
		t.Errorf("%d connections, %d descriptors are left for them", most, limit)
	}
	if got := len(b.heard(c)); got != offices {
		t.Errorf("%d of %d callers were told", got, offices)
	}
}

// While the process ends, new set-ups are refused and calls in transit are served.
func TestADrainTakesOnlyCallsInTransit(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	b.apply(Input{Kind: InLeave, Until: b.now + 3*time.Second})
	b.say(c, invite(8, "dest:1;width:1"))
	same(t, "a new set-up", b.heard(c), "503")
	b.say(c, invite(9, "dest:1;width:1;via:2;transit:1"))
	on, _ := b.setUp(9)
	b.office(on, answer(9))
	same(t, "a call in transit", b.heard(c), "200")
	b.office(on, ends(7, office.CauseNormal, ""))
	same(t, "the end of what stands", b.heard(c), "BYE")
}

// An office that takes connections and ends them before it says anything is not called without end, and not held up either: an
// attempt calls it at once.
func TestAnOfficeThatEndsConnectionsOnArrival(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	for _, id := range b.conns() {
		b.apply(Input{Kind: InClosed, Conn: id, Reset: true})
	}
	calls, rounds := 0, 0
	for end := b.now + time.Second; b.now < end; b.pass(time.Millisecond) {
		for ; len(b.dials) > 0 && rounds < 1000; rounds++ {
			d := b.dials[0]
			b.dials = b.dials[1:]
			calls++
			b.apply(Input{Kind: InConnected, Conn: d.Conn})
			b.apply(Input{Kind: InClosed, Conn: d.Conn})
		}
	}
	if calls < 4 || calls > 40 {
		t.Errorf("%d connections in a second", calls)
	}
	b.say(c, invite(9, "dest:1;width:1"))
	if len(b.dials) == 0 {
		t.Error("an attempt waits for the pause")
	}
	b.up("10.0.0.1:5080")
	if b.setUps(9) != 1 {
		t.Error("no set-up goes out once a connection stays")
	}
}

// The calls of an office are counted once there was time for releases on the connection whose word is used, whatever other
// connections came up before it.
func TestCallsAreCountedAfterTheirReleases(t *testing.T) {
	b, c := benchWithCalls(t, 7, 8, 9, 10)
	b.lives(2*time.Second, b.conns()[0])
	b.up("10.0.0.1:5080")
	for _, id := range b.conns() {
		b.apply(Input{Kind: InClosed, Conn: id, Reset: true})
	}
	b.pass(100 * time.Millisecond)
	i := slices.IndexFunc(b.dials, func(d Dial) bool { return d.Addr == "10.0.0.1:5080" })
	if i < 0 || b.s.offices["s-1"].unverifiedBefore == 0 {
		t.Fatalf("no doubt, or no connection is opened: %v", b.dials)
	}
	first := b.dials[i].Conn
	b.dials = slices.Delete(b.dials, i, i+1)
	b.apply(Input{Kind: InConnected, Conn: first}) // and it says nothing
	b.pass(liveness.AskStateWithin - 10*time.Millisecond)
	b.s.dialOffice(b.s.offices["s-1"])
	b.take()
	on := b.upWith("10.0.0.1:5080", "spare:29;total:30")
	b.pass(20 * time.Millisecond)
	for _, id := range []uint64{7, 8, 9} {
		b.office(on, ends(id, office.CauseNormal, ""))
	}
	b.lives(2*time.Second, on)
	same(t, "the caller", b.heard(c), "BYE", "BYE", "BYE")
	if _, standing := b.s.Held(); standing != 1 {
		t.Errorf("%d calls stand", standing)
	}
}
