package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"finchlatch/feed"
)

// callServer is a process of the call server.
type callServer struct {
	name, addr string
	cmd        *exec.Cmd
	ended      chan struct{}
	log        *os.File
}

// settings returns the settings of a small deployment with three exchanges, for the call server of exchange 0. effect is that of its
// one class.
func settings(effect string) map[string]any {
	return map[string]any{
		"tick_ns": 1000000, "instances": 3, "my_number": 0,
		"classes": []map[string]any{{"name": "status-check", "worth": 1, "late_share": 0.25, "target_ns": 1200000000,
			"deadline_ns": 9000000000, "effect": effect, "group": "all", "key_ttl_ns": 5000000000, "stream": true}},
		"family_info": map[string]any{"home_no": 0, "layout": "meshed", "mean_hold_ns": []int64{12000000000},
			"channels_needed": []int{1}, "release_ns": 200000000},
		"limits": map[string]any{"cancel": true, "probes": true, "max_attempts": 5, "connect_timeout_ns": 500000000,
			"conn_idle_ns": int64(600000000000), "max_open": 2000, "max_retry_after_ns": 2000000000},
		"reporting": map[string]any{"fields": []string{"spare", "total"}},
		"rules": map[string]any{"drain_grace_ns": 1000000000, "tip_after_ns": int64(3000000000), "overload_factor": 2.0,
			"cold_from": 0.3, "cold_ns": int64(10000000000)},
	}
}

// runCommand returns the command of the deploy file that starts a call server.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(match[1]), nil
}

// startServer starts a call server at an address, with the events of a journal up to now, and waits until it is ready.
func (r *rig) startServer(addr string, j *journal, effect string) (*callServer, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	s := &callServer{name: fmt.Sprintf("process %d", len(r.servers)+1), addr: addr, ended: make(chan struct{})}
	known := j.known()
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": addr, "journal": j.addr,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": map[string]any{"cores": 1.0, "memory_mb": r.memoryMB, "sockets": 512},
		"known": known, "settings": settings(effect)})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.folder, strings.ReplaceAll(s.name, " ", "-")+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	if s.log, err = os.Create(path + ".log"); err != nil {
		return nil, err
	}
	s.cmd = exec.Command("/bin/sh", "-c", command)
	s.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME=n0", "ROUTER_LISTEN="+addr)
	s.cmd.Stdout, s.cmd.Stderr = s.log, s.log
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = s.cmd.Wait()
		close(s.ended)
	}()
	r.servers = append(r.servers, s)
	r.logf("call server: %s started, known up to event %d", s.name, known.Pos)
	if !waitFor(10*time.Second, func() bool { return r.passesTest(addr) }) {
		return nil, fmt.Errorf("%s did not pass a test", s.name)
	}
	r.logf("call server: %s has passed a test", s.name)
	return s, nil
}

// running reports whether the process of a call server runs.
func (s *callServer) running() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// kill kills a call server outright, and waits for its end.
func (r *rig) kill(s *callServer) {
	if s.running() {
		_ = s.cmd.Process.Kill()
		<-s.ended
		r.logf("call server: %s killed", s.name)
	}
}

// killServers kills the call servers that still run, and copies the lines of their logs to the record.
func (r *rig) killServers() {
	for _, s := range r.servers {
		r.kill(s)
		s.log.Close()
		text, _ := os.ReadFile(s.log.Name())
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			r.mu.Lock()
			fmt.Fprintf(r.record, "log of %s: %s\n", s.name, line)
			r.mu.Unlock()
		}
	}
}

// member returns the entry of an office in a list of the journal service.
func member(id, addr string, cell int, phase feed.Phase, upSince int64) feed.Member {
	return feed.Member{ID: id, Addr: addr, Zone: "east", Cell: cell, Phase: phase, UpSince: upSince}
}
