package soak

import (
	"slices"
	"sync"
	"time"

	"finchlatch/feed"
	"finchlatch/internal/platform"
	"finchlatch/internal/rulecheck"
)

// The times after which a call server must know of an update although its service discovery has a fault.
const (
	updateLimitAfterSilence = 4 * time.Second // after open connections fell silent, or after SIGHUP
	updateLimitAfterFailure = 6 * time.Second // after service discovery had the update and was reachable again, if requests had failed
)

// outage is a span in which the service discovery of a call server has a fault.
type outage struct {
	from, until time.Duration
	reachable   bool // new requests are answered: only open connections are silent, or the address has moved
}

// discovery is the service discovery of all call servers. Each has a service of its own, since each reaches the offices at
// different addresses.
type discovery struct {
	env      *platform.Environment
	mu       sync.Mutex
	position uint64
	members  []feed.Member // the latest entry of each office
	views    []*discoveryView
}

// discoveryView is the service discovery of one call server.
type discoveryView struct {
	name       string                     // of the call server
	officeAddr func(office string) string // address of an office for this call server
	service    *platform.DiscoveryService
	proxy      *platform.Proxy // between the call server and service
	outages    []outage
}

// snapshot returns the present snapshot, for a configuration file.
func (d *discovery) snapshot(view *discoveryView) feed.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return feed.Snapshot{Pos: d.position, Entries: []feed.Event{d.newEvent(view, d.members, true)}}
}

// newEvent returns the event that announces members to one call server. The caller holds d.mu.
func (d *discovery) newEvent(view *discoveryView, members []feed.Member, complete bool) feed.Event {
	event := feed.Event{Pos: d.position, Hosts: feed.Hosts{Revision: int64(d.position), Complete: complete}}
	for _, member := range members {
		member.Addr = view.officeAddr(member.ID)
		event.Hosts.Members = append(event.Hosts.Members, member)
	}
	return event
}

// announce announces an update to all call servers, and tells the checker from when on they must know it.
func (d *discovery) announce(members ...feed.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.position++
	for _, member := range members {
		d.members = slices.DeleteFunc(d.members, func(other feed.Member) bool { return other.ID == member.ID })
		if member.Phase != feed.Deleted {
			d.members = append(d.members, member)
		}
	}
	now := d.env.Now()
	for _, view := range d.views {
		view.service.Publish(d.newEvent(view, members, false))
		for _, member := range members {
			if member.Phase != feed.Serving {
				d.env.Report(func(_ time.Duration, checker *rulecheck.PlatformChecker) {
					checker.OfficeAnnounced(view.updateDeadline(now), view.name+"/"+member.ID)
				})
			}
		}
	}
}

// addOutage records a fault of one call server's service discovery that begins now.
func (d *discovery) addOutage(view *discoveryView, duration time.Duration, reachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.env.Now()
	view.outages = append(view.outages, outage{from: now, until: now + duration, reachable: reachable})
}

// updateDeadline returns the time from which the call server must know an update that service discovery has at the given time.
func (v *discoveryView) updateDeadline(now time.Duration) time.Duration {
	deadline := now
	for _, outage := range v.outages {
		switch {
		case outage.reachable && now < outage.from+updateLimitAfterSilence:
			deadline = max(deadline, outage.from+updateLimitAfterSilence)
		case !outage.reachable && now < outage.until+updateLimitAfterFailure:
			deadline = max(deadline, max(now, outage.until)+updateLimitAfterFailure)
		}
	}
	return deadline
}

// unavailable reports whether the service discovery of a call server has a fault now.
func (d *discovery) unavailable(view *discoveryView) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.env.Now()
	return slices.ContainsFunc(view.outages, func(outage outage) bool { return outage.from <= now && now < outage.until })
}
