package router

import (
	"log/slog"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// PeerID is the index of a peer in Config.Peers.
type PeerID int

// LinkID identifies a connection. The ASPs of all peers are numbered from 0, in the order of Config.Peers and
// Peer.ASPs.
type LinkID int

// Effect is an output of a Router, which the surrounding program carries out or may observe.
type Effect interface{ effect() }

// Write is a request to write bytes to a connection, in order.
type Write struct {
	Link  LinkID
	Bytes []byte
}

// Close is a request to close a connection.
type Close struct {
	Link LinkID
	Err  error
}

// Log is a record for the operators. Call is 0 if it is not about a single call.
type Log struct {
	Level slog.Level
	Text  string
	Call  uint64
	Attrs []slog.Attr
}

// Decision reports an action of the Controller on a call. It has been carried out already.
type Decision struct {
	At      time.Duration
	Call    uint64
	Action  logic.Action
	Attempt int
	Office  string
}

// Verdict is the kind of a final answer.
type Verdict byte

// Kinds of final answers. Stands: the call is established. HungUp: the caller released the call first, so none was sent.
const (
	Stands Verdict = iota
	Refused
	Failed
	HungUp
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"stands", "refused", "failed", "hung up"}[v] }

// Answer reports the final answer of a call. It has been sent already. There are answers for calls to subscribers of
// this exchange and for calls in transit too.
type Answer struct {
	At      time.Duration
	Call    uint64
	Verdict Verdict
	Cause   isup.Cause // 0 if the call is established
	Elapsed time.Duration
	Transit bool // in transit or ending at this exchange; false for a call of an own caller toward another exchange
}

// Reply answers a query (InAsk).
type Reply struct {
	Ask      uint64  // ID of the query
	Verdict  Verdict // Stands: granted; the circuits stay reserved until the lease expires
	Cause    isup.Cause
	Routing  string        // routing number that the set-up must call
	Exchange string        // first exchange on the route of the call
	Until    time.Duration // time when the lease expires
}

// Taken reports that the set-up for a granted query has arrived. Ask is the ID of the query.
type Taken struct{ Ask uint64 }

func (Taken) effect()    {}
func (Reply) effect()    {}
func (Write) effect()    {}
func (Close) effect()    {}
func (Log) effect()      {}
func (Decision) effect() {}
func (Answer) effect()   {}
