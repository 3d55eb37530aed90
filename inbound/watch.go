package inbound

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAheadBytes bounds the bytes that are read ahead on one connection. Behind more
	// than that, the end of the stream is seen only after the running request.
	maxAheadBytes = 128 << 10
	// maxTotalAheadBytes bounds the bytes that are read ahead on all connections of a
	// Listener.
	maxTotalAheadBytes = 24 << 20
	// minAheadBytes is the smallest buffer, which holds a few requests without a body.
	minAheadBytes = 2 << 10
)

// WatchHangup calls hangup if the peer closes its sending side or resets the connection
// while its request is served. Meanwhile it reads ahead what the peer sends behind the
// request, for later calls of Read. start must run its argument in a new goroutine. stop
// ends the watch, waits until it has ended, and clears the read deadline.
func (c *Conn) WatchHangup(start func(func()), hangup context.CancelFunc) (stop func()) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return func() {}
	}
	c.setHangup(hangup)
	done := make(chan struct{})
	_ = c.Conn.SetReadDeadline(time.Time{})
	start(func() {
		defer close(done)
		// An error means that the watch was stopped.
		if raw.Read(c.receiveAhead) == nil && c.peerGone.Load() {
			hangup()
		}
	})
	return func() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a past deadline ends the wait in the poller
		<-done
		c.setHangup(nil)
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// setHangup sets the function that cancelRequest calls.
func (c *Conn) setHangup(hangup context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hangup = hangup
}

// cancelRequest cancels the request that is served now and reports whether there was one.
func (c *Conn) cancelRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hangup == nil {
		return false
	}
	c.hangup()
	return true
}

// receiveAhead receives what can be read from the socket without waiting. It returns
// false if the runtime's poller is to wait until more can be read, and true if the peer
// is gone or no more may be read ahead.
func (c *Conn) receiveAhead(fd uintptr) (done bool) {
	for {
		// Most requests have nothing behind them, so the buffer is made only when there
		// is something to read.
		var probe [1]byte
		n, err := receive(fd, probe[:], syscall.MSG_PEEK)
		if n > 0 {
			var received bool
			if received, n, err = c.appendAhead(fd); !received {
				return true // no more may be read ahead
			}
		}
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil || n == 0:
			c.peerGone.Store(true)
			return true
		}
	}
}

// hasUnread reports whether the socket holds bytes that nobody has read.
func (c *Conn) hasUnread() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		n, err := receive(fd, probe[:], syscall.MSG_PEEK)
		unread = n > 0 && err == nil
	})
	return err == nil && unread
}

// receive receives from the socket without waiting.
func receive(fd uintptr, b []byte, flags int) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// appendAhead receives bytes from the socket into the buffer. ok is false if the bounds
// on bytes read ahead allow no more.
func (c *Conn) appendAhead(fd uintptr) (ok bool, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == cap(c.ahead) && !c.growAhead() {
		return false, 0, nil
	}
	n, err = receive(fd, c.ahead[len(c.ahead):cap(c.ahead)], 0)
	c.ahead = c.ahead[:len(c.ahead)+max(n, 0)]
	return true, n, err
}

// growAhead doubles the buffer, if the bounds allow that.
func (c *Conn) growAhead() bool {
	size := max(2*cap(c.ahead), minAheadBytes)
	if size > maxAheadBytes || !c.reserveAhead(size-cap(c.ahead)) {
		return false
	}
	grown := make([]byte, len(c.ahead), size)
	copy(grown, c.ahead)
	c.ahead = grown
	return true
}

// readAhead moves bytes that were read ahead to b. The buffer is released when it is
// empty.
func (c *Conn) readAhead(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return 0
	}
	n := copy(b, c.ahead)
	left := copy(c.ahead, c.ahead[n:])
	c.ahead = c.ahead[:left]
	if left == 0 {
		c.releaseAhead()
	}
	return n
}

// dropAhead drops what was read ahead.
func (c *Conn) dropAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseAhead()
}

// releaseAhead releases the buffer. The caller holds c.mu.
func (c *Conn) releaseAhead() {
	c.listener.aheadBytes.Add(int64(-cap(c.ahead)))
	c.lease.GiveBack(int64(cap(c.ahead)))
	c.ahead = nil
}

// reserveAhead takes n bytes out of maxTotalAheadBytes and of the budget, and reports whether
// so many are left in both.
func (c *Conn) reserveAhead(n int) bool {
	if c.listener.aheadBytes.Add(int64(n)) <= maxTotalAheadBytes && c.lease.TakeAtOnce(int64(n)) {
		return true
	}
	c.listener.aheadBytes.Add(int64(-n))
	return false
}
