package main

import (
	"net"
	"time"
)

func init() {
	cases["huge-length"] = hugeLength
	cases["same-id"] = sameID
	cases["foreign-release"] = foreignRelease
}

// hugeLength has an unknown client send one message with a huge Content-Length while a caller's set-up is open.
func hugeLength(b *bench, trouble bool) verdict {
	const standing, open uint64 = 0x5a01c07a5be2f301, 0x5a01c07a5be2f302
	one := b.newOffice("s-00000001", 1, 60)
	two := b.newOffice("s-00000002", 2, 60)
	two.delay = 800 * time.Millisecond
	journal := b.newJournal(one.member, two.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	subscriber := b.newCaller("caller", server.listen)
	subscriber.write(invite(standing, "status-check", 1, callerDescription))
	if subscriber.waitAnswer(standing, 2*time.Second) != 200 {
		b.fail("the first call does not stand")
	}
	subscriber.write(invite(open, "status-check", 2, callerDescription))
	if !two.waitSetUp(open, time.Second) {
		b.fail("the second set-up has not reached its office")
	}
	if trouble {
		client := b.newCaller("unknown client", server.listen)
		client.write("INVITE sip:5a01c07a5be2f3@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 5a01c07a5be2f3ff\r\nCSeq: 1 INVITE\r\n" +
			"X-Cos: status-check\r\nX-Timer-Ms: 1500\r\nContent-Length: 9223372036854775807\r\n\r\n")
	}
	status := subscriber.waitAnswer(open, 4*time.Second)
	b.note("check", "answer to the caller's open set-up: %d; the call server runs: %v", status, server.running())
	if status == 0 || !server.running() {
		return broken
	}
	return held
}

// sameID has an unknown client send the id of its open set-up with a different description, and the same thing again as soon
// as it is turned away. Its office is 23 ms away and has refused the first set-up by then; the refusal is on its way. One
// circuit toward the office is free, so that the last set-up waits for one. The client does so once a second, with another id
// each time, until the call server has ended, sameIDRounds times at most.
func sameID(b *bench, trouble bool) verdict {
	const standing, last uint64 = 0x5a02c07a5be2f301, 0x5a02c07a5be2f302
	one := b.newOffice("s-00000001", 1, 30)
	one.distance, one.delay, one.occupied = 23*time.Millisecond, 2*time.Millisecond, 28
	one.refuse = func(call uint64) (byte, string) {
		if call != standing && call != last {
			return 17, "occupied"
		}
		return 0, ""
	}
	two := b.newOffice("s-00000002", 2, 30)
	two.distance, two.occupied = 23*time.Millisecond, 30
	journal := b.newJournal(one.member, two.member)
	server := b.startCallServer(b.freeAddr(), journal.addr, journal.known())
	subscriber := b.newCaller("caller", server.listen)
	subscriber.write(invite(standing, "status-check", 1, callerDescription))
	if subscriber.waitAnswer(standing, 2*time.Second) != 200 {
		b.fail("the call does not stand")
	}
	time.Sleep(500 * time.Millisecond) // the state of the group has come
	for round := uint64(0); trouble && round < sameIDRounds && server.running(); round++ {
		b.repeatID(server, 0x5a02c07a5be3f000+round<<16)
		select {
		case <-server.ended:
		case <-time.After(time.Second):
		}
	}
	status := 0
	if server.running() {
		time.Sleep(2 * time.Second)
		subscriber.write(invite(last, "status-check", 1, callerDescription))
		status = subscriber.waitAnswer(last, 4*time.Second)
	}
	b.note("check", "answer to a last set-up of the caller: %d; the call server runs: %v", status, server.running())
	if status == 0 || !server.running() {
		return broken
	}
	return held
}

// sameIDRounds is how often the unknown client of sameID tries.
const sameIDRounds = 10

// repeatID has an unknown client send a set-up, its id with a different description 20 ms later, and the same again on a new
// connection as soon as it is turned away.
func (b *bench) repeatID(server *callServer, id uint64) {
	client := b.newCaller("unknown client", server.listen)
	other := invite(id, "status-check", 1, "0000000000000000\r\nc=IN IP4 127.0.0.1\r\nm=audio 31002 RTP/AVP 0\r\n")
	client.onRefusal(func() {
		if conn, err := net.Dial("tcp", server.listen); err == nil {
			b.serveCaller("unknown client", conn).write(other)
		}
	})
	client.write(invite(id, "status-check", 1, callerDescription))
	time.Sleep(20 * time.Millisecond)
	client.write(other)
}

// foreignRelease has an unknown client ask with a class that does not exist and keep its connection, while a call stands whose
// callers have another connection open. Then the call ends at its office. The callers stay connected.
func foreignRelease(b *bench, trouble bool) verdict {
	const earlier, call, busy, foreign uint64 = 0x5a03c07a5be2f300, 0x5a03c07a5be2f301, 0x5a03c07a5be2f400, 0x5a03c07a5be2f3ff
	one := b.newOffice("s-00000001", 1, 60)
	one.refuse = func(id uint64) (byte, string) {
		if id >= busy {
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
	one.endCall(earlier) // callers say that they hear a release
	if !waitFor(time.Second, func() bool { return first.gotBye(earlier) }) {
		b.fail("the first call is not released")
	}
	time.Sleep(4 * time.Second) // no call has been set up on the connection for 4 s
	first.hangUp()
	time.Sleep(500 * time.Millisecond)
	second := b.newCaller("caller, second", server.listen)
	refusedCall := func(id uint64) {
		second.write(invite(id, "status-check", 1, callerDescription))
		if status := second.waitAnswer(id, 4*time.Second); status < 300 {
			b.fail("a call to a busy number is not refused: %d", status)
		}
	}
	refusedCall(busy)
	if trouble {
		client := b.newCaller("unknown client", server.listen)
		client.ignoreByes()
		client.write(invite(foreign, "no-such-class", 1, callerDescription))
		if client.waitAnswer(foreign, 3*time.Second) < 300 {
			b.fail("the unknown client is not turned away")
		}
		defer client.hangUp()
	}
	time.Sleep(500 * time.Millisecond)
	released := time.Now()
	one.endCall(call)
	told := waitFor(1050*time.Millisecond, func() bool { return second.gotBye(call) })
	b.note("check", "the caller was released within 1 s: %v; its connection is open: %v", told, !second.hasEnded())
	if told {
		return held
	}
	for id := busy + 1<<8; time.Since(released) < 8050*time.Millisecond; id += 1 << 8 {
		refusedCall(id) // the caller's connection stays in use
		waitFor(min(3*time.Second, time.Until(released.Add(8050*time.Millisecond))), func() bool { return second.gotBye(call) })
	}
	b.note("check", "the caller was released within 8 s: %v; its connection is open: %v", second.gotBye(call), !second.hasEnded())
	return broken
}
