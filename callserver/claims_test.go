package callserver

import (
	"testing"
	"time"

	"finchlatch/feed"
	"finchlatch/office"
)

// listings are the ways in which service discovery may tell that s-9 has taken the address of s-1: the entries of each of its events.
var listings = map[string][][]feed.Member{
	"old office first, one event":  {{member("s-1", 1, feed.Deleted), member("s-9", 1, feed.Serving)}},
	"new office first, one event":  {{member("s-9", 1, feed.Serving), member("s-1", 1, feed.Deleted)}},
	"old office first, two events": {{member("s-1", 1, feed.Deleted)}, {member("s-9", 1, feed.Serving)}},
	"new office first, two events": {{member("s-9", 1, feed.Serving)}, {member("s-1", 1, feed.Deleted)}},
	"new office drains":            {{member("s-1", 1, feed.Deleted), member("s-9", 1, feed.Draining)}},
}

// newHarnessWithClaim starts a Server to which a caller claims call 7 at s-9, which serves at the address that service discovery lists for
// s-1. It returns the connection of the caller.
func newHarnessWithClaim(t *testing.T) (*harness, ConnID) {
	t.Helper()
	h := newHarness(t, nil)
	h.connectWithLoad("10.0.0.1:5080", "spare:29;total:30")
	caller := h.acceptCaller()
	h.advance(100 * time.Millisecond)
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-9"))
	h.advance(900 * time.Millisecond)
	return h, caller
}

// list has service discovery report events, and returns the last connection to the address of s-1 that is opened then; 0: none is.
func (h *harness) list(events [][]feed.Member) (conn ConnID) {
	h.t.Helper()
	for _, members := range events {
		h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(h.server.Position()+1, false, members...)}})
		if opened := h.connectWithLoad("10.0.0.1:5080", "spare:29;total:30"); opened != 0 {
			conn = opened
		}
		h.advance(10 * time.Millisecond)
	}
	return conn
}

// countReleasesToOffices returns how many releases of a call were sent on any connection to an office since the last look.
func (h *harness) countReleasesToOffices(id uint64) (count int) {
	h.t.Helper()
	for _, remote := range h.server.sortedOffices() {
		for _, conn := range remote.conns {
			for _, msg := range h.takeOfficeMessages(conn.id) {
				if msg.Type == office.Release && msg.Call == id {
					count++
				}
			}
		}
	}
	return count
}

// Guards against a claim before its office is listed that hides the office's release: it came after the listing, and was dropped.
func TestOfficeEndsACallThatWasClaimedBeforeItsListing(t *testing.T) {
	for name, events := range listings {
		t.Run(name, func(t *testing.T) {
			h, caller := newHarnessWithClaim(t)
			conn := h.list(events)
			h.advance(time.Second)
			requireMessages(t, "messages to the caller while the call is established", h.takeCallerMessages(caller))
			h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
		})
	}
}

// Guards against a release that is dropped as the office that sends it is not listed yet.
func TestOfficeEndsAClaimedCallBeforeItsListing(t *testing.T) {
	for cause, want := range map[byte][]string{office.CauseNormal: {"BYE"}, office.CauseTemporary: {"BYE"}, office.CauseNoCircuit: nil} {
		h, caller := newHarnessWithClaim(t)
		h.officeSends(h.openConns()[0], releaseMsg(7, cause, ""))
		requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), want...)
	}
}

// Guards against a BYE of a claimed call that never reaches the office, whether it comes before the office is listed or after that.
func TestCallerEndsACallThatWasClaimedBeforeItsListing(t *testing.T) {
	for name, events := range listings {
		for _, afterListing := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				h, caller := newHarnessWithClaim(t)
				if !afterListing {
					h.callerSends(caller, request("BYE", 7))
				}
				h.list(events)
				if afterListing {
					h.callerSends(caller, request("BYE", 7))
				}
				requireMessages(t, "response to the caller", h.takeCallerMessages(caller), "200")
				if count := h.countReleasesToOffices(7); count != 1 {
					t.Errorf("after the listing %v: %d releases were sent to the office", afterListing, count)
				}
			})
		}
	}
}

// Guards against a claimed call that waits for its office after service discovery has reported that as gone.
func TestClaimedCallEndsAsItsOfficeIsListedAsGone(t *testing.T) {
	for name, events := range map[string][][]feed.Member{
		"never listed before": {{member("s-9", 1, feed.Deleted)}},
		"listed before":       {{member("s-9", 1, feed.Serving)}, {member("s-9", 1, feed.Deleted)}},
		"in one event":        {{member("s-9", 1, feed.Serving), member("s-9", 1, feed.Deleted)}},
	} {
		t.Run(name, func(t *testing.T) {
			h, caller := newHarnessWithClaim(t)
			h.list(events)
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
		})
	}
}

// Calls that callers claim before their office is listed stay established while it serves.
func TestCallThatWasClaimedBeforeItsListingStaysEstablished(t *testing.T) {
	for name, events := range listings {
		t.Run(name, func(t *testing.T) {
			h, caller := newHarnessWithClaim(t)
			h.list(events)
			h.advanceServing(20 * time.Second)
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
			h.checkEstablishedAt(7, "s-9")
		})
	}
}
