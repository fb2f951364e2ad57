package m3ua

import (
	"encoding/binary"
	"slices"
)

// Routing key management (sections 3.6 and 4.4.1): an ASP registers the traffic that it wants. Keys are checked
// against what is configured for the association; nothing new is made by a registration.
const (
	REGREQ   = Kind(ClassRKM)<<8 | 1
	REGRSP   = Kind(ClassRKM)<<8 | 2
	DEREGREQ = Kind(ClassRKM)<<8 | 3
	DEREGRSP = Kind(ClassRKM)<<8 | 4

	tagRoutingKey  Tag = 0x0207
	tagRegResult   Tag = 0x0208
	tagDeregResult Tag = 0x0209
	tagLocalKey    Tag = 0x020a
	tagDestination Tag = 0x020b
	tagService     Tag = 0x020c
	tagOPCs        Tag = 0x020e
	tagRegStatus   Tag = 0x0212
	tagDeregStatus Tag = 0x0213
)

// RegStatus is the result of a registration (section 3.6.2).
type RegStatus uint32

// Results of a registration.
const (
	Registered         RegStatus = 0
	RegInvalidDPC      RegStatus = 2
	RegInvalidKey      RegStatus = 4
	RegDenied          RegStatus = 5
	RegNotProvisioned  RegStatus = 7
	RegUnsupportedPart RegStatus = 9
	RegTrafficMode     RegStatus = 10
	RegAlready         RegStatus = 12
)

// Results of a deregistration (section 3.6.4).
const (
	deregistered       = 0
	deregInvalid       = 2
	deregNotRegistered = 4
	deregStillActive   = 5
)

// parseParams reads parameters that stand inside another one.
func parseParams(b []byte) (out []Param, ok bool) {
	for len(b) > 0 {
		if len(b) < 4 {
			return out, false
		}
		n := int(binary.BigEndian.Uint16(b[2:]))
		if n < 4 || n > len(b) {
			return out, false
		}
		out = append(out, Param{Tag(binary.BigEndian.Uint16(b)), b[4:n:n]})
		b = b[min(len(b), (n+3)&^3):]
	}
	return out, true
}

// takeRKM answers registrations and their end.
func (a *Assoc) takeRKM(m *Message) error {
	if a.state == Down || a.set.Role != RoleSGP {
		return &Fault{ErrUnexpected, m.Kind.String() + " in " + a.state.String()}
	}
	rsp := &Message{Kind: m.Kind + 1}
	switch m.Kind {
	case REGREQ:
		for _, p := range m.Params {
			if p.Tag == tagRoutingKey {
				rsp.With(tagRegResult, a.register(p.Value))
			}
		}
	case DEREGREQ:
		v, _ := m.Get(TagRoutingContext)
		for ; len(v) >= 4; v = v[4:] {
			rsp.With(tagDeregResult, a.deregister(binary.BigEndian.Uint32(v)))
		}
	default:
		return &Fault{ErrUnexpected, m.Kind.String() + " to a gateway"}
	}
	if len(rsp.Params) == 0 {
		return &Fault{ErrMissingParam, m.Kind.String() + " names nothing"}
	}
	a.write(rsp)
	return nil
}

// register judges one routing key and gives the registration result.
func (a *Assoc) register(key []byte) []byte {
	local, status := uint32(0), a.judgeKey(key)
	if params, ok := parseParams(key); ok {
		for _, p := range params {
			if p.Tag == tagLocalKey && len(p.Value) >= 4 {
				local = binary.BigEndian.Uint32(p.Value)
			}
		}
	}
	context := uint32(0)
	if status == Registered || status == RegAlready {
		context, a.registered = a.set.RoutingContext, true
	}
	return appendUint32s(nil, tagLocalKey, local, tagRegStatus, uint32(status), TagRoutingContext, context)
}

// appendUint32s writes parameters of four octets, each a tag and its value.
func appendUint32s(dst []byte, pairs ...any) []byte {
	for i := 0; i+1 < len(pairs); i += 2 {
		dst = binary.BigEndian.AppendUint16(dst, uint16(pairs[i].(Tag)))
		dst = binary.BigEndian.AppendUint16(dst, 8)
		dst = binary.BigEndian.AppendUint32(dst, pairs[i+1].(uint32))
	}
	return dst
}

// judgeKey holds a key against the configuration.
func (a *Assoc) judgeKey(key []byte) RegStatus {
	params, ok := parseParams(key)
	if !ok || !slices.ContainsFunc(params, func(p Param) bool { return p.Tag == tagLocalKey }) {
		return RegInvalidKey
	}
	destination := false
	for _, p := range params {
		v := uint32(0)
		if len(p.Value) >= 4 {
			v = binary.BigEndian.Uint32(p.Value)
		}
		switch p.Tag {
		case tagLocalKey, TagNetAppearance:
		case TagRoutingContext:
			if !a.set.HasContext || v != a.set.RoutingContext {
				return RegNotProvisioned
			}
		case TagTrafficMode:
			if Mode(v) != a.set.Mode {
				return RegTrafficMode
			}
		case tagDestination:
			if destination = true; v&0xffffff != a.set.Key {
				return RegInvalidDPC
			}
		case tagService:
			if !slices.Contains(p.Value, ServiceISUP) {
				return RegDenied
			}
		default: // such as a list of originating points: narrower keys are not provisioned
			return RegUnsupportedPart
		}
	}
	switch {
	case !destination:
		return RegInvalidKey
	case !a.set.HasContext:
		return RegNotProvisioned
	case a.registered:
		return RegAlready
	}
	return Registered
}

// deregister judges the end of one registration.
func (a *Assoc) deregister(context uint32) []byte {
	status := uint32(deregistered)
	switch {
	case !a.set.HasContext || context != a.set.RoutingContext:
		status = deregInvalid
	case !a.registered:
		status = deregNotRegistered
	case a.state == Active:
		status = deregStillActive
	default:
		a.registered = false
	}
	return appendUint32s(nil, TagRoutingContext, context, tagDeregStatus, status)
}
