package sip

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

const invite = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n" +
	"X-Cos: voice\r\nContent-Length: 5\r\n\r\nhello"

func TestMessagesInAnyPieces(t *testing.T) {
	stream := "\r\n\r\n" + invite + strings.Replace(invite, "INVITE\r\n", "INVITE\r\nv: SIP/2.0/TCP b\r\n", 1) +
		"SIP/2.0 200 OK\r\ni: 1\r\nCSeq: 2 BYE\r\nl: 0\r\n\r\n"
	for size := 1; size < len(stream); size++ {
		var f Framer
		var got []string
		for rest := stream; rest != ""; {
			n := min(size, len(rest))
			f.Write([]byte(rest[:n]))
			rest = rest[n:]
			for {
				m, err := f.Next()
				if err != nil {
					t.Fatal(err)
				}
				if m == nil {
					break
				}
				got = append(got, fmt.Sprint(m.Method, " ", m.Status, " ", m.CallID, " ", m.User(), " ", string(m.Body)))
			}
		}
		want := "INVITE 0 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 hello|INVITE 0 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 hello|BYE 200 1  "
		if strings.Join(got, "|") != want || f.Waiting() != 0 {
			t.Fatalf("pieces of %d: %q", size, got)
		}
	}
}

func TestFaultsNameTheResponse(t *testing.T) {
	for change, status := range map[string]int{
		"Content-Length: 5>Content-Length: -5":                            400,
		"Content-Length: 5>Content-Length: 5x":                            400,
		"Content-Length: 5>Content-Length: 99999999999999999999":          400,
		"Content-Length: 5>Content-Length: 60000000":                      513,
		"Content-Length: 5>Content-Length: 5\r\nContent-Length: 6":        400,
		"Content-Length: 5>X: 5":                                          400,
		"CSeq: 1 INVITE>CSeq: 1 BYE":                                      400,
		"CSeq: 1 INVITE>CSeq: x INVITE":                                   400,
		"SIP/2.0\r\nVia>SIP/3.0\r\nVia":                                   400,
		"X-Cos: voice>no colon":                                           400,
		"X-Cos: voice>" + strings.Repeat("A: b\r\n", mostFields) + "C: d": 400,
		"Call-ID: 9b1f03aa5c7e2d41>Call-ID: 1\r\nCall-ID: 2":              400,
		"INVITE sip:>INVITE  sip:":                                        400,
		"X-Cos: voice>X: " + strings.Repeat("z", Most):                    513,
	} {
		from, to, _ := strings.Cut(change, ">")
		text := strings.Replace(invite, from, to, 1)
		if text == invite {
			t.Fatalf("%q changes nothing", from)
		}
		var f Framer
		f.Write([]byte(text))
		m, err := f.Next()
		var fault *Fault
		if m != nil || !errors.As(err, &fault) || fault.Status != status {
			t.Errorf("%.60q: %v, %v", change, m, err)
		}
	}
}

func TestResponseRepeatsTheHead(t *testing.T) {
	var f Framer
	f.Write([]byte(invite))
	m, err := f.Next()
	if err != nil {
		t.Fatal(err)
	}
	got := string(Response(nil, HeadOf(m), 503, 2, nil))
	want := "SIP/2.0 503 Service Unavailable\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"
	if got != want {
		t.Fatalf("%q", got)
	}
	bye := Request(nil, "BYE", "sip:1@net", "a", 2, 41)
	f.Write(bye)
	if m, err = f.Next(); err != nil || m.Get("reason") != "Q.850;cause=41" || m.Method != "BYE" {
		t.Fatalf("%q: %v", bye, err)
	}
}

// Whatever comes, the framer neither panics nor holds more than a message, and what it gives can be written again.
func FuzzFramer(f *testing.F) {
	f.Add([]byte(invite), uint8(7))
	f.Add([]byte("SIP/2.0 200 OK\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n\r\n"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var fr Framer
		for len(stream) > 0 {
			n := min(int(size)+1, len(stream))
			fr.Write(stream[:n])
			stream = stream[n:]
			for {
				m, err := fr.Next()
				if err != nil {
					return
				}
				if m == nil {
					break
				}
				var again Framer
				again.Write(Response(nil, HeadOf(m), 200, 0, m.Body))
				if back, err := again.Next(); err != nil || string(back.Body) != string(m.Body) || back.CallID != m.CallID {
					t.Fatalf("a response to %+v: %+v, %v", m, back, err)
				}
			}
			if fr.Waiting() > Most+int(size)+1 {
				t.Fatalf("%d bytes are held", fr.Waiting())
			}
		}
	})
}

func BenchmarkInvite(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var f Framer
		f.Write([]byte(invite))
		m, err := f.Next()
		if err != nil {
			b.Fatal(err)
		}
		Response(nil, HeadOf(m), 200, 0, m.Body)
	}
}
