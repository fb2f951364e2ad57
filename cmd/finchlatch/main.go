// Command finchlatch runs a call server, checks its settings and sends commands to its console. It also tests and measures
// fleets of call servers, on loopback and in simulated time, and sizes trunk groups.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"context"

	"github.com/spf13/cobra"

	"finchlatch/node"
)

// errViolations ends the program with exit status 1 and no further message: the violations have been reported.
var errViolations = errors.New("rules violated")

// Exit statuses.
const (
	exitFailure       = 1
	exitInvalidConfig = 2 // the configuration of a call server of the platform
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		if !errors.Is(err, errViolations) {
			fmt.Fprintln(os.Stderr, "finchlatch:", err)
		}
		if configErr := (*node.ConfigError)(nil); errors.As(err, &configErr) {
			os.Exit(exitInvalidConfig)
		}
		os.Exit(exitFailure)
	}
}

// rootCommand returns the command line with all subcommands.
func rootCommand() *cobra.Command {
	c := &cobra.Command{Use: "finchlatch", Short: "A call router over shared trunk groups, on M3UA and ISUP",
		SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(serveCommand(), nodeCommand(), checkCommand(), tryCommand(), ctlCommand(), lookupCommand(), swarmCommand(), labCommand(), dimensionCommand(), soakCommand(), versionCommand())
	return c
}
