package retry

import (
	"math"
	"time"

	"almondstile/contract"
	"almondstile/shard"
)

const (
	// shareOfSuccesses is the number of retries that one success allows.
	shareOfSuccesses = 0.2
	// freeRetries are allowed without any recent success.
	freeRetries = 3
	// window is the time constant with which successes and retries are
	// forgotten.
	window = 10 * time.Second
)

// Budgets limits the retries of each service. The zero value is ready to use.
type Budgets struct {
	services shard.Map[contract.ServiceID, *budget]
}

// budget counts one service's recent successes and retries.
type budget struct {
	successes float64
	retries   float64
	at        time.Time
}

// Succeeded counts an answered request of the service.
func (b *Budgets) RecordSuccess(now time.Time, service contract.ServiceID) {
	b.services.Do(service, newBudget, func(e *budget) {
		e.decay(now)
		e.successes++
	})
}

// Spend counts a retry and reports whether it may be made.
func (b *Budgets) Spend(now time.Time, service contract.ServiceID) (ok bool) {
	b.services.Do(service, newBudget, func(e *budget) {
		e.decay(now)
		ok = e.retries+1 <= shareOfSuccesses*e.successes+freeRetries
		if ok {
			e.retries++
		}
	})
	return ok
}

func (e *budget) decay(now time.Time) {
	elapsed := now.Sub(e.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / window.Seconds())
	e.successes *= factor
	e.retries *= factor
	e.at = now
}

func newBudget() *budget { return &budget{} }
