package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"finchlatch/feed"
)

// journal is a stand-in of the journal service.
type journal struct {
	addr    string
	rig     *rig
	mu      sync.Mutex
	events  []feed.Event
	changed chan struct{} // closed and replaced with each event
}

// newJournal starts a journal service whose first event lists these offices.
func (r *rig) newJournal(members ...feed.Member) (*journal, error) {
	j := &journal{addr: r.freeAddr(), rig: r, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", j.addr)
	if err != nil {
		return nil, err
	}
	j.events = []feed.Event{{Pos: 1, Hosts: feed.Hosts{Revision: 1, Complete: true, Members: members}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/journal", j.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return j, nil
}

// known returns the events up to now, as a configuration holds them.
func (j *journal) known() feed.Snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	return feed.Snapshot{Pos: uint64(len(j.events)), Entries: append([]feed.Event(nil), j.events...)}
}

// publish adds an event about offices that have changed.
func (j *journal) publish(members ...feed.Member) {
	j.mu.Lock()
	pos := uint64(len(j.events) + 1)
	j.events = append(j.events, feed.Event{Pos: pos, Hosts: feed.Hosts{Revision: int64(pos), Members: members}})
	close(j.changed)
	j.changed = make(chan struct{})
	j.mu.Unlock()
	for _, m := range members {
		j.rig.logf("journal: event %d: %s at %s is %s, up since %d", pos, m.ID, m.Addr, m.Phase, m.UpSince)
	}
}

// serve writes the events after Last-Event-ID, and a comment each second.
func (j *journal) serve(w http.ResponseWriter, req *http.Request) {
	pos, _ := strconv.Atoi(req.Header.Get("Last-Event-ID"))
	j.rig.logf("journal: asked for the events after %d", pos)
	w.Header().Set("Content-Type", "text/event-stream")
	comment := time.NewTicker(time.Second)
	defer comment.Stop()
	for {
		j.mu.Lock()
		events, changed := j.events, j.changed
		j.mu.Unlock()
		for ; pos < len(events); pos++ {
			data, _ := json.Marshal(events[pos])
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", events[pos].Pos, data)
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-comment.C:
			fmt.Fprint(w, ":\n\n")
		case <-req.Context().Done():
			return
		}
	}
}
