package main

import "time"

// The plays in this file are no cases of the review: its report names them.
func init() {
	cases["foreign-release"] = foreignRelease
	cases["forgotten"] = forgotten
	cases["late-claim"] = lateClaim
}

// foreignRelease has an unknown client ask with a class that does not exist and keep its connection, while a call stands whose
// callers have another connection open. Then the call ends at its office.
func foreignRelease(b *bench, trouble bool) verdict {
	const earlier, call, busy, foreign uint64 = 0x5a04c07a5be2f300, 0x5a04c07a5be2f301, 0x5a04c07a5be2f302, 0x5a04c07a5be2f3ff
	one := b.newOffice("s-00000001", 1, 60)
	one.refuse = func(id uint64) (byte, string) {
		if id == busy {
			return 17, "occupied"
		}
		return 0, ""
	}
	two := b.newOffice("s-00000002", 2, 60)
	journal := b.newJournal(one.member, two.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	first := b.newCaller("caller, first", server.listen)
	first.write(invite(earlier, "status-check", 1, callerDescription))
	first.write(invite(call, "status-check", 1, callerDescription))
	if first.waitAnswer(earlier, 2*time.Second) != 200 || first.waitAnswer(call, 2*time.Second) != 200 {
		b.fail("the calls do not stand")
	}
	one.endCall(earlier)
	if !waitFor(time.Second, func() bool { return first.gotBye(earlier) }) {
		b.fail("the first call is not released")
	}
	time.Sleep(4 * time.Second) // without a call on it for 4 s
	first.hangUp()
	time.Sleep(500 * time.Millisecond)
	second := b.newCaller("caller, second", server.listen)
	second.write(invite(busy, "status-check", 1, callerDescription))
	if status := second.waitAnswer(busy, 4*time.Second); status < 300 {
		b.fail("the second call is not refused: %d", status)
	}
	if trouble {
		client := b.newCaller("unknown client", server.listen)
		client.ignoreByes()
		client.write(invite(foreign, "no-such-class", 1, callerDescription))
		client.waitAnswer(foreign, time.Second)
		defer client.hangUp()
	}
	time.Sleep(500 * time.Millisecond)
	one.endCall(call)
	told := waitFor(1050*time.Millisecond, func() bool { return second.gotBye(call) })
	b.note("check", "the caller was released within 1 s: %v; its connection is open: %v", told, !second.hasEnded())
	if second.hasEnded() {
		b.fail("the caller's connection has ended")
	}
	if !told {
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
