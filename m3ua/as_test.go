package m3ua

import (
	"encoding/binary"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestOverrideTakesOver(t *testing.T) {
	a := NewAS(ASSettings{Mode: Override, ASPs: 2, Recovery: time.Second})
	a.Update(0, 0, Inactive)
	a.Update(0, 1, Inactive)
	a.Update(0, 0, Active)
	a.Events()
	a.Update(0, 1, Active) // both active, by mistake or on purpose: the newer one receives the traffic
	if events := a.Events(); !reflect.DeepEqual(events, []ASEvent{{Kind: ASOverridden, ASP: 0}}) || a.ASP(0) != Inactive {
		t.Errorf("%+v, ASP 0 is %v", events, a.ASP(0))
	}
	if got := a.Route(5); !slices.Equal(got, []int{1}) || a.State() != ASActive {
		t.Errorf("traffic is routed to %v in %v", got, a.State())
	}
}

func TestPendingAndRecovery(t *testing.T) {
	a := NewAS(ASSettings{ASPs: 2, Recovery: 2 * time.Second})
	a.Update(0, 0, Active)
	a.Update(time.Second, 0, Closed)
	if deadline, ok := a.Deadline(); a.State() != ASPending || !ok || deadline != 3*time.Second || a.Route(1) != nil {
		t.Fatalf("%v, T(r) %v %v", a.State(), deadline, ok)
	}
	a.Tick(3*time.Second - 1)
	a.Update(3*time.Second-1, 1, Inactive)
	if a.State() != ASPending {
		t.Errorf("%v before T(r)", a.State())
	}
	a.Update(3*time.Second-1, 1, Active)
	if a.State() != ASActive || !slices.Equal(a.Route(1), []int{1}) {
		t.Errorf("after the takeover: %v, %v", a.State(), a.Route(1))
	}
	a.Update(4*time.Second, 1, Closed)
	a.Tick(6 * time.Second)
	if a.State() != ASDown {
		t.Errorf("after T(r): %v", a.State())
	}
}

func TestLoadshareKeepsCallsAndNeedsN(t *testing.T) {
	a := NewAS(ASSettings{Mode: Loadshare, ASPs: 3, Needed: 2, Recovery: time.Second})
	a.Update(0, 0, Active)
	if a.State() == ASActive {
		t.Error("AS is active with one of two needed ASPs")
	}
	a.Update(0, 1, Active)
	a.Update(0, 2, Active)
	callsByASP := map[int]int{}
	for call := range 300 {
		first := a.Route(call)[0]
		callsByASP[first]++
		if again := a.Route(call)[0]; again != first {
			t.Fatalf("call %d moves from ASP %d to ASP %d", call, first, again)
		}
	}
	if callsByASP[0] != 100 || callsByASP[1] != 100 || callsByASP[2] != 100 {
		t.Errorf("calls by ASP %v, want 100 each", callsByASP)
	}
	a.Events()
	a.Update(0, 1, Closed)
	if len(a.Events()) != 0 {
		t.Error("event although two of two needed ASPs are active")
	}
	a.Update(0, 2, Closed)
	if events := a.Events(); len(events) != 1 || events[0].Kind != ASShort || a.State() != ASActive {
		t.Errorf("one of two: %+v, %v", events, a.State())
	}
}

func TestBroadcastReachesAll(t *testing.T) {
	a := NewAS(ASSettings{Mode: Broadcast, ASPs: 2})
	a.Update(0, 0, Active)
	a.Update(0, 1, Active)
	if got := a.Route(7); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("%v", got)
	}
}

func TestOverriddenASPIsNotified(t *testing.T) {
	p := newPair(Settings{Role: RoleASP}, Settings{Role: RoleSGP})
	p.exchangeAll()
	p.client.Indications()
	p.server.NotifyAS(ASActive)
	p.server.Overridden()
	p.exchangeAll()
	var statuses []uint32
	for _, i := range p.client.Indications() {
		if i.Kind == IndPeer && i.Message.Kind == NTFY {
			status, _ := i.Message.Uint32(TagStatus)
			statuses = append(statuses, status)
		}
	}
	want := []uint32{statusTypeASStateChange<<16 | statusInfoASActive, statusTypeOther<<16 | statusInfoAlternateASPActive}
	if !slices.Equal(statuses, want) || p.server.State() != Inactive {
		t.Errorf("notified of %x, want %x; state %v", statuses, want, p.server.State())
	}
	if err := p.server.Send(sampleData); err == nil {
		t.Error("traffic was sent to an overridden ASP")
	}
}

// routingKey encodes a routing key from pairs of a Tag and a uint32.
func routingKey(pairs ...any) []byte { return appendUint32Params(nil, pairs...) }

func TestRegistration(t *testing.T) {
	gateway := Settings{Role: RoleSGP, RoutingContext: 9, HasContext: true, Key: 101, Mode: Loadshare}
	validKey := routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(101),
		TagTrafficModeType, uint32(Loadshare))
	serviceIndicators := binary.BigEndian.AppendUint16(nil, uint16(tagServiceIndicators))
	serviceIndicators = append(serviceIndicators, 0, 5, 3, 0, 0, 0) // SCCP only
	for _, c := range []struct {
		name string
		key  []byte
		want RegStatus
	}{
		{"valid", validKey, Registered},
		{"other destination", routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(77)), RegInvalidDPC},
		{"no destination", routingKey(tagLocalKeyIdentifier, uint32(3)), RegInvalidRoutingKey},
		{"no local key", routingKey(tagDestinationPointCode, uint32(101)), RegInvalidRoutingKey},
		{"foreign context", routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(101),
			TagRoutingContext, uint32(8)), RegKeyNotProvisioned},
		{"override", routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(101),
			TagTrafficModeType, uint32(Override)), RegUnsupportedTrafficMode},
		{"other service", append(slices.Clone(validKey), serviceIndicators...), RegPermissionDenied},
		{"originating points", append(slices.Clone(validKey), routingKey(tagOriginatingPointCodes, uint32(5))...),
			RegUnsupportedParameter},
		{"truncated", validKey[:10], RegInvalidRoutingKey},
	} {
		p := newPair(Settings{Role: RoleASP, RoutingContext: 9, HasContext: true}, gateway)
		p.exchangeAll()
		p.server.Receive(0, (&Message{Kind: REGREQ}).With(tagRoutingKey, c.key).Append(nil))
		message, err := Decode(p.server.Output())
		if err != nil || message.Kind != REGRSP {
			t.Errorf("%s: %v, %v", c.name, message, err)
			continue
		}
		result, _ := message.Get(tagRegistrationResult)
		params, _ := parseParams(result)
		got := (&Message{Params: params})
		status, _ := got.Uint32(tagRegistrationStatus)
		context, _ := got.Uint32(TagRoutingContext)
		if RegStatus(status) != c.want || (context == 9) != (c.want == Registered) {
			t.Errorf("%s: status %d, context %d, want %d", c.name, status, context, c.want)
		}
	}
	p := newPair(Settings{Role: RoleASP, RoutingContext: 9, HasContext: true}, gateway)
	p.exchangeAll()
	deregister := func(context uint32) uint32 {
		p.server.Receive(0, (&Message{Kind: DEREGREQ}).WithUint32(TagRoutingContext, context).Append(nil))
		message, _ := Decode(p.server.Output())
		result, _ := message.Get(tagDeregistrationResult)
		params, _ := parseParams(result)
		status, _ := (&Message{Params: params}).Uint32(tagDeregistrationStatus)
		return status
	}
	if got := deregister(9); got != deregNotRegistered {
		t.Errorf("not registered: status %d", got)
	}
	p.server.Receive(0, (&Message{Kind: REGREQ}).With(tagRoutingKey, validKey).Append(nil))
	p.server.Output()
	if foreign, active := deregister(8), deregister(9); foreign != deregInvalidRoutingContext || active != deregASPActive {
		t.Errorf("foreign context: status %d, active: status %d", foreign, active)
	}
	p.server.Receive(0, (&Message{Kind: ASPIA}).Append(nil))
	p.server.Output()
	if got := deregister(9); got != deregistered {
		t.Errorf("inactive: status %d", got)
	}
}
