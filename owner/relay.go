package owner

import (
	"context"
	"time"

	"almondstile/entry"
	"almondstile/request"
	"almondstile/upstream"
	"almondstile/vm"
)

// Relay runs exchanges with backend servers for owner VMs whose link to their
// server fails. It does not apply the server's concurrency limit, because the
// owner has already taken a slot for the request. It is safe for concurrent use.
type Relay struct {
	source    entry.ConfigSource
	members   Members
	exchanger Exchanger
	clock     func() time.Time
	holders   vm.Holders
}

// NewRelay returns a relay that takes the addresses of servers from its own VM's
// configuration.
func NewRelay(source entry.ConfigSource, members Members, exchanger Exchanger, clock func() time.Time) *Relay {
	return &Relay{source: source, members: members, exchanger: exchanger, clock: clock}
}

// Exchange runs one attempt at req.Server for the owner VM from. If ran is false,
// the request was not sent to the server, and the result holds the reason: the
// server takes no new requests, from is not its owner, or the deadline has passed.
func (r *Relay) Exchange(ctx context.Context, from vm.ID, req *request.Request) (e upstream.Exchange, ran bool) {
	if reason := r.check(from, req); reason != request.ReasonNone {
		return upstream.Exchange{Result: request.Rejected(reason)}, false
	}
	return exchangeWithCrashCheck(ctx, r.exchanger, r.source.Index().Server(req.Server), req), true
}

// check returns why the relay must not run the request, or ReasonNone.
func (r *Relay) check(from vm.ID, req *request.Request) request.Reason {
	index := r.source.Index()
	server := index.Server(req.Server)
	if server == nil || !index.AcceptsNewRequests(server) {
		return request.ReasonLeaving
	}
	holder, ok := r.holders.Find(r.members.List(), server.OwnerRole())
	switch {
	case !ok || holder.ID != from:
		return request.ReasonNotOwner
	case !r.clock().Before(req.Deadline):
		return request.ReasonDeadline
	}
	return request.ReasonNone
}
