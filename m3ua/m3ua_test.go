package m3ua

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"
	"time"
)

var sampleData = ProtocolData{OPC: 101, DPC: 102, SI: 5, NI: 2, SLS: 7, Data: []byte{1, 2, 3, 4, 5},
	HasContext: true, RoutingContext: 9}

// assocPair is a fixture: two associations that exchange their output directly.
type assocPair struct {
	client, server *Assoc
	now            time.Duration
}

// newPair returns two connected associations that have exchanged nothing yet.
func newPair(client, server Settings) *assocPair {
	pair := &assocPair{client: NewAssoc(client), server: NewAssoc(server)}
	pair.client.Connected(0)
	pair.server.Connected(0)
	return pair
}

// exchangeAll delivers the output of both ends to each other for 20 rounds, more than any exchange here needs.
func (p *assocPair) exchangeAll() {
	for i := 0; i < 20; i++ {
		fromClient, fromServer := p.client.Output(), p.server.Output()
		p.server.Receive(p.now, fromClient)
		p.client.Receive(p.now, fromServer)
	}
}

// kinds returns the kinds of indications.
func kinds(indications []Indication) (kinds []IndicationKind) {
	for _, i := range indications {
		kinds = append(kinds, i.Kind)
	}
	return kinds
}

func TestDataRoundTripAndPadding(t *testing.T) {
	raw := sampleData.Message().Append(nil)
	if len(raw)%4 != 0 || binary.BigEndian.Uint32(raw[4:]) != uint32(len(raw)) {
		t.Errorf("%d octets, length field %d", len(raw), binary.BigEndian.Uint32(raw[4:]))
	}
	if direct := sampleData.Append(nil); !bytes.Equal(direct, raw) {
		t.Errorf("ProtocolData.Append: %x, Message.Append: %x", direct, raw)
	}
	message, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadProtocolData(message)
	if err != nil || got.OPC != 101 || got.DPC != 102 || got.SLS != 7 || got.RoutingContext != 9 ||
		!bytes.Equal(got.Data, sampleData.Data) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestFramerInAnyPieces(t *testing.T) {
	raw := sampleData.Message().Append(nil)
	stream := append(append(bytes.Clone(raw), raw...), raw...)
	for size := 1; size <= len(stream); size++ {
		framer, count := Framer{}, 0
		for rest := stream; len(rest) > 0; {
			n := min(size, len(rest))
			framer.Write(rest[:n])
			rest = rest[n:]
			for {
				message, err := framer.Next()
				if err != nil {
					t.Fatal(err)
				}
				if message == nil {
					break
				}
				if !bytes.Equal(message, raw) {
					t.Fatalf("pieces of %d: %x", size, message)
				}
				count++
			}
		}
		if count != 3 || framer.Buffered() != 0 {
			t.Errorf("pieces of %d: %d messages, %d octets left", size, count, framer.Buffered())
		}
	}
}

func TestFramerLengths(t *testing.T) {
	for _, length := range []uint32{0, 7, DefaultMaxMessage + 1, 1 << 31, 1<<32 - 1} {
		framer := Framer{}
		framer.Write(binary.BigEndian.AppendUint32([]byte{1, 0, 1, 1}, length))
		if _, err := framer.Next(); !errors.Is(err, ErrLength) {
			t.Errorf("length %d: %v", length, err)
		}
	}
}

func TestIPSPSingleExchange(t *testing.T) {
	pair := newPair(Settings{Role: RoleIPSPClient, ASPID: 5}, Settings{Role: RoleIPSPServer})
	pair.exchangeAll()
	if pair.client.State() != Active || pair.server.State() != Active {
		t.Fatalf("%v and %v", pair.client.State(), pair.server.State())
	}
	pair.client.Indications()
	pair.server.Indications()
	for _, sender := range []*Assoc{pair.client, pair.server} { // one exchange of requests makes both directions active
		if err := sender.Send(sampleData); err != nil {
			t.Fatal(err)
		}
	}
	pair.exchangeAll()
	if k := kinds(pair.client.Indications()); len(k) != 1 || k[0] != IndData {
		t.Errorf("indications at the client: %v", k)
	}
	if k := kinds(pair.server.Indications()); len(k) != 1 || k[0] != IndData {
		t.Errorf("indications at the server: %v", k)
	}
}

func TestShutdown(t *testing.T) {
	pair := newPair(Settings{Role: RoleIPSPClient}, Settings{Role: RoleIPSPServer})
	pair.exchangeAll()
	pair.client.Shutdown(0)
	pair.exchangeAll()
	if pair.client.State() != Down || pair.server.State() != Down {
		t.Errorf("%v and %v", pair.client.State(), pair.server.State())
	}
	if err := pair.client.Send(sampleData); !errors.Is(err, ErrNotActive) {
		t.Errorf("Send after Shutdown: %v", err)
	}
}

func TestRequestsAreRetransmitted(t *testing.T) {
	assoc := NewAssoc(Settings{Role: RoleASP, TAck: time.Second, HeartbeatInterval: -1})
	assoc.Connected(0)
	first := assoc.Output()
	deadline, ok := assoc.Deadline()
	if !ok || deadline != time.Second {
		t.Fatalf("deadline %v, %v", deadline, ok)
	}
	assoc.Tick(deadline - 1)
	if len(assoc.Output()) > 0 {
		t.Error("sent before T(ack)")
	}
	assoc.Tick(deadline)
	if second := assoc.Output(); !bytes.Equal(second, first) {
		t.Errorf("sent again %x, first %x", second, first)
	}
}

func TestHeartbeats(t *testing.T) {
	pair := newPair(Settings{Role: RoleIPSPClient, HeartbeatInterval: time.Second, MaxMissedHeartbeats: 2},
		Settings{Role: RoleIPSPServer, HeartbeatInterval: -1})
	pair.exchangeAll()
	for pair.now = time.Second; pair.now <= 5*time.Second; pair.now += time.Second {
		pair.client.Tick(pair.now)
		pair.exchangeAll()
	}
	pair.client.Indications()
	for ; pair.now <= 9*time.Second; pair.now += time.Second { // the far end is unresponsive
		pair.client.Tick(pair.now)
		pair.client.Output()
	}
	closed := 0
	for _, indication := range pair.client.Indications() {
		if indication.Kind == IndClose {
			closed++
		}
	}
	if closed == 0 {
		t.Error("no IndClose for an unresponsive peer")
	}
}

func TestFaultsAreAnsweredWithTheirErrorCode(t *testing.T) {
	newMessage := func(k Kind) *Message { return &Message{Kind: k} }
	encode := func(reply *Message) []byte { return reply.Append(nil) }
	version := encode(newMessage(BEAT))
	version[0] = 2
	badParam := encode(newMessage(BEAT).WithUint32(TagHeartbeat, 1))
	binary.BigEndian.PutUint16(badParam[10:], 99)
	otherContext := sampleData
	otherContext.RoutingContext = 8
	for _, testCase := range []struct {
		name  string
		input []byte
		want  ErrorCode
	}{
		{"version 2", version, ErrInvalidVersion},
		{"class 7", encode(newMessage(0x0701)), ErrUnsupportedClass},
		{"type 9 of ASPSM", encode(newMessage(Kind(ClassASPSM)<<8 | 9)), ErrUnsupportedType},
		{"parameter too long", badParam, ErrParameterField},
		{"DATA without data", encode(newMessage(DATA)), ErrMissingParameter},
		{"DATA too short", encode(newMessage(DATA).With(TagProtocolData, []byte{1, 2, 3})), ErrParameterField},
		{"DATA with another routing context", encode(otherContext.Message()), ErrInvalidRoutingContext},
		{"ASPAC with another routing context", encode(newMessage(ASPAC).WithUint32(TagRoutingContext, 77)), ErrInvalidRoutingContext},
		{"loadshare in an override AS", encode(newMessage(ASPAC).WithUint32(TagTrafficModeType, uint32(Loadshare))), ErrUnsupportedTrafficMode},
		{"traffic mode 9", encode(newMessage(ASPAC).WithUint32(TagTrafficModeType, 9)), ErrUnsupportedTrafficMode},
		{"DUNA without a point code", encode(newMessage(DUNA)), ErrMissingParameter},
	} {
		pair := newPair(Settings{Role: RoleASP, RoutingContext: 9, HasContext: true},
			Settings{Role: RoleSGP, RoutingContext: 9, HasContext: true, Mode: Override})
		pair.exchangeAll()
		pair.server.Indications()
		pair.server.Receive(0, testCase.input)
		reply, err := Decode(pair.server.Output())
		if err != nil || reply.Kind != ERR {
			t.Errorf("%s: answered with %v, %v", testCase.name, reply, err)
			continue
		}
		if code, _ := reply.Uint32(TagErrorCode); ErrorCode(code) != testCase.want {
			t.Errorf("%s: error code 0x%02x, want 0x%02x", testCase.name, code, uint32(testCase.want))
		}
		if pair.server.State() != Active {
			t.Errorf("%s: association is %v", testCase.name, pair.server.State())
		}
	}
}

func TestDataBeforeActive(t *testing.T) {
	assoc := NewAssoc(Settings{Role: RoleSGP})
	assoc.Connected(0)
	assoc.Receive(0, sampleData.Message().Append(nil))
	reply, err := Decode(assoc.Output())
	if code, _ := reply.Uint32(TagErrorCode); err != nil || ErrorCode(code) != ErrUnexpectedMessage {
		t.Errorf("%v, %v", reply, err)
	}
	assoc.Receive(0, (&Message{Kind: ERR}).WithUint32(TagErrorCode, 99).Append(nil))
	if out := assoc.Output(); len(out) > 0 {
		t.Errorf("ERR was answered with %x", out)
	}
}

func TestBadLengthCloses(t *testing.T) {
	assoc := NewAssoc(Settings{Role: RoleSGP})
	assoc.Connected(0)
	assoc.Indications()
	assoc.Receive(0, []byte{1, 0, 3, 1, 0x80, 0, 0, 0})
	if k := kinds(assoc.Indications()); len(k) != 2 || k[0] != IndFault || k[1] != IndClose {
		t.Errorf("indications %v", k)
	}
}

func TestIdentify(t *testing.T) {
	aspUp := (&Message{Kind: ASPUP}).WithUint32(TagASPID, 42).Append(nil)
	if id, err := Identify(aspUp); err != nil || id != 42 {
		t.Errorf("%d, %v", id, err)
	}
	var fault *Fault
	if _, err := Identify((&Message{Kind: ASPUP}).Append(nil)); !errors.As(err, &fault) || fault.Code != ErrIDRequired {
		t.Errorf("without an identifier: %v", err)
	}
	if _, err := Identify((&Message{Kind: ASPAC}).Append(nil)); !errors.As(err, &fault) || fault.Code != ErrUnexpectedMessage {
		t.Errorf("ASPAC first: %v", err)
	}
}

func FuzzAssoc(f *testing.F) {
	f.Add(sampleData.Message().Append((&Message{Kind: ASPAC}).Append((&Message{Kind: ASPUP}).Append(nil))))
	f.Add([]byte{1, 0, 3, 1, 0x80, 0, 0, 0})
	f.Add(sampleData.Message().Append(nil))
	f.Add((&Message{Kind: DUNA}).WithUint32(TagAffectedPointCode, 5).Append((&Message{Kind: ASPUP}).Append(nil)))
	f.Fuzz(func(t *testing.T, input []byte) {
		for _, role := range []Role{RoleASP, RoleSGP, RoleIPSPClient, RoleIPSPServer} {
			assoc := NewAssoc(Settings{Role: role})
			assoc.Connected(0)
			assoc.Receive(0, input)
			for _, indication := range assoc.Indications() {
				if indication.Kind == IndNetworkManagement {
					AffectedPointCodes(indication.Message)
				}
			}
			assoc.Tick(time.Minute)
			output := assoc.Output()
			framer := Framer{Max: 1 << 20}
			framer.Write(output)
			for {
				message, err := framer.Next()
				if err != nil {
					t.Fatalf("output cannot be split into messages: %x", output)
				}
				if message == nil {
					break
				}
				if _, err := Decode(message); err != nil {
					t.Fatalf("output cannot be decoded: %v", err)
				}
			}
		}
		if plain, ok := parsePlainData(input); ok { // must agree with Decode and ReadProtocolData
			message, err := Decode(input)
			if err != nil {
				t.Fatalf("%x: accepted by parsePlainData, Decode: %v", input, err)
			}
			decoded, err := ReadProtocolData(message)
			if err != nil || plain.OPC != decoded.OPC || plain.DPC != decoded.DPC ||
				plain.HasContext != decoded.HasContext || plain.RoutingContext != decoded.RoutingContext ||
				plain.SLS != decoded.SLS || !bytes.Equal(plain.Data, decoded.Data) {
				t.Fatalf("%+v and %+v, %v", plain, decoded, err)
			}
		}
		_, _ = Identify(input)
	})
}

func BenchmarkDecodeDATA(b *testing.B) {
	raw := sampleData.Message().Append(nil)
	b.ReportAllocs()
	for b.Loop() {
		message, err := Decode(raw)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ReadProtocolData(message); err != nil {
			b.Fatal(err)
		}
	}
}
