package owner

import (
	"context"
	"time"

	"almondstile/entry"
	"almondstile/request"
	"almondstile/upstream"
	"almondstile/vm"
)

// Relay runs exchanges with servers that other VMs own and cannot reach. It
// admits nothing: the owner holds the server's slot.
type Relay struct {
	source    entry.ConfigSource
	members   Members
	exchanger Exchanger
	clock     func() time.Time
	owners    vm.Holders
}

// NewRelay returns a relay that reaches servers at the addresses of its own
// configuration.
func NewRelay(source entry.ConfigSource, members Members, exchanger Exchanger, clock func() time.Time) *Relay {
	return &Relay{source: source, members: members, exchanger: exchanger, clock: clock}
}

// Exchange runs one attempt at the server that the request names, on behalf of
// the VM from. ran is false if it did not try the server.
func (r *Relay) Exchange(ctx context.Context, from vm.ID, req *request.Request) (e upstream.Exchange, ran bool) {
	if reason := r.check(from, req); reason != request.ReasonNone {
		return upstream.Exchange{Result: request.Rejected(reason)}, false
	}
	return exchangeAt(ctx, r.exchanger, r.source.Index().Server(req.Server), req), true
}

func (r *Relay) check(from vm.ID, req *request.Request) request.Reason {
	index := r.source.Index()
	server := index.Server(req.Server)
	if server == nil || !index.AcceptsNewRequests(server) {
		return request.ReasonLeaving
	}
	owner, ok := r.owners.Find(r.members.List(), server.OwnerRole())
	switch {
	case !ok || owner.ID != from:
		return request.ReasonNotOwner
	case !r.clock().Before(req.Deadline):
		return request.ReasonDeadline
	}
	return request.ReasonNone
}
