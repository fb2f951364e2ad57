package soak

import (
	"sync"
	"time"

	"finchlatch/internal/platform"
)

// discoveryFault imposes a fault of service discovery on the affected call servers.
func (f *fleet) discoveryFault(fault Fault) {
	var running sync.WaitGroup
	for _, n := range f.affectedNodes(fault) {
		running.Add(1)
		go func() {
			defer running.Done()
			n.discoveryFault(fault)
		}()
	}
	running.Wait()
}

// slowResponse is how long service discovery with the fault DiscoverySlow takes to answer a request.
const slowResponse = 2500 * time.Millisecond

func (n *node) discoveryFault(fault Fault) {
	n.discoveryMu.Lock()
	defer n.discoveryMu.Unlock()
	duration := time.Duration(fault.For)
	n.fleet.discovery.addOutage(n.view, duration, false)
	proxy, service := n.view.proxy, n.view.service
	switch fault.Kind {
	case DiscoveryDown:
		proxy.Refuse()
		defer func() {
			if err := proxy.Accept(); err != nil {
				n.fleet.processFault(n.name, "service discovery address: %v", err)
			}
		}()
	case DiscoveryPartitioned:
		proxy.SetPartition(platform.Partition{Outbound: true, Inbound: true, NewConnections: true})
		defer proxy.SetPartition(platform.Partition{})
	case DiscoveryUnresponsive:
		service.Fail(platform.DiscoveryFault{NoEvents: true, NoResponse: true})
		defer service.Fail(platform.DiscoveryFault{})
	case DiscoverySlow:
		service.Fail(platform.DiscoveryFault{ResponseDelay: slowResponse})
		proxy.Reset()
		defer service.Fail(platform.DiscoveryFault{})
	case DiscoveryTruncated:
		service.Fail(platform.DiscoveryFault{TruncateEvents: true})
		defer service.Fail(platform.DiscoveryFault{})
	}
	time.Sleep(duration)
}

// reload moves service discovery to a new address and signals the new configuration by SIGHUP.
func (f *fleet) reload(fault Fault) {
	for _, n := range f.affectedNodes(fault) {
		n.reload(fault)
	}
}

// oldConnsOpen is how long service discovery at an old address keeps its open connections.
const oldConnsOpen = 1500 * time.Millisecond

func (n *node) reload(fault Fault) {
	n.discoveryMu.Lock()
	defer n.discoveryMu.Unlock()
	if fault.Kind == ReloadSeries {
		n.fleet.counts.add(hardSignals, 1)
		n.fleet.discovery.addOutage(n.view, 200*time.Millisecond, true)
		n.pointAtNoService()
		n.reconfigure()
		n.reconfigure()
	}
	old := n.view.proxy
	n.fleet.discovery.addOutage(n.view, 0, true)
	if err := n.moveDiscovery(); err != nil {
		n.fleet.processFault(n.name, "service discovery: %v", err)
		return
	}
	n.reconfigure()
	old.RefuseNew()
	n.fleet.env.After(oldConnsOpen, old.Reset)
}

// pointAtNoService changes the configured address to one at which no service discovery answers yet.
func (n *node) pointAtNoService() {
	proxy, err := n.fleet.env.NewProxy(n.fleet.env.FreeAddr(), false, nil)
	if err != nil {
		return
	}
	n.fleet.discovery.mu.Lock()
	defer n.fleet.discovery.mu.Unlock()
	n.view.proxy = proxy
}
