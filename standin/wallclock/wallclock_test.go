package wallclock

import (
	"testing"
	"time"
)

// Guards against a version of the standard library in which a time has another layout.
func TestStepChangesTheTimeOfDayOnly(t *testing.T) {
	start := time.Now()
	for _, seconds := range []int64{-2400, -1, 3, 2400} {
		stepped := Step(start.Add(time.Second), seconds)
		if got := stepped.Sub(start); got != time.Second {
			t.Errorf("a step of %d s: %s on the monotonic clock, want 1 s", seconds, got)
		}
		if got, want := stepped.Unix(), start.Add(time.Second).Unix()+seconds; got != want {
			t.Errorf("a step of %d s: Unix time %d, want %d", seconds, got, want)
		}
	}
}
