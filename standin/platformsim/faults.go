package platformsim

import (
	"context"
	"sync"
	"time"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Faults describes how the platform misbehaves. The zero value is a platform
// without faults. Faults are set for all clients or for one of them.
type Faults struct {
	// Unavailable makes every call fail without effect.
	Unavailable bool `json:"unavailable,omitempty"`
	// DelayMillis is added before a call takes effect. A write takes effect
	// even if its caller has given up by then.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseResponses drops the responses of all writes that reach the platform,
	// also of those whose condition failed: a client must find out by reading
	// whether its write took effect.
	LoseResponses bool `json:"lose_responses,omitempty"`
	// WritesPerSecond and ReadsPerSecond throttle; 0 means no limit. One row of
	// a transaction is one write.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	// ListLagMillis is the age of the VM list that is returned.
	ListLagMillis int `json:"list_lag_ms,omitempty"`
}

// Errors that refine store.ErrNotDone, for the HTTP front end.
var (
	errUnavailable = errors.Wrap(store.ErrNotDone, "platform stand-in is set to unavailable")
	errThrottled   = errors.Wrap(store.ErrNotDone, "platform stand-in throttled the call")
	errInvalid     = errors.Wrap(store.ErrNotDone, "invalid call")
	errLost        = errors.Wrap(store.ErrUnknownOutcome, "platform stand-in dropped the response")
)

// meter is a token bucket that holds one second's worth of calls.
type meter struct {
	mu      sync.Mutex
	tokens  float64
	updated time.Time
}

func (m *meter) take(now time.Time, perSecond, n int) bool {
	if perSecond <= 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := float64(perSecond)
	if m.updated.IsZero() {
		m.tokens = limit
	} else {
		m.tokens = min(limit, m.tokens+now.Sub(m.updated).Seconds()*limit)
	}
	m.updated = now
	if m.tokens < float64(n) {
		return false
	}
	m.tokens -= float64(n)
	return true
}

// wait sleeps for the fault's delay or until the caller gives up.
func (f Faults) wait(ctx context.Context) error {
	if f.DelayMillis <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(f.DelayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
