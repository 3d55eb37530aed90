package inbound

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/logging"
)

// wokenConn counts how often its reader is woken.
type wokenConn struct {
	net.Conn
	woken atomic.Int64
}

// SetReadDeadline implements net.Conn.
func (c *wokenConn) SetReadDeadline(t time.Time) error {
	if t.Equal(pastTime) {
		c.woken.Add(1)
	}
	return nil
}

// Guards against a burst of new connections that all turn away the same stalled one, which
// needs a moment to close, while the others that have stalled stay.
func TestEachNewConnectionTurnsAwayAnotherStalledOne(t *testing.T) {
	const stalledCount = 3
	from, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	l := newListener(from, Options{MaxConnections: stalledCount}, logging.Discard().Part("test"))
	var sockets []*wokenConn
	newConn := func() *Conn {
		a, b := net.Pipe()
		t.Cleanup(func() { _, _ = a.Close(), b.Close() })
		sockets = append(sockets, &wokenConn{Conn: a})
		return l.add(sockets[len(sockets)-1])
	}
	for i := range stalledCount {
		c := newConn()
		c.phase.Store(receiving)
		c.accepted = time.Now().Add(-time.Minute)
		c.readAt.Store(int64(1+i) * int64(time.Second))
	}
	for range stalledCount {
		newConn().phase.Store(receiving)
	}
	for i, s := range sockets[:stalledCount] {
		if woken := s.woken.Load(); woken != 1 {
			t.Errorf("stalled connection %d was turned away %d times", i, woken)
		}
	}
}

// Guards against a connection that was just accepted, and whose caller may be sending, and
// that is closed although the request of another one has stalled.
func TestStalledConnectionMakesRoomBeforeANewOne(t *testing.T) {
	from, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	l := newListener(from, Options{MaxConnections: 2}, logging.Discard().Part("test"))
	newConn := func() (*Conn, *wokenConn) {
		a, b := net.Pipe()
		t.Cleanup(func() { _, _ = a.Close(), b.Close() })
		socket := &wokenConn{Conn: a}
		return l.add(socket), socket
	}
	stalled, socket := newConn()
	stalled.phase.Store(receiving)
	stalled.accepted = time.Now().Add(-time.Minute)
	stalled.readAt.Store(int64(time.Second))
	recent, _ := newConn()
	newest, _ := newConn()
	if recent.Closed() || newest.Closed() || socket.woken.Load() != 1 {
		t.Errorf("recent connection closed %v, stalled one turned away %d times", recent.Closed(), socket.woken.Load())
	}
	newConn()
	if recent.Closed() || !newest.Closed() {
		t.Errorf("after the stalled one, closed: recent %v, newest %v; want the newest", recent.Closed(), newest.Closed())
	}
}
