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

// Journal is a stand-in of the discovery service. It serves the list of offices as a stream of numbered events.
type Journal struct {
	Addr    string
	mu      sync.Mutex
	events  []feed.Event
	changed chan struct{} // closed and replaced when events or fault change
	fault   JournalFault
	Asked   chan uint64 // positions that requests asked for
}

// NewJournal starts a discovery service with these events.
func (e *Environment) NewJournal(events ...feed.Event) (*Journal, error) {
	j := &Journal{events: events, changed: make(chan struct{}), Asked: make(chan uint64, 64)}
	var err error
	j.Addr, err = e.serve(j.handleRequest)
	e.onClose(j.notifyChange)
	return j, err
}

// notifyChange wakes all requests.
func (j *Journal) notifyChange() {
	j.mu.Lock()
	defer j.mu.Unlock()
	close(j.changed)
	j.changed = make(chan struct{})
}

// Tell publishes an event.
func (j *Journal) Tell(event feed.Event) {
	j.mu.Lock()
	j.events = append(j.events, event)
	j.mu.Unlock()
	j.notifyChange()
}

// JournalFault is an imposed failure of a Journal.
type JournalFault struct {
	Hush bool          // no events and comments are sent, but connections stay open
	Mute bool          // as Hush, and requests get no response
	Slow time.Duration // delay before the response to a request
	Half bool          // a connection ends in the middle of its first event, or after the response header if there is none
}

// Fail imposes a fault from now on, on open and on new connections; the zero JournalFault ends it.
func (j *Journal) Fail(fault JournalFault) {
	j.mu.Lock()
	j.fault = fault
	j.mu.Unlock()
	j.notifyChange()
}

// Hush stops or resumes sending events and comments.
func (j *Journal) Hush(withhold bool) { j.Fail(JournalFault{Hush: withhold}) }

// currentState returns the fault, the events, and a channel that is closed when either changes.
func (j *Journal) currentState() (JournalFault, []feed.Event, chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fault, j.events, j.changed
}

// startResponse sends the response header as soon as the fault allows it. It returns false if the connection has ended.
func (j *Journal) startResponse(conn net.Conn) bool {
	fault, _, changed := j.currentState()
	if fault.Slow > 0 {
		time.Sleep(fault.Slow)
	}
	for fault.Mute {
		select {
		case <-changed:
		case <-time.After(commentInterval):
		}
		if _, err := conn.Write(nil); err != nil {
			return false
		}
		fault, _, changed = j.currentState()
	}
	_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	return err == nil
}

// commentInterval is the interval of the comments that are sent while there are no events.
const commentInterval = 500 * time.Millisecond

// writeEvents writes the events after a position, each twice, and returns the new position, and false if the connection
// has to be closed.
func (j *Journal) writeEvents(conn net.Conn, fault JournalFault, events []feed.Event, pos uint64) (uint64, bool) {
	for _, event := range events {
		if event.Pos <= pos {
			continue
		}
		encoded, _ := json.Marshal(event)
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event.Pos, encoded)
		if fault.Half {
			_, _ = fmt.Fprint(conn, text[:len(text)/2])
			return pos, false
		}
		pos = event.Pos
		if _, err := fmt.Fprint(conn, text, text); err != nil {
			return pos, false
		}
	}
	return pos, !fault.Half
}

// handleRequest serves one request until its connection ends.
func (j *Journal) handleRequest(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	pos, _ := strconv.ParseUint(request.Header.Get("Last-Event-ID"), 10, 64)
	select {
	case j.Asked <- pos:
	default:
	}
	for ok := j.startResponse(conn); ok; {
		fault, events, changed := j.currentState()
		if !fault.Hush && !fault.Mute {
			if pos, ok = j.writeEvents(conn, fault, events, pos); !ok {
				return
			}
		}
		select {
		case <-changed:
			continue
		case <-time.After(commentInterval):
		}
		comment := ":\n\n"
		if fault.Hush || fault.Mute {
			comment = ""
		}
		if _, err := fmt.Fprint(conn, comment); err != nil {
			return
		}
	}
}

// Break starts a discovery service, on an address of its own, that answers each request with half an event and closes the
// connection.
func (e *Environment) Break() (*Journal, error) {
	j := &Journal{Asked: make(chan uint64, 64)}
	var err error
	j.Addr, err = e.serve(func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		pos, _ := strconv.ParseUint(request.Header.Get("Last-Event-ID"), 10, 64)
		j.Asked <- pos
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nid: 99\ndata: {\"pos\":99,\"hosts\":{\"complete\":true")
	})
	return j, err
}
