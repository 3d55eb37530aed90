package direct

import (
	"time"

	"almondstile/request"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// quarantineCrashes is the number of server crashes after which a request is
	// quarantined. A single crash may be the server's own fault.
	quarantineCrashes = 2
	// quarantineTime is how long after the last crash the request is rejected.
	quarantineTime = 60 * time.Second
)

// crashTracker counts the servers that crashed while they executed a request, by
// the request's fingerprint.
type crashTracker struct {
	requests shard.Map[tally.Subject, *crashCount]
}

type crashCount struct {
	count     int
	lastCrash time.Time
}

// add counts n crashes. It starts again from zero if the last crash is longer ago
// than quarantineTime.
func (c *crashTracker) add(now time.Time, subject tally.Subject, n int) {
	c.requests.Do(subject, func() *crashCount { return &crashCount{} }, func(e *crashCount) {
		if now.Sub(e.lastCrash) > quarantineTime {
			e.count = 0
		}
		e.count += n
		e.lastCrash = now
	})
}

// quarantined reports whether requests with the fingerprint crashed so many servers
// that they must not be sent to another one.
func (c *crashTracker) quarantined(now time.Time, f request.Fingerprint) bool {
	found := false
	c.requests.DoExisting(tally.SubjectOf(tally.Fingerprint, string(f)), func(e *crashCount) {
		found = e.count >= quarantineCrashes && now.Sub(e.lastCrash) <= quarantineTime
	})
	return found
}

// sweep deletes the counts of requests whose last crash is longer ago than
// quarantineTime.
func (c *crashTracker) sweep(now time.Time) {
	c.requests.Range(func(_ tally.Subject, e *crashCount) bool { return now.Sub(e.lastCrash) <= quarantineTime })
}
