package m3ua

import (
	"encoding/binary"
	"slices"
)

// Messages of routing key management (RFC 4666 sections 3.6 and 4.4.1), with which an ASP registers the traffic that it wants to
// receive. Routing keys are checked against the settings of the association; a registration never adds a new one.
const (
	REGREQ   = Kind(ClassRKM)<<8 | 1 // registration request
	REGRSP   = Kind(ClassRKM)<<8 | 2 // registration response
	DEREGREQ = Kind(ClassRKM)<<8 | 3 // deregistration request
	DEREGRSP = Kind(ClassRKM)<<8 | 4 // deregistration response

	// Tags of the parameters that only these messages carry.
	tagRoutingKey            Tag = 0x0207
	tagRegistrationResult    Tag = 0x0208
	tagDeregistrationResult  Tag = 0x0209
	tagLocalKeyIdentifier    Tag = 0x020a
	tagDestinationPointCode  Tag = 0x020b
	tagServiceIndicators     Tag = 0x020c
	tagOriginatingPointCodes Tag = 0x020e
	tagRegistrationStatus    Tag = 0x0212
	tagDeregistrationStatus  Tag = 0x0213
)

// RegStatus is the status of a registration result (RFC 4666 section 3.6.2).
type RegStatus uint32

// Statuses of a registration result.
const (
	Registered                RegStatus = 0
	RegInvalidDPC             RegStatus = 2
	RegInvalidRoutingKey      RegStatus = 4
	RegPermissionDenied       RegStatus = 5
	RegKeyNotProvisioned      RegStatus = 7
	RegUnsupportedParameter   RegStatus = 9
	RegUnsupportedTrafficMode RegStatus = 10
	RegAlreadyRegistered      RegStatus = 12
)

// Statuses of a deregistration result (RFC 4666 section 3.6.4).
const (
	deregistered               = 0
	deregInvalidRoutingContext = 2
	deregNotRegistered         = 4
	deregASPActive             = 5
)

// parseParams decodes parameters that are nested in another one. It returns false if one is truncated.
func parseParams(input []byte) (params []Param, ok bool) {
	for len(input) > 0 {
		if len(input) < paramHeaderSize {
			return params, false
		}
		length := int(binary.BigEndian.Uint16(input[2:]))
		if length < paramHeaderSize || length > len(input) {
			return params, false
		}
		params = append(params, Param{Tag(binary.BigEndian.Uint16(input)), input[paramHeaderSize:length:length]})
		input = input[min(len(input), (length+3)&^3):]
	}
	return params, true
}

// receiveRKM answers registration and deregistration requests. Only a signalling gateway accepts them.
func (a *Assoc) receiveRKM(message *Message) error {
	if a.state == Down || a.settings.Role != RoleSGP {
		return &Fault{ErrUnexpectedMessage, message.Kind.String() + " in " + a.state.String()}
	}
	response := &Message{Kind: message.Kind + 1}
	switch message.Kind {
	case REGREQ:
		for _, p := range message.Params {
			if p.Tag == tagRoutingKey {
				response.With(tagRegistrationResult, a.register(p.Value))
			}
		}
	case DEREGREQ:
		contexts, _ := message.Get(TagRoutingContext)
		for ; len(contexts) >= 4; contexts = contexts[4:] {
			response.With(tagDeregistrationResult, a.deregister(binary.BigEndian.Uint32(contexts)))
		}
	default:
		return &Fault{ErrUnexpectedMessage, message.Kind.String() + " received by a signalling gateway"}
	}
	if len(response.Params) == 0 {
		return &Fault{ErrMissingParameter, message.Kind.String() + " without a routing key or routing context"}
	}
	a.write(response)
	return nil
}

// register checks one routing key and returns the registration result parameter.
func (a *Assoc) register(key []byte) []byte {
	identifier, status := uint32(0), a.checkRoutingKey(key)
	if params, ok := parseParams(key); ok {
		for _, p := range params {
			if p.Tag == tagLocalKeyIdentifier && len(p.Value) >= 4 {
				identifier = binary.BigEndian.Uint32(p.Value)
			}
		}
	}
	context := uint32(0)
	if status == Registered || status == RegAlreadyRegistered {
		context, a.registered = a.settings.RoutingContext, true
	}
	return appendUint32Params(nil, tagLocalKeyIdentifier, identifier, tagRegistrationStatus, uint32(status), TagRoutingContext, context)
}

// appendUint32Params appends parameters of four octets to dst. pairs holds a Tag and a uint32 for each.
func appendUint32Params(dst []byte, pairs ...any) []byte {
	for i := 0; i+1 < len(pairs); i += 2 {
		dst = binary.BigEndian.AppendUint16(dst, uint16(pairs[i].(Tag)))
		dst = binary.BigEndian.AppendUint16(dst, 8)
		dst = binary.BigEndian.AppendUint32(dst, pairs[i+1].(uint32))
	}
	return dst
}

// checkRoutingKey compares a routing key with the settings of the association.
func (a *Assoc) checkRoutingKey(key []byte) RegStatus {
	params, ok := parseParams(key)
	if !ok || !slices.ContainsFunc(params, func(p Param) bool { return p.Tag == tagLocalKeyIdentifier }) {
		return RegInvalidRoutingKey
	}
	hasDestination := false
	for _, p := range params {
		value := uint32(0)
		if len(p.Value) >= 4 {
			value = binary.BigEndian.Uint32(p.Value)
		}
		switch p.Tag {
		case tagLocalKeyIdentifier, TagNetworkAppearance:
		case TagRoutingContext:
			if !a.settings.HasContext || value != a.settings.RoutingContext {
				return RegKeyNotProvisioned
			}
		case TagTrafficModeType:
			if Mode(value) != a.settings.Mode {
				return RegUnsupportedTrafficMode
			}
		case tagDestinationPointCode:
			if hasDestination = true; value&pointCodeMask != a.settings.DestinationPointCode {
				return RegInvalidDPC
			}
		case tagServiceIndicators:
			if !slices.Contains(p.Value, ServiceISUP) {
				return RegPermissionDenied
			}
		default: // for example originating point codes: narrower keys are not provisioned
			return RegUnsupportedParameter
		}
	}
	switch {
	case !hasDestination:
		return RegInvalidRoutingKey
	case !a.settings.HasContext:
		return RegKeyNotProvisioned
	case a.registered:
		return RegAlreadyRegistered
	}
	return Registered
}

// deregister ends the registration of a routing context and returns the deregistration result parameter.
func (a *Assoc) deregister(context uint32) []byte {
	status := uint32(deregistered)
	switch {
	case !a.settings.HasContext || context != a.settings.RoutingContext:
		status = deregInvalidRoutingContext
	case !a.registered:
		status = deregNotRegistered
	case a.state == Active:
		status = deregASPActive
	default:
		a.registered = false
	}
	return appendUint32Params(nil, TagRoutingContext, context, tagDeregistrationStatus, status)
}
