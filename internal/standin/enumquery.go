package standin

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

	"finchlatch/internal/rulecheck"
)

// queryTimeout is the time that an ENUM client waits for a response before it repeats the query, and queryAttempts is the
// number of queries in total.
const (
	queryTimeout  = 1500 * time.Millisecond
	queryAttempts = 2
)

// ednsBufferSize is the largest UDP response that an ENUM client accepts, in bytes.
const ednsBufferSize = 1232

// queryENUM looks a number up and returns the routing number; empty: the call may not be set up. Each class of calls uses
// a client address of its own, by which the call server identifies its ENUM clients.
func (c *Callers) queryENUM(address string, category byte, number string) string {
	if address == "" {
		return "" // the call server is down
	}
	dialer := net.Dialer{LocalAddr: &net.UDPAddr{IP: net.IPv4(127, 0, category, 1)}}
	raw, err := dialer.Dial("udp", address)
	if err != nil {
		return ""
	}
	defer raw.Close()
	conn := &dns.Conn{Conn: raw, UDPSize: ednsBufferSize}
	domain := ""
	for i := len(number) - 1; i >= 0; i-- {
		domain += number[i:i+1] + "."
	}
	query := new(dns.Msg).SetQuestion(domain+"e164.arpa.", dns.TypeNAPTR)
	query.SetEdns0(ednsBufferSize, false)
	encoded, err := query.Pack()
	if err != nil {
		return ""
	}
	client := fmt.Sprintf("%v", raw.LocalAddr())
	for range queryAttempts {
		if c.EnumAddress() != address {
			return "" // that call server has ended, and so have its leases
		}
		c.RecordLookUp(rulecheck.QueryReceived, client, encoded)
		if _, err := conn.Write(encoded); err != nil {
			return ""
		}
		_ = conn.SetReadDeadline(time.Now().Add(queryTimeout))
		buf := make([]byte, ednsBufferSize)
		n, err := raw.Read(buf)
		if err != nil {
			continue
		}
		c.RecordLookUp(rulecheck.QueryAnswered, client, buf[:n])
		response := new(dns.Msg)
		if response.Unpack(buf[:n]) != nil || response.Id != query.Id || len(response.Answer) == 0 {
			return ""
		}
		if naptr, ok := response.Answer[0].(*dns.NAPTR); ok {
			_, routing, _ := strings.Cut(naptr.Regexp, "rn=+")
			return strings.TrimSuffix(routing, "!")
		}
	}
	return ""
}
