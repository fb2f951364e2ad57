package isup

import "slices"

// Instruction is what Q.764 2.9.5 asks for on something unrecognized.
type Instruction struct {
	Release bool  // release the call with Cause
	Discard bool  // drop the whole message
	Notify  bool  // answer with CFN
	Cause   Cause // of the REL or CFN
}

// The instruction indicators of Q.763 3.33 and 3.41, first octet.
const (
	compatTransit  = 1 << 0 // set: end node interpretation
	compatRelease  = 1 << 1
	compatNotify   = 1 << 2
	compatDiscard  = 1 << 3 // message, in both parameters
	compatDropPart = 1 << 4 // parameter only
)

var knownParams = []ParamCode{ParamTransmissionMedium, ParamCalledNumber, ParamNatureOfConnection,
	ParamForwardCall, ParamCallingCategory, ParamCallingNumber, ParamBackwardCall, ParamCause,
	ParamGroupSupervision, ParamRangeStatus, ParamEvent, ParamCircuitMap, ParamCongestionLevel,
	ParamPropagationDelay, ParamMessageCompat, ParamParamCompat, ParamHopCounter}

// ofMessage finds the message compatibility information in the optional part of an unknown message, which Q.763
// 1.11 asks to have only optional parameters.
func ofMessage(body []byte) (byte, bool) {
	probe := &Message{}
	if len(body) == 0 || body[0] == 0 || probe.decodeOptional(body, int(body[0])) != nil {
		return 0, false
	}
	v, ok := probe.Get(ParamMessageCompat)
	if !ok || len(v) == 0 {
		return 0, false
	}
	return v[0], true
}

// Unrecognized applies the compatibility rules (Q.764 2.9.5.2, 2.9.5.3) to a message just decoded. transit
// tells that the call goes on to another exchange. Parameters that must not be passed on are taken out of m.
// Without instructions an unknown message is discarded with a CFN, an unknown parameter is passed.
func Unrecognized(m *Message, transit bool) Instruction {
	if !Known(m.Type) {
		how, ok := ofMessage(m.Body)
		if !ok {
			return Instruction{Discard: true, Notify: true, Cause: CauseUnknownMessage}
		}
		if transit && how&compatTransit == 0 {
			return Instruction{}
		}
		return Instruction{Release: how&compatRelease != 0, Discard: true, Notify: how&compatNotify != 0,
			Cause: CauseUnknownMessage}
	}
	rules, _ := m.Get(ParamParamCompat)
	if len(rules) == 0 {
		return Instruction{}
	}
	var all Instruction
	m.Params = slices.DeleteFunc(m.Params, func(p Param) bool {
		how, ok := ruleFor(rules, p.Code)
		if slices.Contains(knownParams, p.Code) || !ok || transit && how&compatTransit == 0 {
			return false
		}
		all.Release = all.Release || how&compatRelease != 0
		if how&compatDiscard != 0 {
			all.Discard, all.Cause = true, CauseParamDiscarded
		} else if all.Cause == 0 {
			all.Cause = CauseUnknownParam
		}
		all.Notify = all.Notify || how&compatNotify != 0
		return how&(compatDropPart|compatDiscard) != 0
	})
	return all
}

// ruleFor finds the instruction for a parameter; instruction octets go on until one has its top bit set.
func ruleFor(rules []byte, code ParamCode) (byte, bool) {
	for i := 0; i+1 < len(rules); {
		at := i + 1
		for i = at; i < len(rules) && rules[i]&0x80 == 0; i++ {
		}
		i++
		if rules[at-1] == byte(code) {
			return rules[at], true
		}
	}
	return 0, false
}
