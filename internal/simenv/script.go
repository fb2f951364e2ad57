package simenv

import (
	_ "embed"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"finchlatch/config"
)

// Step is one fault of a script. The meaning of its values depends on the kind: FaultKindDescriptions describes it.
type Step struct {
	At       config.Duration `json:"at"`
	Kind     string          `json:"kind"`
	Len      config.Duration `json:"len"`
	Part     float64         `json:"part"` // share of the exchanges, or of the calls, circuits or associations affected
	Size     float64         `json:"size"`
	Region   int             `json:"region"`
	Exchange string          `json:"exchange,omitempty"` // affects this exchange instead of a random selection
}

// Script is a fault schedule. It can be played on sockets and in simulated time.
type Script struct {
	Len   config.Duration `json:"len"`
	Steps []Step          `json:"steps"`
}

// faultKind describes a kind of fault and the values that it takes.
type faultKind struct {
	description      string
	minSize, maxSize float64 // range of Step.Size; maxSize 0: the kind has no size
	hasEnd           bool    // ends after Step.Len, which must be positive
	drawsExchanges   bool    // affects randomly selected exchanges, Step.Part of all
}

// faultKinds are the kinds of fault by name.
var faultKinds = map[string]faultKind{
	"jump":        {"the call rate jumps to size times the usual", 1, 10, true, false},
	"flood":       {"the callers of part of the exchanges offer size times the usual rate", 1, 20, true, true},
	"hot_number":  {"part of all calls are to one number with size lines", 1, 100, true, false},
	"region_loss": {"part of the circuits between region and the others are blocked", 0, 0, true, false},
	"mass_cut":    {"part of the established calls are dropped", 0, 0, false, false},
	"silence":     {"processors of part of the exchanges stop responding and restart cold", 0, 0, true, true},
	"hang":        {"processors of part of the exchanges accept set-ups and answer none", 0, 0, true, true},
	"late_answer": {"lines of part of the exchanges answer size seconds later", 0, 10, true, true},
	"replace":     {"part of the exchanges drain and restart on a new, cold processor, one after the other", 0, 0, false, true},
	"unit":        {"all exchanges that share a unit crash at once and restart cold", 0, 0, false, false},
	"restart":     {"call servers of part of the exchanges restart, with only their last snapshot of service discovery", 0, 0, false, true},
	"stall":       {"processors of part of the exchanges pause for size seconds, repeatedly", 0.05, 2.5, false, true},
	"slow":        {"all processors are size times slower", 1, 10, false, false},
	"ageing":      {"processors of part of the exchanges become slower, up to size times, then crash and restart cold", 1, 20, true, true},
	"late_list":   {"service discovery is delayed by size more seconds", 0, 30, true, false},
	"flap":        {"part of the associations between exchanges lose their connection", 0, 0, false, false},
	"give_up":     {"callers wait only a share of size of their patience", 0.05, 1, true, false},
	"client_flap": {"the associations of counters at part of the exchanges lose their connection", 0, 0, false, true},
}

// FaultKinds returns the names of all kinds of fault in alphabetical order.
func FaultKinds() (names []string) {
	for name := range faultKinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// FaultKindDescriptions returns the kinds of fault in alphabetical order, each with a description of its values.
func FaultKindDescriptions() (descriptions []string) {
	for _, name := range FaultKinds() {
		descriptions = append(descriptions, name+": "+faultKinds[name].description)
	}
	return descriptions
}

// DrawStep draws a valid step of a kind, which starts in the first 60% of a script of the given length.
func DrawStep(rng *rand.Rand, kindName string, length time.Duration) Step {
	kind := faultKinds[kindName]
	between := func(low, high float64) float64 { return low + rng.Float64()*(high-low) }
	step := Step{Kind: kindName, At: roundToMillisecond(between(0.05, 0.6) * float64(length)),
		Len: roundToMillisecond(between(0.05, 0.5) * float64(length)), Part: math.Round(between(0.05, 0.8)*100) / 100}
	if kind.maxSize > 0 { // low values are more likely than high ones
		step.Size = math.Round((kind.minSize+(kind.maxSize-kind.minSize)*rng.Float64()*rng.Float64())*100) / 100
	}
	return step
}

// roundToMillisecond keeps the durations in scripts short and readable.
func roundToMillisecond(nanoseconds float64) config.Duration {
	return config.Duration(time.Duration(nanoseconds).Round(time.Millisecond))
}

// ParseScript reads and checks a script in Jsonnet; name stands for its file in errors.
func ParseScript(name, text string) (Script, error) {
	var s Script
	if err := DecodeJsonnet(name, text, &s); err != nil {
		return s, err
	}
	return s, s.Check(name)
}

//go:embed badday.jsonnet
var defaultScriptText string

// DefaultScript returns the embedded script, which is played by default.
func DefaultScript() (Script, error) { return ParseScript("badday.jsonnet", defaultScriptText) }

// Check returns an error that names the first invalid step.
func (s Script) Check(name string) error {
	if s.Len <= 0 {
		return fmt.Errorf("%s: len: must be positive", name)
	}
	for i, step := range s.Steps {
		kind, ok := faultKinds[step.Kind]
		switch {
		case !ok:
			return fmt.Errorf("%s: steps[%d].kind: %q is none of %s", name, i, step.Kind, strings.Join(FaultKindDescriptions(), "; "))
		case !(step.Part >= 0 && step.Part <= 1):
			return fmt.Errorf("%s: steps[%d].part: %v is not 0 to 1", name, i, step.Part)
		case kind.maxSize > 0 && !(step.Size >= kind.minSize && step.Size <= kind.maxSize):
			return fmt.Errorf("%s: steps[%d].size: %v is not %v to %v for %s", name, i, step.Size, kind.minSize, kind.maxSize, step.Kind)
		case step.At > s.Len || step.At < 0 || step.Len < 0 || kind.hasEnd && step.Len <= 0:
			return fmt.Errorf("%s: steps[%d]: starts before the beginning or after the end, or has no len", name, i)
		}
	}
	return nil
}

// unitCount is the number of units that exchanges share: those with equal index modulo unitCount share one.
const unitCount = 3

// SelectExchanges returns the indexes of the exchanges that a step affects: the one that it names, or a random selection.
// The result is empty for kinds that do not select exchanges.
func (s Step) SelectExchanges(rng *rand.Rand, names []string) (indexes []int) {
	if s.Kind == "unit" {
		unit := rng.IntN(unitCount)
		for i := range names {
			if i%unitCount == unit {
				indexes = append(indexes, i)
			}
		}
		return indexes
	}
	if i := slices.Index(names, s.Exchange); i >= 0 {
		return []int{i}
	}
	if !faultKinds[s.Kind].drawsExchanges {
		return nil
	}
	count := min(len(names), max(1, int(math.Round(s.Part*float64(len(names))))))
	return rng.Perm(len(names))[:count]
}
