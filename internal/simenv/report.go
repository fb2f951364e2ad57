package simenv

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"finchlatch/internal/rulecheck"
)

// ClassReport sums up the outcomes of the callers of one class.
type ClassReport struct {
	Name             string
	Callers          int
	InTime           int // callers whose call was established within the class's aim
	Late             int // callers whose call was established later
	Dropped          int // callers whose call was dropped for good
	NeverEstablished int
	Refused          int                     // tries refused
	Failed           int                     // tries failed
	Abandoned        int                     // tries in which the caller hung up
	Tries            int                     // tries of all callers
	Earned           float64                 // worth earned
	Offered          float64                 // worth offered
	SetUp            *hdrhistogram.Histogram // set-up times in microseconds
}

// Report is the result of a run: the outcomes of its callers and the verdict of the rule checker.
type Report struct {
	Classes   []ClassReport
	Verdict   rulecheck.Verdict
	Collapsed []string // exchanges whose processor collapsed
}

// NewReport sums up the outcomes of a run on sockets or in simulated time.
func NewReport(classes []Class, results []Outcome, verdict rulecheck.Verdict) Report {
	r := Report{Verdict: verdict}
	for _, class := range classes {
		r.Classes = append(r.Classes, ClassReport{Name: class.Name, SetUp: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)})
	}
	for _, outcome := range results {
		r.Classes[outcome.Class].addOutcome(outcome, classes[outcome.Class])
	}
	return r
}

// addOutcome adds one caller's outcome.
func (c *ClassReport) addOutcome(outcome Outcome, class Class) {
	c.Callers++
	c.Tries += outcome.Tries
	c.Refused, c.Failed, c.Abandoned = c.Refused+outcome.Refused, c.Failed+outcome.Failed, c.Abandoned+outcome.Abandoned
	earned, offered := outcome.Worth(class)
	c.Earned, c.Offered = c.Earned+earned, c.Offered+offered
	switch {
	case !outcome.Established:
		c.NeverEstablished++
	case outcome.Dropped:
		c.Dropped++
	case outcome.SetUp <= class.Aim:
		c.InTime++
	default:
		c.Late++
	}
	if outcome.Established {
		_ = c.SetUp.RecordValue(outcome.SetUp.Microseconds())
	}
}

// Service returns the worth earned divided by the worth offered.
func (r Report) Service() float64 {
	earned, offered := 0.0, 0.0
	for _, c := range r.Classes {
		earned, offered = earned+c.Earned, offered+c.Offered
	}
	if offered == 0 {
		return 0
	}
	return earned / offered
}

// Write prints the report.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%-16s %8s %8s %6s %6s %8s %8s %7s %7s %8s  %s\n", "class", "callers", "in time", "late", "cut", "without",
		"refused", "failed", "hung", "service", "set-up p50 / p99 / p99.9")
	for _, c := range r.Classes {
		service := 0.0
		if c.Offered > 0 {
			service = c.Earned / c.Offered
		}
		quantile := func(percentile float64) time.Duration {
			return (time.Duration(c.SetUp.ValueAtQuantile(percentile)) * time.Microsecond).Round(100 * time.Microsecond)
		}
		fmt.Fprintf(w, "%-16s %8d %8d %6d %6d %8d %8d %7d %7d %8.3f  %v / %v / %v\n", c.Name, c.Callers, c.InTime, c.Late, c.Dropped,
			c.NeverEstablished, c.Refused, c.Failed, c.Abandoned, service, quantile(50), quantile(99), quantile(99.9))
	}
	verdict := r.Verdict
	fmt.Fprintf(w, "service %.3f of the worth offered; %d calls taken, %d final answers, %d attempts, %d dual seizures, %d cold starts\n",
		r.Service(), verdict.Calls, verdict.Answers, verdict.Attempts, verdict.DualSeizures, verdict.ColdStarts)
	if verdict.Queries > 0 {
		fmt.Fprintf(w, "%d look-ups, %d of them granted a lease\n", verdict.Queries, verdict.Leases)
	}
	for _, exchange := range r.Collapsed {
		fmt.Fprintf(w, "processor of %s fell over\n", exchange)
	}
	if len(verdict.Violations) == 0 {
		fmt.Fprintf(w, "rules 1 to 5 kept, judged from what passed on the wires\n")
		return
	}
	const maxListed = 20
	fmt.Fprintf(w, "RULES BROKEN: %d\n", len(verdict.Violations))
	for i, violation := range verdict.Violations {
		if i == maxListed {
			fmt.Fprintf(w, "... and %d more\n", len(verdict.Violations)-maxListed)
			break
		}
		fmt.Fprintln(w, violation)
	}
}
