// Package soak plays scenarios with many faults on fleets of real call-server processes over loopback. A Scenario is drawn from
// a seed; it can be written to a file, played again and shrunk. Package rulecheck gives the verdict from the traffic on the
// sockets and from the resource usage and ends of the processes; the logs of the call servers are not used. Package platform
// provides stand-ins for the platform that the processes run on.
package soak

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text.
type Duration time.Duration

// MarshalText encodes a Duration in the format of time.Duration.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText decodes a Duration in the format of time.Duration.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	*s = Duration(d)
	return err
}

// Scenario is a fleet, the behaviour of its callers and a fault schedule.
type Scenario struct {
	Seed       uint64     `json:"seed"`
	Nodes      int        `json:"nodes"`  // number of call servers, and of exchanges
	Length     Duration   `json:"length"` // how long calls are offered
	Rate       float64    `json:"rate"`   // calls per second at each call server
	Deployment Deployment `json:"deployment"`
	Callers    Callers    `json:"callers"`
	Faults     []Fault    `json:"faults"`
}

// Deployment holds the settings and limits of the call servers and the offices of a Scenario.
type Deployment struct {
	Classes       []Class  `json:"classes"`
	Attempts      int      `json:"attempts"` // maximum number of attempts of a call
	Cancels       bool     `json:"cancels"`
	Probes        bool     `json:"probes"`
	Hold          Duration `json:"hold"`             // mean holding time of calls
	Descriptors   int      `json:"sockets"`          // limit on file descriptors of a call server
	MemoryMB      int      `json:"memory_mb"`        // limit on resident memory of a call server
	PushesUpdates bool     `json:"pushes"`           // offices report each change of a trunk group
	Circuits      int      `json:"circuits"`         // of each trunk group; 0: more than are ever used
	OtherCircuits int      `json:"others,omitempty"` // of each trunk group, in use by calls of other call servers
	PieceInterval Duration `json:"dribble"`          // offices write in pieces, with this pause between them; 0: not in pieces
}

// Class is a class of calls.
type Class struct {
	Name     string   `json:"name"`
	Worth    float64  `json:"worth"`
	Aim      Duration `json:"aim"`
	Deadline Duration `json:"deadline"`
	Width    int      `json:"width"`
}

// Callers is the behaviour of callers. Shares are of all set-ups where no other total is named.
type Callers struct {
	Connections     int     `json:"conns"`      // maximum number of connections from callers to each call server
	CancelShare     float64 `json:"gives_up"`   // cancelled before the answer
	DisconnectShare float64 `json:"leaves"`     // the connection is closed, half-closed or reset before the answer
	InPiecesShare   float64 `json:"pieces"`     // written in pieces
	SlowShare       float64 `json:"slow"`       // written by slow writers, over some seconds
	RetryShare      float64 `json:"repeats"`    // of refused set-ups: retried at once
	HangUpShare     float64 `json:"hangs_up"`   // of established calls: ended by their callers
	AnswersByes     bool    `json:"hears_byes"` // a BYE of the call server gets a response
}

// Kind is a kind of fault.
type Kind string

// The kinds of fault.
const (
	MachineLost           Kind = "vanish"        // an office's machine is lost: no bytes pass, no connection is established, its calls end
	Partition             Kind = "partition"     // no bytes pass between call servers and an office that continues
	OneWayOut             Kind = "one way out"   // only bytes from the call server are lost
	OneWayIn              Kind = "one way in"    // only bytes from the office are lost
	Hang                  Kind = "hang"          // an office accepts connections and does not respond, and continues later
	HangThenCrash         Kind = "hang then die" // the same, and then its process ends
	Crash                 Kind = "die"           // an office's process ends: connections are reset and refused
	CrashAndReplace       Kind = "replace hard"  // an office's process ends, and a successor takes its address at once
	Replace               Kind = "replace"       // an office drains, announced by service discovery, and is then replaced
	ReplaceEarlyStart     Kind = "replace early" // the same at once, and the successor had started some time before it took the address
	CorruptAnswers        Kind = "spoil"         // answers are malformed, truncated, duplicated or lost
	Resets                Kind = "resets"        // connections to an office are reset at random intervals
	LateConnections       Kind = "late conns"    // connections to an office are established late
	EarlyClose            Kind = "early close"   // connections to an office are closed as soon as they are established
	DiscoveryDown         Kind = "journal down"  // service discovery refuses connections
	DiscoveryPartitioned  Kind = "journal cut"   // service discovery is behind a partition
	DiscoveryUnresponsive Kind = "journal mute"  // service discovery accepts connections and does not respond
	DiscoverySlow         Kind = "journal slow"  // service discovery responds late
	DiscoveryTruncated    Kind = "journal half"  // service discovery ends each connection in the middle of an event
	Reload                Kind = "reload"        // SIGHUP: service discovery has moved
	ReloadSeries          Kind = "reload series" // several SIGHUPs, the first ones with an address that does not answer
	Restart               Kind = "restart"       // SIGTERM, SIGKILL at the earliest time, and a new process
	RestartWithReload     Kind = "restart hup"   // the same, with SIGHUP, SIGTERM and SIGHUP after the first SIGTERM
	Kill                  Kind = "kill"          // SIGKILL, and a new process
	ConnectionFlood       Kind = "crowd"         // hundreds of connections that send a health check
	UnknownClients        Kind = "strangers"     // clients that send garbage at full speed
	FullSpeedClient       Kind = "full speed"    // one client sends requests that are no calls on one connection at full speed
	SlowCrowd             Kind = "slow crowd"    // hundreds of clients write slowly, stop half way through a request or read nothing
	CallersDisconnected   Kind = "callers gone"  // no caller is connected
)

// Fault is one fault of a Scenario. Which fields are used depends on its kind.
type Fault struct {
	Kind          Kind     `json:"kind"`
	At            Duration `json:"at"`                // from the start of the scenario
	For           Duration `json:"for"`               // duration
	Node          int      `json:"node"`              // number of a call server; -1: all
	Exchange      int      `json:"office"`            // number of the exchange whose office the fault affects
	HasSuccessor  bool     `json:"back,omitempty"`    // a successor starts at the addresses of the ended office once the fault is over
	AnnouncedLate bool     `json:"quiet,omitempty"`   // service discovery announces the loss only at the end of the fault
	Variant       int      `json:"variant,omitempty"` // of FullSpeedClient and SlowCrowd: the kind of request
	Unread        bool     `json:"unread,omitempty"`  // of FullSpeedClient: responses are not read
	EarlyStart    Duration `json:"early,omitempty"`   // how long the successor runs before it takes the address
}

// String formats a fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%v for %v: %s node %d office %d", time.Duration(f.At), time.Duration(f.For), f.Kind, f.Node, f.Exchange)
}

// JSON encodes a Scenario.
func (s *Scenario) JSON() []byte {
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return nil // a Scenario holds no values that cannot be encoded
	}
	return append(b, '\n')
}

// Read decodes and checks a Scenario.
func Read(b []byte) (*Scenario, error) {
	scenario := &Scenario{}
	if err := json.Unmarshal(b, scenario); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return scenario, scenario.Check()
}

// Limits of a Scenario.
const (
	minNodes  = 2
	maxNodes  = 8
	maxLength = 10 * time.Minute
	maxRate   = 200 // calls per second
)

// Check returns an error that names the first invalid field.
func (s *Scenario) Check() error {
	switch {
	case s.Nodes < minNodes || s.Nodes > maxNodes:
		return fmt.Errorf("scenario: nodes: %d is out of range", s.Nodes)
	case s.Length <= 0 || time.Duration(s.Length) > maxLength:
		return fmt.Errorf("scenario: length: %v is out of range", time.Duration(s.Length))
	case !(s.Rate > 0 && s.Rate <= maxRate):
		return fmt.Errorf("scenario: rate: %v is out of range", s.Rate)
	case len(s.Deployment.Classes) == 0:
		return fmt.Errorf("scenario: deployment.classes: at least one class is required")
	}
	for i, fault := range s.Faults {
		if fault.Exchange < 0 || fault.Exchange >= s.Nodes || fault.Node < -1 || fault.Node >= s.Nodes || fault.At < 0 || fault.For < 0 {
			return fmt.Errorf("scenario: faults.%d: a time, node or office is out of range: %v", i, fault)
		}
		if faultActions[fault.Kind] == nil {
			return fmt.Errorf("scenario: faults.%d.kind: %q is not a kind of fault", i, fault.Kind)
		}
	}
	return nil
}
