package memory

import "slices"

// waiter is a call of Lease.Take that waits for bytes.
type waiter struct {
	bytes int64
	small bool
	// woken gets a value when the call should look again.
	woken chan struct{}
}

// wait adds a waiter unless it is there. The caller holds b.mu.
func (b *Budget) wait(w *waiter) {
	if !slices.Contains(b.waiting, w) {
		b.waiting = append(b.waiting, w)
	}
}

// stopWaiting removes a waiter, which may not be there. The caller holds b.mu.
func (b *Budget) stopWaiting(w *waiter) {
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// wakeSome wakes the waiters for whom there is room together. If there is none and nobody
// is leaving, it wakes the first one, which turns others away. Each waiter that finds no
// room goes through all leases with b.mu held, so waking all of them would hold up every
// connection. The caller holds b.mu.
func (b *Budget) wakeSome() {
	if granted := b.wakeForRoom(); !granted && len(b.waiting) > 0 && b.leaving <= 0 {
		b.waiting[0].wake()
		b.waiting = slices.Delete(b.waiting, 0, 1)
	}
}

// wakeForRoom wakes the waiters for whom there is room together, and reports whether there
// are any. The caller holds b.mu.
func (b *Budget) wakeForRoom() bool {
	var granted int64
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if !b.room(granted+w.bytes, w.small) {
			return false
		}
		granted += w.bytes
		w.wake()
		return true
	})
	return granted > 0
}

// wake lets the waiter look again.
func (w *waiter) wake() {
	select {
	case w.woken <- struct{}{}:
	default: // an earlier value has yet to be received
	}
}
