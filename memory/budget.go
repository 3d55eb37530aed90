package memory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Lease.Take. Both mean that no bytes were taken.
var (
	// ErrTurnedAway means that the lease was turned away, for others.
	ErrTurnedAway = errors.New("memory: turned away, because the budget is short")
	// ErrShort means that the budget is short and that nobody else can be turned away.
	ErrShort = errors.New("memory: the budget is short")
)

const (
	// reserveShare is the part of the budget that only small requests may use.
	reserveShare = 1.0 / 8
	// smallBytes is what a small request may take of the reserve: its body, and what it
	// takes in service.
	smallBytes = 128 << 10
	// reliefShare is the part of the budget that is made free at a time.
	reliefShare = 1.0 / 32
	// maxWait bounds how long Take waits for bytes that others give back. It is longer
	// than stallTime, so that those who stall by then are turned away first.
	maxWait = 2 * time.Second
	// retryInterval is the time after which Take looks again for those who have stalled.
	retryInterval = stallTime / 4
)

// Observer learns what a Budget decides. Its methods must not block.
type Observer interface {
	// Count counts a decision by its name.
	Count(decision string)
}

// Budget is an amount of bytes that leases share. It is safe for concurrent use.
type Budget struct {
	total, reserve int64
	clock          func() time.Time
	observer       Observer // may be nil

	mu   sync.Mutex
	used int64
	peak int64 // the largest value of used since the last reclaim
	// leaving is what leases hold that were turned away.
	leaving int64
	// holding contains the leases that hold bytes or belong to an open connection.
	holding map[*Lease]struct{}
	// waiting contains those that wait for bytes, in the order in which they began.
	waiting []*waiter
}

// NewBudget returns a budget of total bytes. The observer may be nil.
func NewBudget(total int64, clock func() time.Time, observer Observer) *Budget {
	return &Budget{
		total: total, reserve: int64(reserveShare * float64(total)), clock: clock, observer: observer,
		holding: make(map[*Lease]struct{}),
	}
}

// Total returns the size of the budget in bytes.
func (b *Budget) Total() int64 { return b.total }

// Largest returns the most bytes that one lease can hold.
func (b *Budget) Largest() int64 { return b.total - b.reserve }

// Used returns the bytes that leases hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holders returns the number of leases that hold bytes or belong to an open connection.
func (b *Budget) Holders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.holding)
}

// Open returns a lease for messages from the address. turnAway is called, at most once
// and on any goroutine, when the lease is turned away; it must not block and must not call
// the lease. The holder has to give all bytes back then.
func (b *Budget) Open(address string, turnAway func()) *Lease {
	l := &Lease{budget: b, address: address, turnAway: turnAway, opened: b.clock()}
	l.stage.Store(int32(Receiving))
	return l
}

// charge adds bytes to the lease, also beyond the budget. If the budget is short, it marks
// others and returns them. The caller holds b.mu, and calls turnAway of the returned ones
// without it.
func (b *Budget) charge(l *Lease, n int64) (chosen []*Lease) {
	b.add(l, n)
	if over := b.used - b.total + b.reserve; over > 0 {
		chosen, _ = b.relieve(l, over, false)
	}
	return chosen
}

// TurnOneAway turns away the open connection of the group that gives way first, so that
// another one can be accepted, but not the given one. It returns false if there is none that
// may be.
func (b *Budget) TurnOneAway(group Group, but *Lease) bool {
	b.mu.Lock()
	first := b.firstToGiveWay(group, but)
	if first != nil {
		b.markLeaving(first)
	}
	b.mu.Unlock()
	if first == nil {
		return false
	}
	first.turnAway()
	return true
}

// firstToGiveWay returns the open connection of the group that gives way first, or nil if
// there is none that may be turned away. The caller holds b.mu.
func (b *Budget) firstToGiveWay(group Group, but *Lease) *Lease {
	now := b.clock()
	var leases []*Lease
	var holders []holder
	for l := range b.holding {
		if l == but || l.group != group || l.leaving.Load() {
			continue
		}
		if h := l.describe(now); h.mayGiveWay() {
			leases = append(leases, l)
			holders = append(holders, h)
		}
	}
	if len(holders) == 0 {
		return nil
	}
	return leases[firstVictim(holders)]
}

// markLeaving marks a lease as turned away. The caller holds b.mu, and calls turnAway of the
// lease without it.
func (b *Budget) markLeaving(l *Lease) {
	l.leaving.Store(true)
	b.leaving += l.held
	b.count(l.describe(b.clock()))
}

// room reports whether n bytes are free for a small request or for another one. The caller
// holds b.mu.
func (b *Budget) room(n int64, small bool) bool {
	limit := b.total
	if !small {
		limit -= b.reserve
	}
	return b.used+n <= limit
}

// add adds bytes to the lease. The caller holds b.mu.
func (b *Budget) add(l *Lease, n int64) {
	b.holding[l] = struct{}{}
	l.held += n
	b.used += n
	if l.leaving.Load() {
		b.leaving += n
	}
	b.peak = max(b.peak, b.used)
}

// giveBack takes bytes off the lease and wakes those that wait for them. The caller holds
// b.mu.
func (b *Budget) giveBack(l *Lease, n int64) {
	l.held -= n
	b.used -= n
	if l.leaving.Load() {
		b.leaving -= n
	}
	if l.held == 0 && !l.connected {
		delete(b.holding, l)
	}
	b.wakeSome()
}

// relieve selects leases to turn away so that n bytes become free for the lease, and marks
// them. It returns them, and whether bytes will become free that are not yet. A small request
// is not turned away for itself. The caller holds b.mu, and calls turnAway of the returned
// ones without it.
func (b *Budget) relieve(l *Lease, n int64, small bool) (chosen []*Lease, coming bool) {
	need := max(n, int64(reliefShare*float64(b.total))) - b.leaving
	if need <= 0 {
		return nil, true
	}
	now := b.clock()
	var leases []*Lease
	var holders []holder
	addresses := make(map[string]bool)
	for other := range b.holding {
		addresses[other.address] = true
		if !other.leaving.Load() {
			leases = append(leases, other)
			holders = append(holders, other.describe(now))
		}
	}
	for _, i := range victims(holders, need, b.total/int64(max(1, len(addresses)))) {
		if leases[i] == l && small {
			continue // makes room for itself from others
		}
		b.markLeaving(leases[i])
		chosen = append(chosen, leases[i])
	}
	return chosen, b.leaving > 0
}

// count reports to the observer why a lease is turned away.
func (b *Budget) count(h holder) {
	if b.observer == nil {
		return
	}
	reason := "slow"
	switch {
	case h.stage == Waiting:
		reason = "idle"
	case h.stage == Closing:
		reason = "closing"
	case h.stage == Answering:
		reason = "unread"
	case h.stalled():
		reason = "stalled"
	}
	b.observer.Count("memory.turned-away." + reason)
}

// reclaimShare is the part of the budget that has to have been given back before memory is
// worth returning to the system.
const reclaimShare = 0.25

// reclaim reports whether so many bytes were given back since the last time that the
// process should return memory to the system. The pools and the garbage collector would
// keep it for minutes.
func (b *Budget) reclaim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.peak-b.used) < reclaimShare*float64(b.total) || b.used > b.peak/2 {
		return false
	}
	b.peak = b.used
	return true
}
