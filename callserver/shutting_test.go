package callserver

import (
	"slices"
	"testing"
	"time"

	"finchlatch/office"
)

// A release that a cut holds back is heard when it heals, on the connection on which the office wrote it: also where that was
// shut meanwhile, since an attempt on it got no answer.
func TestAReleaseThatACutHeldBack(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	old := b.conns()
	b.say(c, invite(9, "dest:1;width:1"))
	b.vanishes(5 * time.Second)
	b.heard(c)
	if now := b.conns(); slices.Contains(now, old[0]) {
		t.Fatalf("%v are not shut: %v", old, now)
	}
	b.office(old[0], ends(7, office.CauseNormal, ""))
	same(t, "the caller", b.heard(c), "BYE")
}

// An office falls silent a moment after a connection was shut: what it wrote there may be held back, long before it is suspected.
func TestASilenceThatBeginsAsAConnectionIsShut(t *testing.T) {
	b, c := benchWithCalls(t, 7)
	old := b.s.officeConns[b.conns()[0]]
	b.s.halfClose(old, "as it makes room")
	b.pass(time.Millisecond)
	b.up("10.0.0.1:5080")
	b.vanishes(5 * time.Second)
	b.office(old.id, ends(7, office.CauseNormal, ""))
	same(t, "the caller", b.heard(c), "BYE")
}

// A connection that was shut is not kept for good: it is closed once its office answers again, or is given up.
func TestAShutConnectionIsClosedInTheEnd(t *testing.T) {
	for name, ends := range map[string]func(b *bench){
		"alive": func(b *bench) {
			b.pass(500 * time.Millisecond) // a connection is being opened at the end of it
			b.lives(3*time.Second, b.up("10.0.0.1:5080"))
		},
		"failed": func(b *bench) { b.vanishes(3 * time.Second) },
	} {
		b, c := benchWithCalls(t, 7)
		old := b.conns()
		b.say(c, invite(9, "dest:1;width:1"))
		b.vanishes(5 * time.Second)
		if b.s.officeConns[old[0]] == nil {
			t.Errorf("%s: closed while a release may be held back", name)
		}
		ends(b)
		b.pass(halfClosedTimeout + time.Millisecond)
		if b.s.officeConns[old[0]] != nil {
			t.Errorf("%s: never closed", name)
		}
	}
}

// Connections that are shut and read on make room for new ones where descriptors are short.
func TestConnectionsThatLingerMakeRoom(t *testing.T) {
	b := newBench(t, func(c *Config) { c.Offices = halfClosedDivisor })
	b.up("10.0.0.1:5080")
	c := b.caller()
	b.stand(c, 7)
	b.say(c, invite(9, "dest:1;width:1"))
	most, lingered := 0, false
	for range 50 {
		b.vanishes(100 * time.Millisecond)
		most = max(most, len(b.s.officeConns))
		for _, a := range b.s.officeConns {
			lingered = lingered || a.lingering
		}
	}
	if limit := b.s.cfg.Offices + maxDialling; most > limit || !lingered {
		t.Errorf("%d connections, at most %d may be; one lingered: %v", most, limit, lingered)
	}
	if b.s.halfClosedConns < 0 {
		t.Errorf("%d connections are counted as shut", b.s.halfClosedConns)
	}
}

// A release that was written on a connection which had gone silent goes out again when that ends, however late.
func TestAReleaseOnASilentConnectionGoesOutAgain(t *testing.T) {
	b, c := benchWithCalls(t, 7, 8)
	on := b.s.callsByWireID[7].conn.id
	b.say(c, request("BYE", 7))
	b.heard(c)
	if got := b.sent(on); len(got) != 1 || got[0].Type != office.Release {
		t.Fatalf("the office hears %v", got)
	}
	b.vanishes(3 * time.Second)
	b.apply(Input{Kind: InClosed, Conn: on})
	b.up("10.0.0.1:5080")
	if got := b.count(office.Release); got[7] != 1 {
		t.Errorf("the office is told %v", got)
	}
}

// A release on a connection that is shut, and that its office resets in place of closing it, may not have been read.
func TestAReleaseOnAConnectionThatIsResetAfterItWasShut(t *testing.T) {
	for _, reset := range []bool{true, false} {
		b, c := benchWithCalls(t, 7, 8)
		on := b.s.callsByWireID[7].conn
		b.say(c, request("BYE", 7))
		b.s.halfClose(on, "as it makes room")
		b.apply(Input{Kind: InClosed, Conn: on.id, Reset: reset})
		if got := b.count(office.Release)[7]; got != map[bool]int{true: 1, false: 0}[reset] {
			t.Errorf("reset %v: the office is told %d times on other connections", reset, got)
		}
	}
}
