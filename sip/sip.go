// Package sip reads and writes the subset of SIP (RFC 3261) that callers of the platform use over TCP: INVITE, ACK,
// CANCEL, BYE, OPTIONS, NOTIFY and responses, each with Content-Length. It does no input or output of its own. The
// size of a message and the number of its header fields are limited; a message that cannot be parsed gives a Fault
// with the status of the response to it.
package sip

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// MaxMessageBytes limits the size of a message, header and body together.
const MaxMessageBytes = 16 << 10

// maxHeaderFields limits the number of header fields of a message.
const maxHeaderFields = 64

// headerTerminator is the end of the last header field and the empty line that separates the header from the body.
const headerTerminator = "\r\n\r\n"

// Message is a request or, if Status is not 0, a response. Its strings and Body are copies, not parts of a read buffer.
type Message struct {
	Method string  // method of a request; for a response the method in its CSeq
	URI    string  // Request-URI of a request
	Status int     // status code of a response, 0 for a request
	Reason string  // reason phrase of a response
	CallID string  // value of Call-ID
	CSeq   string  // sequence number and method
	Fields []Field // header fields in order of arrival, compact names expanded
	Body   []byte
}

// Field is one header field as received; a compact name is expanded.
type Field struct{ Name, Value string }

// Fault is the error for a message that cannot be parsed or is too large, with what a response to it needs.
type Fault struct {
	Status int      // status code of the response
	Text   string   // description of the fault
	Head   *Message // what was parsed of the message, without its body, for HeadOf; nil: nothing
}

func (f *Fault) Error() string { return fmt.Sprintf("sip: %s (%d)", f.Text, f.Status) }

// Get returns the value of the first header field with this name, or "".
func (m *Message) Get(name string) string {
	for _, field := range m.Fields {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}

// User returns the user part of the Request-URI.
func (m *Message) User() string {
	address, _ := strings.CutPrefix(m.URI, "sip:")
	user, _, _ := strings.Cut(address, "@")
	return user
}

// Framer splits a byte stream into messages. After a Fault the rest of the stream cannot be parsed.
type Framer struct {
	buffered   []byte
	searched   int      // bytes of buffered that were searched for the end of the header
	head       *Message // of the message whose body has not arrived completely; nil: none
	bodyLength int      // of that message
}

// Write appends received bytes.
func (f *Framer) Write(data []byte) { f.buffered = append(f.buffered, data...) }

// Buffered returns the number of buffered bytes of an incomplete message.
func (f *Framer) Buffered() int { return len(f.buffered) }

// Next returns the next complete message, or nil if it has not arrived completely.
func (f *Framer) Next() (*Message, error) {
	for len(f.buffered) >= 2 && f.buffered[0] == '\r' && f.buffered[1] == '\n' { // keep-alives between messages (RFC 5626)
		f.discard(2)
	}
	headerEnd := bytes.Index(f.buffered[f.searched:], []byte(headerTerminator))
	if headerEnd < 0 {
		if len(f.buffered) > MaxMessageBytes {
			return nil, &Fault{Status: 513, Text: fmt.Sprintf("header exceeds %d bytes", MaxMessageBytes)}
		}
		f.searched = max(0, len(f.buffered)-len(headerTerminator)+1)
		return nil, nil
	}
	headerEnd += f.searched
	f.searched = headerEnd
	if f.head == nil {
		if err := f.readHead(headerEnd); err != nil {
			return nil, err
		}
	}
	bodyStart := headerEnd + len(headerTerminator)
	bodyEnd := bodyStart + f.bodyLength
	if len(f.buffered) < bodyEnd {
		return nil, nil
	}
	msg := f.head
	f.head = nil
	msg.Body = bytes.Clone(f.buffered[bodyStart:bodyEnd])
	f.discard(bodyEnd)
	return msg, nil
}

// readHead parses the header of a message, which is kept until its body has arrived.
func (f *Framer) readHead(headerEnd int) error {
	if headerEnd > MaxMessageBytes {
		return &Fault{Status: 513, Text: fmt.Sprintf("header of %d bytes is too large", headerEnd)}
	}
	msg, bodyLength, fault := parseHead(f.buffered[:headerEnd])
	if fault != nil {
		return fault
	}
	if bodyLength > MaxMessageBytes-headerEnd-len(headerTerminator) { // not their sum, which overflows for the largest lengths
		return &Fault{Status: 513, Text: fmt.Sprintf("body of %d bytes is too large", bodyLength), Head: msg}
	}
	f.head, f.bodyLength = msg, bodyLength
	return nil
}

// discard removes the first n buffered bytes, and releases the memory of a buffer that is empty then.
func (f *Framer) discard(n int) {
	f.searched = 0
	if n == len(f.buffered) {
		f.buffered = nil
		return
	}
	f.buffered = f.buffered[n:]
}

// compactNames maps the compact names of the header fields that are used here to their full names (RFC 3261 section 20).
var compactNames = map[string]string{"i": "Call-ID", "l": "Content-Length", "v": "Via", "f": "From", "t": "To"}

// parseHead parses the first line and the header fields, and returns the length of the body.
func parseHead(head []byte) (*Message, int, *Fault) {
	firstLine, remaining, _ := strings.Cut(string(head), "\r\n")
	msg := &Message{}
	malformed := func(status int, format string, args ...any) (*Message, int, *Fault) {
		return msg, 0, &Fault{Status: status, Text: fmt.Sprintf(format, args...), Head: msg}
	}
	contentLength, contentLengthFields := 0, 0
	for line := ""; remaining != ""; {
		line, remaining, _ = strings.Cut(remaining, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if name = strings.TrimRight(name, " \t"); !ok || name == "" || strings.ContainsAny(name, " \t\x00") {
			return malformed(400, "malformed header field: %.40q", line)
		}
		if len(msg.Fields) == maxHeaderFields {
			return malformed(400, "more than %d header fields", maxHeaderFields)
		}
		value = strings.Trim(value, " \t")
		if fullName, ok := compactNames[strings.ToLower(name)]; ok {
			name = fullName
		}
		msg.Fields = append(msg.Fields, Field{name, value})
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, ok := parseContentLength(value)
			if !ok || contentLengthFields > 0 && n != contentLength {
				return malformed(400, "invalid Content-Length: %.40q", value)
			}
			contentLength, contentLengthFields = n, contentLengthFields+1
		case strings.EqualFold(name, "Call-ID"):
			if msg.CallID != "" && msg.CallID != value {
				return malformed(400, "conflicting Call-ID fields")
			}
			msg.CallID = value
		case strings.EqualFold(name, "CSeq"):
			msg.CSeq = value
		}
	}
	if problem := msg.parseFirstLine(firstLine); problem != "" {
		return malformed(400, "%s", problem)
	}
	if contentLengthFields == 0 {
		return malformed(400, "Content-Length is missing")
	}
	return msg, contentLength, nil
}

// parseContentLength parses the value of a Content-Length field (RFC 3261 section 20.14), which has digits only and no sign. The
// result may be any number that an int can hold.
func parseContentLength(value string) (int, bool) {
	n, err := strconv.ParseUint(value, 10, strconv.IntSize-1)
	return int(n), err == nil
}

// parseFirstLine parses the first line and checks that the CSeq matches it. It returns a description of what is wrong, or "".
func (m *Message) parseFirstLine(line string) string {
	number, method, _ := strings.Cut(m.CSeq, " ")
	method = strings.TrimLeft(method, " ")
	if _, err := strconv.ParseUint(number, 10, 32); err != nil || !isMethod(method) {
		return fmt.Sprintf("malformed CSeq: %.40q", m.CSeq)
	}
	m.Method = method
	if status, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, reason, _ := strings.Cut(status, " ")
		statusCode, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || statusCode < 100 || statusCode > 699 {
			return fmt.Sprintf("invalid status code: %.40q", code)
		}
		m.Status, m.Reason = statusCode, reason
		return ""
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != "SIP/2.0" || !isMethod(parts[0]) || parts[1] == "" {
		return fmt.Sprintf("malformed first line: %.40q", line)
	}
	if parts[0] != method {
		return fmt.Sprintf("method %s does not match CSeq %.40q", parts[0], m.CSeq)
	}
	m.URI = parts[1]
	return ""
}

// isMethod reports whether text has the form of a method name: up to 32 capital letters.
func isMethod(text string) bool {
	for i := range len(text) {
		if text[i] < 'A' || text[i] > 'Z' {
			return false
		}
	}
	return text != "" && len(text) <= 32
}
