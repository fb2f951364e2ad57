package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The list of tests that CI may skip must not grow beyond three, nor hide tests that pass or do not exist: they would no
// longer guard against a regression.
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
	for name, test := range map[string]struct {
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
			if test.list != "" {
				if err := os.WriteFile(file, []byte(test.list), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			cmd := exec.Command("bash", script, file)
			cmd.Dir = dir
			var stderr strings.Builder
			cmd.Stderr = &stderr
			out, err := cmd.Output()
			if (err != nil) != test.fails || !test.fails && strings.TrimSpace(string(out)) != test.pattern {
				t.Errorf("%v: %q, standard error %q", err, out, stderr.String())
			}
			if test.pattern != "" && !strings.Contains(stderr.String(), "known red: "+strings.TrimSpace(strings.Split(test.list, "\n")[0])) {
				t.Errorf("the line is not printed: %q", stderr.String())
			}
		})
	}
}
