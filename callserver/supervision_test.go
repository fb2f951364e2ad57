package callserver

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"finchlatch/feed"
	"finchlatch/liveness"
	"finchlatch/office"
)

// establish establishes calls at office s-1, each on the connection that the Server chose.
func (h *harness) establish(caller ConnID, ids ...uint64) {
	h.t.Helper()
	for _, id := range ids {
		h.callerSends(caller, invite(id, "dest:1;width:1"))
		h.connect("10.0.0.1:5080")
		conn, _ := h.takeSetUp(id)
		h.officeSends(conn, answerMsg(id))
		h.connect("10.0.0.1:5080")
	}
	h.takeCallerMessages(caller)
}

// newHarnessWithCalls starts a Server with calls established at s-1 and returns their caller's connection.
func newHarnessWithCalls(t *testing.T, ids ...uint64) (*harness, ConnID) {
	t.Helper()
	h := newHarness(t, nil)
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.establish(caller, ids...)
	return h, caller
}

// failDials makes all connections fail that are being dialled to an address.
func (h *harness) failDials(addr string, refused bool) {
	h.t.Helper()
	for i := 0; i < len(h.dials); i++ {
		if dial := h.dials[i]; dial.Addr == addr {
			h.dials = append(h.dials[:i], h.dials[i+1:]...)
			i--
			h.apply(Input{Kind: InFailed, Conn: dial.Conn, Refused: refused})
		}
	}
}

// advanceUnreachable advances the time while nothing is received from s-1 and connections to it fail.
func (h *harness) advanceUnreachable(duration time.Duration) {
	h.t.Helper()
	const step = 100 * time.Millisecond
	for ; duration > 0; duration -= step {
		h.advance(min(duration, step))
		h.failDials("10.0.0.1:5080", false)
	}
}

// openConns returns the connections to s-1 that are up and not half-closed, oldest first.
func (h *harness) openConns() (conns []ConnID) {
	for _, conn := range h.server.offices["s-1"].conns {
		if conn.up && !conn.halfClosed {
			conns = append(conns, conn.id)
		}
	}
	return conns
}

// countSent counts the messages of a type sent to s-1, by call, and clears all messages to s-1.
func (h *harness) countSent(msgType office.Type) map[uint64]int {
	h.t.Helper()
	counts := map[uint64]int{}
	for _, conn := range h.server.offices["s-1"].conns {
		for _, msg := range h.takeOfficeMessages(conn.id) {
			if msg.Type == msgType {
				counts[msg.Call]++
			}
		}
	}
	return counts
}

// An office becomes unreachable and service discovery reports nothing: the callers of its calls must be notified within 8 s. Once
// the office can be reached again, its calls are released there.
func TestCallsAtAnUnresponsiveOfficeAreDropped(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7, 8, 9)
	h.advanceUnreachable(liveness.FailAfter - 200*time.Millisecond)
	requireMessages(t, "messages to the caller before the limit", h.takeCallerMessages(caller))
	h.advanceUnreachable(500 * time.Millisecond)
	requireMessages(t, "messages to the caller after it", h.takeCallerMessages(caller), "BYE", "BYE", "BYE")
	if _, established := h.server.CallCounts(); established != 0 {
		t.Errorf("%d established calls", established)
	}
	h.advance(2 * time.Second)
	h.connect("10.0.0.1:5080")
	if got := h.countSent(office.Release); got[7] != 1 || got[8] != 1 || got[9] != 1 {
		t.Errorf("releases sent once the office can be reached, by call: %v", got)
	}
	requireMessages(t, "later messages to the caller", h.takeCallerMessages(caller))
}

// A network partition that heals in time drops no call, and a release that was lost in it arrives on a new connection.
func TestNetworkPartitionThatHealsInTimeDropsNoCall(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7, 8)
	h.advanceUnreachable(6 * time.Second)
	h.advance(time.Second)
	conn := h.connectWithLoad("10.0.0.1:5080", "spare:29;total:30")
	if conn == 0 {
		t.Fatal("no connection is dialled to an unresponsive office")
	}
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE")
	h.advanceWithReports(5*time.Second, conn)
	requireMessages(t, "later messages to the caller", h.takeCallerMessages(caller))
	if _, established := h.server.CallCounts(); established != 1 {
		t.Errorf("%d established calls", established)
	}
}

// A network partition heals, delayed bytes arrive, and in that moment the office fails: its calls must be dropped within 8 s of its
// last activity, not of those possibly stale bytes. If the office is alive instead, its calls stay established.
func TestOfficeThatFailsAsANetworkPartitionHeals(t *testing.T) {
	for _, fails := range []bool{true, false} {
		h, caller := newHarnessWithCalls(t, 7, 8)
		conn := h.openConns()[0]
		h.advanceUnreachable(5 * time.Second)
		for range 3 { // delayed bytes, all at once
			h.officeSends(conn, &office.Message{Type: office.HealthReport, Call: 1, HasCause: true, Cause: 1})
		}
		if fails {
			h.advanceUnreachable(liveness.FailAfter - 5*time.Second + 200*time.Millisecond)
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "BYE", "BYE")
			continue
		}
		h.advanceUnreachable(200 * time.Millisecond)
		h.officeSends(conn, &office.Message{Type: office.HealthReport, Call: 2, HasCause: true, Cause: 1})
		h.advanceUnreachable(liveness.FailAfter - 5*time.Second + 200*time.Millisecond)
		requireMessages(t, "messages to the caller if the office is alive", h.takeCallerMessages(caller))
	}
}

// A hung office accepts connections and sends nothing: its calls stay established.
func TestCallsAtAHungOfficeStayEstablished(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7)
	heartbeats := 0
	for range 300 {
		h.advance(100 * time.Millisecond)
		for _, count := range h.countSent(office.HealthCheck) {
			heartbeats += count
		}
		for i := 0; i < len(h.dials); i++ {
			if dial := h.dials[i]; dial.Addr == "10.0.0.1:5080" {
				h.dials = append(h.dials[:i], h.dials[i+1:]...)
				i--
				h.apply(Input{Kind: InConnected, Conn: dial.Conn})
			}
		}
	}
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
	if heartbeats < 10 {
		t.Errorf("%d heartbeats in 30 s", heartbeats)
	}
}

// An office that has nothing to send gets one heartbeat per interval, and no connection is opened for that.
func TestIdleOfficeIsSentHeartbeats(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7)
	h.advance(time.Second) // until the check of new connections is over
	h.connect("10.0.0.1:5080")
	heartbeats := 0
	for range 100 {
		h.advance(100 * time.Millisecond)
		for _, conn := range h.openConns() {
			for _, msg := range h.takeOfficeMessages(conn) {
				if msg.Type == office.HealthCheck {
					heartbeats++
					h.officeSends(conn, &office.Message{Type: office.HealthReport, Call: msg.Call, HasCause: true, Cause: 1})
				}
			}
		}
	}
	if heartbeats < 6 || heartbeats > 10 {
		t.Errorf("%d heartbeats in 10 s", heartbeats)
	}
	for _, dial := range h.dials {
		if dial.Addr == "10.0.0.1:5080" {
			t.Errorf("connection %d was dialled", dial.Conn)
		}
	}
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
}

// All connections to an office end together. A new process at its address holds none of its calls, one that has only lost its
// connections holds them all: the circuits that it reports as in use show which.
func TestAllConnectionsOfAnOfficeEnd(t *testing.T) {
	for name, tt := range map[string]struct {
		age  time.Duration // of the calls when the connections end
		load string
		want []string
	}{
		"new process":                      {2 * time.Second, "spare:30;total:30", []string{"BYE", "BYE", "BYE", "BYE"}},
		"same process":                     {2 * time.Second, "spare:26;total:30", nil},
		"calls of other call servers, too": {2 * time.Second, "spare:3;total:30", nil},
		"calls have ended meanwhile":       {2 * time.Second, "spare:27;total:30", nil},
		"report may be too old":            {liveness.StateLag / 2, "spare:30;total:30", nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.connect("10.0.0.1:5080")
			caller := h.acceptCaller()
			h.establish(caller, 7, 8, 9, 10)
			h.advance(tt.age)
			h.connect("10.0.0.1:5080")
			h.dials = nil
			for _, conn := range h.openConns() { // the first is replaced before the last has ended
				h.apply(Input{Kind: InClosed, Conn: conn})
				for _, dial := range h.dials {
					h.apply(Input{Kind: InConnected, Conn: dial.Conn})
				}
				h.dials = nil
			}
			for _, conn := range h.openConns() {
				h.officeSends(conn, &office.Message{Type: office.GroupState, Load: tt.load})
				h.officeSends(conn, &office.Message{Type: office.GroupState, Load: "spare:9;total:30"}) // new calls have taken circuits
			}
			h.advance(liveness.PendingReleaseWindow)
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), tt.want...)
		})
	}
}

// If all connections to an office end together, its process may have ended, however many they are and whichever of them were
// half-closed to make room for new ones meanwhile.
func TestAnyNumberOfConnectionsOfAnOfficeEnd(t *testing.T) {
	for additional := range 6 {
		h := newHarness(t, nil)
		h.connect("10.0.0.1:5080")
		caller := h.acceptCaller()
		h.establish(caller, 7, 8, 9)
		for range additional {
			h.server.dialOffice(h.server.offices["s-1"])
			h.collectEffects()
			h.connect("10.0.0.1:5080")
		}
		h.advanceWithReports(2*time.Second, h.openConns()[0])
		h.connect("10.0.0.1:5080")
		conns := h.openConns()
		endConn := func(conn ConnID) {
			if h.server.officeConns[conn] != nil {
				h.apply(Input{Kind: InClosed, Conn: conn, Reset: true})
				h.connect("10.0.0.1:5080") // reports no circuit in use: a new process
			}
		}
		for _, conn := range slices.Backward(conns) {
			endConn(conn)
			for _, otherConn := range conns {
				if conn := h.server.officeConns[otherConn]; conn != nil && conn.halfClosed {
					endConn(otherConn)
				}
			}
		}
		h.advance(liveness.PendingReleaseWindow)
		if byes := len(h.takeCallerMessages(caller)); byes != 3 {
			t.Errorf("%d connections: %d of 3 calls were released to their callers", len(conns), byes)
		}
	}
}

// The loss of one connection alone does not mean that the office's process has ended.
func TestLossOfOneConnectionDropsNoCall(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7, 8, 9, 10)
	h.apply(Input{Kind: InClosed, Conn: h.openConns()[0]})
	conn := h.connect("10.0.0.1:5080") // reports that all circuits are free
	h.advanceWithReports(time.Second, conn)
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller))
}

// A caller connection that a network partition has cut off stays open and loses a BYE. If callers have been seen to respond to
// BYE, one without a response is sent again on another connection.
func TestUnconfirmedByeIsRepeatedOnAnotherConnection(t *testing.T) {
	byeResponse := func(id uint64) string {
		return fmt.Sprintf("SIP/2.0 200 OK\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", id)
	}
	h := newHarness(t, nil)
	h.connect("10.0.0.1:5080")
	caller, otherCaller := h.acceptCaller(), h.acceptCaller()
	h.establish(caller, 7, 8, 9)
	h.establish(otherCaller, 10)
	conn := h.openConns()[0]
	h.officeSends(conn, releaseMsg(9, office.CauseNormal, ""))
	requireMessages(t, "BYE before any response was seen", h.takeCallerMessages(caller), "BYE")
	h.advanceWithReports(byeResponseTimeout, conn)
	requireMessages(t, "repeated BYE on the other connection", h.takeCallerMessages(otherCaller))
	h.callerSends(caller, byeResponse(9))
	h.officeSends(conn, releaseMsg(8, office.CauseNormal, ""))
	h.callerSends(caller, byeResponse(8))
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	h.advance(100 * time.Millisecond)
	h.callerSends(otherCaller, request("OPTIONS", 1)) // shows that the other connection is alive
	h.takeCallerMessages(otherCaller)
	h.advanceWithReports(byeResponseTimeout, conn)
	requireMessages(t, "messages on the other connection", h.takeCallerMessages(otherCaller), "BYE")
	requireMessages(t, "messages on the first connection", h.takeCallerMessages(caller), "BYE", "BYE")
}

// Many calls are dropped at once. One whose answer was lost looks like a set-up that failed, but it was established: its caller
// gets the final answer instead of another attempt.
func TestSetUpThatFailsAmongDroppedCalls(t *testing.T) {
	for name, tt := range map[string]struct {
		run  func(h *harness, conn ConnID)
		want []string
	}{
		"after another dropped call": {func(h *harness, conn ConnID) {
			h.officeSends(conn, releaseMsg(8, office.CauseTemporary, ""))
			h.officeSends(conn, releaseMsg(7, office.CauseTemporary, ""))
		}, []string{"BYE", "500"}},
		"before another dropped call": {func(h *harness, conn ConnID) {
			h.officeSends(conn, releaseMsg(7, office.CauseTemporary, ""))
			h.advance(liveness.DropWindow / 2)
			h.officeSends(conn, releaseMsg(8, office.CauseTemporary, ""))
		}, []string{"BYE", "500"}},
		"alone": {func(h *harness, conn ConnID) {
			h.officeSends(conn, releaseMsg(7, office.CauseTemporary, ""))
			h.advance(2 * liveness.DropWindow)
			h.officeSends(conn, releaseMsg(8, office.CauseTemporary, ""))
		}, []string{"BYE"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.connect("10.0.0.1:5080")
			caller := h.acceptCaller()
			h.establish(caller, 8)
			h.callerSends(caller, invite(7, "dest:1;width:1"))
			h.connect("10.0.0.1:5080")
			conn, _ := h.takeSetUp(7)
			tt.run(h, conn)
			requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), tt.want...)
			h.advance(10 * time.Millisecond)
			h.connect("10.0.0.1:5080")
			if n := len(h.server.callsByWireID); n != 2-len(tt.want) {
				t.Errorf("%d open and established calls", n)
			}
		})
	}
}

// Where attempts cannot be cancelled, one goes on after the final answer of its call. Its answer must not reach the caller as a
// second final answer, and the call is released at the office.
func TestAnAnswerAfterTheFinalAnswer(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, func(cfg *Config) { cfg.Settings.CanCancel = false })
	h.callerSends(caller, request("CANCEL", 7))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "200")
	h.officeSends(conn, answerMsg(7))
	requireMessages(t, "messages to the caller after the answer of the office", h.takeCallerMessages(caller))
	if got := h.takeOfficeMessages(conn); len(got) != 1 || got[0].Type != office.Release || got[0].Call != 7 {
		t.Errorf("messages to the office: %v", got)
	}
	if open, established := h.server.CallCounts(); open != 0 || established != 0 || len(h.server.callsByID) != 0 {
		t.Errorf("%d open calls, %d established, %d not removed", open, established, len(h.server.callsByID))
	}
}

// A connection with an unfinished message is overdue to be closed, but an open call on it must be answered first.
func TestUnfinishedMessageOnAConnectionWithAnOpenCall(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.callerSends(caller, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID")
	h.advance(callerMessageTimeout + 500*time.Millisecond)
	if _, closed := h.closed[caller]; closed {
		t.Fatal("the connection of an open call was closed")
	}
	h.officeSends(conn, answerMsg(7))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "200")
	h.advance(2 * callerRecheckDelay)
	if _, closed := h.closed[caller]; !closed {
		t.Error("the connection with the unfinished message stays open")
	}
}

// An answer is under way while service discovery reports its office as gone, with or without a successor at its address.
func TestAnAnswerThatCrossesTheEndOfItsOffice(t *testing.T) {
	for name, listed := range map[string][]feed.Member{"with a successor": {successor("s-9", 0)}, "without a successor": nil} {
		t.Run(name, func(t *testing.T) {
			h, caller, conn := newHarnessWithSetUp(t, nil)
			h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(2, false, append(listed, member("s-1", 1, feed.Deleted))...)}})
			h.officeSends(conn, answerMsg(7))
			requireMessages(t, "answer to the call", h.takeCallerMessages(caller), "200")
			if listed != nil {
				conn = h.connect("10.0.0.1:5080")
				h.advanceWithReports(successorTimeout, conn)
				requireMessages(t, "while the call is established", h.takeCallerMessages(caller))
				h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
			} else {
				h.advance(successorTimeout)
			}
			requireMessages(t, "end of the call", h.takeCallerMessages(caller), "BYE")
		})
	}
}

// Activity of a suspected office on an old connection. What the office could not send while it was unreachable it sends on the next
// connection that comes up, so another one is dialled at once, besides those dialled while it was unreachable.
func TestConnectionIsOpenedWhenANetworkPartitionHeals(t *testing.T) {
	h, _ := newHarnessWithCalls(t, 7, 8)
	h.advanceUnreachable(4 * time.Second)
	h.advance(300 * time.Millisecond)
	dialsBefore := len(h.dials)
	h.officeSends(h.openConns()[0], &office.Message{Type: office.GroupState, Load: "spare:28;total:30"})
	if len(h.dials) != dialsBefore+1 {
		t.Errorf("%d connections being dialled, %d before", len(h.dials), dialsBefore)
	}
}

// If many offices are unreachable at once, the connections opened to probe them must not exceed the descriptors for offices.
func TestConnectionsToManyUnreachableOfficesStayWithinTheLimit(t *testing.T) {
	const offices = 40
	h := newHarness(t, func(cfg *Config) { cfg.MaxOfficeConns = offices + 5 })
	var members []feed.Member
	for exchange := 1; exchange <= offices; exchange++ {
		members = append(members, feed.Member{ID: fmt.Sprint("o-", exchange), Addr: fmt.Sprintf("10.0.1.%d:5080", exchange),
			Cell: exchange, Phase: feed.Serving})
	}
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(2, true, members...)}})
	for exchange := 1; exchange <= offices; exchange++ {
		h.connect(fmt.Sprintf("10.0.1.%d:5080", exchange))
	}
	caller := h.acceptCaller()
	for exchange := uint64(1); exchange <= offices; exchange++ {
		h.callerSends(caller, invite(exchange, fmt.Sprintf("dest:%d;width:1;at:o-%d", exchange, exchange)))
	}
	maxConns, pending, dialCounts := 0, 0, []int{}
	for range 100 {
		h.advance(100 * time.Millisecond)
		maxConns = max(maxConns, len(h.server.officeConns))
		failing := h.dials[:min(len(h.dials), pending)] // those dialled 0.5 s ago
		h.dials = h.dials[len(failing):]
		for _, dial := range failing {
			h.apply(Input{Kind: InFailed, Conn: dial.Conn})
		}
		dialCounts = append(dialCounts, len(h.dials))
		pending = dialCounts[max(0, len(dialCounts)-5)]
	}
	// Callers have 5/9 of the descriptors, offices 3/9, and 1/9 is left.
	if limit := h.server.cfg.MaxOfficeConns + h.server.cfg.MaxOfficeConns/3; maxConns > limit {
		t.Errorf("%d connections, %d descriptors for them", maxConns, limit)
	}
	if got := len(h.takeCallerMessages(caller)); got != offices {
		t.Errorf("%d of %d calls were released to their callers", got, offices)
	}
}

// During a drain new set-ups are refused and transit calls are accepted.
func TestDrainAcceptsOnlyTransitCalls(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7)
	h.apply(Input{Kind: InDrain, EndsAt: h.now + 3*time.Second})
	h.callerSends(caller, invite(8, "dest:1;width:1"))
	requireMessages(t, "new set-up", h.takeCallerMessages(caller), "503")
	h.callerSends(caller, invite(9, "dest:1;width:1;via:2;transit:1"))
	conn, _ := h.takeSetUp(9)
	h.officeSends(conn, answerMsg(9))
	requireMessages(t, "transit call", h.takeCallerMessages(caller), "200")
	h.officeSends(conn, releaseMsg(7, office.CauseNormal, ""))
	requireMessages(t, "end of an established call", h.takeCallerMessages(caller), "BYE")
}

// To an office that accepts connections and closes them before it has sent anything, connections are opened with a backoff, but at
// once if an attempt needs one.
func TestBackoffForAnOfficeThatClosesNewConnections(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7)
	for _, conn := range h.openConns() {
		h.apply(Input{Kind: InClosed, Conn: conn, Reset: true})
	}
	dials, rounds := 0, 0
	for end := h.now + time.Second; h.now < end; h.advance(time.Millisecond) {
		for ; len(h.dials) > 0 && rounds < 1000; rounds++ {
			dial := h.dials[0]
			h.dials = h.dials[1:]
			dials++
			h.apply(Input{Kind: InConnected, Conn: dial.Conn})
			h.apply(Input{Kind: InClosed, Conn: dial.Conn})
		}
	}
	if dials < 4 || dials > 40 {
		t.Errorf("%d connections dialled within 1 s", dials)
	}
	h.callerSends(caller, invite(9, "dest:1;width:1"))
	if len(h.dials) == 0 {
		t.Error("an attempt waits for the backoff")
	}
	h.connect("10.0.0.1:5080")
	if h.countSetUps(9) != 1 {
		t.Error("no set-up is sent once a connection stays up")
	}
}

// Guards against a caller who waits on for a call that an office answered before it became unreachable: the answer is lost, and the call is
// over with the others.
func TestAttemptsAtAnUnresponsiveOfficeEnd(t *testing.T) {
	h, caller := newHarnessWithCalls(t, 7)
	waiting := h.acceptCaller()
	h.callerSends(waiting, strings.Replace(invite(8, "dest:1;width:1"), "X-Timer-Ms: 3000", "X-Timer-Ms: 9000", 1))
	h.takeSetUp(8)
	h.advanceUnreachable(liveness.FailAfter + 100*time.Millisecond)
	requireMessages(t, "messages to the caller of the established call", h.takeCallerMessages(caller), "BYE")
	requireMessages(t, "messages to the caller who waits", h.takeCallerMessages(waiting), "500")
	if releases := h.countSent(office.Release)[8]; releases != 1 {
		t.Errorf("%d releases of the attempt", releases)
	}
}
