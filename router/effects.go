package router

import (
	"log/slog"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// PeerID is the place of a peer in Config.Peers.
type PeerID int

// LinkID names one connection: the processes of all peers are counted in the order of Config.Peers and of their
// ASPs, from 0.
type LinkID int

// Effect is something that the shell around a Router carries out or may look at.
type Effect interface{ effect() }

// Write asks for bytes to be written on a connection, in order.
type Write struct {
	Link  LinkID
	Bytes []byte
}

// Close asks for a connection to be closed.
type Close struct {
	Link LinkID
	Err  error
}

// Log is a line for the operators. Call is 0 where none is concerned.
type Log struct {
	Level slog.Level
	Text  string
	Call  uint64
	Attrs []slog.Attr
}

// Decision tells what the Controller decided; it has been carried out already.
type Decision struct {
	At      time.Duration
	Call    uint64
	Action  logic.Act
	Attempt int
	Office  string
}

// Verdict is a final answer.
type Verdict byte

// Final answers. HungUp: the caller left first, and none was owed.
const (
	Stands Verdict = iota
	Refused
	Failed
	HungUp
)

// String names the verdict.
func (v Verdict) String() string { return [...]string{"stands", "refused", "failed", "hung up"}[v] }

// Answer tells of the final answer of a call; it has been sent already. Calls that end here, at their
// destination, and calls in transit get answers too.
type Answer struct {
	At      time.Duration
	Call    uint64
	Verdict Verdict
	Cause   isup.Cause // 0 where it stands
	Elapsed time.Duration
	Transit bool // in transit or ending here: not a call of an own caller
}

// Reply answers a question (InAsk).
type Reply struct {
	Ask      uint64
	Verdict  Verdict // Stands: granted; the circuits are kept until the lease runs out
	Cause    isup.Cause
	Routing  string // routing number that the set-up must call
	Exchange string // where the call goes first
	Until    time.Duration
}

// Taken tells that the set-up of a granted question has come.
type Taken struct{ Ask uint64 }

func (Taken) effect()    {}
func (Reply) effect()    {}
func (Write) effect()    {}
func (Close) effect()    {}
func (Log) effect()      {}
func (Decision) effect() {}
func (Answer) effect()   {}
