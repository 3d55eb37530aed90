// Package wait pauses a goroutine for a time, without holding up the end of its
// context.
package wait

import (
	"context"
	"time"
)

// For returns after d, or earlier if the context ends, and reports whether the
// context is still alive.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
