// Package callserver implements the platform's call server as a state machine without I/O. The platform is the system that
// call servers are deployed in: callers, offices and service discovery, which are processes of others, and the protocols
// between them. A Server takes SIP set-ups from callers, makes attempts at remote offices over the binary office protocol
// and follows service discovery; one Controller of package logic makes every decision about calls. Inputs carry the time,
// effects are returned to be carried out. The package has no sockets, files, clock or goroutines.
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

// Config holds the settings and limits of a Server.
type Config struct {
	Settings       logic.Settings // Host is set by New
	Seed           int64
	ConnectTimeout time.Duration // of a connection to an office, and of a health check that the Controller asks for
	// MaxOpenCalls is two separate limits: of calls without a final answer (0: no limit), and of adopted calls (0: none).
	MaxOpenCalls   int
	MaxOpenBytes   int // that calls without a final answer take; 0: no limit
	MaxCallerConns int // maximum number of connections from callers
	// MaxOfficeConns is the number of connections to offices that is shared between them. Additional connections may exceed
	// it by 1/halfClosedDivisor, and an office's share is exceeded by one for each call that waits for a connection.
	MaxOfficeConns int
	LogLevel       slog.Level
}

// Input is one event for a Server. Kind tells which of the other fields are set.
type Input struct {
	At      time.Duration // Unix time
	Kind    InputKind
	Conn    ConnID
	From    string        // remote address of an accepted connection
	Refused bool          // the peer refused the connection: no process listens at its address
	Reset   bool          // the connection ended without an orderly close: the peer may not have read the last bytes written
	Blocked bool          // whether writes on the connection are blocked
	Bytes   []byte        // not retained
	Left    bool          // the other end has closed the connection after it sent the bytes
	Delay   time.Duration // how long ago the bytes or the end of the connection reached this process
	Events  []feed.Event
	EndsAt  time.Duration // Unix time at which this process ends
}

// Server is one call server. It is not safe for concurrent use. Servers share no state.
type Server struct {
	cfg                Config
	controller         *logic.Controller
	classIndex         map[string]int // by class name
	now                time.Duration
	inputDelay         time.Duration // how long the current input waited in this process
	timers             timing.Timers[timer]
	timersCheckedAt    int // number of timers from which on those that no longer apply are removed
	lastConnID         ConnID
	callerConns        map[ConnID]*callerConn
	officeConns        map[ConnID]*officeConn
	halfClosedConns    int                    // number of officeConns that are half-closed and not retained
	callsByID          map[uint64]*activeCall // calls that the Controller knows, until their last attempt has ended
	callsByWireID      map[uint64]*activeCall // open and established calls, adopted ones too
	openCalls          int                    // calls without a final answer
	openBytes          int                    // that these take
	rejections         rejectionCount
	lastID             uint64                   // the last ID given to a call, a health check or a heartbeat
	endsAt             time.Duration            // when this process ends; 0: not known
	recentDrops        liveness.DropTracker     // when established calls were last dropped
	failedSetUps       []*activeCall            // set-ups that recently failed with the temporary-failure cause
	unclaimed          unclaimedReleases        // releases of calls that no caller has claimed yet
	endedCalls         endedCalls               // calls that are over, as their IDs may come again
	announcedStarts    map[string]time.Duration // start times of offices by address, from the events being applied
	byesAnswered       bool                     // callers have been seen to respond to BYE
	adoptedCalls       int                      // established calls of an earlier process that callers have claimed
	offices            map[string]*remoteOffice // by ID
	goneAt             map[string]time.Duration // when offices were reported as gone, by ID, for goneRetention
	unlisted           unlistedReleases         // releases for offices that are not listed
	healthChecks       map[uint64]*healthCheck  // outstanding ones, by the ID in their message
	callerReleases     callerReleases           // toward callers, until they count as heard
	position           uint64                   // in the stream of service discovery events
	startedAt          time.Duration
	discoveryChangedAt time.Duration // when service discovery last reported a change
	ready              bool          // an OPTIONS request has been answered with 200
	deferred           []func()      // runs after the current input
	afterWritten       []func()      // ends of attempts, to run once their releases have been written
	effects            []Effect      // not yet returned by Effects
	returnedEffects    []Effect      // returned by the last call of Effects
	totals             totals
}

// totals counts calls by how they were answered, and messages that were rejected.
type totals struct {
	Offered          uint64
	Established      uint64 // answered by an office
	Refused          uint64
	Failed           uint64
	HungUp           uint64
	RejectedMessages uint64 // messages of callers that were rejected
	SentAfterHangUp  uint64 // part of HungUp: an attempt had started after the caller hung up
}

// New returns a Server, or an error that names the invalid setting.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg:           cfg,
		classIndex:    map[string]int{},
		callerConns:   map[ConnID]*callerConn{},
		officeConns:   map[ConnID]*officeConn{},
		callsByID:     map[uint64]*activeCall{},
		callsByWireID: map[uint64]*activeCall{},
		offices:       map[string]*remoteOffice{},
		goneAt:        map[string]time.Duration{},
		healthChecks:  map[uint64]*healthCheck{},
	}
	for i, class := range cfg.Settings.Classes {
		if _, duplicate := s.classIndex[class.Name]; duplicate {
			return nil, fmt.Errorf("callserver: class %q is defined twice", class.Name)
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

// Start begins operation with the offices of a service discovery snapshot.
func (s *Server) Start(now time.Duration, snapshot feed.Snapshot) {
	s.now, s.startedAt, s.discoveryChangedAt = now, now, now
	s.loadSnapshot(snapshot)
	s.runDeferred()
}

// Apply handles one input.
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
		s.inputDelay = max(0, in.Delay)
		s.connClosed(in.Conn, in.Reset)
		s.inputDelay = 0
	case InReceive:
		s.inputDelay = max(0, in.Delay)
		if caller := s.callerConns[in.Conn]; caller != nil && in.Left {
			caller.left = true
		}
		s.receive(in.Conn, in.Bytes)
		s.inputDelay = 0
	case InWriteBlocked:
		s.setWriteBlocked(in.Conn, in.Blocked)
	case InDrain:
		s.endsAt = in.EndsAt
	case InDiscovery:
		s.announcedStarts = announcedStartTimes(in.Events)
		for i := range in.Events {
			s.applyDiscoveryEvent(&in.Events[i])
		}
		s.announcedStarts = nil
	case InWritten:
		s.deferred, s.afterWritten = append(s.deferred, s.afterWritten...), nil
	case InTimer:
		for _, t, ok := s.timers.Pop(s.now); ok; _, t, ok = s.timers.Pop(s.now) {
			s.fireTimer(t)
			s.runDeferred()
		}
	}
	s.runDeferred()
}

// NewConn returns the ID for a connection that has been accepted.
func (s *Server) NewConn() ConnID {
	s.lastConnID++
	return s.lastConnID
}

// NextTimer returns the time at which InTimer is due; false: no timer is armed.
func (s *Server) NextTimer() (time.Duration, bool) { return s.timers.Next() }

// Effects returns the effects to carry out, in order, and clears them. The slice is valid until the next call.
func (s *Server) Effects() []Effect {
	clear(s.returnedEffects)
	s.effects, s.returnedEffects = s.returnedEffects[:0], s.effects
	return s.returnedEffects
}

// Position returns the position of the last service discovery event that was applied.
func (s *Server) Position() uint64 { return s.position }

// runDeferred runs deferred work until none is left.
func (s *Server) runDeferred() {
	for len(s.deferred) > 0 {
		f := s.deferred[0]
		s.deferred = s.deferred[1:]
		f()
	}
	s.deferred = nil
}

// deferWork runs f after the current input, once the Controller has returned.
func (s *Server) deferWork(f func()) { s.deferred = append(s.deferred, f) }

func (s *Server) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Server) log(level slog.Level, text string, attrs ...slog.Attr) {
	if level >= s.cfg.LogLevel {
		s.emit(Log{Level: level, Text: text, Attrs: attrs})
	}
}

// trace logs one step of a call or a connection at debug level, so that a Call-ID can be followed from its caller to its
// offices and back.
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
	if s.cfg.LogLevel <= slog.LevelDebug && msg.Type != office.GroupState { // reported on every connection at every change
		s.trace(text, fmt.Sprintf("type %d cause %d", msg.Type, msg.Cause), conn.remote.id, conn.id,
			fmt.Sprintf("%016x", msg.Call), int(msg.Type))
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
		s.officeConnEnded(conn, reset, "closed or reset by the other end")
	}
}

// CallCounts returns the number of calls without a final answer and the number of established calls.
func (s *Server) CallCounts() (open, established int) {
	return s.openCalls, len(s.callsByWireID) - s.openCalls
}
