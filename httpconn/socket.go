package httpconn

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

func isTruncation(err error) bool {
	var broken fasthttp.ErrBrokenChunk
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) ||
		errors.As(err, &broken) || errors.Is(err, syscall.ECONNRESET)
}

// quiet reports whether an idle connection is open and has nothing to read. A
// peer that closed it, or sent bytes nobody asked for, makes it unusable.
func quiet(nc net.Conn) bool {
	raw, ok := rawConn(nc)
	if !ok {
		return false
	}
	quiet := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// WatchHangup calls hangup when the peer closes the connection while a request
// from it is being served. It peeks without consuming bytes, so a pipelined
// request stays intact. stop ends the watch and returns when it has ended; the
// connection's read deadline is cleared by it.
func WatchHangup(nc net.Conn, start func(func()), hangup context.CancelFunc) (stop func()) {
	raw, ok := rawConn(nc)
	if !ok {
		return func() {}
	}
	done := make(chan struct{})
	_ = nc.SetReadDeadline(time.Time{})
	start(func() {
		defer close(done)
		gone := false
		err := raw.Read(func(fd uintptr) bool {
			var b [1]byte
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if errors.Is(err, syscall.EAGAIN) {
				return false // wait in the poller
			}
			gone = err != nil || n == 0
			return true
		})
		if err == nil && gone {
			hangup()
		}
	})
	return func() {
		_ = nc.SetReadDeadline(time.Unix(1, 0)) // unblocks the poller wait
		<-done
		_ = nc.SetReadDeadline(time.Time{})
	}
}

func rawConn(nc net.Conn) (syscall.RawConn, bool) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}
