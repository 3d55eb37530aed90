package quota

import (
	"context"
	"time"

	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
)

// maxHandoverCalls bounds the handover calls in flight at a time.
const maxHandoverCalls = 16

// Handover drops the buckets whose home changes with the member list next and
// returns them by their next home. The buckets are dropped before anyone can
// receive them, and this VM lends nothing for these teams under an older list.
//
// A bucket is only handed over if this VM was the home under the list just
// before next, since otherwise another VM may have lent tokens in between.
func (h *Homes) PrepareHandover(now time.Time, next vm.MemberList, self vm.ID) map[vm.ID][]Handover {
	out := make(map[vm.ID][]Handover)
	h.teams.Range(func(team BucketID, e *home) bool {
		to, ok := next.Holder(HomeRole(team))
		if e.bucket == nil || !ok || to.ID == self {
			return true
		}
		if given, ok := e.give(now, team, next.Version); ok {
			out[to.ID] = append(out[to.ID], given)
		}
		return true
	})
	return out
}

// give drops the bucket and returns its state, if the next home may use it.
func (e *home) give(now time.Time, team BucketID, version uint64) (Handover, bool) {
	bucket := e.bucket
	e.bucket, e.givenVersion, e.givenAt = nil, max(e.givenVersion, version), now
	if e.actVersion+1 != version {
		return Handover{}, false
	}
	level, loans := bucket.export(now)
	return Handover{
		Bucket: team, ListVersion: version, Level: level, Loans: loans, StartsInMillis: ceilMillis(bucket.at.Sub(now)),
	}, true
}

// Receive keeps handovers until this VM acts as the teams' home.
func (h *Homes) ReceiveHandover(now time.Time, r HandoverRequest) {
	for _, given := range r.Buckets {
		h.teams.Do(given.Bucket, newHome, func(e *home) {
			if e.pending == nil || e.pending.ListVersion < given.ListVersion {
				e.pending = &pendingHandover{Handover: given, receivedAt: now}
			}
		})
	}
}

// SendHandover hands over all buckets whose home changes with the list next.
// A bucket whose message is lost starts empty at its next home.
func (h *Homes) SendHandover(ctx context.Context, next vm.MemberList, self vm.ID) error {
	calls := pool.New().WithErrors().WithMaxGoroutines(maxHandoverCalls)
	for id, buckets := range h.PrepareHandover(h.clock(), next, self) {
		to, ok := next.Find(id)
		if !ok {
			continue
		}
		calls.Go(func() error {
			err := h.caller.Call(ctx, to, MethodHandover, HandoverRequest{Buckets: buckets}, &HandoverReply{})
			return errors.Wrapf(err, "handing over %d buckets to %s", len(buckets), id)
		})
	}
	return calls.Wait()
}

// Refresh notes under which member list this VM still acts for each bucket,
// which a later handover depends on. It also forgets teams that no longer
// exist. Run calls it each second; call it also after each change of the member
// list.
func (h *Homes) Refresh(now time.Time) {
	var teams []BucketID
	h.teams.Range(func(team BucketID, e *home) bool {
		if _, known := h.terms(team); !known {
			return false
		}
		if e.bucket != nil {
			teams = append(teams, team)
		}
		return true
	})
	for _, team := range teams {
		held, ok := h.role(now, team)
		if !ok {
			continue
		}
		h.teams.DoExisting(team, func(e *home) {
			if e.bucket != nil && held.since.Equal(e.since) && held.before >= e.givenVersion {
				e.actVersion = max(e.actVersion, held.before)
			}
		})
	}
}
