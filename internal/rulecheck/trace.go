package rulecheck

import (
	"fmt"
	"slices"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// traceSpan is how long before and after a set-up the messages on its circuits are listed.
const traceSpan = 8 * time.Second

// circuitID names a circuit as seen by one call server.
type circuitID struct {
	exchange, peer string
	cic            uint16
}

// Trace lists the messages that passed at all call servers on the circuits of one call around its set-ups, one per line, to
// find the cause of a violation. Set-ups of the call itself are marked with an asterisk.
func Trace(records []Record, number string) (lines []string) {
	followed := map[circuitID][]time.Duration{}
	for _, record := range records {
		if message, ok := isupMessage(record); ok && message.Type == isup.IAM && callingNumber(message) == number {
			circuit := circuitID{record.Exchange, record.Peer, message.CIC}
			followed[circuit] = append(followed[circuit], record.At)
		}
	}
	isFollowed := func(circuit circuitID, at time.Duration) bool {
		return slices.ContainsFunc(followed[circuit], func(t time.Duration) bool { return max(t-at, at-t) < traceSpan })
	}
	for _, record := range records {
		if message, ok := isupMessage(record); ok {
			first, last := message.CIC, message.CIC
			if message.Type == isup.GRS || message.Type == isup.GRA || message.Type == isup.CGB || message.Type == isup.CGU {
				rangeStatus, _ := message.RangeStatus()
				last += uint16(rangeStatus.Range)
			}
			for cic := first; cic <= last; cic++ {
				if isFollowed(circuitID{record.Exchange, record.Peer, cic}, record.At) {
					lines = append(lines, describe(record, message, number))
					break
				}
			}
		}
	}
	return lines
}

// describe formats a message as one line of a trace.
func describe(record Record, message *isup.Message, number string) string {
	note, arrow := "", "<-"
	switch message.Type {
	case isup.IAM:
		setup, _ := message.Setup()
		note = fmt.Sprintf(" %s width %d", setup.Called.Digits, setup.Width)
		if callingNumber(message) == number {
			note += " *"
		}
	case isup.REL:
		note = fmt.Sprintf(" cause %d location %d", message.Release().Cause, message.Release().Location)
	}
	if record.Out {
		arrow = "->"
	}
	return fmt.Sprintf("%v %s %s %s circuit %d %v%s", record.At.Round(time.Microsecond), record.Exchange, arrow, record.Peer,
		message.CIC, message.Type, note)
}

// isupMessage decodes the ISUP message of a record.
func isupMessage(record Record) (*isup.Message, bool) {
	if record.Kind != Message {
		return nil, false
	}
	message, _, ok := DecodeISUP(record.Data)
	return message, ok
}

// DecodeISUP decodes the ISUP message in a complete M3UA message, and returns it with its protocol data.
func DecodeISUP(frame []byte) (*isup.Message, m3ua.ProtocolData, bool) {
	message, err := m3ua.Decode(frame)
	if err != nil || message.Kind != m3ua.DATA {
		return nil, m3ua.ProtocolData{}, false
	}
	protocolData, err := m3ua.ReadProtocolData(message)
	if err != nil || protocolData.SI != m3ua.ServiceISUP {
		return nil, protocolData, false
	}
	decoded, err := isup.Decode(protocolData.Data)
	return decoded, protocolData, err == nil
}
