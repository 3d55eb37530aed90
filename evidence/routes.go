package evidence

import (
	"math"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// routeDecayTime is the time constant of the exponential decay of a route's
	// latencies. The latency of a route changes slowly.
	routeDecayTime = 15 * time.Second
	// minResponses is the decayed number of responses below which a route's typical
	// latency counts as not known.
	minResponses = 3.0
	// reportedResponses is the decayed number of responses from which on a VM reports
	// only a part of them.
	reportedResponses = 100.0
	// maxRelativeLatencyPercent bounds the effect of one response on the statistics
	// of its server.
	maxRelativeLatencyPercent = 1000
)

// RouteLatencies holds the typical latency of each route, over all VMs and servers.
// The zero value is ready to use. It is safe for concurrent use.
type RouteLatencies struct {
	records shard.Map[tally.Subject, *routeRecord]
}

// routeRecord holds the decayed number of a route's successful responses and the
// decayed sum of their latencies, at the time updatedAt.
type routeRecord struct {
	updatedAt     time.Time
	responses     float64
	latencyMillis float64
}

// RouteSubject returns the subject of a route's counters.
func RouteSubject(id contract.RouteID) tally.Subject {
	return tally.SubjectOf(tally.Route, string(id))
}

// RecordResponses adds n successful responses whose latencies sum up to millis
// milliseconds.
func (r *RouteLatencies) RecordResponses(now time.Time, subject tally.Subject, n, millis uint64) {
	r.records.Do(subject, func() *routeRecord { return &routeRecord{updatedAt: now} }, func(e *routeRecord) {
		decay := math.Exp(-max(now.Sub(e.updatedAt), 0).Seconds() / routeDecayTime.Seconds())
		e.responses = e.responses*decay + float64(n)
		e.latencyMillis = e.latencyMillis*decay + float64(millis)
		e.updatedAt = now
	})
}

// ReportProbability returns the probability (0 to 1) with which a VM reports a response
// of the route to the other VMs. A mean needs a bounded number of responses only, however
// many the fleet handles.
func (r *RouteLatencies) ReportProbability(subject tally.Subject) float64 {
	probability := 1.0
	r.records.DoExisting(subject, func(e *routeRecord) { probability = min(1, reportedResponses/max(e.responses, 1)) })
	return probability
}

// Sweep deletes the records of routes without responses for retention.
func (r *RouteLatencies) Sweep(now time.Time) {
	r.records.Range(func(_ tally.Subject, e *routeRecord) bool { return now.Sub(e.updatedAt) < retention })
}

// TypicalLatency returns the mean latency of the route's recent responses, or 0 if
// it is not known.
func (r *RouteLatencies) TypicalLatency(subject tally.Subject) time.Duration {
	var typical time.Duration
	r.records.DoExisting(subject, func(e *routeRecord) {
		if e.responses >= minResponses {
			typical = time.Duration(e.latencyMillis / e.responses * float64(time.Millisecond))
		}
	})
	return typical
}

// RelativeLatencyPercent returns a latency in percent of the typical one, at most
// maxRelativeLatencyPercent. It returns 100 if the typical latency is 0 (not known).
func RelativeLatencyPercent(latency, typical time.Duration) uint64 {
	if typical <= 0 {
		return typicalLatencyPercent
	}
	return uint64(min(100*latency/typical, maxRelativeLatencyPercent))
}
