package platform

import (
	"slices"
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/office"
)

// OfficeTap reports to the rule checker what a call server and the office at one address send to each other.
type OfficeTap struct {
	trackedConns[tappedOffice]
	env    *Environment
	office string // the checker's name of the office that has the address now
}

// tappedOffice is a connection to an office that a tap follows.
type tappedOffice struct {
	office         string // the checker's name of the office
	fromCallServer office.Framer
	toCallServer   office.Framer
	corrupted      bool            // the office sent bytes that cannot be parsed
	outstanding    map[uint64]bool // calls with an outstanding attempt
	answered       []uint64        // calls that the office answered on it
}

// NewOfficeTap returns a tap; office is the checker's name of the office that has the address.
func (e *Environment) NewOfficeTap(office string) *OfficeTap {
	return &OfficeTap{env: e, office: office, trackedConns: newTrackedConns[tappedOffice]()}
}

// Replace assigns connections that are opened from now on to another office, which has taken over the address.
func (t *OfficeTap) Replace(office string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.env.Report(func(_ time.Duration, checker *rulecheck.PlatformChecker) { checker.OfficeReplaced(office, t.office) })
	t.office = office
}

// Opened starts to follow a new connection.
func (t *OfficeTap) Opened(connID int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[connID] = &tappedOffice{office: t.office, outstanding: map[uint64]bool{}}
}

// FromCallServer handles bytes that the call server wrote.
func (t *OfficeTap) FromCallServer(connID int, data []byte) {
	t.withConn(connID, func(conn *tappedOffice) { t.decodeFromCallServer(conn, data) })
}

// decodeFromCallServer reports the set-ups and the cancels of the call server; t.mu is held.
func (t *OfficeTap) decodeFromCallServer(conn *tappedOffice, data []byte) {
	conn.fromCallServer.Write(data)
	var messages []*office.Message
	for msg, err := conn.fromCallServer.Next(); msg != nil && err == nil; msg, err = conn.fromCallServer.Next() {
		messages = append(messages, msg)
	}
	for i, msg := range messages {
		switch msg.Type {
		case office.SetUp:
			if cancelledIn(messages[i+1:], msg.Call) {
				continue
			}
			conn.outstanding[msg.Call] = true
			t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.SetUp(at, conn.office, msg.Call) })
		case office.Release:
			if conn.outstanding[msg.Call] {
				delete(conn.outstanding, msg.Call)
				t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
					checker.CancelRead(at, conn.office, msg.Call)
				})
				continue
			}
			t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.Released(at, msg.Call) })
		}
	}
}

// cancelledIn reports whether one of the messages that were read together with a set-up, after it, cancels it. A connection
// that was established just when a partition began is read after the partition, long after set-up and cancel were
// written: that attempt was never outstanding.
func cancelledIn(later []*office.Message, call uint64) bool {
	return slices.ContainsFunc(later, func(msg *office.Message) bool { return msg.Type == office.Release && msg.Call == call })
}

// ToCallServer handles bytes from the office that are about to reach the call server.
func (t *OfficeTap) ToCallServer(connID int, data []byte) {
	t.withConn(connID, func(conn *tappedOffice) { t.decodeToCallServer(conn, data) })
}

// decodeToCallServer reports the complete messages of the office. Bytes that cannot be parsed end all outstanding attempts;
// t.mu is held.
func (t *OfficeTap) decodeToCallServer(conn *tappedOffice, data []byte) {
	if conn.corrupted {
		return
	}
	conn.toCallServer.Write(data)
	for {
		msg, err := conn.toCallServer.Next()
		if err != nil {
			conn.corrupted = true
			t.failAll(conn)
			return
		}
		if msg == nil {
			return
		}
		t.reportOfficeMessage(conn, msg)
	}
}

// reportOfficeMessage reports an answer or a release of the office; t.mu is held.
func (t *OfficeTap) reportOfficeMessage(conn *tappedOffice, msg *office.Message) {
	if !conn.outstanding[msg.Call] || msg.Type != office.Answer && msg.Type != office.Release {
		return
	}
	delete(conn.outstanding, msg.Call)
	answered := msg.Type == office.Answer && office.ValidDescription(msg.Description)
	if answered {
		conn.answered = append(conn.answered, msg.Call)
	}
	startsReleaseTime := msg.Type == office.Answer && !answered || msg.Type == office.Release && msg.Cause == office.CauseTemporary
	t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
		checker.AttemptEnded(at, conn.office, msg.Call, startsReleaseTime)
		if answered {
			checker.Answered(conn.office, msg.Call)
		}
	})
}

// failAll reports that the outstanding attempts on a connection ended with a signalling fault; t.mu is held.
func (t *OfficeTap) failAll(conn *tappedOffice) {
	for call := range conn.outstanding {
		t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) {
			checker.AttemptEnded(at, conn.office, call, true)
		})
	}
	clear(conn.outstanding)
}

// Closed handles the end of a connection. Its outstanding attempts have failed or, if the call server closed it, are cancelled.
func (t *OfficeTap) Closed(connID int, byCallServer bool) {
	t.untrack(connID, func(conn *tappedOffice) {
		t.env.Report(func(_ time.Duration, checker *rulecheck.PlatformChecker) {
			for _, call := range conn.answered {
				checker.AnswerConnectionEnded(call)
			}
		})
		if !byCallServer {
			t.failAll(conn)
			return
		}
		for call := range conn.outstanding {
			t.env.Report(func(at time.Duration, checker *rulecheck.PlatformChecker) { checker.CancelRead(at, conn.office, call) })
		}
	})
}
