package logging

import (
	"sync"
	"time"
)

// ThrottleInterval is the least time between two lines of a Throttle.
const ThrottleInterval = 1 * time.Second

// Throttle bounds how often a line is logged. It is safe for concurrent use; the zero value
// admits the first line.
type Throttle struct {
	mu       sync.Mutex
	loggedAt time.Time
	withheld int // lines since loggedAt that were not logged
}

// Due counts a line and reports whether it may be logged, and how many were withheld since
// the last one that was.
func (t *Throttle) Due(now time.Time) (withheld int, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.loggedAt) < ThrottleInterval {
		t.withheld++
		return 0, false
	}
	withheld = t.withheld
	t.loggedAt, t.withheld = now, 0
	return withheld, true
}
