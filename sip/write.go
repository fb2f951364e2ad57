package sip

import (
	"strconv"
	"strings"
)

// reasons are the reason phrases of RFC 3261 section 21 for the responses that are given here.
var reasons = map[int]string{200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 413: "Request Entity Too Large",
	480: "Temporarily Unavailable", 481: "Call/Transaction Does Not Exist", 482: "Loop Detected", 486: "Busy Here",
	487: "Request Terminated", 500: "Server Internal Error", 503: "Service Unavailable", 504: "Server Time-out",
	513: "Message Too Large"}

// echoed are the fields of a request that its responses repeat (RFC 3261 section 8.2.6).
var echoed = []string{"Via", "From", "To", "Call-ID", "CSeq"}

// Head keeps of a request what its responses repeat.
type Head struct {
	CallID string
	lines  []byte
}

// HeadOf keeps what responses to m repeat.
func HeadOf(m *Message) Head {
	var h Head
	if m == nil {
		return h
	}
	h.CallID = m.CallID
	for _, name := range echoed {
		for _, f := range m.Fields {
			if strings.EqualFold(f.Name, name) {
				h.lines = field(h.lines, name, f.Value)
			}
		}
	}
	return h
}

// Response appends a response to the request with the head h. wait, in seconds, is told where it is not 0.
func Response(b []byte, h Head, status, wait int, body []byte) []byte {
	b = append(b, "SIP/2.0 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasons[status]...)
	b = append(b, "\r\n"...)
	b = append(b, h.lines...)
	if wait > 0 {
		b = field(b, "Retry-After", strconv.Itoa(wait))
	}
	return ended(b, body)
}

// Request appends a request of ours about a call. reason is a Q.850 cause (RFC 3326), 0 for none.
func Request(b []byte, method, uri, callID string, number, reason int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, uri...)
	b = append(b, " SIP/2.0\r\n"...)
	b = field(b, "Via", "SIP/2.0/TCP peer")
	b = field(b, "Call-ID", callID)
	b = field(b, "CSeq", strconv.Itoa(number)+" "+method)
	if reason > 0 {
		b = field(b, "Reason", "Q.850;cause="+strconv.Itoa(reason))
	}
	return ended(b, nil)
}

func ended(b, body []byte) []byte {
	b = field(b, "Content-Length", strconv.Itoa(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
