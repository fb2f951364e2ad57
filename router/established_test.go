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

// groupSize is a large group, out of 3,968 circuits: 128 systems less their time slots 0.
const groupSize = 3850

// manyCircuits is a Router with groups toward clients and exchanges for 100,000 calls.
func newLargeRouter(b *testing.B) (r *Router, now time.Duration, clients, exchanges []*process) {
	const groupCount = 26 // the same for all: the module's work on a group grows with its circuits, busy or not
	cfg := testConfig(0, groupCount+1, 1)
	cfg.LogLevel = slog.LevelError
	var cics []uint16
	for c := uint16(1); len(cics) < groupSize+100; c++ {
		if c%32 != 0 {
			cics = append(cics, c)
		}
	}
	cfg.Peers = slices.DeleteFunc(cfg.Peers, func(p Peer) bool { return p.Kind == PeerClient })
	for i := range cfg.Peers {
		cfg.Peers[i].Circuits = cics
	}
	for i := range cfg.Numbering { // of one length: none is the beginning of another
		cfg.Numbering[i].Prefix = fmt.Sprintf("55%03d", cfg.Numbering[i].Exchange)
	}
	for g := range groupCount {
		cfg.Peers = append(cfg.Peers, Peer{Name: fmt.Sprintf("counters%d", g), Kind: PeerClient, PointCode: uint32(5000 + g),
			Circuits: cics, ASPs: []m3ua.Settings{{Role: m3ua.RoleSGP, Beat: -1}}})
	}
	r, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now = time.Hour
	r.Start(now, nil)
	t := &testing.T{}
	for g := range groupCount {
		exchanges = append(exchanges, newProcess(t, r, &now, exchangeName(g+1), 0, uint32(102+g), m3ua.RoleIPSPServer))
		clients = append(clients, newProcess(t, r, &now, fmt.Sprintf("counters%d", g), 0, uint32(5000+g), m3ua.RoleASP))
	}
	for _, p := range append(slices.Clone(clients), exchanges...) {
		p.connect()
		exchangeBytes(r, p)
	}
	return r, now, clients, exchanges
}

// BenchmarkStanding is a whole call through a Router that holds others: its cost must not grow with them. It tells the
// bytes that a standing call takes too.
func BenchmarkEstablishedCalls(b *testing.B) {
	for _, calls := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(calls), func(b *testing.B) {
			r, now, clients, exchanges := newLargeRouter(b)
			before := heapInUse()
			for i := range calls {
				if i%16 == 0 { // at a pace that the exchanges follow: one after another they are not taken for silent
					now += time.Millisecond
					r.Advance(now)
				}
				g := i / groupSize
				setUpCall(b, r, now, clients[g], exchanges[g], r.cfg.Peers[len(exchanges)+1+g].Circuits[i%groupSize], false)
			}
			held, open := r.Held()
			if held != calls || open != 0 {
				b.Fatalf("%d calls held, %d without an answer, %d wanted", held, open, calls)
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

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// oneCall sets a call up, and takes it down again where that is asked for.
func setUpCall(b *testing.B, r *Router, now time.Duration, client, exchange *process, cic uint16, release bool) {
	frame := func(p *process, m *isup.Message) []byte {
		raw, err := m.Append(nil)
		if err != nil {
			b.Fatal(err)
		}
		return dataFrame(&endpoint{pointCode: p.pointCode, routerPointCode: 101}, raw)
	}
	number := fmt.Sprintf("55%03d1234", exchange.pointCode-102+2)
	setup, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: number, Nature: 3, Plan: 1}, Category: 10, Width: 1, Hops: -1})
	if err != nil {
		b.Fatal(err)
	}
	r.Receive(now, client.linkID, frame(client, setup))
	outgoingCIC := uint16(0)
	for _, e := range r.Effects() {
		w, ok := e.(Write)
		if !ok || w.Link != exchange.linkID {
			continue
		}
		f := m3ua.Framer{}
		f.Write(w.Bytes)
		for raw, _ := f.Next(); raw != nil; raw, _ = f.Next() {
			m, _ := m3ua.Decode(raw)
			d, _ := m3ua.ReadProtocolData(m)
			if i, err := isup.Decode(d.Data); err == nil && i.Type == isup.IAM {
				outgoingCIC = i.CIC
			}
		}
	}
	if outgoingCIC == 0 {
		b.Fatalf("no set-up toward %d at %v", exchange.pointCode, now)
	}
	r.Receive(now, exchange.linkID, frame(exchange, isup.Simple(isup.ACM, outgoingCIC)))
	r.Receive(now, exchange.linkID, frame(exchange, isup.Simple(isup.ANM, outgoingCIC)))
	if release {
		r.Receive(now, client.linkID, frame(client, isup.NewRelease(cic, isup.ReleaseInfo{Cause: 16})))
		r.Receive(now, exchange.linkID, frame(exchange, isup.Simple(isup.RLC, outgoingCIC)))
	}
	r.Effects()
}

// BenchmarkLease is a question, its lease and its end unused. It tells the bytes that a lease takes.
func BenchmarkLease(b *testing.B) {
	cfg := testConfig(0, 2, 3900)
	cfg.LogLevel = slog.LevelError
	cfg.Askers = []Asker{{Name: "dns", Client: "counters", Leases: 4000}}
	cfg.Routing, cfg.Lease, cfg.AskWithin = "99", 200*time.Millisecond, time.Second
	r, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	r.Start(now, nil)
	exchange := newProcess(&testing.T{}, r, &now, "b", 0, 102, m3ua.RoleIPSPServer)
	exchange.connect()
	exchangeBytes(r, exchange)
	before := heapInUse()
	const leases = 3000
	for i := range leases {
		r.Ask(now, uint64(i), "dns", fmt.Sprintf("552%05d", i))
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
		r.Ask(now, 1, "dns", "55200001")
		r.Effects()
	}
	b.ReportMetric(bytesPerLease, "B/lease")
}
