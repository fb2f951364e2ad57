package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The danger: a list of tests that may fail grows, or hides tests that would pass.
func TestKnownRedPassesOverJustWhatFails(t *testing.T) {
	script, err := filepath.Abs("../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module red\n\ngo 1.26\n", "red_test.go": "package red\n\nimport \"testing\"\n\n" +
		"func TestRed(t *testing.T) { t.Error(\"red\") }\n\nfunc TestRedder(t *testing.T) { t.Error(\"red\") }\n\nfunc TestGreen(t *testing.T) {}\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const red, redder = "./. TestRed issue 31: a cause\n", "./. TestRedder issue 31: a cause\n"
	for name, c := range map[string]struct {
		list, pattern string
		fails         bool
	}{
		"no file":        {},
		"one":            {list: red, pattern: "^TestRed$"},
		"two, no end":    {list: red + strings.TrimSpace(redder), pattern: "^TestRed$|^TestRedder$"},
		"passes":         {list: "./. TestGreen issue 31: a cause\n", fails: true},
		"does not exist": {list: "./. TestBlue issue 31: a cause\n", fails: true},
		"no issue":       {list: "./. TestRed a cause\n", fails: true},
		"four":           {list: red + redder + red + redder, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if c.list != "" {
				if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command("bash", script, file)
			cmd.Dir = dir
			var told strings.Builder
			cmd.Stderr = &told
			out, err := cmd.Output()
			if (err != nil) != c.fails || !c.fails && strings.TrimSpace(string(out)) != c.pattern {
				t.Errorf("%v: %q, told %q", err, out, told.String())
			}
			if c.pattern != "" && !strings.Contains(told.String(), "known red: "+strings.TrimSpace(strings.Split(c.list, "\n")[0])) {
				t.Errorf("the line is not printed: %q", told.String())
			}
		})
	}
}
