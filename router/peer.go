package router

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/ingress"
	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/trunk"
)

// peer is a signalling relation: an application server of one or more processes, and a trunk group.
type peer struct {
	id               PeerID
	cfg              Peer
	as               *m3ua.AS
	links            []*link
	group            *trunk.Group
	timerAt          time.Duration // the timer armed for the state machines; 0 none
	groupReset       bool          // the group has been reset since this Router was made
	pending          bool
	clientIndex      int           // its place among the clients
	congestionLevel  ingress.Level // that it was told by SCON
	announcedDrain   bool          // it has said that it goes out of service
	reportedCircuits [2]int
	heldMessages     []heldMessage // call messages for when it is back
}

// link is the association with one process of a peer.
type link struct {
	id           LinkID
	peer         *peer
	aspIndex     int
	assoc        *m3ua.Assoc
	bytesWritten int64 // bytes written since Connected
}

// heldMessage is a message of a call that could not be sent.
type heldMessage struct {
	leg     *leg
	message *isup.Message
}

// active tells whether a peer takes traffic now.
func (p *peer) active() bool { return p.as.State() == m3ua.ASActive }

func (r *Router) addPeer(id PeerID, cfg Peer) error {
	direction := map[PeerKind]trunk.Direction{PeerExchange: trunk.BothWay, PeerClient: trunk.Incoming,
		PeerSubscribers: trunk.Outgoing}[cfg.Kind]
	group, err := trunk.New(trunk.Settings{Own: r.ownExchange.PointCode, Peer: cfg.PointCode, Circuits: cfg.Circuits,
		Direction: direction, Timers: r.cfg.Timers})
	if err != nil {
		return err
	}
	clients := 0
	for _, other := range r.peers {
		if other.cfg.Kind == PeerClient {
			clients++
		}
	}
	p := &peer{id: id, cfg: cfg, group: group, clientIndex: clients, reportedCircuits: [2]int{-1, -1}, as: m3ua.NewAS(m3ua.ASSettings{Mode: cfg.Mode,
		ASPs: len(cfg.ASPs), Needed: cfg.Needed, Recovery: r.cfg.Recovery})}
	for i, settings := range cfg.ASPs {
		settings.Key = r.ownExchange.PointCode
		if len(cfg.ASPs) > 1 {
			settings.Mode = max(cfg.Mode, m3ua.Override)
		}
		l := &link{id: LinkID(len(r.links)), peer: p, aspIndex: i, assoc: m3ua.NewAssoc(settings)}
		r.links, p.links = append(r.links, l), append(p.links, l)
	}
	r.peers = append(r.peers, p)
	r.peersByName[cfg.Name], r.peersByPointCode[cfg.PointCode] = p, p
	return nil
}

// settle passes on what the state machines of a peer have to say, until they fall silent.
func (r *Router) processPeer(p *peer) {
	for busy := true; busy; {
		busy = r.handleGroupEvents(p)
		for _, l := range p.links {
			indications := l.assoc.Indications()
			for _, indication := range indications {
				r.handleIndication(l, indication)
			}
			busy = busy || len(indications) > 0
		}
		for _, e := range p.as.Events() {
			r.handleASEvent(p, e)
			busy = true
		}
		r.flush(p)
	}
	r.reportCircuits(p)
	r.armPeerTimer(p)
}

// flush hands the messages of a group to the associations of its peer and their bytes to the shell.
func (r *Router) flush(p *peer) {
	for _, message := range p.group.Output() {
		b, err := message.Append(r.encodeBuffer[:0])
		r.encodeBuffer = b[:0]
		if err != nil {
			r.log(slog.LevelError, "message not written", 0, slog.String("peer", p.cfg.Name), slog.Any("err", err))
			continue
		}
		// What cannot be sent now is sent again by the group's timers, or is held by pass.
		for _, asp := range p.as.Route(int(message.CIC)) {
			_ = p.links[asp].assoc.Send(m3ua.ProtocolData{OPC: r.ownExchange.PointCode, DPC: p.cfg.PointCode, SI: m3ua.ServiceISUP,
				NI: r.cfg.Network, SLS: byte(message.CIC & 0x0f), Data: b})
		}
	}
	for _, l := range p.links {
		if b := l.assoc.Output(); len(b) > 0 {
			l.bytesWritten += int64(len(b))
			r.emit(Write{Link: l.id, Bytes: b})
		}
	}
}

// tell sends a network management message about the own point code to a peer.
func (r *Router) sendNetworkManagement(p *peer, kind m3ua.Kind, congestion byte) {
	for _, l := range p.links {
		if l.assoc.Network(kind, r.ownExchange.PointCode, congestion) == nil {
			r.markPending(p)
		}
	}
}

// admit asks whether a call of a client is within its share, and tells the client when its level changes.
func (r *Router) admit(c *call, p *peer) bool {
	if p.cfg.Kind != PeerClient {
		return true
	}
	c.client = p
	worth := 0.0
	if c.class >= 0 {
		worth = r.cfg.Classes[c.class].Worth
	}
	admitted, level := r.clientShares.Offer(r.now, p.clientIndex, worth)
	c.admitted, c.congestionLevel = admitted, level
	if level != p.congestionLevel {
		p.congestionLevel = level
		r.sendNetworkManagement(p, m3ua.SCON, byte(level))
	}
	return admitted
}

// leaves tells the shares that a client's call has ended.
func (r *Router) endAdmission(c *call) {
	if c.admitted { // the end of its lease or of its in leg
		c.admitted = false
		r.clientShares.Ended(c.client.clientIndex)
	}
}

// reportGroup tells the Controller of the circuits toward an exchange when they have changed.
func (r *Router) reportCircuits(p *peer) {
	circuits := [2]int{p.group.Spare(), p.group.Total()}
	if p.cfg.Kind != PeerExchange || p.reportedCircuits == circuits {
		return
	}
	p.reportedCircuits = circuits
	r.controller.Report(r.now, logic.Report{Office: p.cfg.Name, OK: true, Load: []float64{float64(circuits[0]), float64(circuits[1])}})
}

// wakeFor arms a timer for the next deadline of the state machines.
func (r *Router) armPeerTimer(p *peer) {
	at, ok := p.group.Deadline()
	earlier := func(deadline time.Duration, armed bool) {
		if armed && (!ok || deadline < at) {
			at, ok = deadline, true
		}
	}
	earlier(p.as.Deadline())
	for _, l := range p.links {
		earlier(l.assoc.Deadline())
	}
	if at = max(at, r.now); ok && (p.timerAt == 0 || at < p.timerAt) {
		p.timerAt = at
		r.armTimer(at, timer{kind: timerPeer, peer: p.id})
	}
}

// indicated takes an indication of an association.
func (r *Router) handleIndication(l *link, indication m3ua.Indication) {
	p := l.peer
	switch indication.Kind {
	case m3ua.IndState:
		r.log(slog.LevelInfo, "association", 0, slog.String("peer", p.cfg.Name), slog.Int("asp", l.aspIndex), slog.String("state", indication.State.String()))
		p.as.Update(r.now, l.aspIndex, indication.State)
	case m3ua.IndData:
		r.handleData(p, indication.Data)
	case m3ua.IndNetwork:
		r.handleNetworkManagement(l, indication.Message)
	case m3ua.IndPeer:
		if code, ok := indication.Message.Uint32(m3ua.TagErrorCode); ok {
			r.log(slog.LevelWarn, "peer reports an error", 0, slog.String("peer", p.cfg.Name), slog.Uint64("code", uint64(code)))
		}
	case m3ua.IndFault:
		r.log(slog.LevelWarn, "bad message", 0, slog.String("peer", p.cfg.Name), slog.Any("err", indication.Err))
	case m3ua.IndClose:
		r.log(slog.LevelWarn, "connection given up", 0, slog.String("peer", p.cfg.Name), slog.Any("err", indication.Err))
		r.emit(Close{Link: l.id, Err: indication.Err})
	}
}

// served takes an event of an application server.
func (r *Router) handleASEvent(p *peer, e m3ua.ASEvent) {
	switch e.Kind {
	case m3ua.ASOverridden:
		p.links[e.ASP].assoc.Overridden()
	case m3ua.ASShort:
		for _, l := range p.links {
			l.assoc.NotifyShort()
		}
	case m3ua.ASChanged:
		if len(p.links) > 1 {
			r.log(slog.LevelInfo, "application server", 0, slog.String("peer", p.cfg.Name), slog.String("state", e.State.String()))
		}
		for _, l := range p.links {
			l.assoc.NotifyAS(e.State)
		}
		switch {
		case e.State == m3ua.ASActive:
			r.handlePeerActive(p)
		case e.State != m3ua.ASPending && p.groupReset:
			r.releasePeerCalls(p)
		}
	}
}

// up takes the news that a peer takes traffic: what it may know of older calls is reset the first time, and
// what was held for it goes out later times.
func (r *Router) handlePeerActive(p *peer) {
	if !p.groupReset {
		p.groupReset = true
		p.group.ResetAll(r.now)
	} else {
		p.group.Resume(r.now)
	}
	held := p.heldMessages
	p.heldMessages = nil
	for _, message := range held {
		r.sendOrHold(message.leg, message.message)
	}
	if r.draining && p.cfg.Kind == PeerExchange {
		r.sendNetworkManagement(p, m3ua.DRST, 0)
	}
}

// data takes the payload of a DATA: an ISUP message.
func (r *Router) handleData(p *peer, payload m3ua.ProtocolData) {
	if payload.SI != m3ua.ServiceISUP || payload.OPC != p.cfg.PointCode || payload.DPC != r.ownExchange.PointCode {
		r.log(slog.LevelWarn, "message not for us", 0, slog.String("peer", p.cfg.Name), slog.Int("si", int(payload.SI)),
			slog.Uint64("opc", uint64(payload.OPC)), slog.Uint64("dpc", uint64(payload.DPC)))
		return
	}
	message, err := isup.Decode(payload.Data)
	if err != nil {
		r.log(slog.LevelWarn, "bad ISUP message", 0, slog.String("peer", p.cfg.Name), slog.Any("err", err))
		return
	}
	if !isup.Known(message.Type) && r.handleUnknownMessage(p, message) {
		return
	}
	p.group.Receive(r.now, message)
	r.handleGroupEvents(p) // before the next message: it may be about the same call
}

// signals passes on the events of a group; false: there was none. Handlers take no events of it themselves, so
// the slice stays good.
func (r *Router) handleGroupEvents(p *peer) bool {
	events := p.group.Events()
	for _, e := range events {
		r.handleGroupEvent(p, e)
	}
	return len(events) > 0
}

// compatibility applies Q.764 2.9.5.2 to a message of an unknown type; true: it goes no further.
func (r *Router) handleUnknownMessage(p *peer, message *isup.Message) bool {
	instruction := isup.Unrecognized(message, true)
	if instruction.Notify {
		confusion := &isup.Message{CIC: message.CIC, Type: isup.CFN}
		confusion.Set(isup.ParamCause, 0x80|byte(isup.LocationLocalNetwork), 0x80|byte(instruction.Cause))
		if encoded, err := confusion.Append(nil); err == nil {
			for _, asp := range p.as.Route(int(message.CIC)) {
				_ = p.links[asp].assoc.Send(m3ua.ProtocolData{OPC: r.ownExchange.PointCode, DPC: p.cfg.PointCode, SI: m3ua.ServiceISUP,
					NI: r.cfg.Network, Data: encoded})
			}
		}
	}
	return instruction.Discard
}

// network takes a network management message: a neighbour tells of itself, or audits us.
func (r *Router) handleNetworkManagement(l *link, message *m3ua.Message) {
	p := l.peer
	if message.Kind == m3ua.DAUD { // an audit of the own point code is answered; others are not known here
		reply := map[bool]m3ua.Kind{true: m3ua.DRST, false: m3ua.DAVA}[r.draining]
		if slices.Contains(m3ua.AffectedPointCodes(message), r.ownExchange.PointCode) {
			_ = l.assoc.Network(reply, r.ownExchange.PointCode, 0)
		}
		return
	}
	for _, code := range m3ua.AffectedPointCodes(message) {
		affected := r.peersByPointCode[code]
		if affected == nil || affected != p || affected.cfg.Kind != PeerExchange {
			continue
		}
		draining := message.Kind == m3ua.DUNA || message.Kind == m3ua.DRST
		if message.Kind != m3ua.DAVA && !draining || affected.announcedDrain == draining {
			continue
		}
		affected.announcedDrain = draining
		r.log(slog.LevelInfo, "exchange tells of itself", 0, slog.String("exchange", affected.cfg.Name), slog.String("message", message.Kind.String()))
		if office, ok := r.offices[affected.cfg.Name]; ok {
			r.controller.List(r.now, logic.ListUpdate, []logic.Office{r.effectiveOffice(office)})
		}
	}
}

// lost takes what a connection took with it. Attempts that were out on it are over, unless other processes of the
// peer go on; answers that went out on it and may not have been read go out again.
func (r *Router) handleConnectionLoss(l *link, written, confirmed int64) {
	for _, c := range r.callsInOrder() {
		switch {
		case c.outgoing != nil && c.outgoing.link == l && !c.established && len(l.peer.links) == 1:
			r.endLostAttempt(c, written)
		case c.incoming != nil && c.incoming.link == l && c.established && c.incoming.endOffset > confirmed:
			r.sendOrHold(c.incoming, c.answerMessage)
		}
	}
}

// lostAttempt ends an attempt whose connection went: it never ran if its IAM was not written whole.
func (r *Router) endLostAttempt(c *call, written int64) {
	leg := c.outgoing
	if leg.seizure.Reserved() || written >= 0 && leg.endOffset > written {
		leg.peer.group.Drop(leg.seizure)
		r.attemptEnded(c, logic.NoConnect, 0)
		return
	}
	info := isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure, Location: isup.LocationLocalNetwork}
	leg.peer.group.Release(r.now, leg.seizure, info)
	if !c.managed {
		c.outgoing = nil
		r.rejectCall(c, Failed, info)
		return
	}
	r.attemptEnded(c, logic.Reset, 0)
}

// giveUp ends the calls of a peer that did not come back in time. Its group is reset when it does.
func (r *Router) releasePeerCalls(p *peer) {
	r.log(slog.LevelWarn, "association not back in time: its calls are released", 0, slog.String("peer", p.cfg.Name))
	p.heldMessages, p.announcedDrain = nil, false
	p.group.ResetAll(r.now)
	r.markPending(p)
}

// heldPerCircuit bounds what is kept for a peer that may come back: address complete, progress, answer and one more.
const heldMessagesPerCircuit = 4

// hold keeps a message for a peer that may come back. More than the bound is dropped: the call then ends by the
// caller's or the peer's timers.
func (r *Router) holdMessage(l *leg, message *isup.Message) {
	limit := r.cfg.Held
	if limit == 0 {
		limit = heldMessagesPerCircuit * l.peer.group.Size()
	}
	if len(l.peer.heldMessages) >= limit {
		r.log(slog.LevelWarn, "too much held for a lost association: message dropped", l.call.id, slog.String("peer", l.peer.cfg.Name))
		return
	}
	l.link = nil // on no connection: another loss does not touch it
	l.peer.heldMessages = append(l.peer.heldMessages, heldMessage{l, message})
}

// pass sends a message of a call, or holds it for a peer that may come back.
func (r *Router) sendOrHold(l *leg, message *isup.Message) {
	if !l.peer.active() {
		r.holdMessage(l, message)
		return
	}
	l.peer.group.Send(l.seizure, message)
	r.flush(l.peer)
	r.recordSendPosition(l)
	r.markPending(l.peer)
}

// onLink notes on which connection and up to which byte the messages of a leg have gone out.
func (r *Router) recordSendPosition(l *leg) {
	if asps := l.peer.as.Route(int(l.seizure.CIC)); len(asps) > 0 {
		l.link = l.peer.links[asps[0]]
		l.endOffset = l.link.bytesWritten
	}
}
