package evidence

import (
	"testing"
	"time"

	"almondstile/tally"
)

// Guards against attempts that were canceled, such as the slower one of a hedge, and stay in
// flight for other VMs, to which their server looks busy.
func TestCanceledAttemptsOfOtherVMsEnd(t *testing.T) {
	var s ServerStats
	now, subject := time.Unix(1000, 0), ServerSubject("i-1")
	s.RecordRemoteCounts(now, subject, tally.Counts{tally.Started: 3})
	s.RecordRemoteCounts(now, subject, tally.Counts{tally.Canceled: 2})
	if st := s.State(now, subject); st.InFlight != 1 || st.Work != 1 || st.RecentFailures != 0 || st.RecentSuccesses != 0 {
		t.Errorf("three requests started and two were canceled: %+v", st)
	}
}
