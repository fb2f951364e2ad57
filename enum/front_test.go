package enum

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"finchlatch/isup"
	"finchlatch/router"
)

var home = netip.MustParseAddr("127.0.0.2")

func front() *Front {
	return New(Settings{Askers: []Asker{{Name: "one", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.2/32")}, Rate: 40},
		{Name: "two", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.3/32")}}}, Secret: []byte("secret"), Answers: 1000})
}

func query(number string) *dns.Msg {
	name := ""
	for i := len(number) - 1; i >= 0; i-- {
		name += number[i:i+1] + "."
	}
	return new(dns.Msg).SetQuestion(name+"e164.arpa.", dns.TypeNAPTR)
}

// one expects a single Respond.
func one(t *testing.T, out []Out) *dns.Msg {
	t.Helper()
	if len(out) != 1 {
		t.Fatalf("%d outs: %+v", len(out), out)
	}
	r, ok := out[0].(Respond)
	if !ok {
		t.Fatalf("%+v", out[0])
	}
	if _, err := r.Message.Pack(); err != nil {
		t.Fatal(err)
	}
	return r.Message
}

func ede(m *dns.Msg) (code uint16) {
	if opt := m.IsEdns0(); opt != nil {
		for _, o := range opt.Option {
			if e, ok := o.(*dns.EDNS0_EDE); ok {
				code = e.InfoCode
			}
		}
	}
	return code
}

func TestRepeatsAreOneCall(t *testing.T) {
	f := front()
	first := query("5521")
	out := f.Query(0, home, false, first, "first")
	if len(out) != 1 || out[0] != (Ask{1, "one", "5521"}) {
		t.Fatalf("%+v", out)
	}
	if out := f.Query(1, home, false, first, "same id"); len(out) != 0 {
		t.Fatalf("a retransmission: %+v", out)
	}
	if out := f.Query(2, home, false, query("5521"), "new id, new port"); len(out) != 0 {
		t.Fatalf("a repeat: %+v", out)
	}
	lease := router.Reply{Ask: 1, Verdict: router.Stands, Routing: "9912345678", Until: 200 * time.Millisecond}
	all := f.Reply(time.Millisecond, lease)
	if len(all) != 3 {
		t.Fatalf("%d answers", len(all))
	}
	late := one(t, f.Query(100*time.Millisecond, home, false, query("5521"), "crossed"))
	for _, o := range append(all, Respond{nil, late}) {
		m := o.(Respond).Message
		if n, ok := m.Answer[0].(*dns.NAPTR); !ok || n.Regexp != "!^.*$!tel:+5521;npdi;rn=+9912345678!" || n.Hdr.Ttl != 0 ||
			n.Service != "E2U+pstn:tel" || n.Flags != "u" {
			t.Errorf("%v", m)
		}
	}
	if out := f.Query(200*time.Millisecond, home, false, query("5521"), nil); len(out) != 1 || out[0] != (Ask{2, "one", "5521"}) {
		t.Errorf("after the lease: %+v", out)
	}
	if out := f.Query(200*time.Millisecond, netip.MustParseAddr("127.0.0.3"), false, query("5521"), nil); len(out) != 1 || out[0] != (Ask{3, "two", "5521"}) {
		t.Errorf("another asker: %+v", out)
	}
	f.Reply(201*time.Millisecond, router.Reply{Ask: 2, Verdict: router.Stands, Routing: "99", Until: time.Second})
	f.End(2)
	if out := f.Query(202*time.Millisecond, home, false, query("5521"), nil); len(out) != 1 || out[0] != (Ask{4, "one", "5521"}) {
		t.Errorf("after a take-over: %+v", out)
	}
}

func TestEachAnswerHasItsCode(t *testing.T) {
	reply := func(v router.Verdict, c isup.Cause) *dns.Msg {
		f := front()
		q := query("5521")
		q.SetEdns0(1232, false)
		f.Query(0, home, false, q, nil)
		return one(t, f.Reply(0, router.Reply{Ask: 1, Verdict: v, Cause: c}))
	}
	for _, c := range []struct {
		m     *dns.Msg
		rcode int
		ede   uint16
	}{
		{reply(router.Refused, isup.CauseNoCircuit), dns.RcodeRefused, dns.ExtendedErrorCodeNotReady},
		{reply(router.Failed, isup.CauseTimerExpiry), dns.RcodeServerFailure, dns.ExtendedErrorCodeOther},
		{reply(router.Failed, isup.CauseUnallocated), dns.RcodeNameError, 0},
	} {
		if c.m.Rcode != c.rcode || ede(c.m) != c.ede {
			t.Errorf("rcode %d, extended error %d, want %d, %d", c.m.Rcode, ede(c.m), c.rcode, c.ede)
		}
	}
	at := func(change func(q *dns.Msg), from string) *dns.Msg {
		q := query("5521")
		change(q)
		q.SetEdns0(1232, false)
		return one(t, front().Query(0, netip.MustParseAddr(from), false, q, nil))
	}
	name := func(n string) func(q *dns.Msg) { return func(q *dns.Msg) { q.Question[0].Name = n } }
	for text, c := range map[string]struct {
		m     *dns.Msg
		rcode int
		ede   uint16
	}{
		"letters":        {at(name("a.2.5.5.e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"two digits":     {at(name("12.5.5.e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"16 digits":      {at(name(strings.Repeat("1.", 16)+"e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"no digits":      {at(name("e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"other suffix":   {at(name("1.2.5.5.e164.example."), "127.0.0.2"), dns.RcodeRefused, dns.ExtendedErrorCodeNotAuthoritative},
		"suffix in part": {at(name("1.xe164.arpa."), "127.0.0.2"), dns.RcodeRefused, dns.ExtendedErrorCodeNotAuthoritative},
		"other type":     {at(func(q *dns.Msg) { q.Question[0].Qtype = dns.TypeA }, "127.0.0.2"), dns.RcodeSuccess, 0},
		"other class":    {at(func(q *dns.Msg) { q.Question[0].Qclass = dns.ClassCHAOS }, "127.0.0.2"), dns.RcodeRefused, dns.ExtendedErrorCodeNotSupported},
		"no question":    {at(func(q *dns.Msg) { q.Question = nil }, "127.0.0.2"), dns.RcodeFormatError, 0},
		"two questions":  {at(func(q *dns.Msg) { q.Question = append(q.Question, q.Question[0]) }, "127.0.0.2"), dns.RcodeFormatError, 0},
		"an update":      {at(func(q *dns.Msg) { q.Opcode = dns.OpcodeUpdate }, "127.0.0.2"), dns.RcodeNotImplemented, 0},
		"a stranger":     {at(func(*dns.Msg) {}, "127.0.0.9"), dns.RcodeRefused, dns.ExtendedErrorCodeProhibited},
	} {
		if c.m.Rcode != c.rcode || ede(c.m) != c.ede || len(c.m.Answer) > 0 {
			t.Errorf("%s: rcode %d, extended error %d, want %d, %d", text, c.m.Rcode, ede(c.m), c.rcode, c.ede)
		}
	}
}

func TestFloodsAreBounded(t *testing.T) {
	f := front()
	asked, refused := 0, 0
	for i := range 400 { // 400 a second of an asker that may ask 40
		out := f.Query(time.Duration(i)*2500*time.Microsecond, home, false, query(fmt.Sprintf("55%05d", i)), nil)
		switch x := out[0].(type) {
		case Ask:
			asked++
		case Respond:
			if x.Message.Rcode == dns.RcodeRefused {
				refused++
			}
		}
	}
	if asked < 40 || asked > 52 || asked+refused != 400 {
		t.Errorf("%d asked, %d refused", asked, refused)
	}
	if out := f.Query(time.Second, netip.MustParseAddr("127.0.0.3"), false, query("5521"), nil); len(out) != 1 {
		t.Errorf("the other asker: %+v", out)
	} else if _, ok := out[0].(Ask); !ok {
		t.Errorf("the other asker: %+v", out)
	}
	g := front()
	g.Query(0, home, false, query("5521"), 0)
	for i := range 2 * maxWaiting {
		g.Query(0, home, false, query("5521"), i+1)
	}
	if n := len(g.Reply(0, router.Reply{Ask: 1, Verdict: router.Refused})); n != maxWaiting {
		t.Errorf("%d repeats were kept", n)
	}
	g.Sweep(time.Second)
	if g.Open() != 0 {
		t.Errorf("%d questions are kept after their time", g.Open())
	}
}

// Over the rate UDP gets no more than it sent, TCP and cookies are exempt.
func TestNoAmplification(t *testing.T) {
	f := New(Settings{Askers: []Asker{{Name: "one", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}}, Answers: 1, Secret: []byte("s")})
	q := query("5521")
	q.SetEdns0(4096, false)
	q.IsEdns0().Option = append(q.IsEdns0().Option, &dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: "0123456789abcdef"})
	f.Query(0, home, false, q, nil)
	first := one(t, f.Reply(0, router.Reply{Ask: 1, Verdict: router.Stands, Routing: "99", Until: time.Second}))
	over := one(t, f.Query(1, home, false, q, nil))
	if !over.Truncated || len(over.Answer) > 0 || over.Len() > q.Len() {
		t.Errorf("over the rate: %v", over)
	}
	if m := one(t, f.Query(2, home, true, q, nil)); m.Truncated || len(m.Answer) != 1 {
		t.Errorf("over TCP: %v", m)
	}
	client, server, ok := cookieOf(first)
	if !ok || client != "0123456789abcdef" || len(server) != serverCookie {
		t.Fatalf("cookie %s %s %v", client, server, ok)
	}
	q.IsEdns0().Option[0].(*dns.EDNS0_COOKIE).Cookie = client + server
	if m := one(t, f.Query(3, home, false, q, nil)); m.Truncated || len(m.Answer) != 1 {
		t.Errorf("with a cookie: %v", m)
	}
	if m := one(t, f.Query(4, netip.MustParseAddr("127.0.0.7"), false, q, nil)); !m.Truncated {
		t.Errorf("with another's cookie: %v", m)
	}
}

func FuzzQuery(f *testing.F) {
	for _, q := range []*dns.Msg{query("5521"), new(dns.Msg).SetQuestion("x.e164.arpa.", dns.TypeANY)} {
		b, _ := q.Pack()
		f.Add(b)
	}
	f.Add([]byte{0, 1, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0xc0, 0x0c, 0, 35, 0, 1}) // a name that points to itself
	f.Fuzz(func(t *testing.T, b []byte) {
		q := new(dns.Msg)
		if q.Unpack(b) != nil {
			return
		}
		fr := front()
		for _, o := range fr.Query(0, home, false, q, nil) {
			if r, ok := o.(Respond); ok {
				if _, err := r.Message.Pack(); err != nil && len(q.Question) == 1 {
					t.Skip() // the question itself cannot be packed again
				}
			}
		}
		fr.Reply(0, router.Reply{Ask: 1, Verdict: router.Stands, Routing: "99"})
	})
}
