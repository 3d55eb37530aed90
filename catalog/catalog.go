package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"almondstile/contract"
	"almondstile/logging"
	"almondstile/zone"

	"github.com/cockroachdb/errors"
)

// ErrInvalidRow marks a row that does not hold what its key promises. It is
// skipped; the rows beside it count.
var ErrInvalidRow = errors.New("catalog: the row cannot be read")

// Registration is what a backend server says about itself in the store.
type Registration struct {
	Server   contract.Server
	Service  contract.ServiceID
	Draining bool
	// StartedAt tells incarnations of a server apart, in Unix milliseconds.
	StartedAt int64
	// ColdFor is how long after the row was written the server stays cold.
	ColdFor time.Duration
	// ColdUntil is the local time (package boottime) until which it is cold.
	ColdUntil time.Duration
	version   uint64
}

// OperatorRow is a decoded row of the operators' table; one field is set.
type OperatorRow struct {
	Configuration *contract.Configuration
	// ZoneOut names a zone that gets no new requests while the row exists.
	ZoneOut zone.ID
}

// Decoder turns rows into what they hold.
type Decoder interface {
	DecodeOperator(Row) (OperatorRow, error)
	DecodeServer(Row) (Registration, error)
}

// View is what a VM knows at one moment. It is immutable.
type View struct {
	Index *contract.Index // nil before the first configuration
	// Servers are the registrations by ID and, usable ones only, by service.
	Servers   map[contract.ServerID]*Registration
	ByService map[contract.ServiceID][]*Registration
	ZonesOut  map[zone.ID]bool
}

// AcceptsNewRequests reports whether the server may get new requests.
func (v *View) AcceptsNewRequests(r *Registration) bool {
	return !r.Draining && !v.ZonesOut[r.Server.Zone]
}

// Catalog is one VM's copy of the store's tables.
type Catalog struct {
	decoder    Decoder
	log        logging.Logger
	clock      func() time.Duration
	StoreClock StoreClock
	tables     [tableCount]tableCopy
	view       atomic.Pointer[View]
	// rebuild serializes building views.
	rebuild       sync.Mutex
	registrations map[string]*Registration // by row key, nil if unreadable
	seen          map[string]uint64        // row versions decoded
	configured    uint64                   // row version of the configuration
}

// New returns an empty catalog. The clock is boottime.Now but in tests.
func New(decoder Decoder, clock func() time.Duration, log logging.Logger) *Catalog {
	c := &Catalog{
		decoder: decoder, log: log, clock: clock,
		registrations: make(map[string]*Registration),
		seen:          make(map[string]uint64),
	}
	c.view.Store(&View{})
	return c
}

// View returns what is known now.
func (c *Catalog) View() *View { return c.view.Load() }

// Apply takes in an answer of the store.
func (c *Catalog) Apply(t Table, ch Changes) {
	c.StoreClock.Observe(c.clock(), ch.AsOf)
	if c.tables[t].apply(ch) {
		c.build()
	}
}

// Merge takes in another VM's copy.
func (c *Catalog) Merge(t Table, d Delta) {
	if c.tables[t].merge(d) {
		c.build()
	}
}

// Confirm takes in that another VM has a copy of the version that was current
// as of a time of the store. It reports whether that copy is newer than ours.
func (c *Catalog) RecordPeerVersion(t Table, version uint64, asOf time.Duration) (behind bool) {
	tc := &c.tables[t]
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if !tc.known || version > tc.version {
		return version > 0
	}
	if version == tc.version {
		tc.confirm(asOf)
	}
	return false
}

// Since returns the changes of a table after a version.
func (c *Catalog) DeltaSince(t Table, version uint64) Delta { return c.tables[t].delta(version) }

// Mark returns the version of a table's copy and the store's time as of which
// it is current; 0 and 0 before the first copy.
func (c *Catalog) VersionAsOf(t Table) (version uint64, asOf time.Duration) {
	tc := &c.tables[t]
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if !tc.known {
		return 0, 0
	}
	return tc.version, tc.asOf
}

// unknownAge is the age of a table that was never read.
const unknownAge = 24 * time.Hour

// Age returns the time since the table's copy was last known to be current.
func (c *Catalog) Age(t Table) time.Duration {
	version, asOf := c.VersionAsOf(t)
	store, known := c.StoreClock.At(c.clock())
	if version == 0 || !known {
		return unknownAge
	}
	return store - asOf
}

// Known reports whether there is a copy of the table.
func (c *Catalog) Loaded(t Table) bool {
	version, _ := c.VersionAsOf(t)
	return version > 0
}

// Expire drops registrations that did not return after an outage.
func (c *Catalog) DeleteExpired() {
	store, known := c.StoreClock.At(c.clock())
	if known && c.tables[ServerTable].expire(store) {
		c.build()
	}
}

// build makes a new view from the tables.
func (c *Catalog) build() {
	c.rebuild.Lock()
	defer c.rebuild.Unlock()
	old := c.view.Load()
	next := &View{
		Index:     old.Index,
		Servers:   make(map[contract.ServerID]*Registration),
		ByService: make(map[contract.ServiceID][]*Registration),
		ZonesOut:  make(map[zone.ID]bool),
	}
	for _, row := range c.tables[OperatorTable].all() {
		c.addOperatorRow(next, row)
	}
	for _, row := range c.tables[ServerTable].all() {
		if r := c.registration(row); r != nil {
			next.Servers[r.Server.ID] = r
			next.ByService[r.Service] = append(next.ByService[r.Service], r)
		}
	}
	c.view.Store(next)
}

func (c *Catalog) addOperatorRow(v *View, row Row) {
	if c.seen[row.Key] == row.Version && c.configured == row.Version {
		return // the configuration in force
	}
	decoded, err := c.decoder.DecodeOperator(row)
	if err != nil {
		c.logUnreadable(OperatorTable, row, err)
		return
	}
	if decoded.ZoneOut != "" {
		v.ZonesOut[decoded.ZoneOut] = true
	}
	if decoded.Configuration == nil {
		return
	}
	c.seen[row.Key], c.configured = row.Version, row.Version
	if v.Index != nil && decoded.Configuration.Version < v.Index.Version() {
		c.log.WithField("version", decoded.Configuration.Version).
			WithField("in_force", v.Index.Version()).Warn("An older configuration is ignored.")
		return
	}
	v.Index = contract.NewIndex(decoded.Configuration)
	c.log.WithField("version", v.Index.Version()).WithField("row_version", row.Version).
		WithField("age_ms", c.Age(OperatorTable).Milliseconds()).Info("A configuration is in force.")
}

// registration decodes a row once for each of its versions.
func (c *Catalog) registration(row Row) *Registration {
	if r, ok := c.registrations[row.Key]; ok && r != nil && r.version == row.Version {
		return r
	} else if ok && r == nil && c.seen[row.Key] == row.Version {
		return nil
	}
	r, err := c.decoder.DecodeServer(row)
	c.seen[row.Key] = row.Version
	if err != nil {
		c.registrations[row.Key] = nil
		c.logUnreadable(ServerTable, row, err)
		return nil
	}
	r.version = row.Version
	r.ColdUntil = c.clock() + r.ColdFor
	c.registrations[row.Key] = &r
	c.log.WithField("server", r.Server.ID).WithField("service", r.Service).WithField("draining", r.Draining).
		WithField("cold_ms", r.ColdFor.Milliseconds()).WithField("row_version", row.Version).
		WithField("age_ms", c.Age(ServerTable).Milliseconds()).Info("A server's registration changed.")
	return &r
}

func (c *Catalog) logUnreadable(t Table, row Row, err error) {
	if c.seen[t.String()+row.Key] == row.Version {
		return // logged before
	}
	c.seen[t.String()+row.Key] = row.Version
	c.log.WithError(err).WithField("table", t.String()).WithField("key", row.Key).Warn("A row cannot be read and is skipped.")
}

// Version returns the version of the row that holds the registration.
func (r *Registration) Version() uint64 { return r.version }
