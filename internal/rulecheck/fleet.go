package rulecheck

import "time"

// drained judges rule 3.
func (c *checker) drained(s *server, r Record) {
	t, ok := s.told[r.Peer]
	if ok && t.state != Ready && r.At > t.at+c.f.Grace+c.f.Skew {
		c.breach(3, r.At, s, nil, "a set-up toward %s, %v after it was told that it drains or is gone", r.Peer, r.At-t.at)
	}
}

// coldStart is a processor that has just started, with the set-ups sent to it.
type coldStart struct {
	at       time.Duration
	capacity float64
	sent     []sent
	fell     bool
}

type sent struct {
	at       time.Duration
	informed bool
}

// slackSetups allows for chance, as set-ups are whole ones.
const slackSetups = 3

// coldOut judges rule 4: over any window as long as TipAfter, the set-ups that all call servers together send a
// cold exchange stay under Overload times what it can do. It counts as broken where two thirds of them came from
// call servers that had been told of the start.
func (c *checker) coldOut(s *server, r Record) {
	k := c.cold[r.Peer]
	if k == nil || k.fell || r.At-k.at > c.f.ColdFor {
		return
	}
	t := s.told[r.Peer]
	k.sent = append(k.sent, sent{r.At, t.cold > 0 && t.cold >= k.at})
	for len(k.sent) > 0 && k.sent[0].at < r.At-c.f.TipAfter {
		k.sent = k.sent[1:]
	}
	informed := 0
	for _, x := range k.sent {
		if x.informed {
			informed++
		}
	}
	if limit := Budget(c.f, k.capacity, r.At-k.at); float64(len(k.sent)) > limit && 3*informed >= 2*len(k.sent) {
		k.fell = true
		c.breach(4, r.At, s, nil, "%d set-ups toward the cold %s within %v, %.0f are its limit", len(k.sent), r.Peer,
			c.f.TipAfter, limit)
	}
}

// Budget is how many set-ups a processor that started some time ago takes within TipAfter before it falls over.
// It warms up evenly from ColdFrom to all of its capacity.
func Budget(f Figures, capacity float64, since time.Duration) float64 {
	share := 1.0
	if since < f.ColdFor && f.ColdFor > 0 {
		share = f.ColdFrom + (1-f.ColdFrom)*float64(since)/float64(f.ColdFor)
	}
	return f.Overload*share*capacity*f.TipAfter.Seconds() + slackSetups
}
