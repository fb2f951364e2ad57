package m3ua

import "fmt"

// Error codes for an ASPUP whose ASP identifier is missing (ErrIDRequired) or unknown (ErrIDInvalid), RFC 4666 section 3.8.1.
const (
	ErrIDRequired ErrorCode = 0x0e
	ErrIDInvalid  ErrorCode = 0x0f
)

// Identify returns the ASP identifier of the first message on an accepted connection, by which the peer is recognized. The
// message must be an ASPUP (RFC 4666 section 3.5.1). An error is always a *Fault.
func Identify(raw []byte) (uint32, error) {
	message, err := Decode(raw)
	if err != nil {
		return 0, err
	}
	if message.Kind != ASPUP {
		return 0, &Fault{ErrUnexpectedMessage, fmt.Sprintf("%v before ASPUP", message.Kind)}
	}
	id, ok := message.Uint32(TagASPID)
	if !ok {
		return 0, &Fault{ErrIDRequired, "ASPUP without an ASP identifier"}
	}
	return id, nil
}

// Reject returns an encoded ERR for a fault, to be sent on a connection that belongs to no association.
func Reject(fault *Fault) []byte {
	return (&Message{Kind: ERR}).WithUint32(TagErrorCode, uint32(fault.Code)).Append(nil)
}
