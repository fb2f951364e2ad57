package callserver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"finchlatch/feed"
	"finchlatch/office"
)

// byeResponse is the response of a client to the BYE of a call.
func byeResponse(id uint64, status string) string {
	return fmt.Sprintf("SIP/2.0 %s\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", status, id)
}

// withClass replaces the class of an INVITE; empty: it has none.
func withClass(invite, class string) string {
	if class == "" {
		return strings.Replace(invite, "X-Cos: status-check\r\n", "", 1)
	}
	return strings.ReplaceAll(invite, "X-Cos: status-check", "X-Cos: "+class)
}

// unknownClients are what clients send that are not callers. None of it shows that a connection is from callers.
var unknownClients = map[string]string{
	"unknown class":                  withClass(invite(99, "dest:1;width:1"), "no-such-class"),
	"unknown class, again and again": withClass(invite(99, "dest:1;width:1")+invite(98, "dest:1;width:1"), "no-such-class"),
	"no class":                       withClass(invite(99, "dest:1;width:1"), ""),
	"unknown class to nowhere":       withClass(invite(99, "dest:9;width:1"), "x"),
	"claim at an unlisted office":    invite(99, "at:s-99"),
	"claim with an unknown class":    withClass(invite(99, "at:s-1"), "x"),
	"claims at an unlisted office":   strings.Repeat(invite(99, "at:s-99"), 2), // the second one names a call that is known here
	"BYE of a call claimed there":    invite(99, "at:s-99") + strings.Repeat(request("ACK", 99)+request("BYE", 99), 2) + invite(99, "at:s-99"),
	"BYE of one with such a class":   withClass(invite(99, "at:s-1"), "x") + request("BYE", 99) + request("BYE", 99),
	"no Call-ID":                     strings.Replace(invite(99, "dest:1;width:1"), "Call-ID", "X-ID", 1),
	"a figure out of range":          invite(99, "dest:70000;width:1"),
	"no description":                 request("INVITE", 99),
	"OPTIONS":                        request("OPTIONS", 99),
	"BYE of an unknown call":         request("BYE", 99),
	"CANCEL of an unknown call":      request("CANCEL", 99),
	"NOTIFY and ACK":                 request("NOTIFY", 99) + request("ACK", 99),
	"an unknown method":              request("SUBSCRIBE", 99),
	"a response nobody asked for":    byeResponse(99, "200 OK"),
	"a response to a foreign BYE":    byeResponse(7, "200 OK"),
	"the ID of a foreign call":       invite(8, "dest:1;width:1"), // 8 is outstanding or, where there are no callers, 7 has ended
	"the beginning of a set-up":      invite(99, "dest:1;width:1")[:100],
	"unreadable":                     "\x00\x01\r\n\r\n",
	"nothing":                        "",
}

// newHarnessForReleases establishes call 7, whose caller's connection has ended since, and returns the connection of its office.
func newHarnessForReleases(t *testing.T) (*harness, ConnID) {
	t.Helper()
	h := newHarness(t, func(cfg *Config) { cfg.MaxCallerConns = 50 })
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.establish(caller, 7)
	conn := h.server.callsByWireID[7].conn.id
	h.apply(Input{Kind: InClosed, Conn: caller})
	return h, conn
}

// refusedCall sends a set-up that an office refuses, as its number is busy.
func (h *harness) refusedCall(caller ConnID, id uint64) {
	h.t.Helper()
	h.callerSends(caller, invite(id, "dest:1;width:1"))
	h.connect("10.0.0.1:5080")
	conn, _ := h.takeSetUp(id)
	h.officeSends(conn, releaseMsg(id, office.CauseBusy, "occupied"))
}

// countByes returns the number of BYE of call 7 written to a client since the last look.
func (h *harness) countByes(client ConnID) int {
	written := string(h.written[client])
	delete(h.written, client)
	return strings.Count(written, "Call-ID: 0000000000000007\r\nCSeq: 2 BYE")
}

// Guards against a release that goes to an unknown client and never to its caller: any INVITE counted as a sign of callers, so that a
// client that was refused for its class got the BYE.
func TestReleaseGoesToCallersNotToUnknownClients(t *testing.T) {
	for name, text := range unknownClients {
		for _, clientFirst := range []bool{true, false} {
			for _, clientResponds := range []string{"", "200 OK", "481 Call/Transaction Does Not Exist"} {
				t.Run(fmt.Sprintf("%s, before the callers' last set-up %v, responds %q", name, clientFirst, clientResponds), func(t *testing.T) {
					h, conn := newHarnessForReleases(t)
					client, caller := h.acceptCaller(), h.acceptCaller()
					h.callerSends(caller, invite(8, "dest:1;width:1")) // outstanding
					if clientFirst {
						h.callerSends(client, text)
						h.advance(100 * time.Millisecond)
					}
					h.refusedCall(caller, 20)
					if !clientFirst {
						h.advance(100 * time.Millisecond)
						h.callerSends(client, text)
					}
					h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
					if n := h.countByes(caller); n != 1 {
						t.Fatalf("%d BYE to the caller at once", n)
					}
					if clientResponds != "" {
						h.callerSends(client, byeResponse(7, clientResponds))
					}
					h.advance(10 * time.Second)
					if n := h.countByes(client); n != 0 {
						t.Errorf("%d BYE to the unknown client", n)
					}
				})
			}
		}
	}
}

// A release that no caller's connection can carry waits for callers, whatever unknown clients send meanwhile.
func TestReleaseWaitsForCallersNotForUnknownClients(t *testing.T) {
	for name, text := range unknownClients {
		t.Run(name, func(t *testing.T) {
			h, conn := newHarnessForReleases(t)
			h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
			client := h.acceptCaller()
			h.callerSends(client, strings.Replace(text, "Call-ID: 0000000000000008", "Call-ID: 0000000000000007", 1)) // no call is outstanding
			h.advance(30 * time.Second)
			if n := h.countByes(client); n != 0 {
				t.Fatalf("%d BYE to the unknown client", n)
			}
			caller := h.acceptCaller()
			h.callerSends(caller, invite(20, "dest:9;width:1"))
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE", "503")
		})
	}
}

// A client that has sent nothing but what callers send can't be told from callers. Their connection gets the release within 1 s all the
// same, whether or not such a client responds to it, and at once if callers connect later.
func TestReleaseReachesCallersBesideClientsLikeThem(t *testing.T) {
	for _, clients := range []int{1, 2, 5} {
		for _, legs := range []string{"dest:9;width:1", "at:s-1"} {
			for _, response := range []string{"", "200 OK", "481 Call/Transaction Does Not Exist"} {
				for _, callersRespond := range []bool{true, false} {
					for _, callersLater := range []bool{true, false} {
						label := fmt.Sprintf("%d clients, %s, response %q, callers respond %v, come later %v", clients, legs, response, callersRespond, callersLater)
						t.Run(label, func(t *testing.T) {
							h, conn := newHarnessForReleases(t)
							h.server.byesAnswered = callersRespond
							var caller ConnID
							if !callersLater {
								caller = h.acceptCaller()
								h.callerSends(caller, invite(20, "dest:9;width:1"))
							}
							others := h.acceptClientsLikeCallers(clients, legs)
							h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
							h.respondToByes(others, response, 750*time.Millisecond)
							if callersLater {
								h.advance(5 * time.Second)
								caller = h.acceptCaller()
								h.callerSends(caller, invite(20, "dest:9;width:1"))
							}
							if n := h.countByes(caller); n != 1 {
								t.Errorf("%d BYE to the caller", n)
							}
						})
					}
				}
			}
		}
	}
}

// acceptClientsLikeCallers accepts connections of unknown clients that send an INVITE as callers do.
func (h *harness) acceptClientsLikeCallers(count int, legs string) (clients []ConnID) {
	for i := range count {
		h.advance(10 * time.Millisecond)
		client := h.acceptCaller()
		h.callerSends(client, invite(uint64(30+i), legs))
		clients = append(clients, client)
	}
	return clients
}

// respondToByes advances the time, while clients respond to each BYE of call 7; "": they do not.
func (h *harness) respondToByes(clients []ConnID, response string, duration time.Duration) {
	const step = 50 * time.Millisecond
	for ; duration > 0; duration -= step {
		for _, client := range clients {
			if h.countByes(client) > 0 && response != "" {
				h.callerSends(client, byeResponse(7, response))
			}
		}
		h.advance(step)
	}
}

// Of connections that carried no established call, the one whose set-up an office could use is preferred, and the one on which something
// came that callers never send comes last. Each gets the release only if the one before has not responded.
func TestReleasePrefersTheLikeliestCallers(t *testing.T) {
	for name, misbehaviour := range map[string]string{
		"unknown class": withClass(invite(23, "dest:1;width:1"), "no-such-class"),
		"invalid field": strings.Replace(invite(23, "dest:1;width:1"), "X-Timer-Ms: 3000", "X-Timer-Ms: -3", 1),
		"foreign ID":    invite(21, "dest:1;width:1"),
	} {
		t.Run(name, func(t *testing.T) {
			h, conn := newHarnessForReleases(t)
			usable, offered, misbehaved := h.acceptCaller(), h.acceptCaller(), h.acceptCaller()
			h.refusedCall(usable, 20)
			h.callerSends(offered, changedInvite(21))                 // to a number that is not busy: outstanding
			h.callerSends(misbehaved, changedInvite(22)+misbehaviour) // the set-up, outstanding, keeps the connection open
			h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
			for _, wanted := range []ConnID{usable, offered, misbehaved} {
				for _, client := range []ConnID{usable, offered, misbehaved} {
					if n := h.countByes(client); (n == 1) != (client == wanted) {
						t.Errorf("%d BYE on connection %d, when it is the turn of %d", n, client, wanted)
					}
				}
				h.advance(byeResponseTimeout)
			}
		})
	}
}

// Only a final response on a connection on which a release was sent shows that it was heard.
func TestResponsesThatDoNotConfirmARelease(t *testing.T) {
	for name, respond := range map[string]func(h *harness, own, other ConnID){
		"provisional":           func(h *harness, own, _ ConnID) { h.callerSends(own, byeResponse(7, "100 Trying")) },
		"on another connection": func(h *harness, _, other ConnID) { h.callerSends(other, byeResponse(7, "200 OK")) },
		"to another BYE":        func(h *harness, own, _ ConnID) { h.callerSends(own, byeResponse(8, "200 OK")) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.connect("10.0.0.1:5080")
			own, other := h.acceptCaller(), h.acceptCaller()
			h.establish(own, 7)
			h.establish(other, 8)
			h.officeSends(h.server.callsByWireID[7].conn.id, releaseMsg(7, office.CauseNormal, ""))
			respond(h, own, other)
			h.advance(100 * time.Millisecond)
			h.apply(Input{Kind: InClosed, Conn: own, Reset: true})
			if n := h.countByes(other); n != 1 {
				t.Errorf("%d BYE on the other connection", n)
			}
		})
	}
}

// A release that was sent on a connection which turns out to be from callers later counts as heard like any other.
func TestReleaseOnAConnectionThatTurnsOutToBeFromCallers(t *testing.T) {
	for _, responds := range []bool{true, false} {
		for _, callersRespond := range []bool{true, false} {
			h, conn := newHarnessForReleases(t)
			h.server.byesAnswered = callersRespond
			caller := h.acceptCaller()
			h.callerSends(caller, invite(20, "dest:9;width:1"))
			h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
			if responds {
				h.callerSends(caller, byeResponse(7, "200 OK"))
			}
			h.establish(caller, 8)
			h.advance(2 * time.Second)
			unheard := 0
			if !responds && callersRespond {
				unheard = 1
			}
			if n := len(h.server.callerReleases.byWireID); n != unheard {
				t.Errorf("responds %v, callers respond %v: %d releases are kept", responds, callersRespond, n)
			}
		}
	}
}

// Where callers do not respond to BYE, one counts as heard once its connection has been up for connLossDelay.
func TestReleaseOnAConnectionThatEndsSoon(t *testing.T) {
	for after, want := range map[time.Duration]int{connLossDelay - 50*time.Millisecond: 1, connLossDelay + 50*time.Millisecond: 0} {
		h := newHarness(t, nil)
		h.connect("10.0.0.1:5080")
		own, other := h.acceptCaller(), h.acceptCaller()
		h.establish(own, 7)
		h.establish(other, 8)
		h.officeSends(h.server.callsByWireID[7].conn.id, releaseMsg(7, office.CauseNormal, ""))
		h.advance(after)
		h.apply(Input{Kind: InClosed, Conn: own})
		if n := h.countByes(other); n != want {
			t.Errorf("%d BYE on another connection, %v after the first", n, after)
		}
	}
}

// A release that nobody responds to is sent on every connection that may be from callers, once, and given up in the end.
func TestUnheardReleaseIsGivenUp(t *testing.T) {
	h := newHarness(t, nil)
	h.connect("10.0.0.1:5080")
	h.server.byesAnswered = true
	conns := []ConnID{h.acceptCaller(), h.acceptCaller(), h.acceptCaller()}
	h.establish(conns[0], 7)
	h.callerSends(conns[1], invite(20, "dest:9;width:1"))
	h.refusedCall(conns[2], 21)
	h.officeSends(h.server.callsByWireID[7].conn.id, releaseMsg(7, office.CauseNormal, ""))
	h.advance(releaseRepeatTimeout + time.Second)
	for _, conn := range conns {
		if n := h.countByes(conn); n != 1 {
			t.Errorf("%d BYE on connection %d", n, conn)
		}
	}
	if n := len(h.server.callerReleases.byWireID); n != 0 {
		t.Errorf("%d releases are kept", n)
	}
}

// After a restart callers may claim a call at an office that service discovery lists later. Their connection counts from then on.
func TestClaimCountsOnceItsOfficeIsListed(t *testing.T) {
	h, conn := newHarnessForReleases(t)
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	caller := h.acceptCaller()
	h.callerSends(caller, invite(9, "dest:1;width:1;at:s-9"))
	h.advance(time.Second)
	if n := h.countByes(caller); n != 0 {
		t.Errorf("%d BYE before the office is listed", n)
	}
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(2, false, member("s-9", 1, feed.Serving))}})
	h.advance(adoptedOfficeTimeout)
	if n := h.countByes(caller); n != 1 {
		t.Errorf("%d BYE once the office is listed", n)
	}
}

// Connections of unknown clients are closed before those of callers when there are too many: set-ups that are refused for their class
// counted as calls.
func TestUnknownClientsDoNotEvictCallers(t *testing.T) {
	h := newHarness(t, nil)
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.refusedCall(caller, 20)
	for i := range 100 {
		h.advance(10 * time.Millisecond)
		client := h.acceptCaller()
		h.callerSends(client, withClass(invite(uint64(100+i), "dest:1;width:1"), "no-such-class"))
	}
	if _, closed := h.closed[caller]; closed {
		t.Error("a connection of callers was closed in favour of unknown clients")
	}
}

// Guards against a call server that is busy for seconds with copies of releases when many calls end beside many clients.
func TestCopiesOfReleasesAreBounded(t *testing.T) {
	const clients, calls = 200, 400
	h := newHarness(t, func(cfg *Config) { cfg.MaxCallerConns, cfg.MaxOpenCalls = 2*clients, 2*calls })
	claimer := h.acceptCaller()
	for id := range uint64(calls) {
		h.callerSends(claimer, invite(1000+id, "dest:1;width:1;at:s-1"))
	}
	h.apply(Input{Kind: InClosed, Conn: claimer})
	likeCallers := h.acceptClientsLikeCallers(clients, "dest:9;width:1")
	h.server.dropEstablishedCalls(h.server.offices["s-1"], "test")
	h.collectEffects()
	copies, largestRound := 0, 0
	for range 12 { // less than releaseRepeatTimeout
		round := 0
		for _, client := range likeCallers {
			round += strings.Count(string(h.written[client]), "CSeq: 2 BYE")
			delete(h.written, client)
		}
		copies, largestRound = copies+round, max(largestRound, round)
		h.advance(byeResponseTimeout)
	}
	if copies > calls*maxReleaseCopies || largestRound > maxCopiesAtOnce || copies < 3*calls {
		t.Errorf("%d copies of %d releases, up to %d at once", copies, calls, largestRound)
	}
	caller := h.acceptCaller()
	h.callerSends(caller, invite(20, "dest:1;width:1"))
	h.connect("10.0.0.1:5080")
	h.answerSetUp(20, "spare:30;total:30")
	if got := strings.Count(string(h.written[caller]), "CSeq: 2 BYE"); got != calls {
		t.Errorf("%d of %d releases reached the caller that turned up", got, calls)
	}
	h.server.byesAnswered = true // the caller does not respond, though others have
	h.advance(2 * releaseRepeatTimeout)
	if n := len(h.server.callerReleases.byWireID); n != 0 {
		t.Errorf("%d releases are kept", n)
	}
}

// The releases that wait for callers are bounded, and the newest are kept.
func TestWaitingReleasesAreBounded(t *testing.T) {
	h := newHarness(t, nil)
	for id := range uint64(maxCallerReleases + 10) {
		h.server.releaseToCaller(&activeCall{wireID: 1000 + id}, office.CauseNormal)
	}
	if n := len(h.server.callerReleases.byWireID); n != maxCallerReleases || h.server.callerReleases.byWireID[1000] != nil {
		t.Errorf("%d releases are kept, the oldest one among them: %v", n, h.server.callerReleases.byWireID[1000] != nil)
	}
}

func TestReleaseWaitsForAConnectionFromCallers(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.officeSends(conn, answerMsg(7))
	h.apply(Input{Kind: InClosed, Conn: caller})
	h.officeSends(conn, releaseMsg(7, office.CauseTemporary, ""))
	otherCaller := h.acceptCaller()
	h.callerSends(otherCaller, invite(9, "dest:9;width:1"))
	requireMessages(t, "messages on the next connection", h.takeCallerMessages(otherCaller), "BYE", "503")
}
