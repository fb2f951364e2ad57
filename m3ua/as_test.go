package m3ua

import (
	"encoding/binary"
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestOverrideTakesOver(t *testing.T) {
	as := NewAS(ASSettings{Mode: Override, ASPs: 2, Recovery: time.Second})
	as.Update(0, 0, Inactive)
	as.Update(0, 1, Inactive)
	as.Update(0, 0, Active)
	as.Events()
	as.Update(0, 1, Active) // both active, by mistake or on purpose: the newer one receives the traffic
	if events := as.Events(); !reflect.DeepEqual(events, []ASEvent{{Kind: ASOverridden, ASP: 0}}) || as.ASPState(0) != Inactive {
		t.Errorf("%+v, ASP 0 is %v", events, as.ASPState(0))
	}
	if got := as.Route(5); !slices.Equal(got, []int{1}) || as.State() != ASActive {
		t.Errorf("traffic is routed to %v in %v", got, as.State())
	}
}

func TestPendingAndRecovery(t *testing.T) {
	as := NewAS(ASSettings{ASPs: 2, Recovery: 2 * time.Second})
	as.Update(0, 0, Active)
	as.Update(time.Second, 0, Closed)
	if deadline, ok := as.Deadline(); as.State() != ASPending || !ok || deadline != 3*time.Second || as.Route(1) != nil {
		t.Fatalf("%v, T(r) %v %v", as.State(), deadline, ok)
	}
	as.Tick(3*time.Second - 1)
	as.Update(3*time.Second-1, 1, Inactive)
	if as.State() != ASPending {
		t.Errorf("%v before T(r)", as.State())
	}
	as.Update(3*time.Second-1, 1, Active)
	if as.State() != ASActive || !slices.Equal(as.Route(1), []int{1}) {
		t.Errorf("after the takeover: %v, %v", as.State(), as.Route(1))
	}
	as.Update(4*time.Second, 1, Closed)
	as.Tick(6 * time.Second)
	if as.State() != ASDown {
		t.Errorf("after T(r): %v", as.State())
	}
}

func TestLoadshareAndMinActiveASPs(t *testing.T) {
	as := NewAS(ASSettings{Mode: Loadshare, ASPs: 3, MinActiveASPs: 2, Recovery: time.Second})
	as.Update(0, 0, Active)
	if as.State() == ASActive {
		t.Error("AS is active with one of two needed ASPs")
	}
	as.Update(0, 1, Active)
	as.Update(0, 2, Active)
	callsByASP := map[int]int{}
	for call := range 300 {
		first := as.Route(call)[0]
		callsByASP[first]++
		if again := as.Route(call)[0]; again != first {
			t.Fatalf("call %d moves from ASP %d to ASP %d", call, first, again)
		}
	}
	if callsByASP[0] != 100 || callsByASP[1] != 100 || callsByASP[2] != 100 {
		t.Errorf("calls by ASP %v, want 100 each", callsByASP)
	}
	as.Events()
	as.Update(0, 1, Closed)
	if len(as.Events()) != 0 {
		t.Error("event although two of two needed ASPs are active")
	}
	as.Update(0, 2, Closed)
	if events := as.Events(); len(events) != 1 || events[0].Kind != ASInsufficient || as.State() != ASActive {
		t.Errorf("one of two: %+v, %v", events, as.State())
	}
}

func TestBroadcastReachesAll(t *testing.T) {
	as := NewAS(ASSettings{Mode: Broadcast, ASPs: 2})
	as.Update(0, 0, Active)
	as.Update(0, 1, Active)
	if got := as.Route(7); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("%v", got)
	}
}

func TestOverriddenASPIsNotified(t *testing.T) {
	pair := newPair(Settings{Role: RoleASP}, Settings{Role: RoleSGP})
	pair.exchangeAll()
	pair.client.Indications()
	pair.server.NotifyAS(ASActive)
	pair.server.Overridden()
	pair.exchangeAll()
	var statuses []uint32
	for _, indication := range pair.client.Indications() {
		if indication.Kind == IndManagement && indication.Message.Kind == NTFY {
			status, _ := indication.Message.Uint32(TagStatus)
			statuses = append(statuses, status)
		}
	}
	want := []uint32{statusTypeASStateChange<<16 | statusInfoASActive, statusTypeOther<<16 | statusInfoAlternateASPActive}
	if !slices.Equal(statuses, want) || pair.server.State() != Inactive {
		t.Errorf("notified of %x, want %x; state %v", statuses, want, pair.server.State())
	}
	if err := pair.server.Send(sampleData); err == nil {
		t.Error("traffic was sent to an overridden ASP")
	}
}

// routingKey encodes a routing key from pairs of a Tag and a uint32.
func routingKey(pairs ...any) []byte { return appendUint32Params(nil, pairs...) }

func TestRegistration(t *testing.T) {
	gateway := Settings{Role: RoleSGP, RoutingContext: 9, HasContext: true, DestinationPointCode: 101, Mode: Loadshare}
	validKey := routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(101),
		TagTrafficModeType, uint32(Loadshare))
	serviceIndicators := binary.BigEndian.AppendUint16(nil, uint16(tagServiceIndicators))
	serviceIndicators = append(serviceIndicators, 0, 5, 3, 0, 0, 0) // SCCP only
	for _, testCase := range []struct {
		name string
		key  []byte
		want RegStatus
	}{
		{"valid", validKey, Registered},
		{"other destination", routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(77)), RegInvalidDPC},
		{"no destination", routingKey(tagLocalKeyIdentifier, uint32(3)), RegInvalidRoutingKey},
		{"no local key", routingKey(tagDestinationPointCode, uint32(101)), RegInvalidRoutingKey},
		{"other routing context", routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(101),
			TagRoutingContext, uint32(8)), RegKeyNotProvisioned},
		{"override", routingKey(tagLocalKeyIdentifier, uint32(3), tagDestinationPointCode, uint32(101),
			TagTrafficModeType, uint32(Override)), RegUnsupportedTrafficMode},
		{"other service", append(slices.Clone(validKey), serviceIndicators...), RegPermissionDenied},
		{"originating points", append(slices.Clone(validKey), routingKey(tagOriginatingPointCodes, uint32(5))...),
			RegUnsupportedParameter},
		{"truncated", validKey[:10], RegInvalidRoutingKey},
	} {
		pair := newPair(Settings{Role: RoleASP, RoutingContext: 9, HasContext: true}, gateway)
		pair.exchangeAll()
		pair.server.Receive(0, (&Message{Kind: REGREQ}).With(tagRoutingKey, testCase.key).Append(nil))
		message, err := Decode(pair.server.Output())
		if err != nil || message.Kind != REGRSP {
			t.Errorf("%s: %v, %v", testCase.name, message, err)
			continue
		}
		result, _ := message.Get(tagRegistrationResult)
		params, _ := parseParams(result)
		got := (&Message{Params: params})
		status, _ := got.Uint32(tagRegistrationStatus)
		context, _ := got.Uint32(TagRoutingContext)
		if RegStatus(status) != testCase.want || (context == 9) != (testCase.want == Registered) {
			t.Errorf("%s: status %d, context %d, want %d", testCase.name, status, context, testCase.want)
		}
	}
	pair := newPair(Settings{Role: RoleASP, RoutingContext: 9, HasContext: true}, gateway)
	pair.exchangeAll()
	deregister := func(context uint32) uint32 {
		pair.server.Receive(0, (&Message{Kind: DEREGREQ}).WithUint32(TagRoutingContext, context).Append(nil))
		message, _ := Decode(pair.server.Output())
		result, _ := message.Get(tagDeregistrationResult)
		params, _ := parseParams(result)
		status, _ := (&Message{Params: params}).Uint32(tagDeregistrationStatus)
		return status
	}
	if got := deregister(9); got != deregNotRegistered {
		t.Errorf("not registered: status %d", got)
	}
	pair.server.Receive(0, (&Message{Kind: REGREQ}).With(tagRoutingKey, validKey).Append(nil))
	pair.server.Output()
	if other, active := deregister(8), deregister(9); other != deregInvalidRoutingContext || active != deregASPActive {
		t.Errorf("other routing context: status %d, active: status %d", other, active)
	}
	pair.server.Receive(0, (&Message{Kind: ASPIA}).Append(nil))
	pair.server.Output()
	if got := deregister(9); got != deregistered {
		t.Errorf("inactive: status %d", got)
	}
}
