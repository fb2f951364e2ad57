package standin

import (
	"time"

	"finchlatch/internal/rulecheck"
	"finchlatch/internal/simenv"
	"finchlatch/isup"
	"finchlatch/m3ua"
)

// Streams of the random numbers of callers and lines, with the seed of the exchange.
const (
	callersStream = 11
	linesStream   = 7
)

// socketAssociation implements simenv.Association on an endpoint.
type socketAssociation struct {
	*Endpoint
	clock func() time.Duration
}

// Now returns the time on the fleet's clock.
func (a socketAssociation) Now() time.Duration { return a.clock() }

// After runs f after a delay as a handler of the endpoint, unless the endpoint has been closed by then.
func (a socketAssociation) After(delay time.Duration, f func()) {
	time.AfterFunc(delay, func() {
		a.Do(func() {
			if !a.closed {
				f()
			}
		})
	})
}

// Callers are the counters at one exchange on a socket. Methods of simenv.Callers must be called inside Do.
type Callers struct {
	*Endpoint
	*simenv.Callers
	EnumAddress  func() string                                      // address of the ENUM server; empty: the server is down
	RecordLookUp func(kind rulecheck.Kind, who string, data []byte) // taps the queries and responses of an ENUM client
}

// NewCallers creates the counters of an exchange, with circuits of their own.
func NewCallers(ownCode, exchangeCode uint32, id uint32, circuits []uint16, seed uint64, clock func() time.Duration) *Callers {
	c := &Callers{Endpoint: &Endpoint{OwnPointCode: ownCode, PeerPointCode: exchangeCode, Role: m3ua.RoleASP}}
	c.Callers = simenv.NewCallers(socketAssociation{c.Endpoint, clock}, id, circuits, seed, callersStream)
	c.OnMessage = func(_ *Endpoint, message *isup.Message) { c.Receive(message) }
	return c
}

// EnableLookUps lets a share of the tries start with an ENUM query.
func (c *Callers) EnableLookUps(share float64) {
	c.LookUpShare = share
	c.LookUp = func(category byte, number string, then func(string)) {
		address := c.EnumAddress()
		go func() {
			route := c.queryENUM(address, category, number)
			c.Do(func() { then(route) })
		}()
	}
}

// Lines are the subscriber lines of an exchange on a socket. Methods of simenv.Lines must be called inside Do.
type Lines struct {
	*Endpoint
	*simenv.Lines
}

// NewLines creates the lines of an exchange.
func NewLines(ownCode, exchangeCode uint32, seed uint64, clock func() time.Duration) *Lines {
	l := &Lines{Endpoint: &Endpoint{OwnPointCode: ownCode, PeerPointCode: exchangeCode, Role: m3ua.RoleASP}}
	l.Lines = simenv.NewLines(socketAssociation{l.Endpoint, clock}, seed, linesStream)
	l.OnMessage = func(_ *Endpoint, message *isup.Message) { l.Receive(message) }
	return l
}
