// Package enum is the second front: look-ups by ENUM (RFC 6116) over DNS, for switches that ask where a number goes
// before they set the call up. It turns queries into questions to a Router and the Router's replies into answers
// (NAPTR of RFC 3403, E2U+pstn of RFC 4769 with rn of RFC 4694). It is pure: messages and the time in, messages and
// questions out. It decides nothing about calls; it bounds what askers can make it do.
package enum

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
	"golang.org/x/time/rate"

	"finchlatch/isup"
	"finchlatch/router"
)

// Asker is someone who may ask, known by where the queries come from.
type Asker struct {
	Name     string
	Networks []netip.Prefix
	Rate     float64 // questions a second; 0: 200
}

// Settings of a Front.
type Settings struct {
	Suffix  string // domain of the numbers; empty: e164.arpa.
	Askers  []Asker
	Answers float64 // answers a second to one network (/24, /56) over UDP without a valid cookie; 0: 100
	Secret  []byte  // of the cookies
}

// Defaults and bounds.
const (
	defaultSuffix = "e164.arpa."
	defaultRate   = 200
	defaultAnswer = 100
	maxDigits     = 15   // E.164
	maxUDP        = 1232 // octets that pass without fragments (DNS flag day 2020)
	leastUDP      = 512
	maxWaiting    = 16                     // repeats of one question that wait for its answer
	maxNetworks   = 4096                   // networks whose rates are kept
	refusedFor    = 500 * time.Millisecond // a refusal is repeated to repeats within it
)

// Out is something to be done.
type Out interface{ out() }

// Respond asks for a message to be sent to whoever sent the query.
type Respond struct {
	To      any // as handed to Query
	Message *dns.Msg
}

// Ask asks the Router (router.InAsk).
type Ask struct {
	ID     uint64
	Asker  string
	Number string
}

func (Respond) out() {}
func (Ask) out()     {}

// key tells questions apart. One asker's queries for one number are one call while it is open, whatever their id and
// source port: DNS cannot tell a repeat from a second call.
type key struct {
	asker, number string
}

type question struct {
	key     key
	id      uint64
	waiting []waiter
	reply   *router.Reply
	until   time.Duration // the reply is repeated until then
}

type waiter struct {
	to    any
	query *dns.Msg
	tcp   bool
	from  netip.Addr
}

// Front holds the open questions. It is not safe for concurrent use.
type Front struct {
	set      Settings
	open     map[key]*question
	byID     map[uint64]*question
	last     uint64
	askers   []*asker
	networks map[netip.Prefix]*rate.Limiter
}

type asker struct {
	Asker
	limit *rate.Limiter
}

// New makes a Front.
func New(s Settings) *Front {
	if s.Suffix == "" {
		s.Suffix = defaultSuffix
	}
	s.Suffix = dns.CanonicalName(s.Suffix)
	if s.Answers <= 0 {
		s.Answers = defaultAnswer
	}
	f := &Front{set: s, open: map[key]*question{}, byID: map[uint64]*question{}, networks: map[netip.Prefix]*rate.Limiter{}}
	for _, a := range s.Askers {
		if a.Rate <= 0 {
			a.Rate = defaultRate
		}
		f.askers = append(f.askers, &asker{a, rate.NewLimiter(rate.Limit(a.Rate), max(1, int(a.Rate/4)))})
	}
	return f
}

// at is the time as the limiters want it.
func at(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// Number reads the digits of a name under the suffix: most significant last (RFC 6116 3.2). ours is false for names of
// other domains; number is empty for names of ours that are no number of 1 to 15 digits.
func (f *Front) Number(name string) (number string, ours bool) {
	name = dns.CanonicalName(name)
	rest, ok := strings.CutSuffix(name, "."+f.set.Suffix)
	if !ok {
		return "", name == f.set.Suffix
	}
	labels := strings.Split(rest, ".")
	if len(labels) > maxDigits {
		return "", true
	}
	digits := make([]byte, len(labels))
	for i, l := range labels {
		if len(l) != 1 || l[0] < '0' || l[0] > '9' {
			return "", true
		}
		digits[len(labels)-1-i] = l[0]
	}
	return string(digits), true
}

// Query takes a query. Every one is answered: at once, or when the Router has replied.
func (f *Front) Query(now time.Duration, from netip.Addr, tcp bool, q *dns.Msg, to any) []Out {
	w := waiter{to: to, query: q, tcp: tcp, from: from.Unmap()}
	respond := func(rcode int, ede uint16, text string) []Out {
		return []Out{Respond{to, f.message(w, rcode, ede, text)}}
	}
	if len(q.Question) != 1 {
		return respond(dns.RcodeFormatError, 0, "")
	}
	if q.Opcode != dns.OpcodeQuery {
		return respond(dns.RcodeNotImplemented, 0, "")
	}
	if !tcp && !f.cookieHolds(w) && !f.network(now, w.from).AllowN(at(now), 1) {
		return f.shorten(w)
	}
	ask := q.Question[0]
	number, ours := f.Number(ask.Name)
	a := f.askerOf(w.from)
	switch {
	case ask.Qclass != dns.ClassINET:
		return respond(dns.RcodeRefused, dns.ExtendedErrorCodeNotSupported, "class")
	case !ours:
		return respond(dns.RcodeRefused, dns.ExtendedErrorCodeNotAuthoritative, "")
	case a == nil:
		return respond(dns.RcodeRefused, dns.ExtendedErrorCodeProhibited, "unknown asker")
	case number == "":
		return respond(dns.RcodeNameError, 0, "")
	case ask.Qtype != dns.TypeNAPTR:
		return respond(dns.RcodeSuccess, 0, "") // there is no such data
	}
	return f.question(now, a, number, w)
}

// question asks the Router, or joins a question that is open.
func (f *Front) question(now time.Duration, a *asker, number string, w waiter) []Out {
	k := key{a.Name, number}
	o := f.open[k]
	if o != nil && o.reply != nil && now >= o.until {
		f.drop(o)
		o = nil
	}
	switch {
	case o != nil && o.reply != nil:
		return []Out{Respond{w.to, f.answer(w, o)}}
	case o != nil && len(o.waiting) >= maxWaiting:
		return []Out{Respond{w.to, f.message(w, dns.RcodeRefused, dns.ExtendedErrorCodeNotReady, "too many repeats")}}
	case o != nil:
		o.waiting = append(o.waiting, w)
		return nil
	case !a.limit.AllowN(at(now), 1):
		return []Out{Respond{w.to, f.message(w, dns.RcodeRefused, dns.ExtendedErrorCodeNotReady, "too many questions")}}
	}
	f.last++
	o = &question{key: k, id: f.last, waiting: []waiter{w}}
	f.open[k], f.byID[o.id] = o, o
	return []Out{Ask{o.id, a.Name, number}}
}

// Reply takes the Router's reply to a question, and answers all queries that wait for it.
func (f *Front) Reply(now time.Duration, r router.Reply) []Out {
	o := f.byID[r.Ask]
	if o == nil || o.reply != nil {
		return nil
	}
	o.reply, o.until = &r, r.Until
	if r.Verdict != router.Stands {
		o.until = now + refusedFor
	}
	var out []Out
	for _, w := range o.waiting {
		out = append(out, Respond{w.to, f.answer(w, o)})
	}
	o.waiting = nil
	return out
}

// End takes the news that a lease was taken over: the next query for the number is a new call.
func (f *Front) End(ask uint64) {
	if o := f.byID[ask]; o != nil && o.reply != nil {
		f.drop(o)
	}
}

// Sweep forgets what has run out. Call it now and then.
func (f *Front) Sweep(now time.Duration) {
	for _, o := range f.open {
		if o.reply != nil && now >= o.until {
			f.drop(o)
		}
	}
	for p, l := range f.networks {
		if l.TokensAt(at(now)) >= float64(l.Burst()) {
			delete(f.networks, p)
		}
	}
}

// Open is the number of questions that are kept.
func (f *Front) Open() int { return len(f.open) }

func (f *Front) drop(o *question) {
	delete(f.byID, o.id)
	if f.open[o.key] == o {
		delete(f.open, o.key)
	}
}

func (f *Front) askerOf(from netip.Addr) *asker {
	for _, a := range f.askers {
		if slices.ContainsFunc(a.Networks, func(p netip.Prefix) bool { return p.Contains(from) }) {
			return a
		}
	}
	return nil
}

// network finds the limiter of a network. Beyond the bound all new ones share one.
func (f *Front) network(now time.Duration, from netip.Addr) *rate.Limiter {
	length := 24
	if from.Is6() {
		length = 56
	}
	p, err := from.Prefix(length)
	if err != nil {
		p = netip.Prefix{}
	}
	l := f.networks[p]
	if l == nil {
		if len(f.networks) >= maxNetworks {
			f.Sweep(now)
		}
		if len(f.networks) >= maxNetworks {
			p = netip.Prefix{}
		}
		if l = f.networks[p]; l == nil {
			l = rate.NewLimiter(rate.Limit(f.set.Answers), max(1, int(f.set.Answers/2)))
			f.networks[p] = l
		}
	}
	return l
}

// shorten answers a query that comes too fast over UDP with nothing but the truncation bit: whoever means it comes
// back over TCP, and nobody else gets more octets than were sent in his name.
func (f *Front) shorten(w waiter) []Out {
	m := new(dns.Msg)
	m.SetReply(w.query)
	m.Truncated = true
	return []Out{Respond{w.to, m}}
}

// answer makes the answer for a question that the Router has replied to. TTL is 0: a lease is for one call.
func (f *Front) answer(w waiter, o *question) *dns.Msg {
	r := o.reply
	switch {
	case r.Verdict == router.Stands:
		m := f.message(w, dns.RcodeSuccess, 0, "")
		m.Answer = []dns.RR{&dns.NAPTR{
			Hdr:   dns.RR_Header{Name: w.query.Question[0].Name, Rrtype: dns.TypeNAPTR, Class: dns.ClassINET},
			Order: 100, Preference: 10, Flags: "u", Service: "E2U+pstn:tel",
			Regexp: fmt.Sprintf("!^.*$!tel:+%s;npdi;rn=+%s!", o.key.number, r.Routing)}}
		if !w.tcp {
			m.Truncate(udpSize(w.query))
		}
		return m
	case r.Cause == isup.CauseUnallocated:
		return f.message(w, dns.RcodeNameError, 0, "")
	case r.Verdict == router.Refused:
		return f.message(w, dns.RcodeRefused, dns.ExtendedErrorCodeNotReady, fmt.Sprintf("cause %d", r.Cause))
	}
	return f.message(w, dns.RcodeServerFailure, dns.ExtendedErrorCodeOther, fmt.Sprintf("cause %d", r.Cause))
}

// udpSize is how long an answer over UDP may be.
func udpSize(q *dns.Msg) int {
	if opt := q.IsEdns0(); opt != nil {
		return min(max(int(opt.UDPSize()), leastUDP), maxUDP)
	}
	return leastUDP
}

// message makes an answer without records; with EDNS in the query it carries the extended error and a cookie.
func (f *Front) message(w waiter, rcode int, ede uint16, text string) *dns.Msg {
	m := new(dns.Msg)
	m.SetRcode(w.query, rcode)
	m.Authoritative = true
	if w.query.IsEdns0() == nil {
		return m
	}
	opt := &dns.OPT{Hdr: dns.RR_Header{Name: ".", Rrtype: dns.TypeOPT}}
	opt.SetUDPSize(maxUDP)
	if ede != 0 || text != "" {
		opt.Option = append(opt.Option, &dns.EDNS0_EDE{InfoCode: ede, ExtraText: text})
	}
	if client, _, ok := cookieOf(w.query); ok {
		opt.Option = append(opt.Option, &dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: client + f.cookie(client, w.from)})
	}
	m.Extra = append(m.Extra, opt)
	return m
}

// clientCookie and serverCookie are lengths in hex digits (RFC 7873 4).
const (
	clientCookie = 16
	serverCookie = 16
)

func cookieOf(q *dns.Msg) (client, server string, ok bool) {
	opt := q.IsEdns0()
	if opt == nil {
		return "", "", false
	}
	for _, o := range opt.Option {
		if c, is := o.(*dns.EDNS0_COOKIE); is && len(c.Cookie) >= clientCookie {
			return c.Cookie[:clientCookie], c.Cookie[clientCookie:], true
		}
	}
	return "", "", false
}

// cookie is the server cookie for a client cookie and an address.
func (f *Front) cookie(client string, from netip.Addr) string {
	mac := hmac.New(sha256.New, f.set.Secret)
	mac.Write([]byte(client))
	mac.Write(from.AsSlice())
	return hex.EncodeToString(mac.Sum(nil))[:serverCookie]
}

// cookieHolds tells whether a query shows a cookie of ours: its address is no forgery.
func (f *Front) cookieHolds(w waiter) bool {
	client, server, ok := cookieOf(w.query)
	return ok && hmac.Equal([]byte(server), []byte(f.cookie(client, w.from)))
}
