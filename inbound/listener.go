package inbound

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"almondstile/logging"
	"almondstile/shard"
	"almondstile/wait"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// Listener accepts connections and keeps track of them. It is safe for concurrent use.
type Listener struct {
	net.Listener
	log        logging.Logger
	options    Options
	count      atomic.Int64 // of open connections
	conns      shard.Map[connID, *Conn]
	accepted   atomic.Int64
	aheadBytes atomic.Int64 // buffers of all connections for bytes read ahead
	lingering  conc.WaitGroup
	// removed and roomMade get a value when a connection is closed. WaitClosed receives from
	// the first one, Accept from the second one.
	removed, roomMade chan struct{}
	// failedAt is when a connection could last not be accepted, or nil. It keeps the
	// monotonic reading, which a step of the time of day does not change.
	failedAt atomic.Pointer[time.Time]
	// closing ends with Close.
	closing context.Context
	cancel  context.CancelFunc
}

// NewListener returns a listener that accepts from the given one.
func NewListener(from net.Listener, log logging.Logger) *Listener {
	return newListener(from, Options{}, log)
}

// newListener returns a listener with bounds on its connections.
func newListener(from net.Listener, options Options, log logging.Logger) *Listener {
	l := &Listener{Listener: from, log: log, options: options, removed: make(chan struct{}, 1), roomMade: make(chan struct{}, 1)}
	l.closing, l.cancel = context.WithCancel(context.Background())
	return l
}

const (
	// minAcceptPause and maxAcceptPause bound the pause after a failure to accept a
	// connection. It doubles with each failure in a row.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 500 * time.Millisecond
	// acceptFailureTime is how long after a failure Accepting returns false. It is longer
	// than the pauses, so that a shortage that lasts shows all the time.
	acceptFailureTime = 1 * time.Second
)

// Accept waits for a connection and returns it as a *Conn. It tries again after errors
// such as a shortage of descriptors, which end when connections are closed; the HTTP
// server would stop accepting for good. After Close it returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		l.waitForRoom()
		nc, err := l.Listener.Accept()
		if err == nil {
			return l.add(nc), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		now := time.Now()
		l.failedAt.Store(&now)
		l.log.WithError(err).WithField("connections", l.conns.Len()).Warn("A connection cannot be accepted; trying again.")
		if !wait.For(l.closing, pause) {
			return nil, net.ErrClosed
		}
	}
}

// add keeps track of an accepted connection.
func (l *Listener) add(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, listener: l, id: connID(strconv.FormatInt(l.accepted.Add(1), 36))}
	if l.options.Budget != nil {
		address, _, _ := net.SplitHostPort(nc.RemoteAddr().String()) // "" stands for all others
		c.lease = l.options.Budget.Open(address, c.turnAway)
	}
	l.conns.Store(c.id, c)
	l.count.Add(1)
	c.lease.Connect(l, l.options.ConnectionBytes) // it may be turned away from now on
	l.makeRoom(c)
	if l.closing.Err() != nil {
		c.closeIfUnused() // CloseUnused may have missed it
	}
	return c
}

// Accepting reports whether the listener accepts connections. It does not while it lacks
// descriptors, and after Close.
func (l *Listener) Accepting() bool {
	failedAt := l.failedAt.Load()
	return l.closing.Err() == nil && (failedAt == nil || time.Since(*failedAt) > acceptFailureTime)
}

// Close stops accepting connections. Further calls do nothing.
func (l *Listener) Close() error {
	if l.closing.Err() != nil {
		return nil
	}
	l.cancel()
	return l.Listener.Close()
}

// CloseUnused closes the connections on which no request has begun to arrive. Call it
// after Close.
func (l *Listener) CloseUnused() {
	for _, c := range l.open() {
		c.closeIfUnused()
	}
}

// Unused returns the number of open connections on which no request has begun to arrive.
func (l *Listener) Unused() (n int) {
	for _, c := range l.open() {
		if c.phase.Load() == unused {
			n++
		}
	}
	return n
}

// open returns the connections that are open.
func (l *Listener) open() (conns []*Conn) {
	l.conns.Range(func(_ connID, c *Conn) bool {
		conns = append(conns, c)
		return true
	})
	return conns
}

// CancelRequests cancels the requests that are being served and returns how many there
// were.
func (l *Listener) CancelRequests() (canceled int) {
	for _, c := range l.open() {
		if c.cancelRequest() {
			canceled++
		}
	}
	return canceled
}

// WaitClosed waits until all connections are closed, also those that wait for their peers
// to close, or until ctx ends.
func (l *Listener) WaitClosed(ctx context.Context) error {
	for l.conns.Len() > 0 {
		select {
		case <-l.removed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections are open", l.conns.Len())
		}
	}
	l.lingering.Wait()
	return nil
}

// remove forgets a connection that is closed.
func (l *Listener) remove(id connID) {
	l.conns.Delete(id)
	l.count.Add(-1)
	for _, signal := range []chan struct{}{l.removed, l.roomMade} {
		select {
		case signal <- struct{}{}:
		default: // an earlier value has yet to be received
		}
	}
}
