package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies above highestMicros are counted as highestMicros.
const (
	highestMicros     = 60_000_000
	significantDigits = 3
)

// Latencies summarizes the latency of calls, from the intended time to the
// whole response.
type Latencies struct{ histogram *hdrhistogram.Histogram }

// Summarize records the calls for which keep is true.
func Summarize(calls []Call, keep func(Call) bool) Latencies {
	h := hdrhistogram.New(1, highestMicros, significantDigits)
	for _, c := range calls {
		if keep(c) {
			_ = h.RecordValue(min(max(c.Latency().Microseconds(), 1), highestMicros)) // always in range
		}
	}
	return Latencies{h}
}

// Count returns the number of calls.
func (l Latencies) Count() int64 { return l.histogram.TotalCount() }

// Quantile returns the latency that the given percentage of calls do not exceed.
func (l Latencies) Quantile(percent float64) time.Duration {
	return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
}
