package catalog

import (
	"time"

	"almondstile/history"
)

const (
	// returnDistrust is how long a registration that had been removed, and that came back
	// with an older copy of the store, is not used. A registration whose server does not
	// write it again has lapsed by then.
	returnDistrust = 5 * time.Second
	// departureMemory is how long a departure is remembered. It is longer than the age of the
	// copies from which the store comes back.
	departureMemory = 60 * time.Second
)

// departure is what is kept of a server that has said that it leaves, or whose registration
// was removed, so that an older copy of the store does not bring it back into use.
type departure struct {
	// startedAt identifies the server's incarnation.
	startedAt int64
	// draining is set if the server said that it leaves.
	draining bool
	// row is the position of the last row that showed it.
	row history.Position
	// seenAt is the local time at which the departure was seen or the row was last there.
	seenAt time.Duration
	// returned is the position of a row that came back with an older copy of the store, and
	// distrustedUntil the local time until which it is not used.
	returned        history.Position
	distrustedUntil time.Duration
}

// recordRegistration remembers a registration that says that the server leaves. It marks one
// that came back with an older copy of the store: as draining if the server had said so, and
// otherwise as distrusted for a while. The caller holds rebuildMu.
func (c *Catalog) recordRegistration(key string, r *Registration) {
	if r.Draining {
		c.recordDeparture(key, r)
		return
	}
	d, ok := c.departures[key]
	switch {
	case !ok:
	case d.startedAt != r.StartedAt || r.row.Era.Compare(d.row.Era) <= 0:
		delete(c.departures, key) // the server registered again
	case d.draining:
		r.Draining = true
	case d.returned.Era.Compare(r.row.Era) < 0:
		d.returned, d.distrustedUntil = r.row, c.clock()+returnDistrust
		c.departures[key] = d
		r.distrusted = true
	case d.returned == r.row && c.clock() < d.distrustedUntil:
		r.distrusted = true
	default:
		delete(c.departures, key) // the server registered again, or its row would have lapsed
	}
}

// recordDeparture remembers that a server leaves or has left. The caller holds rebuildMu.
func (c *Catalog) recordDeparture(key string, r *Registration) {
	c.departures[key] = departure{startedAt: r.StartedAt, draining: r.Draining, row: r.row, seenAt: c.clock()}
}

// endDistrust makes registrations be decoded again whose time of distrust has ended, and
// forgets old departures. It reports whether the view must be rebuilt.
func (c *Catalog) endDistrust() (rebuild bool) {
	c.rebuildMu.Lock()
	defer c.rebuildMu.Unlock()
	now := c.clock()
	for key, d := range c.departures {
		_, present := c.registrations[key]
		switch {
		case !present && now-d.seenAt > departureMemory:
			delete(c.departures, key)
		case present && d.distrustedUntil > 0 && now >= d.distrustedUntil:
			delete(c.registrations, key)
			rebuild = true
		}
	}
	return rebuild
}
