package quota

import (
	"context"
	"time"

	"almondstile/contract"
	"almondstile/vm"
)

// maxReturnsPerCall bounds the size of one message.
const maxReturnsPerCall = 256

// outbox collects the returns for one home while a message to it is in flight,
// so that a busy pair of VMs sends few messages.
type outbox struct {
	pending []LoanReturn
	sending bool
}

// giveBack sends returns to the current homes of their teams.
func (t *Tokens) giveBack(closed []LoanReturn) {
	if len(closed) == 0 {
		return
	}
	list := t.members.List()
	for _, r := range closed {
		home, ok := list.Holder(Role(r.Team))
		if !ok {
			continue
		}
		start := false
		t.returns.Do(home.ID, func() *outbox { return &outbox{} }, func(o *outbox) {
			o.pending = append(o.pending, r)
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
func (t *Tokens) drain(home vm.VM) {
	for {
		var batch []LoanReturn
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
		_ = t.caller.Call(ctx, home, MethodReturn, ReturnRequest{Returns: batch}, &ReturnReply{})
		cancel()
	}
}

// Run returns idle tokens and drops the state of idle teams until the context
// ends. Then it returns all tokens that are held and waits for the calls in
// flight, each of which is bounded by its timeout.
func (t *Tokens) Run(ctx context.Context) {
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
func (t *Tokens) sweep(now time.Time) {
	var closed []LoanReturn
	t.teams.Range(func(team contract.TeamID, e *allotment) bool {
		closed = e.allowance.CloseIdle(now, team, closed)
		return e.waiting > 0 || e.flight != nil || !e.allowance.Idle(now, evictAfter)
	})
	t.giveBack(closed)
}
