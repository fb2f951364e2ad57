// Package planning plans trunk groups with package dimension. It reads rules from a file, takes traffic from measurements or
// from a table, computes what-if cases, and writes the proposal as a table, a report, a CSV file and settings.
package planning

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"finchlatch/dimension"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/measure"
)

// Class is a class of calls.
type Class struct {
	Name   string
	Width  int           // circuits of a call
	Hold   time.Duration // mean hold time where none was measured
	Target float64       // target blocking on the direct group
}

// Exchange is an exchange of the fleet.
type Exchange struct {
	Number int
	Name   string
	Region string
}

// Span is a period whose measurements planners keep or exclude.
type Span struct {
	From, To string    // RFC 3339
	from, to time.Time // the same, parsed
}

// Rules are the rules of a planner, as read from Jsonnet.
type Rules struct {
	Classes   []Class
	Exchanges []Exchange
	System    int                // circuits of a transmission system, by which groups grow; 0: 1
	Same      float64            // cost of a circuit within a region
	Other     float64            // cost of a circuit between regions
	Variation string             // day-to-day variation: none, low, medium or high
	Hours     int                // length of the busy period in intervals of 15 minutes; 0: 4
	Hub       string             // name of the tandem that takes overflow; empty: no overflow
	Less      bool               // groups that are larger than needed may shrink
	Keep      []Span             // measurements used although they look unusual
	Leave     []Span             // measurements that are excluded
	Growth    map[string]float64 // expected traffic over measured traffic, by name of the class
	Ahead     int                // days to extrapolate measured traffic by, to the upper end of the prediction interval; 0: none
}

// Limits of values in rules and traffic tables.
const (
	maxWidth      = 30   // circuits of a call
	maxBusySlots  = 96   // intervals of 15 minutes in a day
	maxAhead      = 3650 // days
	maxGrowth     = 1000
	maxErlangs    = 1e6
	maxCircuits   = 1e6
	minPeakedness = 0.01
	maxPeakedness = 1000
)

// variations maps Rules.Variation to its level.
var variations = map[string]dimension.Variation{"": dimension.None, "none": dimension.None, "low": dimension.Low,
	"medium": dimension.Medium, "high": dimension.High}

// ReadRules reads rules from Jsonnet; file names the source in errors.
func ReadRules(file, text string) (Rules, error) {
	r := Rules{Same: 1, Other: 1}
	if err := simenv.DecodeJsonnet(file, text, &r); err != nil {
		return r, err
	}
	invalid := func(format string, args ...any) error {
		return fmt.Errorf("%s: %s", file, fmt.Sprintf(format, args...))
	}
	if len(r.Classes) == 0 || len(r.Exchanges) < 2 {
		return r, invalid("classes and two exchanges are needed")
	}
	for i, class := range r.Classes {
		if class.Name == "" || class.Width < 1 || class.Width > maxWidth || class.Hold <= 0 || !(class.Target > 0 && class.Target < 1) {
			return r, invalid("classes[%d]: invalid name, width (1 to 30), hold or target (over 0, under 1): %+v", i, class)
		}
	}
	numbers := map[int]bool{}
	for i, exchange := range r.Exchanges {
		if exchange.Name == "" || exchange.Number < 1 || numbers[exchange.Number] {
			return r, invalid("exchanges[%d]: no name, or the number %d is invalid or used twice", i, exchange.Number)
		}
		numbers[exchange.Number] = true
	}
	if _, ok := variations[r.Variation]; !ok {
		return r, invalid("variation: %q is not none, low, medium or high", r.Variation)
	}
	if !(r.Same >= 0) || !(r.Other >= 0) || r.System < 0 || r.Hours < 0 || r.Hours > maxBusySlots || r.Ahead < 0 || r.Ahead > maxAhead {
		return r, invalid("system %d, hours %d, ahead %d, costs %v and %v: none may be negative, hours at most 96, ahead at most 3650", r.System, r.Hours, r.Ahead, r.Same, r.Other)
	}
	if r.Hub != "" && r.exchangeNumber(r.Hub) == 0 {
		return r, invalid("hub: there is no exchange %q", r.Hub)
	}
	for class, growth := range r.Growth {
		if r.classIndex(class) < 0 || !(growth >= 0) || growth > maxGrowth {
			return r, invalid("growth: there is no class %q, or its factor %v is not 0 to 1000", class, growth)
		}
	}
	for _, list := range [][]Span{r.Keep, r.Leave} {
		for i := range list {
			var errs [2]error
			list[i].from, errs[0] = time.Parse(time.RFC3339, list[i].From)
			list[i].to, errs[1] = time.Parse(time.RFC3339, list[i].To)
			if err := errors.Join(errs[:]...); err != nil || !list[i].from.Before(list[i].to) {
				return r, invalid("keep, leave: from %q to %q is no period in RFC 3339", list[i].From, list[i].To)
			}
		}
	}
	return r, nil
}

// classIndex returns the index of a class in r.Classes, -1 if there is none of that name.
func (r Rules) classIndex(name string) int {
	return slices.IndexFunc(r.Classes, func(c Class) bool { return c.Name == name })
}

// exchangeNumber returns the number of an exchange, 0 if there is none of that name.
func (r Rules) exchangeNumber(name string) int {
	for _, exchange := range r.Exchanges {
		if exchange.Name == name {
			return exchange.Number
		}
	}
	return 0
}

// exchange returns the exchange with a number; the number also names one that the rules do not have.
func (r Rules) exchange(number int) Exchange {
	for _, exchange := range r.Exchanges {
		if exchange.Number == number {
			return exchange
		}
	}
	return Exchange{Number: number, Name: strconv.Itoa(number)}
}

// inSpans returns a function that reports whether a time is in one of the periods.
func inSpans(spans []Span) func(time.Time) bool {
	return func(t time.Time) bool {
		return slices.ContainsFunc(spans, func(span Span) bool { return !t.Before(span.from) && t.Before(span.to) })
	}
}

// Analyzer returns the analyzer of measurements that follows the rules.
func (r Rules) Analyzer() measure.Analyzer {
	analyzer := measure.Analyzer{BusySlots: r.Hours, Keep: inSpans(r.Keep), Exclude: inSpans(r.Leave)}
	for _, class := range r.Classes {
		analyzer.Classes = append(analyzer.Classes, logic.Class{Name: class.Name, Hold: class.Hold, Width: class.Width})
	}
	return analyzer
}

// planRules returns the rules for dimension.Plan. hold is the mean hold time in seconds.
func (r Rules) planRules(hold float64) dimension.Rules {
	rules := dimension.Rules{SystemSize: r.System, Variation: variations[r.Variation], KeepSurplus: !r.Less, Hub: r.exchangeNumber(r.Hub),
		Cost: func(a, b int) float64 {
			if r.exchange(a).Region == r.exchange(b).Region {
				return r.Same
			}
			return r.Other
		}}
	if hold > 0 {
		rules.BusyHourHolds = time.Hour.Seconds() / hold
	}
	for _, class := range r.Classes {
		rules.Targets = append(rules.Targets, class.Target)
		growth, ok := r.Growth[class.Name]
		if !ok {
			growth = 1
		}
		rules.Growth = append(rules.Growth, growth)
	}
	return rules
}

// ReadTraffic reads traffic from CSV whose first line names the columns: from, to, class and erlangs; peakedness and circuits
// are optional. Rows for both directions of a pair add up. file names the source in errors, which give the line.
func (r Rules) ReadTraffic(file string, table io.Reader) ([]dimension.Pair, error) {
	reader := csv.NewReader(table)
	reader.TrimLeadingSpace = true
	header, err := reader.Read()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	columns := map[string]int{}
	for i, title := range header {
		columns[strings.ToLower(strings.TrimSpace(title))] = i
	}
	for _, required := range []string{"from", "to", "class", "erlangs"} {
		if _, ok := columns[required]; !ok {
			return nil, fmt.Errorf("%s: line 1: column %s is missing", file, required)
		}
	}
	pairs := map[[2]int]*dimension.Pair{}
	variance := map[[3]int]float64{}
	for {
		record, err := reader.Read()
		if err == io.EOF {
			break
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		invalid := func(format string, args ...any) error {
			return fmt.Errorf("%s: line %d: %s", file, line, fmt.Sprintf(format, args...))
		}
		from, to, class := r.exchangeNumber(record[columns["from"]]), r.exchangeNumber(record[columns["to"]]), r.classIndex(record[columns["class"]])
		if from == 0 || to == 0 || from == to || class < 0 {
			return nil, invalid("%q to %q of class %q: not two different exchanges and a class of the rules", record[columns["from"]], record[columns["to"]], record[columns["class"]])
		}
		parseColumn := func(column string, least, most, absent float64) (float64, error) {
			i, ok := columns[column]
			if !ok || record[i] == "" {
				return absent, nil
			}
			value, err := strconv.ParseFloat(record[i], 64)
			if err != nil || !(value >= least && value <= most) {
				return 0, invalid("%s: %q is not %v to %v", column, record[i], least, most)
			}
			return value, nil
		}
		erlangs, e1 := parseColumn("erlangs", 0, maxErlangs, math.NaN())
		peaked, e2 := parseColumn("peakedness", minPeakedness, maxPeakedness, 1)
		today, e3 := parseColumn("circuits", 0, maxCircuits, 0)
		if err := errors.Join(e1, e2, e3); err != nil {
			return nil, err
		}
		if math.IsNaN(erlangs) {
			return nil, invalid("erlangs: empty")
		}
		key := [2]int{min(from, to), max(from, to)}
		pair := pairs[key]
		if pair == nil {
			pair = &dimension.Pair{A: key[0], B: key[1], Loads: make([]dimension.Load, len(r.Classes))}
			for i, c := range r.Classes {
				pair.Loads[i].Width = c.Width
			}
			pairs[key] = pair
		}
		pair.Today = max(pair.Today, int(today))
		pair.Loads[class].Erlangs += erlangs
		variance[[3]int{key[0], key[1], class}] += erlangs * peaked
	}
	var out []dimension.Pair
	for key, pair := range pairs {
		for class := range pair.Loads {
			if erlangs := pair.Loads[class].Erlangs; erlangs > 0 {
				pair.Loads[class].Peaked = variance[[3]int{key[0], key[1], class}] / erlangs
			}
		}
		out = append(out, *pair)
	}
	slices.SortFunc(out, func(a, b dimension.Pair) int { return (a.A-b.A)*1_000_000 + a.B - b.B })
	return out, nil
}
