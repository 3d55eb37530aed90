package entry

import (
	"time"

	"almondstile/contract"
	"almondstile/request"
	"almondstile/shard"
)

const (
	// maxAttempts bounds the attempts that reached a server or its queue.
	maxAttempts = 3
	// maxRedirects bounds all attempts, including those that an owner rejected
	// at once because it no longer owns the server or the server is ejected.
	maxRedirects = 8

	// A service may be retried for 20% of its recent successes plus 3, so that
	// retries cannot multiply the load of a service that fails.
	retryShare   = 0.2
	retryMinimum = 3.0
	// maxRetryCredit bounds what a long good time saves up.
	maxRetryCredit = 20.0

	// minTimeLeft is the least time for which another attempt is worthwhile.
	minTimeLeft = 2 * time.Millisecond
)

// retries decides whether an attempt may be followed by another one.
type retries struct {
	budgets shard.Map[contract.ServiceID, float64]
}

func newRetries() *retries { return &retries{} }

// allow reports whether the request may be sent again after the result, and
// charges the service's retry budget.
func (r *retries) allow(req *request.Request, result request.Result, attempts int, left time.Duration) bool {
	if result.Outcome == request.Answered {
		r.credit(req.Service)
		return false
	}
	if left < minTimeLeft || attempts >= maxRedirects {
		return false
	}
	if result.Outcome == request.NotRun && redirect(result.Reason) {
		return true // no server had work from it, so it costs no budget
	}
	return attempts < maxAttempts && repeatable(req, result) && r.charge(req.Service)
}

// redirect reports whether a rejection says to go elsewhere.
func redirect(reason request.Reason) bool {
	switch reason {
	case request.ReasonNotOwner, request.ReasonEjected, request.ReasonLeaving:
		return true
	}
	return false
}

// repeatable reports whether another server may run the request. An unknown
// outcome may be repeated only if the request may run twice.
func repeatable(req *request.Request, result request.Result) bool {
	switch result.Outcome {
	case request.NotRun:
		switch result.Reason {
		case request.ReasonConnect, request.ReasonBusy, request.ReasonShed:
			return true
		}
	case request.Unknown:
		return req.Idempotent && result.Reason != request.ReasonCanceled
	}
	return false
}

func (r *retries) credit(service contract.ServiceID) {
	r.budgets.Update(service, func(saved float64, exists bool) (float64, bool) {
		if !exists {
			saved = retryMinimum
		}
		return min(saved+retryShare, maxRetryCredit), true
	})
}

func (r *retries) charge(service contract.ServiceID) bool {
	allowed := false
	r.budgets.Update(service, func(saved float64, exists bool) (float64, bool) {
		if !exists {
			saved = retryMinimum
		}
		if allowed = saved >= 1; allowed {
			saved--
		}
		return saved, true
	})
	return allowed
}
