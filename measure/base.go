package measure

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"finchlatch/dimension"
	"finchlatch/logic"
)

// Analyzer selects the intervals that trunk groups can be sized by and derives the Base from them.
type Analyzer struct {
	Classes   []logic.Class
	BusySlots int                    // length of the busy period in intervals; 0: 4, an hour
	Keep      func(t time.Time) bool // intervals that planners keep although they look unusual; nil: none
	Exclude   func(t time.Time) bool // intervals that planners exclude; nil: none
}

// defaultBusySlots is Analyzer.BusySlots where none is set.
const defaultBusySlots = 4

// Limits between usual, unusual and invalid intervals.
const (
	minCoverage      = 0.9 // least measured share of an interval
	massCallingRatio = 6.0 // mass calling: largest count toward one destination in a fine interval, over its median
	massCallingMin   = 20  // mass calling: least number of calls in that fine interval
	circuitLossRatio = 0.8 // a group has lost circuits if it had less than this share of its largest size
	lossGroupShare   = 0.2 // share of an exchange's groups that have lost circuits from which on a region was lost
	minPeakedness    = 1.1 // traffic with a lower peakedness counts as random: chance alone explains this much
	maxCount         = 1e9 // largest plausible number of calls in an interval; times its seconds, largest plausible sum
)

// ExcludedInterval is an interval that is not used, and the reason.
type ExcludedInterval struct {
	Home  int // number of the exchange; 0: all exchanges
	Start time.Time
	Why   string
}

// Base is the measured traffic that trunk groups are sized by.
type Base struct {
	From, To        time.Duration    // busy period, since midnight UTC
	Slots           int              // number of intervals in the busy period, over all days and exchanges
	Days            int              // number of days that were measured
	Pairs           []dimension.Pair // traffic and circuits between two exchanges, both directions together
	Hold            []float64        // mean hold time in seconds by class
	HoldVariation   []float64        // squared coefficient of variation of hold times by class
	Peakedness      float64          // of overflow, over all pairs and classes
	FreshPeakedness []float64        // of the fresh calls of one pair and class, averaged over all pairs, by class
	Daily           [][2]float64     // busy period traffic of all exchanges: days since 1970, circuits (erlangs times width)
	Left            []ExcludedInterval
	Faults          []string // values that are invalid; their intervals are not used
}

// Base finds the time-consistent busy period of the intervals of all call servers (ITU-T E.500: the same hour over several
// days) and the traffic offered in it: fresh calls times hold time, because carried traffic is limited by blocking.
func (a Analyzer) Base(intervals []Interval) (Base, error) {
	var base Base
	usable := a.dropInvalid(intervals, &base)
	usable = a.dropUnusual(usable, &base)
	if len(usable) == 0 {
		return base, fmt.Errorf("measure: none of %d intervals is usable: %d left out, %d invalid", len(intervals), len(base.Left), len(base.Faults))
	}
	busy := a.findBusyPeriod(usable, &base)
	a.estimateHoldAndPeakedness(usable, &base)
	a.sumByDay(busy, &base)
	a.sumPairs(busy, &base)
	return base, nil
}

// dropInvalid removes intervals with invalid values and adds a line for each to base.Faults.
func (a Analyzer) dropInvalid(intervals []Interval, base *Base) (valid []Interval) {
	for _, interval := range intervals {
		if reason := interval.invalidReason(len(a.Classes)); reason != "" {
			base.Faults = append(base.Faults, fmt.Sprintf("exchange %d, %s: %s", interval.Home, interval.Start.UTC().Format(time.RFC3339), reason))
			continue
		}
		valid = append(valid, interval)
	}
	return valid
}

// invalidReason describes the first invalid value of an interval; it is empty if there is none.
func (i Interval) invalidReason(classCount int) string {
	invalid := func(value float64) bool { return !(value >= 0) || value > maxCount*IntervalLength.Seconds() }
	if i.Covered < 0 || i.Covered > IntervalLength {
		return fmt.Sprintf("covered %v of %v", i.Covered, IntervalLength)
	}
	for _, count := range i.Counts {
		for _, n := range []int{count.Tries, count.Fresh, count.Direct, count.TwoLeg, count.Overflow, count.Lost, count.Failed, count.Ended} {
			if n < 0 || n > maxCount {
				return fmt.Sprintf("class %d toward %d counts %d", count.Class, count.To, n)
			}
		}
		if count.Class < 0 || count.Class >= classCount || count.Fresh > count.Tries || invalid(count.Usage) || invalid(count.Hold) || invalid(count.Hold2) || invalid(count.Peak) || invalid(count.Peak2) || invalid(count.Burst) || invalid(count.Burst2) {
			return fmt.Sprintf("class %d toward %d: %+v", count.Class, count.To, count)
		}
	}
	for _, group := range i.Groups {
		if group.Circuits < 0 || group.Least < 0 || group.Least > group.Circuits || invalid(group.Usage) || group.Seized < 0 {
			return fmt.Sprintf("group toward %d: %+v", group.To, group)
		}
	}
	return ""
}

// dropUnusual removes intervals with unusual traffic, unless planners keep them, and adds them to base.Left.
func (a Analyzer) dropUnusual(intervals []Interval, base *Base) (usual []Interval) {
	largestCounts := map[int][]float64{}
	groupSizes := map[[2]int]int{}
	for _, interval := range intervals {
		largestCounts[interval.Home] = append(largestCounts[interval.Home], float64(interval.Crowd))
		for _, group := range interval.Groups {
			key := [2]int{interval.Home, group.To}
			groupSizes[key] = max(groupSizes[key], group.Circuits)
		}
	}
	medianCounts := map[int]float64{}
	for home, counts := range largestCounts {
		slices.Sort(counts)
		medianCounts[home] = counts[len(counts)/2]
	}
	unusual := map[time.Time]string{} // events that affect all exchanges although one of them reports them
	for _, interval := range intervals {
		reduced := 0
		for _, group := range interval.Groups {
			if float64(group.Least) < circuitLossRatio*float64(groupSizes[[2]int{interval.Home, group.To}]) {
				reduced++
			}
		}
		switch {
		case interval.Crowd >= massCallingMin && float64(interval.Crowd) > massCallingRatio*math.Max(1, medianCounts[interval.Home]):
			unusual[interval.Start] = fmt.Sprintf("mass calling: %d fresh calls in %v from exchange %d toward %d, %.0f are usual", interval.Crowd, FineIntervalLength, interval.Home, interval.CrowdTo, medianCounts[interval.Home])
		case reduced > 0 && float64(reduced) >= lossGroupShare*float64(len(interval.Groups)):
			unusual[interval.Start] = fmt.Sprintf("circuits lost: %d of %d groups of exchange %d", reduced, len(interval.Groups), interval.Home)
		}
	}
	listed := map[time.Time]bool{}
	for _, interval := range intervals {
		reason, home := "", interval.Home
		switch {
		case a.Keep != nil && a.Keep(interval.Start):
		case a.Exclude != nil && a.Exclude(interval.Start):
			reason, home = "left out by planners", 0
		case unusual[interval.Start] != "":
			reason, home = unusual[interval.Start], 0
		case interval.Jumped:
			reason = "the clock was set"
		case float64(interval.Covered) < minCoverage*float64(IntervalLength):
			reason = fmt.Sprintf("only %v of %v were measured: the call server was restarted or down", interval.Covered.Round(time.Second), IntervalLength)
		}
		if reason == "" {
			usual = append(usual, interval)
		} else if home != 0 || !listed[interval.Start] {
			listed[interval.Start] = listed[interval.Start] || home == 0
			base.Left = append(base.Left, ExcludedInterval{home, interval.Start, reason})
		}
	}
	return usual
}

// daySlot is the index of an interval within its day.
func daySlot(t time.Time) int {
	t = t.UTC()
	return (t.Hour()*60 + t.Minute()) / int(IntervalLength/time.Minute)
}

const slotsPerDay = int(24 * time.Hour / IntervalLength)

// findBusyPeriod finds the consecutive slots of the day that have most traffic, as a mean over the intervals measured in each
// slot, and returns their intervals.
func (a Analyzer) findBusyPeriod(intervals []Interval, base *Base) (busy []Interval) {
	periodSlots := cmp.Or(a.BusySlots, defaultBusySlots)
	var load, measured [slotsPerDay]float64
	days := map[string]bool{}
	homes := map[int]bool{}
	for _, interval := range intervals {
		slot := daySlot(interval.Start)
		for _, count := range interval.Counts {
			load[slot] += float64(count.Fresh) * a.Classes[count.Class].Hold.Seconds() * float64(max(1, a.Classes[count.Class].Width)) / interval.Covered.Seconds()
		}
		measured[slot]++
		homes[interval.Home] = true
		days[interval.Start.UTC().Format(time.DateOnly)] = true
	}
	base.Days = len(days)
	bestLoad, firstSlot := -1.0, 0
	for first := range slotsPerDay {
		sum, n := 0.0, 0.0
		for offset := range periodSlots {
			if slot := (first + offset) % slotsPerDay; measured[slot] > 0 {
				sum, n = sum+load[slot]/measured[slot], n+1
			}
		}
		// Of a period that was measured in part, only the measured slots count.
		if sum > bestLoad && n > 0 {
			bestLoad, firstSlot = sum, first
		}
	}
	base.From = time.Duration(firstSlot) * IntervalLength
	base.To = base.From + time.Duration(periodSlots)*IntervalLength
	for _, interval := range intervals {
		if (daySlot(interval.Start)-firstSlot+slotsPerDay)%slotsPerDay < periodSlots {
			busy = append(busy, interval)
		}
	}
	base.Slots = len(busy)
	return busy
}

// estimateHoldAndPeakedness estimates hold times, and the peakedness of overflow and of fresh calls, from usable intervals.
func (a Analyzer) estimateHoldAndPeakedness(intervals []Interval, base *Base) {
	ended, holdSum, holdSquares := make([]float64, len(a.Classes)), make([]float64, len(a.Classes)), make([]float64, len(a.Classes))
	overflowVariance, overflowMean := 0.0, 0.0
	freshVariance, freshMean := make([]float64, len(a.Classes)), make([]float64, len(a.Classes))
	for _, interval := range intervals {
		samples := math.Max(1, math.Floor(float64(interval.Covered)/float64(FineIntervalLength)))
		for _, count := range interval.Counts {
			ended[count.Class], holdSum[count.Class], holdSquares[count.Class] = ended[count.Class]+float64(count.Ended), holdSum[count.Class]+count.Hold, holdSquares[count.Class]+count.Hold2
			if mean := count.Peak / samples; mean > 0 {
				variance := count.Peak2/samples - mean*mean
				overflowVariance += variance
				overflowMean += mean
			}
			mean := count.Burst / samples
			freshVariance[count.Class] += count.Burst2/samples - mean*mean
			freshMean[count.Class] += mean
		}
	}
	for class := range a.Classes {
		mean, variation := a.Classes[class].Hold.Seconds(), 1.0
		if ended[class] > 0 {
			mean = holdSum[class] / ended[class]
		}
		if ended[class] > 1 && mean > 0 {
			variation = math.Max(0, holdSquares[class]/ended[class]/(mean*mean)-1)
		}
		peakedness := 1.0
		if freshMean[class] > 0 && freshVariance[class] > minPeakedness*freshMean[class] {
			peakedness = freshVariance[class] / freshMean[class]
		}
		base.Hold, base.HoldVariation, base.FreshPeakedness = append(base.Hold, mean), append(base.HoldVariation, variation), append(base.FreshPeakedness, peakedness)
	}
	if base.Peakedness = 1; overflowMean > 0 {
		base.Peakedness = math.Max(1, overflowVariance/overflowMean)
	}
}

// sumByDay computes the busy period traffic of each day: the sum over exchanges of the mean traffic of their intervals.
func (a Analyzer) sumByDay(busy []Interval, base *Base) {
	type homeDay struct{ day, home int }
	circuitSeconds, covered := map[homeDay]float64{}, map[homeDay]float64{}
	for _, interval := range busy {
		key := homeDay{int(interval.Start.Unix() / int64(24*time.Hour/time.Second)), interval.Home}
		covered[key] += interval.Covered.Seconds()
		for _, count := range interval.Counts {
			circuitSeconds[key] += float64(count.Fresh) * base.Hold[count.Class] * float64(max(1, a.Classes[count.Class].Width))
		}
	}
	days := map[int]float64{}
	for key, seconds := range circuitSeconds {
		if covered[key] > 0 {
			days[key.day] += seconds / covered[key]
		}
	}
	for day, traffic := range days {
		base.Daily = append(base.Daily, [2]float64{float64(day), traffic})
	}
	slices.SortFunc(base.Daily, func(x, y [2]float64) int { return cmp.Compare(x[0], y[0]) })
}

// sumPairs adds up the traffic that both ends of each pair of exchanges measured.
func (a Analyzer) sumPairs(busy []Interval, base *Base) {
	covered := map[int]float64{}
	type pairTraffic struct {
		fresh [][2]float64 // fresh calls by class, from the exchange with the lower and with the higher number
		today int          // circuits
	}
	traffic := map[[2]int]*pairTraffic{}
	trafficBetween := func(first, second int) *pairTraffic {
		key := [2]int{min(first, second), max(first, second)}
		if traffic[key] == nil {
			traffic[key] = &pairTraffic{fresh: make([][2]float64, len(a.Classes))}
		}
		return traffic[key]
	}
	for _, interval := range busy {
		covered[interval.Home] += interval.Covered.Seconds()
		for _, group := range interval.Groups {
			t := trafficBetween(interval.Home, group.To)
			t.today = max(t.today, group.Circuits)
		}
		for _, count := range interval.Counts {
			side := 0
			if interval.Home > count.To {
				side = 1
			}
			trafficBetween(interval.Home, count.To).fresh[count.Class][side] += float64(count.Fresh)
		}
	}
	for key, t := range traffic {
		pair := dimension.Pair{A: key[0], B: key[1], Today: t.today}
		for class, bySide := range t.fresh {
			erlangs := 0.0
			for side, fresh := range bySide {
				if seconds := covered[key[side]]; seconds > 0 {
					erlangs += fresh / seconds * base.Hold[class]
				}
			}
			pair.Loads = append(pair.Loads, dimension.Load{Erlangs: erlangs, Width: max(1, a.Classes[class].Width), Peaked: base.FreshPeakedness[class]})
		}
		base.Pairs = append(base.Pairs, pair)
	}
	slices.SortFunc(base.Pairs, func(x, y dimension.Pair) int { return cmp.Or(cmp.Compare(x.A, y.A), cmp.Compare(x.B, y.B)) })
}
