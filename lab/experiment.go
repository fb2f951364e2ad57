// Package lab runs experiments on fleets in simulated time. A file gives fleet sizes, loads, policies and seeds; every
// combination is run, several at a time, and each result is stored as soon as it is known. The package summarises results
// with confidence intervals and with paired differences on common random numbers, and writes reports with plots. Package
// model simulates the fleets, package bound computes the upper bounds.
package lab

import (
	"crypto/sha256"
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"finchlatch/config"
	"finchlatch/internal/baseline"
	"finchlatch/internal/simenv"
	"finchlatch/model"
)

// Experiment is the content of an experiment file. Exchanges, Loads and Policies are swept: each combination of them is run
// once per seed.
type Experiment struct {
	Name      string
	Length    time.Duration // callers make their first set-ups within it
	Warmup    time.Duration // callers whose first set-up comes earlier are not counted
	Seeds     int           // runs of each combination, with the seeds First, First+1 and so on
	First     uint64
	Exchanges []int
	Loads     []float64 // offered rates, as multiples of Rate
	Policies  []string  // names as in the function Policies
	Rate      float64   // planned set-ups per second of one exchange, without redials
	Regions   int
	Group     int            // circuits between two exchanges; 0: sized for Rate
	MaxWait   time.Duration  // a set-up that waits longer for a processor is refused; 0: none is
	Classes   []simenv.Class // empty: the default classes
	Habits    simenv.Habits
	Traffic   model.Traffic
	Steps     []simenv.Step // fault schedule
	Rules     bool          // also check the five rules; this keeps every message in memory
}

// defaultExperiment is run where no file is named.
//
//go:embed overload.jsonnet
var defaultExperiment string

// Read parses an experiment in Jsonnet. name is the file's name in errors; an empty one selects the embedded experiment.
func Read(name, text string) (Experiment, error) {
	if name == "" {
		name, text = "overload.jsonnet", defaultExperiment
	}
	experiment := Experiment{Habits: simenv.DefaultHabits(), Classes: nil, First: 1, Regions: 2}
	if err := simenv.DecodeJsonnet(name, text, &experiment); err != nil {
		return experiment, err
	}
	if len(experiment.Classes) == 0 {
		experiment.Classes = simenv.DefaultClasses()
	}
	return experiment, experiment.validate(name)
}

// validate returns an error that names the first invalid field, prefixed with the name of the file.
func (e Experiment) validate(file string) error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("%s: %s: %s", file, field, fmt.Sprintf(format, args...))
	}
	switch {
	case e.Name == "":
		return invalid("name", "is missing")
	case e.Length <= 0 || e.Length > 25*time.Hour:
		return invalid("length", "%v must be more than 0 and at most 25h", e.Length)
	case e.Warmup < 0 || e.Warmup >= e.Length:
		return invalid("warmup", "%v must be at least 0 and less than the length", e.Warmup)
	case e.Seeds < 1 || e.Seeds > 10000:
		return invalid("seeds", "%d must be 1 to 10000", e.Seeds)
	case len(e.Exchanges) == 0 || len(e.Loads) == 0 || len(e.Policies) == 0:
		return invalid("exchanges, loads, policies", "each needs at least one entry")
	case !(e.Rate > 0) || math.IsInf(e.Rate, 0):
		return invalid("rate", "%v must be more than 0", e.Rate)
	case e.Regions < 1:
		return invalid("regions", "%d must be at least 1", e.Regions)
	case e.Group < 0 || e.Group > 3900:
		return invalid("group", "%d must be 0 to 3900", e.Group)
	}
	for i, exchanges := range e.Exchanges {
		if exchanges < 3 || exchanges > 4000 || exchanges < e.Regions {
			return invalid(fmt.Sprintf("exchanges[%d]", i), "%d must be 3 to 4000 and at least the number of regions", exchanges)
		}
	}
	for i, load := range e.Loads {
		if !(load > 0 && load <= 100) {
			return invalid(fmt.Sprintf("loads[%d]", i), "%v must be more than 0 and at most 100", load)
		}
	}
	for i, policy := range e.Policies {
		if _, err := policyMaker(policy); err != nil {
			return invalid(fmt.Sprintf("policies[%d]", i), "%v", err)
		}
	}
	totalShare := 0.0
	for i, class := range e.Classes {
		if !(class.Share > 0) || class.Width < 1 || class.Width > 30 || class.Hold <= 0 || class.Patience <= 0 || !(class.Worth >= 0) {
			return invalid(fmt.Sprintf("classes[%d]", i), "share, width, hold, patience or worth is out of range: %+v", class)
		}
		totalShare += class.Share
	}
	if math.Abs(totalShare-1) > 0.001 {
		return invalid("classes", "the shares sum up to %v, not to 1", totalShare)
	}
	return e.script().Check(file)
}

// script returns the fault schedule of a run.
func (e Experiment) script() simenv.Script {
	return simenv.Script{Len: config.Duration(e.Length), Steps: e.Steps}
}

// Module is the policy name of the product's decision module, package logic.
const Module = "module"

// Policies lists the policy names. A number at the end of a name is a parameter: any whole number from 0 to 3999 may take
// its place.
func Policies() []string {
	return []string{Module, "direct", "at-most-8", "random", "reservation-1", "two-choices-1", "sticky-1"}
}

// policyMaker returns the constructor of the baseline policy of that name; nil stands for the module.
func policyMaker(name string) (baseline.Maker, error) {
	switch name {
	case Module:
		return nil, nil
	case "direct":
		return baseline.DirectOnly, nil
	case "random":
		return baseline.RandomTandem, nil
	}
	if hyphen := strings.LastIndexByte(name, '-'); hyphen > 0 {
		if parameter, err := strconv.Atoi(name[hyphen+1:]); err == nil && parameter >= 0 && parameter < 4000 {
			switch name[:hyphen] {
			case "at-most":
				return baseline.MaxOutstanding(parameter), nil
			case "reservation":
				return baseline.TrunkReservation(parameter), nil
			case "two-choices":
				return baseline.LeastLoadedOfTwo(parameter), nil
			case "sticky":
				return baseline.DynamicAlternativeRouting(parameter), nil
			}
		}
	}
	return nil, fmt.Errorf("unknown policy %q, want one of %s", name, strings.Join(Policies(), ", "))
}

// Cell identifies one run of an experiment.
type Cell struct {
	Exchanges int
	Load      float64
	Policy    string
	Seed      uint64
}

// String describes the cell for messages.
func (c Cell) String() string {
	return fmt.Sprintf("%d exchanges, load %.2f, %s, seed %d", c.Exchanges, c.Load, c.Policy, c.Seed)
}

// Cells returns all runs of the experiment, those of large fleets first, so that the last runs to end are short.
func (e Experiment) Cells() (cells []Cell) {
	for _, exchanges := range e.Exchanges {
		for _, load := range e.Loads {
			for _, policy := range e.Policies {
				for offset := range e.Seeds {
					cells = append(cells, Cell{exchanges, load, policy, e.First + uint64(offset)})
				}
			}
		}
	}
	slices.SortStableFunc(cells, func(a, b Cell) int { return b.Exchanges - a.Exchanges })
	return cells
}

// key is the key of a result in the store. Runs with the same settings, cell and program give the same result and have the
// same key. What is swept is left out, so that results stay valid when a sweep is extended.
func (e Experiment) key(cell Cell, commit string) []byte {
	e.Name, e.Seeds, e.First, e.Exchanges, e.Loads, e.Policies = "", 0, 0, nil, nil, nil
	encoded, err := json.Marshal(struct {
		Experiment Experiment
		Cell       Cell
		Commit     string
	}{e, cell, commit})
	if err != nil {
		panic(err) // cannot happen: the fields hold only numbers and strings
	}
	digest := sha256.Sum256(encoded)
	return digest[:]
}
