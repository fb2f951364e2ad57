package isup

import "slices"

// Instruction is the required reaction to an unrecognized message or parameter (Q.764 2.9.5). The zero value asks for nothing.
type Instruction struct {
	Release bool  // release the call with Cause
	Discard bool  // discard the whole message
	Notify  bool  // answer with CFN
	Cause   Cause // of the REL or CFN
}

// Bits of the first octet of the instruction indicators (Q.763 3.33 and 3.41).
const (
	compatEndNode          = 1 << 0 // the indicators also apply at a transit exchange
	compatRelease          = 1 << 1 // release the call
	compatNotify           = 1 << 2 // send CFN
	compatDiscardMessage   = 1 << 3 // in message and in parameter compatibility information
	compatDiscardParameter = 1 << 4 // in parameter compatibility information only
)

// knownParameters are the recognized parameters, to which no compatibility rules apply.
var knownParameters = []ParamCode{ParamTransmissionMediumRequirement, ParamCalledNumber, ParamNatureOfConnectionIndicators,
	ParamForwardCallIndicators, ParamCallingPartyCategory, ParamCallingNumber, ParamBackwardCallIndicators, ParamCause,
	ParamGroupSupervisionType, ParamRangeAndStatus, ParamEventInformation, ParamCircuitMap, ParamCongestionLevel,
	ParamPropagationDelay, ParamMessageCompatibility, ParamParameterCompatibility, ParamHopCounter}

// messageCompatibility returns the first octet of the message compatibility information of an unknown message. Such a message has
// optional parameters only (Q.763). It returns false if the information is missing.
func messageCompatibility(body []byte) (byte, bool) {
	optionalPart := &Message{}
	if len(body) == 0 || body[0] == 0 || optionalPart.decodeOptional(body, int(body[0])) != nil {
		return 0, false
	}
	value, ok := optionalPart.Get(ParamMessageCompatibility)
	if !ok || len(value) == 0 {
		return 0, false
	}
	return value[0], true
}

// ApplyCompatibility applies the compatibility rules (Q.764 2.9.5.2, 2.9.5.3) to a decoded message. transit states that the call
// continues to another exchange. Parameters that must not be passed on are removed from the message. Without compatibility
// information an unknown message is discarded and answered with CFN, and an unknown parameter is passed on.
func ApplyCompatibility(message *Message, transit bool) Instruction {
	if !Known(message.Type) {
		indicators, ok := messageCompatibility(message.Body)
		if !ok {
			return Instruction{Discard: true, Notify: true, Cause: CauseUnknownMessage}
		}
		if transit && indicators&compatEndNode == 0 {
			return Instruction{}
		}
		return Instruction{Release: indicators&compatRelease != 0, Discard: true, Notify: indicators&compatNotify != 0,
			Cause: CauseUnknownMessage}
	}
	compatibility, _ := message.Get(ParamParameterCompatibility)
	if len(compatibility) == 0 {
		return Instruction{}
	}
	var result Instruction
	message.Params = slices.DeleteFunc(message.Params, func(p Param) bool {
		indicators, ok := parameterCompatibility(compatibility, p.Code)
		if slices.Contains(knownParameters, p.Code) || !ok || transit && indicators&compatEndNode == 0 {
			return false
		}
		result.Release = result.Release || indicators&compatRelease != 0
		if indicators&compatDiscardMessage != 0 {
			result.Discard, result.Cause = true, CauseParameterDiscarded
		} else if result.Cause == 0 {
			result.Cause = CauseUnknownParameter
		}
		result.Notify = result.Notify || indicators&compatNotify != 0
		return indicators&(compatDiscardParameter|compatDiscardMessage) != 0
	})
	return result
}

// parameterCompatibility returns the first instruction octet for a parameter; false if there is none. The instruction octets of a
// parameter end with the one whose top bit is set.
func parameterCompatibility(compatibility []byte, code ParamCode) (byte, bool) {
	for i := 0; i+1 < len(compatibility); {
		first := i + 1
		for i = first; i < len(compatibility) && compatibility[i]&0x80 == 0; i++ {
		}
		i++
		if compatibility[first-1] == byte(code) {
			return compatibility[first], true
		}
	}
	return 0, false
}
