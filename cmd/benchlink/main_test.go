package main

import (
	"bytes"
	"strings"
	"testing"
)

const born = "born\ti=3\tsalt=5\tclasses.count=1\tclasses.0.name=status\tclasses.0.effect=safe\t" +
	"classes.0.target_ns=1000000000\tclasses.0.deadline_ns=9000000000\tclasses.0.worth=1\tinstances=2\t" +
	"family_info.home_no=0\tfamily_info.layout=meshed\tfamily_info.mean_hold_ns=9000000000\t" +
	"family_info.channels_needed=1\treporting.fields=spare,total\ttick_ns=5000000\tunheard_of=1\n"

const lists = "roster\tlist=0\tmembers=2\noffice\thealth=Ready\tcell=0\toffice=a:1\noffice\thealth=Ready\tcell=1\toffice=b:1\n" +
	"targets\ti=3\tform=restored\tgeneration=1\tlist=0\n" +
	"roster\tlist=0\tmembers=1\noffice\thealth=Ready\tcell=2\toffice=c:1\ntargets\ti=3\tform=update\tgeneration=2\tlist=0\n"

func call(dest, class string) string {
	return "incoming\ti=3\tjob=" + dest + "1\tflags=0\ttime_left_ns=3000000000\tdest=" + dest + "\tcircuits=1\tqos=" + class + "\n"
}

func TestReplies(t *testing.T) {
	for name, tt := range map[string]struct{ in, want string }{
		"empty batch": {"tick\tclock_ns=1\tn=1\nflush\n", "finished\tn=1\n"},
		"roster number used again in one batch": {"tick\tclock_ns=1\tn=2\n" + born + lists + call("1", "status") + call("2", "status") +
			"flush\n", "assign\ti=3\tjob=21\toffice=c:1\twithin_ns="},
		"unknown class": {"tick\tclock_ns=1\tn=2\n" + born + lists + call("1", "odd") + "flush\n", "not_now\ti=3\tjob=11"},
		"death and birth in one batch": {"tick\tclock_ns=1\tn=2\n" + born + lists + "shutdown\ti=3\n" + born + lists +
			call("1", "status") + "flush\n", "assign\ti=3\tjob=11\toffice=b:1"},
		"after death": {"tick\tclock_ns=1\tn=2\n" + born + lists + "shutdown\ti=3\n" + call("1", "status") + "flush\n", "finished"},
	} {
		var out bytes.Buffer
		if err := serve(strings.NewReader(tt.in), &out); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if !strings.Contains(out.String(), tt.want) {
			t.Errorf("%s: reply %q lacks %q", name, out.String(), tt.want)
		}
	}
}

func TestMalformedInput(t *testing.T) {
	for in, want := range map[string]string{
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
		var out bytes.Buffer
		err := serve(strings.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), want) || out.Len() > 0 {
			t.Errorf("%q: error %v, want %q; reply %q", in, err, want, out.String())
		}
	}
}

func TestLongBatch(t *testing.T) {
	var in, out bytes.Buffer
	in.WriteString("tick\tclock_ns=1\tn=9\n" + born + lists)
	for i := 0; i < 30000; i++ {
		in.WriteString("deadline_hit\ti=3\tmark=c77\n")
	}
	in.WriteString("flush\n")
	if err := serve(&in, &out); err != nil || !strings.HasSuffix(out.String(), "finished\tn=9\n") {
		t.Errorf("error %v, reply ends %q", err, out.String()[max(0, out.Len()-40):])
	}
}
