package router

import (
	"log/slog"
	"slices"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/trunk"
)

// peer is a signalling relation: an association and a trunk group.
type peer struct {
	id      PeerID
	cfg     Peer
	assoc   *m3ua.Assoc
	group   *trunk.Group
	offset  int64         // bytes written since Connected
	wake    time.Duration // the timer armed for the state machines; 0 none
	lostAt  time.Duration // when an active association was lost; 0: it is not
	began   bool          // the group has been reset since this Router was made
	touched bool
	leaving bool // it has said that it goes out of service
	told    [2]int
	held    []heldMessage // call messages for an association that may come back
}

// heldMessage is a message of a call that could not be sent.
type heldMessage struct {
	seizure *trunk.Seizure
	message *isup.Message
}

func (r *Router) addPeer(id PeerID, cfg Peer) error {
	direction := map[PeerKind]trunk.Direction{PeerExchange: trunk.BothWay, PeerClient: trunk.Incoming,
		PeerSubscribers: trunk.Outgoing}[cfg.Kind]
	g, err := trunk.New(trunk.Settings{Own: r.home.PointCode, Peer: cfg.PointCode, Circuits: cfg.Circuits,
		Direction: direction, Timers: r.cfg.Timers})
	if err != nil {
		return err
	}
	p := &peer{id: id, cfg: cfg, group: g, assoc: m3ua.NewAssoc(cfg.Assoc), told: [2]int{-1, -1}}
	r.peers = append(r.peers, p)
	r.byName[cfg.Name], r.byCode[cfg.PointCode] = p, p
	return nil
}

// settle passes on what the state machines of a peer have to say, until they fall silent.
func (r *Router) settle(p *peer) {
	for busy := true; busy; {
		busy = r.signals(p)
		ind := p.assoc.Indications()
		for _, i := range ind {
			r.indicated(p, i)
		}
		busy = busy || len(ind) > 0
		r.flush(p)
	}
	r.reportGroup(p)
	r.wakeFor(p)
}

// flush hands the messages of a group to its association and the bytes of the association to the shell.
func (r *Router) flush(p *peer) {
	for _, m := range p.group.Output() {
		b, err := m.Append(r.scratch[:0])
		r.scratch = b[:0]
		if err != nil {
			r.log(slog.LevelError, "message not written", 0, slog.String("peer", p.cfg.Name), slog.Any("err", err))
			continue
		}
		// What cannot be sent now is sent again by the group's timers, or is held by pass.
		_ = p.assoc.Send(m3ua.ProtocolData{OPC: r.home.PointCode, DPC: p.cfg.PointCode, SI: m3ua.ServiceISUP,
			NI: r.cfg.Network, SLS: byte(m.CIC & 0x0f), Data: b})
	}
	if b := p.assoc.Output(); len(b) > 0 {
		p.offset += int64(len(b))
		r.emit(Write{Peer: p.id, Bytes: b})
	}
}

// reportGroup tells the Controller of the circuits toward an exchange when they have changed.
func (r *Router) reportGroup(p *peer) {
	now := [2]int{p.group.Spare(), p.group.Total()}
	if p.cfg.Kind != PeerExchange || p.told == now {
		return
	}
	p.told = now
	r.ctl.Report(r.now, logic.Report{Office: p.cfg.Name, OK: true, Load: []float64{float64(now[0]), float64(now[1])}})
}

// wakeFor arms a timer for the next deadline of the state machines.
func (r *Router) wakeFor(p *peer) {
	at, ok := p.assoc.Deadline()
	if t, also := p.group.Deadline(); also && (!ok || t < at) {
		at, ok = t, true
	}
	if at = max(at, r.now); ok && (p.wake == 0 || at < p.wake) {
		p.wake = at
		r.arm(at, timer{kind: timerPeer, peer: p.id})
	}
}

// indicated takes an indication of an association.
func (r *Router) indicated(p *peer, i m3ua.Indication) {
	switch i.Kind {
	case m3ua.IndState:
		r.log(slog.LevelInfo, "association", 0, slog.String("peer", p.cfg.Name), slog.String("state", i.State.String()))
		switch {
		case i.State == m3ua.Active:
			r.up(p)
		case p.lostAt == 0 && p.began:
			p.lostAt = max(r.now, 1)
			r.arm(r.now+r.cfg.Recovery, timer{kind: timerRecover, peer: p.id})
		}
	case m3ua.IndData:
		r.data(p, i.Data)
	case m3ua.IndNetwork:
		r.network(p, i.Message)
	case m3ua.IndPeer:
		if code, ok := i.Message.Uint32(m3ua.TagErrorCode); ok {
			r.log(slog.LevelWarn, "peer reports an error", 0, slog.String("peer", p.cfg.Name), slog.Uint64("code", uint64(code)))
		}
	case m3ua.IndFault:
		r.log(slog.LevelWarn, "bad message", 0, slog.String("peer", p.cfg.Name), slog.Any("err", i.Err))
	case m3ua.IndClose:
		r.log(slog.LevelWarn, "connection given up", 0, slog.String("peer", p.cfg.Name), slog.Any("err", i.Err))
		r.emit(Close{Peer: p.id, Err: i.Err})
	}
}

// up takes the news that a peer takes traffic: what it may know of older calls is reset the first time, and
// what was held for it goes out later times.
func (r *Router) up(p *peer) {
	p.lostAt = 0
	if !p.began {
		p.began = true
		p.group.ResetAll(r.now)
	} else {
		p.group.Resume(r.now)
	}
	held := p.held
	p.held = nil
	for _, h := range held {
		p.group.Send(h.seizure, h.message)
	}
	if r.draining && p.cfg.Kind == PeerExchange {
		_ = p.assoc.Network(m3ua.DRST, r.home.PointCode, 0)
	}
}

// data takes the payload of a DATA: an ISUP message.
func (r *Router) data(p *peer, d m3ua.ProtocolData) {
	if d.SI != m3ua.ServiceISUP || d.OPC != p.cfg.PointCode || d.DPC != r.home.PointCode {
		r.log(slog.LevelWarn, "message not for us", 0, slog.String("peer", p.cfg.Name), slog.Int("si", int(d.SI)),
			slog.Uint64("opc", uint64(d.OPC)), slog.Uint64("dpc", uint64(d.DPC)))
		return
	}
	m, err := isup.Decode(d.Data)
	if err != nil {
		r.log(slog.LevelWarn, "bad ISUP message", 0, slog.String("peer", p.cfg.Name), slog.Any("err", err))
		return
	}
	if !isup.Known(m.Type) && r.compatibility(p, m) {
		return
	}
	p.group.Receive(r.now, m)
	r.signals(p) // before the next message: it may be about the same call
}

// signals passes on the events of a group; false: there was none. Handlers take no events of it themselves, so
// the slice stays good.
func (r *Router) signals(p *peer) bool {
	ev := p.group.Events()
	for _, e := range ev {
		r.signalled(p, e)
	}
	return len(ev) > 0
}

// compatibility applies Q.764 2.9.5.2 to a message of an unknown type; true: it goes no further.
func (r *Router) compatibility(p *peer, m *isup.Message) bool {
	how := isup.Unrecognized(m, true)
	if how.Notify {
		c := &isup.Message{CIC: m.CIC, Type: isup.CFN}
		c.Set(isup.ParamCause, 0x80|byte(isup.LocationLocalNetwork), 0x80|byte(how.Cause))
		if b, err := c.Append(nil); err == nil {
			_ = p.assoc.Send(m3ua.ProtocolData{OPC: r.home.PointCode, DPC: p.cfg.PointCode, SI: m3ua.ServiceISUP,
				NI: r.cfg.Network, Data: b})
		}
	}
	return how.Discard
}

// network takes a network management message: a neighbour tells of itself.
func (r *Router) network(p *peer, m *m3ua.Message) {
	if m.Kind == m3ua.DAUD { // an audit of the own point code is answered; others are not known here
		answer := map[bool]m3ua.Kind{true: m3ua.DRST, false: m3ua.DAVA}[r.draining]
		if slices.Contains(m3ua.AffectedPointCodes(m), r.home.PointCode) {
			_ = p.assoc.Network(answer, r.home.PointCode, 0)
		}
		return
	}
	for _, code := range m3ua.AffectedPointCodes(m) {
		q := r.byCode[code]
		if q == nil || q != p || q.cfg.Kind != PeerExchange {
			continue
		}
		leaving := m.Kind == m3ua.DUNA || m.Kind == m3ua.DRST
		if m.Kind != m3ua.DAVA && !leaving || q.leaving == leaving {
			continue
		}
		q.leaving = leaving
		r.log(slog.LevelInfo, "exchange tells of itself", 0, slog.String("exchange", q.cfg.Name), slog.String("message", m.Kind.String()))
		if o, ok := r.list[q.cfg.Name]; ok {
			r.ctl.List(r.now, logic.ListUpdate, []logic.Office{r.merged(o)})
		}
	}
}

// lost ends the attempts that were out to a peer when its connection went.
func (r *Router) lost(p *peer, written int64) {
	for _, c := range r.sorted() {
		if c.out == nil || c.out.peer != p || c.answered {
			continue
		}
		leg := c.out
		if written >= 0 && leg.end > written {
			p.group.Drop(leg.seizure)
			r.attemptOver(c, logic.NoConnect, 0)
			continue
		}
		p.group.Release(r.now, leg.seizure, isup.ReleaseInfo{Cause: isup.CauseTemporaryFailure,
			Location: isup.LocationLocalNetwork})
		r.attemptOver(c, logic.Reset, 0)
	}
}

// giveUp ends the calls of a peer whose association did not come back in time. Its group is reset when it does.
func (r *Router) giveUp(p *peer) {
	r.log(slog.LevelWarn, "association not back in time: its calls are released", 0, slog.String("peer", p.cfg.Name))
	p.held, p.leaving = nil, false
	p.group.ResetAll(r.now)
	r.touch(p)
}

// pass sends a message of a call, or holds it for an association that may come back.
func (r *Router) pass(l *leg, m *isup.Message) {
	if l.peer.assoc.State() != m3ua.Active {
		l.peer.held = append(l.peer.held, heldMessage{l.seizure, m})
		return
	}
	l.peer.group.Send(l.seizure, m)
	r.touch(l.peer)
}
