package callserver

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
)

// exchange is one office: a process with an id of its own. Its address may have belonged to another one before.
type exchange struct {
	id, addr string
	cell     int
	state    logic.OfficeState
	started  time.Duration
	assocs   []*assoc
	waiting  []*call // attempts without a connection yet
	standing int
	load     string        // state of its group as it was told last,
	teller   *assoc        // and the connection that told it first
	owed     []release     // of calls that stood, for the next connection
	lost     time.Duration // when a connection last ended or fell into doubt
	watched  bool          // a look at its connections is due
	failures int           // connections that did not come up, in a row
	redialAt time.Duration
	count    count
}

// count is what passed between us and an office.
type count struct{ sent, cold, stood, full, faulted, timedOut, reset, noConnect, notSent, cancelled uint64 }

func (c *count) add(s logic.Status) {
	switch s {
	case logic.Full:
		c.full++
	case logic.Faulted:
		c.faulted++
	case logic.TimedOut:
		c.timedOut++
	case logic.Reset:
		c.reset++
	case logic.NoConnect:
		c.noConnect++
	case logic.NotSent:
		c.notSent++
	case logic.Cancelled:
		c.cancelled++
	}
}

// assoc is one connection to an office.
type assoc struct {
	id       ConnID
	to       *exchange
	in       office.Framer
	up       bool
	stuck    bool // bytes wait that TCP does not take
	shut     bool // from our side: only what was on its way still comes
	doubtful bool // an answer is missing on it: it gets nothing new, and is closed when nothing is open on it
	open     []*call
	born     time.Duration
	heard    time.Duration // when the last bytes came
	messages int
	releases unheard
}

// How connections to offices are kept; these are limits on sockets, not on calls.
const (
	firstRedial = 50 * time.Millisecond
	lastRedial  = time.Second
	endWithin   = 250 * time.Millisecond // the rest of a message of 16 KiB at most comes at once, or never
	mostPerDest = 24
	lookEvery   = 400 * time.Millisecond // at connections that may be dead: a release must be passed on within 1 s,
	slowAnswer  = 250 * time.Millisecond // and one that owes an answer for so long may be
	spareConns  = 2                      // more that are idle make room for a fresh one
	shutWithin  = time.Second            // an office that is there closes at once
	shutPart    = 8                      // one in so many of the offices' descriptors may be of connections that are shut
)

// share is how many connections an office may have.
func (s *Server) share() int {
	live := 1
	for _, x := range s.offices {
		if x.state != logic.Gone {
			live++
		}
	}
	return min(mostPerDest, max(1, s.cfg.Offices/live))
}

// best is the connection for something new: the one with the least open on it.
func (x *exchange) best(not ...ConnID) *assoc {
	var best *assoc
	for _, a := range x.assocs {
		if a.up && !a.stuck && !a.doubtful && !a.shut && !slices.Contains(not, a.id) && (best == nil || len(a.open) < len(best.open)) {
			best = a
		}
	}
	return best
}

// assign gives an attempt a connection, or lets it wait for one. A spoilt answer takes with it what is open on its
// connection, so each set-up has one of its own as far as descriptors go; one is kept ready. An attempt never goes
// out on a connection of an earlier one of its call: a late answer to that one would be taken for its own.
func (s *Server) assign(k *call) {
	x := k.at
	if a := x.best(k.past...); a != nil {
		s.setUp(a, k)
	} else {
		x.waiting = append(x.waiting, k)
		x.redialAt = 0
	}
	s.spare(x)
}

// connections counts those to an office that can still carry something new.
type connections struct {
	kept, dialling, idle int
	oldest               *assoc // idle one
}

func (x *exchange) connections() (n connections) {
	for _, a := range x.assocs {
		if a.shut {
			continue
		}
		n.kept++
		switch {
		case !a.up:
			n.dialling++
		case len(a.open) == 0 && !a.doubtful && !a.stuck:
			if n.idle++; n.oldest == nil {
				n.oldest = a
			}
		}
	}
	return n
}

// spare sees to it that an office has a connection for the next attempt.
func (s *Server) spare(x *exchange) {
	if x.state == logic.Gone || x.cell == s.cfg.Settings.Home && !s.cfg.Settings.Pools {
		return
	}
	n := x.connections()
	if n.dialling > 0 || n.idle > 0 && len(x.waiting) == 0 || n.kept >= s.share()+len(x.waiting) || s.now < x.redialAt {
		return
	}
	s.dial(x)
}

func (s *Server) dial(x *exchange) {
	s.lastConn++
	a := &assoc{id: s.lastConn, to: x, born: s.now}
	x.assocs, s.assocs[a.id] = append(x.assocs, a), a
	s.trace("dial", "", x.id, a.id, "", 0)
	s.emit(Dial{Conn: a.id, Addr: x.addr, Within: s.cfg.ConnectTimeout})
}

// watch looks at an office's connections from now on while there is something to see.
func (s *Server) watch(x *exchange) {
	if !x.watched {
		x.watched = true
		s.arm(lookEvery, timer{kind: timerLook, at: x.id})
	}
}

// ended takes the news that a connection is no more, or in doubt. What its office wrote on it last may be lost.
func (s *Server) ended(x *exchange) {
	x.lost = s.now
	s.renew(x)
	s.watch(x)
}

// look opens a fresh connection where a release may have been lost since the last look, or may be lost now.
func (s *Server) look(id string) {
	x := s.offices[id]
	if x == nil {
		return
	}
	x.watched = false
	open, slow := false, false
	for _, a := range x.assocs {
		for _, k := range a.open {
			open, slow = true, slow || s.now-k.sent >= slowAnswer
		}
	}
	lost := x.lost > 0 && s.now-x.lost <= 2*lookEvery
	if lost || slow {
		s.renew(x)
	}
	if lost || open {
		s.watch(x)
	}
}

// renew opens a connection beside those that are up. An office writes a release on the connection of its set-up or on
// any that is open, and again on the next one that is opened: the danger is that the first is dead, and no other is
// opened while idle ones are at hand, so that the caller of a call that is over is not told in time.
func (s *Server) renew(x *exchange) {
	if x.standing == 0 || x.state == logic.Gone || s.now < x.redialAt {
		return
	}
	n := x.connections()
	if n.dialling > 0 {
		return
	}
	if n.idle >= spareConns {
		s.shut(n.oldest)
	} else if n.kept >= s.share() {
		return
	}
	s.dial(x)
}

// shut ends a connection on which nothing is open. A release may be on its way on it this very moment, which its office
// says nowhere else: so it is read on until the office closes it, too.
func (s *Server) shut(a *assoc) {
	if a.stuck || !a.up || s.shuts >= s.cfg.Offices/shutPart {
		s.end(a)
		return
	}
	a.shut = true
	s.shuts++
	s.trace("shut", "", a.to.id, a.id, "", len(a.open))
	s.emit(Shut{Conn: a.id})
	s.arm(shutWithin, timer{kind: timerShut, id: uint64(a.id)})
}

// endShut closes a connection whose office has not closed it.
func (s *Server) endShut(id ConnID) {
	if a := s.assocs[id]; a != nil {
		s.end(a)
	}
}

// end closes a connection.
func (s *Server) end(a *assoc) {
	s.emit(Close{Conn: a.id})
	s.remove(a)
}

// redial tries again to reach an office.
func (s *Server) redial(id string) {
	if x := s.offices[id]; x != nil && s.now >= x.redialAt {
		s.spare(x)
	}
}

// setUp writes the set-up of an attempt.
func (s *Server) setUp(a *assoc, k *call) {
	k.on, k.written = a, true
	s.watch(a.to)
	a.open = append(a.open, k)
	left := max(1, int((k.deadline-s.now)/time.Millisecond))
	s.send(a, &office.Message{Type: office.SetUp, Call: k.wire, Class: k.name, Wait: left, Number: k.number,
		Description: k.description})
}

func (s *Server) send(a *assoc, m *office.Message) {
	b, err := office.Append(nil, m)
	if err != nil {
		s.log(slog.LevelError, "message that cannot be written", slog.String("err", err.Error()))
		return
	}
	s.traceOffice("to office", a, m)
	s.emit(Write{Conn: a.id, Bytes: b})
}

// connected takes the news that a connection to an office is up: what waits goes out on it.
func (s *Server) connected(id ConnID) {
	a := s.assocs[id]
	if a == nil {
		s.emit(Close{Conn: id})
		return
	}
	a.up, a.born = true, s.now
	s.trace("connected", "", a.to.id, id, "", 0)
	x := a.to
	x.failures = 0
	owed := x.owed
	x.owed = nil
	for _, r := range owed {
		s.releaseAt(x, nil, r.wire, r.cause)
	}
	waiting := x.waiting
	x.waiting = nil
	for _, k := range waiting {
		s.assign(k)
	}
	s.spare(x)
}

// failed takes the news that a connection did not come up: nothing that waited for it ran.
func (s *Server) failed(id ConnID, refused bool) {
	a := s.assocs[id]
	if a == nil {
		return
	}
	x := a.to
	s.log(slog.LevelInfo, "office not reached", slog.String("office", x.id), slog.Bool("refused", refused))
	s.remove(a)
	pause := min(firstRedial<<min(x.failures, 8), lastRedial)
	x.failures++
	x.redialAt = s.now + pause
	s.arm(pause, timer{kind: timerRedial, at: x.id})
	waiting := x.waiting
	x.waiting = nil
	for _, k := range waiting {
		if b := x.best(k.past...); b != nil {
			s.setUp(b, k)
			continue
		}
		s.over(k, logic.Outcome{Status: logic.NoConnect})
	}
	if refused && !x.anyUp() { // the process has ended, and with it what stood there
		s.cutStanding(x, s.now)
	}
	s.tidy(x)
}

func (x *exchange) anyUp() bool {
	return slices.ContainsFunc(x.assocs, func(a *assoc) bool { return a.up && !a.shut })
}

// remove forgets a connection, and its office if that is gone.
func (s *Server) remove(a *assoc) {
	s.drop(a)
	s.tidy(a.to)
}

func (s *Server) drop(a *assoc) {
	s.trace("connection forgotten", "", a.to.id, a.id, "", len(a.open))
	delete(s.assocs, a.id)
	if a.shut {
		s.shuts--
	}
	a.to.assocs = slices.DeleteFunc(a.to.assocs, func(o *assoc) bool { return o == a })
}

// assocGone ends what was open on a connection that has ended. Calls that stand belong to no connection.
func (s *Server) assocGone(a *assoc) {
	x := a.to
	s.remove(a)
	if a.shut {
		return
	}
	for _, r := range a.releases.lost(s.now) {
		s.releaseAt(x, nil, r.wire, r.cause)
	}
	open := a.open
	a.open = nil
	for _, k := range open {
		s.over(k, logic.Outcome{Status: logic.Reset})
	}
	s.ended(x)
	s.spare(x)
}

// spoilt closes a connection that cannot be followed any further.
func (s *Server) spoilt(a *assoc, why string) {
	s.log(slog.LevelInfo, "office's connection closed", slog.String("office", a.to.id), slog.String("why", why),
		slog.Int("open", len(a.open)))
	s.emit(Close{Conn: a.id, Now: true})
	s.assocGone(a)
}

// doubtSince takes a connection out of use on which an attempt sent at a time got no answer, and with it all others
// to an office of which nothing at all was heard since: connections of a machine that vanished stay open, and each
// would cost a trial. What the machine's return brings comes on new ones.
func (s *Server) doubtSince(a *assoc, sent time.Duration) {
	x := a.to
	heard := slices.ContainsFunc(x.assocs, func(o *assoc) bool { return o.heard > sent })
	for _, o := range slices.Clone(x.assocs) {
		if o == a || !heard && o.up && o.born <= sent {
			o.doubtful = true
			s.retire(o)
		}
	}
	s.spare(x)
}

// retire closes a connection that gets nothing new, once nothing is open on it.
func (s *Server) retire(a *assoc) {
	if a.doubtful && !a.shut && len(a.open) == 0 && s.assocs[a.id] == a {
		s.shut(a)
		s.ended(a.to)
	}
}

// stuck takes the news that TCP takes no more bytes of a connection, or does again.
func (s *Server) stuck(id ConnID, on bool) {
	if a := s.assocs[id]; a != nil {
		a.stuck = on
		if on {
			s.spare(a.to)
		}
	}
}

// fromOffice takes bytes of an office.
func (s *Server) fromOffice(a *assoc, b []byte) {
	a.heard = s.now
	a.in.Write(b)
	for s.assocs[a.id] == a {
		m, err := a.in.Next()
		if err != nil {
			s.spoilt(a, err.Error())
			return
		}
		if m == nil {
			break
		}
		a.messages++
		s.officeMessage(a, m)
	}
	if s.assocs[a.id] == a && a.in.Waiting() > 0 {
		s.arm(endWithin, timer{kind: timerAssoc, id: uint64(a.id), n: a.messages})
	}
}

// checkAssoc closes a connection whose message has not ended.
func (s *Server) checkAssoc(id ConnID, messages int) {
	if a := s.assocs[id]; a != nil && a.in.Waiting() > 0 && a.messages == messages {
		s.spoilt(a, "a message without an end")
	}
}

// officeMessage takes one message of an office.
func (s *Server) officeMessage(a *assoc, m *office.Message) {
	s.traceOffice("from office", a, m)
	switch m.Type {
	case office.Answer:
		if k := a.find(m.Call); k != nil {
			if !office.GoodDescription(m.Description) {
				s.send(a, &office.Message{Type: office.Release, Call: m.Call, Cause: office.CauseNormal, HasCause: true})
				s.spoilt(a, "a description that cannot be read")
				return
			}
			s.stands(k, m)
			s.retire(a)
		}
	case office.Release:
		s.released(a, m)
	case office.Heard:
		a.releases.heard(m.Call)
	case office.GroupState:
		load, err := m.Values(s.cfg.Settings.ReportFields)
		if err != nil {
			s.spoilt(a, err.Error())
			return
		}
		// A change is told on each connection. A copy that comes after a set-up of ours would bring back the circuit
		// that it has just taken.
		if x := a.to; m.Load == x.load && x.teller != a && s.assocs[x.teller.id] == x.teller {
			return
		}
		a.to.load, a.to.teller = m.Load, a
		s.ctl.Report(s.now, logic.Report{Office: a.to.id, OK: !m.HasCause || m.Cause == 1, Load: load})
	case office.TestReport:
		load, err := m.Values(s.cfg.Settings.ReportFields)
		s.probeOver(m.Call, logic.Report{OK: err == nil && m.HasCause && m.Cause == 1, Load: load})
	}
}

// find is the call whose attempt is out on a connection.
func (a *assoc) find(wire uint64) *call {
	for _, k := range a.open {
		if k.wire == wire {
			return k
		}
	}
	return nil
}

// released takes a release: the end of an attempt, or of a call that stands.
func (s *Server) released(a *assoc, m *office.Message) {
	load, err := m.Values(s.cfg.Settings.ReportFields)
	if err != nil {
		s.spoilt(a, err.Error())
		return
	}
	k := s.byID[m.Call]
	if k != nil && k.at == a.to && k.state == settingUp && m.HasCause && m.Cause == office.CauseNormal {
		s.missed(k, a, load) // so ends only what has stood
		return
	}
	if k := a.find(m.Call); k != nil {
		o := logic.Outcome{Status: logic.Reset, Note: notes[m.Note], Load: load}
		if status, ok := statuses[m.Cause]; ok && m.HasCause {
			o.Status = status
		}
		s.over(k, o)
		s.retire(a)
		return
	}
	if k == nil || k.at != a.to || k.state == settingUp {
		return // of a call that is over already, or of an attempt that is
	}
	if s.ofEarlier(k, a, m.Cause) {
		return
	}
	status := logic.Reset
	if m.HasCause && m.Cause == office.CauseNormal {
		status = logic.Ended
	}
	s.endStanding(k, status, max(1, m.Cause), load)
}

// ofEarlier tells whether a release on a connection of an earlier attempt is of that one, while the call stands by a later
// attempt. What stands ends with the normal cause or is cut (41). A cut may also be the word on an attempt that was given
// up, which crosses our release; on an attempt whose end was told there is nothing left to say.
func (s *Server) ofEarlier(k *call, a *assoc, cause byte) bool {
	if !slices.Contains(k.past, a.id) || cause == office.CauseNormal || k.on == nil || s.assocs[k.on.id] != k.on {
		return false
	}
	return cause != office.CauseTemporary || slices.Contains(k.untold, a.id) && s.now-k.stood < hearWithin
}

// statuses are the endings that the causes of a release before the answer stand for; any other is a reset.
var statuses = map[byte]logic.Status{office.CauseNoCircuit: logic.Full, office.CauseBusy: logic.Faulted,
	office.CauseResource: logic.Faulted, office.CauseTimer: logic.NotSent, office.CauseTemporary: logic.Reset}

// notes are what the notes of a release tell.
var notes = map[string]int{"blocked": logic.NoteCircuit, "bounced": logic.NoteTurnedBack, "swamped": logic.NoteProcessor,
	"occupied": logic.NoteBusy, "far_swamped": logic.NoteBeyondFull}

// releaseOffice releases a call that stands at its office, on the connection of its set-up or on any other.
func (s *Server) releaseOffice(k *call, cause byte) { s.releaseAt(k.at, k.on, k.wire, cause) }

func (s *Server) releaseAt(x *exchange, a *assoc, wire uint64, cause byte) {
	if a == nil || s.assocs[a.id] != a || a.stuck || a.shut {
		a = x.best()
	}
	if a == nil {
		if x.state != logic.Gone {
			x.owed = append(x.owed, release{wire: wire, cause: cause})
			s.spare(x)
		}
		return
	}
	a.releases.add(release{at: s.now, wire: wire, cause: cause})
	s.send(a, &office.Message{Type: office.Release, Call: wire, Cause: cause, HasCause: true})
}
