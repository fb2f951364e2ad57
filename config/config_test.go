package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"finchlatch/m3ua"
)

const validSettings = `{
  local me = self,
  name: 'a', listen: '127.0.0.1:2905', console: '127.0.0.1:0',
  exchanges: [{ name: 'a', number: 1, point_code: 101 }, { name: 'b', number: 2, point_code: 102 }],
  peers: [
    { name: 'b', kind: 'exchange', circuits: { first: 30, count: 4 }, dial: '127.0.0.1:2915' },
    { name: 'counters', kind: 'client', point_code: 2001, circuits: { first: 1, count: 31 }, asp_id: 7, routing_context: 5 },
  ],
  classes: [{ name: 'one', category: 10, worth: 1, aim: '200ms', patience: '1s', deadline: '3s', hold: '5s', width: 1 }],
  numbers: [{ prefix: '551', exchange: 'a' }, { prefix: '552', exchange: 'b', class: 'one' }],
  rules: { attempts: 3, release: '200ms', drain_grace: '1s', tip_after: '3s', overload: 2, cold_from: 0.3, cold_for: '9s' },
}`

func TestValidSettings(t *testing.T) {
	c, err := Evaluate("good.jsonnet", validSettings, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, counters := c.Router.Peers[0], c.Router.Peers[1]
	if got := b.Circuits; len(got) != 4 || got[0] != 30 || got[2] != 33 {
		t.Errorf("circuits %v: time slot 0 of the second system carries no call", got)
	}
	if b.PointCode != 102 || b.ASPs[0].Role != m3ua.RoleIPSPClient || counters.ASPs[0].Role != m3ua.RoleSGP || counters.ASPs[0].RoutingContext != 5 {
		t.Errorf("peers %+v, %+v", b, counters)
	}
	if c.LinkByASPID[7] != 1 || c.DialAddresses[0] != "127.0.0.1:2915" || c.DrainTimeout != 2*time.Second || c.Router.Numbering[1].Class != 0 {
		t.Errorf("%+v", c)
	}
}

// Each kind of error is reported with file, path and reason, and all errors of a file are reported at once.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		setting     string // in the valid settings
		replacement string
		want        string // part of the error
	}{
		{"name: 'a', listen", "name: 'z', listen", "bad.jsonnet: name: z is not among"},
		{"release: '200ms'", "release: '199ms'", "rules.release: 199ms breaks rule 5"},
		{"drain_grace: '1s'", "drain_grace: '0s'", "rules.drain_grace: rule 3"},
		{"cold_from: 0.3", "cold_from: 1.3", "rules: rule 4"},
		{"point_code: 102", "point_code: 99999", "exchanges[1].point_code: 99999"},
		{"point_code: 102", "point_code: 101", "point code 101 is not free"},
		{"name: 'b', number: 2", "name: 'a', number: 2", "exchanges[1].name: a is a duplicate"},
		{"kind: 'client'", "kind: 'friend'", `peers[1].kind: "friend"`},
		{"first: 30, count: 4", "first: 4090, count: 40", "peers[0].circuits: 40 circuits from 4090"},
		{"dial: '127.0.0.1:2915'", "dial: 'nowhere'", `peers[0].dial: "nowhere"`},
		{"listen: '127.0.0.1:2905', ", "", "listen: peers without dial"},
		{"patience: '1s'", "patience: '100ms'", "classes[0].patience: 100ms is not longer than the aim"},
		{"deadline: '3s'", "deadline: '500ms'", "classes[0].deadline"},
		{"worth: 1", "worth: 0", "classes[0].worth"},
		{"width: 1", "width: 31", "31 circuits"},
		{"hold: '5s'", "hold: 5", "not a duration"},
		{"hold: '5s'", "hold: '-5s'", "not a duration"},
		{"exchange: 'b', class", "exchange: 'q', class", `numbers[1].exchange: "q"`},
		{"class: 'one'", "class: 'two'", `numbers[1].class: "two"`},
		{"prefix: '551'", "prefix: '55x'", "55x"},
		{"prefix: '551'", "prefix: '552'", "listed twice"},
		{"asp_id: 7", "asps: [7, 7]", "peers[1].asp_id: 7 is used by another process too"},
		{"asp_id: 7", "asps: [7], asp_id: 8", "peers[1].asps: only clients"},
		{"asp_id: 7", "asps: [7, 8], needed: 3", "peers[1].needed: 3 of 2 processes"},
		{"asp_id: 7", "mode: 'any'", `peers[1].mode: "any"`},
		{"attempts: 3", "attempts: 99", "rules.attempts: 99"},
		{"attempts: 3", "attempts: 'three'", "string where int is expected"},
		{"attempts: 3", "tries: 3", `unknown field "tries"`},
		{"rules: {", "timers: { t1: '5s', t5: '2s' }, rules: {", "timers.t5"},
		{"rules: {", "limits: { message_bytes: 7 }, rules: {", "limits.message_bytes"},
		{"rules: {", "rules: {{", "bad.jsonnet:"},
	} {
		text := strings.Replace(validSettings, c.setting, c.replacement, 1)
		if text == validSettings {
			t.Fatalf("the valid settings do not contain %s", c.setting)
		}
		if _, err := Evaluate("bad.jsonnet", text, nil); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.replacement, err, c.want)
		}
	}
	invalid := strings.NewReplacer("worth: 1", "worth: -1", "200ms', drain", "1ms', drain", "kind: 'client'", "kind: ''").Replace(validSettings)
	if _, err := Evaluate("bad.jsonnet", invalid, nil); err == nil || strings.Count(err.Error(), "\n") != 2 {
		t.Errorf("want three errors: %v", err)
	}
}

func TestLoadWithVariables(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.jsonnet")
	if err := os.WriteFile(path, []byte(strings.Replace(validSettings, "'127.0.0.1:2905'", "std.extVar('listen')", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(path, map[string]string{"listen": "127.0.0.1:4711"})
	if err != nil || c.ListenAddress != "127.0.0.1:4711" {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := Load(path, nil); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("without the variable: %v", err)
	}
	if _, err := Load(path+"x", nil); err == nil {
		t.Error("a missing file was loaded")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{"name":"a","exchanges":[{"name":"a","number":1,"point_code":1}]}`)
	f.Add(`{"classes":[{"width":99}],"peers":[{"circuits":{"first":65535,"count":-1}}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("fuzz.json", text)
		if (c == nil) == (err == nil) {
			t.Errorf("%v and %v", c, err)
		}
	})
}
