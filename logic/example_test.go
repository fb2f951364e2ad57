package logic_test

import (
	"fmt"
	"time"

	"finchlatch/logic"
)

// printer is a Host that prints attempts, refusals and failures.
type printer struct{}

func (printer) Send(call uint64, office string, timeout time.Duration) {
	fmt.Println("send call", call, "to", office)
}
func (printer) Refuse(call uint64, wait time.Duration) { fmt.Println("refuse call", call) }
func (printer) Fail(call uint64)                       { fmt.Println("fail call", call) }
func (printer) Cancel(uint64, int)                     {}
func (printer) Probe(string)                           {}
func (printer) SendPeer(int, []byte)                   {}
func (printer) Timer(time.Duration, string)            {}
func (printer) Watch(bool)                             {}
func (printer) Log(string)                             {}

func Example() {
	c, err := logic.New(logic.Settings{
		Host: printer{}, Instances: 2, Home: 0, MaxAttempts: 3, SendsRetryAfter: true, Tick: 5 * time.Millisecond,
		ReportFields: []string{"spare", "total"},
		Classes: []logic.Class{{Name: "voice", Worth: 1, Aim: time.Second, Deadline: 9 * time.Second,
			Hold: 10 * time.Second, Width: 1, SafeToRepeat: true}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	c.UpdateOffices(now, logic.ListRestored, []logic.Office{{ID: "here", Exchange: 0}, {ID: "there", Exchange: 1}})
	c.Report(now, logic.Report{Office: "there", OK: true, Load: []float64{1, 10}})
	c.Offered(now, logic.Call{ID: 1, Dest: 1, Via: -1, Number: "5551", TimeLeft: 3 * time.Second})
	c.Offered(now, logic.Call{ID: 2, Dest: 1, Via: -1, Number: "5552", TimeLeft: 3 * time.Second})
	c.Timer(now+time.Second, "c2") // the timer that ends the wait for a circuit
	// Output:
	// send call 1 to there
	// refuse call 2
}
