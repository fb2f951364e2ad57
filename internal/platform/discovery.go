package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"finchlatch/feed"
)

// DiscoveryService is a stand-in for service discovery. It serves the set of offices as a stream of numbered events over HTTP, in
// the form of server-sent events.
type DiscoveryService struct {
	Addr     string
	mu       sync.Mutex
	events   []feed.Event
	changed  chan struct{} // closed and replaced when events or fault change
	fault    DiscoveryFault
	Requests chan uint64 // the position that each request continues from: its Last-Event-ID
}

// NewDiscoveryService starts a discovery service with these events.
func (e *Environment) NewDiscoveryService(events ...feed.Event) (*DiscoveryService, error) {
	d := &DiscoveryService{events: events, changed: make(chan struct{}), Requests: make(chan uint64, 64)}
	var err error
	d.Addr, err = e.serve(d.handleRequest)
	e.onClose(d.notifyChange)
	return d, err
}

// notifyChange wakes all requests.
func (d *DiscoveryService) notifyChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

// Publish publishes an event.
func (d *DiscoveryService) Publish(event feed.Event) {
	d.mu.Lock()
	d.events = append(d.events, event)
	d.mu.Unlock()
	d.notifyChange()
}

// DiscoveryFault is an imposed failure of a DiscoveryService.
type DiscoveryFault struct {
	NoEvents       bool          // nothing is sent on open connections, neither events nor comments
	NoResponse     bool          // as NoEvents, and no response header either
	ResponseDelay  time.Duration // delay before the response to a request
	TruncateEvents bool          // a connection ends in the middle of its first event, or after the response header if there is none
}

// Fail imposes a fault from now on, on open and on new connections; the zero DiscoveryFault ends it.
func (d *DiscoveryService) Fail(fault DiscoveryFault) {
	d.mu.Lock()
	d.fault = fault
	d.mu.Unlock()
	d.notifyChange()
}

// Withhold stops or resumes sending. It replaces any other fault.
func (d *DiscoveryService) Withhold(withhold bool) { d.Fail(DiscoveryFault{NoEvents: withhold}) }

// currentState returns the fault, the events, and a channel that is closed when either changes.
func (d *DiscoveryService) currentState() (DiscoveryFault, []feed.Event, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault, d.events, d.changed
}

// startResponse sends the response header as soon as the fault allows it. It returns false if the connection has ended.
func (d *DiscoveryService) startResponse(conn net.Conn) bool {
	fault, _, changed := d.currentState()
	if fault.ResponseDelay > 0 {
		time.Sleep(fault.ResponseDelay)
	}
	for fault.NoResponse {
		select {
		case <-changed:
		case <-time.After(commentInterval):
		}
		if _, err := conn.Write(nil); err != nil {
			return false
		}
		fault, _, changed = d.currentState()
	}
	_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	return err == nil
}

// commentInterval is the interval of the comments that are sent while there are no events.
const commentInterval = 500 * time.Millisecond

// writeEvents writes the events after a position, and returns the new position, and false if the connection has to be closed. It
// writes each event twice: a call server must skip events that it has received before.
func (d *DiscoveryService) writeEvents(conn net.Conn, fault DiscoveryFault, events []feed.Event, pos uint64) (uint64, bool) {
	for _, event := range events {
		if event.Pos <= pos {
			continue
		}
		encoded, _ := json.Marshal(event)
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event.Pos, encoded)
		if fault.TruncateEvents {
			_, _ = fmt.Fprint(conn, text[:len(text)/2])
			return pos, false
		}
		pos = event.Pos
		if _, err := fmt.Fprint(conn, text, text); err != nil {
			return pos, false
		}
	}
	return pos, !fault.TruncateEvents
}

// handleRequest serves one request until its connection ends.
func (d *DiscoveryService) handleRequest(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	pos, _ := strconv.ParseUint(request.Header.Get("Last-Event-ID"), 10, 64)
	select {
	case d.Requests <- pos:
	default:
	}
	for ok := d.startResponse(conn); ok; {
		fault, events, changed := d.currentState()
		if !fault.NoEvents && !fault.NoResponse {
			if pos, ok = d.writeEvents(conn, fault, events, pos); !ok {
				return
			}
		}
		select {
		case <-changed:
			continue
		case <-time.After(commentInterval):
		}
		comment := ":\n\n"
		if fault.NoEvents || fault.NoResponse {
			comment = ""
		}
		if _, err := fmt.Fprint(conn, comment); err != nil {
			return
		}
	}
}

// NewTruncatingDiscoveryService starts a discovery service, on an address of its own, that answers each request with half an
// event and closes the connection.
func (e *Environment) NewTruncatingDiscoveryService() (*DiscoveryService, error) {
	d := &DiscoveryService{Requests: make(chan uint64, 64)}
	var err error
	d.Addr, err = e.serve(func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		pos, _ := strconv.ParseUint(request.Header.Get("Last-Event-ID"), 10, 64)
		d.Requests <- pos
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nid: 99\ndata: {\"pos\":99,\"hosts\":{\"complete\":true")
	})
	return d, err
}
