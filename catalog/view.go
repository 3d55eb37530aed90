package catalog

import (
	"time"

	"almondstile/contract"
	"almondstile/history"
	"almondstile/rollout"
	"almondstile/zone"
)

// View is an immutable, decoded state of all tables.
type View struct {
	Index *contract.Index // of the configuration in force; nil before the first one
	// Servers and ByService hold the same registrations: all that could be decoded.
	Servers   map[contract.ServerID]*Registration
	ByService map[contract.ServiceID][]*Registration
	// ZonesOut holds the zones that operators have taken out of service.
	ZonesOut map[zone.ID]bool
	// Rollouts holds the orders of roll-outs, and RolloutStates what the store keeps of
	// them and of earlier ones.
	Rollouts      map[contract.ServiceID]*rollout.Order
	RolloutStates map[contract.ServiceID]*rollout.State
	// OrderedAt holds for each order the time of the store's clock at which it was
	// written, as far as this VM knows.
	OrderedAt map[contract.ServiceID]time.Duration
	// StatesEra and ordersEra are the eras of the copies with the states and the orders.
	StatesEra, ordersEra history.Era
}

// AcceptsNewRequests reports whether the server may get new requests: it is not
// draining, its registration is trusted, and its zone is not out.
func (v *View) AcceptsNewRequests(r *Registration) bool {
	return !r.Draining && !r.distrusted && !v.ZonesOut[r.Server.Zone]
}

// rebuildView replaces the view with one that is built from the rows of all tables.
// source is where the update that changed a row came from.
func (c *Catalog) rebuildView(source Source) {
	c.rebuildMu.Lock()
	defer c.rebuildMu.Unlock()
	old := c.view.Load()
	next := &View{
		Index:     old.Index,
		Servers:   make(map[contract.ServerID]*Registration),
		ByService: make(map[contract.ServiceID][]*Registration),
		ZonesOut:  make(map[zone.ID]bool),
	}
	if c.Rollouts {
		next.Rollouts = make(map[contract.ServiceID]*rollout.Order)
		next.RolloutStates = make(map[contract.ServiceID]*rollout.State)
		next.OrderedAt = make(map[contract.ServiceID]time.Duration)
	}
	for _, row := range c.tables[OperatorTable].usableRows() {
		c.addOperatorRow(next, row, source)
	}
	rows := c.tables[ServerTable].usableRows()
	for _, row := range rows {
		if r := c.decodeRegistration(row, source, len(old.Servers) == 0); r != nil {
			next.Servers[r.Server.ID] = r
			next.ByService[r.Service] = append(next.ByService[r.Service], r)
		}
	}
	c.forgetRegistrations(rows)
	if c.Rollouts {
		c.addRollouts(next)
	}
	c.view.Store(next)
	if len(old.Servers) == 0 && len(next.Servers) > 0 {
		c.log.WithField("servers", len(next.Servers)).WithField("services", len(next.ByService)).
			WithField("source", source).WithField("age_ms", c.Age(ServerTable).Milliseconds()).Info("The servers' registrations are known.")
	}
}

// forgetRegistrations deletes what was kept of rows of ServerTable that are not among the
// given ones any more.
func (c *Catalog) forgetRegistrations(rows []Row) {
	if len(c.registrations) == len(rows) {
		return
	}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key := range c.registrations {
		if !present[key] {
			if r := c.registrations[key]; r != nil {
				c.recordDeparture(key, r)
			}
			delete(c.registrations, key)
			delete(c.seenRows, key)
			delete(c.seenRows, ServerTable.String()+key)
		}
	}
}

// addOperatorRow applies a row of OperatorTable to a view under construction. It
// keeps the view's configuration if the row holds an older one.
func (c *Catalog) addOperatorRow(v *View, row Row, source Source) {
	if c.seenRows[row.Key] == row.position() && c.configurationRow == row.position() {
		return // this configuration was decoded before
	}
	decoded, err := c.decoder.DecodeOperator(row)
	if err != nil {
		c.logInvalidRow(OperatorTable, row, err)
		return
	}
	if decoded.ZoneOut != "" {
		v.ZonesOut[decoded.ZoneOut] = true
	}
	if decoded.Rollout != nil && c.Rollouts {
		decoded.Rollout.Row = c.tables[OperatorTable].latestPosition(row)
		v.Rollouts[decoded.Rollout.Service] = decoded.Rollout
	}
	if decoded.Configuration == nil {
		return
	}
	c.seenRows[row.Key], c.configurationRow = row.position(), row.position()
	if v.Index != nil && decoded.Configuration.Version < v.Index.Version() {
		c.log.WithField("version", decoded.Configuration.Version).
			WithField("in_force", v.Index.Version()).Warn("A configuration older than the one in force is ignored.")
		return
	}
	v.Index = contract.NewIndex(decoded.Configuration)
	c.log.WithField("version", v.Index.Version()).WithField("row_version", row.Version).
		WithField("source", source).WithField("age_ms", c.Age(OperatorTable).Milliseconds()).Info("A configuration is in force.")
}

// decodeRegistration decodes a row of ServerTable, once for each version of the
// row. It returns nil if the row is invalid. It logs the change unless this is the first
// time that rows are decoded.
func (c *Catalog) decodeRegistration(row Row, source Source, first bool) *Registration {
	if r, ok := c.registrations[row.Key]; ok && r != nil && r.row == row.position() {
		return r
	} else if ok && r == nil && c.seenRows[row.Key] == row.position() {
		return nil
	}
	r, err := c.decoder.DecodeServer(row)
	c.seenRows[row.Key] = row.position()
	if err != nil {
		c.registrations[row.Key] = nil
		c.logInvalidRow(ServerTable, row, err)
		return nil
	}
	r.row = row.position()
	r.ColdUntil = c.clock() + r.ColdFor
	c.recordRegistration(row.Key, &r)
	c.registrations[row.Key] = &r
	if first {
		return &r
	}
	c.log.WithField("server", r.Server.ID).WithField("service", r.Service).WithField("draining", r.Draining).
		WithField("cold_ms", r.ColdFor.Milliseconds()).WithField("row_version", row.Version).
		WithField("source", source).WithField("age_ms", c.Age(ServerTable).Milliseconds()).Info("A server's registration changed.")
	return &r
}

// logInvalidRow logs a row that cannot be decoded, once for each version of the row.
func (c *Catalog) logInvalidRow(t Table, row Row, err error) {
	if c.seenRows[t.String()+row.Key] == row.position() {
		return // this version was logged already
	}
	c.seenRows[t.String()+row.Key] = row.position()
	c.log.WithError(err).WithField("table", t.String()).WithField("key", row.Key).Warn("A row cannot be decoded and is skipped.")
}

// RowVersion returns the store's version at which the registration's row was written.
func (r *Registration) RowVersion() uint64 { return r.row.Version }
