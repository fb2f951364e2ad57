package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/server"
)

// Discovery simulates service discovery: it learns the states of exchanges, and after a delay updates every call server
// through its console.
type Discovery struct {
	fleet      *Fleet
	mu         sync.Mutex
	exchanges  map[string]exchangeState
	extraDelay time.Duration // added to the delay of each update
	rng        *rand.Rand
	pending    sync.WaitGroup
	stop       chan struct{}
	once       sync.Once
}

// exchangeState is what service discovery knows of an exchange.
type exchangeState struct {
	state     rulecheck.State
	startedAt time.Duration // on the fleet's clock; negative: long ago
}

// discoveryStream is the stream of the random numbers of service discovery, with the seed of the fleet.
const discoveryStream = 13

// newDiscovery creates service discovery in which all exchanges are ready.
func newDiscovery(f *Fleet) *Discovery {
	d := &Discovery{fleet: f, exchanges: map[string]exchangeState{},
		rng: rand.New(rand.NewPCG(f.Settings.Seed, discoveryStream)), stop: make(chan struct{})}
	for i := range f.Settings.Exchanges {
		d.exchanges[nodeName(i)] = exchangeState{startedAt: -1}
	}
	return d
}

// stateNames are the states in console commands.
var stateNames = map[rulecheck.State]string{rulecheck.Ready: "ready", rulecheck.Draining: "draining", rulecheck.Gone: "gone"}

// Announce changes the state of an exchange and updates all call servers. An unreported change takes longer, since
// discovery has to detect it.
func (d *Discovery) Announce(exchange string, state rulecheck.State, justStarted bool, unreported bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.exchanges[exchange]
	entry.state = state
	if justStarted {
		entry.startedAt = d.fleet.Now()
	}
	d.exchanges[exchange] = entry
	for _, n := range d.fleet.Nodes {
		delay := d.extraDelay + simenv.DiscoveryDelay(d.rng.Float64(), unreported)
		d.pending.Add(1)
		go func() {
			defer d.pending.Done()
			select {
			case <-time.After(delay):
				d.notify(n, exchange)
			case <-d.stop:
			}
		}()
	}
}

// notify updates one call server with the present state of an exchange.
func (d *Discovery) notify(n *Node, exchange string) {
	d.mu.Lock()
	entry := d.exchanges[exchange]
	d.mu.Unlock()
	age := ""
	if entry.startedAt >= 0 {
		age = (d.fleet.Now() - entry.startedAt).Round(time.Millisecond).String()
	}
	if _, err := n.Console("list update %s %s %s", exchange, stateNames[entry.state], age); err == nil {
		d.fleet.Recorder.Add(rulecheck.Record{At: d.fleet.Now(), Kind: rulecheck.Announced, Exchange: n.Name, Peer: exchange,
			State: entry.state, Cold: entry.startedAt >= 0})
	}
}

// SetExtraDelay sets a delay that is added to all later updates.
func (d *Discovery) SetExtraDelay(delay time.Duration) {
	d.mu.Lock()
	d.extraDelay = delay
	d.mu.Unlock()
}

// snapshotFor returns the states of all exchanges, with which a call server restarts.
func (d *Discovery) snapshotFor(exchange string) (offices []logic.Office) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.fleet.Now()
	for i, n := range d.fleet.Nodes {
		entry := d.exchanges[n.Name]
		office := logic.Office{ID: n.Name, Exchange: i + 1, State: logic.OfficeState(entry.state)}
		if entry.startedAt >= 0 {
			office.Started = max(1, server.Epoch-(now-entry.startedAt))
		}
		offices = append(offices, office)
		d.fleet.Recorder.Add(rulecheck.Record{At: now, Kind: rulecheck.Announced, Exchange: exchange, Peer: n.Name, State: entry.state,
			Cold: entry.startedAt >= 0})
	}
	return offices
}

// close drops the updates that have not been sent.
func (d *Discovery) close() {
	d.once.Do(func() { close(d.stop) })
	d.pending.Wait()
}
