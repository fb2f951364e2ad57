package platform

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"finchlatch/feed"
	"finchlatch/internal/rulecheck"
	"finchlatch/office"
)

// Office is a stand-in office. Its exported fields must be set before the first connection is opened.
type Office struct {
	Member              feed.Member
	Hold                time.Duration                           // duration of an established call; 0: until EndCall
	HoldOf              func(call uint64) time.Duration         // duration by call, in place of Hold; may be nil
	WidthOf             func(class string) int                  // circuits of a call by its class; nil: 1
	Delay               func(call uint64) time.Duration         // wait before a set-up is handled; nil: none
	BehaviorOf          func(call uint64, attempt int) Behavior // reaction to a set-up; attempts of a call count from 1
	ReleasesOnHalfClose bool                                    // when a call server half-closes a connection, all established calls are released on it
	Circuits            int                                     // circuits toward each call server; 0: defaultCircuits
	OtherCircuits       int                                     // circuits toward each call server in use by calls of others
	PushesGroupState    bool                                    // each change of a trunk group is sent on every connection of its call server
	Tapped              bool                                    // a tap reports attempts to the rule checker, not the office
	Events              OfficeEvents

	env             *Environment
	mu              sync.Mutex
	resumed         *sync.Cond                 // signals changes of hung
	hung            bool                       // the office reads and sends nothing
	dead            bool                       // the office has ended
	setUps          map[uint64]int             // attempts by call
	established     map[uint64]establishedCall // established calls
	conns           []*officeConn              // open connections, newest last
	pendingReleases map[string][]uint64        // calls to release on the next connection, by call server
	endedProcesses  map[string]int             // number of ended processes, by call server
}

// OfficeEvents are called when calls at an Office change; each may be nil. callServer is the name of the call server.
type OfficeEvents struct {
	Established func(call uint64, callServer string)                   // the call is established
	Ended       func(call uint64, callServer string, releaseSent bool) // the call has ended; releaseSent: a release goes out on an open connection
	ReleaseSent func(call uint64, callServer string)                   // a release that could not be sent before is sent now
	Released    func(call uint64)                                      // the call server has released the call
}

// establishedCall is an answered call that has not been released.
type establishedCall struct {
	callServer string // call server that set it up
	width      int    // circuits that it holds
}

// defaultCircuits is the number of circuits toward each call server if Office.Circuits is 0: more than tests use.
const defaultCircuits = 500

// NewOffice starts an office of an exchange that reacts to set-ups as behavior says.
func (e *Environment) NewOffice(id string, exchange int, hold time.Duration, behavior func(call uint64, attempt int) Behavior) (*Office, error) {
	o := &Office{Hold: hold, BehaviorOf: behavior, env: e,
		setUps: map[uint64]int{}, established: map[uint64]establishedCall{},
		pendingReleases: map[string][]uint64{}, endedProcesses: map[string]int{}}
	o.resumed = sync.NewCond(&o.mu)
	o.Member = feed.Member{ID: id, Cell: exchange, Phase: feed.Serving}
	addr, err := o.Listen("")
	o.Member.Addr = addr
	e.onClose(func() { o.Hang(false) })
	return o, err
}

// Listen opens an address of the office for a call server.
func (o *Office) Listen(callServer string) (addr string, err error) {
	return o.env.serve(func(conn net.Conn) { o.handle(conn, callServer) })
}

// AddEstablished adds established calls that the call server does not know of.
func (o *Office) AddEstablished(calls ...uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, call := range calls {
		o.established[call] = establishedCall{width: 1}
	}
}

// EstablishedCount returns the number of established calls.
func (o *Office) EstablishedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.established)
}

// Established returns the established calls, with the names of their call servers.
func (o *Office) Established() map[uint64]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	callServers := make(map[uint64]string, len(o.established))
	for call, established := range o.established {
		callServers[call] = established.callServer
	}
	return callServers
}

// SetUps returns the number of set-ups that have arrived for a call.
func (o *Office) SetUps(call uint64) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.setUps[call]
}

// CallServerEnded marks the connections of a call server as ended, since its process has ended. The kernel has reset them,
// even if the office has not read that yet.
func (o *Office) CallServerEnded(callServer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.endedProcesses[callServer]++
	o.conns = slices.DeleteFunc(o.conns, func(conn *officeConn) bool { return conn.callServer == callServer })
}

// Hang makes the office hang, so that it handles and sends nothing, or lets it go on.
func (o *Office) Hang(hang bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hung = hang
	o.resumed.Broadcast()
}

// Crash ends the office as if its process or its machine failed: its calls end, and no release is sent. With resetConns its
// connections are reset, as the kernel does when only the process fails.
func (o *Office) Crash(resetConns bool) {
	o.mu.Lock()
	o.dead, o.hung = true, false
	o.resumed.Broadcast()
	established, conns := o.established, slices.Clone(o.conns)
	o.established, o.pendingReleases = map[uint64]establishedCall{}, map[string][]uint64{}
	o.mu.Unlock()
	for call, ended := range established {
		o.reportEnded(call, ended.callServer, false)
	}
	for _, conn := range conns {
		if resetConns {
			resetConn(conn.Conn.(*net.TCPConn))
		}
	}
}

// reportEnded calls Events.Ended.
func (o *Office) reportEnded(call uint64, callServer string, releaseSent bool) {
	if o.Events.Ended != nil {
		o.Events.Ended(call, callServer, releaseSent)
	}
}

// EndCall ends an established call. The release is sent on the newest connection, and again on the next one that opens, since the
// newest may be closing.
func (o *Office) EndCall(call uint64) {
	o.mu.Lock()
	for o.hung {
		o.resumed.Wait()
	}
	established, ok := o.established[call]
	callServer := established.callServer
	if !ok {
		o.mu.Unlock()
		return
	}
	delete(o.established, call)
	o.pendingReleases[callServer] = append(o.pendingReleases[callServer], call)
	conn := o.newestConn(callServer)
	o.mu.Unlock()
	o.reportEnded(call, callServer, conn != nil)
	if conn != nil {
		conn.sendRelease(call)
	}
	o.pushGroupState(callServer)
}

// newestConn returns the newest open connection of a call server, or nil; o.mu is held.
func (o *Office) newestConn(callServer string) *officeConn {
	for _, conn := range slices.Backward(o.conns) {
		if conn.callServer == callServer && !conn.peerClosed() {
			return conn
		}
	}
	return nil
}

// establish adds an established call, and schedules its end.
func (o *Office) establish(call uint64, callServer string, width int) {
	o.mu.Lock()
	o.established[call] = establishedCall{callServer: callServer, width: width}
	o.mu.Unlock()
	o.pushGroupState(callServer)
	if o.Events.Established != nil {
		o.Events.Established(call, callServer)
	}
	hold := o.Hold
	if o.HoldOf != nil {
		hold = o.HoldOf(call)
	}
	if hold > 0 {
		o.env.After(hold, func() { o.EndCall(call) })
	}
}

// pushGroupState sends the state of the trunk group on every connection of a call server, if PushesGroupState is set.
func (o *Office) pushGroupState(callServer string) {
	if !o.PushesGroupState {
		return
	}
	o.mu.Lock()
	conns := slices.Clone(o.conns)
	o.mu.Unlock()
	load := o.groupState(callServer)
	for _, conn := range conns {
		if conn.callServer == callServer {
			conn.send(&office.Message{Type: office.GroupState, Load: load})
		}
	}
}

// groupState returns the state of the trunk group toward a call server in wire form.
func (o *Office) groupState(callServer string) string {
	used, total := o.circuitUse(callServer)
	return fmt.Sprintf("spare:%d;total:%d", max(0, total-used), total)
}

// circuitUse returns how many circuits toward a call server are in use, and how many there are.
func (o *Office) circuitUse(callServer string) (used, total int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	used = o.OtherCircuits
	for _, established := range o.established {
		if established.callServer == callServer {
			used += established.width
		}
	}
	return used, cmp.Or(o.Circuits, defaultCircuits)
}

// report calls the rule checker, unless a tap does so.
func (o *Office) report(report func(at time.Duration, checker *rulecheck.PlatformChecker)) {
	if !o.Tapped {
		o.env.Report(report)
	}
}

// refusals holds the cause and the note of each behavior that refuses.
var refusals = map[Behavior]office.Message{
	Busy:            {Cause: office.CauseBusy, Note: "occupied"},
	NoCircuit:       {Cause: office.CauseNoCircuit, Note: "blocked"},
	SignallingFault: {Cause: office.CauseTemporary},
}
