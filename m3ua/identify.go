package m3ua

import "fmt"

// ErrIDRequired and ErrIDInvalid answer an ASPUP whose ASP identifier is missing or unknown (section 3.8.1).
const (
	ErrIDRequired ErrorCode = 0x0e
	ErrIDInvalid  ErrorCode = 0x0f
)

// Identify reads the ASP identifier from the first message on an accepted connection, which must be an ASPUP
// (section 3.5.1): it tells which peer has connected. The error is a *Fault.
func Identify(raw []byte) (uint32, error) {
	m, err := Decode(raw)
	if err != nil {
		return 0, err
	}
	if m.Kind != ASPUP {
		return 0, &Fault{ErrUnexpected, fmt.Sprintf("%v before ASPUP", m.Kind)}
	}
	id, ok := m.Uint32(TagASPID)
	if !ok {
		return 0, &Fault{ErrIDRequired, "ASPUP without an ASP identifier"}
	}
	return id, nil
}

// Reject makes the ERR for a fault, for connections that no association was found for.
func Reject(f *Fault) []byte {
	return (&Message{Kind: ERR}).WithUint32(TagErrorCode, uint32(f.Code)).Append(nil)
}
