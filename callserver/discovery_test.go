package callserver

import (
	"fmt"
	"strings"
	"testing"

	"finchlatch/feed"
)

// A new office at the address of one that is gone is another office: it holds none of the calls of the old one, whose connections
// are not used for it. After a gap in the events, a snapshot replaces the known offices.
func TestOfficesAreIdentifiedByIDNotByAddress(t *testing.T) {
	h, caller, conn := newHarnessWithSetUp(t, nil)
	h.officeSends(conn, answerMsg(7))
	requireMessages(t, "messages to the caller", h.takeCallerMessages(caller), "200")
	newMember := member("s-9", 1, feed.Serving) // at the address of s-1
	goneMember := member("s-1", 1, feed.Deleted)
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(2, false, goneMember, newMember), discoveryEvent(2, false, newMember)}})
	requireMessages(t, "messages to the caller of the call at the old office", h.takeCallerMessages(caller), "BYE")
	if _, ok := h.closed[conn]; !ok || h.server.offices["s-1"] != nil {
		t.Fatal("the old office has not been removed")
	}
	h.connect("10.0.0.1:5080")
	h.callerSends(caller, invite(8, "dest:1;width:1"))
	if newConn, _ := h.takeSetUp(8); h.server.officeConns[newConn].remote.id != "s-9" {
		t.Fatal("the call was not sent to the new office")
	}
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(4, false, member("s-9", 1, feed.Draining))}})
	if len(h.discoveryRequests) != 1 || h.server.Position() != 0 {
		t.Fatalf("after a gap: requests %v, position %d", h.discoveryRequests, h.server.Position())
	}
	h.apply(Input{Kind: InDiscovery, Events: []feed.Event{discoveryEvent(5, true, member("s-0", 0, feed.Serving),
		member("s-9", 1, feed.Draining))}})
	h.callerSends(caller, invite(10, "dest:1;width:1"))
	requireMessages(t, "call to a draining office", h.takeCallerMessages(caller), "503")
	if h.server.Position() != 5 || h.server.offices["s-2"] != nil {
		t.Fatal("a snapshot does not replace the known offices")
	}
}

// Service discovery sends snapshots, updates, repeated and old events, and leaves gaps. Afterwards exactly the offices must be
// known that it has listed, and after a gap a snapshot must be requested.
func TestSnapshotsUpdatesAndGaps(t *testing.T) {
	servingS1, servingS2, deletedS1 := member("s-1", 1, feed.Serving), member("s-2", 2, feed.Serving), member("s-1", 1, feed.Deleted)
	drainingS1 := member("s-1", 1, feed.Draining)
	ownOffice := member("s-0", 0, feed.Serving)
	for name, tt := range map[string]struct {
		events   []feed.Event
		offices  string // known offices, each as its ID and the number of its logic.OfficeState
		requests int
		position uint64
	}{
		"update":                   {[]feed.Event{discoveryEvent(2, false, drainingS1)}, "s-0 0 s-1 1 s-2 0", 0, 2},
		"update repeated":          {[]feed.Event{discoveryEvent(2, false, drainingS1), discoveryEvent(2, false, servingS1)}, "s-0 0 s-1 1 s-2 0", 0, 2},
		"old event":                {[]feed.Event{discoveryEvent(1, true, ownOffice)}, "s-0 0 s-1 0 s-2 0", 0, 1},
		"position restarts":        {[]feed.Event{discoveryEvent(2, false, drainingS1), discoveryEvent(1, false, deletedS1)}, "s-0 0 s-1 1 s-2 0", 0, 2},
		"gap":                      {[]feed.Event{discoveryEvent(4, false, deletedS1)}, "s-0 0 s-1 0 s-2 0", 1, 0},
		"gap, then a snapshot":     {[]feed.Event{discoveryEvent(4, false, deletedS1), discoveryEvent(4, true, ownOffice, servingS2)}, "s-0 0 s-2 0", 1, 4},
		"gap, then a late update":  {[]feed.Event{discoveryEvent(4, false, deletedS1), discoveryEvent(5, false, deletedS1)}, "s-0 0 s-1 0 s-2 0", 2, 0},
		"snapshot without a gap":   {[]feed.Event{discoveryEvent(2, true, ownOffice, servingS1)}, "s-0 0 s-1 0", 0, 2},
		"snapshot after a gap":     {[]feed.Event{discoveryEvent(9, true, ownOffice, servingS1)}, "s-0 0 s-1 0", 0, 9},
		"all offices as an update": {[]feed.Event{discoveryEvent(2, false, ownOffice, servingS1)}, "s-0 0 s-1 0 s-2 0", 0, 2},
		"empty snapshot":           {[]feed.Event{discoveryEvent(2, true)}, "", 0, 2},
		"empty update":             {[]feed.Event{discoveryEvent(2, false)}, "s-0 0 s-1 0 s-2 0", 0, 2},
		"gone and back":            {[]feed.Event{discoveryEvent(2, false, deletedS1), discoveryEvent(3, false, servingS1)}, "s-0 0 s-1 0 s-2 0", 0, 3},
		"unknown office gone":      {[]feed.Event{discoveryEvent(2, false, member("s-7", 2, feed.Deleted))}, "s-0 0 s-1 0 s-2 0", 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.apply(Input{Kind: InDiscovery, Events: tt.events})
			var offices []string
			for _, remote := range h.server.sortedOffices() {
				offices = append(offices, fmt.Sprintf("%s %d", remote.id, remote.state))
			}
			if got := strings.Join(offices, " "); got != tt.offices || len(h.discoveryRequests) != tt.requests || h.server.Position() != tt.position {
				t.Errorf("known offices %q, want %q; %d requests; position %d", got, tt.offices, len(h.discoveryRequests), h.server.Position())
			}
			caller := h.acceptCaller()
			h.callerSends(caller, invite(7, "dest:1;width:1"))
			h.connect("10.0.0.1:5080")
			sent := len(h.attempts) > 0 && h.attempts[0].Office == "s-1"
			if want := strings.Contains(tt.offices, "s-1 0"); sent != want && name != "gone and back" { // a cold office may get none
				t.Errorf("attempts of a call to the exchange of s-1: %+v", h.attempts)
			}
		})
	}
}
