package m3ua

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Role is the part that this end plays on an association.
type Role byte

// Roles. With the IPSP single exchange (section 1.4.3.2) one end asks and the other answers, for both ways.
const (
	RoleASP        Role = iota // asks a signalling gateway
	RoleSGP                    // answers an ASP, and notifies it of the state of its AS
	RoleIPSPClient             // asks a peer IPSP
	RoleIPSPServer             // answers a peer IPSP
)

func (r Role) asks() bool { return r == RoleASP || r == RoleIPSPClient }

// State is the state of an ASP (section 4.3.1).
type State byte

// States. Closed: there is no transport connection.
const (
	Closed State = iota
	Down
	Inactive
	Active
)

// String gives the name of the RFC.
func (s State) String() string {
	return [...]string{"CLOSED", "ASP-DOWN", "ASP-INACTIVE", "ASP-ACTIVE"}[s]
}

// Settings of an association. Zero times mean the defaults.
type Settings struct {
	Role           Role
	RoutingContext uint32
	HasContext     bool
	Mode           Mode          // traffic mode that an ASP may ask for; 0: any
	Key            uint32        // destination point code that an ASP may register
	ASPID          uint32        // sent in ASPUP by an asking end, if not 0
	TAck           time.Duration // T(ack), 2 s: a request is sent again after it
	Beat           time.Duration // T(beat), 30 s; negative: no heartbeats of our own
	BeatMisses     int           // unanswered heartbeats until the association counts as lost, 2
	MaxMessage     int           // octets
}

// Indication is something that the user of an association must know. Kind tells what.
type Indication struct {
	Kind    IndicationKind
	State   State         // of IndState: the new one
	Data    ProtocolData  // of IndData
	Message *Message      // of IndNetwork: DUNA, DAVA, DRST, SCON, DUPU or DAUD; of IndPeer: ERR or NTFY
	Err     error         // of IndFault: what the peer did; of IndClose: why the transport must be closed
	Silence time.Duration // of IndClose on missed heartbeats
}

// IndicationKind tells indications apart.
type IndicationKind byte

// Indications.
const (
	IndState IndicationKind = iota
	IndData
	IndNetwork
	IndPeer
	IndFault
	IndClose
)

// Assoc is the state machine of one association. It is not safe for concurrent use. Every call gives its
// results through Output and Indications.
type Assoc struct {
	set      Settings
	state    State
	framer   Framer
	out      []byte
	ind      []Indication
	given    []Indication // handed out by the last call of Indications
	asked    Kind         // request that waits for its acknowledgement; 0 none
	askAgain time.Duration
	beatAt   time.Duration
	missed   int
	heard    time.Duration
	leaving  bool

	registered bool
	written    int64 // octets of Output since Connected
	confirmed  int64 // of them the peer has shown to have read, by answering a heartbeat behind them
}

// ErrNotActive is returned by Send while the peer takes no traffic.
var ErrNotActive = errors.New("m3ua: association is not active")

var errNoAnswer = errors.New("m3ua: no answer to heartbeats")

// NewAssoc makes an association without a connection.
func NewAssoc(s Settings) *Assoc {
	if s.TAck <= 0 {
		s.TAck = 2 * time.Second
	}
	if s.Beat == 0 {
		s.Beat = 30 * time.Second
	}
	if s.BeatMisses <= 0 {
		s.BeatMisses = 2
	}
	return &Assoc{set: s}
}

// State is the state now.
func (a *Assoc) State() State { return a.state }

// Output gives the bytes to write and forgets them.
func (a *Assoc) Output() []byte {
	b := a.out
	a.out = nil
	a.written += int64(len(b))
	return b
}

// Confirmed is how many octets of Output since Connected the peer has read for certain: TCP keeps the order, so an
// answered heartbeat confirms all that went before it.
func (a *Assoc) Confirmed() int64 { return a.confirmed }

// Indications gives what has happened since the last call. The slice is good until the next call.
func (a *Assoc) Indications() []Indication {
	clear(a.given)
	a.ind, a.given = a.given[:0], a.ind
	return a.given
}

// Connected takes the news of a new transport connection. What came over an older one is forgotten.
func (a *Assoc) Connected(now time.Duration) {
	if a.state != Closed {
		a.Lost()
	}
	a.framer, a.out, a.asked, a.missed, a.leaving = Framer{Max: a.set.MaxMessage}, nil, 0, 0, false
	a.written, a.confirmed, a.registered = 0, 0, false
	a.heard, a.beatAt = now, now+a.set.Beat
	a.become(Down)
	if a.set.Role.asks() {
		a.ask(now, ASPUP)
	}
}

// Lost takes the news that the transport connection is gone.
func (a *Assoc) Lost() {
	a.asked, a.out, a.framer = 0, nil, Framer{}
	a.become(Closed)
}

func (a *Assoc) become(s State) {
	if a.state != s {
		a.state = s
		a.ind = append(a.ind, Indication{Kind: IndState, State: s})
	}
}

func (a *Assoc) write(m *Message) { a.out = m.Append(a.out) }

// ask sends a request and starts T(ack).
func (a *Assoc) ask(now time.Duration, k Kind) {
	m := &Message{Kind: k}
	if k == ASPUP && a.set.ASPID != 0 {
		m.WithUint32(TagASPID, a.set.ASPID)
	}
	if (k == ASPAC || k == ASPIA) && a.set.HasContext {
		m.WithUint32(TagRoutingContext, a.set.RoutingContext)
	}
	a.asked, a.askAgain = k, now+a.set.TAck
	a.write(m)
}

// Leave takes this end out of service: ASPIA now, ASPDN once that is answered. Only an asking end asks; an
// answering end tells an ASP by NTFY, and an IPSP by ASPIA of its own.
func (a *Assoc) Leave(now time.Duration) {
	a.leaving = true
	switch {
	case a.state != Active:
	case a.set.Role == RoleSGP:
		a.notify(statusAS, asPending)
	default:
		a.ask(now, ASPIA)
	}
}

// Send writes ISUP or other user data toward the peer.
func (a *Assoc) Send(p ProtocolData) error {
	if a.state != Active {
		return ErrNotActive
	}
	p.HasContext, p.RoutingContext = a.set.HasContext, a.set.RoutingContext
	if a.out == nil {
		a.out = make([]byte, 0, dataOverhead+len(p.Data))
	}
	a.out = p.Append(a.out)
	return nil
}

// Network sends a signalling network management message, such as SCON or DUNA, for a point code.
func (a *Assoc) Network(k Kind, pointCode uint32, congestion byte) error {
	if a.state != Active {
		return ErrNotActive
	}
	m := &Message{Kind: k}
	if a.set.HasContext {
		m.WithUint32(TagRoutingContext, a.set.RoutingContext)
	}
	m.WithUint32(TagAffected, pointCode&0xffffff)
	if k == SCON && congestion > 0 {
		m.WithUint32(TagCongestion, uint32(congestion))
	}
	a.write(m)
	return nil
}

// AffectedPointCodes reads the point codes of an SSNM message. Codes with a mask are given by their first.
func AffectedPointCodes(m *Message) []uint32 {
	v, _ := m.Get(TagAffected)
	var out []uint32
	for ; len(v) >= 4; v = v[4:] {
		out = append(out, binary.BigEndian.Uint32(v)&0xffffff)
	}
	return out
}

// Deadline tells when Tick has work; false: nothing waits.
func (a *Assoc) Deadline() (time.Duration, bool) {
	if a.state == Closed {
		return 0, false
	}
	at, ok := time.Duration(0), false
	if a.asked != 0 {
		at, ok = a.askAgain, true
	}
	if a.set.Beat > 0 && (!ok || a.beatAt < at) {
		at, ok = a.beatAt, true
	}
	return at, ok
}

// Tick does what is due: requests without an answer go out again, heartbeats are sent and counted.
func (a *Assoc) Tick(now time.Duration) {
	if a.state == Closed {
		return
	}
	if a.asked != 0 && now >= a.askAgain {
		a.ask(now, a.asked)
	}
	if a.set.Beat <= 0 || now < a.beatAt {
		return
	}
	if a.missed >= a.set.BeatMisses {
		a.ind = append(a.ind, Indication{Kind: IndClose, Err: errNoAnswer, Silence: now - a.heard})
		a.beatAt = now + a.set.Beat
		return
	}
	a.missed++
	a.beatAt = now + a.set.Beat
	a.write((&Message{Kind: BEAT}).With(TagHeartbeat, binary.BigEndian.AppendUint64(nil, uint64(a.written)+uint64(len(a.out)))))
}

// Receive takes bytes of the transport connection.
func (a *Assoc) Receive(now time.Duration, b []byte) {
	if a.state == Closed {
		return
	}
	a.framer.Write(b)
	for {
		raw, err := a.framer.Next()
		if err != nil {
			a.fault(&Fault{ErrProtocol, err.Error()}, raw)
			a.ind = append(a.ind, Indication{Kind: IndClose, Err: err})
			a.framer = Framer{Max: a.set.MaxMessage}
			return
		}
		if raw == nil {
			return
		}
		a.heard, a.missed = now, 0
		if p, ok := plainData(raw); ok && a.state == Active && a.ours(p) {
			a.ind = append(a.ind, Indication{Kind: IndData, Data: p})
			continue
		}
		m, err := Decode(raw)
		if err != nil {
			a.fault(err, raw)
			continue
		}
		if err := a.take(now, m); err != nil {
			a.fault(err, raw)
		}
	}
}

// fault answers with ERR and tells the user. An ERR is never answered with another.
func (a *Assoc) fault(err error, raw []byte) {
	a.ind = append(a.ind, Indication{Kind: IndFault, Err: err})
	var f *Fault
	if !errors.As(err, &f) || len(raw) > 3 && Class(raw[2]) == ClassMGMT {
		return
	}
	a.write((&Message{Kind: ERR}).WithUint32(TagErrorCode, uint32(f.Code)).
		With(TagDiagnostic, raw[:min(len(raw), 40)]))
}

func (a *Assoc) take(now time.Duration, m *Message) error {
	switch m.Kind.Class() {
	case ClassASPSM:
		return a.takeASPSM(now, m)
	case ClassASPTM:
		return a.takeASPTM(now, m)
	case ClassTransfer:
		return a.takeData(m)
	case ClassSSNM:
		if _, ok := m.Get(TagAffected); !ok {
			return &Fault{ErrMissingParam, m.Kind.String() + " without an affected point code"}
		}
		if a.state != Active && a.state != Inactive {
			return &Fault{ErrUnexpected, fmt.Sprintf("%v in %v", m.Kind, a.state)}
		}
		a.ind = append(a.ind, Indication{Kind: IndNetwork, Message: m})
	case ClassRKM:
		return a.takeRKM(m)
	case ClassMGMT:
		a.ind = append(a.ind, Indication{Kind: IndPeer, Message: m})
	}
	return nil
}

func (a *Assoc) takeASPSM(now time.Duration, m *Message) error {
	switch m.Kind {
	case BEAT:
		ack := &Message{Kind: BEATACK}
		if v, ok := m.Get(TagHeartbeat); ok {
			ack.With(TagHeartbeat, bytes.Clone(v))
		}
		a.write(ack)
	case BEATACK:
		if v, ok := m.Get(TagHeartbeat); ok && len(v) == 8 {
			if n := int64(binary.BigEndian.Uint64(v)); n > a.confirmed && n <= a.written {
				a.confirmed = n
			}
		}
	case ASPUP:
		if a.set.Role.asks() && a.set.Role != RoleIPSPClient {
			return &Fault{ErrUnexpected, "ASPUP from the gateway"}
		}
		a.write(&Message{Kind: ASPUPACK})
		a.become(Inactive) // section 4.3.4.1: from ASP-ACTIVE it falls back, and the peer must activate again
	case ASPDN:
		a.write(&Message{Kind: ASPDNACK})
		a.become(Down)
	case ASPUPACK:
		if a.asked != ASPUP {
			return nil // a late copy
		}
		a.asked = 0
		a.become(Inactive)
		if !a.leaving {
			a.ask(now, ASPAC)
		}
	case ASPDNACK:
		if a.asked == ASPDN {
			a.asked = 0
			a.become(Down)
		}
	}
	return nil
}

func (a *Assoc) takeASPTM(now time.Duration, m *Message) error {
	rc, has := m.Uint32(TagRoutingContext)
	if a.set.HasContext && has && rc != a.set.RoutingContext {
		return &Fault{ErrRoutingContext, fmt.Sprintf("%v for routing context %d, ours is %d", m.Kind, rc,
			a.set.RoutingContext)}
	}
	if a.state == Down {
		return &Fault{ErrUnexpected, fmt.Sprintf("%v in %v", m.Kind, a.state)}
	}
	switch m.Kind {
	case ASPAC:
		if v, ok := m.Uint32(TagTrafficMode); ok && (v < 1 || v > 3 || a.set.Mode != 0 && Mode(v) != a.set.Mode) {
			return &Fault{ErrTrafficMode, fmt.Sprintf("%v, ours is %v", Mode(v), a.set.Mode)}
		}
		if a.leaving {
			return &Fault{ErrBlocking, "going out of service"}
		}
		a.write(a.ackFor(ASPACACK, m))
		a.become(Active)
	case ASPIA:
		a.write(a.ackFor(ASPIAACK, m))
		a.become(Inactive)
	case ASPACACK:
		if a.asked == ASPAC {
			a.asked = 0
			a.become(Active)
		}
	case ASPIAACK:
		if a.asked == ASPIA {
			a.asked = 0
			a.become(Inactive)
			if a.leaving && a.set.Role.asks() {
				a.ask(now, ASPDN)
			}
		}
	}
	return nil
}

// ackFor repeats the routing context and the traffic mode of a request, as sections 3.7.2 and 3.7.4 ask.
func (a *Assoc) ackFor(k Kind, m *Message) *Message {
	ack := &Message{Kind: k}
	for _, tag := range []Tag{TagTrafficMode, TagRoutingContext} {
		if v, ok := m.Get(tag); ok {
			ack.With(tag, bytes.Clone(v))
		}
	}
	return ack
}

// ours tells whether a DATA is for our routing context, or names none.
func (a *Assoc) ours(p ProtocolData) bool {
	return !a.set.HasContext || !p.HasContext || p.RoutingContext == a.set.RoutingContext
}

func (a *Assoc) takeData(m *Message) error {
	if a.state != Active {
		return &Fault{ErrUnexpected, fmt.Sprintf("DATA in %v", a.state)}
	}
	p, err := ReadProtocolData(m)
	if err != nil {
		return err
	}
	if !a.ours(p) {
		return &Fault{ErrRoutingContext, fmt.Sprintf("DATA for routing context %d, ours is %d",
			p.RoutingContext, a.set.RoutingContext)}
	}
	a.ind = append(a.ind, Indication{Kind: IndData, Data: p})
	return nil
}

// Status types and informations of NTFY (section 3.8.2).
const (
	statusAS    = 1
	statusOther = 2
	asInactive  = 2
	asActive    = 3
	asPending   = 4
	otherShort  = 1 // insufficient ASP resources active in the AS
	otherTaken  = 2 // alternate ASP active
)

func (a *Assoc) notify(kind, info uint16) {
	m := (&Message{Kind: NTFY}).WithUint32(TagStatus, uint32(kind)<<16|uint32(info))
	if a.set.HasContext {
		m.WithUint32(TagRoutingContext, a.set.RoutingContext)
	}
	a.write(m)
}

// NotifyAS tells an ASP that is up of the state of its application server. Only a gateway does so.
func (a *Assoc) NotifyAS(s ASState) {
	info := map[ASState]uint16{ASInactive: asInactive, ASActive: asActive, ASPending: asPending}[s]
	if a.set.Role == RoleSGP && info != 0 && (a.state == Inactive || a.state == Active) {
		a.notify(statusAS, info)
	}
}

// NotifyShort tells an ASP that is up that more of its kind are needed.
func (a *Assoc) NotifyShort() {
	if a.set.Role == RoleSGP && (a.state == Inactive || a.state == Active) {
		a.notify(statusOther, otherShort)
	}
}

// Overridden takes the traffic from an active ASP: another one of its application server has taken over.
func (a *Assoc) Overridden() {
	if a.state == Active {
		a.notify(statusOther, otherTaken)
		a.become(Inactive)
	}
}
