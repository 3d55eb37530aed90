package rollout

import (
	"time"

	"almondstile/contract"
	"almondstile/history"

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
	// OrderVersion is the version of the order's row. A state with another one belongs to
	// another order.
	OrderVersion uint64
	Target       Version
	Status       Status
	// StartedAt is the time of the store's clock from which the duration of the order
	// counts.
	StartedAt time.Duration
	// Replaced are the versions that the target has replaced, set once the status is
	// Completed. Servers of a version that appears later are not among them.
	Replaced []Version
	// Row is the position of the state's row: the version at which it was written, 0 if there
	// is none, in the latest era of the store in which the VM knows it.
	Row history.Position
}

// IsOf reports whether the state belongs to the order.
func (s State) IsOf(o *Order) bool { return s.OrderVersion == o.Row.Version && s.Target == o.Target }

// SaysLike reports whether both states say the same of the same order.
func (s State) SaysLike(t State) bool {
	return s.OrderVersion == t.OrderVersion && s.Target == t.Target && s.Status == t.Status
}
