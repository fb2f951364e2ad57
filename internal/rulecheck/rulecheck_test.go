package rulecheck

import (
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

var figures = Figures{Patience: map[byte]time.Duration{10: 3 * time.Second}, PointCodes: map[string]uint32{"a": 101, "b": 102, "c": 103},
	Grace: time.Second, Release: 200 * time.Millisecond, TipAfter: 3 * time.Second, Overload: 2, ColdFrom: 0.3,
	ColdFor: 12 * time.Second, AskWithin: time.Second, Slack: 50 * time.Millisecond, Skew: 10 * time.Millisecond}

// tape makes records as taps would: real M3UA and ISUP.
type tape struct {
	t       *testing.T
	records []Record
}

func (p *tape) message(ms int, at, peer string, out bool, m *isup.Message) {
	b, err := m.Append(nil)
	if err != nil {
		p.t.Fatal(err)
	}
	d := m3ua.ProtocolData{OPC: 1, DPC: 2, SI: m3ua.ServiceISUP, Data: b}
	p.records = append(p.records, Record{At: time.Duration(ms) * time.Millisecond, Kind: Message, Exchange: at, Peer: peer, Out: out,
		Data: d.Message().Append(nil)})
}

// iam is a set-up of the try with a number; its circuits follow cic.
func (p *tape) iam(ms int, at, peer string, out bool, cic uint16, try byte, width int) {
	set := isup.Setup{Called: isup.Number{Digits: "551", Nature: 3, Plan: 1}, Category: 10, Width: width, Hops: -1}
	if width > 1 {
		set.Map = (1<<width - 1) << (cic - 1)
	}
	m, err := isup.NewSetup(cic, set)
	if err != nil {
		p.t.Fatal(err)
	}
	m.Set(isup.ParamCallingNumber, 3, 0x11, try)
	p.message(ms, at, peer, out, m)
}

func (p *tape) simple(ms int, at, peer string, out bool, t isup.Type, cic uint16) {
	p.message(ms, at, peer, out, isup.Simple(t, cic))
}

// lookUp is a look-up for a number, or its answer with a routing number.
func (p *tape) lookUp(ms int, kind Kind, number string, id uint16, routing string) {
	m := new(dns.Msg).SetQuestion(number+".e164.arpa.", dns.TypeNAPTR)
	if m.Id = id; kind == Replied {
		q := *m
		m = new(dns.Msg).SetReply(&q)
		m.Answer = []dns.RR{&dns.NAPTR{Hdr: dns.RR_Header{Name: number + ".e164.arpa.", Rrtype: dns.TypeNAPTR, Class: dns.ClassINET},
			Regexp: "!^.*$!tel:+5;npdi;rn=+" + routing + "!", Replacement: "."}}
	}
	b, err := m.Pack()
	if err != nil {
		p.t.Fatal(err)
	}
	p.records = append(p.records, Record{At: time.Duration(ms) * time.Millisecond, Kind: kind, Exchange: "a", Peer: "asker", Data: b})
}

func (p *tape) rel(ms int, at, peer string, out bool, cic uint16, cause isup.Cause) {
	p.message(ms, at, peer, out, isup.NewRelease(cic, isup.ReleaseInfo{Cause: cause}))
}

// good is a call that is sent to b, refused there, sent to c, stands and ends, all by the rules.
func good(p *tape) {
	p.iam(0, "a", "counters", false, 1, 1, 1)
	p.iam(1, "a", "b", true, 5, 1, 1)
	p.rel(20, "a", "b", false, 5, isup.CauseNoCircuit)
	p.simple(20, "a", "b", true, isup.RLC, 5)
	p.iam(21, "a", "c", true, 6, 1, 1)
	p.simple(40, "a", "c", false, isup.ACM, 6)
	p.simple(40, "a", "counters", true, isup.ACM, 1)
	p.simple(60, "a", "c", false, isup.ANM, 6)
	p.simple(60, "a", "counters", true, isup.ANM, 1)
	p.rel(500, "a", "counters", false, 1, 16)
	p.simple(500, "a", "counters", true, isup.RLC, 1)
	p.rel(500, "a", "c", true, 6, 16)
	p.simple(510, "a", "c", false, isup.RLC, 6)
}

func rules(v Verdict) (out []int) {
	for _, b := range v.Breaches {
		out = append(out, b.Rule)
	}
	return out
}

// TestPlantedBreaches: each rule is broken once, in a way of its own, and the checker names that rule and no other.
func TestPlantedBreaches(t *testing.T) {
	for _, c := range []struct {
		name string
		rule int // 0: none is broken
		play func(p *tape)
	}{
		{"a good call", 0, good},
		{"a dual seizure behind a refusal on a blocked circuit whose RLC was lost", 0, func(p *tape) {
			p.iam(0, "a", "b", false, 5, 9, 1)
			p.rel(1, "a", "b", true, 5, isup.CauseNetworkOutOfOrder)
			p.iam(100, "a", "counters", false, 1, 1, 1)
			p.iam(101, "a", "b", true, 6, 1, 1)
			p.iam(110, "a", "b", false, 5, 8, 2) // the wider one wins
			p.iam(111, "a", "b", true, 7, 1, 1)
			p.rel(150, "a", "b", true, 5, isup.CauseNoCircuit)
			p.rel(160, "a", "b", false, 7, isup.CauseNoCircuit)
			p.simple(160, "a", "b", true, isup.RLC, 7)
			p.rel(161, "a", "counters", true, 1, isup.CauseNoCircuit)
		}},
		{"no answer at all", 1, func(p *tape) { p.iam(0, "a", "counters", false, 1, 1, 1) }},
		{"an answer too late", 1, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.rel(3100, "a", "counters", true, 1, 34)
		}},
		{"the caller leaves late without an answer", 1, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.rel(3300, "a", "counters", false, 1, 16)
		}},
		{"the caller leaves early", 0, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.rel(900, "a", "counters", false, 1, 16)
		}},
		{"two answers", 1, func(p *tape) {
			good(p)
			p.records = p.records[:9]
			p.simple(70, "a", "counters", true, isup.ANM, 1)
		}},
		{"the answer once more after a lost connection", 0, func(p *tape) {
			good(p)
			rest := p.records[9:]
			p.records = append([]Record{}, p.records[:9]...)
			p.records = append(p.records, Record{At: 65 * time.Millisecond, Kind: Lost, Exchange: "a", Peer: "counters"})
			p.simple(70, "a", "counters", true, isup.ANM, 1)
			p.records = append(p.records, rest...)
		}},
		{"and twice more", 1, func(p *tape) {
			good(p)
			p.records = append(p.records[:9], Record{At: 65 * time.Millisecond, Kind: Lost, Exchange: "a", Peer: "counters"})
			p.simple(70, "a", "counters", true, isup.ANM, 1)
			p.simple(75, "a", "counters", true, isup.ANM, 1)
		}},
		{"a set-up after the answer", 1, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.rel(10, "a", "counters", true, 1, 34)
			p.iam(100, "a", "b", true, 5, 1, 1)
		}},
		{"two attempts out", 2, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", true, 5, 1, 1)
			p.iam(50, "a", "c", true, 5, 1, 1)
			p.rel(60, "a", "counters", true, 1, 34)
		}},
		{"a set-up long after the drain was told", 3, func(p *tape) {
			p.records = append(p.records, Record{At: 1, Kind: Told, Exchange: "a", Peer: "b", State: Draining})
			p.iam(1200, "a", "counters", false, 1, 1, 1)
			p.iam(1201, "a", "b", true, 5, 1, 1)
			p.rel(1300, "a", "counters", true, 1, 34)
		}},
		{"a set-up within the grace", 0, func(p *tape) {
			p.records = append(p.records, Record{At: 1, Kind: Told, Exchange: "a", Peer: "b", State: Draining})
			p.iam(500, "a", "counters", false, 1, 1, 1)
			p.iam(501, "a", "b", true, 5, 1, 1)
			p.rel(600, "a", "b", false, 5, 34)
			p.rel(601, "a", "counters", true, 1, 34)
		}},
		{"a cold exchange pushed over by two call servers", 4, func(p *tape) { cold(p, 25, true) }},
		{"as many within its budget", 0, func(p *tape) { cold(p, 10, true) }},
		{"as many from call servers that were not told", 0, func(p *tape) { cold(p, 25, false) }},
		{"again too soon after a time-out", 5, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", true, 5, 1, 1)
			p.rel(500, "a", "b", true, 5, isup.CauseTimerExpiry)
			p.iam(600, "a", "c", true, 5, 1, 1)
			p.rel(700, "a", "counters", true, 1, 34)
		}},
		{"again too soon after a reset", 5, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", true, 5, 1, 1)
			p.message(50, "a", "b", false, isup.NewGroup(isup.GRS, 1, 0, isup.Range{Range: 9}))
			p.iam(60, "a", "c", true, 5, 1, 1)
			p.rel(700, "a", "counters", true, 1, 34)
		}},
		{"again too soon after a lost association", 5, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", true, 5, 1, 1)
			p.records = append(p.records, Record{At: 50 * time.Millisecond, Kind: Lost, Exchange: "a", Peer: "b"})
			p.iam(60, "a", "c", true, 5, 1, 1)
			p.rel(700, "a", "counters", true, 1, 34)
		}},
		{"again after the release", 0, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", true, 5, 1, 1)
			p.rel(500, "a", "b", true, 5, isup.CauseTimerExpiry)
			p.iam(701, "a", "c", true, 5, 1, 1)
			p.rel(900, "a", "c", false, 5, 34)
			p.rel(900, "a", "counters", true, 1, 34)
		}},
		{"a dual seizure that is lost, and repeated at once", 0, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", true, 6, 1, 1) // b has the higher code and controls even circuits
			p.iam(5, "a", "b", false, 6, 2, 1)
			p.iam(6, "a", "b", true, 5, 1, 1)
			p.rel(40, "a", "b", true, 6, 34)
			p.rel(50, "a", "b", false, 5, 34)
			p.rel(60, "a", "counters", true, 1, 34)
		}},
		{"a dual seizure that is won: the other's call is not taken", 0, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", true, 5, 1, 1)
			p.iam(5, "a", "b", false, 5, 2, 1)
			p.rel(50, "a", "b", false, 5, 34)
			p.rel(60, "a", "counters", true, 1, 34)
		}},
		{"the same where the tap shows the two in the other order", 0, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.iam(1, "a", "b", false, 5, 2, 1)
			p.iam(2, "a", "b", true, 5, 1, 1)
			p.rel(50, "a", "b", false, 5, 34)
			p.rel(60, "a", "counters", true, 1, 34)
		}},
		{"look-ups answered, one of them twice alike", 0, func(p *tape) {
			p.lookUp(0, Asked, "1.5", 1, "")
			p.lookUp(10, Asked, "1.5", 1, "")
			p.lookUp(20, Replied, "1.5", 1, "99001")
			p.lookUp(21, Replied, "1.5", 1, "99001")
		}},
		{"a look-up without an answer", 1, func(p *tape) { p.lookUp(0, Asked, "1.5", 1, "") }},
		{"a look-up answered late", 1, func(p *tape) {
			p.lookUp(0, Asked, "1.5", 1, "")
			p.lookUp(1500, Replied, "1.5", 1, "99001")
		}},
		{"a look-up answered in two ways", 1, func(p *tape) {
			p.lookUp(0, Asked, "1.5", 1, "")
			p.lookUp(20, Replied, "1.5", 1, "99001")
			p.lookUp(30, Replied, "1.5", 1, "99002")
		}},
		{"one routing number for two calls", 2, func(p *tape) {
			p.lookUp(0, Asked, "1.5", 1, "")
			p.lookUp(1, Asked, "2.5", 2, "")
			p.lookUp(20, Replied, "1.5", 1, "99001")
			p.lookUp(30, Replied, "2.5", 2, "99001")
		}},
		{"what a killed call server held", 0, func(p *tape) {
			p.iam(0, "a", "counters", false, 1, 1, 1)
			p.records = append(p.records, Record{At: 50 * time.Millisecond, Kind: Killed, Exchange: "a"})
		}},
	} {
		p := &tape{t: t}
		c.play(p)
		v := Check(figures, p.records, 20*time.Second)
		switch got := rules(v); {
		case c.rule == 0 && len(got) > 0:
			t.Errorf("%s: %v", c.name, v.Breaches)
		case c.rule > 0 && (len(got) != 1 || got[0] != c.rule):
			t.Errorf("%s: rule %d expected, got %v", c.name, c.rule, v.Breaches)
		}
		if v.Unread > 0 || c.rule == 0 && c.name == "a good call" && (v.Calls != 1 || v.Answers != 1 || v.Attempts != 2) {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// cold has two call servers send each n set-ups to a processor of 20 set-ups a second just after its start: 0.3 of
// them, twice over 3 s, are 36.
func cold(p *tape, n int, told bool) {
	p.records = append(p.records, Record{At: 1, Kind: Started, Exchange: "c", Capacity: 20})
	if told {
		p.records = append(p.records, Record{At: 2, Kind: Told, Exchange: "a", Peer: "c", Cold: true},
			Record{At: 2, Kind: Told, Exchange: "b", Peer: "c", Cold: true})
	}
	for i := range n {
		for k, at := range []string{"a", "b"} {
			cic, try := uint16(1+i), byte(2*i+k)
			p.iam(10+i, at, "counters", false, cic, try, 1)
			p.iam(10+i, at, "c", true, cic, try, 1)
			p.rel(10+i, at, "c", false, cic, 34)
			p.rel(10+i, at, "counters", true, cic, 34)
		}
	}
}

func TestTraceShowsTheCircuits(t *testing.T) {
	p := &tape{t: t}
	good(p)
	p.iam(30, "b", "c", true, 9, 8, 1)
	lines := Trace(p.records, string([]byte{3, 0x11, 1}))
	text := strings.Join(lines, "\n")
	if len(lines) != 13 || !strings.Contains(text, "a -> c circuit 6 IAM 551 width 1 *") || strings.Contains(text, "b ->") {
		t.Errorf("%d lines:\n%s", len(lines), text)
	}
}
