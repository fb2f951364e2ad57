package logic

import "time"

// Settings is what an instance is handed at its start. All times are spans.
type Settings struct {
	Host          Host    // where actions go
	Me            int     // number of this call server among Instances
	Instances     int     // call servers that share the exchanges
	Home          int     // number of the own exchange; -1 with pools
	Pools         bool    // the exchanges are pools of agents: no transit, second choices in place of tandems
	Classes       []Class // classes of call, in the order that Call.Class counts in
	MaxAttempts   int     // most attempts for one call; 0: no limit
	CanCancel     bool    // Host.Cancel is allowed
	CanProbe      bool    // Host.Probe is allowed
	CanTell       bool    // Host.Tell is allowed
	TellsWait     bool    // callers are given the wait of Host.Refuse
	MaxWait       time.Duration
	ListOnRequest bool          // the list comes only when asked for
	AskWithin     time.Duration // longest time without asking for it
	Advice        bool          // calls carry a centre's advice
	ReportFields  []string      // names of the values in Report.Load
	Tick          time.Duration // shortest time between two batches of events
	Release       time.Duration // rule 5: wait after a time-out, reset or cancel
	DrainGrace    time.Duration // rule 3
	TipAfter      time.Duration // rule 4: a cold office overloaded for this long falls over
	Overload      float64       // rule 4: the multiple of its present capacity
	ColdFrom      float64       // rule 4: share of its capacity that an office starts with, or more
	ColdFor       time.Duration // rule 4: it is warm after this
}

// Class is one class of call.
type Class struct {
	Name      string
	Worth     float64
	LateShare float64       // part of the worth earned after Aim
	Aim       time.Duration // wanted set-up time
	Deadline  time.Duration // how long a caller keeps trying
	Hold      time.Duration // mean hold time
	Width     int           // circuits on each trunk group
	Safe      bool          // a further attempt can do no harm
	Pools     []int         // with Settings.Pools: where it may go; empty: anywhere
}

// Call is a call offered to this call server.
type Call struct {
	ID       uint64
	Class    int // place in Settings.Classes; others are refused
	Dest     int // number of the destination exchange, or of the pool of first choice
	Width    int // circuits it takes; 0: as its class
	Via      int // advised tandem or pool, -1 none; in transit: where it comes from
	Transit  bool
	Again    bool          // dialled again, where callers say so
	WasCut   bool          // it was cut and comes again
	Number   string        // the number called
	TimeLeft time.Duration // until the caller gives up this try
}

// Status tells how an attempt ended.
type Status byte

// The endings of an attempt.
const (
	Ended     Status = 'S' // the call is at its end
	Faulted   Status = 'E' // the number is busy, or signalling failed
	Full      Status = 'F' // sent back, or a processor or pool was full; it never ran
	TimedOut  Status = 'T'
	NoConnect Status = 'C' // it never ran
	Reset     Status = 'R' // cut
	Cancelled Status = 'X'
	NotSent   Status = 'N' // no free circuit, or not allowed; it never ran
)

// The notes of an outcome, without the wait that some processors add to NoteProcessor.
const (
	NoteCircuit    = 1  // no circuit or agent
	NoteTurnedBack = 2  // the tandem sent it back
	NoteProcessor  = 3  // processor full; with NotSent the own one is down
	NoteBusy       = 4  // all lines of the number are busy
	NoteBeyondFull = 18 // sent back, since the processor after the tandem was full
)

// Outcome is the end of an attempt.
type Outcome struct {
	Call    uint64
	Attempt int
	Office  string
	Status  Status
	Took    time.Duration
	Over    bool // the call is over; no final answer is owed
	Note    int
	Load    []float64 // as Settings.ReportFields
}

// Report tells of the trunk group toward an office, and perhaps of its processor.
type Report struct {
	Office string
	OK     bool
	Took   time.Duration // 0: it came unasked
	Load   []float64
}

// ListKind tells how a list changes what is known.
type ListKind int

// The kinds of list.
const (
	ListUpdate ListKind = iota
	ListReplace
	ListRestored
	ListUnavailable
)

// OfficeState is the state of an office in the list.
type OfficeState int

// The states of an office.
const (
	Ready OfficeState = iota
	Draining
	Gone
)

// Office is an entry of the exchange list: the process that works for an exchange.
type Office struct {
	ID       string
	Exchange int
	State    OfficeState
	Started  time.Duration // clock time of its last start; 0: long ago
}

// Host carries out the actions of a Controller.
type Host interface {
	Send(call uint64, office string, timeout time.Duration)
	Refuse(call uint64, wait time.Duration)
	Fail(call uint64)
	Cancel(call uint64, attempt int)
	Probe(office string)
	Tell(peer int, data []byte)
	Timer(wait time.Duration, mark string)
	Watch(on bool) // ask for list changes, where ListOnRequest
	Log(text string)
}

// Act names what a Host is asked to do about a call, for those who look on.
type Act byte

// The acts.
const (
	ActSend Act = iota
	ActRefuse
	ActFail
	ActCancel
)

// String names the act.
func (a Act) String() string { return [...]string{"send", "refuse", "fail", "cancel"}[a] }
