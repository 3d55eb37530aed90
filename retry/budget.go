package retry

import (
	"math"
	"time"

	"almondstile/contract"
	"almondstile/shard"
)

const (
	// retriesPerSuccess is the number of retries that one success allows.
	retriesPerSuccess = 0.2
	// minRetries is the number of retries that are allowed without any recent success.
	minRetries = 3
	// decayTime is the time constant of the exponential decay of successes and
	// retries.
	decayTime = 10 * time.Second
)

// Budgets limits the retries of each service on this VM. The zero value is ready to
// use. It is safe for concurrent use.
type Budgets struct {
	services shard.Map[contract.ServiceID, *budget]
}

// budget holds the decayed numbers of one service's successes and retries at the
// time updatedAt.
type budget struct {
	successes float64
	retries   float64
	updatedAt time.Time
}

// RecordSuccess counts a response of the service without a server error.
func (b *Budgets) RecordSuccess(now time.Time, service contract.ServiceID) {
	b.services.Do(service, newBudget, func(e *budget) {
		e.decay(now)
		e.successes++
	})
}

// Spend reports whether the budget allows a retry, and counts it if so.
func (b *Budgets) Spend(now time.Time, service contract.ServiceID) (ok bool) {
	b.services.Do(service, newBudget, func(e *budget) {
		e.decay(now)
		ok = e.retries+1 <= retriesPerSuccess*e.successes+minRetries
		if ok {
			e.retries++
		}
	})
	return ok
}

// decay lets the numbers decay for the time since the last update.
func (e *budget) decay(now time.Time) {
	elapsed := now.Sub(e.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	e.successes *= factor
	e.retries *= factor
	e.updatedAt = now
}

func newBudget() *budget { return &budget{} }
