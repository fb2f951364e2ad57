package router

import (
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
)

// InputKind tells inputs apart.
type InputKind byte

// Inputs of a Router: all that it is ever told.
const (
	InStart        InputKind = iota // List
	InConnected                     // Link
	InDisconnected                  // Link, Count: octets written
	InReceive                       // Link, Bytes, Waited
	InAdvance                       // time has gone on
	InList                          // ListKind, List
	InDrain
	InUndrain
	InLeave
	InReleaseAll
	InBlock // Peer, Count, Group, On
	InReset // Peer, Count
	InAsk   // Ask, Asker, Number: where may a call go?
)

// Input is one thing that a Router is told, as data: the same inputs in the same order give the same effects, on a
// socket or without. Which fields count depends on the kind.
type Input struct {
	At       time.Duration
	Kind     InputKind
	Link     LinkID
	Peer     PeerID
	Bytes    []byte
	Waited   time.Duration // how long the bytes waited in this process: the callers have waited as long
	Count    int64
	List     []logic.Office
	ListKind logic.ListKind
	Group    isup.GroupType
	On       bool
	Ask      uint64
	Asker    string
	Number   string
}

// Apply tells a Router of an input. It gives the number of circuits for InBlock and InReset.
func (r *Router) Apply(in Input) int {
	switch in.Kind {
	case InStart:
		r.Start(in.At, in.List)
	case InConnected:
		r.Connected(in.At, in.Link)
	case InDisconnected:
		r.Disconnected(in.At, in.Link, in.Count)
	case InReceive:
		r.queueDelay = max(0, in.Waited)
		r.Receive(in.At, in.Link, in.Bytes)
		r.queueDelay = 0
	case InAdvance:
		r.Advance(in.At)
	case InList:
		r.List(in.At, in.ListKind, in.List)
	case InDrain:
		r.Drain(in.At)
	case InUndrain:
		r.Undrain(in.At)
	case InLeave:
		r.Leave(in.At)
	case InReleaseAll:
		r.ReleaseAll(in.At)
	case InBlock:
		return r.Block(in.At, in.Peer, int(in.Count), in.Group, in.On)
	case InAsk:
		r.Ask(in.At, in.Ask, in.Asker, in.Number)
	case InReset:
		return r.Reset(in.At, in.Peer, int(in.Count))
	}
	return 0
}
