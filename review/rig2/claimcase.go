package main

import (
	"errors"
	"fmt"
	"time"

	"finchlatch/feed"
)

func init() { cases["claim"] = claimedBeforeListed }

// claimedBeforeListed plays a call that stands at the successor of a replaced office. The call server is killed and starts again
// while the list is still late, and the caller names the call with the ID of the successor. The list names the successor
// soon after, and then the successor ends the call.
func claimedBeforeListed(r *rig) (string, error) {
	addr := r.freeAddr()
	first, err := r.newOffice("s-first", addr)
	if err != nil {
		return "", err
	}
	other, err := r.newOffice("s-other", r.freeAddr())
	if err != nil {
		return "", err
	}
	j, err := r.newJournal(member("s-own", r.freeAddr(), 0, feed.Serving, 0), member(first.id, addr, 1, feed.Serving, 0),
		member(other.id, other.addr, 2, feed.Serving, 0))
	if err != nil {
		return "", err
	}
	listen := r.freeAddr()
	server, err := r.startServer(listen, j, "safe")
	if err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	serving := first
	var replacedAt time.Time
	if r.trouble {
		first.die()
		replacedAt = time.Now()
		time.Sleep(100 * time.Millisecond)
		if serving, err = r.newOffice("s-second", addr); err != nil {
			return "", err
		}
		time.Sleep(400 * time.Millisecond)
	}
	const call = 0x52a1000000000001
	callers, err := r.dial("a", listen)
	if err != nil {
		return "", err
	}
	callers.invite(call, directLegs)
	if !waitFor(time.Second, func() bool { return r.clients.answered(call, 200) }) {
		return "", errors.New("the call was not set up")
	}
	if !serving.stands(call) {
		return "", errors.New("the call stands at another office")
	}
	if r.trouble {
		r.kill(server)
		<-callers.ended
		if _, err = r.startServer(listen, j, "safe"); err != nil {
			return "", err
		}
		if callers, err = r.dial("b", listen); err != nil {
			return "", err
		}
		callers.invite(call, directLegs+";at:"+serving.id)
		time.Sleep(time.Until(replacedAt.Add(1500 * time.Millisecond)))
		j.publish(member(first.id, addr, 1, feed.Deleted, 0), member(serving.id, addr, 1, feed.Serving, replacedAt.Add(100*time.Millisecond).UnixMilli()))
	}
	time.Sleep(1500 * time.Millisecond)
	if len(r.clients.of(call).byes) > 0 {
		return "", errors.New("the call server has ended the call before its office did")
	}
	releasedAt := time.Now()
	if !serving.endCall(call) {
		return "", errors.New("the office could not send its release")
	}
	time.Sleep(time.Until(releasedAt.Add(14 * time.Second)))
	byes := r.clients.of(call).byes
	switch {
	case len(byes) == 0:
		return fmt.Sprintf("call %016x: %s released it, and within 14 s its caller was not told", uint64(call), serving.id), nil
	case byes[0].Sub(releasedAt) > releaseLimit:
		return fmt.Sprintf("call %016x: %s released it, and its caller was told %v later", uint64(call), serving.id, byes[0].Sub(releasedAt)), nil
	}
	return "", nil
}

// releaseLimit is the time in which the release of an office must reach the caller, with the slack of the page.
const releaseLimit = time.Second + 50*time.Millisecond
