package model

import (
	"math"
	"testing"

	"finchlatch/internal/simenv"
	"finchlatch/internal/standin"
)

// The same script violates no rule on sockets and in simulated time, and both runs earn about the same worth. The tolerance
// is 0.25 of the worth, since a run on sockets depends on the load of the machine, while a simulated run is reproducible.
func TestBothExecutorsAgree(t *testing.T) {
	if testing.Short() {
		t.Skip("plays for a quarter of a minute")
	}
	script := newScript("flap")
	settings := newSettings(5, 45, 11)
	settings.MaxWait = simenv.MaxWait
	v, f, _ := playAndCheck(t, settings, script)
	simulated := simenv.NewReport(settings.Classes, f.Results(), v)
	s, err := standin.NewFleet(standin.FleetSettings{Exchanges: settings.Exchanges, Regions: settings.Regions, Rate: settings.Rate,
		Seed: settings.Seed, Classes: settings.Classes, Habits: settings.Habits})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Play(script, nil)
	sockets := s.Report()
	if len(simulated.Verdict.Violations)+len(sockets.Verdict.Violations) > 0 {
		t.Errorf("violations: %v in simulated time, %v on sockets", simulated.Verdict.Violations, sockets.Verdict.Violations)
	}
	modelService, socketService := simulated.Service(), sockets.Service()
	if math.Abs(modelService-socketService) > 0.25 || modelService < 0.5 || socketService < 0.5 {
		t.Errorf("service %.3f in simulated time, %.3f on sockets", modelService, socketService)
	}
	modelCalls, socketCalls := float64(simulated.Verdict.Calls), float64(sockets.Verdict.Calls)
	if modelCalls/socketCalls < 0.6 || modelCalls/socketCalls > 1.6 {
		t.Errorf("%.0f calls taken in simulated time, %.0f on sockets", modelCalls, socketCalls)
	}
	t.Logf("service %.3f and %.3f, calls taken %.0f and %.0f", modelService, socketService, modelCalls, socketCalls)
}
