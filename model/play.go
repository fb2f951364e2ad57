package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/standin"
	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/router"
)

// trouble strikes a fleet, and ends.
type trouble struct {
	begin, end func(f *Fleet, s standin.Step, struck []*node)
}

// troubles are the kinds of the scripts that fleets on sockets take, in simulated time.
var troubles = map[string]trouble{
	"jump": {func(f *Fleet, s standin.Step, _ []*node) { f.scale(f.nodes, s.Size) },
		func(f *Fleet, s standin.Step, _ []*node) { f.scale(f.nodes, 1) }},
	"flood": {func(f *Fleet, s standin.Step, x []*node) { f.scale(x, s.Size) },
		func(f *Fleet, s standin.Step, x []*node) { f.scale(x, 1) }},
	"hot_number":  {(*Fleet).heat, func(f *Fleet, _ standin.Step, _ []*node) { f.hotPart = 0 }},
	"region_loss": {func(f *Fleet, s standin.Step, _ []*node) { f.block(s, true) }, func(f *Fleet, s standin.Step, _ []*node) { f.block(s, false) }},
	"mass_cut":    {(*Fleet).cut, nil},
	"silence": {func(f *Fleet, _ standin.Step, x []*node) {
		for _, n := range x {
			n.proc.silent = true
			n.proc.clear()
			f.change(n, logic.Gone, false, true)
		}
	}, (*Fleet).awake},
	"hang": {each(func(n *node, _ standin.Step) { n.proc.hung = true }), each(func(n *node, _ standin.Step) { n.proc.hung = false })},
	"late_answer": {each(func(n *node, s standin.Step) { n.lines.late = time.Duration(s.Size * float64(time.Second)) }),
		each(func(n *node, _ standin.Step) { n.lines.late = 0 })},
	"replace": {(*Fleet).replace, nil},
	"unit": {func(f *Fleet, _ standin.Step, x []*node) {
		for _, n := range x {
			f.down(n, 700*time.Millisecond, true)
		}
	}, nil},
	"restart": {func(f *Fleet, s standin.Step, x []*node) {
		for i, n := range x {
			f.after(time.Duration(s.Len)*time.Duration(i)/time.Duration(len(x)), func() { f.down(n, 350*time.Millisecond, false) })
		}
	}, nil},
	"stall": {(*Fleet).stall, nil},
	"slow": {func(f *Fleet, s standin.Step, _ []*node) {
		for _, n := range f.nodes {
			n.proc.slow, n.proc.slowEnds = s.Size, f.now+time.Duration(s.Len)
		}
	}, nil},
	"ageing": {each(func(n *node, s standin.Step) {
		n.proc.ageing, n.proc.agedFrom = (s.Size-1)/time.Duration(s.Len).Seconds(), n.f.now
	}), (*Fleet).awake},
	"late_list": {func(f *Fleet, s standin.Step, _ []*node) { f.late = time.Duration(s.Size * float64(time.Second)) },
		func(f *Fleet, _ standin.Step, _ []*node) { f.late = 0 }},
	"flap": {func(f *Fleet, s standin.Step, _ []*node) {
		for i, a := range f.nodes {
			for _, b := range f.nodes[i+1:] {
				if f.rng.Float64() < s.Part {
					f.breakWire(a, b)
				}
			}
		}
	}, nil},
	"give_up": {func(f *Fleet, s standin.Step, _ []*node) { f.hurry(s.Size) }, func(f *Fleet, _ standin.Step, _ []*node) { f.hurry(0) }},
	"client_flap": {each(func(n *node, _ standin.Step) {
		if n.r != nil {
			n.callers.end.lost()
			n.access++
			n.tapKind(rulecheck.Lost, "counters")
			n.r.Disconnected(n.f.now, n.countersLink(), -1)
			n.r.Connected(n.f.now, n.countersLink())
			n.callers.connect()
			n.carry()
		}
	}), nil},
}

func each(do func(n *node, s standin.Step)) func(*Fleet, standin.Step, []*node) {
	return func(_ *Fleet, s standin.Step, struck []*node) {
		for _, n := range struck {
			do(n, s)
		}
	}
}

// drawn are the kinds that strike exchanges drawn by lot.
var drawn = []string{"flood", "silence", "hang", "replace", "restart", "stall", "ageing", "client_flap", "late_answer"}

// Play runs a script: callers begin, troubles strike, callers stop, and the last calls get the time that quiet gives.
func (f *Fleet) Play(s standin.Script, quiet time.Duration) error {
	for i, x := range s.Steps {
		if _, ok := troubles[x.Kind]; !ok {
			return fmt.Errorf("model: steps[%d].kind: %q is not played here", i, x.Kind)
		}
	}
	for _, x := range s.Steps {
		struck, t := f.strike(x), troubles[x.Kind]
		f.after(time.Duration(x.At), func() { t.begin(f, x, struck) })
		if t.end != nil {
			f.after(time.Duration(x.At+x.Len), func() { t.end(f, x, struck) })
		}
	}
	for _, n := range f.nodes {
		n.callers.running = true
		n.callers.run()
	}
	f.until(f.now + time.Duration(s.Len))
	for _, n := range f.nodes {
		n.callers.running = false
	}
	f.until(f.now + quiet)
	return nil
}

func (f *Fleet) strike(s standin.Step) (out []*node) {
	if s.Kind == "unit" {
		unit := f.rng.IntN(3)
		return slices.DeleteFunc(slices.Clone(f.nodes), func(n *node) bool { return n.index%3 != unit })
	}
	if !slices.Contains(drawn, s.Kind) {
		return nil
	}
	count := max(1, int(math.Round(s.Part*float64(len(f.nodes)))))
	for _, i := range f.rng.Perm(len(f.nodes))[:count] {
		out = append(out, f.nodes[i])
	}
	return out
}

func (f *Fleet) scale(nodes []*node, by float64) {
	for _, n := range nodes {
		n.rateTimes = by
	}
}

func (f *Fleet) hurry(share float64) {
	for _, n := range f.nodes {
		n.callers.hurry = share
	}
}

func (f *Fleet) heat(s standin.Step, _ []*node) {
	f.hotAt = f.rng.IntN(len(f.nodes))
	f.hot, f.hotPart = fmt.Sprintf("5%04d99999", f.hotAt+1), s.Part
	f.nodes[f.hotAt].lines.thin[f.hot] = int(s.Size)
}

func (f *Fleet) block(s standin.Step, on bool) {
	for _, a := range f.nodes {
		for i, b := range f.nodes {
			if a.r != nil && a.region == s.Region && b.region != s.Region {
				id := router.PeerID(a.linkOf(i))
				a.r.Block(f.now, id, int(s.Part*float64(f.group)+0.5), isup.Hardware, on)
			}
		}
		a.carry()
	}
}

func (f *Fleet) cut(s standin.Step, _ []*node) {
	for i, a := range f.nodes {
		for j := i + 1; j < len(f.nodes) && a.r != nil; j++ {
			id := router.PeerID(a.linkOf(j))
			g := a.r.Groups()[id]
			a.r.Reset(f.now, id, int(s.Part*float64(g.In+g.Out)+0.5))
		}
		a.carry()
	}
}

func (f *Fleet) awake(_ standin.Step, struck []*node) {
	for _, n := range struck {
		f.cold(n)
	}
}

func (f *Fleet) cold(n *node) {
	n.proc.restart()
	n.tapKind(rulecheck.Started, "")
	f.change(n, logic.Ready, true, false)
}

// down restarts a call server.
func (f *Fleet) down(n *node, d time.Duration, cold bool) {
	if n.r == nil {
		return
	}
	n.kill()
	f.after(d, func() {
		if cold {
			f.cold(n)
		}
		n.back()
	})
}

func (f *Fleet) replace(s standin.Step, struck []*node) {
	one := time.Duration(s.Len) / time.Duration(len(struck))
	for i, n := range struck {
		f.after(one*time.Duration(i), func() {
			if n.r == nil {
				return
			}
			f.change(n, logic.Draining, false, false)
			n.r.Drain(f.now)
			n.carry()
			birth := n.birth
			f.after(one/2, func() {
				if n.r != nil && n.birth == birth {
					n.r.ReleaseAll(f.now)
					n.carry()
					f.after(100*time.Millisecond, func() { f.down(n, 700*time.Millisecond, true) })
				}
			})
		})
	}
}

func (f *Fleet) stall(s standin.Step, struck []*node) {
	for _, n := range struck {
		pause := time.Duration((2 + f.rng.Float64()*2) * float64(time.Second))
		for at := time.Duration(0); at < time.Duration(s.Len); at += pause {
			f.after(at, func() { n.proc.stalled = max(n.proc.stalled, f.now+time.Duration(s.Size*float64(time.Second))) })
		}
	}
}

// Idle names the first circuit that is not free, or call that is held: after quiet there should be none.
func (f *Fleet) Idle() error {
	for _, n := range f.nodes {
		if n.r == nil {
			continue
		}
		for _, g := range n.r.Groups() {
			if g.Spare != g.Size {
				return fmt.Errorf("model: %s: group %+v", n.name, g)
			}
		}
		if held, _ := n.r.Held(); held > 0 {
			return fmt.Errorf("model: %s holds %d calls: %+v", n.name, held, n.r.Calls(f.now, 3))
		}
	}
	return nil
}

// Fallen counts the processors that fell over.
func (f *Fleet) Fallen() (count int) {
	for _, n := range f.nodes {
		if n.proc.fallen {
			count++
		}
	}
	return count
}
