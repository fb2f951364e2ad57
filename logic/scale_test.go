package logic

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// idle is a Host that does nothing but remember what was sent.
type idle struct {
	Host
	out []uint64
}

func (h *idle) Send(call uint64, office string, timeout time.Duration) { h.out = append(h.out, call) }
func (h *idle) Refuse(uint64, time.Duration)                           {}
func (h *idle) Fail(uint64)                                            {}
func (h *idle) Cancel(uint64, int)                                     {}
func (h *idle) Timer(time.Duration, string)                            {}
func (h *idle) Log(string)                                             {}

// mesh is a Controller in a fleet of n exchanges with groups of three circuits, a third of them full.
func mesh(n int) (*Controller, *idle) {
	h, s := &idle{}, testSettings()
	s.Host, s.Instances = h, n
	c, err := New(s, 1)
	if err != nil {
		panic(err)
	}
	var list []Office
	for x := 0; x < n; x++ {
		list = append(list, Office{ID: fmt.Sprint("o", x), Exchange: x})
	}
	c.List(time.Second, ListRestored, list)
	for x := 1; x < n; x++ {
		c.Report(time.Second, Report{Office: list[x].ID, OK: true, Load: []float64{float64(x % 3), 3, -1}})
	}
	return c, h
}

// BenchmarkCall is a call offered, sent or refused, and its end, in fleets of several sizes.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, h := mesh(n)
			rng, now := rand.New(rand.NewSource(1)), 2*time.Second
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				now += 20 * time.Millisecond
				id := uint64(i + 1)
				c.Offered(now, Call{ID: id, Dest: 1 + rng.Intn(n-1), Via: -1, TimeLeft: 3 * time.Second, Number: fmt.Sprint(i % 5000)})
				for _, out := range h.out {
					if k := c.calls[out]; k != nil {
						c.Stands(now, Outcome{Call: out, Attempt: k.attempts - 1, Office: k.office, Took: 40 * time.Millisecond})
						c.Outcome(now, Outcome{Call: out, Attempt: k.attempts - 1, Office: k.office, Status: Ended, Over: true,
							Load: []float64{float64(k.at.number % 3), 3, -1}})
					}
				}
				h.out = h.out[:0]
				c.Timer(now, fmt.Sprint("c", id))
			}
		})
	}
}
