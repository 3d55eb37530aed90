package httpfront

import (
	"net"
	"sync"
	"time"

	"almondstile/logging"
)

// refusalReason is why a caller was turned away before its request was complete.
type refusalReason string

// The reasons for which a caller is turned away.
const (
	refusedHead    refusalReason = "head-too-large"
	refusedBody    refusalReason = "body-too-large"
	refusedLate    refusalReason = "too-slow"
	refusedForRoom refusalReason = "memory-short"
)

// refusals logs who was turned away, with a bound for each reason. It is safe for concurrent
// use; the zero value is ready to use.
type refusals struct {
	mu        sync.Mutex
	throttles map[refusalReason]*logging.Throttle
}

// record logs that a caller was turned away.
func (r *refusals) record(log logging.Logger, caller net.Addr, reason refusalReason) {
	withheld, due := r.throttle(reason).Due(time.Now())
	if due {
		log.WithField("reason", reason).WithField("caller", caller).WithField("others", withheld).
			Warn("A caller was turned away before its request was complete.")
	}
}

// throttle returns the throttle of a reason.
func (r *refusals) throttle(reason refusalReason) *logging.Throttle {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.throttles[reason]
	if t == nil {
		if r.throttles == nil {
			r.throttles = make(map[refusalReason]*logging.Throttle)
		}
		t = &logging.Throttle{}
		r.throttles[reason] = t
	}
	return t
}
