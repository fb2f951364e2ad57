package callserver

import (
	"strings"
	"testing"
	"time"

	"finchlatch/office"
)

// setUps counts the set-ups of a call that went out to any office.
func (b *bench) setUps(id uint64) (n int) {
	b.t.Helper()
	for conn, wrote := range b.wrote {
		if b.s.callerConns[conn] != nil {
			continue
		}
		var in office.Framer
		in.Write(wrote)
		for m, err := in.Next(); m != nil && err == nil; m, err = in.Next() {
			if m.Type == office.SetUp && m.Call == id {
				n++
			}
		}
	}
	return n
}

// A caller who goes while the attempt still waits for its connection has no set-up sent for it, also where attempts cannot be
// cancelled once they have begun.
func TestACallerGoesBeforeTheConnectionIsUp(t *testing.T) {
	for name, goes := range map[string]func(b *bench, c ConnID){
		"closes":  func(b *bench, c ConnID) { b.apply(Input{Kind: InClosed, Conn: c}) },
		"cancels": func(b *bench, c ConnID) { b.say(c, request("CANCEL", 9)) },
		"sends another set-up under the id": func(b *bench, c ConnID) {
			b.say(c, strings.Replace(invite(9, "dest:1;width:1"), "sip:", "sip:4", 1))
		},
	} {
		for _, cancels := range []bool{true, false} {
			b := newBench(t, func(c *Config) { c.Settings.CanCancel = cancels })
			c := b.caller()
			b.say(c, invite(9, "dest:1;width:1"))
			if b.setUps(9) != 0 {
				t.Fatalf("%s: the connection was up", name)
			}
			goes(b, c)
			b.pass(150 * time.Millisecond)
			for _, d := range b.dials {
				b.apply(Input{Kind: InConnected, Conn: d.Conn})
			}
			b.pass(20 * time.Second)
			if n := b.setUps(9); n != 0 {
				t.Errorf("%s, cancels %v: %d set-ups after its caller had gone", name, cancels, n)
			}
			if calls, standing := b.s.Held(); calls != 0 || standing != 0 || len(b.s.calls) != 0 {
				t.Errorf("%s, cancels %v: %d calls are held, %d stand, %d are known", name, cancels, calls, standing, len(b.s.calls))
			}
		}
	}
}

// A set-up that waits behind bytes which TCP does not take must not go out once its caller has gone.
func TestACallerGoesWhileItsSetUpIsStuck(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		b := newBench(t, func(c *Config) { c.Settings.CanCancel = cancels })
		b.up("10.0.0.1:5080")
		c := b.caller()
		b.say(c, invite(9, "dest:1;width:1"))
		on, _ := b.setUp(9)
		b.apply(Input{Kind: InStuck, Conn: on, On: true})
		b.apply(Input{Kind: InClosed, Conn: c})
		if got, closed := b.closed[on]; !closed || !got.Now {
			t.Errorf("cancels %v: what waits can still go out: %v", cancels, got)
		}
	}
}

// Once a call has its final answer no attempt begins for it.
func TestTheTimeOfACallEndsBeforeTheConnectionIsUp(t *testing.T) {
	for _, cancels := range []bool{true, false} {
		b := newBench(t, func(c *Config) { c.Settings.CanCancel = cancels; c.ConnectTimeout = time.Minute })
		c := b.caller()
		b.say(c, invite(9, "dest:1;width:1"))
		for range 100 {
			b.pass(100 * time.Millisecond)
			if len(b.heard(c)) > 0 {
				break
			}
		}
		for _, d := range b.dials {
			b.apply(Input{Kind: InConnected, Conn: d.Conn})
		}
		b.pass(20 * time.Second)
		if n := b.setUps(9); n != 0 {
			t.Errorf("cancels %v: %d set-ups after the final answer", cancels, n)
		}
	}
}
