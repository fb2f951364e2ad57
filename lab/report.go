package lab

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// reportText is the template of a report's page.
//
//go:embed report.html
var reportText string

// reportTemplate is the parsed template of a report's page.
var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"base64": func(b []byte) template.URL {
		return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(b))
	},
	"ms":   func(d time.Duration) string { return d.Round(time.Millisecond).String() },
	"dash": formatOrDash,
}).Parse(reportText))

// WriteReport writes the report as one HTML page with the plots embedded in it.
func (e Experiment) WriteReport(w io.Writer, rows []Row, plots []Plot, commits []string) error {
	var page bytes.Buffer
	err := reportTemplate.Execute(&page, struct {
		Experiment
		Rows    []Row
		Plots   []Plot
		Commits string
		Module  string
	}{e, rows, plots, strings.Join(commits, ", "), Module})
	if err != nil {
		return fmt.Errorf("lab: report: %w", err)
	}
	_, err = w.Write(page.Bytes())
	return err
}

// WriteReportDir writes the page, as index.html, and each plot, as a PNG file, into the directory dir.
func (e Experiment) WriteReportDir(dir string, results []Result) error {
	rows := e.Summary(results)
	plots, err := e.Plots(rows, results)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("lab: report: %w", err)
	}
	for _, plot := range plots {
		if err := os.WriteFile(filepath.Join(dir, plot.Name+".png"), plot.PNG, 0o644); err != nil {
			return fmt.Errorf("lab: report: %w", err)
		}
	}
	var commits []string
	for _, result := range results {
		if result.Commit != "" && !slices.Contains(commits, result.Commit) {
			commits = append(commits, result.Commit)
		}
	}
	file, err := os.Create(filepath.Join(dir, "index.html"))
	if err != nil {
		return fmt.Errorf("lab: report: %w", err)
	}
	if err := e.WriteReport(file, rows, plots, commits); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
