// Package m3ua encodes and decodes M3UA messages (RFC 4666), splits a TCP byte stream into them, and provides the state machines
// of an association between two signalling processes and of an application server (sections 3 and 4). It does no I/O: the caller
// passes in received bytes and the current time, and collects the bytes to send and the indications. The payload, such as ISUP, is
// not interpreted.
package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Class is a message class (RFC 4666 section 3.1.2).
type Class byte

// Message classes.
const (
	ClassMGMT     Class = 0 // management
	ClassTransfer Class = 1 // transfer of user data
	ClassSSNM     Class = 2 // SS7 signalling network management
	ClassASPSM    Class = 3 // ASP state maintenance
	ClassASPTM    Class = 4 // ASP traffic maintenance
	ClassRKM      Class = 9 // routing key management
)

// Kind identifies a message by its class (high octet) and its type in the class (low octet).
type Kind uint16

// Messages of RFC 4666, except those of routing key management, such as REGREQ.
const (
	ERR      = Kind(ClassMGMT) << 8       // error
	NTFY     = Kind(ClassMGMT)<<8 | 1     // notify
	DATA     = Kind(ClassTransfer)<<8 | 1 // payload data
	DUNA     = Kind(ClassSSNM)<<8 | 1     // destination unavailable
	DAVA     = Kind(ClassSSNM)<<8 | 2     // destination available
	DAUD     = Kind(ClassSSNM)<<8 | 3     // destination state audit
	SCON     = Kind(ClassSSNM)<<8 | 4     // signalling congestion
	DUPU     = Kind(ClassSSNM)<<8 | 5     // destination user part unavailable
	DRST     = Kind(ClassSSNM)<<8 | 6     // destination restricted
	ASPUP    = Kind(ClassASPSM)<<8 | 1    // ASP up
	ASPDN    = Kind(ClassASPSM)<<8 | 2    // ASP down
	BEAT     = Kind(ClassASPSM)<<8 | 3    // heartbeat
	ASPUPACK = Kind(ClassASPSM)<<8 | 4    // ASP up acknowledgement
	ASPDNACK = Kind(ClassASPSM)<<8 | 5    // ASP down acknowledgement
	BEATACK  = Kind(ClassASPSM)<<8 | 6    // heartbeat acknowledgement
	ASPAC    = Kind(ClassASPTM)<<8 | 1    // ASP active
	ASPIA    = Kind(ClassASPTM)<<8 | 2    // ASP inactive
	ASPACACK = Kind(ClassASPTM)<<8 | 3    // ASP active acknowledgement
	ASPIAACK = Kind(ClassASPTM)<<8 | 4    // ASP inactive acknowledgement
)

// kindNames holds the messages that are known, with their names in RFC 4666.
var kindNames = map[Kind]string{ERR: "ERR", NTFY: "NTFY", DATA: "DATA", DUNA: "DUNA", DAVA: "DAVA", DAUD: "DAUD",
	SCON: "SCON", DUPU: "DUPU", DRST: "DRST", ASPUP: "ASPUP", ASPDN: "ASPDN", BEAT: "BEAT",
	ASPUPACK: "ASPUP-ACK", ASPDNACK: "ASPDN-ACK", BEATACK: "BEAT-ACK", ASPAC: "ASPAC", ASPIA: "ASPIA",
	ASPACACK: "ASPAC-ACK", ASPIAACK: "ASPIA-ACK", REGREQ: "REG-REQ", REGRSP: "REG-RSP", DEREGREQ: "DEREG-REQ",
	DEREGRSP: "DEREG-RSP"}

// Class returns the message class.
func (k Kind) Class() Class { return Class(k >> 8) }

// String returns the name of the message in RFC 4666, or its class and type.
func (k Kind) String() string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return fmt.Sprintf("class %d type %d", k>>8, byte(k))
}

// Tag identifies a parameter (RFC 4666 section 3.2).
type Tag uint16

// Parameter tags, and sizes in octets.
const (
	TagInfoString            Tag = 0x0004
	TagRoutingContext        Tag = 0x0006
	TagDiagnostic            Tag = 0x0007
	TagHeartbeat             Tag = 0x0009
	TagTrafficModeType       Tag = 0x000b
	TagErrorCode             Tag = 0x000c
	TagStatus                Tag = 0x000d
	TagASPID                 Tag = 0x0011
	TagAffectedPointCode     Tag = 0x0012
	TagCorrelationID         Tag = 0x0013
	TagNetworkAppearance     Tag = 0x0200
	TagUserCause             Tag = 0x0204
	TagCongestionIndications Tag = 0x0205
	TagConcernedDestination  Tag = 0x0206
	TagProtocolData          Tag = 0x0210
	headerSize                   = 8  // common message header
	minProtocolDataSize          = 12 // value of a Protocol Data parameter without user data
)

const (
	protocolVersion = 1
	paramHeaderSize = 4 // octets of the tag and the length of a parameter
)

// ErrorCode is the error code of an ERR (RFC 4666 section 3.8.1).
type ErrorCode uint32

// Error codes.
const (
	ErrInvalidVersion         ErrorCode = 0x01
	ErrUnsupportedClass       ErrorCode = 0x03 // unsupported message class
	ErrUnsupportedType        ErrorCode = 0x04
	ErrUnsupportedTrafficMode ErrorCode = 0x05
	ErrUnexpectedMessage      ErrorCode = 0x06
	ErrProtocol               ErrorCode = 0x07
	ErrBlocking               ErrorCode = 0x0d // refused, management blocking
	ErrInvalidParameterValue  ErrorCode = 0x11
	ErrParameterField         ErrorCode = 0x12
	ErrMissingParameter       ErrorCode = 0x16
	ErrInvalidRoutingContext  ErrorCode = 0x19
	ErrNoConfiguredAS         ErrorCode = 0x1a
)

// Fault is the error for a message that cannot be accepted. Code is sent to the peer in an ERR, Text is not.
type Fault struct {
	Code ErrorCode
	Text string
}

// Error returns the text and the error code.
func (f *Fault) Error() string {
	return fmt.Sprintf("m3ua: %s (error code 0x%02x)", f.Text, uint32(f.Code))
}

// Param is one parameter. Value does not include the padding.
type Param struct {
	Tag   Tag
	Value []byte
}

// Message is one M3UA message.
type Message struct {
	Kind   Kind
	Params []Param
}

// Get returns the value of the first parameter with a tag; false if there is none.
func (m *Message) Get(tag Tag) ([]byte, bool) {
	for i := range m.Params {
		if m.Params[i].Tag == tag {
			return m.Params[i].Value, true
		}
	}
	return nil, false
}

// Uint32 returns the first four octets of a parameter as a number; false if it is missing or shorter.
func (m *Message) Uint32(tag Tag) (uint32, bool) {
	if v, ok := m.Get(tag); ok && len(v) >= 4 {
		return binary.BigEndian.Uint32(v), true
	}
	return 0, false
}

// With adds a parameter and returns the message.
func (m *Message) With(tag Tag, value []byte) *Message {
	m.Params = append(m.Params, Param{tag, value})
	return m
}

// WithUint32 adds a parameter of four octets and returns the message.
func (m *Message) WithUint32(tag Tag, value uint32) *Message {
	return m.With(tag, binary.BigEndian.AppendUint32(nil, value))
}

// Append encodes the message (RFC 4666 section 3.1), appends it to dst and returns the extended slice. Each parameter is padded
// to a multiple of four octets.
func (m *Message) Append(dst []byte) []byte {
	start := len(dst)
	dst = append(dst, protocolVersion, 0, byte(m.Kind>>8), byte(m.Kind), 0, 0, 0, 0)
	for _, p := range m.Params {
		dst = binary.BigEndian.AppendUint16(dst, uint16(p.Tag))
		dst = binary.BigEndian.AppendUint16(dst, uint16(paramHeaderSize+len(p.Value)))
		dst = append(dst, p.Value...)
		for i := len(p.Value); i&3 != 0; i++ {
			dst = append(dst, 0)
		}
	}
	binary.BigEndian.PutUint32(dst[start+4:], uint32(len(dst)-start))
	return dst
}

// Decode decodes one complete message. The values of its parameters are slices of raw. An error is always a *Fault; the message
// returned with it may be nil or incomplete.
func Decode(raw []byte) (*Message, error) {
	if len(raw) < headerSize {
		return nil, &Fault{ErrProtocol, fmt.Sprintf("message of %d octets is shorter than its header of 8", len(raw))}
	}
	if raw[0] != protocolVersion {
		return nil, &Fault{ErrInvalidVersion, fmt.Sprintf("version %d is not supported, only 1", raw[0])}
	}
	message := &Message{Kind: Kind(raw[2])<<8 | Kind(raw[3]), Params: make([]Param, 0, 2)}
	if length := binary.BigEndian.Uint32(raw[4:]); uint64(length) != uint64(len(raw)) {
		return message, &Fault{ErrProtocol, fmt.Sprintf("%v with length field %d has %d octets", message.Kind, length, len(raw))}
	}
	for raw = raw[headerSize:]; len(raw) > 0; {
		if len(raw) < paramHeaderSize {
			return message, &Fault{ErrParameterField,
				fmt.Sprintf("%v: %d octets after the last parameter", message.Kind, len(raw))}
		}
		tag, length := Tag(binary.BigEndian.Uint16(raw)), int(binary.BigEndian.Uint16(raw[2:]))
		if length < paramHeaderSize || length > len(raw) {
			return message, &Fault{ErrParameterField,
				fmt.Sprintf("%v: parameter 0x%04x has length %d", message.Kind, uint16(tag), length)}
		}
		message.Params = append(message.Params, Param{tag, raw[paramHeaderSize:length:length]})
		raw = raw[min(len(raw), (length+3)&^3):]
	}
	return message, checkKind(message.Kind)
}

// checkKind returns a *Fault for a message class or type that is not known.
func checkKind(kind Kind) error {
	if _, ok := kindNames[kind]; ok {
		return nil
	}
	switch kind.Class() {
	case ClassMGMT, ClassTransfer, ClassSSNM, ClassASPSM, ClassASPTM, ClassRKM:
		return &Fault{ErrUnsupportedType, kind.String() + " is not known"}
	}
	return &Fault{ErrUnsupportedClass, kind.String() + " is not supported"}
}

// ProtocolData holds the parameters of a DATA message (RFC 4666 section 3.3.1).
type ProtocolData struct {
	OPC            uint32 // originating point code, 14 bits in ITU networks
	DPC            uint32 // destination point code, 14 bits in ITU networks
	SI             byte   // service indicator: 5 for ISUP
	NI             byte   // network indicator
	MP             byte   // message priority
	SLS            byte   // signalling link selection
	Data           []byte // user data
	RoutingContext uint32 // valid if HasContext
	HasContext     bool   // the message carries a routing context
}

// maxDataOverhead is an upper bound for what a DATA message adds to its user data, in octets: the header (8), the routing context
// (8), one more parameter of four octets that Append does not write (8), protocol data without user data (16) and padding (4).
const maxDataOverhead = 8 + 8 + 8 + 16 + 4

// parsePlainData decodes the common forms of DATA without an allocation: protocol data alone or after a routing context. For all
// other messages, including invalid ones, it returns false; Decode handles them.
func parsePlainData(raw []byte) (data ProtocolData, ok bool) {
	if len(raw) < headerSize+paramHeaderSize+minProtocolDataSize || raw[0] != protocolVersion || Kind(raw[2])<<8|Kind(raw[3]) != DATA ||
		binary.BigEndian.Uint32(raw[4:]) != uint32(len(raw)) {
		return data, false
	}
	raw = raw[headerSize:]
	if Tag(binary.BigEndian.Uint16(raw)) == TagRoutingContext && binary.BigEndian.Uint16(raw[2:]) == 8 {
		data.RoutingContext, data.HasContext = binary.BigEndian.Uint32(raw[4:]), true
		raw = raw[8:]
	}
	if len(raw) < paramHeaderSize+minProtocolDataSize || Tag(binary.BigEndian.Uint16(raw)) != TagProtocolData {
		return data, false
	}
	length := int(binary.BigEndian.Uint16(raw[2:]))
	if length < paramHeaderSize+minProtocolDataSize || length > len(raw) || (length+3)&^3 != len(raw) {
		return data, false
	}
	value := raw[paramHeaderSize:length:length]
	data.OPC, data.DPC = binary.BigEndian.Uint32(value), binary.BigEndian.Uint32(value[4:])
	data.SI, data.NI, data.MP, data.SLS, data.Data = value[8], value[9], value[10], value[11], value[12:]
	return data, true
}

// Append encodes a DATA message, appends it to dst and returns the extended slice. The octets are those of Message().Append(dst).
func (p *ProtocolData) Append(dst []byte) []byte {
	start := len(dst)
	dst = append(dst, protocolVersion, 0, byte(DATA>>8), byte(DATA&0xff), 0, 0, 0, 0)
	if p.HasContext {
		dst = append(dst, byte(TagRoutingContext>>8), byte(TagRoutingContext), 0, 8)
		dst = binary.BigEndian.AppendUint32(dst, p.RoutingContext)
	}
	dst = binary.BigEndian.AppendUint16(dst, uint16(TagProtocolData))
	dst = binary.BigEndian.AppendUint16(dst, uint16(paramHeaderSize+minProtocolDataSize+len(p.Data)))
	dst = binary.BigEndian.AppendUint32(dst, p.OPC)
	dst = binary.BigEndian.AppendUint32(dst, p.DPC)
	dst = append(append(dst, p.SI, p.NI, p.MP, p.SLS), p.Data...)
	for (len(dst)-start)&3 != 0 {
		dst = append(dst, 0)
	}
	binary.BigEndian.PutUint32(dst[start+4:], uint32(len(dst)-start))
	return dst
}

// ServiceISUP is the service indicator (ProtocolData.SI) of ISUP.
const ServiceISUP = 5

// Message returns a DATA message.
func (p *ProtocolData) Message() *Message {
	message := &Message{Kind: DATA}
	if p.HasContext {
		message.WithUint32(TagRoutingContext, p.RoutingContext)
	}
	value := make([]byte, 0, minProtocolDataSize+len(p.Data))
	value = binary.BigEndian.AppendUint32(value, p.OPC)
	value = binary.BigEndian.AppendUint32(value, p.DPC)
	value = append(value, p.SI, p.NI, p.MP, p.SLS)
	return message.With(TagProtocolData, append(value, p.Data...))
}

// ReadProtocolData returns the parameters of a decoded DATA message. An error is always a *Fault.
func ReadProtocolData(message *Message) (data ProtocolData, err error) {
	value, ok := message.Get(TagProtocolData)
	if !ok {
		return data, &Fault{ErrMissingParameter, "DATA without protocol data"}
	}
	if len(value) < minProtocolDataSize {
		return data, &Fault{ErrParameterField, fmt.Sprintf("protocol data of %d octets, at least 12 are required", len(value))}
	}
	data.RoutingContext, data.HasContext = message.Uint32(TagRoutingContext)
	data.OPC, data.DPC = binary.BigEndian.Uint32(value), binary.BigEndian.Uint32(value[4:])
	data.SI, data.NI, data.MP, data.SLS, data.Data = value[8], value[9], value[10], value[11], value[12:]
	return data, nil
}

// DefaultMaxMessage is the longest message that a Framer accepts if its Max is not set, in octets.
const DefaultMaxMessage = 4096

// ErrLength is returned by Framer.Next for an invalid length field. The rest of the stream cannot be split after it.
var ErrLength = errors.New("m3ua: length out of bounds")

// Framer splits a byte stream into messages by the length field of their common header. The zero Framer is ready for use.
type Framer struct {
	Max    int // longest message in octets; default DefaultMaxMessage
	buffer []byte
}

// Write adds bytes of the stream.
func (f *Framer) Write(input []byte) { f.buffer = append(f.buffer, input...) }

// Next returns the next complete message, or nil if more bytes are needed. The caller owns the slice. It returns ErrLength as soon
// as the length field of a header exceeds Max or is smaller than the header.
func (f *Framer) Next() ([]byte, error) {
	if len(f.buffer) < headerSize {
		return nil, nil
	}
	limit := f.Max
	if limit <= 0 {
		limit = DefaultMaxMessage
	}
	length := binary.BigEndian.Uint32(f.buffer[4:])
	if length < headerSize || uint64(length) > uint64(limit) {
		return nil, fmt.Errorf("%w: length field %d is outside 8 to %d", ErrLength, length, limit)
	}
	if len(f.buffer) < int(length) {
		return nil, nil
	}
	message := f.buffer[:length:length]
	if f.buffer = f.buffer[length:]; len(f.buffer) == 0 {
		f.buffer = nil
	}
	return message, nil
}

// Buffered returns the number of bytes that Next has not returned yet.
func (f *Framer) Buffered() int { return len(f.buffer) }
