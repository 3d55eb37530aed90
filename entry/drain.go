package entry

import (
	"sync/atomic"
	"time"

	"almondstile/request"
)

// drainRetryAfter is the Retry-After time of a request that a stopping VM rejects. The
// caller opens a new connection, which the load balancer sends to another VM.
const drainRetryAfter = 100 * time.Millisecond

// Drain decides which requests a VM still serves before a planned stop. The zero value
// means that no stop is planned. It is safe for concurrent use.
type Drain struct {
	plan atomic.Pointer[drainPlan]
}

// drainPlan holds the times of a planned stop.
type drainPlan struct {
	rejectFrom, cutAt time.Time
}

// Begin starts a drain. From rejectFrom on, the VM rejects requests that may be running
// still at cutAt, when it cuts what is in flight.
func (d *Drain) Begin(rejectFrom, cutAt time.Time) {
	d.plan.Store(&drainPlan{rejectFrom, cutAt})
}

// Reject returns nil if a request with the deadline may be served, and otherwise its
// rejection.
func (d *Drain) Reject(now, deadline time.Time) *request.Result {
	plan := d.plan.Load()
	if plan == nil || now.Before(plan.rejectFrom) || !deadline.After(plan.cutAt) {
		return nil
	}
	rejected := request.Rejected(request.ReasonStopping)
	rejected.RetryAfter = drainRetryAfter
	return &rejected
}

// AllowsAttempt reports whether a further attempt that takes the given time can finish
// before the VM cuts what is in flight.
func (d *Drain) AllowsAttempt(now time.Time, expected time.Duration) bool {
	plan := d.plan.Load()
	return plan == nil || !now.Add(expected).After(plan.cutAt)
}
