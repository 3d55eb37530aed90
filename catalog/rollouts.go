package catalog

import (
	"maps"
	"slices"
	"time"

	"almondstile/history"
	"almondstile/rollout"
)

// addRollouts adds the states of roll-outs to a view under construction that has the
// orders, and the time of each order.
func (c *Catalog) addRollouts(v *View) {
	rows, era := c.tables[RolloutTable].storedRows()
	v.StatesEra = era
	orders, _ := c.PositionAsOf(OperatorTable)
	v.ordersEra = orders.Era
	for _, row := range rows {
		state, err := c.decoder.DecodeRollout(row)
		if err != nil {
			c.logInvalidRow(RolloutTable, row, err)
			continue
		}
		state.Row = history.Position{Era: era, Version: row.Version}
		v.RolloutStates[state.Service] = &state
	}
	known := c.orders
	c.orders = make(map[rollout.OrderID]time.Duration, len(v.Rollouts))
	for service, order := range v.Rollouts {
		at, ok := known[order.ID()]
		if !ok {
			at = c.tables[OperatorTable].changedAt()
			c.log.WithField("service", service).WithField("target", order.Target).
				WithField("duration_ms", order.Duration.Milliseconds()).WithField("row_version", order.Row.Version).
				Info("A roll-out is ordered.")
		}
		c.orders[order.ID()], v.OrderedAt[service] = at, at
	}
}

// storedRows returns the rows without those that the store has lost, and the era of the copy.
func (c *tableCopy) storedRows() ([]Row, history.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.rows)), c.position.Era
}

// latestPosition returns the position of a row of the table in the latest era in which the
// copy has it. That of a row that was written in an earlier era and is still there names the
// copy's era, so that it precedes the rows that are written from then on. That of a row that
// the store has lost keeps its era.
func (c *tableCopy) latestPosition(row Row) history.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current, ok := c.rows[row.Key]; ok && current.position() == row.position() {
		return history.Position{Era: c.position.Era, Version: row.Version}
	}
	return row.position()
}

// RolloutOpen reports whether a roll-out has no final state in this VM's copy: an order
// stands, or was withdrawn while it ran. Only then the states can change, unless the store
// went back, which may have undone a final state.
func (v *View) RolloutOpen() bool {
	if len(v.RolloutStates) > 0 && v.StatesEra.Compare(v.ordersEra) < 0 {
		return true
	}
	for service, order := range v.Rollouts {
		state := v.RolloutStates[service]
		if state == nil || !state.IsOf(order) || !state.Status.Final() {
			return true
		}
	}
	for service, state := range v.RolloutStates {
		if v.Rollouts[service] == nil && !state.Status.Final() {
			return true
		}
	}
	return false
}
