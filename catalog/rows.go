package catalog

import (
	"bytes"
	"time"

	"almondstile/history"
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
	// era is the era of the store's history in which a copy took the row over.
	era history.Era
}

// position identifies what the row holds: a row that the store lost and one that has been
// written since may have the same version.
func (r Row) position() history.Position { return history.Position{Era: r.era, Version: r.Version} }

// sameWrite reports whether two rows with the same key are what one write left.
func (r Row) sameWrite(o Row) bool { return r.Version == o.Version && bytes.Equal(r.Value, o.Value) }

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

// Call is a call to the store that is in progress.
type Call struct {
	// known is the position of the copy at the start. The store's answers are linearizable,
	// so an answer from the same era has no lower version.
	known history.Position
	// start is the local time of the start.
	start time.Duration
}

// readAt returns a local time at or before which the store answered the call, whose answer
// was received at now. After a quick call that is now: the error is small, while that of the
// start would stay in the estimate of the store's clock.
func (c Call) readAt(now time.Duration) time.Duration {
	if now-c.start <= contradictionOffset {
		return now
	}
	return c.start
}

// Delta is what a VM sends to another VM whose copy of a table is older.
type Delta struct {
	// FullTable says that Rows is the whole table. Otherwise Rows are the rows that changed
	// after the other VM's version, whose copy is of the same era.
	FullTable bool
	Rows      []Row
	// Keys are the keys of all rows of the table. The receiver removes all other rows.
	Keys []string
	// Position is that of the sender's copy.
	Position history.Position
	// AsOf is the time of the store's clock as of which the sender's copy is current.
	AsOf time.Duration
}
