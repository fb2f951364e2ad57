// Package feed reads the journal service of the platform: server-sent events that carry numbered changes of the
// list of offices. Pure: bytes in, events out. Only whole events count; a broken one is an error.
package feed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// Most is how long one event may be.
const Most = 1 << 20

// Event is one numbered change of the list.
type Event struct {
	Pos   uint64 `json:"pos"`
	Hosts Hosts  `json:"hosts"`
}

// Hosts is the whole list, or what has changed in it.
type Hosts struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one office as the list has it.
type Member struct {
	ID      string `json:"id"`
	Addr    string `json:"host_port"`
	Zone    string `json:"locality"`
	Cell    int    `json:"cell"`
	Phase   Phase  `json:"phase"`
	UpSince int64  `json:"up_since_ms"` // Unix milliseconds of a late start, or 0
}

// Phase is the state of an office.
type Phase string

// The states of an office.
const (
	Serving  Phase = "SERVING"
	Draining Phase = "DRAINING"
	Deleted  Phase = "DELETED"
)

// Known is the list as the configuration holds it.
type Known struct {
	Pos     uint64  `json:"pos"`
	Entries []Event `json:"entries"`
}

// Check tells what is wrong with an event.
func (e *Event) Check() error {
	if e.Pos == 0 {
		return fmt.Errorf("event %d: pos is missing", e.Pos)
	}
	for i, m := range e.Hosts.Members {
		at := fmt.Sprintf("event %d: hosts.members.%d", e.Pos, i)
		switch m.Phase {
		case Serving, Draining, Deleted:
		default:
			return fmt.Errorf("%s.phase: %.40q is no state", at, m.Phase)
		}
		if m.ID == "" || len(m.ID) > 256 {
			return fmt.Errorf("%s.id: %.40q", at, m.ID)
		}
		if m.Addr == "" && m.Phase != Deleted || len(m.Addr) > 256 {
			return fmt.Errorf("%s.host_port: %.40q", at, m.Addr)
		}
		if m.Cell < 0 || m.UpSince < 0 {
			return fmt.Errorf("%s: a negative value", at)
		}
	}
	return nil
}

// Decoder cuts a stream into events. After an error the stream cannot be followed any further.
type Decoder struct {
	buf  []byte
	id   string
	data []byte
	some bool
}

// Write adds bytes of the stream.
func (d *Decoder) Write(b []byte) { d.buf = append(d.buf, b...) }

// Next gives the next whole event, or nil where it has not come yet.
func (d *Decoder) Next() (*Event, error) {
	for {
		i := bytes.IndexByte(d.buf, '\n')
		if i < 0 {
			if len(d.buf)+len(d.data) > Most {
				return nil, fmt.Errorf("feed: an event of more than %d bytes", Most)
			}
			return nil, nil
		}
		line := bytes.TrimSuffix(d.buf[:i], []byte{'\r'})
		ev, err := d.line(line)
		if d.buf = d.buf[i+1:]; len(d.buf) == 0 {
			d.buf = nil
		}
		if ev != nil || err != nil {
			return ev, err
		}
	}
}

// line takes one line of the stream; a blank one ends an event, one that begins with a colon is a comment.
func (d *Decoder) line(line []byte) (*Event, error) {
	if len(line) == 0 {
		defer func() { d.id, d.data, d.some = "", nil, false }()
		if !d.some {
			return nil, nil
		}
		return d.event()
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		d.id = string(value)
	case "data":
		if d.some {
			d.data = append(d.data, '\n')
		}
		if d.data, d.some = append(d.data, value...), true; len(d.data) > Most {
			return nil, fmt.Errorf("feed: an event of more than %d bytes", Most)
		}
	}
	return nil, nil
}

func (d *Decoder) event() (*Event, error) {
	ev := &Event{}
	if err := json.Unmarshal(d.data, ev); err != nil {
		return nil, fmt.Errorf("feed: event %.40q: %w", d.id, err)
	}
	if d.id != "" {
		pos, err := strconv.ParseUint(d.id, 10, 64)
		if err != nil || ev.Pos != 0 && ev.Pos != pos {
			return nil, fmt.Errorf("feed: event %.40q carries pos %d", d.id, ev.Pos)
		}
		ev.Pos = pos
	}
	if err := ev.Check(); err != nil {
		return nil, fmt.Errorf("feed: %w", err)
	}
	return ev, nil
}
