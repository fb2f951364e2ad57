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
			s.recordEvidence(caller, existing.evidence)
		}
		return
	}
	if cause, evidence, over := s.findReleased(invite.wireID); over { // its caller may not know yet
		s.releaseToCaller(&activeCall{wireID: invite.wireID, callID: invite.msg.CallID, callerConn: caller,
			calledNumber: invite.calledNumber, evidence: evidence}, cause)
		s.recordEvidence(caller, evidence)
		return
	}
	if !s.mayClaimCall(caller) {
		s.logRejection("too many adopted calls", slog.String("from", caller.remoteAddr))
		return
	}
	s.adoptedCalls++
	caller.adoptedCalls++
	call := &activeCall{wireID: invite.wireID, callID: invite.msg.CallID, callerConn: caller, adoptedBy: caller, state: callEstablished,
		fromBefore: s.now-s.startedAt <= claimWindow, className: invite.className, calledNumber: invite.calledNumber, width: min(invite.offer.Width, s.maxCallWidth())}
	s.callsByWireID[call.wireID] = call
	cause, released := s.unclaimed.take(invite.wireID)
	remote := s.offices[invite.officeID]
	if remote != nil {
		s.attachClaim(call, remote)
	} else {
		s.awaitListing(call, invite.officeID)
	}
	switch {
	case released:
		call.evidence = carriedCall
		s.recordEvidence(caller, carriedCall)
		s.endEstablished(call, logic.Reset, cause, nil, "released by its office before its caller claimed it")
	case remote != nil:
		s.endClaimIfOver(call)
	case s.goneAt[invite.officeID] > 0:
		s.endClaim(call, "adopted at an office that is gone")
	}
}

// awaitListing records that a claimed call is established at an office that service discovery does not list yet. Nothing but the ID of the
// office is known until then.
func (s *Server) awaitListing(call *activeCall, officeID string) {
	call.remote = &remoteOffice{id: officeID}
	call.remote.establishedCalls++
	s.armTimer(max(s.startedAt+adoptedOfficeTimeout-s.now, lateClaimTimeout), timer{kind: timerCheckAdopted, targetID: call.wireID})
}

// attachClaim records at which listed office a claimed call is established, and which process holds it: that of the office's connections. As
// long as none has come up, those to its address are to the office before it.
func (s *Server) attachClaim(call *activeCall, remote *remoteOffice) {
	call.remote = remote
	if remote.wasConnected {
		call.holdCall(remote.address.Claimed(s.now))
	} else {
		call.holdCall(remote.address.ClaimedAtNext(s.now))
	}
	s.addEstablished(remote)
	s.markAdoptedUnverified(remote)
	s.recordClaim(call.callerConn, call)
}

// attachClaims attaches the calls that were claimed at an office before service discovery listed it, and ends those claimed calls at its
// address that are over, as it has started since or is gone.
func (s *Server) attachClaims(remote *remoteOffice) {
	for _, call := range s.unlistedClaims(remote.id) {
		s.attachClaim(call, remote)
	}
	if s.adoptedCalls == 0 {
		return
	}
	for _, call := range s.callsInOrder(func(call *activeCall) bool { return call.adoptedBy != nil && call.remote.sharesAddress(remote) }) {
		s.endClaimIfOver(call)
	}
}

// endClaimIfOver ends a claimed call whose office is gone or whose process has ended. No process that started after this one can hold a call
// from before that.
func (s *Server) endClaimIfOver(call *activeCall) {
	remote := call.remote
	switch {
	case remote.state == logic.Gone:
		s.endClaim(call, "adopted at an office that is gone")
	case !call.fromBefore:
		return
	case max(remote.startedAt, s.successorStart(remote)) > s.startedAt:
		s.giveUpCall(call, "the process at its office's address has started since this one")
	case remote.address.FirstProcessEnded():
		s.giveUpCall(call, "its office's process has ended since this one started")
	default:
		return
	}
	s.flushOfficeReleases(remote)
}

// endUnlistedClaims ends the calls that were claimed at an office which service discovery lists as gone and has not listed before.
func (s *Server) endUnlistedClaims(officeID string) {
	for _, call := range s.unlistedClaims(officeID) {
		s.endClaim(call, "adopted at an office that is gone")
	}
}

// unlistedClaims returns the calls that were claimed at an office which service discovery has not listed yet.
func (s *Server) unlistedClaims(officeID string) []*activeCall {
	if s.adoptedCalls == 0 {
		return nil
	}
	return s.callsInOrder(func(call *activeCall) bool {
		return call.state == callEstablished && call.remote.unlisted() && call.remote.id == officeID
	})
}

// claimWindow is how long after its start this process takes a claimed call to be from before that. A caller that comes back claims its call
// within seconds. A later claim may be to a call that another call server has set up since, before it went away.
const claimWindow = 30 * time.Second

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

// checkAdopted ends an adopted call if service discovery has not listed its office in time.
func (s *Server) checkAdopted(wireID uint64) {
	call := s.callsByWireID[wireID]
	if call == nil || call.state != callEstablished || !call.remote.unlisted() {
		return
	}
	s.unlisted.add(call.remote.id, release{wireID: wireID, cause: office.CauseTemporary}, s.now)
	s.endClaim(call, "adopted at an office that service discovery does not list")
}

// endClaim ends a claimed call toward its caller only.
func (s *Server) endClaim(call *activeCall, why string) {
	s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, why)
}
