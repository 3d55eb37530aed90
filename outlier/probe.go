package outlier

import (
	"time"

	"almondstile/backend"
)

// probes counts what a returning server did with one request at a time.
type probes struct {
	tally     tally
	latencies histogram
}

// Limits for probes are tighter than for trusted servers: the server was an
// outlier a moment ago.
const (
	maxFailedProbes  = 1
	minProbesForSlow = 3
	// failedProbeCost is the number of good probes that one failure takes back.
	failedProbeCost = 4
	// probeWindow is the period of the others that probes are compared with.
	probeWindow = 5 * time.Second
)

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

// relapsed reports whether the probes show that the server is still bad.
func (p *probes) relapsed(typicalMicros float64) bool {
	if p.tally.truncated > 0 || p.tally.failed > maxFailedProbes {
		return true
	}
	return typicalMicros > 0 && p.latencies.count() >= minProbesForSlow &&
		p.latencies.median() >= slowFactor*typicalMicros
}

// passed reports whether the probes are enough to trust the server again.
func (p *probes) passed(level int) bool {
	needed := min(minProbes<<min(max(0, level-1), 10), maxProbes)
	good := p.tally.trials - p.tally.failed - p.tally.truncated
	return good-failedProbeCost*p.tally.failed >= float64(needed)
}

// judgeProbes ejects probing servers again or returns them to the ramp, which
// their owner started when the ejection ended.
func (d *Detector) judgeProbes(now time.Time, floor *floor) {
	for _, s := range d.subjects {
		if s.standing != backend.Probing || !s.fresh(now) {
			continue
		}
		switch {
		case s.probes.relapsed(d.typicalLatency(now, s)):
			s.severity = 1
			d.ejectOrKeep(now, s, floor)
		case s.probes.passed(s.level):
			s.standing, s.levelSince = backend.Normal, now
			s.forgetEvidence()
		}
	}
}

func (d *Detector) typicalLatency(now time.Time, s *subject) float64 {
	pooled := histogram{}
	for _, o := range d.subjects {
		if o != s && o.trusted() {
			_, l := o.evidence.over(now, probeWindow)
			pooled.merge(l)
		}
	}
	if pooled.count() < minLatencies || d.ablation.NoLatency {
		return 0
	}
	return pooled.median()
}
