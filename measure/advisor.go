package measure

import (
	"fmt"

	"finchlatch/dimension"
	"finchlatch/logic"
)

// Advisor reports when the traffic of a trunk group has outgrown the group, with hysteresis: predicted blocking must exceed
// its target in several consecutive intervals before a group is reported, and be well below the target in as many before
// the report is withdrawn. It only reports and changes no routing.
type Advisor struct {
	Classes []logic.Class
	Targets []float64 // target blocking by class; 0: not checked

	groups map[int]*adviceState
}

// adviceState is what the Advisor has found out about one group.
type adviceState struct {
	consecutive int  // consecutive intervals beyond the ratio that would change outgrown
	outgrown    bool // the group is reported as outgrown
}

// Hysteresis of the Advisor.
const (
	adviceIntervals = 2   // consecutive intervals that change what is reported
	outgrownRatio   = 1.5 // predicted blocking over its target above which a group is too small
	sufficientRatio = 0.5 // predicted blocking over its target below which a reported group is large enough again
)

// Advice is a change in whether the group toward an exchange is large enough.
type Advice struct {
	To       int    // number of the exchange
	TooSmall bool   // the group has become too small; false: it is large enough again
	Text     string // for operators
}

// Evaluate evaluates an interval of the own call server and returns what has changed. Calls from the far end are assumed to be
// as many as the own ones, so advice is only a hint: a plan uses measurements of both ends.
func (a *Advisor) Evaluate(interval Interval) (out []Advice) {
	if a.groups == nil {
		a.groups = map[int]*adviceState{}
	}
	if interval.Jumped || interval.invalidReason(len(a.Classes)) != "" || float64(interval.Covered) < minCoverage*float64(IntervalLength) {
		return nil
	}
	loads := map[int][]dimension.Load{}
	for _, count := range interval.Counts {
		if loads[count.To] == nil {
			loads[count.To] = make([]dimension.Load, len(a.Classes))
			for i, class := range a.Classes {
				loads[count.To][i].Width = max(1, class.Width)
			}
		}
		loads[count.To][count.Class].Erlangs += 2 * float64(count.Fresh) / interval.Covered.Seconds() * a.Classes[count.Class].Hold.Seconds()
	}
	for _, group := range interval.Groups {
		load := loads[group.To]
		if load == nil || group.Circuits == 0 {
			continue
		}
		blocking, err := dimension.Blocking(group.Circuits, load)
		if err != nil {
			continue
		}
		worst, ratio := 0, 0.0
		for class := range a.Classes {
			if a.Targets[class] > 0 && load[class].Erlangs > 0 && blocking[class]/a.Targets[class] > ratio {
				worst, ratio = class, blocking[class]/a.Targets[class]
			}
		}
		if advice := a.update(group.To, ratio); advice != nil {
			needed, _ := dimension.Size(load, a.Targets, dimension.DefaultMaxCircuits)
			advice.Text = fmt.Sprintf("group toward exchange %d has %d circuits, about %d are needed: %s would lose %.1f%%, its target is %.1f%%", group.To, group.Circuits,
				needed, a.Classes[worst].Name, 100*blocking[worst], 100*a.Targets[worst])
			if !advice.TooSmall {
				advice.Text = fmt.Sprintf("group toward exchange %d with %d circuits is large enough again", group.To, group.Circuits)
			}
			out = append(out, *advice)
		}
	}
	return out
}

// update records the ratio of predicted blocking to its target of a group's worst class. It returns nil if the report on
// the group stays as it is.
func (a *Advisor) update(exchange int, ratio float64) *Advice {
	state := a.groups[exchange]
	if state == nil {
		state = &adviceState{}
		a.groups[exchange] = state
	}
	if state.outgrown && ratio < sufficientRatio || !state.outgrown && ratio > outgrownRatio {
		state.consecutive++
	} else {
		state.consecutive = 0
	}
	if state.consecutive < adviceIntervals {
		return nil
	}
	state.consecutive, state.outgrown = 0, !state.outgrown
	return &Advice{To: exchange, TooSmall: state.outgrown}
}
