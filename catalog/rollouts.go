package catalog

import (
	"time"

	"almondstile/contract"
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

// RolloutOpen reports whether there is an order of a roll-out without a final state in
// this VM's copy. Only then the states can change.
func (v *View) RolloutOpen() bool {
	for service := range v.Rollouts {
		if v.OpenRollout(service) {
			return true
		}
	}
	return false
}

// OpenRollout reports whether the service has an order of a roll-out without a final
// state in this VM's copy.
func (v *View) OpenRollout(service contract.ServiceID) bool {
	order, state := v.Rollouts[service], v.RolloutStates[service]
	return order != nil && (state == nil || state.OrderVersion != order.RowVersion || !state.Status.Final())
}
