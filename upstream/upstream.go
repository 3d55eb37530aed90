package upstream

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"time"

	"almondstile/contract"
	"almondstile/header"
	"almondstile/httpconn"
	"almondstile/request"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

var errCrossed = errors.New("upstream: the response belongs to another request")

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
	Cut bool
	// Refused says that the server's machine refused the connection.
	Refused bool
	// Silent says that the request was written, at least in part, and that
	// nothing came back: no byte, no end of the connection.
	Silent bool
	// Crashed says that the server refused connections after it had cut this
	// one. Do leaves that to the caller, who asks Refuses.
	Crashed bool
}

// Client sends requests to backend servers.
type Client struct {
	pool *httpconn.Pool
}

// NewClient returns a client with its own connections.
func NewClient(options httpconn.Options) *Client {
	return &Client{pool: httpconn.NewPool(options)}
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
	encode(httpReq, server, req, start)
	progress, err := c.pool.Do(ctx, server.Address, httpReq, httpResp, func(resp *fasthttp.Response) error {
		return checkEcho(req, resp)
	})
	e := Exchange{Latency: time.Since(start)}
	if err != nil {
		e.Result = failure(progress, err)
		e.ConnectFailed = errors.Is(err, httpconn.ErrConnect)
		e.Refused = e.ConnectFailed && errors.Is(err, syscall.ECONNREFUSED)
		e.Silent = progress == request.Written && silent(err)
		e.Cut = progress == request.Written && errors.Is(err, httpconn.ErrClosed) && ctx.Err() == nil && !e.Silent
		return e
	}
	e.Instance = string(httpResp.Header.Peek(header.ServerInstance))
	e.Result = response(httpResp)
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

func encode(dst *fasthttp.Request, server *contract.Server, req *request.Request, now time.Time) {
	dst.Header.SetNoDefaultContentType(true)
	dst.Header.SetMethod(req.Method)
	dst.SetRequestURI(req.Target)
	for _, f := range req.Header {
		dst.Header.Add(f.Name, f.Value)
	}
	if len(dst.Header.Host()) == 0 {
		dst.Header.SetHost(server.Address)
	}
	dst.Header.Set(header.RequestID, req.ID)
	dst.Header.Set(header.DeadlineMillis, strconv.FormatInt(max(req.Deadline.Sub(now).Milliseconds(), 1), 10))
	if req.Team != "" {
		dst.Header.Set(header.Team, string(req.Team))
	}
	dst.SetBodyRaw(req.Body)
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
		return request.ReasonConnect
	case errors.Is(err, httpconn.ErrTooLarge):
		return request.ReasonResponseTooLarge
	case errors.Is(err, httpconn.ErrTruncated), errors.Is(err, httpconn.ErrMalformed):
		return request.ReasonTruncated
	case errors.Is(err, errCrossed):
		return request.ReasonCrossed
	default:
		return request.ReasonLostResponse
	}
}

// checkEcho rejects the response to another request, which proves nothing about
// this one and means that the connection is out of step.
func checkEcho(req *request.Request, resp *fasthttp.Response) error {
	if echo := resp.Header.Peek(header.RequestID); len(echo) > 0 && string(echo) != req.ID {
		return errCrossed
	}
	return nil
}

// response copies a whole response out of the codec's buffers.
func response(resp *fasthttp.Response) request.Result {
	saidNotRun := resp.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(header.NotRun)) == "true"
	outcome := request.Classify(request.ResponseComplete, saidNotRun)
	if outcome == request.NotRun {
		return request.Rejected(request.ReasonShed)
	}
	return request.Result{
		Outcome: outcome,
		Status:  resp.StatusCode(),
		Header:  header.Sanitize(fields(&resp.Header)),
		Body:    append([]byte(nil), resp.Body()...),
	}
}

func fields(h *fasthttp.ResponseHeader) []request.Field {
	var out []request.Field
	for name, value := range h.All() {
		out = append(out, request.Field{Name: string(name), Value: string(value)})
	}
	return out
}

// crashCheckTimeout bounds the connection attempt of Refuses.
const crashCheckTimeout = 200 * time.Millisecond

// Refuses reports whether the server refuses connections, which tells a process
// that ended from one that only closed a connection.
func (c *Client) Refuses(ctx context.Context, server *contract.Server) bool {
	dialer := net.Dialer{Timeout: crashCheckTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", server.Address)
	if err == nil {
		_ = nc.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
