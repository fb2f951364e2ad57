package main

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net/textproto"
	"os"
	"runtime/debug"
	"strings"

	"github.com/lmittmann/tint"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"finchlatch/config"
	"finchlatch/server"
)

// newLogger returns a logger that writes text if w is a terminal, and JSON otherwise. level is the lowest level written.
func newLogger(w *os.File, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("--log: %q is not debug, info, warn or error", level)
	}
	if term.IsTerminal(int(w.Fd())) {
		return slog.New(tint.NewTextHandler(w, &tint.Options{Level: minLevel, TimeFormat: "15:04:05.000"})), nil
	}
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: minLevel})), nil
}

// serveCommand runs a call server from a settings file.
func serveCommand() *cobra.Command {
	var level string
	var vars map[string]string
	c := &cobra.Command{Use: "serve CONFIG", Short: "Run a call server; SIGTERM drains and ends it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := newLogger(os.Stderr, level)
			if err != nil {
				return err
			}
			cfg, err := config.Load(args[0], vars)
			if err != nil {
				return err
			}
			s, err := server.New(cfg, log)
			if err != nil {
				return err
			}
			return s.Run(cmd.Context())
		}}
	c.Flags().StringVar(&level, "log", "info", "lowest level of log lines: debug, info, warn, error")
	c.Flags().StringToStringVar(&vars, "var", nil, "external variables of the settings, as name=value")
	return c
}

// checkCommand checks settings files.
func checkCommand() *cobra.Command {
	var vars map[string]string
	c := &cobra.Command{Use: "check CONFIG...", Short: "Check settings files without starting a call server", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			invalidFiles := 0
			for _, path := range args {
				cfg, err := config.Load(path, vars)
				if err != nil {
					fmt.Fprintln(cmd.OutOrStdout(), err)
					invalidFiles++
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good: exchange %s, %d exchanges, %d peers, %d classes, %d numbers\n", path,
					cfg.Router.Name, len(cfg.Router.Exchanges), len(cfg.Router.Peers), len(cfg.Router.Classes), len(cfg.Router.Numbering))
			}
			if invalidFiles > 0 {
				return fmt.Errorf("%d of %d files are invalid", invalidFiles, len(args))
			}
			return nil
		}}
	c.Flags().StringToStringVar(&vars, "var", nil, "external variables of the settings, as name=value")
	return c
}

// Reply codes of the console.
const (
	codeGreeting = 200
	codeList     = 215 // lines follow, up to a line with a dot
	classSuccess = 2   // first digit of the codes of success
)

// ctlCommand sends commands to the console of a call server.
func ctlCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{Use: "ctl [COMMAND...]", Short: "Send a command to the console of a call server; without one, send the lines of standard input",
		RunE: func(cmd *cobra.Command, args []string) error {
			conn, err := textproto.Dial("tcp", addr)
			if err != nil {
				return err
			}
			defer conn.Close()
			if _, _, err := conn.ReadCodeLine(codeGreeting); err != nil {
				return err
			}
			if len(args) > 0 {
				return sendCommand(conn, strings.Join(args, " "), cmd.OutOrStdout())
			}
			in := bufio.NewScanner(cmd.InOrStdin())
			for in.Scan() {
				if err := sendCommand(conn, in.Text(), cmd.OutOrStdout()); err != nil {
					fmt.Fprintln(cmd.ErrOrStderr(), err)
				}
			}
			return in.Err()
		}}
	c.Flags().StringVar(&addr, "console", "127.0.0.1:2900", "address of the console")
	return c
}

// sendCommand sends one command and prints the reply.
func sendCommand(conn *textproto.Conn, line string, w io.Writer) error {
	if err := conn.PrintfLine("%s", line); err != nil {
		return err
	}
	code, text, err := conn.ReadCodeLine(classSuccess)
	if err != nil {
		return err
	}
	if code != codeList {
		fmt.Fprintln(w, text)
		return nil
	}
	lines, err := conn.ReadDotLines()
	for _, replyLine := range lines {
		fmt.Fprintln(w, replyLine)
	}
	return err
}

// versionCommand prints the version, the commit and the version of Go.
func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
		version, revision := "(devel)", ""
		if info, ok := debug.ReadBuildInfo(); ok {
			version = info.Main.Version
			for _, setting := range info.Settings {
				if setting.Key == "vcs.revision" {
					revision = " " + setting.Value
				}
			}
			version += revision + " " + info.GoVersion
		}
		fmt.Fprintln(cmd.OutOrStdout(), "finchlatch", version)
	}}
}
