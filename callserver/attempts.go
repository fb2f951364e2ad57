package callserver

import (
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// assignConn sends an attempt on a connection to its office, or queues it until one is up. A corrupted answer ends every
// attempt on its connection, so each set-up gets a connection of its own as far as descriptors allow, and an idle one is kept
// ready; ensureIdleConn opens none to the offices of the own exchange, unless the settings have pools. An attempt is never
// sent on a connection of an earlier attempt under its ID: a late answer to that one would be taken for its own.
func (s *Server) assignConn(call *activeCall) {
	remote := call.remote
	if conn := remote.leastLoadedConn(call.connsOfEarlierAttempts()...); conn != nil {
		s.sendSetUp(conn, call)
	} else {
		remote.waitingCalls = append(remote.waitingCalls, call)
		remote.reconnectAt = 0
	}
	s.ensureIdleConn(remote)
}

// sendSetUp sends the set-up of an attempt.
func (s *Server) sendSetUp(conn *officeConn, call *activeCall) {
	call.conn, call.setUpSent, call.lastSentTo = conn, true, conn.remote
	s.armConnCheck(conn.remote)
	conn.outstandingCalls = append(conn.outstandingCalls, call)
	remainingMs := max(1, int((call.attemptDeadline-s.now)/time.Millisecond))
	s.sendToOffice(conn, &office.Message{Type: office.SetUp, Call: call.wireID, Class: call.className,
		TimeLeftMs: remainingMs, Number: call.calledNumber, Description: call.description})
}

// connsOfEarlierAttempts returns the connections on which a set-up with the ID of the call was sent before the present attempt.
func (c *activeCall) connsOfEarlierAttempts() []ConnID {
	return slices.Concat(c.foreignConns, c.previousConns)
}

// knownToOffices reports whether an office has been sent a set-up of the call or, if it was adopted, holds it.
func (c *activeCall) knownToOffices() bool { return c.lastSentTo != nil || c.state == callEstablished }

// belongsToEarlierAttempt reports whether a release refers to an earlier attempt of a call that a later attempt has
// established. It can only do so on the connection of the earlier attempt, and while the connection of the later one is open.
// An established call is released with the normal cause, or with cause 41 (temporary failure) when it is dropped, so any
// other cause belongs to the earlier attempt. Cause 41 is ambiguous: it belongs to the earlier attempt if that was ended by a
// release from here, which the office's release may have crossed, and the call was answered less than connLossDelay ago. If
// the office itself ended the earlier attempt, it sends nothing more for it, and the release is for the established call.
func (s *Server) belongsToEarlierAttempt(call *activeCall, conn *officeConn, cause byte) bool {
	if !slices.Contains(call.previousConns, conn.id) || cause == office.CauseNormal || call.conn == nil ||
		s.officeConns[call.conn.id] != call.conn {
		return false
	}
	return cause != office.CauseTemporary || slices.Contains(call.releasedConns, conn.id) && s.now-call.answeredAt < connLossDelay
}

// statusByCause maps the cause of a release before the answer to the status that the Controller is given for the attempt.
// Faulted is both a busy number and a signalling fault; the note of the release tells them apart. After office.CauseTimer the
// attempt counts as not sent, since it had no effect. Other causes, and a release without one, mean Reset.
var statusByCause = map[byte]logic.Status{office.CauseNoCircuit: logic.Full, office.CauseBusy: logic.Faulted,
	office.CauseResource: logic.Faulted, office.CauseTimer: logic.NotSent, office.CauseTemporary: logic.Reset}

// noteCodes maps the note of a release to its code.
var noteCodes = map[string]int{"blocked": logic.NoteCircuit, "bounced": logic.NoteTurnedBack, "swamped": logic.NoteProcessor,
	"occupied": logic.NoteBusy, "far_swamped": logic.NoteBeyondFull}
