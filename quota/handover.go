package quota

import (
	"context"
	"time"

	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
)

// maxHandoverCalls is the maximum number of concurrent handover calls.
const maxHandoverCalls = 16

// PrepareHandover removes the buckets whose home changes with the member list
// next and returns their state by the ID of their next home. A removed bucket
// lends nothing more on this VM under a member list older than next, so at
// most one VM lends its tokens.
//
// The state of a bucket is returned only if this VM acted as its home under
// the list version just before next. Otherwise another VM may have lent
// tokens in between.
func (h *Homes) PrepareHandover(now time.Time, next vm.MemberList, self vm.ID) map[vm.ID][]Handover {
	byNextHome := make(map[vm.ID][]Handover)
	h.bucketHomes.Range(func(bucketID BucketID, e *bucketHome) bool {
		to, ok := next.Holder(HomeRole(bucketID))
		if e.bucket == nil || !ok || to.ID == self {
			return true
		}
		if handover, ok := e.handOver(now, bucketID, next.Version); ok {
			byNextHome[to.ID] = append(byNextHome[to.ID], handover)
		}
		return true
	})
	return byNextHome
}

// handOver removes the bucket and returns its state for the member list with
// the given version. The result is false if this VM did not act as home under
// the version just before.
func (e *bucketHome) handOver(now time.Time, bucketID BucketID, version uint64) (Handover, bool) {
	bucket := e.bucket
	e.bucket, e.handedOverVersion, e.handedOverAt = nil, max(e.handedOverVersion, version), now
	if e.lastActedVersion+1 != version {
		return Handover{}, false
	}
	level, loans := bucket.exportState(now)
	return Handover{
		Bucket: bucketID, ListVersion: version, Level: level, Loans: loans, StartsInMillis: ceilMillis(bucket.refilledUntil.Sub(now)),
	}, true
}

// ReceiveHandover stores handovers until this VM acts as the home of their
// buckets. Of two handovers of a bucket, it keeps the one with the newer list
// version.
func (h *Homes) ReceiveHandover(now time.Time, r HandoverRequest) {
	for _, handover := range r.Buckets {
		h.bucketHomes.Do(handover.Bucket, newBucketHome, func(e *bucketHome) {
			if e.pending == nil || e.pending.ListVersion < handover.ListVersion {
				e.pending = &pendingHandover{Handover: handover, receivedAt: now}
			}
		})
	}
}

// SendHandover hands over all buckets whose home changes with the member list
// next. It returns the errors of the failed calls. A bucket whose handover is
// lost starts empty at its next home.
func (h *Homes) SendHandover(ctx context.Context, next vm.MemberList, self vm.ID) error {
	calls := pool.New().WithErrors().WithMaxGoroutines(maxHandoverCalls)
	for id, buckets := range h.PrepareHandover(h.clock(), next, self) {
		to, ok := next.Find(id)
		if !ok {
			continue
		}
		calls.Go(func() error {
			err := h.caller.Call(ctx, to, MethodHandover, HandoverRequest{Buckets: buckets}, &HandoverReply{})
			return errors.Wrapf(err, "handing over %d buckets to VM %s", len(buckets), id)
		})
	}
	return calls.Wait()
}

// Refresh records for each bucket the member list version under which this VM
// still acts as its home. A later handover depends on that version. Refresh
// also deletes the state of buckets that the configuration no longer
// contains. Run calls Refresh every second. It must also be called after each
// change of the member list.
func (h *Homes) Refresh(now time.Time) {
	var bucketIDs []BucketID
	h.bucketHomes.Range(func(bucketID BucketID, e *bucketHome) bool {
		if _, known := h.rateLimit(bucketID); !known {
			return false
		}
		if e.bucket != nil {
			bucketIDs = append(bucketIDs, bucketID)
		}
		return true
	})
	for _, bucketID := range bucketIDs {
		held, ok := h.heldRole(now, bucketID)
		if !ok {
			continue
		}
		h.bucketHomes.DoExisting(bucketID, func(e *bucketHome) {
			if e.bucket != nil && held.since.Equal(e.roleSince) && held.versionBefore >= e.handedOverVersion {
				e.lastActedVersion = max(e.lastActedVersion, held.versionBefore)
			}
		})
	}
}
