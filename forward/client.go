package forward

import (
	"context"
	"time"

	"almondstile/httpconn"
	"almondstile/link"
	"almondstile/request"
	"almondstile/vm"

	"github.com/cockroachdb/errors"
)

// Runner executes requests on backend servers that this VM owns.
type Runner interface {
	// Run executes the request on the server that req.Server names.
	Run(ctx context.Context, req *request.Request) request.Result
}

// Client sends requests to the VMs that own the backend servers.
type Client struct {
	sender
	local Runner
}

// NewClient returns a client with its own connection pool. It passes requests
// for servers that this VM owns to local, without a network hop.
func NewClient(self vm.ID, secret link.Secret, links *link.Links, local Runner, options httpconn.Options) *Client {
	return &Client{sender{self, secret, links, httpconn.NewPool(options)}, local}
}

// Forward sends the request to the owner of its backend server. If relay is not
// nil, it sends the request to that VM, which forwards it to the owner. The
// outcome is not-run only if nothing was written to the connection or the other
// VM replied that the request was not executed.
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

// send sends the request to the VM to and returns its reply. relayed marks a
// request that this VM relays; the receiver does not relay it again.
func (c *Client) send(ctx context.Context, owner vm.ID, to vm.VM, relayed bool, req *request.Request) request.Result {
	if !req.Body.Retain() {
		return request.Rejected(request.ReasonCanceled) // the request has ended
	}
	defer req.Body.Release()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	head, err := sealHead(c.secret, nil, newRequestEnvelope(c.self, owner, req, time.Now(), relayed), req.Body)
	if err != nil {
		return request.Rejected(request.ReasonInternal)
	}
	var reply resultEnvelope
	body, progress, err := c.post(ctx, to, forwardPath, head, req.Body, &reply)
	if err != nil {
		return request.Result{Outcome: request.Classify(progress, false), Reason: reasonOf(err)}
	}
	return reply.toResult(body)
}

// reasonOf translates an error of post into a reason for the caller.
func reasonOf(err error) request.Reason {
	switch {
	case errors.Is(err, httpconn.ErrConnect):
		return request.ReasonConnectFailed
	case errors.Is(err, httpconn.ErrDeadline):
		return request.ReasonDeadline
	case errors.Is(err, httpconn.ErrCanceled):
		return request.ReasonCanceled
	case errors.Is(err, ErrInvalidMessage):
		return request.ReasonInternal
	default:
		return request.ReasonLostResponse
	}
}
