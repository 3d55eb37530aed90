package evidence

import (
	"math/rand/v2"
	"testing"
	"time"

	"almondstile/tally"
)

// Guards against slow detection: after a long row of successes, one failure has
// to make the server suspect and two have to take it out.
func TestFailureAfterManySuccessesMakesSuspect(t *testing.T) {
	h := health{usualFaulty}
	h.succeeded(200)
	h.failed(1)
	if h.faulty < 0.25 {
		t.Errorf("after one failure the server is faulty with probability %.2f", h.faulty)
	}
	h.failed(1)
	if h.faulty < 0.9 {
		t.Errorf("after two failures the server is faulty with probability %.2f", h.faulty)
	}
}

// Guards against a server staying out for one of its ordinary failures, and
// against one that recovered never being tried again.
func TestSuspicionPasses(t *testing.T) {
	h := health{usualFaulty}
	h.failed(1)
	h.succeeded(4)
	if h.faulty > 0.1 {
		t.Errorf("after four successes the server is faulty with probability %.2f", h.faulty)
	}
	h.failed(5)
	h.pass(12 * time.Second)
	if h.faulty > 0.15 {
		t.Errorf("after 12 s without results the server is faulty with probability %.2f", h.faulty)
	}
}

// Guards against false suspicion of servers with their ordinary share of
// failures, 1 in 80.
func TestOrdinaryFailuresSeldomMakeSuspect(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := health{usualFaulty}
	suspect, results := 0, 20000
	for range results {
		h.pass(200 * time.Millisecond)
		if rng.Float64() < soundFailures {
			h.failed(1)
		} else {
			h.succeeded(1)
		}
		if h.faulty > 0.3 {
			suspect++
		}
	}
	if share := float64(suspect) / float64(results); share > 0.05 {
		t.Errorf("a sound server is suspect %.1f%% of the time", 100*share)
	}
}

// Guards against requests of a VM that died counting as running forever, and
// against results of other VMs that are not taken in.
func TestCountsOfOtherVMs(t *testing.T) {
	var s ServerStats
	now := time.Unix(1000, 0)
	subject := ServerSubject("server-1")
	s.RecordRemoteCounts(now, subject, tally.Counts{tally.Started: 4, tally.Succeeded: 1, tally.RelativeLatencyPercent: 300})
	if got := s.State(now, subject); got.InFlight != 3 || got.SentLastSecond != 4 || got.RelativeLatency != 2 {
		t.Errorf("got %+v, want 3 running, 4 sent in the last second, slowness 2", got)
	}
	later := now.Add(20 * time.Second)
	if got := s.State(later, subject); got.InFlight > 0.01 || got.SentLastSecond != 0 {
		t.Errorf("20 s later: %+v, want nothing running", got)
	}
}
