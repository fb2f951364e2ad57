package sip

import (
	"strconv"
	"strings"
)

// reasonPhrases holds the reason phrases (RFC 3261 section 21) of the status codes that the call server sends.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 405: "Method Not Allowed", 413: "Request Entity Too Large",
	480: "Temporarily Unavailable", 481: "Call/Transaction Does Not Exist", 482: "Loop Detected", 486: "Busy Here",
	487: "Request Terminated", 500: "Server Internal Error", 503: "Service Unavailable", 504: "Server Time-out",
	513: "Message Too Large"}

// echoedFields are the names of the header fields of a request that its responses repeat (RFC 3261 section 8.2.6).
var echoedFields = []string{"Via", "From", "To", "Call-ID", "CSeq"}

// Head holds the header fields of a request that its responses repeat, ready to be written.
type Head struct {
	CallID string // value of Call-ID
	fields []byte // the repeated header fields in wire form
}

// HeadOf returns the header fields that responses to msg repeat. msg may be the Head of a Fault; if it is nil, there are none.
func HeadOf(msg *Message) Head {
	var head Head
	if msg == nil {
		return head
	}
	head.CallID = msg.CallID
	for _, name := range echoedFields {
		for _, field := range msg.Fields {
			if strings.EqualFold(field.Name, name) {
				head.fields = appendField(head.fields, name, field.Value)
			}
		}
	}
	return head
}

// Response appends to buf a response to the request that head was taken from. If retryAfter, in seconds, is not 0, it goes into
// a Retry-After field.
func Response(buf []byte, head Head, status, retryAfter int, body []byte) []byte {
	buf = append(buf, "SIP/2.0 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(buf, ' ')
	buf = append(buf, reasonPhrases[status]...)
	buf = append(buf, "\r\n"...)
	buf = append(buf, head.fields...)
	if retryAfter > 0 {
		buf = appendField(buf, "Retry-After", strconv.Itoa(retryAfter))
	}
	return appendBody(buf, body)
}

// Request appends to buf a request that the call server sends about a call. cause is a Q.850 cause for the Reason field
// (RFC 3326), 0 for none.
func Request(buf []byte, method, uri, callID string, sequence, cause int) []byte {
	buf = append(buf, method...)
	buf = append(buf, ' ')
	buf = append(buf, uri...)
	buf = append(buf, " SIP/2.0\r\n"...)
	buf = appendField(buf, "Via", "SIP/2.0/TCP peer")
	buf = appendField(buf, "Call-ID", callID)
	buf = appendField(buf, "CSeq", strconv.Itoa(sequence)+" "+method)
	if cause > 0 {
		buf = appendField(buf, "Reason", "Q.850;cause="+strconv.Itoa(cause))
	}
	return appendBody(buf, nil)
}

// appendBody ends a message with Content-Length and the body.
func appendBody(buf, body []byte) []byte {
	buf = appendField(buf, "Content-Length", strconv.Itoa(len(body)))
	buf = append(buf, "\r\n"...)
	return append(buf, body...)
}

// appendField appends one header field.
func appendField(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}
