// Package office reads and writes the binary messages between call servers and offices of the platform. Pure: bytes
// in, messages out. A length that does not fit, a type that does not exist or a parameter that ends outside its
// message is an error, after which a stream cannot be followed any further.
package office

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// Most is how long a message may be, its length included.
const Most = 16 << 10

// Type is the type of a message.
type Type byte

// The types of message.
const (
	SetUp      Type = 1
	Progress   Type = 6
	Answer     Type = 9
	Release    Type = 12
	Heard      Type = 16 // a release was heard
	GroupState Type = 43
	Test       Type = 52
	TestReport Type = 53
)

// The codes of parameters.
const (
	paramClass       = 64
	paramWait        = 65
	paramNumber      = 68
	paramNote        = 71
	paramLoad        = 73
	paramCause       = 78
	paramDescription = 79
)

// Causes of a release, by Q.850.
const (
	CauseNormal     = 16
	CauseBusy       = 17
	CauseNoCircuit  = 34
	CauseTemporary  = 41
	CauseResource   = 47
	CauseTimer      = 102
	minLength       = 9 // type and call
	lengthBytes     = 2
	parameterHeader = 3
)

// Message is one message. What it does not carry is empty; HasCause tells a cause of 0 from none.
type Message struct {
	Type        Type
	Call        uint64
	Class       string
	Wait        int // milliseconds
	Number      string
	Note        string
	Load        string
	Cause       byte
	HasCause    bool
	Description []byte
}

// Append adds a message in its form on the wire. What does not fit in a message is an error.
func Append(b []byte, m *Message) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, byte(m.Type))
	b = binary.BigEndian.AppendUint64(b, m.Call)
	b = text(b, paramClass, m.Class)
	if m.Wait > 0 {
		b = text(b, paramWait, strconv.Itoa(m.Wait))
	}
	b = text(b, paramNumber, m.Number)
	b = text(b, paramNote, m.Note)
	b = text(b, paramLoad, m.Load)
	if m.HasCause {
		b = append(b, paramCause, 0, 1, m.Cause)
	}
	b = text(b, paramDescription, m.Description)
	if len(b)-start > Most {
		return b[:start], fmt.Errorf("office: a message of %d bytes", len(b)-start)
	}
	binary.BigEndian.PutUint16(b[start:], uint16(len(b)-start-lengthBytes))
	return b, nil
}

func text[T string | []byte](b []byte, code byte, v T) []byte {
	if len(v) == 0 {
		return b
	}
	b = append(b, code, byte(len(v)>>8), byte(len(v)))
	return append(b, v...)
}

// Parse reads one message without its length. Parameters of unknown codes are passed over.
func Parse(b []byte) (*Message, error) {
	if len(b) < minLength {
		return nil, fmt.Errorf("office: a message of %d bytes", len(b))
	}
	m := &Message{Type: Type(b[0]), Call: binary.BigEndian.Uint64(b[1:])}
	switch m.Type {
	case SetUp, Progress, Answer, Release, Heard, GroupState, Test, TestReport:
	default:
		return nil, fmt.Errorf("office: a message of type %d", b[0])
	}
	for b = b[minLength:]; len(b) > 0; {
		if len(b) < parameterHeader {
			return nil, fmt.Errorf("office: %d bytes after the last parameter", len(b))
		}
		code, n := b[0], int(binary.BigEndian.Uint16(b[1:]))
		if b = b[parameterHeader:]; n > len(b) {
			return nil, fmt.Errorf("office: parameter %d of %d bytes, where %d are left", code, n, len(b))
		}
		if err := m.set(code, b[:n]); err != nil {
			return nil, err
		}
		b = b[n:]
	}
	return m, nil
}

func (m *Message) set(code byte, v []byte) (err error) {
	switch code {
	case paramClass:
		m.Class = string(v)
	case paramWait:
		if m.Wait, err = strconv.Atoi(string(v)); err != nil || m.Wait < 0 {
			return fmt.Errorf("office: parameter %d: a wait of %.40q", code, v)
		}
	case paramNumber:
		m.Number = string(v)
	case paramNote:
		m.Note = string(v)
	case paramLoad:
		m.Load = string(v)
	case paramCause:
		if len(v) != 1 {
			return fmt.Errorf("office: parameter %d: a cause of %d bytes", code, len(v))
		}
		m.Cause, m.HasCause = v[0], true
	case paramDescription:
		m.Description = bytes.Clone(v)
	}
	return nil
}

// Values reads a load ("spare:12;total:30") into the order of names; what is not told is -1.
func (m *Message) Values(names []string) ([]float64, error) {
	if m.Load == "" {
		return nil, nil
	}
	out := make([]float64, len(names))
	for i := range out {
		out[i] = -1
	}
	for _, part := range strings.Split(m.Load, ";") {
		name, value, ok := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("office: parameter %d: a load of %.40q", paramLoad, m.Load)
		}
		for i, n := range names {
			if n == name {
				out[i] = v
			}
		}
	}
	return out, nil
}

// Framer cuts a byte stream into messages. After an error the stream cannot be followed any further.
type Framer struct{ buf []byte }

// Write adds bytes of the stream.
func (f *Framer) Write(b []byte) { f.buf = append(f.buf, b...) }

// Waiting is how many bytes of an unfinished message are held.
func (f *Framer) Waiting() int { return len(f.buf) }

// Next gives the next whole message, or nil where it has not come yet.
func (f *Framer) Next() (*Message, error) {
	if len(f.buf) < lengthBytes {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint16(f.buf))
	if n < minLength || n+lengthBytes > Most {
		return nil, fmt.Errorf("office: a length of %d", n)
	}
	if len(f.buf) < lengthBytes+n {
		return nil, nil
	}
	m, err := Parse(f.buf[lengthBytes : lengthBytes+n])
	if f.buf = f.buf[lengthBytes+n:]; len(f.buf) == 0 {
		f.buf = nil
	}
	return m, err
}
