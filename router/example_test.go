package router_test

import (
	"fmt"
	"strings"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/numbering"
	"finchlatch/router"
)

// farEnd is the far end of a connection, simulated as in a test of your own: an association and a message handler.
type farEnd struct {
	link      router.LinkID
	pointCode uint32
	assoc     *m3ua.Assoc
	onMessage func(f *farEnd, m *isup.Message)
}

func (f *farEnd) send(m *isup.Message) {
	b, err := m.Append(nil)
	if err != nil {
		panic(err)
	}
	_ = f.assoc.Send(m3ua.ProtocolData{OPC: f.pointCode, DPC: 101, SI: m3ua.ServiceISUP, NI: 2, Data: b})
}

// transferBytes transports bytes between a Router and the far ends until none is left, and prints decisions and answers.
func transferBytes(r *router.Router, now time.Duration, ends ...*farEnd) {
	for done := false; !done; {
		done = true
		for _, e := range r.Effects() {
			switch e := e.(type) {
			case router.Write:
				for _, f := range ends {
					if f.link == e.Link {
						f.assoc.Receive(now, e.Bytes)
					}
				}
			case router.Decision:
				fmt.Println(strings.TrimSpace(fmt.Sprintf("call %d: %v %s", e.Call, e.Action, e.Office)))
			case router.Answer:
				fmt.Printf("call %d: %v\n", e.Call, e.Result)
			}
		}
		for _, f := range ends {
			for _, i := range f.assoc.Indications() {
				if i.Kind == m3ua.IndData {
					if m, err := isup.Decode(i.Data.Data); err == nil {
						f.onMessage(f, m)
					}
				}
			}
			if b := f.assoc.Output(); len(b) > 0 {
				done = false
				r.Receive(now, f.link, b)
			}
		}
	}
}

// acknowledgeReset answers a circuit group reset, as every far end must.
func acknowledgeReset(f *farEnd, m *isup.Message) {
	if m.Type == isup.GRS {
		rangeStatus, _ := m.RangeStatus()
		f.send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: rangeStatus.Range}))
	}
}

func exampleConfig() router.Config {
	return router.Config{
		Name:      "lisbon",
		Exchanges: []router.Exchange{{Number: 1, Name: "lisbon", PointCode: 101}, {Number: 2, Name: "porto", PointCode: 102}},
		Peers: []router.Peer{
			{Name: "porto", PointCode: 102, Circuits: []uint16{1, 2}, ASPs: []m3ua.Settings{{Role: m3ua.RoleIPSPServer}}},
			{Name: "counters", Kind: router.PeerClient, PointCode: 2001, Circuits: []uint16{1, 2, 3, 4},
				ASPs: []m3ua.Settings{{Role: m3ua.RoleSGP}}},
		},
		Classes: []router.Class{{Category: 10, Patience: 3 * time.Second, Class: logic.Class{Name: "voice", Worth: 1,
			Aim: time.Second, Deadline: 9 * time.Second, Hold: time.Minute, Width: 1, SafeToRepeat: true}}},
		Numbering: []numbering.Entry{{Prefix: "5501", Exchange: 1, Class: -1}, {Prefix: "5502", Exchange: 2, Class: -1}},
		Attempts:  5, Tick: 5 * time.Millisecond, Release: 200 * time.Millisecond, DrainGrace: time.Second,
		TipAfter: 3 * time.Second, Overload: 2, ColdFrom: 0.3, ColdFor: 12 * time.Second, Network: 2,
	}
}

// A test harness: a Router between counters and an exchange, both simulated by the test, in simulated time.
func Example() {
	r, err := router.New(exampleConfig(), 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	r.Start(now, nil)
	connect := func(peer string, pointCode uint32, role m3ua.Role, onMessage func(*farEnd, *isup.Message)) *farEnd {
		id, _ := r.Link(peer, 0)
		f := &farEnd{link: id, pointCode: pointCode, assoc: m3ua.NewAssoc(m3ua.Settings{Role: role}), onMessage: onMessage}
		r.Connected(now, id)
		f.assoc.Connected(now)
		return f
	}
	porto := connect("porto", 102, m3ua.RoleIPSPClient, func(f *farEnd, m *isup.Message) {
		acknowledgeReset(f, m)
		if m.Type == isup.IAM {
			f.send(isup.NewSimple(isup.ACM, m.CIC))
			f.send(isup.NewSimple(isup.ANM, m.CIC))
		}
	})
	counters := connect("counters", 2001, m3ua.RoleASP, acknowledgeReset)
	transferBytes(r, now, porto, counters)

	for cic := uint16(1); cic <= 3; cic++ { // three calls for two circuits: the third one waits, and is refused
		iam, _ := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: "55020042", Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
		counters.send(iam)
	}
	transferBytes(r, now, porto, counters)
	now += 3 * time.Second
	r.Advance(now)
	transferBytes(r, now, porto, counters)
	// Output:
	// call 1: send porto
	// call 2: send porto
	// call 1: stands
	// call 2: stands
	// call 3: refuse
	// call 3: refused
}
