package catalog

import (
	"sync"
	"time"

	"almondstile/history"
)

const (
	// maxDrift is the largest assumed rate at which the local clock and the store's
	// drift apart, in seconds per second.
	maxDrift = 250e-6
	// contradictionOffset is how far beyond the estimate differences of clocks must lie
	// to contradict it.
	contradictionOffset = 300 * time.Millisecond
	// contradictionSpread is the largest spread of differences that contradict the
	// estimate together. Those of delayed messages vary more.
	contradictionSpread = 100 * time.Millisecond
	// contradictionPeriod and minContradictions are the time and the number of messages
	// after which an estimate is replaced that all of them contradict. A VM that resumes
	// after a suspension handles the messages that waited in less time.
	contradictionPeriod = 3 * time.Second
	minContradictions   = 5
	// sourceTimeout is the time without a message of a source as close to the store as
	// the current ones after which more distant sources are used.
	sourceTimeout = 6 * time.Second
	// unknownHops is the distance of a VM without an estimate from the store.
	unknownHops = 255
)

// StoreClock estimates the store's clock from messages that carry the store's time. A
// delay in transit can only increase the difference between the local time of receipt
// and the store's time, so the smallest difference is the best estimate. For this reason
// a message that waited in the buffer of a suspended VM does not make an old copy of a
// table look current. The difference grows by maxDrift between messages, so a local
// clock that runs fast leaves no lasting error.
//
// An estimate that is too small, because of a damaged message or a step of the store's
// clock, would make all copies look old. It is replaced after contradictionPeriod if the
// messages since then agree on a larger difference. So that VMs don't confirm a wrong
// estimate to each other, each one uses only sources closer to the store than itself:
// the store, or a VM that receives it from the store through fewer VMs. StoreClock is safe for
// concurrent use; the zero value is ready to use.
type StoreClock struct {
	mu       sync.Mutex
	era      history.Era   // in which the store had this clock
	offset   time.Duration // local clock minus store's clock, as of updatedAt
	observed bool          // offset is set
	// updatedAt is the local time of the last observation.
	updatedAt time.Duration
	// hops is the number of VMs between the store and this one, valid until
	// sourceTimeout after sourceAt, the local time of the last message over so many.
	hops          int
	sourceAt      time.Duration
	contradiction contradiction
}

// contradiction holds the differences of clocks since one contradicted the estimate.
type contradiction struct {
	count           int
	since           time.Duration // local time of the first one
	lowest, highest time.Duration
}

// Observe records that a message of the store with its time was received at the local
// time.
func (c *StoreClock) Observe(local, store time.Duration) { c.observe(local, store, 0) }

// ObservePeer records that a message of a VM with its estimate of the store's time was
// received at the local time. hops is the value of the VM's Hops.
func (c *StoreClock) ObservePeer(local, store time.Duration, hops int) {
	if hops >= 0 && hops < unknownHops {
		c.observe(local, store, hops+1)
	}
}

// Restart replaces the estimate by one of an era of the store's history: the store's clock
// may have changed with it. The store's time was read at the local time or later, by a VM
// that is hops VMs away from the store.
func (c *StoreClock) Restart(era history.Era, local, store time.Duration, hops int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = era
	c.offset, c.updatedAt, c.observed = local-store, local, true
	c.hops, c.sourceAt = hops, local
	c.contradiction = contradiction{}
}

// Era returns the era of the estimate. Before the first observation, known is false.
func (c *StoreClock) Era() (era history.Era, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era, c.observed
}

func (c *StoreClock) observe(local, store time.Duration, hops int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observed && hops > c.hops && local-c.sourceAt <= sourceTimeout {
		return
	}
	c.hops, c.sourceAt = hops, local
	difference := local - store
	if !c.observed {
		c.offset, c.updatedAt, c.observed = difference, local, true
		return
	}
	c.advance(local)
	if difference <= c.offset+contradictionOffset {
		c.offset, c.contradiction = min(c.offset, difference), contradiction{}
		return
	}
	if c.contradiction.add(local, difference) {
		c.offset, c.contradiction = c.contradiction.lowest, contradiction{}
	}
}

// advance lets the estimate grow by the drift until the local time.
func (c *StoreClock) advance(local time.Duration) {
	if elapsed := local - c.updatedAt; elapsed > 0 {
		c.offset += time.Duration(maxDrift * float64(elapsed))
		c.updatedAt = local
	}
}

// add records a difference and reports whether those since the first one refute the
// estimate.
func (c *contradiction) add(local, difference time.Duration) bool {
	lowest, highest := min(c.lowest, difference), max(c.highest, difference)
	if c.count == 0 || highest-lowest > contradictionSpread {
		*c = contradiction{count: 1, since: local, lowest: difference, highest: difference}
		return false
	}
	c.count, c.lowest, c.highest = c.count+1, lowest, highest
	return c.count >= minContradictions && local-c.since >= contradictionPeriod
}

// Hops returns the number of VMs through which this VM learns of the store's time, 0 if
// it receives it from the store itself and unknownHops without an estimate.
func (c *StoreClock) Hops(local time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.observed || local-c.sourceAt > sourceTimeout {
		return unknownHops
	}
	return c.hops
}

// At returns the estimated time of the store's clock at a local time. Before the
// first observation, known is false.
func (c *StoreClock) At(local time.Duration) (store time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	drift := time.Duration(maxDrift * float64(max(local-c.updatedAt, 0)))
	return local - c.offset - drift, c.observed
}
