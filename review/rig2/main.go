// Command rig2 runs one case of the review against the call server of the deploy file. It starts call servers as processes of
// their own and plays the callers, the offices and the journal service around them on loopback addresses and the real clock.
//
//	rig2 CASE RECORD
//
// The working directory is the root of the repository. RECORD gets what was sent, answered and run. The exit status is 1 if the
// rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment the case is
// played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rig is what the parts of a case share.
type rig struct {
	mu        sync.Mutex
	record    *os.File
	startedAt time.Time
	trouble   bool   // the disruption of the case takes place
	folder    string // a temporary folder
	host      string // loopback address of all listeners
	ports     int    // number of ports that freeAddr has returned
	servers   []*callServer
	memoryMB  int  // limit of memory of a call server
	quiet     bool // there are very many messages
	lines     atomic.Int64
	clients   clients
}

// logf writes a line about a message to the record, unless the case is quiet and sends very many.
func (r *rig) logf(format string, args ...any) {
	if !r.quiet || r.lines.Add(1) <= maxQuietLines {
		r.note(format, args...)
	}
}

// maxQuietLines is how many lines about messages a quiet case records.
const maxQuietLines = 2000

// note writes a line with the time to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddr returns an address that it has not returned before. Connections are opened from 127.0.0.1, so no port of one is taken.
func (r *rig) freeAddr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ports++
	return fmt.Sprintf("%s:%d", r.host, 5060+r.ports)
}

// caseFunc plays a case. It returns what broke the rule, "" for nothing, or an error if the case could not run.
type caseFunc func(r *rig) (broken string, err error)

// cases holds the cases by the name of their folder.
var cases = map[string]caseFunc{}

// longestCase is how long a case may take.
const longestCase = 100 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return 2
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	pid := os.Getpid()
	r := &rig{record: record, startedAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0", folder: folder, memoryMB: 128,
		host: fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&31, pid>>8&255, 1+pid%250)}
	r.clients.rig, r.clients.calls = r, map[uint64]*clientCall{}
	defer r.killServers()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longestCase):
		}
		r.note("could not run: stopped")
		r.killServers()
		os.Exit(2)
	}()
	r.logf("case %s, trouble %v", os.Args[1], r.trouble)
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken != "":
		r.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	r.note("the rule held")
	fmt.Println("held")
	return 0
}

// waitFor waits until a condition holds, and reports whether it did in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
