package soak

import (
	"os"
	"os/exec"
	"testing"
	"time"
)

// The longest wait of a single thread since the last sample counts, not the sum over all threads.
func TestSchedWaitsOfThreads(t *testing.T) {
	before := schedWaits{"1": 10 * time.Millisecond, "2": 20 * time.Millisecond, "ended": time.Second}
	now := schedWaits{"1": 40 * time.Millisecond, "2": 45 * time.Millisecond, "begun": 3 * time.Millisecond}
	if got := now.longestSince(before); got != 30*time.Millisecond {
		t.Errorf("%v", got)
	}
	if got := (schedWaits)(nil).longestSince(before); got != 0 {
		t.Errorf("%v without a sample", got)
	}
}

// The waits of a process are read by thread; a process that does not exist has none.
func TestSchedWaitsAreRead(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skipf("the kernel does not count waits: %v", err)
	}
	self, err := os.FindProcess(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if got := (&process{cmd: &exec.Cmd{Process: self}}).readSchedWaits(); len(got) == 0 {
		t.Error("no thread was read")
	}
	const unusedPID = 1 << 30 // above the largest process ID
	if got := (&process{cmd: &exec.Cmd{Process: &os.Process{Pid: unusedPID}}}).readSchedWaits(); got != nil {
		t.Errorf("%v", got)
	}
}
