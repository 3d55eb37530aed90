package retry

import (
	"time"

	"almondstile/request"
)

const (
	// maxAttempts is the number of attempts after which a request is not retried.
	maxAttempts = 3
	// maxAttemptsWithRedirects is the number of attempts after which a request is not
	// redirected to another server or VM. A redirect costs a server no work, and a
	// request may get several of them while the member list changes.
	maxAttemptsWithRedirects = 8
	// minTimeLeft is the time left below which no further attempt is made: a round
	// trip between zones takes about 3 ms.
	minTimeLeft = 5 * time.Millisecond
	// FirstServerError is the lowest HTTP status that is attributed to the server
	// rather than to the request, so that another server may succeed.
	FirstServerError = 500
)

// Decision is what follows an attempt.
type Decision int

const (
	// Stop returns the result to the caller.
	Stop Decision = iota
	// Retry makes another attempt if the service's budget allows it.
	Retry
	// Redirect makes another attempt that does not count for the budget.
	Redirect
)

// Decide returns what follows an attempt with the result. attempts is the number of
// attempts made so far, 1 or more. timeLeft is the time until the deadline of the
// request.
func Decide(result request.Result, idempotent bool, attempts int, timeLeft time.Duration) Decision {
	decision := Stop
	switch result.Outcome {
	case request.NotRun:
		decision = decideAfterNotRun(result.Reason)
	case request.Answered:
		if idempotent && result.Status >= FirstServerError {
			decision = Retry
		}
	case request.Unknown:
		if idempotent && retryableAfterUnknown(result.Reason) {
			decision = Retry
		}
	}
	switch {
	case timeLeft < minTimeLeft,
		decision == Retry && attempts >= maxAttempts,
		decision == Redirect && attempts >= maxAttemptsWithRedirects:
		return Stop
	default:
		return decision
	}
}

// decideAfterNotRun returns what follows an attempt that was not executed. Another
// attempt is made only if the reason may not apply to another server.
func decideAfterNotRun(reason request.Reason) Decision {
	switch reason {
	case request.ReasonNotOwner, request.ReasonEjected, request.ReasonNoSlot:
		return Redirect
	case request.ReasonConnectFailed, request.ReasonBusy, request.ReasonShed, request.ReasonLeaving:
		return Retry
	default:
		return Stop
	}
}

// retryableAfterUnknown reports whether an idempotent request may be retried after
// an unknown outcome with the reason. A request that crashed a server may crash the
// next one too, and a response that is too large is too large from every server.
func retryableAfterUnknown(reason request.Reason) bool {
	switch reason {
	case request.ReasonServerCrashed, request.ReasonResponseTooLarge, request.ReasonCanceled, request.ReasonDeadline:
		return false
	default:
		return true
	}
}
