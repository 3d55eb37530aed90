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

// claims adapts package claim to the entry side.
type claims struct {
	claims *claim.Claims
	log    logging.Logger
}

// Begin implements entry.Claims.
func (c claims) Begin(ctx context.Context, req *request.Request) (entry.Claim, *request.Result) {
	ticket, settled, err := c.claims.Begin(ctx, req)
	if err != nil {
		c.log.WithError(err).Error("A claim could not be begun.")
		rejected := request.Rejected(request.ReasonInternal)
		return nil, &rejected
	}
	if settled != nil {
		return nil, settled
	}
	return claimTicket{ticket, c.log}, nil
}

type claimTicket struct {
	ticket *claim.Claim
	log    logging.Logger
}

// Finish implements entry.Claim.
func (t claimTicket) Finish(ctx context.Context, result request.Result) {
	if err := t.ticket.Finish(ctx, result); err != nil {
		t.log.WithError(err).Warn("A result was not recorded; repeats of the request get an unknown outcome.")
	}
}

// claimSweeper lets one VM of the member list expire old claims.
type claimSweeper struct{ fleet *membership.Manager }

// Mine implements claim.Turn.
func (s claimSweeper) HeldBySelf(now time.Time) bool {
	_, ok := s.fleet.MayAct(now, vm.Role{Kind: vm.ClaimSweeper})
	return ok
}

func (d *Daemon) claimSweepFailed(err error) {
	d.log.Part("claim").WithError(err).Warn("Expiring old claims failed; the next pass goes on from there.")
}
