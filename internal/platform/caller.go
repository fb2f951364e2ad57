package platform

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/sip"
)

// Caller is a connection to a call server. Any number of callers may set up calls on it.
type Caller struct {
	net.Conn
	env      *Environment
	Received chan ReceivedMessage // received messages in order; closed with the connection
}

// ReceivedMessage is a message that a caller received.
type ReceivedMessage struct {
	Call   uint64 // id of the call
	Status int    // status code of a response, 0 for a request
	Method string
	Body   string
}

// Dial opens a connection to a call server.
func (e *Environment) Dial(addr string) (*Caller, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	caller := &Caller{Conn: conn, env: e, Received: make(chan ReceivedMessage, 4096)}
	e.onClose(func() { conn.Close() })
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer close(caller.Received)
		caller.readMessages()
	}()
	return caller, nil
}

// readMessages delivers received messages until the connection ends, and reports final answers to the rule checker.
func (c *Caller) readMessages() {
	var framer sip.Framer
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		framer.Write(buf[:n])
		for msg, parseErr := framer.Next(); msg != nil; msg, parseErr = framer.Next() {
			if parseErr != nil {
				return
			}
			call, _ := strconv.ParseUint(msg.CallID, 16, 64)
			received := ReceivedMessage{Call: call, Status: msg.Status, Method: msg.Method, Body: string(msg.Body)}
			if msg.Method == "INVITE" && msg.Status >= 200 {
				c.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.FinalAnswer(at, call, msg.Status) })
			}
			c.Received <- received
		}
		if err != nil {
			return
		}
	}
}

// Invite sends an INVITE and reports to the rule checker that the call was taken.
func (c *Caller) Invite(call uint64, dest int, patience time.Duration) error {
	c.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.CallTaken(at, call, patience) })
	_, err := io.WriteString(c, InviteMessage(call, patience, fmt.Sprintf("dest:%d;width:1;via:-1", dest)))
	return err
}

// InviteMessage returns an INVITE with the given patience and the given value of X-Legs. A caller that writes it without Invite
// reports nothing to the rule checker.
func InviteMessage(call uint64, patience time.Duration, legs string) string {
	return fmt.Sprintf("INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nX-Cos: status-check\r\n"+
		"X-Timer-Ms: %d\r\nX-Legs: %s\r\nContent-Length: %d\r\n\r\n%s", call, call, patience.Milliseconds(), legs, len(Description), Description)
}

// Bye releases an established call.
func (c *Caller) Bye(call uint64) error {
	_, err := fmt.Fprintf(c, "BYE sip:exchange@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", call)
	return err
}

// Cancel sends a CANCEL for a set-up, and reports to the rule checker that its caller has abandoned the call.
func (c *Caller) Cancel(call uint64) error {
	c.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.Abandoned(at, call) })
	_, err := fmt.Fprintf(c, "CANCEL sip:exchange@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n", call)
	return err
}

// Abandon closes the connection, and reports to the rule checker that the callers of these calls no longer wait for an answer.
func (c *Caller) Abandon(calls ...uint64) {
	c.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
		for _, call := range calls {
			checker.Abandoned(at, call)
		}
	})
	c.Close()
}

// HealthCheck sends an OPTIONS request as a health check.
func (c *Caller) HealthCheck() error {
	_, err := fmt.Fprint(c, "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	return err
}
