package catalog

import (
	"time"
)

// addRollouts adds the states of roll-outs to a view under construction that has the
// orders, and the time of each order.
func (c *Catalog) addRollouts(v *View) {
	for _, row := range c.tables[RolloutTable].usableRows() {
		state, err := c.decoder.DecodeRollout(row)
		if err != nil {
			c.logInvalidRow(RolloutTable, row, err)
			continue
		}
		v.RolloutStates[state.Service] = &state
	}
	known := c.orders
	c.orders = make(map[uint64]time.Duration, len(v.Rollouts))
	for service, order := range v.Rollouts {
		at, ok := known[order.RowVersion]
		if !ok {
			at = c.tables[OperatorTable].changedAt()
			c.log.WithField("service", service).WithField("target", order.Target).
				WithField("duration_ms", order.Duration.Milliseconds()).WithField("row_version", order.RowVersion).
				Info("A roll-out is ordered.")
		}
		c.orders[order.RowVersion], v.OrderedAt[service] = at, at
	}
}

// RolloutOpen reports whether a roll-out has no final state in this VM's copy: an order
// stands, or was withdrawn while it ran. Only then the states can change.
func (v *View) RolloutOpen() bool {
	for service, order := range v.Rollouts {
		state := v.RolloutStates[service]
		if state == nil || state.OrderVersion != order.RowVersion || !state.Status.Final() {
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
