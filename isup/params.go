package isup

import (
	"fmt"
	"math"
	"math/bits"
	"time"
)

// Number is a called or calling party number (Q.763 3.9, 3.10).
type Number struct {
	Digits string // 0 to 9, and A to F for the codes 10 to 15 of Q.763; F is ST (end of pulsing)
	Nature byte   // nature of address: 3 national, 4 international
	Plan   byte   // numbering plan: 1 ISDN (E.164)
}

// Values of Number for a national number of E.164.
const (
	NatureNational = 3
	PlanISDN       = 1
)

// MaxDigits is the highest number of digits that is accepted. E.164 allows 15, but routing numbers may be longer.
const MaxDigits = 30

const slotsPerSystem = 32 // time slots of a 2,048 kbit/s system

// digitCodes holds the digits by their codes in Q.763 3.9.
const digitCodes = "0123456789ABCDEF"

// append encodes the number in the format of Q.763 3.9 and appends it to dst.
func (n Number) append(dst []byte) ([]byte, error) {
	if len(n.Digits) > MaxDigits {
		return dst, fmt.Errorf("number of %d digits, more than %d", len(n.Digits), MaxDigits)
	}
	odd := byte(len(n.Digits)&1) << 7
	dst = append(dst, odd|n.Nature&0x7f, n.Plan&7<<4)
	for i := 0; i < len(n.Digits); i++ {
		code := digitCode(n.Digits[i])
		if code > 15 {
			return dst, fmt.Errorf("number %q: %q is not a digit", n.Digits, n.Digits[i])
		}
		if i&1 == 0 {
			dst = append(dst, code)
		} else {
			dst[len(dst)-1] |= code << 4
		}
	}
	return dst, nil
}

// digitCode returns the code of a digit (Q.763 3.9), or 0xff if it is not one.
func digitCode(digit byte) byte {
	switch {
	case digit >= '0' && digit <= '9':
		return digit - '0'
	case digit >= 'A' && digit <= 'F':
		return digit - 'A' + 10
	}
	return 0xff
}

// decodeNumber decodes a number in the format of Q.763 3.9.
func decodeNumber(value []byte) (Number, error) {
	if len(value) < 2 {
		return Number{}, fmt.Errorf("%w: number of %d octets", ErrTruncated, len(value))
	}
	count := 2 * (len(value) - 2)
	if value[0]&0x80 != 0 {
		count--
	}
	if count < 0 || count > MaxDigits {
		return Number{}, fmt.Errorf("number of %d digits, 0 to 30 are accepted", count)
	}
	digits := make([]byte, count)
	for i := range digits {
		code := value[2+i/2]
		if i&1 == 1 {
			code >>= 4
		}
		digits[i] = digitCodes[code&15]
	}
	return Number{Digits: string(digits), Nature: value[0] & 0x7f, Plan: value[1] >> 4 & 7}, nil
}

// CalledNumber returns the called party number of an IAM, without a closing ST. It fails if the number is missing or invalid.
func (m *Message) CalledNumber() (Number, error) {
	value, _ := m.Get(ParamCalledNumber)
	number, err := decodeNumber(value)
	if err != nil {
		return number, fmt.Errorf("isup: called party number: %w", err)
	}
	if length := len(number.Digits); length > 0 && number.Digits[length-1] == 'F' {
		number.Digits = number.Digits[:length-1]
	}
	return number, nil
}

// ReleaseInfo holds the cause indicators and the automatic congestion level of a REL.
type ReleaseInfo struct {
	Cause      Cause
	Location   Location
	Congestion byte // automatic congestion level (Q.763 3.4): 1 or 2; 0: absent
}

// Release returns the contents of a REL or CFN. If the cause is missing or truncated, it is CauseNormalUnspecified.
func (m *Message) Release() ReleaseInfo {
	info := ReleaseInfo{Cause: CauseNormalUnspecified}
	if value, _ := m.Get(ParamCause); len(value) >= 2 {
		i := 1
		if value[0]&0x80 == 0 { // octet 1a: recommendation
			i = 2
		}
		if i < len(value) {
			info.Cause, info.Location = Cause(value[i]&0x7f), Location(value[0]&0x0f)
		}
	}
	if value, _ := m.Get(ParamCongestionLevel); len(value) >= 1 {
		info.Congestion = value[0]
	}
	return info
}

// NewRelease returns a REL.
func NewRelease(cic uint16, info ReleaseInfo) *Message {
	message := &Message{CIC: cic, Type: REL}
	message.Set(ParamCause, 0x80|byte(info.Location)&0x0f, 0x80|byte(info.Cause))
	if info.Congestion > 0 {
		message.Set(ParamCongestionLevel, info.Congestion)
	}
	return message
}

// Setup holds the parameters of an IAM that routing needs.
type Setup struct {
	Called           Number        // called party number
	Category         byte          // calling party's category (Q.763 3.11)
	Width            int           // circuits of 64 kbit/s, from the transmission medium requirement (Q.763 3.54)
	CircuitMap       uint32        // circuit assignment map: bit 0 is time slot 1; 0: consecutive circuits from the CIC
	PropagationDelay time.Duration // propagation delay counter, in milliseconds on the wire
	HopCounter       int           // hop counter: hops that are left; -1: absent
}

// Circuits returns the circuit identification codes of a call whose IAM is sent on a circuit: those of the circuit assignment map,
// or consecutive ones.
func (s Setup) Circuits(cic uint16) []uint16 {
	cics := []uint16{cic}
	if s.CircuitMap == 0 {
		for i := 1; i < s.Width; i++ {
			cics = append(cics, cic+uint16(i))
		}
		return cics
	}
	cics = cics[:0]
	for slots := s.CircuitMap; slots != 0; slots &= slots - 1 {
		cics = append(cics, cic/slotsPerSystem*slotsPerSystem+uint16(bits.TrailingZeros32(slots))+1)
	}
	return cics
}

// CircuitMap returns the circuit assignment map of circuits of one 2,048 kbit/s system: bit 0 is time slot 1. It is 0 for a single
// circuit.
func CircuitMap(cics []uint16) (bitmap uint32) {
	if len(cics) > 1 {
		for _, cic := range cics {
			bitmap |= 1 << (cic%slotsPerSystem - 1)
		}
	}
	return bitmap
}

// Values of the fixed parameters of an IAM from NewSetup.
const (
	noSatelliteNoEchoControl = 0x00 // nature of connection indicators, also: no continuity check
	forwardISUPAllTheWay     = 0x20 // forward call indicators, first octet: ISUP is used all the way
	forwardISDNAccess        = 0x01 // forward call indicators, second octet: the originating access is ISDN
)

// NewSetup returns an IAM with the parameters of setup. Width is encoded as the transmission medium requirement; PropagationDelay, CircuitMap and
// HopCounter as optional parameters. It fails if the called number is invalid or if no transmission medium requirement exists
// for the width.
func NewSetup(cic uint16, setup Setup) (*Message, error) {
	message := &Message{CIC: cic, Type: IAM}
	medium, err := mediumForWidth(setup.Width)
	if err != nil {
		return nil, err
	}
	number, err := setup.Called.append(nil)
	if err != nil {
		return nil, fmt.Errorf("isup: called party number: %w", err)
	}
	message.Params = append(make([]Param, 0, 8), Param{ParamNatureOfConnectionIndicators, []byte{noSatelliteNoEchoControl}},
		Param{ParamForwardCallIndicators, []byte{forwardISUPAllTheWay, forwardISDNAccess}}, Param{ParamCallingPartyCategory, []byte{setup.Category}},
		Param{ParamTransmissionMediumRequirement, []byte{medium}}, Param{ParamCalledNumber, number})
	message.SetOptional(setup)
	return message, nil
}

// SetCalled replaces the called party number of an IAM that is passed on. It fails if the number is invalid.
func (m *Message) SetCalled(number Number) error {
	value, err := number.append(nil)
	if err != nil {
		return fmt.Errorf("isup: called party number: %w", err)
	}
	m.Set(ParamCalledNumber, value...)
	return nil
}

// circuitMap2048 is the map type of a circuit assignment map of a 2,048 kbit/s system.
const circuitMap2048 = 2

// SetOptional sets the optional parameters of an IAM that is passed on (CircuitMap, PropagationDelay and HopCounter, if
// present). The other parameters stay unchanged.
func (m *Message) SetOptional(setup Setup) {
	if setup.CircuitMap != 0 {
		m.Set(ParamCircuitMap, circuitMap2048, byte(setup.CircuitMap), byte(setup.CircuitMap>>8), byte(setup.CircuitMap>>16), byte(setup.CircuitMap>>24)&0x7f)
	}
	if setup.PropagationDelay > 0 {
		milliseconds := uint16(min(setup.PropagationDelay.Milliseconds(), math.MaxUint16))
		m.Set(ParamPropagationDelay, byte(milliseconds>>8), byte(milliseconds))
	}
	if setup.HopCounter >= 0 {
		m.Set(ParamHopCounter, byte(setup.HopCounter)&0x1f)
	}
}

// Setup returns the parameters of an IAM. It fails if the called number is invalid, or if the transmission medium requirement or
// the type of the circuit assignment map is not supported.
func (m *Message) Setup() (setup Setup, err error) {
	if setup.Called, err = m.CalledNumber(); err != nil {
		return setup, err
	}
	if value, _ := m.Get(ParamCallingPartyCategory); len(value) == 1 {
		setup.Category = value[0]
	}
	if value, _ := m.Get(ParamTransmissionMediumRequirement); len(value) == 1 {
		if setup.Width = widthForMedium(value[0]); setup.Width == 0 {
			return setup, fmt.Errorf("isup: transmission medium requirement 0x%02x is not supported", value[0])
		}
	}
	setup.HopCounter = -1
	if value, ok := m.Get(ParamHopCounter); ok && len(value) >= 1 {
		setup.HopCounter = int(value[0] & 0x1f)
	}
	if value, ok := m.Get(ParamPropagationDelay); ok && len(value) >= 2 {
		setup.PropagationDelay = time.Duration(uint16(value[0])<<8|uint16(value[1])) * time.Millisecond
	}
	if value, ok := m.Get(ParamCircuitMap); ok {
		if len(value) < 5 || value[0]&0x3f != circuitMap2048 {
			return setup, fmt.Errorf("isup: circuit assignment map %x: only the 2,048 kbit/s map is supported", value)
		}
		setup.CircuitMap = uint32(value[1]) | uint32(value[2])<<8 | uint32(value[3])<<16 | uint32(value[4]&0x7f)<<24
	}
	return setup, nil
}

// mediumForWidth returns the transmission medium requirement for a number of 64 kbit/s circuits (Q.763 3.54).
func mediumForWidth(width int) (byte, error) {
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
	return 0, fmt.Errorf("isup: no transmission medium requirement for %d circuits", width)
}

// widthForMedium returns the number of 64 kbit/s circuits for a transmission medium requirement; 0 if it is not supported.
func widthForMedium(medium byte) int {
	switch {
	case medium == 0 || medium >= 2 && medium <= 6:
		return 1
	case medium == 7:
		return 2
	case medium == 8:
		return 6
	case medium == 9:
		return 24
	case medium == 10:
		return 30
	case medium >= 16 && medium <= 18:
		return int(medium) - 16 + 3
	case medium >= 20 && medium <= 42 && medium != 37: // 37 would be 24 circuits, which have the code 9
		return int(medium) - 20 + 7
	}
	return 0
}

// Range is the range and status parameter (Q.763 3.43): the circuits CIC to CIC+Range, with a status bit for each.
type Range struct {
	Range  int    // number of circuits after the first one
	Status []byte // status bits: circuit CIC+i is bit i%8 of octet i/8
}

// Bit returns the status bit of circuit CIC+offset. Bits beyond Status are false.
func (r Range) Bit(offset int) bool {
	return offset/8 < len(r.Status) && r.Status[offset/8]>>(offset%8)&1 == 1
}

// SetBit sets the status bit of circuit CIC+offset.
func (r *Range) SetBit(offset int) {
	for offset/8 >= len(r.Status) {
		r.Status = append(r.Status, 0)
	}
	r.Status[offset/8] |= 1 << (offset % 8)
}

// RangeStatus returns the range and status of a group message; GRS carries no status. It fails if the parameter is missing or has
// too few status octets, or if the range of a GRS or GRA is not 1 to 31.
func (m *Message) RangeStatus() (Range, error) {
	value, _ := m.Get(ParamRangeAndStatus)
	if len(value) < 1 {
		return Range{}, fmt.Errorf("isup: %v: %w: range is missing", m.Type, ErrTruncated)
	}
	rangeStatus := Range{Range: int(value[0]), Status: value[1:]}
	if m.Type != GRS && len(rangeStatus.Status)*8 < rangeStatus.Range+1 {
		return rangeStatus, fmt.Errorf("isup: %v: range %d with %d octets of status", m.Type, rangeStatus.Range, len(rangeStatus.Status))
	}
	if (m.Type == GRS || m.Type == GRA) && (rangeStatus.Range < 1 || rangeStatus.Range > 31) {
		return rangeStatus, fmt.Errorf("isup: %v: range %d is outside 1 to 31", m.Type, rangeStatus.Range)
	}
	return rangeStatus, nil
}

// NewGroup returns a group message for the circuits cic to cic+rangeStatus.Range. kind is used in blocking messages only.
func NewGroup(messageType Type, cic uint16, blockingType BlockingType, rangeStatus Range) *Message {
	message := &Message{CIC: cic, Type: messageType}
	if messageType == GRS {
		message.Set(ParamRangeAndStatus, byte(rangeStatus.Range))
		return message
	}
	status := make([]byte, rangeStatus.Range/8+1)
	copy(status, rangeStatus.Status)
	if messageType != GRA {
		message.Set(ParamGroupSupervisionType, byte(blockingType))
	}
	message.Set(ParamRangeAndStatus, append([]byte{byte(rangeStatus.Range)}, status...)...)
	return message
}

// GroupKind returns whether a blocking message is for maintenance or for a hardware failure; Maintenance if it does not say.
func (m *Message) GroupKind() BlockingType {
	if v, _ := m.Get(ParamGroupSupervisionType); len(v) == 1 {
		return BlockingType(v[0] & 3)
	}
	return Maintenance
}

// NewSimple returns a message whose mandatory parameters need no input: ACM, CON and CPG with default indicators, ANM, RLC,
// and the messages without parameters.
func NewSimple(messageType Type, cic uint16) *Message {
	message := &Message{CIC: cic, Type: messageType}
	switch messageType {
	case ACM, CON:
		message.Set(ParamBackwardCallIndicators, 0x16, 0x04) // charge, subscriber free, ordinary subscriber; ISUP used all the way
	case CPG:
		message.Set(ParamEventInformation, 2) // progress
	}
	return message
}
