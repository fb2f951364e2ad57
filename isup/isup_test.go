package isup

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"
)

// A set-up written by hand from Q.763: CIC 0x123, 3.1 kHz audio, called 5501234 (odd number of digits), a calling
// number and an unknown parameter.
var iamBytes = []byte{0x23, 0x01, 0x01, 0x00, 0x20, 0x01, 0x0a, 0x03, 0x02, 0x08, 0x06, 0x83, 0x10, 0x55, 0x10, 0x32, 0x04,
	0x0a, 0x03, 0x03, 0x11, 0x21, 0x70, 0x02, 0xaa, 0xbb, 0x00}

func TestIAMByHand(t *testing.T) {
	m, err := Decode(iamBytes)
	if err != nil {
		t.Fatal(err)
	}
	s, err := m.Setup()
	if err != nil {
		t.Fatal(err)
	}
	want := Setup{Called: Number{"5501234", 3, 1}, Category: 10, Width: 1, Hops: -1}
	if m.CIC != 0x123 || s != want {
		t.Errorf("circuit %x, %+v, want 123, %+v", m.CIC, s, want)
	}
	if v, ok := m.Get(0x70); !ok || !bytes.Equal(v, []byte{0xaa, 0xbb}) {
		t.Errorf("unknown parameter %x, %v", v, ok)
	}
	out, err := m.Append(nil)
	if err != nil || !bytes.Equal(out, iamBytes) {
		t.Errorf("written again:\n%x, %v, want\n%x", out, err, iamBytes)
	}
}

func TestEveryCutIsAnError(t *testing.T) {
	for n := range iamBytes {
		if _, err := Decode(iamBytes[:n]); !errors.Is(err, ErrTruncated) {
			t.Errorf("cut at %d: %v", n, err)
		}
	}
}

func TestRoundTrips(t *testing.T) {
	iam, err := NewSetup(77, Setup{Called: Number{"55012345678", 3, 1}, Category: 11, Width: 4, Map: 0x1e,
		Elapsed: 1234 * time.Millisecond, Hops: 3})
	if err != nil {
		t.Fatal(err)
	}
	r := Range{Range: 9}
	r.SetBit(0)
	r.SetBit(9)
	for _, m := range []*Message{iam, NewRelease(5, ReleaseInfo{CauseCongestion, LocationBeyond, 2}), Simple(ACM, 1),
		Simple(ANM, 1), Simple(CON, 2), Simple(CPG, 3), Simple(RLC, 4095), Simple(RSC, 9), Simple(BLO, 9), Simple(UBL, 9),
		Simple(BLA, 9), Simple(UBA, 9), Simple(UCIC, 9), NewGroup(GRS, 33, 0, r), NewGroup(GRA, 33, 0, r),
		NewGroup(CGB, 33, Hardware, r), NewGroup(CGBA, 33, Hardware, r), NewGroup(CGU, 33, 0, r), NewGroup(CGUA, 33, 0, r)} {
		b, err := m.Append(nil)
		if err != nil {
			t.Errorf("%v: %v", m.Type, err)
			continue
		}
		got, err := Decode(b)
		if err != nil {
			t.Errorf("%v: %v", m.Type, err)
			continue
		}
		if again, _ := got.Append(nil); !bytes.Equal(again, b) {
			t.Errorf("%v: %x became %x", m.Type, b, again)
		}
	}
	got, _ := iam.Append(nil)
	m, _ := Decode(got)
	if s, err := m.Setup(); err != nil || s.Width != 4 || s.Map != 0x1e || s.Elapsed != 1234*time.Millisecond || s.Hops != 3 {
		t.Errorf("set-up %+v, %v", s, err)
	}
}

func TestReleaseInfo(t *testing.T) {
	want := ReleaseInfo{CauseCongestion, LocationBeyond, 2}
	if got := NewRelease(1, want).Release(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	with := &Message{Type: REL} // octet 1a (recommendation) present
	with.Set(ParamCause, 0x04, 0x80, 0x91)
	if got := with.Release(); got.Cause != CauseUserBusy || got.Location != LocationRemote {
		t.Errorf("with a recommendation octet: %+v", got)
	}
	for _, v := range [][]byte{nil, {0x80}, {0x00, 0x80}} {
		m := &Message{Type: REL}
		m.Set(ParamCause, v...)
		if got := m.Release().Cause; got != CauseNormalUnspecified {
			t.Errorf("cause of %x: %d", v, got)
		}
	}
}

func TestWidths(t *testing.T) {
	for w := 1; w <= 30; w++ {
		tmr, err := mediumOf(w)
		if err != nil || widthOf(tmr) != w {
			t.Errorf("width %d: medium 0x%02x gives %d, %v", w, tmr, widthOf(tmr), err)
		}
	}
	if _, err := mediumOf(31); err == nil {
		t.Error("31 circuits have a transmission medium")
	}
}

func TestBadValuesAreNamed(t *testing.T) {
	if _, err := NewSetup(1, Setup{Called: Number{Digits: "12x"}, Width: 1}); err == nil {
		t.Error("a number with a letter was written")
	}
	if _, err := NewSetup(1, Setup{Called: Number{Digits: "1234567890123456789012345678901"}, Width: 1}); err == nil {
		t.Error("31 digits were written")
	}
	m := &Message{Type: IAM}
	if _, err := m.Append(nil); err == nil {
		t.Error("an IAM without its mandatory part was written")
	}
	big := Simple(ANM, 1)
	big.Params = append(big.Params, Param{0x70, make([]byte, 255)}, Param{0x71, make([]byte, 255)})
	if _, err := big.Append(nil); err == nil {
		t.Error("a message over 268 octets was written")
	}
	if _, err := NewGroup(GRS, 1, 0, Range{Range: 32}).RangeStatus(); err == nil {
		t.Error("GRS over 33 circuits was read")
	}
}

func TestCompatibility(t *testing.T) {
	unknown := func(how ...byte) *Message {
		m, err := Decode(append([]byte{1, 0, 0x77}, how...))
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	with := func(octet byte) []byte { return []byte{1, byte(ParamMessageCompat), 1, octet, 0} }
	for _, c := range []struct {
		name    string
		m       *Message
		transit bool
		want    Instruction
	}{
		{"no instruction", unknown(), true, Instruction{Discard: true, Notify: true, Cause: CauseUnknownMessage}},
		{"transit passes", unknown(with(0x80 | compatRelease)...), true, Instruction{}},
		{"end node releases", unknown(with(0x80 | compatRelease)...), false,
			Instruction{Release: true, Discard: true, Cause: CauseUnknownMessage}},
		{"discard and tell", unknown(with(0x80 | compatTransit | compatNotify)...), true,
			Instruction{Discard: true, Notify: true, Cause: CauseUnknownMessage}},
	} {
		if got := Unrecognized(c.m, c.transit); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	m := Simple(ACM, 1)
	m.Set(0x70, 1)
	m.Set(0x71, 2)
	m.Set(ParamParamCompat, 0x70, 0x80|compatDropPart|compatTransit|compatNotify, 0x71, 0x80)
	got := Unrecognized(m, true)
	if _, kept := m.Get(0x70); kept || !got.Notify || got.Release {
		t.Errorf("parameter to discard: kept %v, %+v", kept, got)
	}
	if _, kept := m.Get(0x71); !kept {
		t.Error("parameter to pass is gone")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(iamBytes)
	for _, m := range []*Message{NewRelease(5, ReleaseInfo{34, 2, 1}), Simple(ACM, 1), NewGroup(GRS, 1, 0, Range{Range: 9})} {
		b, _ := m.Append(nil)
		f.Add(b)
	}
	f.Add([]byte{1, 0, 0x77, 1, 0x38, 1, 0x80, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		Unrecognized(m, true)
		_, _ = m.Setup()
		_, _ = m.RangeStatus()
		m.Release()
		out, err := m.Append(nil)
		if err != nil {
			return // duplicates of mandatory parameters and the like cannot be written
		}
		again, err := Decode(out)
		if err != nil {
			t.Fatalf("%x was written as %x: %v", b, out, err)
		}
		if twice, err := again.Append(nil); err != nil || !reflect.DeepEqual(twice, out) {
			t.Fatalf("%x and %x, %v", out, twice, err)
		}
	})
}
