package main

import (
	"net"
	"time"
)

// The plays in this file are no cases of the review: its report names them.
func init() {
	cases["successor"] = successor
	cases["forgotten"] = forgotten
	cases["late-claim"] = lateClaim
	cases["resent"] = resent
	cases["just-established"] = justEstablished
}

// successor replaces an office at its address: the old process ends and the new one listens at once. A call is set up there.
// Then the journal service tells of the end of the old office and, 0.7 s later, of the new office.
func successor(b *bench, trouble bool) verdict {
	const call uint64 = 0x5a03c07a5be2f301
	old := b.newOffice("s-00000001", 1, 60)
	other := b.newOffice("s-00000002", 2, 60)
	journal := b.newJournal(old.member, other.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	subscriber := b.newCaller("caller", server.listen)
	time.Sleep(time.Second)
	serving := old
	if trouble {
		serving = b.replaceOffice(old, "s-00000003")
	}
	replaced := time.Now()
	time.Sleep(200 * time.Millisecond)
	subscriber.write(invite(call, "status-check", 1, callerDescription))
	if subscriber.waitAnswer(call, 3*time.Second) != 200 || !serving.stands(call) {
		b.fail("the call does not stand")
	}
	time.Sleep(time.Until(replaced.Add(700 * time.Millisecond)))
	if trouble {
		gone := old.member
		gone.Phase = "DELETED"
		journal.tell(gone)
		time.Sleep(700 * time.Millisecond)
		journal.tell(serving.member)
	}
	return b.judgeStanding(call, serving, subscriber, 6*time.Second)
}

// judgeStanding watches a call for some time. The rule is broken if its caller is told that it is over while its office holds
// it and is not sent a release, or if it is over at its office and its caller is not told.
func (b *bench) judgeStanding(call uint64, at *remoteOffice, subscriber *caller, watch time.Duration) verdict {
	over := waitFor(watch, func() bool { return subscriber.gotBye(call) || !at.stands(call) })
	if !over {
		b.note("check", "the call stands at %s and for its caller", at.member.ID)
		return held
	}
	// Both sides have to learn of the end within 8 s, and 50 ms more on sockets.
	time.Sleep(8050 * time.Millisecond)
	b.note("check", "the caller was told that the call is over: %v; it stands at %s: %v", subscriber.gotBye(call), at.member.ID, at.stands(call))
	if subscriber.gotBye(call) == at.stands(call) {
		return broken
	}
	return held
}

// forgotten has an office forget a connection that has been idle for 10 s, on which a call was set up. Then its caller hangs up.
func forgotten(b *bench, trouble bool) verdict {
	const first, second uint64 = 0x5a05c07a5be2f301, 0x5a05c07a5be2f302
	one := b.newOffice("s-00000001", 1, 60)
	one.delay = 50 * time.Millisecond
	two := b.newOffice("s-00000002", 2, 60)
	journal := b.newJournal(one.member, two.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	subscriber := b.newCaller("caller", server.listen)
	time.Sleep(200 * time.Millisecond)
	subscriber.write(invite(first, "status-check", 1, callerDescription))
	time.Sleep(20 * time.Millisecond)
	subscriber.write(invite(second, "status-check", 1, callerDescription))
	if subscriber.waitAnswer(first, 2*time.Second) != 200 || subscriber.waitAnswer(second, 2*time.Second) != 200 {
		b.fail("the calls do not stand")
	}
	time.Sleep(10 * time.Second)
	if trouble {
		one.mu.Lock()
		link := one.standing[second]
		link.lost = true
		one.mu.Unlock()
		b.note(one.member.ID, "forgets the idle connection from %s", link.RemoteAddr())
	}
	subscriber.write(bye(second))
	gone := waitFor(20*time.Second, func() bool { return !one.stands(second) })
	b.note("check", "the call is over at its office: %v", gone)
	if !gone {
		return broken
	}
	return held
}

// lateClaim replaces an office while the call server restarts. Callers name their calls when it is back.
func lateClaim(b *bench, trouble bool) verdict {
	const call uint64 = 0x5a06c07a5be2f301
	old := b.newOffice("s-00000001", 1, 60)
	other := b.newOffice("s-00000002", 2, 60)
	journal := b.newJournal(old.member, other.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	subscriber := b.newCaller("caller", server.listen)
	subscriber.write(invite(call, "status-check", 1, callerDescription))
	if subscriber.waitAnswer(call, 2*time.Second) != 200 {
		b.fail("the call does not stand")
	}
	time.Sleep(time.Second)
	server.kill()
	ended := time.Now()
	list := []member{old.member, other.member}
	if trouble {
		list[0] = b.replaceOffice(old, "s-00000003").member
	}
	time.Sleep(2 * time.Second)
	journal = b.newJournal(list...)
	server = b.startCallServer(server.listen, journal.addr, journal.known())
	time.Sleep(1500 * time.Millisecond)
	back := b.newCaller("caller, back", server.listen)
	back.write("INVITE sip:005a06c07a5be2f3@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + idOf(call) + "\r\nCSeq: 1 INVITE\r\n" +
		"X-Cos: status-check\r\nX-Timer-Ms: 3000\r\nX-Legs: dest:1;width:1;via:-1;at:s-00000001\r\nContent-Length: 0\r\n\r\n")
	told := waitFor(time.Until(ended.Add(8050*time.Millisecond)), func() bool { return back.gotBye(call) })
	b.note("check", "the caller was told within 8 s: %v", told)
	if trouble != told {
		return broken
	}
	return held
}

// resent has a resting connection of callers reset in the network while a set-up crosses its end: the call server has read it.
// The caller sends the set-up once more, on a new connection. The office notes when it gets set-ups and releases of the call.
func resent(b *bench, trouble bool) verdict {
	const earlier, call uint64 = 0x5a07c07a5be2f301, 0x5a07c07a5be2f302
	one := b.newOffice("s-00000001", 1, 60)
	one.delay = 30 * time.Millisecond
	two := b.newOffice("s-00000002", 2, 60)
	journal := b.newJournal(one.member, two.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	resting := b.newCaller("caller, resting", server.listen)
	resting.write(invite(earlier, "status-check", 1, callerDescription))
	if resting.waitAnswer(earlier, 2*time.Second) != 200 {
		b.fail("the call does not stand")
	}
	time.Sleep(2 * time.Second)
	subscriber := resting
	subscriber.write(invite(call, "status-check", 1, callerDescription))
	if trouble {
		time.Sleep(10 * time.Millisecond)
		b.note("network", "resets the resting connection")
		_ = resting.Conn.(*net.TCPConn).SetLinger(0)
		resting.Close()
		subscriber = b.newCaller("caller, new", server.listen)
		subscriber.write(invite(call, "status-check", 1, callerDescription))
	}
	if subscriber.waitAnswer(call, 4*time.Second) == 0 {
		b.note("check", "the set-up has no answer")
		return broken
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	for i, at := range one.setUpTimes[call] {
		wait := at.Sub(one.released[call])
		b.note("check", "set-up %d came %v after the release of the call", i+1, wait)
		if !one.released[call].IsZero() && wait > 0 && wait < 150*time.Millisecond {
			return broken
		}
	}
	return held
}

// justEstablished kills the call server while its office is replaced at its address. The new process listens 1.75 s after the
// start of the call server. Callers name the calls that stood at the old one, and a new call is set up on the connection on
// which the office first reports its circuits.
func justEstablished(b *bench, trouble bool) verdict {
	const first, call uint64 = 0x5a08c07a5be2f000, 0x5a08c07a5be2f302
	old := b.newOffice("s-00000001", 1, 60)
	other := b.newOffice("s-00000002", 2, 60)
	journal := b.newJournal(old.member, other.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	subscriber := b.newCaller("caller", server.listen)
	for id := first; id < first+4; id++ {
		subscriber.write(invite(id, "status-check", 1, callerDescription))
		if subscriber.waitAnswer(id, 2*time.Second) != 200 {
			b.fail("a call does not stand")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	server.kill()
	serving := old
	if trouble {
		serving = b.replaceOffice(old, "s-00000003")
		old.listener.Close()
	}
	journal = b.newJournal(old.member, other.member) // the list is late
	started := time.Now()
	server = b.startCallServer(server.listen, journal.addr, journal.known())
	time.Sleep(time.Until(started.Add(1750 * time.Millisecond)))
	if trouble {
		listener, err := net.Listen("tcp", old.member.Addr)
		if err != nil {
			b.fail("listen: %v", err)
		}
		b.note(serving.member.ID, "listens at %s", old.member.Addr)
		old.listener = listener
		go old.accept()
	}
	back := b.newCaller("caller, back", server.listen)
	for id := first; id < first+4; id++ {
		back.write("INVITE sip:005a08c07a5be2f0@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + idOf(id) + "\r\nCSeq: 1 INVITE\r\n" +
			"X-Cos: status-check\r\nX-Timer-Ms: 3000\r\nX-Legs: dest:1;width:1;via:-1;at:s-00000001\r\nContent-Length: 0\r\n\r\n")
	}
	time.Sleep(50 * time.Millisecond)
	back.write(invite(call, "status-check", 1, callerDescription))
	if back.waitAnswer(call, 3*time.Second) != 200 {
		b.fail("the new call does not stand")
	}
	told := waitFor(2*time.Second, func() bool { return back.gotBye(call) })
	b.note("check", "the new call's caller was told that it is over: %v; it stands at %s: %v", told, serving.member.ID, serving.stands(call))
	if told {
		return broken
	}
	return held
}
