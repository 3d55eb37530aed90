package catalog

import (
	"math/rand/v2"
	"time"
)

// ReadTimes are the times by which the VMs of a fleet share the reading of the
// store. They follow from the time within which a change has to be in force on all
// VMs, so that any VM that reaches the store learns of a change in time even if the
// VMs that usually read have lost the store just before the change.
type ReadTimes struct {
	// longPollWait is how long the store may hold a call while nothing changes. It
	// bounds the age of a copy while there are no changes.
	longPollWait time.Duration
	// secondReaderAge is the age of a copy from which the VM of rank 1 reads the
	// store, and otherReaderAge the age for all VMs after it, to which each of them
	// adds its own part of otherReaderSpread.
	secondReaderAge, otherReaderAge, otherReaderSpread time.Duration
	// wholeTableInterval is the time between two reads of the whole table of a store that
	// states no era: changes alone don't show that it went back and has passed its lost
	// versions again.
	wholeTableInterval time.Duration
}

// DefaultMaxChangeDelay replaces a maximum delay of 0 in NewReadTimes.
const DefaultMaxChangeDelay = 2500 * time.Millisecond

// Shares of the maximum delay. The wait, the transfer to another VM and its messages
// must fit in before secondReaderShare, or VMs read although nothing is wrong. What
// is left after the last reader is for its call and the decoding of the rows.
const (
	longPollShare     = 0.5
	secondReaderShare = 0.65
	otherReaderShare  = 0.7
	otherSpreadShare  = 0.12
)

// wholeTableInterval is the interval of the same name in ReadTimes.
const wholeTableInterval = 1 * time.Minute

// NewReadTimes returns the times for a fleet in which a change has to be in force on
// all VMs within maxChangeDelay; 0 stands for 2.5 s.
func NewReadTimes(maxChangeDelay time.Duration) ReadTimes {
	if maxChangeDelay <= 0 {
		maxChangeDelay = DefaultMaxChangeDelay
	}
	share := func(s float64) time.Duration { return time.Duration(s * float64(maxChangeDelay)) }
	return ReadTimes{
		longPollWait: share(longPollShare), secondReaderAge: share(secondReaderShare),
		otherReaderAge: share(otherReaderShare), otherReaderSpread: share(otherSpreadShare),
		wholeTableInterval: wholeTableInterval,
	}
}

const (
	// substitutePeriod is how long a VM that had to read an old copy itself goes on
	// following the store.
	substitutePeriod = 5 * time.Second
	// substituteAge is the age of a copy from which a substitute calls the store
	// again. It leaves room for the calls of other substitutes.
	substituteAge = 250 * time.Millisecond
	// substitutesPerZone is the mean number of VMs of a zone that become substitutes
	// when the copies of all grow too old, as in an outage of the store. A few are
	// enough, because the others get their rows from them, and a store that comes back
	// is not called by the whole fleet.
	substitutesPerZone = 4
)

// readSchedule decides when one VM reads one table from the store. The first reader
// of a zone follows the store all the time. Another VM reads it when its copy has
// become too old. It may then be a substitute for a while, which follows the store
// too: whatever keeps the first reader from the store may last.
type readSchedule struct {
	times ReadTimes
	// spread is this VM's part of times.otherReaderSpread. Because of it some VMs
	// start before the others, which then get the rows from them.
	spread time.Duration
	// substituteUntil is the local time until which this VM is a substitute.
	substituteUntil time.Duration
}

// newReadSchedule returns the schedule of a VM that is not a substitute.
func newReadSchedule(times ReadTimes) readSchedule {
	return readSchedule{times: times, spread: time.Duration(rand.Float64() * float64(times.otherReaderSpread))}
}

// readAfterAge returns the age of the copy from which the VM reads the table, 0 for
// the first reader of a zone. rank is the VM's rank among the readers of its zone.
func (s *readSchedule) readAfterAge(now time.Duration, rank int) time.Duration {
	switch {
	case rank == 0:
		return 0
	case s.isSubstitute(now):
		return substituteAge + s.spread
	case rank == 1:
		return s.times.secondReaderAge
	default:
		return s.times.otherReaderAge + s.spread
	}
}

// isSubstitute reports whether the VM is a substitute.
func (s *readSchedule) isSubstitute(now time.Duration) bool { return now < s.substituteUntil }

// recordRead records a successful read. It reports whether the VM has become a
// substitute by it. zoneVMs is the number of VMs of the zone, and random a random
// number, uniformly distributed in [0, 1).
func (s *readSchedule) recordRead(now time.Duration, rank, zoneVMs int, random float64) (started bool) {
	if rank == 0 || s.isSubstitute(now) || random*float64(zoneVMs) >= substitutesPerZone {
		return false
	}
	s.substituteUntil = now + substitutePeriod
	return true
}
