package office

import (
	"bytes"
	"net/netip"
	"strconv"
)

// ValidDescription reports whether a session description is valid: its id of 16 hex digits, then lines in the form of
// RFC 4566 (SDP), among them a connection address and a media line. An answer with an invalid description must not be
// passed on as a success.
func ValidDescription(description []byte) bool {
	id, remaining, ok := bytes.Cut(description, []byte("\r\n"))
	if !ok || len(id) != 16 || !bytes.HasSuffix(remaining, []byte("\r\n")) {
		return false
	}
	for _, char := range id {
		if !(char >= '0' && char <= '9' || char >= 'a' && char <= 'f' || char >= 'A' && char <= 'F') {
			return false
		}
	}
	hasAddress, hasMedia := false, false
	for len(remaining) > 0 {
		var line []byte
		line, remaining, _ = bytes.Cut(remaining, []byte("\r\n"))
		if len(line) < 2 || line[1] != '=' || !isPrintable(line) {
			return false
		}
		switch line[0] {
		case 'c':
			hasAddress = validAddress(line[2:])
		case 'm':
			hasMedia = validMedia(line[2:])
		}
	}
	return hasAddress && hasMedia
}

// isPrintable reports whether a line consists of printable ASCII characters.
func isPrintable(line []byte) bool {
	for _, char := range line {
		if char < ' ' || char > '~' {
			return false
		}
	}
	return true
}

// validAddress reports whether the value of a c= line holds an IP address.
func validAddress(value []byte) bool {
	fields := bytes.Fields(value)
	if len(fields) != 3 || string(fields[0]) != "IN" {
		return false
	}
	_, err := netip.ParseAddr(string(fields[2]))
	return err == nil
}

// validMedia reports whether the value of an m= line holds a port number.
func validMedia(value []byte) bool {
	fields := bytes.Fields(value)
	if len(fields) < 4 {
		return false
	}
	_, err := strconv.ParseUint(string(fields[1]), 10, 16)
	return err == nil
}
