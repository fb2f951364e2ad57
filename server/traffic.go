package server

import (
	"slices"
	"time"

	"finchlatch/measure"
	"finchlatch/router"
)

// traffic keeps what the Router's Meter measures, and has the advisor hear it.
type traffic struct {
	meter   *measure.Meter
	store   *measure.Store
	advisor measure.Advisor
	run     uint64
	pending []measure.Interval // that the store did not take yet, the newest last
}

// mostPending is how many intervals wait for a store that cannot be written: about ten days.
const mostPending = 1000

// measured puts a Meter into the settings of the Router, where the configuration wants one.
func (s *Server) measured(settings *router.Config) error {
	c := s.cfg.Traffic
	if c == nil {
		return nil
	}
	store, err := measure.OpenStore(c.Store, time.Duration(c.Retention))
	if err != nil {
		return err
	}
	home := 0
	for _, e := range settings.Exchanges {
		if e.Name == settings.Name {
			home = e.Number
		}
	}
	classes, now := settings.LogicClasses(), wall()
	s.traffic = &traffic{store: store, run: uint64(now.UnixNano()), advisor: measure.Advisor{Classes: classes, Targets: s.cfg.BlockingTargets},
		meter: measure.New(measure.Settings{Home: home, Classes: classes}, Epoch, now)}
	settings.Meter = s.traffic.meter
	return nil
}

// wall is the clock without Go's own reading beside it, which would hide that it was set.
func wall() time.Time { return time.Now().Round(0) }

// keepTraffic writes what was measured every fine interval, the open interval too: a crash loses no more than that.
func (s *Server) keepTraffic() {
	defer s.wg.Done()
	defer func() {
		if err := s.closeTraffic(); err != nil {
			s.log.Error("traffic not kept", "err", err)
		}
	}()
	tick := time.NewTicker(measure.Fine)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.writeTraffic()
		case <-s.stop:
			return
		}
	}
}

func (s *Server) closeTraffic() error {
	if s.traffic == nil {
		return nil
	}
	return s.traffic.store.Close()
}

// writeTraffic takes what has been measured and keeps it. Only Kill, as a crash, ends a server without it.
func (s *Server) writeTraffic() {
	if s.traffic == nil {
		return
	}
	t := s.traffic
	var ended []measure.Interval
	var open measure.Interval
	err := s.Do(func(_ *router.Router, now time.Duration) {
		t.meter.Clock(now, wall())
		ended, open = t.meter.Take(now), t.meter.Open(now)
	})
	if err != nil {
		return
	}
	for _, i := range ended {
		for _, a := range t.advisor.Hear(i) {
			s.log.Warn("traffic", "exchange", a.To, "outgrew", a.Outgrew, "text", a.Text)
		}
	}
	t.pending = append(t.pending, ended...)
	t.pending = t.pending[max(0, len(t.pending)-mostPending):]
	if err := t.store.Put(t.run, append(slices.Clip(t.pending), open)...); err != nil {
		s.log.Error("traffic not kept", "err", err, "intervals", len(t.pending))
		return
	}
	t.pending = nil
}
