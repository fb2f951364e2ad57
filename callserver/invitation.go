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

// Limits on the fields of an INVITE.
const (
	callIDDigits          = 16 // hex digits of a Call-ID, exactly
	maxCalledNumberDigits = 32
	maxOfficeIDBytes      = 256
)

// invitation is a parsed INVITE: a set-up, or a claim to a call that an earlier process has established (see adoptCall).
type invitation struct {
	msg          *sip.Message
	wireID       uint64
	classIndex   int // -1: unknown class
	className    string
	calledNumber string
	timeLeft     time.Duration // time that the caller still waits
	offer        logic.Call
	officeID     string // where the call is already established; empty for a set-up
	description  []byte // session description of the caller
}

// parseInvite parses and validates an INVITE. Its error names the invalid field.
func (s *Server) parseInvite(msg *sip.Message) (invite invitation, err error) {
	invite.msg, invite.description, invite.calledNumber, invite.classIndex, invite.className = msg, msg.Body, msg.User(), -1, msg.Get("X-Cos")
	if invite.wireID, err = parseCallID(msg.CallID); err != nil {
		return invite, err
	}
	if index, ok := s.classIndex[invite.className]; ok {
		invite.classIndex = index
	}
	if !isCalledNumber(invite.calledNumber) {
		return invite, fmt.Errorf("address: invalid called number %.40q", invite.calledNumber)
	}
	if err = invite.parseLegs(msg.Get("X-Legs")); err != nil || invite.officeID != "" {
		return invite, err
	}
	ms, err := strconv.ParseUint(msg.Get("X-Timer-Ms"), 10, 31)
	if err != nil {
		return invite, fmt.Errorf("X-Timer-Ms: %.40q is not a number of milliseconds below 2^31", msg.Get("X-Timer-Ms"))
	}
	invite.timeLeft = time.Duration(ms) * time.Millisecond
	if invite.classIndex >= 0 { // the header allows 24.8 days; a call of a known class is open for its deadline at most
		invite.timeLeft = min(invite.timeLeft, s.cfg.Settings.Classes[invite.classIndex].Deadline)
	}
	if !office.ValidDescription(invite.description) {
		return invite, fmt.Errorf("body: invalid session description")
	}
	return invite, nil
}

// parseCallID parses a Call-ID into the ID of a call.
func parseCallID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != callIDDigits {
		return 0, fmt.Errorf("Call-ID: %.40q is not 16 hex digits", text)
	}
	return id, nil
}

// isCalledNumber reports whether a text is a called number: up to maxCalledNumberDigits hex digits, like the address signals of
// Q.763.
func isCalledNumber(number string) bool {
	for _, digit := range number {
		if !strings.ContainsRune("0123456789abcdefABCDEF", digit) {
			return false
		}
	}
	return number != "" && len(number) <= maxCalledNumberDigits
}

// parseLegs parses the X-Legs header, a list of name:value parameters that are separated by semicolons, for example
// "dest:3;width:1;via:-1". All are optional, and unknown names are ignored if their value is a number in range:
//
//	dest:N     number of the destination exchange, or of the pool of first choice; -1: not given
//	width:N    number of circuits; without it, the width of the class
//	via:N      advised tandem or pool; -1: none; in transit: the exchange that the call comes from
//	transit:1  this call server is the tandem of a two-leg call
//	again:1    the caller redials after a dropped call. No parameter tells of other redials, so Call.Redial is never set.
//	at:ID      the call is already established at the office with this ID
func (invite *invitation) parseLegs(text string) error {
	invite.offer.Dest, invite.offer.Via = -1, -1
	for _, part := range strings.Split(text, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), ":")
		if name == "at" {
			if invite.officeID = value; value == "" || len(value) > maxOfficeIDBytes {
				return fmt.Errorf("X-Legs: office ID %.40q is empty or too long", value)
			}
			continue
		}
		number, err := strconv.Atoi(value)
		if name != "" && (err != nil || number < -1 || number >= legValueLimit) {
			return fmt.Errorf("X-Legs: %.40q is not name:number with a number from -1 to 65535", part)
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
			invite.offer.WasDropped = number == 1
		}
	}
	return nil
}
