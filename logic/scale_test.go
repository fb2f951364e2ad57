package logic

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// sendRecorder is a Host that only records which calls were sent.
type sendRecorder struct {
	Host
	sent []uint64
}

func (h *sendRecorder) Send(call uint64, office string, timeout time.Duration) {
	h.sent = append(h.sent, call)
}
func (h *sendRecorder) Refuse(uint64, time.Duration) {}
func (h *sendRecorder) Fail(uint64)                  {}
func (h *sendRecorder) Cancel(uint64, int)           {}
func (h *sendRecorder) Timer(time.Duration, string)  {}
func (h *sendRecorder) Log(string)                   {}

// newMesh makes a Controller in a fleet of fully meshed exchanges with groups of three circuits, a third of them full.
func newMesh(exchanges int) (*Controller, *sendRecorder) {
	host, settings := &sendRecorder{}, testSettings()
	settings.Host, settings.Instances = host, exchanges
	c, err := New(settings, 1)
	if err != nil {
		panic(err)
	}
	var list []Office
	for number := 0; number < exchanges; number++ {
		list = append(list, Office{ID: fmt.Sprint("o", number), Exchange: number})
	}
	c.UpdateOffices(time.Second, ListRestored, list)
	for number := 1; number < exchanges; number++ {
		c.Report(time.Second, Report{Office: list[number].ID, OK: true, Load: []float64{float64(number % 3), 3, -1}})
	}
	return c, host
}

// BenchmarkCall measures a call that is offered, sent or refused, and ended, in fleets of several sizes.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, host := newMesh(n)
			rng, now := rand.New(rand.NewSource(1)), 2*time.Second
			b.ReportAllocs()
			for i := 0; i < b.N; i++ {
				now += 20 * time.Millisecond
				id := uint64(i + 1)
				c.Offered(now, Call{ID: id, Dest: 1 + rng.Intn(n-1), Via: -1, TimeLeft: 3 * time.Second, Number: fmt.Sprint(i % 5000)})
				for _, sentID := range host.sent {
					if call := c.calls[sentID]; call != nil {
						c.Established(now, Outcome{Call: sentID, Attempt: call.attempts - 1, Office: call.officeID, Elapsed: 40 * time.Millisecond})
						c.Outcome(now, Outcome{Call: sentID, Attempt: call.attempts - 1, Office: call.officeID, Status: Ended, Over: true,
							Load: []float64{float64(call.target.number % 3), 3, -1}})
					}
				}
				host.sent = host.sent[:0]
				c.Timer(now, fmt.Sprint("c", id))
			}
		})
	}
}
