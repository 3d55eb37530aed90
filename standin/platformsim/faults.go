package platformsim

import (
	"context"
	"sync"
	"time"

	"almondstile/store"

	"github.com/cockroachdb/errors"
)

// Faults configures the faults that the platform injects. The zero value injects
// none. Faults are set for all clients or for one client.
type Faults struct {
	// Unavailable makes every call of the table, the object store and the VM
	// list fail without effect. An in-process caller gets store.ErrNotDone. A
	// DynamoDB or S3 client gets status 500 or 503, after which the outcome of
	// a write is unknown to it.
	Unavailable bool `json:"unavailable,omitempty"`
	// DelayMillis delays the execution of each call, in milliseconds. If the
	// context of an in-process caller ends first, a read fails, while a write
	// is executed at once and returns store.ErrUnknownOutcome. Over HTTP, a
	// write is executed after the delay even if the client has disconnected.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseResponses drops the responses of all executed writes, including
	// those whose condition failed. A client must read the row to find out
	// whether its write took effect.
	LoseResponses bool `json:"lose_responses,omitempty"`
	// WritesPerSecond and ReadsPerSecond limit the rates of all clients
	// together; 0 means no limit. Each row of a transaction counts as one
	// write. Both are ignored in the faults of a single client.
	WritesPerSecond int `json:"writes_per_second,omitempty"`
	ReadsPerSecond  int `json:"reads_per_second,omitempty"`
	// ListLagMillis makes the platform return the VM list as it was that many
	// milliseconds ago.
	ListLagMillis int `json:"list_lag_ms,omitempty"`
}

// Errors of the stand-in. Each wraps an error of package store. The HTTP
// handlers distinguish them to choose the status and error code.
var (
	errUnavailable  = errors.Wrap(store.ErrNotDone, "platform stand-in is set to unavailable")
	errThrottled    = errors.Wrap(store.ErrNotDone, "platform stand-in throttled the call")
	errInvalid      = errors.Wrap(store.ErrNotDone, "invalid call")
	errResponseLost = errors.Wrap(store.ErrUnknownOutcome, "platform stand-in dropped the response")
)

// rateLimiter is a token bucket with a capacity of one second of calls.
type rateLimiter struct {
	mu      sync.Mutex
	tokens  float64
	updated time.Time
}

// take removes n tokens and reports whether the bucket had that many. perSecond
// is both the refill rate and the capacity, so a larger n always fails; 0 means
// no limit.
func (l *rateLimiter) take(now time.Time, perSecond, n int) bool {
	if perSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := float64(perSecond)
	if l.updated.IsZero() {
		l.tokens = limit
	} else {
		l.tokens = min(limit, l.tokens+now.Sub(l.updated).Seconds()*limit)
	}
	l.updated = now
	if l.tokens < float64(n) {
		return false
	}
	l.tokens -= float64(n)
	return true
}

// wait sleeps for DelayMillis. It returns the error of ctx if ctx ends first.
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
