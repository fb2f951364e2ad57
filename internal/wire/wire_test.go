package wire

import (
	"strings"
	"testing"
)

const sample = "tick\tclock_ns=8412250000\tn=12\n" +
	"roster\tlist=0\tmembers=1\n" +
	"office\tgeneration_hw=a\thealth=Ready\track_zone=z\tcell=3\toffice=10.0.0.1:9003\n" +
	"targets\ti=3\tform=restored\tgeneration=41\tlist=0\n" +
	"incoming\ti=3\tjob=7\tflags=1\ttime_left_ns=240000000\thop=2\tdest=3\tcircuits=1\tpartition_key=91f0\tqos=a\n" +
	"deadline_hit\ti=3\tmark=sweep\n" +
	"flush\n"

func TestDecoderReadsABatch(t *testing.T) {
	batch, err := NewDecoder(strings.NewReader(sample)).Next()
	if err != nil || batch.Number != 12 || len(batch.Events) != 3 {
		t.Fatalf("batch %+v, error %v", batch, err)
	}
	if call := batch.Events[1].Call; call.ID != 7 || call.Dest != 3 || call.Via != 2 || call.Number != "91f0" {
		t.Errorf("call %+v", call)
	}
}

// FuzzDecoder checks that on any input the decoder returns batches, or an error that names the line, and never panics.
func FuzzDecoder(f *testing.F) {
	f.Add(sample)
	f.Add(strings.Replace(sample, "members=1", "members=-1", 1))
	f.Add(strings.Replace(sample, "list=0", "list=99", 2))
	f.Add(strings.Replace(sample, "job=7", "job=x", 1))
	f.Add("tick\tclock_ns=1\tn=1\n")
	f.Add("flush\n")
	f.Fuzz(func(t *testing.T, input string) {
		decoder := NewDecoder(strings.NewReader(input))
		for i := 0; i < 100; i++ {
			if _, err := decoder.Next(); err != nil {
				if err.Error() != "EOF" && !strings.HasPrefix(err.Error(), "line ") {
					t.Errorf("error without a line: %v", err)
				}
				return
			}
		}
	})
}
