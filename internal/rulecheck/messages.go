package rulecheck

import (
	"slices"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// message follows one message at the tap of a call server.
func (c *checker) message(s *server, r Record) {
	frame, err := m3ua.Decode(r.Data)
	if err != nil {
		c.v.Unread++
		return
	}
	if frame.Kind == m3ua.ASPACACK {
		s.link(r.Peer).down = false
	}
	if frame.Kind != m3ua.DATA {
		return
	}
	data, err := m3ua.ReadProtocolData(frame)
	if err != nil || data.SI != m3ua.ServiceISUP {
		c.v.Unread++
		return
	}
	m, err := isup.Decode(data.Data)
	if err != nil {
		c.v.Unread++
		return
	}
	l := s.link(r.Peer)
	switch m.Type {
	case isup.IAM:
		c.setup(s, l, r, m)
	case isup.REL:
		c.release(s, l, r, m)
	case isup.RLC:
		if !r.Out {
			delete(l.releasing, m.CIC)
			delete(l.resetting, m.CIC)
		}
	case isup.ANM, isup.CON, isup.ACM, isup.CPG:
		c.backward(s, l, r, m)
	case isup.RSC:
		c.reset(s, l, r, m, []uint16{m.CIC})
	case isup.GRA:
		if rng, err := m.RangeStatus(); err == nil && !r.Out {
			for i := 0; i <= rng.Range; i++ {
				delete(l.resetting, m.CIC+uint16(i))
			}
		}
	case isup.UCIC:
		if g := l.out[m.CIC]; !r.Out && g != nil {
			c.drop(s, l, g, r.At, false)
		}
	case isup.GRS, isup.CGB:
		c.group(s, l, r, m)
	}
}

func (c *checker) group(s *server, l *link, r Record, m *isup.Message) {
	rng, err := m.RangeStatus()
	if err != nil || m.Type == isup.CGB && m.GroupKind() != isup.Hardware {
		return
	}
	var cics []uint16
	for i := 0; i <= rng.Range; i++ {
		if m.Type == isup.GRS || rng.Bit(i) {
			cics = append(cics, m.CIC+uint16(i))
		}
	}
	c.reset(s, l, r, m, cics)
}

// reset ends whatever is on circuits. The caller of a call reset on its own side is not owed an answer.
func (c *checker) reset(s *server, l *link, r Record, m *isup.Message, cics []uint16) {
	for _, cic := range cics {
		for _, legs := range []map[uint16]*leg{l.in, l.out} {
			for _, g := range legs {
				if slices.Contains(g.cics, cic) {
					l.cut[g.cics[0]] = g.cics
					c.drop(s, l, g, r.At, true)
				}
			}
		}
		for first, held := range l.releasing {
			if m.Type != isup.CGB && slices.Contains(held, cic) { // a block does not end a release
				delete(l.releasing, first)
			}
		}
	}
	if r.Out && m.Type != isup.CGB { // until the acknowledgement these take no call
		for _, cic := range cics {
			l.resetting[cic] = true
		}
	}
}

// drop takes a leg off a link. An incoming one is excused; an outgoing one is over.
func (c *checker) drop(s *server, l *link, g *leg, at time.Duration, release bool) {
	if g.out {
		if l.out[g.cics[0]] == g {
			delete(l.out, g.cics[0])
		}
		if !g.answered {
			c.over(g, at, release)
		}
		return
	}
	if l.in[g.cics[0]] == g {
		delete(l.in, g.cics[0])
	}
	if g.call.in == g {
		g.call.excused = true
		g.call.complete = true
	}
}

// key is the calling party number, by which the legs of one try are told from all others.
func key(m *isup.Message) string {
	v, _ := m.Get(isup.ParamCallingNumber)
	return string(v)
}

func (c *checker) setup(s *server, l *link, r Record, m *isup.Message) {
	set, err := m.Setup()
	if err != nil {
		c.v.Unread++
		return
	}
	cics := set.Circuits(m.CIC)
	if !r.Out && l.down {
		return // DATA before ASPAC ACK reaches no user (RFC 4666 4.3.4.3): the ACK was lost on its way
	}
	if r.Out {
		c.setupOut(s, l, r, m, cics)
		return
	}
	if !c.takes(s, l, r, cics) {
		return
	}
	number := key(m)
	k := s.calls[number]
	if k != nil && !k.complete && k.in != nil && s.link(k.in.peer).in[k.in.cics[0]] == k.in {
		if !c.orphan(s, k.in) {
			c.breach(1, r.At, s, k, "the tap shows the same try twice: its calling number is not its own")
			return
		}
		k.excused = true
	}
	patience, ok := c.f.Patience[set.Category]
	k = &call{number: number, taken: r.At, patience: patience - set.Elapsed, excused: !ok}
	k.in = &leg{call: k, peer: r.Peer, cics: cics}
	l.in[cics[0]] = k.in
	s.calls[number] = k
	c.v.Calls++
}

// orphan tells whether the call server that a leg came from has ended it, while the end of it is still on its way here or
// was lost: a silent processor loses a GRS, and after the release wait the try goes out again. So it is where the leg before
// it has been ended.
func (c *checker) orphan(s *server, g *leg) bool {
	from := c.servers[g.peer]
	if from == nil {
		return false
	}
	out := from.link(s.name).out[g.cics[0]]
	if out == nil || out.call.number != g.call.number || !out.answered && out.call.attempt != out {
		return true
	}
	in := out.call.in
	return in != nil && c.orphan(from, in)
}

// takes tells whether a call server takes an incoming IAM: not while its own REL on the circuit is unanswered,
// and not in a dual seizure that it wins (Q.764 2.9.1.4). One that it loses ends its own attempt.
func (c *checker) takes(s *server, l *link, r Record, cics []uint16) bool {
	var lost []*leg
	for _, cic := range cics {
		if l.resetting[cic] {
			return false
		}
		for _, held := range l.releasing {
			if slices.Contains(held, cic) {
				return false
			}
		}
		for _, g := range l.out {
			if !slices.Contains(g.cics, cic) {
				continue
			}
			if g.heard || c.controls(s.name, r.Peer, g.cics, cics) {
				c.v.Dual++
				return false
			}
			lost = append(lost, g)
		}
	}
	for _, g := range lost {
		c.v.Dual++
		c.drop(s, l, g, r.At, false)
	}
	return true
}

// controls tells whether the call of s on own goes before that of the peer on far.
func (c *checker) controls(s, peer string, own, far []uint16) bool {
	if len(own) != len(far) {
		return len(own) > len(far)
	}
	return (c.f.PointCodes[s] > c.f.PointCodes[peer]) == (min(own[0], far[0])%2 == 0)
}

func (c *checker) setupOut(s *server, l *link, r Record, m *isup.Message, cics []uint16) {
	c.v.Attempts++
	c.drained(s, r)
	c.coldOut(s, r)
	k := s.calls[key(m)]
	if k == nil {
		return // of a call taken before a kill
	}
	if k.answers > 0 && r.At > k.answeredAt+c.f.Skew {
		c.breach(1, r.At, s, k, "a set-up toward %s, %v after the final answer", r.Peer, r.At-k.answeredAt)
	}
	if k.attempt != nil {
		c.breach(2, r.At, s, k, "a set-up toward %s while one toward %s is out", r.Peer, k.attempt.peer)
	}
	if k.barred && r.At+c.f.Skew < k.bar {
		c.breach(5, r.At, s, k, "a set-up toward %s, %v before the release is over", r.Peer, k.bar-r.At)
	}
	for first, held := range l.releasing { // its RLC was lost, and the end that seizes knows it to be over
		if slices.ContainsFunc(held, func(x uint16) bool { return slices.Contains(cics, x) }) {
			delete(l.releasing, first)
		}
	}
	g := &leg{call: k, peer: r.Peer, cics: cics, out: true}
	k.attempt, k.barred = g, false
	l.out[cics[0]] = g
	c.crossed(s, l, r, g)
}

// crossed handles an outgoing IAM that the tap shows behind the incoming one that it crossed.
func (c *checker) crossed(s *server, l *link, r Record, g *leg) {
	for _, in := range l.in {
		if in.heard || !slices.ContainsFunc(in.cics, func(x uint16) bool { return slices.Contains(g.cics, x) }) {
			continue
		}
		c.v.Dual++
		if c.controls(s.name, r.Peer, g.cics, in.cics) {
			c.v.Calls--
			c.drop(s, l, in, r.At, false)
		} else {
			c.drop(s, l, g, r.At, false)
		}
		return
	}
}

func (c *checker) backward(s *server, l *link, r Record, m *isup.Message) {
	answer := m.Type == isup.ANM || m.Type == isup.CON
	if !r.Out {
		if g := l.out[m.CIC]; g != nil {
			g.heard = true
			if answer {
				g.answered = true
				if g.call.attempt == g {
					g.call.attempt = nil
				}
			}
		}
		return
	}
	g := l.in[m.CIC]
	if g == nil {
		return
	}
	g.heard = true
	switch {
	case answer && !g.answered:
		g.answered, g.again = true, false
		c.answer(s, g.call, r.At, "it stands")
	case answer && g.again:
		g.again = false
	case answer:
		c.answer(s, g.call, r.At, "it stands once more")
	}
}

// answer notes a final answer toward the caller.
func (c *checker) answer(s *server, k *call, at time.Duration, what string) {
	k.answers++
	c.v.Answers++
	if k.answers > 1 {
		c.breach(1, at, s, k, "a second final answer: %s", what)
		return
	}
	k.answeredAt = at
	if late := at - k.taken - k.patience; late > c.f.Slack && !k.excused {
		c.breach(1, at, s, k, "the final answer (%s) is %v late", what, late)
	}
}

func (c *checker) release(s *server, l *link, r Record, m *isup.Message) {
	if in := l.in[m.CIC]; in != nil {
		// On a blocked circuit an IAM seizes nothing: its refusal awaits no RLC, which may be lost.
		seized := in.heard || m.Release().Cause != isup.CauseNetworkOutOfOrder
		c.releaseIn(s, l, r, in)
		if r.Out && seized {
			l.releasing[in.cics[0]] = in.cics
		}
		return
	}
	g := l.out[m.CIC]
	if g == nil {
		if r.Out { // of a call that a hardware block has ended
			l.releasing[m.CIC] = append([]uint16{m.CIC}, l.cut[m.CIC]...)
		}
		return
	}
	delete(l.out, m.CIC)
	if !g.answered {
		c.over(g, r.At, r.Out || m.Release().Cause == isup.CauseTemporaryFailure)
	}
	if r.Out {
		l.releasing[g.cics[0]] = g.cics
	}
}

// releaseIn takes a REL on the caller's side: an answer where the call server sends it before the call stands,
// a hang-up where the caller does.
func (c *checker) releaseIn(s *server, l *link, r Record, in *leg) {
	delete(l.in, in.cics[0])
	k := in.call
	k.complete = true
	switch {
	case in.answered:
	case r.Out:
		in.heard = true
		c.answer(s, k, r.At, "REL")
	default:
		k.hungUp = true
		if wait := r.At - k.taken; wait > k.patience+c.f.Slack && !k.excused {
			c.breach(1, r.At, s, k, "no final answer in %v, the caller waits %v", wait, k.patience)
		}
	}
}
