package backend

import (
	"time"

	"almondstile/contract"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how one exchange with a backend server ended.
type Outcome int

// Ways in which an exchange ends.
const (
	OK Outcome = iota
	// ErrorStatus is a complete response with a status that blames the server.
	ErrorStatus
	// Truncated is a response that was cut short or belongs to another request.
	Truncated
	// Lost is a request without a response.
	Lost
	// Crash is a process crash that the owner attributes to the request.
	Crash
	// Shed is a request that the server said it did not run.
	Shed
	// ConnectFailed is a refused or failed connection.
	ConnectFailed
	// Unjudged ends without evidence, for instance when the caller went away.
	Inconclusive
)

// Sample is what one exchange showed about its server.
type Sample struct {
	Outcome Outcome
	// Latency is the time from sending to the whole response.
	Latency time.Duration
	// Instance identifies the server's process; empty if the server named none.
	Instance string
}

// bad reports whether the sample is evidence against the server that the
// service home should hear of at once.
func (s Sample) bad() bool {
	switch s.Outcome {
	case ErrorStatus, Truncated, Lost, ConnectFailed:
		return true
	}
	return false
}

// Counts are the outcomes in one window.
type Counts struct {
	OK            int `json:"ok,omitempty"`
	ErrorStatus   int `json:"error,omitempty"`
	Truncated     int `json:"truncated,omitempty"`
	Lost          int `json:"lost,omitempty"`
	Crash         int `json:"crash,omitempty"`
	Shed          int `json:"shed,omitempty"`
	ConnectFailed int `json:"connect_failed,omitempty"`
}

func (c *Counts) add(o Outcome) {
	switch o {
	case OK:
		c.OK++
	case ErrorStatus:
		c.ErrorStatus++
	case Truncated:
		c.Truncated++
	case Lost:
		c.Lost++
	case Crash:
		c.Crash++
	case Shed:
		c.Shed++
	case ConnectFailed:
		c.ConnectFailed++
	}
}

// Plus returns the sum of two windows' counts.
func (c Counts) Plus(d Counts) Counts {
	return Counts{
		OK: c.OK + d.OK, ErrorStatus: c.ErrorStatus + d.ErrorStatus,
		Truncated: c.Truncated + d.Truncated, Lost: c.Lost + d.Lost,
		Crash: c.Crash + d.Crash, Shed: c.Shed + d.Shed,
		ConnectFailed: c.ConnectFailed + d.ConnectFailed,
	}
}

// LatencyCount is one bucket of a latency summary.
type LatencyCount struct {
	Micros int64 `json:"us"`
	Count  int64 `json:"n"`
}

// Latencies of a window are kept in logarithmic buckets about 6% wide, which
// is fine enough for ratios of medians and needs 3 KB per active server.
const (
	minLatencyMicros      = 1
	maxLatencyMicros      = int64(time.Minute / time.Microsecond)
	latencySignificantFig = 1
)

// window collects samples between two reports.
type window struct {
	counts    Counts
	latencies *hdrhistogram.Histogram
}

func (w *window) add(s Sample) {
	w.counts.add(s.Outcome)
	if s.Outcome != OK && s.Outcome != ErrorStatus && s.Outcome != Truncated {
		return
	}
	if w.latencies == nil {
		w.latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantFig)
	}
	micros := min(max(s.Latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// The value is within the histogram's range, so there is no error to handle.
	_ = w.latencies.RecordValue(micros)
}

// take returns the summary and starts the next window.
func (w *window) take() (Counts, []LatencyCount) {
	counts := w.counts
	w.counts = Counts{}
	if w.latencies == nil || w.latencies.TotalCount() == 0 {
		return counts, nil
	}
	var summary []LatencyCount
	for _, bar := range w.latencies.Distribution() {
		if bar.Count > 0 {
			summary = append(summary, LatencyCount{Micros: bar.To, Count: bar.Count})
		}
	}
	w.latencies.Reset()
	return counts, summary
}

// giveBack adds a summary that could not be delivered to the current window.
func (w *window) giveBack(counts Counts, summary []LatencyCount) {
	w.counts = w.counts.Plus(counts)
	for _, b := range summary {
		if w.latencies == nil {
			w.latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantFig)
		}
		_ = w.latencies.RecordValues(min(b.Micros, maxLatencyMicros), b.Count)
	}
}

// Status is the state of one owned server with its window since the last one.
type Status struct {
	Server           contract.ServerID
	Service          contract.ServiceID
	Counts           Counts
	Latencies        []LatencyCount
	InFlight         int
	Queued           int
	ConcurrencyLimit int
	// Warm says that the ramp is complete.
	Warm bool
	// Drain says whether the server takes new work.
	DrainState  DrainState
	HealthState HealthState
	// HealthStateValidFor is the time that the standing is still granted for.
	HealthStateValidFor time.Duration
}

// Load is the share of the allowed slots that is taken or waited for.
func (s *Status) Load() float64 {
	return float64(s.InFlight+s.Queued) / float64(max(1, s.ConcurrencyLimit))
}
