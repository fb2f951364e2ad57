package logic

import (
	"fmt"
	"math"
	"time"
)

// validateAndNormalize returns an error that names the first invalid setting. Negated comparisons reject NaN, too. In valid
// settings it raises Instances to 1 if it is less.
func validateAndNormalize(settings *Settings) error {
	if settings.Host == nil {
		return fmt.Errorf("settings: Host is missing")
	}
	if len(settings.Classes) == 0 {
		return fmt.Errorf("settings: Classes is empty")
	}
	for _, class := range settings.Classes {
		if class.Aim < 0 || class.Deadline < 0 || class.Hold < 0 || class.Width < 0 || class.Worth < 0 {
			return fmt.Errorf("settings: Classes: %s has a negative value", class.Name)
		}
		if !(class.Worth <= 1e9) || !(class.LateShare >= 0 && class.LateShare <= 1) {
			return fmt.Errorf("settings: Classes: %s has Worth %v and LateShare %v, not at most 1e9 and between 0 and 1", class.Name, class.Worth, class.LateShare)
		}
	}
	for _, duration := range []struct {
		name  string
		value time.Duration
	}{{"Tick", settings.Tick}, {"Release", settings.Release}, {"DrainGrace", settings.DrainGrace}, {"TipAfter", settings.TipAfter},
		{"ColdFor", settings.ColdFor}, {"MaxWait", settings.MaxWait}, {"AskWithin", settings.AskWithin}} {
		if duration.value < 0 {
			return fmt.Errorf("settings: %s is negative", duration.name)
		}
	}
	if !(settings.ColdFrom >= 0 && settings.ColdFrom <= 1) {
		return fmt.Errorf("settings: ColdFrom is %v, not between 0 and 1", settings.ColdFrom)
	}
	if !(settings.Overload >= 0) || math.IsInf(settings.Overload, 0) {
		return fmt.Errorf("settings: Overload is %v, not a finite number of at least 0", settings.Overload)
	}
	if settings.MaxAttempts < 0 {
		return fmt.Errorf("settings: MaxAttempts is negative")
	}
	if settings.Instances < 1 {
		settings.Instances = 1
	}
	return nil
}
