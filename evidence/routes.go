package evidence

import (
	"math"
	"time"

	"almondstile/contract"
	"almondstile/shard"
	"almondstile/tally"
)

const (
	// routeMemory is the time constant with which latencies of a route are
	// forgotten. The work of a route changes slowly.
	routeMemory = 15 * time.Second
	// fewResponses is the number of responses below which a route's usual
	// latency is not known.
	fewResponses = 3.0
	// mostSlownessPercent bounds what one response says about its server.
	mostSlownessPercent = 1000
)

// Routes holds the usual latency of each route, over all VMs and servers.
type RouteLatencies struct {
	records shard.Map[tally.Subject, *routeRecord]
}

type routeRecord struct {
	at        time.Time
	responses float64
	millis    float64
}

// RouteSubject returns the subject under which a route is counted.
func RouteSubject(id contract.RouteID) tally.Subject {
	return tally.SubjectOf(tally.Route, string(id))
}

// Answered takes in good responses and the sum of their times.
func (r *RouteLatencies) RecordResponses(now time.Time, subject tally.Subject, n, millis uint32) {
	r.records.Do(subject, func() *routeRecord { return &routeRecord{at: now} }, func(e *routeRecord) {
		f := math.Exp(-max(now.Sub(e.at), 0).Seconds() / routeMemory.Seconds())
		e.responses = e.responses*f + float64(n)
		e.millis = e.millis*f + float64(millis)
		e.at = now
	})
}

// Usual returns the mean latency of the route, or 0 if it is not known.
func (r *RouteLatencies) TypicalLatency(subject tally.Subject) time.Duration {
	var usual time.Duration
	r.records.DoExisting(subject, func(e *routeRecord) {
		if e.responses >= fewResponses {
			usual = time.Duration(e.millis / e.responses * float64(time.Millisecond))
		}
	})
	return usual
}

// RelativeLatencyPercent returns a latency in percent of the usual one.
func RelativeLatencyPercent(latency, usual time.Duration) uint32 {
	if usual <= 0 {
		return usualSlowness
	}
	return uint32(min(100*latency/usual, mostSlownessPercent))
}
