// Package isup encodes and decodes ISUP messages (Q.763) and applies the compatibility rules of Q.764 to unrecognized messages and
// parameters. It does no I/O and keeps no state: package trunk manages circuits and their timers, package router calls.
package isup

import (
	"errors"
	"fmt"
	"slices"
)

// MaxLength is the longest message in octets: the signalling information field of MTP has 272, of which the routing label takes 4.
const MaxLength = 268

const (
	headerSize     = 3   // octets of the circuit identification code and the message type
	maxParamLength = 255 // octets: the length indicator of a parameter has one octet
)

// Param is one parameter, with its value as encoded on the wire.
type Param struct {
	Code  ParamCode
	Value []byte
}

// Message is one ISUP message. After Decode, Params holds the mandatory parameters in the order of Q.763, then the optional ones,
// including unknown ones, in the order in which they were received.
type Message struct {
	CIC    uint16 // circuit identification code, 12 bits
	Type   Type
	Params []Param
	Body   []byte // of an unknown type: the octets after the message type
}

// ErrTruncated is returned if a message or parameter ends before the length that it announces.
var ErrTruncated = errors.New("message is truncated")

// Known reports whether messages of a type can be decoded into parameters.
func Known(messageType Type) bool { _, ok := messageLayouts[messageType]; return ok }

// Get returns the value of the first parameter with a code; false if there is none.
func (m *Message) Get(code ParamCode) ([]byte, bool) {
	for i := range m.Params {
		if m.Params[i].Code == code {
			return m.Params[i].Value, true
		}
	}
	return nil, false
}

// Set replaces the value of a parameter, or adds the parameter after the others.
func (m *Message) Set(code ParamCode, value ...byte) {
	for i := range m.Params {
		if m.Params[i].Code == code {
			m.Params[i].Value = value
			return
		}
	}
	m.Params = append(m.Params, Param{code, value})
}

// Decode decodes a message. The values of its parameters are slices of raw. An error names the faulty parameter; it wraps
// ErrTruncated unless the message is longer than MaxLength. The Message returned with an error holds the circuit and the type, if
// raw contains them.
func Decode(raw []byte) (*Message, error) {
	if len(raw) < headerSize {
		return &Message{}, fmt.Errorf("isup: %w: %d octets, the header has 3", ErrTruncated, len(raw))
	}
	message := &Message{CIC: uint16(raw[0]) | uint16(raw[1]&0x0f)<<8, Type: Type(raw[2])}
	if len(raw) > MaxLength {
		return message, fmt.Errorf("isup: %v of %d octets, more than %d", message.Type, len(raw), MaxLength)
	}
	layout, known := messageLayouts[message.Type]
	if !known {
		message.Body = raw[headerSize:]
		return message, nil
	}
	if err := message.decodeParameters(raw[headerSize:], layout); err != nil {
		return message, fmt.Errorf("isup: %v on circuit %d: %w", message.Type, message.CIC, err)
	}
	return message, nil
}

// decodeParameters decodes the part of a message after the header.
func (m *Message) decodeParameters(input []byte, layout messageLayout) error {
	m.Params = make([]Param, 0, len(layout.fixed)+len(layout.variable)+2)
	for _, param := range layout.fixed {
		if len(input) < param.size {
			return fmt.Errorf("%w in parameter 0x%02x", ErrTruncated, byte(param.code))
		}
		m.Params = append(m.Params, Param{param.code, input[:param.size:param.size]})
		input = input[param.size:]
	}
	pointers := len(layout.variable)
	if layout.hasOptional {
		pointers++
	}
	if len(input) < pointers {
		return fmt.Errorf("%w in the pointers to its parameters", ErrTruncated)
	}
	for i, code := range layout.variable {
		start := i + int(input[i])
		if input[i] == 0 || start >= len(input) || start+1+int(input[start]) > len(input) {
			return fmt.Errorf("%w in parameter 0x%02x", ErrTruncated, byte(code))
		}
		m.Params = append(m.Params, Param{code, input[start+1 : start+1+int(input[start]) : start+1+int(input[start])]})
	}
	if !layout.hasOptional || input[pointers-1] == 0 {
		return nil
	}
	return m.decodeOptional(input, pointers-1+int(input[pointers-1]))
}

// decodeOptional decodes the optional parameters that start at a position of input.
func (m *Message) decodeOptional(input []byte, position int) error {
	for {
		if position >= len(input) {
			return fmt.Errorf("%w: the end of optional parameters is missing", ErrTruncated)
		}
		if ParamCode(input[position]) == ParamEndOfOptional {
			return nil
		}
		if position+2 > len(input) || position+2+int(input[position+1]) > len(input) {
			return fmt.Errorf("%w in optional parameter 0x%02x", ErrTruncated, input[position])
		}
		end := position + 2 + int(input[position+1])
		m.Params = append(m.Params, Param{ParamCode(input[position]), input[position+2 : end : end]})
		position = end
	}
}

// Append encodes the message, appends it to dst and returns the extended slice. It fails if a mandatory parameter is missing or
// has a wrong size, if another parameter cannot be encoded, or if the message is longer than MaxLength; it then returns dst.
func (m *Message) Append(dst []byte) ([]byte, error) {
	start := len(dst)
	dst = append(dst, byte(m.CIC), byte(m.CIC>>8)&0x0f, byte(m.Type))
	layout, known := messageLayouts[m.Type]
	if !known {
		dst = append(dst, m.Body...)
	} else {
		var err error
		if dst, err = m.appendParameters(dst, layout); err != nil {
			return dst[:start], fmt.Errorf("isup: %v on circuit %d: %w", m.Type, m.CIC, err)
		}
	}
	if len(dst)-start > MaxLength {
		return dst[:start], fmt.Errorf("isup: %v on circuit %d: longer than %d octets", m.Type, m.CIC, MaxLength)
	}
	return dst, nil
}

// appendParameters appends the mandatory parameters, and the optional ones if the layout allows them.
func (m *Message) appendParameters(dst []byte, layout messageLayout) ([]byte, error) {
	for _, param := range layout.fixed {
		value, ok := m.Get(param.code)
		if !ok || len(value) != param.size {
			return dst, fmt.Errorf("parameter 0x%02x has %d octets, not %d", byte(param.code), len(value), param.size)
		}
		dst = append(dst, value...)
	}
	pointers := len(dst)
	dst = append(dst, make([]byte, len(layout.variable))...)
	if layout.hasOptional {
		dst = append(dst, 0)
	}
	for i, code := range layout.variable {
		value, ok := m.Get(code)
		if !ok || len(value) > maxParamLength {
			return dst, fmt.Errorf("parameter 0x%02x is missing or too long", byte(code))
		}
		dst[pointers+i] = byte(len(dst) - pointers - i)
		dst = append(append(dst, byte(len(value))), value...)
	}
	if layout.hasOptional {
		return m.appendOptional(dst, layout, pointers+len(layout.variable))
	}
	return dst, nil
}

// appendOptional appends the parameters that are not mandatory. pointer is the index in dst of the pointer to them.
func (m *Message) appendOptional(dst []byte, layout messageLayout, pointer int) ([]byte, error) {
	first := len(dst)
	for _, p := range m.Params {
		if layout.mandatory(p.Code) {
			continue
		}
		if len(p.Value) > maxParamLength || p.Code == ParamEndOfOptional {
			return dst, fmt.Errorf("optional parameter 0x%02x cannot be encoded", byte(p.Code))
		}
		dst = append(append(dst, byte(p.Code), byte(len(p.Value))), p.Value...)
	}
	if len(dst) == first {
		return dst, nil
	}
	if first-pointer > 255 {
		return dst, errors.New("mandatory part is too long for the pointer to the optional part")
	}
	dst[pointer] = byte(first - pointer)
	return append(dst, byte(ParamEndOfOptional)), nil
}

// mandatory reports whether a parameter is mandatory.
func (l messageLayout) mandatory(code ParamCode) bool {
	return slices.Contains(l.variable, code) ||
		slices.ContainsFunc(l.fixed, func(f fixedParam) bool { return f.code == code })
}
