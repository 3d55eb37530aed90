package netfault

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	chunkBytes = 32 << 10
	// queuedChunks bounds what one direction holds in memory; beyond it the
	// sender is slowed down as by a full TCP window.
	queuedChunks = 32
)

// connection is one client's connection through a link.
type connection struct {
	client, target net.Conn
	ctx            context.Context
	stop           context.CancelFunc
}

func newConnection(client, target net.Conn) *connection {
	ctx, stop := context.WithCancel(context.Background())
	return &connection{client, target, ctx, stop}
}

func (c *connection) close() {
	if c.stop != nil {
		c.stop()
	}
	for _, conn := range []net.Conn{c.client, c.target} {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel sends RST instead of FIN
		}
	}
	c.close()
}

// chunk is a piece of a stream, or its end.
type chunk struct {
	data    []byte
	arrived time.Time
	end     error // io.EOF for a proper end, otherwise the stream was reset
}

// pump carries one direction until it ends. Reading goes on while earlier
// chunks wait for their time, so a delay does not limit the throughput.
func (l *Link) pump(c *connection, d Direction, from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	var reader conc.WaitGroup
	reader.Go(func() {
		defer close(queue)
		read(c, from, queue)
	})
	for piece := range queue {
		if !l.deliver(c, d, piece, to) {
			c.close()
			break
		}
	}
	reader.Wait()
}

// read queues what arrives, up to and with the end of the stream.
func read(c *connection, from net.Conn, queue chan<- chunk) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		piece := chunk{append([]byte(nil), buffer[:n]...), time.Now(), err}
		select {
		case queue <- piece:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver waits until the direction lets the chunk through and writes it.
func (l *Link) deliver(c *connection, d Direction, piece chunk, to net.Conn) bool {
	for {
		p, _ := l.paths.Load(d)
		left := time.Until(piece.arrived.Add(p.fault.delay()))
		if !p.fault.Drop && left <= 0 {
			break
		}
		var due <-chan time.Time // stays nil, which blocks, while dropped
		if !p.fault.Drop {
			timer := time.NewTimer(left)
			defer timer.Stop()
			due = timer.C
		}
		select {
		case <-due:
		case <-p.changed:
		case <-c.ctx.Done():
			return false
		}
	}
	if len(piece.data) > 0 {
		if _, err := to.Write(piece.data); err != nil {
			return false
		}
	}
	switch {
	case piece.end == nil:
		return true
	case errors.Is(piece.end, io.EOF):
		return to.(*net.TCPConn).CloseWrite() == nil
	default:
		c.reset()
		return false
	}
}
