package rulecheck

import (
	"fmt"
	"slices"
	"time"

	"finchlatch/isup"
	"finchlatch/m3ua"
)

// traceSpan is how long before and after a set-up its circuits are followed.
const traceSpan = 8 * time.Second

// place is a circuit as one call server sees it.
type place struct {
	exchange, peer string
	cic            uint16
}

// Trace lists what passed at all call servers on the circuits of one call, around its set-ups, one message a line:
// for finding the cause of a breach. Set-ups of the call itself are marked with a star.
func Trace(records []Record, number string) (lines []string) {
	follow := map[place][]time.Duration{}
	for _, r := range records {
		if m, ok := isupIn(r); ok && m.Type == isup.IAM && key(m) == number {
			p := place{r.Exchange, r.Peer, m.CIC}
			follow[p] = append(follow[p], r.At)
		}
	}
	near := func(p place, at time.Duration) bool {
		return slices.ContainsFunc(follow[p], func(t time.Duration) bool { return max(t-at, at-t) < traceSpan })
	}
	for _, r := range records {
		if m, ok := isupIn(r); ok {
			first, last := m.CIC, m.CIC
			if m.Type == isup.GRS || m.Type == isup.GRA || m.Type == isup.CGB || m.Type == isup.CGU {
				rng, _ := m.RangeStatus()
				last += uint16(rng.Range)
			}
			for cic := first; cic <= last; cic++ {
				if near(place{r.Exchange, r.Peer, cic}, r.At) {
					lines = append(lines, describe(r, m, number))
					break
				}
			}
		}
	}
	return lines
}

func describe(r Record, m *isup.Message, number string) string {
	note, arrow := "", "<-"
	switch m.Type {
	case isup.IAM:
		set, _ := m.Setup()
		note = fmt.Sprintf(" %s width %d", set.Called.Digits, set.Width)
		if key(m) == number {
			note += " *"
		}
	case isup.REL:
		note = fmt.Sprintf(" cause %d location %d", m.Release().Cause, m.Release().Location)
	}
	if r.Out {
		arrow = "->"
	}
	return fmt.Sprintf("%v %s %s %s circuit %d %v%s", r.At.Round(time.Microsecond), r.Exchange, arrow, r.Peer, m.CIC, m.Type, note)
}

// isupIn finds the ISUP message of a record.
func isupIn(r Record) (*isup.Message, bool) {
	if r.Kind != Message {
		return nil, false
	}
	m, _, ok := ISUP(r.Data)
	return m, ok
}

// ISUP finds the ISUP message in a whole M3UA message, and the DATA that it came in.
func ISUP(frame []byte) (*isup.Message, m3ua.ProtocolData, bool) {
	m, err := m3ua.Decode(frame)
	if err != nil || m.Kind != m3ua.DATA {
		return nil, m3ua.ProtocolData{}, false
	}
	p, err := m3ua.ReadProtocolData(m)
	if err != nil || p.SI != m3ua.ServiceISUP {
		return nil, p, false
	}
	i, err := isup.Decode(p.Data)
	return i, p, err == nil
}
