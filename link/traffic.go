package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of control messages, to compare with the budget of
// 11 KB/s for each VM.
type Traffic struct {
	received, sent atomic.Int64
}

// Bytes returns the bytes received and sent so far.
func (t *Traffic) Bytes() (received, sent int64) { return t.received.Load(), t.sent.Load() }

func (t *Traffic) count(nc net.Conn) net.Conn { return &countedConn{Conn: nc, traffic: t} }

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
