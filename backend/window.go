package backend

import (
	"time"

	"almondstile/contract"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome classifies how one exchange with a backend server ended.
type Outcome int

// The outcomes of an exchange.
const (
	// OK is a complete response without a server error.
	OK Outcome = iota
	// ErrorStatus is a complete response with the status of a server error.
	ErrorStatus
	// Truncated is a response that is incomplete or belongs to another request.
	Truncated
	// Lost is a request without a response.
	Lost
	// Crash is a crash of the server's process while it ran the request.
	Crash
	// Shed is a request that the server rejected without executing it.
	Shed
	// ConnectFailed is a refused or failed connection.
	ConnectFailed
	// Inconclusive says nothing about the server, for instance because the caller
	// canceled the request.
	Inconclusive
)

// Sample is the result of one exchange as evidence about the server's health.
type Sample struct {
	Outcome Outcome
	// Latency is the time from the start of the exchange to its end.
	Latency time.Duration
	// Instance identifies the server's process. It is empty if the response did not
	// identify it.
	Instance string
}

// isFault reports whether the sample shows a fault of the server that must be
// reported to the service home at once.
func (s Sample) isFault() bool {
	switch s.Outcome {
	case ErrorStatus, Truncated, Lost, ConnectFailed:
		return true
	}
	return false
}

// Counts holds the number of exchanges with each outcome in one window.
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

// Plus returns the sum of c and d.
func (c Counts) Plus(d Counts) Counts {
	return Counts{
		OK: c.OK + d.OK, ErrorStatus: c.ErrorStatus + d.ErrorStatus,
		Truncated: c.Truncated + d.Truncated, Lost: c.Lost + d.Lost,
		Crash: c.Crash + d.Crash, Shed: c.Shed + d.Shed,
		ConnectFailed: c.ConnectFailed + d.ConnectFailed,
	}
}

// LatencyCount is one bucket of a latency histogram.
type LatencyCount struct {
	// Micros is the highest latency of the bucket in microseconds.
	Micros int64 `json:"us"`
	// Count is the number of exchanges in the bucket.
	Count int64 `json:"n"`
}

// The latencies of a window are counted in logarithmic buckets about 6% wide. That
// is accurate enough to compare medians and needs 3 KB per active server.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 1
)

// window accumulates the samples between two reports to the service home.
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
		w.latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	}
	micros := min(max(s.Latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	// The value is within the histogram's range, so there is no error to handle.
	_ = w.latencies.RecordValue(micros)
}

// takeAndReset returns the counts and the latency histogram, and clears the window.
func (w *window) takeAndReset() (Counts, []LatencyCount) {
	counts := w.counts
	w.counts = Counts{}
	if w.latencies == nil || w.latencies.TotalCount() == 0 {
		return counts, nil
	}
	var buckets []LatencyCount
	for _, bucket := range w.latencies.Distribution() {
		if bucket.Count > 0 {
			buckets = append(buckets, LatencyCount{Micros: bucket.To, Count: bucket.Count})
		}
	}
	w.latencies.Reset()
	return counts, buckets
}

// restore adds the content of an earlier window that could not be delivered to this
// window.
func (w *window) restore(counts Counts, buckets []LatencyCount) {
	w.counts = w.counts.Plus(counts)
	for _, b := range buckets {
		if w.latencies == nil {
			w.latencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
		}
		_ = w.latencies.RecordValues(min(b.Micros, maxLatencyMicros), b.Count)
	}
}

// Status is the state of one server. Counts and Latencies hold its window, which
// only CollectAndReset fills in.
type Status struct {
	Server           contract.ServerID
	Service          contract.ServiceID
	Counts           Counts
	Latencies        []LatencyCount
	InFlight         int
	Queued           int
	ConcurrencyLimit int
	// Warm means that slow start is complete.
	Warm bool
	// DrainState reports whether the server accepts new requests.
	DrainState  DrainState
	HealthState HealthState
	// HealthStateValidFor is the time for which HealthState is still granted, 0 for
	// Normal.
	HealthStateValidFor time.Duration
}

// Load returns the requests in flight and queued, divided by the concurrency limit.
func (s *Status) Load() float64 {
	return float64(s.InFlight+s.Queued) / float64(max(1, s.ConcurrencyLimit))
}
