// Package config turns Jsonnet settings into a checked configuration of one call server. Whatever is wrong is
// found before a start, all of it at once, each fault with its file, its path and the reason. It holds no
// decisions: the figures go to the packages that use them.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/google/go-jsonnet"

	"finchlatch/enum"
	"finchlatch/logic"
	"finchlatch/m3ua"
	"finchlatch/numbering"
	"finchlatch/router"
	"finchlatch/trunk"
)

// Span is a time span written as "200ms" or "1.5s".
type Span time.Duration

// UnmarshalJSON reads a span.
func (s *Span) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return fmt.Errorf("%s is no time span such as \"200ms\"", b)
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return fmt.Errorf("%q is no time span such as \"200ms\"", text)
	}
	*s = Span(d)
	return nil
}

// File is the settings as they stand in a file, after evaluation.
type File struct {
	Name      string     `json:"name"`    // the own exchange
	Listen    string     `json:"listen"`  // address for M3UA peers that connect to us
	Console   string     `json:"console"` // address of the operators' console; empty: none
	Seed      int64      `json:"seed"`
	Exchanges []Exchange `json:"exchanges"`
	Peers     []Peer     `json:"peers"`
	Classes   []Class    `json:"classes"`
	Numbers   []Number   `json:"numbers"`
	Rules     Rules      `json:"rules"`
	Timers    Timers     `json:"timers"`
	Limits    Limits     `json:"limits"`
	Enum      *Enum      `json:"enum"`    // look-ups; absent: none
	Traffic   *Traffic   `json:"traffic"` // measurements; absent: none
}

// Traffic is what is measured and where it is kept.
type Traffic struct {
	Store   string             `json:"store"`   // file
	Keep    Span               `json:"keep"`    // how long; 0: 35 days
	Targets map[string]float64 `json:"targets"` // blocking by class that the advisor tells of; a class without one has 0.01
}

// Enum is the front for look-ups over DNS.
type Enum struct {
	Listen  string  `json:"listen"`  // address, UDP and TCP
	Suffix  string  `json:"suffix"`  // domain of the numbers; empty: e164.arpa.
	Routing string  `json:"routing"` // digits that routing numbers begin with
	Lease   Span    `json:"lease"`   // how long circuits are kept for the set-up that follows; 0: a fifth of the shortest aim
	Within  Span    `json:"within"`  // a query is answered within it; 0: 1s
	Answers float64 `json:"answers"` // a second to one network over UDP without a cookie; 0: 100
	Secret  string  `json:"secret"`  // of the cookies
	Askers  []struct {
		Name     string   `json:"name"`
		Networks []string `json:"networks"`
		Client   string   `json:"client"` // peer that its set-ups come from
		Class    string   `json:"class"`
		Rate     float64  `json:"rate"`   // questions a second; 0: 200
		Leases   int      `json:"leases"` // at a time; 0: 100
	} `json:"askers"`
}

// Exchange is an exchange of the fleet.
type Exchange struct {
	Name      string `json:"name"`
	Number    int    `json:"number"`
	PointCode uint32 `json:"point_code"`
}

// Peer is a signalling relation.
type Peer struct {
	Name           string   `json:"name"`
	Kind           string   `json:"kind"`       // exchange, client or subscribers
	PointCode      uint32   `json:"point_code"` // of an exchange: as in exchanges, and may be left out
	Dial           string   `json:"dial"`       // address to connect to; empty: the peer connects to us
	ASPID          uint32   `json:"asp_id"`     // that a connecting peer states; 0: its point code
	ASPs           []uint32 `json:"asps"`       // the same of several processes of one client, in place of asp_id
	Mode           string   `json:"mode"`       // how they share: override, loadshare or broadcast
	Needed         int      `json:"needed"`     // of them active before traffic begins
	Weight         float64  `json:"weight"`     // of a client: its part of what clients share in an overload; 0: 1
	RoutingContext *uint32  `json:"routing_context"`
	Circuits       Circuits `json:"circuits"`
	Heartbeat      Span     `json:"heartbeat"`
}

// Circuits are the circuit identification codes of a group: Count from First on, time slots 0 left out.
type Circuits struct {
	First uint16 `json:"first"`
	Count int    `json:"count"`
}

// Codes lists them.
func (c Circuits) Codes() []uint16 {
	var out []uint16
	for code := int(c.First); len(out) < c.Count && code <= 0xfff; code++ {
		if code%32 != 0 {
			out = append(out, uint16(code))
		}
	}
	return out
}

// Class is a class of call.
type Class struct {
	Name      string  `json:"name"`
	Category  byte    `json:"category"`
	Worth     float64 `json:"worth"`
	LateShare float64 `json:"late_share"`
	Aim       Span    `json:"aim"`
	Patience  Span    `json:"patience"`
	Deadline  Span    `json:"deadline"`
	Hold      Span    `json:"hold"`
	Width     int     `json:"width"`
	Unsafe    bool    `json:"unsafe"` // a further attempt could do harm
}

// Number sends a prefix to an exchange.
type Number struct {
	Prefix   string `json:"prefix"`
	Exchange string `json:"exchange"`
	Class    string `json:"class"` // empty: as the calling party's category tells
}

// Rules are the figures of the five rules.
type Rules struct {
	Attempts   int     `json:"attempts"`
	Release    Span    `json:"release"`
	DrainGrace Span    `json:"drain_grace"`
	TipAfter   Span    `json:"tip_after"`
	Overload   float64 `json:"overload"`
	ColdFrom   float64 `json:"cold_from"`
	ColdFor    Span    `json:"cold_for"`
}

// Timers are protocol timers; those left out have the defaults of the recommendations.
type Timers struct {
	Tick     Span `json:"tick"`
	T1       Span `json:"t1"`
	T5       Span `json:"t5"`
	T12      Span `json:"t12"`
	T13      Span `json:"t13"`
	Ack      Span `json:"t_ack"`
	Recovery Span `json:"recovery"`
	Drain    Span `json:"drain"` // a drain ends after it at the latest
}

// Limits bound what a peer can make us keep.
type Limits struct {
	QueueBytes   int  `json:"queue_bytes"`
	MessageBytes int  `json:"message_bytes"`
	NoShares     bool `json:"no_shares"`   // clients take what they can in an overload
	Calls        int  `json:"calls"`       // of one client at a time; 0: as many as it has circuits
	Connections  int  `json:"connections"` // accepted ones, of all peers; 0: 4096
}

// Config is a checked configuration.
type Config struct {
	Traffic      *Traffic  // nil: nothing is measured
	Targets      []float64 // of the advisor, by class
	Router       router.Config
	Listen       string
	Console      string
	Seed         int64
	Dial         map[router.LinkID]string
	Identity     map[uint32]router.LinkID // ASP identifiers of processes that connect to us
	Drain        time.Duration
	QueueBytes   int
	MessageBytes int
	Connections  int
	EnumListen   string // empty: no look-ups
	Enum         enum.Settings
}

// Fault is one thing that is wrong.
type Fault struct{ File, Path, Reason string }

// Error names file, path and reason.
func (f Fault) Error() string {
	if f.Path == "" {
		return f.File + ": " + f.Reason
	}
	return f.File + ": " + f.Path + ": " + f.Reason
}

// Faults are all that is wrong with a file.
type Faults []Fault

// Error lists them, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Load evaluates a Jsonnet file with external variables (std.extVar) and checks it.
func Load(path string, vars map[string]string) (*Config, error) {
	vm := jsonnet.MakeVM()
	for k, v := range vars {
		vm.ExtVar(k, v)
	}
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return nil, Faults{{File: path, Reason: strings.TrimSpace(err.Error())}}
	}
	return Parse(path, text)
}

// Evaluate evaluates a Jsonnet snippet and checks it; name stands for its file in faults.
func Evaluate(name, snippet string, vars map[string]string) (*Config, error) {
	vm := jsonnet.MakeVM()
	for k, v := range vars {
		vm.ExtVar(k, v)
	}
	text, err := vm.EvaluateAnonymousSnippet(name, snippet)
	if err != nil {
		return nil, Faults{{File: name, Reason: strings.TrimSpace(err.Error())}}
	}
	return Parse(name, text)
}

// Parse checks evaluated JSON. The error is Faults.
func Parse(name, text string) (*Config, error) {
	var f File
	dec := json.NewDecoder(bytes.NewReader([]byte(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		fault := Fault{File: name, Reason: strings.TrimPrefix(err.Error(), "json: ")}
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			fault.Path, fault.Reason = wrong.Field, fmt.Sprintf("%s where %v is wanted", wrong.Value, wrong.Type)
		}
		return nil, Faults{fault}
	}
	return f.Check(name)
}

// checker collects faults.
type checker struct {
	file   string
	faults Faults
}

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{c.file, path, fmt.Sprintf(format, args...)})
}

func (c *checker) must(ok bool, path, format string, args ...any) {
	if !ok {
		c.add(path, format, args...)
	}
}

func (c *checker) address(path, a string, needed bool) {
	if a == "" && !needed {
		return
	}
	if _, _, err := net.SplitHostPort(a); err != nil {
		c.add(path, "%q is no address such as \"127.0.0.1:2905\"", a)
	}
}

// Check turns the file into a configuration, or gives all its faults.
func (f *File) Check(name string) (*Config, error) {
	c := &checker{file: name}
	out := &Config{Listen: f.Listen, Console: f.Console, Seed: f.Seed, Dial: map[router.LinkID]string{},
		Identity: map[uint32]router.LinkID{}}
	c.must(f.Name != "", "name", "the own exchange is not named")
	c.address("listen", f.Listen, false)
	c.address("console", f.Console, false)
	numbers := f.exchanges(c, out)
	classes := f.classes(c, out)
	f.peers(c, out)
	f.numbers(c, out, numbers, classes)
	f.rules(c, out)
	f.limits(c, out)
	f.enum(c, out, classes)
	f.traffic(c, out, classes)
	if len(c.faults) == 0 {
		// The Router's own check sees what only shows in combination.
		if err := out.Router.Check(); err != nil {
			c.add("", "%v", strings.TrimPrefix(err.Error(), "router: "))
		} else if _, err := router.New(out.Router, 0); err != nil {
			c.add("", "%v", err)
		}
	}
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return out, nil
}

func (f *File) exchanges(c *checker, out *Config) map[string]Exchange {
	numbers := map[string]Exchange{}
	c.must(len(f.Exchanges) > 0, "exchanges", "none")
	for i, e := range f.Exchanges {
		at := fmt.Sprintf("exchanges[%d]", i)
		c.must(e.Name != "" && !strings.ContainsAny(e.Name, " \t\r\n"), at+".name", "%q is no name", e.Name)
		_, twice := numbers[e.Name]
		c.must(!twice, at+".name", "%s stands twice", e.Name)
		c.must(e.PointCode > 0 && e.PointCode <= 0x3fff, at+".point_code", "%d is not 1 to 16383", e.PointCode)
		numbers[e.Name] = e
		out.Router.Exchanges = append(out.Router.Exchanges, router.Exchange{Number: e.Number, Name: e.Name, PointCode: e.PointCode})
	}
	_, known := numbers[f.Name]
	c.must(known || f.Name == "", "name", "%s is not among the exchanges", f.Name)
	out.Router.Name = f.Name
	return numbers
}

func (f *File) classes(c *checker, out *Config) map[string]int {
	places := map[string]int{}
	c.must(len(f.Classes) > 0, "classes", "none")
	for i, k := range f.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		_, twice := places[k.Name]
		c.must(k.Name != "" && !twice, at+".name", "%q is empty or stands twice", k.Name)
		c.must(k.Worth > 0 && k.Worth <= 1e9, at+".worth", "%v is not positive", k.Worth)
		c.must(k.LateShare >= 0 && k.LateShare <= 1, at+".late_share", "%v is not 0 to 1", k.LateShare)
		c.must(k.Aim > 0, at+".aim", "must be positive")
		c.must(k.Patience > k.Aim, at+".patience", "%v is not longer than the aim %v", time.Duration(k.Patience), time.Duration(k.Aim))
		c.must(k.Deadline >= k.Patience, at+".deadline", "%v is shorter than the patience %v", time.Duration(k.Deadline), time.Duration(k.Patience))
		c.must(k.Hold > 0, at+".hold", "must be positive")
		places[k.Name] = i
		out.Router.Classes = append(out.Router.Classes, router.Class{Category: k.Category,
			Patience: time.Duration(k.Patience), Class: logic.Class{Name: k.Name, Worth: k.Worth,
				LateShare: k.LateShare, Aim: time.Duration(k.Aim), Deadline: time.Duration(k.Deadline),
				Hold: time.Duration(k.Hold), Width: k.Width, Safe: !k.Unsafe}})
	}
	return places
}

var kinds = map[string]router.PeerKind{"exchange": router.PeerExchange, "client": router.PeerClient,
	"subscribers": router.PeerSubscribers}

var modes = map[string]m3ua.Mode{"": m3ua.Override, "override": m3ua.Override, "loadshare": m3ua.Loadshare,
	"broadcast": m3ua.Broadcast}

func (f *File) peers(c *checker, out *Config) {
	codes := map[string]uint32{}
	for _, e := range f.Exchanges {
		codes[e.Name] = e.PointCode
	}
	accepts, link := false, router.LinkID(0)
	for i, p := range f.Peers {
		at := fmt.Sprintf("peers[%d]", i)
		kind, ok := kinds[p.Kind]
		c.must(ok, at+".kind", "%q is not exchange, client or subscribers", p.Kind)
		if kind == router.PeerExchange && p.PointCode == 0 {
			p.PointCode = codes[p.Name]
		}
		c.must(p.PointCode > 0 && p.PointCode <= 0x3fff, at+".point_code", "%d is not 1 to 16383", p.PointCode)
		circuits := p.Circuits.Codes()
		c.must(p.Circuits.Count > 0 && len(circuits) == p.Circuits.Count && p.Circuits.First > 0, at+".circuits",
			"%d circuits from %d on do not fit 1 to 4095", p.Circuits.Count, p.Circuits.First)
		c.address(at+".dial", p.Dial, false)
		mode, ok := modes[p.Mode]
		c.must(ok, at+".mode", "%q is not override, loadshare or broadcast", p.Mode)
		asps := p.ASPs
		c.must(len(asps) == 0 || p.ASPID == 0 && p.Dial == "" && kind == router.PeerClient, at+".asps",
			"only clients that connect to us have several processes, and asp_id names a single one")
		c.must(p.Weight >= 0 && p.Weight <= 1e6, at+".weight", "%v is not 0 to 1,000,000", p.Weight)
		c.must(p.Needed >= 0 && p.Needed <= max(1, len(asps)), at+".needed", "%d of %d processes", p.Needed, max(1, len(asps)))
		set := m3ua.Settings{TAck: time.Duration(f.Timers.Ack), Beat: time.Duration(p.Heartbeat), ASPID: codes[f.Name]}
		if p.RoutingContext != nil {
			set.RoutingContext, set.HasContext = *p.RoutingContext, true
		}
		if p.Dial != "" {
			set.Role = m3ua.RoleIPSPClient
			out.Dial[link] = p.Dial
			asps = []uint32{0}
		} else {
			accepts = true
			set.Role = map[bool]m3ua.Role{true: m3ua.RoleIPSPServer, false: m3ua.RoleSGP}[kind == router.PeerExchange]
			if len(asps) == 0 {
				asps = []uint32{cmp.Or(p.ASPID, p.PointCode)}
			}
			for k, asp := range asps {
				_, twice := out.Identity[asp]
				c.must(!twice, at+".asp_id", "%d is another process's too", asp)
				out.Identity[asp] = link + router.LinkID(k)
			}
		}
		link += router.LinkID(len(asps))
		out.Router.Peers = append(out.Router.Peers, router.Peer{Name: p.Name, Kind: kind, PointCode: p.PointCode,
			Circuits: circuits, ASPs: slices.Repeat([]m3ua.Settings{set}, len(asps)), Mode: mode, Needed: p.Needed,
			Weight: p.Weight})
	}
	c.must(!accepts || f.Listen != "", "listen", "peers without dial connect to us, and there is no address for them")
}

func (f *File) numbers(c *checker, out *Config, exchanges map[string]Exchange, classes map[string]int) {
	c.must(len(f.Numbers) > 0, "numbers", "none")
	for i, n := range f.Numbers {
		at := fmt.Sprintf("numbers[%d]", i)
		e, ok := exchanges[n.Exchange]
		c.must(ok, at+".exchange", "%q is not among the exchanges", n.Exchange)
		class := -1
		if n.Class != "" {
			if class, ok = classes[n.Class]; !ok {
				c.add(at+".class", "%q is not among the classes", n.Class)
			}
		}
		out.Router.Numbering = append(out.Router.Numbering, numbering.Entry{Prefix: n.Prefix, Exchange: e.Number, Class: class})
	}
	if _, err := numbering.NewTable(out.Router.Numbering); err != nil {
		c.add("numbers", "%v", strings.TrimPrefix(err.Error(), "numbering: "))
	}
}

func (f *File) enum(c *checker, out *Config, classes map[string]int) {
	e := f.Enum
	if e == nil {
		return
	}
	c.address("enum.listen", e.Listen, true)
	c.must(strings.Trim(e.Routing, "0123456789") == "" && e.Routing != "", "enum.routing", "%q is not digits", e.Routing)
	out.EnumListen = e.Listen
	o := &out.Router
	o.Routing, o.Lease, o.AskWithin = e.Routing, time.Duration(e.Lease), cmp.Or(time.Duration(e.Within), time.Second)
	if o.Lease == 0 && len(f.Classes) > 0 {
		o.Lease = time.Hour
		for _, k := range f.Classes {
			o.Lease = min(o.Lease, time.Duration(k.Aim)/5)
		}
	}
	out.Enum = enum.Settings{Suffix: e.Suffix, AnswerRate: e.Answers, CookieSecret: []byte(e.Secret)}
	for i, a := range e.Askers {
		at := fmt.Sprintf("enum.askers[%d]", i)
		class, ok := classes[a.Class]
		c.must(ok, at+".class", "%q is not among the classes", a.Class)
		c.must(a.Name != "", at+".name", "is empty")
		c.must(a.Rate >= 0 && a.Leases >= 0, at, "rate and leases must not be negative")
		asker := enum.Client{Name: a.Name, QueryRate: a.Rate}
		for k, n := range a.Networks {
			p, err := netip.ParsePrefix(n)
			c.must(err == nil, fmt.Sprintf("%s.networks[%d]", at, k), "%q is no network such as \"127.0.0.0/8\"", n)
			asker.Networks = append(asker.Networks, p)
		}
		out.Enum.Clients = append(out.Enum.Clients, asker)
		o.Askers = append(o.Askers, router.Asker{Name: a.Name, Client: a.Client, Class: class, Leases: a.Leases})
	}
}

// ruleRelease is the shortest wait that rule 5 allows after a failed attempt.
const ruleRelease = 200 * time.Millisecond

// defaultTarget is the blocking that trunk groups are commonly sized for (ITU-T E.500 and its kin: 1%).
const defaultTarget = 0.01

func (f *File) traffic(c *checker, out *Config, classes map[string]int) {
	if out.Traffic = f.Traffic; f.Traffic == nil {
		return
	}
	c.must(f.Traffic.Store != "", "traffic.store", "is empty")
	out.Targets = slices.Repeat([]float64{defaultTarget}, len(f.Classes))
	for name, target := range f.Traffic.Targets {
		at, ok := classes[name]
		c.must(ok, "traffic.targets", "%q is no class", name)
		c.must(target > 0 && target < 1, "traffic.targets", "%v of %s is not over 0 and under 1", target, name)
		if ok {
			out.Targets[at] = target
		}
	}
}

func (f *File) rules(c *checker, out *Config) {
	r := f.Rules
	c.must(time.Duration(r.Release) >= ruleRelease, "rules.release", "%v breaks rule 5: no new attempt within %v",
		time.Duration(r.Release), ruleRelease)
	c.must(r.DrainGrace > 0, "rules.drain_grace", "rule 3 needs a grace")
	c.must(r.TipAfter > 0 && r.Overload > 0 && r.ColdFrom > 0 && r.ColdFrom <= 1 && r.ColdFor > 0, "rules",
		"rule 4 needs tip_after, overload, cold_from (0 to 1) and cold_for")
	c.must(r.Attempts >= 0 && r.Attempts <= 16, "rules.attempts", "%d is not 0 to 16", r.Attempts)
	o := &out.Router
	o.Attempts, o.Release, o.DrainGrace = r.Attempts, time.Duration(r.Release), time.Duration(r.DrainGrace)
	o.TipAfter, o.Overload = time.Duration(r.TipAfter), r.Overload
	o.ColdFrom, o.ColdFor = r.ColdFrom, time.Duration(r.ColdFor)
}

// defaultConnections are enough for a thousand clients that all reconnect while their old connections linger.
const defaultConnections = 4096

// defaultTick is the margin of the module for batches: a goroutine hand-over and a write take less on any
// machine that carries calls.
const defaultTick = 5 * time.Millisecond

func (f *File) limits(c *checker, out *Config) {
	t := f.Timers
	out.Router.Tick = time.Duration(t.Tick)
	if t.Tick == 0 {
		out.Router.Tick = defaultTick
	}
	out.Router.Timers = trunk.Timers{T1: time.Duration(t.T1), T5: time.Duration(t.T5), T12: time.Duration(t.T12), T13: time.Duration(t.T13)}
	out.Router.Recovery, out.Router.Network = time.Duration(t.Recovery), 2
	c.must(t.T5 == 0 || t.T1 == 0 || t.T5 > t.T1, "timers.t5", "must be longer than t1")
	c.must(t.T13 == 0 || t.T12 == 0 || t.T13 > t.T12, "timers.t13", "must be longer than t12")
	out.Drain = time.Duration(t.Drain)
	if t.Drain == 0 {
		for _, k := range f.Classes {
			out.Drain = max(out.Drain, time.Duration(k.Patience)+time.Second)
		}
	}
	out.QueueBytes, out.MessageBytes = f.Limits.QueueBytes, f.Limits.MessageBytes
	if out.QueueBytes == 0 {
		out.QueueBytes = 1 << 20
	}
	c.must(f.Limits.Calls >= 0, "limits.calls", "%d is negative", f.Limits.Calls)
	c.must(f.Limits.Connections >= 0, "limits.connections", "%d is negative", f.Limits.Connections)
	out.Router.NoShares = f.Limits.NoShares
	out.Router.MaxCalls, out.Connections = f.Limits.Calls, cmp.Or(f.Limits.Connections, defaultConnections)
	if out.MessageBytes == 0 {
		out.MessageBytes = m3ua.DefaultMaxMessage
	}
	c.must(out.MessageBytes >= 64 && out.MessageBytes <= 65536, "limits.message_bytes", "%d is not 64 to 65536", out.MessageBytes)
	c.must(out.QueueBytes >= out.MessageBytes, "limits.queue_bytes", "%d holds not even one message", out.QueueBytes)
	for _, p := range out.Router.Peers {
		for i := range p.ASPs {
			p.ASPs[i].MaxMessage = out.MessageBytes
		}
	}
}
