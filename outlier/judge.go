package outlier

import (
	"time"
)

// Thresholds of the comparisons. Each significance level bounds false
// ejections: a service with 6 servers is judged some 10^4 times in 20 minutes.
const (
	// errorFloor is the share of errors that is always tolerated, twice the
	// share of a healthy server.
	errorFloor        = 0.01
	errorSignificance = 2e-5
	// minErrors keeps a few errors at little traffic from deciding.
	minErrors = 4
	// othersFactor is how much worse than the others a server must be.
	othersFactor = 3.0

	// Healthy servers practically never cut a response short. One truncated
	// response in a hundred requests is therefore enough; waiting for a second
	// would miss the 5 s bound of a 10% truncation at 10 requests/s in 4% of
	// the cases.
	truncationFloor        = 1e-4
	truncationSignificance = 0.01

	// slowFactor is the ratio to the others' median that counts as slow.
	slowFactor = 3.0
	// slowFloor is the share of slow requests that is always tolerated: the
	// tail of a log-normal latency.
	slowFloor        = 0.05
	slowOthersFactor = 1.5
	slowSignificance = 1e-5
	// minLatencies and minOthers are enough samples for a median.
	minLatencies = 5
	minOthers    = 5

	truncationWindow = 5 * time.Second
)

// Short windows find a new fault quickly, long ones a small or rare one.
var (
	errorWindows = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second}
	slowWindows  = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second}
)

// Ablation switches off parts of the detection, to measure what each is worth.
type Ablation struct {
	// NoLatency skips the latency comparison.
	NoLatency bool
	// TruncationAsError counts truncated responses as errors.
	TruncationAsError bool
	// NoAlignment compares latencies with reports that are older.
	NoAlignment bool
	// FixedTolerance does not raise the tolerance by the others' shares.
	FixedTolerance bool
}

// suspicion returns how bad a server is compared with the others, 0 if it is
// not an outlier. The value orders outliers by the harm that they do: the share
// of bad responses plus the share of the time that is wasted.
func (c *comparison) suspicion(s *subject) float64 {
	severity := 0.0
	if !c.ablation.TruncationAsError {
		severity += c.truncation(s)
	}
	for _, window := range errorWindows {
		if harm := c.errors(s, c.period(window)); harm > 0 {
			severity += harm
			break
		}
	}
	return severity + c.latency(s)
}

// latency returns the severity of slow responses. The comparison waits until
// most of the others have reported since the server did: reports arrive up to an
// interval apart, and without the wait the first server to show the start or the
// end of a slow period of the whole service looked like an outlier (15 false
// ejections in 300 simulated minutes). Until then the last result stands.
func (c *comparison) latency(s *subject) float64 {
	// A cold server may be slow because it is cold; the ramp deals with that.
	if c.ablation.NoLatency || !s.report.Warm {
		return 0
	}
	others := c.reportedSince(s)
	if 2*len(others) <= len(c.servers)-1 {
		return s.slowness
	}
	s.slowness, s.compared = 0, true
	for _, window := range slowWindows {
		if s.slowness = c.slowness(s, others, c.period(window)); s.slowness > 0 {
			break
		}
	}
	return s.slowness
}

// reportedSince returns the other servers whose reports cover the time up to the
// server's last one.
func (c *comparison) reportedSince(s *subject) []*subject {
	var others []*subject
	for _, o := range c.servers {
		if o != s && (c.ablation.NoAlignment || !o.reported.Before(s.reported)) {
			others = append(others, o)
		}
	}
	return others
}

func (c *comparison) truncation(s *subject) float64 {
	own := c.period(truncationWindow).tallies[s]
	if own.truncated == 0 {
		return 0
	}
	var rest tally
	for _, o := range c.servers {
		if o != s {
			rest.trials += o.evidence.longRun.trials
			rest.truncated += o.evidence.longRun.truncated
		}
	}
	if rest.trials < minOthers {
		return 0
	}
	tolerated := max(truncationFloor, othersFactor*rest.truncated/rest.trials)
	if binomialTail(int(own.trials), int(own.truncated), tolerated) >= truncationSignificance {
		return 0
	}
	return own.truncated / own.trials
}

func (c *comparison) errors(s *subject, p *period) float64 {
	own := p.tallies[s]
	if c.failed(own) < minErrors {
		return 0
	}
	var shares []float64
	for _, o := range c.servers {
		if t := p.tallies[o]; o != s && t.trials > 0 {
			shares = append(shares, c.failed(t)/t.trials)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	tolerated := errorFloor
	if !c.ablation.FixedTolerance {
		// The median of the others' shares stays low while less than half of
		// them are outliers too.
		tolerated = max(tolerated, othersFactor*middle(shares))
	}
	if binomialTail(int(own.trials), int(c.failed(own)), tolerated) >= errorSignificance {
		return 0
	}
	return c.failed(own) / own.trials
}

func (c *comparison) failed(t tally) float64 {
	if c.ablation.TruncationAsError {
		return t.failed + t.truncated
	}
	return t.failed
}

func (c *comparison) slowness(s *subject, others []*subject, p *period) float64 {
	own := p.latencies[s]
	if own.count() < minLatencies || own.median() < slowFactor*p.lowestMedian {
		return 0
	}
	rest := histogram{}
	for _, o := range others {
		rest.merge(p.latencies[o])
	}
	typical, median := rest.median(), own.median()
	if rest.count() < minOthers || median < slowFactor*typical {
		return 0
	}
	tolerated := slowFloor
	if !c.ablation.FixedTolerance {
		// At the end of a slow period of the whole service the others' reports
		// show the recovery first, so their shares over a window that starts an
		// interval earlier count as well.
		earlier := c.period(p.window + ReportInterval)
		tolerated = max(tolerated,
			slowOthersFactor*p.slowShare(others, slowFactor*typical),
			slowOthersFactor*earlier.slowShare(others, slowFactor*typical))
	}
	if binomialTail(int(own.count()), int(own.above(slowFactor*typical)), tolerated) >= slowSignificance {
		return 0
	}
	return 1 - typical/median
}
