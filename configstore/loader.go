package configstore

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/logging"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// maxDeltasBeforeSnapshot is the number of versions up to which a VM that is
// behind reads deltas one by one instead of a whole snapshot.
const maxDeltasBeforeSnapshot = 2 * snapshotEvery

// loader reads configurations from the store.
type loader struct {
	table   store.Table
	objects store.ObjectStore
	timeout time.Duration // of one call
	log     logging.Logger
}

func (l *loader) head(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return readHead(ctx, l.table)
}

// bring returns the configuration at the head's version and the deltas that
// lead to it. It starts from current unless a snapshot saves many deltas.
func (l *loader) bring(ctx context.Context, current *contract.Configuration, h head) (*contract.Configuration, []contract.Delta, error) {
	if h.Version > current.Version+maxDeltasBeforeSnapshot && h.newestSnapshot() > current.Version {
		current = l.fromSnapshot(ctx, current, h)
	}
	var deltas []contract.Delta
	for current.Version < h.Version {
		delta, err := l.delta(ctx, current.Version+1)
		if err != nil {
			return nil, nil, err
		}
		next, err := contract.ApplyDelta(current, delta)
		if err != nil {
			return nil, nil, errors.Mark(errors.Wrapf(err, "delta %d", delta.Version), ErrInconsistent)
		}
		current = next
		deltas = append(deltas, delta)
	}
	return current, deltas, nil
}

// fromSnapshot returns the newest usable snapshot, or current if there is none
// above it. The deltas make up for a snapshot that is damaged.
func (l *loader) fromSnapshot(ctx context.Context, current *contract.Configuration, h head) *contract.Configuration {
	for _, version := range h.Snapshots {
		if version <= current.Version || version > h.Version {
			continue
		}
		c, err := l.snapshot(ctx, version)
		if err == nil {
			return c
		}
		l.log.WithError(err).WithField("version", version).Warn("snapshot refused, trying an older one")
	}
	return current
}

func (l *loader) snapshot(ctx context.Context, version uint64) (*contract.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	data, err := l.objects.Get(ctx, SnapshotName(version))
	if err != nil {
		return nil, unavailable(err, "reading snapshot")
	}
	c, err := contract.DecodeSnapshot(data)
	if err != nil {
		return nil, errors.Mark(err, ErrInconsistent)
	}
	if c.Version != version {
		return nil, errors.Wrapf(ErrInconsistent, "the snapshot holds version %d", c.Version)
	}
	return c, nil
}

func (l *loader) delta(ctx context.Context, version uint64) (contract.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	item, err := l.table.Get(ctx, deltaKey(version))
	if errors.Is(err, store.ErrNotFound) {
		return contract.Delta{}, errors.Wrapf(ErrInconsistent, "delta %d is missing", version)
	}
	if err != nil {
		return contract.Delta{}, unavailable(err, "reading a delta")
	}
	var d contract.Delta
	return d, decodeRow(item, &d)
}
