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
