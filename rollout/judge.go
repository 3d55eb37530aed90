package rollout

import (
	"sync"
	"time"
)

// Judge holds one VM's evidence about one order and decides. A VM calls Decide some times
// a second and applies the last decision to its requests. It is safe for concurrent use.
type Judge struct {
	mu      sync.Mutex
	order   Order
	bounds  Bounds
	started time.Time
}

// NewJudge returns the judge of an order that was acknowledged startedAgo before now.
func NewJudge(now time.Time, startedAgo time.Duration, order Order, bounds Bounds) *Judge {
	return &Judge{order: order, bounds: bounds, started: now.Add(-startedAgo)}
}

// Record adds a sample of this VM or another.
func (j *Judge) Record(now time.Time, sample Sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
}

// RecordSends adds requests that VMs sent to servers of the service, and how many of them
// they sent to the target version.
func (j *Judge) RecordSends(now time.Time, total, target uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
}

// Decide returns the decision at the given time. A verdict is final.
func (j *Judge) Decide(now time.Time, s Situation) Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Decision{Reason: ReasonNoTargets}
}
