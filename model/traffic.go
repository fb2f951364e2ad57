package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Traffic describes the distribution of calls over pairs of exchanges and over the day. With the zero value all pairs have
// equal shares and the rate is constant.
type Traffic struct {
	Seed    uint64        `json:"seed"`    // of the shares; 0: the fleet's seed
	Spread  float64       `json:"spread"`  // standard deviation of the logarithm of a pair's share; 0: equal shares
	Shift   time.Duration `json:"shift"`   // interval after which new shares are drawn; 0: never
	Profile []float64     `json:"profile"` // factors of the call rate at equidistant times of a day
	Day     time.Duration `json:"day"`     // length of Profile, which is repeated; 0: 24 h
}

// trafficMatrix draws the shares of the pairs of exchanges.
type trafficMatrix struct {
	Traffic
	seed             uint64
	exchanges        int
	rowPeriods       []int64     // by exchange: the period of Shift that its row was drawn for
	cumulativeShares [][]float64 // by calling exchange: cumulative shares of the called exchanges
}

// newTrafficMatrix creates a matrix without rows, which are drawn when needed.
func newTrafficMatrix(traffic Traffic, seed uint64, exchanges int) *trafficMatrix {
	if traffic.Seed != 0 {
		seed = traffic.Seed
	}
	return &trafficMatrix{Traffic: traffic, seed: seed, exchanges: exchanges, rowPeriods: make([]int64, exchanges),
		cumulativeShares: make([][]float64, exchanges)}
}

// pickDestination draws the exchange that a caller at the exchange from calls.
func (m *trafficMatrix) pickDestination(rng *rand.Rand, from int, now time.Duration) int {
	if m.Spread <= 0 {
		destination := rng.IntN(m.exchanges - 1)
		if destination >= from {
			destination++
		}
		return destination
	}
	row := m.row(from, now)
	i, _ := slices.BinarySearch(row, rng.Float64())
	return min(i, len(row)-1)
}

// row returns the cumulative shares of the calls from an exchange. Each row has a random source of its own, so the order
// in which rows are drawn does not matter.
func (m *trafficMatrix) row(from int, now time.Duration) []float64 {
	period := int64(1)
	if m.Shift > 0 {
		period += int64(now / m.Shift)
	}
	if m.cumulativeShares[from] != nil && m.rowPeriods[from] == period {
		return m.cumulativeShares[from]
	}
	rng := rand.New(rand.NewPCG(m.seed, uint64(period)<<20|uint64(from)))
	row, sum := make([]float64, m.exchanges), 0.0
	for i := range row {
		if share := math.Exp(m.Spread * rng.NormFloat64()); i != from {
			sum += share
		}
		row[i] = sum
	}
	for i := range row {
		row[i] /= sum
	}
	m.rowPeriods[from], m.cumulativeShares[from] = period, row
	return row
}

// share returns the share of the calls from an exchange that go to another one.
func (m *trafficMatrix) share(from, to int, now time.Duration) float64 {
	switch {
	case from == to:
		return 0
	case m.Spread <= 0:
		return 1 / float64(m.exchanges-1)
	}
	row := m.row(from, now)
	if to == 0 {
		return row[0]
	}
	return row[to] - row[to-1]
}

// rateFactor returns the factor of the call rate at a time since the start of the fleet. Between the times of Profile it
// is interpolated.
func (t Traffic) rateFactor(since time.Duration) float64 {
	day := t.Day
	if day <= 0 {
		day = 24 * time.Hour
	}
	position := float64(since%day) / float64(day) * float64(len(t.Profile))
	i := int(position)
	a, b := t.Profile[i%len(t.Profile)], t.Profile[(i+1)%len(t.Profile)]
	return a + (b-a)*(position-float64(i))
}
