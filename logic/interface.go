package logic

import "time"

// Settings configures a Controller.
type Settings struct {
	Host            Host          // carries out the actions
	Me              int           // index of this call server among Instances; the Controller doesn't use it
	Instances       int           // number of call servers that share the exchanges
	Home            int           // number of the home exchange, to which this call server belongs; -1 with pools
	Pools           bool          // the exchanges are pools of agents; see Class.Pools
	Classes         []Class       // classes of calls; Call.Class is an index into them
	MaxAttempts     int           // most attempts for one call; 0: no limit
	CanCancel       bool          // Host.Cancel may be called
	CanProbe        bool          // Host.Probe may be called; the Controller never does
	CanSendPeer     bool          // Host.SendPeer may be called; the Controller never does
	SendsRetryAfter bool          // callers are given the retry-after of Host.Refuse; for the Host, the Controller doesn't use it
	MaxWait         time.Duration // longest retry-after
	ListOnRequest   bool          // service discovery sends snapshots only on request
	AskWithin       time.Duration // longest time between two such requests; checked by New, but not used by the Controller
	Advice          bool          // calls carry the advice of a routing centre; the Controller reads Call.Via in any case
	ReportFields    []string      // names of the values in Report.Load
	Tick            time.Duration // shortest time between two batches of events (those that have the same time)
	Release         time.Duration // rule 5: release time after a time-out, reset or cancel
	DrainGrace      time.Duration // rule 3: grace time for offices that drain or are gone; checked, but not used by the Controller
	TipAfter        time.Duration // rule 4: a cold office fails when it is overloaded for this long
	Overload        float64       // rule 4: overload begins at this multiple of the present capacity
	ColdFrom        float64       // rule 4: least share of its capacity that an office starts with
	ColdFor         time.Duration // rule 4: an office has its full capacity after this time
}

// Class is a class of calls.
type Class struct {
	Name         string
	Worth        float64       // what a call earns that is established within Aim
	LateShare    float64       // share of Worth that a later call earns; checked by New, but not used by the Controller
	Aim          time.Duration // wanted set-up time
	Deadline     time.Duration // how long a caller keeps trying
	Hold         time.Duration // mean hold time
	Width        int           // circuits on each trunk group
	SafeToRepeat bool          // another attempt does no harm after one that may have taken effect
	// Pools are, with Settings.Pools, the numbers of the pools whose agents serve calls of the class; empty: all. A pool
	// counts as an exchange and each of its agents as a circuit. A call for which its pool has no agent goes to another pool
	// of its class, as it would to a tandem, and there is no transit.
	Pools []int
}

// Call is a call offered to this call server. Where there is a routing centre, it advises a tandem that has room for the call:
// unlike this call server it knows the state of the second leg.
type Call struct {
	ID         uint64        // names the call in events and actions
	Class      int           // index into Settings.Classes; a call of any other is refused
	Dest       int           // number of the destination exchange, or of the pool of first choice
	Width      int           // circuits that it takes; 0: those of its class
	Via        int           // tandem or pool that the routing centre advises, -1: none; in transit: where the call comes from
	Transit    bool          // this call server is the tandem of a two-leg call
	Redial     bool          // a redial, where callers say so
	WasDropped bool          // the caller redials after a dropped call, so that the aim starts anew
	Number     string        // called number
	TimeLeft   time.Duration // time until the caller gives up this try
	// ReleasedAt is when an attempt of an earlier call that exchanges can't tell from this one timed out, was reset or was
	// cancelled: the release time after it applies (rule 5). 0: there was none.
	ReleasedAt time.Duration
}

// Status is how an attempt ended.
type Status byte

// Statuses of an attempt.
const (
	Ended     Status = 'S' // the established call has ended
	Faulted   Status = 'E' // the number is busy, or there was a signalling fault
	Full      Status = 'F' // sent back, or a processor or pool was full; it had no effect
	TimedOut  Status = 'T' // there was no answer in time
	NoConnect Status = 'C' // there was no connection to the office; it had no effect
	Reset     Status = 'R' // it was broken off: the connection was lost or the office failed
	Cancelled Status = 'X' // cancelled by Host.Cancel
	NotSent   Status = 'N' // there was no free circuit, or it was not allowed; it had no effect
)

// The notes of an outcome. Some processors add a wait to a note, as a multiple of 16; the Controller removes and ignores it,
// whatever its unit.
const (
	NoteCircuit    = 1  // no circuit or agent was free
	NoteTurnedBack = 2  // the tandem sent the call back
	NoteProcessor  = 3  // the processor was full; with NotSent that of the home exchange is down
	NoteBusy       = 4  // all lines of the number are busy
	NoteBeyondFull = 18 // the tandem sent the call back because the processor of the destination, beyond it, was full
)

// Outcome is the answer to an attempt or its end.
type Outcome struct {
	Call    uint64        // ID of the call
	Attempt int           // number of the attempt, from 0
	Office  string        // ID of the office that the attempt went to
	Status  Status        // how the attempt ended
	Elapsed time.Duration // time from sending until the answer or failure
	Over    bool          // the call is over; no final answer is due
	Note    int           // details of a failure; 0: none
	Load    []float64     // report values, as named by Settings.ReportFields
}

// Report is the state of the trunk group toward an office and, where it is known, of the processor there.
type Report struct {
	Office  string        // ID of the office
	OK      bool          // the values are valid
	Elapsed time.Duration // time from the probe until the report; 0: the report was not requested
	Load    []float64     // values, as named by Settings.ReportFields
}

// ListKind is how entries of service discovery change the set of known offices.
type ListKind int

// Kinds of service discovery messages.
const (
	ListUpdate      ListKind = iota // names the offices that changed
	ListReplace                     // names all offices
	ListRestored                    // names all offices, after a start or a time without service discovery
	ListUnavailable                 // service discovery can't be reached
)

// OfficeState is the state of an office in service discovery.
type OfficeState int

// The states of an office.
const (
	Ready    OfficeState = iota // takes calls
	Draining                    // takes no new calls
	Gone                        // has ended or is not in the snapshot
)

// Office is an entry of service discovery: a process that serves an exchange.
type Office struct {
	ID       string        // names the process
	Exchange int           // number of the exchange that it serves
	State    OfficeState   // whether it takes calls
	Started  time.Duration // time of its latest start; 0: long ago
}

// Host carries out the actions of a Controller.
type Host interface {
	// Send starts an attempt of a call, which ends with TimedOut after timeout without an answer.
	Send(call uint64, office string, timeout time.Duration)
	// Refuse gives the final answer that the call can't be set up; the caller may try again after wait.
	Refuse(call uint64, wait time.Duration)
	// Fail gives the final answer of a call that failed, although an attempt may have taken effect or is still open.
	Fail(call uint64)
	// Cancel cancels an attempt. Its outcome still follows.
	Cancel(call uint64, attempt int)
	// Probe asks an office for a report. The Controller doesn't call it.
	Probe(office string)
	// SendPeer sends a message to another call server. The Controller doesn't call it.
	SendPeer(peer int, data []byte)
	// Timer asks for a call of Controller.Timer with mark after wait.
	Timer(wait time.Duration, mark string)
	// Watch(true) requests a snapshot of the offices and the updates that follow it. The Controller calls it if
	// Settings.ListOnRequest is set, and after service discovery could not be reached. Watch(false) ends the updates; the
	// Controller never calls that.
	Watch(on bool)
	// Log writes a line of text to the log.
	Log(text string)
}

// Action is the kind of an action that a Host carries out on a call. Implementations of Host use it to report what the
// Controller decided; the Controller itself doesn't use it.
type Action byte

// The actions.
const (
	ActionSend Action = iota
	ActionRefuse
	ActionFail
	ActionCancel
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"send", "refuse", "fail", "cancel"}[a] }
