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

// refusalLogInterval is the shortest time between two log lines with the same reason.
const refusalLogInterval = 1 * time.Second

// refusals logs who was turned away, at most one line an interval for each reason.
type refusals struct {
	mu    sync.Mutex
	since map[refusalReason]*refusalCount
}

// refusalCount counts what was not logged.
type refusalCount struct {
	loggedAt time.Time
	skipped  int
}

// record logs that a caller was turned away.
func (r *refusals) record(log logging.Logger, caller net.Addr, reason refusalReason) {
	skipped, now := r.count(reason, time.Now())
	if now {
		log.WithField("reason", reason).WithField("caller", caller).WithField("others", skipped).
			Warn("A caller was turned away before its request was complete.")
	}
}

// count reports whether a refusal is to be logged now, and how many others were not logged
// since the last line.
func (r *refusals) count(reason refusalReason, at time.Time) (skipped int, logNow bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.since[reason]
	if c == nil {
		if r.since == nil {
			r.since = make(map[refusalReason]*refusalCount)
		}
		c = &refusalCount{}
		r.since[reason] = c
	}
	if at.Sub(c.loggedAt) < refusalLogInterval {
		c.skipped++
		return 0, false
	}
	skipped = c.skipped
	c.loggedAt, c.skipped = at, 0
	return skipped, true
}
