package work

import "time"

// Wait returns how long a request is expected to wait for a slot at a server with so many
// slots, whose requests are likely to cost work times mean.
func Wait(work float64, slots int, mean time.Duration) time.Duration {
	ahead := work - float64(slots) + 1 // the requests that end before the next one starts
	return time.Duration(max(0, ahead) / float64(max(slots, 1)) * float64(mean))
}

// decayedInFlight is the part of a request in flight below which it does not occupy a slot.
// Requests of other VMs whose end was not reported decay, but never to 0.
const decayedInFlight = 0.1

// StartsAtOnce reports whether a request finds a free slot at a server with so many
// requests in flight, as far as the VM knows.
func StartsAtOnce(inFlight float64, slots int) bool {
	return inFlight <= float64(slots-1)+decayedInFlight
}

// SlownessRatio returns the latency of a response divided by the one that was expected
// when its request was sent. While the cost is not known, that is the typical latency of
// the request's route, and the ratio is 1 if that is 0 (not known) too.
func SlownessRatio(latency time.Duration, e Estimate, wait, ofRoute time.Duration) float64 {
	switch {
	case e.Known():
		return float64(latency) / float64(max(e.Typical+wait, minLatency))
	case ofRoute > 0:
		return float64(latency) / float64(ofRoute)
	default:
		return 1
	}
}
