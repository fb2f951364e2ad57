// Package sip reads and writes the part of RFC 3261 that callers of the platform use on TCP: INVITE, ACK, CANCEL,
// BYE, OPTIONS, NOTIFY and responses, each with Content-Length. Pure: bytes in, messages out. All that is read is
// bounded, and whatever cannot be read is a Fault that says how to answer it.
package sip

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Most is how long a message may be, header and body together.
const Most = 16 << 10

// mostFields is how many header fields a message may have.
const mostFields = 64

// Message is a request or, where Status is set, a response. Its strings and Body are its own.
type Message struct {
	Method string // of a request; of a response the method in its CSeq
	URI    string
	Status int
	Reason string
	CallID string
	CSeq   string // number and method
	Fields []Field
	Body   []byte
}

// Field is one header field as it came.
type Field struct{ Name, Value string }

// Fault tells what is wrong with a message, and the response that it deserves. Head is what could be read of the
// message; the response echoes it.
type Fault struct {
	Status int
	Text   string
	Head   *Message
}

func (f *Fault) Error() string { return fmt.Sprintf("sip: %s (%d)", f.Text, f.Status) }

// Get gives the first value of a header field.
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// User is the user part of the address in the first line.
func (m *Message) User() string {
	s, _ := strings.CutPrefix(m.URI, "sip:")
	user, _, _ := strings.Cut(s, "@")
	return user
}

// Framer cuts a byte stream into messages. After a Fault the stream cannot be followed any further.
type Framer struct {
	buf    []byte
	header int // where the header was looked for already
}

// Write adds bytes of the stream.
func (f *Framer) Write(b []byte) { f.buf = append(f.buf, b...) }

// Waiting is how many bytes of an unfinished message are held.
func (f *Framer) Waiting() int { return len(f.buf) }

// Next gives the next whole message, or nil where it has not come yet.
func (f *Framer) Next() (*Message, error) {
	for len(f.buf) >= 2 && f.buf[0] == '\r' && f.buf[1] == '\n' { // keep-alives between messages (RFC 5626)
		f.drop(2)
	}
	end := bytes.Index(f.buf[f.header:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(f.buf) > Most {
			return nil, &Fault{Status: 513, Text: fmt.Sprintf("a header of more than %d bytes", Most)}
		}
		f.header = max(0, len(f.buf)-3)
		return nil, nil
	}
	end += f.header
	f.header = end
	if end > Most {
		return nil, &Fault{Status: 513, Text: fmt.Sprintf("a header of %d bytes", end)}
	}
	m, length, fault := parseHead(f.buf[:end])
	if fault != nil {
		return nil, fault
	}
	if end+4+length > Most {
		return nil, &Fault{Status: 513, Text: fmt.Sprintf("a message of %d bytes", end+4+length), Head: m}
	}
	if len(f.buf) < end+4+length {
		return nil, nil
	}
	m.Body = bytes.Clone(f.buf[end+4 : end+4+length])
	f.drop(end + 4 + length)
	return m, nil
}

// drop forgets the first n bytes; a buffer that is empty again gives its memory back.
func (f *Framer) drop(n int) {
	f.header = 0
	if n == len(f.buf) {
		f.buf = nil
		return
	}
	f.buf = f.buf[n:]
}

// compact are the short names of header fields (RFC 3261 section 20) that matter here.
var compact = map[string]string{"i": "Call-ID", "l": "Content-Length", "v": "Via", "f": "From", "t": "To"}

// parseHead reads the first line and the header fields.
func parseHead(head []byte) (*Message, int, *Fault) {
	first, rest, _ := strings.Cut(string(head), "\r\n")
	m := &Message{}
	bad := func(status int, format string, a ...any) (*Message, int, *Fault) {
		return m, 0, &Fault{Status: status, Text: fmt.Sprintf(format, a...), Head: m}
	}
	length, lengths := 0, 0
	for line := ""; rest != ""; {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if name = strings.TrimRight(name, " \t"); !ok || name == "" || strings.ContainsAny(name, " \t\x00") {
			return bad(400, "a header line that is not one: %.40q", line)
		}
		if len(m.Fields) == mostFields {
			return bad(400, "more than %d header fields", mostFields)
		}
		value = strings.Trim(value, " \t")
		if long, ok := compact[strings.ToLower(name)]; ok {
			name = long
		}
		m.Fields = append(m.Fields, Field{name, value})
		switch {
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.Atoi(value)
			if err != nil || n < 0 || value[0] == '+' || lengths > 0 && n != length {
				return bad(400, "Content-Length is %.40q", value)
			}
			length, lengths = n, lengths+1
		case strings.EqualFold(name, "Call-ID"):
			if m.CallID != "" && m.CallID != value {
				return bad(400, "two Call-ID fields")
			}
			m.CallID = value
		case strings.EqualFold(name, "CSeq"):
			m.CSeq = value
		}
	}
	if text := m.firstLine(first); text != "" {
		return bad(400, "%s", text)
	}
	if lengths == 0 {
		return bad(400, "Content-Length is missing")
	}
	return m, length, nil
}

// firstLine reads the first line, and tells what is wrong with it or with the CSeq that must match it.
func (m *Message) firstLine(line string) string {
	number, method, _ := strings.Cut(m.CSeq, " ")
	method = strings.TrimLeft(method, " ")
	if _, err := strconv.ParseUint(number, 10, 32); err != nil || !token(method) {
		return fmt.Sprintf("CSeq is %.40q", m.CSeq)
	}
	m.Method = method
	if status, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, reason, _ := strings.Cut(status, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 || n > 699 {
			return fmt.Sprintf("a status of %.40q", code)
		}
		m.Status, m.Reason = n, reason
		return ""
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != "SIP/2.0" || !token(parts[0]) || parts[1] == "" {
		return fmt.Sprintf("a first line of %.40q", line)
	}
	if parts[0] != method {
		return fmt.Sprintf("%s with a CSeq of %.40q", parts[0], m.CSeq)
	}
	m.URI = parts[1]
	return ""
}

// token tells whether s is a method name.
func token(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return s != "" && len(s) <= 32
}
