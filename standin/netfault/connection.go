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
	// chunkBytes is the maximum size of a chunk in bytes (32 KiB).
	chunkBytes = 32 << 10
	// queuedChunks is the maximum number of chunks that one direction of a
	// connection queues in memory. When the queue is full, the link stops
	// reading and TCP flow control slows the sender down.
	queuedChunks = 32
)

// connection pairs the connection of a client with the link's own connection to
// the target.
type connection struct {
	client, target net.Conn
	ctx            context.Context
	cancel         context.CancelFunc
}

// newConnection returns an open connection. Its context lasts until close or
// reset.
func newConnection(client, target net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	return &connection{client, target, ctx, cancel}
}

// close closes both sides with FIN and ends the goroutines of the connection.
func (c *connection) close() {
	if c.cancel != nil {
		c.cancel()
	}
	for _, conn := range []net.Conn{c.client, c.target} {
		if conn != nil {
			_ = conn.Close()
		}
	}
}

// reset closes both sides with RST and ends the goroutines of the connection.
func (c *connection) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel sends RST instead of FIN
		}
	}
	c.close()
}

// chunk is the result of one read from a stream.
type chunk struct {
	data       []byte
	receivedAt time.Time
	readErr    error // nil: the stream goes on; io.EOF: it ended with FIN; any other error: it was reset
}

// forwardDirection copies the bytes of one direction until the stream ends.
// One goroutine reads ahead while earlier chunks wait for the configured delay,
// so that a delay does not limit the throughput.
func (l *Link) forwardDirection(c *connection, d Direction, from, to net.Conn) {
	queue := make(chan chunk, queuedChunks)
	var reader conc.WaitGroup
	reader.Go(func() {
		defer close(queue)
		readChunks(c, from, queue)
	})
	for piece := range queue {
		if !l.deliver(c, d, piece, to) {
			c.close()
			break
		}
	}
	reader.Wait()
}

// readChunks queues each read from a stream. It returns after it has queued the
// read that reports the end of the stream, or when the connection is closed.
func readChunks(c *connection, from net.Conn, queue chan<- chunk) {
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

// deliver waits until the fault of the direction permits the chunk, then writes
// it. It reports whether the direction stays open for the next chunk. At the end
// of the stream it closes the write side of the destination with FIN. After a
// reset of the source it resets the whole connection.
func (l *Link) deliver(c *connection, d Direction, piece chunk, to net.Conn) bool {
	for {
		state, _ := l.directions.Load(d)
		remaining := time.Until(piece.receivedAt.Add(state.fault.delay()))
		if !state.fault.Drop && remaining <= 0 {
			break
		}
		var delayOver <-chan time.Time // nil while the direction is dropped: a nil channel blocks
		if !state.fault.Drop {
			timer := time.NewTimer(remaining)
			defer timer.Stop()
			delayOver = timer.C
		}
		select {
		case <-delayOver:
		case <-state.changed:
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
	case piece.readErr == nil:
		return true
	case errors.Is(piece.readErr, io.EOF):
		return to.(*net.TCPConn).CloseWrite() == nil
	default:
		c.reset()
		return false
	}
}
