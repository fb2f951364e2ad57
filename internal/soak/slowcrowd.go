package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// slowCrowdSize is the number of clients of a slow crowd at one call server: more than it has descriptors for.
const slowCrowdSize = 300

// crowdRequest is what one client of a slow crowd sends.
type crowdRequest struct {
	text   string
	pieces int           // that it is written in
	pause  time.Duration // between two pieces
	times  int           // that it is written without a pause, with nothing read
}

// crowdRequests returns the kinds of clients of a slow crowd, by Fault.Variant.
func crowdRequests() []crowdRequest {
	const largeBody, shortFields = 15 << 10, 3900
	head := func(fields string, bodyLength int) string {
		return fmt.Sprintf("INVITE sip:1@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\n%sContent-Length: %d\r\n\r\n", uint64(fullSpeedIDs), fields, bodyLength)
	}
	large := head("", largeBody) + strings.Repeat("x", largeBody)
	many := head(strings.Repeat("a:\r\n", shortFields), 0)
	return []crowdRequest{
		{text: large, pieces: 400, pause: 5 * time.Millisecond},              // slow
		{text: large[:len(large)/2], pieces: 1},                              // half a body
		{text: many, pieces: 1},                                              // many short fields
		{text: many[:len(many)/2], pieces: 1},                                // half a head of them
		{text: head("b: "+strings.Repeat("y", 16<<10), 0), pieces: 8},        // one endless field
		{text: plainRequest("OPTIONS", "")(nil, 1), pieces: 1, times: 5_000}, // responses that are not read
	}
}

// slowCrowd has hundreds of clients connected at once that write slowly, stop half way or read nothing, and that connect again when their
// connections are closed. Fault.Variant is their kind; one above the last kind stands for all of them mixed.
func (f *fleet) slowCrowd(fault Fault) {
	end := time.Now().Add(time.Duration(fault.For))
	requests := crowdRequests()
	for _, n := range f.affectedNodes(fault) {
		for client := range slowCrowdSize {
			request := requests[client%len(requests)]
			if fault.Variant < len(requests) {
				request = requests[fault.Variant]
			}
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				for time.Now().Before(end) {
					n.writeSlowly(request, end)
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(time.Until(end))
}

// writeSlowly plays one connection of a client of a slow crowd, until it is closed.
func (n *node) writeSlowly(request crowdRequest, end time.Time) {
	conn, err := net.DialTimeout("tcp", n.listenAddr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	for range request.times {
		if _, err := io.WriteString(conn, request.text); err != nil {
			return
		}
	}
	if request.times > 0 {
		time.Sleep(min(time.Second, time.Until(end)))
		return
	}
	size := max(1, len(request.text)/request.pieces)
	for rest := request.text; rest != ""; {
		size = min(size, len(rest))
		if _, err := io.WriteString(conn, rest[:size]); err != nil {
			return
		}
		rest = rest[size:]
		time.Sleep(request.pause)
	}
	_, _ = io.Copy(io.Discard, conn)
}
