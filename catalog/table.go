package catalog

import (
	"sync"
	"time"
)

// Table identifies one of the store's tables that VMs copy.
type Table int

// The tables that VMs copy.
const (
	// OperatorTable holds the configuration and the zones that are out.
	OperatorTable Table = iota
	// ServerTable holds the registrations of backend servers.
	ServerTable
	// RolloutTable holds the states of roll-outs, which VMs write. Only deployments with
	// roll-outs have it.
	RolloutTable
	tableCount
)

// allTables lists all tables.
var allTables = [tableCount]Table{OperatorTable, ServerTable, RolloutTable}

// String returns the table's name, as used in log lines and in requests between
// VMs.
func (t Table) String() string {
	return [...]string{"operator", "servers", "rollouts"}[t]
}

// Row is a row of a table, or the removal of a row.
type Row struct {
	Key   string
	Value []byte
	// Version is the store's version at which the row was written or removed.
	Version uint64
	// Removed is set if the row was removed. Value is not used then.
	Removed bool
}

// Changes are the rows that the store returns: those that changed after a version
// that the caller gave, or the whole table.
type Changes struct {
	// FullTable says that Rows is the whole table.
	FullTable bool
	Rows      []Row
	// Version is the version of the table that results from the changes.
	Version uint64
	// Era is the number that the store gives its history, 0 if it gives none.
	Era uint64
	// AsOf is the time of the store's clock at which Version was current.
	AsOf time.Duration
}

// Delta is what a VM sends to another VM whose copy of a table is older.
type Delta struct {
	// Rows are the rows that changed after the other VM's version.
	Rows []Row
	// Keys are the keys of all rows of the table. The receiver removes all other rows.
	Keys []string
	// Version is the version of the sender's copy.
	Version uint64
	// AsOf is the time of the store's clock as of which the sender's copy is current.
	AsOf time.Duration
}

const (
	// outageThreshold is the length from which a gap between two updates from the
	// store counts as an outage of the store. Updates normally come once a second.
	outageThreshold = 2500 * time.Millisecond
	// removalGrace is how long after an outage removed registrations stay in use.
	// Registrations expire while the store is unavailable. Servers that still run
	// write them again within 2 s.
	removalGrace = 2200 * time.Millisecond
)

// tableCopy is one VM's copy of a table. Its methods lock mu, except advanceAsOf,
// put, remove and removeMissing, whose callers hold it.
type tableCopy struct {
	mu sync.Mutex
	// rowsExpire says that the store removes rows whose writers cannot reach it, as
	// it does with registrations of servers.
	rowsExpire bool
	rows       map[string]Row
	version    uint64
	// asOf is the time of the store's clock as of which the copy is current.
	asOf time.Duration
	// asOfBefore is asOf before its last advance.
	asOfBefore time.Duration
	loaded     bool
	// outageEndedAt is the time of the store's clock at which the last outage that
	// this VM detected had ended. It is valid if hadOutage is set.
	outageEndedAt time.Duration
	hadOutage     bool
	// retained holds rows that were removed within removalGrace of the end of an
	// outage. They stay in use for a limited time.
	retained map[string]retainedRow
}

// retainedRow is a removed row that stays in use until a time of the store's clock.
type retainedRow struct {
	row   Row
	until time.Duration
}

// apply applies changes that the store returned for this version of the copy or an
// older one. Changes that are older than the copy are ignored. It returns ResultOlder,
// ResultContradictory, ResultChanged or ResultUnchanged.
func (c *tableCopy) apply(ch Changes) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded && ch.Version < c.version {
		if ch.AsOf > c.asOf {
			return ResultContradictory
		}
		return ResultOlder
	}
	c.advanceAsOf(ch.AsOf)
	changed := !c.loaded
	if ch.FullTable {
		keys := make(map[string]bool, len(ch.Rows))
		for _, row := range ch.Rows {
			keys[row.Key] = true
		}
		changed = c.removeMissing(keys) || changed
	}
	for _, row := range ch.Rows {
		changed = c.put(row) || changed
	}
	c.version, c.loaded = ch.Version, true
	if changed {
		return ResultChanged
	}
	return ResultUnchanged
}

// merge applies a delta from another VM. A delta that is older than the copy is
// ignored. It reports whether any row changed.
func (c *tableCopy) merge(d Delta) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded && d.Version < c.version {
		return false
	}
	c.advanceAsOf(d.AsOf)
	changed := !c.loaded
	keys := make(map[string]bool, len(d.Keys))
	for _, key := range d.Keys {
		keys[key] = true
	}
	changed = c.removeMissing(keys) || changed
	for _, row := range d.Rows {
		changed = c.put(row) || changed
	}
	c.version, c.loaded = d.Version, true
	return changed
}

// advanceAsOf records that the copy is current as of a time of the store's clock.
// An advance of more than outageThreshold is recorded as the end of an outage.
func (c *tableCopy) advanceAsOf(asOf time.Duration) {
	if asOf <= c.asOf {
		return
	}
	if c.loaded && asOf-c.asOf > outageThreshold {
		c.outageEndedAt, c.hadOutage = asOf, true
	}
	c.asOfBefore, c.asOf = c.asOf, asOf
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

// put stores or removes a row and reports whether that changed the copy.
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
		if c.retained == nil {
			c.retained = make(map[string]retainedRow)
		}
		c.retained[key] = retainedRow{row: row, until: c.outageEndedAt + removalGrace}
	}
	return true
}

// removeMissing removes all rows whose keys are not in the set and reports whether
// there were any.
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

// deltaSince returns the rows that changed after a version and the keys of all
// rows. Retained rows are not part of it.
func (c *tableCopy) deltaSince(after uint64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delta{Version: c.version, AsOf: c.asOf}
	for key, row := range c.rows {
		d.Keys = append(d.Keys, key)
		if row.Version > after {
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
