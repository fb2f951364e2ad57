package soak

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one process of a call server.
type process struct {
	cmd        *exec.Cmd
	ended      chan struct{} // closed once the process has ended
	err        error         // how it ended; read after ended is closed
	mu         sync.Mutex
	termSentAt time.Duration // when SIGTERM was sent; 0: not sent; guarded by mu
	killed     bool          // SIGKILL was sent; guarded by mu
}

// startProcess runs the program with a configuration file; its output goes to log.
func startProcess(binary, configPath, tempDir string, log io.Writer) (*process, error) {
	p := &process{cmd: exec.Command(binary, "node", "--log", "debug"), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+configPath, "TMPDIR="+tempDir)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal if the process is running.
func (p *process) signal(sig syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(sig) // fails if the process ends at this moment
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// endRequested reports whether the end of the process was requested.
func (p *process) endRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed || p.termSentAt > 0
}

// usage returns the resident memory in MB and the number of open file descriptors.
func (p *process) usage() (memoryMB, descriptors int) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			memoryMB = kb >> 10
		}
	}
	all, err := os.ReadDir(dir + "fd")
	if err != nil {
		return memoryMB, 0
	}
	return memoryMB, len(all)
}

// schedWaits is how long each thread of a process has been runnable and waited for a CPU, by thread ID, as the kernel
// counts it.
type schedWaits map[string]time.Duration

// readSchedWaits reads the waits of all threads, or returns none if the kernel does not count them.
func (p *process) readSchedWaits() schedWaits {
	const waitField, fieldCount = 1, 3 // of /proc/PID/task/TID/schedstat: time running, time waiting to run, number of time slices
	tasks := fmt.Sprintf("/proc/%d/task/", p.cmd.Process.Pid)
	threads, err := os.ReadDir(tasks)
	if err != nil {
		return nil
	}
	waits := schedWaits{}
	for _, thread := range threads {
		text, err := os.ReadFile(tasks + thread.Name() + "/schedstat")
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(text))
		if len(fields) != fieldCount {
			continue
		}
		if ns, err := strconv.ParseInt(fields[waitField], 10, 64); err == nil {
			waits[thread.Name()] = time.Duration(ns)
		}
	}
	return waits
}

// longestSince returns the longest time that a single thread has waited since an earlier sample. Threads started since then count
// from their start.
func (w schedWaits) longestSince(before schedWaits) (longest time.Duration) {
	for thread, wait := range w {
		longest = max(longest, wait-before[thread])
	}
	return longest
}

// termSentBefore reports whether SIGTERM was sent at least the elapsed time before now.
func (p *process) termSentBefore(now, elapsed time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.termSentAt > 0 && now >= p.termSentAt+elapsed
}
