package work

import (
	"math"
	"time"

	"almondstile/shard"
	"almondstile/tally"
)

const (
	// decayTime is the time constant of the exponential decay of samples. The cost of a
	// kind of requests changes slowly.
	decayTime = 30 * time.Second
	// minServiceSamples is the decayed number of samples of a service below which its
	// costs count as not known.
	minServiceSamples = 5.0
	// priorSamples is the number of samples with the mean of the service that are added
	// to those of a kind, so that a few extreme ones don't mislead.
	priorSamples = 5.0
	// reportedSamples is the decayed number of samples from which on a VM reports only a
	// part of them to the others.
	reportedSamples = 60.0
	// unevenFactor is the factor from which on the cost of a kind differs from the mean of
	// its service so much that the requests of the service don't cost alike.
	unevenFactor = 1.3
	// unevenPeriod is the time for which a service counts as uneven after a request of
	// such a kind.
	unevenPeriod = time.Minute
	// maxRelativeCost bounds the cost of a kind, in multiples of the mean of its service.
	maxRelativeCost = 10.0
	// retention is the time for which samples are kept without new ones. It is a multiple
	// of decayTime.
	retention = 5 * time.Minute
	// minLatency and maxLatency bound the effect of one sample.
	minLatency = time.Millisecond
	maxLatency = 10 * time.Minute
)

// minMillis, maxMillis and maxLogMillis bound the samples of other VMs like minLatency and
// maxLatency.
var (
	minMillis    = minLatency.Seconds() * 1000
	maxMillis    = maxLatency.Seconds() * 1000
	maxLogMillis = math.Log(maxMillis)
)

// Estimate is what a request is likely to cost its server.
type Estimate struct {
	// Mean is the mean time for which a request of the kind occupies a slot, and
	// ServiceMean that of all requests of the service. They are 0 if not known.
	Mean, ServiceMean time.Duration
	// Typical is the geometric mean for the kind: of a few long requests it shows less.
	Typical time.Duration
	// Relative is Mean in multiples of ServiceMean; it is 1 while the requests of the
	// service cost alike, and if their costs are not known.
	Relative float64
	// TurnedUneven is true for the first estimate that shows that the requests of the
	// service don't cost alike.
	TurnedUneven bool
}

const (
	// minUrgency and maxUrgency bound Urgency.
	minUrgency = 0.6
	maxUrgency = 2.0
)

// Urgency returns how much a wait for a slot matters to the request, 1 for a request that
// costs the mean of its service. Callers expect short requests sooner.
func (e Estimate) Urgency() float64 { return max(minUrgency, min(1/e.Relative, maxUrgency)) }

// Known reports whether the costs of the service are known.
func (e Estimate) Known() bool { return e.ServiceMean > 0 }

// Costs holds the likely costs of kinds of requests and of services, learned from the
// responses that any VM got. The zero value is ready to use. It is safe for concurrent
// use.
type Costs struct {
	records shard.Map[tally.Subject, *record]
}

// record holds the decayed number of the samples of a kind or service and the decayed
// sums of their latencies and of the logarithms of these, at the time updatedAt.
type record struct {
	updatedAt time.Time
	samples   float64
	millis    float64
	logMillis float64
	// unevenUntil is the time until which the requests of a service count as uneven.
	unevenUntil time.Time
}

// Sample returns the counts of a response that took the latency without waiting for a
// slot.
func Sample(latency time.Duration) tally.Counts {
	millis := max(minLatency, min(latency, maxLatency)).Seconds() * 1000
	return tally.Counts{tally.CostSamples: 1, tally.CostMillis: uint64(millis), tally.CostLogCentis: uint64(100 * math.Log(millis))}
}

// Record adds samples of any VM.
func (c *Costs) Record(now time.Time, subject tally.Subject, counts tally.Counts) {
	if counts[tally.CostSamples] == 0 {
		return
	}
	c.records.Do(subject, func() *record { return &record{updatedAt: now} }, func(r *record) {
		remaining := math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds() / decayTime.Seconds())
		n := float64(counts[tally.CostSamples])
		r.samples = r.samples*remaining + n
		r.millis = r.millis*remaining + max(n*minMillis, min(float64(counts[tally.CostMillis]), n*maxMillis))
		r.logMillis = r.logMillis*remaining + min(float64(counts[tally.CostLogCentis])/100, n*maxLogMillis)
		r.updatedAt = now
	})
}

// ReportProbability returns the probability (0 to 1) with which a VM reports a sample to
// the others. The estimates need few samples: those of all VMs grow with the square root of
// the requests that the fleet handles.
func (c *Costs) ReportProbability(subject tally.Subject) float64 {
	probability := 1.0
	c.records.DoExisting(subject, func(r *record) { probability = min(1, reportedSamples/max(r.samples, 1)) })
	return probability
}

// Estimate returns what a request of the kind is likely to cost. A kind without samples
// is expected to cost the mean of its service.
func (c *Costs) Estimate(now time.Time, kind Kind) Estimate {
	var service, own record
	serviceSubject := ServiceSubject(kind.Service)
	c.records.DoExisting(serviceSubject, func(r *record) { service = *r })
	if service.samples < minServiceSamples {
		return Estimate{Relative: 1}
	}
	c.records.DoExisting(kind.Subject(), func(r *record) { own = *r })
	mean, logMean := service.millis/service.samples, service.logMillis/service.samples
	samples := own.samples + priorSamples
	kindMean := (own.millis + priorSamples*mean) / samples
	e := Estimate{
		Mean: fromMillis(kindMean), ServiceMean: fromMillis(mean),
		Typical:  fromMillis(math.Exp((own.logMillis + priorSamples*logMean) / samples)),
		Relative: min(kindMean/mean, maxRelativeCost),
	}
	if e.Relative > unevenFactor || e.Relative < 1/unevenFactor {
		c.records.DoExisting(serviceSubject, func(r *record) {
			e.TurnedUneven = !now.Before(r.unevenUntil)
			r.unevenUntil = now.Add(unevenPeriod)
		})
	} else if !now.Before(service.unevenUntil) {
		e.Relative = 1
	}
	return e
}

// Sweep deletes what was not updated for retention.
func (c *Costs) Sweep(now time.Time) {
	c.records.Range(func(_ tally.Subject, r *record) bool { return now.Sub(r.updatedAt) < retention })
}

func fromMillis(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}
