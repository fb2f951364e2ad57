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
	a.Update(0, 1, Active) // both active, by mistake or on purpose: the newer one has the traffic
	if ev := a.Events(); !reflect.DeepEqual(ev, []ASEvent{{Kind: ASOverridden, ASP: 0}}) || a.ASP(0) != Inactive {
		t.Errorf("%+v, ASP 0 is %v", ev, a.ASP(0))
	}
	if got := a.Route(5); !slices.Equal(got, []int{1}) || a.State() != ASActive {
		t.Errorf("traffic goes to %v in %v", got, a.State())
	}
}

func TestPendingAndRecovery(t *testing.T) {
	a := NewAS(ASSettings{ASPs: 2, Recovery: 2 * time.Second})
	a.Update(0, 0, Active)
	a.Update(time.Second, 0, Closed)
	if at, ok := a.Deadline(); a.State() != ASPending || !ok || at != 3*time.Second || a.Route(1) != nil {
		t.Fatalf("%v, T(r) %v %v", a.State(), at, ok)
	}
	a.Tick(3*time.Second - 1)
	a.Update(3*time.Second-1, 1, Inactive)
	if a.State() != ASPending {
		t.Errorf("%v before T(r)", a.State())
	}
	a.Update(3*time.Second-1, 1, Active)
	if a.State() != ASActive || !slices.Equal(a.Route(1), []int{1}) {
		t.Errorf("taken over: %v, %v", a.State(), a.Route(1))
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
		t.Error("active with one of two")
	}
	a.Update(0, 1, Active)
	a.Update(0, 2, Active)
	seen := map[int]int{}
	for call := range 300 {
		first := a.Route(call)[0]
		seen[first]++
		if again := a.Route(call)[0]; again != first {
			t.Fatalf("call %d moves from %d to %d", call, first, again)
		}
	}
	if seen[0] != 100 || seen[1] != 100 || seen[2] != 100 {
		t.Errorf("shares %v", seen)
	}
	a.Events()
	a.Update(0, 1, Closed)
	if len(a.Events()) != 0 {
		t.Error("two of two are called too few")
	}
	a.Update(0, 2, Closed)
	if ev := a.Events(); len(ev) != 1 || ev[0].Kind != ASShort || a.State() != ASActive {
		t.Errorf("one of two: %+v, %v", ev, a.State())
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

func TestOverriddenASPIsTold(t *testing.T) {
	p := newPair(Settings{Role: RoleASP}, Settings{Role: RoleSGP})
	p.settle()
	p.a.Indications()
	p.b.NotifyAS(ASActive)
	p.b.Overridden()
	p.settle()
	var told []uint32
	for _, i := range p.a.Indications() {
		if i.Kind == IndPeer && i.Message.Kind == NTFY {
			v, _ := i.Message.Uint32(TagStatus)
			told = append(told, v)
		}
	}
	want := []uint32{statusAS<<16 | asActive, statusOther<<16 | otherTaken}
	if !slices.Equal(told, want) || p.b.State() != Inactive {
		t.Errorf("told %x, want %x; %v", told, want, p.b.State())
	}
	if err := p.b.Send(data); err == nil {
		t.Error("traffic to an ASP that was overridden")
	}
}

// routingKey makes a key from pairs of tag and value.
func routingKey(pairs ...any) []byte { return appendUint32s(nil, pairs...) }

func TestRegistration(t *testing.T) {
	gateway := Settings{Role: RoleSGP, RoutingContext: 9, HasContext: true, Key: 101, Mode: Loadshare}
	good := routingKey(tagLocalKey, uint32(3), tagDestination, uint32(101), TagTrafficMode, uint32(Loadshare))
	service := binary.BigEndian.AppendUint16(nil, uint16(tagService))
	service = append(service, 0, 5, 3, 0, 0, 0) // SCCP only
	for _, c := range []struct {
		name string
		key  []byte
		want RegStatus
	}{
		{"good", good, Registered},
		{"other destination", routingKey(tagLocalKey, uint32(3), tagDestination, uint32(77)), RegInvalidDPC},
		{"no destination", routingKey(tagLocalKey, uint32(3)), RegInvalidKey},
		{"no local key", routingKey(tagDestination, uint32(101)), RegInvalidKey},
		{"foreign context", routingKey(tagLocalKey, uint32(3), tagDestination, uint32(101), TagRoutingContext, uint32(8)), RegNotProvisioned},
		{"override", routingKey(tagLocalKey, uint32(3), tagDestination, uint32(101), TagTrafficMode, uint32(Override)), RegTrafficMode},
		{"other service", append(slices.Clone(good), service...), RegDenied},
		{"originating points", append(slices.Clone(good), routingKey(tagOPCs, uint32(5))...), RegUnsupportedPart},
		{"cut short", good[:10], RegInvalidKey},
	} {
		p := newPair(Settings{Role: RoleASP, RoutingContext: 9, HasContext: true}, gateway)
		p.settle()
		p.b.Receive(0, (&Message{Kind: REGREQ}).With(tagRoutingKey, c.key).Append(nil))
		m, err := Decode(p.b.Output())
		if err != nil || m.Kind != REGRSP {
			t.Errorf("%s: %v, %v", c.name, m, err)
			continue
		}
		result, _ := m.Get(tagRegResult)
		parts, _ := parseParams(result)
		got := (&Message{Params: parts})
		status, _ := got.Uint32(tagRegStatus)
		context, _ := got.Uint32(TagRoutingContext)
		if RegStatus(status) != c.want || (context == 9) != (c.want == Registered) {
			t.Errorf("%s: status %d, context %d, want %d", c.name, status, context, c.want)
		}
	}
	p := newPair(Settings{Role: RoleASP, RoutingContext: 9, HasContext: true}, gateway)
	p.settle()
	dereg := func(context uint32) uint32 {
		p.b.Receive(0, (&Message{Kind: DEREGREQ}).WithUint32(TagRoutingContext, context).Append(nil))
		m, _ := Decode(p.b.Output())
		result, _ := m.Get(tagDeregResult)
		parts, _ := parseParams(result)
		status, _ := (&Message{Params: parts}).Uint32(tagDeregStatus)
		return status
	}
	if got := dereg(9); got != deregNotRegistered {
		t.Errorf("never registered: %d", got)
	}
	p.b.Receive(0, (&Message{Kind: REGREQ}).With(tagRoutingKey, good).Append(nil))
	p.b.Output()
	if a, b := dereg(8), dereg(9); a != deregInvalid || b != deregStillActive {
		t.Errorf("foreign %d, active %d", a, b)
	}
	p.b.Receive(0, (&Message{Kind: ASPIA}).Append(nil))
	p.b.Output()
	if got := dereg(9); got != deregistered {
		t.Errorf("inactive: %d", got)
	}
}
