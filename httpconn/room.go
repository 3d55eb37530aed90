package httpconn

import (
	"context"
	"sync/atomic"
	"time"

	"almondstile/memory"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
)

// roomRetryInterval is how long a response waits before it asks again for room.
const roomRetryInterval = 50 * time.Millisecond

// freeResponseBytes is the size of a response for which room was taken with its request.
const freeResponseBytes = 16 << 10

// room is what one exchange holds of the budget of bytes while its response arrives. A nil
// room bounds nothing.
type room struct {
	ctx    context.Context
	budget *memory.Budget
	lease  *memory.Lease // nil while the response is small
	held   int
	// beyond is set while a response of the pool may exceed the budget, and exceeds says
	// that it is this one.
	beyond  *atomic.Bool
	exceeds bool
}

// newRoom returns the room of an exchange that ends with ctx. The caller has to release it.
func (p *Pool) newRoom(ctx context.Context) *room {
	if p.options.Budget == nil {
		return nil
	}
	return &room{ctx: ctx, budget: p.options.Budget, beyond: &p.beyondBudget}
}

// cover waits until the budget has room for size bytes of the response, or until the
// exchange ends. The server meanwhile waits to send. A response of at most freeResponseBytes
// needs no room. If none becomes free, one response at a time may exceed the budget: else
// a large request could not get a large response, and responses that have arrived in part
// could wait for each other.
func (r *room) cover(size int) error {
	if r == nil || size <= freeResponseBytes || size <= r.held {
		return nil
	}
	if int64(size) > r.budget.Largest() {
		return errors.Wrap(ErrTooLarge, "the budget of bytes is smaller than the response")
	}
	if r.lease == nil {
		r.lease = r.budget.Open("", func() {})
		r.lease.Begin(memory.Serving, 0) // is never turned away: the request may have run
	}
	missing := min(max(size-r.held, maxTrustedLength), int(r.budget.Largest())-r.held)
	for r.lease.TakeContext(r.ctx, int64(missing)) != nil {
		if r.mayExceed() {
			r.lease.Charge(int64(missing))
			break
		}
		if !wait.For(r.ctx, roomRetryInterval) {
			return r.ctx.Err()
		}
	}
	r.held += missing
	return nil
}

// charge adds bytes that a complete response takes, also beyond the budget: it is not held
// back for them.
func (r *room) charge(n int) {
	if r == nil || r.lease == nil {
		return // the response is small
	}
	r.lease.Charge(int64(n))
	r.held += n
}

// mayExceed reports whether this response may exceed the budget.
func (r *room) mayExceed() bool {
	if !r.exceeds && r.ctx.Err() == nil {
		r.exceeds = r.beyond.CompareAndSwap(false, true)
	}
	return r.exceeds
}

// release gives back what the response holds.
func (r *room) release() {
	if r == nil {
		return
	}
	if r.held > 0 {
		r.lease.GiveBack(int64(r.held))
		r.held = 0
	}
	if r.exceeds {
		r.exceeds = false
		r.beyond.Store(false)
	}
}
