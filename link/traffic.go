package link

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of control connections. The budget for each VM is
// 11 KB/s.
type Traffic struct {
	received, sent atomic.Int64
}

// Bytes returns the numbers of bytes received and sent so far.
func (t *Traffic) Bytes() (received, sent int64) { return t.received.Load(), t.sent.Load() }

// wrap returns nc with its bytes counted in t.
func (t *Traffic) wrap(nc net.Conn) net.Conn { return &countingConn{Conn: nc, traffic: t} }

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
