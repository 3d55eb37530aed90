package direct

import (
	"time"

	"almondstile/request"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// quarantineCrashes is the number of servers that a request must have
	// brought down before it is refused: one may be the server's own fault.
	quarantineCrashes = 2
	// quarantineTime is how long after the last crash it is refused.
	quarantineTime = 60 * time.Second
)

// crashes counts the servers that ended while they ran a request.
type crashes struct {
	requests shard.Map[tally.Subject, *crashCount]
}

type crashCount struct {
	count int
	last  time.Time
}

func (c *crashes) add(now time.Time, subject tally.Subject, n int) {
	c.requests.Do(subject, func() *crashCount { return &crashCount{} }, func(e *crashCount) {
		if now.Sub(e.last) > quarantineTime {
			e.count = 0
		}
		e.count += n
		e.last = now
	})
}

// quarantined reports whether the request must not be sent to any server.
func (c *crashes) quarantined(now time.Time, f request.Fingerprint) bool {
	found := false
	c.requests.DoExisting(tally.SubjectOf(tally.Fingerprint, string(f)), func(e *crashCount) {
		found = e.count >= quarantineCrashes && now.Sub(e.last) <= quarantineTime
	})
	return found
}

// sweep forgets requests that were not seen crashing for the quarantine time.
func (c *crashes) sweep(now time.Time) {
	c.requests.Range(func(_ tally.Subject, e *crashCount) bool { return now.Sub(e.last) <= quarantineTime })
}
