package work

import "time"

// Wait returns how long a request is expected to wait for a slot at a server with so many
// slots, whose requests are likely to cost work times mean.
func Wait(work float64, slots int, mean time.Duration) time.Duration {
	ahead := work - float64(slots) + 1 // the requests that end before the next one starts
	return time.Duration(max(0, ahead) / float64(max(slots, 1)) * float64(mean))
}

// StartsAtOnce reports whether a request finds a free slot at a server with so many
// requests in flight, as far as the VM knows.
func StartsAtOnce(inFlight float64, slots int) bool { return inFlight <= float64(slots-1) }

// SlownessRatio returns the latency of a response divided by the one that was expected
// when its request was sent, and 1 if the cost is not known.
func SlownessRatio(latency time.Duration, e Estimate, wait time.Duration) float64 {
	if !e.Known() {
		return 1
	}
	return float64(latency) / float64(max(e.Typical+wait, minLatency))
}
