package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"finchlatch/internal/platform"
	"finchlatch/internal/rulecheck"
)

// faultActions carry faults out. Each returns once its fault is over.
var faultActions map[Kind]func(f *fleet, x Fault)

func init() { // the table names functions that look things up in it
	faultActions = map[Kind]func(f *fleet, x Fault){
		Vanish: (*fleet).vanish, Partition: cut(platform.Cut{Out: true, In: true, New: true}),
		OneWayOut: cut(platform.Cut{Out: true, New: true}), OneWayIn: cut(platform.Cut{In: true, New: true}),
		Hang: (*fleet).hang, HangThenDie: (*fleet).hang, Die: (*fleet).die, ReplaceHard: (*fleet).die, Replace: (*fleet).replace,
		Spoil: (*fleet).spoil, Resets: (*fleet).resets, LateConns: (*fleet).lateConns, EarlyClose: (*fleet).earlyClose,
		JournalDown: (*fleet).journal, JournalCut: (*fleet).journal, JournalMute: (*fleet).journal, JournalSlow: (*fleet).journal,
		JournalHalf: (*fleet).journal, Reload: (*fleet).reload, ReloadSeries: (*fleet).reload, Restart: (*fleet).restart,
		RestartHup: (*fleet).restart, Kill: (*fleet).killNode, Crowd: (*fleet).crowd, Strangers: (*fleet).strangers,
		CallersGone: (*fleet).callersGone,
	}
}

// settle is how long a day goes on after its last fault and without new calls, so that all that is owed is due.
const settle = rulecheck.ToldAfterEnd + 2*time.Second

// play has calls offered and faults happen, each at its time, and then lets all that is owed become due.
func (f *fleet) play() {
	began := time.Now()
	for _, n := range f.nodes {
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			n.offer()
		}()
	}
	var faults sync.WaitGroup
	for _, x := range f.scenario.Faults {
		faults.Add(1)
		go func() {
			defer faults.Done()
			time.Sleep(time.Until(began.Add(time.Duration(x.At))))
			f.counts.add("fault: "+string(x.Kind), 1)
			faultActions[x.Kind](f, x)
		}()
	}
	time.Sleep(time.Until(began.Add(time.Duration(f.scenario.Length))))
	faults.Wait()
	close(f.stop)
	time.Sleep(settle)
}

// on gives the call servers that a fault is about.
func (f *fleet) on(x Fault) []*node {
	if x.Node < 0 {
		return f.nodes
	}
	return f.nodes[x.Node : x.Node+1]
}

// linkFault tells the checker that links to an office have a fault for some time.
func (f *fleet) linkFault(nodes []*node, o *platform.Office, lasts time.Duration) {
	f.env.Judge(func(at time.Duration, p *rulecheck.Platform) {
		for _, n := range nodes {
			p.AddLinkFault(n.name+"/"+o.Member.ID, at, at+lasts)
		}
	})
}

// every calls do at random times until the fault is over.
func (f *fleet) every(x Fault, mean time.Duration, do func()) {
	r := rand.New(rand.NewPCG(f.scenario.Seed, uint64(x.At)))
	for end := time.Now().Add(time.Duration(x.For)); time.Now().Before(end); {
		time.Sleep(min(time.Until(end), time.Duration(r.ExpFloat64()*float64(mean))))
		do()
	}
}
