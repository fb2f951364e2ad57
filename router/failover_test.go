package router

import (
	"slices"
	"testing"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// process is one process of a client, or an exchange, joined to a Router without delay.
type process struct {
	t     *testing.T
	r     *Router
	id    LinkID
	assoc *m3ua.Assoc
	own   uint32
	got   []*isup.Message
	now   *time.Duration
	dead  bool
}

func newProcess(t *testing.T, r *Router, now *time.Duration, peer string, asp int, own uint32, role m3ua.Role) *process {
	id, ok := r.Link(peer, asp)
	if !ok {
		t.Fatalf("no link %s %d", peer, asp)
	}
	return &process{t: t, r: r, id: id, own: own, now: now, assoc: m3ua.NewAssoc(m3ua.Settings{Role: role, Beat: -1})}
}

// pump carries bytes both ways between a Router and its processes until none is left.
func pump(r *Router, all ...*process) {
	for busy := true; busy; {
		busy = false
		for _, e := range r.Effects() {
			w, ok := e.(Write)
			if !ok {
				continue
			}
			busy = true
			for _, p := range all {
				if p.id == w.Link && !p.dead {
					p.assoc.Receive(*p.now, w.Bytes)
				}
			}
		}
		for _, p := range all {
			for _, i := range p.assoc.Indications() {
				if i.Kind == m3ua.IndData {
					m, err := isup.Decode(i.Data.Data)
					if err != nil {
						p.t.Fatal(err)
					}
					p.got = append(p.got, m)
					if m.Type == isup.GRS {
						rng, _ := m.RangeStatus()
						p.send(isup.NewGroup(isup.GRA, m.CIC, 0, isup.Range{Range: rng.Range}))
					}
				}
			}
			if b := p.assoc.Output(); len(b) > 0 && !p.dead {
				busy = true
				r.Receive(*p.now, p.id, b)
			}
		}
	}
}

func (p *process) send(m *isup.Message) {
	b, err := m.Append(nil)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = p.assoc.Send(m3ua.ProtocolData{OPC: p.own, DPC: 101, SI: 5, NI: 2, Data: b})
}

func (p *process) up() {
	p.r.Connected(*p.now, p.id)
	p.assoc.Connected(*p.now)
}

func (p *process) count(t isup.Type) (n int) {
	for _, m := range p.got {
		if m.Type == t {
			n++
		}
	}
	return n
}

// clientOfTwo is a Router whose counters are two processes, with an exchange behind it.
func clientOfTwo(t *testing.T, mode m3ua.Mode) (r *Router, now *time.Duration, one, two, far *process) {
	cfg := testConfig(0, 2, 30)
	c := slices.IndexFunc(cfg.Peers, func(p Peer) bool { return p.Kind == PeerClient })
	set := m3ua.Settings{Role: m3ua.RoleSGP, Beat: -1}
	cfg.Peers[c].ASPs, cfg.Peers[c].Mode = []m3ua.Settings{set, set}, mode
	r, err := New(cfg, 3)
	if err != nil {
		t.Fatal(err)
	}
	at := time.Hour
	now = &at
	r.Start(at, nil)
	one, two = newProcess(t, r, now, "counters", 0, 2001, m3ua.RoleASP), newProcess(t, r, now, "counters", 1, 2001, m3ua.RoleASP)
	far = newProcess(t, r, now, "b", 0, 102, m3ua.RoleIPSPServer)
	for _, p := range []*process{far, one, two} {
		p.up()
		pump(r, one, two, far)
	}
	return r, now, one, two, far
}

func offer(t *testing.T, p *process, cic uint16) {
	m, err := isup.NewSetup(cic, isup.Setup{Called: isup.Number{Digits: "5521", Nature: 3, Plan: 1}, Category: 10, Width: 1, Hops: -1})
	if err != nil {
		t.Fatal(err)
	}
	p.send(m)
}

// An ASP fails in a burst: calls that it offered are answered to the one that takes over, each once.
func TestFailoverInABurst(t *testing.T) {
	for _, mode := range []m3ua.Mode{m3ua.Override, m3ua.Loadshare} {
		r, now, one, two, far := clientOfTwo(t, mode)
		active, other := two, one // in override mode the later one has the traffic
		for cic := uint16(1); cic <= 20; cic++ {
			offer(t, active, cic)
			pump(r, one, two, far)
			*now += time.Millisecond
			r.Advance(*now)
		}
		if far.count(isup.IAM) != 20 {
			t.Fatalf("%v: %d set-ups reached the exchange", mode, far.count(isup.IAM))
		}
		active.dead = true
		r.Disconnected(*now, active.id, -1)
		active.assoc.Lost()
		pump(r, one, two, far)
		if mode == m3ua.Override {
			other.assoc.Connected(*now) // the standby activates
			r.Connected(*now, other.id)
			pump(r, one, two, far)
		}
		before := other.count(isup.ANM) + other.count(isup.CON)
		for _, m := range far.got {
			if m.Type == isup.IAM {
				far.send(isup.Simple(isup.ACM, m.CIC))
				far.send(isup.Simple(isup.ANM, m.CIC))
			}
		}
		pump(r, one, two, far)
		if got := other.count(isup.ANM) + other.count(isup.CON) - before; got != 20 {
			t.Errorf("%v: %d answers after the failover", mode, got)
		}
		if calls, open := r.Held(); calls != 20 || open != 0 {
			t.Errorf("%v: %d calls, %d without an answer", mode, calls, open)
		}
	}
}

// Both processes active in override mode by mistake: the newer one has the traffic, the older one is told and its
// DATA is not taken.
func TestBothActiveInOverrideMode(t *testing.T) {
	r, _, one, two, far := clientOfTwo(t, m3ua.Override)
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
	offer(t, one, 1) // it still believes that it is active
	offer(t, two, 2)
	pump(r, one, two, far)
	if n := far.count(isup.IAM); n != 1 {
		t.Errorf("%d set-ups reached the exchange, the one of the active process was due", n)
	}
}
