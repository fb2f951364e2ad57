package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// callerDescription is the session description that callers send.
const callerDescription = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"

// caller is one connection from callers, or from an unknown client.
type caller struct {
	net.Conn
	b       *bench
	name    string
	mu      sync.Mutex
	answers map[string][]int // final answers to INVITE, by Call-ID
	byes    map[string]time.Time
	ended   bool   // the connection has ended
	refused func() // called at the next final answer; may be nil
	silent  bool   // it answers no BYE
}

// newCaller opens a connection to the call server.
func (b *bench) newCaller(name, addr string) *caller {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		b.fail("%s: %v", name, err)
	}
	return b.serveCaller(name, conn)
}

// serveCaller reads what the call server sends on a new connection until that ends.
func (b *bench) serveCaller(name string, conn net.Conn) *caller {
	c := &caller{Conn: conn, b: b, name: name, answers: map[string][]int{}, byes: map[string]time.Time{}}
	b.note(name, "opens a connection")
	go c.read()
	return c
}

func (c *caller) write(text string) {
	c.b.note(c.name, "sends %s", text)
	_, _ = io.WriteString(c.Conn, text)
}

// hangUp closes the connection.
func (c *caller) hangUp() {
	c.b.note(c.name, "closes its connection")
	c.Close()
}

// read handles what the call server sends until the connection ends. A final answer gets an ACK, and a BYE a 200.
func (c *caller) read() {
	defer func() {
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
		c.b.note(c.name, "its connection has ended")
	}()
	reader := bufio.NewReader(c.Conn)
	for {
		first, fields, body, err := readMessage(reader)
		if err != nil {
			return
		}
		id, cseq := fields["call-id"], fields["cseq"]
		c.b.note(c.name, "gets %s, Call-ID %s, CSeq %s %s%s", first, id, cseq, fields["reason"], body)
		switch {
		case strings.HasPrefix(first, "BYE "):
			c.mu.Lock()
			c.byes[id] = time.Now()
			c.mu.Unlock()
			c.mu.Lock()
			silent := c.silent
			c.mu.Unlock()
			if silent {
				continue
			}
			c.write(fmt.Sprintf("SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: %s\r\nContent-Length: 0\r\n\r\n", id, cseq))
		case strings.HasPrefix(first, "SIP/2.0 ") && strings.HasSuffix(cseq, "INVITE"):
			status, _ := strconv.Atoi(strings.Fields(first)[1])
			if status < 200 {
				continue
			}
			c.mu.Lock()
			c.answers[id] = append(c.answers[id], status)
			c.mu.Unlock()
			c.write(fmt.Sprintf("ACK sip:x@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", id))
			c.mu.Lock()
			refused := c.refused
			c.refused = nil
			c.mu.Unlock()
			if status >= 300 && refused != nil {
				refused()
			}
		}
	}
}

// readMessage reads one SIP message. The names of the fields are in lower case.
func readMessage(reader *bufio.Reader) (first string, fields map[string]string, body string, err error) {
	if first, err = reader.ReadString('\n'); err != nil {
		return "", nil, "", err
	}
	fields = map[string]string{}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "", nil, "", err
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		fields[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	length, err := strconv.Atoi(fields["content-length"])
	if err != nil || length < 0 || length > 1<<14 {
		return "", nil, "", fmt.Errorf("bad Content-Length %q", fields["content-length"])
	}
	content := make([]byte, length)
	if _, err = io.ReadFull(reader, content); err != nil {
		return "", nil, "", err
	}
	return strings.TrimRight(first, "\r\n"), fields, string(content), nil
}

// answersTo returns the final answers to a set-up.
func (c *caller) answersTo(call uint64) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[idOf(call)]
}

// gotBye reports whether a BYE for a call has come.
func (c *caller) gotBye(call uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.byes[idOf(call)].IsZero()
}

// hasEnded reports whether the connection has ended.
func (c *caller) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// waitAnswer waits for a final answer to a set-up and returns its status, or 0.
func (c *caller) waitAnswer(call uint64, within time.Duration) int {
	waitFor(within, func() bool { return len(c.answersTo(call)) > 0 })
	if answers := c.answersTo(call); len(answers) > 0 {
		return answers[0]
	}
	return 0
}

// idOf returns the id of a call as text.
func idOf(call uint64) string { return fmt.Sprintf("%016x", call) }

// invite returns a set-up to an exchange.
func invite(call uint64, class string, dest int, description string) string {
	return fmt.Sprintf("INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nX-Cos: %s\r\n"+
		"X-Timer-Ms: 3000\r\nX-Legs: dest:%d;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s",
		call>>8, idOf(call), class, dest, len(description), description)
}

// bye returns the release of a call that stands.
func bye(call uint64) string {
	return fmt.Sprintf("BYE sip:x@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", idOf(call))
}

// onRefusal has f called at the first refusal of a set-up.
func (c *caller) onRefusal(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = f
}

// ignoreByes has the client answer no BYE.
func (c *caller) ignoreByes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}
