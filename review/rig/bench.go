package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bench holds what the stand-ins of a case share: the record, a temporary folder and the processes.
type bench struct {
	root, run string
	dir       string // temporary folder
	started   time.Time
	mu        sync.Mutex
	record    *os.File
	servers   []*callServer
}

func newBench(root, run, recordPath string) (*bench, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &bench{root: root, run: run, dir: dir, started: time.Now(), record: record}, nil
}

// close ends all processes and removes the temporary folder.
func (b *bench) close() {
	b.mu.Lock()
	servers := b.servers
	b.mu.Unlock()
	for _, server := range servers {
		server.kill()
	}
	os.RemoveAll(b.dir)
	b.record.Close()
}

// note writes a line to the record.
func (b *bench) note(who, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\r\n", " | ")
	fmt.Fprintf(b.record, "%8.3f %-14s %s\n", time.Since(b.started).Seconds(), who, text)
}

// fail ends a case that cannot run.
func (b *bench) fail(format string, args ...any) {
	b.note("rig", format, args...)
	panic(stopCase{})
}

// freeAddr returns a loopback address on which nothing listens.
func (b *bench) freeAddr() string {
	listener := b.listen()
	defer listener.Close()
	return listener.Addr().String()
}

// listen opens a listener on a free loopback port.
func (b *bench) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.fail("listen: %v", err)
	}
	return listener
}

// member is an entry of the list of offices, in the form of the journal service.
type member struct {
	ID       string `json:"id"`
	Addr     string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
}

// event is one numbered event of the journal service.
type event struct {
	Pos   int   `json:"pos"`
	Hosts hosts `json:"hosts"`
}

type hosts struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// settings are those of a small deployment with three exchanges, in the form of the simulator's first message.
func settings() map[string]any {
	second := int64(time.Second)
	class := func(name string, worth float64, aim int64) map[string]any {
		return map[string]any{"name": name, "worth": worth, "late_share": 0.25, "target_ns": aim, "deadline_ns": 9 * second,
			"effect": "safe", "group": "all", "key_ttl_ns": 5 * second, "stream": true}
	}
	return map[string]any{
		"tick_ns": 5000000, "instances": 3, "my_number": 0, "kind_of_service": "trunks", "discovery": "pushed",
		"classes": []any{class("status-check", 1, 1200000000), class("receipt-review", 3, 1500000000)},
		"family_info": map[string]any{"home_no": 0, "layout": "meshed", "mean_hold_ns": []int64{12 * second, 12 * second},
			"channels_needed": []int64{1, 2}, "release_ns": 200000000, "t1_ns": 400000000},
		"limits": map[string]any{"cancel": true, "probes": false, "peers": false, "second_copies": false, "retry_after": false,
			"max_attempts": 5, "connect_timeout_ns": 500000000, "max_open": 20000, "max_retry_after_ns": 2 * second,
			"conn_idle_ns": 600 * second},
		"reporting": map[string]any{"fields": []string{"spare", "total"}, "how": "on_probe"},
		"rules": map[string]any{"drain_grace_ns": second, "tip_after_ns": 3 * second, "overload_factor": 2.0, "cold_from": 0.29,
			"cold_ns": 15 * second, "answer_slack_ns": 20000000},
	}
}

// callServer is one process of the project's call server.
type callServer struct {
	b      *bench
	listen string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// startCallServer starts a call server that knows the offices of an event, and waits until it has passed a test.
func (b *bench) startCallServer(listen, journal string, known event) *callServer {
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1.0, "memory_mb": 48, "sockets": 256},
		"journal": journal, "known": map[string]any{"pos": known.Pos, "entries": []event{known}}, "settings": settings()})
	if err != nil {
		b.fail("configuration: %v", err)
	}
	path := filepath.Join(b.dir, "config.json")
	if err := os.WriteFile(path, config, 0o644); err != nil {
		b.fail("configuration: %v", err)
	}
	logPath := filepath.Join(b.dir, "log.txt")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		b.fail("log: %v", err)
	}
	defer log.Close()
	server := &callServer{b: b, listen: listen, cmd: exec.Command("/bin/sh", "-c", b.run), ended: make(chan struct{})}
	server.cmd.Dir, server.cmd.Stdout, server.cmd.Stderr = b.root, log, log
	server.cmd.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+listen, "ROUTER_CONFIG="+path, "TMPDIR="+b.dir)
	server.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := server.cmd.Start(); err != nil {
		b.fail("call server: %v", err)
	}
	b.mu.Lock()
	b.servers = append(b.servers, server)
	b.mu.Unlock()
	b.note("call server", "started, process %d: %s", server.cmd.Process.Pid, b.run)
	go func() {
		err := server.cmd.Wait()
		b.note("call server", "process has ended: %v", err)
		if text, readErr := os.ReadFile(logPath); readErr == nil {
			for _, line := range strings.Split(string(text), "\n") {
				if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "goroutine ") || strings.HasPrefix(line, "finchlatch/") {
					b.note("its log", "%s", line)
				}
			}
		}
		close(server.ended)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if server.passesTest() {
			b.note("call server", "has passed a test")
			return server
		}
	}
	b.fail("the call server is not ready")
	return nil
}

// passesTest reports whether the call server answers OPTIONS on a new connection with 200 within a second.
func (c *callServer) passesTest() bool {
	conn, err := net.DialTimeout("tcp", c.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
	answer := make([]byte, 512)
	n, _ := conn.Read(answer)
	return strings.HasPrefix(string(answer[:n]), "SIP/2.0 200")
}

// running reports whether the process has not ended.
func (c *callServer) running() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for its end.
func (c *callServer) kill() {
	if c.running() {
		_ = c.cmd.Process.Kill()
		<-c.ended
	}
}
