package catalog

import (
	"time"

	"almondstile/history"
)

// maxDoubtTime is how long all answers may look older than the copy until they are believed:
// the store, its clock or the era that it states went back.
const maxDoubtTime = 3 * time.Second

// doubtReadInterval is the least time between two reads of the whole table because of a doubt.
// In between changes are read, which may show that only whole tables lag behind.
const doubtReadInterval = 1 * time.Second

// standing says how an answer of the store relates to a copy.
type standing int

const (
	// standingCurrent means that the answer continues the copy.
	standingCurrent standing = iota
	// standingLaterEra means that the answer is of a later era than the copy.
	standingLaterEra
	// standingOvertaken means that a newer copy has come from another VM since the start of
	// the call.
	standingOvertaken
	// standingOlder means that the answer is older than the copy, or may be.
	standingOlder
)

// judge returns how an answer relates to the copy, and its era if it is to be used. now is
// the local time. The caller holds mu.
func (c *tableCopy) judge(now time.Duration, call Call, ch Changes) (standing, history.Era) {
	own, stated := c.position.Era, ch.Era
	answerStatesNone := stated == 0
	copyKnowsNone := c.stated == 0 && own.Found > 0 && stated <= own.Stated
	if answerStatesNone || copyKnowsNone {
		stated = c.stated // the versions decide
	}
	switch {
	case !c.loaded && c.laterEra.Stated == ch.Era && call.start >= c.laterEraAt:
		return standingCurrent, c.laterEra
	case !c.loaded:
		return standingCurrent, history.Era{Stated: ch.Era}
	case stated != c.stated && stated > max(own.Stated, c.laterEra.Stated):
		return standingLaterEra, history.Era{Stated: stated}
	case c.isOutdated() && call.start >= c.laterEraAt:
		return standingLaterEra, c.laterEra
	case c.isOutdated() || call.known.Era != own:
		return standingOlder, own // it may have been sent before the latest era began
	case stated != c.stated:
		return c.doubt(now)
	case ch.FullTable && ch.Version >= c.position.Version && c.contradicts(ch.Rows):
		return standingLaterEra, own.Next()
	case ch.Version < call.known.Version:
		if ch.AsOf > c.asOf {
			return standingLaterEra, own.Next()
		}
		return c.doubt(now)
	case ch.Version < c.position.Version:
		return standingOvertaken, own
	}
	return standingCurrent, own
}

// statedWith returns the number that the store states with an era that another VM has read,
// or 0 if it is not known.
func statedWith(era history.Era) uint64 {
	if era.Found > 0 {
		return 0
	}
	return era.Stated
}

// doubt records an answer that looks older than the copy. It is believed when all answers
// have looked like that for maxDoubtTime. Until then the whole table is read, which shows
// whether the copy has missed something. The caller holds mu.
func (c *tableCopy) doubt(now time.Duration) (standing, history.Era) {
	own := c.position.Era
	if c.inDoubt && now-c.doubtSince >= maxDoubtTime {
		return standingLaterEra, own.Next()
	}
	if !c.inDoubt {
		c.inDoubt, c.doubtSince = true, now
	}
	return standingOlder, own
}

// contradicts reports whether the whole table holds a row that the copy, in the same era,
// would have to have as well: its version is not above the copy's. A row of the copy whose
// version is above the copy's own came with a later page. The caller holds mu.
func (c *tableCopy) contradicts(rows []Row) bool {
	for _, row := range rows {
		old, ok := c.rows[row.Key]
		if row.Version <= c.position.Version && !(ok && (old.sameWrite(row) || old.Version > c.position.Version)) {
			return true
		}
	}
	return false
}

// isOutdated reports whether another table has shown a later era than the copy's. The
// caller holds mu.
func (c *tableCopy) isOutdated() bool { return c.laterEra.Compare(c.position.Era) > 0 }

// needsWholeTable implements Catalog.NeedsWholeTable.
func (c *tableCopy) needsWholeTable(now, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch sinceWhole := now - c.wholeAt; {
	case !c.loaded || c.isOutdated():
		return true
	case c.inDoubt && sinceWhole >= doubtReadInterval:
		return true
	default:
		return c.stated == 0 && sinceWhole >= interval
	}
}

// replace replaces the copy by the table of a later era, received at the local time now at
// an age. Rows that the table lacks are retained for removalGrace. The caller holds mu.
func (c *tableCopy) replace(now time.Duration, rows []Row, era history.Era, asOf, age time.Duration) {
	c.confirm(now, asOf, age)
	c.asOfBefore = asOf
	c.outageEndedAt, c.hadOutage = asOf, true
	c.inDoubt = false
	until := asOf + removalGrace
	for key, r := range c.retained {
		r.until = min(r.until, until) // it may be a time of the store's clock before it went back
		c.retained[key] = r
	}
	old := c.rows
	c.rows = make(map[string]Row, len(rows))
	for _, row := range rows {
		row.era = era
		if before, ok := old[row.Key]; ok && before.sameWrite(row) {
			row = before
		}
		c.rows[row.Key] = row
		delete(c.retained, row.Key)
	}
	for key, row := range old {
		if _, ok := c.rows[key]; !ok {
			c.retain(row, until)
		}
	}
}

// retain keeps a row in use that was removed, until a time of the store's clock. The caller
// holds mu.
func (c *tableCopy) retain(row Row, until time.Duration) {
	if c.retained == nil {
		c.retained = make(map[string]retainedRow)
	}
	c.retained[row.Key] = retainedRow{row: row, until: until}
}

// recordLaterEra records that an answer about another table has shown a later era at a
// local time.
func (c *tableCopy) recordLaterEra(now time.Duration, era history.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era.Compare(c.laterEra) > 0 {
		c.laterEra, c.laterEraAt = era, now
	}
}
