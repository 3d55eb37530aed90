package daemon

import (
	"context"
	"time"

	"almondstile/claim"
	"almondstile/entry"
	"almondstile/logging"
	"almondstile/membership"
	"almondstile/request"
	"almondstile/vm"
)

// claimAdapter implements entry.Claims on package claim. It logs the errors that
// entry.Claims has no return value for.
type claimAdapter struct {
	claims *claim.Claims
	log    logging.Logger
}

// Begin implements entry.Claims. It returns a claim, the result to send to the
// caller without dispatching the request, or a rejection with the reason
// "internal" for a request without an idempotency key.
func (c claimAdapter) Begin(ctx context.Context, req *request.Request) (entry.Claim, *request.Result) {
	begun, recorded, err := c.claims.Begin(ctx, req)
	if err != nil {
		c.log.WithError(err).Error("Claiming a request failed; the request was rejected.")
		rejected := request.Rejected(request.ReasonInternal)
		return nil, &rejected
	}
	if recorded != nil {
		return nil, recorded
	}
	return activeClaim{begun, c.log}, nil
}

// activeClaim implements entry.Claim for one claimed request.
type activeClaim struct {
	claim *claim.Claim
	log   logging.Logger
}

// Finish implements entry.Claim. A result that cannot be recorded is logged, and
// the caller still gets it.
func (c activeClaim) Finish(ctx context.Context, result request.Result) {
	if err := c.claim.Finish(ctx, result); err != nil {
		c.log.WithError(err).Warn("A result was not recorded; retries of the request get an unknown outcome.")
	}
}

// claimExpiryRole implements claim.ExpiryRole. Only the VM that holds the
// ClaimExpiry role in the member list deletes expired claims.
type claimExpiryRole struct{ fleet *membership.Manager }

// HeldBySelf reports whether this VM holds the ClaimExpiry role and may act on it.
func (r claimExpiryRole) HeldBySelf(now time.Time) bool {
	_, ok := r.fleet.MayAct(now, vm.Role{Kind: vm.ClaimExpiry})
	return ok
}

// claimSweepFailed logs a failed pass of the claim expiry.
func (d *Daemon) claimSweepFailed(err error) {
	d.log.Part("claim").WithError(err).Warn("Expiring old claims failed; the next pass continues where this one stopped.")
}
