// Package wire reads batches of events and writes replies in the line format of the bench. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"finchlatch/logic"
)

// Kind is the kind of an event.
type Kind int

// The kinds of event.
const (
	Born Kind = iota
	Shutdown
	List
	Offered
	Outcome
	Stands
	HungUp
	Timer
	Peer
	Report
)

// Event is one event for one instance. Only the fields of its kind are set.
type Event struct {
	Kind     Kind
	Instance int
	Seed     int64
	Settings logic.Settings // without Host
	ListKind logic.ListKind
	Offices  []logic.Office
	Call     logic.Call
	Class    string // name of Call.Class, which the reader of the instance's settings fills in
	Outcome  logic.Outcome
	Report   logic.Report
	From     int
	Data     []byte
	Mark     string
}

// Batch is what comes between two replies.
type Batch struct {
	Clock  time.Duration
	Number uint64
	Events []Event
}

// Decoder reads batches. Rosters are kept from one batch to the next.
type Decoder struct {
	in      *bufio.Reader
	line    int
	rosters map[int64][]logic.Office
}

// NewDecoder reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(in, 1<<20), rosters: map[int64][]logic.Office{}}
}

// Next returns the next batch, or io.EOF where the input ends between two batches.
func (d *Decoder) Next() (*Batch, error) {
	b, err := d.next()
	if err != nil && err != io.EOF {
		err = fmt.Errorf("line %d: %w", d.line, err)
	}
	return b, err
}

func (d *Decoder) next() (*Batch, error) {
	m, err := d.read()
	if err != nil {
		return nil, err
	}
	if m.name != "tick" {
		return nil, fmt.Errorf("expected tick, found %q", m.name)
	}
	b := &Batch{Clock: m.span("clock_ns", true), Number: uint64(m.integer("n", true))}
	for m.err == nil {
		if m, err = d.inside(); err != nil {
			return nil, err
		}
		if m.name == "flush" {
			return b, nil
		}
		if m.name == "roster" {
			if err := d.roster(m); err != nil {
				return nil, err
			}
			continue
		}
		var ev Event
		if ev, err = d.event(m); err != nil {
			return nil, err
		}
		b.Events = append(b.Events, ev)
	}
	return nil, m.err
}

// read gives the next line, or io.EOF.
func (d *Decoder) read() (*message, error) {
	text, err := d.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return nil, io.EOF
	}
	d.line++
	if err == io.EOF {
		return nil, fmt.Errorf("input ended inside a line")
	}
	if err != nil {
		return nil, err
	}
	return split(strings.TrimSuffix(text[:len(text)-1], "\r"))
}

// inside is read within a batch, where the input must not end.
func (d *Decoder) inside() (*message, error) {
	m, err := d.read()
	if err == io.EOF {
		return nil, fmt.Errorf("input ended inside a batch")
	}
	return m, err
}

func (d *Decoder) roster(m *message) error {
	number, count := m.integer("list", true), m.integer("members", true)
	if m.err != nil {
		return m.err
	}
	if count < 0 {
		return fmt.Errorf("roster with %d members", count)
	}
	var offices []logic.Office
	for ; count > 0; count-- {
		o, err := d.inside()
		if err != nil {
			return err
		}
		if o.name != "office" {
			return fmt.Errorf("expected office, found %q", o.name)
		}
		of := logic.Office{ID: o.text("office", true), Exchange: int(o.integer("cell", false)),
			Started: o.span("start_time_ns", false)}
		switch s := o.text("health", true); s {
		case "Ready":
		case "Terminating":
			of.State = logic.Draining
		case "Gone":
			of.State = logic.Gone
		default:
			o.fail("health", s)
		}
		if o.err != nil {
			return o.err
		}
		offices = append(offices, of)
	}
	d.rosters[number] = offices
	return nil
}

var listKinds = map[string]logic.ListKind{"update": logic.ListUpdate, "replace": logic.ListReplace,
	"restored": logic.ListRestored, "unavailable": logic.ListUnavailable}

func (d *Decoder) event(m *message) (Event, error) {
	ev := Event{Instance: int(m.integer("i", true))}
	switch m.name {
	case "born":
		ev.Kind, ev.Seed, ev.Settings = Born, m.integer("salt", true), m.settings()
	case "shutdown":
		ev.Kind = Shutdown
	case "targets":
		ev.Kind = List
		form := m.text("form", true)
		kind, ok := listKinds[form]
		if !ok {
			m.fail("form", form)
		}
		ev.ListKind = kind
		if kind == logic.ListUnavailable {
			break
		}
		number := m.integer("list", true)
		if ev.Offices, ok = d.rosters[number]; !ok {
			m.fail("list", strconv.FormatInt(number, 10))
		}
	case "incoming":
		flags := m.integer("flags", false)
		ev.Kind, ev.Class = Offered, m.text("qos", true)
		ev.Call = logic.Call{ID: m.id(), Dest: int(m.or("dest", -1)), Width: int(m.or("circuits", 0)),
			Via: int(m.or("hop", -1)), Transit: flags&8 != 0, Again: flags&2 != 0, WasCut: flags&16 != 0,
			Number: m.text("partition_key", false), TimeLeft: m.span("time_left_ns", true)}
	case "reply":
		code := m.text("state_code", true)
		if len(code) != 1 || !strings.Contains("SEFTCRXN", code) {
			m.fail("state_code", code)
			break
		}
		ev.Kind = Outcome
		ev.Outcome = logic.Outcome{Call: m.id(), Attempt: int(m.integer("seq_no", true)), Office: m.text("office", true),
			Status: logic.Status(code[0]), Took: m.span("took_ns", false), Over: m.integer("finished", false) == 1,
			Note: int(m.integer("note", false)), Load: m.row("usage")}
	case "accepted":
		ev.Kind = Stands
		ev.Outcome = logic.Outcome{Call: m.id(), Attempt: int(m.integer("seq_no", true)), Office: m.text("office", true),
			Took: m.span("took_ns", false)}
	case "hangup":
		ev.Kind, ev.Call.ID = HungUp, m.id()
	case "deadline_hit":
		ev.Kind, ev.Mark = Timer, m.text("mark", true)
	case "from_peer":
		ev.Kind, ev.From, ev.Data = Peer, int(m.integer("from", true)), m.bytes("data")
	case "pong":
		ev.Kind = Report
		ev.Report = logic.Report{Office: m.text("office", true), OK: m.text("state_code", true) == "S",
			Took: m.span("took_ns", false), Load: m.row("usage")}
	default:
		return ev, fmt.Errorf("unknown message %q", m.name)
	}
	return ev, m.err
}

// message is one line: a name and its fields. Its getters keep the first error.
type message struct {
	name   string
	fields []field
	err    error
}

type field struct{ name, value string }

func split(line string) (*message, error) {
	name, rest, more := strings.Cut(line, "\t")
	m := &message{name: name}
	for more {
		var part string
		part, rest, more = strings.Cut(rest, "\t")
		if part == "" {
			continue
		}
		k, v, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("%s: %q is not name=value", name, part)
		}
		m.fields = append(m.fields, field{k, v})
	}
	return m, nil
}

func (m *message) fail(name, value string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: bad %s %q", m.name, name, value)
	}
}

func (m *message) text(name string, must bool) string {
	for _, f := range m.fields {
		if f.name == name {
			return f.value
		}
	}
	if must && m.err == nil {
		m.err = fmt.Errorf("%s: %s is missing", m.name, name)
	}
	return ""
}

func (m *message) integer(name string, must bool) int64 {
	s := m.text(name, must)
	if s == "" {
		if must {
			m.fail(name, s)
		}
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f, ferr := strconv.ParseFloat(s, 64)
		if ferr != nil {
			m.fail(name, s)
		}
		v = int64(f)
	}
	return v
}

func (m *message) or(name string, absent int64) int64 {
	if m.text(name, false) == "" {
		return absent
	}
	return m.integer(name, false)
}

func (m *message) id() uint64 { return uint64(m.integer("job", true)) }

func (m *message) span(name string, must bool) time.Duration {
	return time.Duration(m.integer(name, must))
}

func (m *message) float(name string) float64 {
	s := m.text(name, false)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		m.fail(name, s)
	}
	return v
}

func (m *message) row(name string) []float64 {
	s := m.text(name, false)
	if s == "" || s == "-" {
		return nil
	}
	var out []float64
	for _, p := range strings.Split(s, ",") {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil {
			m.fail(name, s)
		}
		out = append(out, v)
	}
	return out
}

func (m *message) list(name string) []string {
	s := m.text(name, false)
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func (m *message) bytes(name string) []byte {
	s := m.text(name, false)
	if s == "" || s == "-" {
		return nil
	}
	b, err := hex.DecodeString(s)
	if err != nil {
		m.fail(name, s)
	}
	return b
}

// settings reads the start-up settings of a born line.
func (m *message) settings() logic.Settings {
	s := logic.Settings{
		Me: int(m.integer("my_number", false)), Instances: int(m.integer("instances", false)),
		Home: int(m.or("family_info.home_no", -1)), Pools: m.text("family_info.layout", false) == "groups",
		MaxAttempts: int(m.integer("limits.max_attempts", false)), CanCancel: m.flag("limits.cancel"),
		CanProbe: m.flag("limits.probes"), CanTell: m.flag("limits.peers"), TellsWait: m.flag("limits.retry_after"),
		MaxWait: m.span("limits.max_retry_after_ns", false), ListOnRequest: m.text("discovery", false) == "on_request",
		AskWithin: m.span("rules.ask_within_ns", false), Advice: m.flag("family_info.route_advice"),
		ReportFields: m.list("reporting.fields"), Tick: m.span("tick_ns", false),
		Release: m.span("family_info.release_ns", false), DrainGrace: m.span("rules.drain_grace_ns", false),
		TipAfter: m.span("rules.tip_after_ns", false), Overload: m.float("rules.overload_factor"),
		ColdFrom: m.float("rules.cold_from"), ColdFor: m.span("rules.cold_ns", false),
	}
	holds, widths := m.row("family_info.mean_hold_ns"), m.row("family_info.channels_needed")
	for n := int64(0); n < m.integer("classes.count", false); n++ {
		p := "classes." + strconv.FormatInt(n, 10) + "."
		c := logic.Class{Name: m.text(p+"name", true), Worth: m.float(p + "worth"), LateShare: m.float(p + "late_share"),
			Aim: m.span(p+"target_ns", false), Deadline: m.span(p+"deadline_ns", false), Width: 1,
			Safe: m.text(p+"effect", false) == "safe"}
		if int(n) < len(holds) {
			c.Hold = time.Duration(holds[n])
		}
		if int(n) < len(widths) {
			c.Width = int(widths[n])
		}
		c.Pools = m.pools(int(n))
		s.Classes = append(s.Classes, c)
	}
	return s
}

// pools reads the pools that class n may go to: a list of lists, by path or by count.
func (m *message) pools(n int) []int {
	path := "family_info.allowed_pools." + strconv.Itoa(n)
	text := m.text(path, false)
	if text == "" {
		for k := int64(0); k < m.integer(path+".count", false); k++ {
			text += "," + m.text(path+"."+strconv.FormatInt(k, 10), true)
		}
	}
	var out []int
	for _, p := range strings.FieldsFunc(text, func(r rune) bool { return r < '0' || r > '9' }) {
		v, err := strconv.Atoi(p)
		if err != nil {
			m.fail(path, text)
		}
		out = append(out, v)
	}
	return out
}

func (m *message) flag(name string) bool {
	s := m.text(name, false)
	return s == "true" || s == "1"
}

// Encoder writes the reply to one batch; nothing goes out before Finish.
type Encoder struct {
	out io.Writer
	buf bytes.Buffer
}

// NewEncoder writes to out.
func NewEncoder(out io.Writer) *Encoder { return &Encoder{out: out} }

// Action adds one action; fields are already name=value.
func (e *Encoder) Action(name string, instance int, fields ...string) {
	e.buf.WriteString(name)
	e.buf.WriteString("\ti=")
	e.buf.WriteString(strconv.Itoa(instance))
	for _, f := range fields {
		e.buf.WriteByte('\t')
		e.buf.WriteString(f)
	}
	e.buf.WriteByte('\n')
}

// Finish ends the reply and sends it in one write.
func (e *Encoder) Finish(number uint64) error {
	fmt.Fprintf(&e.buf, "finished\tn=%d\n", number)
	_, err := e.out.Write(e.buf.Bytes())
	e.buf.Reset()
	return err
}

// ID writes a call's id.
func ID(id uint64) string { return "job=" + strconv.FormatUint(id, 10) }

// Int writes a number.
func Int(name string, v int64) string { return name + "=" + strconv.FormatInt(v, 10) }

// Text writes a text, kept to one field of one line.
func Text(name, v string) string {
	return name + "=" + strings.Map(func(r rune) rune {
		if r == '\t' || r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, v)
}

// Hex writes bytes.
func Hex(name string, b []byte) string {
	if len(b) == 0 {
		return name + "=-"
	}
	return name + "=" + hex.EncodeToString(b)
}
