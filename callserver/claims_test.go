package callserver

import (
	"fmt"
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
		h.advance(time.Millisecond) // a connection takes a moment to come up
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

// restart has the process at the address of s-1 end 1 s after the start of the call server, and another one serve there 0.5 s later. It
// returns the start of that one in Unix milliseconds. Connections are refused in between, or none is opened.
func (h *harness) restart(refused bool) (startedAtMs int64) {
	h.t.Helper()
	h.advance(time.Second)
	h.resetConns(h.openConns())
	if refused {
		h.failDials("10.0.0.1:5080", true)
		h.advance(500 * time.Millisecond)
	}
	startedAtMs = h.now.Milliseconds()
	h.connectWithLoad("10.0.0.1:5080", busyLoad)
	h.advance(100 * time.Millisecond)
	h.connectWithLoad("10.0.0.1:5080", busyLoad)
	return startedAtMs
}

// restartNews are the ways in which service discovery may tell that the process at the address of s-1 has restarted or was replaced.
var restartNews = map[string]func(startedAtMs int64) [][]feed.Member{
	"restart": func(startedAtMs int64) [][]feed.Member {
		return [][]feed.Member{{successor("s-1", startedAtMs)}}
	},
	"successor, in one event": func(startedAtMs int64) [][]feed.Member {
		return [][]feed.Member{{member("s-1", 1, feed.Deleted), successor("s-9", startedAtMs)}}
	},
	"successor, listed first": func(startedAtMs int64) [][]feed.Member {
		return [][]feed.Member{{successor("s-9", startedAtMs)}, {member("s-1", 1, feed.Deleted)}}
	},
	"successor, and the old office is not reported as gone": func(startedAtMs int64) [][]feed.Member {
		return [][]feed.Member{{successor("s-9", startedAtMs)}}
	},
	"successor without a start": func(int64) [][]feed.Member {
		return [][]feed.Member{{member("s-1", 1, feed.Deleted), member("s-9", 1, feed.Serving)}}
	},
}

// Guards against a claimed call that is taken to be held by a process which started after the call server did, and so never ends: its
// caller claims it before the restart, after it, or once service discovery has told of it.
func TestClaimAtAnOfficeThatStartedAfterTheCallServer(t *testing.T) {
	const beforeRestart, beforeNews, afterNews = "before the restart", "before the news", "after the news"
	for name, news := range restartNews {
		for _, refused := range []bool{true, false} {
			for _, claimed := range []string{beforeRestart, beforeNews, afterNews} {
				t.Run(fmt.Sprintf("%s, refused %v, claimed %s", name, refused, claimed), func(t *testing.T) {
					h := newHarness(t, nil)
					h.connectWithLoad("10.0.0.1:5080", busyLoad)
					var caller ConnID
					claim := func(when string) {
						if claimed == when {
							caller = h.acceptCaller()
							h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
						}
					}
					claim(beforeRestart)
					events := news(h.restart(refused))
					claim(beforeNews)
					h.advance(900 * time.Millisecond)
					h.list(events)
					claim(afterNews)
					if call := h.server.callsByWireID[7]; call != nil && !call.remote.unlisted() {
						t.Error("the call is established at a process that cannot hold it")
					}
					h.advanceServing(adoptedOfficeTimeout)
					requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
				})
			}
		}
	}
}

// A claimed call stays established at an office that started before the call server did, as service discovery tells before the claim.
func TestClaimAtAnOfficeThatStartedBeforeTheCallServer(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connectWithLoad("10.0.0.1:5080", "spare:29;total:30")
	h.list([][]feed.Member{{successor("s-1", (startTime - time.Second).Milliseconds())}})
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
	if opened := h.connectWithLoad("10.0.0.1:5080", "spare:29;total:30"); opened != 0 {
		conn = opened
	}
	h.advanceWithReports(20*time.Second, conn)
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
}

// A call that is claimed long after the start may be one that another call server has set up since. It stays established at an office that has
// restarted since the start, and ends with that.
func TestClaimLongAfterTheStart(t *testing.T) {
	h := newHarness(t, nil)
	h.connectWithLoad("10.0.0.1:5080", busyLoad)
	startedAtMs := h.restart(true)
	h.list([][]feed.Member{{successor("s-1", startedAtMs)}})
	conn := h.openConns()[0]
	h.advanceWithReports(claimWindow, conn)
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
	h.advanceWithReports(20*time.Second, conn)
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
	h.list([][]feed.Member{{successor("s-1", h.now.Milliseconds())}})
	requireMessages(t, "messages to the caller after another restart", h.takeCallerMessages(caller), "BYE")
}

// A call that was set up at an office after its restart stays established when its caller names it.
func TestClaimOfACallFromAfterTheRestart(t *testing.T) {
	for name, news := range restartNews {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.connectWithLoad("10.0.0.1:5080", busyLoad)
			events := news(h.restart(true))
			h.list(events)
			caller := h.acceptCaller()
			h.callerSends(caller, invite(7, "dest:1;width:1"))
			h.connectWithLoad("10.0.0.1:5080", busyLoad)
			conn, _ := h.takeSetUp(7)
			h.officeSends(conn, answerMsg(7))
			at := h.server.callsByWireID[7].remote.id
			h.takeCallerMessages(caller)
			h.callerSends(h.acceptCaller(), invite(7, "dest:1;width:1;at:"+at))
			h.advanceWithReports(20*time.Second, conn)
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
		})
	}
}

// Guards against a claimed call that waits for service discovery although a connection has been refused since the start: the process that
// held it has ended. The process that serves now is released as well, as a refusal is no proof for everybody.
func TestClaimAfterARefusedConnection(t *testing.T) {
	h := newHarness(t, nil)
	h.connectWithLoad("10.0.0.1:5080", busyLoad)
	h.restart(true)
	h.countReleasesToOffices(7)
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
	if count := h.countReleasesToOffices(7); count != 1 {
		t.Errorf("%d releases were sent to the office", count)
	}
}

// Guards against a release of a claimed call that waits for another connection to its office although one is open.
func TestClaimedCallIsReleasedAtTheSuccessorAtOnce(t *testing.T) {
	h := newHarness(t, nil)
	h.connectWithLoad("10.0.0.1:5080", busyLoad)
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
	startedAtMs := h.restart(false)
	if count := h.countReleasesToOffices(7); count != 0 {
		t.Fatalf("%d releases were sent before the news", count)
	}
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(2, false, successor("s-9", startedAtMs))}})
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
	if count := h.countReleasesToOffices(7); count != 1 {
		t.Errorf("%d releases were sent at the address", count)
	}
}

// After a restart, callers claim calls that an earlier process established. Either end can release them.
func TestCallsAdoptedAfterARestart(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	for _, id := range []uint64{7, 8, 8} {
		h.callerSends(caller, invite(id, "dest:1;width:1;at:s-1"))
	}
	h.callerSends(caller, invite(9, "dest:1;width:1;at:s-unknown"))
	requireMessages(t, "responses to callers that claim established calls", h.takeCallerMessages(caller))
	h.callerSends(caller, request("BYE", 7))
	requireMessages(t, "response to a BYE", h.takeCallerMessages(caller), "200")
	if got := h.takeOfficeMessages(conn); len(got) != 1 || got[0].Type != office.Release || got[0].Call != 7 {
		t.Fatalf("messages to the office: %v", got)
	}
	h.officeSends(conn, releaseMsg(8, office.CauseNormal, ""))
	requireMessages(t, "release by the office", h.takeCallerMessages(caller), "BYE")
	h.advance(6 * time.Second)
	requireMessages(t, "call at an office that service discovery does not list", h.takeCallerMessages(caller), "BYE")
	if _, established := h.server.CallCounts(); established != 0 {
		t.Fatalf("%d established calls", established)
	}
}

// Guards against callers who claim a call late at an office that was gone before this process started, and are told over 8 s after its
// end. If the office is listed after all, it is released there.
func TestLateClaimAtAnOfficeThatIsNotListed(t *testing.T) {
	h := newHarness(t, nil)
	caller := h.acceptCaller()
	h.advance(1500 * time.Millisecond)
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-9"))
	h.advance(adoptedOfficeTimeout - 1500*time.Millisecond)
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
	h.callerSends(caller, invite(8, "dest:1;width:1;at:s-9"))
	h.advance(lateClaimTimeout)
	requireMessages(t, "messages to a later caller", h.takeCallerMessages(caller), "BYE")
	listed := member("s-9", 9, feed.Serving)
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(2, false, listed)}})
	releases := 0
	for _, msg := range h.takeOfficeMessages(h.connect(listed.Addr)) {
		if msg.Type == office.Release {
			releases++
		}
	}
	if releases != 2 {
		t.Errorf("%d releases were sent to the office", releases)
	}
}

// After a restart of this process an office releases a call before the call's caller claims it.
func TestReleaseBeforeItsCallIsClaimed(t *testing.T) {
	h := newHarness(t, nil)
	conn := h.connect("10.0.0.1:5080")
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
	h.callerSends(caller, invite(8, "dest:1;width:1;at:s-1"))
	requireMessages(t, "messages to the caller of an established call", h.takeCallerMessages(caller))
	for id := uint64(100); id < 100+2*maxUnclaimedReleases; id++ {
		h.officeSends(conn, releaseMsg(id, office.CauseNormal, ""))
	}
	if n := len(h.server.unclaimed.causes); n > maxUnclaimedReleases {
		t.Errorf("%d unclaimed releases are kept", n)
	}
}

// Adopted calls at an office that was never reached are dropped early, those at an office that is alive are kept.
func TestACallAtAnOfficeThatWasNeverReached(t *testing.T) {
	h := newHarness(t, nil)
	h.advanceUnreachable(4 * time.Second)
	h.connect("10.0.0.2:5080")
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;at:s-1"))
	h.callerSends(caller, invite(8, "dest:2;width:1;at:s-2"))
	h.advanceUnreachable(200 * time.Millisecond)
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
}

// Guards against a claim that waits for an office to be listed which service discovery has reported as gone since the start: its call may have
// been over for seconds by then.
func TestClaimAtAnOfficeThatIsKnownToBeGone(t *testing.T) {
	for _, id := range []string{"s-1", "s-9"} { // s-9 was never listed before
		h := newHarness(t, nil)
		h.connect("10.0.0.1:5080")
		h.list([][]feed.Member{{member(id, 1, feed.Deleted)}})
		caller := h.acceptCaller()
		h.callerSends(caller, invite(7, "dest:1;width:1;at:"+id))
		requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
		h.list([][]feed.Member{{successor(id, 0)}}) // after all
		h.callerSends(caller, invite(8, "dest:1;width:1;at:"+id))
		h.checkEstablishedAt(8, id)
		h.list([][]feed.Member{{member(id, 1, feed.Deleted)}})
		requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
		h.advance(goneRetention)
		h.list([][]feed.Member{{member("s-8", 1, feed.Deleted)}})
		if len(h.server.goneAt) != 1 {
			t.Errorf("%d offices are kept as gone", len(h.server.goneAt))
		}
	}
}
