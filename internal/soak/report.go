package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"finchlatch/internal/rulecheck"
)

// Counts collects the counts of a run.
type Counts struct {
	mu                          sync.Mutex
	byName                      map[string]int
	maxMemoryMB, maxDescriptors int
	delays                      []time.Duration // from a set-up to its final answer
}

func newCounts() *Counts { return &Counts{byName: map[string]int{}} }

// add adds n to the count of a name.
func (c *Counts) add(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name] += n
}

// countAnswer counts a final answer by its SIP status.
func (c *Counts) countAnswer(status int) {
	switch {
	case status == 200:
		c.add("stood", 1)
	case status == 503 || status == 480:
		c.add("refused", 1)
	default:
		c.add("failed", 1)
	}
}

// recordDelay records how long a call server took to answer a set-up.
func (c *Counts) recordDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delays = append(c.delays, delay)
}

// percentile returns a percentile of durations, which it sorts; 0 if there are none.
func percentile(durations []time.Duration, percent int) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)*percent/100, len(durations)-1)]
}

// recordUsage updates the largest memory and descriptor usage of any process.
func (c *Counts) recordUsage(memoryMB, descriptors int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxMemoryMB, c.maxDescriptors = max(c.maxMemoryMB, memoryMB), max(c.maxDescriptors, descriptors)
}

// Report is the result of a run.
type Report struct {
	Scenario    *Scenario
	Violations  []string       // violations of the rules
	Counts      map[string]int // counts of faults, calls and hard cases, by name
	MemoryMB    int            // largest resident memory of a process
	Descriptors int            // largest number of descriptors of a process
	Median      time.Duration  // of the delays of final answers
	Percentile  time.Duration  // the 99th of these delays
}

// connsNotEstablished is the count of connections of callers that could not be established.
const connsNotEstablished = "connections of callers that were not established"

// excusedLateness is the count of answers and notices that came late by no more than the process was kept from running.
const excusedLateness = "answers and notices that were late because the call server was kept from running"

// givenUpCalls is the count of established calls that were released on both sides while their offices held them.
const givenUpCalls = "established calls that were released on both sides"

// pausesOfThisProcess is the count of pauses in which the process that plays the scenario did not run.
const pausesOfThisProcess = "pauses of the process that plays callers and offices"

// The hard cases: rare conditions in which call servers may easily break a rule. Each must occur in a long run, so they are
// counted under these names. An office counts as failed once a partition has lasted for liveness.FailAfter.
const (
	hardUnannounced  = "hard: established calls at an office that becomes unreachable and is not announced as gone"
	hardNoCallerConn = "hard: established calls at an unreachable, unannounced office while no caller is connected"
	hardTandemLost   = "hard: established calls at an unreachable, unannounced office that is their tandem"
	hardHealsBefore  = "hard: a partition heals just before its office counts as failed"
	hardHealsAfter   = "hard: a partition heals after its office counts as failed"
	hardLostToNode   = "hard: a release of an office is lost with its connection"
	hardLostToOffice = "hard: a release of a call server is lost with its connection"
	hardDrainHang    = "hard: a drain begins while an office hangs"
	hardLastSetUp    = "hard: a set-up crosses the end of its connection"
	hardReplaced     = "hard: established calls at an office that is replaced at its address"
	hardSignals      = "hard: several signals in quick succession"
)

// HardCases returns the names of all hard cases.
func HardCases() []string {
	return []string{hardUnannounced, hardNoCallerConn, hardTandemLost, hardHealsBefore, hardHealsAfter, hardLostToNode,
		hardLostToOffice, hardDrainHang, hardLastSetUp, hardReplaced, hardSignals}
}

// report gets the verdict of the checker and returns the Report.
func (f *fleet) report() *Report {
	report := &Report{Scenario: f.scenario, Counts: map[string]int{}}
	f.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
		f.reportHeld(at, checker)
		report.Violations = checker.Violations(at)
		f.counts.add(hardLastSetUp, checker.Crossings())
		f.counts.add(excusedLateness, checker.Excused())
		f.counts.add(givenUpCalls, checker.GivenUp())
	})
	f.counts.mu.Lock()
	defer f.counts.mu.Unlock()
	for name, n := range f.counts.byName {
		report.Counts[name] = n
	}
	report.Median, report.Percentile = percentile(f.counts.delays, 50), percentile(f.counts.delays, 99)
	report.MemoryMB, report.Descriptors = f.counts.maxMemoryMB, f.counts.maxDescriptors
	return report
}

// reportHeld tells the checker which calls the reachable offices hold.
func (f *fleet) reportHeld(at time.Duration, checker *rulecheck.PlatformChecker) {
	for _, site := range f.sites {
		for callID, node := range site.office.Established() {
			if name := node + "/" + site.office.Member.ID; !checker.HadLinkFault(name, at) {
				checker.CheckHeld(at, name, callID)
			}
		}
	}
}

// String formats the counts and the first violations in a few lines.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d nodes, %v, %d faults, %d set-ups, %d stood, %d refused, %d failed, %d MB, %d descriptors, answers in %v, 99%% in %v\n", r.Scenario.Seed,
		r.Scenario.Nodes, time.Duration(r.Scenario.Length), len(r.Scenario.Faults), r.Counts["set-ups"], r.Counts["stood"], r.Counts["refused"],
		r.Counts["failed"], r.MemoryMB, r.Descriptors, r.Median.Round(time.Millisecond), r.Percentile.Round(time.Millisecond))
	for i, violation := range r.Violations {
		if i == maxViolationsShown {
			fmt.Fprintf(&b, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "  BROKEN %s\n", violation)
	}
	return b.String()
}

// maxViolationsShown is the maximum number of violations of a run that are printed.
const maxViolationsShown = 12

// Table formats counts, sorted by name, one per line.
func Table(counts map[string]int) string {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%7d  %s\n", counts[name], name)
	}
	return b.String()
}
