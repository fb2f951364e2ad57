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

// echoedFields are the header fields of a request that its responses repeat (RFC 3261 section 8.2.6).
var echoedFields = []string{"Via", "From", "To", "Call-ID", "CSeq"}

// Head holds the header fields of a request that its responses repeat.
type Head struct {
	CallID string // value of Call-ID
	fields []byte // the repeated header fields in wire form
}

// HeadOf returns the header fields that responses to msg repeat. msg may be nil.
func HeadOf(msg *Message) Head {
	var head Head
	if msg == nil {
		return head
	}
	head.CallID = msg.CallID
	for _, name := range echoedFields {
		for _, f := range msg.Fields {
			if strings.EqualFold(f.Name, name) {
				head.fields = appendField(head.fields, name, f.Value)
			}
		}
	}
	return head
}

// Response appends a response to the request that head was taken from. If retryAfter, in seconds, is not 0, it goes into
// a Retry-After field.
func Response(b []byte, head Head, status, retryAfter int, body []byte) []byte {
	b = append(b, "SIP/2.0 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[status]...)
	b = append(b, "\r\n"...)
	b = append(b, head.fields...)
	if retryAfter > 0 {
		b = appendField(b, "Retry-After", strconv.Itoa(retryAfter))
	}
	return appendBody(b, body)
}

// Request appends a request that the call server sends about a call. cause is a Q.850 cause for the Reason field
// (RFC 3326), 0 for none.
func Request(b []byte, method, uri, callID string, sequence, cause int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, uri...)
	b = append(b, " SIP/2.0\r\n"...)
	b = appendField(b, "Via", "SIP/2.0/TCP peer")
	b = appendField(b, "Call-ID", callID)
	b = appendField(b, "CSeq", strconv.Itoa(sequence)+" "+method)
	if cause > 0 {
		b = appendField(b, "Reason", "Q.850;cause="+strconv.Itoa(cause))
	}
	return appendBody(b, nil)
}

// appendBody ends a message with Content-Length and the body.
func appendBody(b, body []byte) []byte {
	b = appendField(b, "Content-Length", strconv.Itoa(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// appendField appends one header field.
func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
