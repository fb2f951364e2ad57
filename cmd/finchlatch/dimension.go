package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"finchlatch/dimension"
	"finchlatch/measure"
	"finchlatch/planning"
)

// dimensionCommand sizes trunk groups by measured or tabulated traffic.
func dimensionCommand() *cobra.Command {
	var storePaths, caseTexts []string
	var tablePath, outDir, settingsPath, exchange string
	c := &cobra.Command{Use: "dimension RULES", Short: "Size trunk groups by measured traffic",
		Long: "Reads rules (Jsonnet: classes with blocking targets, exchanges, costs) and traffic, either from the measurement stores\n" +
			"of call servers or from a CSV table (from, to, class, erlangs; optionally peakedness and circuits). Prints one row per\n" +
			"trunk group: circuits today, circuits needed, and the reason. --out writes a report, a CSV file and, with --settings\n" +
			"and --exchange, settings with the new circuits for that call server, which finchlatch check accepts.",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			rules, err := planning.ReadRules(args[0], string(text))
			if err != nil {
				return err
			}
			traffic, err := readTraffic(rules, storePaths, tablePath)
			if err != nil {
				return err
			}
			proposal, err := rules.Plan(traffic)
			if err != nil {
				return err
			}
			if err := rules.WriteTable(cmd.OutOrStdout(), traffic, proposal); err != nil {
				return err
			}
			var cases []planning.Case
			for _, text := range caseTexts {
				result, err := rules.WhatIf(traffic, text)
				if err != nil {
					return err
				}
				cases = append(cases, result)
				fmt.Fprintf(cmd.OutOrStdout(), "if %s: all circuits cost %.1f, worst blocking %.2f%%\n", result.Text, result.Proposal.Cost, 100*result.Worst)
			}
			if outDir == "" {
				return nil
			}
			return writePlan(rules, traffic, proposal, cases, outDir, settingsPath, exchange)
		}}
	c.Flags().StringArrayVar(&storePaths, "store", nil, "measurement store of a call server; may be repeated")
	c.Flags().StringVar(&tablePath, "csv", "", "CSV table of traffic, in place of measurements")
	c.Flags().StringArrayVar(&caseTexts, "what-if", nil, "a case to evaluate: 'class NAME=1.3', 'exchanges=94' or 'lost REGION=0.5'; may be repeated")
	c.Flags().StringVar(&outDir, "out", "", "directory for the report, the CSV file and the settings; empty: none")
	c.Flags().StringVar(&settingsPath, "settings", "", "settings file of the call server that the new circuits are written for")
	c.Flags().StringVar(&exchange, "exchange", "", "exchange of that call server")
	return c
}

// allTime is an interval that contains all measurements of a store.
var allTime = [2]time.Time{time.Unix(0, 0), time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)}

// readTraffic reads traffic from a CSV table or from measurement stores.
func readTraffic(rules planning.Rules, storePaths []string, tablePath string) (planning.Traffic, error) {
	var traffic planning.Traffic
	switch {
	case tablePath != "" && len(storePaths) > 0 || tablePath == "" && len(storePaths) == 0:
		return traffic, errors.New("one of --csv and --store is needed, and only one")
	case tablePath != "":
		file, err := os.Open(tablePath)
		if err != nil {
			return traffic, err
		}
		defer file.Close()
		traffic.Pairs, err = rules.ReadTraffic(tablePath, file)
		return traffic, err
	}
	var intervals []measure.Interval
	for _, path := range storePaths {
		if _, err := os.Stat(path); err != nil {
			return traffic, err
		}
		store, err := measure.OpenStore(path, 0)
		if err != nil {
			return traffic, err
		}
		stored, err := store.Read(allTime[0], allTime[1])
		store.Close()
		if err != nil {
			return traffic, fmt.Errorf("%s: %w", path, err)
		}
		intervals = append(intervals, stored...)
	}
	return rules.MeasuredTraffic(intervals)
}

// writePlan writes the report, the CSV file and, if settingsPath is given, the settings of an exchange into a directory.
func writePlan(rules planning.Rules, traffic planning.Traffic, proposal dimension.Proposal, cases []planning.Case, dir, settingsPath, exchange string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	create := func(name string, write func(w io.Writer) error) error {
		file, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		return errors.Join(write(file), file.Close())
	}
	err := create("index.html", func(w io.Writer) error { return rules.WriteReport(w, traffic, proposal, cases) })
	err = errors.Join(err, create("groups.csv", func(w io.Writer) error { return rules.WriteCSV(w, proposal) }))
	if settingsPath == "" {
		return err
	}
	path, settingsErr := filepath.Abs(settingsPath)
	if settingsErr != nil {
		return settingsErr
	}
	text, settingsErr := rules.Settings(path, exchange, proposal)
	if settingsErr != nil {
		return settingsErr
	}
	return errors.Join(err, create(exchange+".jsonnet", func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}))
}
