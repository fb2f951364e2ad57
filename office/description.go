package office

import (
	"bytes"
	"net/netip"
	"strconv"
)

// GoodDescription tells whether a description can be read: the description's id in hex digits, then lines in the
// form of RFC 4566 with an address and a medium. What cannot be read must not be passed on as a success.
func GoodDescription(b []byte) bool {
	id, rest, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok || len(id) != 16 || !bytes.HasSuffix(rest, []byte("\r\n")) {
		return false
	}
	for _, c := range id {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	address, medium := false, false
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(line) < 2 || line[1] != '=' || !printable(line) {
			return false
		}
		switch line[0] {
		case 'c':
			address = goodAddress(line[2:])
		case 'm':
			medium = goodMedium(line[2:])
		}
	}
	return address && medium
}

func printable(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

func goodAddress(v []byte) bool {
	f := bytes.Fields(v)
	if len(f) != 3 || string(f[0]) != "IN" {
		return false
	}
	_, err := netip.ParseAddr(string(f[2]))
	return err == nil
}

func goodMedium(v []byte) bool {
	f := bytes.Fields(v)
	if len(f) < 4 {
		return false
	}
	_, err := strconv.ParseUint(string(f[1]), 10, 16)
	return err == nil
}
