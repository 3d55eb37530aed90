package catalog

import (
	"sync"
	"time"
)

// StoreClock estimates the store's clock from messages that carry the store's
// time. A delay in transit can only increase the difference between the local
// time of receipt and the store's time, so the smallest difference is the best
// estimate. For this reason a message that waited in the buffer of a suspended VM
// does not make an old copy of a table look current. StoreClock is safe for
// concurrent use; the zero value is ready to use.
type StoreClock struct {
	mu       sync.Mutex
	offset   time.Duration // local clock minus store's clock
	observed bool          // offset is set
}

// Observe records that a message with the store's time was received at the local
// time.
func (c *StoreClock) Observe(local, store time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if offset := local - store; !c.observed || offset < c.offset {
		c.offset, c.observed = offset, true
	}
}

// At returns the estimated time of the store's clock at a local time. Before the
// first call of Observe, known is false.
func (c *StoreClock) At(local time.Duration) (store time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return local - c.offset, c.observed
}
