// Package rulecheck checks the five rules from outside the call servers, on the traffic of their sockets; it uses nothing
// that a call server reports about itself. Check reads the records of taps: the messages that each call server received and
// sent, the states of exchanges that service discovery announced to it, and the starts of processors. Simulated runs produce
// the same records. PlatformChecker checks the rules while call servers run on the platform, the hosting environment that
// package platform provides stand-ins for.
//
// Each exchange has one call server, which routes its calls, and one processor, through which all messages to the exchange pass.
// The processor is cold after a start; rule 4 protects it.
package rulecheck

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind is the kind of a Record.
type Kind byte

// Kinds of records.
const (
	Message        Kind = iota // Data passed on the connection between Exchange and Peer; Exchange sent it if Out is set
	Announced                  // service discovery announced to Exchange that Peer is in State
	Started                    // the processor of Exchange started cold; Capacity is what it handles per second after slow start
	Killed                     // the call server of Exchange ended without draining
	ConnectionLost             // the connection between Exchange and Peer was lost
	QueryReceived              // the ENUM client Peer sent a query to Exchange; Data is a DNS message
	QueryAnswered              // Exchange sent the response in Data to the ENUM client Peer
)

// State is the state of an exchange as announced by service discovery.
type State byte

// States of an exchange.
const (
	Ready State = iota
	Draining
	Gone
)

// Record is one event seen by a tap. Kind determines which fields are set.
type Record struct {
	At       time.Duration
	Kind     Kind
	Exchange string
	Peer     string
	Out      bool
	Data     []byte // a complete M3UA message; for QueryReceived and QueryAnswered, a DNS message
	State    State
	Cold     bool    // for Announced: the exchange was announced as just started
	Capacity float64 // for Started: in set-ups per second
}

// Parameters holds the parameters of the rules and facts about the fleet. The settings named are those of the call servers. TapSkew
// is needed because sockets are observed independently of each other.
type Parameters struct {
	Patience       map[byte]time.Duration // by calling party's category
	PointCodes     map[string]uint32
	Clients        map[string]bool // peers that are clients; not used
	Grace          time.Duration   // rule 3: time after an announcement in which set-ups may still be sent
	Release        time.Duration   // rule 5: release time, in which no new attempt may start
	OverloadWindow time.Duration   // rule 4: window in which set-ups are counted; setting TipAfter
	Overload       float64         // rule 4: multiple of its present capacity above which a cold exchange is overloaded; setting Overload
	InitialShare   float64         // rule 4: share of its capacity that an exchange has when it starts; setting ColdFrom
	SlowStart      time.Duration   // rule 4: time from its start to its full capacity; setting ColdFor
	Slack          time.Duration   // rule 1: tolerated lateness of an answer at the tap
	QueryTimeout   time.Duration   // rule 1: time limit for the response to a query
	TapSkew        time.Duration   // tolerated error of the time between events on two connections
}

// Violation is one violation of a rule.
type Violation struct {
	Rule     int
	At       time.Duration
	Exchange string
	Call     string // calling number, or the domain name of an ENUM query; "-" if no call is concerned
	Text     string
}

// String formats a violation as one line. It prints the bytes of Call in hexadecimal, since calling numbers are binary. So "-" is
// printed as 2d, and the domain name of an ENUM query in hexadecimal, too.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %v: %s: call %x: %s", v.Rule, v.At.Round(time.Millisecond), v.Exchange, v.Call, v.Text)
}

// Verdict is the checker's report on a run: the violations and counts of what was checked.
type Verdict struct {
	Violations   []Violation
	Calls        int // calls taken; a call over a tandem counts at each call server
	Answers      int // final answers
	Attempts     int
	DualSeizures int // counted at each call server that takes part
	Undecoded    int // messages that could not be decoded
	ColdStarts   int // starts of processors, which are all cold
	Queries      int // ENUM queries, without retransmissions
	Leases       int // queries that were answered with a routing number
}

// Recorder collects records of concurrent taps. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	records []Record
}

// Add appends a record. Its Data is not copied and must not be changed afterwards.
func (r *Recorder) Add(record Record) {
	r.mu.Lock()
	r.records = append(r.records, record)
	r.mu.Unlock()
}

// Records returns a copy of the records, sorted by time.
func (r *Recorder) Records() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.records)
	slices.SortStableFunc(out, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Check checks the rules on records that are sorted by time. The run ended at end: calls whose patience and queries whose time
// limit reach beyond it need no answer.
func Check(parameters Parameters, records []Record, end time.Duration) Verdict {
	c := &checker{parameters: parameters, servers: map[string]*callServer{}, coldStarts: map[string]*coldStart{},
		queries: queryTable{}, leases: map[string]*query{}, killedAt: map[string]time.Duration{}}
	for _, r := range records {
		c.apply(r)
	}
	c.finish(end)
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.verdict
}

// checker replays records and collects violations.
type checker struct {
	parameters Parameters
	verdict    Verdict
	servers    map[string]*callServer   // by exchange
	coldStarts map[string]*coldStart    // by exchange
	queries    queryTable               // by exchange, ENUM client and message ID
	leases     map[string]*query        // by exchange and routing number: the last query that was answered with this number
	killedAt   map[string]time.Duration // by exchange: time of its last kill
}

// callServer is the state of one call server as seen at its taps.
type callServer struct {
	name           string
	trunkGroups    map[string]*trunkGroup   // by peer
	calls          map[string]*callState    // by calling number
	exchangeStates map[string]exchangeState // by exchange, as announced to this call server
}

// exchangeState is what service discovery has announced of an exchange.
type exchangeState struct {
	state        State
	since        time.Duration
	startKnownAt time.Duration // when the last start was announced
}

// trunkGroup is the state of the circuits between a call server and a peer, as seen at the tap of the call server.
type trunkGroup struct {
	incoming, outgoing map[uint16]*callLeg // by signalled circuit
	releasing          map[uint16][]uint16 // circuits with a REL sent and no RLC received, by signalled circuit
	endedCallCircuits  map[uint16][]uint16 // circuits of the latest call that a reset or hardware block ended, by its first circuit
	inactive           bool                // the connection was lost, and no ASPAC ACK has passed since
	awaitingResetAck   map[uint16]bool     // circuits with an RSC or GRS sent and no acknowledgement received
}

// callLeg is the incoming or outgoing leg of a call on a trunk group.
type callLeg struct {
	call       *callState
	peer       string
	cics       []uint16
	outgoing   bool
	progressed bool // a message in the backward direction has passed
	answered   bool
	mayRepeat  bool // the connection was lost, so the answer may have been lost with it and is repeated once
}

// callState is the state of one call at one call server.
type callState struct {
	number              string // calling number; for an ENUM query, the domain name asked for
	takenAt             time.Duration
	patience            time.Duration
	incoming            *callLeg
	outstanding         *callLeg // the outstanding attempt
	answers             int
	answeredAt          time.Duration
	releaseTimeEnd      time.Duration // rule 5: while awaitingReleaseTime, no attempt may start before
	awaitingReleaseTime bool
	noAnswerRequired    bool // no final answer is required: its incoming leg or connection was lost, or its patience is not known
	hungUp              bool
	ended               bool // the incoming leg has been released or reset
}

// violation adds a violation. call is nil if no call is concerned.
func (c *checker) violation(rule int, at time.Duration, server *callServer, call *callState, format string, args ...any) {
	number := "-"
	if call != nil {
		number = call.number
	}
	c.verdict.Violations = append(c.verdict.Violations, Violation{rule, at, server.name, number, fmt.Sprintf(format, args...)})
}

// callServer returns the state of a call server and creates it when first named.
func (c *checker) callServer(name string) *callServer {
	server := c.servers[name]
	if server == nil {
		server = &callServer{name: name, trunkGroups: map[string]*trunkGroup{}, calls: map[string]*callState{},
			exchangeStates: map[string]exchangeState{}}
		c.servers[name] = server
	}
	return server
}

// trunkGroup returns the trunk group toward a peer and creates it when first named.
func (s *callServer) trunkGroup(peer string) *trunkGroup {
	group := s.trunkGroups[peer]
	if group == nil {
		group = &trunkGroup{incoming: map[uint16]*callLeg{}, outgoing: map[uint16]*callLeg{}, releasing: map[uint16][]uint16{},
			awaitingResetAck: map[uint16]bool{}, endedCallCircuits: map[uint16][]uint16{}}
		s.trunkGroups[peer] = group
	}
	return group
}

// apply updates the state with one record and checks the rules on it.
func (c *checker) apply(record Record) {
	server := c.callServer(record.Exchange)
	switch record.Kind {
	case Message:
		c.handleMessage(server, record)
	case Announced:
		state := server.exchangeStates[record.Peer]
		if record.State != state.state {
			state.state, state.since = record.State, record.At
		}
		if record.Cold {
			state.startKnownAt = record.At
		}
		server.exchangeStates[record.Peer] = state
	case Started:
		c.verdict.ColdStarts++
		c.coldStarts[record.Exchange] = &coldStart{startedAt: record.At, capacity: record.Capacity}
	case Killed:
		// Callers retry what was pending at the killed call server.
		c.queries.removeExchange(record.Exchange)
		c.killedAt[record.Exchange] = record.At
		server.trunkGroups, server.calls, server.exchangeStates = map[string]*trunkGroup{}, map[string]*callState{}, map[string]exchangeState{}
	case ConnectionLost:
		c.connectionLost(server, record)
	case QueryReceived, QueryAnswered:
		c.checkQuery(server, record)
	}
}

// connectionLost ends the outstanding attempts on a connection, as a reset does. Incoming calls stay open, but a final answer is
// no longer required: it may be lost with the connection.
func (c *checker) connectionLost(server *callServer, record Record) {
	group := server.trunkGroup(record.Peer)
	group.inactive = true
	for _, leg := range group.outgoing {
		if !leg.answered {
			c.endAttempt(leg, record.At, true)
		}
	}
	for _, leg := range group.incoming {
		leg.call.noAnswerRequired, leg.mayRepeat = true, true
	}
}

// endAttempt ends an outstanding attempt. With startsReleaseTime no new attempt may start until the release time is over (rule 5).
func (c *checker) endAttempt(leg *callLeg, at time.Duration, startsReleaseTime bool) {
	if leg.call.outstanding == leg {
		leg.call.outstanding = nil
		if startsReleaseTime {
			leg.call.releaseTimeEnd, leg.call.awaitingReleaseTime = at+c.parameters.Release, true
		}
	}
}

// finish reports calls and queries that were never answered.
func (c *checker) finish(end time.Duration) {
	names := make([]string, 0, len(c.servers))
	for n := range c.servers {
		names = append(names, n)
	}
	slices.Sort(names)
	c.finishQueries(end)
	for _, n := range names {
		server := c.servers[n]
		for _, call := range server.calls {
			if call.answers == 0 && !call.hungUp && !call.noAnswerRequired && end > call.takenAt+call.patience+c.parameters.Slack {
				c.violation(1, call.takenAt+call.patience, server, call, "no final answer within %v", call.patience)
			}
		}
	}
}
