package httpconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// NewTransport returns a transport for clients of net/http that checks the heads and
// trailers of responses as a Pool does. The values of Content-Length and
// Transfer-Encoding, and the chunks, are checked by net/http, which accepts a
// Content-Length that is there twice with the same value. The transport uses HTTP/1.1 only, and no proxy; TLSClientConfig of the
// transport applies. A request whose response fails a check ends with an error marked with
// ErrMalformed, and its connection is closed.
//
// If a server responds before it has read a request, and more of the request is written
// while the response arrives, the request may fail although the response is sound.
func NewTransport(dialer *net.Dialer) *http.Transport {
	t := &http.Transport{}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: nc}, nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dialTLS(ctx, dialer, network, address, t.TLSClientConfig)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: nc}, nil
	}
	return t
}

// dialTLS opens a TLS connection. The configuration may be nil.
func dialTLS(ctx context.Context, dialer *net.Dialer, network, address string, config *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "the address %q", address)
	}
	if config = config.Clone(); config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	nc, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(nc, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, errors.Wrapf(err, "TLS handshake with %s", address)
	}
	return secured, nil
}

// checkedConn is a connection of net/http's client. It passes bytes on only when the
// lines that they end have been checked. One goroutine reads and another one writes.
type checkedConn struct {
	net.Conn
	// requestWritten says that a part of a request was written since the last read. The
	// client sends a request only after it has read the response before it, so that what
	// is read next is a head.
	requestWritten atomic.Bool
	// inBody says that the head of the response was complete. The fields from here on
	// belong to the reading goroutine.
	inBody bool
	// chunks is nil if the body is not sent in chunks.
	chunks *chunkScanner
	// head holds what was received of a head that is not complete.
	head    []byte
	scanner headScanner
}

// Write writes to the connection.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.requestWritten.Store(true)
	return c.Conn.Write(b)
}

// Read reads from the connection. It fails with an error marked with ErrMalformed or
// ErrTooLarge if a head fails a check.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.requestWritten.Swap(false) {
		c.inBody, c.chunks = false, nil
	}
	if checkErr := c.check(b[:n]); checkErr != nil {
		return 0, classifyReadError(checkErr)
	}
	return n, err
}

// check checks the received bytes, as far as they belong to a head or a trailer.
func (c *checkedConn) check(received []byte) error {
	switch {
	case c.inBody && c.chunks != nil:
		return c.chunks.scan(received)
	case c.inBody:
		return nil
	}
	c.head = append(c.head, received...)
	for {
		complete, err := c.scanner.scan(c.head)
		if err != nil {
			return err
		}
		if !complete {
			break
		}
		rest, interim, chunked := c.head[c.scanner.checked:], c.scanner.interim, c.scanner.framing.coded
		c.head, c.scanner = rest, headScanner{}
		if interim {
			continue
		}
		c.head, c.inBody = nil, true
		if chunked {
			c.chunks = &chunkScanner{}
			return c.chunks.scan(rest)
		}
		return nil
	}
	if len(c.head) > bufferBytes {
		return errors.Wrap(ErrTooLarge, "the head is larger than the limit")
	}
	return nil
}
