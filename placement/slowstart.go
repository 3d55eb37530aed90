package placement

// Cold says what is known about a server in its slow start.
type SlowStart struct {
	// MaxPerSecond is the rate of requests that the server bears.
	MaxPerSecond float64
	// SentLastSecond is the number of requests known to have been sent to it in the
	// last second.
	SentLastSecond int
	// Arrivals is the rate at which all VMs together get requests of the
	// server's service, per second.
	ArrivalsPerSecond float64
	// Blind says that this VM does not know what others sent in the last second,
	// because it has just started or hears no other VM.
	RemoteSendsUnknown bool
	// VMs is the number of VMs of the fleet.
	VMs int
}

const (
	// coldShare is the part of a cold server's rate that the VMs use up. The
	// rest covers what they send before they hear of each other.
	coldShare = 0.7
	// hearingDelay is the time in seconds within which VMs hear of each other's
	// requests.
	hearingDelay = 0.25
	// blindRequests is the number of requests that a VM may have at once when
	// it knows nothing of the others: callers come back all together after a
	// restart of the whole fleet.
	blindRequests = 3.0
)

// Chance returns the probability with which a request may go to the server, so
// that all VMs together stay below its rate although each decides alone: of the
// requests that arrive before the VMs hear of each other, about as many pass as
// the server still bears.
func (c SlowStart) AdmitProbability() float64 {
	limit := max(c.MaxPerSecond*coldShare, 1)
	if c.RemoteSendsUnknown {
		return min(1, limit/(blindRequests*float64(max(c.VMs, 1))))
	}
	left := limit - float64(c.SentLastSecond)
	if left < 1 {
		return 0
	}
	return min(1, left/(1+c.ArrivalsPerSecond*hearingDelay))
}
