package platform

import (
	"fmt"
	"testing"
	"time"

	"finchlatch/internal/rulecheck"
)

// inviteFormat is an INVITE with the id of the call and the value of X-Legs.
const inviteFormat = "INVITE sip:1@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nX-Cos: voice\r\n" +
	"X-Timer-Ms: 1000\r\nX-Legs: %s\r\nContent-Length: 0\r\n\r\n"

// answerFormat is the final answer to an INVITE, with the id of the call.
const answerFormat = "SIP/2.0 200 OK\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n"

// A call server can report the end of a call only while it knows of a caller's connection: one on which it has answered, or on
// which a caller named established calls. The checker must judge by the order of the messages on the sockets.
func TestNoticeIsRequiredWhileACallerIsKnown(t *testing.T) {
	for name, tt := range map[string]struct {
		steps         func(tap *CallerTap)
		wantViolation bool
	}{
		"the connection stays": {func(tap *CallerTap) {}, true},
		"it closes":            {func(tap *CallerTap) { tap.Closed(1, false) }, false},
		"it closes, and another opens without a set-up": {func(tap *CallerTap) { tap.Closed(1, false); tap.Opened(2) }, false},
		"another one closes after a set-up without an answer": {func(tap *CallerTap) {
			tap.Opened(2)
			tap.Closed(1, false)
			tap.ToCallServer(2, fmt.Appendf(nil, inviteFormat, 8, "dest:1"))
			tap.Closed(2, false)
		}, false},
		"another one is answered": {func(tap *CallerTap) {
			tap.Opened(2)
			tap.ToCallServer(2, fmt.Appendf(nil, inviteFormat, 8, "dest:1"))
			tap.Closed(1, false)
			tap.FromCallServer(2, fmt.Appendf(nil, answerFormat, 8))
		}, true},
		"established calls are named on another one": {func(tap *CallerTap) {
			tap.Closed(1, false)
			tap.Opened(2)
			tap.ToCallServer(2, fmt.Appendf(nil, inviteFormat, 9, "dest:1;at:o"))
		}, true},
	} {
		checker := rulecheck.NewPlatformChecker(0, 0, 0)
		env := NewEnvironment(checker)
		tap := env.NewCallerTap("n")
		tap.Opened(1)
		tap.ToCallServer(1, fmt.Appendf(nil, inviteFormat, 7, "dest:1"))
		env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
			checker.SetUp(at, "o", 7)
			checker.AttemptEnded(at, "o", 7, false)
			checker.Answered("o", 7)
		})
		tap.FromCallServer(1, fmt.Appendf(nil, answerFormat, 7))
		tt.steps(tap)
		env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
			checker.CallEnded(at, "o", 7, rulecheck.NoticeAfterRelease)
		})
		violated := false
		for _, violation := range checker.Violations(time.Hour) {
			violated = violated || len(violation) > 0
		}
		if violated != tt.wantViolation {
			t.Errorf("%s: %q", name, checker.Violations(time.Hour))
		}
		env.Close()
	}
}
