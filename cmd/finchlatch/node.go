package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"finchlatch/node"
)

// nodeCommand runs a call server of the platform.
func nodeCommand() *cobra.Command {
	var level string
	c := &cobra.Command{Use: "node [CONFIG]", Short: "Run a call server of the platform; CONFIG defaults to $ROUTER_CONFIG",
		Args: cobra.MaximumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			path := os.Getenv("ROUTER_CONFIG")
			if len(args) > 0 {
				path = args[0]
			}
			hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			signal.Notify(term, syscall.SIGTERM, os.Interrupt)
			log, err := newLogger(os.Stderr, level)
			if err != nil {
				return err
			}
			return runNode(path, log, hup, term)
		}}
	c.Flags().StringVar(&level, "log", "info", "lowest level of log lines: debug, info, warn, error")
	return c
}

// runNode runs a call server. A signal on hup (SIGHUP) reloads its configuration; one on term (SIGTERM) starts a drain, and
// runNode returns when that has ended.
func runNode(path string, log *slog.Logger, hup, term <-chan os.Signal) error {
	n, err := node.New(path, log)
	if err != nil {
		return err
	}
	n.ApplyLimits()
	if err := n.Listen(); err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-hup:
				n.Reload()
			case <-term:
				n.Drain()
			case <-ended:
				return
			}
		}
	}()
	return n.Run()
}
