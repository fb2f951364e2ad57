package isup

import (
	"fmt"
	"math"
	"math/bits"
	"time"
)

// Number is a called or calling party number (Q.763 3.9, 3.10).
type Number struct {
	Digits string // 0-9, and the codes B, C, D, E, F of Q.763 (F is ST, end of pulsing)
	Nature byte   // nature of address: 3 national, 4 international
	Plan   byte   // numbering plan: 1 ISDN (E.164)
}

// MaxDigits is the longest number taken: E.164 has 15 digits, a routing number may add as many.
const MaxDigits = 30

const digitCodes = "0123456789ABCDEF"

// Append writes the number in the format of Q.763 3.9.
func (n Number) append(dst []byte) ([]byte, error) {
	if len(n.Digits) > MaxDigits {
		return dst, fmt.Errorf("number of %d digits, more than %d", len(n.Digits), MaxDigits)
	}
	odd := byte(len(n.Digits)&1) << 7
	dst = append(dst, odd|n.Nature&0x7f, n.Plan&7<<4)
	for i := 0; i < len(n.Digits); i++ {
		d := digitCode(n.Digits[i])
		if d > 15 {
			return dst, fmt.Errorf("number %q: %q is no digit", n.Digits, n.Digits[i])
		}
		if i&1 == 0 {
			dst = append(dst, d)
		} else {
			dst[len(dst)-1] |= d << 4
		}
	}
	return dst, nil
}

func digitCode(c byte) byte {
	switch {
	case c >= '0' && c <= '9':
		return c - '0'
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10
	}
	return 0xff
}

func decodeNumber(v []byte) (Number, error) {
	if len(v) < 2 {
		return Number{}, fmt.Errorf("%w: number of %d octets", ErrTruncated, len(v))
	}
	count := 2 * (len(v) - 2)
	if v[0]&0x80 != 0 {
		count--
	}
	if count < 0 || count > MaxDigits {
		return Number{}, fmt.Errorf("number of %d digits", count)
	}
	digits := make([]byte, count)
	for i := range digits {
		d := v[2+i/2]
		if i&1 == 1 {
			d >>= 4
		}
		digits[i] = digitCodes[d&15]
	}
	return Number{Digits: string(digits), Nature: v[0] & 0x7f, Plan: v[1] >> 4 & 7}, nil
}

// CalledNumber reads the called party number of an IAM; a closing ST is left out.
func (m *Message) CalledNumber() (Number, error) {
	v, _ := m.Get(ParamCalledNumber)
	n, err := decodeNumber(v)
	if err != nil {
		return n, fmt.Errorf("isup: called party number: %w", err)
	}
	if l := len(n.Digits); l > 0 && n.Digits[l-1] == 'F' {
		n.Digits = n.Digits[:l-1]
	}
	return n, nil
}

// ReleaseInfo is what the cause indicators and the automatic congestion level of a REL tell.
type ReleaseInfo struct {
	Cause      Cause
	Location   Location
	Congestion byte // automatic congestion level (Q.763 3.4): 0 absent, 1 or 2
}

// Release reads a REL or CFN. An absent or cut cause reads as normal, unspecified.
func (m *Message) Release() ReleaseInfo {
	info := ReleaseInfo{Cause: CauseNormalUnspecified}
	if v, _ := m.Get(ParamCause); len(v) >= 2 {
		i := 1
		if v[0]&0x80 == 0 { // octet 1a: recommendation
			i = 2
		}
		if i < len(v) {
			info.Cause, info.Location = Cause(v[i]&0x7f), Location(v[0]&0x0f)
		}
	}
	if v, _ := m.Get(ParamCongestionLevel); len(v) >= 1 {
		info.Congestion = v[0]
	}
	return info
}

// NewRelease makes a REL.
func NewRelease(cic uint16, info ReleaseInfo) *Message {
	m := &Message{CIC: cic, Type: REL}
	m.Set(ParamCause, 0x80|byte(info.Location)&0x0f, 0x80|byte(info.Cause))
	if info.Congestion > 0 {
		m.Set(ParamCongestionLevel, info.Congestion)
	}
	return m
}

// Setup is what the router needs of an IAM.
type Setup struct {
	Called   Number
	Category byte          // calling party's category (Q.763 3.11)
	Width    int           // circuits of 64 kbit/s, from the transmission medium requirement
	Map      uint32        // circuit assignment map: bit 0 is time slot 1; 0: contiguous from the CIC
	Elapsed  time.Duration // propagation delay counter, milliseconds on the wire
	Hops     int           // hop counter left; -1 absent
}

// Circuits are the codes that an IAM on a circuit names: by its circuit assignment map, or one after the other.
func (s Setup) Circuits(cic uint16) []uint16 {
	out := []uint16{cic}
	if s.Map == 0 {
		for i := 1; i < s.Width; i++ {
			out = append(out, cic+uint16(i))
		}
		return out
	}
	out = out[:0]
	for x := s.Map; x != 0; x &= x - 1 {
		out = append(out, cic/32*32+uint16(bits.TrailingZeros32(x))+1)
	}
	return out
}

// CircuitMap is the circuit assignment map for circuits of one 2,048 kbit/s system; 0 for a single one.
func CircuitMap(cics []uint16) (m uint32) {
	if len(cics) > 1 {
		for _, c := range cics {
			m |= 1 << (c%32 - 1)
		}
	}
	return m
}

// NewSetup makes an IAM. Width goes into the transmission medium requirement, Elapsed, Map and Hops into
// optional parameters.
func NewSetup(cic uint16, s Setup) (*Message, error) {
	m := &Message{CIC: cic, Type: IAM}
	tmr, err := mediumOf(s.Width)
	if err != nil {
		return nil, err
	}
	number, err := s.Called.append(nil)
	if err != nil {
		return nil, fmt.Errorf("isup: called party number: %w", err)
	}
	m.Params = append(make([]Param, 0, 8), Param{ParamNatureOfConnection, []byte{0}},
		Param{ParamForwardCall, []byte{0x20, 0x01}}, Param{ParamCallingCategory, []byte{s.Category}},
		Param{ParamTransmissionMedium, []byte{tmr}}, Param{ParamCalledNumber, number})
	m.SetSetup(s)
	return m, nil
}

// SetCalled replaces the called party number of an IAM that is passed on.
func (m *Message) SetCalled(n Number) error {
	v, err := n.append(nil)
	if err != nil {
		return fmt.Errorf("isup: called party number: %w", err)
	}
	m.Set(ParamCalledNumber, v...)
	return nil
}

// SetSetup writes the optional parts of s into an IAM that is passed on: the others stay as they came.
func (m *Message) SetSetup(s Setup) {
	if s.Map != 0 {
		m.Set(ParamCircuitMap, 2, byte(s.Map), byte(s.Map>>8), byte(s.Map>>16), byte(s.Map>>24)&0x7f)
	}
	if s.Elapsed > 0 {
		ms := uint16(min(s.Elapsed.Milliseconds(), math.MaxUint16))
		m.Set(ParamPropagationDelay, byte(ms>>8), byte(ms))
	}
	if s.Hops >= 0 {
		m.Set(ParamHopCounter, byte(s.Hops)&0x1f)
	}
}

// Setup reads an IAM.
func (m *Message) Setup() (s Setup, err error) {
	if s.Called, err = m.CalledNumber(); err != nil {
		return s, err
	}
	if v, _ := m.Get(ParamCallingCategory); len(v) == 1 {
		s.Category = v[0]
	}
	if v, _ := m.Get(ParamTransmissionMedium); len(v) == 1 {
		if s.Width = widthOf(v[0]); s.Width == 0 {
			return s, fmt.Errorf("isup: transmission medium requirement 0x%02x is unknown", v[0])
		}
	}
	s.Hops = -1
	if v, ok := m.Get(ParamHopCounter); ok && len(v) >= 1 {
		s.Hops = int(v[0] & 0x1f)
	}
	if v, ok := m.Get(ParamPropagationDelay); ok && len(v) >= 2 {
		s.Elapsed = time.Duration(uint16(v[0])<<8|uint16(v[1])) * time.Millisecond
	}
	if v, ok := m.Get(ParamCircuitMap); ok {
		if len(v) < 5 || v[0]&0x3f != 2 {
			return s, fmt.Errorf("isup: circuit assignment map of type %x: only the 2,048 kbit/s map is known", v)
		}
		s.Map = uint32(v[1]) | uint32(v[2])<<8 | uint32(v[3])<<16 | uint32(v[4]&0x7f)<<24
	}
	return s, nil
}

// mediumOf is the transmission medium requirement for a width (Q.763 3.54).
func mediumOf(width int) (byte, error) {
	switch {
	case width == 1:
		return 3, nil // 3.1 kHz audio
	case width == 2:
		return 7, nil
	case width >= 3 && width <= 5:
		return byte(16 + width - 3), nil
	case width == 6:
		return 8, nil
	case width == 24:
		return 9, nil
	case width == 30:
		return 10, nil
	case width >= 7 && width <= 29:
		return byte(20 + width - 7), nil
	}
	return 0, fmt.Errorf("isup: no transmission medium for %d circuits", width)
}

// widthOf is the number of circuits for a transmission medium requirement; 0: unknown.
func widthOf(tmr byte) int {
	switch {
	case tmr == 0 || tmr >= 2 && tmr <= 6:
		return 1
	case tmr == 7:
		return 2
	case tmr == 8:
		return 6
	case tmr == 9:
		return 24
	case tmr == 10:
		return 30
	case tmr >= 16 && tmr <= 18:
		return int(tmr) - 16 + 3
	case tmr >= 20 && tmr <= 42 && tmr != 37:
		return int(tmr) - 20 + 7
	}
	return 0
}

// Range is the range and status parameter (Q.763 3.43): circuits CIC to CIC+Range, and a bit for each.
type Range struct {
	Range  int // circuits beyond the first
	Status []byte
}

// Bit tells the status of circuit CIC+i.
func (r Range) Bit(i int) bool { return i/8 < len(r.Status) && r.Status[i/8]>>(i%8)&1 == 1 }

// SetBit marks circuit CIC+i.
func (r *Range) SetBit(i int) {
	for i/8 >= len(r.Status) {
		r.Status = append(r.Status, 0)
	}
	r.Status[i/8] |= 1 << (i % 8)
}

// RangeStatus reads the range of a group message. GRS carries no status.
func (m *Message) RangeStatus() (Range, error) {
	v, _ := m.Get(ParamRangeStatus)
	if len(v) < 1 {
		return Range{}, fmt.Errorf("isup: %v: %w: no range", m.Type, ErrTruncated)
	}
	r := Range{Range: int(v[0]), Status: v[1:]}
	if m.Type != GRS && len(r.Status)*8 < r.Range+1 {
		return r, fmt.Errorf("isup: %v: range %d with %d octets of status", m.Type, r.Range, len(r.Status))
	}
	if (m.Type == GRS || m.Type == GRA) && (r.Range < 1 || r.Range > 31) {
		return r, fmt.Errorf("isup: %v: range %d, 1 to 31 are allowed", m.Type, r.Range)
	}
	return r, nil
}

// NewGroup makes a group message on circuits cic to cic+r.Range; kind counts in blocking messages only.
func NewGroup(t Type, cic uint16, kind GroupType, r Range) *Message {
	m := &Message{CIC: cic, Type: t}
	if t == GRS {
		m.Set(ParamRangeStatus, byte(r.Range))
		return m
	}
	status := make([]byte, r.Range/8+1)
	copy(status, r.Status)
	if t != GRA {
		m.Set(ParamGroupSupervision, byte(kind))
	}
	m.Set(ParamRangeStatus, append([]byte{byte(r.Range)}, status...)...)
	return m
}

// GroupKind reads whether a group is blocked for maintenance or on a hardware failure.
func (m *Message) GroupKind() GroupType {
	if v, _ := m.Get(ParamGroupSupervision); len(v) == 1 {
		return GroupType(v[0] & 3)
	}
	return Maintenance
}

// Simple makes a message whose mandatory parts need no choice: ACM and CPG with neutral indicators, ANM, RLC
// and the messages that have no parameters.
func Simple(t Type, cic uint16) *Message {
	m := &Message{CIC: cic, Type: t}
	switch t {
	case ACM, CON:
		m.Set(ParamBackwardCall, 0x16, 0x04) // charge, subscriber free, ordinary; ISUP all the way
	case CPG:
		m.Set(ParamEvent, 2) // progress
	}
	return m
}
