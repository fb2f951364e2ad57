package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/internal/standin"
)

// tryCommand runs a fault schedule on a fleet.
func tryCommand() *cobra.Command {
	var settings standin.FleetSettings
	var scriptPath, level string
	var trace, simulated bool
	c := &cobra.Command{Use: "try", Short: "Run a fault schedule on a fleet of call servers on loopback, and check the rules",
		Long: "Starts a fleet of exchanges in this process, each with its own call server, connected by M3UA over TCP on loopback,\n" +
			"runs a fault schedule, and reports the results of callers and whether the five rules were kept. Exit status 1 if a\n" +
			"rule was violated. Kinds of faults and load changes:\n",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			script, err := simenv.DefaultScript()
			if scriptPath != "" {
				var text []byte
				if text, err = os.ReadFile(scriptPath); err == nil {
					script, err = simenv.ParseScript(scriptPath, string(text))
				}
			}
			if err != nil {
				return err
			}
			log, err := newLogger(os.Stderr, level)
			if err != nil {
				return err
			}
			settings.Classes, settings.Habits, settings.Log = simenv.DefaultClasses(), simenv.DefaultHabits(), log
			if simulated {
				return simulate(cmd, settings, script, trace)
			}
			return tryOnLoopback(cmd, settings, script, trace)
		}}
	for _, kind := range simenv.FaultKindDescriptions() {
		c.Long += "  " + kind + "\n"
	}
	c.Flags().StringVar(&scriptPath, "script", "", "file with the fault schedule (Jsonnet); empty: an embedded one of a minute")
	c.Flags().Uint64Var(&settings.Seed, "seed", 1, "seed of the random numbers of callers and faults")
	c.Flags().Float64Var(&settings.Rate, "rate", 120, "set-ups per second of all callers together, without redials")
	c.Flags().IntVar(&settings.Exchanges, "exchanges", 12, "number of exchanges, each with its own call server")
	c.Flags().Float64Var(&settings.LookUpShare, "asks", 0, "share of set-ups that are preceded by an ENUM query, 0 to 1")
	c.Flags().IntVar(&settings.Regions, "regions", 2, "number of regions that the exchanges are spread over")
	c.Flags().BoolVar(&simulated, "simulated", false, "run in simulated time, without sockets; the same seed gives the same run")
	c.Flags().BoolVar(&trace, "trace", false, "after a violation, list the messages on the circuits of the first call concerned")
	c.Flags().StringVar(&level, "log", "error", "lowest level of the call servers' log lines")
	return c
}

// tryOnLoopback runs a fault schedule on a fleet whose call servers are connected over loopback sockets.
func tryOnLoopback(cmd *cobra.Command, settings standin.FleetSettings, script simenv.Script, trace bool) error {
	out := cmd.OutOrStdout()
	if settings.Exchanges < 3 || settings.Exchanges > 99 || settings.Rate <= 0 || settings.Rate > 5000 {
		return fmt.Errorf("--exchanges must be 3 to 99, --rate more than 0 and at most 5000")
	}
	startedAt := time.Now()
	fleet, err := standin.NewFleet(settings)
	if err != nil {
		return err
	}
	defer fleet.Close()
	fmt.Fprintf(out, "%d exchanges on loopback, %d circuits between each two, %.0f calls a second, %v, seed %d; started in %v\n", settings.Exchanges,
		fleet.Group, settings.Rate, time.Duration(script.Len), settings.Seed, time.Since(startedAt).Round(time.Millisecond))
	playStart := time.Now()
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { // prints the results so far every few seconds
		defer close(ended)
		ticker := time.NewTicker(5 * time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				done, established := 0, 0
				for _, outcome := range fleet.Results() {
					done++
					if outcome.Established && !outcome.Dropped {
						established++
					}
				}
				fmt.Fprintf(out, "%5.1f s  callers done %d, of them established %d\n", time.Since(playStart).Seconds(), done, established)
			case <-stop:
				return
			case <-cmd.Context().Done():
				return
			}
		}
	}()
	fleet.Play(script, func(text string) { fmt.Fprintf(out, "%5.1f s  %s\n", time.Since(playStart).Seconds(), text) })
	close(stop)
	<-ended
	report := fleet.Report()
	report.Write(out)
	if len(report.Verdict.Violations) > 0 {
		if trace {
			for _, line := range rulecheck.Trace(fleet.Recorder.Records(), report.Verdict.Violations[0].Call) {
				fmt.Fprintln(out, line)
			}
		}
		return errViolations
	}
	return nil
}
