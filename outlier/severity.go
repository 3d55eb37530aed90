package outlier

import (
	"time"
)

// Thresholds of the comparisons. Each significance level limits false ejections: a
// service with 6 servers is compared about 10^4 times in 20 minutes.
const (
	// toleratedErrorShare is the share of errors that is always tolerated. It is
	// twice the share of a healthy server.
	toleratedErrorShare = 0.01
	errorSignificance   = 2e-5
	// minErrors is the number of errors below which a server is no outlier. It
	// prevents decisions that rest on a few errors at a low request rate.
	minErrors = 4
	// othersShareFactor is how many times the others' share of errors or truncated
	// responses is tolerated.
	othersShareFactor = 3.0

	// Healthy servers almost never truncate a response. One truncated response in a
	// hundred requests is therefore enough. Waiting for a second one would miss the
	// 5 s bound of a 10% truncation at 10 requests/s in 4% of the cases.
	toleratedTruncationShare = 1e-4
	truncationSignificance   = 0.01

	// slowFactor is the ratio to the others' median latency from which on a request
	// or a server counts as slow.
	slowFactor = 3.0
	// toleratedSlowShare is the share of slow requests that is always tolerated. It
	// allows for the tail of a log-normal latency distribution.
	toleratedSlowShare    = 0.05
	slowOthersShareFactor = 1.5
	slowSignificance      = 1e-5
	// minLatencies and minOthersSamples are the numbers of samples that a comparison
	// requires, the latter of all other servers together.
	minLatencies     = 5
	minOthersSamples = 5

	truncationWindow = 5 * time.Second
)

// Short windows detect a new fault quickly, long windows a small or rare fault.
var (
	errorWindows = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second}
	slowWindows  = []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second}
)

// Ablation turns off parts of the detection, to measure the effect of each part.
type Ablation struct {
	// NoLatency skips the latency comparison.
	NoLatency bool
	// TruncationAsError counts truncated responses as errors and skips the
	// comparison of truncated responses.
	TruncationAsError bool
	// NoAlignment compares latencies without waiting until the others' reports
	// cover the same time.
	NoAlignment bool
	// FixedTolerance does not raise the tolerated shares by the others' shares.
	FixedTolerance bool
}

// severity returns how much worse a server is than the others, 0 if it is not an
// outlier. It is the share of bad responses plus the share of wasted time, so it
// orders outliers by the harm that they do.
func (c *comparison) severity(s *subject) float64 {
	severity := 0.0
	if !c.ablation.TruncationAsError {
		severity += c.truncationSeverity(s)
	}
	for _, window := range errorWindows {
		if errorSeverity := c.errorSeverity(s, c.summary(window)); errorSeverity > 0 {
			severity += errorSeverity
			break
		}
	}
	return severity + c.latencySeverity(s)
}

// latencySeverity returns the severity of slow responses. The comparison waits
// until most of the other servers have reported after this server did. Reports
// arrive up to an interval apart. Without the wait, the first server that reported
// the start or the end of a slow period of the whole service looked like an outlier
// (15 false ejections in 300 simulated minutes). Until then the last result is
// returned.
func (c *comparison) latencySeverity(s *subject) float64 {
	// A cold server may be slow because it is cold; the slow start handles that.
	if c.ablation.NoLatency || !s.report.Warm {
		return 0
	}
	others := c.reportedSince(s)
	if 2*len(others) <= len(c.trusted)-1 {
		return s.latencySeverity
	}
	s.latencySeverity, s.latenciesCompared = 0, true
	for _, window := range slowWindows {
		if s.latencySeverity = c.windowLatencySeverity(s, others, c.summary(window)); s.latencySeverity > 0 {
			break
		}
	}
	return s.latencySeverity
}

// reportedSince returns the other servers that reported at or after the server's
// last report.
func (c *comparison) reportedSince(s *subject) []*subject {
	var others []*subject
	for _, o := range c.trusted {
		if o != s && (c.ablation.NoAlignment || !o.reportedAt.Before(s.reportedAt)) {
			others = append(others, o)
		}
	}
	return others
}

// truncationSeverity returns the share of truncated responses if it is significantly
// above the others' share, else 0.
func (c *comparison) truncationSeverity(s *subject) float64 {
	own := c.summary(truncationWindow).tallies[s]
	if own.truncated == 0 {
		return 0
	}
	tolerated := toleratedTruncationShare
	for i := range decayHalfLives {
		var rest tally
		for _, o := range c.reporting {
			if o != s {
				rest.trials += o.evidence.decaying[i].trials
				rest.truncated += o.evidence.decaying[i].truncated
			}
		}
		if rest.trials < minOthersSamples {
			return 0
		}
		tolerated = max(tolerated, othersShareFactor*rest.truncated/rest.trials)
	}
	if binomialTail(int(own.trials), int(own.truncated), tolerated) >= truncationSignificance {
		return 0
	}
	return own.truncated / own.trials
}

// errorSeverity returns the share of errors in a window if it is significantly above the
// others' share, else 0.
func (c *comparison) errorSeverity(s *subject, summary *windowSummary) float64 {
	own := summary.tallies[s]
	if c.failed(own) < minErrors {
		return 0
	}
	share, known := c.failedShare(s, summary)
	if !known {
		return 0
	}
	tolerated := toleratedErrorShare
	if !c.ablation.FixedTolerance {
		// As with latencies, the others' reports may show the same period up to an
		// interval earlier. Their shares over a window that starts an interval
		// earlier therefore count as well.
		earlier, _ := c.failedShare(s, c.summary(summary.window+ReportInterval))
		tolerated = max(tolerated, othersShareFactor*share, othersShareFactor*earlier)
	}
	if binomialTail(int(own.trials), int(c.failed(own)), tolerated) >= errorSignificance {
		return 0
	}
	return c.failed(own) / own.trials
}

// failedShare returns the median of the other servers' shares of errors. The median
// stays low while fewer than half of them are outliers too. It returns false if no
// other server has data.
func (c *comparison) failedShare(s *subject, summary *windowSummary) (share float64, known bool) {
	var shares []float64
	for _, o := range c.trusted {
		if t := summary.tallies[o]; o != s && t.trials > 0 {
			shares = append(shares, c.failed(t)/t.trials)
		}
	}
	return upperMedian(shares), len(shares) > 0
}

// failed returns the number of responses that count as errors.
func (c *comparison) failed(t tally) float64 {
	if c.ablation.TruncationAsError {
		return t.failed + t.truncated
	}
	return t.failed
}

// windowLatencySeverity compares the latencies in one window. It returns the share of
// the median latency that exceeds the others' median, 0 if the server is not slow.
func (c *comparison) windowLatencySeverity(s *subject, others []*subject, summary *windowSummary) float64 {
	own := summary.latencies[s]
	if own.count() < minLatencies || own.median() < slowFactor*summary.lowestMedian {
		return 0
	}
	rest := histogram{}
	for _, o := range others {
		rest.merge(summary.latencies[o])
	}
	typical, median := rest.median(), own.median()
	if rest.count() < minOthersSamples || median < slowFactor*typical {
		return 0
	}
	tolerated := toleratedSlowShare
	if !c.ablation.FixedTolerance {
		// At the end of a slow period of the whole service the others' reports show
		// the recovery first. Their shares over a window that starts an interval
		// earlier therefore count as well.
		earlier := c.summary(summary.window + ReportInterval)
		tolerated = max(tolerated,
			slowOthersShareFactor*summary.slowShare(others, slowFactor*typical),
			slowOthersShareFactor*earlier.slowShare(others, slowFactor*typical))
	}
	if binomialTail(int(own.count()), int(own.countAbove(slowFactor*typical)), tolerated) >= slowSignificance {
		return 0
	}
	return 1 - typical/median
}
