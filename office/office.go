// Package office encodes and decodes the binary messages between call servers and offices of the platform. It does no
// input or output of its own. An invalid length, an unknown type, or a parameter that exceeds its message is an error;
// after it the rest of a stream cannot be parsed.
package office

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// MaxMessageBytes limits the size of a message, its length field included.
const MaxMessageBytes = 16 << 10

// Type is the type of a message.
type Type byte

// The message types.
const (
	SetUp           Type = 1  // starts an attempt
	Progress        Type = 6  // the attempt is in progress
	Answer          Type = 9  // the call is established
	Release         Type = 12 // ends an attempt or an established call
	ReleaseComplete Type = 16 // acknowledges a Release
	GroupState      Type = 43 // circuits of the trunk group, sent without a request
	HealthCheck     Type = 52 // health check of an office
	HealthReport    Type = 53 // response to HealthCheck
)

// The parameter codes.
const (
	paramClass       = 64
	paramTimeLeft    = 65
	paramNumber      = 68
	paramNote        = 71
	paramLoad        = 73
	paramCause       = 78
	paramDescription = 79
)

// Causes of a release (Q.850), with their names there. After them, sizes of the parts of a message, in bytes.
const (
	CauseNormal    = 16  // normal call clearing
	CauseBusy      = 17  // user busy
	CauseNoCircuit = 34  // no circuit or channel available
	CauseTemporary = 41  // temporary failure
	CauseResource  = 47  // resource unavailable, unspecified
	CauseTimer     = 102 // recovery on timer expiry

	minContentBytes  = 9 // type and call id
	lengthFieldBytes = 2
	paramHeaderBytes = 3 // code and length
)

// Message is one decoded message. Fields whose parameters are absent have their zero value.
type Message struct {
	Type        Type
	Call        uint64 // id of the call
	Class       string // name of the class of the call
	TimeLeftMs  int    // time left for the attempt in milliseconds
	Number      string // called number
	Note        string // detail of a release cause
	Load        string // state of a trunk group, such as "spare:12;total:30"
	Cause       byte   // Q.850 cause
	HasCause    bool   // the message has a cause, which may be 0
	Description []byte // session description (RFC 4566), preceded by its id
}

// Append appends a message in wire form. A message larger than MaxMessageBytes is an error.
func Append(buf []byte, msg *Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, byte(msg.Type))
	buf = binary.BigEndian.AppendUint64(buf, msg.Call)
	buf = appendParam(buf, paramClass, msg.Class)
	if msg.TimeLeftMs > 0 {
		buf = appendParam(buf, paramTimeLeft, strconv.Itoa(msg.TimeLeftMs))
	}
	buf = appendParam(buf, paramNumber, msg.Number)
	buf = appendParam(buf, paramNote, msg.Note)
	buf = appendParam(buf, paramLoad, msg.Load)
	if msg.HasCause {
		buf = append(buf, paramCause, 0, 1, msg.Cause)
	}
	buf = appendParam(buf, paramDescription, msg.Description)
	if len(buf)-start > MaxMessageBytes {
		return buf[:start], fmt.Errorf("office: message of %d bytes is too large", len(buf)-start)
	}
	binary.BigEndian.PutUint16(buf[start:], uint16(len(buf)-start-lengthFieldBytes))
	return buf, nil
}

// appendParam appends one parameter; an empty value is left out.
func appendParam[T string | []byte](buf []byte, code byte, value T) []byte {
	if len(value) == 0 {
		return buf
	}
	buf = append(buf, code, byte(len(value)>>8), byte(len(value)))
	return append(buf, value...)
}

// Parse decodes one message without its length field. Parameters with unknown codes are skipped.
func Parse(data []byte) (*Message, error) {
	if len(data) < minContentBytes {
		return nil, fmt.Errorf("office: message of %d bytes is too short", len(data))
	}
	msg := &Message{Type: Type(data[0]), Call: binary.BigEndian.Uint64(data[1:])}
	switch msg.Type {
	case SetUp, Progress, Answer, Release, ReleaseComplete, GroupState, HealthCheck, HealthReport:
	default:
		return nil, fmt.Errorf("office: unknown message type %d", data[0])
	}
	for data = data[minContentBytes:]; len(data) > 0; {
		if len(data) < paramHeaderBytes {
			return nil, fmt.Errorf("office: %d bytes after the last parameter", len(data))
		}
		code, length := data[0], int(binary.BigEndian.Uint16(data[1:]))
		if data = data[paramHeaderBytes:]; length > len(data) {
			return nil, fmt.Errorf("office: parameter %d has length %d, but only %d bytes are left", code, length, len(data))
		}
		if err := msg.setParam(code, data[:length]); err != nil {
			return nil, err
		}
		data = data[length:]
	}
	return msg, nil
}

// setParam stores the value of one parameter.
func (m *Message) setParam(code byte, value []byte) (err error) {
	switch code {
	case paramClass:
		m.Class = string(value)
	case paramTimeLeft:
		if m.TimeLeftMs, err = strconv.Atoi(string(value)); err != nil || m.TimeLeftMs < 0 {
			return fmt.Errorf("office: parameter %d: invalid time left %.40q", code, value)
		}
	case paramNumber:
		m.Number = string(value)
	case paramNote:
		m.Note = string(value)
	case paramLoad:
		m.Load = string(value)
	case paramCause:
		if len(value) != 1 {
			return fmt.Errorf("office: parameter %d: cause has %d bytes, must be 1", code, len(value))
		}
		m.Cause, m.HasCause = value[0], true
	case paramDescription:
		m.Description = bytes.Clone(value)
	}
	return nil
}

// LoadValues parses Load, such as "spare:12;total:30", and returns the values in the order of names, -1 for each name that
// is absent.
func (m *Message) LoadValues(names []string) ([]float64, error) {
	if m.Load == "" {
		return nil, nil
	}
	values := make([]float64, len(names))
	for index := range values {
		values[index] = -1
	}
	for _, pair := range strings.Split(m.Load, ";") {
		name, value, ok := strings.Cut(pair, ":")
		number, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("office: parameter %d: invalid load %.40q", paramLoad, m.Load)
		}
		for index, wanted := range names {
			if wanted == name {
				values[index] = number
			}
		}
	}
	return values, nil
}

// Framer splits a byte stream into messages. After an error the rest of the stream cannot be parsed.
type Framer struct{ buffered []byte }

// Write appends received bytes.
func (f *Framer) Write(data []byte) { f.buffered = append(f.buffered, data...) }

// Buffered returns the number of buffered bytes of an incomplete message.
func (f *Framer) Buffered() int { return len(f.buffered) }

// Next returns the next complete message, or nil if it has not arrived completely.
func (f *Framer) Next() (*Message, error) {
	if len(f.buffered) < lengthFieldBytes {
		return nil, nil
	}
	length := int(binary.BigEndian.Uint16(f.buffered))
	if length < minContentBytes || length+lengthFieldBytes > MaxMessageBytes {
		return nil, fmt.Errorf("office: invalid message length %d", length)
	}
	if len(f.buffered) < lengthFieldBytes+length {
		return nil, nil
	}
	msg, err := Parse(f.buffered[lengthFieldBytes : lengthFieldBytes+length])
	if f.buffered = f.buffered[lengthFieldBytes+length:]; len(f.buffered) == 0 {
		f.buffered = nil
	}
	return msg, err
}
