package httpconn

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"almondstile/request"
	"almondstile/shard"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Errors of an exchange. The progress returned beside them says what they mean
// for the request.
var (
	ErrConnect   = errors.New("httpconn: cannot connect")
	ErrDeadline  = errors.New("httpconn: deadline exceeded")
	ErrCanceled  = errors.New("httpconn: canceled")
	ErrClosed    = errors.New("httpconn: the peer closed the connection without a response")
	ErrTruncated = errors.New("httpconn: the response is incomplete")
	ErrTooLarge  = errors.New("httpconn: the response is larger than the limit")
	ErrMalformed = errors.New("httpconn: the response is malformed")
)

// Options bound the connections of a Pool.
type Options struct {
	// ConnectTimeout bounds the TCP handshake.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It must be well
	// below the peer's own limit: a request written just as the peer closes an
	// idle connection has an unknown outcome.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the unused connections to one address.
	MaxIdlePerAddress int
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int
	// CloseDelimited accepts bodies without a length that end with an orderly
	// close of the connection. Only peers that reset the connection when they
	// break off a response may be trusted with it.
	CloseDelimited bool
	// UnannouncedIdle, if not 0, replaces IdleTimeout for peers that do not say
	// in Keep-Alive how long they keep an unused connection.
	UnannouncedIdle time.Duration
}

// DefaultOptions returns the options that fit backend servers and VMs.
func DefaultOptions() Options {
	return Options{
		ConnectTimeout:    500 * time.Millisecond,
		IdleTimeout:       5 * time.Second,
		MaxIdlePerAddress: 64,
		MaxResponseBytes:  16 << 20,
	}
}

const (
	// idleShare is the part of a peer's announced idle time that is used, so
	// that no request crosses the peer's close.
	idleShare = 0.7
	// identityLength is fasthttp's content length of a body that ends with the
	// connection.
	identityLength = -2
)

// idleLimit returns how long a connection may stay unused after a response.
func (o Options) idleLimit(resp *fasthttp.Response) time.Duration {
	for _, part := range strings.Split(string(resp.Header.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return min(o.IdleTimeout, time.Duration(idleShare*float64(seconds)*float64(time.Second)))
		}
	}
	if o.UnannouncedIdle > 0 {
		return min(o.IdleTimeout, o.UnannouncedIdle)
	}
	return o.IdleTimeout
}

// Pool keeps idle connections, sharded by address.
type Pool struct {
	options Options
	idle    shard.Map[string, []*conn]
}

type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleLimit is how long the connection may stay unused.
	idleLimit time.Duration
	written   int64
}

// Write counts the bytes that the kernel accepted: as long as there are none,
// the peer cannot have seen any part of the request.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

const bufferBytes = 16 << 10

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	return &Pool{options: options}
}

// Do sends req to address and reads the whole response into resp. The context
// bounds the exchange; when it ends the connection is closed, which tells the
// peer that the request was canceled. Do never sends a request twice.
//
// verify, if not nil, checks a whole response; if it returns an error, the
// response does not count as received and the connection is closed.
func (p *Pool) Do(ctx context.Context, address string, req *fasthttp.Request, resp *fasthttp.Response, verify func(*fasthttp.Response) error) (request.Progress, error) {
	c, err := p.connection(ctx, address)
	if err != nil {
		return request.NothingWritten, err
	}
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0)) // unblocks the exchange at once
	})
	err = c.exchange(req, resp, p.options)
	if err == nil && verify != nil {
		err = verify(resp)
	}
	interrupted := !stop()
	if err == nil {
		c.idleLimit = p.options.idleLimit(resp)
		p.release(address, c, !interrupted && reusable(req, resp, c))
		return request.ResponseComplete, nil
	}
	_ = c.Close()
	if c.written == 0 {
		return request.NothingWritten, contextError(ctx, err)
	}
	return request.Written, contextError(ctx, err)
}

func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, options Options) error {
	if err := req.Write(c.writer); err != nil {
		return errors.Mark(errors.Wrap(err, "writing the request"), ErrClosed)
	}
	if err := c.writer.Flush(); err != nil {
		return errors.Mark(errors.Wrap(err, "writing the request"), ErrClosed)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return errors.Mark(errors.Wrap(err, "waiting for the response"), ErrClosed)
	}
	if err := readResponse(c.reader, resp, req.Header.IsHead(), options); err != nil {
		return classifyReadError(err)
	}
	return nil
}

// readResponse reads a final response. It differs from fasthttp's own reading
// in one point: unless the options say otherwise, a body without length or
// chunks is rejected, because its end cannot be told from a connection that was
// cut off.
func readResponse(r *bufio.Reader, resp *fasthttp.Response, head bool, options Options) error {
	const chunked, identity = -1, identityLength // values of ContentLength
	for interim := true; interim; {
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		status := resp.StatusCode()
		interim = status < 200 && status != fasthttp.StatusSwitchingProtocols
	}
	if head || bodyForbidden(resp.StatusCode()) {
		resp.SkipBody = true
		return nil
	}
	length := resp.Header.ContentLength()
	if length == identity && !options.CloseDelimited {
		return errors.Wrap(ErrTruncated, "the end of the body is the end of the connection")
	}
	if err := resp.ReadBody(r, options.MaxResponseBytes); err != nil {
		return err
	}
	if length == chunked {
		return resp.Header.ReadTrailer(r)
	}
	return nil
}

func bodyForbidden(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || status < 200
}

func classifyReadError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &small):
		return errors.Mark(err, ErrTooLarge)
	case isTruncation(err), errors.Is(err, ErrTruncated):
		return errors.Mark(err, ErrTruncated)
	default:
		return errors.Mark(err, ErrMalformed)
	}
}

// contextError puts the end of the context before the socket error it caused.
func contextError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errors.Mark(err, ErrDeadline)
	case ctx.Err() != nil:
		return errors.Mark(err, ErrCanceled)
	default:
		return err
	}
}

func reusable(req *fasthttp.Request, resp *fasthttp.Response, c *conn) bool {
	return !req.ConnectionClose() && !resp.ConnectionClose() && c.reader.Buffered() == 0 &&
		resp.Header.ContentLength() != identityLength
}

// connection takes an idle connection that is still open, or dials a new one.
func (p *Pool) connection(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Since(c.idleSince) < c.idleLimit && quiet(c.Conn) {
			c.written = 0
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) takeIdle(address string) *conn {
	var taken *conn
	p.idle.Update(address, func(list []*conn, _ bool) ([]*conn, bool) {
		if n := len(list); n > 0 {
			taken = list[n-1]
			list[n-1] = nil
			list = list[:n-1]
		}
		return list, len(list) > 0
	})
	return taken
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.options.ConnectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, contextError(ctx, errors.Mark(errors.Wrapf(err, "connecting to %s", address), ErrConnect))
	}
	c := &conn{Conn: nc}
	c.reader = bufio.NewReaderSize(nc, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c, nil
}

func (p *Pool) release(address string, c *conn, reuse bool) {
	if reuse {
		c.idleSince = time.Now()
		p.idle.Update(address, func(list []*conn, _ bool) ([]*conn, bool) {
			if reuse = len(list) < p.options.MaxIdlePerAddress; reuse {
				list = append(list, c)
			}
			return list, true
		})
	}
	if !reuse {
		_ = c.Close()
	}
}

// CloseIdle closes connections that were unused for the idle timeout, or all
// unused ones if all is true. The owner of the pool calls it now and then.
func (p *Pool) CloseIdle(all bool) {
	var addresses []string
	p.idle.Range(func(address string, _ []*conn) bool {
		addresses = append(addresses, address)
		return true
	})
	for _, address := range addresses {
		for _, c := range p.removeIdle(address, all) {
			_ = c.Close()
		}
	}
}

func (p *Pool) removeIdle(address string, all bool) (removed []*conn) {
	p.idle.Update(address, func(list []*conn, _ bool) ([]*conn, bool) {
		var kept []*conn
		for _, c := range list {
			if all || time.Since(c.idleSince) >= c.idleLimit {
				removed = append(removed, c)
			} else {
				kept = append(kept, c)
			}
		}
		return kept, len(kept) > 0
	})
	return removed
}
