package main

import (
	"errors"
	"fmt"
	"time"

	"finchlatch/feed"
)

func init() { cases["refused"] = refusedWhileStanding }

// refusedWhileStanding plays an office that resets its idle connections and then, for a second, has all the connections that it takes:
// it refuses new ones. Its process and its calls go on.
func refusedWhileStanding(r *rig) (string, error) {
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
	const call = 0x52d1000000000001
	callers.invite(call, directLegs)
	if !waitFor(time.Second, func() bool { return r.clients.answered(call, 200) }) {
		return "", errors.New("the call was not set up")
	}
	time.Sleep(time.Second)
	if r.trouble {
		first.stopListening()
		first.resetConns()
		time.Sleep(time.Second)
		if err := first.listen(); err != nil {
			return "", err
		}
	}
	time.Sleep(15 * time.Second)
	stands := first.stands(call)
	if byes := r.clients.of(call).byes; len(byes) > 0 && stands {
		return fmt.Sprintf("call %016x: its caller was told that it is over, and it stands at its office, which was sent no release", uint64(call)), nil
	}
	return "", nil
}
