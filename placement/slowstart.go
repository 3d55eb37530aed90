package placement

// SlowStart limits the rate of requests to a server that has just started. The
// fields describe the server and its service as far as this VM knows.
type SlowStart struct {
	// MaxPerSecond is the number of requests per second that the server sustains.
	MaxPerSecond float64
	// SentLastSecond is the number of requests known to have been sent to the server
	// in the last second, by all VMs.
	SentLastSecond int
	// ArrivalsPerSecond is the rate at which all VMs together receive requests for
	// the server's service.
	ArrivalsPerSecond float64
	// RemoteSendsUnknown is true if this VM does not know how many requests the other
	// VMs sent in the last second, because it has just started or receives no
	// messages.
	RemoteSendsUnknown bool
	// VMs is the number of VMs of the fleet.
	VMs int
}

const (
	// usedRateShare is the part of the server's rate that the VMs use. The rest
	// covers the requests that VMs send before they receive each other's counters.
	usedRateShare = 0.7
	// propagationDelaySeconds is the time in seconds within which VMs receive each
	// other's counters.
	propagationDelaySeconds = 0.25
	// unknownRequestsPerVM is the number of requests that each VM is assumed to have
	// at the same moment while RemoteSendsUnknown is true: after a restart of the
	// whole fleet, all callers come back at once.
	unknownRequestsPerVM = 3.0
)

// AdmitProbability returns the probability (0 to 1) with which a request may be
// sent to the server. Each VM decides alone, and yet all of them together have to
// stay below the server's rate. The probability is therefore the number of requests
// that the server can still take in this second, divided by one more than the number
// of requests that arrive before the VMs receive each other's counters.
func (s SlowStart) AdmitProbability() float64 {
	limit := max(s.MaxPerSecond*usedRateShare, 1)
	if s.RemoteSendsUnknown {
		return min(1, limit/(unknownRequestsPerVM*float64(max(s.VMs, 1))))
	}
	return AdmitProbability(limit-float64(s.SentLastSecond), s.ArrivalsPerSecond)
}

// AdmitProbability returns the probability (0 to 1) with which one of the requests
// for a service may be sent to a server that may get so many more requests, left, from
// all VMs together. arrivalsPerSecond is the rate of requests for the service. The
// requests that arrive before the VMs receive each other's counters share what is left.
func AdmitProbability(left, arrivalsPerSecond float64) float64 {
	if left < 1 {
		return 0
	}
	return min(1, left/(1+arrivalsPerSecond*propagationDelaySeconds))
}
