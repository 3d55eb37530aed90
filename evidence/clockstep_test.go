package evidence

import (
	"testing"
	"time"

	"almondstile/standin/wallclock"
)

// Guards against a server in slow start that gets its rate twice, because the requests of
// the last second are forgotten when the time of day is set.
func TestSentLastSecondHoldsWhenTheTimeOfDayIsSet(t *testing.T) {
	start := time.Now()
	for _, seconds := range []int64{-2400, -3, 3, 2400} {
		var s ServerStats
		subject := ServerSubject("i-1")
		for range 5 {
			s.RecordStart(start, subject, 1)
		}
		stepped := wallclock.Step(start.Add(100*time.Millisecond), seconds)
		s.RecordStart(stepped, subject, 1)
		if got := s.State(stepped, subject).SentLastSecond; got != 6 {
			t.Errorf("a step of %d s: %d requests in the last second, want 6", seconds, got)
		}
		back := start.Add(200 * time.Millisecond) // the step is taken back
		if got := s.State(back, subject).SentLastSecond; got != 6 {
			t.Errorf("a step of %d s and back: %d requests in the last second, want 6", seconds, got)
		}
	}
}
