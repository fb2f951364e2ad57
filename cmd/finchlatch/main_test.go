package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// execute runs the command line and returns its output, standard error included.
func execute(t *testing.T, ctx context.Context, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.ExecuteContext(ctx)
	return out.String(), err
}

// testSettings are those of a call server with one peer.
const testSettings = `{
  name: 'a', console: std.extVar('console'),
  exchanges: [{ name: 'a', number: 1, point_code: 101 }, { name: 'b', number: 2, point_code: 102 }],
  peers: [{ name: 'b', kind: 'exchange', circuits: { first: 1, count: 4 }, dial: '127.0.0.1:1' }],
  classes: [{ name: 'one', category: 10, worth: 1, aim: '200ms', patience: '1s', deadline: '3s', hold: '5s', width: 1 }],
  numbers: [{ prefix: '551', exchange: 'a' }, { prefix: '552', exchange: 'b' }],
  rules: { attempts: 3, release: '200ms', drain_grace: '1s', tip_after: '3s', overload: 2, cold_from: 0.3, cold_for: '9s' },
}`

// writeFile creates a file in a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Valid settings are summarised; an invalid file is named with the setting and the rule it breaks.
func TestCheck(t *testing.T) {
	path := writeFile(t, "a.jsonnet", testSettings)
	out, err := execute(t, t.Context(), "check", path, "--var", "console=127.0.0.1:0")
	if err != nil || !strings.Contains(out, "good: exchange a, 2 exchanges, 1 peers") {
		t.Errorf("%s, %v", out, err)
	}
	bad := writeFile(t, "bad.jsonnet", strings.Replace(testSettings, "release: '200ms'", "release: '20ms'", 1))
	out, err = execute(t, t.Context(), "check", path, bad, "--var", "console=127.0.0.1:0")
	if err == nil || !strings.Contains(out, "bad.jsonnet: rules.release: 20ms breaks rule 5") {
		t.Errorf("%s, %v", out, err)
	}
}

// A call server replies on its console, reports an unknown command, and ends without an error when its context is cancelled,
// as SIGTERM does.
func TestServeAndControl(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	path := writeFile(t, "a.jsonnet", testSettings)
	go func() {
		c := rootCommand()
		c.SetArgs([]string{"serve", path, "--var", "console=" + addr, "--log", "error"})
		ended <- c.ExecuteContext(ctx)
	}()
	out, deadline := "", time.Now().Add(10*time.Second)
	for !strings.Contains(out, "exchange a up") {
		if time.Now().After(deadline) {
			t.Fatalf("no reply from the console: %v", err)
		}
		out, err = execute(t, t.Context(), "ctl", "--console", addr, "show", "status")
	}
	if out, err = execute(t, t.Context(), "ctl", "--console", addr, "show", "weather"); err == nil {
		t.Errorf("no error for an unknown command: %s", out)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("serve: %v", err)
	}
}

// Runs without violations are counted.
func TestSwarm(t *testing.T) {
	out, err := execute(t, t.Context(), "swarm", "--runs", "3", "--from", "1577")
	if err != nil || !strings.Contains(out, "3 runs from seed 1577, 0 of them bad") {
		t.Errorf("%s, %v", out, err)
	}
}

// A scenario runs from its file. An error about an invalid file names it.
func TestScenario(t *testing.T) {
	found := filepath.Join("..", "..", "model", "testdata", "found-1091.json")
	if out, err := execute(t, t.Context(), "swarm", "--scenario", found); err != nil || !strings.Contains(out, "rules kept") {
		t.Errorf("%s, %v", out, err)
	}
	bad := writeFile(t, "bad.json", `{ exchanges: 3, classes: [{}], script: { len: '1s', steps: [{ kind: 'jump', size: 99, len: '1s' }] } }`)
	if out, err := execute(t, t.Context(), "swarm", "--scenario", bad); err == nil || !strings.Contains(err.Error(), "bad.json: steps[0].size: 99") {
		t.Errorf("%s, %v", out, err)
	}
}

// An experiment runs once, its results are stored, and its report is written.
func TestLab(t *testing.T) {
	dir := t.TempDir()
	file := writeFile(t, "e.jsonnet", `{ name: 'e', length: '4s', warmup: '1s', seeds: 1, exchanges: [3], loads: [0.8, 1.2], rate: 6, policies: ['module', 'direct'] }`)
	args := []string{"lab", file, "--store", filepath.Join(dir, "lab.db"), "--out", filepath.Join(dir, "out")}
	first, err := execute(t, t.Context(), args...)
	if err != nil || strings.Count(first, "\n") != 5 {
		t.Fatalf("%s, %v", first, err)
	}
	if again, err := execute(t, t.Context(), args...); err != nil || again != first { // the cost column included: nothing was run again
		t.Errorf("%s, %v", again, err)
	}
	if page, err := os.ReadFile(filepath.Join(dir, "out", "index.html")); err != nil || len(page) < 10000 {
		t.Errorf("%d octets, %v", len(page), err)
	}
	if out, err := execute(t, t.Context(), "lab", "/nowhere"); err == nil {
		t.Errorf("%s", out)
	}
}

// A plan from a CSV table is printed and written, and the settings with its circuits pass the check.
func TestDimension(t *testing.T) {
	dir := t.TempDir()
	rules := writeFile(t, "rules.jsonnet", `{ classes: [{ name: 'one', width: 1, hold: '5s', target: 0.01 }], exchanges: [{ number: 1, name: 'a' }, { number: 2, name: 'b' }] }`)
	table := writeFile(t, "traffic.csv", "from,to,class,erlangs,circuits\na,b,one,12.0,4\n")
	base := writeFile(t, "a.jsonnet", testSettings)
	out, err := execute(t, t.Context(), "dimension", rules, "--csv", table, "--out", dir, "--settings", base, "--exchange", "a", "--what-if", "class one=1.5")
	if err != nil || !strings.Contains(out, "a-b      4      20  +16") || !strings.Contains(out, "if class one=1.5: all circuits cost 28.0") {
		t.Fatalf("%s, %v", out, err)
	}
	if out, err := execute(t, t.Context(), "check", filepath.Join(dir, "a.jsonnet"), "--var", "console=127.0.0.1:0"); err != nil {
		t.Errorf("%s, %v", out, err)
	}
	if page, err := os.ReadFile(filepath.Join(dir, "index.html")); err != nil || len(page) < 5000 {
		t.Errorf("%d octets, %v", len(page), err)
	}
	for _, args := range [][]string{{"dimension", rules}, {"dimension", rules, "--store", "/nowhere"}, {"dimension", rules, "--csv", table, "--what-if", "rain=1"}, {"dimension", table, "--csv", table}} {
		if out, err := execute(t, t.Context(), args...); err == nil {
			t.Errorf("%v: %s", args, out)
		}
	}
}

// A fault schedule runs on loopback and its report says that the rules were kept. Invalid arguments are errors.
func TestTry(t *testing.T) {
	script := writeFile(t, "day.jsonnet", `{ len: '1s', steps: [{ at: '300ms', kind: 'jump', len: '300ms', size: 2 }] }`)
	out, err := execute(t, t.Context(), "try", "--script", script, "--exchanges", "3", "--rate", "30")
	if err != nil || !strings.Contains(out, "rules 1 to 5 kept") || !strings.Contains(out, "jump") {
		t.Errorf("%s, %v", out, err)
	}
	for _, args := range [][]string{{"try", "--exchanges", "1"}, {"try", "--script", "/nowhere"}, {"try", "--log", "loud"},
		{"serve", "/nowhere"}, {"serve"}, {"ctl", "--console", "127.0.0.1:1", "help"}} {
		if out, err := execute(t, t.Context(), args...); err == nil {
			t.Errorf("%v: %s", args, out)
		}
	}
	if out, err := execute(t, t.Context(), "version"); err != nil || !strings.HasPrefix(out, "finchlatch ") {
		t.Errorf("%s, %v", out, err)
	}
}
