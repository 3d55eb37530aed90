package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the upper end of the histogram in µs (60 s). Longer latencies
// are recorded as this value.
const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Latencies is a histogram of call latencies, each measured from the intended time
// to the end of the call.
type Latencies struct{ histogram *hdrhistogram.Histogram }

// Summarize returns the latencies of the calls for which keep returns true.
func Summarize(calls []Call, keep func(Call) bool) Latencies {
	h := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for _, c := range calls {
		if keep(c) {
			_ = h.RecordValue(min(max(c.Latency().Microseconds(), 1), maxLatencyMicros)) // always in range
		}
	}
	return Latencies{h}
}

// Count returns the number of recorded calls.
func (l Latencies) Count() int64 { return l.histogram.TotalCount() }

// Quantile returns the latency that the given percentage (0 to 100) of the calls do
// not exceed.
func (l Latencies) Quantile(percent float64) time.Duration {
	return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
}
