package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"finchlatch/feed"
)

func init() { cases["withdrawn"] = withdrawnAtOnce }

// meanHold is the mean length of a call, and callEvery the time between calls of the usual callers: 1.1 times what the group carries.
const (
	meanHold  = 12 * time.Second
	callEvery = meanHold / circuits * 10 / 11
)

// memoryLimitMB is the limit of memory of the case, and floodTime how long the client sends.
const (
	memoryLimitMB = 32
	floodTime     = 30 * time.Second
)

// anonymousMB returns the memory of the process of a call server without the pages of its program, in MB.
func (s *callServer) anonymousMB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kilobytes / 1024, err
		}
	}
	return 0, errors.New("the system does not tell the memory of a process")
}

// flood sends set-ups, each withdrawn at once, with new ids and as fast as they are read, and reads what is sent to it.
func (r *rig) flood(addr string, until time.Time) error {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	go func() {
		defer conn.Close()
		sent := 0
		for id := uint64(0x77aa000000000000); time.Now().Before(until); {
			var pairs bytes.Buffer
			for range 60 {
				id++
				body := fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.7\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", id)
				fmt.Fprintf(&pairs, "INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nX-Cos: status-check\r\n"+
					"X-Timer-Ms: 3000\r\nX-Legs: %s\r\nContent-Length: %d\r\n\r\n%s", id, id, directLegs, len(body), body)
				fmt.Fprintf(&pairs, "CANCEL sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n", id, id)
			}
			if _, err := conn.Write(pairs.Bytes()); err != nil {
				r.logf("unknown client: its connection has ended: %v", err)
				return
			}
			if sent += 60; sent%60000 == 0 {
				r.logf("unknown client -> call server: %d set-ups, each withdrawn at once", sent)
			}
		}
	}()
	return nil
}

// withdrawnAtOnce plays usual callers, who offer a little more than the group carries, beside one unknown client that sends set-ups and withdraws each of them
// at once. The memory of the call server is compared with its limit.
func withdrawnAtOnce(r *rig) (string, error) {
	r.memoryMB, r.quiet = memoryLimitMB, true
	first, err := r.newOffice("s-first", r.freeAddr())
	if err != nil {
		return "", err
	}
	other, err := r.newOffice("s-other", r.freeAddr())
	if err != nil {
		return "", err
	}
	first.hold, other.hold = meanHold, meanHold
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
	until := time.Now().Add(floodTime)
	if r.trouble {
		if err := r.flood(listen, until); err != nil {
			return "", err
		}
	}
	highest := 0
	for call, shown := uint64(0x5211000000000000), time.Now(); time.Now().Before(until); time.Sleep(callEvery) {
		call++
		callers.invite(call, directLegs)
		if !server.running() {
			return "the call server has ended", nil
		}
		used, err := server.anonymousMB()
		if err != nil {
			return "", err
		}
		highest = max(highest, used)
		if time.Since(shown) >= time.Second {
			shown = time.Now()
			r.note("call server: %d MB of memory, %d MB at the most, limit %d MB", used, highest, memoryLimitMB)
		}
		if used > memoryLimitMB {
			return fmt.Sprintf("the call server takes %d MB, and its limit is %d MB: the platform kills it", used, memoryLimitMB), nil
		}
	}
	r.note("call server: %d MB of memory at the most, limit %d MB", highest, memoryLimitMB)
	return "", nil
}
