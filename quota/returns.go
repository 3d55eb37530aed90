package quota

import (
	"context"
	"time"

	"almondstile/link"
	"almondstile/vm"
)

const (
	// maxReportsPerCall limits the size of one return message.
	maxReportsPerCall = 256
	// versionRefreshInterval is the time between two records of the member
	// list version. If a version changes unrecorded, the bucket's state is
	// not handed over, but the rate limit still holds.
	versionRefreshInterval = time.Second
)

// outbox collects the reports for one home while a message to it is in
// flight. So a pair of busy VMs exchanges few messages.
type outbox struct {
	pending []LoanReport
	sending bool
}

// add appends a report. If the last report is of the same loan, only the one
// with fewer tokens left is kept, because reports may be added in any order.
func (o *outbox) add(r LoanReport) {
	n := len(o.pending)
	if n == 0 || o.pending[n-1].LoanID != r.LoanID {
		o.pending = append(o.pending, r)
	} else if r.Left < o.pending[n-1].Left {
		o.pending[n-1] = r
	}
}

// sendReports sends each report to the current home of its bucket.
func (t *TokenClient) sendReports(reports []LoanReport) {
	if len(reports) == 0 {
		return
	}
	list := t.members.List()
	for _, r := range reports {
		home, ok := list.Holder(HomeRole(r.Bucket))
		if !ok {
			continue
		}
		start := false
		t.outboxes.Do(home.ID, func() *outbox { return &outbox{} }, func(o *outbox) {
			o.add(r)
			start = !o.sending
			o.sending = true
		})
		if start {
			t.calls.Go(func() { t.drainOutbox(home) })
		}
	}
}

// drainOutbox sends the reports to one home until none is left. A failed
// message is not sent again: the home reclaims the loans when they expire.
func (t *TokenClient) drainOutbox(home vm.VM) {
	for {
		var batch []LoanReport
		t.outboxes.Update(home.ID, func(o *outbox, exists bool) (*outbox, bool) {
			if !exists || len(o.pending) == 0 {
				return nil, false
			}
			n := min(len(o.pending), maxReportsPerCall)
			batch = o.pending[:n:n]
			o.pending = o.pending[n:]
			return o, true
		})
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		// The reply carries nothing, and a failed message is not sent again.
		_ = t.caller.Call(ctx, home, MethodReturn, ReturnRequest{Reports: batch}, &ReturnReply{})
		cancel()
	}
}

// sendRecalls asks the holders of loans to return their unused tokens. A lost
// recall only delays the return.
func (h *Homes) sendRecalls(bucketID BucketID, holders []vm.ID) {
	list := h.members.List()
	for _, id := range holders {
		holder, ok := list.Find(id)
		if !ok {
			continue
		}
		h.calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_ = h.caller.Call(ctx, holder, MethodRecall, RecallRequest{Bucket: bucketID}, &RecallReply{})
		})
	}
}

// Run calls Refresh every second until the context ends. Then it waits for
// the calls in flight, which end within callTimeout. Take must not be called
// after the context has ended.
func (h *Homes) Run(ctx context.Context) {
	ticker := time.NewTicker(versionRefreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.Refresh(h.clock())
		case <-ctx.Done():
			h.calls.Wait()
			return
		}
	}
}

// Register registers the handler for the recall messages of homes.
func (t *TokenClient) Register(mux Mux) {
	mux.Handle(MethodRecall, link.Handle(func(_ context.Context, _ vm.ID, r RecallRequest) (RecallReply, error) {
		t.Recall(t.clock(), r.Bucket)
		return RecallReply{}, nil
	}))
}

// Recall returns the unused tokens of the bucket to its home, unless requests
// on this VM wait for them.
func (t *TokenClient) Recall(now time.Time, bucketID BucketID) {
	var reports []LoanReport
	t.entryBuckets.DoExisting(bucketID, func(e *entryBucket) {
		if e.waiting == 0 {
			reports = e.allowance.CloseAll(now, bucketID)
			e.allowance.DelayPrefetch(now)
		}
	})
	t.sendReports(reports)
}

// Run returns idle tokens and deletes the state of idle buckets until the
// context ends. Then it returns the held tokens and waits for the calls in
// flight, which end within callTimeout.
func (t *TokenClient) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.sweep(t.clock())
		case <-ctx.Done():
			t.sweep(t.clock().Add(maxLoanHoldTime))
			t.calls.Wait()
			return
		}
	}
}

// sweep closes idle loans and deletes the state of idle buckets.
func (t *TokenClient) sweep(now time.Time) {
	var reports []LoanReport
	t.entryBuckets.Range(func(bucketID BucketID, e *entryBucket) bool {
		reports = e.allowance.CloseIdle(now, bucketID, reports)
		return e.waiting > 0 || e.takeInFlight != nil || !e.allowance.Idle(now, evictAfter)
	})
	t.sendReports(reports)
}
