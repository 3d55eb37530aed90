package catalog

import "time"

// CallKind names a kind of call to the store, in metrics and log lines.
type CallKind string

// The kinds of calls.
const (
	CallChanges CallKind = "changes" // WaitForChanges
	CallTable   CallKind = "table"   // Read
)

// Result says what came of a call to the store, in metrics and log lines.
type Result string

// The results of calls.
const (
	// ResultChanged and ResultUnchanged mean that the copy is current as of the answer. In
	// the first case rows changed.
	ResultChanged   Result = "changed"
	ResultUnchanged Result = "unchanged"
	// ResultOlder means that the answer has a lower version than the copy and is as of an
	// earlier time, or that it is of an earlier era. It was not used.
	ResultOlder Result = "older"
	// ResultOvertaken means that a newer copy has come from another VM since the start of the
	// call. The answer was not used.
	ResultOvertaken Result = "overtaken"
	// ResultNewEra means that the store has gone back to an older copy since the version.
	// The whole table must be read.
	ResultNewEra Result = "new_era"
	// ResultHistoryLost means that the store does not have the changes since the version.
	ResultHistoryLost Result = "history_lost"
	// ResultOverloaded means that the store rejected the call because of the rate of calls.
	ResultOverloaded Result = "overloaded"
	ResultFailed     Result = "failed"
)

// recordCall counts a call to the store and what came of it.
func (c *Catalog) recordCall(t Table, kind CallKind, result Result) {
	if c.Observer != nil {
		c.Observer.StoreCall(t, kind, result)
	}
}

// logUnusedAnswer logs an answer that was not used, beside the copy that is kept.
func (c *Catalog) logUnusedAnswer(t Table, ch Changes, result Result) {
	withheld, due := c.unusedAnswers[t].Due(time.Now())
	if !due {
		return
	}
	position, asOf := c.PositionAsOf(t)
	c.log.WithField("table", t.String()).WithField("result", result).WithField("whole_table", ch.FullTable).
		WithField("era", ch.Era).WithField("version", ch.Version).WithField("as_of_ms", ch.AsOf.Milliseconds()).
		WithField("copy_era", position.Era.String()).WithField("copy_version", position.Version).WithField("copy_as_of_ms", asOf.Milliseconds()).
		WithField("copy_age_ms", c.Age(t).Milliseconds()).WithField("withheld", withheld).
		Warn("An answer of the store was not used.")
}
