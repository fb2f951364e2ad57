package rulecheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// queryTable holds ENUM queries by exchange, ENUM client and message ID.
type queryTable map[string]*query

// query is an ENUM query and, once answered, the result of its first response.
type query struct {
	exchange string
	number   string // domain name asked for
	result   string // routing number, or the response code if there is none
	askedAt  time.Duration
	answered bool
}

// removeExchange forgets the queries to an exchange whose call server was killed.
func (table queryTable) removeExchange(exchange string) {
	for id, pending := range table {
		if pending.exchange == exchange {
			delete(table, id)
		}
	}
}

// checkQuery checks rule 1 on DNS: a query gets exactly one answer in time. A retransmission is the same query and must get the
// same answer.
func (c *checker) checkQuery(server *callServer, record Record) {
	message := new(dns.Msg)
	if message.Unpack(record.Data) != nil || len(message.Question) != 1 {
		c.verdict.Undecoded++
		return
	}
	id := fmt.Sprintf("%s %s %d", record.Exchange, record.Peer, message.Id)
	pending := c.queries[id]
	if record.Kind == QueryReceived {
		if pending == nil {
			c.verdict.Queries++
			c.queries[id] = &query{exchange: record.Exchange, number: message.Question[0].Name, askedAt: record.At}
		}
		return
	}
	if pending == nil {
		return // the call server has been killed since the query
	}
	result := fmt.Sprint(message.Rcode)
	for _, rr := range message.Answer {
		if naptr, ok := rr.(*dns.NAPTR); ok {
			_, rest, _ := strings.Cut(naptr.Regexp, "rn=+")
			result = strings.TrimSuffix(rest, "!")
		}
	}
	call := &callState{number: pending.number}
	switch late := record.At - pending.askedAt - c.parameters.QueryTimeout; {
	case pending.answered && pending.result != result:
		c.violation(1, record.At, server, call, "a repeated query was answered with %s, the first one with %s", result, pending.result)
	case pending.answered:
	case late > c.parameters.Slack:
		c.violation(1, record.At, server, call, "a query was answered %v late", late)
	}
	if !pending.answered && len(message.Answer) > 0 {
		c.verdict.Leases++
		c.checkLease(server, record, pending, result)
	}
	pending.answered, pending.result = true, result
}

// checkLease checks rule 2 on a lease: within QueryTimeout a routing number is leased for one called number only. A granted lease
// is the outstanding attempt of its call, and the set-up that follows presents the routing number: with the same number for two
// calls, that set-up could be the attempt of either.
func (c *checker) checkLease(server *callServer, record Record, granted *query, routingNumber string) {
	id := record.Exchange + " " + routingNumber
	if earlier := c.leases[id]; earlier != nil && earlier.number != granted.number &&
		record.At-earlier.askedAt < c.parameters.QueryTimeout {
		c.violation(2, record.At, server, &callState{number: granted.number}, "routing number %s is also leased for a call to %s",
			routingNumber, earlier.number)
	}
	c.leases[id] = granted
}

// killWindow is how long after its kill was recorded a call server may still receive queries, which it never answers.
const killWindow = 500 * time.Millisecond

// finishQueries reports queries that were never answered.
func (c *checker) finishQueries(end time.Duration) {
	ids := make([]string, 0, len(c.queries))
	for id := range c.queries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		pending := c.queries[id]
		if killed, ok := c.killedAt[pending.exchange]; ok && pending.askedAt < killed+killWindow &&
			pending.askedAt > killed-c.parameters.QueryTimeout {
			continue
		}
		if !pending.answered && end > pending.askedAt+c.parameters.QueryTimeout+c.parameters.Slack {
			c.violation(1, pending.askedAt, c.callServer(pending.exchange), &callState{number: pending.number}, "a query has no answer")
		}
	}
}
