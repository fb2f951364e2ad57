package rulecheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// lookups are the queries that have no answer yet, by exchange and asker, and the routing numbers granted.
type lookups map[string]*lookUp

type lookUp struct {
	exchange, number, routing string
	at                        time.Duration
	answered                  bool
}

func (l lookups) forget(exchange string) {
	for k, q := range l {
		if q.exchange == exchange {
			delete(l, k)
		}
	}
}

// lookUp judges rule 1 on DNS: a look-up gets exactly one answer, in time. A repeat of a query is the same look-up and
// must get the same answer; a routing number is for one number only.
func (c *checker) lookUp(s *server, r Record) {
	m := new(dns.Msg)
	if m.Unpack(r.Data) != nil || len(m.Question) != 1 {
		c.v.Unread++
		return
	}
	id := fmt.Sprintf("%s %s %d", r.Exchange, r.Peer, m.Id)
	q := c.lookups[id]
	if r.Kind == Asked {
		if q == nil {
			c.v.LookUps++
			c.lookups[id] = &lookUp{exchange: r.Exchange, number: m.Question[0].Name, at: r.At}
		}
		return
	}
	if q == nil {
		return // of a call server that was killed meanwhile
	}
	routing := fmt.Sprint(m.Rcode)
	for _, rr := range m.Answer {
		if n, ok := rr.(*dns.NAPTR); ok {
			_, rest, _ := strings.Cut(n.Regexp, "rn=+")
			routing = strings.TrimSuffix(rest, "!")
		}
	}
	named := &call{number: q.number}
	switch late := r.At - q.at - c.f.AskWithin; {
	case q.answered && q.routing != routing:
		c.breach(1, r.At, s, named, "a repeated look-up was answered with %s, at first with %s", routing, q.routing)
	case q.answered:
	case late > c.f.Slack:
		c.breach(1, r.At, s, named, "a look-up was answered %v late", late)
	}
	if !q.answered && len(m.Answer) > 0 {
		c.v.Leases++
		c.granted(s, r, q, routing)
	}
	q.answered, q.routing = true, routing
}

// granted checks that a routing number stands for one number only.
func (c *checker) granted(s *server, r Record, q *lookUp, routing string) {
	id := r.Exchange + " " + routing
	if o := c.routings[id]; o != nil && o.number != q.number && r.At-o.at < c.f.AskWithin {
		c.breach(2, r.At, s, &call{number: q.number}, "routing number %s is another call's too, to %s", routing, o.number)
	}
	c.routings[id] = q
}

// killTime is how long a call server that is killed may still take a look-up and never answer it.
const killTime = 500 * time.Millisecond

// closeLookUps judges what was never answered.
func (c *checker) closeLookUps(end time.Duration) {
	ids := make([]string, 0, len(c.lookups))
	for id := range c.lookups {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := c.lookups[id]
		if killed, ok := c.killed[q.exchange]; ok && q.at < killed+killTime && q.at > killed-c.f.AskWithin {
			continue
		}
		if !q.answered && end > q.at+c.f.AskWithin+c.f.Slack {
			c.breach(1, q.at, c.server(q.exchange), &call{number: q.number}, "a look-up has no answer")
		}
	}
}
