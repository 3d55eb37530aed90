package membership

import "time"

// Options holds the timing of leases and heartbeats. Zero fields get their
// defaults, which fit 48 VMs; see LargeFleetOptions for larger fleets.
type Options struct {
	// LeaseDuration is how long a session is valid after its renewal was sent, on
	// the monotonic clock of its VM. Default 5 s.
	LeaseDuration time.Duration
	// RenewEvery is the mean time between two renewals. Default LeaseDuration/5.
	RenewEvery time.Duration
	// PollEvery is the time between two reads of the list's version. Default 1 s.
	PollEvery time.Duration
	// WatchEvery is the time between two reads of all sessions. Default
	// RenewEvery/2.
	WatchEvery time.Duration
	// HeartbeatValidity is how long a heartbeat counts, from the time at which its
	// request was sent. Default 0.4 × LeaseDuration.
	HeartbeatValidity time.Duration
	// HeartbeatEvery is the time between two heartbeats to a peer while the store
	// responds. Default 1 s.
	HeartbeatEvery time.Duration
	// Margin is added to each wait for a timer of another VM, beyond the clock
	// drift of 10%. It covers delays between reading the clock and acting.
	// Default 500 ms.
	Margin time.Duration
	// NeighborCount is the number of peers that get heartbeats while the store
	// responds. Default 2.
	NeighborCount int
	// WatcherCount is the number of VMs that read all sessions. Default 7.
	WatcherCount int
}

const (
	defaultLeaseDuration  = 5 * time.Second
	defaultPollEvery      = time.Second
	defaultHeartbeatEvery = time.Second
	defaultMargin         = 500 * time.Millisecond
	defaultNeighborCount  = 2
	// defaultWatcherCount is large enough that some watchers survive the failure of
	// a zone or rack: watchers are chosen by hash and change each minute.
	defaultWatcherCount    = 7
	renewalsPerLease       = 5
	heartbeatValidityShare = 0.4
)

// LargeFleetOptions returns the timing for fleets of several hundred VMs. There,
// one renewal per VM and second would exceed the write rate that the table
// sustains. HeartbeatValidity keeps the heartbeats of 420 VMs below 11 KB/s in a
// store outage. It makes a takeover take longer, because the takeover waits until
// older heartbeats have expired.
func LargeFleetOptions() Options {
	return Options{LeaseDuration: 20 * time.Second, HeartbeatValidity: 17 * time.Second}
}

func (o Options) withDefaults() Options {
	setDefault(&o.LeaseDuration, defaultLeaseDuration)
	setDefault(&o.RenewEvery, o.LeaseDuration/renewalsPerLease)
	setDefault(&o.PollEvery, defaultPollEvery)
	setDefault(&o.WatchEvery, o.RenewEvery/2)
	setDefault(&o.HeartbeatValidity, time.Duration(heartbeatValidityShare*float64(o.LeaseDuration)))
	setDefault(&o.HeartbeatEvery, defaultHeartbeatEvery)
	setDefault(&o.Margin, defaultMargin)
	setDefault(&o.NeighborCount, defaultNeighborCount)
	setDefault(&o.WatcherCount, defaultWatcherCount)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// driftPercent is the largest difference, in percent, between the rates of two
// VMs' clocks.
const driftPercent = 10

// withDrift returns a duration that, measured by this VM's clock, is at least as
// long as d measured by the clock of any other VM.
func withDrift(d time.Duration) time.Duration { return d + d*driftPercent/100 }

// takeoverWait returns how long a session must stay unchanged before its VM may be
// removed. It is also the minimum time for which a new member waits until older
// lists are out of use.
func (o Options) takeoverWait() time.Duration { return withDrift(o.LeaseDuration) + o.Margin }

// outageHeartbeatEvery returns the time between two heartbeats to a peer while the
// store does not respond. In large fleets each peer gets only one heartbeat per
// HeartbeatValidity, because half of the VMs send heartbeats to half of the VMs.
func (o Options) outageHeartbeatEvery(fleetSize int) time.Duration {
	if fleetSize > largeFleet {
		return o.HeartbeatValidity * 8 / 10
	}
	return o.HeartbeatValidity * 4 / 10
}

// largeFleet is the number of VMs above which fewer heartbeats are sent in a store
// outage, to stay below 11 KB/s at 420 VMs.
const largeFleet = 64

// peerWriteGrace returns the tolerance of the store-outage rule: a peer supports a
// holder as long as the peer's last session write took effect at most this long
// after the holder's last store call. In an outage that begins for all VMs at
// once, the last store calls of two VMs differ by up to one jittered renewal or
// poll. In addition, this VM estimates the time of a peer's write too late: by the
// clock drift over the age of the write at the first heartbeat, and by a round
// trip.
func (o Options) peerWriteGrace() time.Duration {
	lag := o.PollEvery
	if o.RenewEvery > o.PollEvery {
		lag += o.RenewEvery // a renewal is sent after the first poll once it is due
	}
	firstHeartbeatAge := outageSuspectedPolls*o.PollEvery + o.HeartbeatValidity*8/10
	return withDrift(lag) + firstHeartbeatAge*driftPercent/100 + roundTripAllowance
}

const (
	// outageSuspectedPolls is the age of the last read of the list, in poll
	// intervals, at which this VM starts to ask its peers for support.
	outageSuspectedPolls = 2
	// roundTripAllowance is the share of peerWriteGrace for a heartbeat's round
	// trip.
	roundTripAllowance = 200 * time.Millisecond
)

// writeProofDelay returns how long after a given time a VM must have written its
// session so that other VMs can prove that it supports no holder whose last store
// call was before that time. It is peerWriteGrace, extended by the clock drift
// between the VMs and by clockSlack.
func (o Options) writeProofDelay() time.Duration { return withDrift(o.peerWriteGrace()) + clockSlack }

// heartbeatExpiry returns how long to wait after a session write was seen until
// the heartbeats that the VM sent before the write have expired on all VMs.
func (o Options) heartbeatExpiry() time.Duration { return withDrift(o.HeartbeatValidity) + clockSlack }

// clockSlack is added to waits for other VMs' timers, for delays in reading the
// clock.
const clockSlack = 100 * time.Millisecond
