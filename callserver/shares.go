package callserver

// This file shares limits out among connections from callers, so that one client cannot use up what all of them need.

// shareFactor is what one connection may have of a limited resource, as a multiple of what is left for the others: three quarters of
// the whole if it is alone.
const shareFactor = 3

// withinShare reports whether a connection that has some units of a limited resource may take another one. used is what all
// connections have.
func withinShare(limit, used, own int) bool {
	return used < limit && own < shareFactor*(limit-used)
}

// callOverhead is what an open call takes beside its description, in bytes.
const callOverhead = 1 << 10

// mayOpenCall reports whether a connection may have another open call, with a description of some bytes.
func (s *Server) mayOpenCall(caller *callerConn, descriptionBytes int) bool {
	if limit := s.cfg.MaxOpenCalls; limit > 0 && !withinShare(limit, s.openCalls, caller.openCalls) {
		return false
	}
	limit := s.cfg.MaxOpenBytes
	return limit == 0 || withinShare(limit, s.openBytes+callOverhead+descriptionBytes, caller.openBytes)
}

// countOpenCall counts an open call, or with -1 its end.
func (s *Server) countOpenCall(call *activeCall, delta int) {
	size := delta * call.openBytes
	s.openCalls += delta
	s.openBytes += size
	call.callerConn.openCalls += delta
	call.callerConn.openBytes += size
}

// mayClaimCall reports whether a connection may claim another call that is not known here.
func (s *Server) mayClaimCall(caller *callerConn) bool {
	return withinShare(s.cfg.MaxOpenCalls, s.adoptedCalls, caller.adoptedCalls)
}
