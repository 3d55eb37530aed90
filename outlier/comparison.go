package outlier

import (
	"time"
)

// comparison holds the trusted servers of a service at one decision. Windows
// are summed up once for all servers, because a service may have dozens.
type comparison struct {
	now      time.Time
	ablation Ablation
	servers  []*subject
	periods  map[time.Duration]*period
}

// period is the evidence on all servers over one window.
type period struct {
	window    time.Duration
	tallies   map[*subject]tally
	latencies map[*subject]histogram
	// lowestMedian is that of the quickest server. A server that is slow
	// compared with the others is slow compared with the quickest.
	lowestMedian float64
}

func newComparison(now time.Time, servers []*subject, ablation Ablation) *comparison {
	return &comparison{now: now, ablation: ablation, servers: servers, periods: make(map[time.Duration]*period)}
}

// period sums up a window on first use.
func (c *comparison) period(window time.Duration) *period {
	if p := c.periods[window]; p != nil {
		return p
	}
	p := &period{
		window:    window,
		tallies:   make(map[*subject]tally, len(c.servers)),
		latencies: make(map[*subject]histogram, len(c.servers)),
	}
	for _, s := range c.servers {
		p.tallies[s], p.latencies[s] = s.evidence.over(c.now, window)
		if m := p.latencies[s].median(); m > 0 && (p.lowestMedian == 0 || m < p.lowestMedian) {
			p.lowestMedian = m
		}
	}
	c.periods[window] = p
	return p
}

// slowShare returns the median of some servers' shares of requests that took
// longer than a threshold. It stays low while less than half are slow.
func (p *period) slowShare(servers []*subject, thresholdMicros float64) float64 {
	var shares []float64
	for _, s := range servers {
		if l := p.latencies[s]; len(l) > 0 {
			shares = append(shares, float64(l.above(thresholdMicros))/float64(l.count()))
		}
	}
	return middle(shares)
}
