package router

import (
	"log/slog"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
	"finchlatch/measure"
)

// dataFrame returns a DATA message from an endpoint with an ISUP message as its payload.
func dataFrame(end *endpoint, payload []byte) []byte {
	p := m3ua.ProtocolData{OPC: end.pointCode, DPC: end.routerPointCode, SI: m3ua.ServiceISUP, NI: 2, Data: payload}
	return p.Message().Append(nil)
}

// BenchmarkCall measures a complete call through one Router without sockets: IAM in and out, ACM, ANM, REL and both
// RLCs, with codec, circuits, timers and the Controller; once plain, and once with a Meter around the Controller.
func BenchmarkCall(b *testing.B) {
	b.Run("plain", func(b *testing.B) { benchmarkCall(b, testConfig(0, 2, 16)) })
	b.Run("measured", func(b *testing.B) {
		cfg := testConfig(0, 2, 16)
		cfg.Meter = measure.New(measure.Settings{Home: 1, Classes: cfg.LogicClasses()}, time.Hour, time.Unix(0, 0))
		benchmarkCall(b, cfg)
	})
}

func benchmarkCall(b *testing.B, cfg Config) {
	cfg.LogLevel = slog.LevelInfo
	r, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	r.Start(now, nil)
	exchange, counters := &endpoint{pointCode: 102, routerPointCode: 101}, &endpoint{pointCode: 2001, routerPointCode: 101}
	to, _ := r.Link("b", 0)
	from, _ := r.Link("counters", 0)
	receive := func(id LinkID, frames ...[]byte) {
		for _, f := range frames {
			r.Receive(now, id, f)
		}
	}
	for _, id := range []LinkID{to, from} {
		r.Connected(now, id)
		receive(id, (&m3ua.Message{Kind: m3ua.ASPUPACK}).Append(nil), (&m3ua.Message{Kind: m3ua.ASPUP}).Append(nil),
			(&m3ua.Message{Kind: m3ua.ASPACACK}).Append(nil), (&m3ua.Message{Kind: m3ua.ASPAC}).Append(nil))
	}
	frame := func(end *endpoint, m *isup.Message) []byte {
		raw, err := m.Append(nil)
		if err != nil {
			b.Fatal(err)
		}
		return dataFrame(end, raw)
	}
	receive(to, frame(exchange, isup.NewGroup(isup.GRA, 1, 0, isup.Range{Range: 15})))
	receive(from, frame(counters, isup.NewGroup(isup.GRA, 1, 0, isup.Range{Range: 30})))
	if g := r.Groups()[to]; g.Spare != 16 {
		b.Fatalf("group %+v", g)
	}
	setup, _ := isup.NewSetup(1, isup.Setup{Called: isup.Number{Digits: "5521234", Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
	iam := frame(counters, setup)
	acm, anm, rlc := frame(exchange, isup.NewSimple(isup.ACM, 1)), frame(exchange, isup.NewSimple(isup.ANM, 1)), frame(exchange, isup.NewSimple(isup.RLC, 1))
	rel := frame(counters, isup.NewRelease(1, isup.ReleaseInfo{Cause: 16}))
	r.Effects()
	b.ReportAllocs()
	established := 0
	for b.Loop() {
		now += time.Millisecond
		r.Advance(now)
		receive(from, iam)
		receive(to, acm, anm)
		receive(from, rel)
		receive(to, rlc)
		for _, e := range r.Effects() {
			if a, ok := e.(Answer); ok && a.Result == Established {
				established++
			}
		}
	}
	if established != b.N {
		b.Fatalf("%d of %d calls were established", established, b.N)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
