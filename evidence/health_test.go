package evidence

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"almondstile/contract"
	"almondstile/tally"
)

// Guards against slow detection of a faulty server. After many successes, one
// failure must raise the fault probability to a quarter and a second one to 0.9.
func TestFailuresAfterManySuccessesAreDetected(t *testing.T) {
	t.Parallel()
	h := faultModel{priorFaultProbability}
	h.recordSuccesses(200)
	h.recordFailures(1)
	if h.faultProbability < 0.25 {
		t.Errorf("after one failure the server is faulty with probability %.2f", h.faultProbability)
	}
	h.recordFailures(1)
	if h.faultProbability < 0.9 {
		t.Errorf("after two failures the server is faulty with probability %.2f", h.faultProbability)
	}
}

// Guards against avoiding a server for a long time after one of its ordinary
// failures, and against never trying a server again that has recovered.
func TestFaultProbabilityFallsAfterRecovery(t *testing.T) {
	t.Parallel()
	h := faultModel{priorFaultProbability}
	h.recordFailures(1)
	h.recordSuccesses(4)
	if h.faultProbability > 0.1 {
		t.Errorf("after four successes the server is faulty with probability %.2f", h.faultProbability)
	}
	h.recordFailures(5)
	h.advance(12 * time.Second)
	if h.faultProbability > 0.15 {
		t.Errorf("after 12 s without results the server is faulty with probability %.2f", h.faultProbability)
	}
}

// Guards against a high fault probability of servers that fail at their ordinary
// rate, 1 in 80.
func TestHealthyServerIsSeldomSuspected(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	h := faultModel{priorFaultProbability}
	suspect, results := 0, 20000
	for range results {
		h.advance(200 * time.Millisecond)
		if rng.Float64() < healthyFailureRate {
			h.recordFailures(1)
		} else {
			h.recordSuccesses(1)
		}
		if h.faultProbability > 0.3 {
			suspect++
		}
	}
	if share := float64(suspect) / float64(results); share > 0.05 {
		t.Errorf("a healthy server has a fault probability above 0.3 in %.1f%% of the time", 100*share)
	}
}

// Guards against counting the requests of a VM that crashed as in flight forever,
// and against ignoring the results of other VMs.
func TestRemoteCounts(t *testing.T) {
	t.Parallel()
	var s ServerStats
	now := time.Unix(1000, 0)
	subject := ServerSubject("server-1")
	s.RecordRemoteCounts(now, subject, tally.Counts{tally.Started: 4, tally.Succeeded: 1, tally.RelativeLatencyPercent: 300})
	if got := s.State(now, subject); got.InFlight != 3 || got.SentLastSecond != 4 || got.RelativeLatency != 2 {
		t.Errorf("got %+v, want 3 in flight, 4 sent in the last second, relative latency 2", got)
	}
	later := now.Add(20 * time.Second)
	if got := s.State(later, subject); got.InFlight > 0.01 || got.SentLastSecond != 0 {
		t.Errorf("20 s later: %+v, want nothing in flight", got)
	}
}

// Guards against a VM that hangs on one message with an absurd count.
func TestAbsurdCountsTakeNoTime(t *testing.T) {
	t.Parallel()
	var s ServerStats
	subject := ServerSubject("server-1")
	s.RecordRemoteCounts(time.Unix(1000, 0), subject, tally.Counts{tally.Failed: math.MaxUint64, tally.Succeeded: math.MaxUint64})
	if p := s.State(time.Unix(1000, 0), subject).FaultProbability; !(p >= 0 && p <= 1) {
		t.Errorf("the fault probability is %f", p)
	}
}

// Guards against memory that grows with each server that ever got a request, and against
// a record that is deleted while its request is in flight.
func TestUnusedRecordsAreDeleted(t *testing.T) {
	t.Parallel()
	var s ServerStats
	now := time.Unix(1000, 0)
	busy := ServerSubject("busy")
	s.RecordStart(now, busy, 1)
	for i := range 10000 {
		now = now.Add(time.Second)
		subject := ServerSubject(contract.ServerID(strconv.Itoa(i)))
		s.RecordStart(now, subject, 1)
		s.RecordResult(now, subject, Success, 1, 100)
		s.Sweep(now)
	}
	if n := s.records.Len(); n > int(retention/time.Second)+2 {
		t.Errorf("%d records are kept", n)
	}
	if in := s.State(now, busy).InFlight; in != 1 {
		t.Errorf("%v requests are in flight at a server with one", in)
	}
}
