package server

import (
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"finchlatch/config"
	"finchlatch/measure"
)

// The call server stores what its Router measures: after a drain all of it, and after a crash what was written last. A second run
// adds its part of the same interval.
func TestTrafficIsKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traffic.db")
	cfg, err := config.Evaluate("t.jsonnet", `{
  name: 'a', traffic: { store: std.extVar('store'), targets: { one: 0.02 } },
  exchanges: [{ name: 'a', number: 1, point_code: 101 }, { name: 'b', number: 2, point_code: 102 }],
  peers: [{ name: 'b', kind: 'exchange', circuits: { first: 1, count: 4 }, dial: '127.0.0.1:1' }],
  classes: [{ name: 'one', category: 10, worth: 1, aim: '200ms', patience: '1s', deadline: '3s', hold: '5s', width: 1 }],
  numbers: [{ prefix: '551', exchange: 'a' }, { prefix: '552', exchange: 'b' }],
  rules: { attempts: 3, release: '200ms', drain_grace: '1s', tip_after: '3s', overload: 2, cold_from: 0.3, cold_for: '9s' },
}`, map[string]string{"store": path})
	if err != nil {
		t.Fatal(err)
	}
	if len(cfg.BlockingTargets) != 1 || cfg.BlockingTargets[0] != 0.02 {
		t.Errorf("%v", cfg.BlockingTargets)
	}
	for _, crash := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s, err := New(cfg, slog.New(slog.DiscardHandler), WithListeners(listener, nil))
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		if _, err := New(cfg, slog.New(slog.DiscardHandler)); err == nil {
			t.Error("two call servers opened the same store")
		}
		if crash {
			s.writeTraffic()
			s.Kill()
		} else if err := s.Shutdown(time.Second); err != nil {
			t.Fatal(err)
		}
	}
	store, err := measure.OpenStore(path, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	intervals, err := store.Read(time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
	if err != nil || len(intervals) == 0 || len(intervals) > 2 { // two if an interval of 15 minutes ended during the test
		t.Fatalf("%+v, %v", intervals, err)
	}
	if intervals[0].Home != 1 || intervals[0].Covered <= 0 || intervals[0].Groups[0].To != 2 || intervals[0].Groups[0].Circuits != 4 {
		t.Errorf("%+v", intervals)
	}
}
