package model

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/measure"
	"finchlatch/numbering"
	"finchlatch/router"
	"finchlatch/trunk"
)

// node is one exchange: its Router, processor, callers and lines.
type node struct {
	fleet          *Fleet
	index          int
	name           string
	region         int
	processor      *simenv.Processor[router.LinkID]
	serveScheduled bool           // an event is scheduled that serves the processor
	router         *router.Router // nil: the call server is down
	generation     uint64         // incremented at each start and crash; timers of earlier generations are ignored
	timerAt        time.Duration  // time of the event scheduled for the Router's next timer; 0: none
	callers        *simenv.Callers
	lines          *simenv.Lines
	access         [2]*accessEndpoint // of the callers and of the lines
	meter          *measure.Meter
	relations      []*simenv.Relation // with the exchange itself and those of higher index, created when needed
}

// messageSource describes where a message to an exchange comes from.
type messageSource struct {
	relation       *simenv.Relation
	direction      simenv.Direction
	link           router.LinkID    // of the receiving Router
	name           string           // of the sender, in records
	fromCallServer bool             // from another exchange, not from callers or lines
	reply          func(raw []byte) // transmits the processor's reply in place of the call server's
}

// firstPointCode is the point code of the first exchange. Those of the others follow in order.
const firstPointCode = 101

// Point codes of the first exchange's callers and lines. Those of the other exchanges follow in order.
const (
	firstCallersPointCode = 5000
	firstLinesPointCode   = 10000
)

// exchangeName returns the name of an exchange.
func exchangeName(i int) string { return fmt.Sprintf("ex%03d", i+1) }

// pointCode returns the point code of an exchange.
func (n *node) pointCode() uint32 { return uint32(firstPointCode + n.index) }

// newNode creates an exchange without its Router.
func (f *Fleet) newNode(i int) *node {
	n := &node{fleet: f, index: i, name: exchangeName(i), region: simenv.Region(i, f.settings.Exchanges, f.settings.Regions)}
	n.processor = simenv.NewProcessor[router.LinkID](f.serviceTimes, f.settings.MaxWait, f.capacity, f.Parameters)
	callers := n.newAccessEndpoint(uint32(firstCallersPointCode+i), n.countersLink(), "counters")
	lines := n.newAccessEndpoint(uint32(firstLinesPointCode+i), n.linesLink(), "lines")
	n.access = [2]*accessEndpoint{callers, lines}
	n.callers = simenv.NewCallers(callers, uint32(i), f.accessCircuits, f.settings.Seed, callersStream+uint64(i))
	n.lines = simenv.NewLines(lines, f.settings.Seed, linesStream+uint64(i))
	n.callers.Classes, n.callers.Habits, n.callers.OnDone, n.callers.T1 = f.settings.Classes, f.settings.Habits, f.addOutcome, t1
	n.callers.PickNumber, n.callers.RateProfile = n.pickNumber, f.rateProfile()
	n.callers.Sources = f.settings.Sources
	n.callers.SetRate(f.settings.Rate / float64(f.settings.Exchanges))
	callers.onMessage, lines.onMessage = n.callers.Receive, n.lines.Receive
	return n
}

// pickNumber draws the number that a caller of this exchange calls, and whether it is the hot number.
func (n *node) pickNumber(rng *rand.Rand) (string, bool) {
	f := n.fleet
	if f.hotShare > 0 && f.hotOwner != n.index && rng.Float64() < f.hotShare {
		return f.hotNumber, true
	}
	destination := f.matrix.pickDestination(rng, n.index, f.now)
	return fmt.Sprintf("5%04d%05d", destination+1, rng.IntN(100000)), false
}

// t1 is T1 of Q.764, 15 to 60 s. It must be longer than any message is queued at a processor: with 1 s a repeated REL
// reached the next call on its circuit, and no end can tell that it belongs to the previous one.
const t1 = 15 * time.Second

// DrainTime is the time that a fleet needs until lost releases have been repeated and confirmed.
const DrainTime = 12 * t1

// routerConfig returns the configuration of a call server. Its peers are the other exchanges, the counters and the lines,
// in this order.
func (n *node) routerConfig() router.Config {
	f := n.fleet
	config := router.Config{Name: n.name, Attempts: 5, Tick: time.Millisecond, Release: f.releaseTime, DrainGrace: f.Parameters.Grace,
		TipAfter: f.Parameters.OverloadWindow, Overload: f.Parameters.Overload, ColdFrom: f.Parameters.InitialShare, ColdFor: f.Parameters.SlowStart,
		Network: 2, Recovery: 2 * time.Second, LogLevel: 12, Baseline: f.settings.Baseline, Exchanges: f.exchanges, Numbering: f.numbering,
		Timers: trunk.Timers{T1: t1, T5: 4 * t1, T12: t1, T13: 4 * t1}}
	for _, class := range f.settings.Classes {
		config.Classes = append(config.Classes, router.Class{Category: class.Category, Patience: class.Patience,
			Class: logic.Class{Name: class.Name, Worth: class.Worth, LateShare: class.LateShare, Aim: class.Aim,
				Deadline: class.Deadline, Hold: class.Hold, Width: class.Width, SafeToRepeat: true}})
	}
	client, server := []m3ua.Settings{{Role: m3ua.RoleIPSPClient, HeartbeatInterval: -1}}, []m3ua.Settings{{Role: m3ua.RoleIPSPServer, HeartbeatInterval: -1}}
	for i, exchange := range f.exchanges {
		if i != n.index {
			role := server
			if n.index < i {
				role = client
			}
			config.Peers = append(config.Peers, router.Peer{Name: exchange.Name, PointCode: exchange.PointCode,
				Circuits: f.circuitsBetween(n.index, i), ASPs: role})
		}
	}
	signallingGateway := []m3ua.Settings{{Role: m3ua.RoleSGP, HeartbeatInterval: -1}}
	config.Peers = append(config.Peers, router.Peer{Name: "counters", Kind: router.PeerClient, PointCode: n.access[0].pointCode,
		Circuits: f.accessCircuits, ASPs: signallingGateway}, router.Peer{Name: "lines", Kind: router.PeerSubscribers,
		PointCode: n.access[1].pointCode, Circuits: f.accessCircuits, ASPs: signallingGateway})
	return config
}

// circuitsBetween returns the circuits of the trunk group between two exchanges.
func (f *Fleet) circuitsBetween(a, b int) []uint16 {
	if f.settings.GroupSizeOf == nil {
		return f.groupCircuits
	}
	return circuitCodes(max(1, f.settings.GroupSizeOf(min(a, b), max(a, b))))
}

// endMeasurement stores the measured traffic of a Router that ends.
func (n *node) endMeasurement() {
	if n.meter != nil {
		n.fleet.measured = append(append(n.fleet.measured, n.meter.TakeEnded(n.fleet.now)...), n.meter.Current(n.fleet.now))
		n.meter = nil
	}
}

// prepareSharedConfig creates the parts of the configuration that all call servers share.
func (f *Fleet) prepareSharedConfig() {
	for i := range f.settings.Exchanges {
		f.exchanges = append(f.exchanges, router.Exchange{Number: i + 1, Name: exchangeName(i), PointCode: uint32(firstPointCode + i)})
		f.numbering = append(f.numbering, numbering.Entry{Prefix: fmt.Sprintf("5%04d", i+1), Exchange: i + 1, Class: -1})
	}
}

// startRouter creates and starts the Router of a node, with the present snapshot of service discovery.
func (n *node) startRouter() error {
	cfg := n.routerConfig()
	if n.fleet.settings.Measure {
		n.meter = measure.New(measure.Settings{Home: n.index + 1, Classes: cfg.LogicClasses()}, n.fleet.now, n.fleet.WallClock())
		cfg.Meter = n.meter
	}
	r, err := router.New(cfg, int64(n.fleet.settings.Seed*1000)+int64(n.index))
	if err != nil {
		return err
	}
	n.router, n.timerAt = r, 0
	n.generation++
	offices := make([]logic.Office, 0, len(n.fleet.nodes))
	for _, office := range n.fleet.offices {
		offices = append(offices, office)
		n.recordNotification(office)
	}
	r.Start(n.fleet.now, offices)
	return nil
}

// linkOf returns the link to another exchange. Links are numbered like the peers of the configuration.
func (n *node) linkOf(peer int) router.LinkID {
	if peer > n.index {
		peer--
	}
	return router.LinkID(peer)
}

// peerOf returns the index of the exchange at the other end of a link.
func (n *node) peerOf(link router.LinkID) int {
	if int(link) >= n.index {
		return int(link) + 1
	}
	return int(link)
}

// countersLink returns the link to the counters.
func (n *node) countersLink() router.LinkID { return router.LinkID(n.fleet.settings.Exchanges - 1) }

// linesLink returns the link to the lines.
func (n *node) linesLink() router.LinkID { return router.LinkID(n.fleet.settings.Exchanges) }

// relationBetween returns the state of the signalling relation between two exchanges, and the direction from a to b.
func (f *Fleet) relationBetween(a, b *node) (*simenv.Relation, simenv.Direction) {
	direction := simenv.Direction(0)
	if a.index > b.index {
		a, b, direction = b, a, 1
	}
	if a.relations == nil {
		a.relations = make([]*simenv.Relation, len(f.nodes)-a.index)
	}
	relation := &a.relations[b.index-a.index]
	if *relation == nil {
		*relation = simenv.NewRelation()
	}
	return *relation, direction
}

// dropRelation drops the signalling relation of two exchanges. Messages in transit are lost.
func (f *Fleet) dropRelation(a, b *node) {
	if a.index > b.index {
		a, b = b, a
	}
	if a.relations != nil {
		a.relations[b.index-a.index] = nil
	}
}

// isCurrentRelation reports whether a signalling relation of two exchanges has not been dropped.
func (f *Fleet) isCurrentRelation(a, b *node, relation *simenv.Relation) bool {
	if a.index > b.index {
		a, b = b, a
	}
	return a.relations != nil && a.relations[b.index-a.index] == relation
}

// connectPeers connects the links of a node to its counters, its lines and the exchanges whose call servers are up.
func (n *node) connectPeers() {
	for i, peer := range n.fleet.nodes {
		if i != n.index && peer.router != nil {
			n.router.Connected(n.fleet.now, n.linkOf(i))
		}
	}
	n.router.Connected(n.fleet.now, n.countersLink())
	n.router.Connected(n.fleet.now, n.linesLink())
	n.access[0].connect()
	n.access[1].connect()
	n.applyEffects()
}

// applyEffects carries out the effects of a Router: it transmits the output and schedules the next timer.
func (n *node) applyEffects() {
	if n.router == nil {
		return
	}
	for _, effect := range n.router.Effects() {
		if write, ok := effect.(router.Write); ok {
			for _, raw := range splitMessages(write.Bytes) {
				n.transmit(write.Link, raw)
			}
		}
	}
	if at, ok := n.router.NextTimer(); ok && (n.timerAt == 0 || at < n.timerAt || n.timerAt <= n.fleet.now) {
		n.timerAt = at
		generation := n.generation
		n.fleet.schedule(at-n.fleet.now, func() {
			if n.generation == generation && n.router != nil && n.timerAt == at {
				n.timerAt = 0
				n.router.Advance(n.fleet.now)
				n.applyEffects()
			}
		})
	}
}

// splitMessages splits bytes into M3UA messages. The bytes must hold whole messages only.
func splitMessages(output []byte) (messages [][]byte) {
	for len(output) >= 8 {
		length := min(len(output), int(binary.BigEndian.Uint32(output[4:])))
		messages = append(messages, output[:length:length])
		output = output[length:]
	}
	return messages
}

// transmit sends a message of a Router to the other end of the link.
func (n *node) transmit(link router.LinkID, raw []byte) {
	if access := link - n.countersLink(); access >= 0 {
		n.recordMessage(n.access[access].name, true, raw)
		n.access[access].receiveFromServer(raw)
		return
	}
	fleet, peer := n.fleet, n.fleet.nodes[n.peerOf(link)]
	n.recordMessage(peer.name, true, raw)
	frame := simenv.ReadFrame(raw)
	relation, direction := fleet.relationBetween(n, peer)
	relation.RecordSent(direction, frame)
	fleet.schedule(simenv.SignallingDelay(n.region, peer.region), func() {
		if fleet.isCurrentRelation(n, peer, relation) && peer.router != nil {
			peer.arrive(peer.sourceFrom(n, relation, direction), frame)
		}
	})
}

// sourceFrom describes messages from another exchange to this one.
func (n *node) sourceFrom(peer *node, relation *simenv.Relation, direction simenv.Direction) messageSource {
	return messageSource{relation: relation, direction: direction, link: n.linkOf(peer.index), name: peer.name,
		fromCallServer: true, reply: func(raw []byte) {
			n.fleet.schedule(simenv.SignallingDelay(n.region, peer.region), func() {
				if n.fleet.isCurrentRelation(n, peer, relation) && peer.router != nil {
					peer.submit(peer.sourceFrom(n, relation, 1-direction), simenv.ReadFrame(raw))
				}
			})
		}}
}

// isCurrent reports whether the connection that a message arrived on still exists.
func (n *node) isCurrent(source messageSource) bool {
	if access := source.link - n.countersLink(); access >= 0 {
		return n.access[access].relation == source.relation
	}
	return n.fleet.isCurrentRelation(n, n.fleet.nodes[n.peerOf(source.link)], source.relation)
}

// arrive handles a message that has reached an exchange. Messages on circuits of a refused set-up are intercepted.
func (n *node) arrive(source messageSource, frame simenv.Frame) {
	intercepted, reply, resumed := source.relation.InterceptRefused(source.direction, frame)
	if reply != nil {
		source.reply(reply)
	}
	for _, waiting := range resumed { // messages of this call server
		n.deliverHeld(source, waiting)
	}
	if !intercepted {
		n.submit(source, frame)
	}
}

// deliverHeld delivers a message of this call server that was held until a refusal was cleared.
func (n *node) deliverHeld(source messageSource, frame simenv.Frame) {
	if access := source.link - n.countersLink(); access >= 0 {
		n.access[access].deliver(frame)
		return
	}
	peer := n.fleet.nodes[n.peerOf(source.link)]
	peer.submit(peer.sourceFrom(n, source.relation, 1-source.direction), frame)
}

// submit queues a message at the processor, which delivers it to the Router or refuses it.
func (n *node) submit(source messageSource, frame simenv.Frame) {
	message := simenv.QueuedMessage[router.LinkID]{From: source.link, FromCallServer: source.fromCallServer}
	frame = simenv.Classify(source.relation, source.direction, frame, &message)
	message.Deliver, message.Refuse = func() { n.deliver(source, frame) }, func() { n.refuseSetUp(source, frame) }
	n.processor.Submit(n.fleet.now, message)
	n.scheduleServe()
}

// scheduleServe schedules the next service of the processor.
func (n *node) scheduleServe() {
	at, ok := n.processor.Next()
	if n.serveScheduled || !ok {
		return
	}
	n.serveScheduled = true
	n.fleet.schedule(at-n.fleet.now, func() {
		n.serveScheduled = false
		if action := n.processor.Serve(n.fleet.now); action != nil {
			action()
		}
		n.scheduleServe()
	})
}

// deliver hands a message that the processor has served to the Router, unless it belongs to a refused set-up.
func (n *node) deliver(source messageSource, frame simenv.Frame) {
	if n.router == nil || !n.isCurrent(source) {
		return // the connection was lost while the message was queued
	}
	if intercepted, reply := frame.InterceptStale(); intercepted {
		if reply != nil {
			source.reply(reply)
		}
		return
	}
	n.recordMessage(source.name, false, frame.Raw)
	source.relation.RecordDelivered(source.direction, frame)
	n.router.Receive(n.fleet.now, source.link, frame.Raw)
	n.applyEffects()
}

// refuseSetUp refuses an IAM in place of the Router, which never receives it.
func (n *node) refuseSetUp(source messageSource, frame simenv.Frame) {
	if n.router == nil || !n.isCurrent(source) {
		return
	}
	reply, mustDeliver := source.relation.Refuse(source.direction, frame)
	if mustDeliver {
		n.deliver(source, frame)
	}
	if reply != nil {
		source.reply(reply)
		n.repeatRelease(source, frame)
	}
}

// repeatRelease repeats the REL of a refusal every T1 until the refusal is cleared.
func (n *node) repeatRelease(source messageSource, frame simenv.Frame) {
	n.fleet.schedule(t1, func() {
		if reply := source.relation.RepeatRelease(frame); reply != nil && n.isCurrent(source) {
			source.reply(reply)
			n.repeatRelease(source, frame)
		}
	})
}

// recordMessage records a message that a call server sends or receives.
func (n *node) recordMessage(peer string, out bool, raw []byte) {
	if n.fleet.settings.OnRecord != nil {
		n.fleet.settings.OnRecord(rulecheck.Record{At: n.fleet.now, Kind: rulecheck.Message, Exchange: n.name, Peer: peer, Out: out,
			Data: raw})
	}
}

// recordNotification records that a call server was notified of the state of an exchange.
func (n *node) recordNotification(office logic.Office) {
	if n.fleet.settings.OnRecord != nil {
		n.fleet.settings.OnRecord(rulecheck.Record{At: n.fleet.now, Kind: rulecheck.Announced, Exchange: n.name, Peer: office.ID,
			State: rulecheck.State(office.State), Cold: office.Started > 0})
	}
}

// recordEvent records another event of a call server.
func (n *node) recordEvent(kind rulecheck.Kind, peer string) {
	if n.fleet.settings.OnRecord != nil {
		n.fleet.settings.OnRecord(rulecheck.Record{At: n.fleet.now, Kind: kind, Exchange: n.name, Peer: peer,
			Capacity: n.processor.Capacity})
	}
}

// crash stops a Router as a crash would. Its peers lose their associations with it.
func (n *node) crash() {
	n.recordEvent(rulecheck.Killed, "")
	n.endMeasurement()
	n.router = nil
	n.generation++
	n.access[0].loseConnection()
	n.access[1].loseConnection()
	for _, peer := range n.fleet.nodes {
		if peer == n {
			continue
		}
		n.fleet.dropRelation(peer, n)
		if peer.router != nil {
			peer.recordEvent(rulecheck.ConnectionLost, n.name)
			peer.router.Disconnected(n.fleet.now, peer.linkOf(n.index), -1)
			peer.applyEffects()
		}
	}
}

// restart starts a Router again and connects it with its peers.
func (n *node) restart() {
	if err := n.startRouter(); err != nil {
		panic(err) // cannot happen: the same configuration was valid before
	}
	n.connectPeers()
	for _, peer := range n.fleet.nodes {
		if peer != n && peer.router != nil {
			peer.router.Connected(n.fleet.now, peer.linkOf(n.index))
			peer.applyEffects()
		}
	}
}
