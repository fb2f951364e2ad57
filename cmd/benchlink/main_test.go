package main

import (
	"bytes"
	"strings"
	"testing"
)

// startLine starts instance 3, with one class of calls.
const startLine = "born\ti=3\tsalt=5\tclasses.count=1\tclasses.0.name=status\tclasses.0.effect=safe\t" +
	"classes.0.target_ns=1000000000\tclasses.0.deadline_ns=9000000000\tclasses.0.worth=1\tinstances=2\t" +
	"family_info.home_no=0\tfamily_info.layout=meshed\tfamily_info.mean_hold_ns=9000000000\t" +
	"family_info.channels_needed=1\treporting.fields=spare,total\ttick_ns=5000000\tunheard_of=1\n"

// rosterLines send instance 3 a snapshot of two offices and an update with a third one, under the same roster number.
const rosterLines = "roster\tlist=0\tmembers=2\noffice\thealth=Ready\tcell=0\toffice=a:1\noffice\thealth=Ready\tcell=1\toffice=b:1\n" +
	"targets\ti=3\tform=restored\tgeneration=1\tlist=0\n" +
	"roster\tlist=0\tmembers=1\noffice\thealth=Ready\tcell=2\toffice=c:1\ntargets\ti=3\tform=update\tgeneration=2\tlist=0\n"

// incomingLine offers a call to an exchange.
func incomingLine(dest, class string) string {
	return "incoming\ti=3\tjob=" + dest + "1\tflags=0\ttime_left_ns=3000000000\tdest=" + dest + "\tcircuits=1\tqos=" + class + "\n"
}

func TestReplies(t *testing.T) {
	for name, tt := range map[string]struct{ input, want string }{
		"empty batch": {"tick\tclock_ns=1\tn=1\nflush\n", "finished\tn=1\n"},
		"roster number used again in one batch": {"tick\tclock_ns=1\tn=2\n" + startLine + rosterLines + incomingLine("1", "status") + incomingLine("2", "status") +
			"flush\n", "assign\ti=3\tjob=21\toffice=c:1\twithin_ns="},
		"unknown class": {"tick\tclock_ns=1\tn=2\n" + startLine + rosterLines + incomingLine("1", "odd") + "flush\n", "not_now\ti=3\tjob=11"},
		"stop and start in one batch": {"tick\tclock_ns=1\tn=2\n" + startLine + rosterLines + "shutdown\ti=3\n" + startLine + rosterLines +
			incomingLine("1", "status") + "flush\n", "assign\ti=3\tjob=11\toffice=b:1"},
		"after stop": {"tick\tclock_ns=1\tn=2\n" + startLine + rosterLines + "shutdown\ti=3\n" + incomingLine("1", "status") + "flush\n", "finished"},
	} {
		var output bytes.Buffer
		if err := serve(strings.NewReader(tt.input), &output); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !strings.Contains(output.String(), tt.want) {
			t.Errorf("%s: reply %q lacks %q", name, output.String(), tt.want)
		}
	}
}

func TestMalformedInput(t *testing.T) {
	for input, want := range map[string]string{
		"flush\n":                                                    "line 1: expected tick",
		"tick\tclock_ns=1\n":                                         "n is missing",
		"tick\tclock_ns=x\tn=1\n":                                    "bad clock_ns",
		"tick\tclock_ns=1\tn=1\nwhat\ti=1\n":                         "line 2: unknown message",
		"tick\tclock_ns=1\tn=1\nhangup\ti=1\n":                       "job is missing",
		"tick\tclock_ns=1\tn=1\nhangup\tjunk\n":                      "not name=value",
		"tick\tclock_ns=1\tn=1\ntargets\ti=1\tform=update\tlist=7\n": "bad list",
		"tick\tclock_ns=1\tn=1\n":                                    "input ended inside a batch",
		"tick\tclock_ns=1\tn=1":                                      "input ended inside a line",
		"tick\tclock_ns=1\tn=1\nborn\ti=1\tsalt=1\nflush\n":          "Classes",
	} {
		var output bytes.Buffer
		err := serve(strings.NewReader(input), &output)
		if err == nil || !strings.Contains(err.Error(), want) || output.Len() > 0 {
			t.Errorf("%q: error %v, want %q; reply %q", input, err, want, output.String())
		}
	}
}

func TestLongBatch(t *testing.T) {
	var input, output bytes.Buffer
	input.WriteString("tick\tclock_ns=1\tn=9\n" + startLine + rosterLines)
	for i := 0; i < 30000; i++ {
		input.WriteString("deadline_hit\ti=3\tmark=c77\n")
	}
	input.WriteString("flush\n")
	if err := serve(&input, &output); err != nil || !strings.HasSuffix(output.String(), "finished\tn=9\n") {
		t.Errorf("error %v, reply ends %q", err, output.String()[max(0, output.Len()-40):])
	}
}
