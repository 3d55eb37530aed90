package rollout

import (
	"time"

	"almondstile/contract"
	"almondstile/history"
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
	// Row is the position at which the order's row was written. Its version distinguishes an order
	// from an earlier one for the same service and target. Its era is the latest one in which
	// the VM's copy of the orders had the row; VMs may differ in it.
	Row history.Position
}

// OrderID identifies an order on all VMs. A version alone does not: a store that goes back
// to an older copy may give that of an order which it lost to another one.
type OrderID struct {
	Service  contract.ServiceID
	Target   Version
	Duration time.Duration
	Version  uint64 // of the order's row
}

// ID returns what identifies the order.
func (o *Order) ID() OrderID {
	return OrderID{Service: o.Service, Target: o.Target, Duration: o.Duration, Version: o.Row.Version}
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
