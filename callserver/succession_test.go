package callserver

import (
	"testing"
	"time"

	"finchlatch/feed"
	"finchlatch/office"
)

// successor is an office with another's address.
func successor(id string, since int64) feed.Member {
	m := member(id, 1, feed.Serving)
	m.UpSince = since
	return m
}

// standsAfterAStart lets time go on until a new office starts at the address of s-1, and has a call stand there after that. It gives
// the start in Unix milliseconds.
func (b *bench) standsAfterAStart(c ConnID, after time.Duration, id uint64) (started int64) {
	b.t.Helper()
	b.pass(after)
	started = b.now.Milliseconds()
	b.pass(10 * time.Millisecond)
	b.up("10.0.0.1:5080")
	b.stand(c, id)
	return started
}

// standsAt checks where a call stands.
func (b *bench) standsAt(id uint64, office string) {
	b.t.Helper()
	if k := b.s.callsByWireID[id]; k == nil || k.remote.id != office {
		b.t.Errorf("call %d does not stand at %s", id, office)
	}
}

// Calls that were set up at an address stand at the office that has it, whatever the list calls that.
func TestCallsStandAtTheSuccessorOfAnOffice(t *testing.T) {
	gone := member("s-1", 1, feed.Deleted)
	for name, order := range map[string][]feed.Member{
		"it is listed first":  {successor("s-9", (start + 2*time.Second).Milliseconds()), gone},
		"it is listed second": {gone, successor("s-9", (start + 2*time.Second).Milliseconds())},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, nil)
			b.up("10.0.0.1:5080")
			c := b.caller()
			b.stand(c, 7)
			b.pass(2*time.Second + 500*time.Millisecond)
			for _, id := range b.conns() {
				b.apply(Input{Kind: InClosed, Conn: id})
			}
			b.notUp("10.0.0.1:5080", true) // the process has ended
			same(t, "the caller of the first call", b.heard(c), "BYE")
			b.pass(3 * time.Second)
			b.up("10.0.0.1:5080") // a new one has the address
			b.stand(c, 8)
			for i, m := range order {
				b.apply(Input{Kind: InJournal, Events: []feed.Event{list(uint64(2+i), false, m)}})
				b.pass(10 * time.Millisecond)
			}
			same(t, "the caller of the second call", b.heard(c))
			on := b.up("10.0.0.1:5080")
			b.office(on, ends(8, office.CauseNormal, ""))
			same(t, "the caller, told by the successor", b.heard(c), "BYE")
		})
	}
}

// Two offices in a row had the address before the list told of either: what was set up last stands at the second.
func TestCallsStandAtTheSuccessorOfASuccessor(t *testing.T) {
	b := newBench(t, nil)
	b.up("10.0.0.1:5080")
	b.pass(2 * time.Second)
	first := b.now.Milliseconds()
	c := b.caller()
	b.stand(c, 7)
	b.pass(2 * time.Second)
	for _, id := range b.conns() {
		b.apply(Input{Kind: InClosed, Conn: id})
	}
	b.notUp("10.0.0.1:5080", true) // the first successor has ended
	same(t, "the first caller", b.heard(c), "BYE")
	b.pass(2 * time.Second)
	b.up("10.0.0.1:5080")
	b.stand(c, 8)
	gone := successor("s-8", first)
	gone.Phase = feed.Deleted
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, false, member("s-1", 1, feed.Deleted)),
		list(3, false, successor("s-8", first)), list(4, false, gone), list(5, false, successor("s-9", b.now.Milliseconds()-100))}})
	same(t, "the caller", b.heard(c))
	if k := b.s.callsByWireID[8]; k == nil || k.remote.id != "s-9" {
		t.Error("the call does not stand at the office that has the address")
	}
}

// What was set up at an address stands at its newest office, also where the list ends the old one first and nobody saw it
// replaced.
func TestASuccessorThatIsNamedAfterTheEndOfItsOffice(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	since := b.standsAfterAStart(c, time.Second, 8)
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, false, member("s-1", 1, feed.Deleted)),
		list(3, false, successor("s-9", since))}})
	same(t, "the callers", b.heard(c), "BYE")
	b.standsAt(8, "s-9")
}

// An office that is gone and has no successor holds nothing.
func TestNoSuccessorIsNamed(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	b.s.offices["s-1"].replacedAt = start - 1
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, false, member("s-1", 1, feed.Deleted))}})
	same(t, "at once", b.heard(c))
	b.pass(successorTimeout)
	same(t, "later", b.heard(c), "BYE")
	if b.s.offices["s-1"] != nil {
		t.Error("the office is kept")
	}
}

// The list still names an office whose address belongs to another one already: a release counts from either.
func TestAReleaseFromTheOfficeThatHasTheAddress(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, false, successor("s-9", 0))}})
	on := b.up("10.0.0.1:5080")
	if b.s.officeConns[on].remote.id != "s-9" {
		t.Fatal("no connection to the new office")
	}
	b.office(on, ends(7, office.CauseNormal, ""))
	same(t, "the caller", b.heard(c), "BYE")
}

// A new office was listed while the old one at its address still was. Once that is gone, its calls from before the new one's
// start are over, and later ones stand at the new one.
func TestTheStartOfASuccessorDividesTheCalls(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	since := b.standsAfterAStart(c, 2*time.Second, 8)
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, false, successor("s-9", since))}})
	b.up("10.0.0.1:5080")
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(3, false, member("s-1", 1, feed.Deleted))}})
	same(t, "the callers", b.heard(c), "BYE")
	b.standsAt(8, "s-9")
}

// What the list says of an office that is gone may carry an address that is another's by now.
func TestTheAddressOfAnOfficeThatIsGone(t *testing.T) {
	b, _ := benchWithCalls(t, 7)
	b.s.offices["s-1"].replacedAt = start - 1 // the call stands at whoever has the address
	gone := member("s-1", 1, feed.Deleted)
	gone.Addr = "10.0.0.2:5080"
	b.apply(Input{Kind: InJournal, Events: []feed.Event{list(2, false, gone, successor("s-9", 0))}})
	if k := b.s.callsByWireID[7]; k == nil || k.remote.id != "s-9" {
		t.Error("the call does not stand at the office that has its address")
	}
}
