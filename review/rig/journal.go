package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// journal is a stand-in of the journal service: server-sent events, and a comment each second.
type journal struct {
	b      *bench
	addr   string
	mu     sync.Mutex
	events []event
	more   chan struct{} // closed and replaced when an event is added
}

// newJournal starts a journal service whose first event holds the whole list.
func (b *bench) newJournal(members ...member) *journal {
	j := &journal{b: b, more: make(chan struct{})}
	j.events = []event{{Pos: 1, Hosts: hosts{Revision: 1, Complete: true, Members: members}}}
	listener := b.listen()
	j.addr = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(j.serve)) }()
	return j
}

// known returns the first event, for a configuration.
func (j *journal) known() event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.events[0]
}

// tell adds an event with offices that have changed.
func (j *journal) tell(members ...member) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pos := len(j.events) + 1
	j.events = append(j.events, event{Pos: pos, Hosts: hosts{Revision: pos, Members: members}})
	for _, m := range members {
		j.b.note("journal", "tells %s %s at %s, up_since_ms %d", m.ID, m.Phase, m.Addr, m.UpSince)
	}
	close(j.more)
	j.more = make(chan struct{})
}

// serve writes the events after the position of the request until the connection ends.
func (j *journal) serve(w http.ResponseWriter, r *http.Request) {
	pos, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for {
		j.mu.Lock()
		events, more := j.events, j.more
		j.mu.Unlock()
		for ; pos < len(events); pos++ {
			data, _ := json.Marshal(events[pos])
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", events[pos].Pos, data)
		}
		if _, err := fmt.Fprint(w, ":\n\n"); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-more:
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
