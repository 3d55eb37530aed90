package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"almondstile/contract"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Errors of this package. Test with errors.Is.
var (
	// ErrUnavailable says that the store could not be used and nothing changed.
	ErrUnavailable = errors.New("configstore: the store is unavailable; nothing was changed")
	// ErrInconsistent says that the store's rows or objects contradict each
	// other or cannot be decoded.
	ErrInconsistent = errors.New("configstore: the store's content is inconsistent")
	// ErrUnknownPlan says that a plan does not exist or has expired.
	ErrUnknownPlan = errors.New("configstore: the plan does not exist or has expired")
	// ErrIntentTooLarge says that an intent must be split.
	ErrIntentTooLarge = errors.New("configstore: the intent is too large for one plan; split it")
)

// Keys of the rows and names of the objects. Numbers are padded, so that they
// sort by version in listings of the table.
const (
	headKey       = "config/head"
	planPrefix    = "plan/"
	deltaKeyForm  = "delta/%020d"
	snapshotsForm = "config/snapshot/%020d"
)

// maxPlanRowBytes leaves a margin to the 400 KiB that an item of the table may
// have. The delta row is always smaller than the plan row.
const maxPlanRowBytes = 350 << 10

func planKey(id string) string { return planPrefix + id }

func deltaKey(version uint64) string { return fmt.Sprintf(deltaKeyForm, version) }

// SnapshotName returns the object name of a version's snapshot.
func SnapshotName(version uint64) string { return fmt.Sprintf(snapshotsForm, version) }

// head is the row that says which version is in force. A missing row is
// version 0, the empty configuration of a new fleet.
type head struct {
	Version uint64 `json:"version"`
	// Snapshots lists the newest snapshot and the one before.
	Snapshots []uint64 `json:"snapshots,omitempty"`

	// row is the version of the row itself, which also grows when only
	// Snapshots changes; 0 if the row is missing.
	row uint64
}

// unchanged is the condition that the head is still as it was read.
func (h head) unchanged() store.Condition {
	if h.row == 0 {
		return store.Condition{Kind: store.Absent}
	}
	return store.Condition{Kind: store.VersionIs, Version: h.row}
}

func (h head) newestSnapshot() uint64 {
	if len(h.Snapshots) == 0 {
		return 0
	}
	return h.Snapshots[0]
}

func readHead(ctx context.Context, table store.Table) (head, error) {
	item, err := table.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, unavailable(err, "reading the head")
	}
	h := head{row: item.Version}
	return h, decodeRow(item, &h)
}

// PlanState says what became of a plan.
type PlanState string

// States of a plan.
const (
	PlanOpen     PlanState = "open"
	PlanAccepted PlanState = "accepted"
)

// StoredPlan is a plan with its state.
type StoredPlan struct {
	contract.Plan
	State PlanState `json:"state"`
	// Version is the version at which an accepted plan took effect.
	Version uint64 `json:"version,omitempty"`

	row uint64
}

// decodeRow decodes a row's JSON value.
func decodeRow(item store.Item, into any) error {
	if err := json.Unmarshal(item.Value, into); err != nil {
		return errors.Mark(errors.Wrapf(err, "row %s", item.Key), ErrInconsistent)
	}
	return nil
}

// unavailable translates an error of a read, or of a write that was not done.
func unavailable(err error, doing string) error {
	return errors.Mark(errors.Wrap(err, doing), ErrUnavailable)
}

func putJSON(key string, value any, condition store.Condition) (store.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return store.Write{}, errors.Wrapf(err, "encoding row %s", key)
	}
	return store.Write{Kind: store.Put, Key: key, Value: data, Condition: condition}, nil
}
