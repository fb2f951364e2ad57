package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
)

// fault injects a kind of fault into a fleet, and ends it; end is nil if the fault ends by itself.
type fault struct {
	begin, end func(p *player, step simenv.Step, affected []*Node)
}

// faults are the kinds of fault by their names in scripts.
var faults = map[string]fault{
	"jump": {func(p *player, step simenv.Step, _ []*Node) { p.scaleAllRates(step.Size) },
		func(p *player, step simenv.Step, _ []*Node) { p.scaleAllRates(1) }},
	"flood": {func(p *player, step simenv.Step, affected []*Node) { p.scaleRates(affected, step.Size) },
		func(p *player, step simenv.Step, affected []*Node) { p.scaleRates(affected, 1) }},
	"hot_number": {(*player).startHotNumber, func(p *player, step simenv.Step, _ []*Node) { p.endHotNumber() }},
	"region_loss": {func(p *player, step simenv.Step, _ []*Node) { p.changeBlocking(step, "block") },
		func(p *player, step simenv.Step, _ []*Node) { p.changeBlocking(step, "unblock") }},
	"mass_cut": {(*player).dropCalls, nil},
	"silence":  {(*player).stopProcessors, (*player).restartProcessors},
	"hang":     {(*player).ignoreSetUps, (*player).acceptSetUps},
	"late_answer": {(*player).delayAnswers,
		func(p *player, step simenv.Step, affected []*Node) { p.delayAnswers(simenv.Step{}, affected) }},
	"replace":     {(*player).replaceProcessors, nil},
	"unit":        {(*player).crashUnit, nil},
	"restart":     {(*player).restartServers, nil},
	"stall":       {(*player).stallProcessors, nil},
	"slow":        {(*player).slowProcessors, nil},
	"ageing":      {(*player).ageProcessors, (*player).restartProcessors},
	"late_list":   {(*player).delayDiscovery, func(p *player, step simenv.Step, _ []*Node) { p.fleet.Discovery.SetExtraDelay(0) }},
	"flap":        {(*player).breakAssociations, nil},
	"give_up":     {(*player).shortenPatience, func(p *player, step simenv.Step, _ []*Node) { p.setPatience(1) }},
	"client_flap": {(*player).breakClientAssociations, nil},
}

// player plays a script on a fleet.
type player struct {
	fleet  *Fleet
	rng    *rand.Rand
	report func(string) // receives a line for each fault; nil: none are wanted
	endsAt time.Time    // end of the script
}

// playerStream is the stream of a player's random numbers, with the seed of the fleet.
const playerStream = 17

// Play plays a script on a fleet: it starts the callers, injects each fault at its time, stops the callers, and waits
// until the last calls have ended. report receives a line for each fault; it may be nil.
func (f *Fleet) Play(script simenv.Script, report func(string)) {
	p := &player{fleet: f, rng: rand.New(rand.NewPCG(f.Settings.Seed, playerStream)), report: report,
		endsAt: time.Now().Add(time.Duration(script.Len))}
	type event struct {
		at  time.Duration
		run func()
	}
	var events []event
	for _, step := range script.Steps {
		fault := faults[step.Kind]
		affected := p.selectNodes(step)
		events = append(events, event{time.Duration(step.At), func() { p.reportStep(step, affected); fault.begin(p, step, affected) }})
		if fault.end != nil {
			events = append(events, event{time.Duration(step.At + step.Len), func() { fault.end(p, step, affected) }})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	start := time.Now()
	f.StartCallers()
	for _, event := range events {
		time.Sleep(time.Until(start.Add(event.at)))
		event.run()
	}
	time.Sleep(time.Until(p.endsAt))
	f.StopCallers(f.maxRemainingTime())
}

// maxRemainingTime returns the longest time that callers may take for all their tries.
func (f *Fleet) maxRemainingTime() (longest time.Duration) {
	for _, c := range f.Settings.Classes {
		longest = max(longest, c.Deadline+c.Patience)
	}
	return longest + f.Settings.Habits.Overstay
}

// reportStep reports a fault with its values and the exchanges that it affects.
func (p *player) reportStep(step simenv.Step, affected []*Node) {
	if p.report == nil {
		return
	}
	names := []string{}
	for _, n := range affected {
		names = append(names, n.Name)
	}
	p.report(fmt.Sprintf("%s part %.2g size %.2g for %v %s", step.Kind, step.Part, step.Size, time.Duration(step.Len),
		strings.Join(names, " ")))
}

// selectNodes returns the exchanges that a step affects.
func (p *player) selectNodes(step simenv.Step) (nodes []*Node) {
	var names []string
	for _, n := range p.fleet.Nodes {
		names = append(names, n.Name)
	}
	for _, i := range step.SelectExchanges(p.rng, names) {
		nodes = append(nodes, p.fleet.Nodes[i])
	}
	return nodes
}

// scaleAllRates sets the call rate of all exchanges to a multiple of the usual one.
func (p *player) scaleAllRates(factor float64) { p.scaleRates(p.fleet.Nodes, factor) }

func (p *player) scaleRates(nodes []*Node, factor float64) {
	for _, n := range nodes {
		n.Callers.Do(func() { n.Callers.SetRate(n.Rate * factor) })
	}
}

// startHotNumber makes a random exchange own a number that a share of all callers calls and that has few lines.
func (p *player) startHotNumber(step simenv.Step, _ []*Node) {
	owner := p.rng.IntN(len(p.fleet.Nodes))
	number := fmt.Sprintf("55%02d99999", owner+1)
	lines := p.fleet.Nodes[owner].Lines
	lines.Do(func() { lines.LineCounts[number] = int(step.Size) })
	p.fleet.mu.Lock()
	p.fleet.hotNumber = hotNumber{number: number, share: step.Part, owner: owner}
	p.fleet.mu.Unlock()
}

func (p *player) endHotNumber() {
	p.fleet.mu.Lock()
	p.fleet.hotNumber = hotNumber{}
	p.fleet.mu.Unlock()
}

// changeBlocking blocks or unblocks part of the circuits between a region and the others, from the region's side.
func (p *player) changeBlocking(step simenv.Step, command string) {
	for _, n := range p.fleet.Nodes {
		for _, peer := range p.fleet.Nodes {
			if n.Region == step.Region && peer.Region != step.Region {
				_, _ = n.Console("%s %s %.0f%% hardware", command, peer.Name, 100*step.Part)
			}
		}
	}
}

// dropCalls resets part of the circuits of established calls in each trunk group.
func (p *player) dropCalls(step simenv.Step, _ []*Node) {
	for i, n := range p.fleet.Nodes {
		for _, peer := range p.fleet.Nodes[i+1:] {
			_, _ = n.Console("reset %s %.0f%%", peer.Name, 100*step.Part)
		}
	}
}

// stopProcessors makes processors unresponsive. Service discovery has to detect it.
func (p *player) stopProcessors(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		n.Processor.WithCore(func(processor *simenv.Processor[queueKey], now time.Duration) { processor.StopResponding() })
		p.fleet.Discovery.Announce(n.Name, rulecheck.Gone, false, true)
	}
}

// restartProcessors restarts processors, which are cold then.
func (p *player) restartProcessors(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		n.RestartProcessor()
		p.fleet.Discovery.Announce(n.Name, rulecheck.Ready, true, false)
	}
}

func (p *player) ignoreSetUps(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		n.Processor.WithCore(func(processor *simenv.Processor[queueKey], now time.Duration) { processor.IgnoreSetUps(true) })
	}
}

func (p *player) acceptSetUps(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		n.Processor.WithCore(func(processor *simenv.Processor[queueKey], now time.Duration) { processor.IgnoreSetUps(false) })
	}
}

// runInBackground runs a task that StopCallers waits for.
func (p *player) runInBackground(task func()) {
	p.fleet.background.Add(1)
	go func() {
		defer p.fleet.background.Done()
		task()
	}()
}

func (p *player) delayAnswers(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		n.Lines.Do(func() { n.Lines.ExtraDelay = time.Duration(step.Size * float64(time.Second)) })
	}
}

// restartTime is the time that a call server is down during a restart on another processor.
const restartTime = 700 * time.Millisecond

// replaceProcessors moves exchanges to new processors, one after the other: service discovery announces that an exchange
// is draining, its call server drains and stops, and then restarts on a cold processor.
func (p *player) replaceProcessors(step simenv.Step, affected []*Node) {
	interval := time.Duration(step.Len) / time.Duration(len(affected))
	for i, n := range affected {
		p.runInBackground(func() {
			time.Sleep(time.Duration(i) * interval)
			p.fleet.Discovery.Announce(n.Name, rulecheck.Draining, false, false)
			n.Drain(max(interval-restartTime, time.Second) / 2)
			time.Sleep(restartTime)
			p.restartNode(n, true)
		})
	}
}

// restartNode starts a call server again, on a new processor if cold is set.
func (p *player) restartNode(n *Node, cold bool) {
	if cold {
		n.RestartProcessor()
		p.fleet.Discovery.Announce(n.Name, rulecheck.Ready, true, false)
	}
	if err := n.Restart(); err != nil && p.report != nil {
		p.report(fmt.Sprintf("%s did not restart: %v", n.Name, err))
	}
}

// crashUnit crashes all exchanges of a unit at once and restarts them on cold processors.
func (p *player) crashUnit(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		p.runInBackground(func() {
			n.Kill()
			time.Sleep(restartTime)
			p.restartNode(n, true)
		})
	}
}

// restartServers crashes call servers one after the other and restarts them on the same processor.
func (p *player) restartServers(step simenv.Step, affected []*Node) {
	for i, n := range affected {
		p.runInBackground(func() {
			time.Sleep(time.Duration(step.Len) * time.Duration(i) / time.Duration(len(affected)))
			n.Kill()
			time.Sleep(restartTime / 2)
			p.restartNode(n, false)
		})
	}
}

// stallProcessors pauses processors repeatedly, each with a random interval of its own.
func (p *player) stallProcessors(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		pause := time.Duration((2 + p.rng.Float64()*2) * float64(time.Second))
		p.runInBackground(func() {
			for end := time.Now().Add(time.Duration(step.Len)); time.Now().Before(end); time.Sleep(pause) {
				n.Processor.WithCore(func(processor *simenv.Processor[queueKey], now time.Duration) {
					processor.Stall(now + time.Duration(step.Size*float64(time.Second)))
				})
			}
		})
	}
}

func (p *player) slowProcessors(step simenv.Step, _ []*Node) {
	for _, n := range p.fleet.Nodes {
		n.Processor.WithCore(func(processor *simenv.Processor[queueKey], now time.Duration) {
			processor.SlowDown(step.Size, now+time.Duration(step.Len))
		})
	}
}

// ageProcessors makes processors slower until step.Size times the usual service times at the end of the step.
func (p *player) ageProcessors(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		n.Processor.WithCore(func(processor *simenv.Processor[queueKey], now time.Duration) {
			processor.Age(now, (step.Size-1)/time.Duration(step.Len).Seconds())
		})
	}
}

func (p *player) delayDiscovery(step simenv.Step, _ []*Node) {
	p.fleet.Discovery.SetExtraDelay(time.Duration(step.Size * float64(time.Second)))
}

// breakAssociations breaks the connections of part of the links between exchanges.
func (p *player) breakAssociations(step simenv.Step, _ []*Node) {
	for i := range p.fleet.Nodes {
		for j := i + 1; j < len(p.fleet.Nodes); j++ {
			if p.rng.Float64() < step.Part {
				p.fleet.links[[2]int{i, j}].Break()
			}
		}
	}
}

func (p *player) breakClientAssociations(step simenv.Step, affected []*Node) {
	for _, n := range affected {
		n.Callers.Break()
	}
}

func (p *player) shortenPatience(step simenv.Step, _ []*Node) { p.setPatience(step.Size) }

func (p *player) setPatience(share float64) {
	for _, n := range p.fleet.Nodes {
		n.Callers.Do(func() { n.Callers.PatienceFactor = share })
	}
}
