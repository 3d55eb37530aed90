package rollout

import (
	"time"

	"almondstile/placement"
)

const (
	// usedShare is the part of the exposed share that is used. The rest covers chance and
	// requests that VMs send before they receive each other's counters.
	usedShare = 0.85
	// usedSlack is the part of the slack that is used, for services with few requests.
	usedSlack = 0.85
	// coveredSlack is the part of the slack that may be used by the last requests before
	// the deadline. The rest covers that more of them arrive than expected.
	coveredSlack = 0.9
	// minCoveredCompared is the number of requests with which a version is compared if the
	// bounds hold in any case. It shows versions that fail or are slow always or often.
	minCoveredCompared = 15
	// maxComparedShare is the largest share of the target while the versions are compared:
	// the old servers must get enough to compare with.
	maxComparedShare = 0.5
	// likeLoadPeriods is the number of times that the target gets requests and pauses while
	// the versions are compared, if its share is too small for like load all the time. A
	// fault that shows under load only needs a while to build up.
	likeLoadPeriods   = 2
	minLikeLoadPeriod = 3 * time.Second
	// fewRequests is the slack of a VM that knows nothing of the others.
	fewRequests = 1
	// usedRampShare is the part of a cold server's rate that is used, as in package
	// placement, and fullLoadUtilization the part of a warm server's slots.
	usedRampShare       = 0.7
	fullLoadUtilization = 0.9
	// minRequestTime is the shortest time for which a request occupies a slot.
	minRequestTime = time.Millisecond
)

// exposure counts the requests that VMs sent since an order, and holds their bound.
type exposure struct {
	bounds        Bounds
	total, target float64
	// late is true if requests were sent before this VM counted them.
	late bool
}

// left returns the number of requests that the target version may still get from this VM
// and those connected with it. Each group of VMs that is cut off has its part of the slack.
func (e *exposure) left(s Situation) float64 {
	return usedShare*e.bounds.ExposedShare*e.total + e.slack(s) - e.target
}

// slack returns the requests that the target may get beyond its share of them. If this VM
// does not know what was sent before, most of the slack may have been used.
func (e *exposure) slack(s Situation) float64 {
	if s.RemoteCountsUnknown {
		return fewRequests
	}
	used := usedSlack
	if e.late {
		used = 1 - usedSlack
	}
	return max(used*e.bounds.ExposedSlack*s.ConnectedShare, fewRequests)
}

// lastSlack returns the slack that may be used until the deadline.
func (e *exposure) lastSlack(s Situation) float64 {
	if e.late {
		return e.slack(s)
	}
	return coveredSlack * e.bounds.ExposedSlack * s.ConnectedShare
}

// comparedShare returns the mean share of the target while the versions are compared for
// the given time yet: its share of the requests, and what is left of the slack, spread over
// that time. The first part needs no knowledge of other VMs. tail is the time from the last
// moment at which all requests begin to move to the deadline.
func (e *exposure) comparedShare(s Situation, timeLeft, tail time.Duration) float64 {
	share := usedShare * e.bounds.ExposedShare
	beyond := max(e.target-share*e.total, 0)
	slack := e.slack(s) - beyond
	if e.coverable(s, timeLeft+tail, tail) {
		slack -= s.ArrivalsPerSecond * tail.Seconds()
	}
	if slack > 0 && !s.RemoteCountsUnknown && s.ArrivalsPerSecond > 0 {
		share += slack / (s.ArrivalsPerSecond * max(timeLeft.Seconds(), 1))
	}
	return min(share, maxComparedShare)
}

// coverable reports whether the bounds suffice for a comparison and for all requests of
// the tail. The bounds of a service with so few requests hold for any version. timeLeft is
// the time to the deadline.
func (e *exposure) coverable(s Situation, timeLeft, tail time.Duration) bool {
	total := e.total + s.ArrivalsPerSecond*max(timeLeft, 0).Seconds()
	bound := e.bounds.ExposedShare*total + e.lastSlack(s)
	return !s.RemoteCountsUnknown && minCoveredCompared+s.ArrivalsPerSecond*tail.Seconds() <= bound
}

// admit bounds a share by the requests that the target version may still get.
func (e *exposure) admit(s Situation, share float64) float64 {
	return min(share, placement.AdmitProbability(e.left(s), s.ArrivalsPerSecond))
}

// covers reports whether the bounds hold even if all requests of the given time go to the
// target version.
func (e *exposure) covers(s Situation, timeLeft time.Duration) bool {
	coming := s.ArrivalsPerSecond * max(timeLeft.Seconds(), 0)
	return !s.RemoteCountsUnknown &&
		e.target+coming <= e.bounds.ExposedShare*(e.total+coming)+e.lastSlack(s)
}

// likeLoadNow reports whether the target gets requests at the time since the order, if it
// gets them for the given part of the time.
func likeLoadNow(elapsed, comparePeriod time.Duration, part float64) bool {
	period := max(comparePeriod/likeLoadPeriods, minLikeLoadPeriod)
	return float64(elapsed%period) < part*float64(period)
}

// capacityPerSecond returns the number of requests a second that servers can take.
func capacityPerSecond(servers []TargetServer, requestSeconds float64) (sum float64) {
	for _, server := range servers {
		rate := float64(server.Slots) * fullLoadUtilization / max(requestSeconds, minRequestTime.Seconds())
		if server.Cold {
			rate = min(rate, server.RampPerSecond*usedRampShare)
		}
		sum += rate
	}
	return sum
}
