package rollout

import (
	"math"
	"time"
)

// Side tells whether a server has the version to which a service moves.
type Side int

// The sides of a roll-out.
const (
	// Old servers have any version other than the order's.
	Old Side = iota
	// Target servers have the order's version.
	Target
	sideCount
)

// Class classifies a response: failed, or successful within a range of latencies. It is
// small enough for a byte of a message.
type Class uint8

const (
	// Failed is the class of failures. All other classes are successes by latency.
	Failed Class = 0
	// classesPerOctave is the number of latency classes from one latency to its double.
	classesPerOctave = 4
	// latencyClasses covers 1 ms to 65 s. Longer latencies belong to the last class.
	latencyClasses = 16 * classesPerOctave
	classCount     = 1 + latencyClasses
)

// LatencyClass returns the class of a success with the latency.
func LatencyClass(latency time.Duration) Class {
	millis := max(latency.Seconds()*1000, 1)
	return 1 + Class(min(math.Log2(millis)*classesPerOctave, latencyClasses-1))
}

// typicalSeconds returns the latency in the middle of a class of successes, in seconds.
func (c Class) typicalSeconds() float64 {
	return math.Exp2((float64(c)-0.5)/classesPerOctave) / 1000
}

// Sample is a number of responses of one class that a server sent since the last sample,
// to this VM or another. Whether a response is sampled must not depend on its class. An
// attempt that its VM gave up counts as a failure on its route's timeout, and not at all
// if the caller left or another attempt was faster.
type Sample struct {
	// Route is an opaque key of the route.
	Route string
	// Server is an opaque key of the server's incarnation, the same as in
	// TargetServer.Key; empty if it is not known.
	Server string
	Side   Side
	Class  Class
	Count  uint64
}
