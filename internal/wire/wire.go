// Package wire decodes batches of events and encodes replies in the line protocol of the simulator. It makes
// no decisions about calls.
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
	InstanceStarted Kind = iota // a call server starts
	InstanceStopped             // a call server has stopped
	OfficeList                  // service discovery sends a snapshot or an update of the offices
	CallOffered                 // a caller offers a call
	AttemptOutcome              // an attempt or an established call has ended
	CallEstablished             // an attempt was answered
	CallHungUp                  // the caller has hung up
	TimerExpired                // a timer of the call server has expired
	PeerData                    // another call server sent data
	OfficeReport                // an office reports the state of its trunk group
)

// Event is one event for one instance. Only the fields of its kind are set.
type Event struct {
	Kind     Kind
	Instance int            // number of the instance
	Seed     int64          // of InstanceStarted
	Settings logic.Settings // of InstanceStarted, without Host
	ListKind logic.ListKind // of OfficeList
	Offices  []logic.Office // of OfficeList
	Call     logic.Call     // of CallOffered; of CallHungUp only the ID
	Class    string         // name of the call's class; Call.Class is set by the user of the event, who knows the instance's settings
	Outcome  logic.Outcome  // of AttemptOutcome and CallEstablished
	Report   logic.Report   // of OfficeReport
	From     int            // of PeerData: number of the sending call server
	Data     []byte         // of PeerData
	Mark     string         // of TimerExpired: mark of the timer
}

// Batch is a group of events that one reply answers.
type Batch struct {
	Clock  time.Duration // time of the events
	Number uint64        // number that the reply repeats
	Events []Event
}

// Decoder reads batches. The rosters (lists of offices) that it has read stay valid in later batches.
type Decoder struct {
	in      *bufio.Reader
	line    int                      // number of the last line read
	rosters map[int64][]logic.Office // by number of the roster
}

// NewDecoder returns a Decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(in, 1<<20), rosters: map[int64][]logic.Office{}}
}

// Next returns the next batch, or io.EOF if the input ends between two batches. Other errors name the line.
func (d *Decoder) Next() (*Batch, error) {
	batch, err := d.readBatch()
	if err != nil && err != io.EOF {
		err = fmt.Errorf("line %d: %w", d.line, err)
	}
	return batch, err
}

// readBatch reads the lines of one batch.
func (d *Decoder) readBatch() (*Batch, error) {
	msg, err := d.readLine()
	if err != nil {
		return nil, err
	}
	if msg.name != "tick" {
		return nil, fmt.Errorf("expected tick, found %q", msg.name)
	}
	batch := &Batch{Clock: msg.duration("clock_ns", true), Number: uint64(msg.integer("n", true))}
	for msg.err == nil {
		if msg, err = d.readLineInBatch(); err != nil {
			return nil, err
		}
		if msg.name == "flush" {
			return batch, nil
		}
		if msg.name == "roster" {
			if err := d.readRoster(msg); err != nil {
				return nil, err
			}
			continue
		}
		var event Event
		if event, err = d.parseEvent(msg); err != nil {
			return nil, err
		}
		batch.Events = append(batch.Events, event)
	}
	return nil, msg.err
}

// readLine reads and parses the next line, or returns io.EOF.
func (d *Decoder) readLine() (*message, error) {
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
	return parseLine(strings.TrimSuffix(text[:len(text)-1], "\r"))
}

// readLineInBatch is readLine inside a batch, where the input must not end.
func (d *Decoder) readLineInBatch() (*message, error) {
	msg, err := d.readLine()
	if err == io.EOF {
		return nil, fmt.Errorf("input ended inside a batch")
	}
	return msg, err
}

// readRoster reads the lines of a roster.
func (d *Decoder) readRoster(msg *message) error {
	number, count := msg.integer("list", true), msg.integer("members", true)
	if msg.err != nil {
		return msg.err
	}
	if count < 0 {
		return fmt.Errorf("roster with %d members", count)
	}
	var offices []logic.Office
	for ; count > 0; count-- {
		line, err := d.readLineInBatch()
		if err != nil {
			return err
		}
		if line.name != "office" {
			return fmt.Errorf("expected office, found %q", line.name)
		}
		parsed := logic.Office{ID: line.text("office", true), Exchange: int(line.integer("cell", false)),
			Started: line.duration("start_time_ns", false)}
		switch health := line.text("health", true); health {
		case "Ready":
		case "Terminating":
			parsed.State = logic.Draining
		case "Gone":
			parsed.State = logic.Gone
		default:
			line.fail("health", health)
		}
		if line.err != nil {
			return line.err
		}
		offices = append(offices, parsed)
	}
	d.rosters[number] = offices
	return nil
}

// listKinds maps the values of "form" to kinds of list.
var listKinds = map[string]logic.ListKind{"update": logic.ListUpdate, "replace": logic.ListReplace,
	"restored": logic.ListRestored, "unavailable": logic.ListUnavailable}

// Flags of an incoming message.
const (
	flagRedial     = 2
	flagTransit    = 8
	flagWasDropped = 16
)

// parseEvent converts a line to an event.
func (d *Decoder) parseEvent(msg *message) (Event, error) {
	event := Event{Instance: int(msg.integer("i", true))}
	switch msg.name {
	case "born":
		event.Kind, event.Seed, event.Settings = InstanceStarted, msg.integer("salt", true), msg.settings()
	case "shutdown":
		event.Kind = InstanceStopped
	case "targets":
		event.Kind = OfficeList
		form := msg.text("form", true)
		kind, ok := listKinds[form]
		if !ok {
			msg.fail("form", form)
		}
		event.ListKind = kind
		if kind == logic.ListUnavailable {
			break
		}
		number := msg.integer("list", true)
		if event.Offices, ok = d.rosters[number]; !ok {
			msg.fail("list", strconv.FormatInt(number, 10))
		}
	case "incoming":
		flags := msg.integer("flags", false)
		event.Kind, event.Class = CallOffered, msg.text("qos", true)
		event.Call = logic.Call{ID: msg.callID(), Dest: int(msg.integerOr("dest", -1)), Width: int(msg.integerOr("circuits", 0)),
			Via: int(msg.integerOr("hop", -1)), Transit: flags&flagTransit != 0, Redial: flags&flagRedial != 0,
			WasDropped: flags&flagWasDropped != 0,
			Number:     msg.text("partition_key", false), TimeLeft: msg.duration("time_left_ns", true)}
	case "reply":
		code := msg.text("state_code", true)
		if len(code) != 1 || !strings.Contains("SEFTCRXN", code) {
			msg.fail("state_code", code)
			break
		}
		event.Kind = AttemptOutcome
		event.Outcome = logic.Outcome{Call: msg.callID(), Attempt: int(msg.integer("seq_no", true)), Office: msg.text("office", true),
			Status: logic.Status(code[0]), Elapsed: msg.duration("took_ns", false), Over: msg.integer("finished", false) == 1,
			Note: int(msg.integer("note", false)), Load: msg.floats("usage")}
	case "accepted":
		event.Kind = CallEstablished
		event.Outcome = logic.Outcome{Call: msg.callID(), Attempt: int(msg.integer("seq_no", true)), Office: msg.text("office", true),
			Elapsed: msg.duration("took_ns", false)}
	case "hangup":
		event.Kind, event.Call.ID = CallHungUp, msg.callID()
	case "deadline_hit":
		event.Kind, event.Mark = TimerExpired, msg.text("mark", true)
	case "from_peer":
		event.Kind, event.From, event.Data = PeerData, int(msg.integer("from", true)), msg.hexBytes("data")
	case "pong":
		event.Kind = OfficeReport
		event.Report = logic.Report{Office: msg.text("office", true), OK: msg.text("state_code", true) == "S",
			Elapsed: msg.duration("took_ns", false), Load: msg.floats("usage")}
	default:
		return event, fmt.Errorf("unknown message %q", msg.name)
	}
	return event, msg.err
}

// message is one line: a name and its fields. The getters store the first error in err.
type message struct {
	name   string
	fields []field
	err    error
}

type field struct{ name, value string }

// parseLine parses a line of tab-separated fields; the first one is the name of the message.
func parseLine(line string) (*message, error) {
	name, rest, more := strings.Cut(line, "\t")
	msg := &message{name: name}
	for more {
		var part string
		part, rest, more = strings.Cut(rest, "\t")
		if part == "" {
			continue
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("%s: %q is not name=value", name, part)
		}
		msg.fields = append(msg.fields, field{key, value})
	}
	return msg, nil
}

// fail stores an error about the value of a field.
func (m *message) fail(name, value string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: bad %s %q", m.name, name, value)
	}
}

// text returns the value of a field, or "" if it is absent.
func (m *message) text(name string, required bool) string {
	for _, field := range m.fields {
		if field.name == name {
			return field.value
		}
	}
	if required && m.err == nil {
		m.err = fmt.Errorf("%s: %s is missing", m.name, name)
	}
	return ""
}

// integer returns the value of a numeric field, without its fraction, or 0 if it is absent.
func (m *message) integer(name string, required bool) int64 {
	text := m.text(name, required)
	if text == "" {
		if required {
			m.fail(name, text)
		}
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		float, floatErr := strconv.ParseFloat(text, 64)
		if floatErr != nil {
			m.fail(name, text)
		}
		number = int64(float)
	}
	return number
}

// integerOr returns the value of a numeric field, or fallback if it is absent.
func (m *message) integerOr(name string, fallback int64) int64 {
	if m.text(name, false) == "" {
		return fallback
	}
	return m.integer(name, false)
}

// callID returns the id of the call.
func (m *message) callID() uint64 { return uint64(m.integer("job", true)) }

// duration returns the value of a field in nanoseconds.
func (m *message) duration(name string, required bool) time.Duration {
	return time.Duration(m.integer(name, required))
}

// float returns the value of a numeric field, or 0 if it is absent.
func (m *message) float(name string) float64 {
	text := m.text(name, false)
	if text == "" {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		m.fail(name, text)
	}
	return number
}

// floats returns the values of a field of numbers separated by commas, or nil if it is absent or "-".
func (m *message) floats(name string) []float64 {
	text := m.text(name, false)
	if text == "" || text == "-" {
		return nil
	}
	var numbers []float64
	for _, part := range strings.Split(text, ",") {
		number, err := strconv.ParseFloat(part, 64)
		if err != nil {
			m.fail(name, text)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// textList returns the values of a field of texts separated by commas, or nil if it is absent.
func (m *message) textList(name string) []string {
	text := m.text(name, false)
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// hexBytes returns the value of a field in hex digits, or nil if it is absent or "-".
func (m *message) hexBytes(name string) []byte {
	text := m.text(name, false)
	if text == "" || text == "-" {
		return nil
	}
	decoded, err := hex.DecodeString(text)
	if err != nil {
		m.fail(name, text)
	}
	return decoded
}

// settings returns the settings of the decision module from the fields of a born message, the line that starts an instance, or
// from those of a settings file (see flatten).
func (m *message) settings() logic.Settings {
	settings := logic.Settings{
		Me: int(m.integer("my_number", false)), Instances: int(m.integer("instances", false)),
		Home: int(m.integerOr("family_info.home_no", -1)), Pools: m.text("family_info.layout", false) == "groups",
		MaxAttempts: int(m.integer("limits.max_attempts", false)), CanCancel: m.boolean("limits.cancel"),
		CanProbe: m.boolean("limits.probes"), CanSendPeer: m.boolean("limits.peers"), SendsRetryAfter: m.boolean("limits.retry_after"),
		MaxWait: m.duration("limits.max_retry_after_ns", false), ListOnRequest: m.text("discovery", false) == "on_request",
		AskWithin: m.duration("rules.ask_within_ns", false), Advice: m.boolean("family_info.route_advice"),
		ReportFields: m.textList("reporting.fields"), Tick: m.duration("tick_ns", false),
		Release: m.duration("family_info.release_ns", false), DrainGrace: m.duration("rules.drain_grace_ns", false),
		TipAfter: m.duration("rules.tip_after_ns", false), Overload: m.float("rules.overload_factor"),
		ColdFrom: m.float("rules.cold_from"), ColdFor: m.duration("rules.cold_ns", false),
	}
	holds, widths := m.floats("family_info.mean_hold_ns"), m.floats("family_info.channels_needed")
	for index := int64(0); index < m.integer("classes.count", false); index++ {
		prefix := "classes." + strconv.FormatInt(index, 10) + "."
		class := logic.Class{Name: m.text(prefix+"name", true), Worth: m.float(prefix + "worth"), LateShare: m.float(prefix + "late_share"),
			Aim: m.duration(prefix+"target_ns", false), Deadline: m.duration(prefix+"deadline_ns", false), Width: 1,
			SafeToRepeat: m.text(prefix+"effect", false) == "safe"}
		if int(index) < len(holds) {
			class.Hold = time.Duration(holds[index])
		}
		if int(index) < len(widths) {
			class.Width = int(widths[index])
		}
		class.Pools = m.pools(int(index))
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// pools returns the numbers of the pools of agents that calls of a class may go to (logic.Class.Pools). They are one field with
// all numbers, or one field for each number and a count.
func (m *message) pools(class int) []int {
	path := "family_info.allowed_pools." + strconv.Itoa(class)
	text := m.text(path, false)
	if text == "" {
		for index := int64(0); index < m.integer(path+".count", false); index++ {
			text += "," + m.text(path+"."+strconv.FormatInt(index, 10), true)
		}
	}
	var numbers []int
	for _, digits := range strings.FieldsFunc(text, func(char rune) bool { return char < '0' || char > '9' }) {
		number, err := strconv.Atoi(digits)
		if err != nil {
			m.fail(path, text)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// boolean reports whether a field is "true" or "1".
func (m *message) boolean(name string) bool {
	text := m.text(name, false)
	return text == "true" || text == "1"
}

// Encoder writes the reply to one batch. It writes nothing before Finish.
type Encoder struct {
	out io.Writer
	buf bytes.Buffer
}

// NewEncoder returns an Encoder that writes to out.
func NewEncoder(out io.Writer) *Encoder { return &Encoder{out: out} }

// Action adds an action of an instance to the reply. Each of the fields has the form name=value.
func (e *Encoder) Action(name string, instance int, fields ...string) {
	e.buf.WriteString(name)
	e.buf.WriteString("\ti=")
	e.buf.WriteString(strconv.Itoa(instance))
	for _, field := range fields {
		e.buf.WriteByte('\t')
		e.buf.WriteString(field)
	}
	e.buf.WriteByte('\n')
}

// Finish ends the reply to the batch with this number, and writes it at once.
func (e *Encoder) Finish(batch uint64) error {
	fmt.Fprintf(&e.buf, "finished\tn=%d\n", batch)
	_, err := e.out.Write(e.buf.Bytes())
	e.buf.Reset()
	return err
}

// CallID returns the field with the id of a call.
func CallID(id uint64) string { return "job=" + strconv.FormatUint(id, 10) }

// Int returns a field with a number.
func Int(name string, value int64) string { return name + "=" + strconv.FormatInt(value, 10) }

// Text returns a field with a text. Tabs and line breaks, which would end the field, become spaces.
func Text(name, value string) string {
	return name + "=" + strings.Map(func(char rune) rune {
		if char == '\t' || char == '\n' || char == '\r' {
			return ' '
		}
		return char
	}, value)
}

// Hex returns a field with bytes in hex digits, "-" for none.
func Hex(name string, data []byte) string {
	if len(data) == 0 {
		return name + "=-"
	}
	return name + "=" + hex.EncodeToString(data)
}
