package replica

import (
	"time"

	"almondstile/tally"
)

// load is a number of requests under way, and of those that may not be repeated.
type load struct{ all, unrepeatable int }

// add adds n requests.
func (l *load) add(n int, repeatable bool) {
	l.all += n
	if !repeatable {
		l.unrepeatable += n
	}
}

const (
	// reportInterval is the time between two reports of an unchanged load.
	reportInterval = 500 * time.Millisecond
	// reportTimeout is the time without a report after which a VM counts as dead, so that
	// it has nothing under way. Reports are sent twice and are seldom late by more than
	// the time in which a relay is replaced.
	reportTimeout = 2 * time.Second
)

// remoteLoad is what a process of another VM has under way at the servers that are
// replaced, by its reports.
type remoteLoad struct {
	up, down, unrepeatableUp, unrepeatableDown uint64
	reportedAt                                 time.Time
}

// add applies the difference of a report to the last one.
func (r *remoteLoad) add(now time.Time, c tally.Counts) {
	r.up += c[tally.LoadUp]
	r.down += c[tally.LoadDown]
	r.unrepeatableUp += c[tally.UnrepeatableUp]
	r.unrepeatableDown += c[tally.UnrepeatableDown]
	r.reportedAt = now
}

// load returns the load by the last report. A negative one, after a report was missed,
// counts as none.
func (r *remoteLoad) load() load {
	return load{
		all:          difference(r.up, r.down),
		unrepeatable: difference(r.unrepeatableUp, r.unrepeatableDown),
	}
}

// maxRemoteLoad bounds the load of one VM, so that damaged reports do not overflow a sum.
const maxRemoteLoad = 1 << 20

// difference returns up - down, from 0 to maxRemoteLoad.
func difference(up, down uint64) int { return int(min(up-min(up, down), maxRemoteLoad)) }

// ownReport is what this VM reported last.
type ownReport struct {
	load load
	at   time.Time
}

// next returns the counts that report the load, if a report is due.
func (o *ownReport) next(now time.Time, l load) (c tally.Counts, due bool) {
	if l == o.load && now.Sub(o.at) < reportInterval {
		return c, false
	}
	addChange(&c, tally.LoadUp, tally.LoadDown, l.all-o.load.all)
	addChange(&c, tally.UnrepeatableUp, tally.UnrepeatableDown, l.unrepeatable-o.load.unrepeatable)
	c[tally.LoadReports] = 1
	o.load, o.at = l, now
	return c, true
}

// addChange adds a change of a load to one of two counts, which only grow.
func addChange(c *tally.Counts, up, down tally.Field, change int) {
	if change > 0 {
		c[up] += uint64(change)
	} else {
		c[down] += uint64(-change)
	}
}
