// Package baseline holds textbook routing policies that the product's own one, package logic, is compared with. They are not
// part of the product. They keep rules 1, 2, 3 and 5 because they try little: at most one direct and one two-leg attempt of
// a call, neither after an attempt that may have taken effect. They take no account of cold exchanges, which rule 4 protects.
package baseline

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"finchlatch/logic"
	"finchlatch/router"
)

// Maker creates the policy of one call server. It has the type of router.Config.Baseline.
type Maker func(settings logic.Settings, seed int64) (router.Policy, error)

// variant holds what distinguishes the policies.
type variant struct {
	maxOutstanding int                                              // attempts that may be outstanding; 0: no limit
	reserved       int                                              // circuits that two-leg calls leave free on each leg (trunk reservation)
	chooseTandem   func(p *policy, dest *office, width int) *office // returns nil if none is usable; nil: no two-leg calls
	sticky         bool                                             // keep the tandem of a destination while it is usable and calls over it succeed
}

// DirectOnly tries every call once, over its direct route, whatever the load.
func DirectOnly(settings logic.Settings, seed int64) (router.Policy, error) {
	return newPolicy(settings, seed, variant{}), nil
}

// MaxOutstanding tries a call over its direct route while fewer than limit attempts are outstanding, and refuses it otherwise.
func MaxOutstanding(limit int) Maker {
	return func(settings logic.Settings, seed int64) (router.Policy, error) {
		return newPolicy(settings, seed, variant{maxOutstanding: limit}), nil
	}
}

// RandomTandem is random alternative routing: a call that is blocked on its direct route is tried over one tandem, drawn at
// random from those with enough free circuits on the first leg.
func RandomTandem(settings logic.Settings, seed int64) (router.Policy, error) {
	return newPolicy(settings, seed, variant{chooseTandem: (*policy).drawTandem}), nil
}

// TrunkReservation is RandomTandem with trunk reservation: two-leg calls leave so many circuits free on each of their groups.
func TrunkReservation(reserved int) Maker {
	return func(settings logic.Settings, seed int64) (router.Policy, error) {
		return newPolicy(settings, seed, variant{reserved: reserved, chooseTandem: (*policy).drawTandem}), nil
	}
}

// LeastLoadedOfTwo draws two tandems at random and takes the one with more free circuits on the first leg, with trunk
// reservation (Mitra and Gibbens 1992; the power of two choices).
func LeastLoadedOfTwo(reserved int) Maker {
	return func(settings logic.Settings, seed int64) (router.Policy, error) {
		return newPolicy(settings, seed, variant{reserved: reserved, chooseTandem: (*policy).drawLessLoaded}), nil
	}
}

// DynamicAlternativeRouting is sticky random routing (Gibbens, Kelly and Key 1988): the tandem of a destination is kept as
// long as calls over it succeed, and drawn anew at random when one fails, with trunk reservation.
func DynamicAlternativeRouting(reserved int) Maker {
	return func(settings logic.Settings, seed int64) (router.Policy, error) {
		return newPolicy(settings, seed, variant{reserved: reserved, chooseTandem: (*policy).drawTandem, sticky: true}), nil
	}
}

const (
	timerPrefix  = "b" // of timer marks; the call's number follows
	randomStream = 5   // of the generator that draws tandems
	noteModulus  = 16  // the kind of a note is its remainder: some processors add a wait in multiples of 16
)

// policy implements router.Policy for a variant.
type policy struct {
	variant
	host         logic.Host
	homeExchange int
	tick         time.Duration
	rng          *rand.Rand
	offices      map[int]*office // by number of the exchange
	candidates   []*office       // offices that tandems are drawn from, in the order of their discovery
	officesByID  map[string]*office
	classWidths  []int // circuits of a call on each group, by class
	calls        map[uint64]*call
	outstanding  int // attempts that have neither been answered nor ended
}

// office is the process that serves an exchange.
type office struct {
	id           string
	exchange     int
	ready        bool
	freeCircuits int     // of the group to this office, as last reported
	tandem       *office // kept for two-leg calls to this office; nil: none
}

// call is a call that has not ended.
type call struct {
	logic.Call
	width       int
	deadline    time.Duration
	tandem      *office // of its two-leg attempt; nil: none was made
	inProgress  bool    // its attempt has not ended
	established bool
	attempts    int // started so far
}

// newPolicy creates a policy from settings, a seed and a variant.
func newPolicy(settings logic.Settings, seed int64, v variant) *policy {
	p := &policy{variant: v, host: settings.Host, homeExchange: settings.Home, tick: settings.Tick,
		rng:     rand.New(rand.NewPCG(uint64(seed), randomStream)),
		offices: map[int]*office{}, officesByID: map[string]*office{}, calls: map[uint64]*call{}}
	for _, class := range settings.Classes {
		p.classWidths = append(p.classWidths, max(1, class.Width))
	}
	return p
}

// UpdateOffices updates the offices by service discovery.
func (p *policy) UpdateOffices(_ time.Duration, _ logic.ListKind, offices []logic.Office) {
	for _, announced := range offices {
		known := p.offices[announced.Exchange]
		if known == nil {
			known = &office{exchange: announced.Exchange}
			p.offices[announced.Exchange], p.candidates = known, append(p.candidates, known)
		}
		known.id, known.ready = announced.ID, announced.State == logic.Ready
		p.officesByID[announced.ID] = known
	}
}

// Report updates the free circuits of the group to an office.
func (p *policy) Report(_ time.Duration, report logic.Report) {
	if reporter := p.officesByID[report.Office]; reporter != nil && len(report.Load) > 0 {
		reporter.freeCircuits = int(report.Load[0])
	}
}

// Offered starts the first attempt of a call, or refuses the call.
func (p *policy) Offered(now time.Duration, offered logic.Call) {
	c := &call{Call: offered, deadline: now + offered.TimeLeft - 2*p.tick - time.Millisecond}
	dest := p.offices[offered.Dest]
	if offered.Class < 0 || offered.Class >= len(p.classWidths) || dest == nil || !dest.ready || c.deadline <= now ||
		p.maxOutstanding > 0 && p.outstanding >= p.maxOutstanding {
		p.host.Refuse(offered.ID, 0)
		return
	}
	c.width = max(offered.Width, p.classWidths[offered.Class])
	p.calls[offered.ID] = c
	p.host.Timer(c.deadline-now, timerPrefix+strconv.FormatUint(offered.ID, 10))
	switch {
	case offered.Transit && dest.freeCircuits < c.width+p.reserved:
		p.refuse(c)
	case offered.Transit || p.chooseTandem == nil || dest.freeCircuits >= c.width:
		p.send(now, c, dest)
	default:
		p.tryAlternative(now, c)
	}
}

// send starts an attempt at an office.
func (p *policy) send(now time.Duration, c *call, target *office) {
	c.inProgress, c.attempts = true, c.attempts+1
	p.outstanding++
	target.freeCircuits = max(0, target.freeCircuits-c.width)
	p.host.Send(c.ID, target.id, c.deadline-now)
}

// refuse gives the final answer of a call.
func (p *policy) refuse(c *call) {
	delete(p.calls, c.ID)
	p.host.Refuse(c.ID, 0)
}

// tryAlternative tries a call over a tandem, or refuses it where that is not possible or has been tried.
func (p *policy) tryAlternative(now time.Duration, c *call) {
	dest := p.offices[c.Dest]
	if p.chooseTandem == nil || c.Transit || c.tandem != nil || now >= c.deadline || !dest.ready {
		p.refuse(c)
		return
	}
	tandem := dest.tandem
	if !p.sticky || !p.usable(tandem, dest, c.width) {
		tandem = p.chooseTandem(p, dest, c.width)
	}
	if tandem == nil {
		p.refuse(c)
		return
	}
	if p.sticky {
		dest.tandem = tandem
	}
	c.tandem = tandem
	p.send(now, c, tandem)
}

// usable reports whether a two-leg call to dest may go over tandem, which may be nil.
func (p *policy) usable(tandem, dest *office, width int) bool {
	return tandem != nil && tandem != dest && tandem.ready && tandem.exchange != p.homeExchange && tandem.freeCircuits >= width+p.reserved
}

// maxDraws is how many tandems are drawn in search of a usable one; after that the call is refused.
const maxDraws = 8

// drawTandem draws a usable tandem; nil: none was found.
func (p *policy) drawTandem(dest *office, width int) *office {
	for range maxDraws {
		if tandem := p.candidates[p.rng.IntN(len(p.candidates))]; p.usable(tandem, dest, width) {
			return tandem
		}
	}
	return nil
}

// drawLessLoaded draws two tandems and returns the usable one with more free circuits; nil: neither is usable.
func (p *policy) drawLessLoaded(dest *office, width int) *office {
	chosen, other := p.candidates[p.rng.IntN(len(p.candidates))], p.candidates[p.rng.IntN(len(p.candidates))]
	if !p.usable(chosen, dest, width) || p.usable(other, dest, width) && other.freeCircuits > chosen.freeCircuits {
		chosen = other
	}
	if !p.usable(chosen, dest, width) {
		return nil
	}
	return chosen
}

// Established records that a call is established.
func (p *policy) Established(_ time.Duration, outcome logic.Outcome) {
	if c := p.calls[outcome.Call]; c != nil && !c.established {
		c.established = true
		p.outstanding--
	}
}

// Outcome handles the end of an attempt. A call that is not established is tried over a tandem if the attempt was blocked,
// and so never took effect, and is refused otherwise.
func (p *policy) Outcome(now time.Duration, outcome logic.Outcome) {
	c := p.calls[outcome.Call]
	if c == nil {
		return
	}
	c.inProgress = false
	if reporter := p.officesByID[outcome.Office]; reporter != nil && len(outcome.Load) > 0 {
		reporter.freeCircuits = int(outcome.Load[0])
	}
	if !c.established {
		p.outstanding--
		if c.tandem != nil {
			p.offices[c.Dest].tandem = nil
		}
	}
	blocked := outcome.Status == logic.Full && outcome.Note%noteModulus != logic.NoteProcessor ||
		outcome.Status == logic.NotSent && outcome.Note == logic.NoteCircuit
	switch {
	case outcome.Over || c.established:
		delete(p.calls, outcome.Call)
	case blocked:
		p.tryAlternative(now, c)
	default:
		p.refuse(c)
	}
}

// HungUp cancels the attempt of a caller who hung up.
func (p *policy) HungUp(_ time.Duration, id uint64) { p.cancelUnanswered(id) }

// Timer cancels the attempt of a call whose deadline has passed.
func (p *policy) Timer(_ time.Duration, mark string) {
	if id, err := strconv.ParseUint(strings.TrimPrefix(mark, timerPrefix), 10, 64); err == nil {
		p.cancelUnanswered(id)
	}
}

// cancelUnanswered cancels the attempt of a call that is not established.
func (p *policy) cancelUnanswered(id uint64) {
	if c := p.calls[id]; c != nil && !c.established && c.inProgress {
		p.host.Cancel(id, c.attempts-1)
	}
}
