package model

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"finchlatch/internal/simenv"
)

// TestSwarm plays short scenarios with random fleets and faults, and the stored scenarios that once found a fault. The
// oracles are the five rules, consistent circuit accounting, and circuits that are all free at both ends at the end.
func TestSwarm(t *testing.T) {
	runs := 80
	if testing.Short() {
		runs = 10
	}
	for seed := range uint64(runs) {
		if err := DrawScenario(seed).Run(nil); err != nil {
			t.Errorf("finchlatch swarm --from %d --runs 1: %v", seed, err)
		}
	}
	files, err := filepath.Glob("testdata/found-*.json")
	if err != nil || len(files) < 5 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ReadScenario(file, string(text))
		if err == nil {
			err = s.Run(nil)
		}
		if err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// Scenarios that the swarm draws are valid, and can be written to a file and read back. Invalid ones are refused with an
// error that names the file.
func TestScenarioFile(t *testing.T) {
	for seed := range uint64(200) {
		s := DrawScenario(seed)
		if err := s.Script.Check("drawn"); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		again, err := ReadScenario("again", string(s.JSON()))
		if err != nil || !reflect.DeepEqual(s, again) {
			t.Fatalf("seed %d: %v\n%+v\n%+v", seed, err, s, again)
		}
	}
	for _, invalid := range []string{`{`, `{exchanges: 3, colour: 1}`, `{exchanges: 3}`, `{classes: [{hold: 'soon'}]}`,
		`{classes: [{}], script: {len: '1s', steps: [{kind: 'x'}]}}`} {
		if _, err := ReadScenario("bad.json", invalid); err == nil {
			t.Errorf("no error for %s", invalid)
		} else if len(err.Error()) < 10 || err.Error()[:8] != "bad.json" {
			t.Errorf("%s: %v does not name its file", invalid, err)
		}
	}
}

// Call servers with a release time of only 1 ms are found within 100 runs, and the scenario that finds them shrinks to a
// smaller one with the same violation.
func TestSwarmFindsAndShrinks(t *testing.T) {
	inject := func(s *Settings) { s.Release = time.Millisecond }
	for seed := range uint64(100) {
		s := DrawScenario(seed)
		err := s.Run(inject)
		if err == nil {
			continue
		}
		small, why := Shrink(s, 60, inject)
		violation, ok := why.(*Violation)
		if !ok || violation.Kind != "rule 5" {
			t.Fatalf("seed %d: %v, shrunk %v", seed, err, why)
		}
		if len(small.Script.Steps) > len(s.Script.Steps) || small.Exchanges > s.Exchanges || reflect.DeepEqual(small, s) {
			t.Errorf("seed %d shrank to %s", seed, small.JSON())
		}
		if small.Run(nil) != nil {
			t.Error("the shrunk scenario fails with correct call servers too")
		}
		t.Logf("seed %d, shrunk to %d exchanges, %d faults, %v", seed, small.Exchanges, len(small.Script.Steps),
			time.Duration(small.Script.Len))
		return
	}
	t.Error("not found in 100 runs")
}

// All kinds of fault can be played.
func TestBothExecutorsPlayAllFaults(t *testing.T) {
	for _, k := range simenv.FaultKinds() {
		if _, ok := faults[k]; !ok {
			t.Errorf("%s cannot be played in simulated time", k)
		}
	}
	if len(faults) != len(simenv.FaultKinds()) {
		t.Errorf("%d kinds are played, %d are known", len(faults), len(simenv.FaultKinds()))
	}
}
