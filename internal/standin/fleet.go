package standin

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/textproto"
	"sync"
	"time"

	"finchlatch/config"
	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/router"
	"finchlatch/server"
)

//go:embed fleet.jsonnet
var fleetTemplate string

// FleetSettings are the size of a fleet, its traffic and the settings of its call servers.
type FleetSettings struct {
	Exchanges   int
	Regions     int
	Rate        float64 // new callers per second in the whole fleet
	Seed        uint64
	Classes     []simenv.Class
	Habits      simenv.Habits
	LookUpShare float64       // share of the tries that start with an ENUM query
	Release     time.Duration // release time of rule 5 in the call servers' settings; 0: the default. A short one breaks the rule
	Log         *slog.Logger  // of the call servers; nil: none

	// Baseline creates a policy that replaces the decision module, for comparison; nil: the module decides.
	Baseline func(s logic.Settings, seed int64) (router.Policy, error)
}

// Reply codes of the operators' console.
const (
	consoleGreeting = 200
	consoleList     = 215 // a list of lines follows
)

// accessCircuits is the number of circuits to the callers of an exchange, and of those to its lines.
const accessCircuits = 400

// Point codes of the first exchange, of its callers and of its lines, as in fleet.jsonnet. Those of the other exchanges
// follow in order.
const (
	firstPointCode        = 101
	firstCallersPointCode = 2001
	firstLinesPointCode   = 3001
)

// minRelease is the shortest release time that the settings of a call server may have, and the default.
const minRelease = 200 * time.Millisecond

// startTimeout is the time within which all associations of a new fleet must become active.
const startTimeout = 90 * time.Second

// Node is one exchange of a fleet: its call server, processor, callers and lines.
type Node struct {
	Name      string
	Region    int
	Processor *Processor
	Callers   *Callers
	Lines     *Lines
	Rate      float64 // new callers per second without faults

	fleet  *Fleet
	index  int
	mu     sync.Mutex
	server *server.Server // the last one started
	alive  bool           // server is running
}

// Fleet is a set of exchanges on loopback, each with its own call server, processor, callers and lines.
type Fleet struct {
	Settings   FleetSettings
	Nodes      []*Node
	Parameters rulecheck.Parameters
	Recorder   *rulecheck.Recorder // messages and events at call servers, for the rule checker
	Discovery  *Discovery
	Group      int // circuits between two exchanges

	links       map[[2]int]*Link // between exchanges, by their indexes in ascending order
	accessLinks []*Link          // for each exchange, to its callers and to its lines
	createdAt   time.Time        // origin of the fleet's clock
	mu          sync.Mutex
	outcomes    []simenv.Outcome
	plan        simenv.Plan
	hotNumber   hotNumber
	background  sync.WaitGroup // faults that are still being carried out
}

// hotNumber is a number that a share of all callers calls.
type hotNumber struct {
	number string
	share  float64 // of the callers of other exchanges; 0: there is no hot number
	owner  int     // index of the exchange that the number belongs to
}

// NewFleet creates and starts a fleet. There are no calls before StartCallers.
func NewFleet(settings FleetSettings) (*Fleet, error) {
	f := &Fleet{Settings: settings, Recorder: &rulecheck.Recorder{}, links: map[[2]int]*Link{}, createdAt: time.Now()}
	if settings.Regions < 1 {
		f.Settings.Regions = 1
	}
	if f.Settings.Release == 0 {
		f.Settings.Release = minRelease
	}
	f.applyPlan()
	f.Discovery = newDiscovery(f)
	for i := range settings.Exchanges {
		if err := f.addNode(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.openLinks(); err != nil {
		f.Close()
		return nil, err
	}
	for _, n := range f.Nodes {
		if err := n.startServer(nil); err != nil {
			f.Close()
			return nil, err
		}
	}
	for i, n := range f.Nodes {
		n.Callers.Dial(f.accessLinks[2*i].Addr())
		n.Lines.Dial(f.accessLinks[2*i+1].Addr())
	}
	if err := f.awaitAssociations(startTimeout); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// applyPlan dimensions the trunk groups for the planned traffic and sets the parameters of the rule checker.
func (f *Fleet) applyPlan() {
	f.plan = simenv.Plan{Exchanges: f.Settings.Exchanges, Rate: f.Settings.Rate, Classes: f.Settings.Classes}
	f.Group, f.Parameters = f.plan.GroupSize(), f.plan.Parameters()
	f.Parameters.QueryTimeout, f.Parameters.Slack, f.Parameters.TapSkew = time.Second, 100*time.Millisecond, 30*time.Millisecond
	for i := range f.Settings.Exchanges {
		f.Parameters.PointCodes[nodeName(i)] = firstPointCode + uint32(i)
	}
}

// nodeName returns the name of an exchange.
func nodeName(i int) string { return fmt.Sprintf("ex%02d", i+1) }

// Now returns the time since the fleet was created, which all records use.
func (f *Fleet) Now() time.Duration { return time.Since(f.createdAt) }

// addNode creates an exchange without its call server.
func (f *Fleet) addNode(i int) error {
	capacity := f.plan.ProcessorCapacity(f.Group)
	n := &Node{Name: nodeName(i), Region: simenv.Region(i, f.Settings.Exchanges, f.Settings.Regions), fleet: f, index: i,
		Processor: NewProcessor(simenv.NewProcessor[queueKey](f.plan.ServiceTimes(capacity), simenv.MaxWait, capacity, f.Parameters), f.Now),
		Rate:      f.Settings.Rate / float64(f.Settings.Exchanges)}
	seed := f.Settings.Seed*1000 + uint64(i)
	circuits := config.Circuits{First: 1, Count: accessCircuits}.Codes()
	n.Callers = NewCallers(firstCallersPointCode+uint32(i), firstPointCode+uint32(i), uint32(i+1), circuits, seed, f.Now)
	n.Callers.Classes, n.Callers.Habits, n.Callers.PickNumber = f.Settings.Classes, f.Settings.Habits, n.pickNumber
	n.Callers.OnDone = f.addOutcome
	n.Callers.EnumAddress = n.enumAddress
	n.Callers.EnableLookUps(f.Settings.LookUpShare)
	n.Callers.RecordLookUp = func(kind rulecheck.Kind, client string, data []byte) {
		f.Recorder.Add(rulecheck.Record{At: f.Now(), Kind: kind, Exchange: n.Name, Peer: client, Data: data})
	}
	n.Lines = NewLines(firstLinesPointCode+uint32(i), firstPointCode+uint32(i), seed, f.Now)
	f.Nodes = append(f.Nodes, n)
	return nil
}

// openLinks opens one link between each two exchanges, and from each exchange one to its callers and one to its lines.
func (f *Fleet) openLinks() error {
	serverEnd := func(n *Node) linkEnd { return linkEnd{name: n.Name, processor: n.Processor, tapped: true} }
	for i, a := range f.Nodes {
		for j := i + 1; j < len(f.Nodes); j++ {
			b := f.Nodes[j]
			link, err := NewLink(serverEnd(a), serverEnd(b), b.address, simenv.SignallingDelay(a.Region, b.Region), f.Recorder, f.Now)
			if err != nil {
				return err
			}
			f.links[[2]int{i, j}] = link
		}
		for _, name := range []string{"counters", "lines"} {
			link, err := NewLink(linkEnd{name: name}, serverEnd(a), a.address, simenv.AccessDelay, f.Recorder, f.Now)
			if err != nil {
				return err
			}
			f.accessLinks = append(f.accessLinks, link)
		}
	}
	return nil
}

// pickNumber draws the number that a caller of this exchange calls: the hot number, or one of any other exchange with
// equal probability.
func (n *Node) pickNumber(rng *rand.Rand) (string, bool) {
	f := n.fleet
	f.mu.Lock()
	hot := f.hotNumber
	f.mu.Unlock()
	if hot.share > 0 && rng.Float64() < hot.share && hot.owner != n.index {
		return hot.number, true
	}
	destination := rng.IntN(len(f.Nodes) - 1)
	if destination >= n.index {
		destination++
	}
	return fmt.Sprintf("55%02d%05d", destination+1, rng.IntN(100000)), false
}

// settings evaluates the settings template for a node.
func (n *Node) settings() (*config.Config, error) {
	f := n.fleet
	type class struct {
		Name      string  `json:"name"`
		Category  byte    `json:"category"`
		Worth     float64 `json:"worth"`
		LateShare float64 `json:"late_share"`
		Aim       string  `json:"aim"`
		Patience  string  `json:"patience"`
		Deadline  string  `json:"deadline"`
		Hold      string  `json:"hold"`
		Width     int     `json:"width"`
	}
	values := struct {
		Me        int      `json:"me"`
		Seed      uint64   `json:"seed"`
		Exchanges int      `json:"exchanges"`
		Group     int      `json:"group"`
		Counters  int      `json:"counters"`
		Lines     int      `json:"lines"`
		Release   string   `json:"release"`
		Wires     []string `json:"wires"`
		Classes   []class  `json:"classes"`
	}{Me: n.index, Seed: f.Settings.Seed, Exchanges: f.Settings.Exchanges, Group: f.Group, Counters: accessCircuits,
		Lines: accessCircuits, Release: max(f.Settings.Release, minRelease).String(), Wires: make([]string, f.Settings.Exchanges)}
	for j := n.index + 1; j < f.Settings.Exchanges; j++ {
		values.Wires[j] = f.links[[2]int{n.index, j}].Addr()
	}
	for _, c := range f.Settings.Classes {
		values.Classes = append(values.Classes, class{c.Name, c.Category, c.Worth, c.LateShare, c.Aim.String(),
			c.Patience.String(), c.Deadline.String(), c.Hold.String(), c.Width})
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		return nil, err
	}
	cfg, err := config.Evaluate("fleet.jsonnet", fleetTemplate, map[string]string{"fleet": string(encoded)})
	if err != nil {
		return nil, err
	}
	cfg.Router.Baseline = f.Settings.Baseline
	cfg.Router.Release = f.Settings.Release // below the allowed minimum only in tests of faulty call servers
	return cfg, nil
}

// startServer starts the call server of a node with a service discovery snapshot.
func (n *Node) startServer(offices []logic.Office) error {
	cfg, err := n.settings()
	if err != nil {
		return err
	}
	log := n.fleet.Settings.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	s, err := server.New(cfg, log, server.WithSnapshot(offices))
	if err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.server, n.alive = s, true
	n.mu.Unlock()
	return nil
}

// enumAddress returns the address of the call server's ENUM interface; empty: the call server is down.
func (n *Node) enumAddress() string {
	if s := n.Server(); s != nil {
		return s.EnumAddr().String()
	}
	return ""
}

// address returns the address that the call server listens on for associations.
func (n *Node) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.alive {
		return "127.0.0.1:1" // nothing listens there
	}
	return n.server.Addr().String()
}

// Server returns the running call server; nil: it is down.
func (n *Node) Server() *server.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.alive {
		return nil
	}
	return n.server
}

// Kill stops the call server as a crash would.
func (n *Node) Kill() {
	if s := n.markDown(); s != nil {
		n.fleet.Recorder.Add(rulecheck.Record{At: n.fleet.Now(), Kind: rulecheck.Killed, Exchange: n.Name})
		s.Kill()
	}
}

// Drain drains the call server for up to the given time and stops it.
func (n *Node) Drain(within time.Duration) {
	n.mu.Lock()
	s := n.server
	n.mu.Unlock()
	_ = s.Shutdown(within)
	n.markDown()
	n.fleet.Recorder.Add(rulecheck.Record{At: n.fleet.Now(), Kind: rulecheck.Killed, Exchange: n.Name})
}

// markDown marks the call server as stopped and returns it; nil: it was down already.
func (n *Node) markDown() *server.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.alive {
		return nil
	}
	n.alive = false
	return n.server
}

// Restart starts the call server again, with the present snapshot of service discovery.
func (n *Node) Restart() error {
	return n.startServer(n.fleet.Discovery.snapshotFor(n.Name))
}

// RestartProcessor restarts the processor of a node, which is cold then.
func (n *Node) RestartProcessor() {
	n.Processor.WithCore(func(core *simenv.Processor[queueKey], now time.Duration) {
		core.Restart(now)
		n.fleet.Recorder.Add(rulecheck.Record{At: now, Kind: rulecheck.Started, Exchange: n.Name, Capacity: core.Capacity})
	})
}

// Console sends one command to the operators' console of a node and returns the reply.
func (n *Node) Console(format string, args ...any) ([]string, error) {
	s := n.Server()
	if s == nil {
		return nil, server.ErrStopped
	}
	c, err := textproto.Dial("tcp", s.ConsoleAddr().String())
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if _, _, err := c.ReadCodeLine(consoleGreeting); err != nil {
		return nil, err
	}
	if err := c.PrintfLine(format, args...); err != nil {
		return nil, err
	}
	code, text, err := c.ReadCodeLine(2)
	if err != nil {
		return nil, err
	}
	if code != consoleList {
		return []string{text}, nil
	}
	return c.ReadDotLines()
}

// awaitAssociations waits until every association is active and no circuit is being reset.
func (f *Fleet) awaitAssociations(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, n := range f.Nodes {
		for {
			pendingPeer := ""
			err := n.server.Do(func(r *router.Router, now time.Duration) {
				for _, a := range r.Associations() {
					if a.State != m3ua.Active {
						pendingPeer = a.Peer
					}
				}
				for _, g := range r.Groups() {
					if g.Resetting > 0 {
						pendingPeer = g.Peer
					}
				}
			})
			if err != nil {
				return err
			}
			if pendingPeer == "" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("standin: association of %s with %s is not ready in time", n.Name, pendingPeer)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// StartCallers starts the arrival of callers at all exchanges.
func (f *Fleet) StartCallers() {
	for _, n := range f.Nodes {
		n.Callers.Do(func() {
			n.Callers.SetRate(n.Rate)
			n.Callers.Start()
		})
	}
}

// StopCallers ends the arrival of callers and waits for the faults that are still being carried out. It then waits up to
// the given time until no caller is active, and reports the callers in established calls as done.
func (f *Fleet) StopCallers(within time.Duration) {
	for _, n := range f.Nodes {
		n.Callers.Do(n.Callers.Stop)
	}
	f.background.Wait()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		active := 0
		for _, n := range f.Nodes {
			n.Callers.Do(func() { active += n.Callers.ActiveCount() })
		}
		if active == 0 {
			break
		}
	}
	for _, n := range f.Nodes {
		n.Callers.Do(n.Callers.FinishEstablished)
	}
}

// addOutcome stores the outcome of a caller.
func (f *Fleet) addOutcome(outcome simenv.Outcome) {
	f.mu.Lock()
	f.outcomes = append(f.outcomes, outcome)
	f.mu.Unlock()
}

// Results returns the outcomes of all callers that are done.
func (f *Fleet) Results() []simenv.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]simenv.Outcome(nil), f.outcomes...)
}

// Report sums up the run.
func (f *Fleet) Report() simenv.Report {
	r := simenv.NewReport(f.Settings.Classes, f.Results(), f.Verdict())
	for _, n := range f.Nodes {
		if n.Processor.Collapsed() {
			r.Collapsed = append(r.Collapsed, n.Name)
		}
	}
	return r
}

// Verdict checks the five rules on all records so far.
func (f *Fleet) Verdict() rulecheck.Verdict {
	return rulecheck.Check(f.Parameters, f.Recorder.Records(), f.Now())
}

// Close stops the fleet with all its call servers and connections.
func (f *Fleet) Close() {
	f.Discovery.close()
	for _, n := range f.Nodes {
		n.Callers.Close()
		n.Lines.Close()
	}
	var stopping sync.WaitGroup
	for _, n := range f.Nodes {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			if s := n.markDown(); s != nil {
				s.Kill()
			}
		}()
	}
	stopping.Wait()
	for _, link := range f.links {
		link.Close()
	}
	for _, link := range f.accessLinks {
		link.Close()
	}
	for _, n := range f.Nodes {
		n.Processor.Close()
	}
}
