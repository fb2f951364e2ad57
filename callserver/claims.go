package callserver

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// This file adopts the calls that an earlier process established and that their callers claim after a restart.

// adoptCall registers a call that an earlier process has established and that its caller claims: a caller that has reconnected
// sends an INVITE with the ID of the office at which the call is established (see parseLegs), which is not answered.
func (s *Server) adoptCall(caller *callerConn, invite invitation) {
	caller.lastUsed, caller.claimedCalls = s.now, true
	if existing := s.callsByWireID[invite.wireID]; existing != nil {
		if existing.state == callEstablished {
			existing.callerConn = caller
			s.recordEvidence(caller, carriedCall)
		}
		return
	}
	if ended := s.endedCalls.find(invite.wireID, s.now); ended != nil && ended.established { // its caller may not know yet
		s.releaseToCaller(&activeCall{wireID: invite.wireID, callID: invite.msg.CallID, callerConn: caller,
			calledNumber: invite.calledNumber}, ended.cause)
		return
	}
	if !s.mayClaimCall(caller) {
		s.logRejection("too many adopted calls", slog.String("from", caller.remoteAddr))
		return
	}
	s.adoptedCalls++
	caller.adoptedCalls++
	call := &activeCall{wireID: invite.wireID, callID: invite.msg.CallID, callerConn: caller, adoptedBy: caller, state: callEstablished,
		className: invite.className, calledNumber: invite.calledNumber, width: min(invite.offer.Width, s.maxCallWidth())}
	s.callsByWireID[call.wireID] = call
	call.remote = s.offices[invite.officeID]
	if call.remote == nil {
		call.remote = &remoteOffice{id: invite.officeID} // not listed by service discovery yet
		call.remote.establishedCalls++
		s.armTimer(max(s.startedAt+adoptedOfficeTimeout-s.now, lateClaimTimeout), timer{kind: timerCheckAdopted, targetID: call.wireID})
	} else {
		call.holdCall(call.remote.address.Claimed(s.now))
		s.addEstablished(call.remote)
		s.markAdoptedUnverified(call.remote)
		s.recordClaim(caller, invite.className)
	}
	if cause, ended := s.unclaimed.take(invite.wireID); ended {
		s.endEstablished(call, logic.Reset, cause, nil, "released by its office before its caller claimed it")
		return
	}
	if call.remote.state == logic.Gone && s.offices[invite.officeID] != nil {
		s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, "adopted at an office that is gone")
	}
}

// maxCallWidth returns the greatest number of circuits that a call of any class takes.
func (s *Server) maxCallWidth() int {
	return slices.MaxFunc(s.cfg.Settings.Classes, func(a, b logic.Class) int { return cmp.Compare(a.Width, b.Width) }).Width
}

// Limits on the time that service discovery may take to list the office of an adopted call. That may have been gone before this process
// started, and its callers must be told in time however late they claim the call.
const (
	adoptedOfficeTimeout = 5 * time.Second // from the start of this process
	lateClaimTimeout     = 500 * time.Millisecond
)

// checkAdopted attaches an adopted call to its office if service discovery has listed that meanwhile, and otherwise ends the
// call.
func (s *Server) checkAdopted(wireID uint64) {
	call := s.callsByWireID[wireID]
	if call == nil || call.id != 0 || s.offices[call.remote.id] == call.remote {
		return
	}
	if remote := s.offices[call.remote.id]; remote != nil {
		call.remote = remote
		call.holdCall(remote.address.Claimed(s.now))
		s.addEstablished(remote)
		s.recordClaim(call.callerConn, call.className)
		return
	}
	s.unlisted.add(call.remote.id, release{wireID: wireID, cause: office.CauseTemporary}, s.now)
	s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, "adopted at an office that service discovery does not list")
}
