package main

import (
	"errors"
	"fmt"
	"time"

	"finchlatch/feed"
)

func init() { cases["closed"] = releasedAtReport }

// releasedAtReport plays an office that is replaced at its address. The list names the new office first and reports the old one as gone
// later. Just then the new office ends a call: its release is on the way, on a link that takes 20 ms, when the report comes.
func releasedAtReport(r *rig) (string, error) {
	addr := r.freeAddr()
	first, err := r.newOffice("s-first", addr)
	if err != nil {
		return "", err
	}
	link, err := r.delayed(addr, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	j, err := r.newJournal(member("s-own", r.freeAddr(), 0, feed.Serving, 0), member(first.id, link, 1, feed.Serving, 0))
	if err != nil {
		return "", err
	}
	listen := r.freeAddr()
	if _, err = r.startServer(listen, j, "safe"); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	serving := first
	var replacedAt time.Time
	if r.trouble {
		first.die()
		replacedAt = time.Now()
		if serving, err = r.newOffice("s-second", addr); err != nil {
			return "", err
		}
		time.Sleep(500 * time.Millisecond)
	}
	callers, err := r.dial("a", listen)
	if err != nil {
		return "", err
	}
	const call = 0x52a7000000000001
	callers.invite(call, directLegs)
	if !waitFor(time.Second, func() bool { return r.clients.answered(call, 200) }) {
		return "", errors.New("the call was not set up")
	}
	if r.trouble {
		time.Sleep(time.Until(replacedAt.Add(time.Second)))
		j.publish(member(serving.id, link, 1, feed.Serving, replacedAt.UnixMilli()))
	}
	time.Sleep(1500 * time.Millisecond)
	releasedAt := time.Now()
	if !serving.endCall(call) {
		return "", errors.New("the office could not send its release")
	}
	if r.trouble {
		time.Sleep(5 * time.Millisecond)
		j.publish(member(first.id, link, 1, feed.Deleted, 0))
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
