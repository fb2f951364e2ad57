// Package feed decodes the event stream of the platform's service discovery: server-sent events with numbered updates of
// the list of offices. It does no input or output of its own. An incomplete event has no effect; an invalid one is an
// error.
package feed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// MaxEventBytes limits the size of one event.
const MaxEventBytes = 1 << 20

// maxValueBytes limits the id and the address of an office.
const maxValueBytes = 256

// Event is one numbered update of the list of offices.
type Event struct {
	Pos   uint64 `json:"pos"` // position in the stream, from 1
	Hosts Hosts  `json:"hosts"`
}

// Hosts is what an event carries: all offices (a snapshot), or the offices that have changed (an update).
type Hosts struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"` // a snapshot: Members are all offices, and any other is gone
	Members  []Member `json:"members"`
}

// Member is the entry of one office in the list.
type Member struct {
	ID      string `json:"id"`
	Addr    string `json:"host_port"` // host and port that the office listens on
	Zone    string `json:"locality"`
	Cell    int    `json:"cell"` // number of the exchange that the office belongs to
	Phase   Phase  `json:"phase"`
	UpSince int64  `json:"up_since_ms"` // start, in Unix milliseconds, of an office that joined while the platform was running; 0 for others
}

// Phase is the phase of an office's life.
type Phase string

// The phases of an office.
const (
	Serving  Phase = "SERVING"
	Draining Phase = "DRAINING"
	Deleted  Phase = "DELETED"
)

// Snapshot holds the events that a node starts with, from its configuration, before it reads the stream.
type Snapshot struct {
	Pos     uint64  `json:"pos"` // position in the stream after Entries; events up to it are skipped
	Entries []Event `json:"entries"`
}

// Validate returns an error that names the first invalid field of an event, or nil.
func (event *Event) Validate() error {
	if event.Pos == 0 {
		return fmt.Errorf("event %d: pos is missing", event.Pos)
	}
	for i, member := range event.Hosts.Members {
		path := fmt.Sprintf("event %d: hosts.members.%d", event.Pos, i)
		switch member.Phase {
		case Serving, Draining, Deleted:
		default:
			return fmt.Errorf("%s.phase: unknown phase %.40q", path, member.Phase)
		}
		if member.ID == "" || len(member.ID) > maxValueBytes {
			return fmt.Errorf("%s.id: invalid value %.40q", path, member.ID)
		}
		if member.Addr == "" && member.Phase != Deleted || len(member.Addr) > maxValueBytes {
			return fmt.Errorf("%s.host_port: invalid address %.40q", path, member.Addr)
		}
		if member.Cell < 0 || member.UpSince < 0 {
			return fmt.Errorf("%s: cell or up_since_ms is negative", path)
		}
	}
	return nil
}

// Decoder splits a stream into events. After an error the rest of the stream cannot be parsed.
type Decoder struct {
	buffered []byte // bytes after the last complete line
	id       string // id of the unfinished event
	data     []byte // data of the unfinished event
	hasData  bool   // the unfinished event has a data line
}

// Write appends received bytes.
func (d *Decoder) Write(data []byte) { d.buffered = append(d.buffered, data...) }

// Next returns the next complete event, or nil if it has not arrived completely.
func (d *Decoder) Next() (*Event, error) {
	for {
		lineEnd := bytes.IndexByte(d.buffered, '\n')
		if lineEnd < 0 {
			if len(d.buffered)+len(d.data) > MaxEventBytes {
				return nil, fmt.Errorf("feed: event exceeds %d bytes", MaxEventBytes)
			}
			return nil, nil
		}
		line := bytes.TrimSuffix(d.buffered[:lineEnd], []byte{'\r'})
		event, err := d.readLine(line)
		if d.buffered = d.buffered[lineEnd+1:]; len(d.buffered) == 0 {
			d.buffered = nil
		}
		if event != nil || err != nil {
			return event, err
		}
	}
}

// readLine handles one line of the stream. A blank line ends an event; a line that begins with a colon is a comment.
func (d *Decoder) readLine(line []byte) (*Event, error) {
	if len(line) == 0 {
		defer func() { d.id, d.data, d.hasData = "", nil, false }()
		if !d.hasData {
			return nil, nil
		}
		return d.decodeEvent()
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		d.id = string(value)
	case "data":
		if d.hasData {
			d.data = append(d.data, '\n')
		}
		if d.data, d.hasData = append(d.data, value...), true; len(d.data) > MaxEventBytes {
			return nil, fmt.Errorf("feed: event exceeds %d bytes", MaxEventBytes)
		}
	}
	return nil, nil
}

// decodeEvent parses and checks the event whose lines have been read.
func (d *Decoder) decodeEvent() (*Event, error) {
	event := &Event{}
	if err := json.Unmarshal(d.data, event); err != nil {
		return nil, fmt.Errorf("feed: event %.40q: %w", d.id, err)
	}
	if d.id != "" {
		pos, err := strconv.ParseUint(d.id, 10, 64)
		if err != nil || event.Pos != 0 && event.Pos != pos {
			return nil, fmt.Errorf("feed: event id %.40q does not match pos %d", d.id, event.Pos)
		}
		event.Pos = pos
	}
	if err := event.Validate(); err != nil {
		return nil, fmt.Errorf("feed: %w", err)
	}
	return event, nil
}
