package logic

import (
	"slices"
	"time"
)

// officeRecord is an office that service discovery has named.
type officeRecord struct {
	Office
	// coldSince is the beginning of its slow start: when it started or came back; negative: long ago.
	coldSince time.Duration
}

// UpdateOffices applies a snapshot or update of service discovery. An office that drains or is missing gets no new calls from
// now on (rule 3). While service discovery is unavailable, its snapshot is requested again after one to two
// seconds.
func (c *Controller) UpdateOffices(now time.Duration, kind ListKind, offices []Office) {
	c.advanceClock(now)
	if kind == ListUnavailable {
		c.host.Timer(time.Second+time.Duration(c.rng.Int63n(int64(time.Second))), "w")
		return
	}
	named := map[string]bool{}
	for _, entry := range offices {
		named[entry.ID] = true
		c.selectOffice(c.updateOffice(entry))
	}
	for _, exchange := range c.exchanges {
		for _, office := range exchange.offices {
			if kind != ListUpdate && !named[office.ID] && office.State != Gone {
				office.State = Gone
				c.selectOffice(exchange)
			}
		}
	}
	c.hasSnapshot = true
}

// updateOffice applies an entry of service discovery and returns its exchange. An office may move to another exchange. A slow
// start is due for an office that is new, has started again or is ready again after it was gone.
func (c *Controller) updateOffice(entry Office) *exchangeRecord {
	known, exchange := c.offices[entry.ID], c.exchangeByNumber(entry.Exchange, true)
	fresh := known == nil || known.Started != entry.Started || known.State == Gone && entry.State == Ready
	if known == nil {
		known = &officeRecord{Office: entry, coldSince: -1}
		c.offices[entry.ID] = known
		exchange.offices = append(exchange.offices, known)
	} else if known.Exchange != entry.Exchange {
		previous := c.exchangeByNumber(known.Exchange, true)
		previous.offices = slices.DeleteFunc(previous.offices, func(office *officeRecord) bool { return office == known })
		exchange.offices = append(exchange.offices, known)
		c.selectOffice(previous)
	}
	known.Office = entry
	if fresh && entry.Started > 0 && c.now-entry.Started < c.settings.ColdFor {
		known.coldSince = entry.Started
	} else if fresh && c.hasSnapshot {
		known.coldSince = c.now
	}
	return exchange
}

// selectOffice chooses the office that gets the new calls of an exchange: the one that started last of those that are ready.
// It begins the slow start that is due for that office.
func (c *Controller) selectOffice(exchange *exchangeRecord) {
	var best *officeRecord
	for _, office := range exchange.offices {
		if office.State == Ready && (best == nil || office.Started > best.Started ||
			office.Started == best.Started && office.ID < best.ID) {
			best = office
		}
	}
	if best != nil && best.coldSince >= 0 && (exchange.serving != best || exchange.coldSince != best.coldSince) {
		c.startSlowStart(exchange, best.coldSince)
		exchange.unresponsive = false
	}
	exchange.serving = best
}

// removeGoneOffices deletes offices that are gone, so that memory stays bounded when service discovery keeps naming new
// ones. An office that comes back later is treated as new, as it would be if it had been kept.
func (c *Controller) removeGoneOffices(exchange *exchangeRecord) {
	exchange.offices = slices.DeleteFunc(exchange.offices, func(office *officeRecord) bool {
		if office.State == Gone {
			delete(c.offices, office.ID)
		}
		return office.State == Gone
	})
}
