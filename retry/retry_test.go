package retry

import (
	"testing"
	"time"

	"almondstile/request"
	_ "almondstile/standin/seeded" // fixes the seed of rapid

	"pgregory.net/rapid"
)

// Guards against forbidden retries (promise P10): of a request that is not idempotent
// and may have been executed, of a request that got a successful response, after the
// deadline, and beyond the maximum number of attempts.
func TestDecideNeverRetriesWhatMayHaveBeenExecuted(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		result := request.Result{
			Outcome: rapid.SampledFrom([]request.Outcome{request.Answered, request.NotRun, request.Unknown}).Draw(t, "outcome"),
			Reason: rapid.SampledFrom([]request.Reason{
				request.ReasonConnectFailed, request.ReasonBusy, request.ReasonEjected, request.ReasonNotOwner, request.ReasonShed,
				request.ReasonLeaving, request.ReasonRateLimited, request.ReasonQuarantined, request.ReasonDeadline, request.ReasonLostResponse,
				request.ReasonTruncated, request.ReasonServerCrashed, request.ReasonStoreUnavailable, request.ReasonDuplicate,
			}).Draw(t, "reason"),
		}
		idempotent := rapid.Bool().Draw(t, "idempotent")
		attempt := rapid.IntRange(1, 10).Draw(t, "attempt")
		timeLeft := time.Duration(rapid.IntRange(-5, 200).Draw(t, "left_ms")) * time.Millisecond
		if Decide(result, idempotent, attempt, timeLeft) == Stop {
			return
		}
		redirect := result.Reason == request.ReasonNotOwner || result.Reason == request.ReasonEjected
		if result.Outcome == request.Answered || result.Outcome == request.Unknown && !idempotent || timeLeft <= 0 ||
			attempt >= maxAttempts && !(redirect && result.Outcome == request.NotRun) || attempt >= maxAttemptsWithRedirects {
			t.Fatalf("%+v, idempotent %v, attempt %d, %v left is retried", result, idempotent, attempt, timeLeft)
		}
	})
}

// Guards against giving up a request that another server may execute, and against
// retrying one that every server answers alike.
func TestDecideByReason(t *testing.T) {
	t.Parallel()
	for reason, want := range map[request.Reason]Decision{
		request.ReasonConnectFailed: Retry, request.ReasonBusy: Retry, request.ReasonShed: Retry, request.ReasonLeaving: Retry,
		request.ReasonNotOwner: Redirect, request.ReasonEjected: Redirect,
		request.ReasonQuarantined: Stop, request.ReasonRateLimited: Stop, request.ReasonStoreUnavailable: Stop,
	} {
		if got := Decide(request.Rejected(reason), false, 1, time.Second); got != want {
			t.Errorf("not run, %s: %d, want %d", reason, got, want)
		}
	}
	if Decide(request.UnknownResult(request.ReasonTruncated), true, 2, time.Second) != Retry {
		t.Error("an idempotent request with a truncated response was given up")
	}
	if Decide(request.UnknownResult(request.ReasonServerCrashed), true, 1, time.Second) != Stop {
		t.Error("a request that crashed a server was sent to the next one")
	}
}

// Guards against retries that multiply the load on a failing service. A service gets
// at most 20% of its recent successes plus 3 retries, independent of other services.
func TestBudgetLimitsRetries(t *testing.T) {
	t.Parallel()
	var b Budgets
	now := time.Unix(1000, 0)
	spend := func() (n int) {
		for b.Spend(now, "a") {
			n++
		}
		return n
	}
	if n := spend(); n != 3 {
		t.Fatalf("%d retries without a success", n)
	}
	for range 100 {
		b.RecordSuccess(now, "a")
	}
	if n := spend(); n != 20 {
		t.Fatalf("%d retries for 100 successes", n)
	}
	if !b.Spend(now, "b") {
		t.Fatal("another service has no budget")
	}
	now = now.Add(time.Hour)
	if n := spend(); n != 3 {
		t.Fatalf("%d retries long after all successes", n)
	}
}
