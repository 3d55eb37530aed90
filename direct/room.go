package direct

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"almondstile/catalog"
	"almondstile/contract"
	"almondstile/evidence"
	"almondstile/request"
	"almondstile/room"
	"almondstile/tally"
)

// rejectionLogShare is the share of the requests without room that are logged. A service
// that is short of room turns away many requests, for the same reason.
const rejectionLogShare = 0.05

// waitForRoom holds a request back while its service is short of room, or turns it away.
// It returns nil if the request may be sent to a server, and otherwise the result for the
// caller. Services whose requests all have one rank are not held back.
func (d *Dispatcher) waitForRoom(ctx context.Context, view *catalog.View, route *contract.Route, req *request.Request) *request.Result {
	terms := d.termsOf(view, req.Service)
	if len(terms.Ranks) < 2 {
		return nil
	}
	state := d.deps.ReplicatedState
	ticket, now := d.ticket(route, req, terms), d.deps.Clock()
	d.deps.Ledger.Add(now, tally.SubjectOf(tally.Service, string(req.Service)), ticket.OfferedField(), 1)
	decision := state.Room.Enter(now, ticket, d.roomOf(now, view, req.Service), rand.Float64)
	if decision.Action == room.Wait {
		d.countRoom("held", decision, req)
	}
	for decision.Action == room.Wait {
		if rejected := d.holdBack(ctx, decision.Until, req); rejected != nil {
			state.Room.Leave(ticket)
			return rejected
		}
		now = d.deps.Clock()
		decision = state.Room.Recheck(now, ticket, d.roomOf(now, d.deps.Source.View(), req.Service), rand.Float64)
	}
	if decision.Action == room.Go {
		return nil
	}
	d.countRoom("rejected", decision, req)
	if rand.Float64() < rejectionLogShare {
		d.deps.Log.WithField("request", req.ID).WithField("service", req.Service).WithField("team", req.Team).
			WithField("rank", int(req.Rank)).WithField("cause", decision.Cause).WithField("load", decision.Load).
			WithField("shortage", decision.Shortage).WithField("retry_after_ms", decision.RetryAfter.Milliseconds()).
			Info("A service is short of room. The request was turned away.")
	}
	rejected := request.Rejected(request.ReasonBusy)
	rejected.RetryAfter = decision.RetryAfter
	return &rejected
}

// termsOf returns the terms of the service. They have no ranks if this VM does not hold
// requests back.
func (d *Dispatcher) termsOf(view *catalog.View, service contract.ServiceID) contract.ServiceTerms {
	if !d.deps.HoldForRoom {
		return contract.ServiceTerms{}
	}
	return view.Index.Terms(service)
}

// holdBack waits until the given time. It returns the result of a request that cannot be
// sent after that: its caller has gone, the VM stops, or its key may have been withdrawn.
func (d *Dispatcher) holdBack(ctx context.Context, until time.Time, req *request.Request) *request.Result {
	timer := time.NewTimer(until.Sub(d.deps.Clock()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		rejected := request.Rejected(request.ReasonCanceled)
		if context.Cause(ctx) == context.DeadlineExceeded {
			rejected.Reason = request.ReasonDeadline
		}
		return &rejected
	}
	if rejected := d.drain.Reject(d.deps.Clock(), req.Deadline); rejected != nil {
		return rejected
	}
	if d.keyDataTooOld(req) {
		rejected := request.Rejected(request.ReasonStoreUnavailable)
		return &rejected
	}
	return nil
}

// countRoom counts a decision by the rank of the request.
func (d *Dispatcher) countRoom(name string, decision room.Decision, req *request.Request) {
	d.deps.Observer.Count("room." + name + "." + string(decision.Cause) + ".rank_" + strconv.Itoa(int(req.Rank)))
}

// ticket returns the request as far as its service's room concerns it.
func (d *Dispatcher) ticket(route *contract.Route, req *request.Request, terms contract.ServiceTerms) *room.Ticket {
	r := room.Request{
		Service: tally.SubjectOf(tally.Service, string(req.Service)), Rank: req.Rank, Deadline: req.Deadline, Target: route.TargetLatency(),
		TypicalLatency: d.deps.ReplicatedState.Routes.TypicalLatency(evidence.RouteSubject(route.ID)),
	}
	if req.Team != "" {
		r.Team = room.TeamSubject(req.Team)
	}
	return room.NewTicket(r, terms)
}

// roomOf returns the room of the service. Servers that may not get requests have none.
//
// The counts of other VMs are up to 0.25 s old. A VM that is cut off, or has just started,
// does not know of the others' requests, and takes a service for emptier than it is: it
// sends, and the servers decide. The requests of a VM that has died count for seconds.
func (d *Dispatcher) roomOf(now time.Time, view *catalog.View, service contract.ServiceID) room.Room {
	var sum room.Room
	state := d.deps.ReplicatedState
	for _, r := range view.ByService[service] {
		incarnation := incarnationOf(r)
		if !view.AcceptsNewRequests(r) || state.Notices.Leaving(incarnation) || state.Notices.PauseLeft(now, incarnation) > 0 {
			continue
		}
		s := state.Servers.State(now, evidence.ServerSubject(r.Server.ID))
		sum.Add(room.Server{Slots: r.Server.Slots, InFlight: s.InFlight, FaultProbability: s.FaultProbability})
	}
	return sum.OfSoundest()
}

// returnAfterRefusal returns when the caller of a request that no server accepted should
// return.
func (d *Dispatcher) returnAfterRefusal(route *contract.Route, req *request.Request) time.Duration {
	view := d.deps.Source.View()
	terms := d.termsOf(view, req.Service)
	if len(terms.Ranks) < 2 {
		return rejectedRetryAfter
	}
	now, gate := d.deps.Clock(), &d.deps.ReplicatedState.Room
	if !gate.Competing(now, tally.SubjectOf(tally.Service, string(req.Service))) {
		return rejectedRetryAfter
	}
	return gate.ReturnAfterRefusal(now, d.ticket(route, req, terms), d.roomOf(now, view, req.Service), rand.Float64())
}

// retryReserve returns the part of the service's retry budget that a retry of the request
// leaves to more urgent ones.
func (d *Dispatcher) retryReserve(route *contract.Route, req *request.Request) float64 {
	return d.ticket(route, req, d.termsOf(d.deps.Source.View(), req.Service)).RetryReserve()
}

// ReportRoom sets the gauges of the services that have requests of several ranks.
func (d *Dispatcher) ReportRoom(gauge func(name string, value int64)) {
	view, now := d.deps.Source.View(), d.deps.Clock()
	if view.Index == nil {
		return
	}
	for service := range view.ByService {
		if len(d.termsOf(view, service).Ranks) < 2 {
			continue
		}
		r := d.roomOf(now, view, service)
		gauge("room."+string(service)+".slots", int64(r.Slots))
		gauge("room."+string(service)+".in_flight", int64(r.InFlight))
		gauge("room."+string(service)+".waiting", int64(d.deps.ReplicatedState.Room.Waiting(tally.SubjectOf(tally.Service, string(service)))))
	}
}
