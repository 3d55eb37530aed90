package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/history"
	"almondstile/logging"
	"almondstile/rollout"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// ErrInvalidRow is returned by a Decoder if a row's value is not what the row's
// key requires. The catalog skips such a row and uses the other rows of the table.
var ErrInvalidRow = errors.New("catalog: the row is invalid")

// Registration is a backend server's entry in the store, which the server writes
// itself.
type Registration struct {
	Server  contract.Server
	Service contract.ServiceID
	// Version is the version of the server's software, "" if it states none.
	Version rollout.Version
	// Draining is set if the server finishes its requests and accepts no new ones.
	Draining bool
	// StartedAt is the time at which the server started, in Unix milliseconds. It
	// distinguishes the incarnations of a server.
	StartedAt int64
	// ColdFor is how long the server stays cold, counted from the writing of the row.
	ColdFor time.Duration
	// ColdUntil is the local time (package boottime) until which the server is
	// treated as cold. The catalog sets it to the time of decoding plus ColdFor.
	ColdUntil time.Duration
	// distrusted is set while the registration may only have come back with an older copy
	// of the store.
	distrusted bool
	row        history.Position
}

// OperatorRow is a decoded row of OperatorTable. Exactly one field is set.
type OperatorRow struct {
	Configuration *contract.Configuration
	// ZoneOut names a zone that gets no new requests while the row exists.
	ZoneOut zone.ID
	// Rollout is an order to move a service's traffic to the servers of a version.
	Rollout *rollout.Order
}

// Decoder decodes the values of rows. Its methods return an error that is
// ErrInvalidRow if a row cannot be decoded.
type Decoder interface {
	// DecodeOperator decodes a row of OperatorTable.
	DecodeOperator(Row) (OperatorRow, error)
	// DecodeServer decodes a row of ServerTable.
	DecodeServer(Row) (Registration, error)
	// DecodeRollout decodes a row of RolloutTable.
	DecodeRollout(Row) (rollout.State, error)
}

// Source names where an update of a table's copy came from, for log lines.
type Source string

// The sources of updates.
const (
	FromStore  Source = "store"  // read by this VM
	FromVM     Source = "vm"     // pulled from another VM
	FromExpiry Source = "expiry" // a retained registration expired
)

// Observer records metrics of the copies. Its methods must not block.
type Observer interface {
	// CopyAge records how old a table's copy was when an update reached it.
	CopyAge(t Table, age time.Duration)
	// StoreCall records a call to the store and what came of it.
	StoreCall(t Table, kind CallKind, result Result)
	// NewEra records the era of a copy when a new one has begun.
	NewEra(t Table, era history.Era)
}

// Catalog holds one VM's copies of the store's tables and the View decoded from
// them. Each copy has its own lock; View reads without a lock.
type Catalog struct {
	decoder Decoder
	log     logging.Logger
	clock   func() time.Duration
	// fromStore holds a value if the store returned changes that were not taken from
	// it yet.
	fromStore chan struct{}
	// Observer may be nil. It must be set before the first update.
	Observer Observer
	// StoreClock estimates the store's clock from the messages of the store and
	// of other VMs.
	StoreClock StoreClock
	// Rollouts says that the deployment has roll-outs. It must be set before the first
	// update.
	Rollouts bool
	tables   [tableCount]tableCopy
	// unusedAnswers and wholeReads bound the log lines about answers that were not used
	// and about reads of the whole table.
	unusedAnswers, wholeReads [tableCount]logging.Throttle
	view                      atomic.Pointer[View]
	// rebuildMu serializes rebuildView and guards the fields below.
	rebuildMu sync.Mutex
	// registrations holds decoded rows by row key; nil stands for an invalid row.
	registrations map[string]*Registration
	// seenRows holds two kinds of entries: by row key, the position of the row that was
	// decoded last; by table name and row key, that of the invalid row that was
	// logged last.
	seenRows map[string]history.Position
	// configurationRow is the position of the row that held the configuration decoded last.
	configurationRow history.Position
	// departures holds the servers that leave or have left lately, by row key.
	departures map[string]departure
	// orders holds for each order of a roll-out the time of the store's clock at which it
	// was written.
	orders map[rollout.OrderID]time.Duration
}

// New returns an empty catalog. The clock returns the local time: boottime.Now,
// or a test's own clock.
func New(decoder Decoder, clock func() time.Duration, log logging.Logger) *Catalog {
	c := &Catalog{
		decoder: decoder, log: log, clock: clock, fromStore: make(chan struct{}, 1),
		registrations: make(map[string]*Registration),
		seenRows:      make(map[string]history.Position),
		departures:    make(map[string]departure),
		orders:        make(map[rollout.OrderID]time.Duration),
	}
	c.tables[ServerTable].rowsExpire = true
	c.view.Store(&View{})
	return c
}

// Tables lists the tables that the VMs of the deployment copy.
func (c *Catalog) Tables() []Table {
	if c.Rollouts {
		return allTables[:]
	}
	return allTables[:RolloutTable]
}

// StoreChanges returns a channel that receives a value after the store returned
// rows that changed a copy. Other VMs wait for these rows.
func (c *Catalog) StoreChanges() <-chan struct{} { return c.fromStore }

// View returns the newest view. Before the first table is loaded it is empty.
func (c *Catalog) View() *View { return c.view.Load() }

// BeginCall returns a call to the store about a table, which starts now.
func (c *Catalog) BeginCall(t Table) Call { return c.tables[t].beginCall(c.clock()) }

// NeedsWholeTable reports whether changes of the table are not enough: there is no copy, it is
// of an earlier era, the store may have gone back, or it states no era and the whole table was
// not read for the interval.
func (c *Catalog) NeedsWholeTable(t Table, interval time.Duration) bool {
	return c.tables[t].needsWholeTable(c.clock(), interval)
}

// Apply updates the copy of a table with the store's answer to a call and rebuilds the
// view if a row changed. An answer that is older than the copy is ignored. It returns what
// came of the answer.
func (c *Catalog) Apply(t Table, call Call, ch Changes) Result {
	c.observeAge(t)
	before, _ := c.PositionAsOf(t)
	now := c.clock()
	result := c.tables[t].apply(now, c.answerAge(now, call, ch.AsOf), call, ch)
	switch result {
	case ResultOlder:
		c.logUnusedAnswer(t, ch, result)
		return result // its time may be that of a state that lags behind
	case ResultNewEra:
		c.logUnusedAnswer(t, ch, result)
		return result // its time is that of the later era's clock
	}
	position, _ := c.PositionAsOf(t)
	c.observeClock(now, call, position.Era, ch.AsOf)
	if before.Version > 0 && position.Era != before.Era {
		c.recordNewEra(t, before, position, FromStore)
	}
	if result == ResultChanged {
		c.rebuildView(FromStore)
		select {
		case c.fromStore <- struct{}{}:
		default: // the last value has not been received yet
		}
	}
	return result
}

// answerAge returns the age of an answer, received at the local time now, if it is of the era
// of the copy at the start of the call. The store answered during the call; the clock of that
// era shows when.
func (c *Catalog) answerAge(now time.Duration, call Call, asOf time.Duration) time.Duration {
	age := now - call.start
	store, known := c.StoreClock.At(now)
	if era, _ := c.StoreClock.Era(); known && call.known.Version > 0 && era == call.known.Era {
		age = min(age, max(store-asOf, 0))
	}
	return age
}

// observeClock records the store's time in the answer to a call, received at the local time
// now. era is that of the copy after the answer.
func (c *Catalog) observeClock(now time.Duration, call Call, era history.Era, store time.Duration) {
	clockEra, known := c.StoreClock.Era()
	switch {
	case !known || era.Compare(clockEra) > 0:
		c.StoreClock.Restart(era, call.readAt(now), store, 0)
	case era == clockEra:
		c.StoreClock.Observe(now, store)
	}
}

// Merge updates the copy of a table with a delta from another VM and rebuilds the
// view if a row changed, which it reports. A delta that is older than the copy is
// ignored.
func (c *Catalog) Merge(t Table, d Delta) (changed bool) {
	c.observeAge(t)
	before, _ := c.PositionAsOf(t)
	now := c.clock()
	store, _ := c.StoreClock.At(now)
	d.AsOf = c.credible(d.AsOf, d.Position.Era)
	changed, newEra := c.tables[t].merge(now, store, d)
	if newEra {
		c.recordNewEra(t, before, d.Position, FromVM)
	}
	if changed {
		c.rebuildView(FromVM)
	}
	return changed
}

// credible returns a time of the store's clock that another VM has sent with a copy of an era.
// It returns 0 if that is ahead of the clock, as it would make a copy look current for as long,
// or if the clock is of a later era that the store states, which does not show how long ago
// that was. Every read of the store then brings the copy to that era too.
func (c *Catalog) credible(asOf time.Duration, era history.Era) time.Duration {
	store, known := c.StoreClock.At(c.clock())
	if clockEra, _ := c.StoreClock.Era(); known && (clockEra.Stated > era.Stated || asOf > store+contradictionOffset) {
		return 0
	}
	return asOf
}

// BeginsEra reports whether a delta would replace the copy by one of a later era.
func (c *Catalog) BeginsEra(t Table, d Delta) bool { return c.tables[t].wouldBegin(c.clock(), d) }

// recordNewEra logs that the store went back to an older copy. If this VM has read that in
// the store, the copies of the other tables have to be read again too.
func (c *Catalog) recordNewEra(t Table, before, after history.Position, source Source) {
	c.log.WithField("table", t.String()).WithField("source", source).
		WithField("era", after.Era.String()).WithField("version", after.Version).
		WithField("era_before", before.Era.String()).WithField("version_before", before.Version).
		Warn("The store went back to an older copy. The table was read again.")
	if c.Observer != nil {
		c.Observer.NewEra(t, after.Era)
	}
	if source != FromStore {
		return
	}
	for _, other := range c.Tables() {
		if other != t {
			c.tables[other].recordLaterEra(c.clock(), after.Era)
		}
	}
}

// Era returns the latest era of the copies.
func (c *Catalog) Era() (latest history.Era) {
	for _, t := range c.Tables() {
		if position, _ := c.PositionAsOf(t); position.Era.Compare(latest) > 0 {
			latest = position.Era
		}
	}
	return latest
}

// observeAge records the age of a copy that is about to be updated.
func (c *Catalog) observeAge(t Table) {
	if c.Observer != nil && c.Loaded(t) {
		c.Observer.CopyAge(t, c.Age(t))
	}
}

// RecordPeerPosition records that another VM's copy of the table has the given
// position and was current at asOf, a time of the store's clock. If this VM's copy
// has the same position, it is current as of then too. RecordPeerPosition reports
// whether this VM's copy is older than the other VM's, or missing.
func (c *Catalog) RecordPeerPosition(t Table, peer history.Position, asOf time.Duration) (behind bool) {
	now := c.clock()
	store, _ := c.StoreClock.At(now)
	return c.tables[t].recordPeer(now, store, peer, c.credible(asOf, peer.Era))
}

// DeltaSince returns the rows of a table's copy that changed after a position and
// the keys of all its rows.
func (c *Catalog) DeltaSince(t Table, after history.Position) Delta {
	return c.tables[t].deltaSince(after)
}

// PositionAsOf returns the position of a table's copy and the time of the store's
// clock as of which the copy is current. Both are 0 before the table is loaded.
func (c *Catalog) PositionAsOf(t Table) (history.Position, time.Duration) {
	return c.tables[t].positionAsOf()
}

// neverLoadedAge is the age reported for a table that was never loaded.
const neverLoadedAge = 24 * time.Hour

// Age returns the time since the table's copy was last known to be current, or
// 24 hours (neverLoadedAge) if there is no copy.
func (c *Catalog) Age(t Table) time.Duration {
	now := c.clock()
	store, known := c.StoreClock.At(now)
	if !c.Loaded(t) || !known {
		return neverLoadedAge
	}
	era, _ := c.StoreClock.Era()
	return c.tables[t].age(now, store, era)
}

// Loaded reports whether there is a copy of the table.
func (c *Catalog) Loaded(t Table) bool {
	position, _ := c.PositionAsOf(t)
	return position.Version > 0
}

// DeleteExpired deletes rows that were retained after an outage of the store, or after it
// went back, and were not written again in time. It must be called regularly.
func (c *Catalog) DeleteExpired() {
	store, known := c.StoreClock.At(c.clock())
	if !known {
		return
	}
	rebuild := c.endDistrust()
	for _, t := range c.Tables() {
		rebuild = c.tables[t].deleteExpired(store) || rebuild
	}
	if rebuild {
		c.rebuildView(FromExpiry)
	}
}
