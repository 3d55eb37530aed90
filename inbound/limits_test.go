package inbound

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"almondstile/logging"
	"almondstile/memory"

	"github.com/sourcegraph/conc"
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

// limitedListener is a listener that bears few connections, and whose clock the test moves.
type limitedListener struct {
	*Listener
	t   *testing.T
	now time.Time
}

func newLimitedListener(t *testing.T, maxConnections int) *limitedListener {
	t.Helper()
	from, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = from.Close() })
	l := &limitedListener{t: t, now: time.Now()}
	budget := memory.NewBudget(1<<20, func() time.Time { return l.now }, nil)
	l.Listener = newListener(from, Options{MaxConnections: maxConnections, Budget: budget}, logging.Discard().Part("test"))
	return l
}

// accept adds a connection.
func (l *limitedListener) accept() (*Conn, *wokenConn) {
	a, b := net.Pipe()
	l.t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	socket := &wokenConn{Conn: a}
	return l.add(socket), socket
}

// receive lets a request begin to arrive.
func (l *limitedListener) receive(c *Conn) {
	c.phase.Store(receiving)
	c.lease.Begin(memory.Receiving, maxHeadBytes)
}

// Guards against a burst of new connections that all turn away the same stalled one, which
// needs a moment to close, while the others that have stalled stay.
func TestEachNewConnectionTurnsAwayAnotherStalledOne(t *testing.T) {
	const stalledCount = 3
	l := newLimitedListener(t, stalledCount)
	var sockets []*wokenConn
	for range stalledCount {
		c, socket := l.accept()
		l.receive(c)
		sockets = append(sockets, socket)
		l.now = l.now.Add(time.Second)
	}
	for range stalledCount {
		c, _ := l.accept()
		l.receive(c)
	}
	for i, s := range sockets {
		if woken := s.woken.Load(); woken != 1 {
			t.Errorf("stalled connection %d was turned away %d times", i, woken)
		}
	}
}

// Guards against a connection that was just accepted, and whose caller may be sending, and
// that is closed although the request of another one has stalled, or at once.
func TestStalledConnectionMakesRoomBeforeANewOne(t *testing.T) {
	l := newLimitedListener(t, 2)
	stalled, socket := l.accept()
	l.receive(stalled)
	l.now = l.now.Add(time.Minute)
	recent, _ := l.accept()
	l.now = l.now.Add(10 * time.Millisecond)
	newest, _ := l.accept()
	if recent.Closed() || newest.Closed() || socket.woken.Load() != 1 {
		t.Errorf("recent connection closed %v, stalled one turned away %d times", recent.Closed(), socket.woken.Load())
	}
	l.now = l.now.Add(10 * time.Millisecond)
	added, _ := l.accept()
	if recent.Closed() || newest.Closed() {
		t.Errorf("closed at once: recent %v, newest %v", recent.Closed(), newest.Closed())
	}
	l.now = l.now.Add(time.Second)
	l.accept()
	if recent.Closed() || newest.Closed() || !added.Closed() {
		t.Errorf("after the stalled one, closed: recent %v, newer %v, newest %v; want the newest", recent.Closed(), newest.Closed(), added.Closed())
	}
}

// Guards against a kept connection that is closed while the next request on it has arrived
// already, and against one that stays open although nothing has.
func TestKeptConnectionMakesRoomUnlessARequestHasArrived(t *testing.T) {
	for _, sent := range []string{"", "GET"} {
		l := newLimitedListener(t, 1)
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		kept := nc.(*Conn)
		kept.phase.Store(idle)
		kept.lease.Wait()
		if _, err := client.Write([]byte(sent)); err != nil {
			t.Fatal(err)
		}
		for sent != "" && !kept.hasUnread() {
			time.Sleep(time.Millisecond)
		}
		l.now = l.now.Add(time.Minute)
		l.accept()
		if closed := kept.Closed(); closed != (sent == "") || !kept.lease.TurnedAway() {
			t.Errorf("sent %q: closed %v, turned away %v", sent, closed, kept.lease.TurnedAway())
		}
	}
}

// Guards against bytes behind a running request that are held beside the budget, or that are
// not given back.
func TestBytesReadAheadAreInTheBudget(t *testing.T) {
	l := newLimitedListener(t, 1)
	for _, full := range []bool{false, true} {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c := nc.(*Conn)
		if full {
			c.lease.Charge(l.options.Budget.Total())
		}
		used := l.options.Budget.Used()
		var watch conc.WaitGroup
		stop := c.WatchHangup(watch.Go, func() {})
		const sent = minAheadBytes + 1 // needs the buffer to grow
		if _, err := client.Write(make([]byte, sent)); err != nil {
			t.Fatal(err)
		}
		held := func() int64 { return l.options.Budget.Used() - used }
		for limit := time.Now().Add(5 * time.Second); !full && held() < sent && time.Now().Before(limit); {
			time.Sleep(time.Millisecond)
		}
		stop()
		if got := held(); full && got != 0 || !full && got < sent {
			t.Errorf("full %v: the budget counts %d bytes of %d", full, got, sent)
		}
		if _, err := io.ReadFull(c, make([]byte, sent)); err != nil || held() != 0 {
			t.Errorf("full %v: %v, %d bytes are left after the read", full, err, held())
		}
		c.lease.GiveBack(used)
		_ = c.Close()
	}
}
