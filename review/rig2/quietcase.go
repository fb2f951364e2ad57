package main

import (
	"errors"
	"fmt"
	"time"

	"finchlatch/feed"
)

func init() { cases["quiet"] = quietCallers }

// quietCallers plays callers who close a connection that has had no call on it for 4 s, at a quiet hour. An office then ends one
// of their calls, and 0.3 s later the callers open a connection and end other calls on it, one after the other.
func quietCallers(r *rig) (string, error) {
	first, err := r.newOffice("s-first", r.freeAddr())
	if err != nil {
		return "", err
	}
	j, err := r.newJournal(member("s-own", r.freeAddr(), 0, feed.Serving, 0), member(first.id, first.addr, 1, feed.Serving, 0))
	if err != nil {
		return "", err
	}
	listen := r.freeAddr()
	if _, err = r.startServer(listen, j, "safe"); err != nil {
		return "", err
	}
	time.Sleep(500 * time.Millisecond)
	callers, err := r.dial("a", listen)
	if err != nil {
		return "", err
	}
	const ended = 0x52b1000000000001
	calls := []uint64{ended, ended + 1, ended + 2, ended + 3, ended + 4}
	for _, call := range calls {
		callers.invite(call, directLegs)
		if !waitFor(time.Second, func() bool { return r.clients.answered(call, 200) }) {
			return "", errors.New("a call was not set up")
		}
	}
	if r.trouble {
		time.Sleep(4 * time.Second)
		r.logf("callers: connection %s has had no call on it for 4 s and is closed", callers.name)
		callers.Close()
		<-callers.ended
		time.Sleep(2 * time.Second)
	}
	releasedAt := time.Now()
	if !first.endCall(ended) {
		return "", errors.New("the office could not send its release")
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		if callers, err = r.dial("b", listen); err != nil {
			return "", err
		}
	}
	for i, call := range calls[1:] {
		callers.bye(call)
		if !waitFor(time.Second, func() bool { return !first.stands(call) }) {
			return "", fmt.Errorf("the BYE of call %d was not passed on", i+1)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	byes := r.clients.of(ended).byes
	switch {
	case len(byes) == 0:
		return fmt.Sprintf("call %016x: its office released it, and its caller was not told within %.1f s, though a connection from callers was open from 0.3 s on",
			uint64(ended), time.Since(releasedAt).Seconds()), nil
	case byes[0].Sub(releasedAt) > releaseLimit:
		return fmt.Sprintf("call %016x: its office released it, and its caller was told %v later", uint64(ended), byes[0].Sub(releasedAt)), nil
	}
	return "", nil
}
