package logic

import (
	"fmt"
	"math"
	"time"
)

// validate names the setting that makes no sense.
func validate(s *Settings) error {
	if s.Host == nil {
		return fmt.Errorf("settings: Host is missing")
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: Classes is empty")
	}
	for _, k := range s.Classes {
		if k.Aim < 0 || k.Deadline < 0 || k.Hold < 0 || k.Width < 0 || k.Worth < 0 {
			return fmt.Errorf("settings: Classes: %s has a negative value", k.Name)
		}
		if !(k.Worth <= 1e9) || !(k.LateShare >= 0 && k.LateShare <= 1) {
			return fmt.Errorf("settings: Classes: %s has Worth %v, LateShare %v", k.Name, k.Worth, k.LateShare)
		}
	}
	for _, t := range []struct {
		name string
		v    time.Duration
	}{{"Tick", s.Tick}, {"Release", s.Release}, {"DrainGrace", s.DrainGrace}, {"TipAfter", s.TipAfter},
		{"ColdFor", s.ColdFor}, {"MaxWait", s.MaxWait}, {"AskWithin", s.AskWithin}} {
		if t.v < 0 {
			return fmt.Errorf("settings: %s is negative", t.name)
		}
	}
	if !(s.ColdFrom >= 0 && s.ColdFrom <= 1) {
		return fmt.Errorf("settings: ColdFrom is %v, not a share", s.ColdFrom)
	}
	if !(s.Overload >= 0) || math.IsInf(s.Overload, 0) {
		return fmt.Errorf("settings: Overload is %v", s.Overload)
	}
	if s.MaxAttempts < 0 {
		return fmt.Errorf("settings: MaxAttempts is negative")
	}
	if s.Instances < 1 {
		s.Instances = 1
	}
	return nil
}
