package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"almondstile/contract"
	"almondstile/httpconn"
	"almondstile/notice"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Exchange is the outcome of one attempt to run a request at a backend server.
type Exchange struct {
	Result request.Result
	// Instance identifies the server's process. It is empty if the server did
	// not send it.
	Instance string
	// Notice is what the server stated about itself in its response, or nil if no
	// response of the server was received.
	Notice *notice.Notice
	// LateCopies is the number of responses to earlier requests of the connection that were
	// skipped.
	LateCopies int
	// Violation names the check of HTTP that the server's response failed. It is empty if
	// there was no such response.
	Violation httpconn.Violation
	// Latency is the time from the start to the end of the attempt.
	Latency time.Duration
	// ConnectFailed says that no connection could be made.
	ConnectFailed bool
	// ClosedWithoutResponse says that the connection was closed or reset after
	// at least a part of the request was written and before any response byte
	// arrived, as happens when the server's process crashes.
	ClosedWithoutResponse bool
	// ConnectionRefused says that the server's machine refused the connection.
	ConnectionRefused bool
	// Silent says that at least a part of the request was written and that
	// nothing was received from the server: no response byte and no close or
	// reset of the connection.
	Silent bool
	// Crashed says that the server refused new connections after it had closed
	// this one without response. Do does not set it: the caller checks this with
	// RefusesConnections.
	Crashed bool
}

// Protocol translates requests and responses between almondstile and a backend
// server. It defines the header fields for metadata such as the request's ID.
type Protocol interface {
	// Encode writes req to dst. timeLeft is the time until the request's
	// deadline.
	Encode(dst *fasthttp.Request, server *contract.Server, req *request.Request, timeLeft time.Duration)
	// ResponseID returns the ID of the request that a response names, or "" if it names
	// none.
	ResponseID(h *fasthttp.ResponseHeader) string
	// Check validates a complete response. It returns an error marked with
	// ErrResponseMismatch if the response belongs to another request, and one
	// marked with ErrInvalidResponse if no server of this protocol sends such a
	// response.
	Check(req *request.Request, resp *fasthttp.Response) error
	// Decode translates a response that passed Check.
	Decode(resp *fasthttp.Response) Response
}

// Response is a translated response of a server.
type Response struct {
	Result request.Result
	// Instance identifies the server's process. It is empty if the server did not
	// send it.
	Instance string
	// Notice is what the server stated about itself. It is nil if another server than
	// the intended one responded, or if servers of the protocol state nothing.
	Notice *notice.Notice
}

// Errors of Protocol.Check. Test with errors.Is.
var (
	ErrResponseMismatch = errors.New("upstream: the response belongs to another request")
	ErrInvalidResponse  = errors.New("upstream: the response violates the server's protocol")
)

// Client sends requests to backend servers over pooled connections. It is safe for
// concurrent use.
type Client struct {
	pool     *httpconn.Pool
	protocol Protocol
}

// NewClient returns a client that uses almondstile's own protocol and has its own
// connection pool.
func NewClient(options httpconn.Options) *Client {
	return NewClientWithProtocol(nativeProtocol{}, options)
}

// NewClientWithProtocol returns a client that uses the given protocol and has its
// own connection pool.
func NewClientWithProtocol(protocol Protocol, options httpconn.Options) *Client {
	return &Client{pool: httpconn.NewPool(options), protocol: protocol}
}

// CloseIdle closes the idle connections that exceeded their idle time limit, or
// every idle connection if all is set.
func (c *Client) CloseIdle(all bool) { c.pool.CloseIdle(all) }

// Do sends req to the server once and waits for the response until the request's
// deadline or the end of ctx. If ctx ends first, Do closes the connection, which
// cancels the request at the server. Latency and, for a failed attempt, the flags
// of Exchange are set.
func (c *Client) Do(ctx context.Context, server *contract.Server, req *request.Request) Exchange {
	if !req.Body.Retain() {
		return Exchange{Result: request.Rejected(request.ReasonCanceled)} // the request has ended
	}
	defer req.Body.Release()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	start := time.Now()
	lateCopies := 0
	c.protocol.Encode(httpReq, server, req, req.Deadline.Sub(start))
	progress, err := c.pool.Do(ctx, server.Address, httpconn.Call{
		Request: httpReq, Response: httpResp, RequestID: req.ID,
		ResponseID: c.protocol.ResponseID, LateCopy: func(string) { lateCopies++ },
		Verify: func(resp *fasthttp.Response) error { return c.protocol.Check(req, resp) },
	})
	e := Exchange{Latency: time.Since(start), LateCopies: lateCopies}
	if err != nil {
		e.Result = failureResult(progress, err)
		e.Violation = httpconn.ViolationOf(err)
		e.ConnectFailed = errors.Is(err, httpconn.ErrConnect)
		e.ConnectionRefused = e.ConnectFailed && errors.Is(err, syscall.ECONNREFUSED)
		e.Silent = progress == request.Written && peerSilent(err)
		e.ClosedWithoutResponse = progress == request.Written && errors.Is(err, httpconn.ErrClosed) && ctx.Err() == nil && !e.Silent
		return e
	}
	response := c.protocol.Decode(httpResp)
	e.Result, e.Instance, e.Notice = response.Result, response.Instance, response.Notice
	return e
}

// peerSilent reports whether the exchange of a written request failed without
// receiving anything from the peer. The pool marks every exchange that failed
// before the first response byte with httpconn.ErrClosed. If the cause is the
// deadline, a TCP timeout or an unreachable network, the peer did not close the
// connection.
func peerSilent(err error) bool {
	if !errors.Is(err, httpconn.ErrClosed) {
		return false
	}
	for _, cause := range []error{httpconn.ErrDeadline, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// failureResult returns the result of an exchange without a complete response.
func failureResult(progress request.Progress, err error) request.Result {
	return request.Result{
		Outcome: request.Classify(progress, false),
		Reason:  reasonOf(err),
	}
}

// reasonOf returns the reason that callers get for an error of the connection pool
// or of Protocol.Check.
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

// connectCheckTimeout is the time limit of the connection attempt of
// RefusesConnections.
const connectCheckTimeout = 200 * time.Millisecond

// RefusesConnections reports whether the server refuses a new connection. This
// distinguishes a process that ended from one that only closed a connection.
func (c *Client) RefusesConnections(ctx context.Context, server *contract.Server) bool {
	dialer := net.Dialer{Timeout: connectCheckTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", server.Address)
	if err == nil {
		_ = nc.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
