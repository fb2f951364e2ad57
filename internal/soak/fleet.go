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

// fleet is what one Scenario is played on.
type fleet struct {
	scenario *Scenario
	binary   string
	dir      string
	env      *platform.Environment
	list     *directory
	nodes    []*node
	stop     chan struct{} // closed at the end of the day: callers send no more
	wg       sync.WaitGroup
	counts   *Counts

	mu      sync.Mutex
	offices []*place          // by exchange
	places  map[string]*place // of every office that there was
	where   map[uint64]*platform.Office
	dest    map[uint64]int // exchange called
	ids     int
	hung    int // offices that hang now
}

// place is an exchange: the office that works for it now, and its address as each call server sees it.
type place struct {
	cell    int
	office  *platform.Office
	proxies []*platform.Proxy // by call server
	taps    []*platform.OfficeTap
	spoil   bool // its answers are spoilt
	busy    sync.Mutex
}

// node is one call server, over all its processes.
type node struct {
	f           *fleet
	number      int
	name        string
	listen      string
	config      string
	view        *view
	callers     *platform.Proxy
	log         *os.File
	random      *rand.Rand // of its callers; used under mu
	mu          sync.Mutex
	process     *process
	conns       []*conn
	standing    map[uint64]bool // calls that stand, as callers know it
	quiet       bool            // its callers open no connections
	busy        sync.Mutex      // held by what starts and stops it
	journalBusy sync.Mutex      // held by what its discovery does
}

// newFleet makes all parts, without processes.
func newFleet(s *Scenario, binary, dir string) (*fleet, error) {
	check := rulecheck.NewPlatform(releaseWait, drainGrace, slack)
	check.TapSkew = tapsApart
	f := &fleet{scenario: s, binary: binary, dir: dir, env: platform.NewEnvironment(check), stop: make(chan struct{}), counts: newCounts(),
		places: map[string]*place{}, where: map[uint64]*platform.Office{}, dest: map[uint64]int{}}
	f.list = &directory{env: f.env, pos: 1}
	for i := range s.Nodes {
		if err := f.addNode(i); err != nil {
			return f, err
		}
	}
	for cell := range s.Nodes {
		if err := f.addPlace(cell); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *fleet) addNode(i int) error {
	n := &node{f: f, number: i, name: fmt.Sprintf("n%d", i), standing: map[uint64]bool{}, random: rand.New(rand.NewPCG(f.scenario.Seed, uint64(i)+1))}
	f.nodes = append(f.nodes, n)
	n.listen = f.env.FreeAddr()
	var err error
	n.config = filepath.Join(f.dir, n.name+".json")
	if n.log, err = os.Create(filepath.Join(f.dir, n.name+".log")); err != nil {
		return err
	}
	if n.callers, err = f.env.NewProxy(n.listen, true, f.env.NewCallerTap(n.name)); err != nil {
		return err
	}
	n.view = &view{name: n.name, addr: func(office string) string { return f.address(i, office) }}
	f.list.nodes = append(f.list.nodes, n.view)
	return n.moveJournal()
}

// moveJournal starts a journal service at a new address, with all that has been told.
func (n *node) moveJournal() error {
	n.f.list.mu.Lock()
	defer n.f.list.mu.Unlock()
	var err error
	if n.view.journal, err = n.f.env.NewJournal(); err != nil {
		return err
	}
	if n.f.list.pos > 1 || len(n.f.list.members) > 0 {
		n.view.journal.Tell(n.f.list.event(n.view, n.f.list.members, true))
	}
	n.view.proxy, err = n.f.env.NewProxy(n.view.journal.Addr, false, nil)
	return err
}

// addPlace starts the office of an exchange.
func (f *fleet) addPlace(cell int) error {
	p := &place{cell: cell}
	f.offices = append(f.offices, p)
	o, addrs, err := f.newOffice(p)
	if err != nil {
		return err
	}
	p.office = o
	for i, n := range f.nodes {
		tap := f.env.NewOfficeTap(n.name + "/" + o.Member.ID)
		proxy, err := f.env.NewProxy(addrs[i], false, tap)
		if err != nil {
			return err
		}
		proxy.OnLoss(f.countLost)
		proxy.Dribble(time.Duration(f.scenario.Deployment.Dribble))
		p.proxies, p.taps = append(p.proxies, proxy), append(p.taps, tap)
	}
	f.list.members = append(f.list.members, o.Member)
	return nil
}

// countLost counts releases that were held when their connection ended.
func (f *fleet) countLost(out bool, b []byte) {
	var in office.Framer
	in.Write(b)
	for m, err := in.Next(); m != nil && err == nil; m, err = in.Next() {
		switch {
		case m.Type != office.Release:
		case out:
			f.counts.add(hardLostToPlace, 1)
		default:
			f.counts.add(hardLostToNode, 1)
		}
	}
}

// newOffice starts an office for a place, with an address for each call server.
func (f *fleet) newOffice(p *place) (*platform.Office, []string, error) {
	f.mu.Lock()
	f.ids++
	id := fmt.Sprintf("s-%08x", f.scenario.Seed<<12&0xffffffff+uint64(f.ids))
	f.places[id] = p
	f.mu.Unlock()
	o, err := f.env.NewOffice(id, p.cell, 0, f.behavior(p))
	if err != nil {
		return nil, nil, err
	}
	o.Tapped = true
	o.HoldOf, o.Delay, o.WidthOf = f.holdOf, delayOf, f.scenario.Deployment.widthOf
	o.Circuits = f.scenario.Deployment.Circuits
	o.Pushes = f.scenario.Deployment.Pushes
	o.Events = platform.OfficeEvents{
		Stood: func(call uint64, _ string) { f.stood(call, o) },
		Said: func(call uint64, _ string) {
			f.env.Judge(func(_ time.Duration, p *rulecheck.Platform) { p.ReleaseWritten(call) })
		},
		Over: func(call uint64, node string, said bool) { f.over(call, o, node, said) },
	}
	var addrs []string
	for _, n := range f.nodes {
		addr, err := o.Listen(n.name)
		if err != nil {
			return nil, nil, err
		}
		addrs = append(addrs, addr)
	}
	return o, addrs, nil
}

func (f *fleet) stood(call uint64, o *platform.Office) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.where[call] = o
}

// over tells the checker of the end of a call. Where its release went out on an open connection of a sound link it must be
// passed on at once.
func (f *fleet) over(call uint64, o *platform.Office, node string, said bool) {
	f.env.Judge(func(at time.Duration, p *rulecheck.Platform) {
		within := rulecheck.ToldAfterEnd
		if said && !p.HasLinkFault(node+"/"+o.Member.ID, at) {
			within = rulecheck.ToldAfterRelease
		}
		p.Over(at, node+"/"+o.Member.ID, call, within)
	})
}

// address is where a call server reaches an office.
func (f *fleet) address(node int, office string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.places[office].proxies[node].Addr
}

// start starts the process of a call server with a fresh configuration, and waits until it is ready.
func (n *node) start() error {
	if err := n.configure(); err != nil {
		return err
	}
	temp, err := os.MkdirTemp(n.f.dir, n.name)
	if err != nil {
		return err
	}
	p, err := startProcess(n.f.binary, n.config, temp, n.log)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	n.f.wg.Add(1)
	go func() {
		defer n.f.wg.Done()
		n.watch(p)
	}()
	return n.awaitReady(p)
}

// configure writes the configuration.
func (n *node) configure() error {
	d := &n.f.scenario.Deployment
	n.f.list.mu.Lock()
	journal := n.view.proxy.Addr
	n.f.list.mu.Unlock()
	text, err := d.config(n.name, n.listen, journal, n.f.scenario.Seed, n.number, n.f.scenario.Nodes, n.f.list.known(n.view))
	if err != nil {
		return err
	}
	next := n.config + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.config)
}

// readyWithin is how long a call server may take until it has passed a test.
const readyWithin = 10 * time.Second

// awaitReady tests until the test is passed.
func (n *node) awaitReady(p *process) error {
	began := n.f.env.Now()
	for n.f.env.Now()-began < readyWithin {
		if n.test() {
			return nil
		}
		if !p.running() {
			return fmt.Errorf("%s: the process has ended before it was ready", n.name)
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.f.fault(n.name, "not ready within %v", readyWithin)
	return nil
}

// fault tells the checker what a process did.
func (f *fleet) fault(node, format string, a ...any) {
	f.env.Judge(func(at time.Duration, p *rulecheck.Platform) { p.ProcessFault(at, node, format, a...) })
}

// sampleEvery is how often the limits of a process are looked at.
const sampleEvery = 250 * time.Millisecond

// stallNoted is how long the machine must have kept a process from running between two looks for that to count.
const stallNoted = 5 * time.Millisecond

// watch looks at the limits of a process, at how long the machine kept it from running, and at its end.
func (n *node) watch(p *process) {
	d := n.f.scenario.Deployment
	sample := time.NewTicker(sampleEvery)
	defer sample.Stop()
	before, looked := p.waits(), n.f.env.Now()
	for {
		select {
		case <-p.ended:
			n.f.disconnect(n.name)
			if !p.expected() {
				n.f.fault(n.name, "ended by itself: %v", p.err)
			} else if code := p.cmd.ProcessState.ExitCode(); code > 0 {
				n.f.fault(n.name, "ended with status %d", code)
			}
			return
		case <-sample.C:
			waits, now := p.waits(), n.f.env.Now()
			if stalled := waits.since(before); stalled >= stallNoted {
				n.f.env.Judge(func(_ time.Duration, p *rulecheck.Platform) { p.AddStall(n.name, looked, now, stalled) })
			}
			before, looked = waits, now
			memory, descriptors := p.usage()
			n.f.counts.largest(memory, descriptors)
			if memory > d.MemoryMB {
				n.f.fault(n.name, "%d MB of %d", memory, d.MemoryMB)
			}
			if descriptors > d.Sockets {
				n.f.fault(n.name, "%d descriptors of %d", descriptors, d.Sockets)
			}
		}
	}
}

// disconnect tells the offices that the connections of a process that has ended are gone.
func (f *fleet) disconnect(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.offices {
		p.office.Disconnect(node)
	}
}

// current is the process that runs, or nil.
func (n *node) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || !n.process.running() {
		return nil
	}
	return n.process
}

// hup replaces the configuration and says so.
func (n *node) hup() {
	if err := n.configure(); err != nil {
		n.f.fault(n.name, "configuration: %v", err)
		return
	}
	if p := n.current(); p != nil {
		p.signal(syscall.SIGHUP)
	}
}

// Run plays a Scenario with a program, in a directory for configurations and logs. Breaches are in the Report; an error says
// that the day could not be played.
func Run(s *Scenario, binary, dir string) (*Report, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	f, err := newFleet(s, binary, dir)
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
	f.play()
	return f.report(), nil
}

// close ends all processes and parts.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if p := n.current(); p != nil {
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
