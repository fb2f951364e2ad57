package server

import (
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"finchlatch/isup"
	"finchlatch/logic"
	"finchlatch/router"
)

// The console's replies: 2xx done, 215 followed by lines up to a dot, 4xx not now, 5xx wrong.
const (
	replyHello   = 200
	replyDone    = 250
	replyLines   = 215
	replyBye     = 205
	replyEnded   = 421
	replyUnknown = 500
	replyWrong   = 501
)

// command is one verb of the console.
type command struct {
	name, args, help string
	least            int
	run              func(s *Server, args []string) (lines []string, err error)
}

var commands []command

func init() {
	commands = []command{
		{"show", "status|calls|groups|exchanges|associations", "what the call server holds and knows", 1, (*Server).show},
		{"drain", "[exchange]", "refuse new calls here, or send an exchange no new ones", 0, (*Server).drainCommand},
		{"undrain", "[exchange]", "the end of a drain", 0, (*Server).drainCommand},
		{"list", "update EXCHANGE ready|draining|gone [started-ago]", "news of the exchange list", 3, (*Server).listCommand},
		{"block", "PEER CIRCUITS|SHARE% [hardware]", "take circuits out of service, or cut them", 2, (*Server).blockCommand},
		{"unblock", "PEER CIRCUITS|SHARE% [hardware]", "bring circuits back", 2, (*Server).blockCommand},
		{"reset", "PEER CALLS|SHARE%", "reset circuits with calls: the calls are cut", 2, (*Server).resetCommand},
		{"help", "", "this list", 0, nil},
		{"quit", "", "close the console", 0, nil},
	}
}

func (s *Server) acceptConsole() {
	defer s.wg.Done()
	for {
		conn, err := s.console.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveConsole(conn)
		}()
	}
}

// consoleIdle is how long a console may say nothing; consoleLine is the longest command.
const (
	consoleIdle = 10 * time.Minute
	consoleLine = 512
)

func (s *Server) serveConsole(conn net.Conn) {
	end := make(chan struct{})
	defer close(end)
	go func() { // ends with this console or with the server
		select {
		case <-s.stop:
		case <-end:
		}
		conn.Close()
	}()
	text := textproto.NewConn(conn)
	_ = text.PrintfLine("%d finchlatch %s", replyHello, s.cfg.Router.Name)
	for {
		_ = conn.SetDeadline(time.Now().Add(consoleIdle))
		line, err := text.ReadLine()
		if err != nil {
			return
		}
		if len(line) > consoleLine {
			_ = text.PrintfLine("%d line is too long", replyUnknown)
			continue
		}
		if !s.answerConsole(text, strings.Fields(line)) {
			return
		}
	}
}

// answerConsole carries out one command; false: the console closes.
func (s *Server) answerConsole(text *textproto.Conn, words []string) bool {
	if len(words) == 0 {
		return text.PrintfLine("%d no command; help lists them", replyUnknown) == nil
	}
	verb := strings.ToLower(words[0])
	switch verb {
	case "quit":
		_ = text.PrintfLine("%d bye", replyBye)
		return false
	case "help":
		var lines []string
		for _, c := range commands {
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("%-8s %-50s %s", c.name, c.args, c.help)))
		}
		return writeLines(text, lines)
	}
	i := slices.IndexFunc(commands, func(c command) bool { return c.name == verb })
	if i < 0 {
		return text.PrintfLine("%d %q is no command; help lists them", replyUnknown, verb) == nil
	}
	if len(words)-1 < commands[i].least {
		return text.PrintfLine("%d usage: %s %s", replyWrong, verb, commands[i].args) == nil
	}
	lines, err := commands[i].run(s, words)
	switch {
	case err == ErrStopped:
		_ = text.PrintfLine("%d %v", replyEnded, err)
		return false
	case err != nil:
		return text.PrintfLine("%d %v", replyWrong, err) == nil
	case lines != nil:
		return writeLines(text, lines)
	}
	return text.PrintfLine("%d done", replyDone) == nil
}

func writeLines(text *textproto.Conn, lines []string) bool {
	if text.PrintfLine("%d %d lines follow", replyLines, len(lines)) != nil {
		return false
	}
	w := text.DotWriter()
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
	return w.Close() == nil
}

// mostCalls is how many calls a console shows.
const mostCalls = 500

func (s *Server) show(args []string) (lines []string, err error) {
	lines = []string{}
	add := func(format string, a ...any) { lines = append(lines, fmt.Sprintf(format, a...)) }
	views := map[string]func(r *router.Router, now time.Duration){
		"status": func(r *router.Router, now time.Duration) {
			calls, open := r.Held()
			add("exchange %s up %v draining %v", r.Name(), (now - Epoch).Round(time.Second), r.Draining())
			add("calls %d unanswered %d", calls, open)
			add("stands %d refused %d failed %d hung-up %d", s.answers[0], s.answers[1], s.answers[2], s.answers[3])
		},
		"calls": func(r *router.Router, now time.Duration) {
			for _, c := range r.Calls(now, mostCalls) {
				add("call %d class %s called %s from %s to %s attempts %d %s %v", c.ID, c.Class, c.Called,
					or(c.From), or(c.To), c.Attempts, c.State, c.Age.Round(time.Millisecond))
			}
		},
		"groups": func(r *router.Router, now time.Duration) {
			for _, g := range r.Groups() {
				add("group %s %s size %d usable %d spare %d out %d in %d releasing %d resetting %d blocked %d", g.Peer,
					g.Kind, g.Size, g.Total, g.Spare, g.Out, g.In, g.Releasing, g.Resetting, g.Blocked)
			}
		},
		"exchanges": func(r *router.Router, now time.Duration) {
			for _, e := range r.Exchanges() {
				started := "long ago"
				if e.Started > 0 {
					started = (now - e.Started).Round(time.Millisecond).String() + " ago"
				}
				add("exchange %s %s started %s", e.Name, stateNames[e.State], started)
			}
		},
		"associations": func(r *router.Router, now time.Duration) {
			for _, a := range r.Associations() {
				add("association %s/%d %v %v sent %d held %d", a.Peer, a.ASP, a.State, a.AS, a.Sent, a.Held)
			}
		},
	}
	view, ok := views[strings.ToLower(args[1])]
	if !ok {
		return nil, fmt.Errorf("show has no %q", args[1])
	}
	err = s.Do(view)
	return lines, err
}

func or(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

var stateNames = map[logic.OfficeState]string{logic.Ready: "ready", logic.Draining: "draining", logic.Gone: "gone"}

func (s *Server) drainCommand(args []string) ([]string, error) {
	on := strings.ToLower(args[0]) == "drain"
	if len(args) > 1 {
		state := "ready"
		if on {
			state = "draining"
		}
		return s.listCommand([]string{"list", "update", args[1], state})
	}
	kind := router.InUndrain
	if on {
		kind = router.InDrain
	}
	return nil, s.apply(router.Input{Kind: kind})
}

// listCommand takes an entry of the exchange list. The start is given as its age: clocks need not agree.
func (s *Server) listCommand(args []string) ([]string, error) {
	if strings.ToLower(args[1]) != "update" || len(args) < 4 {
		return nil, fmt.Errorf("usage: list update EXCHANGE ready|draining|gone [started-ago]")
	}
	var state logic.OfficeState
	switch strings.ToLower(args[3]) {
	case "ready":
	case "draining":
		state = logic.Draining
	case "gone":
		state = logic.Gone
	default:
		return nil, fmt.Errorf("%q is no state", args[3])
	}
	age := time.Duration(-1)
	if len(args) > 4 {
		var err error
		if age, err = time.ParseDuration(args[4]); err != nil || age < 0 {
			return nil, fmt.Errorf("%q is no age such as 1.5s", args[4])
		}
	}
	var wrong error
	err := s.Do(func(r *router.Router, now time.Duration) {
		e, ok := r.Exchange(args[2])
		if !ok {
			wrong = fmt.Errorf("no exchange %q", args[2])
			return
		}
		o := logic.Office{ID: e.Name, Exchange: e.Number, State: state}
		if age >= 0 {
			o.Started = max(0, now-age)
		} else {
			for _, v := range r.Exchanges() {
				if v.Name == e.Name {
					o.Started = v.Started
				}
			}
		}
		s.step(router.Input{At: now, Kind: router.InList, ListKind: logic.ListUpdate, List: []logic.Office{o}})
	})
	if err == nil {
		err = wrong
	}
	return nil, err
}

// amount reads a number of things, or a share of them such as 40%.
func amount(text string) (n int, share float64, err error) {
	if rest, ok := strings.CutSuffix(text, "%"); ok {
		if share, err = strconv.ParseFloat(rest, 64); err == nil && share >= 0 && share <= 100 {
			return 0, share / 100, nil
		}
	} else if n, err = strconv.Atoi(text); err == nil && n > 0 {
		return n, 0, nil
	}
	return 0, 0, fmt.Errorf("%q is no number of circuits and no share such as 40%%", text)
}

// onPeer tells the Router in with a peer and an amount, a share of which is taken of what of gives.
func (s *Server) onPeer(args []string, of func(g router.GroupView) int, in router.Input) ([]string, error) {
	n, share, err := amount(args[2])
	if err != nil {
		return nil, err
	}
	changed, known := 0, false
	err = s.Do(func(r *router.Router, now time.Duration) {
		id, ok := r.Peer(args[1])
		if !ok {
			return
		}
		known = true
		if n == 0 {
			n = int(share*float64(of(r.Groups()[id])) + 0.5)
		}
		in.At, in.Peer, in.Count = now, id, int64(n)
		changed = s.step(in)
	})
	if err == nil && !known {
		err = fmt.Errorf("no peer %q", args[1])
	}
	return []string{fmt.Sprintf("changed %d", changed)}, err
}

func (s *Server) blockCommand(args []string) ([]string, error) {
	kind, on := isup.Maintenance, strings.ToLower(args[0]) == "block"
	if len(args) > 3 {
		if strings.ToLower(args[3]) != "hardware" {
			return nil, fmt.Errorf("%q: only hardware may follow", args[3])
		}
		kind = isup.Hardware
	}
	size := func(g router.GroupView) int { return g.Size }
	return s.onPeer(args, size, router.Input{Kind: router.InBlock, Group: kind, On: on})
}

func (s *Server) resetCommand(args []string) ([]string, error) {
	calls := func(g router.GroupView) int { return g.Out + g.In }
	return s.onPeer(args, calls, router.Input{Kind: router.InReset})
}
