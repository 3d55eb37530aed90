package callrate

import "time"

const (
	// burstTime is the time for which a bucket collects tokens. Together with
	// fleetPart, the calls of all VMs in any second are within the limit.
	burstTime = 1 * time.Second
	// overloadInterval is the least time between two reductions of a share, so that calls
	// that were rejected together count once.
	overloadInterval = 500 * time.Millisecond
	// recoveryTime is the time in which a share grows from nothing to its full size.
	recoveryTime = 10 * time.Second
	// minFactor bounds the reduction.
	minFactor = 1.0 / 16
)

// bucket holds the tokens of one kind of call. Times are local.
type bucket struct {
	tokens float64
	at     time.Duration // of the last refill
	filled bool          // set by the first refill
	// factor is the part of the share that may be used.
	factor       float64
	overloadedAt time.Duration
}

// refill adds the tokens of the time since the last refill, at a rate per second. A bucket that
// could not hold one token would never admit a call with a short time limit.
func (b *bucket) refill(now time.Duration, rate float64) {
	limit := max(rate*burstTime.Seconds(), 1)
	if !b.filled {
		b.tokens, b.factor, b.filled, b.at = limit, 1, true, now
		return
	}
	elapsed := max(now-b.at, 0)
	b.at = now
	b.factor = min(1, b.factor+elapsed.Seconds()/recoveryTime.Seconds())
	b.tokens = min(max(limit*b.factor, 1), b.tokens+rate*b.factor*elapsed.Seconds())
}

// reserve takes a token and returns the time until it is there. If that is longer than
// maxDelay, it takes none and returns false.
func (b *bucket) reserve(now time.Duration, rate float64, maxDelay time.Duration) (delay time.Duration, ok bool) {
	b.refill(now, rate)
	if b.tokens < 1 {
		delay = time.Duration((1 - b.tokens) / (rate * b.factor) * float64(time.Second))
	}
	if delay > maxDelay {
		return 0, false
	}
	b.tokens--
	return delay, true
}

// reduce halves the part of the share that may be used, because the store rejected a call.
func (b *bucket) reduce(now time.Duration, rate float64) {
	b.refill(now, rate)
	if b.overloadedAt > 0 && now-b.overloadedAt < overloadInterval {
		return
	}
	b.overloadedAt = now
	b.factor = max(minFactor, b.factor/2)
	b.tokens = min(b.tokens, rate*b.factor*burstTime.Seconds())
}
