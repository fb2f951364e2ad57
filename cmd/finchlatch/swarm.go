package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"finchlatch/model"
)

// shrinkRuns is the largest number of runs that shrinking one scenario may take.
const shrinkRuns = 300

// swarmCommand runs random scenarios in simulated time.
func swarmCommand() *cobra.Command {
	var runs, firstSeed uint64
	var scenarioPath, keepPrefix string
	var shrink, stopAtFirst bool
	c := &cobra.Command{Use: "swarm", Short: "Run many short random scenarios in simulated time, and name the seeds that violate a rule",
		Long: "Draws a fleet and a fault schedule from each seed and runs them. Each run is checked for the five rules, from taps on the\n" +
			"links, for consistent circuit accounting, and for circuits that are all free at the end. With --shrink, a run with\n" +
			"violations is reduced and saved as a scenario file, which --scenario runs again. Exit status 1 if a run had violations.",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if scenarioPath != "" {
				return replaySimulated(cmd, scenarioPath, shrink)
			}
			var nextSeed, failed atomic.Uint64
			nextSeed.Store(firstSeed)
			var mu sync.Mutex
			var workers sync.WaitGroup
			startedAt := time.Now()
			for range runtime.GOMAXPROCS(0) {
				workers.Add(1)
				go func() {
					defer workers.Done()
					for seed := nextSeed.Add(1) - 1; seed < firstSeed+runs && cmd.Context().Err() == nil && !(stopAtFirst && failed.Load() > 0); seed = nextSeed.Add(1) - 1 {
						scenario := model.DrawScenario(seed)
						if err := scenario.Run(nil); err != nil {
							failed.Add(1)
							mu.Lock()
							fmt.Fprintf(cmd.OutOrStdout(), "%v\nreplay: finchlatch swarm --from %d --runs 1\n", err, seed)
							saveShrunk(cmd, scenario, fmt.Sprintf("%s-%d.json", keepPrefix, seed), shrink)
							mu.Unlock()
						}
					}
				}()
			}
			workers.Wait()
			done := min(nextSeed.Load()-firstSeed, runs)
			fmt.Fprintf(cmd.OutOrStdout(), "%d runs from seed %d, %d of them bad, %.1f a second\n", done, firstSeed, failed.Load(),
				float64(done)/time.Since(startedAt).Seconds())
			if failed.Load() > 0 {
				return errViolations
			}
			return nil
		}}
	c.Flags().Uint64Var(&runs, "runs", 200, "number of runs")
	c.Flags().Uint64Var(&firstSeed, "from", 0, "seed of the first run")
	c.Flags().StringVar(&scenarioPath, "scenario", "", "scenario file to run in place of drawn scenarios")
	c.Flags().BoolVar(&shrink, "shrink", false, "reduce scenarios with violations to what causes them")
	c.Flags().BoolVar(&stopAtFirst, "first", false, "start no more runs after one with violations")
	c.Flags().StringVar(&keepPrefix, "keep", "found", "with --shrink: prefix of the names of scenario files")
	return c
}

// saveShrunk shrinks a scenario with violations and saves it as a file, if shrink is set.
func saveShrunk(cmd *cobra.Command, scenario model.Scenario, file string, shrink bool) {
	if !shrink {
		return
	}
	shrunk, cause := model.Shrink(scenario, shrinkRuns, nil)
	if err := os.WriteFile(file, shrunk.JSON(), 0o644); err != nil {
		fmt.Fprintln(cmd.ErrOrStderr(), "finchlatch:", err)
		return
	}
	fmt.Fprintf(cmd.OutOrStdout(), "shrunk to %d exchanges, %d faults, %v: %v\nreplay: finchlatch swarm --scenario %s\n", shrunk.Exchanges,
		len(shrunk.Script.Steps), time.Duration(shrunk.Script.Len), cause, file)
}

// replaySimulated runs a scenario from its file.
func replaySimulated(cmd *cobra.Command, file string, shrink bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	scenario, err := model.ReadScenario(file, string(text))
	if err != nil {
		return err
	}
	if err := scenario.Run(nil); err != nil {
		fmt.Fprintln(cmd.OutOrStdout(), err)
		saveShrunk(cmd, scenario, file+".small.json", shrink)
		return errViolations
	}
	fmt.Fprintln(cmd.OutOrStdout(), "rules kept, circuit accounting consistent, all circuits free at the end")
	return nil
}
