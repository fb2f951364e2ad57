package server

import (
	"slices"
	"time"

	"finchlatch/measure"
	"finchlatch/router"
)

// trafficRecorder stores what the Router's Meter measures and passes it to the advisor.
type trafficRecorder struct {
	meter   *measure.Meter
	store   *measure.Store
	advisor measure.Advisor
	runID   uint64             // differs from run to run
	unsaved []measure.Interval // ended but not stored yet, oldest first
}

// maxUnsaved bounds the intervals that wait for a store that cannot be written: with 15 minutes each about ten days.
const maxUnsaved = 1000

// openTraffic opens the measurement store and adds a Meter to the settings of the Router, if so configured.
func (s *Server) openTraffic(settings *router.Config) error {
	trafficSettings := s.cfg.Traffic
	if trafficSettings == nil {
		return nil
	}
	store, err := measure.OpenStore(trafficSettings.Store, time.Duration(trafficSettings.Retention))
	if err != nil {
		return err
	}
	homeNumber := 0
	for _, exchange := range settings.Exchanges {
		if exchange.Name == settings.Name {
			homeNumber = exchange.Number
		}
	}
	classes, startedAt := settings.LogicClasses(), wallClock()
	s.traffic = &trafficRecorder{store: store, runID: uint64(startedAt.UnixNano()),
		advisor: measure.Advisor{Classes: classes, Targets: s.cfg.BlockingTargets},
		meter:   measure.New(measure.Settings{Home: homeNumber, Classes: classes}, Epoch, startedAt)}
	settings.Meter = s.traffic.meter
	return nil
}

// wallClock returns the time without Go's monotonic clock reading, which would hide that the system clock was set.
func wallClock() time.Time { return time.Now().Round(0) }

// trafficLoop stores the measurements after every fine interval, with those of the open interval, so that a crash loses no
// more than one fine interval.
func (s *Server) trafficLoop() {
	defer s.wg.Done()
	defer func() {
		if err := s.closeTraffic(); err != nil {
			s.log.Error("traffic measurements not stored", "err", err)
		}
	}()
	ticker := time.NewTicker(measure.FineIntervalLength)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.writeTraffic()
		case <-s.stop:
			return
		}
	}
}

// closeTraffic closes the measurement store.
func (s *Server) closeTraffic() error {
	if s.traffic == nil {
		return nil
	}
	return s.traffic.store.Close()
}

// writeTraffic passes ended intervals to the advisor and stores them with the open one. Shutdown calls it before the server
// ends; only Kill, as a crash would, loses the measurements since the last call.
func (s *Server) writeTraffic() {
	if s.traffic == nil {
		return
	}
	recorder := s.traffic
	var ended []measure.Interval
	var open measure.Interval
	err := s.Do(func(_ *router.Router, now time.Duration) {
		recorder.meter.SetClock(now, wallClock())
		ended, open = recorder.meter.TakeEnded(now), recorder.meter.Current(now)
	})
	if err != nil {
		return
	}
	for _, interval := range ended {
		for _, advice := range recorder.advisor.Evaluate(interval) {
			s.log.Warn("traffic", "exchange", advice.To, "outgrew", advice.TooSmall, "text", advice.Text)
		}
	}
	recorder.unsaved = append(recorder.unsaved, ended...)
	recorder.unsaved = recorder.unsaved[max(0, len(recorder.unsaved)-maxUnsaved):]
	if err := recorder.store.Put(recorder.runID, append(slices.Clip(recorder.unsaved), open)...); err != nil {
		s.log.Error("traffic measurements not stored", "err", err, "intervals", len(recorder.unsaved))
		return
	}
	recorder.unsaved = nil
}
