package evidence

import (
	"math"
	"time"

	"almondstile/shard"
	"almondstile/tally"
)

const (
	// servedDecayTime is the time constant of the exponential decay of the requests of a
	// service. It bounds how long a burst of rejections goes unnoticed.
	servedDecayTime = 1 * time.Second
	// assumedSent is the number of sent requests that are added to the recent ones, so that a
	// few rejections by a rarely used service are no large share.
	assumedSent = 5.0
	// serviceRetention is the time for which the record of a service is kept without requests.
	serviceRetention = 5 * time.Minute
)

// ServiceStats holds how many of the recent requests of each service were not served, over all
// VMs. The zero value is ready to use. It is safe for concurrent use.
type ServiceStats struct {
	records shard.Map[tally.Subject, *serviceRecord]
}

// ServiceRequests are numbers of requests of a service.
type ServiceRequests struct {
	// Sent is the number of requests that were sent to a server, and Failed the number of
	// those that got no good response in the end.
	Sent, Failed uint64
	// TurnedAway is the number of requests that the VMs turned away before they sent them,
	// for any reason, also because a team is over its rate.
	TurnedAway uint64
}

// serviceRecord holds the decayed numbers of a service's requests at the time updatedAt.
type serviceRecord struct {
	updatedAt                time.Time
	sent, failed, turnedAway float64
}

func newServiceRecord() *serviceRecord { return &serviceRecord{} }

// Record counts requests of a service.
func (s *ServiceStats) Record(now time.Time, service tally.Subject, n ServiceRequests) {
	if n == (ServiceRequests{}) {
		return
	}
	s.records.Do(service, newServiceRecord, func(r *serviceRecord) {
		r.decay(now)
		r.sent += float64(n.Sent)
		r.failed += float64(n.Failed)
		r.turnedAway += float64(n.TurnedAway)
	})
}

// UnservedShare returns the share (0 to 1) of a service's recent requests that were not served,
// and the share of those that the VMs turned away.
func (s *ServiceStats) UnservedShare(now time.Time, service tally.Subject) (unserved, turnedAway float64) {
	s.records.DoExisting(service, func(r *serviceRecord) {
		r.decay(now)
		all := r.sent + r.turnedAway + assumedSent
		unserved, turnedAway = min((r.failed+r.turnedAway)/all, 1), r.turnedAway/all
	})
	return unserved, turnedAway
}

// Sweep deletes the records of services without requests for serviceRetention.
func (s *ServiceStats) Sweep(now time.Time) {
	s.records.Range(func(_ tally.Subject, r *serviceRecord) bool {
		return now.Sub(r.updatedAt) < serviceRetention
	})
}

// decay lets the numbers decay for the time since the last update.
func (r *serviceRecord) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / servedDecayTime.Seconds())
	r.sent *= factor
	r.failed *= factor
	r.turnedAway *= factor
	r.updatedAt = now
}
