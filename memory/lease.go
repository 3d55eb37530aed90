package memory

import (
	"context"
	"sync/atomic"
	"time"
)

// Lease is the part of a Budget that one connection holds. Its methods may be called by
// several goroutines. A nil Lease bounds nothing and holds nothing.
type Lease struct {
	budget   *Budget
	address  string
	turnAway func()
	opened   time.Time

	stage atomic.Int32
	// began and lastByte are when the message began and when its last byte moved, in
	// nanoseconds since opened. Without a message both are when the last one ended.
	began, lastByte atomic.Int64
	// size is that of the message, or its largest possible value, and moved the number of
	// its bytes that have arrived or have been read.
	size, moved atomic.Int64
	// requests is the number of requests that the connection has carried.
	requests atomic.Int64
	// leaving says that the lease was turned away. It is set under budget.mu.
	leaving atomic.Bool

	// The fields below are guarded by budget.mu.
	held       int64
	connected  bool  // it belongs to an open connection
	group      Group // of the connection
	connection int64 // the part of held that the connection holds until Disconnect
}

// Group identifies connections whose number is bounded together, such as those of one
// listener.
type Group any

// Connect says that the lease belongs to a connection of the group that was just accepted,
// and takes bytes for it, also beyond the budget. The lease may be turned away also without a
// message from now on, until Disconnect. If the budget is short, others are turned away.
func (l *Lease) Connect(group Group, bytes int64) {
	if l == nil {
		return
	}
	l.setStage(Waiting, 0)
	l.budget.mu.Lock()
	l.connected, l.group, l.connection = true, group, bytes
	chosen := l.budget.charge(l, bytes)
	l.budget.mu.Unlock()
	for _, other := range chosen {
		other.turnAway()
	}
}

// Begin begins a message of the given size, or of at most this size if it is not known.
func (l *Lease) Begin(stage Stage, size int64) {
	if l == nil {
		return
	}
	l.setStage(stage, size)
}

// Wait begins the time without a message after a request of the connection has been
// answered.
func (l *Lease) Wait() {
	if l == nil {
		return
	}
	l.requests.Add(1)
	l.setStage(Waiting, 0)
}

// setStage begins a stage. The times are set first, so that nobody sees the new stage with
// the times of the last one.
func (l *Lease) setStage(stage Stage, size int64) {
	now := int64(l.budget.clock().Sub(l.opened))
	l.moved.Store(0)
	l.size.Store(size)
	l.began.Store(now)
	l.lastByte.Store(now)
	l.stage.Store(int32(stage))
}

// Move records that n bytes of the message have arrived or have been read. The bytes of
// a message move on one goroutine.
func (l *Lease) Move(now time.Time, n int) {
	if l == nil {
		return
	}
	l.moved.Add(int64(n))
	l.lastByte.Store(int64(now.Sub(l.opened)))
}

// describe returns what victims has to know. The caller holds budget.mu.
func (l *Lease) describe(now time.Time) holder {
	age := now.Sub(l.opened)
	moved := l.moved.Load()
	return holder{
		address: l.address, stage: Stage(l.stage.Load()), held: l.held, moved: moved, missing: max(0, l.size.Load()-moved),
		age: age - time.Duration(l.began.Load()), idle: age - time.Duration(l.lastByte.Load()),
		requests: l.requests.Load(), connected: l.connected,
	}
}

// TurnedAway reports whether the lease was turned away.
func (l *Lease) TurnedAway() bool { return l != nil && l.leaving.Load() }

// Take takes n bytes. If the budget is short, it turns others away, or this lease if that
// is the least complete and slowest one, and waits for at most maxWait. Small requests
// may use the reserve and are not turned away here.
func (l *Lease) Take(n int64) error { return l.TakeContext(context.Background(), n) }

// TakeContext is like Take, but waits only until ctx ends, and then returns its error.
func (l *Lease) TakeContext(ctx context.Context, n int64) error { return l.take(ctx, n, 0) }

// take takes n bytes for a message that will take further bytes later.
func (l *Lease) take(ctx context.Context, n, later int64) error {
	w, err := l.tryTake(nil, n, later)
	if w == nil {
		return err
	}
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	again := time.NewTicker(retryInterval) // somebody may have stalled meanwhile
	defer again.Stop()
	for {
		select {
		case <-w.woken:
		case <-again.C:
		case <-limit.C:
			l.giveUp(w)
			return ErrShort
		case <-ctx.Done():
			l.giveUp(w)
			return ctx.Err()
		}
		if next, err := l.tryTake(w, n, later); next == nil {
			return err
		}
	}
}

// giveUp ends the wait for bytes without having taken any.
func (l *Lease) giveUp(w *waiter) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.stopWaiting(w)
	l.budget.wakeForRoom() // w may have been woken for some
}

// TakeAtOnce takes n bytes if there is room for them, without turning others away and without
// a wait, and reports whether it did. A nil Lease has room for all.
func (l *Lease) TakeAtOnce(n int64) bool {
	if l == nil {
		return true
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.leaving.Load() || !b.room(n, false) {
		return false
	}
	b.add(l, n)
	return true
}

// tryTake takes n bytes if it can, and turns others away if the budget is short. If bytes
// may become free soon, it returns a waiter that is woken when there may be room: the given
// one, or a new one for nil.
func (l *Lease) tryTake(w *waiter, n, later int64) (*waiter, error) {
	b := l.budget
	b.mu.Lock()
	small := l.held-l.connection+n+later <= smallBytes
	if !l.leaving.Load() && b.room(n, small) {
		b.add(l, n)
		b.stopWaiting(w)
		b.mu.Unlock()
		return nil, nil
	}
	var chosen []*Lease
	coming := false
	if !l.leaving.Load() {
		chosen, coming = b.relieve(l, n, small)
	}
	turnedAway := l.leaving.Load()
	waits := !turnedAway && (coming || b.mayFind(l))
	if waits {
		if w == nil {
			w = &waiter{bytes: n, woken: make(chan struct{}, 1)}
		}
		w.small = small
		b.wait(w)
	} else {
		b.stopWaiting(w)
		b.wakeForRoom() // w may have been woken for some
	}
	b.mu.Unlock()
	for _, other := range chosen {
		other.turnAway()
	}
	switch {
	case turnedAway:
		return nil, ErrTurnedAway
	case !waits:
		return nil, ErrShort
	}
	return w, nil
}

// mayFind reports whether somebody may be turned away within maxWait who may not yet. The
// caller holds b.mu.
func (b *Budget) mayFind(l *Lease) bool {
	now := b.clock()
	for other := range b.holding {
		h := other.describe(now)
		h.idle += maxWait
		if other != l && other.held > 0 && !other.leaving.Load() && h.mayBeTurnedAway() {
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
	if l.leaving.Load() {
		l.budget.giveBack(l, answerRoom)
		return ErrTurnedAway
	}
	l.stage.Store(int32(Serving))
	return nil
}

// Charge adds n bytes that are held already, also beyond the budget. If the budget is
// short, it turns others away.
func (l *Lease) Charge(n int64) {
	l.budget.mu.Lock()
	chosen := l.budget.charge(l, n)
	l.budget.mu.Unlock()
	for _, other := range chosen {
		other.turnAway()
	}
}

// TakeForConnection takes n bytes for the connection, until Disconnect. later is what its
// request will take in service: only a request that is small with both may use the reserve.
// It waits as Take does. It returns ErrTurnedAway after Disconnect.
func (l *Lease) TakeForConnection(n, later int64) error {
	if l == nil {
		return nil
	}
	if err := l.take(context.Background(), n, later); err != nil {
		return err
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if !l.connected { // Disconnect would not give the bytes back
		l.budget.giveBack(l, n)
		return ErrTurnedAway
	}
	l.connection += n
	return nil
}

// Linger ends the messages of the connection, which waits for its peer to close. It holds at
// most n bytes from now on.
func (l *Lease) Linger(n int64) {
	if l == nil {
		return
	}
	l.setStage(Closing, 0)
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	more := max(0, l.connection-n)
	l.connection -= more
	l.budget.giveBack(l, more)
}

// GiveBack gives n bytes back.
func (l *Lease) GiveBack(n int64) {
	if l == nil || n == 0 {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.giveBack(l, n)
}

// Disconnect ends the connection of the lease and gives back what the connection holds.
// What its messages hold is given back by those who have taken it.
func (l *Lease) Disconnect() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	connection := l.connection
	l.connected, l.connection = false, 0
	l.budget.giveBack(l, connection)
}
