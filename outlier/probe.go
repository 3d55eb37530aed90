package outlier

import (
	"time"

	"almondstile/backend"
)

// probes holds the outcomes and latencies of a server's probe requests, which run
// one at a time after an ejection.
type probes struct {
	tally     tally
	latencies histogram
}

// Limits for probing servers. They are stricter than those for trusted servers,
// because a probing server was an outlier shortly before.
const (
	maxFailedProbes  = 1
	minProbesForSlow = 3
	// failedProbeCost is the number of successful probes that one failed probe
	// cancels out.
	failedProbeCost = 4
	// probeWindow is the window of the other servers' latencies that the probes'
	// latencies are compared with.
	probeWindow = 5 * time.Second
)

// add adds the outcomes and latencies of a report.
func (p *probes) add(r *ServerReport) {
	n := tallyOf(r.Counts)
	p.tally.trials += n.trials
	p.tally.failed += n.failed
	p.tally.truncated += n.truncated
	if p.latencies == nil {
		p.latencies = histogram{}
	}
	p.latencies.add(r.Latencies)
}

// relapsed reports whether the probes show that the server still fails or is slow.
// A typical latency of 0 microseconds means unknown and skips the latency check.
func (p *probes) relapsed(typicalMicros float64) bool {
	if p.tally.truncated > 0 || p.tally.failed > maxFailedProbes {
		return true
	}
	return typicalMicros > 0 && p.latencies.count() >= minProbesForSlow &&
		p.latencies.median() >= slowFactor*typicalMicros
}

// passed reports whether enough probes succeeded to return the server to service.
// The required number doubles with each ejection, from minProbes up to maxProbes.
func (p *probes) passed(ejectionCount int) bool {
	needed := min(minProbes<<min(max(0, ejectionCount-1), 10), maxProbes)
	good := p.tally.trials - p.tally.failed - p.tally.truncated
	return good-failedProbeCost*p.tally.failed >= float64(needed)
}

// evaluateProbes ejects probing servers that relapsed and returns those that passed
// to the normal state. Their slow start began at the owner when the ejection ended.
func (d *Detector) evaluateProbes(now time.Time, floor *floor) {
	for _, s := range d.subjects {
		if s.healthState != backend.Probing || !s.fresh(now) {
			continue
		}
		switch {
		case s.probes.relapsed(d.typicalLatency(now, s)):
			s.severity = 1
			d.ejectOrLowerWeight(now, s, floor)
		case s.probes.passed(s.ejectionCount):
			s.healthState, s.ejectionCountChangedAt = backend.Normal, now
			s.resetEvidence()
		}
	}
}

// typicalLatency returns the median latency of the other trusted servers in microseconds,
// 0 if there are too few samples.
func (d *Detector) typicalLatency(now time.Time, s *subject) float64 {
	pooled := histogram{}
	for _, o := range d.subjects {
		if o != s && o.trusted() {
			_, l := o.evidence.inWindow(now, probeWindow)
			pooled.merge(l)
		}
	}
	if pooled.count() < minLatencies || d.ablation.NoLatency {
		return 0
	}
	return pooled.median()
}
