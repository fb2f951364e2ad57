package router

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// crowd is a Router with a few clients and one exchange with few circuits, in simulated time: calls of clients arrive at
// random, are answered at once and hold for a while.
type loadHarness struct {
	router         *Router
	now            time.Duration
	rng            *rand.Rand
	exchange       *process
	clients        []*process
	freeCircuits   [][]uint16
	releases       releaseQueue
	callsByCircuit map[uint16]clientCall // by circuit toward the exchange, of calls that were offered
	earned         []float64
	offered        []float64
}

type clientCall struct {
	client int
	cic    uint16
}

type scheduledRelease struct {
	releaseAt time.Duration
	clientCall
}

type releaseQueue []scheduledRelease

func (h releaseQueue) Len() int           { return len(h) }
func (h releaseQueue) Less(i, j int) bool { return h[i].releaseAt < h[j].releaseAt }
func (h releaseQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *releaseQueue) Push(x any)        { *h = append(*h, x.(scheduledRelease)) }
func (h *releaseQueue) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// newCrowd makes clients in front of a group of circuits. Together all clients are one for the shares where alone.
func newLoadHarness(t testing.TB, clients, circuits int, shares bool) *loadHarness {
	cfg := testConfig(0, 2, circuits)
	cfg.LogLevel = 12
	var clientCircuits []uint16
	for c := uint16(1); len(clientCircuits) < 400; c++ {
		if c%32 != 0 {
			clientCircuits = append(clientCircuits, c)
		}
	}
	cfg.Peers = cfg.Peers[:1]
	for i := range clients {
		cfg.Peers = append(cfg.Peers, Peer{Name: string(rune('A' + i)), Kind: PeerClient, PointCode: uint32(5000 + i), Circuits: clientCircuits,
			ASPs: []m3ua.Settings{{Role: m3ua.RoleSGP, Beat: -1}}})
	}
	cfg.Classes[0].Hold, cfg.Classes[1].Hold = 3*time.Second, 3*time.Second
	cfg.NoShares = !shares
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := &loadHarness{router: r, now: time.Hour, rng: rand.New(rand.NewPCG(5, 5)), callsByCircuit: map[uint16]clientCall{},
		earned: make([]float64, clients), offered: make([]float64, clients)}
	r.Start(c.now, nil)
	c.exchange = newProcess(&testing.T{}, r, &c.now, "b", 0, 102, m3ua.RoleIPSPServer)
	all := []*process{c.exchange}
	for i := range clients {
		client := newProcess(&testing.T{}, r, &c.now, string(rune('A'+i)), 0, uint32(5000+i), m3ua.RoleASP)
		c.clients, c.freeCircuits = append(c.clients, client), append(c.freeCircuits, append([]uint16(nil), clientCircuits...))
		all = append(all, client)
	}
	for _, client := range all {
		client.connect()
		exchangeBytes(r, client)
	}
	return c
}

// play offers calls at rates for a while; worth counts in the second half.
func (c *loadHarness) offerCalls(rates []float64, length time.Duration) {
	total := 0.0
	for _, x := range rates {
		total += x
	}
	start := c.now
	nextOffer := c.now
	for c.now < start+length {
		if len(c.releases) > 0 && c.releases[0].releaseAt < nextOffer {
			e := heap.Pop(&c.releases).(scheduledRelease)
			c.advance(e.releaseAt)
			c.clients[e.client].send(isup.NewRelease(e.cic, isup.ReleaseInfo{Cause: 16}))
			c.processMessages(start + length/2)
			continue
		}
		c.advance(nextOffer)
		nextOffer += time.Duration(c.rng.ExpFloat64() / total * float64(time.Second))
		x, client := c.rng.Float64()*total, 0
		for ; x > rates[client]; client++ {
			x -= rates[client]
		}
		if len(c.freeCircuits[client]) == 0 {
			continue
		}
		cic := c.freeCircuits[client][0]
		c.freeCircuits[client] = c.freeCircuits[client][1:]
		if c.now > start+length/2 {
			c.offered[client]++
		}
		sendSetup(&testing.T{}, c.clients[client], cic)
		c.processMessages(start + length/2)
	}
}

func (c *loadHarness) advance(at time.Duration) {
	c.now = max(c.now, at)
	c.router.Advance(c.now)
}

// settle lets the far end answer and the clients take what they are told.
func (c *loadHarness) processMessages(countFrom time.Duration) {
	for busy := true; busy; {
		busy = false
		exchangeBytes(c.router, append([]*process{c.exchange}, c.clients...)...)
		for _, m := range c.exchange.received {
			switch busy = true; m.Type {
			case isup.IAM:
				c.exchange.send(isup.Simple(isup.ACM, m.CIC))
				c.exchange.send(isup.Simple(isup.ANM, m.CIC))
			case isup.REL:
				c.exchange.send(isup.Simple(isup.RLC, m.CIC))
			}
		}
		c.exchange.received = nil
		for i, p := range c.clients {
			for _, m := range p.received {
				switch busy = true; m.Type {
				case isup.ANM, isup.CON:
					if c.now > countFrom {
						c.earned[i]++
					}
					heap.Push(&c.releases, scheduledRelease{c.now + time.Duration(c.rng.ExpFloat64()*float64(3*time.Second)), clientCall{i, m.CIC}})
				case isup.REL:
					p.send(isup.Simple(isup.RLC, m.CIC))
					c.freeCircuits[i] = append(c.freeCircuits[i], m.CIC)
				case isup.RLC:
					c.freeCircuits[i] = append(c.freeCircuits[i], m.CIC)
				}
			}
			p.received = nil
		}
	}
}

// parts are the shares of their calls that stood: of the first client, which floods, and of the others.
func (c *loadHarness) successRates() (flood, others float64) {
	earned, offered := 0.0, 0.0
	for i := 1; i < len(c.clients); i++ {
		earned, offered = earned+c.earned[i], offered+c.offered[i]
	}
	return c.earned[0] / c.offered[0], earned / offered
}

// TestFairSharesInTheRouter: one client at ten times the part of each of the others, through the whole Router.
func TestFairSharesInTheRouter(t *testing.T) {
	rates := []float64{50, 5, 5, 5, 5} // 210 erlangs on 90 circuits
	withShares, withoutShares := newLoadHarness(t, 5, 90, true), newLoadHarness(t, 5, 90, false)
	withShares.offerCalls(rates, time.Minute)
	withoutShares.offerCalls(rates, time.Minute)
	_, othersWithShares := withShares.successRates()
	_, othersWithoutShares := withoutShares.successRates()
	if othersWithShares < 0.8 || othersWithShares < 1.8*othersWithoutShares {
		t.Errorf("of the others' calls %.2f stood with shares, %.2f without", othersWithShares, othersWithoutShares)
	}
}

// BenchmarkFairness tells what part of the calls of four clients stands while a fifth offers ten times as much.
func BenchmarkFairness(b *testing.B) {
	for name, shares := range map[string]bool{"shares": true, "none": false} {
		b.Run(name, func(b *testing.B) {
			var flood, others float64
			for b.Loop() {
				c := newLoadHarness(b, 5, 90, shares)
				c.offerCalls([]float64{50, 5, 5, 5, 5}, 2*time.Minute)
				flood, others = c.successRates()
			}
			b.ReportMetric(others, "others-stood")
			b.ReportMetric(flood, "flood-stood")
		})
	}
}
