package rulecheck

import (
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

var parameters = Parameters{Patience: map[byte]time.Duration{10: 3 * time.Second}, PointCodes: map[string]uint32{"a": 101, "b": 102, "c": 103},
	Grace: time.Second, Release: 200 * time.Millisecond, OverloadWindow: 3 * time.Second, Overload: 2, InitialShare: 0.3,
	SlowStart: 12 * time.Second, QueryTimeout: time.Second, Slack: 50 * time.Millisecond, TapSkew: 10 * time.Millisecond}

// recording builds records as taps make them, with encoded M3UA and ISUP messages.
type recording struct {
	t       *testing.T
	records []Record
}

func (rec *recording) message(ms int, exchange, peer string, out bool, message *isup.Message) {
	encoded, err := message.Append(nil)
	if err != nil {
		rec.t.Fatal(err)
	}
	data := m3ua.ProtocolData{OPC: 1, DPC: 2, SI: m3ua.ServiceISUP, Data: encoded}
	rec.records = append(rec.records, Record{At: time.Duration(ms) * time.Millisecond, Kind: Message, Exchange: exchange, Peer: peer, Out: out,
		Data: data.Message().Append(nil)})
}

// iam adds an IAM of the call whose calling number ends in caller; its circuits start at cic.
func (rec *recording) iam(ms int, exchange, peer string, out bool, cic uint16, caller byte, width int) {
	setup := isup.Setup{Called: isup.Number{Digits: "551", Nature: 3, Plan: 1}, Category: 10, Width: width, HopCounter: -1}
	if width > 1 {
		setup.CircuitMap = (1<<width - 1) << (cic - 1)
	}
	message, err := isup.NewSetup(cic, setup)
	if err != nil {
		rec.t.Fatal(err)
	}
	message.Set(isup.ParamCallingNumber, 3, 0x11, caller)
	rec.message(ms, exchange, peer, out, message)
}

func (rec *recording) simple(ms int, exchange, peer string, out bool, messageType isup.Type, cic uint16) {
	rec.message(ms, exchange, peer, out, isup.NewSimple(messageType, cic))
}

// query adds an ENUM query for a number, or its response with a routing number.
func (rec *recording) query(ms int, kind Kind, number string, id uint16, routing string) {
	message := new(dns.Msg).SetQuestion(number+".e164.arpa.", dns.TypeNAPTR)
	if message.Id = id; kind == QueryAnswered {
		request := *message
		message = new(dns.Msg).SetReply(&request)
		message.Answer = []dns.RR{&dns.NAPTR{Hdr: dns.RR_Header{Name: number + ".e164.arpa.", Rrtype: dns.TypeNAPTR, Class: dns.ClassINET},
			Regexp: "!^.*$!tel:+5;npdi;rn=+" + routing + "!", Replacement: "."}}
	}
	packed, err := message.Pack()
	if err != nil {
		rec.t.Fatal(err)
	}
	rec.records = append(rec.records, Record{At: time.Duration(ms) * time.Millisecond, Kind: kind, Exchange: "a", Peer: "asker", Data: packed})
}

func (rec *recording) rel(ms int, exchange, peer string, out bool, cic uint16, cause isup.Cause) {
	rec.message(ms, exchange, peer, out, isup.NewRelease(cic, isup.ReleaseInfo{Cause: cause}))
}

// successfulCall adds a call that keeps the rules: it is refused by b, established at c and released.
func successfulCall(rec *recording) {
	rec.iam(0, "a", "counters", false, 1, 1, 1)
	rec.iam(1, "a", "b", true, 5, 1, 1)
	rec.rel(20, "a", "b", false, 5, isup.CauseNoCircuit)
	rec.simple(20, "a", "b", true, isup.RLC, 5)
	rec.iam(21, "a", "c", true, 6, 1, 1)
	rec.simple(40, "a", "c", false, isup.ACM, 6)
	rec.simple(40, "a", "counters", true, isup.ACM, 1)
	rec.simple(60, "a", "c", false, isup.ANM, 6)
	rec.simple(60, "a", "counters", true, isup.ANM, 1)
	rec.rel(500, "a", "counters", false, 1, 16)
	rec.simple(500, "a", "counters", true, isup.RLC, 1)
	rec.rel(500, "a", "c", true, 6, 16)
	rec.simple(510, "a", "c", false, isup.RLC, 6)
}

func violatedRules(verdict Verdict) (out []int) {
	for _, violation := range verdict.Violations {
		out = append(out, violation.Rule)
	}
	return out
}

// Each case violates one rule in one way, or none, and the checker must name that rule and no other.
func TestCheckFindsEachViolation(t *testing.T) {
	for _, testCase := range []struct {
		name  string
		rule  int // 0: no violation
		build func(rec *recording)
	}{
		{"a successful call", 0, successfulCall},
		{"an IAM is refused on a blocked circuit, its RLC is lost, and the circuit has a dual seizure", 0, func(rec *recording) {
			rec.iam(0, "a", "b", false, 5, 9, 1)
			rec.rel(1, "a", "b", true, 5, isup.CauseNetworkOutOfOrder)
			rec.iam(100, "a", "counters", false, 1, 1, 1)
			rec.iam(101, "a", "b", true, 6, 1, 1)
			rec.iam(110, "a", "b", false, 5, 8, 2) // the call with more circuits wins
			rec.iam(111, "a", "b", true, 7, 1, 1)
			rec.rel(150, "a", "b", true, 5, isup.CauseNoCircuit)
			rec.rel(160, "a", "b", false, 7, isup.CauseNoCircuit)
			rec.simple(160, "a", "b", true, isup.RLC, 7)
			rec.rel(161, "a", "counters", true, 1, isup.CauseNoCircuit)
		}},
		{"no answer at all", 1, func(rec *recording) { rec.iam(0, "a", "counters", false, 1, 1, 1) }},
		{"an answer too late", 1, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.rel(3100, "a", "counters", true, 1, 34)
		}},
		{"the caller hangs up late without an answer", 1, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.rel(3300, "a", "counters", false, 1, 16)
		}},
		{"the caller hangs up early", 0, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.rel(900, "a", "counters", false, 1, 16)
		}},
		{"two answers", 1, func(rec *recording) {
			successfulCall(rec)
			rec.records = rec.records[:9]
			rec.simple(70, "a", "counters", true, isup.ANM, 1)
		}},
		{"the answer repeated after a lost connection", 0, func(rec *recording) {
			successfulCall(rec)
			release := rec.records[9:]
			rec.records = append([]Record{}, rec.records[:9]...)
			rec.records = append(rec.records, Record{At: 65 * time.Millisecond, Kind: ConnectionLost, Exchange: "a", Peer: "counters"})
			rec.simple(70, "a", "counters", true, isup.ANM, 1)
			rec.records = append(rec.records, release...)
		}},
		{"the answer repeated twice after a lost connection", 1, func(rec *recording) {
			successfulCall(rec)
			rec.records = append(rec.records[:9], Record{At: 65 * time.Millisecond, Kind: ConnectionLost, Exchange: "a", Peer: "counters"})
			rec.simple(70, "a", "counters", true, isup.ANM, 1)
			rec.simple(75, "a", "counters", true, isup.ANM, 1)
		}},
		{"a set-up after the answer", 1, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.rel(10, "a", "counters", true, 1, 34)
			rec.iam(100, "a", "b", true, 5, 1, 1)
		}},
		{"two outstanding attempts", 2, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", true, 5, 1, 1)
			rec.iam(50, "a", "c", true, 5, 1, 1)
			rec.rel(60, "a", "counters", true, 1, 34)
		}},
		{"a set-up long after the drain was announced", 3, func(rec *recording) {
			rec.records = append(rec.records, Record{At: 1, Kind: Announced, Exchange: "a", Peer: "b", State: Draining})
			rec.iam(1200, "a", "counters", false, 1, 1, 1)
			rec.iam(1201, "a", "b", true, 5, 1, 1)
			rec.rel(1300, "a", "counters", true, 1, 34)
		}},
		{"a set-up within the grace time", 0, func(rec *recording) {
			rec.records = append(rec.records, Record{At: 1, Kind: Announced, Exchange: "a", Peer: "b", State: Draining})
			rec.iam(500, "a", "counters", false, 1, 1, 1)
			rec.iam(501, "a", "b", true, 5, 1, 1)
			rec.rel(600, "a", "b", false, 5, 34)
			rec.rel(601, "a", "counters", true, 1, 34)
		}},
		{"a cold exchange overloaded by two call servers", 4, func(rec *recording) { sendToColdExchange(rec, 25, true) }},
		{"set-ups to a cold exchange within its budget", 0, func(rec *recording) { sendToColdExchange(rec, 10, true) }},
		{"a cold exchange overloaded by call servers not notified of its start", 0, func(rec *recording) { sendToColdExchange(rec, 25, false) }},
		{"a retry too soon after a time-out", 5, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", true, 5, 1, 1)
			rec.rel(500, "a", "b", true, 5, isup.CauseTimerExpiry)
			rec.iam(600, "a", "c", true, 5, 1, 1)
			rec.rel(700, "a", "counters", true, 1, 34)
		}},
		{"a retry too soon after a reset", 5, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", true, 5, 1, 1)
			rec.message(50, "a", "b", false, isup.NewGroup(isup.GRS, 1, 0, isup.Range{Range: 9}))
			rec.iam(60, "a", "c", true, 5, 1, 1)
			rec.rel(700, "a", "counters", true, 1, 34)
		}},
		{"a retry too soon after a lost association", 5, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", true, 5, 1, 1)
			rec.records = append(rec.records, Record{At: 50 * time.Millisecond, Kind: ConnectionLost, Exchange: "a", Peer: "b"})
			rec.iam(60, "a", "c", true, 5, 1, 1)
			rec.rel(700, "a", "counters", true, 1, 34)
		}},
		{"a retry after the release time", 0, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", true, 5, 1, 1)
			rec.rel(500, "a", "b", true, 5, isup.CauseTimerExpiry)
			rec.iam(701, "a", "c", true, 5, 1, 1)
			rec.rel(900, "a", "c", false, 5, 34)
			rec.rel(900, "a", "counters", true, 1, 34)
		}},
		{"a dual seizure that is lost, and an immediate retry", 0, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", true, 6, 1, 1) // b has the higher point code and controls even circuits
			rec.iam(5, "a", "b", false, 6, 2, 1)
			rec.iam(6, "a", "b", true, 5, 1, 1)
			rec.rel(40, "a", "b", true, 6, 34)
			rec.rel(50, "a", "b", false, 5, 34)
			rec.rel(60, "a", "counters", true, 1, 34)
		}},
		{"a dual seizure that is won: the peer's call is not accepted", 0, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", true, 5, 1, 1)
			rec.iam(5, "a", "b", false, 5, 2, 1)
			rec.rel(50, "a", "b", false, 5, 34)
			rec.rel(60, "a", "counters", true, 1, 34)
		}},
		{"a dual seizure that is won, where the tap shows the IAM of the peer first", 0, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.iam(1, "a", "b", false, 5, 2, 1)
			rec.iam(2, "a", "b", true, 5, 1, 1)
			rec.rel(50, "a", "b", false, 5, 34)
			rec.rel(60, "a", "counters", true, 1, 34)
		}},
		{"a query and its retransmission, answered alike", 0, func(rec *recording) {
			rec.query(0, QueryReceived, "1.5", 1, "")
			rec.query(10, QueryReceived, "1.5", 1, "")
			rec.query(20, QueryAnswered, "1.5", 1, "99001")
			rec.query(21, QueryAnswered, "1.5", 1, "99001")
		}},
		{"a query without an answer", 1, func(rec *recording) { rec.query(0, QueryReceived, "1.5", 1, "") }},
		{"a query answered late", 1, func(rec *recording) {
			rec.query(0, QueryReceived, "1.5", 1, "")
			rec.query(1500, QueryAnswered, "1.5", 1, "99001")
		}},
		{"a query answered in two ways", 1, func(rec *recording) {
			rec.query(0, QueryReceived, "1.5", 1, "")
			rec.query(20, QueryAnswered, "1.5", 1, "99001")
			rec.query(30, QueryAnswered, "1.5", 1, "99002")
		}},
		{"one routing number for two calls", 2, func(rec *recording) {
			rec.query(0, QueryReceived, "1.5", 1, "")
			rec.query(1, QueryReceived, "2.5", 2, "")
			rec.query(20, QueryAnswered, "1.5", 1, "99001")
			rec.query(30, QueryAnswered, "2.5", 2, "99001")
		}},
		{"a call pending at a killed call server", 0, func(rec *recording) {
			rec.iam(0, "a", "counters", false, 1, 1, 1)
			rec.records = append(rec.records, Record{At: 50 * time.Millisecond, Kind: Killed, Exchange: "a"})
		}},
	} {
		rec := &recording{t: t}
		testCase.build(rec)
		verdict := Check(parameters, rec.records, 20*time.Second)
		switch got := violatedRules(verdict); {
		case testCase.rule == 0 && len(got) > 0:
			t.Errorf("%s: %v", testCase.name, verdict.Violations)
		case testCase.rule > 0 && (len(got) != 1 || got[0] != testCase.rule):
			t.Errorf("%s: rule %d expected, got %v", testCase.name, testCase.rule, verdict.Violations)
		}
		if verdict.Undecoded > 0 || testCase.rule == 0 && testCase.name == "a successful call" &&
			(verdict.Calls != 1 || verdict.Answers != 1 || verdict.Attempts != 2) {
			t.Errorf("%s: %+v", testCase.name, verdict)
		}
	}
}

// sendToColdExchange has two call servers each send perServer set-ups to a processor with a capacity of 20 per second just after
// its start. Its budget is then 39: Overload 2, times InitialShare 0.3, times 20 per second, times 3 s, plus setupSlack.
func sendToColdExchange(rec *recording, perServer int, notified bool) {
	rec.records = append(rec.records, Record{At: 1, Kind: Started, Exchange: "c", Capacity: 20})
	if notified {
		rec.records = append(rec.records, Record{At: 2, Kind: Announced, Exchange: "a", Peer: "c", Cold: true},
			Record{At: 2, Kind: Announced, Exchange: "b", Peer: "c", Cold: true})
	}
	for i := range perServer {
		for index, exchange := range []string{"a", "b"} {
			cic, caller := uint16(1+i), byte(2*i+index)
			rec.iam(10+i, exchange, "counters", false, cic, caller, 1)
			rec.iam(10+i, exchange, "c", true, cic, caller, 1)
			rec.rel(10+i, exchange, "c", false, cic, 34)
			rec.rel(10+i, exchange, "counters", true, cic, 34)
		}
	}
}

func TestTraceShowsTheCircuits(t *testing.T) {
	rec := &recording{t: t}
	successfulCall(rec)
	rec.iam(30, "b", "c", true, 9, 8, 1)
	lines := Trace(rec.records, string([]byte{3, 0x11, 1}))
	text := strings.Join(lines, "\n")
	if len(lines) != 13 || !strings.Contains(text, "a -> c circuit 6 IAM 551 width 1 *") || strings.Contains(text, "b ->") {
		t.Errorf("%d lines:\n%s", len(lines), text)
	}
}
