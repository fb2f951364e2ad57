package simenv

import (
	"math/rand/v2"
	"time"

	"finchlatch/isup"
)

// MeanRingTime is the mean time from the IAM to the answer of a line.
const MeanRingTime = 40 * time.Millisecond

// Lines simulates the subscriber lines of an exchange's own numbers: they ring and answer, or are busy. They are connected
// to their call server as an ASP.
type Lines struct {
	RingTime   time.Duration  // mean time from the IAM to the answer
	ExtraDelay time.Duration  // added to the ringing time at present
	LineCounts map[string]int // lines of a number; a number that is not listed has an unlimited number
	FaultShare float64        // share of the calls that fail with a cause of a signalling fault

	association   Association
	rng           *rand.Rand
	busyLines     map[string]int    // by called number
	calledNumbers map[uint16]string // by circuit
}

// NewLines creates the lines of an exchange.
func NewLines(association Association, seed, stream uint64) *Lines {
	return &Lines{RingTime: MeanRingTime, LineCounts: map[string]int{}, association: association,
		rng: rand.New(rand.NewPCG(seed, stream)), busyLines: map[string]int{}, calledNumbers: map[uint16]string{}}
}

// Receive handles a message from the call server.
func (l *Lines) Receive(message *isup.Message) {
	switch message.Type {
	case isup.IAM:
		l.answerCall(message)
	case isup.REL, isup.RSC:
		l.release(message.CIC)
		_ = l.association.Send(isup.NewSimple(isup.RLC, message.CIC))
	case isup.GRS:
		circuits, err := message.RangeStatus()
		if err != nil {
			return
		}
		for i := range circuits.Range + 1 {
			l.release(message.CIC + uint16(i))
		}
		_ = l.association.Send(isup.NewGroup(isup.GRA, message.CIC, 0, isup.Range{Range: circuits.Range}))
	}
}

// release frees the line that a circuit is connected to, if any.
func (l *Lines) release(cic uint16) {
	if number, ok := l.calledNumbers[cic]; ok {
		delete(l.calledNumbers, cic)
		if l.busyLines[number]--; l.busyLines[number] <= 0 {
			delete(l.busyLines, number)
		}
	}
}

// answerCall rings and answers an IAM, or refuses it: with user busy when all lines of the number are in use, or with a
// cause of a signalling fault for FaultShare of the calls.
func (l *Lines) answerCall(iam *isup.Message) {
	called, err := iam.CalledNumber()
	if err != nil {
		return
	}
	lineCount, limited := l.LineCounts[called.Digits]
	switch {
	case limited && l.busyLines[called.Digits] >= lineCount:
		_ = l.association.Send(isup.NewRelease(iam.CIC, isup.ReleaseInfo{Cause: isup.CauseUserBusy}))
		return
	case l.FaultShare > 0 && l.rng.Float64() < l.FaultShare:
		_ = l.association.Send(isup.NewRelease(iam.CIC, isup.ReleaseInfo{Cause: isup.CauseNetworkOutOfOrder,
			Location: isup.LocationRemote}))
		return
	}
	l.release(iam.CIC)
	l.busyLines[called.Digits]++
	l.calledNumbers[iam.CIC] = called.Digits
	_ = l.association.Send(isup.NewSimple(isup.ACM, iam.CIC))
	cic := iam.CIC
	l.association.After(l.ExtraDelay+time.Duration((0.5+l.rng.Float64())*float64(l.RingTime)), func() {
		if l.calledNumbers[cic] == called.Digits {
			_ = l.association.Send(isup.NewSimple(isup.ANM, cic))
		}
	})
}
