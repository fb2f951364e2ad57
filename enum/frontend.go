// Package enum is the DNS frontend of a call server: ENUM (RFC 6116) for switches that query the route of a number before
// they set up the call. It turns DNS queries into route queries to a Router and the Router's replies into DNS responses
// (NAPTR of RFC 3403, E2U+pstn of RFC 4769 with the routing number rn of RFC 4694). It does no I/O and reads no clock: the
// caller passes in messages and the time and executes the returned effects. The Router makes all decisions about calls;
// this package limits the load that clients can cause.
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

// Client is a DNS client that may query routes, identified by the source address of its queries.
type Client struct {
	Name      string
	Networks  []netip.Prefix
	QueryRate float64 // route queries a second; 0: 200
}

// Settings configure a Frontend.
type Settings struct {
	Suffix       string // domain of the numbers; empty: e164.arpa.
	Clients      []Client
	AnswerRate   float64 // responses a second to one network (/24 or /56) over UDP without a valid cookie; 0: 100
	CookieSecret []byte  // key of the server cookies (RFC 7873)
}

// Defaults and limits. Rates are per second, UDP sizes in octets.
const (
	defaultSuffix      = "e164.arpa."
	defaultQueryRate   = 200
	defaultAnswerRate  = 100
	queryBurstDivisor  = 4    // a client may send the queries of 1/4 s at once
	answerBurstDivisor = 2    // a network may get the responses of 1/2 s at once
	maxDigits          = 15   // E.164
	maxUDPSize         = 1232 // avoids IP fragmentation (DNS flag day 2020)
	minUDPSize         = 512
	maxWaitingQueries  = 16                     // queries that wait for the reply to one route lookup
	maxNetworks        = 4096                   // networks with a rate limiter of their own
	refusalLifetime    = 500 * time.Millisecond // repeated queries get the same refusal for this long
)

// Effect is an action that the caller carries out.
type Effect interface{ effect() }

// Respond sends a response to the sender of a query.
type Respond struct {
	ReplyTo any // the value passed to Query
	Message *dns.Msg
}

// RouteQuery queries the Router for the route of a number (router.InQuery).
type RouteQuery struct {
	ID     uint64
	Client string
	Number string
}

func (Respond) effect()    {}
func (RouteQuery) effect() {}

// lookupKey identifies a lookup. A client's queries for one number belong to one call while the lookup is open, whatever
// their message ID and source port: DNS does not distinguish a repeated query from a second call.
type lookupKey struct {
	client string // name
	number string // digits
}

// routeLookup is one route query to the Router and the DNS queries that share its reply.
type routeLookup struct {
	key        lookupKey
	id         uint64
	waiting    []receivedQuery // for the reply; empty once it has come
	reply      *router.Reply
	replyUntil time.Duration // repeated queries get the same reply until then
}

// receivedQuery is a DNS query, how it came, and where its response goes.
type receivedQuery struct {
	replyTo any
	query   *dns.Msg
	tcp     bool
	from    netip.Addr
}

// Frontend holds the open lookups. It is not safe for concurrent use.
type Frontend struct {
	settings        Settings
	lookups         map[lookupKey]*routeLookup
	lookupsByID     map[uint64]*routeLookup
	lastID          uint64
	clients         []*limitedClient
	networkLimiters map[netip.Prefix]*rate.Limiter
}

// limitedClient is a client with the limiter of its route queries.
type limitedClient struct {
	Client
	limiter *rate.Limiter
}

// New returns a Frontend without lookups.
func New(settings Settings) *Frontend {
	if settings.Suffix == "" {
		settings.Suffix = defaultSuffix
	}
	settings.Suffix = dns.CanonicalName(settings.Suffix)
	if settings.AnswerRate <= 0 {
		settings.AnswerRate = defaultAnswerRate
	}
	f := &Frontend{settings: settings, lookups: map[lookupKey]*routeLookup{}, lookupsByID: map[uint64]*routeLookup{},
		networkLimiters: map[netip.Prefix]*rate.Limiter{}}
	for _, client := range settings.Clients {
		if client.QueryRate <= 0 {
			client.QueryRate = defaultQueryRate
		}
		f.clients = append(f.clients, &limitedClient{client,
			rate.NewLimiter(rate.Limit(client.QueryRate), max(1, int(client.QueryRate/queryBurstDivisor)))})
	}
	return f
}

// limiterTime converts the time to the type that the rate limiters use.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// ParseNumber returns the number that a name under the suffix encodes, its most significant digit last (RFC 6116 3.2).
// inDomain is false for names of other domains; number is empty for names under the suffix that do not encode 1 to 15
// digits.
func (f *Frontend) ParseNumber(name string) (number string, inDomain bool) {
	name = dns.CanonicalName(name)
	relativeName, ok := strings.CutSuffix(name, "."+f.settings.Suffix)
	if !ok {
		return "", name == f.settings.Suffix
	}
	labels := strings.Split(relativeName, ".")
	if len(labels) > maxDigits {
		return "", true
	}
	digits := make([]byte, len(labels))
	for i, label := range labels {
		if len(label) != 1 || label[0] < '0' || label[0] > '9' {
			return "", true
		}
		digits[len(labels)-1-i] = label[0]
	}
	return string(digits), true
}

// Query handles a DNS query. Every query gets a response: at once, or when the Router has replied. replyTo is returned in
// the Respond effect.
func (f *Frontend) Query(now time.Duration, from netip.Addr, tcp bool, query *dns.Msg, replyTo any) []Effect {
	received := receivedQuery{replyTo: replyTo, query: query, tcp: tcp, from: from.Unmap()}
	respond := func(rcode int, extendedError uint16, text string) []Effect {
		return []Effect{Respond{replyTo, f.newResponse(received, rcode, extendedError, text)}}
	}
	if len(query.Question) != 1 {
		return respond(dns.RcodeFormatError, 0, "")
	}
	if query.Opcode != dns.OpcodeQuery {
		return respond(dns.RcodeNotImplemented, 0, "")
	}
	if !tcp && !f.hasValidCookie(received) && !f.networkLimiter(now, received.from).AllowN(limiterTime(now), 1) {
		return f.truncatedResponse(received)
	}
	question := query.Question[0]
	number, inDomain := f.ParseNumber(question.Name)
	client := f.clientAt(received.from)
	switch {
	case question.Qclass != dns.ClassINET:
		return respond(dns.RcodeRefused, dns.ExtendedErrorCodeNotSupported, "class")
	case !inDomain:
		return respond(dns.RcodeRefused, dns.ExtendedErrorCodeNotAuthoritative, "")
	case client == nil:
		return respond(dns.RcodeRefused, dns.ExtendedErrorCodeProhibited, "unknown asker")
	case number == "":
		return respond(dns.RcodeNameError, 0, "")
	case question.Qtype != dns.TypeNAPTR:
		return respond(dns.RcodeSuccess, 0, "") // NODATA: the name has no records of this type
	}
	return f.lookUp(now, client, number, received)
}

// lookUp starts a route lookup, or adds the query to the one that is open for its number.
func (f *Frontend) lookUp(now time.Duration, client *limitedClient, number string, received receivedQuery) []Effect {
	key := lookupKey{client.Name, number}
	lookup := f.lookups[key]
	if lookup != nil && lookup.reply != nil && now >= lookup.replyUntil {
		f.remove(lookup)
		lookup = nil
	}
	switch {
	case lookup != nil && lookup.reply != nil:
		return []Effect{Respond{received.replyTo, f.responseFor(received, lookup)}}
	case lookup != nil && len(lookup.waiting) >= maxWaitingQueries:
		return []Effect{Respond{received.replyTo, f.newResponse(received, dns.RcodeRefused, dns.ExtendedErrorCodeNotReady,
			"too many repeats")}}
	case lookup != nil:
		lookup.waiting = append(lookup.waiting, received)
		return nil
	case !client.limiter.AllowN(limiterTime(now), 1):
		return []Effect{Respond{received.replyTo, f.newResponse(received, dns.RcodeRefused, dns.ExtendedErrorCodeNotReady,
			"too many questions")}}
	}
	f.lastID++
	lookup = &routeLookup{key: key, id: f.lastID, waiting: []receivedQuery{received}}
	f.lookups[key], f.lookupsByID[lookup.id] = lookup, lookup
	return []Effect{RouteQuery{lookup.id, client.Name, number}}
}

// Reply handles the Router's reply to a route query and responds to all queries that wait for it.
func (f *Frontend) Reply(now time.Duration, reply router.Reply) []Effect {
	lookup := f.lookupsByID[reply.QueryID]
	if lookup == nil || lookup.reply != nil {
		return nil
	}
	lookup.reply, lookup.replyUntil = &reply, reply.ExpiresAt
	if reply.Result != router.Established {
		lookup.replyUntil = now + refusalLifetime
	}
	var effects []Effect
	for _, received := range lookup.waiting {
		effects = append(effects, Respond{received.replyTo, f.responseFor(received, lookup)})
	}
	lookup.waiting = nil
	return effects
}

// EndLookup ends a lookup whose lease the set-up has used: the next query for the number belongs to a new call.
func (f *Frontend) EndLookup(id uint64) {
	if lookup := f.lookupsByID[id]; lookup != nil && lookup.reply != nil {
		f.remove(lookup)
	}
}

// RemoveExpired removes lookups whose reply has expired and limiters that are full again. Call it periodically.
func (f *Frontend) RemoveExpired(now time.Duration) {
	for _, lookup := range f.lookups {
		if lookup.reply != nil && now >= lookup.replyUntil {
			f.remove(lookup)
		}
	}
	for network, limiter := range f.networkLimiters {
		if limiter.TokensAt(limiterTime(now)) >= float64(limiter.Burst()) {
			delete(f.networkLimiters, network)
		}
	}
}

// LookupCount returns the number of lookups that are kept.
func (f *Frontend) LookupCount() int { return len(f.lookups) }

// remove removes a lookup, whose key may belong to a newer one.
func (f *Frontend) remove(lookup *routeLookup) {
	delete(f.lookupsByID, lookup.id)
	if f.lookups[lookup.key] == lookup {
		delete(f.lookups, lookup.key)
	}
}

// clientAt returns the first client with the address in its networks, or nil.
func (f *Frontend) clientAt(from netip.Addr) *limitedClient {
	for _, client := range f.clients {
		if slices.ContainsFunc(client.Networks, func(network netip.Prefix) bool { return network.Contains(from) }) {
			return client
		}
	}
	return nil
}

// networkLimiter returns the rate limiter of the network of an address. Above maxNetworks all new networks share one.
func (f *Frontend) networkLimiter(now time.Duration, from netip.Addr) *rate.Limiter {
	prefixLength := 24
	if from.Is6() {
		prefixLength = 56
	}
	network, err := from.Prefix(prefixLength)
	if err != nil {
		network = netip.Prefix{}
	}
	limiter := f.networkLimiters[network]
	if limiter == nil {
		if len(f.networkLimiters) >= maxNetworks {
			f.RemoveExpired(now)
		}
		if len(f.networkLimiters) >= maxNetworks {
			network = netip.Prefix{}
		}
		if limiter = f.networkLimiters[network]; limiter == nil {
			limiter = rate.NewLimiter(rate.Limit(f.settings.AnswerRate), max(1, int(f.settings.AnswerRate/answerBurstDivisor)))
			f.networkLimiters[network] = limiter
		}
	}
	return limiter
}

// truncatedResponse answers a query over the rate limit of UDP with an empty response that has the truncation bit set: a
// genuine client retries over TCP, and the victim of a forged source address gets no more octets than were sent in its name.
func (f *Frontend) truncatedResponse(received receivedQuery) []Effect {
	response := new(dns.Msg)
	response.SetReply(received.query)
	response.Truncated = true
	return []Effect{Respond{received.replyTo, response}}
}

// responseFor returns the response to a query from the Router's reply. Its TTL is 0: a lease is for one call.
func (f *Frontend) responseFor(received receivedQuery, lookup *routeLookup) *dns.Msg {
	reply := lookup.reply
	switch {
	case reply.Result == router.Established:
		response := f.newResponse(received, dns.RcodeSuccess, 0, "")
		response.Answer = []dns.RR{&dns.NAPTR{
			Hdr:   dns.RR_Header{Name: received.query.Question[0].Name, Rrtype: dns.TypeNAPTR, Class: dns.ClassINET},
			Order: 100, Preference: 10, Flags: "u", Service: "E2U+pstn:tel",
			Regexp: fmt.Sprintf("!^.*$!tel:+%s;npdi;rn=+%s!", lookup.key.number, reply.RoutingNumber)}}
		if !received.tcp {
			response.Truncate(udpSizeLimit(received.query))
		}
		return response
	case reply.Cause == isup.CauseUnallocated:
		return f.newResponse(received, dns.RcodeNameError, 0, "")
	case reply.Result == router.Refused:
		return f.newResponse(received, dns.RcodeRefused, dns.ExtendedErrorCodeNotReady, fmt.Sprintf("cause %d", reply.Cause))
	}
	return f.newResponse(received, dns.RcodeServerFailure, dns.ExtendedErrorCodeOther, fmt.Sprintf("cause %d", reply.Cause))
}

// udpSizeLimit returns the maximum size of a response over UDP, in octets.
func udpSizeLimit(query *dns.Msg) int {
	if opt := query.IsEdns0(); opt != nil {
		return min(max(int(opt.UDPSize()), minUDPSize), maxUDPSize)
	}
	return minUDPSize
}

// newResponse returns a response without records. If the query has EDNS, it carries the extended error and a cookie.
func (f *Frontend) newResponse(received receivedQuery, rcode int, extendedError uint16, text string) *dns.Msg {
	response := new(dns.Msg)
	response.SetRcode(received.query, rcode)
	response.Authoritative = true
	if received.query.IsEdns0() == nil {
		return response
	}
	opt := &dns.OPT{Hdr: dns.RR_Header{Name: ".", Rrtype: dns.TypeOPT}}
	opt.SetUDPSize(maxUDPSize)
	if extendedError != 0 || text != "" {
		opt.Option = append(opt.Option, &dns.EDNS0_EDE{InfoCode: extendedError, ExtraText: text})
	}
	if client, _, ok := cookiesOf(received.query); ok {
		opt.Option = append(opt.Option, &dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: client + f.serverCookie(client, received.from)})
	}
	response.Extra = append(response.Extra, opt)
	return response
}

// Lengths of the two parts of a DNS cookie, in hex digits (RFC 7873 4).
const (
	clientCookieLength = 16
	serverCookieLength = 16
)

// cookiesOf returns the client and server cookies of a query, in hex digits.
func cookiesOf(query *dns.Msg) (client, server string, ok bool) {
	opt := query.IsEdns0()
	if opt == nil {
		return "", "", false
	}
	for _, option := range opt.Option {
		if cookie, isCookie := option.(*dns.EDNS0_COOKIE); isCookie && len(cookie.Cookie) >= clientCookieLength {
			return cookie.Cookie[:clientCookieLength], cookie.Cookie[clientCookieLength:], true
		}
	}
	return "", "", false
}

// serverCookie returns the server cookie for a client cookie and an address.
func (f *Frontend) serverCookie(client string, from netip.Addr) string {
	mac := hmac.New(sha256.New, f.settings.CookieSecret)
	mac.Write([]byte(client))
	mac.Write(from.AsSlice())
	return hex.EncodeToString(mac.Sum(nil))[:serverCookieLength]
}

// hasValidCookie reports whether a query carries a server cookie that was issued to its source address, which is then not
// forged.
func (f *Frontend) hasValidCookie(received receivedQuery) bool {
	client, server, ok := cookiesOf(received.query)
	return ok && hmac.Equal([]byte(server), []byte(f.serverCookie(client, received.from)))
}
