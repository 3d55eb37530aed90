package catalog

import (
	"sync"
	"time"
)

// StoreClock estimates the store's clock from messages that carry its time. A
// message can only be delayed, so the smallest difference ever seen is the best
// estimate, and a message that waited in a buffer of a suspended VM does not
// make old knowledge look new.
type StoreClock struct {
	mu     sync.Mutex
	offset time.Duration // local clock minus store clock
	set    bool
}

// Observe takes in a message that carries the store's time and arrived at local.
func (c *StoreClock) Observe(local, store time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if offset := local - store; !c.set || offset < c.offset {
		c.offset, c.set = offset, true
	}
}

// At returns the store's time at the local time, and whether it is known.
func (c *StoreClock) At(local time.Duration) (store time.Duration, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return local - c.offset, c.set
}
