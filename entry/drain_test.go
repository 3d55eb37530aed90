package entry

import (
	"testing"
	"time"

	"almondstile/request"
)

// Guards against requests that a stopping VM accepts although it cuts them before they
// can end, and against a rejection of requests that end in time.
func TestDrainRejectsWhatCannotEndInTime(t *testing.T) {
	var d Drain
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	if d.Reject(at(0), at(100)) != nil || !d.AllowsAttempt(at(0), time.Hour) {
		t.Error("a VM that does not stop rejects a request")
	}
	d.Begin(at(2.7), at(5.5))
	for _, c := range []struct {
		received, deadline float64
		rejected           bool
	}{
		{0, 8, false}, // the balancer still sends
		{2.6, 10, false},
		{2.7, 5.5, false},
		{2.7, 5.6, true},
		{5.4, 5.5, false},
		{5.4, 10.4, true},
		{6, 7, true},
	} {
		result := d.Reject(at(c.received), at(c.deadline))
		if (result != nil) != c.rejected {
			t.Errorf("received at %v s with deadline %v s: got %+v, want rejected %v", c.received, c.deadline, result, c.rejected)
		}
		if result != nil && (result.Outcome != request.NotRun || result.Reason != request.ReasonStopping || result.RetryAfter <= 0) {
			t.Errorf("the rejection is %+v", result)
		}
	}
	if !d.AllowsAttempt(at(5), 500*time.Millisecond) || d.AllowsAttempt(at(5), 501*time.Millisecond) {
		t.Error("an attempt is allowed exactly if it can end before the cut")
	}
}
