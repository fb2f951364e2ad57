package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"finchlatch/lab"
)

// labCommand runs an experiment in simulated time.
func labCommand() *cobra.Command {
	var storePath, outDir, commit string
	var jobs int
	c := &cobra.Command{Use: "lab [EXPERIMENT]", Short: "Run an experiment on fleets in simulated time and report its results",
		Long: "Runs every combination of an experiment (Jsonnet; without one, an embedded comparison of policies by load), several at\n" +
			"a time. Results are stored, and a combination that has one for the same settings and commit is not run again, so an\n" +
			"interrupted experiment resumes. Prints a table; with --out, also writes a page with plots.",
		Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			name, text := "", []byte(nil)
			if len(args) > 0 {
				var err error
				if name = args[0]; name == "" {
					return fmt.Errorf("the name of the experiment's file is empty")
				}
				if text, err = os.ReadFile(name); err != nil {
					return err
				}
			}
			experiment, err := lab.Read(name, string(text))
			if err != nil {
				return err
			}
			store, err := lab.Open(storePath)
			if err != nil {
				return err
			}
			defer store.Close()
			if commit == "" {
				commit = lab.Commit()
			}
			results, err := experiment.RunAll(cmd.Context(), store, commit, jobs, newProgress(len(experiment.Cells())))
			if err != nil {
				return err
			}
			if err := lab.WriteTable(cmd.OutOrStdout(), experiment, experiment.Summary(results)); err != nil {
				return err
			}
			if outDir == "" {
				return nil
			}
			return experiment.WriteReportDir(outDir, results)
		}}
	c.Flags().StringVar(&storePath, "store", "lab.db", "file that results are stored in")
	c.Flags().StringVar(&outDir, "out", "", "directory for the report; empty: none")
	c.Flags().IntVar(&jobs, "jobs", runtime.GOMAXPROCS(0), "number of parallel runs; each takes a core, and memory for its fleet")
	c.Flags().StringVar(&commit, "commit", "", "commit that results are stored under; empty: the one that this program was built from")
	return c
}

// newProgress returns a callback that shows the progress of an experiment; nil if standard error is not a terminal.
func newProgress(cells int) func(result lab.Result, stored bool) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	bar := progressbar.NewOptions(cells, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	return func(result lab.Result, _ bool) {
		bar.Describe(result.Cell.String())
		_ = bar.Add(1)
	}
}
