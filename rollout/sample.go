package rollout

import (
	"math"
	"time"
)

// Side reports whether a server has the version to which a service moves.
type Side int

// The sides of a roll-out.
const (
	// Old servers have any version other than the order's.
	Old Side = iota
	// Target servers have the order's version.
	Target
	sideCount
)

// Class classifies a response by its latency and whether it failed. It is below 128, so
// that it fits into a byte of a message beside a Side.
type Class uint8

const (
	// classesPerOctave is the number of latency classes from one latency to its double.
	classesPerOctave = 4
	// latencyClasses covers 1 ms to 65 s. Longer latencies belong to the last class.
	latencyClasses = 16 * classesPerOctave
)

// SuccessClass returns the class of a success with the latency.
func SuccessClass(latency time.Duration) Class {
	millis := max(latency.Seconds()*1000, 1)
	return Class(min(math.Log2(millis)*classesPerOctave, latencyClasses-1))
}

// FailureClass returns the class of a failure with the latency.
func FailureClass(latency time.Duration) Class { return latencyClasses + SuccessClass(latency) }

// failed reports whether the class is one of failures.
func (c Class) failed() bool { return c >= latencyClasses }

// latencyClass returns the number of the class of latency, from 0 on.
func (c Class) latencyClass() int { return int(c % latencyClasses) }

// maxLatency returns the longest latency of the class.
func (c Class) maxLatency() time.Duration {
	millis := math.Exp2(float64(c.latencyClass()+1) / classesPerOctave)
	return time.Duration(millis * float64(time.Millisecond))
}

// latency returns the latency in the middle of the class.
func (c Class) latency() time.Duration {
	millis := math.Exp2((float64(c.latencyClass()) + 0.5) / classesPerOctave)
	return time.Duration(millis * float64(time.Millisecond))
}

// Sample is a number of responses of one class that a server sent since the last sample,
// to this VM or another. Whether a response is sampled is drawn when its request is sent,
// with Decision.SampleShares, so that it does not depend on the response.
//
// An attempt that its VM gave up counts as a failure on its route's timeout, and as a
// success of the latency so far if another attempt was faster: its response would have
// been slower. It does not count if the caller left.
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
