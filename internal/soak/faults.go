package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"finchlatch/internal/platform"
	"finchlatch/internal/rulecheck"
)

// faultActions impose the faults, by kind. Each returns once its fault is over.
var faultActions map[Kind]func(f *fleet, fault Fault)

func init() { // not an initializer, so that functions in the table may use it without an initialization cycle
	faultActions = map[Kind]func(f *fleet, fault Fault){
		MachineLost:           (*fleet).loseMachine,
		Partition:             linkFaultAction(platform.Partition{Outbound: true, Inbound: true, NewConnections: true}),
		OneWayOut:             linkFaultAction(platform.Partition{Outbound: true, NewConnections: true}),
		OneWayIn:              linkFaultAction(platform.Partition{Inbound: true, NewConnections: true}),
		Hang:                  (*fleet).hang,
		HangThenCrash:         (*fleet).hang,
		Crash:                 (*fleet).crash,
		CrashAndReplace:       (*fleet).crash,
		Replace:               (*fleet).replace,
		ReplaceEarlyStart:     (*fleet).replaceEarlyStart,
		CorruptAnswers:        (*fleet).corruptAnswers,
		Resets:                (*fleet).resets,
		LateConnections:       (*fleet).lateConns,
		EarlyClose:            (*fleet).earlyClose,
		DiscoveryDown:         (*fleet).discoveryFault,
		DiscoveryPartitioned:  (*fleet).discoveryFault,
		DiscoveryUnresponsive: (*fleet).discoveryFault,
		DiscoverySlow:         (*fleet).discoveryFault,
		DiscoveryTruncated:    (*fleet).discoveryFault,
		Reload:                (*fleet).reload,
		ReloadSeries:          (*fleet).reload,
		Restart:               (*fleet).restart,
		RestartWithReload:     (*fleet).restart,
		Kill:                  (*fleet).killNode,
		ConnectionFlood:       (*fleet).connectionFlood,
		UnknownClients:        (*fleet).unknownClients,
		FullSpeedClient:       (*fleet).fullSpeedClient,
		SlowCrowd:             (*fleet).slowCrowd,
		CallersDisconnected:   (*fleet).closeCallerConns,
	}
}

// settleTime is how long a scenario continues after its last fault and call, until all notices of ends of calls are due.
const settleTime = rulecheck.NoticeAfterEnd + 2*time.Second

// noEnd stands for a time or duration without an end: it is longer than a scenario lasts.
const noEnd = time.Hour

// runScenario offers calls and imposes the faults, each at its time, and then waits for the settle time.
func (f *fleet) runScenario() {
	startedAt := time.Now()
	f.wg.Add(1)
	go f.watchPauses()
	for _, n := range f.nodes {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			n.offerCalls()
		}()
	}
	var running sync.WaitGroup
	for _, fault := range f.scenario.Faults {
		running.Add(1)
		go func() {
			defer running.Done()
			time.Sleep(time.Until(startedAt.Add(time.Duration(fault.At))))
			f.counts.add("fault: "+string(fault.Kind), 1)
			faultActions[fault.Kind](f, fault)
		}()
	}
	time.Sleep(time.Until(startedAt.Add(time.Duration(f.scenario.Length))))
	running.Wait()
	close(f.stop)
	time.Sleep(settleTime)
	close(f.ended)
}

// affectedNodes returns the call servers that a fault affects.
func (f *fleet) affectedNodes(fault Fault) []*node {
	if fault.Node < 0 {
		return f.nodes
	}
	return f.nodes[fault.Node : fault.Node+1]
}

// addLinkFault tells the checker that the links between call servers and an office have a fault for some time.
func (f *fleet) addLinkFault(nodes []*node, office *platform.Office, duration time.Duration) {
	f.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
		for _, n := range nodes {
			checker.AddLinkFault(n.name+"/"+office.Member.ID, at, at+duration)
		}
	})
}

// repeat calls action at random intervals until the fault is over.
func (f *fleet) repeat(fault Fault, meanInterval time.Duration, action func()) {
	r := rand.New(rand.NewPCG(f.scenario.Seed, uint64(fault.At)))
	for end := time.Now().Add(time.Duration(fault.For)); time.Now().Before(end); {
		time.Sleep(min(time.Until(end), time.Duration(r.ExpFloat64()*float64(meanInterval))))
		action()
	}
}
