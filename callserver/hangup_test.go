package callserver

import (
	"strings"
	"testing"
	"time"

	"finchlatch/office"
)

// countSetUps counts the set-ups of a call that were sent to any office.
func (h *harness) countSetUps(id uint64) (n int) {
	h.t.Helper()
	for conn, data := range h.written {
		if h.server.callerConns[conn] != nil {
			continue
		}
		var framer office.Framer
		framer.Write(data)
		for msg, err := framer.Next(); msg != nil && err == nil; msg, err = framer.Next() {
			if msg.Type == office.SetUp && msg.Call == id {
				n++
			}
		}
	}
	return n
}

// If a caller hangs up while the attempt waits for its connection, no set-up is sent for it, even where attempts cannot be
// cancelled once they have started.
func TestCallerHangsUpBeforeTheConnectionIsUp(t *testing.T) {
	for name, hangUp := range map[string]func(h *harness, caller ConnID){
		"closes its connection": func(h *harness, caller ConnID) { h.apply(Input{Kind: InClosed, Conn: caller}) },
		"cancels":               func(h *harness, caller ConnID) { h.callerSends(caller, request("CANCEL", 9)) },
		"sends another set-up with the same Call-ID": func(h *harness, caller ConnID) {
			h.callerSends(caller, strings.Replace(invite(9, "dest:1;width:1"), "sip:", "sip:4", 1))
		},
	} {
		for _, canCancel := range []bool{true, false} {
			h := newHarness(t, func(cfg *Config) { cfg.Settings.CanCancel = canCancel })
			caller := h.acceptCaller()
			h.callerSends(caller, invite(9, "dest:1;width:1"))
			if h.countSetUps(9) != 0 {
				t.Fatalf("%s: the connection is already up", name)
			}
			hangUp(h, caller)
			h.advance(150 * time.Millisecond)
			for _, dial := range h.dials {
				h.apply(Input{Kind: InConnected, Conn: dial.Conn})
			}
			h.advance(20 * time.Second)
			if n := h.countSetUps(9); n != 0 {
				t.Errorf("%s, can cancel %v: %d set-ups after the caller hung up", name, canCancel, n)
			}
			if open, established := h.server.CallCounts(); open != 0 || established != 0 || len(h.server.callsByID) != 0 {
				t.Errorf("%s, can cancel %v: %d open calls, %d established, %d not removed", name, canCancel, open, established, len(h.server.callsByID))
			}
		}
	}
}

// A set-up that is queued behind bytes which TCP does not accept must not be sent once its caller has hung up.
func TestCallerHangsUpWhileWritesAreBlocked(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		h := newHarness(t, func(cfg *Config) { cfg.Settings.CanCancel = canCancel })
		h.connect("10.0.0.1:5080")
		caller := h.acceptCaller()
		h.callerSends(caller, invite(9, "dest:1;width:1"))
		conn, _ := h.takeSetUp(9)
		h.apply(Input{Kind: InWriteBlocked, Conn: conn, Blocked: true})
		h.apply(Input{Kind: InClosed, Conn: caller})
		if closing, closed := h.closed[conn]; !closed || !closing.Now {
			t.Errorf("can cancel %v: the queued set-up may still be sent: %v", canCancel, closing)
		}
	}
}

// Once a call has had its final answer, no attempt starts for it, even if one was waiting for a connection.
func TestFinalAnswerBeforeTheConnectionIsUp(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		h := newHarness(t, func(cfg *Config) { cfg.Settings.CanCancel = canCancel; cfg.ConnectTimeout = time.Minute })
		caller := h.acceptCaller()
		h.callerSends(caller, invite(9, "dest:1;width:1"))
		for range 100 {
			h.advance(100 * time.Millisecond)
			if len(h.takeCallerMessages(caller)) > 0 {
				break
			}
		}
		for _, dial := range h.dials {
			h.apply(Input{Kind: InConnected, Conn: dial.Conn})
		}
		h.advance(20 * time.Second)
		if n := h.countSetUps(9); n != 0 {
			t.Errorf("can cancel %v: %d set-ups after the final answer", canCancel, n)
		}
	}
}

// A caller hangs up at each stage of its call, by CANCEL or by closing its connection, during the stage and after it is over:
// nothing is sent for the call from then on, and an outstanding attempt is released.
func TestHangUpsAtEveryStage(t *testing.T) {
	hangUps := map[string]func(h *harness, caller ConnID){
		"CANCEL":            func(h *harness, caller ConnID) { h.callerSends(caller, request("CANCEL", 7)) },
		"connection closed": func(h *harness, caller ConnID) { h.apply(Input{Kind: InClosed, Conn: caller}) },
	}
	stages := map[string]struct {
		enter, finish func(h *harness) // bring the call into the stage and out of it
		outstanding   bool             // an attempt is outstanding during the stage
	}{
		"waiting for a connection": {enter: func(*harness) {}, finish: func(h *harness) { h.connect("10.0.0.1:5080") }},
		"waiting for the release time": {enter: func(h *harness) {
			h.connect("10.0.0.1:5080")
			h.officeSends(h.server.callsByWireID[7].conn.id, releaseMsg(7, office.CauseTemporary, ""))
		}, finish: func(h *harness) { h.advance(300 * time.Millisecond) }},
		"attempt outstanding": {enter: func(h *harness) { h.connect("10.0.0.1:5080") }, finish: func(h *harness) {
			h.officeSends(h.server.callsByWireID[7].conn.id, answerMsg(7))
		}, outstanding: true},
		"refused for lack of circuits": {enter: func(h *harness) {
			h.connect("10.0.0.1:5080")
			h.officeSends(h.server.callsByWireID[7].conn.id, releaseMsg(7, office.CauseNoCircuit, "blocked"))
		}, finish: func(h *harness) { h.advance(time.Second) }},
	}
	countMessages := func(h *harness, msgType office.Type) (count int) {
		for conn := range h.server.officeConns {
			for _, msg := range h.takeOfficeMessages(conn) {
				if msg.Type == msgType && msg.Call == 7 {
					count++
				}
			}
		}
		return count
	}
	for stageName, stage := range stages {
		for hangUpName, hangUp := range hangUps {
			t.Run(stageName+", "+hangUpName, func(t *testing.T) {
				h := newHarness(t, nil)
				caller := h.acceptCaller()
				h.callerSends(caller, invite(7, "dest:1;width:1"))
				stage.enter(h)
				countMessages(h, office.SetUp)
				hangUp(h, caller)
				if got := countMessages(h, office.Release); (got > 0) != stage.outstanding {
					t.Errorf("%d releases sent", got)
				}
				if h.server.callsByWireID[7] != nil {
					t.Fatal("the call has not been removed")
				}
				h.connect("10.0.0.1:5080")
				h.advance(5 * time.Second)
				h.connect("10.0.0.1:5080")
				if got := countMessages(h, office.SetUp); got != 0 || len(h.server.callsByID) != 0 {
					t.Errorf("%d set-ups after the caller hung up, %d calls not removed", got, len(h.server.callsByID))
				}
			})
			t.Run(stageName+" is over, "+hangUpName, func(t *testing.T) {
				h := newHarness(t, nil)
				caller := h.acceptCaller()
				h.callerSends(caller, invite(7, "dest:1;width:1"))
				stage.enter(h)
				stage.finish(h)
				h.connect("10.0.0.1:5080")
				countMessages(h, office.SetUp)
				hangUp(h, caller)
				if call := h.server.callsByWireID[7]; call != nil && (hangUpName == "CANCEL" || call.state != callEstablished) {
					t.Fatal("the call has not been removed")
				}
				h.advance(5 * time.Second)
				h.connect("10.0.0.1:5080")
				if got := countMessages(h, office.SetUp); got != 0 {
					t.Errorf("%d set-ups after the caller hung up", got)
				}
			})
		}
	}
}

// An attempt that started after its caller hung up is counted, even if the hang-up was handled after the start.
func TestAttemptsStartedAfterTheHangUpAreCounted(t *testing.T) {
	for name, tt := range map[string]struct {
		waited time.Duration // how long the hang-up waited in this process
		closes bool          // the caller closes its connection instead of sending CANCEL
		want   uint64
	}{
		"CANCEL handled at once": {waited: time.Millisecond},
		"CANCEL handled late":    {waited: 300 * time.Millisecond, want: 1},
		"close handled at once":  {waited: time.Millisecond, closes: true},
		"close handled late":     {waited: 300 * time.Millisecond, closes: true, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h, caller, conn := newHarnessWithSetUp(t, nil)
			h.connect("10.0.0.1:5080")
			h.officeSends(conn, releaseMsg(7, office.CauseTemporary, ""))
			h.advance(250 * time.Millisecond) // the second attempt started 50 ms ago
			input := Input{Kind: InReceive, Conn: caller, Bytes: []byte(request("CANCEL", 7)), Delay: tt.waited}
			if tt.closes {
				input.Kind, input.Bytes = InClosed, nil
			}
			h.apply(input)
			if len(h.attempts) != 2 || h.server.totals.HungUp != 1 || h.server.totals.SentAfterHangUp != tt.want {
				t.Errorf("%d attempts, %+v", len(h.attempts), h.server.totals)
			}
		})
	}
}
