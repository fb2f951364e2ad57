package callserver

import (
	"time"

	"finchlatch/logic"
)

// timer identifies what is due. Which fields are set depends on kind.
type timer struct {
	kind           timerKind
	controllerMark string // given by the Controller
	targetID       uint64 // a ConnID, the Controller's ID or the wire ID of a call, or the ID of a health check
	arg            int    // attempt number or count of messages
	officeID       string
}

// timerKind tells what is due when a timer fires.
type timerKind byte

const (
	timerController         timerKind = iota // set by the Controller
	timerAttemptTimeout                      // an attempt has no answer
	timerCheckCallerConn                     // a caller connection should have delivered a complete message
	timerUnfinishedMessage                   // a message of an office should be complete
	timerReconnect                           // try again to connect to an office
	timerHalfClosed                          // the office should have closed a half-closed connection
	timerCheckConns                          // open another connection to an office if a release of it may have been lost
	timerDrainGrace                          // set-ups to a draining or gone office that are still unsent must not be sent any more
	timerHealthCheckTimeout                  // an office should have answered a health check
	timerCheckLiveness                       // run the failure detector of an office
	timerVerifyCalls                         // compare the calls of an office with its circuits in use
	timerCheckCallerRelease                  // a caller should have responded to a BYE
	timerSuccessorTimeout                    // service discovery should have listed a successor of an office that is gone
	timerCheckHolders                        // the process that holds calls should have shown that it goes on
	timerCheckReleases                       // an office should have acknowledged releases
	timerCheckAdopted                        // service discovery should have listed the office of an adopted call
)

func (s *Server) armTimer(delay time.Duration, t timer) { s.armTimerAt(s.now+delay, t) }

func (s *Server) armTimerAt(at time.Duration, t timer) {
	if s.timers.Len() >= max(s.timersCheckedAt, minTimersChecked) {
		s.timers.DeleteFunc(s.timerObsolete)
		s.timersCheckedAt = 2 * s.timers.Len()
	}
	s.timers.Arm(at, t)
}

// minTimersChecked is the number of timers up to which those that no longer apply are left until they are due.
const minTimersChecked = 4096

// timerObsolete reports whether a timer no longer applies, since what it was armed for is over. A client may begin and end calls faster
// than their timers become due.
func (s *Server) timerObsolete(t timer) bool {
	switch t.kind {
	case timerController:
		id, ofCall := logic.CallOfTimer(t.controllerMark)
		return ofCall && s.callsByID[id] == nil
	case timerAttemptTimeout:
		call := s.callsByID[t.targetID]
		return call == nil || call.attempts-1 != t.arg
	case timerCheckCallerConn:
		return s.callerConns[ConnID(t.targetID)] == nil
	case timerCheckReleases:
		return s.officeConns[ConnID(t.targetID)] == nil
	case timerCheckCallerRelease:
		return s.callerReleases.byWireID[t.targetID] == nil
	case timerCheckAdopted:
		return s.callsByWireID[t.targetID] == nil
	}
	return false
}

func (s *Server) fireTimer(t timer) {
	switch t.kind {
	case timerController:
		s.controller.Timer(s.now, t.controllerMark)
	case timerAttemptTimeout:
		if call := s.callsByID[t.targetID]; call != nil && call.attemptOutstanding() && call.attempts-1 == t.arg {
			s.releaseAttempt(call, logic.TimedOut)
		}
	case timerCheckCallerConn:
		s.checkCallerConn(ConnID(t.targetID))
	case timerUnfinishedMessage:
		s.checkUnfinishedMessage(ConnID(t.targetID), t.arg)
	case timerHalfClosed:
		s.halfCloseExpired(ConnID(t.targetID))
	case timerReconnect:
		s.reconnect(t.officeID)
	case timerCheckConns:
		s.checkConns(t.officeID)
	case timerDrainGrace:
		s.drainGraceExpired(t.officeID)
	case timerHealthCheckTimeout:
		s.finishHealthCheck(t.targetID, logic.Report{})
	case timerCheckLiveness:
		s.checkLiveness(t.officeID)
	case timerVerifyCalls:
		s.verifyCalls(t.officeID)
	case timerCheckCallerRelease:
		s.checkCallerRelease(t.targetID)
	case timerSuccessorTimeout:
		s.successorTimedOut(t.officeID)
	case timerCheckHolders:
		s.checkHolders(t.officeID)
	case timerCheckReleases:
		s.checkReleases(ConnID(t.targetID))
	case timerCheckAdopted:
		s.checkAdopted(t.targetID)
	}
}
