package retry

import (
	"testing"
	"time"

	"almondstile/standin/wallclock"
	"almondstile/tally"
)

// steps are changes of the time of day in seconds.
var steps = []int64{-2400, -3, 3, 2400}

// Guards against a retry budget that forgets the retries of the last window, or loses its
// slack, when the time of day is set.
func TestBudgetHoldsWhenTheTimeOfDayIsSet(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
	start := time.Now()
	for _, seconds := range steps {
		b := NewReplicatedBudgets(start, startTimes{}, limits)
		b.Adopt(start, Windows{CompleteFor: limits.Window})
		now := start.Add(time.Second)
		b.RecordSends(now, tally.SubjectOf(tally.Service, "s"), 50, 40)
		before := b.Left(now, "s", 1)
		if after := b.Left(wallclock.Step(now, seconds), "s", 1); after != before {
			t.Errorf("a step of %d s: %v retries left, before it %v", seconds, after, before)
		}
	}
}
