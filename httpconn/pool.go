package httpconn

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"almondstile/memory"
	"almondstile/request"
	"almondstile/shard"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Errors returned by Pool.Do. The request.Progress returned with an error says
// whether the peer may have received the request.
var (
	ErrConnect   = errors.New("httpconn: cannot connect")
	ErrDeadline  = errors.New("httpconn: deadline exceeded")
	ErrCanceled  = errors.New("httpconn: canceled")
	ErrClosed    = errors.New("httpconn: the peer closed the connection without a response")
	ErrTruncated = errors.New("httpconn: the response is incomplete")
	ErrTooLarge  = errors.New("httpconn: the response is larger than the limit")
	ErrMalformed = errors.New("httpconn: the response is malformed")
)

// Options holds the limits of a Pool and of its connections.
type Options struct {
	// ConnectTimeout is the longest time that establishing a TCP connection may
	// take.
	ConnectTimeout time.Duration
	// IdleTimeout is the longest time that an unused connection is kept. It must
	// be well below the peer's own idle timeout: a request that is written while
	// the peer closes the idle connection has an unknown outcome.
	IdleTimeout time.Duration
	// MaxIdlePerAddress is the highest number of unused connections kept for one
	// address.
	MaxIdlePerAddress int
	// MaxIdle, if not 0, is the highest number of unused connections kept for all addresses.
	MaxIdle int
	// MaxResponseBytes is the largest accepted response body, in bytes.
	MaxResponseBytes int
	// AllowCloseDelimitedBodies accepts response bodies that have neither a length nor
	// chunks and end when the peer closes the connection. It is safe only for
	// peers that reset the connection when they abort a response; with other
	// peers a truncated body would pass as a complete one.
	AllowCloseDelimitedBodies bool
	// IdleTimeoutWithoutKeepAlive, if not 0, limits the idle time further for peers whose
	// responses have no timeout in the Keep-Alive header. The shorter of it and
	// IdleTimeout applies.
	IdleTimeoutWithoutKeepAlive time.Duration
	// Budget, if not nil, bounds the bytes of large responses that arrive. A response
	// waits until there is room for it.
	Budget *memory.Budget
	// room belongs to one exchange.
	room *room
}

// DefaultOptions returns options that suit connections to backend servers and to
// other VMs.
func DefaultOptions() Options {
	return Options{
		ConnectTimeout:    500 * time.Millisecond,
		IdleTimeout:       5 * time.Second,
		MaxIdlePerAddress: 64,
		MaxResponseBytes:  16 << 20,
	}
}

// keepAliveFraction is the fraction of a peer's announced keep-alive timeout for which
// an idle connection is reused. The margin keeps a request from being written while the
// peer closes the connection.
const keepAliveFraction = 0.7

// idleTimeout returns how long a connection may stay unused after the response. It
// uses the timeout in the response's Keep-Alive header if there is one.
func (o Options) idleTimeout(resp *fasthttp.Response) time.Duration {
	for _, part := range strings.Split(string(resp.Header.Peek("Keep-Alive")), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			return min(o.IdleTimeout, time.Duration(keepAliveFraction*float64(seconds)*float64(time.Second)))
		}
	}
	if o.IdleTimeoutWithoutKeepAlive > 0 {
		return min(o.IdleTimeout, o.IdleTimeoutWithoutKeepAlive)
	}
	return o.IdleTimeout
}

// Pool sends HTTP/1.1 requests and keeps idle connections for reuse. The idle
// connections are sharded by address. A Pool is safe for concurrent use.
type Pool struct {
	options   Options
	idle      shard.Map[string, []*conn]
	idleCount atomic.Int64 // of unused connections
	// beyondBudget is set while a response may exceed the budget.
	beyondBudget atomic.Bool
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	return &Pool{options: options}
}

// Call is one request and its response.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// RequestID, if not empty, is the ID by which the peer's responses name the
	// request. A connection carries only one request with the same ID, so that a late
	// copy of the response to an earlier attempt is not taken for the response to a
	// repeated one.
	RequestID string
	// ResponseID, if not nil, returns the ID of the request that a response names, or ""
	// if it names none. A response that names an earlier request of the connection is a
	// late copy; Do skips it and goes on reading.
	ResponseID func(*fasthttp.ResponseHeader) string
	// LateCopy, if not nil, is called with the ID of each response that is skipped.
	LateCopy func(requestID string)
	// Verify, if not nil, checks the complete response. If it returns an error, Do
	// closes the connection, treats the response as not received, and returns that
	// error.
	Verify func(*fasthttp.Response) error
}

// Do sends a request to address, a host:port, and reads the whole response. Do never
// sends a request twice. When ctx ends during the exchange, Do closes the connection;
// the peer can take that as a cancellation.
//
// The returned progress is NothingWritten, Written or ResponseComplete. It is
// ResponseComplete exactly if the error is nil.
func (p *Pool) Do(ctx context.Context, address string, call Call) (request.Progress, error) {
	c, err := p.acquire(ctx, address, call.RequestID)
	if err != nil {
		return request.NothingWritten, err
	}
	c.recordCarried(ctx, call)
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0)) // a past deadline aborts reads and writes at once
	})
	options := p.options
	options.room = p.newRoom(ctx)
	defer options.room.release()
	err = c.exchange(call, options)
	if err == nil && call.Verify != nil {
		err = call.Verify(call.Response)
	}
	interrupted := !stop()
	if err == nil {
		c.idleTimeout = p.options.idleTimeout(call.Response)
		p.release(address, c, !interrupted && reusable(call.Request, call.Response, c))
		return request.ResponseComplete, nil
	}
	_ = c.Close()
	if c.bytesWritten == 0 {
		return request.NothingWritten, withContextError(ctx, err)
	}
	return request.Written, withContextError(ctx, err)
}

// withContextError marks err with ErrDeadline or ErrCanceled if ctx has ended,
// because the socket error is then a consequence of that.
func withContextError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errors.Mark(err, ErrDeadline)
	case ctx.Err() != nil:
		return errors.Mark(err, ErrCanceled)
	default:
		return err
	}
}

// reusable reports whether the connection can carry another request. A connection
// with unread bytes cannot: they would be taken for the next response.
func reusable(req *fasthttp.Request, resp *fasthttp.Response, c *conn) bool {
	return !req.ConnectionClose() && !resp.ConnectionClose() && c.reader.Buffered() == 0 && !c.carried.full() &&
		resp.Header.ContentLength() != identityLength
}

// acquire returns an idle connection that is still usable and has not carried a request
// with the ID, or a new one. It closes the idle connections that it finds expired or
// unusable.
func (p *Pool) acquire(ctx context.Context, address, requestID string) (*conn, error) {
	for {
		c := p.takeIdle(address, requestID)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Since(c.idleSince) < c.idleTimeout && isIdle(c.Conn) {
			c.bytesWritten, c.readBudget = 0, p.options.readBudget()
			return c, nil
		}
		_ = c.Close()
	}
}

// takeIdle removes from the pool the most recently used idle connection to the address
// that has not carried a request with the ID, and returns it, or nil if there is none.
func (p *Pool) takeIdle(address, requestID string) *conn {
	var taken *conn
	p.idle.Update(address, func(list []*conn, _ bool) ([]*conn, bool) {
		for i := len(list) - 1; i >= 0; i-- {
			if requestID == "" || list[i].carried.find(requestID) == nil {
				taken = list[i]
				list = slices.Delete(list, i, i+1)
				p.idleCount.Add(-1)
				break
			}
		}
		return list, len(list) > 0
	})
	return taken
}

// dial opens a connection to the address. Errors are marked with ErrConnect.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.options.ConnectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, withContextError(ctx, errors.Mark(errors.Wrapf(err, "connecting to %s", address), ErrConnect))
	}
	c := &conn{Conn: nc, readBudget: p.options.readBudget()}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c, nil
}

// release returns the connection to the pool. It closes the connection instead if
// reuse is false or the pool already holds MaxIdlePerAddress for the address, or MaxIdle.
func (p *Pool) release(address string, c *conn, reuse bool) {
	if reuse {
		c.idleSince = time.Now()
		p.idle.Update(address, func(list []*conn, _ bool) ([]*conn, bool) {
			if reuse = len(list) < p.options.MaxIdlePerAddress && p.countIdle(); reuse {
				list = append(list, c)
			}
			return list, len(list) > 0
		})
	}
	if !reuse {
		_ = c.Close()
	}
}

// countIdle counts a further unused connection, unless there are MaxIdle.
func (p *Pool) countIdle() bool {
	if n := p.idleCount.Add(1); p.options.MaxIdle > 0 && n > int64(p.options.MaxIdle) {
		p.idleCount.Add(-1)
		return false
	}
	return true
}

// CloseIdle closes the idle connections whose idle timeout has passed, or all idle
// connections if all is true. The pool has no background task, so its user must
// call CloseIdle periodically.
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

// removeIdle removes from the pool the expired idle connections to the address, or
// all of them if all is true, and returns them.
func (p *Pool) removeIdle(address string, all bool) (removed []*conn) {
	p.idle.Update(address, func(list []*conn, _ bool) ([]*conn, bool) {
		var kept []*conn
		for _, c := range list {
			if all || time.Since(c.idleSince) >= c.idleTimeout {
				removed = append(removed, c)
				p.idleCount.Add(-1)
			} else {
				kept = append(kept, c)
			}
		}
		return kept, len(kept) > 0
	})
	return removed
}
