package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"finchlatch/internal/rulecheck"
)

// Counts tell what a run met.
type Counts struct {
	mu          sync.Mutex
	of          map[string]int
	memory, fds int
}

func newCounts() *Counts { return &Counts{of: map[string]int{}} }

func (c *Counts) add(what string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of[what] += n
}

func (c *Counts) answer(status int) {
	switch {
	case status == 200:
		c.add("stood", 1)
	case status == 503 || status == 480:
		c.add("refused", 1)
	default:
		c.add("failed", 1)
	}
}

// largest keeps the most memory and descriptors that a process had.
func (c *Counts) largest(memory, fds int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory, c.fds = max(c.memory, memory), max(c.fds, fds)
}

// Report is what came of a run.
type Report struct {
	Scenario *Scenario
	Breaches []string
	Met      map[string]int // faults, calls and hard cases
	MemoryMB int
	Sockets  int
}

// connectionsLost counts connections of callers that did not come up.
const connectionsLost = "connections of callers that did not come up"

// excused counts what came late by no more than the machine kept the call server from running.
const excused = "late, but the machine did not run the call server for that long"

// The hard cases, each of which is to be met in a long run.
const (
	hardSilentList  = "hard: calls stand at an office that vanishes while the list can't say so"
	hardNoCaller    = "hard: the same, and no caller's connection is open"
	hardTandem      = "hard: the same, and the office is a tandem"
	hardBefore      = "hard: a partition heals just before the limit"
	hardAfter       = "hard: a partition heals just after the limit"
	hardLostToNode  = "hard: a release of an office is on a connection that dies"
	hardLostToPlace = "hard: a release of a call server is on a connection that dies"
	hardDrainHang   = "hard: a drain begins while an office hangs"
	hardLastSetUp   = "hard: a set-up within 50 ms before its connection is closed"
	hardReplaced    = "hard: an office is replaced at its address while calls stand"
	hardSignals     = "hard: two signals between two reads"
)

// HardCases names them all.
func HardCases() []string {
	return []string{hardSilentList, hardNoCaller, hardTandem, hardBefore, hardAfter, hardLostToNode, hardLostToPlace, hardDrainHang,
		hardLastSetUp, hardReplaced, hardSignals}
}

// report ends the watch.
func (f *fleet) report() *Report {
	r := &Report{Scenario: f.scenario, Met: map[string]int{}}
	f.env.Judge(func(at time.Duration, p *rulecheck.Platform) {
		f.judgeHeld(at, p)
		r.Breaches = p.Breaches(at)
		f.counts.add(hardLastSetUp, p.Crossings())
		f.counts.add(excused, p.Excused())
	})
	f.counts.mu.Lock()
	defer f.counts.mu.Unlock()
	for what, n := range f.counts.of {
		r.Met[what] = n
	}
	r.MemoryMB, r.Sockets = f.counts.memory, f.counts.fds
	return r
}

// judgeHeld tells the checker which calls the offices hold that can be reached.
func (f *fleet) judgeHeld(at time.Duration, p *rulecheck.Platform) {
	for _, place := range f.offices {
		for call, node := range place.office.Held() {
			if name := node + "/" + place.office.Member.ID; !p.HadLinkFault(name, at) {
				p.CheckHeld(at, name, call)
			}
		}
	}
}

// String gives a few lines.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d nodes, %v, %d faults, %d set-ups, %d stood, %d refused, %d failed, %d MB, %d descriptors\n", r.Scenario.Seed,
		r.Scenario.Nodes, time.Duration(r.Scenario.Length), len(r.Scenario.Faults), r.Met["set-ups"], r.Met["stood"], r.Met["refused"],
		r.Met["failed"], r.MemoryMB, r.Sockets)
	for i, breach := range r.Breaches {
		if i == mostShown {
			fmt.Fprintf(&b, "  and %d more\n", len(r.Breaches)-i)
			break
		}
		fmt.Fprintf(&b, "  BROKEN %s\n", breach)
	}
	return b.String()
}

// mostShown is how many breaches of a run are printed.
const mostShown = 12

// Table prints counts in the order of their names.
func Table(met map[string]int) string {
	var names []string
	for what := range met {
		names = append(names, what)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, what := range names {
		fmt.Fprintf(&b, "%7d  %s\n", met[what], what)
	}
	return b.String()
}
