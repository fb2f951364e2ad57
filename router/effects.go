package router

import (
	"log/slog"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// PeerID is the index of a peer in Config.Peers.
type PeerID int

// LinkID identifies the transport connection with one ASP of a peer, and the association on it. The ASPs of all peers are
// numbered from 0, in the order of Config.Peers and Peer.ASPs.
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
	Err  error // why it must be closed
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

// Result is the kind of a final answer.
type Result byte

// Kinds of final answers. HungUp: none was sent, because the caller released the call first or the lease of an ENUM client
// expired without a set-up.
const (
	Established Result = iota
	Refused
	Failed
	HungUp
)

// String returns the name of the kind.
func (r Result) String() string { return [...]string{"stands", "refused", "failed", "hung up"}[r] }

// Answer reports the final answer of any call, also of calls to subscribers of this exchange and of transit calls. It has
// been sent already.
type Answer struct {
	At      time.Duration
	Call    uint64
	Result  Result
	Cause   isup.Cause // 0 if the call is established
	Elapsed time.Duration
	Transit bool // false for a call of a client of this exchange that the Controller decided on; true for all others
}

// Reply answers a query (InQuery).
type Reply struct {
	QueryID       uint64        // ID of the query
	Result        Result        // Established: granted; the circuits stay reserved until the lease expires
	Cause         isup.Cause    // why the query was not granted; 0 if it was
	RoutingNumber string        // routing number that the set-up must call
	Exchange      string        // first exchange on the route of the call
	ExpiresAt     time.Duration // time when the lease expires
}

// LeaseUsed reports that the set-up for a granted query has arrived. QueryID is the ID of the query.
type LeaseUsed struct{ QueryID uint64 }

func (LeaseUsed) effect() {}
func (Reply) effect()     {}
func (Write) effect()     {}
func (Close) effect()     {}
func (Log) effect()       {}
func (Decision) effect()  {}
func (Answer) effect()    {}
