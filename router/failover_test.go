package router

import (
	"slices"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// process is a process of a client, or an exchange, connected to a Router without delay.
type process struct {
	t         *testing.T
	router    *Router
	linkID    LinkID
	assoc     *m3ua.Assoc
	pointCode uint32
	received  []*isup.Message
	now       *time.Duration
	dead      bool // its bytes are lost in both directions
}

// newProcess returns the far end of the connection of a peer's ASP.
func newProcess(t *testing.T, r *Router, now *time.Duration, peer string, aspIndex int, pointCode uint32, role m3ua.Role) *process {
	id, ok := r.Link(peer, aspIndex)
	if !ok {
		t.Fatalf("no link %s %d", peer, aspIndex)
	}
	return &process{t: t, router: r, linkID: id, pointCode: pointCode, now: now, assoc: m3ua.NewAssoc(m3ua.Settings{Role: role, HeartbeatInterval: -1})}
}

// transferBytes transports bytes between a Router and its processes in both directions until none is left.
func transferBytes(r *Router, processes ...*process) {
	for busy := true; busy; {
		busy = false
		for _, e := range r.Effects() {
			write, ok := e.(Write)
			if !ok {
				continue
			}
			busy = true
			for _, process := range processes {
				if process.linkID == write.Link && !process.dead {
					process.assoc.Receive(*process.now, write.Bytes)
				}
			}
		}
		for _, process := range processes {
			for _, indication := range process.assoc.Indications() {
				if indication.Kind == m3ua.IndData {
					message, err := isup.Decode(indication.Data.Data)
					if err != nil {
						process.t.Fatal(err)
					}
					process.received = append(process.received, message)
					if message.Type == isup.GRS {
						rangeStatus, _ := message.RangeStatus()
						process.send(isup.NewGroup(isup.GRA, message.CIC, 0, isup.Range{Range: rangeStatus.Range}))
					}
				}
			}
			if b := process.assoc.Output(); len(b) > 0 && !process.dead {
				busy = true
				r.Receive(*process.now, process.linkID, b)
			}
		}
	}
}

func (p *process) send(m *isup.Message) {
	b, err := m.Append(nil)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = p.assoc.Send(m3ua.ProtocolData{OPC: p.pointCode, DPC: 101, SI: 5, NI: 2, Data: b})
}

func (p *process) connect() {
	p.router.Connected(*p.now, p.linkID)
	p.assoc.Connected(*p.now)
}

func (p *process) countReceived(messageType isup.Type) (n int) {
	for _, m := range p.received {
		if m.Type == messageType {
			n++
		}
	}
	return n
}

// newTwoProcessClient returns a Router with a client of two processes and one exchange.
func newTwoProcessClient(t *testing.T, mode m3ua.Mode) (r *Router, now *time.Duration, first, second, exchange *process) {
	cfg := testConfig(0, 2, 30)
	client := slices.IndexFunc(cfg.Peers, func(p Peer) bool { return p.Kind == PeerClient })
	settings := m3ua.Settings{Role: m3ua.RoleSGP, HeartbeatInterval: -1}
	cfg.Peers[client].ASPs, cfg.Peers[client].Mode = []m3ua.Settings{settings, settings}, mode
	r, err := New(cfg, 3)
	if err != nil {
		t.Fatal(err)
	}
	start := time.Hour
	now = &start
	r.Start(start, nil)
	first, second = newProcess(t, r, now, "counters", 0, 2001, m3ua.RoleASP), newProcess(t, r, now, "counters", 1, 2001, m3ua.RoleASP)
	exchange = newProcess(t, r, now, "b", 0, 102, m3ua.RoleIPSPServer)
	for _, p := range []*process{exchange, first, second} {
		p.connect()
		transferBytes(r, first, second, exchange)
	}
	return r, now, first, second, exchange
}

// sendSetup sends the IAM of a call on a circuit.
func sendSetup(t *testing.T, client *process, cic uint16) {
	m, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: "5521", Nature: 3, Plan: 1}, Category: 10, Width: 1, HopCounter: -1})
	if err != nil {
		t.Fatal(err)
	}
	client.send(m)
}

// An ASP fails during a burst of calls: the calls that it offered are answered to the ASP that takes over, each once.
func TestFailoverInABurst(t *testing.T) {
	for _, mode := range []m3ua.Mode{m3ua.Override, m3ua.Loadshare} {
		r, now, first, second, exchange := newTwoProcessClient(t, mode)
		active, standby := second, first // in override mode the ASP that connected last has the traffic
		for cic := uint16(1); cic <= 20; cic++ {
			sendSetup(t, active, cic)
			transferBytes(r, first, second, exchange)
			*now += time.Millisecond
			r.Advance(*now)
		}
		if exchange.countReceived(isup.IAM) != 20 {
			t.Fatalf("%v: %d set-ups reached the exchange", mode, exchange.countReceived(isup.IAM))
		}
		active.dead = true
		r.Disconnected(*now, active.linkID, -1)
		active.assoc.Lost()
		transferBytes(r, first, second, exchange)
		if mode == m3ua.Override {
			standby.assoc.Connected(*now) // the standby activates
			r.Connected(*now, standby.linkID)
			transferBytes(r, first, second, exchange)
		}
		before := standby.countReceived(isup.ANM) + standby.countReceived(isup.CON)
		for _, m := range exchange.received {
			if m.Type == isup.IAM {
				exchange.send(isup.NewSimple(isup.ACM, m.CIC))
				exchange.send(isup.NewSimple(isup.ANM, m.CIC))
			}
		}
		transferBytes(r, first, second, exchange)
		if got := standby.countReceived(isup.ANM) + standby.countReceived(isup.CON) - before; got != 20 {
			t.Errorf("%v: %d answers after the failover", mode, got)
		}
		if calls, unanswered := r.CallCounts(); calls != 20 || unanswered != 0 {
			t.Errorf("%v: %d calls, %d without an answer", mode, calls, unanswered)
		}
	}
}

// Both processes of a client become active in override mode by mistake: the newer one gets the traffic, the older one is
// notified and its DATA messages are rejected.
func TestBothActiveInOverrideMode(t *testing.T) {
	r, _, first, second, exchange := newTwoProcessClient(t, m3ua.Override)
	views := r.Associations()
	states := map[m3ua.State]int{}
	for _, v := range views {
		if v.Peer == "counters" {
			states[v.State]++
		}
	}
	if states[m3ua.Active] != 1 || states[m3ua.Inactive] != 1 {
		t.Fatalf("associations %+v", views)
	}
	sendSetup(t, first, 1) // it still considers itself active
	sendSetup(t, second, 2)
	transferBytes(r, first, second, exchange)
	if setups := exchange.countReceived(isup.IAM); setups != 1 {
		t.Errorf("%d set-ups reached the exchange, want only the one of the active process", setups)
	}
}
