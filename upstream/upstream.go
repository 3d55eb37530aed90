package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"almondstile/contract"
	"almondstile/httpconn"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Exchange is what became of one attempt at a backend server.
type Exchange struct {
	Result request.Result
	// Instance identifies the server's process, "" if it did not say.
	Instance string
	// Latency is the time from the start to the end of the attempt.
	Latency time.Duration
	// ConnectFailed says that no connection could be made.
	ConnectFailed bool
	// Cut says that the server closed or reset the connection after it got the
	// request and before any response byte, as a crashing process does.
	ClosedWithoutResponse bool
	// Refused says that the server's machine refused the connection.
	ConnectionRefused bool
	// Silent says that the request was written, at least in part, and that
	// nothing came back: no byte, no end of the connection.
	Silent bool
	// Crashed says that the server refused connections after it had cut this
	// one. Do leaves that to the caller, who asks Refuses.
	Crashed bool
}

// Protocol names the fields in which a request and its response carry what
// almondstile and a backend server tell each other.
type Protocol interface {
	// Encode writes the request. left is the time that it may still take.
	Encode(dst *fasthttp.Request, server *contract.Server, req *request.Request, left time.Duration)
	// Check returns an error if a whole response does not belong to the request
	// or is not what a server of this protocol sends. It marks the error with
	// ErrResponseMismatch or ErrInvalidResponse.
	Check(req *request.Request, resp *fasthttp.Response) error
	// Decode translates a checked response. The instance identifies the
	// server's process, "" if it did not say.
	Decode(resp *fasthttp.Response) (result request.Result, instance string)
}

// Errors that a Protocol marks responses with.
var (
	ErrResponseMismatch = errors.New("upstream: the response belongs to another request")
	ErrInvalidResponse  = errors.New("upstream: the response is not one of the server")
)

// Client sends requests to backend servers.
type Client struct {
	pool     *httpconn.Pool
	protocol Protocol
}

// NewClient returns a client with its own connections that speaks almondstile's
// own protocol.
func NewClient(options httpconn.Options) *Client {
	return NewClientWithProtocol(native{}, options)
}

// NewClientWithProtocol returns a client that speaks another protocol.
func NewClientWithProtocol(protocol Protocol, options httpconn.Options) *Client {
	return &Client{pool: httpconn.NewPool(options), protocol: protocol}
}

// CloseIdle closes unused connections that are past their time, or all.
func (c *Client) CloseIdle(all bool) { c.pool.CloseIdle(all) }

// Do runs one attempt at the server. The context ends at the latest at the
// request's deadline; if it ends early, the connection is closed, which cancels
// the request at the server.
func (c *Client) Do(ctx context.Context, server *contract.Server, req *request.Request) Exchange {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	start := time.Now()
	c.protocol.Encode(httpReq, server, req, req.Deadline.Sub(start))
	progress, err := c.pool.Do(ctx, server.Address, httpReq, httpResp, func(resp *fasthttp.Response) error {
		return c.protocol.Check(req, resp)
	})
	e := Exchange{Latency: time.Since(start)}
	if err != nil {
		e.Result = failure(progress, err)
		e.ConnectFailed = errors.Is(err, httpconn.ErrConnect)
		e.ConnectionRefused = e.ConnectFailed && errors.Is(err, syscall.ECONNREFUSED)
		e.Silent = progress == request.Written && silent(err)
		e.ClosedWithoutResponse = progress == request.Written && errors.Is(err, httpconn.ErrClosed) && ctx.Err() == nil && !e.Silent
		return e
	}
	e.Result, e.Instance = c.protocol.Decode(httpResp)
	return e
}

// silent reports whether a written request ended without any sign of the peer.
// The pool marks an exchange that ended before the first response byte as
// closed; the deadline or the network then tells that the peer did not close it.
func silent(err error) bool {
	if !errors.Is(err, httpconn.ErrClosed) {
		return false
	}
	for _, sign := range []error{httpconn.ErrDeadline, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// failure translates an exchange without a whole response.
func failure(progress request.Progress, err error) request.Result {
	return request.Result{
		Outcome: request.Classify(progress, false),
		Reason:  reasonOf(err),
	}
}

func reasonOf(err error) request.Reason {
	switch {
	case errors.Is(err, httpconn.ErrDeadline):
		return request.ReasonDeadline
	case errors.Is(err, httpconn.ErrCanceled):
		return request.ReasonCanceled
	case errors.Is(err, httpconn.ErrConnect):
		return request.ReasonConnectFailed
	case errors.Is(err, httpconn.ErrTooLarge):
		return request.ReasonResponseTooLarge
	case errors.Is(err, httpconn.ErrTruncated), errors.Is(err, httpconn.ErrMalformed), errors.Is(err, ErrInvalidResponse):
		return request.ReasonTruncated
	case errors.Is(err, ErrResponseMismatch):
		return request.ReasonResponseMismatch
	default:
		return request.ReasonLostResponse
	}
}

// crashCheckTimeout bounds the connection attempt of Refuses.
const crashCheckTimeout = 200 * time.Millisecond

// Refuses reports whether the server refuses connections, which tells a process
// that ended from one that only closed a connection.
func (c *Client) RefusesConnections(ctx context.Context, server *contract.Server) bool {
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", server.Address)
	if err == nil {
		_ = nc.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
