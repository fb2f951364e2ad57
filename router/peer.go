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
	timerAt          time.Duration // expiry of the earliest timer armed for the state machines; 0 if none is armed
	groupReset       bool          // the trunk group has been reset since this Router was created
	pending          bool          // in Router.pendingPeers
	clientIndex      int           // index among the clients
	congestionLevel  ingress.Level // level last sent to it by SCON
	announcedDrain   bool          // it has itself announced its drain (DRST or DUNA)
	reportedCircuits [2]int        // usable and unblocked circuits last reported to the Controller
	heldMessages     []heldMessage // call messages to send when the peer is active again
}

// link is the association with one process of a peer, on its transport connection.
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
	group, err := trunk.New(trunk.Settings{OwnPointCode: r.ownExchange.PointCode, PeerPointCode: cfg.PointCode, Circuits: cfg.Circuits,
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
	peer := &peer{id: id, cfg: cfg, group: group, clientIndex: clients, reportedCircuits: [2]int{-1, -1},
		as: m3ua.NewAS(m3ua.ASSettings{Mode: cfg.Mode, ASPs: len(cfg.ASPs), MinActiveASPs: cfg.MinActiveASPs, Recovery: r.cfg.Recovery})}
	for i, settings := range cfg.ASPs {
		settings.DestinationPointCode = r.ownExchange.PointCode
		if len(cfg.ASPs) > 1 {
			settings.Mode = max(cfg.Mode, m3ua.Override)
		}
		link := &link{id: LinkID(len(r.links)), peer: peer, aspIndex: i, assoc: m3ua.NewAssoc(settings)}
		r.links, peer.links = append(r.links, link), append(peer.links, link)
	}
	r.peers = append(r.peers, peer)
	r.peersByName[cfg.Name], r.peersByPointCode[cfg.PointCode] = peer, peer
	return nil
}

// processPeer handles events and output of the state machines of a peer until there are none left.
func (r *Router) processPeer(peer *peer) {
	for busy := true; busy; {
		busy = r.handleGroupEvents(peer)
		for _, link := range peer.links {
			indications := link.assoc.Indications()
			for _, indication := range indications {
				r.handleIndication(link, indication)
			}
			busy = busy || len(indications) > 0
		}
		for _, event := range peer.as.Events() {
			r.handleASEvent(peer, event)
			busy = true
		}
		r.flush(peer)
	}
	r.reportCircuits(peer)
	r.armPeerTimer(peer)
}

// flush sends the messages that the trunk group of a peer has produced on the associations of the peer, and emits the bytes
// that these have produced as Write effects.
func (r *Router) flush(peer *peer) {
	for _, message := range peer.group.Output() {
		data, err := message.Append(r.encodeBuffer[:0])
		r.encodeBuffer = data[:0]
		if err != nil {
			r.log(slog.LevelError, "cannot encode ISUP message", 0, slog.String("peer", peer.cfg.Name), slog.Any("err", err))
			continue
		}
		// A message that cannot be sent now is dropped. Requests are sent again by the timers of this group, and
		// acknowledgements once the far end repeats its request; sendOrHold has held the messages of calls before.
		for _, asp := range peer.as.Route(int(message.CIC)) {
			_ = peer.links[asp].assoc.Send(m3ua.ProtocolData{OPC: r.ownExchange.PointCode, DPC: peer.cfg.PointCode, SI: m3ua.ServiceISUP,
				NI: r.cfg.Network, SLS: byte(message.CIC & 0x0f), Data: data})
		}
	}
	for _, link := range peer.links {
		if data := link.assoc.Output(); len(data) > 0 {
			link.bytesWritten += int64(len(data))
			r.emit(Write{Link: link.id, Bytes: data})
		}
	}
}

// sendNetworkManagement sends a network management message about the point code of this exchange to a peer.
func (r *Router) sendNetworkManagement(peer *peer, kind m3ua.Kind, congestion byte) {
	for _, link := range peer.links {
		if link.assoc.SendNetworkManagement(kind, r.ownExchange.PointCode, congestion) == nil {
			r.markPending(peer)
		}
	}
}

// admit reports whether a call of a client is within the client's fair share, and sends SCON to the client when its
// congestion level changes.
func (r *Router) admit(call *call, peer *peer) bool {
	if peer.cfg.Kind != PeerClient {
		return true
	}
	call.clientPeer = peer
	worth := 0.0
	if call.class >= 0 {
		worth = r.cfg.Classes[call.class].Worth
	}
	admitted, level := r.clientShares.Offer(r.now, peer.clientIndex, worth)
	call.admitted, call.congestionLevel = admitted, level
	if level != peer.congestionLevel {
		peer.congestionLevel = level
		r.sendNetworkManagement(peer, m3ua.SCON, byte(level))
	}
	return admitted
}

// endAdmission reports to the fair shares that a call of a client has ended.
func (r *Router) endAdmission(call *call) {
	if call.admitted { // may be called twice: at the end of the lease and of the incoming leg
		call.admitted = false
		r.clientShares.Ended(call.clientPeer.clientIndex)
	}
}

// reportCircuits reports the circuits toward an exchange to the Controller when they have changed.
func (r *Router) reportCircuits(peer *peer) {
	circuits := [2]int{peer.group.Usable(), peer.group.Unblocked()}
	if peer.cfg.Kind != PeerExchange || peer.reportedCircuits == circuits {
		return
	}
	peer.reportedCircuits = circuits
	r.controller.Report(r.now, logic.Report{Office: peer.cfg.Name, OK: true, Load: []float64{float64(circuits[0]), float64(circuits[1])}})
}

// armPeerTimer arms a timer for the earliest deadline of the state machines of a peer, unless a timer that expires no later
// is already armed.
func (r *Router) armPeerTimer(peer *peer) {
	earliest, ok := peer.group.Deadline()
	earlier := func(deadline time.Duration, armed bool) {
		if armed && (!ok || deadline < earliest) {
			earliest, ok = deadline, true
		}
	}
	earlier(peer.as.Deadline())
	for _, link := range peer.links {
		earlier(link.assoc.Deadline())
	}
	if earliest = max(earliest, r.now); ok && (peer.timerAt == 0 || earliest < peer.timerAt) {
		peer.timerAt = earliest
		r.armTimer(earliest, timer{kind: timerPeer, peer: peer.id})
	}
}

// handleIndication passes an indication of an association to the application server, the trunk group or the network
// management of its peer, or logs it.
func (r *Router) handleIndication(link *link, indication m3ua.Indication) {
	peer := link.peer
	switch indication.Kind {
	case m3ua.IndState:
		r.log(slog.LevelInfo, "association", 0, slog.String("peer", peer.cfg.Name), slog.Int("asp", link.aspIndex),
			slog.String("state", indication.State.String()))
		peer.as.Update(r.now, link.aspIndex, indication.State)
	case m3ua.IndData:
		r.handleData(peer, indication.Data)
	case m3ua.IndNetworkManagement:
		r.handleNetworkManagement(link, indication.Message)
	case m3ua.IndManagement:
		if code, ok := indication.Message.Uint32(m3ua.TagErrorCode); ok {
			r.log(slog.LevelWarn, "peer reported an M3UA error", 0, slog.String("peer", peer.cfg.Name), slog.Uint64("code", uint64(code)))
		}
	case m3ua.IndFault:
		r.log(slog.LevelWarn, "bad M3UA message", 0, slog.String("peer", peer.cfg.Name), slog.Any("err", indication.Err))
	case m3ua.IndClose:
		r.log(slog.LevelWarn, "closing connection", 0, slog.String("peer", peer.cfg.Name), slog.Any("err", indication.Err))
		r.emit(Close{Link: link.id, Err: indication.Err})
	}
}

// handleASEvent notifies the processes of a peer of a change of their application server, and starts or ends the traffic
// with the peer.
func (r *Router) handleASEvent(peer *peer, event m3ua.ASEvent) {
	switch event.Kind {
	case m3ua.ASOverridden:
		peer.links[event.ASP].assoc.Overridden()
	case m3ua.ASInsufficient:
		for _, link := range peer.links {
			link.assoc.NotifyInsufficientASPs()
		}
	case m3ua.ASChanged:
		if len(peer.links) > 1 {
			r.log(slog.LevelInfo, "application server changed its state", 0, slog.String("peer", peer.cfg.Name),
				slog.String("state", event.State.String()))
		}
		for _, link := range peer.links {
			link.assoc.NotifyAS(event.State)
		}
		switch {
		case event.State == m3ua.ASActive:
			r.handlePeerActive(peer)
		case event.State != m3ua.ASPending && peer.groupReset:
			r.releasePeerCalls(peer)
		}
	}
}

// handlePeerActive begins the traffic with a peer that has become active. The first time, the whole trunk group is reset,
// because the peer may still know calls of an earlier process. Later, everything that waits for the peer is sent.
func (r *Router) handlePeerActive(peer *peer) {
	if !peer.groupReset {
		peer.groupReset = true
		peer.group.ResetAll(r.now)
	} else {
		peer.group.Resume(r.now)
	}
	held := peer.heldMessages
	peer.heldMessages = nil
	for _, waiting := range held {
		r.sendOrHold(waiting.leg, waiting.message)
	}
	if r.draining && peer.cfg.Kind == PeerExchange {
		r.sendNetworkManagement(peer, m3ua.DRST, 0)
	}
}

// handleData handles the payload of a DATA message: an ISUP message.
func (r *Router) handleData(peer *peer, payload m3ua.ProtocolData) {
	if payload.SI != m3ua.ServiceISUP || payload.OPC != peer.cfg.PointCode || payload.DPC != r.ownExchange.PointCode {
		r.log(slog.LevelWarn, "message with a wrong service indicator or point code", 0, slog.String("peer", peer.cfg.Name),
			slog.Int("si", int(payload.SI)), slog.Uint64("opc", uint64(payload.OPC)), slog.Uint64("dpc", uint64(payload.DPC)))
		return
	}
	message, err := isup.Decode(payload.Data)
	if err != nil {
		r.log(slog.LevelWarn, "cannot decode ISUP message", 0, slog.String("peer", peer.cfg.Name), slog.Any("err", err))
		return
	}
	if !isup.Known(message.Type) && r.handleUnknownMessage(peer, message) {
		return
	}
	peer.group.Receive(r.now, message)
	r.handleGroupEvents(peer) // before the next message, which may be about the same call
}

// handleGroupEvents handles the events of the trunk group of a peer, and returns false if there were none. Handlers do
// not fetch events of the group themselves, so the slice stays valid.
func (r *Router) handleGroupEvents(peer *peer) bool {
	events := peer.group.Events()
	for _, event := range events {
		r.handleGroupEvent(peer, event)
	}
	return len(events) > 0
}

// handleUnknownMessage applies Q.764 2.9.5.2 to a message of an unknown type. It returns true if the message must be
// discarded.
func (r *Router) handleUnknownMessage(peer *peer, message *isup.Message) bool {
	instruction := isup.ApplyCompatibility(message, true)
	if instruction.Notify {
		confusion := &isup.Message{CIC: message.CIC, Type: isup.CFN}
		confusion.Set(isup.ParamCause, 0x80|byte(isup.LocationLocalNetwork), 0x80|byte(instruction.Cause))
		if encoded, err := confusion.Append(nil); err == nil {
			for _, asp := range peer.as.Route(int(message.CIC)) {
				_ = peer.links[asp].assoc.Send(m3ua.ProtocolData{OPC: r.ownExchange.PointCode, DPC: peer.cfg.PointCode,
					SI: m3ua.ServiceISUP, NI: r.cfg.Network, Data: encoded})
			}
		}
	}
	return instruction.Discard
}

// handleNetworkManagement handles a network management message: another exchange announces its own state, or audits the
// state of this one.
func (r *Router) handleNetworkManagement(link *link, message *m3ua.Message) {
	peer := link.peer
	if message.Kind == m3ua.DAUD { // only the state of the point code of this exchange is known here
		reply := map[bool]m3ua.Kind{true: m3ua.DRST, false: m3ua.DAVA}[r.draining]
		if slices.Contains(m3ua.AffectedPointCodes(message), r.ownExchange.PointCode) {
			_ = link.assoc.SendNetworkManagement(reply, r.ownExchange.PointCode, 0)
		}
		return
	}
	for _, code := range m3ua.AffectedPointCodes(message) {
		affected := r.peersByPointCode[code]
		if affected == nil || affected != peer || affected.cfg.Kind != PeerExchange {
			continue
		}
		draining := message.Kind == m3ua.DUNA || message.Kind == m3ua.DRST
		if message.Kind != m3ua.DAVA && !draining || affected.announcedDrain == draining {
			continue
		}
		affected.announcedDrain = draining
		r.log(slog.LevelInfo, "exchange announces its state", 0, slog.String("exchange", affected.cfg.Name),
			slog.String("message", message.Kind.String()))
		if office, ok := r.offices[affected.cfg.Name]; ok {
			r.controller.UpdateOffices(r.now, logic.ListUpdate, []logic.Office{r.effectiveOffice(office)})
		}
	}
}

// handleConnectionLoss handles the calls on a lost connection. Outstanding attempts on it end, unless the peer has other
// processes that carry on; answers that were sent on it and that the peer may not have read are sent again.
func (r *Router) handleConnectionLoss(link *link, written, confirmed int64) {
	for _, call := range r.callsInOrder() {
		switch {
		case call.outgoing != nil && call.outgoing.link == link && !call.established && len(link.peer.links) == 1:
			r.endLostAttempt(call, written)
		case call.incoming != nil && call.incoming.link == link && call.established && call.incoming.endOffset > confirmed:
			r.sendOrHold(call.incoming, call.answerMessage)
		}
	}
}

// endLostAttempt ends an attempt whose connection was lost. If its IAM was not written completely, it cannot have taken
// effect and counts as not connected.
func (r *Router) endLostAttempt(call *call, written int64) {
	leg := call.outgoing
	if leg.seizure.Reserved() || written >= 0 && leg.endOffset > written {
		leg.peer.group.Free(leg.seizure)
		r.attemptEnded(call, logic.NoConnect, 0)
		return
	}
	info := isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure, Location: isup.LocationLocalNetwork}
	leg.peer.group.Release(r.now, leg.seizure, info)
	if !call.managed {
		call.outgoing = nil
		r.rejectCall(call, Failed, info)
		return
	}
	r.attemptEnded(call, logic.Reset, 0)
}

// releasePeerCalls ends the calls of a peer that did not return within the recovery time. The reset of its trunk group is
// completed when it returns.
func (r *Router) releasePeerCalls(peer *peer) {
	r.log(slog.LevelWarn, "peer did not return within the recovery time: its calls are released", 0,
		slog.String("peer", peer.cfg.Name))
	peer.heldMessages, peer.announcedDrain = nil, false
	peer.group.ResetAll(r.now)
	r.markPending(peer)
}

// heldMessagesPerCircuit limits the messages held for a peer that may return: ACM, CPG, ANM and one more for each circuit.
const heldMessagesPerCircuit = 4

// holdMessage keeps a message for a peer that may return. A message above the limit is dropped: its call then ends by
// the timers of the caller or of the peer.
func (r *Router) holdMessage(leg *leg, message *isup.Message) {
	limit := r.cfg.MaxHeldMessages
	if limit == 0 {
		limit = heldMessagesPerCircuit * leg.peer.group.Size()
	}
	if len(leg.peer.heldMessages) >= limit {
		r.log(slog.LevelWarn, "too many messages held for a lost association: message dropped", leg.call.id,
			slog.String("peer", leg.peer.cfg.Name))
		return
	}
	leg.link = nil // on no connection, so another connection loss does not affect it
	leg.peer.heldMessages = append(leg.peer.heldMessages, heldMessage{leg, message})
}

// sendOrHold sends a message of a call, or holds it for a peer that may return.
func (r *Router) sendOrHold(leg *leg, message *isup.Message) {
	if !leg.peer.active() {
		r.holdMessage(leg, message)
		return
	}
	leg.peer.group.Send(leg.seizure, message)
	r.flush(leg.peer)
	r.recordSendPosition(leg)
	r.markPending(leg.peer)
}

// recordSendPosition records on which link and up to which byte the messages of a leg have been sent.
func (r *Router) recordSendPosition(leg *leg) {
	if asps := leg.peer.as.Route(int(leg.seizure.CIC)); len(asps) > 0 {
		leg.link = leg.peer.links[asps[0]]
		leg.endOffset = leg.link.bytesWritten
	}
}
