package planning

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"finchlatch/dimension"
)

// reportTemplate is the template of the page that WriteReport writes.
//
//go:embed report.html
var reportTemplate string

// WriteReport writes an HTML page with the plan, its what-if cases and a plot.
func (r Rules) WriteReport(w io.Writer, traffic Traffic, proposal dimension.Proposal, cases []Case) error {
	sizes, err := r.plotSizes(proposal)
	if err != nil {
		return err
	}
	page, err := template.New("plan").Funcs(template.FuncMap{
		"name":    func(number int) string { return r.exchange(number).Name },
		"percent": func(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) },
		"png": func(image []byte) template.URL {
			return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(image))
		},
	}).Parse(reportTemplate)
	if err != nil {
		return fmt.Errorf("planning: report: %w", err)
	}
	return page.Execute(w, struct {
		Rules    Rules
		Traffic  Traffic
		Proposal dimension.Proposal
		Cases    []Case
		Sizes    []byte
	}{r, traffic, proposal, cases, sizes})
}

// plotSizes draws needed and present circuits over the offered traffic of each group, as a PNG image.
func (r Rules) plotSizes(proposal dimension.Proposal) ([]byte, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = "Groups", "offered traffic (circuits)", "circuits"
	chart.Legend.Top, chart.Legend.Left = true, true
	var needed, today plotter.XYs
	for _, row := range proposal.Rows {
		needed = append(needed, plotter.XY{X: row.Offered, Y: float64(row.Needed)})
		today = append(today, plotter.XY{X: row.Offered, Y: float64(row.Today)})
	}
	if err := plotutil.AddScatters(chart, "needed", needed, "today", today); err != nil {
		return nil, fmt.Errorf("planning: plot: %w", err)
	}
	image, err := chart.WriterTo(18*vg.Centimeter, 11*vg.Centimeter, "png")
	if err != nil {
		return nil, fmt.Errorf("planning: plot: %w", err)
	}
	var buffer bytes.Buffer
	_, err = image.WriteTo(&buffer)
	return buffer.Bytes(), err
}
