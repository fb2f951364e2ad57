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

// peer is a signalling relation: an application server with one or more processes, and a trunk group.
type peer struct {
	id               PeerID
	cfg              Peer
	as               *m3ua.AS
	links            []*link
	group            *trunk.Group
	timerAt          time.Duration // expiry of the earliest timer armed for the state machines; 0: none
	groupReset       bool          // the trunk group has been reset since this Router was created
	pending          bool          // in Router.pendingPeers
	clientIndex      int           // index among the clients
	congestionLevel  ingress.Level // level last sent to it by SCON
	announcedDrain   bool          // it has announced that it goes out of service (DRST or DUNA)
	reportedCircuits [2]int        // spare and total circuits last reported to the Controller
	heldMessages     []heldMessage // call messages to send when the peer is active again
}

// link is the association with one process of a peer.
type link struct {
	id           LinkID
	peer         *peer
	aspIndex     int
	assoc        *m3ua.Assoc
	bytesWritten int64 // bytes of Write effects since Connected
}

// heldMessage is a message of a call that waits for its peer to become active.
type heldMessage struct {
	leg     *leg
	message *isup.Message
}

// active reports whether a peer accepts traffic now.
func (p *peer) active() bool { return p.as.State() == m3ua.ASActive }

// addPeer creates a peer with its trunk group and associations.
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

// processPeer handles events and output of the state machines of a peer until there are none left.
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

// flush passes the messages of a trunk group to the associations of its peer, and their bytes on as Write effects.
func (r *Router) flush(p *peer) {
	for _, message := range p.group.Output() {
		b, err := message.Append(r.encodeBuffer[:0])
		r.encodeBuffer = b[:0]
		if err != nil {
			r.log(slog.LevelError, "cannot encode ISUP message", 0, slog.String("peer", p.cfg.Name), slog.Any("err", err))
			continue
		}
		// A message that cannot be sent now is repeated by the timers of the group, or was held by sendOrHold.
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

// sendNetworkManagement sends a network management message about the own point code to a peer.
func (r *Router) sendNetworkManagement(p *peer, kind m3ua.Kind, congestion byte) {
	for _, l := range p.links {
		if l.assoc.Network(kind, r.ownExchange.PointCode, congestion) == nil {
			r.markPending(p)
		}
	}
}

// admit reports whether a call of a client is within the client's fair share, and sends SCON to the client when its
// congestion level changes.
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

// endAdmission reports to the fair shares that a call of a client has ended.
func (r *Router) endAdmission(c *call) {
	if c.admitted { // may be called twice: at the end of the lease and of the incoming leg
		c.admitted = false
		r.clientShares.Ended(c.client.clientIndex)
	}
}

// reportCircuits reports the circuits toward an exchange to the Controller when they have changed.
func (r *Router) reportCircuits(p *peer) {
	circuits := [2]int{p.group.Spare(), p.group.Total()}
	if p.cfg.Kind != PeerExchange || p.reportedCircuits == circuits {
		return
	}
	p.reportedCircuits = circuits
	r.controller.Report(r.now, logic.Report{Office: p.cfg.Name, OK: true, Load: []float64{float64(circuits[0]), float64(circuits[1])}})
}

// armPeerTimer arms a timer for the earliest deadline of the state machines of a peer, unless one that early is armed.
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

// handleIndication handles an indication of an association.
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
		r.log(slog.LevelWarn, "bad M3UA message", 0, slog.String("peer", p.cfg.Name), slog.Any("err", indication.Err))
	case m3ua.IndClose:
		r.log(slog.LevelWarn, "closing connection", 0, slog.String("peer", p.cfg.Name), slog.Any("err", indication.Err))
		r.emit(Close{Link: l.id, Err: indication.Err})
	}
}

// handleASEvent handles an event of the application server of a peer.
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

// handlePeerActive handles the news that a peer accepts traffic. The first time, the whole trunk group is reset, because
// the peer may still know calls of an earlier process. Later, everything that waits for the peer is sent.
func (r *Router) handlePeerActive(p *peer) {
	if !p.groupReset {
		p.groupReset = true
		p.group.ResetAll(r.now)
	} else {
		p.group.Resume(r.now)
	}
	held := p.heldMessages
	p.heldMessages = nil
	for _, waiting := range held {
		r.sendOrHold(waiting.leg, waiting.message)
	}
	if r.draining && p.cfg.Kind == PeerExchange {
		r.sendNetworkManagement(p, m3ua.DRST, 0)
	}
}

// handleData handles the payload of a DATA message: an ISUP message.
func (r *Router) handleData(p *peer, payload m3ua.ProtocolData) {
	if payload.SI != m3ua.ServiceISUP || payload.OPC != p.cfg.PointCode || payload.DPC != r.ownExchange.PointCode {
		r.log(slog.LevelWarn, "message with a wrong service indicator or point code", 0, slog.String("peer", p.cfg.Name), slog.Int("si", int(payload.SI)),
			slog.Uint64("opc", uint64(payload.OPC)), slog.Uint64("dpc", uint64(payload.DPC)))
		return
	}
	message, err := isup.Decode(payload.Data)
	if err != nil {
		r.log(slog.LevelWarn, "cannot decode ISUP message", 0, slog.String("peer", p.cfg.Name), slog.Any("err", err))
		return
	}
	if !isup.Known(message.Type) && r.handleUnknownMessage(p, message) {
		return
	}
	p.group.Receive(r.now, message)
	r.handleGroupEvents(p) // before the next message, which may be about the same call
}

// handleGroupEvents handles the events of the trunk group of a peer, and returns false if there were none. Handlers do
// not fetch events of the group themselves, so the slice stays valid.
func (r *Router) handleGroupEvents(p *peer) bool {
	events := p.group.Events()
	for _, e := range events {
		r.handleGroupEvent(p, e)
	}
	return len(events) > 0
}

// handleUnknownMessage applies Q.764 2.9.5.2 to a message of an unknown type. It returns true if the message must be
// discarded.
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

// handleNetworkManagement handles a network management message: another exchange announces its own state, or audits the
// state of this one.
func (r *Router) handleNetworkManagement(l *link, message *m3ua.Message) {
	p := l.peer
	if message.Kind == m3ua.DAUD { // only the state of the own point code is known here
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
		r.log(slog.LevelInfo, "exchange announces its state", 0, slog.String("exchange", affected.cfg.Name), slog.String("message", message.Kind.String()))
		if office, ok := r.offices[affected.cfg.Name]; ok {
			r.controller.List(r.now, logic.ListUpdate, []logic.Office{r.effectiveOffice(office)})
		}
	}
}

// handleConnectionLoss handles the calls on a lost connection. Outstanding attempts on it end, unless the peer has other
// processes that carry on; answers that were sent on it and that the peer may not have read are sent again.
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

// endLostAttempt ends an attempt whose connection was lost. It never ran if its IAM was not written completely.
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

// releasePeerCalls ends the calls of a peer that did not return within the recovery time. The reset of its trunk group is
// completed when it returns.
func (r *Router) releasePeerCalls(p *peer) {
	r.log(slog.LevelWarn, "association not restored within the recovery time: its calls are released", 0, slog.String("peer", p.cfg.Name))
	p.heldMessages, p.announcedDrain = nil, false
	p.group.ResetAll(r.now)
	r.markPending(p)
}

// heldMessagesPerCircuit limits the messages held for a peer that may return: address complete, progress, answer and one
// more.
const heldMessagesPerCircuit = 4

// holdMessage keeps a message for a peer that may return. A message above the limit is dropped: its call then ends by
// the timers of the caller or of the peer.
func (r *Router) holdMessage(l *leg, message *isup.Message) {
	limit := r.cfg.Held
	if limit == 0 {
		limit = heldMessagesPerCircuit * l.peer.group.Size()
	}
	if len(l.peer.heldMessages) >= limit {
		r.log(slog.LevelWarn, "too many messages held for a lost association: message dropped", l.call.id, slog.String("peer", l.peer.cfg.Name))
		return
	}
	l.link = nil // on no connection, so another connection loss does not affect it
	l.peer.heldMessages = append(l.peer.heldMessages, heldMessage{l, message})
}

// sendOrHold sends a message of a call, or holds it for a peer that may return.
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

// recordSendPosition records on which connection and up to which byte the messages of a leg have been sent.
func (r *Router) recordSendPosition(l *leg) {
	if asps := l.peer.as.Route(int(l.seizure.CIC)); len(asps) > 0 {
		l.link = l.peer.links[asps[0]]
		l.endOffset = l.link.bytesWritten
	}
}
