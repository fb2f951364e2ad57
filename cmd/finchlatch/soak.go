package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"finchlatch/internal/soak"
)

// soakOptions are the flags of the soak command.
type soakOptions struct {
	firstSeed    uint64
	runs         int
	parallel     int
	length       time.Duration
	scenarioPath string
	keepDir      string
	shrink       bool
}

// soakCommand runs soak scenarios.
func soakCommand() *cobra.Command {
	var options soakOptions
	c := &cobra.Command{Use: "soak", Short: "Run short scenarios with many faults on real call-server processes over loopback",
		Long: "Draws a fleet, a deployment and a fault schedule from each seed and runs them on processes of this program. The five\n" +
			"rules, ends of calls, crashes and limits are checked from the sockets and the processes. A run with violations is kept\n" +
			"as a scenario file, which --scenario runs again and --shrink reduces. Exit status 1 if a run had violations.",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return err
			}
			if options.scenarioPath != "" {
				return replaySoak(cmd, options, binary)
			}
			return soakSeeds(cmd, options, binary)
		}}
	c.Flags().Uint64Var(&options.firstSeed, "seed", 1, "seed of the first run")
	c.Flags().IntVar(&options.runs, "runs", 1, "number of runs")
	c.Flags().IntVar(&options.parallel, "parallel", 1, "number of runs at a time")
	c.Flags().DurationVar(&options.length, "for", 20*time.Second, "how long calls are offered in each run")
	c.Flags().StringVar(&options.scenarioPath, "scenario", "", "scenario file to run in place of drawn scenarios")
	c.Flags().BoolVar(&options.shrink, "shrink", false, "with --scenario: reduce it to the faults that cause the violation")
	c.Flags().StringVar(&options.keepDir, "keep", "found", "directory for scenarios and logs of runs with violations")
	return c
}

// soakSeeds runs the scenarios of consecutive seeds, several at a time.
func soakSeeds(cmd *cobra.Command, options soakOptions, binary string) error {
	var mu sync.Mutex
	var workers sync.WaitGroup
	counts, withViolations, runErr := map[string]int{}, 0, error(nil)
	slots := make(chan struct{}, max(1, options.parallel))
	for seed := options.firstSeed; seed < options.firstSeed+uint64(options.runs) && cmd.Context().Err() == nil; seed++ {
		slots <- struct{}{}
		workers.Add(1)
		go func() {
			defer workers.Done()
			defer func() { <-slots }()
			report, err := runSoak(soak.Draw(seed, options.length), binary, options.keepDir)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				runErr = err
				return
			}
			fmt.Fprint(cmd.OutOrStdout(), report)
			for name, n := range report.Counts {
				counts[name] += n
			}
			if len(report.Violations) > 0 {
				withViolations++
			}
		}()
	}
	workers.Wait()
	if runErr != nil {
		return runErr
	}
	for _, name := range soak.HardCases() {
		counts[name] += 0 // listed even if it never occurred
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%d runs from seed %d, %d of them bad\n%s", options.runs, options.firstSeed, withViolations, soak.Table(counts))
	if withViolations > 0 {
		return errViolations
	}
	return nil
}

// runSoak runs one scenario. If there are violations, it keeps the scenario, the violations and the logs in a directory under
// keepDir.
func runSoak(scenario *soak.Scenario, binary, keepDir string) (*soak.Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	report, err := soak.Run(scenario, binary, dir)
	if err != nil || len(report.Violations) == 0 {
		if removeErr := os.RemoveAll(dir); err == nil {
			err = removeErr
		}
		return report, err
	}
	if err := os.WriteFile(filepath.Join(dir, "scenario.json"), scenario.JSON(), 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "breaches.txt"), []byte(report.String()), 0o600); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(keepDir, 0o755); err != nil {
		return nil, err
	}
	keptDir := filepath.Join(keepDir, fmt.Sprintf("soak-%d", scenario.Seed))
	if err := os.RemoveAll(keptDir); err != nil {
		return nil, err
	}
	return report, os.CopyFS(keptDir, os.DirFS(dir))
}

// replaySoak runs a scenario from its file, and shrinks it if the options say so and there are violations.
func replaySoak(cmd *cobra.Command, options soakOptions, binary string) error {
	text, err := os.ReadFile(options.scenarioPath)
	if err != nil {
		return err
	}
	scenario, err := soak.Read(text)
	if err != nil {
		return fmt.Errorf("%s: %w", options.scenarioPath, err)
	}
	report, err := runSoak(scenario, binary, options.keepDir)
	if err != nil {
		return err
	}
	fmt.Fprint(cmd.OutOrStdout(), report, soak.Table(report.Counts))
	if len(report.Violations) == 0 {
		return nil
	}
	if options.shrink {
		shrunk := soak.Shrink(scenario, func(candidate *soak.Scenario) bool {
			shrunkReport, err := runSoak(candidate, binary, options.keepDir)
			return err == nil && len(shrunkReport.Violations) > 0
		})
		fmt.Fprintf(cmd.OutOrStdout(), "shrunk to %d faults:\n%s", len(shrunk.Faults), shrunk.JSON())
	}
	return errViolations
}
