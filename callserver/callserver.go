// Package callserver is the platform's call server without sockets: callers' set-ups in the form of SIP, attempts at
// offices in binary messages, the list of offices from the journal service, and one Controller of package logic that
// decides about all of them. Events and the time go in, effects come out; it has no sockets, files, clock or
// goroutines, and decides nothing about calls itself.
package callserver

import (
	"fmt"
	"log/slog"
	"time"

	"finchlatch/feed"
	"finchlatch/internal/timing"
	"finchlatch/liveness"
	"finchlatch/logic"
	"finchlatch/office"
)

// Config is what a Server is made from.
type Config struct {
	Settings       logic.Settings // without Host
	Seed           int64
	ConnectTimeout time.Duration
	MaxOpen        int // most set-ups open at once
	Callers        int // most connections from callers
	Offices        int // most connections to offices
	LogLevel       slog.Level
}

// Input is one thing that a Server is told, as data. Which fields count depends on the kind.
type Input struct {
	At      time.Duration // Unix time
	Kind    InputKind
	Conn    ConnID
	From    string
	Refused bool
	Reset   bool // not by an orderly close: what was written last may not have been read
	On      bool
	Bytes   []byte        // not kept
	Waited  time.Duration // how long bytes, or an end, waited in this process: the callers have waited as long
	Events  []feed.Event
	Until   time.Duration // Unix time
}

// Server is one call server. It is not safe for concurrent use; two Servers share nothing.
type Server struct {
	cfg                Config
	controller         *logic.Controller
	classIndex         map[string]int
	now                time.Duration
	inputDelay         time.Duration
	timers             timing.Timers[timer]
	lastConnID         ConnID
	callerConns        map[ConnID]*callerConn
	officeConns        map[ConnID]*officeConn
	halfClosedConns    int                    // of officeConns, are shut
	calls              map[uint64]*activeCall // by the Controller's number
	callsByWireID      map[uint64]*activeCall // by the id on the wire: open and standing
	openCalls          int                    // calls without a final answer
	lastCallID         uint64
	endsAt             time.Duration // when this process ends; 0: not known
	recentDrops        liveness.Cuts
	failedSetUps       []*activeCall            // set-ups that were released as broken lately
	unclaimed          unclaimedReleases        // releases of calls that nobody has named yet
	announcedStarts    map[string]time.Duration // starts of offices by address, as the events tell that are being taken
	byesConfirmed      bool                     // callers say that they heard a release
	adoptedCalls       int                      // calls that were taken up as they stood
	offices            map[string]*remoteOffice
	probes             map[uint64]*probe
	pendingReleases    []release // releases that no caller's connection could carry yet
	position           uint64    // of the last event of the journal
	startedAt          time.Duration
	discoveryChangedAt time.Duration // when the list last changed
	ready              bool          // a test has been passed
	deferred           []func()
	afterConfirm       []func() // ends of attempts whose releases are not known to be written yet
	effects            []Effect
	returnedEffects    []Effect
	totals             totals
}

// totals count what was answered.
type totals struct {
	Offered, Established, Refused, Failed, HungUp, Malformed uint64
	SentAfterHangUp                                          uint64 // of those that hung up: an attempt began after they had gone
}

type timer struct {
	kind           timerKind
	controllerMark string
	id             uint64 // call, connection or probe
	arg            int    // attempt
	officeID       string // office
}

type timerKind byte

const (
	timerController        timerKind = iota // of the Controller
	timerAttemptTimeout                     // the time-out of an attempt
	timerCheckCaller                        // a caller's connection has had time to say something whole
	timerUnfinishedMessage                  // a message of an office has had time to end
	timerRedial
	timerHalfClosed // a connection that was shut has had time to end
	timerCheckConns // at connections to an office that may be dead
	timerDrainGrace // what has not gone out to a draining office by now must not go out any more
	timerProbeTimeout
	timerHealthCheck      // an office's health is to be checked
	timerVerifyCalls      // an office's calls are to be counted
	timerRepeatBye        // a release toward a caller has had time to be heard
	timerSuccessorTimeout // the list has had time to name the office that has the address of one that is gone
	timerCheckAdopted     // a standing call at an office that no list has named
)

// New makes a Server, or tells which setting is wrong.
func New(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, classIndex: map[string]int{}, callerConns: map[ConnID]*callerConn{}, officeConns: map[ConnID]*officeConn{},
		calls: map[uint64]*activeCall{}, callsByWireID: map[uint64]*activeCall{}, offices: map[string]*remoteOffice{}, probes: map[uint64]*probe{}}
	for i, class := range cfg.Settings.Classes {
		if _, duplicate := s.classIndex[class.Name]; duplicate {
			return nil, fmt.Errorf("callserver: class %q stands twice", class.Name)
		}
		s.classIndex[class.Name] = i
	}
	settings := cfg.Settings
	settings.Host = host{s}
	var err error
	if s.controller, err = logic.New(settings, cfg.Seed); err != nil {
		return nil, fmt.Errorf("callserver: %w", err)
	}
	return s, nil
}

// Start begins work with the list of offices as it is known.
func (s *Server) Start(now time.Duration, snapshot feed.Known) {
	s.now, s.startedAt, s.discoveryChangedAt = now, now, now
	s.loadSnapshot(snapshot)
	s.runDeferred()
}

// Apply tells a Server of an input.
func (s *Server) Apply(in Input) {
	s.now = max(s.now, in.At)
	switch in.Kind {
	case InAccepted:
		s.callerAccepted(in.Conn, in.From)
	case InConnected:
		s.officeConnected(in.Conn)
	case InFailed:
		s.dialFailed(in.Conn, in.Refused)
	case InClosed:
		s.inputDelay = max(0, in.Waited)
		s.connClosed(in.Conn, in.Reset)
		s.inputDelay = 0
	case InReceive:
		s.inputDelay = max(0, in.Waited)
		s.receive(in.Conn, in.Bytes)
		s.inputDelay = 0
	case InStuck:
		s.setWriteBlocked(in.Conn, in.On)
	case InLeave:
		s.endsAt = in.Until
	case InJournal:
		s.announcedStarts = announcedStartTimes(in.Events)
		for i := range in.Events {
			s.applyDiscoveryEvent(&in.Events[i])
		}
		s.announcedStarts = nil
	case InWritten:
		s.deferred, s.afterConfirm = append(s.deferred, s.afterConfirm...), nil
	case InAdvance:
		for _, t, ok := s.timers.Pop(s.now); ok; _, t, ok = s.timers.Pop(s.now) {
			s.fireTimer(t)
			s.runDeferred()
		}
	}
	s.runDeferred()
}

// NewConn numbers a connection that has been accepted.
func (s *Server) NewConn() ConnID {
	s.lastConnID++
	return s.lastConnID
}

// Next tells when InAdvance has work; false: nothing waits.
func (s *Server) Next() (time.Duration, bool) { return s.timers.Next() }

// Effects gives what is to be carried out, in order, and forgets it. The slice is good until the next call.
func (s *Server) Effects() []Effect {
	clear(s.returnedEffects)
	s.effects, s.returnedEffects = s.returnedEffects[:0], s.effects
	return s.returnedEffects
}

// Pos is the number of the last event of the journal that has been taken.
func (s *Server) Pos() uint64 { return s.position }

// run tells the Controller what it must still be told.
func (s *Server) runDeferred() {
	for len(s.deferred) > 0 {
		f := s.deferred[0]
		s.deferred = s.deferred[1:]
		f()
	}
	s.deferred = nil
}

// later has the Controller told something after it has finished what it is doing.
func (s *Server) deferWork(f func()) { s.deferred = append(s.deferred, f) }

func (s *Server) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Server) log(level slog.Level, text string, attrs ...slog.Attr) {
	if level >= s.cfg.LogLevel {
		s.emit(Log{Level: level, Text: text, Attrs: attrs})
	}
}

// trace tells of one step of a call or a connection. With debug lines on, the id of a call can be followed from its caller
// to its offices and back.
func (s *Server) trace(text, kind, peer string, conn ConnID, callID string, code int) {
	if s.cfg.LogLevel <= slog.LevelDebug {
		if kind != "" {
			text += ": " + kind
		}
		s.emit(Log{Level: slog.LevelDebug, Text: text, Attrs: []slog.Attr{slog.String("peer", peer), slog.Uint64("conn", uint64(conn)),
			slog.String("call", callID), slog.Int("what", code)}})
	}
}

func (s *Server) traceOffice(text string, conn *officeConn, msg *office.Message) {
	if s.cfg.LogLevel <= slog.LevelDebug && msg.Type != office.GroupState { // told on every connection at every change
		s.trace(text, fmt.Sprintf("type %d cause %d", msg.Type, msg.Cause), conn.remote.id, conn.id, fmt.Sprintf("%016x", msg.Call), int(msg.Type))
	}
}

func (s *Server) armTimer(wait time.Duration, t timer) { s.timers.Arm(s.now+wait, t) }

func (s *Server) fireTimer(t timer) {
	switch t.kind {
	case timerController:
		s.controller.Timer(s.now, t.controllerMark)
	case timerAttemptTimeout:
		if call := s.calls[t.id]; call != nil && call.outstanding() && call.attempts-1 == t.arg {
			s.releaseAttempt(call, logic.TimedOut)
		}
	case timerCheckCaller:
		s.checkCaller(ConnID(t.id))
	case timerUnfinishedMessage:
		s.checkUnfinishedMessage(ConnID(t.id), t.arg)
	case timerHalfClosed:
		s.halfCloseExpired(ConnID(t.id))
	case timerRedial:
		s.redial(t.officeID)
	case timerCheckConns:
		s.checkConns(t.officeID)
	case timerDrainGrace:
		s.drainGraceExpired(t.officeID)
	case timerProbeTimeout:
		s.finishProbe(t.id, logic.Report{})
	case timerHealthCheck:
		s.checkHealth(t.officeID)
	case timerVerifyCalls:
		s.verifyCalls(t.officeID)
	case timerRepeatBye:
		s.repeatBye(ConnID(t.arg), t.id)
	case timerSuccessorTimeout:
		s.successorTimedOut(t.officeID)
	case timerCheckAdopted:
		s.checkAdopted(t.id)
	}
}

func (s *Server) receive(id ConnID, data []byte) {
	if caller := s.callerConns[id]; caller != nil {
		s.receiveFromCaller(caller, data)
	} else if conn := s.officeConns[id]; conn != nil {
		s.receiveFromOffice(conn, data)
	}
}

func (s *Server) connClosed(id ConnID, reset bool) {
	if caller := s.callerConns[id]; caller != nil {
		s.callerConnEnded(caller)
	} else if conn := s.officeConns[id]; conn != nil {
		s.officeConnEnded(conn, reset, "closed by the other end")
	}
}

// Held tells how many calls have no final answer yet, and how many stand.
func (s *Server) Held() (open, established int) {
	return s.openCalls, len(s.callsByWireID) - s.openCalls
}
