package outlier

import (
	"time"
)

// comparison holds the servers of one service that one decision compares with
// each other. It computes each time window's summary once for all servers,
// because a service may have dozens of servers.
type comparison struct {
	now      time.Time
	ablation Ablation
	// trusted are the servers that are neither ejected nor probing.
	trusted []*subject
	// reporting are all servers with a fresh report, including ejected and
	// probing ones.
	reporting []*subject
	summaries map[time.Duration]*windowSummary
}

// windowSummary holds the outcomes and latencies of all trusted servers over one
// time window.
type windowSummary struct {
	window    time.Duration
	tallies   map[*subject]tally
	latencies map[*subject]histogram
	// lowestMedian is the median latency of the fastest server, in microseconds.
	// A server can only be an outlier if it is slow compared with this one.
	lowestMedian float64
}

func newComparison(now time.Time, reporting []*subject, ablation Ablation) *comparison {
	var trusted []*subject
	for _, s := range reporting {
		if s.trusted() {
			trusted = append(trusted, s)
		}
	}
	return &comparison{now: now, ablation: ablation, trusted: trusted, reporting: reporting, summaries: make(map[time.Duration]*windowSummary)}
}

// summary returns the summary of a time window. It is computed at the first call
// and reused by later calls.
func (c *comparison) summary(window time.Duration) *windowSummary {
	if summary := c.summaries[window]; summary != nil {
		return summary
	}
	summary := &windowSummary{
		window:    window,
		tallies:   make(map[*subject]tally, len(c.trusted)),
		latencies: make(map[*subject]histogram, len(c.trusted)),
	}
	for _, s := range c.trusted {
		summary.tallies[s], summary.latencies[s] = s.evidence.inWindow(c.now, window)
		if m := summary.latencies[s].median(); m > 0 && (summary.lowestMedian == 0 || m < summary.lowestMedian) {
			summary.lowestMedian = m
		}
	}
	c.summaries[window] = summary
	return summary
}

// slowShare returns the median over the given servers of the share of requests
// that took longer than a threshold in microseconds. The median stays low while
// fewer than half of the servers are slow.
func (w *windowSummary) slowShare(servers []*subject, thresholdMicros float64) float64 {
	var shares []float64
	for _, s := range servers {
		if l := w.latencies[s]; len(l) > 0 {
			shares = append(shares, float64(l.countAbove(thresholdMicros))/float64(l.count()))
		}
	}
	return upperMedian(shares)
}
