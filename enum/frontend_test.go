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

var clientAddr = netip.MustParseAddr("127.0.0.2")

func newTestFrontend() *Frontend {
	return New(Settings{Clients: []Client{{Name: "one", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.2/32")}, QueryRate: 40},
		{Name: "two", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.3/32")}}}, CookieSecret: []byte("secret"), AnswerRate: 1000})
}

func naptrQuery(number string) *dns.Msg {
	name := ""
	for i := len(number) - 1; i >= 0; i-- {
		name += number[i:i+1] + "."
	}
	return new(dns.Msg).SetQuestion(name+"e164.arpa.", dns.TypeNAPTR)
}

// onlyResponse fails the test unless the effects are a single Respond, and returns its message.
func onlyResponse(t *testing.T, effects []Effect) *dns.Msg {
	t.Helper()
	if len(effects) != 1 {
		t.Fatalf("%d effects: %+v", len(effects), effects)
	}
	r, ok := effects[0].(Respond)
	if !ok {
		t.Fatalf("%+v", effects[0])
	}
	if _, err := r.Message.Pack(); err != nil {
		t.Fatal(err)
	}
	return r.Message
}

func extendedErrorCode(m *dns.Msg) (code uint16) {
	if opt := m.IsEdns0(); opt != nil {
		for _, option := range opt.Option {
			if extendedError, ok := option.(*dns.EDNS0_EDE); ok {
				code = extendedError.InfoCode
			}
		}
	}
	return code
}

// All queries of a client for one number get the reply to one route query, until the lease has expired or was used.
func TestRepeatedQueriesShareOneLookup(t *testing.T) {
	f := newTestFrontend()
	first := naptrQuery("5521")
	effects := f.Query(0, clientAddr, false, first, "first")
	if len(effects) != 1 || effects[0] != (RouteQuery{1, "one", "5521"}) {
		t.Fatalf("%+v", effects)
	}
	if effects := f.Query(1, clientAddr, false, first, "same id"); len(effects) != 0 {
		t.Fatalf("a retransmission: %+v", effects)
	}
	if effects := f.Query(2, clientAddr, false, naptrQuery("5521"), "new id, new port"); len(effects) != 0 {
		t.Fatalf("a repeat: %+v", effects)
	}
	lease := router.Reply{QueryID: 1, Result: router.Established, RoutingNumber: "9912345678", ExpiresAt: 200 * time.Millisecond}
	responses := f.Reply(time.Millisecond, lease)
	if len(responses) != 3 {
		t.Fatalf("%d responses, want 3", len(responses))
	}
	repeated := onlyResponse(t, f.Query(100*time.Millisecond, clientAddr, false, naptrQuery("5521"), "after the reply"))
	for _, response := range append(responses, Respond{nil, repeated}) {
		m := response.(Respond).Message
		if n, ok := m.Answer[0].(*dns.NAPTR); !ok || n.Regexp != "!^.*$!tel:+5521;npdi;rn=+9912345678!" || n.Hdr.Ttl != 0 ||
			n.Service != "E2U+pstn:tel" || n.Flags != "u" {
			t.Errorf("%v", m)
		}
	}
	if effects := f.Query(200*time.Millisecond, clientAddr, false, naptrQuery("5521"), nil); len(effects) != 1 || effects[0] != (RouteQuery{2, "one", "5521"}) {
		t.Errorf("after the lease: %+v", effects)
	}
	if effects := f.Query(200*time.Millisecond, netip.MustParseAddr("127.0.0.3"), false, naptrQuery("5521"), nil); len(effects) != 1 || effects[0] != (RouteQuery{3, "two", "5521"}) {
		t.Errorf("another client: %+v", effects)
	}
	f.Reply(201*time.Millisecond, router.Reply{QueryID: 2, Result: router.Established, RoutingNumber: "99", ExpiresAt: time.Second})
	f.EndLookup(2)
	if effects := f.Query(202*time.Millisecond, clientAddr, false, naptrQuery("5521"), nil); len(effects) != 1 || effects[0] != (RouteQuery{4, "one", "5521"}) {
		t.Errorf("after the set-up: %+v", effects)
	}
}

// Each result of a route query, and each query that is answered without one, gives its response code and extended error.
func TestResponseCodes(t *testing.T) {
	reply := func(v router.Result, c isup.Cause) *dns.Msg {
		f := newTestFrontend()
		q := naptrQuery("5521")
		q.SetEdns0(1232, false)
		f.Query(0, clientAddr, false, q, nil)
		return onlyResponse(t, f.Reply(0, router.Reply{QueryID: 1, Result: v, Cause: c}))
	}
	for _, c := range []struct {
		response      *dns.Msg
		rcode         int
		extendedError uint16
	}{
		{reply(router.Refused, isup.CauseNoCircuit), dns.RcodeRefused, dns.ExtendedErrorCodeNotReady},
		{reply(router.Failed, isup.CauseTimerExpiry), dns.RcodeServerFailure, dns.ExtendedErrorCodeOther},
		{reply(router.Failed, isup.CauseUnallocated), dns.RcodeNameError, 0},
	} {
		if c.response.Rcode != c.rcode || extendedErrorCode(c.response) != c.extendedError {
			t.Errorf("rcode %d, extended error %d, want %d, %d", c.response.Rcode, extendedErrorCode(c.response), c.rcode, c.extendedError)
		}
	}
	respond := func(change func(q *dns.Msg), from string) *dns.Msg {
		q := naptrQuery("5521")
		change(q)
		q.SetEdns0(1232, false)
		return onlyResponse(t, newTestFrontend().Query(0, netip.MustParseAddr(from), false, q, nil))
	}
	name := func(n string) func(q *dns.Msg) { return func(q *dns.Msg) { q.Question[0].Name = n } }
	for text, c := range map[string]struct {
		response      *dns.Msg
		rcode         int
		extendedError uint16
	}{
		"letters":        {respond(name("a.2.5.5.e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"two digits":     {respond(name("12.5.5.e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"16 digits":      {respond(name(strings.Repeat("1.", 16)+"e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"no digits":      {respond(name("e164.arpa."), "127.0.0.2"), dns.RcodeNameError, 0},
		"other suffix":   {respond(name("1.2.5.5.e164.example."), "127.0.0.2"), dns.RcodeRefused, dns.ExtendedErrorCodeNotAuthoritative},
		"suffix in part": {respond(name("1.xe164.arpa."), "127.0.0.2"), dns.RcodeRefused, dns.ExtendedErrorCodeNotAuthoritative},
		"other type":     {respond(func(q *dns.Msg) { q.Question[0].Qtype = dns.TypeA }, "127.0.0.2"), dns.RcodeSuccess, 0},
		"other class":    {respond(func(q *dns.Msg) { q.Question[0].Qclass = dns.ClassCHAOS }, "127.0.0.2"), dns.RcodeRefused, dns.ExtendedErrorCodeNotSupported},
		"no question":    {respond(func(q *dns.Msg) { q.Question = nil }, "127.0.0.2"), dns.RcodeFormatError, 0},
		"two questions":  {respond(func(q *dns.Msg) { q.Question = append(q.Question, q.Question[0]) }, "127.0.0.2"), dns.RcodeFormatError, 0},
		"an update":      {respond(func(q *dns.Msg) { q.Opcode = dns.OpcodeUpdate }, "127.0.0.2"), dns.RcodeNotImplemented, 0},
		"unknown client": {respond(func(*dns.Msg) {}, "127.0.0.9"), dns.RcodeRefused, dns.ExtendedErrorCodeProhibited},
	} {
		if c.response.Rcode != c.rcode || extendedErrorCode(c.response) != c.extendedError || len(c.response.Answer) > 0 {
			t.Errorf("%s: rcode %d, extended error %d, want %d, %d", text, c.response.Rcode, extendedErrorCode(c.response), c.rcode, c.extendedError)
		}
	}
}

func TestFloodsAreBounded(t *testing.T) {
	f := newTestFrontend()
	passedOn, refused := 0, 0
	for i := range 400 { // 400 queries a second of a client whose rate limit is 40
		effects := f.Query(time.Duration(i)*2500*time.Microsecond, clientAddr, false, naptrQuery(fmt.Sprintf("55%05d", i)), nil)
		switch effect := effects[0].(type) {
		case RouteQuery:
			passedOn++
		case Respond:
			if effect.Message.Rcode == dns.RcodeRefused {
				refused++
			}
		}
	}
	if passedOn < 40 || passedOn > 52 || passedOn+refused != 400 {
		t.Errorf("%d queries passed to the Router, %d refused", passedOn, refused)
	}
	if effects := f.Query(time.Second, netip.MustParseAddr("127.0.0.3"), false, naptrQuery("5521"), nil); len(effects) != 1 {
		t.Errorf("the other client: %+v", effects)
	} else if _, ok := effects[0].(RouteQuery); !ok {
		t.Errorf("the other client: %+v", effects)
	}
	repeated := newTestFrontend()
	repeated.Query(0, clientAddr, false, naptrQuery("5521"), 0)
	for i := range 2 * maxWaitingQueries {
		repeated.Query(0, clientAddr, false, naptrQuery("5521"), i+1)
	}
	if n := len(repeated.Reply(0, router.Reply{QueryID: 1, Result: router.Refused})); n != maxWaitingQueries {
		t.Errorf("%d waiting queries got a response", n)
	}
	repeated.RemoveExpired(time.Second)
	if repeated.LookupCount() != 0 {
		t.Errorf("%d lookups are kept after they expired", repeated.LookupCount())
	}
}

// Above the rate limit a response over UDP has no more octets than the query, so that a forged source address amplifies
// nothing. TCP and queries with a valid cookie are exempt.
func TestNoAmplification(t *testing.T) {
	f := New(Settings{Clients: []Client{{Name: "one", Networks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}}, AnswerRate: 1, CookieSecret: []byte("s")})
	q := naptrQuery("5521")
	q.SetEdns0(4096, false)
	q.IsEdns0().Option = append(q.IsEdns0().Option, &dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: "0123456789abcdef"})
	f.Query(0, clientAddr, false, q, nil)
	first := onlyResponse(t, f.Reply(0, router.Reply{QueryID: 1, Result: router.Established, RoutingNumber: "99", ExpiresAt: time.Second}))
	limited := onlyResponse(t, f.Query(1, clientAddr, false, q, nil))
	if !limited.Truncated || len(limited.Answer) > 0 || limited.Len() > q.Len() {
		t.Errorf("above the rate limit: %v", limited)
	}
	if m := onlyResponse(t, f.Query(2, clientAddr, true, q, nil)); m.Truncated || len(m.Answer) != 1 {
		t.Errorf("over TCP: %v", m)
	}
	client, server, ok := cookiesOf(first)
	if !ok || client != "0123456789abcdef" || len(server) != serverCookieLength {
		t.Fatalf("cookie %s %s %v", client, server, ok)
	}
	q.IsEdns0().Option[0].(*dns.EDNS0_COOKIE).Cookie = client + server
	if m := onlyResponse(t, f.Query(3, clientAddr, false, q, nil)); m.Truncated || len(m.Answer) != 1 {
		t.Errorf("with a cookie: %v", m)
	}
	if m := onlyResponse(t, f.Query(4, netip.MustParseAddr("127.0.0.7"), false, q, nil)); !m.Truncated {
		t.Errorf("with the cookie of another address: %v", m)
	}
}

func FuzzQuery(f *testing.F) {
	for _, q := range []*dns.Msg{naptrQuery("5521"), new(dns.Msg).SetQuestion("x.e164.arpa.", dns.TypeANY)} {
		b, _ := q.Pack()
		f.Add(b)
	}
	f.Add([]byte{0, 1, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0xc0, 0x0c, 0, 35, 0, 1}) // a compressed name that points to itself
	f.Fuzz(func(t *testing.T, b []byte) {
		q := new(dns.Msg)
		if q.Unpack(b) != nil {
			return
		}
		frontend := newTestFrontend()
		for _, effect := range frontend.Query(0, clientAddr, false, q, nil) {
			if r, ok := effect.(Respond); ok {
				if _, err := r.Message.Pack(); err != nil && len(q.Question) == 1 {
					t.Skip() // the question itself cannot be packed again
				}
			}
		}
		frontend.Reply(0, router.Reply{QueryID: 1, Result: router.Established, RoutingNumber: "99"})
	})
}
