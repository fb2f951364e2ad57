package isup

import "fmt"

// Type is the code of an ISUP message type (Q.763 table 4).
type Type byte

// Message types with a known layout. Messages of other types are decoded into Message.Body.
const (
	IAM  Type = 0x01 // initial address
	ACM  Type = 0x06 // address complete
	CON  Type = 0x07 // connect
	ANM  Type = 0x09 // answer
	REL  Type = 0x0c // release
	RLC  Type = 0x10 // release complete
	RSC  Type = 0x12 // reset circuit
	BLO  Type = 0x13 // blocking
	UBL  Type = 0x14 // unblocking
	BLA  Type = 0x15 // blocking acknowledgement
	UBA  Type = 0x16 // unblocking acknowledgement
	GRS  Type = 0x17 // circuit group reset
	CGB  Type = 0x18 // circuit group blocking
	CGU  Type = 0x19 // circuit group unblocking
	CGBA Type = 0x1a // circuit group blocking acknowledgement
	CGUA Type = 0x1b // circuit group unblocking acknowledgement
	GRA  Type = 0x29 // circuit group reset acknowledgement
	CPG  Type = 0x2c // call progress
	UCIC Type = 0x2e // unequipped circuit identification code
	CFN  Type = 0x2f // confusion
)

// typeNames holds the acronyms of the known message types.
var typeNames = map[Type]string{IAM: "IAM", ACM: "ACM", CON: "CON", ANM: "ANM", REL: "REL", RLC: "RLC",
	RSC: "RSC", BLO: "BLO", UBL: "UBL", BLA: "BLA", UBA: "UBA", GRS: "GRS", CGB: "CGB", CGU: "CGU",
	CGBA: "CGBA", CGUA: "CGUA", GRA: "GRA", CPG: "CPG", UCIC: "UCIC", CFN: "CFN"}

// String returns the acronym of Q.762, or the code of an unknown type.
func (t Type) String() string {
	if n, ok := typeNames[t]; ok {
		return n
	}
	return fmt.Sprintf("type 0x%02x", byte(t))
}

// ParamCode is the code of a parameter name (Q.763 table 5).
type ParamCode byte

// Parameters that this package reads or writes. Others are kept unchanged.
const (
	ParamEndOfOptional                 ParamCode = 0x00
	ParamTransmissionMediumRequirement ParamCode = 0x02
	ParamCalledNumber                  ParamCode = 0x04
	ParamNatureOfConnectionIndicators  ParamCode = 0x06
	ParamForwardCallIndicators         ParamCode = 0x07
	ParamCallingPartyCategory          ParamCode = 0x09
	ParamCallingNumber                 ParamCode = 0x0a
	ParamBackwardCallIndicators        ParamCode = 0x11
	ParamCause                         ParamCode = 0x12
	ParamGroupSupervisionType          ParamCode = 0x15
	ParamRangeAndStatus                ParamCode = 0x16
	ParamEventInformation              ParamCode = 0x24
	ParamCircuitMap                    ParamCode = 0x25
	ParamCongestionLevel               ParamCode = 0x27
	ParamPropagationDelay              ParamCode = 0x31
	ParamMessageCompatibility          ParamCode = 0x38
	ParamParameterCompatibility        ParamCode = 0x39
	ParamHopCounter                    ParamCode = 0x3d
)

// Cause is a cause value (Q.850).
type Cause byte

// Causes that are sent or handled by name.
const (
	CauseUnallocated         Cause = 1 // unallocated number
	CauseNormalClearing      Cause = 16
	CauseUserBusy            Cause = 17
	CauseNoUserAnswer        Cause = 19 // no answer from user (user alerted)
	CauseRejected            Cause = 21 // call rejected
	CauseInvalidNumber       Cause = 28 // invalid number format (address incomplete)
	CauseNormalUnspecified   Cause = 31 // normal, unspecified
	CauseNoCircuit           Cause = 34 // no circuit/channel available
	CauseNetworkOutOfOrder   Cause = 38
	CauseTemporaryFailure    Cause = 41
	CauseCongestion          Cause = 42  // switching equipment congestion
	CauseResourceUnavailable Cause = 47  // resource unavailable, unspecified
	CauseNotImplemented      Cause = 79  // service or option not implemented, unspecified
	CauseUnknownMessage      Cause = 97  // message type non-existent or not implemented
	CauseUnknownParameter    Cause = 99  // parameter non-existent or not implemented
	CauseTimerExpiry         Cause = 102 // recovery on timer expiry
	CauseParameterDiscarded  Cause = 110 // message with unrecognized parameter, discarded
	CauseProtocolError       Cause = 111 // protocol error, unspecified
)

// Location is the place in the network where a cause arose (Q.850 table 2).
type Location byte

// Locations of causes.
const (
	LocationUser         Location = 0
	LocationLocalNetwork Location = 2  // public network serving the local user
	LocationTransit      Location = 3  // transit network
	LocationRemote       Location = 4  // public network serving the remote user
	LocationBeyond       Location = 10 // network beyond interworking point
)

// BlockingType is the kind of circuit group blocking: the circuit group supervision message type indicator (Q.763 3.13).
type BlockingType byte

// Kinds of circuit group blocking.
const (
	Maintenance BlockingType = 0 // established calls continue, new ones are not accepted
	Hardware    BlockingType = 1 // calls are released
)

// messageLayout describes the parameters of a message type.
type messageLayout struct {
	fixed       []fixedParam // mandatory parameters of fixed length
	variable    []ParamCode  // mandatory parameters of variable length
	hasOptional bool         // the message may carry optional parameters
}

// fixedParam is a mandatory parameter of fixed length.
type fixedParam struct {
	code ParamCode
	size int // octets
}

// messageLayouts holds the layouts of the known message types (Q.763).
var messageLayouts = map[Type]messageLayout{
	IAM: {fixed: []fixedParam{{ParamNatureOfConnectionIndicators, 1}, {ParamForwardCallIndicators, 2},
		{ParamCallingPartyCategory, 1}, {ParamTransmissionMediumRequirement, 1}},
		variable: []ParamCode{ParamCalledNumber}, hasOptional: true},
	ACM: {fixed: []fixedParam{{ParamBackwardCallIndicators, 2}}, hasOptional: true},
	CON: {fixed: []fixedParam{{ParamBackwardCallIndicators, 2}}, hasOptional: true},
	ANM: {hasOptional: true}, RLC: {hasOptional: true},
	CPG: {fixed: []fixedParam{{ParamEventInformation, 1}}, hasOptional: true},
	REL: {variable: []ParamCode{ParamCause}, hasOptional: true},
	CFN: {variable: []ParamCode{ParamCause}, hasOptional: true},
	RSC: {}, BLO: {}, UBL: {}, BLA: {}, UBA: {}, UCIC: {},
	GRS: {variable: []ParamCode{ParamRangeAndStatus}}, GRA: {variable: []ParamCode{ParamRangeAndStatus}},
	CGB:  {fixed: []fixedParam{{ParamGroupSupervisionType, 1}}, variable: []ParamCode{ParamRangeAndStatus}},
	CGU:  {fixed: []fixedParam{{ParamGroupSupervisionType, 1}}, variable: []ParamCode{ParamRangeAndStatus}},
	CGBA: {fixed: []fixedParam{{ParamGroupSupervisionType, 1}}, variable: []ParamCode{ParamRangeAndStatus}},
	CGUA: {fixed: []fixedParam{{ParamGroupSupervisionType, 1}}, variable: []ParamCode{ParamRangeAndStatus}},
}
