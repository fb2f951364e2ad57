package standin

import (
	_ "embed"
	"time"
)

//go:embed badday.jsonnet
var badDay string

// BadDay is the script that is played when none is given.
func BadDay() (Script, error) { return ParseScript("badday.jsonnet", badDay) }

// DefaultHabits are those of ordinary callers: two further tries, faster ones to a crowd's number.
func DefaultHabits() Habits {
	return Habits{Redials: 2, Pause: time.Second, HotPause: 300 * time.Millisecond, CutReturn: 2 * time.Second,
		Overstay: 300 * time.Millisecond}
}
