package membership

import "time"

// Options holds the timing of leases and heartbeats. Zero fields get their
// defaults, which fit 48 VMs; see LargeFleetOptions for more.
type Options struct {
	// Lease is how long a session lasts after its renewal was sent, on the
	// monotonic clock of its VM. Default 5 s.
	LeaseDuration time.Duration
	// RenewEvery is the mean time between two renewals. Default Lease/5.
	RenewEvery time.Duration
	// PollEvery is the time between two reads of the list's version. Default 1 s.
	PollEvery time.Duration
	// WatchEvery is the time between two reads of all sessions. Default RenewEvery/2.
	WatchEvery time.Duration
	// HeartbeatValidity is how long a heartbeat counts as heard, from the moment its
	// question was sent. Default 0.4 × Lease.
	HeartbeatValidity time.Duration
	// HeartbeatEvery is the time between heartbeats to a neighbor while the
	// store answers. Default 1 s.
	HeartbeatEvery time.Duration
	// Margin is added to each wait for another VM's timer, beyond the clock
	// drift of 10%, for delays in reading the clock. Default 500 ms.
	Margin time.Duration
	// Neighbors is the number of peers that get heartbeats while the store
	// answers. Default 2.
	NeighborCount int
	// Watchers is the number of VMs that read all sessions. Default 7.
	WatcherCount int
}

const (
	defaultLease          = 5 * time.Second
	defaultPollEvery      = time.Second
	defaultHeartbeatEvery = time.Second
	defaultMargin         = 500 * time.Millisecond
	defaultNeighbors      = 2
	// defaultWatchers keeps a watcher alive when a zone or rack fails: watchers
	// are spread by hash, and change each minute.
	defaultWatchers = 7
	renewalsPerTerm = 5
	heardShare      = 0.4
)

// LargeFleetOptions returns the timing for fleets of several hundred VMs, in
// which renewals each second would exceed the writes that the table bears.
// HeartbeatValidity keeps the heartbeats of 420 VMs in a store outage under 11 KB/s; it
// lengthens a takeover, which has to wait until older heartbeats expire.
func LargeFleetOptions() Options {
	return Options{LeaseDuration: 20 * time.Second, HeartbeatValidity: 17 * time.Second}
}

func (o Options) withDefaults() Options {
	setDefault(&o.LeaseDuration, defaultLease)
	setDefault(&o.RenewEvery, o.LeaseDuration/renewalsPerTerm)
	setDefault(&o.PollEvery, defaultPollEvery)
	setDefault(&o.WatchEvery, o.RenewEvery/2)
	setDefault(&o.HeartbeatValidity, time.Duration(heardShare*float64(o.LeaseDuration)))
	setDefault(&o.HeartbeatEvery, defaultHeartbeatEvery)
	setDefault(&o.Margin, defaultMargin)
	setDefault(&o.NeighborCount, defaultNeighbors)
	setDefault(&o.WatcherCount, defaultWatchers)
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// driftPercent is the largest difference between the rates of two VMs' clocks.
const driftPercent = 10

// longer returns a time that on this VM's clock certainly covers d on another's.
func longer(d time.Duration) time.Duration { return d + d*driftPercent/100 }

// takeoverWait is how long a session must stay unchanged before its VM may be
// removed, and how long a new member waits until older lists are out of use.
func (o Options) takeoverWait() time.Duration { return longer(o.LeaseDuration) + o.Margin }

// askEvery is the time between two heartbeats to a peer while the store does
// not answer. Large fleets ask each peer once per HeartbeatValidity, because half of the
// fleet asks half of the fleet.
func (o Options) askEvery(fleetSize int) time.Duration {
	if fleetSize > largeFleet {
		return o.HeartbeatValidity * 8 / 10
	}
	return o.HeartbeatValidity * 4 / 10
}

// largeFleet is the size from which heartbeats in a store outage are thinned
// out to stay under 11 KB/s at 420 VMs.
const largeFleet = 64

// contactGrace is how long after a holder's own last contact the contacts of
// its peers do not count as newer: in an outage that begins at one moment,
// the last contacts of two VMs differ by up to one jittered renewal or poll,
// and the estimate of a peer's contact is late by the drift over its age when
// it is first heard and by a round trip.
func (o Options) contactGrace() time.Duration {
	lag := o.PollEvery
	if o.RenewEvery > o.PollEvery {
		lag += o.RenewEvery // a renewal waits for the first poll after it is due
	}
	firstHeard := outageSuspectedPolls*o.PollEvery + o.HeartbeatValidity*8/10
	return longer(lag) + firstHeard*driftPercent/100 + roundTripAllowance
}

const (
	// outageSuspectedPolls is the age of the last read of the list, in polls, from
	// which this VM asks for the support of its peers.
	outageSuspectedPolls = 2
	roundTripAllowance   = 200 * time.Millisecond
)

// evidenceDelay is contactGrace as another VM must count it.
func (o Options) evidenceDelay() time.Duration { return longer(o.contactGrace()) + clockSlack }

// silence is how long after a write was seen the heartbeats that its VM sent
// before the write may still count somewhere.
func (o Options) silence() time.Duration { return longer(o.HeartbeatValidity) + clockSlack }

const clockSlack = 100 * time.Millisecond
