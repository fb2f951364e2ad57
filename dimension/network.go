package dimension

import (
	"fmt"
	"math"
)

// RoundUpToSystems rounds circuits up to whole transmission systems: most carriers buy 30 or 31 circuits at a time. A system
// size of 0 or 1 rounds to whole circuits.
func RoundUpToSystems(circuits float64, systemSize int) int {
	whole := int(math.Ceil(circuits - roundingTolerance))
	if systemSize > 1 {
		whole = (whole + systemSize - 1) / systemSize * systemSize
	}
	return max(0, whole)
}

// EconomicCircuits is the number of circuits at which a direct group with overflow to a tandem route costs least: the last
// circuit must carry at least marginalCapacity/costRatio erlangs that would otherwise go over the tandem (Truitt's economic
// CCS, 1954). costRatio is the cost of the circuits of a call over the tandem to that of a direct circuit. marginalCapacity
// is the traffic that one more circuit of the tandem route carries at its grade of service, about 0.75 erlangs (27 CCS) on
// large groups.
func EconomicCircuits(erlangs, costRatio, marginalCapacity float64) (int, error) {
	if !(erlangs >= 0) || math.IsInf(erlangs, 0) || !(costRatio > 0) || !(marginalCapacity > 0) {
		return 0, fmt.Errorf("dimension: %v erlangs, cost ratio %v, marginal capacity %v", erlangs, costRatio, marginalCapacity)
	}
	threshold := marginalCapacity / costRatio
	blocking := 1.0
	for n := 1; ; n++ {
		next := erlangs * blocking / (float64(n) + erlangs*blocking)
		if erlangs*(blocking-next) < threshold {
			return n - 1, nil
		}
		blocking = next
	}
}

// Mesh is a fully meshed network whose calls try one randomly chosen tandem if their direct group blocks them.
type Mesh struct {
	Circuits    [][]float64 // of the group between two exchanges; symmetric
	Offered     [][]float64 // traffic between two exchanges in circuits (erlangs times width), both directions together; symmetric
	Reserve     float64     // trunk reservation: circuits that two-leg calls leave free on each group
	TandemShare float64     // share of the blocked calls that try a tandem; 0: direct routes only
}

// FixedPoint is the blocking of a mesh by the Erlang fixed point approximation (Kelly 1986; with trunk reservation as in
// Akinpelu 1984). Each group is an independent loss system that is offered its direct traffic and the two-leg traffic of
// all pairs that may use it, reduced by the blocking of the other leg. direct is the blocking of direct calls on each group;
// lost is the share of each pair's calls that neither the direct group nor a tandem carries. The solution is found by
// repeated substitution with damping. An error means that the iteration did not converge, as it may near the two stable
// states of a mesh without reservation.
func (m Mesh) FixedPoint() (direct, lost [][]float64, err error) {
	n := len(m.Circuits)
	if n < 2 || len(m.Offered) != n || !(m.Reserve >= 0) || !(m.TandemShare >= 0 && m.TandemShare <= 1) {
		return nil, nil, fmt.Errorf("dimension: a mesh of %d exchanges, reserve %v, share %v", n, m.Reserve, m.TandemShare)
	}
	direct, twoLeg := squareMatrix(n), squareMatrix(n)
	for round := range maxRounds {
		twoLegOffered, change := m.twoLegTraffic(twoLeg, direct), 0.0
		for a := range n {
			for b := a + 1; b < n; b++ {
				directBlocking, twoLegBlocking := m.groupBlocking(m.Circuits[a][b], m.Offered[a][b], twoLegOffered[a][b])
				change = math.Max(change, math.Max(math.Abs(directBlocking-direct[a][b]), math.Abs(twoLegBlocking-twoLeg[a][b])))
				direct[a][b] += damping * (directBlocking - direct[a][b])
				twoLeg[a][b] += damping * (twoLegBlocking - twoLeg[a][b])
				direct[b][a], twoLeg[b][a] = direct[a][b], twoLeg[a][b]
			}
		}
		if round > 0 && change < convergedChange {
			return direct, m.pairLoss(direct, twoLeg), nil
		}
	}
	return direct, m.pairLoss(direct, twoLeg), fmt.Errorf("dimension: the fixed point iteration did not converge in %d rounds", maxRounds)
}

// Parameters of the fixed point iteration.
const (
	maxRounds = 400
	damping   = 0.5 // share of the difference to the new values that a round adds
)

// convergedChange is the largest change of blocking in the last round of the fixed point iteration.
const convergedChange = 1e-6

// rescaleAbove is the sum of unnormalised state probabilities above which they are scaled down, against overflow.
const rescaleAbove = 1e250

// twoLegTraffic is the two-leg traffic that is offered to each group.
func (m Mesh) twoLegTraffic(twoLeg, direct [][]float64) [][]float64 {
	n := len(m.Circuits)
	offered := squareMatrix(n)
	if m.TandemShare == 0 || n < 3 {
		return offered
	}
	for a := range n {
		for b := a + 1; b < n; b++ {
			perTandem := m.TandemShare * m.Offered[a][b] * direct[a][b] / float64(n-2)
			for tandem := range n {
				if tandem == a || tandem == b || perTandem == 0 {
					continue
				}
				offered[a][tandem] += perTandem * (1 - twoLeg[tandem][b])
				offered[tandem][b] += perTandem * (1 - twoLeg[a][tandem])
			}
		}
	}
	for a := range n {
		for b := a + 1; b < n; b++ {
			sum := offered[a][b] + offered[b][a]
			offered[a][b], offered[b][a] = sum, sum
		}
	}
	return offered
}

// groupBlocking is the blocking of direct and of two-leg calls on one group, by a birth and death process in which two-leg
// calls are refused when only Reserve circuits are free.
func (m Mesh) groupBlocking(circuits, directOffered, twoLegOffered float64) (direct, twoLeg float64) {
	size, twoLegLimit := int(circuits), int(math.Max(0, circuits-m.Reserve))
	weight, sum, fullWeight, closedWeight := 1.0, 0.0, 0.0, 0.0
	for i := 0; i <= size; i++ {
		if i > 0 {
			arrivals := directOffered
			if i-1 < twoLegLimit {
				arrivals += twoLegOffered
			}
			weight *= arrivals / float64(i)
		}
		if sum += weight; i >= twoLegLimit {
			closedWeight += weight
		}
		fullWeight = weight
		if sum > rescaleAbove {
			weight, fullWeight, closedWeight, sum = weight/sum, fullWeight/sum, closedWeight/sum, 1
		}
	}
	return fullWeight / sum, closedWeight / sum
}

// pairLoss is the share of each pair's calls that neither the direct group nor a tandem carries.
func (m Mesh) pairLoss(direct, twoLeg [][]float64) [][]float64 {
	n := len(m.Circuits)
	lost := squareMatrix(n)
	for a := range n {
		for b := range n {
			if a == b {
				continue
			}
			tandemSuccess := 0.0
			for tandem := range n {
				if tandem != a && tandem != b && n > 2 {
					tandemSuccess += (1 - twoLeg[a][tandem]) * (1 - twoLeg[tandem][b]) / float64(n-2)
				}
			}
			lost[a][b] = direct[a][b] * (1 - m.TandemShare*tandemSuccess)
		}
	}
	return lost
}

// squareMatrix returns a zero matrix of n rows and columns.
func squareMatrix(n int) [][]float64 {
	matrix := make([][]float64, n)
	for i := range matrix {
		matrix[i] = make([]float64, n)
	}
	return matrix
}
