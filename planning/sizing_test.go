package planning

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"finchlatch/config"
	"finchlatch/dimension"
	"finchlatch/internal/baseline"
	"finchlatch/internal/simenv"
	"finchlatch/measure"
	"finchlatch/model"
)

// sizingTrial simulates a fleet with known offered traffic: it measures the traffic on the default groups, plans groups for
// it, and simulates the same traffic on the planned groups.
type sizingTrial struct {
	exchanges  int
	rate       float64       // calls per second of one exchange
	length     time.Duration // of a simulation run
	targets    [2]float64    // target blocking by class
	traffic    model.Traffic
	controller bool // calls are routed by logic.Controller; false: direct routes only, so that blocking is that of the groups
	seed       uint64
	sizedRuns  int // runs on the planned groups; 0: one
}

// rules returns the planner's rules of the trial.
func (trial sizingTrial) rules(t testing.TB) Rules {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, `{ classes: [{ name: 'narrow', width: 1, hold: '6s', target: %v }, { name: 'wide', width: 2, hold: '6s', target: %v }], less: true, hours: %d, other: 3, exchanges: [`,
		trial.targets[0], trial.targets[1], max(1, int(trial.length/measure.IntervalLength)))
	for i := range trial.exchanges {
		fmt.Fprintf(&text, "{ number: %d, name: 'ex%03d', region: 'r%d' },", i+1, i+1, simenv.Region(i, trial.exchanges, 2))
	}
	keep := ""
	if trial.length < measure.IntervalLength { // keeps the incomplete interval of a run shorter than one
		keep = "keep: [{ from: '1970-01-01T00:00:00Z', to: '1970-01-02T00:00:00Z' }]"
	}
	r, err := ReadRules("sizing.jsonnet", text.String()+"], "+keep+" }")
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// settings returns the settings of a simulation run.
func (trial sizingTrial) settings(seed uint64) model.Settings {
	classes := []simenv.Class{{Name: "narrow", Share: 0.85, Category: 10, Width: 1, Worth: 1}, {Name: "wide", Share: 0.15, Category: 11, Width: 2, Worth: 3}}
	for i := range classes {
		class := &classes[i]
		class.Aim, class.Patience, class.Deadline, class.Hold = 1200*time.Millisecond, 3*time.Second, 9*time.Second, 6*time.Second
	}
	settings := model.Settings{Exchanges: trial.exchanges, Regions: 2, Rate: trial.rate * float64(trial.exchanges), Seed: seed, Classes: classes,
		NoServiceTimes: true, Measure: true,
		Traffic: trial.traffic, OnDone: func(simenv.Outcome) {}}
	if !trial.controller {
		settings.Baseline = baseline.DirectOnly
	}
	return settings
}

// play runs a simulation and returns the measured intervals.
func (trial sizingTrial) play(t testing.TB, settings model.Settings) []measure.Interval {
	t.Helper()
	fleet, err := model.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.Play(simenv.Script{Len: config.Duration(trial.length)}, 0); err != nil {
		t.Fatal(err)
	}
	return fleet.Measured()
}

// refusalRates returns the share of tries that were refused, by class, within and between regions.
func refusalRates(r Rules, intervals []measure.Interval) (lost [2][2]float64) {
	var tries [2][2]float64
	for _, interval := range intervals {
		for _, count := range interval.Counts {
			between := 0
			if r.exchange(interval.Home).Region != r.exchange(count.To).Region {
				between = 1
			}
			tries[count.Class][between] += float64(count.Tries)
			lost[count.Class][between] += float64(count.Lost)
		}
	}
	for class := range lost {
		for between := range lost[class] {
			lost[class][between] /= math.Max(1, tries[class][between])
		}
	}
	return lost
}

// result is the plan of a trial with the blocking on its groups.
type result struct {
	rules       Rules
	proposal    dimension.Proposal
	refused     [2][2]float64 // measured share of refused tries by class, within and between regions
	predicted   [2]float64    // predicted blocking by class, weighted by traffic
	singleWidth [2][2]float64 // as refused, on groups sized by Erlang B as if all calls took one circuit
}

// run runs the trial; with singleWidth also on groups that are sized without regard to widths.
func (trial sizingTrial) run(t testing.TB, singleWidth bool) (out result) {
	t.Helper()
	out.rules = trial.rules(t)
	traffic, err := out.rules.MeasuredTraffic(trial.play(t, trial.settings(trial.seed)))
	if err != nil {
		t.Fatal(err)
	}
	if out.proposal, err = out.rules.Plan(traffic); err != nil {
		t.Fatal(err)
	}
	sizes, singleWidthSizes := map[[2]int]int{}, map[[2]int]int{}
	var weight [2]float64
	for n, row := range out.proposal.Rows {
		key := [2]int{row.A - 1, row.B - 1}
		sizes[key] = row.Needed
		calls := 0.0
		for class, load := range traffic.Pairs[n].Loads {
			calls += load.Erlangs
			weight[class] += load.Erlangs
			out.predicted[class] += load.Erlangs * row.Predicted[class]
		}
		circuits, err := dimension.ErlangBCircuits(calls, trial.targets[0])
		if err != nil {
			t.Fatal(err)
		}
		singleWidthSizes[key] = max(2, int(math.Ceil(circuits)))
	}
	for class := range weight {
		out.predicted[class] /= weight[class]
	}
	if testing.Verbose() {
		var text bytes.Buffer
		_ = out.rules.WriteTable(&text, traffic, out.proposal)
		t.Log(text.String())
	}
	measureOn := func(sizes map[[2]int]int) [2][2]float64 {
		var intervals []measure.Interval
		for run := range uint64(max(1, trial.sizedRuns)) {
			settings := trial.settings(trial.seed + 1000*(run+1))
			settings.GroupSizeOf = func(a, b int) int { return sizes[[2]int{a, b}] }
			intervals = append(intervals, trial.play(t, settings)...)
		}
		return refusalRates(out.rules, intervals)
	}
	out.refused = measureOn(sizes)
	if singleWidth {
		out.singleWidth = measureOn(singleWidthSizes)
	}
	return out
}

// Checks that refusal rates on groups sized by measured traffic are within a percentage point of the target blocking, for
// random and peaked traffic, by class of two widths, within and between regions. There are three runs of half an hour
// because the blocking of a wide class varies by half a point between single runs.
func TestSizedGroupsMeetTheirTarget(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates hours of traffic")
	}
	for name, trial := range map[string]sizingTrial{
		"random": {exchanges: 4, rate: 5, length: 30 * time.Minute, sizedRuns: 3, targets: [2]float64{0.015, 0.03}, traffic: model.Traffic{Spread: 0.4, Seed: 1}, seed: 3},
		"peaked": {exchanges: 4, rate: 5, length: 30 * time.Minute, sizedRuns: 3, targets: [2]float64{0.015, 0.03}, seed: 4,
			traffic: model.Traffic{Profile: []float64{0.5, 0.5, 1.5, 1.5}, Day: 16 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := trial.run(t, false)
			for class := range r.refused {
				for between, refused := range r.refused[class] {
					if math.Abs(refused-trial.targets[class]) > 0.01 {
						t.Errorf("class %d, between regions %v: %.4f of the calls were refused, predicted %.4f, target %.3f", class, between == 1, refused, r.predicted[class], trial.targets[class])
					}
				}
			}
			t.Logf("refused %.4f, predicted %.4f, targets %v", r.refused, r.predicted, trial.targets)
		})
	}
}

// BenchmarkSizing runs trials with 40 and 94 exchanges, routed by logic.Controller and by direct routes only, and compares
// with groups sized by Erlang B as if all calls took one circuit. It takes minutes.
func BenchmarkSizing(b *testing.B) {
	for _, n := range []int{40, 94} {
		for _, controller := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/module=%v", n, controller), func(b *testing.B) {
				for b.Loop() {
					trial := sizingTrial{exchanges: n, rate: 9, length: 15 * time.Minute, targets: [2]float64{0.02, 0.02}, traffic: model.Traffic{Spread: 0.4, Seed: 1}, controller: controller, seed: 5}
					if n > 40 {
						trial.length = 5 * time.Minute
					}
					r := trial.run(b, true)
					for class, name := range []string{"narrow", "wide"} {
						b.ReportMetric(100*r.predicted[class], name+"-predicted-%")
						for between, where := range []string{"within", "between"} {
							b.ReportMetric(100*r.refused[class][between], name+"-"+where+"-met-%")
							b.ReportMetric(100*r.singleWidth[class][between], name+"-"+where+"-naive-%")
						}
					}
					b.ReportMetric(r.proposal.Cost, "cost")
					b.ReportMetric(r.proposal.Least, "least-cost")
				}
			})
		}
	}
}

// BenchmarkPlan measures how long it takes to size all groups of 94 exchanges.
func BenchmarkPlan(b *testing.B) {
	trial := sizingTrial{exchanges: 94, targets: [2]float64{0.02, 0.02}}
	r := trial.rules(b)
	var traffic Traffic
	for x := 1; x <= 94; x++ {
		for y := x + 1; y <= 94; y++ {
			erlangs := 0.5 + float64((x*31+y*17)%100)/20
			traffic.Pairs = append(traffic.Pairs, dimension.Pair{A: x, B: y, Loads: []dimension.Load{{Erlangs: erlangs, Width: 1}, {Erlangs: erlangs / 6, Width: 2}}})
		}
	}
	traffic.Hold = 11
	for _, variation := range []string{"none", "medium"} {
		b.Run(variation, func(b *testing.B) {
			r.Variation = variation
			for b.Loop() {
				if _, err := r.Plan(traffic); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("hub", func(b *testing.B) {
		r.Variation, r.Hub = "none", "ex001"
		for b.Loop() {
			proposal, err := r.Plan(traffic)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(proposal.Cost/proposal.Alone, "of-alone")
		}
	})
}

// Checks a plan from a table: rows for both directions add up, errors name their lines, what-if cases are computed, and
// the report, the table and the CSV file are written.
func TestTable(t *testing.T) {
	r := sizingTrial{exchanges: 3, targets: [2]float64{0.01, 0.01}}.rules(t)
	pairs, err := r.ReadTraffic("t.csv", strings.NewReader("from,to,class,erlangs,circuits\nex001,ex002,narrow,6,10\nex002,ex001,narrow,6,10\nex001,ex003,wide,0.5,\n"))
	if err != nil || len(pairs) != 2 || pairs[0].Loads[0].Erlangs != 12 || pairs[0].Today != 10 {
		t.Fatalf("%+v, %v", pairs, err)
	}
	traffic := Traffic{Pairs: pairs}
	proposal, err := r.Plan(traffic)
	if err != nil || proposal.Rows[0].Needed != 20 || proposal.Rows[0].Buy() != 10 || proposal.Least > proposal.Cost { // 12.0 erlangs on 20 circuits have a blocking of 1%
		t.Fatalf("%+v, %v", proposal, err)
	}
	for text, want := range map[string]float64{"class narrow=1": proposal.Cost, "exchanges=3": proposal.Cost, "lost r1=1": proposal.Cost} {
		if c, err := r.WhatIf(traffic, text); err != nil || math.Abs(c.Proposal.Cost-want) > 1e-9 {
			t.Errorf("%s: %v, %v", text, c.Proposal.Cost, err)
		}
	}
	grown, err := r.WhatIf(traffic, "class narrow=1.3")
	if err != nil || grown.Proposal.Cost <= proposal.Cost {
		t.Errorf("%v, %v", grown.Proposal.Cost, err)
	}
	if lost, err := r.WhatIf(traffic, "lost r1=0.5"); err != nil || lost.Worst < 0.05 {
		t.Errorf("%v, %v", lost.Worst, err)
	}
	for _, bad := range []string{"", "class", "class x=2", "exchanges=1.5", "lost r9=1", "rain=3", "class narrow=-1", "class narrow=NaN"} {
		if _, err := r.WhatIf(traffic, bad); err == nil {
			t.Errorf("no error for %q", bad)
		}
	}
	var page, table, rows bytes.Buffer
	if err := r.WriteReport(&page, traffic, proposal, []Case{grown}); err != nil || !strings.Contains(page.String(), "class narrow=1.3") {
		t.Errorf("%v", err)
	}
	if err := r.WriteTable(&table, traffic, proposal); err != nil || !strings.Contains(table.String(), "ex001-ex002") {
		t.Errorf("%v", err)
	}
	if err := r.WriteCSV(&rows, proposal); err != nil || strings.Count(rows.String(), "\n") != 3 {
		t.Errorf("%v", err)
	}
	for line, bad := range map[int]string{
		1: "from,to,class\n", 2: "from,to,class,erlangs\nex001,ex001,narrow,3\n",
		3:  "from,to,class,erlangs\nex001,ex002,narrow,3\nex001,ex002,narrow,NaN\n",
		4:  "from,to,class,erlangs\nex001,ex002,narrow,3\nex001,ex002,wide,1\nex001,ex002,narrow,-3\n",
		5:  "from,to,class,erlangs\nex001,ex002,narrow,3\nex001,ex002,wide,1\nex001,ex002,narrow,3\nex001,ex002,fax,3\n",
		6:  "from,to,class,erlangs,peakedness\nex001,ex002,narrow,3,\nex001,ex002,wide,1,\nex001,ex002,narrow,3,\nex001,ex002,narrow,3,\nex001,ex002,narrow,3,0\n",
		-2: "from,to,class,erlangs\nex001,ex002,narrow\n", -3: ""} {
		_, err := r.ReadTraffic("t.csv", strings.NewReader(bad))
		if err == nil || !strings.HasPrefix(err.Error(), "t.csv: ") || line > 0 && !strings.Contains(err.Error(), fmt.Sprintf("line %d", line)) {
			t.Errorf("%q: %v, want line %d", bad, err, line)
		}
	}
}

// Checks that groups are sized by the trend over the measured days for the day that the plan is for, and that too few days
// are an error.
func TestAhead(t *testing.T) {
	r := sizingTrial{exchanges: 2, targets: [2]float64{0.01, 0.01}}.rules(t)
	r.Ahead = 30
	var intervals []measure.Interval
	for day := range 6 {
		for home := 1; home <= 2; home++ {
			calls := int(400 * math.Pow(1.02, float64(day)))
			intervals = append(intervals, measure.Interval{Home: home, Start: time.Date(2026, 11, 2+day, 10, 0, 0, 0, time.UTC), Covered: measure.IntervalLength,
				Counts: []measure.Count{{To: 3 - home, Tries: calls, Fresh: calls, Ended: calls, Hold: 6 * float64(calls), Hold2: 72 * float64(calls)}}, Groups: []measure.Group{{To: 3 - home, Circuits: 9, Least: 9}}})
		}
	}
	traffic, err := r.MeasuredTraffic(intervals)
	if err != nil || math.Abs(traffic.Trend.Growth-0.02) > 0.001 || math.Abs(traffic.Pairs[0].Loads[0].Erlangs-2*400*6/900.0*math.Pow(1.02, 35)) > 0.3 {
		t.Errorf("%+v, %v", traffic, err)
	}
	if _, err := r.MeasuredTraffic(intervals[:4]); !errors.Is(err, dimension.ErrTooFewDays) {
		t.Errorf("two days: %v", err)
	}
}

// Checks that errors in the rules are reported with the name of the file.
func TestRulesFaults(t *testing.T) {
	good := `{ classes: [{ name: 'a', width: 1, hold: '6s', target: 0.01 }], exchanges: [{ number: 1, name: 'x' }, { number: 2, name: 'y' }], variation: 'low' }`
	if _, err := ReadRules("r", good); err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{{"0.01", "1.5"}, {"width: 1", "width: 0"}, {"number: 2", "number: 1"}, {"'low'", "'wild'"}, {"'low'", "'low', hub: 'z'"},
		{"'low'", "'low', growth: { b: 2 }"}, {"'low'", "'low', keep: [{ from: 'now', to: 'then' }]"}, {"'low'", "'low', same: -1"}, {"classes", "klasses"}} {
		if _, err := ReadRules("r.jsonnet", strings.Replace(good, change[0], change[1], 1)); err == nil || !strings.HasPrefix(err.Error(), "r.jsonnet") {
			t.Errorf("%v: %v", change, err)
		}
	}
}
