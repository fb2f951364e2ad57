package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/google/go-jsonnet"

	"finchlatch/config"
	"finchlatch/internal/rulecheck"
)

// Step is one trouble of a script. What its figures mean depends on the kind; Kinds tells.
type Step struct {
	At       config.Span `json:"at"`
	Kind     string      `json:"kind"`
	Len      config.Span `json:"len"`
	Part     float64     `json:"part"` // of the exchanges, or of what is struck
	Size     float64     `json:"size"`
	Region   int         `json:"region"`
	Exchange string      `json:"exchange"` // strikes this one in place of a draw
}

// Script is a day of troubles.
type Script struct {
	Len   config.Span `json:"len"`
	Steps []Step      `json:"steps"`
}

// kind is what a trouble needs and does. begin strikes; end, where there is one, runs after Len.
type kind struct {
	about       string
	least, most float64 // of Size
	begin, end  func(d *day, s Step, struck []*Node)
}

// Kinds are the troubles that a script can hold, with what their figures mean.
var kinds = map[string]kind{
	"jump": {"calls jump to size times the usual", 1, 10,
		func(d *day, s Step, _ []*Node) { d.rates(s.Size) }, func(d *day, s Step, _ []*Node) { d.rates(1) }},
	"flood": {"one exchange's callers, or part of them, offer size times the usual", 1, 20,
		func(d *day, s Step, struck []*Node) { d.scale(struck, s.Size) },
		func(d *day, s Step, struck []*Node) { d.scale(struck, 1) }},
	"hot_number": {"part of all calls go to one number with size lines", 1, 100,
		(*day).heat, func(d *day, s Step, _ []*Node) { d.cool() }},
	"region_loss": {"groups between region and the others keep 1-part of their circuits", 0, 0,
		func(d *day, s Step, _ []*Node) { d.circuits(s, "block") },
		func(d *day, s Step, _ []*Node) { d.circuits(s, "unblock") }},
	"mass_cut": {"part of the standing calls are cut", 0, 0, (*day).cut, nil},
	"silence":  {"processors of part of the exchanges go silent and come back cold", 0, 0, (*day).silence, (*day).awake},
	"hang":     {"processors take set-ups and answer none", 0, 0, (*day).hang, (*day).unhang},
	"late_answer": {"lines of part of the exchanges answer size seconds later", 0, 10, (*day).lateAnswer,
		func(d *day, s Step, struck []*Node) { d.lateAnswer(Step{}, struck) }},
	"replace":     {"new processors take the place of the old ones, one exchange after the other", 0, 0, (*day).replace, nil},
	"unit":        {"all exchanges that share a unit restart at once and come back cold", 0, 0, (*day).unit, nil},
	"restart":     {"call servers of part of the exchanges restart, with nothing but their last list", 0, 0, (*day).restart, nil},
	"stall":       {"call servers stand still for size seconds, again and again", 0.05, 2.5, (*day).stall, nil},
	"slow":        {"all processors run size times slower", 1, 10, (*day).slow, nil},
	"ageing":      {"processors get slower up to size times, then crash and come back cold", 1, 20, (*day).age, (*day).awake},
	"late_list":   {"the exchange list is size seconds later", 0, 30, (*day).lateList, func(d *day, s Step, _ []*Node) { d.f.List.Late(0) }},
	"flap":        {"associations between exchanges are broken, part of them", 0, 0, (*day).flap, nil},
	"give_up":     {"callers wait only size of their patience", 0.05, 1, (*day).hurry, func(d *day, s Step, _ []*Node) { d.patience(1) }},
	"client_flap": {"the associations of counters are broken", 0, 0, (*day).clientFlap, nil},
}

// KindNames lists the kinds in order, each with what its figures mean.
func KindNames() (out []string) {
	for name, k := range kinds {
		out = append(out, name+": "+k.about)
	}
	slices.Sort(out)
	return out
}

// ParseScript reads a script from Jsonnet; name stands for its file in errors.
func ParseScript(name, text string) (Script, error) {
	var s Script
	out, err := jsonnet.MakeVM().EvaluateAnonymousSnippet(name, text)
	if err != nil {
		return s, fmt.Errorf("%s: %s", name, strings.TrimSpace(err.Error()))
	}
	dec := json.NewDecoder(bytes.NewReader([]byte(out)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, fmt.Errorf("%s: %w", name, err)
	}
	return s, s.Check(name)
}

// Check names the first step that makes no sense.
func (s Script) Check(name string) error {
	if s.Len <= 0 {
		return fmt.Errorf("%s: len: must be positive", name)
	}
	for i, x := range s.Steps {
		k, ok := kinds[x.Kind]
		switch {
		case !ok:
			return fmt.Errorf("%s: steps[%d].kind: %q is none of %s", name, i, x.Kind, strings.Join(KindNames(), "; "))
		case x.Part < 0 || x.Part > 1:
			return fmt.Errorf("%s: steps[%d].part: %v is not 0 to 1", name, i, x.Part)
		case k.most > 0 && (x.Size < k.least || x.Size > k.most):
			return fmt.Errorf("%s: steps[%d].size: %v is not %v to %v for %s", name, i, x.Size, k.least, k.most, x.Kind)
		case x.At > s.Len || k.end != nil && x.Len <= 0:
			return fmt.Errorf("%s: steps[%d]: starts after the end, or has no len", name, i)
		}
	}
	return nil
}

// day carries a script out on a fleet.
type day struct {
	f    *Fleet
	rng  *rand.Rand
	note func(string)
	end  time.Time
}

// Play runs a script on a fleet: callers begin, troubles strike at their times, callers end, and the last calls
// get their time. note is told of each trouble.
func (f *Fleet) Play(s Script, note func(string)) {
	d := &day{f: f, rng: rand.New(rand.NewPCG(f.Set.Seed, 17)), note: note, end: time.Now().Add(time.Duration(s.Len))}
	type event struct {
		at  time.Duration
		run func()
	}
	var events []event
	for _, x := range s.Steps {
		k := kinds[x.Kind]
		struck := d.strike(x)
		events = append(events, event{time.Duration(x.At), func() { d.tell(x, struck); k.begin(d, x, struck) }})
		if k.end != nil {
			events = append(events, event{time.Duration(x.At + x.Len), func() { k.end(d, x, struck) }})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	began := time.Now()
	f.Go()
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.at)))
		e.run()
	}
	time.Sleep(time.Until(d.end))
	f.Quiet(f.quietTime())
}

// quietTime is how long the last callers may take: all their tries.
func (f *Fleet) quietTime() (most time.Duration) {
	for _, c := range f.Set.Classes {
		most = max(most, c.Deadline+c.Patience)
	}
	return most + f.Set.Habits.Overstay
}

func (d *day) tell(s Step, struck []*Node) {
	if d.note == nil {
		return
	}
	names := []string{}
	for _, n := range struck {
		names = append(names, n.Name)
	}
	d.note(fmt.Sprintf("%s part %.2g size %.2g for %v %s", s.Kind, s.Part, s.Size, time.Duration(s.Len), strings.Join(names, " ")))
}

// strike draws the exchanges that a step is about.
func (d *day) strike(s Step) []*Node {
	if s.Kind == "unit" {
		unit := d.rng.IntN(3)
		return slices.DeleteFunc(slices.Clone(d.f.Nodes), func(n *Node) bool { return n.Unit != unit })
	}
	if i := slices.IndexFunc(d.f.Nodes, func(n *Node) bool { return n.Name == s.Exchange }); i >= 0 {
		return d.f.Nodes[i : i+1]
	}
	if !slices.Contains([]string{"flood", "silence", "hang", "replace", "restart", "stall", "ageing", "client_flap", "late_answer"}, s.Kind) {
		return nil
	}
	count := max(1, int(math.Round(s.Part*float64(len(d.f.Nodes)))))
	var out []*Node
	for _, i := range d.rng.Perm(len(d.f.Nodes))[:min(count, len(d.f.Nodes))] {
		out = append(out, d.f.Nodes[i])
	}
	return out
}

func (d *day) rates(factor float64) { d.scale(d.f.Nodes, factor) }

func (d *day) scale(nodes []*Node, factor float64) {
	for _, n := range nodes {
		n.Callers.SetRate(n.Rate * factor)
	}
}

func (d *day) heat(s Step, _ []*Node) {
	owner := d.rng.IntN(len(d.f.Nodes))
	number := fmt.Sprintf("55%02d99999", owner+1)
	d.f.Nodes[owner].Lines.Thin(number, int(s.Size))
	d.f.mu.Lock()
	d.f.hot = hot{number: number, share: s.Part, owner: owner}
	d.f.mu.Unlock()
}

func (d *day) cool() {
	d.f.mu.Lock()
	d.f.hot = hot{}
	d.f.mu.Unlock()
}

// circuits blocks part of the groups between a region and the others, from the region's side.
func (d *day) circuits(s Step, verb string) {
	for _, a := range d.f.Nodes {
		for _, b := range d.f.Nodes {
			if a.Region == s.Region && b.Region != s.Region {
				_, _ = a.Console("%s %s %.0f%% hardware", verb, b.Name, 100*s.Part)
			}
		}
	}
}

func (d *day) cut(s Step, _ []*Node) {
	for i, a := range d.f.Nodes {
		for _, b := range d.f.Nodes[i+1:] {
			_, _ = a.Console("reset %s %.0f%%", b.Name, 100*s.Part)
		}
	}
}

func (d *day) silence(s Step, struck []*Node) {
	for _, n := range struck {
		n.Processor.Silence()
		d.f.List.Change(n.Name, rulecheck.Gone, false, true)
	}
}

// awake brings processors back cold.
func (d *day) awake(s Step, struck []*Node) {
	for _, n := range struck {
		n.Cold()
		d.f.List.Change(n.Name, rulecheck.Ready, true, false)
	}
}

func (d *day) hang(s Step, struck []*Node) {
	for _, n := range struck {
		n.Processor.Hang(true)
	}
}

func (d *day) unhang(s Step, struck []*Node) {
	for _, n := range struck {
		n.Processor.Hang(false)
	}
}

// background runs f and has Play wait for it.
func (d *day) background(f func()) {
	d.f.running.Add(1)
	go func() {
		defer d.f.running.Done()
		f()
	}()
}

func (d *day) lateAnswer(s Step, struck []*Node) {
	for _, n := range struck {
		n.Lines.Do(func() { n.Lines.Late = time.Duration(s.Size * float64(time.Second)) })
	}
}

// downTime is how long a restart takes.
const downTime = 700 * time.Millisecond

// replace drains exchanges one after the other: the list tells first, then the call server leaves in order.
func (d *day) replace(s Step, struck []*Node) {
	each := time.Duration(s.Len) / time.Duration(len(struck))
	for i, n := range struck {
		d.background(func() {
			time.Sleep(time.Duration(i) * each)
			d.f.List.Change(n.Name, rulecheck.Draining, false, false)
			n.Leave(max(each-downTime, time.Second) / 2)
			time.Sleep(downTime)
			d.back(n, true)
		})
	}
}

func (d *day) back(n *Node, cold bool) {
	if cold {
		n.Cold()
		d.f.List.Change(n.Name, rulecheck.Ready, true, false)
	}
	if err := n.Return(); err != nil && d.note != nil {
		d.note(fmt.Sprintf("%s does not come back: %v", n.Name, err))
	}
}

func (d *day) unit(s Step, struck []*Node) {
	for _, n := range struck {
		d.background(func() {
			n.Kill()
			time.Sleep(downTime)
			d.back(n, true)
		})
	}
}

func (d *day) restart(s Step, struck []*Node) {
	for i, n := range struck {
		d.background(func() {
			time.Sleep(time.Duration(s.Len) * time.Duration(i) / time.Duration(len(struck)))
			n.Kill()
			time.Sleep(downTime / 2)
			d.back(n, false)
		})
	}
}

// stall makes call servers stand still, each at times of its own.
func (d *day) stall(s Step, struck []*Node) {
	for _, n := range struck {
		pause := time.Duration((2 + d.rng.Float64()*2) * float64(time.Second))
		d.background(func() {
			for end := time.Now().Add(time.Duration(s.Len)); time.Now().Before(end); time.Sleep(pause) {
				n.Processor.Stall(time.Duration(s.Size * float64(time.Second)))
			}
		})
	}
}

func (d *day) slow(s Step, _ []*Node) {
	for _, n := range d.f.Nodes {
		n.Processor.Slow(s.Size, time.Duration(s.Len))
	}
}

func (d *day) age(s Step, struck []*Node) {
	for _, n := range struck {
		n.Processor.Age((s.Size - 1) / time.Duration(s.Len).Seconds())
	}
}

func (d *day) lateList(s Step, _ []*Node) {
	d.f.List.Late(time.Duration(s.Size * float64(time.Second)))
}

func (d *day) flap(s Step, _ []*Node) {
	for i := range d.f.Nodes {
		for j := i + 1; j < len(d.f.Nodes); j++ {
			if d.rng.Float64() < s.Part {
				d.f.wires[[2]int{i, j}].Break()
			}
		}
	}
}

func (d *day) clientFlap(s Step, struck []*Node) {
	for _, n := range struck {
		n.Callers.Break()
	}
}

func (d *day) hurry(s Step, _ []*Node) { d.patience(s.Size) }

func (d *day) patience(share float64) {
	for _, n := range d.f.Nodes {
		n.Callers.Do(func() { n.Callers.Hurry = share })
	}
}
