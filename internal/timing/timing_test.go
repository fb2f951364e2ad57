package timing

import (
	"testing"
	"time"
)

func TestTimersArePoppedInOrder(t *testing.T) {
	var timers Timers[string]
	if _, ok := timers.Next(); ok {
		t.Fatal("an empty queue has a next timer")
	}
	for _, timer := range []struct {
		at   time.Duration
		name string
	}{{3, "c"}, {1, "a"}, {2, "b1"}, {2, "b2"}, {2, "b3"}, {9, "late"}} {
		timers.Arm(timer.at, timer.name)
	}
	if at, ok := timers.Next(); !ok || at != 1 {
		t.Fatalf("next at %v", at)
	}
	got := ""
	for _, name, ok := timers.Pop(3); ok; _, name, ok = timers.Pop(3) {
		got += name + " "
	}
	if got != "a b1 b2 b3 c " || timers.Len() != 1 {
		t.Fatalf("%q, %d left", got, timers.Len())
	}
	if _, _, ok := timers.Pop(8); ok {
		t.Fatal("a timer was popped before it was due")
	}
}
