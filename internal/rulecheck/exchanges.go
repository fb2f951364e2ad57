package rulecheck

import "time"

// checkDraining checks rule 3 on an outgoing IAM: none once the grace time after the announcement is over.
func (c *checker) checkDraining(server *callServer, record Record) {
	state, ok := server.exchangeStates[record.Peer]
	if ok && state.state != Ready && record.At > state.since+c.parameters.Grace+c.parameters.TapSkew {
		c.violation(3, record.At, server, nil, "a set-up toward %s, %v after it was announced as draining or gone",
			record.Peer, record.At-state.since)
	}
}

// coldStart is the start of a processor, with the set-ups sent to it in the last OverloadWindow.
type coldStart struct {
	startedAt  time.Duration
	capacity   float64 // set-ups per second after slow start
	setups     []sentSetup
	overloaded bool // the violation has been reported
}

// sentSetup is a set-up sent to a cold exchange.
type sentSetup struct {
	at         time.Duration
	startKnown bool // the start had been announced to the call server that sent it
}

// setupSlack is the number of set-ups tolerated above the budget, since set-ups are whole numbers and arrive at random.
const setupSlack = 3

// checkColdStart checks rule 4 on an outgoing IAM: all call servers together may send a cold exchange at most ColdBudget set-ups in
// the OverloadWindow that ends now. A call server that has not been notified of the start cannot limit its set-ups, so it is a
// violation only if at least two thirds of them came from ones that had been. Each start has at most one violation.
func (c *checker) checkColdStart(server *callServer, record Record) {
	start := c.coldStarts[record.Peer]
	if start == nil || start.overloaded || record.At-start.startedAt > c.parameters.SlowStart {
		return
	}
	state := server.exchangeStates[record.Peer]
	start.setups = append(start.setups, sentSetup{record.At, state.startKnownAt > 0 && state.startKnownAt >= start.startedAt})
	for len(start.setups) > 0 && start.setups[0].at < record.At-c.parameters.OverloadWindow {
		start.setups = start.setups[1:]
	}
	startKnownCount := 0
	for _, setup := range start.setups {
		if setup.startKnown {
			startKnownCount++
		}
	}
	if limit := ColdBudget(c.parameters, start.capacity, record.At-start.startedAt); float64(len(start.setups)) > limit &&
		3*startKnownCount >= 2*len(start.setups) {
		start.overloaded = true
		c.violation(4, record.At, server, nil, "%d set-ups toward the cold %s within %v, its limit is %.0f", len(start.setups), record.Peer,
			c.parameters.OverloadWindow, limit)
	}
}

// ColdBudget returns the number of set-ups within OverloadWindow above which a processor that started some time ago is
// overloaded and fails, setupSlack included. Its capacity grows linearly from InitialShare at its start to all of it after SlowStart.
func ColdBudget(parameters Parameters, capacity float64, since time.Duration) float64 {
	share := 1.0
	if since < parameters.SlowStart && parameters.SlowStart > 0 {
		share = parameters.InitialShare + (1-parameters.InitialShare)*float64(since)/float64(parameters.SlowStart)
	}
	return parameters.Overload*share*capacity*parameters.OverloadWindow.Seconds() + setupSlack
}
