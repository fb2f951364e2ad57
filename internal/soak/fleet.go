package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"finchlatch/internal/platform"
	"finchlatch/internal/rulecheck"
	"finchlatch/office"
)

// fleet holds the call servers, offices and callers of one Scenario.
type fleet struct {
	scenario  *Scenario
	binary    string
	dir       string
	env       *platform.Environment
	discovery *discovery
	nodes     []*node
	stop      chan struct{} // closed at the end of the scenario: callers send no more
	ended     chan struct{} // closed when the scenario has settled
	wg        sync.WaitGroup
	counts    *Counts

	mu             sync.Mutex                  // guards the fields below
	sites          []*officeSite               // by exchange
	siteByOffice   map[string]*officeSite      // by the ID of each office, also of ended ones
	officeByCall   map[uint64]*platform.Office // by call ID: where the call was established
	calledExchange map[uint64]int              // by call ID
	officeCount    int                         // offices started, for their IDs
	hangingOffices int                         // offices that hang now
}

// officeSite is the place of an exchange in the network: its present office and the addresses at which the call servers reach it.
type officeSite struct {
	exchange       int
	office         *platform.Office
	proxies        []*platform.Proxy     // by call server
	taps           []*platform.OfficeTap // by call server
	corruptAnswers bool                  // guarded by fleet.mu
	faultMu        sync.Mutex            // held by a fault of the office, so that faults do not overlap
}

// node is one call server with its callers, across restarts of its process.
type node struct {
	fleet       *fleet
	number      int
	name        string
	listenAddr  string
	configPath  string
	view        *discoveryView
	callerProxy *platform.Proxy
	log         *os.File
	random      *rand.Rand // random source of its callers; guarded by mu
	mu          sync.Mutex
	process     *process
	conns       []*callerConn
	established map[uint64]bool // established calls as known to the callers
	noNewConns  bool            // its callers open no connections
	processMu   sync.Mutex      // held while a fault stops and starts the process
	discoveryMu sync.Mutex      // held by a fault of its service discovery
}

// newFleet sets up a fleet, without the processes of the call servers.
func newFleet(scenario *Scenario, binary, dir string) (*fleet, error) {
	checker := rulecheck.NewPlatformChecker(releaseWait, drainGrace, slack)
	checker.TapSkew = tapSkew
	f := &fleet{scenario: scenario, binary: binary, dir: dir, env: platform.NewEnvironment(checker), stop: make(chan struct{}), ended: make(chan struct{}),
		counts: newCounts(), siteByOffice: map[string]*officeSite{}, officeByCall: map[uint64]*platform.Office{},
		calledExchange: map[uint64]int{}}
	f.discovery = &discovery{env: f.env, position: 1}
	for i := range scenario.Nodes {
		if err := f.addNode(i); err != nil {
			return f, err
		}
	}
	for exchange := range scenario.Nodes {
		if err := f.addSite(exchange); err != nil {
			return f, err
		}
	}
	return f, nil
}

// addNode sets up a call server with the addresses for its callers and its service discovery.
func (f *fleet) addNode(number int) error {
	n := &node{fleet: f, number: number, name: fmt.Sprintf("n%d", number), established: map[uint64]bool{},
		random: rand.New(rand.NewPCG(f.scenario.Seed, uint64(number)+1))}
	f.nodes = append(f.nodes, n)
	n.listenAddr = f.env.FreeAddr()
	var err error
	n.configPath = filepath.Join(f.dir, n.name+".json")
	if n.log, err = os.Create(filepath.Join(f.dir, n.name+".log")); err != nil {
		return err
	}
	if n.callerProxy, err = f.env.NewProxy(n.listenAddr, true, f.env.NewCallerTap(n.name)); err != nil {
		return err
	}
	n.view = &discoveryView{name: n.name, officeAddr: func(office string) string { return f.address(number, office) }}
	f.discovery.views = append(f.discovery.views, n.view)
	return n.moveDiscovery()
}

// moveDiscovery starts the call server's service discovery at a new address, with the present snapshot.
func (n *node) moveDiscovery() error {
	n.fleet.discovery.mu.Lock()
	defer n.fleet.discovery.mu.Unlock()
	var err error
	if n.view.service, err = n.fleet.env.NewDiscoveryService(); err != nil {
		return err
	}
	if n.fleet.discovery.position > 1 || len(n.fleet.discovery.members) > 0 {
		n.view.service.Publish(n.fleet.discovery.newEvent(n.view, n.fleet.discovery.members, true))
	}
	n.view.proxy, err = n.fleet.env.NewProxy(n.view.service.Addr, false, nil)
	return err
}

// addSite sets up an exchange and starts its office.
func (f *fleet) addSite(exchange int) error {
	site := &officeSite{exchange: exchange}
	f.sites = append(f.sites, site)
	newOffice, addrs, err := f.newOffice(site)
	if err != nil {
		return err
	}
	site.office = newOffice
	for i, n := range f.nodes {
		tap := f.env.NewOfficeTap(n.name + "/" + newOffice.Member.ID)
		proxy, err := f.env.NewProxy(addrs[i], false, tap)
		if err != nil {
			return err
		}
		proxy.OnLoss(f.countLostReleases)
		proxy.WriteSlowly(time.Duration(f.scenario.Deployment.PieceInterval))
		site.proxies, site.taps = append(site.proxies, proxy), append(site.taps, tap)
	}
	f.discovery.members = append(f.discovery.members, newOffice.Member)
	return nil
}

// countLostReleases counts the releases among bytes that a proxy was holding back when their connection ended.
func (f *fleet) countLostReleases(outbound bool, lost []byte) {
	var framer office.Framer
	framer.Write(lost)
	for message, err := framer.Next(); message != nil && err == nil; message, err = framer.Next() {
		switch {
		case message.Type != office.Release:
		case outbound:
			f.counts.add(hardLostToOffice, 1)
		default:
			f.counts.add(hardLostToNode, 1)
		}
	}
}

// newOffice starts an office for a site, with an address for each call server.
func (f *fleet) newOffice(site *officeSite) (*platform.Office, []string, error) {
	f.mu.Lock()
	f.officeCount++
	id := fmt.Sprintf("s-%08x", f.scenario.Seed<<12&0xffffffff+uint64(f.officeCount))
	f.siteByOffice[id] = site
	f.mu.Unlock()
	started, err := f.env.NewOffice(id, site.exchange, 0, f.behavior(site))
	if err != nil {
		return nil, nil, err
	}
	started.Tapped = true
	started.HoldOf, started.Delay, started.WidthOf = f.holdOf, delayOf, f.scenario.Deployment.widthOf
	started.Circuits, started.OtherCircuits = f.scenario.Deployment.Circuits, f.scenario.Deployment.OtherCircuits
	started.PushesGroupState = f.scenario.Deployment.PushesUpdates
	started.Events = platform.OfficeEvents{
		Established: func(callID uint64, _ string) { f.callEstablished(callID, started) },
		ReleaseSent: func(callID uint64, _ string) {
			f.env.Report(func(_ time.Duration, checker *rulecheck.PlatformChecker) { checker.ReleaseWritten(callID) })
		},
		Ended: func(callID uint64, node string, releaseWritten bool) {
			f.callEnded(callID, started, node, releaseWritten)
		},
	}
	var addrs []string
	for _, n := range f.nodes {
		addr, err := started.Listen(n.name)
		if err != nil {
			return nil, nil, err
		}
		addrs = append(addrs, addr)
	}
	return started, addrs, nil
}

// callEstablished records the office at which a call is established.
func (f *fleet) callEstablished(callID uint64, office *platform.Office) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.officeByCall[callID] = office
}

// callEnded tells the checker of the end of a call. If the office wrote a release on an open connection of a link without a
// fault, the caller must be notified within NoticeAfterRelease, otherwise within NoticeAfterEnd.
func (f *fleet) callEnded(callID uint64, office *platform.Office, node string, releaseWritten bool) {
	f.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
		within := rulecheck.NoticeAfterEnd
		if releaseWritten && !checker.HasLinkFault(node+"/"+office.Member.ID, at) {
			within = rulecheck.NoticeAfterRelease
		}
		checker.CallEnded(at, node+"/"+office.Member.ID, callID, within)
	})
}

// address returns the address at which a call server reaches an office.
func (f *fleet) address(node int, office string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.siteByOffice[office].proxies[node].Addr
}

// start starts the process of a call server with an up-to-date configuration, and waits until it is ready.
func (n *node) start() error {
	if err := n.writeConfig(); err != nil {
		return err
	}
	temp, err := os.MkdirTemp(n.fleet.dir, n.name)
	if err != nil {
		return err
	}
	p, err := startProcess(n.fleet.binary, n.configPath, temp, n.log)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	n.fleet.wg.Add(1)
	go func() {
		defer n.fleet.wg.Done()
		n.watch(p)
	}()
	return n.awaitReady(p)
}

// writeConfig replaces the configuration file.
func (n *node) writeConfig() error {
	deployment := &n.fleet.scenario.Deployment
	n.fleet.discovery.mu.Lock()
	discoveryAddr := n.view.proxy.Addr
	n.fleet.discovery.mu.Unlock()
	text, err := deployment.config(n.name, n.listenAddr, discoveryAddr, n.fleet.scenario.Seed, n.number, n.fleet.scenario.Nodes,
		n.fleet.discovery.snapshot(n.view))
	if err != nil {
		return err
	}
	next := n.configPath + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.configPath)
}

// readyWithin is the time limit for a started call server to pass a health check.
const readyWithin = 10 * time.Second

// awaitReady repeats health checks until one is passed. It reports a violation when the time limit is over, and returns an error
// when the process has ended.
func (n *node) awaitReady(process *process) error {
	startedAt := n.fleet.env.Now()
	for n.fleet.env.Now()-startedAt < readyWithin {
		if n.healthCheck() {
			return nil
		}
		if !process.running() {
			return fmt.Errorf("%s: the process has ended before it was ready", n.name)
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.fleet.processFault(n.name, "not ready within %v", readyWithin)
	return nil
}

// processFault reports a violation by a process to the checker.
func (f *fleet) processFault(node, format string, args ...any) {
	f.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
		checker.ProcessFault(at, node, format, args...)
	})
}

// sampleInterval is the interval at which the resource usage of a process is read.
const sampleInterval = 250 * time.Millisecond

// minStall is the shortest time waiting to run, between two samples, that is reported to the checker.
const minStall = 5 * time.Millisecond

// watch checks the resource limits of a process until it ends, and how it ends. It reports stalls to the checker.
func (n *node) watch(process *process) {
	deployment := n.fleet.scenario.Deployment
	sample := time.NewTicker(sampleInterval)
	defer sample.Stop()
	before, lastSample := process.readSchedWaits(), n.fleet.env.Now()
	for {
		select {
		case <-process.ended:
			n.fleet.markProcessEnded(n.name)
			if !process.endRequested() {
				n.fleet.processFault(n.name, "ended by itself: %v", process.err)
			} else if code := process.cmd.ProcessState.ExitCode(); code > 0 {
				n.fleet.processFault(n.name, "ended with status %d", code)
			}
			return
		case <-sample.C:
			current, now := process.readSchedWaits(), n.fleet.env.Now()
			if stalled := current.longestSince(before); stalled >= minStall {
				n.fleet.env.Report(func(_ time.Duration, checker *rulecheck.PlatformChecker) {
					checker.AddStall(n.name, lastSample, now, stalled)
				})
			}
			before, lastSample = current, now
			memory, descriptors := process.usage()
			n.fleet.counts.recordUsage(memory, descriptors)
			if memory > deployment.MemoryMB {
				n.fleet.processFault(n.name, "%d MB of resident memory, above the limit of %d", memory, deployment.MemoryMB)
			}
			if descriptors > deployment.Descriptors {
				n.fleet.processFault(n.name, "%d descriptors, above the limit of %d", descriptors, deployment.Descriptors)
			}
		}
	}
}

// markProcessEnded tells the offices that the process of a call server has ended, and its connections with it.
func (f *fleet) markProcessEnded(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, site := range f.sites {
		site.office.CallServerEnded(node)
	}
}

// runningProcess returns the running process, or nil.
func (n *node) runningProcess() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.running() {
		return nil
	}
	return n.process
}

// reconfigure replaces the configuration file and sends SIGHUP to the running process.
func (n *node) reconfigure() {
	if err := n.writeConfig(); err != nil {
		n.fleet.processFault(n.name, "configuration: %v", err)
		return
	}
	if p := n.runningProcess(); p != nil {
		p.signal(syscall.SIGHUP)
	}
}

// Run plays a Scenario on processes of a program. Their configurations and logs are written to dir. The Report holds the
// violations; an error means that the scenario could not be played.
func Run(scenario *Scenario, binary, dir string) (*Report, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	f, err := newFleet(scenario, binary, dir)
	defer f.close()
	if err != nil {
		return nil, err
	}
	var starts sync.WaitGroup
	failed := make(chan error, len(f.nodes))
	for _, n := range f.nodes {
		starts.Add(1)
		go func() {
			defer starts.Done()
			if err := n.start(); err != nil {
				failed <- err
			}
		}()
	}
	starts.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	f.runScenario()
	return f.report(), nil
}

// close ends all processes and releases all resources.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if p := n.runningProcess(); p != nil {
			p.kill()
		}
	}
	f.env.Close()
	f.wg.Wait()
	for _, n := range f.nodes {
		if n.log != nil {
			n.log.Close()
		}
	}
}
