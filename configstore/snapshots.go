package configstore

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/store"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

// snapshotTimeout limits the time for writing a snapshot and deleting expired plans
// after a confirm. The response to the confirm waits for both.
const snapshotTimeout = 5 * time.Second

// snapshotIfDue writes a snapshot and deletes expired plans if the newest snapshot
// is at least snapshotEvery versions old. An error is only logged: the configuration
// can be rebuilt from the deltas, and the next confirm tries again. The work does
// not stop if the operator's request is canceled, but at the latest after
// snapshotTimeout.
func (p *Planner) snapshotIfDue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
	defer cancel()
	h, err := p.head(ctx)
	if err == nil && h.Version >= h.newestSnapshot()+snapshotEvery {
		_, err = p.Snapshot(ctx)
		p.deleteExpiredPlans(ctx)
	}
	if err != nil {
		p.log.WithError(err).Warn("The snapshot was not written; the next confirm tries again.")
	}
}

// Snapshot writes a snapshot of the newest version and adds it to the head row. It
// returns the version.
func (p *Planner) Snapshot(ctx context.Context) (uint64, error) {
	_, c, err := p.headConfiguration(ctx)
	if err != nil {
		return 0, err
	}
	data, err := contract.EncodeSnapshot(c)
	if err != nil {
		return 0, err
	}
	putCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	if err := p.objects.Put(putCtx, SnapshotName(c.Version), data); err != nil {
		return 0, markUnavailable(err, "writing a snapshot")
	}
	return c.Version, p.addSnapshotToHead(ctx, c.Version)
}

// addSnapshotToHead puts the version in front of the head's list of snapshots and
// keeps the newest one of the others. After an error it repeats the write, which is
// idempotent, so a lost response needs no special handling.
func (p *Planner) addSnapshotToHead(ctx context.Context, version uint64) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !wait.For(ctx, p.retryPause) {
			break
		}
		var h head
		if h, err = p.head(ctx); err != nil {
			continue
		}
		if h.newestSnapshot() >= version {
			return nil
		}
		next := head{Version: h.Version, Snapshots: []uint64{version}, Digest: h.Digest, Settled: h.Settled}
		if previous := h.newestSnapshot(); previous > 0 {
			next.Snapshots = append(next.Snapshots, previous)
		}
		write, encodeErr := putJSON(headKey, next, h.unchangedCondition())
		if encodeErr != nil {
			return encodeErr
		}
		if err = p.transact(ctx, write); err == nil {
			return nil
		}
	}
	return markUnavailable(err, "adding a snapshot to the head")
}

// deleteExpiredPlans deletes the rows of plans that have expired, open and accepted
// ones. The deltas of accepted plans stay.
func (p *Planner) deleteExpiredPlans(ctx context.Context) {
	queryCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	items, err := p.table.Query(queryCtx, planPrefix)
	if err != nil {
		p.log.WithError(err).Warn("The expired plans were not deleted; the next snapshot tries again.")
		return
	}
	for _, item := range items {
		var stored StoredPlan
		if decodeRow(item, &stored) != nil || p.now().Sub(stored.Created) <= planLifetime {
			continue
		}
		err := p.transact(ctx, store.Write{Kind: store.Delete, Key: item.Key,
			Condition: store.Condition{Kind: store.VersionIs, Version: item.Version}})
		if err != nil && !errors.Is(err, store.ErrConditionFailed) {
			p.log.WithError(err).Warn("An expired plan was not deleted; the next snapshot tries again.")
			return
		}
	}
}
