// Package router is the call server as a library. A Router hosts one Controller of package logic with its calls,
// circuits, associations and timers. Events and the time go in, effects come out: it has no sockets, files,
// signals, clock or goroutines, so the same Router runs on sockets, in a model and in a user's tests. Which
// calls are admitted, where they go, how long they wait and whether they are tried again is decided by the
// Controller alone; this package carries it out in M3UA and ISUP.
package router

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"finchlatch/ingress"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/measure"
	"finchlatch/numbering"
	"finchlatch/trunk"
)

// Class is one class of call.
type Class struct {
	logic.Class
	Category byte          // calling party's category that callers state for it
	Patience time.Duration // how long a caller waits for the answer to one try
}

// Exchange is one exchange of the fleet, the own one among them.
type Exchange struct {
	Number    int    // as numbering entries name it
	Name      string // the office of package logic
	PointCode uint32
}

// PeerKind tells what is at the other end of an association.
type PeerKind byte

// Kinds of peer.
const (
	PeerExchange    PeerKind = iota // another call server, over a both-way trunk group
	PeerClient                      // counters or another switch, which only call in
	PeerSubscribers                 // the lines of the own numbers, which are only called
)

// String names the kind.
func (kind PeerKind) String() string { return [...]string{"exchange", "client", "subscribers"}[kind] }

// Peer is a signalling relation with its trunk group.
type Peer struct {
	Name      string // of an exchange: its name in Exchanges
	Kind      PeerKind
	PointCode uint32
	Circuits  []uint16
	ASPs      []m3ua.Settings // its processes, one connection each; an exchange has one
	Mode      m3ua.Mode       // how they share the traffic; 0: override
	Needed    int             // of them active before traffic begins; 0: 1
	Weight    float64         // of a client: its part of what clients share in an overload; 0: 1
}

// Asker is someone who asks by a look-up where a call may go and then sets it up as a client.
type Asker struct {
	Name   string
	Client string // peer that the set-up comes from
	Class  int    // of its calls
	Leases int    // that it may hold at a time; 0: 100
}

// Config is what a Router is made of.
type Config struct {
	Name       string // of the own exchange
	Exchanges  []Exchange
	Peers      []Peer
	Classes    []Class
	Numbering  []numbering.Entry
	Instances  int // call servers that share the exchanges; 0: one for each exchange
	Attempts   int // most attempts for one call; 0: no limit
	Tick       time.Duration
	Release    time.Duration // rule 5
	DrainGrace time.Duration // rule 3
	TipAfter   time.Duration // rule 4, as in logic.Settings
	Overload   float64
	ColdFrom   float64
	ColdFor    time.Duration
	Timers     trunk.Timers
	Recovery   time.Duration                                      // T(r): a peer without an active association keeps its calls for this long
	Askers     []Asker                                            // who may ask where a call would go, before it is set up
	Routing    string                                             // digits that routing numbers begin with; they must belong to no exchange
	Lease      time.Duration                                      // how long circuits are kept for an asker; at most a fifth of the shortest aim
	AskWithin  time.Duration                                      // an asker's question is answered within it
	NoShares   bool                                               // clients take what they can in an overload
	MaxCalls   int                                                // calls that one client may have at a time; 0: as many as it has circuits
	Held       int                                                // messages kept for such a peer at most; 0: 4 for each circuit
	Network    byte                                               // network indicator: 2 national
	Hops       int                                                // hop counter of own calls; 0: 3
	Baseline   func(s logic.Settings, seed int64) (Policy, error) // in place of the module, for comparisons only
	Meter      *measure.Meter                                     // measures the traffic; nil: nothing does. One Router alone may have it
	LogLevel   slog.Level                                         // least level of Log effects; the zero level is info
}

// DefaultRecovery is how long a lost association keeps its calls: T(r) of RFC 4666 is 2 s, and a counter client
// reconnects within one T(ack).
const DefaultRecovery = 4 * time.Second

// defaultHops lets a call pass one tandem, and one more exchange where it interworks.
const defaultHopCounter = 3

// maxRepeats is how often a set-up that lost a dual seizure is repeated on another circuit within its attempt.
// Q.764 2.9.1.4 asks for one repeat; two cover a group that is nearly full from both ends.
const maxSetupRepeats = 2

// own finds the own exchange.
func (c *Config) ownExchange() (Exchange, error) {
	for _, e := range c.Exchanges {
		if e.Name == c.Name {
			return e, nil
		}
	}
	return Exchange{}, fmt.Errorf("router: own exchange %q is not among the exchanges", c.Name)
}

// Check names the first thing that makes no sense in a Config, all of its parts taken together.
func (c *Config) Check() error {
	if _, err := c.ownExchange(); err != nil {
		return err
	}
	if len(c.Classes) == 0 {
		return errors.New("router: no classes")
	}
	names, pointCodes, numbers := map[string]bool{}, map[uint32]string{}, map[int]bool{}
	for _, e := range c.Exchanges {
		if names[e.Name] || numbers[e.Number] {
			return fmt.Errorf("router: exchange %q or its number %d stands twice", e.Name, e.Number)
		}
		if other, ok := pointCodes[e.PointCode]; ok || e.PointCode > 0x3fff {
			return fmt.Errorf("router: exchange %q: point code %d is not free (%s) or over 14 bits", e.Name, e.PointCode, other)
		}
		names[e.Name], numbers[e.Number], pointCodes[e.PointCode] = true, true, e.Name
	}
	peers := map[string]bool{}
	for _, p := range c.Peers {
		if peers[p.Name] {
			return fmt.Errorf("router: peer %q stands twice", p.Name)
		}
		peers[p.Name] = true
		if len(p.ASPs) == 0 || p.Kind == PeerExchange && len(p.ASPs) > 1 || p.Needed > len(p.ASPs) {
			return fmt.Errorf("router: peer %q has %d processes, %d are needed; an exchange has one", p.Name, len(p.ASPs), p.Needed)
		}
		if p.Kind == PeerExchange && (!names[p.Name] || pointCodes[p.PointCode] != p.Name || p.Name == c.Name) {
			return fmt.Errorf("router: peer %q with point code %d is no other exchange", p.Name, p.PointCode)
		}
		if other, ok := pointCodes[p.PointCode]; ok && p.Kind != PeerExchange {
			return fmt.Errorf("router: peer %q has the point code %d of %s", p.Name, p.PointCode, other)
		}
	}
	return c.checkRules()
}

func (c *Config) checkRules() error {
	categories := map[byte]string{}
	for _, k := range c.Classes {
		if other, ok := categories[k.Category]; ok {
			return fmt.Errorf("router: classes %s and %s have the same category %d", other, k.Name, k.Category)
		}
		categories[k.Category] = k.Name
		if k.Patience <= 0 || k.Patience > k.Deadline && k.Deadline > 0 {
			return fmt.Errorf("router: class %s: patience %v is not between 0 and its deadline %v", k.Name, k.Patience, k.Deadline)
		}
		if k.Width < 1 || k.Width > 30 {
			return fmt.Errorf("router: class %s: no transmission medium has %d circuits", k.Name, k.Width)
		}
	}
	if err := c.checkENUMClients(); err != nil {
		return err
	}
	if c.Release <= 0 || c.DrainGrace <= 0 {
		return fmt.Errorf("router: rules: release %v and drain grace %v must be positive", c.Release, c.DrainGrace)
	}
	return nil
}

// leasePart is the part of the shortest aim that a lease may last: the module takes an exchange for silent after half
// of it without a word, and for slow after a fifth.
const leaseAimDivisor = 5

func (c *Config) checkENUMClients() error {
	if len(c.Askers) == 0 {
		return nil
	}
	shortestAim := c.Classes[0].Aim
	for _, k := range c.Classes {
		shortestAim = min(shortestAim, k.Aim)
	}
	if c.Lease <= 0 || c.Lease > shortestAim/leaseAimDivisor {
		return fmt.Errorf("router: a lease of %v is not between 0 and a fifth of the shortest aim, %v", c.Lease, shortestAim/leaseAimDivisor)
	}
	if c.AskWithin <= 0 || len(c.Routing) < 2 || len(c.Routing) > 8 {
		return fmt.Errorf("router: askers need a time to answer in (%v) and a routing prefix of 2 to 8 digits (%q)", c.AskWithin, c.Routing)
	}
	for _, a := range c.Askers {
		if a.Class < 0 || a.Class >= len(c.Classes) {
			return fmt.Errorf("router: asker %q has class %d", a.Name, a.Class)
		}
		if !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == a.Client && p.Kind == PeerClient }) {
			return fmt.Errorf("router: asker %q sets its calls up as %q, which is no client", a.Name, a.Client)
		}
	}
	for _, n := range c.Numbering {
		if strings.HasPrefix(n.Prefix, c.Routing) || strings.HasPrefix(c.Routing, n.Prefix) {
			return fmt.Errorf("router: the routing prefix %s and the numbers %s of an exchange overlap", c.Routing, n.Prefix)
		}
	}
	return nil
}

// ingress are the settings of the shares of the clients, in the order of Peers.
func (c *Config) ingressSettings() ingress.Settings {
	settings := ingress.Settings{MaxCalls: c.MaxCalls}
	for _, p := range c.Peers {
		if p.Kind == PeerClient {
			settings.Alone = c.NoShares
			settings.Weights = append(settings.Weights, p.Weight)
		}
	}
	for _, k := range c.Classes {
		settings.TopWorth = max(settings.TopWorth, k.Worth)
	}
	return settings
}

// settings are the Controller's.
func (c *Config) controllerSettings(host logic.Host, ownNumber int) logic.Settings {
	settings := logic.Settings{Host: host, Instances: c.Instances, Home: ownNumber, MaxAttempts: c.Attempts, CanCancel: true,
		ReportFields: []string{"spare", "total"}, Tick: c.Tick, Release: c.Release, DrainGrace: c.DrainGrace,
		TipAfter: c.TipAfter, Overload: c.Overload, ColdFrom: c.ColdFrom, ColdFor: c.ColdFor}
	if settings.Instances == 0 {
		settings.Instances = len(c.Exchanges)
	}
	for i, e := range c.Exchanges {
		if e.Number == ownNumber {
			settings.Me = i
		}
	}
	settings.Classes = c.LogicClasses()
	return settings
}

// LogicClasses are the classes as package logic knows them.
func (c *Config) LogicClasses() (classes []logic.Class) {
	for _, k := range c.Classes {
		classes = append(classes, k.Class)
	}
	return classes
}
