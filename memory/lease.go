package memory

import (
	"context"
	"sync/atomic"
	"time"
)

// Lease is the part of a Budget that one connection holds. Its methods may be called by
// several goroutines.
type Lease struct {
	budget   *Budget
	address  string
	turnAway func()

	// moved is the number of bytes of the message that have arrived or have been read, and
	// lastByte the time of the last one in nanoseconds since began.
	moved, lastByte atomic.Int64

	// The fields below are guarded by budget.mu.
	held    int64
	leaving bool // it was turned away
	stage   Stage
	began   time.Time
	size    int64 // of the message, or its largest possible value
}

// Begin begins a message of the given size, or of at most this size if it is not known.
func (l *Lease) Begin(stage Stage, size int64) {
	now := l.budget.clock()
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.stage, l.size, l.began = stage, size, now
	l.moved.Store(0)
	l.lastByte.Store(0)
}

// Move records that n bytes of the message have arrived or have been read. The bytes of
// a message move on one goroutine.
func (l *Lease) Move(now time.Time, n int) {
	l.moved.Add(int64(n))
	l.lastByte.Store(int64(now.Sub(l.began)))
}

// describe returns what victims has to know. The caller holds budget.mu.
func (l *Lease) describe(now time.Time) holder {
	age := now.Sub(l.began)
	moved := l.moved.Load()
	return holder{
		address: l.address, stage: l.stage, held: l.held, moved: moved, missing: max(0, l.size-moved),
		age: age, idle: age - time.Duration(l.lastByte.Load()),
	}
}

// TurnedAway reports whether the lease was turned away.
func (l *Lease) TurnedAway() bool {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.leaving
}

// Take takes n bytes. If the budget is short, it turns others away, or this lease if that
// is the least complete and slowest one, and waits for at most maxWait. Small requests
// may use the reserve and are not turned away here.
func (l *Lease) Take(n int64) error { return l.TakeContext(context.Background(), n) }

// TakeContext is like Take, but waits only until ctx ends, and then returns its error.
func (l *Lease) TakeContext(ctx context.Context, n int64) error {
	freed, err := l.tryTake(n)
	if freed == nil {
		return err
	}
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	for {
		again := time.NewTimer(retryInterval) // somebody may have stalled meanwhile
		select {
		case <-freed:
		case <-again.C:
		case <-limit.C:
			again.Stop()
			return ErrShort
		case <-ctx.Done():
			again.Stop()
			return ctx.Err()
		}
		again.Stop()
		if freed, err = l.tryTake(n); freed == nil {
			return err
		}
	}
}

// tryTake takes n bytes if it can, and turns others away if the budget is short. If bytes
// may become free soon, it returns a channel that is closed when some are given back.
func (l *Lease) tryTake(n int64) (freed <-chan struct{}, err error) {
	b := l.budget
	b.mu.Lock()
	if !l.leaving && b.room(l, n) {
		b.add(l, n)
		b.mu.Unlock()
		return nil, nil
	}
	var chosen []*Lease
	coming := false
	if !l.leaving {
		chosen, coming = b.relieve(l, n)
	}
	turnedAway := l.leaving
	if !turnedAway && (coming || b.mayFind(l)) {
		freed = b.waitForBytes()
	}
	b.mu.Unlock()
	for _, other := range chosen {
		other.turnAway()
	}
	switch {
	case turnedAway:
		return nil, ErrTurnedAway
	case freed == nil:
		return nil, ErrShort
	}
	return freed, nil
}

// mayFind reports whether somebody may be turned away within maxWait who may not yet. The
// caller holds b.mu.
func (b *Budget) mayFind(l *Lease) bool {
	now := b.clock()
	for other := range b.holding {
		h := other.describe(now)
		h.idle += maxWait
		if other != l && !other.leaving && h.mayBeTurnedAway() {
			return true
		}
	}
	return false
}

// Serve ends the arrival of a request and takes room for its answer. From now on the lease
// is not turned away.
func (l *Lease) Serve(answerRoom int64) error {
	if err := l.Take(answerRoom); err != nil {
		return err
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.leaving {
		l.budget.giveBack(l, answerRoom)
		return ErrTurnedAway
	}
	l.stage = Serving
	return nil
}

// Charge adds n bytes that are held already, also beyond the budget. If the budget is
// short, it turns others away.
func (l *Lease) Charge(n int64) {
	b := l.budget
	b.mu.Lock()
	b.add(l, n)
	var chosen []*Lease
	if over := b.used - b.total + b.reserve; over > 0 {
		chosen, _ = b.relieve(l, over)
	}
	b.mu.Unlock()
	for _, other := range chosen {
		other.turnAway()
	}
}

// GiveBack gives n bytes back.
func (l *Lease) GiveBack(n int64) {
	if n == 0 {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.giveBack(l, n)
}
