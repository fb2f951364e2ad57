package standin

import (
	"math/rand/v2"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// Subscribers are the lines of an exchange's own numbers: they ring and answer, or are busy. They reach their
// call server as an ASP.
type Subscribers struct {
	*Endpoint
	Ring  time.Duration  // from the set-up to the answer, on average
	Late  time.Duration  // added to it now
	Lines map[string]int // numbers with few lines; others have enough
	Fault float64        // share of calls that fail with a cause of signalling

	rng  *rand.Rand
	busy map[string]int
	call map[uint16]string // by circuit: the number called
}

// NewSubscribers makes the lines of an exchange.
func NewSubscribers(own, exchange uint32, ring time.Duration, seed uint64) *Subscribers {
	s := &Subscribers{Endpoint: &Endpoint{Own: own, Peer: exchange, Role: m3ua.RoleASP}, Ring: ring,
		Lines: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 7)), busy: map[string]int{}, call: map[uint16]string{}}
	s.OnMessage = s.take
	return s
}

func (s *Subscribers) take(e *Endpoint, m *isup.Message) {
	switch m.Type {
	case isup.IAM:
		s.ring(e, m)
	case isup.REL:
		s.free(m.CIC)
		_ = e.Send(isup.Simple(isup.RLC, m.CIC))
	case isup.GRS:
		if r, err := m.RangeStatus(); err == nil {
			for i := 0; i <= r.Range; i++ {
				s.free(m.CIC + uint16(i))
			}
			_ = e.Send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: r.Range}))
		}
	case isup.RSC:
		s.free(m.CIC)
		_ = e.Send(isup.Simple(isup.RLC, m.CIC))
	}
}

func (s *Subscribers) free(cic uint16) {
	if number, ok := s.call[cic]; ok {
		delete(s.call, cic)
		if s.busy[number]--; s.busy[number] <= 0 {
			delete(s.busy, number)
		}
	}
}

func (s *Subscribers) ring(e *Endpoint, m *isup.Message) {
	n, err := m.CalledNumber()
	if err != nil {
		return
	}
	lines, thin := s.Lines[n.Digits]
	switch {
	case thin && s.busy[n.Digits] >= lines:
		_ = e.Send(isup.NewRelease(m.CIC, isup.ReleaseInfo{Cause: isup.CauseUserBusy}))
		return
	case s.rng.Float64() < s.Fault:
		_ = e.Send(isup.NewRelease(m.CIC, isup.ReleaseInfo{Cause: isup.CauseNetworkOutOfOrder, Location: isup.LocationRemote}))
		return
	}
	s.free(m.CIC)
	s.busy[n.Digits]++
	s.call[m.CIC] = n.Digits
	_ = e.Send(isup.Simple(isup.ACM, m.CIC))
	cic := m.CIC
	time.AfterFunc(s.Late+time.Duration((0.5+s.rng.Float64())*float64(s.Ring)), func() {
		e.Do(func() {
			if s.call[cic] == n.Digits {
				_ = e.Send(isup.Simple(isup.ANM, cic))
			}
		})
	})
}

// Thin gives a number few lines.
func (s *Subscribers) Thin(number string, lines int) {
	s.Do(func() { s.Lines[number] = lines })
}
