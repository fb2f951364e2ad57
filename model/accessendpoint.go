package model

import (
	"time"

	"finchlatch/internal/simenv"
	"finchlatch/isup"
	"finchlatch/m3ua"
	"finchlatch/router"
)

// accessEndpoint is the callers' or lines' end of their association with a call server. It implements simenv.Association.
type accessEndpoint struct {
	node      *node // of the call server
	assoc     *m3ua.Assoc
	pointCode uint32
	link      router.LinkID // of the call server to this end
	name      string        // in records
	relation  *simenv.Relation
	onMessage func(m *isup.Message)
}

// tickInterval is the time between two checks of the association's timers.
const tickInterval = 2 * time.Second

// newAccessEndpoint creates an endpoint that is not connected.
func (n *node) newAccessEndpoint(pointCode uint32, link router.LinkID, name string) *accessEndpoint {
	return &accessEndpoint{node: n, pointCode: pointCode, link: link, name: name, relation: simenv.NewRelation(),
		assoc: m3ua.NewAssoc(m3ua.Settings{Role: m3ua.RoleASP, HeartbeatInterval: -1})}
}

// Now returns the simulated time.
func (e *accessEndpoint) Now() time.Duration { return e.node.fleet.now }

// After schedules a function.
func (e *accessEndpoint) After(delay time.Duration, run func()) {
	e.node.fleet.schedule(delay, func() {
		run()
		e.flush()
	})
}

// Send sends a message to the call server. It fails while the association is not active.
func (e *accessEndpoint) Send(message *isup.Message) error {
	encoded, err := message.Append(nil)
	if err != nil {
		return err
	}
	return e.assoc.Send(m3ua.ProtocolData{OPC: e.pointCode, DPC: e.node.pointCode(), SI: m3ua.ServiceISUP, NI: 2, Data: encoded})
}

// connect starts the association on a new connection.
func (e *accessEndpoint) connect() {
	e.assoc.Connected(e.node.fleet.now)
	e.flush()
	e.scheduleTick()
}

// scheduleTick lets the association repeat unacknowledged requests after T(ack), until it is active.
func (e *accessEndpoint) scheduleTick() {
	e.node.fleet.schedule(tickInterval, func() {
		if s := e.assoc.State(); s != m3ua.Active && s != m3ua.Closed {
			e.assoc.Tick(e.node.fleet.now)
			e.flush()
			e.scheduleTick()
		}
	})
}

// loseConnection ends the connection. Messages in transit are lost with it.
func (e *accessEndpoint) loseConnection() {
	e.relation = simenv.NewRelation()
	e.assoc.Lost()
	e.assoc.Indications()
}

// receive hands a message to the association, and the ISUP messages in it to the callers or lines.
func (e *accessEndpoint) receive(raw []byte) {
	e.assoc.Receive(e.node.fleet.now, raw)
	for _, indication := range e.assoc.Indications() {
		if indication.Kind == m3ua.IndData {
			if message, err := isup.Decode(indication.Data.Data); err == nil {
				e.onMessage(message)
			}
		}
	}
	e.flush()
}

// flush transmits the association's output to the call server.
func (e *accessEndpoint) flush() {
	for _, raw := range splitMessages(e.assoc.Output()) {
		frame, relation := simenv.ReadFrame(raw), e.relation
		relation.RecordSent(0, frame)
		e.node.fleet.schedule(simenv.AccessDelay, func() {
			if e.relation == relation && e.node.router != nil {
				e.node.arrive(messageSource{relation: relation, direction: 0, link: e.link, name: e.name,
					reply: e.replyFunc(relation)}, frame)
			}
		})
	}
}

// receiveFromServer transmits a message of the call server to this end.
func (e *accessEndpoint) receiveFromServer(raw []byte) {
	frame, relation := simenv.ReadFrame(raw), e.relation
	relation.RecordSent(1, frame)
	e.node.fleet.schedule(simenv.AccessDelay, func() {
		if e.relation != relation {
			return
		}
		// The message is held if the processor has refused a set-up on its circuit.
		if intercepted, _, _ := relation.InterceptRefused(1, frame); !intercepted {
			e.deliver(frame)
		}
	})
}

// deliver delivers a message to this end.
func (e *accessEndpoint) deliver(frame simenv.Frame) {
	e.relation.RecordDelivered(1, frame)
	e.receive(frame.Raw)
}

// replyFunc returns a function that transmits the processor's reply in place of the call server's.
func (e *accessEndpoint) replyFunc(relation *simenv.Relation) func(raw []byte) {
	return func(raw []byte) {
		e.node.fleet.schedule(simenv.AccessDelay, func() {
			if e.relation == relation {
				e.deliver(simenv.ReadFrame(raw))
			}
		})
	}
}
