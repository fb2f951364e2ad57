// Command rig plays one case of the review: it starts a call server by the command of the deploy file as a process of its own,
// with stand-ins of callers, offices and the journal service on loopback addresses, and judges what these see on their sockets.
//
// Its exit status is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case, which is also the exit status.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

// String returns the verdict as a text for the record.
func (v verdict) String() string {
	return [...]string{"the rule held", "the rule was broken", "the case could not run"}[v]
}

// cases holds the function of each case. With trouble false a case leaves its disruption out.
var cases = map[string]func(b *bench, trouble bool) verdict{}

// longestRun ends a case that hangs.
const longestRun = 110 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository, where the command is started")
	run := flag.String("run", "", "command of a call server")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok || *run == "" {
		fmt.Fprintln(os.Stderr, "rig: unknown case, or no command")
		os.Exit(int(couldNot))
	}
	b, err := newBench(*root, *run, *recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(int(couldNot))
	}
	results := make(chan verdict, 1)
	go func() { results <- playGuarded(b, play, os.Getenv("TROUBLE") != "0") }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := couldNot
	select {
	case result = <-results:
	case <-signals:
		b.note("rig", "ended by a signal")
	case <-time.After(longestRun):
		b.note("rig", "the case took too long")
	}
	b.note("verdict", "%s", result)
	b.close()
	fmt.Printf("case %s: %s\n", *name, result)
	os.Exit(int(result))
}

// stopCase is the panic value of bench.fail.
type stopCase struct{}

// playGuarded plays a case. A case that calls bench.fail could not run.
func playGuarded(b *bench, play func(*bench, bool) verdict, trouble bool) (result verdict) {
	defer func() {
		if reason := recover(); reason != nil {
			if _, ok := reason.(stopCase); !ok {
				b.note("rig", "panic: %v", reason)
			}
			result = couldNot
		}
	}()
	b.note("rig", "disruption: %v", trouble)
	return play(b, trouble)
}
