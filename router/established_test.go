package router

import (
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// groupSize is the number of calls in one trunk group of a benchmark. The largest group has 3,968 circuits: 128 systems
// of 32 time slots, without time slots 0.
const groupSize = 3850

// newLargeRouter returns a Router with enough clients, exchanges and circuits for 100,000 calls.
func newLargeRouter(b *testing.B) (r *Router, now time.Duration, clients, exchanges []*process) {
	// The number of groups does not depend on the number of calls, because the Controller's work on a group grows with the
	// circuits of the group, busy or not.
	const groupCount = 26
	cfg := testConfig(0, groupCount+1, 1)
	cfg.LogLevel = slog.LevelError
	var circuits []uint16
	for cic := uint16(1); len(circuits) < groupSize+100; cic++ {
		if cic%32 != 0 { // time slot 0 of a 2,048 kbit/s system is no circuit
			circuits = append(circuits, cic)
		}
	}
	cfg.Peers = slices.DeleteFunc(cfg.Peers, func(peer Peer) bool { return peer.Kind == PeerClient })
	for i := range cfg.Peers {
		cfg.Peers[i].Circuits = circuits
	}
	for i := range cfg.Numbering { // equal length, so that no prefix begins with another one
		cfg.Numbering[i].Prefix = fmt.Sprintf("55%03d", cfg.Numbering[i].Exchange)
	}
	for group := range groupCount {
		cfg.Peers = append(cfg.Peers, Peer{Name: fmt.Sprintf("counters%d", group), Kind: PeerClient, PointCode: uint32(5000 + group),
			Circuits: circuits, ASPs: []m3ua.Settings{{Role: m3ua.RoleSGP, HeartbeatInterval: -1}}})
	}
	r, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now = time.Hour
	r.Start(now, nil)
	t := &testing.T{} // newProcess needs one, and a benchmark has none
	for group := range groupCount {
		exchanges = append(exchanges, newProcess(t, r, &now, exchangeName(group+1), 0, uint32(102+group), m3ua.RoleIPSPServer))
		clients = append(clients, newProcess(t, r, &now, fmt.Sprintf("counters%d", group), 0, uint32(5000+group), m3ua.RoleASP))
	}
	for _, process := range append(slices.Clone(clients), exchanges...) {
		process.connect()
		transferBytes(r, process)
	}
	return r, now, clients, exchanges
}

// BenchmarkEstablishedCalls measures a complete call through a Router with many established calls: its cost must not
// grow with their number. It also reports the bytes that an established call takes.
func BenchmarkEstablishedCalls(b *testing.B) {
	for _, calls := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(calls), func(b *testing.B) {
			r, now, clients, exchanges := newLargeRouter(b)
			before := heapInUse()
			for i := range calls {
				if i%16 == 0 { // let time pass between calls, so that the exchanges, which answer in turn, do not count as unresponsive
					now += time.Millisecond
					r.Advance(now)
				}
				g := i / groupSize
				setUpCall(b, r, now, clients[g], exchanges[g], r.cfg.Peers[len(exchanges)+1+g].Circuits[i%groupSize], false)
			}
			inProgress, unanswered := r.CallCounts()
			if inProgress != calls || unanswered != 0 {
				b.Fatalf("%d calls in progress, %d without an answer, want %d", inProgress, unanswered, calls)
			}
			bytesPerCall := float64(heapInUse()-before) / float64(calls)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				r.Advance(now)
				setUpCall(b, r, now, clients[0], exchanges[0], r.cfg.Peers[len(exchanges)+1].Circuits[groupSize+1], true)
			}
			b.ReportMetric(bytesPerCall, "B/held")
		})
	}
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// setUpCall sets up a call, and with release releases it again.
func setUpCall(b *testing.B, r *Router, now time.Duration, client, exchange *process, cic uint16, release bool) {
	frame := func(from *process, m *isup.Message) []byte {
		raw, err := m.Append(nil)
		if err != nil {
			b.Fatal(err)
		}
		return dataFrame(&endpoint{pointCode: from.pointCode, routerPointCode: 101}, raw)
	}
	number := fmt.Sprintf("55%03d1234", exchange.pointCode-102+2)
	setup, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
	if err != nil {
		b.Fatal(err)
	}
	r.Receive(now, client.linkID, frame(client, setup))
	outgoingCIC := uint16(0)
	for _, e := range r.Effects() {
		write, ok := e.(Write)
		if !ok || write.Link != exchange.linkID {
			continue
		}
		framer := m3ua.Framer{}
		framer.Write(write.Bytes)
		for raw, _ := framer.Next(); raw != nil; raw, _ = framer.Next() {
			m, _ := m3ua.Decode(raw)
			payload, _ := m3ua.ReadProtocolData(m)
			if message, err := isup.Decode(payload.Data); err == nil && message.Type == isup.IAM {
				outgoingCIC = message.CIC
			}
		}
	}
	if outgoingCIC == 0 {
		b.Fatalf("no set-up toward %d at %v", exchange.pointCode, now)
	}
	r.Receive(now, exchange.linkID, frame(exchange, isup.NewSimple(isup.ACM, outgoingCIC)))
	r.Receive(now, exchange.linkID, frame(exchange, isup.NewSimple(isup.ANM, outgoingCIC)))
	if release {
		r.Receive(now, client.linkID, frame(client, isup.NewRelease(cic, isup.ReleaseInfo{Cause: 16})))
		r.Receive(now, exchange.linkID, frame(exchange, isup.NewSimple(isup.RLC, outgoingCIC)))
	}
	r.Effects()
}

// BenchmarkLease measures a query whose lease expires unused. It also reports the bytes that a lease takes.
func BenchmarkLease(b *testing.B) {
	cfg := testConfig(0, 2, 3900)
	cfg.LogLevel = slog.LevelError
	cfg.ENUMClients = []ENUMClient{{Name: "dns", Client: "counters", Leases: 4000}}
	cfg.Routing, cfg.Lease, cfg.QueryTimeout = "99", 200*time.Millisecond, time.Second
	r, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	r.Start(now, nil)
	// newProcess needs a *testing.T, and a benchmark has none.
	exchange := newProcess(&testing.T{}, r, &now, "b", 0, 102, m3ua.RoleIPSPServer)
	exchange.connect()
	transferBytes(r, exchange)
	before := heapInUse()
	const leases = 3000
	for i := range leases {
		r.Query(now, uint64(i), "dns", fmt.Sprintf("552%05d", i))
	}
	r.Effects()
	if len(r.leasedCalls) != leases {
		b.Fatalf("%d leases", len(r.leasedCalls))
	}
	bytesPerLease := float64(heapInUse()-before) / leases
	now += time.Second
	r.Advance(now)
	r.Effects()
	b.ReportAllocs()
	for b.Loop() {
		now += 300 * time.Millisecond
		r.Advance(now)
		r.Query(now, 1, "dns", "55200001")
		r.Effects()
	}
	b.ReportMetric(bytesPerLease, "B/lease")
}
