package evidence

import (
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// retention is the time for which the record of a server is kept without results. It
	// is a multiple of all time constants.
	retention = 5 * time.Minute
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

// SetIncarnation records to which incarnation of the server this VM has just sent, by its
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

// State returns the statistics of a server. A server without a record has the
// statistics of a server without any results.
func (s *ServerStats) State(now time.Time, subject tally.Subject) State {
	state := State{
		FaultProbability: priorFaultProbability, FailureRate: faultModel{priorFaultProbability}.failureRate(),
		RelativeLatency: 1, Slowness: 1, IdleTime: unknownIdleTime,
	}
	s.records.DoExisting(subject, func(r *serverRecord) {
		r.decay(now)
		state = r.state(now)
	})
	return state
}

// Sweep deletes the records of servers without a send or a result for retention. By
// then they differ little from those of a server without any results.
func (s *ServerStats) Sweep(now time.Time) {
	s.records.Range(func(_ tally.Subject, r *serverRecord) bool {
		return r.localInFlight > 0 || now.Sub(r.lastEvent()) < retention
	})
}
