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

// Runner runs a request at a backend server that this VM owns.
type Runner interface {
	Run(ctx context.Context, req *request.Request) request.Result
}

// Client sends requests to the VMs that own the backend servers.
type Client struct {
	sender
	local Runner
}

// NewClient returns a client. Requests for servers that this VM owns itself go
// straight to local.
func NewClient(self vm.ID, secret link.Secret, links *link.Links, local Runner, options httpconn.Options) *Client {
	return &Client{sender{self, secret, links, httpconn.NewPool(options)}, local}
}

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
	var reply resultEnvelope
	body, progress, err := c.post(ctx, to, path, message, &reply)
	if err != nil {
		return request.Result{Outcome: request.Classify(progress, false), Reason: reasonOf(err)}
	}
	return reply.result(body)
}

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
