package dimension

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// DefaultMaxCircuits is the largest number of circuits of a group where Rules.MaxCircuits is not set.
const DefaultMaxCircuits = 3900

const (
	defaultMarginalCapacity = 0.75 // erlangs; Rules.MarginalCapacity where none is set
	minCostDivisor          = 1e-9 // replaces a smaller cost of a direct circuit in cost ratios
)

// Pair is the traffic between two exchanges, both directions together, and the size of the group between them.
type Pair struct {
	A, B  int    // numbers of the exchanges
	Loads []Load // by class
	Today int    // circuits of the present group
}

// Rules configures Plan.
type Rules struct {
	Targets          []float64               // target blocking by class
	MaxCircuits      int                     // largest size of a group; 0: DefaultMaxCircuits
	SystemSize       int                     // circuits of a transmission system, by which groups grow; 0: 1
	Cost             func(a, b int) float64  // cost of one circuit; nil: 1
	Growth           []float64               // expected traffic over measured traffic, by class; nil: 1
	Variation        Variation               // day-to-day variation of busy hour traffic
	BusyHourHolds    float64                 // length of the busy hour in mean hold times
	Hub              int                     // number of the tandem that takes overflow; 0: no overflow
	MarginalCapacity float64                 // erlangs that one more circuit toward the hub carries; 0: 0.75
	KeepSurplus      bool                    // groups that are larger than needed keep their size
	Notes            func(a, b int) []string // further remarks for Row.Why; nil: none
}

// Row is one group of a plan.
type Row struct {
	A, B      int       // numbers of the exchanges
	Today     int       // circuits of the present group
	Needed    int       // circuits of the planned group
	Offered   float64   // offered traffic in circuits: erlangs times width; overflow from other pairs included
	Now       []float64 // blocking by class with today's circuits; 1 where there are none
	Predicted []float64 // blocking by class with the needed circuits; of a group with Overflow, before the overflow
	Overflow  bool      // blocked calls overflow to the hub
	Cost      float64   // of the circuits to buy
	Why       []string  // reasons for the size
}

// Buy is the number of circuits to buy; it is negative if the group has more than it needs.
func (r Row) Buy() int { return r.Needed - r.Today }

// Proposal is a plan for all groups.
type Proposal struct {
	Rows  []Row
	Cost  float64 // of all needed circuits
	Alone float64 // cost of all needed circuits without overflow to a hub
	Least float64 // lower bound of the cost of any plan: every circuit is always occupied
}

// validate checks the rules and pairs and returns the rules with defaults filled in.
func (r Rules) validate(pairs []Pair) (Rules, error) {
	if r.MaxCircuits == 0 {
		r.MaxCircuits = DefaultMaxCircuits
	}
	if r.MarginalCapacity == 0 {
		r.MarginalCapacity = defaultMarginalCapacity
	}
	if r.Cost == nil {
		r.Cost = func(int, int) float64 { return 1 }
	}
	if len(r.Targets) == 0 || r.Growth != nil && len(r.Growth) != len(r.Targets) || r.MaxCircuits < 1 || r.SystemSize < 0 || !(r.BusyHourHolds >= 0) {
		return r, fmt.Errorf("dimension: invalid rules: %d targets, %d growth factors, at most %d circuits in systems of %d", len(r.Targets), len(r.Growth), r.MaxCircuits, r.SystemSize)
	}
	for class, growth := range r.Growth {
		if !(growth >= 0) || math.IsInf(growth, 0) {
			return r, fmt.Errorf("dimension: invalid rules: growth of class %d is %v", class, growth)
		}
	}
	seen := map[[2]int]bool{}
	for _, pair := range pairs {
		key := [2]int{min(pair.A, pair.B), max(pair.A, pair.B)}
		if pair.A == pair.B || seen[key] || len(pair.Loads) != len(r.Targets) || pair.Today < 0 {
			return r, fmt.Errorf("dimension: pair %d-%d: one exchange twice, a duplicate, or a wrong number of classes (%d) or circuits (%d)", pair.A, pair.B, len(pair.Loads), pair.Today)
		}
		seen[key] = true
		if cost := r.Cost(pair.A, pair.B); !(cost >= 0) || math.IsInf(cost, 0) {
			return r, fmt.Errorf("dimension: pair %d-%d: invalid cost of a circuit: %v", pair.A, pair.B, cost)
		}
	}
	return r, nil
}

// Plan sizes all groups. With a hub, direct groups get their economic number of circuits (EconomicCircuits) and overflow to
// the hub, whose groups are sized for their own traffic and all overflow with its peakedness. If that costs more than a plan
// without overflow, Plan returns the latter.
func Plan(pairs []Pair, rules Rules) (Proposal, error) {
	rules, err := rules.validate(pairs)
	if err != nil {
		return Proposal{}, err
	}
	grown := slices.Clone(pairs)
	for i := range grown {
		grown[i].Loads = slices.Clone(pairs[i].Loads)
		for class := range grown[i].Loads {
			if rules.Growth != nil {
				grown[i].Loads[class].Erlangs *= rules.Growth[class]
			}
		}
	}
	alone, err := sizeGroups(grown, rules, nil)
	if err != nil {
		return alone, err
	}
	best := alone
	if rules.Hub != 0 {
		if withHub, err := planWithHub(grown, rules); err == nil && withHub.Cost < alone.Cost {
			best = withHub
		} else if err != nil && !errors.Is(err, ErrSmooth) {
			return best, err
		}
	}
	best.Alone = alone.Cost
	for _, pair := range grown {
		stream, _ := circuitStream(pair.Loads)
		best.Least += stream.Mean * rules.Cost(pair.A, pair.B)
	}
	return best, nil
}

// circuitStream is the stream of circuits that classes of several widths occupy together, and its mean.
func circuitStream(loads []Load) (Stream, float64) {
	mean, variance := 0.0, 0.0
	for _, load := range loads {
		width := float64(load.Width)
		mean += load.Erlangs * width
		variance += load.Erlangs * width * width * max(1, load.Peaked)
	}
	if mean == 0 {
		return Stream{0, 1}, 0
	}
	return Stream{mean, variance / mean}, mean
}

// sizeGroups sizes each group for its own traffic, except those whose size is in fixedSizes: they overflow to the hub.
func sizeGroups(pairs []Pair, rules Rules, fixedSizes map[[2]int]int) (Proposal, error) {
	var proposal Proposal
	for _, pair := range pairs {
		stream, offered := circuitStream(pair.Loads)
		needed, isFixed := fixedSizes[[2]int{pair.A, pair.B}]
		var reasons []string
		if !isFixed {
			var err error
			if needed, reasons, err = rules.groupSize(pair.Loads, stream); err != nil {
				return proposal, fmt.Errorf("pair %d-%d: %w", pair.A, pair.B, err)
			}
		} else {
			reasons = append(reasons, "economic size, overflow goes to the hub")
		}
		row := Row{A: pair.A, B: pair.B, Today: pair.Today, Needed: needed, Offered: offered, Overflow: isFixed, Why: reasons}
		if rules.KeepSurplus && row.Needed < pair.Today {
			row.Needed, row.Why = pair.Today, append(row.Why, "more circuits than needed, none are removed")
		}
		row.Now, _ = Blocking(pair.Today, pair.Loads)
		row.Predicted, _ = Blocking(row.Needed, pair.Loads)
		if rules.Notes != nil {
			row.Why = append(row.Why, rules.Notes(pair.A, pair.B)...)
		}
		row.Cost = float64(max(0, row.Buy())) * rules.Cost(pair.A, pair.B)
		proposal.Cost += float64(row.Needed) * rules.Cost(pair.A, pair.B)
		proposal.Rows = append(proposal.Rows, row)
	}
	slices.SortFunc(proposal.Rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B)) })
	return proposal, nil
}

// groupSize is the number of circuits for one group, with the reasons.
func (r Rules) groupSize(loads []Load, stream Stream) (int, []string, error) {
	circuits, err := Size(loads, r.Targets, r.MaxCircuits)
	if err != nil {
		return 0, nil, err
	}
	if circuits == 0 {
		return 0, []string{"no traffic was measured"}, nil
	}
	reasons := []string{fmt.Sprintf("%.2f circuits offered, peakedness %.2f", stream.Mean, stream.Peakedness)}
	if variance := r.Variation.Variance(stream.Mean, r.BusyHourHolds); variance > 0 { // adds what a single class of the same mean and peakedness would need more
		target := slices.Max(r.Targets)
		constantDays, err := CircuitsForStream(stream, target)
		if err != nil {
			return 0, nil, err
		}
		varyingDays, err := CircuitsOverDays(stream, target, r.Variation, r.BusyHourHolds)
		if err != nil {
			return 0, nil, err
		}
		if extra := int(math.Ceil(varyingDays - constantDays - roundingTolerance)); extra > 0 {
			circuits += extra
			reasons = append(reasons, fmt.Sprintf("%d for day-to-day variation", extra))
		}
	}
	if rounded := RoundUpToSystems(float64(circuits), r.SystemSize); rounded > circuits {
		reasons = append(reasons, fmt.Sprintf("%d to fill systems of %d", rounded-circuits, r.SystemSize))
		circuits = rounded
	}
	if circuits > r.MaxCircuits {
		return 0, nil, fmt.Errorf("dimension: %d circuits are needed, a group may have %d", circuits, r.MaxCircuits)
	}
	return circuits, reasons, nil
}

// planWithHub gives direct groups their economic size and sizes the groups of the hub for the overflow.
func planWithHub(pairs []Pair, rules Rules) (Proposal, error) {
	directSizes := map[[2]int]int{}
	overflows := map[int][]Stream{} // toward the hub, by exchange
	for _, pair := range pairs {
		if pair.A == rules.Hub || pair.B == rules.Hub {
			continue
		}
		stream, _ := circuitStream(pair.Loads)
		costRatio := (rules.Cost(pair.A, rules.Hub) + rules.Cost(rules.Hub, pair.B)) / math.Max(rules.Cost(pair.A, pair.B), minCostDivisor)
		circuits, err := EconomicCircuits(stream.Mean, costRatio, rules.MarginalCapacity)
		if err != nil {
			return Proposal{}, err
		}
		circuits = RoundUpToSystems(float64(circuits), rules.SystemSize)
		lost := stream.Mean * Loss(float64(circuits), stream)
		overflow := Overflow(float64(circuits), stream.Mean)
		overflow.Mean, overflow.Peakedness = lost, overflow.Peakedness*max(1, stream.Peakedness)
		if circuits == 0 {
			overflow = stream
		}
		directSizes[[2]int{pair.A, pair.B}] = circuits
		overflows[pair.A], overflows[pair.B] = append(overflows[pair.A], overflow), append(overflows[pair.B], overflow)
	}
	withOverflow := slices.Clone(pairs)
	for i, pair := range withOverflow {
		if pair.A != rules.Hub && pair.B != rules.Hub {
			continue
		}
		overflow := Sum(overflows[pair.A+pair.B-rules.Hub]...)
		loads := slices.Clone(pair.Loads)
		if own, mean := circuitStream(loads); mean > 0 { // overflow is spread over the classes by their share of the traffic
			total := Sum(own, overflow)
			for class := range loads {
				loads[class].Erlangs *= (own.Mean + overflow.Mean) / own.Mean
				loads[class].Peaked = max(1, loads[class].Peaked) * max(1, total.Peakedness/own.Peakedness)
			}
		}
		withOverflow[i].Loads = loads
	}
	return sizeGroups(withOverflow, rules, directSizes)
}
