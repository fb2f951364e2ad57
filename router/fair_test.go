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
type crowd struct {
	r       *Router
	now     time.Duration
	rng     *rand.Rand
	far     *process
	clients []*process
	free    [][]uint16
	holding holds
	owner   map[uint16]standing // by circuit toward the exchange, of calls that were offered
	earned  []float64
	offered []float64
}

type standing struct {
	client int
	cic    uint16
}

type holdEnd struct {
	at time.Duration
	standing
}

type holds []holdEnd

func (h holds) Len() int           { return len(h) }
func (h holds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h holds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *holds) Push(x any)        { *h = append(*h, x.(holdEnd)) }
func (h *holds) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// newCrowd makes clients in front of a group of circuits. Together all clients are one for the shares where alone.
func newCrowd(t testing.TB, clients, circuits int, shares bool) *crowd {
	cfg := testConfig(0, 2, circuits)
	cfg.LogLevel = 12
	var many []uint16
	for c := uint16(1); len(many) < 400; c++ {
		if c%32 != 0 {
			many = append(many, c)
		}
	}
	cfg.Peers = cfg.Peers[:1]
	for i := range clients {
		cfg.Peers = append(cfg.Peers, Peer{Name: string(rune('A' + i)), Kind: PeerClient, PointCode: uint32(5000 + i), Circuits: many,
			ASPs: []m3ua.Settings{{Role: m3ua.RoleSGP, Beat: -1}}})
	}
	cfg.Classes[0].Hold, cfg.Classes[1].Hold = 3*time.Second, 3*time.Second
	cfg.NoShares = !shares
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	c := &crowd{r: r, now: time.Hour, rng: rand.New(rand.NewPCG(5, 5)), owner: map[uint16]standing{},
		earned: make([]float64, clients), offered: make([]float64, clients)}
	r.Start(c.now, nil)
	c.far = newProcess(&testing.T{}, r, &c.now, "b", 0, 102, m3ua.RoleIPSPServer)
	all := []*process{c.far}
	for i := range clients {
		p := newProcess(&testing.T{}, r, &c.now, string(rune('A'+i)), 0, uint32(5000+i), m3ua.RoleASP)
		c.clients, c.free = append(c.clients, p), append(c.free, append([]uint16(nil), many...))
		all = append(all, p)
	}
	for _, p := range all {
		p.up()
		pump(r, p)
	}
	return c
}

// play offers calls at rates for a while; worth counts in the second half.
func (c *crowd) play(rates []float64, length time.Duration) {
	total := 0.0
	for _, x := range rates {
		total += x
	}
	began := c.now
	next := c.now
	for c.now < began+length {
		if len(c.holding) > 0 && c.holding[0].at < next {
			e := heap.Pop(&c.holding).(holdEnd)
			c.move(e.at)
			c.clients[e.client].send(isup.NewRelease(e.cic, isup.ReleaseInfo{Cause: 16}))
			c.settle(began + length/2)
			continue
		}
		c.move(next)
		next += time.Duration(c.rng.ExpFloat64() / total * float64(time.Second))
		x, who := c.rng.Float64()*total, 0
		for ; x > rates[who]; who++ {
			x -= rates[who]
		}
		if len(c.free[who]) == 0 {
			continue
		}
		cic := c.free[who][0]
		c.free[who] = c.free[who][1:]
		if c.now > began+length/2 {
			c.offered[who]++
		}
		offer(&testing.T{}, c.clients[who], cic)
		c.settle(began + length/2)
	}
}

func (c *crowd) move(at time.Duration) {
	c.now = max(c.now, at)
	c.r.Advance(c.now)
}

// settle lets the far end answer and the clients take what they are told.
func (c *crowd) settle(count time.Duration) {
	for busy := true; busy; {
		busy = false
		pump(c.r, append([]*process{c.far}, c.clients...)...)
		for _, m := range c.far.got {
			switch busy = true; m.Type {
			case isup.IAM:
				c.far.send(isup.Simple(isup.ACM, m.CIC))
				c.far.send(isup.Simple(isup.ANM, m.CIC))
			case isup.REL:
				c.far.send(isup.Simple(isup.RLC, m.CIC))
			}
		}
		c.far.got = nil
		for i, p := range c.clients {
			for _, m := range p.got {
				switch busy = true; m.Type {
				case isup.ANM, isup.CON:
					if c.now > count {
						c.earned[i]++
					}
					heap.Push(&c.holding, holdEnd{c.now + time.Duration(c.rng.ExpFloat64()*float64(3*time.Second)), standing{i, m.CIC}})
				case isup.REL:
					p.send(isup.Simple(isup.RLC, m.CIC))
					c.free[i] = append(c.free[i], m.CIC)
				case isup.RLC:
					c.free[i] = append(c.free[i], m.CIC)
				}
			}
			p.got = nil
		}
	}
}

// parts are the shares of their calls that stood: of the first client, which floods, and of the others.
func (c *crowd) parts() (flood, others float64) {
	got, all := 0.0, 0.0
	for i := 1; i < len(c.clients); i++ {
		got, all = got+c.earned[i], all+c.offered[i]
	}
	return c.earned[0] / c.offered[0], got / all
}

// TestFairSharesInTheRouter: one client at ten times the part of each of the others, through the whole Router.
func TestFairSharesInTheRouter(t *testing.T) {
	rates := []float64{50, 5, 5, 5, 5} // 210 erlangs on 90 circuits
	with, without := newCrowd(t, 5, 90, true), newCrowd(t, 5, 90, false)
	with.play(rates, time.Minute)
	without.play(rates, time.Minute)
	_, a := with.parts()
	_, b := without.parts()
	if a < 0.8 || a < 1.8*b {
		t.Errorf("of the others' calls %.2f stood with shares, %.2f without", a, b)
	}
}

// BenchmarkFairness tells what part of the calls of four clients stands while a fifth offers ten times as much.
func BenchmarkFairness(b *testing.B) {
	for name, shares := range map[string]bool{"shares": true, "none": false} {
		b.Run(name, func(b *testing.B) {
			var flood, others float64
			for b.Loop() {
				c := newCrowd(b, 5, 90, shares)
				c.play([]float64{50, 5, 5, 5, 5}, 2*time.Minute)
				flood, others = c.parts()
			}
			b.ReportMetric(others, "others-stood")
			b.ReportMetric(flood, "flood-stood")
		})
	}
}
