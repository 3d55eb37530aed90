package retry

import (
	"time"

	"almondstile/request"
)

const (
	// maxAttempts bounds the attempts of a request after failures.
	maxAttempts = 3
	// maxAttemptsWithRedirects bounds the attempts when a VM answered that
	// another server or VM must be tried. Such an answer costs no server any
	// work, and there may be several of them while the member list changes.
	maxAttemptsWithRedirects = 8
	// minTimeLeft is the time below which another attempt is pointless: one
	// hop between zones and back takes about 3 ms.
	minTimeLeft = 5 * time.Millisecond
	// FirstServerError is the lowest status that blames the server rather than
	// the request, so that another server may answer better.
	FirstServerError = 500
)

// Decision says what follows a failed attempt.
type Decision int

const (
	// Stop returns the result to the caller.
	Stop Decision = iota
	// Retry makes another attempt if the service's budget allows it.
	Retry
	// Redirect makes another attempt that costs no budget.
	Redirect
)

// Decide says what follows an attempt with the result. attempt counts the
// attempts made so far, from 1 on.
func Decide(result request.Result, idempotent bool, attempt int, timeLeft time.Duration) Decision {
	decision := Stop
	switch result.Outcome {
	case request.NotRun:
		decision = afterNotRun(result.Reason)
	case request.Answered:
		if idempotent && result.Status >= FirstServerError {
			decision = Retry
		}
	case request.Unknown:
		if idempotent && mayRepeat(result.Reason) {
			decision = Retry
		}
	}
	switch {
	case timeLeft < minTimeLeft,
		decision == Retry && attempt >= maxAttempts,
		decision == Redirect && attempt >= maxAttemptsWithRedirects:
		return Stop
	default:
		return decision
	}
}

// afterNotRun tells the reasons that another server may not share.
func afterNotRun(reason request.Reason) Decision {
	switch reason {
	case request.ReasonNotOwner, request.ReasonEjected, request.ReasonNoSlot:
		return Redirect
	case request.ReasonConnectFailed, request.ReasonBusy, request.ReasonShed, request.ReasonLeaving:
		return Retry
	default:
		return Stop
	}
}

// mayRepeat reports whether an idempotent request may be sent again after an
// unknown outcome. A request that crashed a server may crash the next one too,
// and a response that is too large is so on every server.
func mayRepeat(reason request.Reason) bool {
	switch reason {
	case request.ReasonServerCrashed, request.ReasonResponseTooLarge, request.ReasonCanceled, request.ReasonDeadline:
		return false
	default:
		return true
	}
}
