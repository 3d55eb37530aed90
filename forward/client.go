package forward

import (
	"context"
	"time"

	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/request"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Runner runs a request at a backend server that this VM owns.
type Runner interface {
	Run(ctx context.Context, req *request.Request) request.Result
}

// Client sends requests to the VMs that own the backend servers.
type Client struct {
	self   vm.ID
	secret link.Secret
	links  *link.Links
	local  Runner
	pool   *httpconn.Pool
}

// NewClient returns a client. Requests for servers that this VM owns itself go
// straight to local.
func NewClient(self vm.ID, secret link.Secret, links *link.Links, local Runner, options httpconn.Options) *Client {
	return &Client{self: self, secret: secret, links: links, local: local, pool: httpconn.NewPool(options)}
}

// CloseIdle closes unused connections that are past their time, or all.
func (c *Client) CloseIdle(all bool) { c.pool.CloseIdle(all) }

// Forward sends the request to the owner, or to a relay that passes it on to
// the owner. The result's outcome is not-run only if nothing was written or the
// other VM said so.
func (c *Client) Forward(ctx context.Context, owner vm.VM, relay *vm.VM, req *request.Request) request.Result {
	if owner.ID == c.self {
		return c.local.Run(ctx, req)
	}
	to := owner
	if relay != nil {
		to = *relay
	}
	return c.send(ctx, owner.ID, to, false, req)
}

// send does one exchange with a VM and notes what it says about the link.
func (c *Client) send(ctx context.Context, owner vm.ID, to vm.VM, relayed bool, req *request.Request) request.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	message, err := seal(c.secret, nil, envelopeOf(c.self, owner, req, time.Now(), relayed), req.Body)
	if err != nil {
		return request.Rejected(request.ReasonInternal)
	}
	httpReq, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetRequestURI(path)
	httpReq.Header.SetHost(to.ForwardAddress)
	httpReq.SetBodyRaw(message)

	var result request.Result
	progress, err := c.pool.Do(ctx, to.ForwardAddress, httpReq, httpResp, func(resp *fasthttp.Response) error {
		result, err = c.decode(message[:macBytes], resp)
		return err
	})
	if err != nil {
		c.noteFailure(ctx, to.ID, err)
		return request.Result{Outcome: request.Classify(progress, false), Reason: reasonOf(err)}
	}
	c.links.Reached(to.ID, time.Now())
	return result
}

func (c *Client) decode(requestMAC []byte, resp *fasthttp.Response) (request.Result, error) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return request.Result{}, errors.Wrapf(ErrMessage, "status %d", resp.StatusCode())
	}
	message := append([]byte(nil), resp.Body()...)
	var envelope resultEnvelope
	body, err := open(c.secret, requestMAC, message, &envelope)
	if err != nil {
		return request.Result{}, err
	}
	return envelope.result(body), nil
}

// noteFailure blames the link unless the caller canceled. A deadline that
// passed is blamed too: a one-way cut shows as silence.
func (c *Client) noteFailure(ctx context.Context, peer vm.ID, err error) {
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, ErrMessage) {
		return
	}
	c.links.Failed(peer, time.Now())
}

func reasonOf(err error) request.Reason {
	switch {
	case errors.Is(err, httpconn.ErrConnect):
		return request.ReasonConnect
	case errors.Is(err, httpconn.ErrDeadline):
		return request.ReasonDeadline
	case errors.Is(err, httpconn.ErrCanceled):
		return request.ReasonCanceled
	case errors.Is(err, ErrMessage):
		return request.ReasonInternal
	default:
		return request.ReasonLostResponse
	}
}
