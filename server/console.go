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

// Reply codes of the console: 2xx success, 215 with lines that end at a single dot, 4xx temporary failure, 5xx error.
const (
	replyGreeting     = 200
	replyDone         = 250
	replyLines        = 215
	replyBye          = 205
	replyStopped      = 421
	replyBadCommand   = 500
	replyBadArguments = 501
)

// command is one command of the console.
type command struct {
	name    string
	args    string // usage of the arguments
	help    string
	minArgs int
	run     func(s *Server, args []string) (lines []string, err error) // args[0] is the name
}

// commands holds the commands in the order in which help lists them.
var commands []command

func init() {
	commands = []command{
		{"show", "status|calls|groups|exchanges|associations", "what the call server holds and knows", 1, (*Server).showCommand},
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

// acceptConsole serves the connections of operators.
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

// Limits of a console connection: time without a command, and length of a command line in bytes.
const (
	consoleIdleTimeout = 10 * time.Minute
	maxCommandLength   = 512
)

// serveConsole executes the commands of one connection.
func (s *Server) serveConsole(conn net.Conn) {
	closed := make(chan struct{})
	defer close(closed)
	go func() { // closes the connection when the console or the server ends
		select {
		case <-s.stop:
		case <-closed:
		}
		conn.Close()
	}()
	console := textproto.NewConn(conn)
	_ = console.PrintfLine("%d finchlatch %s", replyGreeting, s.cfg.Router.Name)
	for {
		_ = conn.SetDeadline(time.Now().Add(consoleIdleTimeout))
		line, err := console.ReadLine()
		if err != nil {
			return
		}
		if len(line) > maxCommandLength {
			_ = console.PrintfLine("%d line is too long", replyBadCommand)
			continue
		}
		if !s.answerConsole(console, strings.Fields(line)) {
			return
		}
	}
}

// answerConsole executes one command. It returns false if the console closes.
func (s *Server) answerConsole(console *textproto.Conn, words []string) bool {
	if len(words) == 0 {
		return console.PrintfLine("%d no command; help lists them", replyBadCommand) == nil
	}
	verb := strings.ToLower(words[0])
	switch verb {
	case "quit":
		_ = console.PrintfLine("%d bye", replyBye)
		return false
	case "help":
		var lines []string
		for _, command := range commands {
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("%-8s %-50s %s", command.name, command.args, command.help)))
		}
		return writeLines(console, lines)
	}
	index := slices.IndexFunc(commands, func(candidate command) bool { return candidate.name == verb })
	if index < 0 {
		return console.PrintfLine("%d %q is no command; help lists them", replyBadCommand, verb) == nil
	}
	if len(words)-1 < commands[index].minArgs {
		return console.PrintfLine("%d usage: %s %s", replyBadArguments, verb, commands[index].args) == nil
	}
	lines, err := commands[index].run(s, words)
	switch {
	case err == ErrStopped:
		_ = console.PrintfLine("%d %v", replyStopped, err)
		return false
	case err != nil:
		return console.PrintfLine("%d %v", replyBadArguments, err) == nil
	case lines != nil:
		return writeLines(console, lines)
	}
	return console.PrintfLine("%d done", replyDone) == nil
}

// writeLines writes a multi-line reply.
func writeLines(console *textproto.Conn, lines []string) bool {
	if console.PrintfLine("%d %d lines follow", replyLines, len(lines)) != nil {
		return false
	}
	writer := console.DotWriter()
	for _, line := range lines {
		fmt.Fprintln(writer, line)
	}
	return writer.Close() == nil
}

// maxShownCalls is how many calls a console shows.
const maxShownCalls = 500

// showCommand returns the lines of one view of the call server.
func (s *Server) showCommand(args []string) (lines []string, err error) {
	lines = []string{}
	add := func(format string, values ...any) { lines = append(lines, fmt.Sprintf(format, values...)) }
	views := map[string]func(r *router.Router, now time.Duration){
		"status": func(r *router.Router, now time.Duration) {
			activeCalls, unanswered := r.CallCounts()
			add("exchange %s up %v draining %v", r.Name(), (now - Epoch).Round(time.Second), r.Draining())
			add("calls %d unanswered %d", activeCalls, unanswered)
			add("stands %d refused %d failed %d hung-up %d", s.finalAnswers[0], s.finalAnswers[1], s.finalAnswers[2], s.finalAnswers[3])
		},
		"calls": func(r *router.Router, now time.Duration) {
			for _, call := range r.Calls(now, maxShownCalls) {
				add("call %d class %s called %s from %s to %s attempts %d %s %v", call.ID, call.Class, call.Called,
					orDash(call.From), orDash(call.To), call.Attempts, call.State, call.Age.Round(time.Millisecond))
			}
		},
		"groups": func(r *router.Router, now time.Duration) {
			for _, group := range r.Groups() {
				add("group %s %s size %d usable %d spare %d out %d in %d releasing %d resetting %d blocked %d", group.Peer,
					group.Kind, group.Size, group.Total, group.Spare, group.Out, group.In, group.Releasing, group.Resetting,
					group.Blocked)
			}
		},
		"exchanges": func(r *router.Router, now time.Duration) {
			for _, exchange := range r.Exchanges() {
				started := "long ago"
				if exchange.Started > 0 {
					started = (now - exchange.Started).Round(time.Millisecond).String() + " ago"
				}
				add("exchange %s %s started %s", exchange.Name, stateNames[exchange.State], started)
			}
		},
		"associations": func(r *router.Router, now time.Duration) {
			for _, association := range r.Associations() {
				add("association %s/%d %v %v sent %d held %d", association.Peer, association.ASP,
					association.State, association.AS, association.Sent, association.HeldMessages)
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

// orDash returns a name, or a dash if it is empty.
func orDash(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

// stateNames holds the states of an exchange as the console shows them.
var stateNames = map[logic.OfficeState]string{logic.Ready: "ready", logic.Draining: "draining", logic.Gone: "gone"}

// drainCommand starts or ends the drain of this call server, or reports another exchange as draining or ready.
func (s *Server) drainCommand(args []string) ([]string, error) {
	draining := strings.ToLower(args[0]) == "drain"
	if len(args) > 1 {
		state := "ready"
		if draining {
			state = "draining"
		}
		return s.listCommand([]string{"list", "update", args[1], state})
	}
	kind := router.InUndrain
	if draining {
		kind = router.InDrain
	}
	return nil, s.apply(router.Input{Kind: kind})
}

// listCommand applies an update of service discovery for one exchange. The time of its start is given as an age, since clocks
// may differ.
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
	var listErr error
	err := s.Do(func(r *router.Router, now time.Duration) {
		exchange, ok := r.Exchange(args[2])
		if !ok {
			listErr = fmt.Errorf("no exchange %q", args[2])
			return
		}
		office := logic.Office{ID: exchange.Name, Exchange: exchange.Number, State: state}
		if age >= 0 {
			office.Started = max(0, now-age)
		} else {
			for _, view := range r.Exchanges() {
				if view.Name == exchange.Name {
					office.Started = view.Started
				}
			}
		}
		s.applyOnLoop(router.Input{At: now, Kind: router.InExchanges, ListKind: logic.ListUpdate, List: []logic.Office{office}})
	})
	if err == nil {
		err = listErr
	}
	return nil, err
}

// parseAmount parses a number of circuits or calls, or a share of them such as 40%.
func parseAmount(text string) (count int, share float64, err error) {
	if percentage, ok := strings.CutSuffix(text, "%"); ok {
		if share, err = strconv.ParseFloat(percentage, 64); err == nil && share >= 0 && share <= 100 {
			return 0, share / 100, nil
		}
	} else if count, err = strconv.Atoi(text); err == nil && count > 0 {
		return count, 0, nil
	}
	return 0, 0, fmt.Errorf("%q is no number of circuits and no share such as 40%%", text)
}

// applyToPeer applies an input to the peer args[1], with the amount args[2] as its count. A share refers to what total
// returns for the trunk group of the peer.
func (s *Server) applyToPeer(args []string, total func(g router.GroupView) int, input router.Input) ([]string, error) {
	count, share, err := parseAmount(args[2])
	if err != nil {
		return nil, err
	}
	changed, found := 0, false
	err = s.Do(func(r *router.Router, now time.Duration) {
		peerID, ok := r.Peer(args[1])
		if !ok {
			return
		}
		found = true
		if count == 0 {
			count = int(share*float64(total(r.Groups()[peerID])) + 0.5)
		}
		input.At, input.Peer, input.Count = now, peerID, int64(count)
		changed = s.applyOnLoop(input)
	})
	if err == nil && !found {
		err = fmt.Errorf("no peer %q", args[1])
	}
	return []string{fmt.Sprintf("changed %d", changed)}, err
}

// blockCommand blocks or unblocks circuits, for maintenance or as a hardware failure.
func (s *Server) blockCommand(args []string) ([]string, error) {
	reason, blocked := isup.Maintenance, strings.ToLower(args[0]) == "block"
	if len(args) > 3 {
		if strings.ToLower(args[3]) != "hardware" {
			return nil, fmt.Errorf("%q: only hardware may follow", args[3])
		}
		reason = isup.Hardware
	}
	groupSize := func(group router.GroupView) int { return group.Size }
	return s.applyToPeer(args, groupSize, router.Input{Kind: router.InBlock, Group: reason, Blocked: blocked})
}

// resetCommand resets circuits that carry calls.
func (s *Server) resetCommand(args []string) ([]string, error) {
	groupCalls := func(group router.GroupView) int { return group.Out + group.In }
	return s.applyToPeer(args, groupCalls, router.Input{Kind: router.InReset})
}
