package evidence

import "math"

// The latencies of requests that look alike differ by large factors, and a few of them
// take several times the mean. The mean of a few latencies therefore says little about
// their server, and that of their logarithms much more.
const (
	// evenSlownessPercent is the slowness, as encoded by SlownessPercent, of a response
	// with the expected latency.
	evenSlownessPercent = 100
	// maxLogSlowness bounds the effect of one response.
	maxLogSlowness = 2.5
	// slownessPriorResponses is the number of responses with the expected latency that
	// are added to the recorded ones.
	slownessPriorResponses = 1.0
)

// SlownessPercent encodes the ratio of a latency to the expected one for the counters:
// 100 times one more than its natural logarithm, from 0 on.
func SlownessPercent(ratio float64) uint64 {
	if !(ratio > 0) {
		return 0
	}
	return uint64(evenSlownessPercent * (1 + max(-1, min(math.Log(ratio), maxLogSlowness))))
}

// slowness returns the typical ratio of the latencies of responses to the expected ones.
// sum and responses are the decayed sum of their SlownessPercent and their number.
func slowness(sum, responses float64) float64 {
	logSum := sum/evenSlownessPercent - responses
	return math.Exp(min(logSum/(responses+slownessPriorResponses), maxLogSlowness))
}
