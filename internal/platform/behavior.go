package platform

// Behavior says how an office reacts to a set-up.
type Behavior int

// The behaviors. After those from InvalidBytes to ResetConnection the connection cannot be used any more.
const (
	AnswerCall         Behavior = iota // answers, and releases the call after Office.Hold
	Busy                               // refuses: the called line is busy
	NoCircuit                          // refuses: no circuit is free
	SignallingFault                    // releases with Q.850 cause 41, temporary failure: a signalling fault
	NeverReply                         // never replies
	DuplicateAnswer                    // sends an answer with an unknown call id, then the correct answer twice
	InvalidBytes                       // sends a message with invalid content
	OversizedLength                    // sends a length above the limit
	TruncatedAnswer                    // sends the first half of an answer
	InvalidDescription                 // answers with an invalid session description
	ResetConnection                    // resets the connection
	BehaviorCount                      // number of the behaviors above, which tests choose from; as a behavior it is NeverReply
	LoseAnswer                         // establishes the call, but the answer is lost; not among those that tests choose from
)

// corrupt returns the bytes that the behavior sends in place of an answer.
func (b Behavior) corrupt(answer []byte) []byte {
	switch b {
	case InvalidBytes:
		return []byte("\x00\x40noise, noise, noise, noise, noise, noise, noise, noise, noise, noise, noise")
	case OversizedLength:
		return []byte{0xff, 0xff, 9}
	case TruncatedAnswer:
		return answer[:len(answer)/2]
	}
	return nil
}
