package entry

import (
	"context"

	"almondstile/request"
)

// Claims ensures that a non-idempotent request with an idempotency key is
// executed at most once, even if the caller sends it to several VMs.
type Claims interface {
	// Begin claims the request's idempotency key. If the request must not be
	// sent, it returns a result for the caller and no claim. Examples are a key
	// that another request has claimed and a store that is unavailable.
	Begin(ctx context.Context, req *request.Request) (Claim, *request.Result)
}

// Claim is the claim of an idempotency key. It is stored before the request is
// sent to a backend server.
type Claim interface {
	// Finish records the request's result. It releases the claim if the request
	// was certainly not executed.
	Finish(ctx context.Context, result request.Result)
}

// noClaim is the Claim of a request without an idempotency key.
type noClaim struct{}

func (noClaim) Finish(context.Context, request.Result) {}

// claim claims the request's idempotency key, if it has one. It returns either a
// claim or a result for the caller.
func (d *Dispatcher) claim(ctx context.Context, req *request.Request) (Claim, *request.Result) {
	if req.IdempotencyKey == "" || d.deps.Claims == nil {
		return noClaim{}, nil
	}
	return d.deps.Claims.Begin(ctx, req)
}
