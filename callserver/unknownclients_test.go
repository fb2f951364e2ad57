package callserver

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// Guards against a message of an unknown client that ends the process: lengths near the largest integer passed the check of the
// message size. The client is refused, and the calls of others go on.
func TestHugeContentLengthEndsItsConnectionOnly(t *testing.T) {
	for _, method := range []string{"INVITE", "OPTIONS", "BYE"} {
		for _, length := range []int{math.MaxInt, math.MaxInt - 100, math.MaxInt32, 60_000_000} {
			h := newHarness(t, nil)
			h.connect("10.0.0.1:5080")
			caller, unknownClient := h.acceptCaller(), h.acceptCaller()
			h.callerSends(caller, invite(7, "dest:1;width:1"))
			conn, _ := h.takeSetUp(7)
			h.callerSends(unknownClient, strings.Replace(request(method, 9), "Content-Length: 0", fmt.Sprint("Content-Length: ", length), 1))
			requireMessages(t, "response to the unknown client", h.takeCallerMessages(unknownClient), "513")
			if _, closed := h.closed[unknownClient]; !closed {
				t.Errorf("%s, length %d: the connection stays open", method, length)
			}
			h.officeSends(conn, answerMsg(7))
			requireMessages(t, "answer to the caller", h.takeCallerMessages(caller), "200")
		}
	}
}
