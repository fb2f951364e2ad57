package callserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"finchlatch/logic"
	"finchlatch/office"
	"finchlatch/sip"
)

// invitation is a set-up as it was read.
type invitation struct {
	msg          *sip.Message
	wireID       uint64
	classIndex   int
	className    string
	calledNumber string
	timeLeft     time.Duration
	offer        logic.Call
	officeID     string
	description  []byte
}

// readInvite reads the fields of a set-up, and names the one that is wrong.
func (s *Server) parseInvite(msg *sip.Message) (invite invitation, err error) {
	invite.msg, invite.description, invite.calledNumber, invite.classIndex, invite.className = msg, msg.Body, msg.User(), -1, msg.Get("X-Cos")
	if invite.wireID, err = parseCallID(msg.CallID); err != nil {
		return invite, err
	}
	if index, ok := s.classIndex[invite.className]; ok {
		invite.classIndex = index
	}
	if !isCalledNumber(invite.calledNumber) {
		return invite, fmt.Errorf("address: a number of %.40q", invite.calledNumber)
	}
	if err = invite.parseLegs(msg.Get("X-Legs")); err != nil || invite.officeID != "" {
		return invite, err
	}
	ms, err := strconv.ParseUint(msg.Get("X-Timer-Ms"), 10, 31)
	if err != nil {
		return invite, fmt.Errorf("X-Timer-Ms: %.40q", msg.Get("X-Timer-Ms"))
	}
	invite.timeLeft = time.Duration(ms) * time.Millisecond
	if invite.classIndex >= 0 { // a try is part of what a caller keeps up for; a stranger's year would be kept for a year
		invite.timeLeft = min(invite.timeLeft, s.cfg.Settings.Classes[invite.classIndex].Deadline)
	}
	if !office.GoodDescription(invite.description) {
		return invite, fmt.Errorf("body: a description that cannot be read")
	}
	return invite, nil
}

// callID reads the id of a call.
func parseCallID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("Call-ID: %.40q is not 16 hex digits", text)
	}
	return id, nil
}

// digits tells whether a number called is one: hex digits, as the address signals of Q.763 are.
func isCalledNumber(s string) bool {
	for _, c := range s {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return s != "" && len(s) <= 32
}

// legs reads the figures of a set-up.
func (invite *invitation) parseLegs(text string) error {
	invite.offer.Dest, invite.offer.Via = -1, -1
	for _, part := range strings.Split(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		if name == "at" {
			if invite.officeID = value; value == "" || len(value) > 256 {
				return fmt.Errorf("X-Legs: at %.40q", value)
			}
			continue
		}
		number, err := strconv.Atoi(value)
		if name != "" && (err != nil || number < -1 || number >= maxLegValue) {
			return fmt.Errorf("X-Legs: %.40q", part)
		}
		switch name {
		case "dest":
			invite.offer.Dest = number
		case "width":
			invite.offer.Width = number
		case "via":
			invite.offer.Via = number
		case "transit":
			invite.offer.Transit = number == 1
		case "again":
			invite.offer.WasCut = number == 1
		}
	}
	return nil
}
