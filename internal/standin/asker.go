package standin

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

	"finchlatch/internal/rulecheck"
)

// askTime is how long an asker waits for an answer until it asks again, and asks is how often it asks.
const (
	askTime = 1500 * time.Millisecond
	asks    = 2
)

// lookUp asks where a number goes and gives the routing number; empty: the call may not be set up. Each class asks from
// an address of its own, by which the call server knows its askers.
func (c *Callers) lookUp(where string, category byte, number string) string {
	if where == "" {
		return "" // the call server is down
	}
	d := net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, category, 1)}}
	raw, err := d.Dial("udp", where)
	if err != nil {
		return ""
	}
	defer raw.Close()
	conn := &dns.Conn{Conn: raw, UDPSize: 1232}
	name := ""
	for i := len(number) - 1; i >= 0; i-- {
		name += number[i:i+1] + "."
	}
	q := new(dns.Msg).SetQuestion(name+"e164.arpa.", dns.TypeNAPTR)
	q.SetEdns0(1232, false)
	wire, err := q.Pack()
	if err != nil {
		return ""
	}
	who := fmt.Sprintf("%v", raw.LocalAddr())
	for range asks {
		if c.Where() != where {
			return "" // that call server is gone, and what it held with it
		}
		c.Tap(rulecheck.Asked, who, wire)
		if _, err := conn.Write(wire); err != nil {
			return ""
		}
		_ = conn.SetReadDeadline(time.Now().Add(askTime))
		buf := make([]byte, 1232)
		n, err := raw.Read(buf)
		if err != nil {
			continue
		}
		c.Tap(rulecheck.Replied, who, buf[:n])
		m := new(dns.Msg)
		if m.Unpack(buf[:n]) != nil || m.Id != q.Id || len(m.Answer) == 0 {
			return ""
		}
		if naptr, ok := m.Answer[0].(*dns.NAPTR); ok {
			_, routing, _ := strings.Cut(naptr.Regexp, "rn=+")
			return strings.TrimSuffix(routing, "!")
		}
	}
	return ""
}
