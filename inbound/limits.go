package inbound

import (
	"os"
	"time"

	"almondstile/memory"

	"github.com/cockroachdb/errors"
)

// Times bound how long a connection waits for its peer. A time that is 0 is not bounded.
type Times struct {
	// Idle is for a connection without a request.
	Idle time.Duration
	// Head is for the head of a request, from its first bytes on.
	Head time.Duration
}

// Options bound the connections of a Server. The zero value sets no bounds.
type Options struct {
	// Budget is the amount of bytes of which each connection has a lease. It may be nil.
	Budget *memory.Budget
	// ConnectionBytes is what an open connection takes of the budget.
	ConnectionBytes int64
	// Times returns the bounds that are in force. It may be nil.
	Times func() Times
	// MaxConnections is the highest number of connections, or 0 if there is none. It needs a
	// Budget.
	MaxConnections int
}

const (
	// maxWriteBytes is the largest part of a response that is written at a time, so that
	// it shows whether the peer reads.
	maxWriteBytes = 64 << 10
	// maxHeadBytes is the size of a head that has yet to arrive, for the order in which
	// connections give way.
	maxHeadBytes = 32 << 10
)

const (
	// spareShare is the number of connections beyond MaxConnections, as a part of it, that
	// are accepted while those that make room for them are closing. maxSpareConnections is
	// its upper bound.
	spareShare          = 1.0 / 8
	maxSpareConnections = 32
	// maxAcceptDelay bounds how long a new connection waits until another one is closed. It
	// is accepted then, and the HTTP server rejects it if it cannot serve it.
	maxAcceptDelay = 100 * time.Millisecond
	// makeRoomInterval is the time after which the listener looks again for a connection
	// that can be turned away.
	makeRoomInterval = 10 * time.Millisecond
)

// errNotRead means that a response was given up, because its reader does not take it and
// the budget of bytes is short.
var errNotRead = errors.New("inbound: the peer does not read the response")

// pastTime is a deadline that ends reads and writes at once.
var pastTime = time.Unix(1, 0)

// Lease returns the connection's part of the budget of bytes, or nil if there is none.
func (c *Conn) Lease() *memory.Lease { return c.lease }

// answerRoomBytes is the room that is taken for an answer before its size is known. Most
// answers are smaller.
const answerRoomBytes = 16 << 10

// HoldHead takes room for what the connection keeps of a head that has arrived, until it
// closes. If it returns an error of memory.Lease, the request must not be served.
func (c *Conn) HoldHead(bytes int) error {
	c.lease.Begin(memory.Receiving, 0) // a body begins a message of its own
	more := memory.HeadBytes(bytes) - c.keptHeadBytes
	if c.lease == nil || more <= 0 {
		return nil
	}
	if err := c.lease.TakeForConnection(more, servingRoom(bytes)); err != nil {
		return err
	}
	c.keptHeadBytes += more
	return nil
}

// servingRoom returns the room for a request in service with a head of the given size.
func servingRoom(headBytes int) int64 { return memory.RequestBytes(headBytes) + answerRoomBytes }

// BeginServing takes room for a request that has arrived, with a head of the given size, and
// for its answer. If it returns an error of memory.Lease, the request must not be served.
func (c *Conn) BeginServing(headBytes int) error {
	if c.lease == nil {
		return nil
	}
	room := servingRoom(headBytes)
	if err := c.lease.Serve(room); err != nil {
		return err
	}
	c.servingBytes = room
	return nil
}

// HoldAnswer makes the lease hold an answer of the given size until it has been sent.
func (c *Conn) HoldAnswer(bytes int) {
	if c.lease == nil {
		return
	}
	c.lease.Begin(memory.Answering, int64(bytes))
	if bytes <= answerRoomBytes {
		return
	}
	more := int64(bytes) - answerRoomBytes
	c.lease.Charge(more)
	c.servingBytes += more
}

// endServing gives back what is held for a request in service and its answer.
func (c *Conn) endServing() {
	c.lease.GiveBack(c.servingBytes)
	c.servingBytes = 0
}

// turnAway closes the connection if it waits for a request. It wakes the server if it reads
// or writes; the request then fails. A request that has just begun to arrive is refused when
// its head is there.
func (c *Conn) turnAway() {
	c.closeIfWaiting()
	switch c.phase.Load() {
	case unused, idle:
	case receiving:
		_ = c.Conn.SetReadDeadline(pastTime) // the caller can still be sent the reason
	default:
		_ = c.Conn.SetDeadline(pastTime) // fails only after the connection is closed
	}
}

// SetReadDeadline sets the time at which reads end. The time for the head no longer applies.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.headPending = false
	return c.Conn.SetReadDeadline(t)
}

// startTime starts the time that the next read may take.
func (c *Conn) startTime() error {
	phase := c.phase.Load()
	if c.lease.TurnedAway() && (phase == receiving || !c.hasUnread()) {
		c.timedOut = true
		return os.ErrDeadlineExceeded
	}
	if c.listener.options.Times == nil {
		return nil
	}
	switch {
	case phase == unused, phase == idle:
		return c.setReadTime(c.listener.options.Times().Idle)
	case phase == receiving && c.headPending:
		c.headPending = false
		return c.setReadTime(c.listener.options.Times().Head)
	}
	return nil
}

// setReadTime lets reads end after the given time. 0 sets no bound.
func (c *Conn) setReadTime(limit time.Duration) error {
	if limit == 0 {
		return c.Conn.SetReadDeadline(time.Time{})
	}
	return c.Conn.SetReadDeadline(time.Now().Add(limit))
}

// makeRoom turns a connection away if there are more than allowed, but not the one that was
// just accepted. The HTTP server rejects that one if there is no other.
func (l *Listener) makeRoom(added *Conn) {
	if l.options.MaxConnections == 0 || l.count.Load() <= int64(l.options.MaxConnections) {
		return
	}
	l.options.Budget.TurnOneAway(l, added.lease)
}

// acceptedConnections returns the highest number of connections that are open at a time: a
// few more than MaxConnections.
func (o Options) acceptedConnections() int64 {
	spare := min(int(spareShare*float64(o.MaxConnections)), maxSpareConnections)
	return int64(o.MaxConnections + max(spare, 1))
}

// waitForRoom waits, for a bounded time, until a further connection stays within
// acceptedConnections. Connections that were turned away need a moment to
// close; without the wait they and their successors would use up the descriptors.
func (l *Listener) waitForRoom() {
	most := l.options.acceptedConnections()
	if l.options.MaxConnections == 0 || l.count.Load() < most {
		return
	}
	limit := time.NewTimer(maxAcceptDelay)
	defer limit.Stop()
	again := time.NewTicker(makeRoomInterval)
	defer again.Stop()
	for l.count.Load() >= most {
		l.options.Budget.TurnOneAway(l, nil)
		select {
		case <-l.roomMade:
		case <-again.C:
		case <-limit.C:
			return
		case <-l.closing.Done():
			return
		}
	}
}
