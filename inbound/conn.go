package inbound

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/valyala/fasthttp"
)

// Conn is an accepted connection. One goroutine, that of the HTTP server, reads and
// writes; Close may be called by any.
type Conn struct {
	net.Conn
	listener *Listener
	id       connID
	phase    atomic.Int32
}

// connID identifies a connection of a Listener.
type connID string

// phase is what a connection does.
type phase = int32

const (
	// unused is the phase until the first byte of the first request is read.
	unused phase = iota
	// used is the phase until the connection is closed.
	used
	// closed is the last phase.
	closed
)

// Closed reports whether this side has closed the connection.
func (c *Conn) Closed() bool { return c.phase.Load() == closed }

// Close closes the connection. Further calls do nothing.
func (c *Conn) Close() error {
	if c.phase.Swap(closed) == closed {
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

// release closes the socket and removes the connection from its listener.
func (c *Conn) release() error {
	c.listener.remove(c.id)
	return c.Conn.Close()
}

// FollowState is the hook by which the HTTP server tells its connections what they do. It
// is meant for fasthttp.Server.ConnState.
func FollowState(nc net.Conn, state fasthttp.ConnState) {
	if c, ok := nc.(*Conn); ok && state == fasthttp.StateActive {
		c.phase.CompareAndSwap(unused, used)
	}
}

// SyscallConn gives access to the socket. It returns an error if there is none.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, syscall.ENOTSOCK
}
