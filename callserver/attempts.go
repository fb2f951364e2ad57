package callserver

import (
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// assign gives an attempt a connection, or lets it wait for one. A spoilt answer takes with it what is open on its
// connection, so each set-up has one of its own as far as descriptors go; one is kept ready. An attempt never goes
// out on a connection of an earlier one of its call: a late answer to that one would be taken for its own.
func (s *Server) assignConn(call *activeCall) {
	remote := call.remote
	if conn := remote.leastLoadedConn(call.previousConns...); conn != nil {
		s.sendSetUp(conn, call)
	} else {
		remote.waitingCalls = append(remote.waitingCalls, call)
		remote.redialAt = 0
	}
	s.ensureIdleConn(remote)
}

// setUp writes the set-up of an attempt.
func (s *Server) sendSetUp(conn *officeConn, call *activeCall) {
	call.conn, call.setUpSent = conn, true
	s.armConnCheck(conn.remote)
	conn.outstanding = append(conn.outstanding, call)
	remainingMs := max(1, int((call.attemptDeadline-s.now)/time.Millisecond))
	s.sendToOffice(conn, &office.Message{Type: office.SetUp, Call: call.wireID, Class: call.className, Wait: remainingMs, Number: call.calledNumber,
		Description: call.description})
}

// ofEarlier tells whether a release on a connection of an earlier attempt is of that one, while the call stands by a later
// attempt. What stands ends with the normal cause or is cut (41). A cut may also be the word on an attempt that was given
// up, which crosses our release; on an attempt whose end was told there is nothing left to say.
func (s *Server) belongsToEarlierAttempt(call *activeCall, conn *officeConn, cause byte) bool {
	if !slices.Contains(call.previousConns, conn.id) || cause == office.CauseNormal || call.conn == nil || s.officeConns[call.conn.id] != call.conn {
		return false
	}
	return cause != office.CauseTemporary || slices.Contains(call.unconfirmedConns, conn.id) && s.now-call.answeredAt < connLossDelay
}

// statuses are the endings that the causes of a release before the answer stand for; any other is a reset.
var statusByCause = map[byte]logic.Status{office.CauseNoCircuit: logic.Full, office.CauseBusy: logic.Faulted,
	office.CauseResource: logic.Faulted, office.CauseTimer: logic.NotSent, office.CauseTemporary: logic.Reset}

// notes are what the notes of a release tell.
var noteCodes = map[string]int{"blocked": logic.NoteCircuit, "bounced": logic.NoteTurnedBack, "swamped": logic.NoteProcessor,
	"occupied": logic.NoteBusy, "far_swamped": logic.NoteBeyondFull}
