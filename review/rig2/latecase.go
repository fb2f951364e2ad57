package main

import (
	"errors"
	"fmt"
	"time"

	"finchlatch/feed"
	"finchlatch/internal/platform"
	"finchlatch/internal/rulecheck"
)

func init() { cases["late"] = claimedAfterFailure }

// vanish cuts the calls of an office whose machine has vanished: no sign of it goes out.
func (o *exchangeOffice) vanish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for call := range o.standing {
		o.rig.logf("office %s: call %016x has ended with the machine, and no release is sent", o.id, call)
	}
	o.standing = map[uint64]*officeConn{}
}

// noticeAfter is when the list reports the vanished office as gone: silent_notice_s of vn-refund-net is 7 to 13 s.
const noticeAfter = 12 * time.Second

// claimedAfterFailure plays a machine of an office that vanishes, and right after that the call server is killed and starts again.
// The caller of one call names it at once, that of another one 4 s later.
func claimedAfterFailure(r *rig) (string, error) {
	first, err := r.newOffice("s-first", r.freeAddr())
	if err != nil {
		return "", err
	}
	other, err := r.newOffice("s-other", r.freeAddr())
	if err != nil {
		return "", err
	}
	env := platform.NewEnvironment(rulecheck.NewPlatformChecker(200*time.Millisecond, time.Second, 50*time.Millisecond))
	defer env.Close()
	network, err := env.NewProxy(first.addr, false, nil)
	if err != nil {
		return "", err
	}
	j, err := r.newJournal(member("s-own", r.freeAddr(), 0, feed.Serving, 0), member(first.id, network.Addr, 1, feed.Serving, 0),
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
	const early, late = 0x52e1000000000001, 0x52e1000000000002
	for _, call := range []uint64{early, late} {
		callers.invite(call, directLegs)
		if !waitFor(time.Second, func() bool { return r.clients.answered(call, 200) }) {
			return "", errors.New("a call was not set up")
		}
	}
	time.Sleep(time.Second)
	if !r.trouble {
		endedAt := time.Now()
		if !first.endCall(early) || !first.endCall(late) {
			return "", errors.New("the office could not send its releases")
		}
		time.Sleep(9 * time.Second)
		return r.judgeNotice(late, endedAt), nil
	}
	r.logf("the machine of office %s vanishes", first.id)
	first.vanish()
	endedAt := time.Now()
	network.SetPartition(platform.Partition{Outbound: true, Inbound: true, NewConnections: true})
	time.Sleep(300 * time.Millisecond)
	r.kill(server)
	<-callers.ended
	if _, err = r.startServer(listen, j, "safe"); err != nil {
		return "", err
	}
	startedAt := time.Now()
	if callers, err = r.dial("b", listen); err != nil {
		return "", err
	}
	callers.invite(early, directLegs+";at:"+first.id)
	time.Sleep(time.Until(startedAt.Add(4 * time.Second)))
	if callers, err = r.dial("c", listen); err != nil {
		return "", err
	}
	callers.invite(late, directLegs+";at:"+first.id)
	time.Sleep(time.Until(endedAt.Add(noticeAfter)))
	j.publish(member(first.id, network.Addr, 1, feed.Deleted, 0))
	time.Sleep(3 * time.Second)
	if len(r.clients.of(early).byes) == 0 {
		return fmt.Sprintf("call %016x: it ended with the machine of its office, and its caller was not told", uint64(early)), nil
	}
	return r.judgeNotice(late, endedAt), nil
}
