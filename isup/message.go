// Package isup reads and writes ISUP messages (Q.763) and holds what Q.764 says of single messages: which
// unknown ones are passed, discarded or release the call. It is pure: bytes in, messages out. Circuits and
// their timers are in package trunk, calls in package router.
package isup

import (
	"errors"
	"fmt"
	"slices"
)

// MaxLength is the longest message that fits a signalling information field (Q.704), in octets.
const MaxLength = 268

// Param is one parameter as it stands on the wire.
type Param struct {
	Code  ParamCode
	Value []byte
}

// Message is one ISUP message. Params holds the mandatory ones first, in the order of Q.763, then the optional
// ones in the order that they came in, unknown ones among them.
type Message struct {
	CIC    uint16 // circuit identification code, 12 bits
	Type   Type
	Params []Param
	Body   []byte // of an unknown type: all after the type
}

// ErrTruncated is returned where a message ends before what it announces.
var ErrTruncated = errors.New("message is cut short")

// Known tells whether the layout of a type is known.
func Known(t Type) bool { _, ok := layouts[t]; return ok }

// Get finds the value of a parameter.
func (m *Message) Get(code ParamCode) ([]byte, bool) {
	for i := range m.Params {
		if m.Params[i].Code == code {
			return m.Params[i].Value, true
		}
	}
	return nil, false
}

// Set replaces a parameter, or adds it behind the others.
func (m *Message) Set(code ParamCode, value ...byte) {
	for i := range m.Params {
		if m.Params[i].Code == code {
			m.Params[i].Value = value
			return
		}
	}
	m.Params = append(m.Params, Param{code, value})
}

// Decode reads a message. The values of its parameters are parts of b. An error names the parameter that is
// at fault; the CIC and type of the Message returned with it are good where b holds them.
func Decode(b []byte) (*Message, error) {
	if len(b) < 3 {
		return &Message{}, fmt.Errorf("isup: %w: %d octets, a header has 3", ErrTruncated, len(b))
	}
	m := &Message{CIC: uint16(b[0]) | uint16(b[1]&0x0f)<<8, Type: Type(b[2])}
	if len(b) > MaxLength {
		return m, fmt.Errorf("isup: %v of %d octets, more than %d", m.Type, len(b), MaxLength)
	}
	lay, known := layouts[m.Type]
	if !known {
		m.Body = b[3:]
		return m, nil
	}
	if err := m.decodeParts(b[3:], lay); err != nil {
		return m, fmt.Errorf("isup: %v on circuit %d: %w", m.Type, m.CIC, err)
	}
	return m, nil
}

func (m *Message) decodeParts(b []byte, lay layout) error {
	m.Params = make([]Param, 0, len(lay.fixed)+len(lay.variable)+2)
	for _, f := range lay.fixed {
		if len(b) < f.size {
			return fmt.Errorf("%w in parameter 0x%02x", ErrTruncated, byte(f.code))
		}
		m.Params = append(m.Params, Param{f.code, b[:f.size:f.size]})
		b = b[f.size:]
	}
	pointers := len(lay.variable)
	if lay.optional {
		pointers++
	}
	if len(b) < pointers {
		return fmt.Errorf("%w in its pointers", ErrTruncated)
	}
	for i, code := range lay.variable {
		at := i + int(b[i])
		if b[i] == 0 || at >= len(b) || at+1+int(b[at]) > len(b) {
			return fmt.Errorf("%w in parameter 0x%02x", ErrTruncated, byte(code))
		}
		m.Params = append(m.Params, Param{code, b[at+1 : at+1+int(b[at]) : at+1+int(b[at])]})
	}
	if !lay.optional || b[pointers-1] == 0 {
		return nil
	}
	return m.decodeOptional(b, pointers-1+int(b[pointers-1]))
}

func (m *Message) decodeOptional(b []byte, at int) error {
	for {
		if at >= len(b) {
			return fmt.Errorf("%w: no end of optional parameters", ErrTruncated)
		}
		if ParamCode(b[at]) == ParamEnd {
			return nil
		}
		if at+2 > len(b) || at+2+int(b[at+1]) > len(b) {
			return fmt.Errorf("%w in optional parameter 0x%02x", ErrTruncated, b[at])
		}
		end := at + 2 + int(b[at+1])
		m.Params = append(m.Params, Param{ParamCode(b[at]), b[at+2 : end : end]})
		at = end
	}
}

// Append writes the message behind dst. It fails on a missing mandatory parameter, one of a wrong size, or a
// message longer than MaxLength.
func (m *Message) Append(dst []byte) ([]byte, error) {
	start := len(dst)
	dst = append(dst, byte(m.CIC), byte(m.CIC>>8)&0x0f, byte(m.Type))
	lay, known := layouts[m.Type]
	if !known {
		dst = append(dst, m.Body...)
	} else {
		var err error
		if dst, err = m.appendParts(dst, lay); err != nil {
			return dst[:start], fmt.Errorf("isup: %v on circuit %d: %w", m.Type, m.CIC, err)
		}
	}
	if len(dst)-start > MaxLength {
		return dst[:start], fmt.Errorf("isup: %v on circuit %d: longer than %d octets", m.Type, m.CIC, MaxLength)
	}
	return dst, nil
}

func (m *Message) appendParts(dst []byte, lay layout) ([]byte, error) {
	for _, f := range lay.fixed {
		v, ok := m.Get(f.code)
		if !ok || len(v) != f.size {
			return dst, fmt.Errorf("parameter 0x%02x has %d octets, not %d", byte(f.code), len(v), f.size)
		}
		dst = append(dst, v...)
	}
	pointers := len(dst)
	dst = append(dst, make([]byte, len(lay.variable))...)
	if lay.optional {
		dst = append(dst, 0)
	}
	for i, code := range lay.variable {
		v, ok := m.Get(code)
		if !ok || len(v) > 255 {
			return dst, fmt.Errorf("parameter 0x%02x is missing or too long", byte(code))
		}
		dst[pointers+i] = byte(len(dst) - pointers - i)
		dst = append(append(dst, byte(len(v))), v...)
	}
	if lay.optional {
		return m.appendOptional(dst, lay, pointers+len(lay.variable))
	}
	return dst, nil
}

func (m *Message) appendOptional(dst []byte, lay layout, pointer int) ([]byte, error) {
	first := len(dst)
	for _, p := range m.Params {
		if lay.mandatory(p.Code) {
			continue
		}
		if len(p.Value) > 255 || p.Code == ParamEnd {
			return dst, fmt.Errorf("optional parameter 0x%02x cannot be written", byte(p.Code))
		}
		dst = append(append(dst, byte(p.Code), byte(len(p.Value))), p.Value...)
	}
	if len(dst) == first {
		return dst, nil
	}
	if first-pointer > 255 {
		return dst, errors.New("mandatory part too long for the pointer to the optional one")
	}
	dst[pointer] = byte(first - pointer)
	return append(dst, byte(ParamEnd)), nil
}

func (l layout) mandatory(code ParamCode) bool {
	return slices.Contains(l.variable, code) ||
		slices.ContainsFunc(l.fixed, func(f fixedParam) bool { return f.code == code })
}
