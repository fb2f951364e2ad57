package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/internal/standin"
	"finchlatch/model"
)

// simulate runs a fault schedule on a fleet in simulated time, and reports as tryOnLoopback does.
func simulate(cmd *cobra.Command, settings standin.FleetSettings, script simenv.Script, trace bool) error {
	if settings.Exchanges < 3 || settings.Rate <= 0 {
		return fmt.Errorf("--exchanges must be at least 3, --rate more than 0")
	}
	if settings.LookUpShare > 0 {
		return fmt.Errorf("--asks: ENUM queries are not simulated")
	}
	var records []rulecheck.Record
	startedAt := time.Now()
	fleet, err := model.New(model.Settings{Exchanges: settings.Exchanges, Regions: settings.Regions, Rate: settings.Rate, Seed: settings.Seed,
		Classes: settings.Classes, Habits: settings.Habits, MaxWait: simenv.MaxWait,
		OnRecord: func(record rulecheck.Record) { records = append(records, record) }})
	if err != nil {
		return err
	}
	if err := fleet.Play(script, model.DrainTime); err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "%d exchanges in simulated time, %.0f calls a second, %v, seed %d; %d events in %v\n", settings.Exchanges, settings.Rate,
		time.Duration(script.Len), settings.Seed, fleet.Events(), time.Since(startedAt).Round(time.Millisecond))
	report := simenv.NewReport(settings.Classes, fleet.Results(), rulecheck.Check(fleet.Parameters, records, fleet.Now()))
	for range fleet.CollapsedCount() {
		report.Collapsed = append(report.Collapsed, "an exchange")
	}
	report.Write(out)
	if len(report.Verdict.Violations) == 0 {
		return nil
	}
	if trace {
		for _, line := range rulecheck.Trace(records, report.Verdict.Violations[0].Call) {
			fmt.Fprintln(out, line)
		}
	}
	return errViolations
}
