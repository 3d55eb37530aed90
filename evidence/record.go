package evidence

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of latencies and
	// refusals.
	decayTime = 3 * time.Second
	// remoteDecayTime is the time constant of the exponential decay of other VMs'
	// requests in flight. A VM that stops does not report the end of its requests.
	remoteDecayTime = 3 * time.Second
	// sendBuckets is the number of equal parts of the last second whose sends are
	// counted separately.
	sendBuckets      = 10
	sendBucketLength = time.Second / sendBuckets
	// typicalLatencyPercent is the relative latency of a typical response, in percent.
	// One such response is added to the recorded ones when the mean is taken.
	typicalLatencyPercent = 100.0
	// maxRelativeWork bounds the likely cost of one request of another VM, in multiples of
	// the mean cost of a request of the service.
	maxRelativeWork = 20.0
)

// serverRecord holds one server's statistics at the time updatedAt.
type serverRecord struct {
	updatedAt         time.Time
	model             faultModel
	failures          float64
	refusals          float64
	latencyPercentSum float64 // decayed sum of the relative latencies of successful responses, in percent
	latencyCount      float64 // decayed number of responses in latencyPercentSum
	lastStart         time.Time
	localInFlight     int
	remoteInFlight    float64
	// sendEpoch is the time from which the buckets of sends are numbered: one second
	// before the first send. A step of the time of day moves no bucket.
	sendEpoch time.Time
	// localWork and remoteWork are the likely costs of the requests in flight, in
	// multiples of the mean cost of a request of the service.
	localWork, remoteWork float64
	// startedAt identifies the incarnation to which this VM sent last.
	startedAt int64
	sends     [sendBuckets]struct {
		number int64
		count  int
	}
}

func newServerRecord() *serverRecord { return &serverRecord{model: faultModel{priorFaultProbability}} }

// lastEvent returns the time of the last send or result.
func (r *serverRecord) lastEvent() time.Time {
	if r.lastStart.After(r.updatedAt) {
		return r.lastStart
	}
	return r.updatedAt
}

// state returns the statistics of a record that has decayed until now.
func (r *serverRecord) state(now time.Time) State {
	return State{
		FailureRate:      r.model.failureRate(),
		FaultProbability: r.model.faultProbability,
		InFlight:         float64(r.localInFlight) + r.remoteInFlight,
		Work:             r.localWork + r.remoteWork,
		RecentSuccesses:  r.latencyCount,
		RecentFailures:   r.failures,
		RecentRefusals:   r.refusals,
		SentLastSecond:   r.sentLastSecond(now),
		IdleTime:         now.Sub(r.lastStart),
		Slowness:         slowness(r.latencyPercentSum, r.latencyCount),
		RelativeLatency:  (r.latencyPercentSum + typicalLatencyPercent) / (r.latencyCount + 1) / 100,
	}
}

// recordFailures records n failures.
func (r *serverRecord) recordFailures(n uint64) {
	r.model.recordFailures(n)
	r.failures += float64(n)
}

// recordResponses records n successful responses. latencyPercentSum is the sum of
// their relative latencies, in percent.
func (r *serverRecord) recordResponses(n, latencyPercentSum float64) {
	r.model.recordSuccesses(uint64(n))
	r.latencyCount += n
	r.latencyPercentSum += latencyPercentSum
}

// decay lets the statistics decay for the time since the last update.
func (r *serverRecord) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	if !r.updatedAt.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		r.model.advance(elapsed)
		r.failures *= factor
		r.refusals *= factor
		r.latencyPercentSum *= factor
		r.latencyCount *= factor
		remaining := math.Exp(-elapsed.Seconds() / remoteDecayTime.Seconds())
		r.remoteInFlight *= remaining
		r.remoteWork *= remaining
	}
	r.updatedAt = now
}

// recordRemoteWork records requests of other VMs that started, with their likely cost, 0
// if they cost the mean of the service, and requests that finished. Other VMs don't report
// which ones finished, so each takes an even part of the work with it.
func (r *serverRecord) recordRemoteWork(started, work, finished float64) {
	if work == 0 {
		work = started
	}
	running := r.remoteInFlight + started
	if running == 0 {
		return
	}
	r.remoteInFlight = max(0, running-finished)
	r.remoteWork = (r.remoteWork + min(work, maxRelativeWork*started)) * r.remoteInFlight / running
}

// recordSends counts n requests that are sent now.
func (r *serverRecord) recordSends(now time.Time, n int) {
	if r.sendEpoch.IsZero() {
		r.sendEpoch = now.Add(-time.Second)
	}
	number := r.sendBucketNumber(now)
	bucket := &r.sends[number%sendBuckets]
	if bucket.number != number {
		bucket.number, bucket.count = number, 0
	}
	bucket.count += n
	if n > 0 {
		r.lastStart = now
	}
}

// sendBucketNumber returns the number of the bucket of sends at the given time.
func (r *serverRecord) sendBucketNumber(now time.Time) int64 {
	return int64(max(now.Sub(r.sendEpoch), 0) / sendBucketLength)
}

// sentLastSecond returns the number of requests that were sent in the last second.
func (r *serverRecord) sentLastSecond(now time.Time) int {
	number, sum := r.sendBucketNumber(now), 0
	for i := range r.sends {
		if bucket := &r.sends[i]; bucket.number > number-sendBuckets && bucket.number <= number {
			sum += bucket.count
		}
	}
	return sum
}
