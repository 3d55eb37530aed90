package catalog

import (
	"time"

	"almondstile/history"
)

// maxContradiction is how long all answers may have lower versions at earlier times than
// the copy until it counts as outdated: the store's clock went back too.
const maxContradiction = 3 * time.Second

// eraOf returns the era of an answer, or the result if the answer is not to be used. The
// caller holds mu.
func (c *tableCopy) eraOf(now time.Duration, call Call, ch Changes) (history.Era, Result) {
	own := c.position.Era
	switch {
	case ch.Era == c.laterEra.Stated && c.laterEra.Compare(own) > 0 && call.start >= c.laterEraAt:
		return c.laterEra, ""
	case !c.loaded || ch.Era > own.Stated:
		return history.Era{Stated: ch.Era}, ""
	case ch.Era < own.Stated || call.known.Era != own || c.laterEra.Compare(own) > 0:
		return own, ResultOlder // it was sent before the latest era began, as far as can be known
	case ch.Version >= c.position.Version:
		return own, ""
	case ch.Version >= call.known.Version:
		return own, ResultOvertaken
	case ch.AsOf > c.asOf || c.olderSince > 0 && now-c.olderSince >= maxContradiction:
		return own.Next(), ""
	case c.olderSince == 0:
		c.olderSince = now
	}
	return own, ResultOlder
}

// replace replaces the copy by the table of a later era. Rows that the table lacks are
// retained for removalGrace. The caller holds mu.
func (c *tableCopy) replace(rows []Row, era history.Era, asOf time.Duration) {
	c.asOf, c.asOfBefore = asOf, asOf
	c.outageEndedAt, c.hadOutage = asOf, true
	c.olderSince = 0
	old := c.rows
	c.rows = make(map[string]Row, len(rows))
	if c.retained == nil {
		c.retained = make(map[string]retainedRow)
	}
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
			c.retained[key] = retainedRow{row: row, until: asOf + removalGrace}
		}
	}
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
