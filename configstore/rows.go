package configstore

import (
	"context"
	"encoding/json"
	"fmt"

	"almondstile/contract"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Errors of this package. Test them with errors.Is.
var (
	// ErrUnavailable says that the store could not be used and nothing was changed.
	ErrUnavailable = errors.New("configstore: the store is unavailable; nothing was changed")
	// ErrInconsistent says that the store's rows or objects contradict each
	// other or cannot be decoded.
	ErrInconsistent = errors.New("configstore: the store's content is inconsistent")
	// ErrUnknownPlan says that a plan does not exist or has expired.
	ErrUnknownPlan = errors.New("configstore: the plan does not exist or has expired")
	// ErrIntentTooLarge says that the plan of an intent does not fit into one row,
	// so that the intent must be split.
	ErrIntentTooLarge = errors.New("configstore: the intent is too large for one plan; split it")
)

// Keys of the rows and names of the objects. Versions are padded with zeros, so
// that listings of the table are sorted by version.
const (
	headKey            = "config/head"
	planPrefix         = "plan/"
	deltaKeyFormat     = "delta/%020d"
	snapshotNameFormat = "config/snapshot/%020d"
)

// maxPlanRowBytes is the largest size of a plan row's value, 350 KiB. It leaves a
// margin below the table's limit of 400 KiB for an item. The delta row is always
// smaller than the plan row, so it needs no limit of its own.
const maxPlanRowBytes = 350 << 10

func planKey(id string) string { return planPrefix + id }

func deltaKey(version uint64) string { return fmt.Sprintf(deltaKeyFormat, version) }

// SnapshotName returns the object name of a version's snapshot.
func SnapshotName(version uint64) string { return fmt.Sprintf(snapshotNameFormat, version) }

// head is the row that holds the newest accepted version. A missing row stands for
// version 0, the empty configuration of a new fleet.
type head struct {
	Version uint64 `json:"version"`
	// Snapshots holds the versions of the newest snapshot and of the one before it,
	// in this order.
	Snapshots []uint64 `json:"snapshots,omitempty"`
	// Digest is the digest of the configuration of Version, or "" if it is not known.
	Digest string `json:"digest,omitempty"`
	// Settled is set if the store has lost versions that an operator's plan settled.
	Settled *settlement `json:"settled,omitempty"`

	// rowVersion is the store's version of the row, which also grows when only
	// Snapshots changes. It is 0 if the row is missing.
	rowVersion uint64
}

// unchangedCondition returns the condition that the head row has not changed since
// it was read.
func (h head) unchangedCondition() store.Condition {
	if h.rowVersion == 0 {
		return store.Condition{Kind: store.Absent}
	}
	return store.Condition{Kind: store.VersionIs, Version: h.rowVersion}
}

// newestSnapshot returns the version of the newest snapshot, or 0 if there is none.
func (h head) newestSnapshot() uint64 {
	if len(h.Snapshots) == 0 {
		return 0
	}
	return h.Snapshots[0]
}

// knownDigest returns the digest of the configuration of Version, or "" if it is not
// known. Without a head row it is the digest of the empty configuration.
func (h head) knownDigest() string {
	if h.Version > 0 {
		return h.Digest
	}
	digest, err := contract.Digest(&contract.Configuration{})
	if err != nil {
		return ""
	}
	return digest
}

// readHead reads the head row. Its errors are ErrUnavailable or ErrInconsistent.
func readHead(ctx context.Context, table store.Table) (head, error) {
	item, err := table.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, markUnavailable(err, "reading the head")
	}
	h := head{rowVersion: item.Version}
	return h, decodeRow(item, &h)
}

// PlanState says whether a plan took effect.
type PlanState string

// States of a plan. A plan that can no longer be accepted stays open.
const (
	PlanOpen     PlanState = "open"
	PlanAccepted PlanState = "accepted"
)

// StoredPlan is a plan's row in the table.
type StoredPlan struct {
	contract.Plan
	State PlanState `json:"state"`
	// Version is the version that the plan created. It is 0 unless the plan is
	// accepted.
	Version uint64 `json:"version,omitempty"`
	// BaseDigest and ResultDigest are the digests of the configurations before and
	// after the plan.
	BaseDigest   string `json:"base_digest,omitempty"`
	ResultDigest string `json:"result_digest,omitempty"`
	// Settles is set if the plan settles versions that the store has lost. The head
	// is then older than BaseVersion.
	Settles *settledHead `json:"settles,omitempty"`

	// rowVersion is the store's version of the row.
	rowVersion uint64
}

// decodeRow decodes a row's JSON value. Its errors are ErrInconsistent.
func decodeRow(item store.Item, into any) error {
	if err := json.Unmarshal(item.Value, into); err != nil {
		return errors.Mark(errors.Wrapf(err, "decoding row %s", item.Key), ErrInconsistent)
	}
	return nil
}

// markUnavailable wraps an error of a read, or of a write that was not executed, and
// marks it as ErrUnavailable. The action says what failed, such as "reading the plan".
func markUnavailable(err error, action string) error {
	return errors.Mark(errors.Wrap(err, action), ErrUnavailable)
}

// versionWrites returns the writes of the next version: they move the head from h to
// next and create the row of the delta that leads there. Their transaction fails with
// store.ErrConditionFailed if the head was written since h was read.
func versionWrites(h, next head, delta contract.Delta) ([]store.Write, error) {
	headWrite, err := putJSON(headKey, next, h.unchangedCondition())
	if err != nil {
		return nil, err
	}
	deltaWrite, err := putJSON(deltaKey(delta.Version), delta, store.Condition{Kind: store.Absent})
	return []store.Write{headWrite, deltaWrite}, err
}

// putJSON returns the write that puts a value, encoded as JSON, under a key.
func putJSON(key string, value any, condition store.Condition) (store.Write, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return store.Write{}, errors.Wrapf(err, "encoding row %s", key)
	}
	return store.Write{Kind: store.Put, Key: key, Value: data, Condition: condition}, nil
}
