package store

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of platform calls. Test with errors.Is.
var (
	// ErrNotDone says that the call certainly had no effect, for instance
	// because the service throttled it or could not be reached at all.
	ErrNotDone = errors.New("store: the call was not done")
	// ErrConditionFailed says that a condition did not hold; nothing was written.
	ErrConditionFailed = errors.New("store: a condition did not hold")
	// ErrUnknownOutcome says that the call may have taken effect.
	ErrUnknownOutcome = errors.New("store: the outcome is unknown")
	// ErrNotFound says that the item or object does not exist.
	ErrNotFound = errors.New("store: not found")
)

// Item is one row of the table.
type Item struct {
	Key string
	// Version is 1 after the first write of the row and grows by one with each
	// later one. A deleted row that is written again starts at 1.
	Version uint64
	Value   []byte
}

// ConditionKind tells what must hold for a Write.
type ConditionKind int

// Kinds of conditions.
const (
	Any ConditionKind = iota
	Absent
	VersionIs
)

// Condition must hold for the row before the write, or the whole transaction
// has no effect.
type Condition struct {
	Kind    ConditionKind
	Version uint64 // for VersionIs
}

// WriteKind tells what a Write does to its row.
type WriteKind int

// Kinds of writes.
const (
	Put WriteKind = iota
	Delete
	// Check only tests the condition.
	Check
)

// Write is one row's part of a transaction.
type Write struct {
	Kind      WriteKind
	Key       string
	Value     []byte // for Put
	Condition Condition
}

// MaxTransactionWrites is the most rows that one transaction may touch.
const MaxTransactionWrites = 100

// Table is the platform's transactional table service.
type Table interface {
	// Get reads one row with strong consistency, or returns ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Query reads all rows whose keys start with prefix, sorted by key. The
	// prefix must end with the first '/' of the keys.
	Query(ctx context.Context, prefix string) ([]Item, error)
	// Transact applies all writes or none.
	Transact(ctx context.Context, writes []Write) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns ErrNotFound for a missing object.
	Get(ctx context.Context, name string) ([]byte, error)
}

// ListedVM is an entry of the platform's VM list, which lags behind.
type ListedVM struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. It is a hint: it may
// be many seconds old.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}
