package entry

import (
	"context"

	"almondstile/request"
)

// Claims makes sure that a non-idempotent request with an idempotency key runs
// at most once, through whichever VM its caller sends it.
type Claims interface {
	// Begin claims the key. If the request is settled already, it returns the
	// result for the caller and no ticket.
	Begin(ctx context.Context, req *request.Request) (Claim, *request.Result)
}

// Claim is a claim that was written before the request is sent.
type Claim interface {
	// Finish records the result, or releases the claim if the request
	// certainly did not run.
	Finish(ctx context.Context, result request.Result)
}

// noClaim is the ticket of a request that needs no claim.
type noClaim struct{}

func (noClaim) Finish(context.Context, request.Result) {}

func (d *Dispatcher) claim(ctx context.Context, req *request.Request) (Claim, *request.Result) {
	if req.IdempotencyKey == "" || d.parts.Claims == nil {
		return noClaim{}, nil
	}
	return d.parts.Claims.Begin(ctx, req)
}
