package inbound

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"almondstile/memory"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Conn is an accepted connection. One goroutine, that of the HTTP server, reads and
// writes; Close may be called by any.
type Conn struct {
	net.Conn
	listener *Listener
	id       connID
	phase    atomic.Int32
	// lease is the connection's part of the budget of bytes, or nil if there is none.
	lease *memory.Lease
	// servingBytes is what the lease holds for the request in service and its answer, and
	// keptHeadBytes what it holds for the largest head so far. Only the server's goroutine
	// uses them.
	servingBytes, keptHeadBytes int64
	// headPending says that the time for the head of a request has yet to begin. Only the
	// server's goroutine uses it.
	headPending bool
	// timedOut says that the time of the last read from the socket has passed. Only the
	// server's goroutine uses it.
	timedOut bool
	// lastRead is the number of bytes of the last read from the socket. Only the server's
	// goroutine uses it.
	lastRead int
	// asksForBody says that the next write asks the peer to go on with its request. Only
	// the server's goroutine uses it.
	asksForBody bool
	// peerGone says that the peer has closed its sending side or reset the connection.
	peerGone atomic.Bool

	mu sync.Mutex
	// ahead holds the bytes that a watch has received and the server has not read yet.
	ahead []byte
	// hangup is the function of the current watch, or nil.
	hangup context.CancelFunc
}

// connID identifies a connection of a Listener.
type connID string

// phase is what a connection does. It decides how Close ends it.
type phase = int32

const (
	// unused is the phase until the first byte of the first request is read.
	unused phase = iota
	// idle is the phase between a response and the next request.
	idle
	// receiving is the phase from the first byte of a request until its response.
	receiving
	// responding is the phase from the first byte of a response on.
	responding
	// closed is the last phase.
	closed
)

// Read reads what the peer sent, first the bytes that were read ahead. It returns io.EOF
// as soon as the peer is gone, also if bytes are left.
func (c *Conn) Read(b []byte) (int, error) {
	if c.peerGone.Load() {
		return 0, io.EOF
	}
	if n := c.readAhead(b); n > 0 {
		return n, nil
	}
	if err := c.startTime(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.lastRead = n
	c.lease.Move(time.Now(), n)
	c.timedOut = isTimeout(err)
	if err != nil && !c.timedOut {
		c.peerGone.Store(true) // nothing more will arrive
	}
	return n, err
}

// isTimeout reports whether an error means that a deadline has passed.
func isTimeout(err error) bool {
	var network net.Error
	return err != nil && errors.As(err, &network) && network.Timeout()
}

// TimedOut reports whether the last read from the socket ended because its time had passed.
// The HTTP library hides that from those who read a chunked body.
func (c *Conn) TimedOut() bool { return c.timedOut }

// PeerGone reports whether the peer has closed its sending side or reset the connection.
// A request that was received before must not be executed any more.
func (c *Conn) PeerGone() bool { return c.peerGone.Load() }

// Closed reports whether this side has closed the connection.
func (c *Conn) Closed() bool { return c.phase.Load() == closed }

// Write writes a part of a response. After an error the peer is taken for gone.
func (c *Conn) Write(b []byte) (written int, err error) {
	if !c.asksForBody {
		c.phase.CompareAndSwap(receiving, responding)
	}
	c.asksForBody = false
	for len(b) > 0 && err == nil {
		var n int
		n, err = c.Conn.Write(b[:min(len(b), maxWriteBytes)])
		b, written = b[n:], written+n
		c.lease.Move(time.Now(), n)
		if c.servingBytes > 0 && c.lease.TurnedAway() {
			err = errNotRead
		}
	}
	if err != nil {
		c.peerGone.Store(true)
	}
	return written, err
}

// AskForBody says that the next write is the interim response that asks the peer for the
// body of its request, which is still arriving.
func (c *Conn) AskForBody() { c.asksForBody = true }

// Close closes the connection. After a response the socket stays open, for a bounded
// time, until the peer has closed its side; Close does not wait for that. Further calls
// do nothing.
func (c *Conn) Close() error {
	last := c.phase.Swap(closed)
	if last == closed {
		return nil
	}
	if last == responding && !c.peerGone.Load() {
		c.lease.Linger(lingeringBytes)
		c.listener.lingering.Go(c.linger)
		return nil
	}
	return c.release()
}

// closeIfUnused closes the connection if no request has begun to arrive on it.
func (c *Conn) closeIfUnused() {
	if c.phase.CompareAndSwap(unused, closed) {
		_ = c.release() // nothing was sent that could be lost
	}
}

// closeIfWaiting closes the connection if it is without a request and nothing of the next
// one has arrived.
func (c *Conn) closeIfWaiting() {
	before := c.phase.Load()
	if before != unused && before != idle || c.hasUnread() {
		return
	}
	if c.phase.CompareAndSwap(before, closed) {
		_ = c.release() // nothing was sent that could be lost
	}
}

// release closes the socket and removes the connection from its listener.
func (c *Conn) release() error {
	c.dropAhead()
	c.lease.Disconnect()
	c.listener.remove(c.id)
	return c.Conn.Close()
}

// followState is the hook by which the HTTP server reports to its connections what they do.
func followState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.headPending = true
		c.lease.Begin(memory.Receiving, maxHeadBytes)
		c.lease.Move(time.Now(), c.lastRead) // the first bytes of the request
		if !c.phase.CompareAndSwap(unused, receiving) {
			c.phase.CompareAndSwap(idle, receiving)
		}
	case fasthttp.StateIdle:
		c.endServing()
		c.lease.Wait()
		c.phase.CompareAndSwap(responding, idle)
	case fasthttp.StateClosed:
		c.endServing()
	}
}
