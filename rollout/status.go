package rollout

import (
	"time"

	"almondstile/contract"

	"github.com/cockroachdb/errors"
)

// ErrStateChanged is returned by a write of a State whose row has another version in the
// store than the writer expected.
var ErrStateChanged = errors.New("rollout: the stored state has changed")

// Status says how far a roll-out has got. The zero value stands for an order of which the
// store has no state yet.
type Status string

// The statuses of a roll-out.
const (
	Running    Status = "running"
	Completed  Status = "completed"
	RolledBack Status = "rolled-back"
)

// Final reports whether the status of an order never changes again.
func (s Status) Final() bool { return s == Completed || s == RolledBack }

// State is what the store keeps of a roll-out.
type State struct {
	Service contract.ServiceID
	// OrderVersion is the RowVersion of the order. A state with another one belongs to an
	// earlier order.
	OrderVersion uint64
	Target       Version
	Status       Status
	// StartedAt is the time of the store's clock from which the duration of the order
	// counts.
	StartedAt time.Duration
	// Replaced are the versions that the target has replaced, set once the status is
	// Completed. Servers of a version that appears later are not among them.
	Replaced []Version
	// RowVersion is the store's version at which the state was written, 0 before that.
	RowVersion uint64
}
