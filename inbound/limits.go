package inbound

import (
	"cmp"
	"slices"
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
	// Times returns the bounds that are in force. It may be nil.
	Times func() Times
	// MaxConnections is the highest number of connections, or 0 if there is none.
	MaxConnections int
}

const (
	// maxWriteBytes is the largest part of a response that is written at a time, so that
	// it shows whether the peer reads.
	maxWriteBytes = 64 << 10
	// unusedTime is how long a connection may be without a request before it is the first to
	// make room. Callers may connect some time before they send.
	unusedTime = 10 * time.Second
	// requestStallTime is the time without a byte after which an incomplete request may
	// be turned away for another connection.
	requestStallTime = 1 * time.Second
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

// BeginServing takes room for the answer to a request that has arrived. If it returns an
// error of memory.Lease, the request must not be served.
func (c *Conn) BeginServing() error {
	if c.lease == nil {
		return nil
	}
	if err := c.lease.Serve(answerRoomBytes); err != nil {
		return err
	}
	c.answerBytes = answerRoomBytes
	return nil
}

// HoldAnswer makes the lease hold an answer of the given size until it has been sent.
func (c *Conn) HoldAnswer(bytes int) {
	if c.lease == nil || bytes <= answerRoomBytes {
		return
	}
	c.lease.Begin(memory.Answering, int64(bytes))
	c.lease.Charge(int64(bytes) - c.answerBytes)
	c.answerBytes = int64(bytes)
}

// releaseAnswer gives back what is held for an answer.
func (c *Conn) releaseAnswer() {
	if c.answerBytes > 0 {
		c.lease.GiveBack(c.answerBytes)
		c.answerBytes = 0
	}
}

// turnAway wakes the server if it reads or writes. Its request then fails.
func (c *Conn) turnAway() {
	if c.phase.Load() == receiving {
		_ = c.Conn.SetReadDeadline(pastTime) // the caller can still be told why
		return
	}
	_ = c.Conn.SetDeadline(pastTime) // fails only after the connection is closed
}

// SetReadDeadline sets the time at which reads end. The time for the head no longer applies.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.headPending = false
	return c.Conn.SetReadDeadline(t)
}

// startTime starts the time that the next read may take.
func (c *Conn) startTime() error {
	if c.listener.options.Times == nil {
		return nil
	}
	phase := c.phase.Load()
	switch {
	case phase == unused, phase == idle:
		return c.setReadTime(c.listener.options.Times().Idle)
	case phase == receiving && c.headPending:
		c.headPending = false
		c.readAt.Store(int64(time.Since(c.accepted)))
		return c.setReadTime(c.listener.options.Times().Head)
	case phase == receiving:
		c.readAt.Store(int64(time.Since(c.accepted)))
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

// makeRoom closes a connection without a request, or turns away one whose request has
// stalled, if there are more connections than allowed. Connections that were just accepted
// come last, since their callers may be sending. The HTTP server rejects the new one if that
// does not help.
func (l *Listener) makeRoom(added *Conn) {
	if l.options.MaxConnections == 0 || l.count.Load() <= int64(l.options.MaxConnections) {
		return
	}
	var unusedConns, stalled []*Conn
	for _, c := range l.open() {
		switch {
		case c == added:
		case c.phase.Load() == unused:
			unusedConns = append(unusedConns, c)
		case c.stalledFor() >= requestStallTime:
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(unusedConns, func(a, b *Conn) int { return a.accepted.Compare(b.accepted) })
	slices.SortFunc(stalled, func(a, b *Conn) int { return cmp.Compare(b.stalledFor(), a.stalledFor()) })
	switch {
	case len(unusedConns) > 0 && time.Since(unusedConns[0].accepted) >= unusedTime:
		unusedConns[0].closeIfUnused()
	case len(stalled) > 0:
		stalled[0].readAt.Store(0) // the next new connection turns away another one
		stalled[0].turnAway()
	case len(unusedConns) > 0:
		unusedConns[len(unusedConns)-1].closeIfUnused()
	}
}

// stalledFor returns the time since an incomplete request was last read, or 0 if no
// request is arriving.
func (c *Conn) stalledFor() time.Duration {
	if c.phase.Load() != receiving || c.readAt.Load() == 0 || c.served() {
		return 0
	}
	return time.Since(c.accepted) - time.Duration(c.readAt.Load())
}

// served reports whether a request of the connection is being served.
func (c *Conn) served() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hangup != nil
}
