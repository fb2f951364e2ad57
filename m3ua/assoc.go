package m3ua

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Defaults of Settings.
const (
	defaultTAck                = 2 * time.Second
	defaultHeartbeatInterval   = 30 * time.Second
	defaultMaxMissedHeartbeats = 2
)

const (
	pointCodeMask = 0xffffff // selects the code in an affected or destination point code; its first octet is a mask
	maxDiagnostic = 40       // octets of a faulty message that an ERR returns
)

// Role is the role of this end of an association.
type Role byte

// Roles. Between IPSPs, this package uses the single exchange of RFC 4666: only one end sends the ASPSM and ASPTM requests, and they
// activate both directions.
const (
	RoleASP        Role = iota // sends requests to a signalling gateway process (SGP)
	RoleSGP                    // answers an ASP, and notifies it of the state of its AS
	RoleIPSPClient             // sends requests to a peer IPSP
	RoleIPSPServer             // answers a peer IPSP
)

// initiates reports whether this end sends the ASPSM and ASPTM requests.
func (r Role) initiates() bool { return r == RoleASP || r == RoleIPSPClient }

// State is the state of an ASP (RFC 4666 section 4.3.1), or Closed.
type State byte

// States of an ASP.
const (
	Closed State = iota // no transport connection; not a state of RFC 4666
	Down
	Inactive
	Active
)

// String returns the name of the state in RFC 4666, or CLOSED.
func (s State) String() string {
	return [...]string{"CLOSED", "ASP-DOWN", "ASP-INACTIVE", "ASP-ACTIVE"}[s]
}

// Settings describes one end of an association.
type Settings struct {
	Role                 Role
	RoutingContext       uint32        // sent and expected if HasContext
	HasContext           bool          // a routing context is configured
	Mode                 Mode          // traffic mode that an ASP may request; zero value: any
	DestinationPointCode uint32        // destination point code that an ASP may register
	ASPID                uint32        // ASP identifier that an initiating end sends in ASPUP; zero value: none
	TAck                 time.Duration // T(ack), until a request is sent again; default 2 s
	HeartbeatInterval    time.Duration // T(beat), interval of heartbeats; default 30 s, negative: this end sends none
	MaxMissedHeartbeats  int           // heartbeats without any message of the peer until the association counts as lost; default 2
	MaxMessage           int           // longest message that is accepted, in octets; default DefaultMaxMessage
}

// Indication is an event of an association that its owner has to handle.
type Indication struct {
	Kind    IndicationKind
	State   State         // of IndState: the new state
	Data    ProtocolData  // of IndData
	Message *Message      // of IndNetworkManagement: DUNA, DAVA, DRST, SCON, DUPU or DAUD; of IndManagement: ERR or NTFY
	Err     error         // of IndFault: the protocol error of the peer; of IndClose: the reason
	Silence time.Duration // of IndClose after missed heartbeats: time since the last message of the peer
}

// IndicationKind is the kind of an Indication.
type IndicationKind byte

// Kinds of indications.
const (
	IndState             IndicationKind = iota // the state has changed
	IndData                                    // DATA received
	IndNetworkManagement                       // signalling network management message (SSNM) received
	IndManagement                              // management message (ERR or NTFY) received
	IndFault                                   // message received that cannot be accepted
	IndClose                                   // the transport connection must be closed
)

// Assoc is the state machine of one association. Messages to send are returned by Output, events by Indications. It is not safe
// for concurrent use.
type Assoc struct {
	settings            Settings
	state               State
	framer              Framer
	output              []byte
	indications         []Indication
	returnedIndications []Indication // returned by the last call of Indications, reused by the next one
	pendingRequest      Kind         // request that awaits its acknowledgement; 0: none
	resendAt            time.Duration
	nextHeartbeat       time.Duration
	missedHeartbeats    int           // heartbeats sent since the last message of the peer
	lastActivity        time.Duration // time of the last message of the peer, or of Connected
	shuttingDown        bool          // Shutdown was called

	registered bool  // the peer has registered its routing key
	written    int64 // octets returned by Output since Connected
	confirmed  int64 // of these, octets that the peer has read: it has acknowledged a heartbeat sent after them
}

// ErrNotActive is returned by Send and SendNetworkManagement while the association is not in ASP-ACTIVE.
var ErrNotActive = errors.New("m3ua: association is not active")

var errHeartbeatTimeout = errors.New("m3ua: heartbeat time-out: nothing received from the peer")

// NewAssoc returns an association in state Closed. Settings without a value get their defaults.
func NewAssoc(settings Settings) *Assoc {
	if settings.TAck <= 0 {
		settings.TAck = defaultTAck
	}
	if settings.HeartbeatInterval == 0 {
		settings.HeartbeatInterval = defaultHeartbeatInterval
	}
	if settings.MaxMissedHeartbeats <= 0 {
		settings.MaxMissedHeartbeats = defaultMaxMissedHeartbeats
	}
	return &Assoc{settings: settings}
}

// State returns the current state.
func (a *Assoc) State() State { return a.state }

// Output returns the bytes to write to the transport connection since the last call.
func (a *Assoc) Output() []byte {
	output := a.output
	a.output = nil
	a.written += int64(len(output))
	return output
}

// Confirmed returns how many octets of Output since Connected the peer has certainly read. TCP keeps the order, so an acknowledged
// heartbeat confirms everything sent before it.
func (a *Assoc) Confirmed() int64 { return a.confirmed }

// Indications returns the indications since the last call, in order. The slice is valid until the next call.
func (a *Assoc) Indications() []Indication {
	clear(a.returnedIndications)
	a.indications, a.returnedIndications = a.returnedIndications[:0], a.indications
	return a.returnedIndications
}

// Connected starts the association on a new transport connection. Data of an earlier connection is discarded.
func (a *Assoc) Connected(now time.Duration) {
	if a.state != Closed {
		a.Lost()
	}
	a.framer, a.output, a.pendingRequest, a.missedHeartbeats, a.shuttingDown = Framer{Max: a.settings.MaxMessage}, nil, 0, 0, false
	a.written, a.confirmed, a.registered = 0, 0, false
	a.lastActivity, a.nextHeartbeat = now, now+a.settings.HeartbeatInterval
	a.setState(Down)
	if a.settings.Role.initiates() {
		a.sendRequest(now, ASPUP)
	}
}

// Lost ends the association after the loss of its transport connection.
func (a *Assoc) Lost() {
	a.pendingRequest, a.output, a.framer = 0, nil, Framer{}
	a.setState(Closed)
}

// setState changes the state and reports the change as an indication.
func (a *Assoc) setState(state State) {
	if a.state != state {
		a.state = state
		a.indications = append(a.indications, Indication{Kind: IndState, State: state})
	}
}

// write appends an encoded message to the output.
func (a *Assoc) write(message *Message) { a.output = message.Append(a.output) }

// sendRequest sends a request and starts T(ack).
func (a *Assoc) sendRequest(now time.Duration, kind Kind) {
	request := &Message{Kind: kind}
	if kind == ASPUP && a.settings.ASPID != 0 {
		request.WithUint32(TagASPID, a.settings.ASPID)
	}
	if (kind == ASPAC || kind == ASPIA) && a.settings.HasContext {
		request.WithUint32(TagRoutingContext, a.settings.RoutingContext)
	}
	a.pendingRequest, a.resendAt = kind, now+a.settings.TAck
	a.write(request)
}

// Shutdown takes this end out of service. On an active association an initiating end sends ASPIA, and ASPDN once that is
// acknowledged; a signalling gateway notifies its ASP by NTFY; an IPSP server sends ASPIA of its own. No ASPAC is accepted until
// Connected is called again.
func (a *Assoc) Shutdown(now time.Duration) {
	a.shuttingDown = true
	switch {
	case a.state != Active:
	case a.settings.Role == RoleSGP:
		a.notify(statusTypeASStateChange, statusInfoASPending)
	default:
		a.sendRequest(now, ASPIA)
	}
}

// Send sends ISUP or other user data to the peer, with the configured routing context.
func (a *Assoc) Send(data ProtocolData) error {
	if a.state != Active {
		return ErrNotActive
	}
	data.HasContext, data.RoutingContext = a.settings.HasContext, a.settings.RoutingContext
	if a.output == nil {
		a.output = make([]byte, 0, maxDataOverhead+len(data.Data))
	}
	a.output = data.Append(a.output)
	return nil
}

// SendNetworkManagement sends a signalling network management message, such as SCON or DUNA, for a point code. congestion is
// the congestion level of an SCON, or 0; other messages do not carry it.
func (a *Assoc) SendNetworkManagement(kind Kind, pointCode uint32, congestion byte) error {
	if a.state != Active {
		return ErrNotActive
	}
	message := &Message{Kind: kind}
	if a.settings.HasContext {
		message.WithUint32(TagRoutingContext, a.settings.RoutingContext)
	}
	message.WithUint32(TagAffectedPointCode, pointCode&pointCodeMask)
	if kind == SCON && congestion > 0 {
		message.WithUint32(TagCongestionIndications, uint32(congestion))
	}
	a.write(message)
	return nil
}

// AffectedPointCodes returns the affected point codes of an SSNM message. Of a range given by a mask it returns the code alone.
func AffectedPointCodes(message *Message) []uint32 {
	value, _ := message.Get(TagAffectedPointCode)
	var pointCodes []uint32
	for ; len(value) >= 4; value = value[4:] {
		pointCodes = append(pointCodes, binary.BigEndian.Uint32(value)&pointCodeMask)
	}
	return pointCodes
}

// Deadline returns the time at which Tick must be called next; false if no timer runs.
func (a *Assoc) Deadline() (time.Duration, bool) {
	if a.state == Closed {
		return 0, false
	}
	deadline, ok := time.Duration(0), false
	if a.pendingRequest != 0 {
		deadline, ok = a.resendAt, true
	}
	if a.settings.HeartbeatInterval > 0 && (!ok || a.nextHeartbeat < deadline) {
		deadline, ok = a.nextHeartbeat, true
	}
	return deadline, ok
}

// Tick handles expired timers: it sends unacknowledged requests again, and sends and counts heartbeats.
func (a *Assoc) Tick(now time.Duration) {
	if a.state == Closed {
		return
	}
	if a.pendingRequest != 0 && now >= a.resendAt {
		a.sendRequest(now, a.pendingRequest)
	}
	if a.settings.HeartbeatInterval <= 0 || now < a.nextHeartbeat {
		return
	}
	if a.missedHeartbeats >= a.settings.MaxMissedHeartbeats {
		a.indications = append(a.indications,
			Indication{Kind: IndClose, Err: errHeartbeatTimeout, Silence: now - a.lastActivity})
		a.nextHeartbeat = now + a.settings.HeartbeatInterval
		return
	}
	a.missedHeartbeats++
	a.nextHeartbeat = now + a.settings.HeartbeatInterval
	a.write((&Message{Kind: BEAT}).With(TagHeartbeat,
		binary.BigEndian.AppendUint64(nil, uint64(a.written)+uint64(len(a.output)))))
}

// Receive handles bytes read from the transport connection, in pieces of any size.
func (a *Assoc) Receive(now time.Duration, input []byte) {
	if a.state == Closed {
		return
	}
	a.framer.Write(input)
	for {
		raw, err := a.framer.Next()
		if err != nil {
			a.reportFault(&Fault{ErrProtocol, err.Error()}, raw)
			a.indications = append(a.indications, Indication{Kind: IndClose, Err: err})
			a.framer = Framer{Max: a.settings.MaxMessage}
			return
		}
		if raw == nil {
			return
		}
		a.lastActivity, a.missedHeartbeats = now, 0
		if data, ok := parsePlainData(raw); ok && a.state == Active && a.matchesContext(data) {
			a.indications = append(a.indications, Indication{Kind: IndData, Data: data})
			continue
		}
		message, err := Decode(raw)
		if err != nil {
			a.reportFault(err, raw)
			continue
		}
		if err := a.receiveMessage(now, message); err != nil {
			a.reportFault(err, raw)
		}
	}
}

// reportFault reports a protocol error as an indication and answers it with ERR. A faulty ERR or other management message gets
// no answer.
func (a *Assoc) reportFault(err error, raw []byte) {
	a.indications = append(a.indications, Indication{Kind: IndFault, Err: err})
	var fault *Fault
	if !errors.As(err, &fault) || len(raw) > 3 && Class(raw[2]) == ClassMGMT {
		return
	}
	a.write((&Message{Kind: ERR}).WithUint32(TagErrorCode, uint32(fault.Code)).
		With(TagDiagnostic, raw[:min(len(raw), maxDiagnostic)]))
}

// receiveMessage handles a decoded message. A returned error is a *Fault.
func (a *Assoc) receiveMessage(now time.Duration, message *Message) error {
	switch message.Kind.Class() {
	case ClassASPSM:
		return a.receiveASPSM(now, message)
	case ClassASPTM:
		return a.receiveASPTM(now, message)
	case ClassTransfer:
		return a.receiveData(message)
	case ClassSSNM:
		if _, ok := message.Get(TagAffectedPointCode); !ok {
			return &Fault{ErrMissingParameter, message.Kind.String() + " without an affected point code"}
		}
		if a.state != Active && a.state != Inactive {
			return &Fault{ErrUnexpectedMessage, fmt.Sprintf("%v in %v", message.Kind, a.state)}
		}
		a.indications = append(a.indications, Indication{Kind: IndNetworkManagement, Message: message})
	case ClassRKM:
		return a.receiveRKM(message)
	case ClassMGMT:
		a.indications = append(a.indications, Indication{Kind: IndManagement, Message: message})
	}
	return nil
}

// receiveASPSM handles messages of ASP state maintenance (RFC 4666 section 3.5).
func (a *Assoc) receiveASPSM(now time.Duration, message *Message) error {
	switch message.Kind {
	case BEAT:
		ack := &Message{Kind: BEATACK}
		if value, ok := message.Get(TagHeartbeat); ok {
			ack.With(TagHeartbeat, bytes.Clone(value))
		}
		a.write(ack)
	case BEATACK:
		if value, ok := message.Get(TagHeartbeat); ok && len(value) == 8 {
			if position := int64(binary.BigEndian.Uint64(value)); position > a.confirmed && position <= a.written {
				a.confirmed = position
			}
		}
	case ASPUP:
		if a.settings.Role.initiates() && a.settings.Role != RoleIPSPClient {
			return &Fault{ErrUnexpectedMessage, "ASPUP from the signalling gateway"}
		}
		a.write(&Message{Kind: ASPUPACK})
		a.setState(Inactive) // RFC 4666 section 4.3.4.1: also from ASP-ACTIVE, and the peer must activate again
	case ASPDN:
		a.write(&Message{Kind: ASPDNACK})
		a.setState(Down)
	case ASPUPACK:
		if a.pendingRequest != ASPUP {
			return nil // duplicate acknowledgement
		}
		a.pendingRequest = 0
		a.setState(Inactive)
		if !a.shuttingDown {
			a.sendRequest(now, ASPAC)
		}
	case ASPDNACK:
		if a.pendingRequest == ASPDN {
			a.pendingRequest = 0
			a.setState(Down)
		}
	}
	return nil
}

// receiveASPTM handles messages of ASP traffic maintenance (RFC 4666 section 3.7).
func (a *Assoc) receiveASPTM(now time.Duration, message *Message) error {
	routingContext, present := message.Uint32(TagRoutingContext)
	if a.settings.HasContext && present && routingContext != a.settings.RoutingContext {
		return &Fault{ErrInvalidRoutingContext, fmt.Sprintf("%v has routing context %d, but %d is configured", message.Kind,
			routingContext, a.settings.RoutingContext)}
	}
	if a.state == Down {
		return &Fault{ErrUnexpectedMessage, fmt.Sprintf("%v in %v", message.Kind, a.state)}
	}
	switch message.Kind {
	case ASPAC:
		if mode, ok := message.Uint32(TagTrafficModeType); ok &&
			(mode < 1 || mode > 3 || a.settings.Mode != 0 && Mode(mode) != a.settings.Mode) {
			return &Fault{ErrUnsupportedTrafficMode,
				fmt.Sprintf("ASPAC requests traffic mode %v, but %v is configured", Mode(mode), a.settings.Mode)}
		}
		if a.shuttingDown {
			return &Fault{ErrBlocking, "ASPAC refused: this end is shutting down"}
		}
		a.write(a.newAck(ASPACACK, message))
		a.setState(Active)
	case ASPIA:
		a.write(a.newAck(ASPIAACK, message))
		a.setState(Inactive)
	case ASPACACK:
		if a.pendingRequest == ASPAC {
			a.pendingRequest = 0
			a.setState(Active)
		}
	case ASPIAACK:
		if a.pendingRequest == ASPIA {
			a.pendingRequest = 0
			a.setState(Inactive)
			if a.shuttingDown && a.settings.Role.initiates() {
				a.sendRequest(now, ASPDN)
			}
		}
	}
	return nil
}

// newAck returns the acknowledgement of a request, with its routing context and traffic mode (RFC 4666 sections 3.7.2, 3.7.4).
func (a *Assoc) newAck(kind Kind, request *Message) *Message {
	ack := &Message{Kind: kind}
	for _, tag := range []Tag{TagTrafficModeType, TagRoutingContext} {
		if value, ok := request.Get(tag); ok {
			ack.With(tag, bytes.Clone(value))
		}
	}
	return ack
}

// matchesContext reports whether a DATA is for the configured routing context or carries none.
func (a *Assoc) matchesContext(data ProtocolData) bool {
	return !a.settings.HasContext || !data.HasContext || data.RoutingContext == a.settings.RoutingContext
}

// receiveData handles a decoded DATA.
func (a *Assoc) receiveData(message *Message) error {
	if a.state != Active {
		return &Fault{ErrUnexpectedMessage, fmt.Sprintf("DATA in %v", a.state)}
	}
	data, err := ReadProtocolData(message)
	if err != nil {
		return err
	}
	if !a.matchesContext(data) {
		return &Fault{ErrInvalidRoutingContext, fmt.Sprintf("DATA has routing context %d, but %d is configured",
			data.RoutingContext, a.settings.RoutingContext)}
	}
	a.indications = append(a.indications, Indication{Kind: IndData, Data: data})
	return nil
}

// Status types of NTFY, and values of their status information (RFC 4666 section 3.8.2).
const (
	statusTypeASStateChange      = 1
	statusTypeOther              = 2
	statusInfoASInactive         = 2
	statusInfoASActive           = 3
	statusInfoASPending          = 4
	statusInfoInsufficientASPs   = 1 // of Other: insufficient ASP resources active in the AS
	statusInfoAlternateASPActive = 2 // of Other: alternate ASP active
)

// notify sends a NTFY.
func (a *Assoc) notify(statusType, info uint16) {
	message := (&Message{Kind: NTFY}).WithUint32(TagStatus, uint32(statusType)<<16|uint32(info))
	if a.settings.HasContext {
		message.WithUint32(TagRoutingContext, a.settings.RoutingContext)
	}
	a.write(message)
}

// NotifyAS notifies an ASP that is up of the state of its application server. Only a signalling gateway sends it.
func (a *Assoc) NotifyAS(state ASState) {
	info := map[ASState]uint16{ASInactive: statusInfoASInactive, ASActive: statusInfoASActive,
		ASPending: statusInfoASPending}[state]
	if a.settings.Role == RoleSGP && info != 0 && (a.state == Inactive || a.state == Active) {
		a.notify(statusTypeASStateChange, info)
	}
}

// NotifyInsufficientASPs notifies an ASP that is up that its application server has too few active ASPs. Only a signalling
// gateway sends it.
func (a *Assoc) NotifyInsufficientASPs() {
	if a.settings.Role == RoleSGP && (a.state == Inactive || a.state == Active) {
		a.notify(statusTypeOther, statusInfoInsufficientASPs)
	}
}

// Overridden makes an active ASP inactive and notifies it, after another ASP of its application server has taken over.
func (a *Assoc) Overridden() {
	if a.state == Active {
		a.notify(statusTypeOther, statusInfoAlternateASPActive)
		a.setState(Inactive)
	}
}
