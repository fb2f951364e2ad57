package isup

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"
)

// sampleIAM was encoded by hand according to Q.763: CIC 0x123, 3.1 kHz audio, called number 5501234 (odd number of digits), a
// calling number and an unknown parameter.
var sampleIAM = []byte{0x23, 0x01, 0x01, 0x00, 0x20, 0x01, 0x0a, 0x03, 0x02, 0x08, 0x06, 0x83, 0x10, 0x55, 0x10, 0x32, 0x04,
	0x0a, 0x03, 0x03, 0x11, 0x21, 0x70, 0x02, 0xaa, 0xbb, 0x00}

func TestHandEncodedIAM(t *testing.T) {
	message, err := Decode(sampleIAM)
	if err != nil {
		t.Fatal(err)
	}
	setup, err := message.Setup()
	if err != nil {
		t.Fatal(err)
	}
	want := Setup{Called: Number{"5501234", 3, 1}, Category: 10, Width: 1, HopCounter: -1}
	if message.CIC != 0x123 || setup != want {
		t.Errorf("circuit %x, %+v, want 123, %+v", message.CIC, setup, want)
	}
	if v, ok := message.Get(0x70); !ok || !bytes.Equal(v, []byte{0xaa, 0xbb}) {
		t.Errorf("unknown parameter %x, %v", v, ok)
	}
	out, err := message.Append(nil)
	if err != nil || !bytes.Equal(out, sampleIAM) {
		t.Errorf("encoded again:\n%x, %v, want\n%x", out, err, sampleIAM)
	}
}

func TestEveryTruncationIsAnError(t *testing.T) {
	for n := range sampleIAM {
		if _, err := Decode(sampleIAM[:n]); !errors.Is(err, ErrTruncated) {
			t.Errorf("truncated to %d octets: %v", n, err)
		}
	}
}

func TestRoundTrips(t *testing.T) {
	iam, err := NewSetup(77, Setup{Called: Number{"55012345678", 3, 1}, Category: 11, Width: 4, CircuitMap: 0x1e,
		PropagationDelay: 1234 * time.Millisecond, HopCounter: 3})
	if err != nil {
		t.Fatal(err)
	}
	rangeStatus := Range{Range: 9}
	rangeStatus.SetBit(0)
	rangeStatus.SetBit(9)
	for _, message := range []*Message{iam, NewRelease(5, ReleaseInfo{CauseCongestion, LocationBeyond, 2}), NewSimple(ACM, 1),
		NewSimple(ANM, 1), NewSimple(CON, 2), NewSimple(CPG, 3), NewSimple(RLC, 4095), NewSimple(RSC, 9), NewSimple(BLO, 9), NewSimple(UBL, 9),
		NewSimple(BLA, 9), NewSimple(UBA, 9), NewSimple(UCIC, 9), NewGroup(GRS, 33, 0, rangeStatus), NewGroup(GRA, 33, 0, rangeStatus),
		NewGroup(CGB, 33, Hardware, rangeStatus), NewGroup(CGBA, 33, Hardware, rangeStatus), NewGroup(CGU, 33, 0, rangeStatus),
		NewGroup(CGUA, 33, 0, rangeStatus)} {
		raw, err := message.Append(nil)
		if err != nil {
			t.Errorf("%v: %v", message.Type, err)
			continue
		}
		got, err := Decode(raw)
		if err != nil {
			t.Errorf("%v: %v", message.Type, err)
			continue
		}
		if again, _ := got.Append(nil); !bytes.Equal(again, raw) {
			t.Errorf("%v: %x became %x", message.Type, raw, again)
		}
	}
	got, _ := iam.Append(nil)
	message, _ := Decode(got)
	if s, err := message.Setup(); err != nil || s.Width != 4 || s.CircuitMap != 0x1e || s.PropagationDelay != 1234*time.Millisecond || s.HopCounter != 3 {
		t.Errorf("set-up %+v, %v", s, err)
	}
}

func TestReleaseInfo(t *testing.T) {
	want := ReleaseInfo{CauseCongestion, LocationBeyond, 2}
	if got := NewRelease(1, want).Release(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	withRecommendation := &Message{Type: REL} // octet 1a (recommendation) present
	withRecommendation.Set(ParamCause, 0x04, 0x80, 0x91)
	if got := withRecommendation.Release(); got.Cause != CauseUserBusy || got.Location != LocationRemote {
		t.Errorf("with a recommendation octet: %+v", got)
	}
	for _, value := range [][]byte{nil, {0x80}, {0x00, 0x80}} {
		message := &Message{Type: REL}
		message.Set(ParamCause, value...)
		if got := message.Release().Cause; got != CauseNormalUnspecified {
			t.Errorf("cause of %x: %d", value, got)
		}
	}
}

func TestTransmissionMediumRequirements(t *testing.T) {
	for width := 1; width <= 30; width++ {
		medium, err := mediumForWidth(width)
		if err != nil || widthForMedium(medium) != width {
			t.Errorf("width %d: medium 0x%02x gives %d, %v", width, medium, widthForMedium(medium), err)
		}
	}
	if _, err := mediumForWidth(31); err == nil {
		t.Error("31 circuits have a transmission medium requirement")
	}
}

func TestInvalidValuesAreRejected(t *testing.T) {
	if _, err := NewSetup(1, Setup{Called: Number{Digits: "12x"}, Width: 1}); err == nil {
		t.Error("a number with a letter was encoded")
	}
	if _, err := NewSetup(1, Setup{Called: Number{Digits: "1234567890123456789012345678901"}, Width: 1}); err == nil {
		t.Error("31 digits were encoded")
	}
	empty := &Message{Type: IAM}
	if _, err := empty.Append(nil); err == nil {
		t.Error("an IAM without its mandatory part was encoded")
	}
	tooLong := NewSimple(ANM, 1)
	tooLong.Params = append(tooLong.Params, Param{0x70, make([]byte, 255)}, Param{0x71, make([]byte, 255)})
	if _, err := tooLong.Append(nil); err == nil {
		t.Error("a message over 268 octets was encoded")
	}
	if _, err := NewGroup(GRS, 1, 0, Range{Range: 32}).RangeStatus(); err == nil {
		t.Error("GRS for 33 circuits was accepted")
	}
}

func TestCompatibility(t *testing.T) {
	newUnknown := func(body ...byte) *Message {
		message, err := Decode(append([]byte{1, 0, 0x77}, body...))
		if err != nil {
			t.Fatal(err)
		}
		return message
	}
	compatibility := func(octet byte) []byte { return []byte{1, byte(ParamMessageCompatibility), 1, octet, 0} }
	for _, testCase := range []struct {
		name    string
		message *Message
		transit bool
		want    Instruction
	}{
		{"no instruction", newUnknown(), true, Instruction{Discard: true, Notify: true, Cause: CauseUnknownMessage}},
		{"passed on by a transit exchange", newUnknown(compatibility(0x80 | compatRelease)...), true, Instruction{}},
		{"released by the end node", newUnknown(compatibility(0x80 | compatRelease)...), false,
			Instruction{Release: true, Discard: true, Cause: CauseUnknownMessage}},
		{"discarded and notified", newUnknown(compatibility(0x80 | compatEndNode | compatNotify)...), true,
			Instruction{Discard: true, Notify: true, Cause: CauseUnknownMessage}},
	} {
		if got := ApplyCompatibility(testCase.message, testCase.transit); got != testCase.want {
			t.Errorf("%s: %+v, want %+v", testCase.name, got, testCase.want)
		}
	}
	message := NewSimple(ACM, 1)
	message.Set(0x70, 1)
	message.Set(0x71, 2)
	message.Set(ParamParameterCompatibility, 0x70, 0x80|compatDiscardParameter|compatEndNode|compatNotify, 0x71, 0x80)
	got := ApplyCompatibility(message, true)
	if _, kept := message.Get(0x70); kept || !got.Notify || got.Release {
		t.Errorf("parameter to discard: kept %v, %+v", kept, got)
	}
	if _, kept := message.Get(0x71); !kept {
		t.Error("parameter to pass on was removed")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleIAM)
	for _, message := range []*Message{NewRelease(5, ReleaseInfo{34, 2, 1}), NewSimple(ACM, 1), NewGroup(GRS, 1, 0, Range{Range: 9})} {
		raw, _ := message.Append(nil)
		f.Add(raw)
	}
	f.Add([]byte{1, 0, 0x77, 1, 0x38, 1, 0x80, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := Decode(raw)
		if err != nil {
			return
		}
		ApplyCompatibility(message, true)
		_, _ = message.Setup()
		_, _ = message.RangeStatus()
		message.Release()
		out, err := message.Append(nil)
		if err != nil {
			return // for example duplicates of mandatory parameters cannot be encoded
		}
		again, err := Decode(out)
		if err != nil {
			t.Fatalf("%x was encoded as %x: %v", raw, out, err)
		}
		if twice, err := again.Append(nil); err != nil || !reflect.DeepEqual(twice, out) {
			t.Fatalf("%x and %x, %v", out, twice, err)
		}
	})
}
