package callserver

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"finchlatch/feed"
	"finchlatch/office"
)

func TestCallIsEstablishedAndReleased(t *testing.T) {
	h := newHarness(t, nil)
	h.connect("10.0.0.1:5080")
	caller := h.acceptCaller()
	h.callerSends(caller, invite(7, "dest:1;width:1;via:-1"))
	conn, msg := h.takeSetUp(7)
	if msg.Class != "status-check" || msg.Number != "7f3a9c21e0b4d655" || string(msg.Description) != sessionDescription ||
		msg.TimeLeftMs < 2900 || msg.TimeLeftMs > 3000 {
		t.Fatalf("unexpected set-up %+v", msg)
	}
	h.advance(40 * time.Millisecond)
	h.officeSends(conn, &office.Message{Type: office.Progress, Call: 7})
	h.officeSends(conn, answerMsg(7))
	if !bytes.Contains(h.written[caller], []byte(sessionDescription)) {
		t.Fatal("the session description was not passed on unchanged")
	}
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "200")
	h.officeSends(conn, answerMsg(7)) // repeated
	h.officeSends(conn, answerMsg(8)) // of an unknown call
	requireMessages(t, "after repeated and unexpected answers", h.takeCallerMessages(caller))
	h.apply(Input{Kind: InClosed, Conn: conn}) // an established call belongs to no connection
	h.apply(Input{Kind: InClosed, Conn: caller})
	nextCaller := h.acceptCaller()
	h.callerSends(nextCaller, invite(9, "dest:1;width:1;via:-1"))
	otherConn := h.connect("10.0.0.1:5080")
	h.officeSends(otherConn, releaseMsg(7, office.CauseNormal, ""))
	if got := string(h.written[nextCaller]); !strings.Contains(got, "BYE") || !strings.Contains(got, "Call-ID: 0000000000000007") ||
		!strings.Contains(got, "Reason: Q.850;cause=16") {
		t.Fatalf("BYE to the caller: %q", got)
	}
	if _, established := h.server.CallCounts(); established != 0 {
		t.Fatalf("%d established calls", established)
	}
}

// Operators rely on these log lines: when the process was ready, the age of its discovery data, and attempts at a cold office.
func TestLogLinesForOperators(t *testing.T) {
	h := newHarness(t, func(cfg *Config) { cfg.LogLevel = slog.LevelInfo })
	caller := h.acceptCaller()
	h.advance(time.Second)
	// The attributes of each record, by its text and, without a separator, its attribute "office" where it has one.
	lines := map[string]map[string]string{}
	collectLogs := func(run func()) {
		run()
		for _, effect := range h.server.Effects() {
			if record, ok := effect.(Log); ok {
				attrs := map[string]string{}
				for _, attr := range record.Attrs {
					attrs[attr.Key] = attr.Value.String()
				}
				lines[record.Text+attrs["office"]] = attrs
			}
		}
	}
	optionsInput := Input{At: h.now, Kind: InReceive, Conn: caller, Bytes: []byte(request("OPTIONS", 1))}
	collectLogs(func() { h.server.Apply(optionsInput) })
	if got := lines["ready"]; got["after"] != "1s" || got["offices"] != "3" {
		t.Errorf("log line \"ready\": %v", got)
	}
	delete(lines, "ready")
	collectLogs(func() { h.server.Apply(optionsInput) })
	if got := lines["ready"]; got != nil {
		t.Error("\"ready\" is logged a second time")
	}
	newMember := member("s-9", 1, feed.Serving)
	newMember.UpSince = int64(h.now / time.Millisecond)
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(2, false, newMember, member("s-1", 1, feed.Deleted))}})
	h.connect("10.0.0.1:5080")
	for id := uint64(1); len(h.attempts) == 0 && id < 100; id++ { // slow start grants the first attempt at a random time
		h.advance(100 * time.Millisecond)
		h.callerSends(caller, invite(id, "dest:1;width:1"))
	}
	h.advance(2*time.Second - h.now%time.Second)
	collectLogs(h.server.LogTotals)
	// The record "office's counts" of the office s-9.
	if got := lines["office's countss-9"]; got["sent"] != "1" || got["sent_cold"] != "1" {
		t.Errorf("counts of the cold office: %v", got)
	}
	if age, err := time.ParseDuration(lines["totals"]["list_age"]); err != nil || age != h.now-startTime-time.Second {
		t.Errorf("list_age %v, %v", lines["totals"]["list_age"], err)
	}
}

// The state of offices, calls and connections is removed when they end.
func TestStateDoesNotAccumulate(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 300 {
		position, exchange := uint64(2+i), 1+i%2
		oldID, newID := fmt.Sprintf("s-%d", i+1), fmt.Sprintf("s-%d", i+3)
		h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(position, false, member(oldID, exchange, feed.Deleted),
			member(newID, exchange, feed.Serving))}})
		h.connect("10.0.0.1:5080")
		h.connect("10.0.0.2:5080")
		caller := h.acceptCaller()
		h.callerSends(caller, invite(uint64(1000+i), fmt.Sprintf("dest:%d;width:1", exchange)))
		h.advance(4 * time.Second)
		h.apply(Input{Kind: InClosed, Conn: caller})
		clear(h.written)
		clear(h.closed)
		h.dials = h.dials[:0]
	}
	if n := len(h.server.offices); n > 4 {
		t.Errorf("%d offices have not been removed", n)
	}
	if len(h.server.callsByID)+len(h.server.callsByWireID)+len(h.server.callerConns)+len(h.server.callerReleases.byWireID) != 0 ||
		len(h.server.officeConns) > 10 {
		t.Errorf("not removed: %d calls, %d IDs, %d callers, %d releases, %d connections", len(h.server.callsByID),
			len(h.server.callsByWireID), len(h.server.callerConns), len(h.server.callerReleases.byWireID), len(h.server.officeConns))
	}
}

// BenchmarkCall handles one call from its set-up to its release.
func BenchmarkCall(b *testing.B) {
	server, err := New(Config{Settings: testSettings(), Seed: 1, ConnectTimeout: time.Second, MaxOpenCalls: 1000, MaxCallerConns: 10, MaxOfficeConns: 100,
		LogLevel: slog.LevelError})
	if err != nil {
		b.Fatal(err)
	}
	now, conn := startTime, ConnID(0)
	server.Start(now, feed.Snapshot{Pos: 1, Entries: []feed.Event{discoveryEvent(1, true, member("s-0", 0, feed.Serving), member("s-1", 1, feed.Serving))}})
	runEffects := func() (dialled []ConnID) {
		for _, effect := range server.Effects() {
			switch effect := effect.(type) {
			case Dial:
				dialled = append(dialled, effect.Conn)
			case Write:
				if server.officeConns[effect.Conn] != nil {
					conn = effect.Conn
				}
			}
		}
		return dialled
	}
	groupState, _ := office.Append(nil, &office.Message{Type: office.GroupState, Load: "spare:90;total:90"})
	connectDialled := func() {
		for dialled := runEffects(); len(dialled) > 0; dialled = runEffects() {
			for _, dialledConn := range dialled {
				server.Apply(Input{At: now, Kind: InConnected, Conn: dialledConn})
				server.Apply(Input{At: now, Kind: InReceive, Conn: dialledConn, Bytes: groupState})
			}
		}
	}
	connectDialled()
	caller := server.NewConn()
	server.Apply(Input{At: now, Kind: InAccepted, Conn: caller})
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += 5 * time.Millisecond
		server.Apply(Input{At: now, Kind: InReceive, Conn: caller, Bytes: []byte(invite(id, "dest:1;width:1;via:-1"))})
		connectDialled()
		for _, msg := range []*office.Message{answerMsg(id), releaseMsg(id, office.CauseNormal, ""), {Type: office.GroupState, Load: "spare:90;total:90"}} {
			data, _ := office.Append(nil, msg)
			server.Apply(Input{At: now, Kind: InReceive, Conn: conn, Bytes: data})
		}
		server.Apply(Input{At: now, Kind: InTimer})
		connectDialled()
	}
	if server.totals.Established < id-1 {
		b.Fatalf("%d of %d calls were established", server.totals.Established, id)
	}
}
