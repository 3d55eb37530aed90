package quota

import (
	"context"
	"time"

	"almondstile/link"
	"almondstile/vm"
)

const (
	// maxReturnsPerCall bounds the size of one message.
	maxReturnsPerCall = 256
	// refreshInterval is the time between two notes of the member list version.
	// A version that passes in between costs the handover, not the bound.
	refreshInterval = time.Second
)

// outbox collects the reports for one home while a message to it is in flight,
// so that a busy pair of VMs sends few messages.
type outbox struct {
	pending []LoanReport
	sending bool
}

// add appends a report. Of two reports of the same loan, only the one with less
// left counts; they may come in any order.
func (o *outbox) add(r LoanReport) {
	n := len(o.pending)
	if n == 0 || o.pending[n-1].LoanID != r.LoanID {
		o.pending = append(o.pending, r)
	} else if r.Left < o.pending[n-1].Left {
		o.pending[n-1] = r
	}
}

// giveBack sends reports to the current homes of their teams.
func (t *TokenClient) giveBack(closed []LoanReport) {
	if len(closed) == 0 {
		return
	}
	list := t.members.List()
	for _, r := range closed {
		home, ok := list.Holder(HomeRole(r.Bucket))
		if !ok {
			continue
		}
		start := false
		t.returns.Do(home.ID, func() *outbox { return &outbox{} }, func(o *outbox) {
			o.add(r)
			start = !o.sending
			o.sending = true
		})
		if start {
			t.calls.Go(func() { t.drain(home) })
		}
	}
}

// drain sends the outbox of one home until it is empty. A message that fails is
// not sent again: the home reclaims the loans when they expire.
func (t *TokenClient) drain(home vm.VM) {
	for {
		var batch []LoanReport
		t.returns.Update(home.ID, func(o *outbox, exists bool) (*outbox, bool) {
			if !exists || len(o.pending) == 0 {
				return nil, false
			}
			n := min(len(o.pending), maxReturnsPerCall)
			batch = o.pending[:n:n]
			o.pending = o.pending[n:]
			return o, true
		})
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		// Nothing depends on this reply; see above.
		_ = t.caller.Call(ctx, home, MethodReturn, ReturnRequest{Reports: batch}, &ReturnReply{})
		cancel()
	}
}

// recall asks the holders of idle tokens to return them. A recall that is lost
// only delays the return.
func (h *Homes) recall(team BucketID, holders []vm.ID) {
	list := h.members.List()
	for _, id := range holders {
		holder, ok := list.Find(id)
		if !ok {
			continue
		}
		h.calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			_ = h.caller.Call(ctx, holder, MethodRecall, RecallRequest{Bucket: team}, &RecallReply{})
		})
	}
}

// Run refreshes the buckets each second until the context ends. Then it waits
// for the calls in flight, each of which is bounded by its timeout. Take must
// not be called after the context has ended.
func (h *Homes) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
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

// Register makes the entry side answer the homes' control messages.
func (t *TokenClient) Register(mux Mux) {
	mux.Handle(MethodRecall, link.Handle(func(_ context.Context, _ vm.ID, r RecallRequest) (RecallReply, error) {
		t.Recall(t.clock(), r.Bucket)
		return RecallReply{}, nil
	}))
}

// Recall returns the team's tokens unless requests wait for them here too.
func (t *TokenClient) Recall(now time.Time, team BucketID) {
	var closed []LoanReport
	t.teams.DoExisting(team, func(e *allotment) {
		if e.waiting == 0 {
			closed = e.allowance.CloseAll(now, team)
			e.allowance.DelayPrefetch(now)
		}
	})
	t.giveBack(closed)
}

// Run returns idle tokens and drops the state of idle teams until the context
// ends. Then it returns all tokens that are held and waits for the calls in
// flight, each of which is bounded by its timeout.
func (t *TokenClient) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.sweep(t.clock())
		case <-ctx.Done():
			t.sweep(t.clock().Add(idleReturn))
			t.calls.Wait()
			return
		}
	}
}

// sweep closes idle loans and evicts idle teams.
func (t *TokenClient) sweep(now time.Time) {
	var closed []LoanReport
	t.teams.Range(func(team BucketID, e *allotment) bool {
		closed = e.allowance.CloseIdle(now, team, closed)
		return e.waiting > 0 || e.flight != nil || !e.allowance.Idle(now, evictAfter)
	})
	t.giveBack(closed)
}
