package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// These errors mark the errors of platform calls. Test for them with errors.Is.
var (
	// ErrNotDone means that the call certainly had no effect, for instance because
	// the service throttled it or no connection could be made.
	ErrNotDone = errors.New("store: the call was not done")
	// ErrConditionFailed means that a condition did not hold and that nothing was
	// written.
	ErrConditionFailed = errors.New("store: a condition did not hold")
	// ErrUnknownOutcome means that the call may or may not have taken effect.
	ErrUnknownOutcome = errors.New("store: the outcome of the call is unknown")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("store: the row or object was not found")
)

// Item is one row of the table.
type Item struct {
	Key string
	// Version is 1 after the first write of the row, and each later write increments
	// it by 1. A row that is written again after a deletion starts at 1.
	Version uint64
	Value   []byte
}

// ConditionKind selects what a Condition requires of the row.
type ConditionKind int

// Kinds of conditions.
const (
	// Any always holds.
	Any ConditionKind = iota
	// Absent holds if the row does not exist.
	Absent
	// VersionIs holds if the row exists and has the version of the Condition.
	VersionIs
)

// Condition is a condition on the row before the write. If it does not hold, the
// whole transaction has no effect.
type Condition struct {
	Kind    ConditionKind
	Version uint64 // used with VersionIs
}

// WriteKind selects what a Write does to its row.
type WriteKind int

// Kinds of writes.
const (
	// Put creates or replaces the row.
	Put WriteKind = iota
	// Delete deletes the row.
	Delete
	// Check only checks the condition and leaves the row unchanged.
	Check
)

// Write is the part of a transaction that concerns one row.
type Write struct {
	Kind      WriteKind
	Key       string
	Value     []byte // used with Put
	Condition Condition
}

// MaxTransactionWrites is the maximum number of writes in one transaction.
const MaxTransactionWrites = 100

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one row with strong consistency. It returns ErrNotFound if the row
	// does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Query reads all rows whose keys start with prefix, sorted by key. The only '/'
	// of prefix must be its last character.
	Query(ctx context.Context, prefix string) ([]Item, error)
	// Transact applies all writes or none. It returns ErrConditionFailed if a
	// condition does not hold.
	Transact(ctx context.Context, writes []Write) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put creates or replaces an object.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads an object. It returns ErrNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// ListedVM is an entry of the platform's VM list.
type ListedVM struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"` // the platform is about to remove the VM
}

// VMList is the platform's list of live and leaving VMs. The list lags: it may be
// many seconds old, so it serves only as a hint.
type VMList interface {
	// List reads the list.
	List(ctx context.Context) ([]ListedVM, error)
}
