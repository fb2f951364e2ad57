package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"finchlatch/feed"
)

func init() { cases["twice"] = crossedTwice }

// crossing is a proxy in front of a call server whose connections end at a word of the test.
type crossing struct {
	addr   string
	rig    *rig
	resets chan time.Duration // the connection is reset this long after the next bytes from callers were passed on
}

// newCrossing starts a proxy to an address.
func (r *rig) newCrossing(target string) (*crossing, error) {
	p := &crossing{addr: r.freeAddr(), rig: r, resets: make(chan time.Duration, 1)}
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn, target)
		}
	}()
	return p, nil
}

// forward forwards a connection until one side ends, or until it is reset.
func (p *crossing) forward(callers net.Conn, target string) {
	server, err := net.Dial("tcp", target)
	if err != nil {
		callers.Close()
		return
	}
	go func() {
		_, _ = io.Copy(callers, server)
		callers.Close()
	}()
	buf := make([]byte, 16384)
	for {
		n, err := callers.Read(buf)
		if n > 0 {
			_, _ = server.Write(buf[:n])
		}
		select {
		case after := <-p.resets:
			time.Sleep(after)
			p.rig.logf("network: the connection is reset on both sides, %v after the set-up was passed on", after)
			for _, side := range []net.Conn{callers, server} {
				if tcp, ok := side.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				side.Close()
			}
			return
		default:
		}
		if err != nil {
			server.Close()
			return
		}
	}
}

// delayed starts a proxy to an address that passes on what comes on its connections, in both directions, after a delay.
func (r *rig) delayed(target string, delay time.Duration) (string, error) {
	addr := r.freeAddr()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			peer, err := net.Dial("tcp", target)
			if err != nil {
				conn.Close()
				continue
			}
			go passOn(conn, peer, delay)
			go passOn(peer, conn, delay)
		}
	}()
	return addr, nil
}

// passOn passes on what comes from one connection to another one after a delay, and its end as well.
func passOn(from, to net.Conn, delay time.Duration) {
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		buf := make([]byte, 16384)
		for {
			n, err := from.Read(buf)
			pieces <- piece{append([]byte(nil), buf[:n]...), time.Now().Add(delay)}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		_, _ = to.Write(p.data)
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// crossedTwice plays a set-up of a class that may not be repeated. It crosses the end of its resting connection, so that its caller
// sends it once more on a new one. The first one has come to the call server, and the office has answered it before it hears that the
// call server gives it up: the link between them takes 20 ms one way.
func crossedTwice(r *rig) (string, error) {
	first, err := r.newOffice("s-first", r.freeAddr())
	if err != nil {
		return "", err
	}
	first.setUpTime = 5 * time.Millisecond
	link, err := r.delayed(first.addr, 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	j, err := r.newJournal(member("s-own", r.freeAddr(), 0, feed.Serving, 0), member(first.id, link, 1, feed.Serving, 0))
	if err != nil {
		return "", err
	}
	listen := r.freeAddr()
	if _, err = r.startServer(listen, j, "unsafe"); err != nil {
		return "", err
	}
	network, err := r.newCrossing(listen)
	if err != nil {
		return "", err
	}
	time.Sleep(500 * time.Millisecond)
	callers, err := r.dial("a", network.addr)
	if err != nil {
		return "", err
	}
	const before, call = 0x52c1000000000001, 0x52c1000000000002
	callers.invite(before, directLegs)
	if !waitFor(time.Second, func() bool { return r.clients.answered(before, 200) }) {
		return "", errors.New("the call before was not set up")
	}
	callers.bye(before)
	time.Sleep(time.Second)
	if r.trouble {
		network.resets <- 10 * time.Millisecond
	}
	callers.invite(call, directLegs)
	if r.trouble {
		select {
		case <-callers.ended:
		case <-time.After(time.Second):
			return "", errors.New("the connection was not reset")
		}
		time.Sleep(30 * time.Millisecond)
		if callers, err = r.dial("b", listen); err != nil {
			return "", err
		}
		callers.invite(call, directLegs)
	}
	waitFor(4*time.Second, func() bool { return len(r.clients.of(call).answers) > 0 })
	time.Sleep(500 * time.Millisecond)
	answers := first.answersTo(call)
	switch {
	case answers == 0:
		return "", errors.New("the office has not answered the set-up")
	case answers > 1:
		return fmt.Sprintf("call %016x of an unsafe class: its office has had %d set-ups and has answered each", uint64(call), answers), nil
	}
	return "", nil
}
