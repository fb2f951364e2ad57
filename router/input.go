package router

import (
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// InputKind is the kind of an Input.
type InputKind byte

// Kinds of inputs, with the fields of Input that they use.
const (
	InStart        InputKind = iota // List
	InConnected                     // Link
	InDisconnected                  // Link, Count: bytes written
	InReceive                       // Link, Bytes, Delay
	InAdvance                       // no fields: only the time advances
	InExchanges                     // ListKind, List
	InDrain
	InUndrain
	InCloseAssociations
	InReleaseAll
	InBlock // Peer, Count: circuits, Group, Blocked
	InReset // Peer, Count: calls
	InQuery // QueryID, ENUMClient, Number: query for the route of a call
)

// Input is one input of a Router as data: the same inputs in the same order give the same effects, with or without
// sockets. The kind determines which fields are used.
type Input struct {
	At         time.Duration
	Kind       InputKind
	Link       LinkID
	Peer       PeerID
	Bytes      []byte
	Delay      time.Duration // how long the bytes have waited in this process; it counts against the callers' patience
	Count      int64         // bytes written, circuits or calls, depending on the kind
	List       []logic.Office
	ListKind   logic.ListKind
	Group      isup.BlockingType // kind of blocking
	Blocked    bool              // block; false: unblock
	QueryID    uint64            // ID of the query
	ENUMClient string            // name of the ENUM client
	Number     string            // called number
}

// Apply handles an input. It returns the number of circuits changed for InBlock, of calls reset for InReset, and 0 otherwise.
func (r *Router) Apply(input Input) int {
	switch input.Kind {
	case InStart:
		r.Start(input.At, input.List)
	case InConnected:
		r.Connected(input.At, input.Link)
	case InDisconnected:
		r.Disconnected(input.At, input.Link, input.Count)
	case InReceive:
		r.queueDelay = max(0, input.Delay)
		r.Receive(input.At, input.Link, input.Bytes)
		r.queueDelay = 0
	case InAdvance:
		r.Advance(input.At)
	case InExchanges:
		r.UpdateExchanges(input.At, input.ListKind, input.List)
	case InDrain:
		r.Drain(input.At)
	case InUndrain:
		r.Undrain(input.At)
	case InCloseAssociations:
		r.CloseAssociations(input.At)
	case InReleaseAll:
		r.ReleaseAll(input.At)
	case InBlock:
		return r.Block(input.At, input.Peer, int(input.Count), input.Group, input.Blocked)
	case InQuery:
		r.Query(input.At, input.QueryID, input.ENUMClient, input.Number)
	case InReset:
		return r.Reset(input.At, input.Peer, int(input.Count))
	}
	return 0
}
