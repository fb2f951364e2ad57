package main

import (
	"errors"
	"fmt"
	"time"

	"finchlatch/feed"
)

func init() { cases["restarted"] = claimedAtRestarted }

// claimedAtRestarted plays a call server that is killed and starts again, and an office that restarts in place 1 s later, which the
// list reports. The caller of a call that stood there before names it 5 s after the start of the call server.
func claimedAtRestarted(r *rig) (string, error) {
	first, err := r.newOffice("s-first", r.freeAddr())
	if err != nil {
		return "", err
	}
	other, err := r.newOffice("s-other", r.freeAddr())
	if err != nil {
		return "", err
	}
	j, err := r.newJournal(member("s-own", r.freeAddr(), 0, feed.Serving, 0), member(first.id, first.addr, 1, feed.Serving, 0),
		member(other.id, other.addr, 2, feed.Serving, 0))
	if err != nil {
		return "", err
	}
	listen := r.freeAddr()
	server, err := r.startServer(listen, j, "safe")
	if err != nil {
		return "", err
	}
	time.Sleep(500 * time.Millisecond)
	callers, err := r.dial("a", listen)
	if err != nil {
		return "", err
	}
	const call = 0x52f1000000000001
	callers.invite(call, directLegs)
	if !waitFor(time.Second, func() bool { return r.clients.answered(call, 200) }) {
		return "", errors.New("the call was not set up")
	}
	time.Sleep(time.Second)
	if !r.trouble {
		endedAt := time.Now()
		if !first.endCall(call) {
			return "", errors.New("the office could not send its release")
		}
		time.Sleep(9 * time.Second)
		return r.judgeNotice(call, endedAt), nil
	}
	r.kill(server)
	<-callers.ended
	if _, err = r.startServer(listen, j, "safe"); err != nil {
		return "", err
	}
	startedAt := time.Now()
	time.Sleep(time.Second)
	first.die()
	endedAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	first.setFarEndCalls(2)
	upSince := time.Now()
	if err := first.listen(); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	j.publish(member(first.id, first.addr, 1, feed.Serving, upSince.UnixMilli()))
	time.Sleep(time.Until(startedAt.Add(5 * time.Second)))
	if callers, err = r.dial("b", listen); err != nil {
		return "", err
	}
	callers.invite(call, directLegs+";at:"+first.id)
	time.Sleep(12 * time.Second)
	return r.judgeNotice(call, endedAt), nil
}

// endLimit is the time in which the end of a call must reach its caller where no release could be sent, with the slack of the page.
const endLimit = 8*time.Second + 50*time.Millisecond

// judgeNotice returns what broke the rule about a call that ended without a release, or "".
func (r *rig) judgeNotice(call uint64, endedAt time.Time) string {
	byes := r.clients.of(call).byes
	switch {
	case len(byes) == 0:
		return fmt.Sprintf("call %016x: its caller was not told of its end within %.1f s", call, time.Since(endedAt).Seconds())
	case byes[0].Sub(endedAt) > endLimit:
		return fmt.Sprintf("call %016x: its caller was told of its end %.3f s later", call, byes[0].Sub(endedAt).Seconds())
	}
	return ""
}
