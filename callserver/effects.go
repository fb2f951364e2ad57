package callserver

import (
	"log/slog"
	"time"

	"finchlatch/logic"
)

// ConnID identifies one connection, accepted or dialled.
type ConnID uint64

// Effect is an action for the code around a Server to carry out, in order.
type Effect interface{ effect() }

// Write writes bytes on a connection.
type Write struct {
	Conn  ConnID
	Bytes []byte
}

// Close closes a connection after what was written before has been sent. No further input about it follows.
type Close struct {
	Conn   ConnID
	Now    bool // drop what is queued: it must not be sent any more
	Linger bool // half-close first: bytes may still arrive, and a reset on them could discard the response before it is read
}

// HalfClose closes a connection for writing. What its peer still writes arrives as input, and InClosed once the peer closes it.
type HalfClose struct{ Conn ConnID }

// Dial opens a connection to an office; InConnected or InFailed reports the result.
type Dial struct {
	Conn    ConnID
	Addr    string
	Timeout time.Duration
}

// Decision reports a decision of the Controller to observers. Other effects carry it out.
type Decision struct {
	At      time.Duration
	Call    uint64 // the Controller's ID
	Action  logic.Action
	Office  string        // empty for ActionRefuse and ActionFail
	Timeout time.Duration // timeout of an attempt
}

// RequestDiscovery requests the service discovery stream again, from the position that Server.Position returns.
type RequestDiscovery struct{}

// Confirm requests the input InWritten, which confirms that all effects before it have been carried out.
type Confirm struct{}

// Log is one log record.
type Log struct {
	Level slog.Level
	Text  string
	Attrs []slog.Attr
}

func (Write) effect()            {}
func (Decision) effect()         {}
func (Close) effect()            {}
func (HalfClose) effect()        {}
func (Dial) effect()             {}
func (RequestDiscovery) effect() {}
func (Confirm) effect()          {}
func (Log) effect()              {}

// InputKind is the kind of an Input. The comments of its values name the fields that are set.
type InputKind byte

// Kinds of input, with the fields that are set.
const (
	InAccepted     InputKind = iota // Conn, From: a connection from callers was accepted
	InConnected                     // Conn: a dialled connection is up
	InFailed                        // Conn, Refused: a dialled connection did not come up
	InClosed                        // Conn, Reset, Delay: a connection has ended
	InReceive                       // Conn, Bytes, Delay
	InWriteBlocked                  // Conn, Blocked: whether TCP has stopped accepting bytes
	InDiscovery                     // Events: service discovery events
	InTimer                         // a timer is due
	InDrain                         // EndsAt: this process drains and ends then; accepts only transit calls, which must be over by then
	InWritten                       // the effects before a Confirm have been carried out
)
