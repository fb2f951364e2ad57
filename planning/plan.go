package planning

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"finchlatch/dimension"
	"finchlatch/measure"
)

// Traffic is the traffic that groups are planned for.
type Traffic struct {
	Pairs []dimension.Pair
	Base  *measure.Base       // measurements; nil: the traffic was read from a table
	Hold  float64             // mean hold time in seconds; 0: not known
	Trend *dimension.Forecast // nil: without Rules.Ahead
}

// MeasuredTraffic derives the traffic from measured intervals.
func (r Rules) MeasuredTraffic(intervals []measure.Interval) (Traffic, error) {
	base, err := r.Analyzer().Base(intervals)
	if err != nil {
		return Traffic{}, err
	}
	hold := 0.0
	for _, classHold := range base.Hold {
		hold += classHold / float64(len(base.Hold))
	}
	traffic := Traffic{Pairs: base.Pairs, Base: &base, Hold: hold}
	err = r.extrapolate(&traffic)
	return traffic, err
}

// extrapolate scales all traffic to the day that the plan is for: by the upper end of the prediction interval for that day,
// over the mean of the measured days.
func (r Rules) extrapolate(traffic *Traffic) error {
	if r.Ahead == 0 {
		return nil
	}
	var days, loads []float64
	mean := 0.0
	for _, day := range traffic.Base.Daily {
		days, loads = append(days, day[0]), append(loads, day[1])
		mean += day[1] / float64(len(traffic.Base.Daily))
	}
	if len(days) == 0 {
		return dimension.ErrTooFewDays
	}
	forecast, err := dimension.Trend(days, loads, days[len(days)-1]+float64(r.Ahead))
	if err != nil {
		return fmt.Errorf("ahead: %w", err)
	}
	traffic.Trend = &forecast
	for i := range traffic.Pairs {
		for class := range traffic.Pairs[i].Loads {
			traffic.Pairs[i].Loads[class].Erlangs *= forecast.High / mean
		}
	}
	return nil
}

// Plan sizes the groups by the rules.
func (r Rules) Plan(traffic Traffic) (dimension.Proposal, error) {
	return dimension.Plan(traffic.Pairs, r.planRules(traffic.Hold))
}

// Case is the result of a what-if case.
type Case struct {
	Text     string // as given to WhatIf
	Proposal dimension.Proposal
	Worst    float64 // largest predicted blocking, with the circuits of the case
}

// maxFactor is the largest number of a what-if case.
const maxFactor = 1e4

// WhatIf computes a case. "class NAME=1.3" multiplies the calls of a class. "exchanges=94" spreads the traffic of each
// exchange over that many exchanges. "lost REGION=0.5" keeps that share of the planned circuits between a region and the
// others, and predicts the blocking without new circuits.
func (r Rules) WhatIf(traffic Traffic, text string) (Case, error) {
	subject, value, ok := strings.Cut(text, "=")
	factor, err := strconv.ParseFloat(value, 64)
	if !ok || err != nil || !(factor >= 0) || factor > maxFactor {
		return Case{}, fmt.Errorf("what-if %q: not of the form CASE=NUMBER", text)
	}
	result := Case{Text: text}
	rules := r.planRules(traffic.Hold)
	kind, name, _ := strings.Cut(strings.TrimSpace(subject), " ")
	switch kind {
	case "class":
		class := r.classIndex(strings.TrimSpace(name))
		if class < 0 {
			return result, fmt.Errorf("what-if %q: there is no class %q", text, name)
		}
		rules.Growth[class] *= factor
		result.Proposal, err = dimension.Plan(traffic.Pairs, rules)
	case "exchanges":
		count := len(r.Exchanges)
		if factor < 2 || factor != float64(int(factor)) {
			return result, fmt.Errorf("what-if %q: not a number of exchanges", text)
		}
		for i := range rules.Growth {
			rules.Growth[i] *= float64(count-1) / (factor - 1)
		}
		if result.Proposal, err = dimension.Plan(traffic.Pairs, rules); err == nil {
			// The plan covers the groups between the present exchanges: costs scale with the number of pairs.
			pairRatio := factor * (factor - 1) / float64(count*(count-1))
			result.Proposal.Cost, result.Proposal.Alone, result.Proposal.Least = result.Proposal.Cost*pairRatio, result.Proposal.Alone*pairRatio, result.Proposal.Least*pairRatio
		}
	case "lost":
		result.Proposal, err = r.planRegionLoss(traffic, strings.TrimSpace(name), factor)
	default:
		return result, fmt.Errorf("what-if %q: %q is not class, exchanges or lost", text, kind)
	}
	for _, row := range result.Proposal.Rows {
		for _, blocking := range row.Predicted {
			result.Worst = max(result.Worst, blocking)
		}
	}
	return result, err
}

// planRegionLoss plans all groups, and predicts the blocking with a share of the circuits between a region and the others.
func (r Rules) planRegionLoss(traffic Traffic, region string, keep float64) (dimension.Proposal, error) {
	proposal, err := r.Plan(traffic)
	if err != nil {
		return proposal, err
	}
	found := false
	for i := range proposal.Rows {
		row := &proposal.Rows[i]
		fromRegion, toRegion := r.exchange(row.A).Region == region, r.exchange(row.B).Region == region
		if found = found || fromRegion || toRegion; fromRegion == toRegion {
			continue
		}
		for _, pair := range traffic.Pairs {
			if pair.A == row.A && pair.B == row.B {
				row.Predicted, err = dimension.Blocking(int(keep*float64(row.Needed)), pair.Loads)
			}
		}
	}
	if !found {
		return proposal, fmt.Errorf("what-if: no exchange is in region %q", region)
	}
	return proposal, err
}

// WriteTable prints the measurements that were used and the plan, a row for each group.
func (r Rules) WriteTable(w io.Writer, traffic Traffic, proposal dimension.Proposal) error {
	if base := traffic.Base; base != nil {
		clock := func(offset time.Duration) string {
			return fmt.Sprintf("%02d:%02d", int(offset.Hours()), int(offset.Minutes())%60)
		}
		fmt.Fprintf(w, "busy period %s to %s UTC, %d intervals of %d days; overflow has peakedness %.2f\n", clock(base.From), clock(base.To), base.Slots, base.Days, base.Peakedness)
		for _, left := range base.Left {
			name := "all exchanges"
			if left.Home != 0 {
				name = r.exchange(left.Home).Name
			}
			fmt.Fprintf(w, "left out: %s, %s: %s\n", left.Start.UTC().Format(time.RFC3339), name, left.Why)
		}
		for _, fault := range base.Faults {
			fmt.Fprintf(w, "invalid: %s\n", fault)
		}
	}
	if forecast := traffic.Trend; forecast != nil {
		fmt.Fprintf(w, "in %d days: offered traffic of %.1f circuits in all, %.1f to %.1f; traffic grows by %.2f%% a day; sized for the upper end\n", r.Ahead, forecast.Mean, forecast.Low, forecast.High, 100*forecast.Growth)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "group\ttoday\tneeded\tbuy\toffered\t")
	for _, class := range r.Classes {
		fmt.Fprintf(table, "%s now\tthen\t", class.Name)
	}
	fmt.Fprint(table, "cost\twhy\n")
	for _, row := range proposal.Rows {
		fmt.Fprintf(table, "%s-%s\t%d\t%d\t%+d\t%.2f\t", r.exchange(row.A).Name, r.exchange(row.B).Name, row.Today, row.Needed, row.Buy(), row.Offered)
		for class := range r.Classes {
			fmt.Fprintf(table, "%.2f%%\t%.2f%%\t", 100*row.Now[class], 100*row.Predicted[class])
		}
		fmt.Fprintf(table, "%.1f\t%s\n", row.Cost, strings.Join(row.Why, "; "))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "all circuits cost %.1f; without overflow %.1f; lower bound %.1f\n", proposal.Cost, proposal.Alone, proposal.Least)
	return err
}

// WriteCSV writes the plan as CSV, a row for each group.
func (r Rules) WriteCSV(w io.Writer, proposal dimension.Proposal) error {
	writer := csv.NewWriter(w)
	header := []string{"from", "to", "today", "needed", "buy", "offered", "cost"}
	for _, class := range r.Classes {
		header = append(header, class.Name+" now", class.Name+" then")
	}
	if err := writer.Write(append(header, "why")); err != nil {
		return err
	}
	for _, row := range proposal.Rows {
		record := []string{r.exchange(row.A).Name, r.exchange(row.B).Name, strconv.Itoa(row.Today), strconv.Itoa(row.Needed), strconv.Itoa(row.Buy()),
			strconv.FormatFloat(row.Offered, 'f', 3, 64), strconv.FormatFloat(row.Cost, 'f', 2, 64)}
		for class := range r.Classes {
			record = append(record, strconv.FormatFloat(row.Now[class], 'f', 5, 64), strconv.FormatFloat(row.Predicted[class], 'f', 5, 64))
		}
		if err := writer.Write(append(record, strings.Join(row.Why, "; "))); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// Settings returns settings in Jsonnet for the call server of an exchange: those of a file with the circuits of the plan.
func (r Rules) Settings(file, exchange string, proposal dimension.Proposal) (string, error) {
	home := r.exchangeNumber(exchange)
	if home == 0 {
		return "", fmt.Errorf("planning: the rules have no exchange %q", exchange)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "// The groups of %s as planned.\nlocal base = import %s;\nlocal circuits = {\n", exchange, strconv.Quote(file))
	for _, row := range proposal.Rows {
		if row.A == home || row.B == home {
			fmt.Fprintf(&text, "  %s: %d,\n", strconv.Quote(r.exchange(row.A+row.B-home).Name), max(1, row.Needed))
		}
	}
	text.WriteString("};\nbase {\n  peers: [\n    if std.objectHas(circuits, p.name) then p { circuits+: { count: circuits[p.name] } } else p\n    for p in base.peers\n  ],\n}\n")
	return text.String(), nil
}
