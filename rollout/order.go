package rollout

import (
	"time"

	"almondstile/contract"
)

// Version is the version of a server's software.
type Version string

// Order is an operators' order to move the traffic of a service to the servers of a
// version.
type Order struct {
	Service contract.ServiceID
	Target  Version
	// Duration is the time, from the acknowledgement of the order on, within which the
	// roll-out has to end.
	Duration time.Duration
	// RowVersion is the store's version at which the order was written. It tells an order
	// from an earlier one for the same service and target.
	RowVersion uint64
}

// Bounds are what operators tolerate of a bad version.
type Bounds struct {
	// ExposedShare is the share (0 to 1) of a service's requests between an order and its
	// deadline that a bad version may get from all VMs together, in addition to
	// ExposedSlack requests.
	ExposedShare, ExposedSlack float64
	// RollbackTime is the time after the 50th bad response of a version from which on it
	// gets no more requests.
	RollbackTime time.Duration
}

// Enabled reports whether the deployment has roll-outs.
func (b Bounds) Enabled() bool { return b.ExposedShare > 0 }
