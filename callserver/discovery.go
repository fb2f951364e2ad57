package callserver

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"finchlatch/feed"
	"finchlatch/logic"
	"finchlatch/office"
)

// loadSnapshot applies the snapshot from the configuration.
func (s *Server) loadSnapshot(snapshot feed.Snapshot) {
	s.position = snapshot.Pos
	var offices []logic.Office
	for i := range snapshot.Entries {
		for _, known := range s.applyMembers(&snapshot.Entries[i].Hosts) {
			offices = slices.DeleteFunc(offices, func(old logic.Office) bool { return old.ID == known.ID })
			offices = append(offices, known)
		}
	}
	s.controller.UpdateOffices(s.now, logic.ListRestored, offices)
	s.connectToOffices()
}

// applyDiscoveryEvent applies a numbered event. Old events are skipped. After a gap, an event that is not a snapshot makes
// the stream start again.
func (s *Server) applyDiscoveryEvent(event *feed.Event) {
	if event.Pos <= s.position {
		return
	}
	if event.Pos > s.position+1 && !event.Hosts.Complete {
		s.log(slog.LevelWarn, "gap in service discovery events", slog.Uint64("from", s.position), slog.Uint64("to", event.Pos))
		s.position = 0
		s.emit(RequestDiscovery{})
		return
	}
	s.position, s.discoveryChangedAt = event.Pos, s.now
	kind := logic.ListUpdate
	if event.Hosts.Complete {
		kind = logic.ListReplace
		s.removeUnlisted(event.Hosts.Members)
	}
	s.controller.UpdateOffices(s.now, kind, s.applyMembers(&event.Hosts))
	s.connectToOffices()
}

// removeUnlisted marks offices that a snapshot does not contain as gone.
func (s *Server) removeUnlisted(members []feed.Member) {
	for _, remote := range s.sortedOffices() {
		if remote.state != logic.Gone && !slices.ContainsFunc(members, func(m feed.Member) bool { return m.ID == remote.id }) {
			s.officeLeaving(remote, logic.Gone)
		}
	}
}

// sortedOffices returns the offices in the order of their IDs.
func (s *Server) sortedOffices() []*remoteOffice {
	all := make([]*remoteOffice, 0, len(s.offices))
	for _, remote := range s.offices {
		all = append(all, remote)
	}
	slices.SortFunc(all, func(a, b *remoteOffice) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return all
}

// stateByPhase maps the states of offices in service discovery to those of the Controller. Updates list only offices that have
// changed, so an office in state Deleted is listed, too.
var stateByPhase = map[feed.Phase]logic.OfficeState{feed.Serving: logic.Ready, feed.Draining: logic.Draining,
	feed.Deleted: logic.Gone}

// applyMembers applies the entries of an event (its members) to the known offices and returns them in the Controller's form.
func (s *Server) applyMembers(hosts *feed.Hosts) []logic.Office {
	offices := make([]logic.Office, 0, len(hosts.Members))
	var added []*remoteOffice
	for _, member := range hosts.Members {
		startedAt := time.Duration(member.UpSince) * time.Millisecond
		state := stateByPhase[member.Phase]
		offices = append(offices, logic.Office{ID: member.ID, Exchange: member.Cell, State: state, Started: startedAt})
		remote := s.offices[member.ID]
		if remote == nil {
			if state == logic.Gone {
				s.recordGone(member.ID)
				s.endUnlistedClaims(member.ID)
				continue
			}
			delete(s.goneAt, member.ID)
			remote = &remoteOffice{id: member.ID, addr: member.Addr, startedAt: startedAt, listedAt: s.now, exchange: member.Cell,
				address: s.processesAt(member.Addr), pendingReleases: slices.Concat(s.unlisted.take(member.ID), s.unlisted.take(member.Addr))}
			s.offices[member.ID] = remote
			added = append(added, remote)
		}
		s.log(slog.LevelInfo, "office", slog.String("office", member.ID), slog.String("state", string(member.Phase)),
			slog.Int("cell", member.Cell), slog.Int64("up_since_ms", member.UpSince))
		remote.exchange = member.Cell
		if member.Addr != "" && member.Addr != remote.addr && state != logic.Gone {
			remote.addr, remote.address = member.Addr, s.processesAt(member.Addr)
		}
		if remote.startedAt != startedAt {
			previous := remote.since()
			remote.startedAt = startedAt
			s.officeRestarted(remote, previous)
		}
		if state == logic.Ready {
			remote.state = logic.Ready
		} else if remote.state != state {
			s.officeLeaving(remote, state)
		}
	}
	for _, remote := range added {
		s.takeOverCalls(remote)
		s.attachClaims(remote)
	}
	return offices
}

// officeRestarted drops the calls and connections of an office's earlier process, which had started at a previous time. Those from
// after the restart are kept.
func (s *Server) officeRestarted(remote *remoteOffice, previousStart time.Duration) {
	s.officeReplaced(remote, previousStart, remote.startedAt, "its office has restarted")
	for _, conn := range slices.Clone(remote.conns) {
		if conn.up && conn.upOrDialledAt < remote.startedAt {
			s.abortConn(conn, "the office has restarted")
		}
	}
	remote.dialFailures, remote.reconnectAt = 0, 0
}

// officeLeaving handles an office that is draining or gone. Nothing new may be sent to it once the grace time is over (rule 3).
// The grace time counts from the announcement, which was before now, and bytes that are already queued take time to be sent.
// So unsent set-ups are discarded after half of it.
func (s *Server) officeLeaving(remote *remoteOffice, state logic.OfficeState) {
	if remote.state == logic.Ready {
		s.armTimer(s.cfg.Settings.DrainGrace/2, timer{kind: timerDrainGrace, officeID: remote.id})
	}
	remote.state = state
	if state == logic.Gone {
		s.recordGone(remote.id)
		s.officeReplaced(remote, remote.since(), s.successorStart(remote), "service discovery reports its office as gone")
		s.handOverCalls(remote)
		s.cleanUpGoneOffice(remote)
	}
}

// goneRetention is how long an office that is gone is remembered: callers come back to a call server that has started again within seconds.
const goneRetention = 30 * time.Second

// recordGone remembers that an office was reported as gone, and forgets those for which that was long ago.
func (s *Server) recordGone(officeID string) {
	maps.DeleteFunc(s.goneAt, func(_ string, at time.Duration) bool { return s.now-at >= goneRetention })
	s.goneAt[officeID] = s.now
}

// drainGraceExpired ends the attempts that still wait for a connection to a draining or gone office.
func (s *Server) drainGraceExpired(id string) {
	remote := s.offices[id]
	if remote == nil || remote.state == logic.Ready {
		return
	}
	waiting := remote.waitingCalls
	remote.waitingCalls = nil
	for _, call := range waiting {
		s.attemptEnded(call, logic.Outcome{Status: logic.NotSent})
	}
	for _, conn := range slices.Clone(remote.conns) {
		if conn.writeBlocked {
			s.abortConn(conn, "unsent set-ups to an office that is draining or gone")
		}
	}
}

// dropEstablishedCalls ends the calls that were established at an office whose process has ended.
func (s *Server) dropEstablishedCalls(remote *remoteOffice, why string) {
	if remote.establishedCalls == 0 {
		return
	}
	s.log(slog.LevelInfo, "established calls dropped with their office", slog.String("office", remote.id),
		slog.Int("calls", remote.establishedCalls), slog.String("why", why))
	for _, call := range s.establishedAt(remote) {
		s.endEstablished(call, logic.Reset, office.CauseTemporary, nil, why)
	}
}

// cleanUpGoneOffice closes the unused connections of an office that is gone, and removes it once nothing refers to it.
func (s *Server) cleanUpGoneOffice(remote *remoteOffice) {
	if remote.state != logic.Gone || s.offices[remote.id] != remote {
		return
	}
	for _, conn := range slices.Clone(remote.conns) {
		if len(conn.outstandingCalls) == 0 {
			s.logConn("office's connection closed", conn, "its office is gone")
			s.emit(Close{Conn: conn.id, Linger: len(conn.unacknowledged) > 0})
			s.unregisterConn(conn)
		}
	}
	if len(remote.conns) == 0 && len(remote.waitingCalls) == 0 && remote.establishedCalls == 0 {
		s.logCounts(remote)
		delete(s.offices, remote.id)
	}
}

// connectToOffices opens a connection to each office that has no idle one, as ensureIdleConn permits. An office reports its
// group state on every new connection.
func (s *Server) connectToOffices() {
	for _, remote := range s.sortedOffices() {
		s.ensureIdleConn(remote)
	}
}

// logCounts logs the outcomes of the attempts at an office.
func (s *Server) logCounts(remote *remoteOffice) {
	counts := remote.counts
	s.log(slog.LevelInfo, "office's counts", slog.String("office", remote.id), slog.Uint64("sent", counts.sent),
		slog.Uint64("sent_cold", counts.sentCold), slog.Uint64("stood", counts.established),
		slog.Uint64("full", counts.full), slog.Uint64("faulted", counts.faulted), slog.Uint64("timed_out", counts.timedOut),
		slog.Uint64("reset", counts.reset), slog.Uint64("no_connect", counts.noConnect), slog.Uint64("not_sent", counts.notSent),
		slog.Uint64("cancelled", counts.cancelled),
		slog.Uint64("given_up", counts.givenUp), slog.Uint64("handed_over", counts.handedOver), slog.Int("standing", remote.establishedCalls),
		slog.Int("pending_releases", len(remote.pendingReleases)), slog.Int("connections", len(remote.conns)))
}

// LogTotals logs the totals of this process and the counts of each office.
func (s *Server) LogTotals() {
	totals := s.totals
	open, established := s.CallCounts()
	s.log(slog.LevelInfo, "totals", slog.Uint64("offered", totals.Offered), slog.Uint64("stood", totals.Established),
		slog.Uint64("refused", totals.Refused), slog.Uint64("failed", totals.Failed),
		slog.Uint64("hung_up", totals.HungUp), slog.Uint64("departed", totals.SentAfterHangUp),
		slog.Duration("list_age", s.now-s.discoveryChangedAt),
		slog.Uint64("unreadable", totals.RejectedMessages), slog.Int("open", open),
		slog.Int("standing", established), slog.Int("pending_releases", s.callerReleases.waiting()),
		slog.Int("callers", len(s.callerConns)), slog.Int("offices", len(s.officeConns)))
	for _, remote := range s.sortedOffices() {
		s.logCounts(remote)
	}
}
