package catalog

import (
	"sync"
	"time"

	"almondstile/history"
)

const (
	// outageThreshold is the length from which a gap between two updates from the
	// store counts as an outage of the store. Updates normally come once a second.
	outageThreshold = 2500 * time.Millisecond
	// removalGrace is how long after an outage removed registrations stay in use.
	// Registrations expire while the store is unavailable. Servers that still run
	// write them again within 2 s. After the store went back it applies to the rows that
	// the older copy lacks, which their writers write again.
	removalGrace = 2200 * time.Millisecond
)

// tableCopy is one VM's copy of a table. Its methods lock mu, except those
// whose comments say that the caller holds it.
type tableCopy struct {
	mu sync.Mutex
	// rowsExpire says that the store removes rows whose writers cannot reach it, as
	// it does with registrations of servers.
	rowsExpire bool
	rows       map[string]Row
	position   history.Position
	// asOf is the time of the store's clock as of which the copy is current.
	asOf time.Duration
	// asOfBefore is asOf before its last change.
	asOfBefore time.Duration
	// confirmedAt is the local time at which asOf was received, and ageThen the age that the
	// copy had then. Its age does not depend on the store's clock afterwards.
	confirmedAt, ageThen time.Duration
	loaded               bool
	// laterEra is the latest era that an answer about another table has shown, and
	// laterEraAt the local time of that. If it is later than the copy's, the whole table
	// must be read.
	laterEra   history.Era
	laterEraAt time.Duration
	// stated is the number that the store stated with the copy's era. It is 0 if the store
	// stated none, or if another VM found the era: the store may state a lower number then.
	stated uint64
	// wholeAt is the local time at which a whole table was received last.
	wholeAt time.Duration
	// inDoubt is set if an answer looked older than the copy, until a whole table is
	// applied. doubtSince is the local time since which all answers have looked like that.
	inDoubt    bool
	doubtSince time.Duration
	// outageEndedAt is the time of the store's clock at which the last outage that
	// this VM detected had ended. It is valid if hadOutage is set.
	outageEndedAt time.Duration
	hadOutage     bool
	// retained holds rows that were removed within removalGrace of the end of an
	// outage, or that the store lost. They stay in use for a limited time.
	retained map[string]retainedRow
}

// retainedRow is a removed row that stays in use until a time of the store's clock.
type retainedRow struct {
	row   Row
	until time.Duration
}

// beginCall returns a call that starts at a local time.
func (c *tableCopy) beginCall(now time.Duration) Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Call{known: c.position, start: now}
}

// apply applies the store's answer to a call: changes for this version of the copy or an
// older one, or the whole table. Answers that are older than the copy are ignored. An
// answer from a later era replaces the copy if it is the whole table; otherwise the result
// is ResultNewEra. now is the local time, and age that of the answer if it is of the copy's era.
func (c *tableCopy) apply(now, age time.Duration, call Call, ch Changes) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	standing, era := c.judge(now, call, ch)
	if ch.FullTable {
		c.wholeAt = now
	}
	changed := true
	switch {
	case standing == standingOlder:
		return ResultOlder
	case standing == standingOvertaken:
		return ResultOvertaken
	case standing == standingLaterEra && !ch.FullTable:
		return ResultNewEra
	case standing == standingLaterEra:
		c.replace(now, ch.Rows, era, ch.AsOf, now-call.start)
	default:
		changed = c.update(now, call, ch, era, age)
	}
	overtaken := call.known.Before(c.position)
	c.position, c.loaded = history.Position{Era: era, Version: ch.Version}, true
	if ch.FullTable {
		c.inDoubt = false
	}
	if ch.Era > 0 {
		c.stated = ch.Era
	}
	switch {
	case changed:
		return ResultChanged
	case overtaken:
		return ResultOvertaken
	}
	return ResultUnchanged
}

// update applies an answer from the copy's era, received at the local time now at an age, and
// reports whether any row changed. The caller holds mu.
func (c *tableCopy) update(now time.Duration, call Call, ch Changes, era history.Era, age time.Duration) (changed bool) {
	if c.loaded && call.start >= c.confirmedAt && ch.AsOf < c.asOf {
		c.confirm(now, ch.AsOf, age) // the earlier time was wrong, or the clock went back
	}
	c.advanceAsOf(now, ch.AsOf, age)
	changed = !c.loaded
	if ch.FullTable {
		changed = c.removeMissing(keysOf(ch.Rows)) || changed
	}
	for _, row := range ch.Rows {
		row.era = era
		changed = c.put(row) || changed
	}
	return changed
}

// merge applies a delta from another VM, received at the local time now, at which the store's
// clock shows storeNow. A delta that is older than the copy is ignored, as is one from a later
// era that is not the whole table. It reports whether any row changed and whether a new era
// began.
func (c *tableCopy) merge(now, storeNow time.Duration, d Delta) (changed, newEra bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.loaded:
	case d.Position.Era != c.position.Era:
		if !c.begins(now, d) {
			return false, false
		}
		c.replace(now, d.Rows, d.Position.Era, d.AsOf, storeNow-d.AsOf)
		c.position, c.stated = d.Position, statedWith(d.Position.Era)
		return true, true
	case d.Position.Before(c.position) || c.isOutdated():
		return false, false
	}
	c.advanceAsOf(now, d.AsOf, storeNow-d.AsOf)
	changed = !c.loaded
	keys := make(map[string]bool, len(d.Keys))
	for _, key := range d.Keys {
		keys[key] = true
	}
	changed = c.removeMissing(keys) || changed
	for _, row := range d.Rows {
		row.era = d.Position.Era
		changed = c.put(row) || changed
	}
	if !c.loaded {
		c.stated, c.wholeAt = statedWith(d.Position.Era), now
	}
	c.position, c.loaded = d.Position, true
	return changed, false
}

// begins reports whether a delta from another era replaces the copy. An era that only VMs
// have found may come from a state that lags behind; it does not replace a copy that is as
// of a later time and has been confirmed lately. The caller holds mu.
func (c *tableCopy) begins(now time.Duration, d Delta) bool {
	if !d.FullTable || d.Position.Era.Compare(c.position.Era) < 0 {
		return false
	}
	return d.Position.Era.Stated > c.position.Era.Stated || d.AsOf > c.asOf || now-c.confirmedAt >= maxDoubtTime
}

// wouldBegin reports whether a delta would replace the copy by one of a later era.
func (c *tableCopy) wouldBegin(now time.Duration, d Delta) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.loaded || d.Position.Era != c.position.Era && c.begins(now, d)
}

// keysOf returns the set of the rows' keys.
func keysOf(rows []Row) map[string]bool {
	keys := make(map[string]bool, len(rows))
	for _, row := range rows {
		keys[row.Key] = true
	}
	return keys
}

// recordPeer records that another VM's copy has the given position and was current at
// asOf. It reports whether this copy is older, or missing. now is the local time, and
// storeNow that of the store's clock.
func (c *tableCopy) recordPeer(now, storeNow time.Duration, peer history.Position, asOf time.Duration) (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || c.position.Before(peer) {
		return peer.Version > 0
	}
	if peer == c.position && !c.isOutdated() {
		c.advanceAsOf(now, asOf, storeNow-asOf)
	}
	return false
}

// age returns the age of the copy at the local time now. storeNow is the time of the store's
// clock, in the era clockEra. It counts as well if the copy is of that era: the estimate of the
// clock may have become better since the copy was confirmed.
func (c *tableCopy) age(now, storeNow time.Duration, clockEra history.Era) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := c.localAge(now)
	if clockEra == c.position.Era {
		age = max(age, storeNow-c.asOf)
	}
	return age
}

// localAge returns the age of the copy by local time. The caller holds mu.
func (c *tableCopy) localAge(now time.Duration) time.Duration { return now - c.confirmedAt + c.ageThen }

// positionAsOf returns the position of the copy and the time of the store's clock as of
// which it is current. Both are 0 before the table is loaded.
func (c *tableCopy) positionAsOf() (history.Position, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return history.Position{}, 0
	}
	return c.position, c.asOf
}

// advanceAsOf records at a local time that the copy is current as of a time of the store's
// clock, which is an age ago. A later time does not make the copy older: the age is wrong then,
// because it was taken with the clock of another era. An advance of more than outageThreshold is
// recorded as the end of an outage. The caller holds mu.
func (c *tableCopy) advanceAsOf(now, asOf, age time.Duration) {
	if c.loaded && asOf <= c.asOf {
		return
	}
	if c.loaded {
		age = min(age, c.localAge(now))
	}
	if c.loaded && asOf-c.asOf > outageThreshold {
		c.outageEndedAt, c.hadOutage = asOf, true
	}
	c.confirm(now, asOf, age)
}

// confirm sets the time of the store's clock as of which the copy is current, and the age
// that it has at the local time now. The caller holds mu.
func (c *tableCopy) confirm(now, asOf, age time.Duration) {
	c.asOfBefore, c.asOf = c.asOf, asOf
	c.confirmedAt, c.ageThen = now, max(age, 0)
	c.doubtSince = now
}

// changedAt returns the time of the store's clock at which the rows of the last update
// changed at the earliest. A waiting call returns at once, so that is when the update was
// current, unless the update ended an outage.
func (c *tableCopy) changedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hadOutage && c.outageEndedAt == c.asOf {
		return c.asOfBefore
	}
	return c.asOf
}

// put stores or removes a row and reports whether that changed the copy. The caller holds
// mu.
func (c *tableCopy) put(row Row) bool {
	if row.Removed {
		return c.remove(row.Key)
	}
	delete(c.retained, row.Key)
	if old, ok := c.rows[row.Key]; ok && old.Version >= row.Version {
		return false
	}
	if c.rows == nil {
		c.rows = make(map[string]Row)
	}
	c.rows[row.Key] = row
	return true
}

// remove removes a row and reports whether it existed. Right after an outage a row
// that may only have expired is retained for the rest of removalGrace.
func (c *tableCopy) remove(key string) bool {
	row, ok := c.rows[key]
	if !ok {
		return false
	}
	delete(c.rows, key)
	if c.rowsExpire && c.hadOutage && c.asOf-c.outageEndedAt < removalGrace {
		c.retain(row, c.outageEndedAt+removalGrace)
	}
	return true
}

// removeMissing removes all rows whose keys are not in the set and reports whether
// there were any. The caller holds mu.
func (c *tableCopy) removeMissing(keys map[string]bool) bool {
	changed := false
	for key := range c.rows {
		if !keys[key] {
			changed = c.remove(key) || changed
		}
	}
	return changed
}

// deleteExpired deletes retained rows whose time has ended and reports whether
// there were any.
func (c *tableCopy) deleteExpired(storeNow time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deleted := false
	for key, r := range c.retained {
		if storeNow >= r.until {
			delete(c.retained, key)
			deleted = true
		}
	}
	return deleted
}

// deltaSince returns the rows that changed after a position and the keys of all rows, or
// all rows if the position is of another era. Retained rows are not part of it.
func (c *tableCopy) deltaSince(after history.Position) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delta{Position: c.position, AsOf: c.asOf, FullTable: after.Era != c.position.Era || after.Version == 0}
	for key, row := range c.rows {
		d.Keys = append(d.Keys, key)
		if d.FullTable || row.Version > after.Version {
			d.Rows = append(d.Rows, row)
		}
	}
	return d
}

// usableRows returns all rows, including the retained ones.
func (c *tableCopy) usableRows() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Row, 0, len(c.rows)+len(c.retained))
	for _, row := range c.rows {
		out = append(out, row)
	}
	for _, r := range c.retained {
		out = append(out, r.row)
	}
	return out
}
