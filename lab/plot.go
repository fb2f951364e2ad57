package lab

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot is one chart of a report.
type Plot struct {
	Name  string // file name without extension
	Title string
	PNG   []byte
}

// series is one curve of a chart: points with error bars, or a dashed line without them.
type series struct {
	name string
	points
	dashed bool
}

// points have error bars of half above and half below y.
type points []struct{ x, y, half float64 }

// Len returns the number of points. With XY it implements plotter.XYer.
func (p points) Len() int { return len(p) }

// XY returns the coordinates of a point.
func (p points) XY(i int) (x, y float64) { return p[i].x, p[i].y }

// YError implements plotter.YErrorer; a point with an infinite interval gets no error bar.
func (p points) YError(i int) (low, high float64) {
	if math.IsInf(p[i].half, 0) {
		return 0, 0
	}
	return p[i].half, p[i].half
}

// draw renders a chart as a PNG image.
func draw(name, title, xLabel, yLabel string, logX bool, lines []series) (Plot, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, xLabel, yLabel
	chart.Legend.Top, chart.Legend.Left = false, true
	if logX {
		chart.X.Scale, chart.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	chart.Add(plotter.NewGrid())
	for i, s := range lines {
		if len(s.points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(s.points)
		if err != nil {
			return Plot{}, fmt.Errorf("lab: plot %s: %w", name, err)
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		if s.dashed {
			line.Color, line.Dashes = color.Gray{Y: 90}, plotutil.Dashes(1+i%3)
			chart.Add(line)
			chart.Legend.Add(s.name, line)
			continue
		}
		bars, err := plotter.NewYErrorBars(s.points)
		if err != nil {
			return Plot{}, fmt.Errorf("lab: plot %s: %w", name, err)
		}
		bars.Color = plotutil.Color(i)
		chart.Add(line, dots, bars)
		chart.Legend.Add(s.name, line, dots)
	}
	writer, err := chart.WriterTo(18*vg.Centimeter, 11*vg.Centimeter, "png")
	if err != nil {
		return Plot{}, fmt.Errorf("lab: plot %s: %w", name, err)
	}
	var buf bytes.Buffer
	if _, err := writer.WriteTo(&buf); err != nil {
		return Plot{}, fmt.Errorf("lab: plot %s: %w", name, err)
	}
	return Plot{name, title, buf.Bytes()}, nil
}

// Plots draws the charts of a report: service, set-up time and lost worth by load for each fleet size; with a fault
// schedule, service by the second; and with several sizes, the cost of an event.
func (e Experiment) Plots(rows []Row, results []Result) (plots []Plot, err error) {
	add := func(drawn Plot, plotErr error) {
		if plots = append(plots, drawn); err == nil {
			err = plotErr
		}
	}
	for _, exchanges := range e.Exchanges {
		if len(e.Loads) > 1 {
			add(draw(fmt.Sprintf("service-%d", exchanges), fmt.Sprintf("Worth carried, %d exchanges", exchanges), "offered load, relative to the planned load",
				"fraction of the worth offered", false, e.serviceByLoad(rows, exchanges)))
			add(draw(fmt.Sprintf("setup-%d", exchanges), fmt.Sprintf("Set-up time, 99th percentile, %d exchanges", exchanges), "offered load, relative to the planned load",
				"seconds", false, e.policyLines(rows, exchanges, func(r Row) (float64, float64) { return r.P99.Seconds(), 0 })))
			add(draw(fmt.Sprintf("blocked-%d", exchanges), fmt.Sprintf("Worth lost, %d exchanges", exchanges), "offered load, relative to the planned load",
				"fraction of the worth offered that was lost", false, e.policyLines(rows, exchanges, func(r Row) (float64, float64) { return 1 - r.Service.Value, r.Service.Half })))
		}
		if len(e.Steps) > 0 {
			for _, load := range e.Loads {
				add(draw(fmt.Sprintf("seconds-%d-%.0f", exchanges, 100*load), fmt.Sprintf("Service by the second, %d exchanges at %.0f%% of the planned load", exchanges, 100*load),
					"second of the caller's first set-up", "fraction of the worth offered", false, e.serviceBySecond(results, exchanges, load)))
			}
		}
	}
	if len(e.Exchanges) > 1 {
		add(draw("cost", "Cost of an event", "exchanges", "microseconds of wall time", true, e.costBySize(rows)))
	}
	return plots, err
}

// policyLines returns a line for each policy: a value of its rows, with half of its interval, by load.
func (e Experiment) policyLines(rows []Row, exchanges int, value func(Row) (float64, float64)) (lines []series) {
	for _, policy := range e.Policies {
		line := series{name: policy}
		for _, r := range rows {
			if r.Exchanges == exchanges && r.Policy == policy {
				y, half := value(r)
				line.points = append(line.points, struct{ x, y, half float64 }{r.Load, y, half})
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// serviceByLoad returns the service of each policy and the upper bounds, by load.
func (e Experiment) serviceByLoad(rows []Row, exchanges int) []series {
	lines := e.policyLines(rows, exchanges, func(r Row) (float64, float64) { return r.Service.Value, r.Service.Half })
	for _, curve := range []struct {
		name  string
		value func(Row) float64
	}{{"bound: fluid", func(r Row) float64 { return r.Fluid }}, {"bound: decided at once", func(r Row) float64 { return r.AtOnce }}} {
		line := series{name: curve.name, dashed: true}
		for _, r := range rows {
			if y := curve.value(r); r.Exchanges == exchanges && r.Policy == e.Policies[0] && y > 0 {
				line.points = append(line.points, struct{ x, y, half float64 }{r.Load, y, 0})
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// costBySize returns the cost of an event with each policy at the first load, by fleet size.
func (e Experiment) costBySize(rows []Row) (lines []series) {
	for _, policy := range e.Policies {
		line := series{name: policy}
		for _, exchanges := range e.Exchanges {
			if i := slices.IndexFunc(rows, func(r Row) bool { return r.Exchanges == exchanges && r.Policy == policy && r.Load == e.Loads[0] }); i >= 0 {
				line.points = append(line.points, struct{ x, y, half float64 }{float64(exchanges), rows[i].Cost, 0})
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// serviceBySecond returns the mean service of each policy in each second, over the seeds.
func (e Experiment) serviceBySecond(results []Result, exchanges int, load float64) (lines []series) {
	for _, policy := range e.Policies {
		line, runs := series{name: policy}, 0
		for _, result := range results {
			if result.Exchanges != exchanges || result.Load != load || result.Policy != policy || result.Callers == 0 {
				continue
			}
			runs++
			for second, service := range result.Windows {
				if len(line.points) <= second {
					line.points = append(line.points, struct{ x, y, half float64 }{float64(second), 0, 0})
				}
				line.points[second].y += service
			}
		}
		for second := range line.points {
			line.points[second].y /= float64(runs)
		}
		lines = append(lines, line)
	}
	return lines
}
