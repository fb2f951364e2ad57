package sip

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
)

const invite = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n" +
	"X-Cos: voice\r\nContent-Length: 5\r\n\r\nhello"

func TestMessagesInAnyPieces(t *testing.T) {
	stream := "\r\n\r\n" + invite + strings.Replace(invite, "INVITE\r\n", "INVITE\r\nv: SIP/2.0/TCP b\r\n", 1) +
		"SIP/2.0 200 OK\r\ni: 1\r\nCSeq: 2 BYE\r\nl: 0\r\n\r\n"
	for size := 1; size < len(stream); size++ {
		var framer Framer
		var got []string
		for remaining := stream; remaining != ""; {
			chunk := min(size, len(remaining))
			framer.Write([]byte(remaining[:chunk]))
			remaining = remaining[chunk:]
			for {
				msg, err := framer.Next()
				if err != nil {
					t.Fatal(err)
				}
				if msg == nil {
					break
				}
				got = append(got, fmt.Sprint(msg.Method, " ", msg.Status, " ", msg.CallID, " ", msg.User(), " ", string(msg.Body)))
			}
		}
		want := "INVITE 0 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 hello|INVITE 0 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 hello|BYE 200 1  "
		if strings.Join(got, "|") != want || framer.Buffered() != 0 {
			t.Fatalf("chunks of %d bytes: %q", size, got)
		}
	}
}

func TestFaultStatus(t *testing.T) {
	for change, status := range map[string]int{
		"Content-Length: 5>Content-Length: -5":                                 400,
		"Content-Length: 5>Content-Length: 5x":                                 400,
		"Content-Length: 5>Content-Length: 99999999999999999999":               400,
		"Content-Length: 5>Content-Length: 60000000":                           513,
		"Content-Length: 5>Content-Length: 5\r\nContent-Length: 6":             400,
		"Content-Length: 5>X: 5":                                               400,
		"CSeq: 1 INVITE>CSeq: 1 BYE":                                           400,
		"CSeq: 1 INVITE>CSeq: x INVITE":                                        400,
		"SIP/2.0\r\nVia>SIP/3.0\r\nVia":                                        400,
		"X-Cos: voice>no colon":                                                400,
		"X-Cos: voice>" + strings.Repeat("A: b\r\n", maxHeaderFields) + "C: d": 400,
		"Call-ID: 9b1f03aa5c7e2d41>Call-ID: 1\r\nCall-ID: 2":                   400,
		"INVITE sip:>INVITE  sip:":                                             400,
		"X-Cos: voice>X: " + strings.Repeat("z", MaxMessageBytes):              513,
	} {
		from, to, _ := strings.Cut(change, ">")
		text := strings.Replace(invite, from, to, 1)
		if text == invite {
			t.Fatalf("%q does not occur in the message", from)
		}
		var framer Framer
		framer.Write([]byte(text))
		msg, err := framer.Next()
		var fault *Fault
		if msg != nil || !errors.As(err, &fault) || fault.Status != status {
			t.Errorf("%.60q: %v, %v", change, msg, err)
		}
	}
}

// Guards against a message that ends the process: the sum of the header's and the body's length overflowed for the largest lengths.
func TestContentLengthAtItsBounds(t *testing.T) {
	headerBytes := len(invite) - len("hello")
	largestBody := MaxMessageBytes - headerBytes - len("16000") + len("5")
	const complete, incomplete = 0, -1
	for _, testCase := range []struct {
		length string
		want   int // status of the Fault, or complete or incomplete
	}{
		{"0", complete},
		{"5", complete},
		{"6", incomplete},
		{strconv.Itoa(largestBody), incomplete},
		{strconv.Itoa(largestBody + 1), 513},
		{strconv.Itoa(MaxMessageBytes), 513},
		{strconv.Itoa(math.MaxInt32), 513},
		{strconv.FormatInt(math.MaxInt32+1, 10), 513},
		{strconv.FormatInt(math.MaxUint32, 10), 513},
		{strconv.Itoa(math.MaxInt - MaxMessageBytes), 513},
		{strconv.Itoa(math.MaxInt - headerBytes), 513},
		{strconv.Itoa(math.MaxInt - 1), 513},
		{strconv.Itoa(math.MaxInt), 513},
		{strconv.FormatUint(math.MaxInt64+1, 10), 400},
		{strconv.FormatUint(math.MaxUint64, 10), 400},
		{"-0", 400}, {"-1", 400}, {strconv.Itoa(math.MinInt), 400}, {"+5", 400}, {"0x5", 400}, {"5_0", 400}, {"5.0", 400}, {"", 400},
	} {
		for _, chunk := range []int{1, headerBytes, MaxMessageBytes} {
			text := strings.Replace(invite, "Content-Length: 5", "Content-Length: "+testCase.length, 1)
			var framer Framer
			var msg *Message
			var err error
			for remaining := text; remaining != "" && msg == nil && err == nil; {
				size := min(chunk, len(remaining))
				framer.Write([]byte(remaining[:size]))
				remaining = remaining[size:]
				msg, err = framer.Next()
			}
			got := incomplete
			var fault *Fault
			if errors.As(err, &fault) {
				got = fault.Status
			} else if msg != nil {
				got = complete
			}
			if got != testCase.want {
				t.Errorf("Content-Length %q in chunks of %d: %d, not %d (%v, %v)", testCase.length, chunk, got, testCase.want, msg, err)
			}
		}
	}
}

// A response repeats the header fields of its request, and a request that was written can be parsed.
func TestResponseAndRequest(t *testing.T) {
	var framer Framer
	framer.Write([]byte(invite))
	msg, err := framer.Next()
	if err != nil {
		t.Fatal(err)
	}
	got := string(Response(nil, HeadOf(msg), 503, 2, nil))
	want := "SIP/2.0 503 Service Unavailable\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
	if got != want {
		t.Fatalf("%q", got)
	}
	bye := Request(nil, "BYE", "sip:1@net", "a", 2, 41)
	framer.Write(bye)
	if msg, err = framer.Next(); err != nil || msg.Get("reason") != "Q.850;cause=41" || msg.Method != "BYE" {
		t.Fatalf("%q: %v", bye, err)
	}
}

// FuzzFramer checks that on any input the framer neither panics nor buffers more than one message, and that the header
// fields of each message it returns can be repeated in a response.
func FuzzFramer(f *testing.F) {
	f.Add([]byte(invite), uint8(7))
	f.Add([]byte("SIP/2.0 200 OK\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n\r\n"), uint8(1))
	for _, length := range []int{0, MaxMessageBytes, MaxMessageBytes + 1, math.MaxInt32, math.MaxInt, -1} {
		f.Add([]byte(strings.Replace(invite, "Content-Length: 5", "Content-Length: "+strconv.Itoa(length), 1)), uint8(255))
	}
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var framer Framer
		for len(stream) > 0 {
			chunk := min(int(size)+1, len(stream))
			framer.Write(stream[:chunk])
			stream = stream[chunk:]
			for {
				msg, err := framer.Next()
				if err != nil {
					return
				}
				if msg == nil {
					break
				}
				var reread Framer
				reread.Write(Response(nil, HeadOf(msg), 200, 0, msg.Body))
				if response, err := reread.Next(); err != nil || string(response.Body) != string(msg.Body) || response.CallID != msg.CallID {
					t.Fatalf("response to %+v: %+v, %v", msg, response, err)
				}
			}
			if framer.Buffered() > MaxMessageBytes+int(size)+1 {
				t.Fatalf("%d bytes are buffered", framer.Buffered())
			}
		}
	})
}

func BenchmarkInvite(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var framer Framer
		framer.Write([]byte(invite))
		msg, err := framer.Next()
		if err != nil {
			b.Fatal(err)
		}
		Response(nil, HeadOf(msg), 200, 0, msg.Body)
	}
}
