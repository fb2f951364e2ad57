package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"finchlatch/feed"
	"finchlatch/internal/platform"
	"finchlatch/internal/rulecheck"
	"finchlatch/liveness"
)

// setPartition imposes a network partition on the links between call servers and the office.
func (s *officeSite) setPartition(nodes []*node, partition platform.Partition) {
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Add(1)
		go func() {
			defer running.Done()
			s.proxies[n.number].SetPartition(partition)
		}()
	}
	running.Wait()
}

// linkFaultAction returns the action for a fault of links that heals by itself while the office continues.
func linkFaultAction(partition platform.Partition) func(*fleet, Fault) {
	return func(f *fleet, fault Fault) {
		site := f.sites[fault.Exchange]
		site.faultMu.Lock()
		defer site.faultMu.Unlock()
		nodes, duration := f.affectedNodes(fault), time.Duration(fault.For)
		f.addLinkFault(nodes, site.office, duration)
		f.countEstablished(site, false)
		site.setPartition(nodes, partition)
		time.Sleep(duration)
		site.setPartition(nodes, platform.Partition{})
		if partition.Inbound && partition.Outbound && duration > rulecheck.NoticeAfterEnd-time.Second {
			f.counts.add(map[bool]string{true: hardHealsBefore, false: hardHealsAfter}[duration < liveness.FailAfter], 1)
		}
	}
}

// countEstablished counts the hard cases of established calls at an office that becomes unreachable while service discovery does
// not announce it.
func (f *fleet) countEstablished(site *officeSite, unannounced bool) {
	for _, n := range f.nodes {
		n.mu.Lock()
		callIDs, conns := make([]uint64, 0, len(n.established)), len(n.conns)
		for callID := range n.established {
			callIDs = append(callIDs, callID)
		}
		n.mu.Unlock()
		if !unannounced && !f.discovery.unavailable(n.view) {
			continue
		}
		f.mu.Lock()
		for _, callID := range callIDs {
			if f.officeByCall[callID] != site.office {
				continue
			}
			f.counts.add(hardUnannounced, 1)
			if conns == 0 {
				f.counts.add(hardNoCallerConn, 1)
			}
			if f.calledExchange[callID] != site.exchange {
				f.counts.add(hardTandemLost, 1)
			}
		}
		f.mu.Unlock()
	}
}

// loseMachine ends an office and silences its links, as when its machine is lost: no connection is closed or reset.
func (f *fleet) loseMachine(fault Fault) {
	site := f.sites[fault.Exchange]
	site.faultMu.Lock()
	defer site.faultMu.Unlock()
	f.countEstablished(site, fault.AnnouncedLate)
	f.addLinkFault(f.nodes, site.office, noEnd)
	site.setPartition(f.nodes, platform.Partition{Outbound: true, Inbound: true, NewConnections: true})
	site.office.Crash(false)
	f.announceEnd(site, fault)
}

// announceEnd has service discovery announce the end of an office, waits for the end of the fault, and starts a successor at its
// address if the fault says so.
func (f *fleet) announceEnd(site *officeSite, fault Fault) {
	old := site.office.Member
	old.Phase = feed.Deleted
	announceAfter := time.Duration(fault.For)
	if !fault.AnnouncedLate {
		announceAfter = min(announceAfter, 2*time.Second)
	}
	time.Sleep(announceAfter)
	f.discovery.announce(old)
	time.Sleep(time.Duration(fault.For) - announceAfter)
	if fault.HasSuccessor {
		f.startSuccessor(site)
	}
}

// startSuccessor starts a new office at the addresses of the old one, and has service discovery announce it.
func (f *fleet) startSuccessor(site *officeSite) {
	if f.replaceOffice(site) {
		site.office.Member.UpSince = time.Now().UnixMilli()
		f.discovery.announce(site.office.Member)
	}
}

// replaceOffice has a new office take the addresses of the old one, and reports whether it did.
func (f *fleet) replaceOffice(site *officeSite) bool {
	successor, addrs, err := f.newOffice(site)
	if err != nil {
		f.processFault("offices", "no successor started: %v", err)
		return false
	}
	f.mu.Lock()
	site.office = successor
	f.mu.Unlock()
	for i, n := range f.nodes {
		site.proxies[i].SetTarget(addrs[i])
		site.taps[i].Replace(n.name + "/" + successor.Member.ID)
		site.proxies[i].Reset() // the new machine does not know the old connections
		site.proxies[i].SetPartition(platform.Partition{})
		if err := site.proxies[i].Accept(); err != nil {
			f.processFault("offices", "successor's address: %v", err)
		}
	}
	return true
}

// replaceEarlyStart starts a successor, which some time later takes the address of the office whose process ends. Service discovery
// announces both in one event, at the end of the fault.
func (f *fleet) replaceEarlyStart(fault Fault) {
	site := f.sites[fault.Exchange]
	site.faultMu.Lock()
	defer site.faultMu.Unlock()
	startedAt := time.Now()
	time.Sleep(time.Duration(fault.EarlyStart))
	old := site.office
	f.addLinkFault(f.nodes, old, noEnd)
	f.counts.add(hardReplaced, old.EstablishedCount())
	old.Crash(true)
	if !f.replaceOffice(site) {
		return
	}
	time.Sleep(time.Duration(fault.For))
	gone := old.Member
	gone.Phase = feed.Deleted
	site.office.Member.UpSince = startedAt.UnixMilli()
	f.discovery.announce(gone, site.office.Member)
}

// hang stops an office from responding while it still accepts connections. Later it continues, or its process ends.
func (f *fleet) hang(fault Fault) {
	site := f.sites[fault.Exchange]
	site.faultMu.Lock()
	defer site.faultMu.Unlock()
	site.office.Hang(true)
	f.addHanging(1)
	time.Sleep(time.Duration(fault.For))
	f.addHanging(-1)
	if fault.Kind == Hang {
		site.office.Hang(false)
		return
	}
	f.endProcess(site, fault)
}

// addHanging changes the number of offices that hang now.
func (f *fleet) addHanging(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hangingOffices += delta
}

// crash ends the process of an office: its connections are reset and its calls are dropped.
func (f *fleet) crash(fault Fault) {
	site := f.sites[fault.Exchange]
	site.faultMu.Lock()
	defer site.faultMu.Unlock()
	f.endProcess(site, fault)
}

// endProcess ends the process of an office. For CrashAndReplace a successor takes its address at once.
func (f *fleet) endProcess(site *officeSite, fault Fault) {
	f.addLinkFault(f.nodes, site.office, noEnd)
	if fault.Kind == CrashAndReplace {
		f.counts.add(hardReplaced, site.office.EstablishedCount())
		old := site.office
		old.Crash(true)
		gone := old.Member
		gone.Phase = feed.Deleted
		f.startSuccessor(site)
		time.Sleep(time.Duration(fault.For))
		f.discovery.announce(gone)
		return
	}
	for _, proxy := range site.proxies {
		proxy.Refuse()
	}
	site.office.Crash(true)
	f.announceEnd(site, fault)
}

// replace drains an office, announced by service discovery, ends it, and has a successor take its address.
func (f *fleet) replace(fault Fault) {
	site := f.sites[fault.Exchange]
	site.faultMu.Lock()
	defer site.faultMu.Unlock()
	draining := site.office.Member
	draining.Phase = feed.Draining
	f.discovery.announce(draining)
	time.Sleep(time.Duration(fault.For))
	f.endProcess(site, Fault{Kind: Crash, For: Duration(time.Second), HasSuccessor: true})
}

// corruptAnswers corrupts answers of an office for some time.
func (f *fleet) corruptAnswers(fault Fault) {
	site := f.sites[fault.Exchange]
	f.setCorruptAnswers(site, true)
	time.Sleep(time.Duration(fault.For))
	f.setCorruptAnswers(site, false)
}

// setCorruptAnswers starts or ends the corruption of an office's answers.
func (f *fleet) setCorruptAnswers(site *officeSite, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	site.corruptAnswers = on
}

// behavior returns how the offices of a site handle a set-up. It depends on the call ID and the attempt alone, so that it is the
// same in each run, and on whether answers are being corrupted.
func (f *fleet) behavior(site *officeSite) func(callID uint64, attempt int) platform.Behavior {
	return func(callID uint64, attempt int) platform.Behavior {
		f.mu.Lock()
		corrupt := site.corruptAnswers
		f.mu.Unlock()
		hash := callID ^ uint64(attempt)*0x9e3779b97f4a7c15
		switch {
		case corrupt && hash%2 == 0:
			// BehaviorCount, the value before LoseAnswer, may be drawn, too: the office does not reply.
			return platform.Behavior(hash >> 8 % uint64(platform.LoseAnswer+1))
		case hash%64 == 1:
			return platform.Busy
		case hash%64 == 3:
			return platform.NoCircuit
		}
		return platform.AnswerCall
	}
}

// holdOf returns the holding time of a call.
func (f *fleet) holdOf(callID uint64) time.Duration {
	r := rand.New(rand.NewPCG(callID, 1))
	return 50*time.Millisecond + time.Duration(r.ExpFloat64()*float64(f.scenario.Deployment.Hold))
}

// delayOf returns how long an office takes to handle the set-up of a call.
func delayOf(callID uint64) time.Duration {
	return time.Duration(1+rand.New(rand.NewPCG(callID, 2)).IntN(30)) * time.Millisecond
}

// resets resets connections to an office at random intervals.
func (f *fleet) resets(fault Fault) {
	site := f.sites[fault.Exchange]
	f.repeat(fault, 700*time.Millisecond, func() {
		for _, n := range f.affectedNodes(fault) {
			site.proxies[n.number].ResetNewest()
		}
	})
}

// lateConns blocks new connections to an office for half a second at random intervals. The kernel retransmits a SYN that was
// dropped meanwhile after 1 s, so that such a connection is established late.
func (f *fleet) lateConns(fault Fault) {
	site := f.sites[fault.Exchange]
	site.faultMu.Lock()
	defer site.faultMu.Unlock()
	f.repeat(fault, 400*time.Millisecond, func() {
		site.setPartition(f.affectedNodes(fault), platform.Partition{NewConnections: true})
		time.Sleep(500 * time.Millisecond)
		site.setPartition(f.affectedNodes(fault), platform.Partition{})
	})
}

// earlyClose closes connections to an office as soon as they are established.
func (f *fleet) earlyClose(fault Fault) {
	site := f.sites[fault.Exchange]
	for _, n := range f.affectedNodes(fault) {
		site.proxies[n.number].CloseOnArrival(true)
	}
	time.Sleep(time.Duration(fault.For))
	for _, n := range f.affectedNodes(fault) {
		site.proxies[n.number].CloseOnArrival(false)
	}
}
