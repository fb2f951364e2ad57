package lab

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Mean is a mean over N seeds with half the width of its 95% confidence interval (Student's t), which is infinite for a
// single seed.
type Mean struct {
	Value, Half float64
	N           int
}

// mean computes the mean of samples and its confidence interval.
func mean(samples []float64) Mean {
	m := Mean{N: len(samples), Half: math.Inf(1)}
	if len(samples) == 0 {
		return m
	}
	m.Value = stat.Mean(samples, nil)
	if len(samples) > 1 {
		quantile := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(samples) - 1)}.Quantile(0.975)
		m.Half = quantile * stat.StdDev(samples, nil) / math.Sqrt(float64(len(samples)))
	}
	return m
}

// String formats the mean as 0.812±0.004, without the interval for a single seed.
func (m Mean) String() string {
	if m.N < 2 {
		return fmt.Sprintf("%.3f", m.Value)
	}
	return fmt.Sprintf("%.3f±%.3f", m.Value, m.Half)
}

// Row summarises the runs of one policy at one fleet size and load.
type Row struct {
	Exchanges     int
	Load          float64
	Policy        string
	Service       Mean
	ByClass       []Mean // service of each class
	Over          Mean   // service minus that of the module, paired by seed
	OfBound       Mean   // service divided by the fluid bound
	Fluid, AtOnce float64
	Sends, Late   float64         // means over the seeds
	P50, P99      time.Duration   // medians over the seeds
	Recovery      []time.Duration // median by fault; a run that did not recover counts as the experiment's length
	Never         []int           // runs that did not recover, by fault
	Cost          float64         // microseconds of wall time per event
	PerSecond     float64         // callers simulated per second on one core
	Breaches      int             // rule violations of all runs
	Seeds         int
}

// Summary returns a row for each fleet size, load and policy that has results, in the experiment's order.
func (e Experiment) Summary(results []Result) (rows []Row) {
	for _, exchanges := range e.Exchanges {
		for _, load := range e.Loads {
			byPolicy := map[string][]Result{}
			for _, result := range results {
				if result.Exchanges == exchanges && result.Load == load && result.Callers > 0 {
					byPolicy[result.Policy] = append(byPolicy[result.Policy], result)
				}
			}
			for _, policy := range e.Policies {
				if len(byPolicy[policy]) > 0 {
					rows = append(rows, e.row(byPolicy[policy], byPolicy[Module]))
				}
			}
		}
	}
	return rows
}

// row summarises runs; moduleRuns are the module's runs at the same size and load.
func (e Experiment) row(runs, moduleRuns []Result) Row {
	first := runs[0]
	row := Row{Exchanges: first.Exchanges, Load: first.Load, Policy: first.Policy, Fluid: first.Fluid, AtOnce: first.AtOnce, Seeds: len(runs),
		Recovery: make([]time.Duration, len(e.Steps)), Never: make([]int, len(e.Steps))}
	collect := func(value func(r Result) float64) []float64 {
		var values []float64
		for _, r := range runs {
			values = append(values, value(r))
		}
		return values
	}
	row.Service = mean(collect(func(r Result) float64 { return r.Service }))
	for class := range e.Classes {
		row.ByClass = append(row.ByClass, mean(collect(func(r Result) float64 { return r.ByClass[class] })))
	}
	if first.Fluid > 0 {
		row.OfBound = mean(collect(func(r Result) float64 { return r.Service / r.Fluid }))
	}
	var differences []float64
	for _, r := range runs {
		if i := slices.IndexFunc(moduleRuns, func(moduleRun Result) bool { return moduleRun.Seed == r.Seed }); i >= 0 {
			differences = append(differences, r.Service-moduleRuns[i].Service)
		}
	}
	row.Over = mean(differences)
	row.Sends, row.Late = stat.Mean(collect(func(r Result) float64 { return r.Sends }), nil), stat.Mean(collect(func(r Result) float64 { return r.Late }), nil)
	row.P50 = time.Duration(median(collect(func(r Result) float64 { return float64(r.P50) })))
	row.P99 = time.Duration(median(collect(func(r Result) float64 { return float64(r.P99) })))
	for i := range e.Steps {
		for _, r := range runs {
			if r.Recovery[i] < 0 {
				row.Never[i]++
			}
		}
		row.Recovery[i] = time.Duration(median(collect(func(r Result) float64 {
			if r.Recovery[i] < 0 {
				return float64(e.Length)
			}
			return float64(r.Recovery[i])
		})))
	}
	events, wall, callers := 0.0, 0.0, 0.0
	for _, r := range runs {
		events, wall, callers = events+float64(r.Events), wall+r.Wall.Seconds(), callers+float64(r.Callers)
		row.Breaches += r.Breaches
	}
	row.Cost, row.PerSecond = 1e6*wall/math.Max(events, 1), callers/math.Max(wall, 1e-9)
	return row
}

// median returns the middle value, the higher one of two. It sorts values in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// WriteTable prints rows as a table.
func WriteTable(w io.Writer, experiment Experiment, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "exchanges\tload\tpolicy\tservice\t")
	for _, class := range experiment.Classes {
		fmt.Fprintf(table, "%s\t", class.Name)
	}
	fmt.Fprint(table, "less module\tof bound\tfluid\tat once\tsends\tlate\tp50\tp99\t")
	for i, step := range experiment.Steps {
		fmt.Fprintf(table, "%d %s back\t", i, step.Kind)
	}
	fmt.Fprint(table, "us/event\tbreaches\t\n")
	for _, row := range rows {
		fmt.Fprintf(table, "%d\t%.2f\t%s\t%v\t", row.Exchanges, row.Load, row.Policy, row.Service)
		for _, service := range row.ByClass {
			fmt.Fprintf(table, "%.3f\t", service.Value)
		}
		difference := "-"
		if row.Policy != Module && row.Over.N > 0 {
			difference = row.Over.String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.2f\t%.3f\t%v\t%v\t", difference, formatOrDash(row.OfBound.Value), formatOrDash(row.Fluid), formatOrDash(row.AtOnce), row.Sends, row.Late,
			row.P50.Round(time.Millisecond), row.P99.Round(time.Millisecond))
		for i := range experiment.Steps {
			recovered := row.Recovery[i].String()
			if row.Never[i] > 0 {
				recovered = fmt.Sprintf("%s (%d of %d not)", recovered, row.Never[i], row.Seeds)
			}
			fmt.Fprintf(table, "%s\t", recovered)
		}
		fmt.Fprintf(table, "%.2f\t%d\t\n", row.Cost, row.Breaches)
	}
	return table.Flush()
}

// formatOrDash formats a value with three decimals, and 0, which stands for an unknown one, as a dash.
func formatOrDash(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", value)
}
