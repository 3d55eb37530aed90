package configstore

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// snapshotTimeout bounds the writing of a snapshot and the removal of expired
// plans, which delay the response to a confirm.
const snapshotTimeout = 5 * time.Second

// snapshotIfDue writes a snapshot when the newest one is old. A failure is only
// logged: the deltas suffice, and the next confirm tries again.
// It does not end with the operator's request, but soon after.
func (p *Planner) snapshotIfDue(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
	defer cancel()
	h, err := p.head(ctx)
	if err == nil && h.Version >= h.newestSnapshot()+snapshotEvery {
		_, err = p.Snapshot(ctx)
		p.deleteExpiredPlans(ctx)
	}
	if err != nil {
		p.log.WithError(err).Warn("snapshot not written, the next confirm tries again")
	}
}

// Snapshot writes a snapshot of the newest version and lets the head row point
// at it. It returns the version.
func (p *Planner) Snapshot(ctx context.Context) (uint64, error) {
	_, c, err := p.current(ctx)
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
		return 0, unavailable(err, "writing a snapshot")
	}
	return c.Version, p.pointAt(ctx, c.Version)
}

// pointAt puts the version in front of the head's list of snapshots. The write
// can be repeated, so that a lost response needs no other treatment.
func (p *Planner) pointAt(ctx context.Context, version uint64) error {
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 && !p.pause(ctx) {
			break
		}
		var h head
		if h, err = p.head(ctx); err != nil {
			continue
		}
		if h.newestSnapshot() >= version {
			return nil
		}
		next := head{Version: h.Version, Snapshots: []uint64{version}}
		if previous := h.newestSnapshot(); previous > 0 {
			next.Snapshots = append(next.Snapshots, previous)
		}
		write, encodeErr := putJSON(headKey, next, h.unchanged())
		if encodeErr != nil {
			return encodeErr
		}
		if err = p.transact(ctx, write); err == nil {
			return nil
		}
	}
	return unavailable(err, "pointing the head at a snapshot")
}

// deleteExpiredPlans removes plans that can no longer be confirmed. Accepted
// ones go too: their deltas stay.
func (p *Planner) deleteExpiredPlans(ctx context.Context) {
	queryCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	items, err := p.table.Query(queryCtx, planPrefix)
	if err != nil {
		p.log.WithError(err).Warn("expired plans not deleted")
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
			p.log.WithError(err).Warn("expired plan not deleted")
			return
		}
	}
}
