package configstore

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/logging"
	"almondstile/store"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

// maxDeltasBeforeSnapshot is the largest number of missing versions that a VM reads
// as deltas, one by one. If it misses more, it starts from a snapshot.
const maxDeltasBeforeSnapshot = 2 * snapshotEvery

// loader reads configurations from the store and executes transactions on it. The
// errors of reads are ErrUnavailable or ErrInconsistent, those of transact are the
// errors of package store.
type loader struct {
	table   store.Table
	objects store.ObjectStore
	timeout time.Duration // of one call
	log     logging.Logger
}

// head reads the head row.
func (l *loader) head(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return readHead(ctx, l.table)
}

// transact executes a transaction within the time limit of one call.
func (l *loader) transact(ctx context.Context, writes ...store.Write) error {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	return l.table.Transact(ctx, writes)
}

// configurationAt returns the configuration at the head's version and the deltas
// that were applied, which start from current or from a snapshot. If the digest
// shows that current is not part of the store's history, because the store has lost
// versions and given them out again, it starts from the store's content alone.
func (l *loader) configurationAt(ctx context.Context, current *contract.Configuration, h head) (*contract.Configuration, []contract.Delta, error) {
	c, deltas, err := l.continued(ctx, current, h)
	if current.Version == 0 || !errors.Is(err, ErrInconsistent) {
		return c, deltas, err
	}
	l.logOtherHistory(err, current, h)
	c, err = l.wholeConfiguration(ctx, h, 0)
	return c, nil, err // no deltas follow current
}

// continued returns the configuration at the head's version if it continues current.
// Otherwise the error is ErrInconsistent.
func (l *loader) continued(ctx context.Context, current *contract.Configuration, h head) (*contract.Configuration, []contract.Delta, error) {
	c, deltas, err := l.rebuild(ctx, current, h, 0)
	if err == nil {
		err = checkDigest(c, h.Digest)
	}
	return c, deltas, err
}

// logOtherHistory logs that the store's history does not contain current.
func (l *loader) logOtherHistory(err error, current *contract.Configuration, h head) {
	l.log.WithError(err).WithField("head", h.Version).WithField("in_force", current.Version).
		Warn("The store's history does not contain the configuration in force; reading all of it.")
}

// wholeConfiguration returns the configuration at the head's version from the store's
// content alone. It pauses between two reads of deltas.
func (l *loader) wholeConfiguration(ctx context.Context, h head, pause time.Duration) (*contract.Configuration, error) {
	c, _, err := l.rebuild(ctx, &contract.Configuration{}, h, pause)
	if err != nil {
		return nil, err
	}
	if err := checkDigest(c, h.Digest); err != nil {
		l.log.WithError(err).Error("The store's own history has another digest than its head and is used all the same.")
	}
	return c, nil
}

// checkDigest returns ErrInconsistent if the configuration has another digest. An
// unknown digest, "", is not checked.
func checkDigest(c *contract.Configuration, want string) error {
	if want == "" {
		return nil
	}
	got, err := contract.Digest(c)
	if err != nil {
		return err
	}
	if got != want {
		return errors.Wrapf(ErrInconsistent, "the configuration of version %d has another digest", c.Version)
	}
	return nil
}

// sameDigest reports whether two digests are equal, or one of them is not known.
func sameDigest(a, b string) bool { return a == "" || b == "" || a == b }

// rebuild applies deltas to current or, if current is more than
// maxDeltasBeforeSnapshot versions behind or the store has lost deltas after it, to
// the newest usable snapshot. It pauses between two reads of deltas. The digest of the
// first one shows at once whether the store's history continues current.
func (l *loader) rebuild(ctx context.Context, current *contract.Configuration, h head, pause time.Duration) (*contract.Configuration, []contract.Delta, error) {
	if behind := h.Version > current.Version+maxDeltasBeforeSnapshot; (behind || h.lacksDeltasAfter(current.Version)) && h.newestSnapshot() > current.Version {
		current = l.newestUsableSnapshot(ctx, current, h)
	}
	var deltas []contract.Delta
	for current.Version < h.Version {
		if len(deltas) > 0 && pause > 0 && !wait.For(ctx, pause) {
			return nil, nil, markUnavailable(ctx.Err(), "reading the history")
		}
		delta, err := l.readDelta(ctx, current.Version+1)
		if err != nil {
			return nil, nil, err
		}
		next, err := contract.ApplyDelta(current, delta)
		if err != nil {
			return nil, nil, errors.Mark(errors.Wrapf(err, "applying delta %d", delta.Version), ErrInconsistent)
		}
		if len(deltas) == 0 && delta.Version < h.Version { // otherwise the caller checks it
			if err := checkDigest(next, delta.Digest); err != nil {
				return nil, nil, err
			}
		}
		current = next
		deltas = append(deltas, delta)
	}
	return current, deltas, nil
}

// newestUsableSnapshot returns the configuration of the newest snapshot that can be
// read, or current if no such snapshot is newer than current. A damaged snapshot is
// skipped: the versions that it holds can also be rebuilt from deltas.
func (l *loader) newestUsableSnapshot(ctx context.Context, current *contract.Configuration, h head) *contract.Configuration {
	for _, version := range h.Snapshots {
		if version <= current.Version || version > h.Version {
			continue
		}
		c, err := l.readSnapshot(ctx, h.snapshotObject(version), version)
		if err == nil {
			return c
		}
		l.log.WithError(err).WithField("version", version).Warn("A snapshot cannot be used; trying an older one.")
	}
	return current
}

// readSnapshot reads and decodes the snapshot of a version from an object.
func (l *loader) readSnapshot(ctx context.Context, name string, version uint64) (*contract.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	data, err := l.objects.Get(ctx, name)
	if err != nil {
		return nil, markUnavailable(err, "reading a snapshot")
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

// readDelta reads the delta row of a version.
func (l *loader) readDelta(ctx context.Context, version uint64) (contract.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	item, err := l.table.Get(ctx, deltaKey(version))
	if errors.Is(err, store.ErrNotFound) {
		return contract.Delta{}, errors.Wrapf(ErrInconsistent, "the row of delta %d is missing", version)
	}
	if err != nil {
		return contract.Delta{}, markUnavailable(err, "reading a delta")
	}
	var d contract.Delta
	return d, decodeRow(item, &d)
}
