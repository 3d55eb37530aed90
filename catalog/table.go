package catalog

import (
	"sync"
	"time"
)

// Table names one of the store's tables that VMs copy.
type Table int

// The tables.
const (
	// Operator holds the configuration and the zones that are out.
	OperatorTable Table = iota
	// Servers holds the registrations of backend servers.
	ServerTable
	tableCount
)

// Tables lists all tables.
var Tables = [tableCount]Table{OperatorTable, ServerTable}

// String returns the table's name in log lines.
func (t Table) String() string {
	return [...]string{"operator", "servers"}[t]
}

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version is the store's version at which the row was written.
	Version uint64
	Removed bool
}

// Changes are rows that changed up to a version, as of a time of the store.
type Changes struct {
	// Whole says that Rows is the whole table.
	FullTable bool
	Rows      []Row
	Version   uint64
	AsOf      time.Duration
}

// Delta is what one VM passes to another that has an older copy.
type Delta struct {
	// Rows have changed since the other VM's version.
	Rows []Row
	// Keys lists all rows; those missing here were removed.
	Keys    []string
	Version uint64
	AsOf    time.Duration
}

const (
	// outageGap is the time without word from the store after which its return
	// counts as the end of an outage. Word normally comes each second.
	outageGap = 2500 * time.Millisecond
	// lapseGrace is how long after an outage removed registrations stay in use:
	// servers that live write them again within two seconds.
	lapseGrace = 2200 * time.Millisecond
)

// tableCopy is one VM's copy of a table. It has its own lock.
type tableCopy struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
	asOf    time.Duration
	known   bool
	// returnedAt is the store's time at which its last outage had ended, as far
	// as this VM noticed one.
	returnedAt time.Duration
	outage     bool
	// lapsed holds rows that were removed during or right after an outage, with
	// the store's time until which they still count.
	lapsed map[string]lapsedRow
}

type lapsedRow struct {
	row   Row
	until time.Duration
}

// apply takes in changes after a version of this copy or older. It reports
// whether any row changed.
func (c *tableCopy) apply(ch Changes) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && ch.Version < c.version {
		return false
	}
	c.confirm(ch.AsOf)
	changed := !c.known
	if ch.FullTable {
		keys := make(map[string]bool, len(ch.Rows))
		for _, row := range ch.Rows {
			keys[row.Key] = true
		}
		changed = c.retain(keys) || changed
	}
	for _, row := range ch.Rows {
		changed = c.put(row) || changed
	}
	c.version, c.known = ch.Version, true
	return changed
}

// merge takes in what another VM passed on.
func (c *tableCopy) merge(d Delta) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known && d.Version < c.version {
		return false
	}
	c.confirm(d.AsOf)
	changed := !c.known
	keys := make(map[string]bool, len(d.Keys))
	for _, key := range d.Keys {
		keys[key] = true
	}
	changed = c.retain(keys) || changed
	for _, row := range d.Rows {
		changed = c.put(row) || changed
	}
	c.version, c.known = d.Version, true
	return changed
}

// confirm notes that the copy is current as of a time of the store.
func (c *tableCopy) confirm(asOf time.Duration) {
	if asOf <= c.asOf {
		return
	}
	if c.known && asOf-c.asOf > outageGap {
		c.returnedAt, c.outage = asOf, true
	}
	c.asOf = asOf
}

func (c *tableCopy) put(row Row) bool {
	if row.Removed {
		return c.remove(row.Key)
	}
	delete(c.lapsed, row.Key)
	if old, ok := c.rows[row.Key]; ok && old.Version >= row.Version {
		return false
	}
	if c.rows == nil {
		c.rows = make(map[string]Row)
	}
	c.rows[row.Key] = row
	return true
}

func (c *tableCopy) remove(key string) bool {
	row, ok := c.rows[key]
	if !ok {
		return false
	}
	delete(c.rows, key)
	if c.outage && c.asOf-c.returnedAt < lapseGrace {
		if c.lapsed == nil {
			c.lapsed = make(map[string]lapsedRow)
		}
		c.lapsed[key] = lapsedRow{row: row, until: c.returnedAt + lapseGrace}
	}
	return true
}

func (c *tableCopy) retain(keys map[string]bool) bool {
	changed := false
	for key := range c.rows {
		if !keys[key] {
			changed = c.remove(key) || changed
		}
	}
	return changed
}

// expire drops lapsed rows whose grace has ended and reports whether any did.
func (c *tableCopy) expire(storeNow time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	dropped := false
	for key, l := range c.lapsed {
		if storeNow >= l.until {
			delete(c.lapsed, key)
			dropped = true
		}
	}
	return dropped
}

// delta returns what changed after a version.
func (c *tableCopy) delta(after uint64) Delta {
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

// all returns the rows that count, including lapsed ones.
func (c *tableCopy) all() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Row, 0, len(c.rows)+len(c.lapsed))
	for _, row := range c.rows {
		out = append(out, row)
	}
	for _, l := range c.lapsed {
		out = append(out, l.row)
	}
	return out
}
