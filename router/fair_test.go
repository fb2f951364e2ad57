package router

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// loadHarness runs a Router with several clients and one exchange with few circuits, in simulated time. Calls of the
// clients arrive at random, are answered at once and last for a random hold time.
type loadHarness struct {
	router         *Router
	now            time.Duration
	rng            *rand.Rand
	exchange       *process
	clients        []*process
	freeCircuits   [][]uint16 // of each client
	releases       releaseQueue
	callsByCircuit map[uint16]clientCall // calls offered to the exchange, by circuit
	established    []float64             // calls established, by client
	offered        []float64             // calls offered, by client
}

// clientCall identifies a call by its client and its circuit there.
type clientCall struct {
	client int
	cic    uint16
}

// scheduledRelease is the end of the hold time of a call.
type scheduledRelease struct {
	releaseAt time.Duration
	clientCall
}

// releaseQueue is a heap of releases, the earliest first.
type releaseQueue []scheduledRelease

func (q releaseQueue) Len() int           { return len(q) }
func (q releaseQueue) Less(i, j int) bool { return q[i].releaseAt < q[j].releaseAt }
func (q releaseQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *releaseQueue) Push(x any)        { *q = append(*q, x.(scheduledRelease)) }
func (q *releaseQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// logNothing is a level above those of all records.
const logNothing = 12

// newLoadHarness returns a Router with clients and a trunk group with circuits toward one exchange. Without shares the
// fair shares of clients are turned off.
func newLoadHarness(t testing.TB, clients, circuits int, shares bool) *loadHarness {
	cfg := testConfig(0, 2, circuits)
	cfg.LogLevel = logNothing
	var clientCircuits []uint16
	for cic := uint16(1); len(clientCircuits) < 400; cic++ {
		if cic%32 != 0 { // time slot 0 of a 2,048 kbit/s system is no circuit
			clientCircuits = append(clientCircuits, cic)
		}
	}
	cfg.Peers = cfg.Peers[:1]
	for i := range clients {
		cfg.Peers = append(cfg.Peers, Peer{Name: string(rune('A' + i)), Kind: PeerClient, PointCode: uint32(5000 + i), Circuits: clientCircuits,
			ASPs: []m3ua.Settings{{Role: m3ua.RoleSGP, HeartbeatInterval: -1}}})
	}
	cfg.Classes[0].Hold, cfg.Classes[1].Hold = 3*time.Second, 3*time.Second
	cfg.DisableShares = !shares
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &loadHarness{router: r, now: time.Hour, rng: rand.New(rand.NewPCG(5, 5)), callsByCircuit: map[uint16]clientCall{},
		established: make([]float64, clients), offered: make([]float64, clients)}
	r.Start(h.now, nil)
	// newProcess needs a *testing.T, and a benchmark has none.
	h.exchange = newProcess(&testing.T{}, r, &h.now, "b", 0, 102, m3ua.RoleIPSPServer)
	processes := []*process{h.exchange}
	for i := range clients {
		client := newProcess(&testing.T{}, r, &h.now, string(rune('A'+i)), 0, uint32(5000+i), m3ua.RoleASP)
		h.clients, h.freeCircuits = append(h.clients, client), append(h.freeCircuits, append([]uint16(nil), clientCircuits...))
		processes = append(processes, client)
	}
	for _, client := range processes {
		client.connect()
		transferBytes(r, client)
	}
	return h
}

// offerCalls offers calls at the given rates per client and second for a length of time. Only the second half counts in
// the results.
func (h *loadHarness) offerCalls(rates []float64, length time.Duration) {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	start := h.now
	nextOffer := h.now
	for h.now < start+length {
		if len(h.releases) > 0 && h.releases[0].releaseAt < nextOffer {
			release := heap.Pop(&h.releases).(scheduledRelease)
			h.advance(release.releaseAt)
			h.clients[release.client].send(isup.NewRelease(release.cic, isup.ReleaseInfo{Cause: 16}))
			h.processMessages(start + length/2)
			continue
		}
		h.advance(nextOffer)
		nextOffer += time.Duration(h.rng.ExpFloat64() / total * float64(time.Second))
		rate, client := h.rng.Float64()*total, 0
		for ; rate > rates[client]; client++ {
			rate -= rates[client]
		}
		if len(h.freeCircuits[client]) == 0 {
			continue
		}
		cic := h.freeCircuits[client][0]
		h.freeCircuits[client] = h.freeCircuits[client][1:]
		if h.now > start+length/2 {
			h.offered[client]++
		}
		sendSetup(&testing.T{}, h.clients[client], cic) // a benchmark has no *testing.T
		h.processMessages(start + length/2)
	}
}

// advance moves the time forward, and the Router with it.
func (h *loadHarness) advance(at time.Duration) {
	h.now = max(h.now, at)
	h.router.Advance(h.now)
}

// processMessages lets the exchange answer calls and the clients handle their messages until none is left. Calls
// established after countFrom are counted.
func (h *loadHarness) processMessages(countFrom time.Duration) {
	for busy := true; busy; {
		busy = false
		transferBytes(h.router, append([]*process{h.exchange}, h.clients...)...)
		for _, message := range h.exchange.received {
			switch busy = true; message.Type {
			case isup.IAM:
				h.exchange.send(isup.NewSimple(isup.ACM, message.CIC))
				h.exchange.send(isup.NewSimple(isup.ANM, message.CIC))
			case isup.REL:
				h.exchange.send(isup.NewSimple(isup.RLC, message.CIC))
			}
		}
		h.exchange.received = nil
		for clientIndex, client := range h.clients {
			for _, message := range client.received {
				switch busy = true; message.Type {
				case isup.ANM, isup.CON:
					if h.now > countFrom {
						h.established[clientIndex]++
					}
					heap.Push(&h.releases, scheduledRelease{h.now + time.Duration(h.rng.ExpFloat64()*float64(3*time.Second)), clientCall{clientIndex, message.CIC}})
				case isup.REL:
					client.send(isup.NewSimple(isup.RLC, message.CIC))
					h.freeCircuits[clientIndex] = append(h.freeCircuits[clientIndex], message.CIC)
				case isup.RLC:
					h.freeCircuits[clientIndex] = append(h.freeCircuits[clientIndex], message.CIC)
				}
			}
			client.received = nil
		}
	}
}

// successRates returns the share of the offered calls that were established: of the first client, which floods the
// Router, and of all others together.
func (h *loadHarness) successRates() (flood, others float64) {
	established, offered := 0.0, 0.0
	for i := 1; i < len(h.clients); i++ {
		established, offered = established+h.established[i], offered+h.offered[i]
	}
	return h.established[0] / h.offered[0], established / offered
}

// One client offers ten times as many calls as each of the others: fair shares must protect the others.
func TestFairSharesInTheRouter(t *testing.T) {
	rates := []float64{50, 5, 5, 5, 5} // 210 erlangs on 90 circuits
	withShares, withoutShares := newLoadHarness(t, 5, 90, true), newLoadHarness(t, 5, 90, false)
	withShares.offerCalls(rates, time.Minute)
	withoutShares.offerCalls(rates, time.Minute)
	_, othersWithShares := withShares.successRates()
	_, othersWithoutShares := withoutShares.successRates()
	if othersWithShares < 0.8 || othersWithShares < 1.8*othersWithoutShares {
		t.Errorf("success rate of the other clients: %.2f with shares, %.2f without", othersWithShares, othersWithoutShares)
	}
}

// BenchmarkFairness reports the share of the calls of four clients that are established while a fifth client offers ten
// times as many as each of them.
func BenchmarkFairness(b *testing.B) {
	for name, shares := range map[string]bool{"shares": true, "none": false} {
		b.Run(name, func(b *testing.B) {
			var flood, others float64
			for b.Loop() {
				h := newLoadHarness(b, 5, 90, shares)
				h.offerCalls([]float64{50, 5, 5, 5, 5}, 2*time.Minute)
				flood, others = h.successRates()
			}
			b.ReportMetric(others, "others-stood")
			b.ReportMetric(flood, "flood-stood")
		})
	}
}
