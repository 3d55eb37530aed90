package inbound

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"

	"almondstile/logging"
	"almondstile/shard"
)

// Listener accepts connections and keeps track of them. It is safe for concurrent use.
type Listener struct {
	net.Listener
	log        logging.Logger
	conns      shard.Map[connID, *Conn]
	accepted   atomic.Int64
	aheadBytes atomic.Int64 // buffers of all connections for bytes read ahead
	// closing ends with Close.
	closing context.Context
	cancel  context.CancelFunc
}

// NewListener returns a listener that accepts from the given one.
func NewListener(from net.Listener, log logging.Logger) *Listener {
	l := &Listener{Listener: from, log: log}
	l.closing, l.cancel = context.WithCancel(context.Background())
	return l
}

// Accept waits for a connection and returns it as a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, listener: l, id: connID(strconv.FormatInt(l.accepted.Add(1), 36))}
	l.conns.Store(c.id, c)
	if l.closing.Err() != nil {
		c.closeIfUnused() // CloseUnused may have missed it
	}
	return c, nil
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

// reserveAhead takes n bytes out of maxTotalAheadBytes and reports whether so many are
// left.
func (l *Listener) reserveAhead(n int) bool {
	if l.aheadBytes.Add(int64(n)) <= maxTotalAheadBytes {
		return true
	}
	l.aheadBytes.Add(int64(-n))
	return false
}

func (l *Listener) releaseAhead(n int) { l.aheadBytes.Add(int64(-n)) }

func (l *Listener) remove(id connID) { l.conns.Delete(id) }
