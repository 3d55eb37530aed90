package evidence

import (
	"math"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// decayTime is the time constant of the exponential decay of latencies and
	// refusals.
	decayTime = 3 * time.Second
	// remoteDecayTime is the time constant of the exponential decay of other VMs'
	// requests in flight. A VM that stops does not report the end of its requests.
	remoteDecayTime = 3 * time.Second
	// sendBuckets is the number of parts of the last second in which sends are
	// counted.
	sendBuckets      = 10
	sendBucketLength = time.Second / sendBuckets
	// typicalLatencyPercent is the relative latency of a typical response, in percent.
	// One such response is added to the recorded ones when the mean is taken.
	typicalLatencyPercent = 100.0
	// retention is the time for which the record of a server is kept without results. It
	// is a multiple of all time constants.
	retention = 5 * time.Minute
	// maxRelativeWork bounds the likely cost of one request of another VM, in multiples of
	// the mean cost of a request of the service.
	maxRelativeWork = 20.0
	// unknownIdleTime is the idle time of a server without a record.
	unknownIdleTime = time.Minute
)

// Result is the result of one attempt, as far as it concerns the server.
type Result int

// Results of an attempt.
const (
	// Success is a complete response without a server error.
	Success Result = iota
	// Failure is a failure that is attributed to the server.
	Failure
	// Refused is a request that the server did not execute because all of its slots
	// were in use.
	Refused
	// Neutral is a result that shows nothing about the server, of an attempt whose end other
	// VMs know of already.
	Neutral
	// Canceled is the end of an attempt that this VM canceled. It shows nothing about the
	// server but that the request is not in flight there any more.
	Canceled
)

// State holds the statistics of a server at one time, over all VMs.
type State struct {
	// FailureRate is the expected share of requests that fail, from 0 to 1.
	FailureRate float64
	// FaultProbability is the probability that the server is in a faulty phase, from
	// 0 to 1.
	FaultProbability float64
	// InFlight is the estimated number of requests in flight at the server.
	InFlight float64
	// Work is what the requests in flight are likely to cost, in multiples of the mean
	// cost of a request of the service. It equals InFlight while all requests cost alike.
	Work float64
	// RecentSuccesses, RecentFailures and RecentRefusals count recent results. They
	// decay with decayTime.
	RecentSuccesses, RecentFailures, RecentRefusals float64
	// RelativeLatency is the mean latency of recent responses, divided by the typical
	// latency of their routes; 1 if there were none.
	RelativeLatency float64
	// Slowness is the typical latency of recent responses, divided by the one expected of
	// them; 1 if there were none. It is meaningful if RecordResult gets values of
	// SlownessPercent.
	Slowness float64
	// SentLastSecond is the number of requests sent in the last second.
	SentLastSecond int
	// IdleTime is the time since the last known request to the server.
	IdleTime time.Duration
}

// ServerStats holds the statistics of each server. The zero value is ready to use.
// It is safe for concurrent use.
type ServerStats struct {
	records shard.Map[tally.Subject, *serverRecord]
}

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
	// sendEpoch is the time from which the parts of sends are numbered: one second before
	// the first send. A step of the time of day moves no part.
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

// ServerSubject returns the subject of a server's counters.
func ServerSubject(id contract.ServerID) tally.Subject {
	return tally.SubjectOf(tally.Server, string(id))
}

// RecordStart counts a request that this VM sends to the server. work is its likely
// cost, in multiples of the mean cost of a request of the service.
func (s *ServerStats) RecordStart(now time.Time, subject tally.Subject, work float64) {
	s.records.Do(subject, newServerRecord, func(r *serverRecord) {
		r.localInFlight++
		r.localWork += work
		r.recordSends(now, 1)
	})
}

// SetIncarnation tells to which incarnation of the server this VM has just sent, by its
// start. The speed of an earlier one says nothing about it.
func (s *ServerStats) SetIncarnation(subject tally.Subject, startedAt int64) {
	s.records.DoExisting(subject, func(r *serverRecord) {
		if r.startedAt != 0 && r.startedAt != startedAt {
			r.latencyPercentSum, r.latencyCount = 0, 0
		}
		r.startedAt = startedAt
	})
}

// RecordResult records the result of a request of this VM. work is its likely cost as in
// RecordStart. latencyPercent is its latency in percent of the typical latency of its
// route; only that of a Success is recorded.
func (s *ServerStats) RecordResult(now time.Time, subject tally.Subject, result Result, work float64, latencyPercent uint64) {
	s.records.Do(subject, newServerRecord, func(r *serverRecord) {
		r.localInFlight--
		r.localWork = max(0, r.localWork-work)
		r.decay(now)
		switch result {
		case Success:
			r.recordResponses(1, float64(latencyPercent))
		case Failure:
			r.recordFailures(1)
		case Refused:
			r.refusals++
		}
	})
}

// RecordSuspectedFailure records a failure of a request of this VM that is still in
// flight.
func (s *ServerStats) RecordSuspectedFailure(now time.Time, subject tally.Subject) {
	s.records.Do(subject, newServerRecord, func(r *serverRecord) {
		r.decay(now)
		r.recordFailures(1)
	})
}

// RecordRemoteCounts adds the counts of another VM.
func (s *ServerStats) RecordRemoteCounts(now time.Time, subject tally.Subject, counts tally.Counts) {
	s.records.Do(subject, newServerRecord, func(r *serverRecord) {
		r.decay(now)
		r.recordFailures(counts[tally.Failed])
		r.refusals += float64(counts[tally.Refused])
		r.recordResponses(float64(counts[tally.Succeeded]), float64(counts[tally.RelativeLatencyPercent]))
		r.recordSends(now, int(counts[tally.Started]))
		finished := counts[tally.Succeeded] + counts[tally.Failed] + counts[tally.Refused] + counts[tally.Canceled]
		r.recordRemoteWork(float64(counts[tally.Started]), float64(counts[tally.WorkTenths])/10, float64(finished))
	})
}

// recordRemoteWork records requests of other VMs that started, with their likely cost, 0
// if they cost the mean of the service, and requests that finished. Other VMs don't tell
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

// State returns the statistics of a server. A server without a record has the
// statistics of a server without any results.
func (s *ServerStats) State(now time.Time, subject tally.Subject) State {
	state := State{FaultProbability: priorFaultProbability, FailureRate: faultModel{priorFaultProbability}.failureRate(), RelativeLatency: 1, Slowness: 1, IdleTime: unknownIdleTime}
	s.records.DoExisting(subject, func(r *serverRecord) {
		r.decay(now)
		state = r.state(now)
	})
	return state
}

// Sweep deletes the records of servers about which nothing was heard for retention. By
// then they differ little from those of a server without any results.
func (s *ServerStats) Sweep(now time.Time) {
	s.records.Range(func(_ tally.Subject, r *serverRecord) bool {
		return r.localInFlight > 0 || now.Sub(r.lastEvent()) < retention
	})
}

// lastEvent returns the time of the last send or result.
func (r *serverRecord) lastEvent() time.Time {
	if r.lastStart.After(r.updatedAt) {
		return r.lastStart
	}
	return r.updatedAt
}

// state returns the statistics of a record that has decayed until now.
func (r *serverRecord) state(now time.Time) State {
	s := State{
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
	return s
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

// recordSends counts n requests that are sent now.
func (r *serverRecord) recordSends(now time.Time, n int) {
	if r.sendEpoch.IsZero() {
		r.sendEpoch = now.Add(-time.Second)
	}
	number := r.sendBucket(now)
	slot := &r.sends[number%sendBuckets]
	if slot.number != number {
		slot.number, slot.count = number, 0
	}
	slot.count += n
	if n > 0 {
		r.lastStart = now
	}
}

// sendBucket returns the number of the part of sends at the given time.
func (r *serverRecord) sendBucket(now time.Time) int64 {
	return int64(max(now.Sub(r.sendEpoch), 0) / sendBucketLength)
}

// sentLastSecond returns the number of requests that were sent in the last second.
func (r *serverRecord) sentLastSecond(now time.Time) int {
	number, sum := r.sendBucket(now), 0
	for i := range r.sends {
		if slot := &r.sends[i]; slot.number > number-sendBuckets && slot.number <= number {
			sum += slot.count
		}
	}
	return sum
}

func newServerRecord() *serverRecord { return &serverRecord{model: faultModel{priorFaultProbability}} }
