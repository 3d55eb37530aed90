package logging

import (
	"testing"
	"time"
)

// Guards against a line that floods the log, and against a count of withheld lines that is
// lost or reported twice.
func TestThrottleAdmitsOneLineAnInterval(t *testing.T) {
	var throttle Throttle
	start := time.Now()
	for i, step := range []struct {
		after    time.Duration
		withheld int
		due      bool
	}{
		{0, 0, true}, {ThrottleInterval / 2, 0, false}, {ThrottleInterval - 1, 0, false},
		{ThrottleInterval, 2, true}, {ThrottleInterval + 1, 0, false}, {3 * ThrottleInterval, 1, true},
	} {
		if withheld, due := throttle.Due(start.Add(step.after)); withheld != step.withheld || due != step.due {
			t.Errorf("step %d: %d withheld, due %v, want %d and %v", i, withheld, due, step.withheld, step.due)
		}
	}
}
